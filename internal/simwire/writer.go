package simwire

import (
	"encoding/hex"
	"math"
	"strconv"
)

// The instance is its dispatcher's Writer: each decision becomes one line at once.

func (n *instance) begin(action string) {
	n.host.out.WriteString(action)
	n.field("i", n.num)
}

func (n *instance) field(key string, v int64) {
	w := n.host.out
	w.WriteByte('\t')
	w.WriteString(key)
	w.WriteByte('=')
	n.host.int(v)
}

func (h *host) int(v int64) { h.out.Write(strconv.AppendInt(h.out.AvailableBuffer(), v, 10)) }

func (n *instance) text(key, v string) {
	w := n.host.out
	w.WriteByte('\t')
	w.WriteString(key)
	w.WriteByte('=')
	w.WriteString(v)
}

func (n *instance) end() { n.host.out.WriteByte('\n') }

func micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// HandOff writes a send.
func (n *instance) HandOff(wi uint64, worker string, patience float64) {
	n.begin("send")
	n.field("job", int64(wi))
	n.text("worker", worker)
	if patience > 0 {
		n.field("timeout", micros(patience))
	}
	n.end()
}

// Cancel writes a cancel.
func (n *instance) Cancel(wi uint64, ho int) {
	n.begin("cancel")
	n.field("job", int64(wi))
	n.field("shot", int64(ho))
	n.end()
}

// Defer writes a turn_away.
func (n *instance) Defer(wi uint64, pause float64) {
	n.begin("turn_away")
	n.field("job", int64(wi))
	if pause > 0 {
		n.field("pause", micros(pause))
	}
	n.end()
}

// WriteOff writes an abort.
func (n *instance) WriteOff(wi uint64) {
	n.begin("abort")
	n.field("job", int64(wi))
	n.end()
}

// Timer writes a set_timer.
func (n *instance) SetTimer(handle uint64, span float64) {
	n.begin("set_timer")
	n.field("handle", int64(handle))
	n.field("span", micros(span))
	n.end()
}

// Watch writes a keep_informed.
func (n *instance) WatchDiscovery(on bool) {
	n.begin("keep_informed")
	want := int64(0)
	if on {
		want = 1
	}
	n.field("want", want)
	n.end()
}

// Tell writes a broadcast_to.
func (n *instance) SendToPeer(to int, data []byte) {
	n.begin("broadcast_to")
	n.field("to", int64(to))
	n.text("contents", "")
	if len(data) == 0 {
		n.host.out.WriteByte('-')
	}
	n.host.out.Write(hex.AppendEncode(n.host.out.AvailableBuffer(), data))
	n.end()
}
