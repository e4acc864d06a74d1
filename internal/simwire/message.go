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

// message is one line of the wire, split in place into its name and key=value fields. err is the first error
// found in it.
type message struct {
	rawName []byte
	fields  [][]byte
	err     error
	hexBuf  []byte
}

func (m *message) split(line []byte) {
	m.fields, m.err = m.fields[:0], nil
	head, rest, more := bytes.Cut(line, []byte{'\t'})
	m.rawName = head
	for more {
		var part []byte
		part, rest, more = bytes.Cut(rest, []byte{'\t'})
		m.fields = append(m.fields, part)
	}
}

func (m *message) name() string { return string(m.rawName) }

func (m *message) fail(key, problem string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s %s", m.rawName, key, problem)
	}
}

// optional returns the value of a field, or nil if the field is absent.
func (m *message) optional(key string) []byte {
	for _, p := range m.fields {
		if len(p) > len(key) && p[len(key)] == '=' && string(p[:len(key)]) == key {
			return p[len(key)+1:]
		}
	}
	return nil
}

func (m *message) has(key string) bool { return m.optional(key) != nil }

func (m *message) required(key string) []byte {
	v := m.optional(key)
	if len(v) == 0 {
		m.fail(key, "is missing")
	}
	return v
}

func (m *message) int(key string) int64 {
	v := m.required(key)
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
			m.fail(key, "is not a whole number")
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if len(v) == 0 {
		m.fail(key, "is not a whole number")
	}
	if neg {
		return -n
	}
	return n
}

func (m *message) intOr(key string, fallback int64) int64 {
	if !m.has(key) {
		return fallback
	}
	return m.int(key)
}

func (m *message) id(key string) uint64 {
	n := m.int(key)
	if n < 0 {
		m.fail(key, "is below zero")
	}
	return uint64(n)
}

// time returns a field given in microseconds as milliseconds.
func (m *message) time(key string) float64 { return float64(m.int(key)) / 1000 }

func (m *message) timeOr(key string, fallback float64) float64 {
	if !m.has(key) {
		return fallback
	}
	return m.time(key)
}

func (m *message) numOr(key string, fallback float64) float64 {
	v := m.optional(key)
	if v == nil {
		return fallback
	}
	return m.num(key, v)
}

func (m *message) num(key string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		m.fail(key, "is not a number")
		return 0
	}
	return x
}

// hex decodes a field into a buffer that the next call reuses.
func (m *message) hex(key string) []byte {
	v := m.optional(key)
	if len(v) == 0 || (len(v) == 1 && v[0] == '-') {
		return nil
	}
	data, err := hex.AppendDecode(m.hexBuf[:0], v)
	if err != nil {
		m.fail(key, "is not hex")
	}
	m.hexBuf = data
	return data
}

// nameLists has the names from the settings (categories, tenants, zones, kinds) that lines refer to.
type nameLists struct{ settings.Names }

func indexOf(list []string, name []byte) int {
	for k, s := range list {
		if s == string(name) {
			return k
		}
	}
	return -1
}

func (n *nameLists) category(m *message) int {
	v := m.required("lane")
	k := indexOf(n.Categories, v)
	if k < 0 && len(v) > 0 {
		m.fail("lane", "is not a known category")
	}
	return k
}

func (n *nameLists) loadReport(m *message) dispatch.LoadReport {
	report := dispatch.UnknownLoad
	rest, more := m.optional("stats"), true
	for more && len(rest) > 0 {
		var pair []byte
		pair, rest, more = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		switch {
		case !ok:
			m.fail("stats", "is not a list of pairs")
		case n.FreeSlotsKey != "" && string(name) == n.FreeSlotsKey:
			report.FreeSlots = m.num("stats", value)
		}
	}
	return report
}

func outcome(m *message) dispatch.Outcome {
	switch string(m.required("status")) {
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
	m.fail("status", "is unknown")
	return dispatch.Failed
}
