package simwire

import (
	"encoding/hex"
	"math"
	"strconv"
)

// This file implements the dispatcher's writer interface on instance. Each decision is written as one line.

func (n *instance) beginLine(action string) {
	n.session.out.WriteString(action)
	n.putInt("i", n.id)
}

func (n *instance) putInt(key string, v int64) {
	w := n.session.out
	w.WriteByte('\t')
	w.WriteString(key)
	w.WriteByte('=')
	n.session.putInt(v)
}

func (h *session) putInt(v int64) { h.out.Write(strconv.AppendInt(h.out.AvailableBuffer(), v, 10)) }

func (n *instance) putText(key, v string) {
	w := n.session.out
	w.WriteByte('\t')
	w.WriteString(key)
	w.WriteByte('=')
	w.WriteString(v)
}

func (n *instance) endLine() { n.session.out.WriteByte('\n') }

func micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// HandOff writes a "send" line.
func (n *instance) HandOff(wi uint64, worker string, timeout float64) {
	n.beginLine("send")
	n.putInt("job", int64(wi))
	n.putText("worker", worker)
	if timeout > 0 {
		n.putInt("timeout", micros(timeout))
	}
	n.endLine()
}

// Cancel writes a "cancel" line.
func (n *instance) Cancel(wi uint64, ho int) {
	n.beginLine("cancel")
	n.putInt("job", int64(wi))
	n.putInt("shot", int64(ho))
	n.endLine()
}

// Defer writes a "turn_away" line.
func (n *instance) Defer(wi uint64, retryAfter float64) {
	n.beginLine("turn_away")
	n.putInt("job", int64(wi))
	if retryAfter > 0 {
		n.putInt("pause", micros(retryAfter))
	}
	n.endLine()
}

// WriteOff writes an "abort" line.
func (n *instance) WriteOff(wi uint64) {
	n.beginLine("abort")
	n.putInt("job", int64(wi))
	n.endLine()
}

// SetTimer writes a "set_timer" line.
func (n *instance) SetTimer(handle uint64, delay float64) {
	n.beginLine("set_timer")
	n.putInt("handle", int64(handle))
	n.putInt("span", micros(delay))
	n.endLine()
}

// WatchDiscovery writes a "keep_informed" line.
func (n *instance) WatchDiscovery(on bool) {
	n.beginLine("keep_informed")
	want := int64(0)
	if on {
		want = 1
	}
	n.putInt("want", want)
	n.endLine()
}

// SendToPeer writes a "broadcast_to" line.
func (n *instance) SendToPeer(to int, data []byte) {
	n.beginLine("broadcast_to")
	n.putInt("to", int64(to))
	n.putText("contents", "")
	if len(data) == 0 {
		n.session.out.WriteByte('-')
	}
	n.session.out.Write(hex.AppendEncode(n.session.out.AvailableBuffer(), data))
	n.endLine()
}
