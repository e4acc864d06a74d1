package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	"weldmast/internal/dispatch"
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
type names struct {
	categories, tenants, zones, kinds []string
	free                              string // load value that tells free slots
}

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
	k := find(n.categories, v)
	if k < 0 && len(v) > 0 {
		f.fail("lane", "is not a known category")
	}
	return k
}

func (n *names) load(f *fields) dispatch.Load {
	l := dispatch.NoLoad
	rest, more := f.opt("stats"), true
	for more && len(rest) > 0 {
		var pair []byte
		pair, rest, more = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		switch {
		case !ok:
			f.fail("stats", "is not a list of pairs")
		case n.free != "" && string(name) == n.free:
			l.Free = f.num("stats", value)
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
		return dispatch.Reset
	case "Canceled":
		return dispatch.Cancelled
	case "Ignored":
		return dispatch.Moot
	}
	f.fail("status", "is unknown")
	return dispatch.Failed
}

// pairs are the settings of one configure line.
type pairs struct {
	m map[string]string
	f *fields
}

func (p pairs) num(key string, absent float64) float64 {
	v, ok := p.m[key]
	if !ok {
		return absent
	}
	return p.f.num(key, []byte(v))
}

func (p pairs) ms(key string) float64 { return p.num(key, 0) / 1000 }
func (p pairs) yes(key string) bool   { return p.m[key] == "true" || p.m[key] == "1" }
func (p pairs) list(key string) []string {
	if p.m[key] == "" {
		return nil
	}
	return strings.Split(p.m[key], ",")
}

// must names a setting without which no dispatcher can keep the rules.
func (p pairs) must(keys ...string) {
	for _, k := range keys {
		if p.m[k] == "" {
			p.f.fail(k, "is missing")
		}
	}
}

func (n *instance) configure(f *fields) (dispatch.Settings, error) {
	p := pairs{make(map[string]string, len(f.parts)), f}
	for _, part := range f.parts {
		k, v, ok := strings.Cut(string(part), "=")
		if !ok {
			f.fail(k, "has no value")
		}
		p.m[k] = v
	}
	p.must("categories.count", "siblings", "granularity", "allowed.max_hand_offs",
		"safety.start_capacity", "safety.cold", "safety.fall", "safety.fall_multiple")
	s := dispatch.Settings{Seed: f.id("nonce64"), Grain: p.ms("granularity"),
		Siblings: int(p.num("siblings", 1)), Number: int(p.num("position", 0)),
		NearFirst: p.num("prices.cross_zone", 0) > 0, ExcessCredit: p.num("excess_credit", 1), TellsStart: p.yes("family_info.tells_start"),
		Progress: p.ms("family_info.progress"), MustAsk: p.m["discovery"] == "ask",
		MayCancel: p.yes("allowed.may_cancel"), MayTell: p.yes("allowed.peers"), MayPause: p.yes("allowed.retry_after"),
		SecondCopies: p.yes("allowed.second_copies"), MaxPause: p.ms("allowed.max_retry_after"),
		MaxHandOffs: int(p.num("allowed.max_hand_offs", 1)), AnswerSlack: p.ms("safety.answer_slack"),
		AskWithin: p.ms("safety.ask_within"), StartShare: p.num("safety.start_capacity", 0),
		Cold: p.ms("safety.cold"), FallMultiple: p.num("safety.fall_multiple", 1),
		Fall: p.ms("safety.fall")}
	n.names.zones, n.names.kinds = p.list("localities"), p.list("machine_types")
	s.Zone, s.Kinds = find(n.names.zones, []byte(p.m["locality"])), len(n.names.kinds)
	for _, x := range []string{"x0", "x1"} {
		if p.m["family_info.report_"+x] == "free_slots" {
			n.names.free = x
		}
	}
	stretch, only := p.list("family_info.class_stretch"), p.list("family_info.class_kind")
	for k := range int(p.num("categories.count", 0)) {
		at := "categories." + strconv.Itoa(k) + "."
		p.must(at+"name", at+"semantics", at+"expiry", at+"due_time")
		c := dispatch.Category{Window: p.ms(at + "window"), Due: p.ms(at + "due_time"),
			Stretch: p.num(at+"aim_stretch", 0), Expiry: p.ms(at + "expiry"),
			Credit: p.num(at+"credit", 1), Kind: -1}
		switch p.m[at+"semantics"] {
		case "repeatable":
		case "by_key":
			c.Repeat = dispatch.Ticketed
		case "once":
			c.Repeat = dispatch.Exclusive
		default:
			f.fail(at+"semantics", "is unknown")
		}
		switch p.m[at+"group"] {
		case "zone":
			c.Group = dispatch.GroupZone
		case "cell":
			c.Group = dispatch.GroupCell
		}
		if k < len(stretch) {
			c.Stretch = f.num("family_info.class_stretch", []byte(stretch[k]))
		}
		if k < len(only) && only[k] != "-1" {
			if c.Kind = find(n.names.kinds, []byte(only[k])); c.Kind < 0 {
				c.Kind = int(f.num("family_info.class_kind", []byte(only[k])))
			}
		}
		n.names.categories = append(n.names.categories, p.m[at+"name"])
		s.Categories = append(s.Categories, c)
	}
	for k := range int(p.num("realms.count", 0)) {
		at := "realms." + strconv.Itoa(k) + "."
		n.names.tenants = append(n.names.tenants, p.m[at+"name"])
		s.Tenants = append(s.Tenants, dispatch.Tenant{PerSec: p.num(at+"allowance_per_s", 0)})
	}
	return s, f.err
}
