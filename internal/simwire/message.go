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
type message struct {
	rawName []byte
	fields  [][]byte
	err     error
	hexBuf  []byte
}

func (f *message) split(line []byte) {
	f.fields, f.err = f.fields[:0], nil
	head, rest, more := bytes.Cut(line, []byte{'\t'})
	f.rawName = head
	for more {
		var part []byte
		part, rest, more = bytes.Cut(rest, []byte{'\t'})
		f.fields = append(f.fields, part)
	}
}

func (f *message) name() string { return string(f.rawName) }

func (f *message) fail(key, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s %s", f.rawName, key, problem)
	}
}

// opt is the field's value, nil when it is absent.
func (f *message) optional(key string) []byte {
	for _, p := range f.fields {
		if len(p) > len(key) && p[len(key)] == '=' && string(p[:len(key)]) == key {
			return p[len(key)+1:]
		}
	}
	return nil
}

func (f *message) has(key string) bool { return f.optional(key) != nil }

func (f *message) required(key string) []byte {
	v := f.optional(key)
	if len(v) == 0 {
		f.fail(key, "is missing")
	}
	return v
}

func (f *message) int(key string) int64 {
	v := f.required(key)
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

func (f *message) intOr(key string, fallback int64) int64 {
	if !f.has(key) {
		return fallback
	}
	return f.int(key)
}

func (f *message) id(key string) uint64 {
	n := f.int(key)
	if n < 0 {
		f.fail(key, "is below zero")
	}
	return uint64(n)
}

// time is a field in microseconds, as milliseconds.
func (f *message) time(key string) float64 { return float64(f.int(key)) / 1000 }

func (f *message) timeOr(key string, fallback float64) float64 {
	if !f.has(key) {
		return fallback
	}
	return f.time(key)
}

func (f *message) numOr(key string, fallback float64) float64 {
	v := f.optional(key)
	if v == nil {
		return fallback
	}
	return f.num(key, v)
}

func (f *message) num(key string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(key, "is not a number")
		return 0
	}
	return x
}

// hex decodes into a buffer that the next call uses again.
func (f *message) hex(key string) []byte {
	v := f.optional(key)
	if len(v) == 0 || (len(v) == 1 && v[0] == '-') {
		return nil
	}
	data, err := hex.AppendDecode(f.hexBuf[:0], v)
	if err != nil {
		f.fail(key, "is not hex")
	}
	f.hexBuf = data
	return data
}

// names are the settings' lists, in which lines name their things.
type nameLists struct{ settings.Names }

func indexOf(list []string, name []byte) int {
	for k, s := range list {
		if s == string(name) {
			return k
		}
	}
	return -1
}

func (n *nameLists) category(f *message) int {
	v := f.required("lane")
	k := indexOf(n.Categories, v)
	if k < 0 && len(v) > 0 {
		f.fail("lane", "is not a known category")
	}
	return k
}

func (n *nameLists) loadReport(f *message) dispatch.LoadReport {
	l := dispatch.UnknownLoad
	rest, more := f.optional("stats"), true
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

func outcome(f *message) dispatch.Outcome {
	switch string(f.required("status")) {
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
