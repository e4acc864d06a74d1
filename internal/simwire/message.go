package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// fields is one line, split in place. The first thing wrong with it stays in err.
type fields struct {
	head  []byte
	parts [][]byte
	err   error
	bytes []byte
}

func (f *fields) split(line []byte) {
	f.parts, f.err = f.parts[:0], nil
	head, rest, more := bytes.Cut(line, []byte{'\t'})
	f.head = head
	for more {
		var part []byte
		part, rest, more = bytes.Cut(rest, []byte{'\t'})
		f.parts = append(f.parts, part)
	}
}

func (f *fields) name() string { return string(f.head) }

func (f *fields) fail(key, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s %s", f.head, key, what)
	}
}

// opt is the field's value, nil when it is absent.
func (f *fields) opt(key string) []byte {
	for _, p := range f.parts {
		if len(p) > len(key) && p[len(key)] == '=' && string(p[:len(key)]) == key {
			return p[len(key)+1:]
		}
	}
	return nil
}

func (f *fields) has(key string) bool { return f.opt(key) != nil }

func (f *fields) text(key string) []byte {
	v := f.opt(key)
	if len(v) == 0 {
		f.fail(key, "is missing")
	}
	return v
}

func (f *fields) int(key string) int64 {
	v := f.text(key)
	if len(v) == 0 {
		return 0
	}
	neg := v[0] == '-'
	if neg {
		v = v[1:]
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' || n > (math.MaxInt64-9)/10 {
			f.fail(key, "is not a whole number")
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if len(v) == 0 {
		f.fail(key, "is not a whole number")
	}
	if neg {
		return -n
	}
	return n
}

func (f *fields) intOr(key string, absent int64) int64 {
	if !f.has(key) {
		return absent
	}
	return f.int(key)
}

func (f *fields) id(key string) uint64 {
	n := f.int(key)
	if n < 0 {
		f.fail(key, "is below zero")
	}
	return uint64(n)
}

// time is a field in microseconds, as milliseconds.
func (f *fields) time(key string) float64 { return float64(f.int(key)) / 1000 }

func (f *fields) timeOr(key string, absent float64) float64 {
	if !f.has(key) {
		return absent
	}
	return f.time(key)
}

func (f *fields) numOr(key string, absent float64) float64 {
	v := f.opt(key)
	if v == nil {
		return absent
	}
	return f.num(key, v)
}

func (f *fields) num(key string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(key, "is not a number")
		return 0
	}
	return x
}

// hex decodes into a buffer that the next call uses again.
func (f *fields) hex(key string) []byte {
	v := f.opt(key)
	if len(v) == 0 || (len(v) == 1 && v[0] == '-') {
		return nil
	}
	data, err := hex.AppendDecode(f.bytes[:0], v)
	if err != nil {
		f.fail(key, "is not hex")
	}
	f.bytes = data
	return data
}

// names are the settings' lists, in which lines name their things.
type names struct{ settings.Names }

func find(list []string, name []byte) int {
	for k, s := range list {
		if s == string(name) {
			return k
		}
	}
	return -1
}

func (n *names) category(f *fields) int {
	v := f.text("lane")
	k := find(n.Categories, v)
	if k < 0 && len(v) > 0 {
		f.fail("lane", "is not a known category")
	}
	return k
}

func (n *names) load(f *fields) dispatch.LoadReport {
	l := dispatch.UnknownLoad
	rest, more := f.opt("stats"), true
	for more && len(rest) > 0 {
		var pair []byte
		pair, rest, more = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		switch {
		case !ok:
			f.fail("stats", "is not a list of pairs")
		case n.FreeSlotsKey != "" && string(name) == n.FreeSlotsKey:
			l.FreeSlots = f.num("stats", value)
		}
	}
	return l
}

func outcome(f *fields) dispatch.Outcome {
	switch string(f.text("status")) {
	case "Ok":
		return dispatch.Finished
	case "Failed":
		return dispatch.Failed
	case "QueueFull":
		return dispatch.Full
	case "TimedOut":
		return dispatch.TimedOut
	case "ConnectError":
		return dispatch.ConnectFailed
	case "ResetByPeer":
		return dispatch.ConnReset
	case "Canceled":
		return dispatch.Cancelled
	case "Ignored":
		return dispatch.NotSent
	}
	f.fail("status", "is unknown")
	return dispatch.Failed
}
