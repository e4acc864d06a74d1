// Package settings owns the names that the operators give their settings, and turns them into
// dispatch.Settings in one place for both wires: the simulator's flat pairs and the nested JSON of the
// sockets. It must never decide anything, read a file or know where the values came from.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"weldmast/internal/dispatch"
)

// Values holds settings by path; a plain list has several values, a list of objects a count and paths
// with positions.
type Values map[string][]string

// Flat reads pairs as the simulator writes them.
func Flat(pairs [][]byte) (Values, error) {
	v := make(Values, len(pairs))
	for _, p := range pairs {
		key, value, ok := strings.Cut(string(p), "=")
		if !ok {
			return nil, fmt.Errorf("%s has no value", key)
		}
		if v[key] = nil; value != "" {
			v[key] = strings.Split(value, ",")
		}
	}
	return v, nil
}

// Nested reads the same as JSON.
func Nested(text []byte) (Values, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	v := Values{}
	v.flatten("", tree)
	return v, nil
}

func (v Values) flatten(path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, y := range x {
			v.flatten(path+key, y)
		}
	case []any:
		for k, y := range x {
			switch y.(type) {
			case map[string]any, []any:
				v[path+".count"] = []string{strconv.Itoa(len(x))}
				v.flatten(path+"."+strconv.Itoa(k), y)
			default:
				v.flatten(path, y)
			}
		}
	case nil:
	default:
		v[path] = append(v[path], fmt.Sprint(x))
	}
}

// Names are the settings' lists, in which messages name their things.
type Names struct {
	Categories, Tenants, Zones, Kinds []string
	Free                              string // load value that tells free slots
}

// Links is what the settings say of connections, for a front that has real ones; 0 where they say nothing.
type Links struct {
	Idle    float64 // a worker closes a connection that has been idle for so long
	Connect float64 // one that is not up within this time counts as failed
	MaxOpen int     // work items open at once
}

// reader takes values out; the first thing wrong stays in err.
type reader struct {
	v   Values
	err error
}

func (r *reader) fail(key, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s %s", key, what)
	}
}

func (r *reader) parse(key, text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		r.fail(key, "is not a number")
		return 0
	}
	return x
}

func (r *reader) text(key string) string { return strings.Join(r.v[key], ",") }

func (r *reader) num(key string, absent float64) float64 {
	if len(r.v[key]) == 0 {
		return absent
	}
	return r.parse(key, r.text(key))
}

// ms is a time, given in microseconds.
func (r *reader) ms(key string) float64 { return r.num(key, 0) / 1000 }

func (r *reader) yes(key string) bool { return r.text(key) == "true" || r.text(key) == "1" }

// whether is yes, where another value than one of the two must not pass for no.
func (r *reader) whether(key string) bool {
	switch r.text(key) {
	case "", "true", "1", "false", "0":
	default:
		r.fail(key, "is neither true nor false")
	}
	return r.yes(key)
}

// must names a setting without which no dispatcher can keep the rules.
func (r *reader) must(keys ...string) {
	for _, k := range keys {
		if r.text(k) == "" {
			r.fail(k, "is missing")
		}
	}
}

// Read turns values into what a dispatcher, its wire and its links need. An error names the setting.
func Read(v Values, seed uint64) (dispatch.Settings, Names, Links, error) {
	r := &reader{v: v}
	r.must("categories.count", "siblings", "granularity", "allowed.max_hand_offs",
		"safety.start_capacity", "safety.cold", "safety.fall", "safety.fall_multiple")
	n := Names{Zones: v["localities"], Kinds: v["machine_types"]}
	s := dispatch.Settings{Seed: seed, Grain: r.ms("granularity"),
		Siblings: int(r.num("siblings", 1)), Number: int(r.num("position", 0)),
		Zone: slices.Index(n.Zones, r.text("locality")), Kinds: len(n.Kinds),
		NearFirst: r.num("prices.cross_zone", 0) > 0, Keyed: r.num("prices.origin", 0) > 0, LiveWeights: r.text("weights") == "live", ExcessCredit: r.num("excess_credit", 1),
		TellsStart: r.yes("family_info.tells_start"), Progress: r.ms("family_info.progress"),
		MustAsk: r.text("discovery") == "ask", MayCancel: r.yes("allowed.may_cancel"),
		MayTell: r.yes("allowed.peers"), MayPause: r.yes("allowed.retry_after"),
		SecondCopies: r.yes("allowed.second_copies"), MaxPause: r.ms("allowed.max_retry_after"),
		MaxHandOffs: int(r.num("allowed.max_hand_offs", 1)), AnswerSlack: r.ms("safety.answer_slack"),
		AskWithin: r.ms("safety.ask_within"), StartShare: r.num("safety.start_capacity", 0),
		OnlyDraining: r.whether("safety.only_draining_binds"),
		Cold:         r.ms("safety.cold"), FallMultiple: r.num("safety.fall_multiple", 1), Fall: r.ms("safety.fall")}
	l := Links{Idle: r.ms("allowed.conn_idle"), Connect: r.ms("allowed.connect_timeout"),
		MaxOpen: int(r.num("allowed.open_cap", 0))}
	for _, x := range []string{"x0", "x1"} {
		if r.text("family_info.report_"+x) == "free_slots" {
			n.Free = x
		}
	}
	for k := range int(r.num("categories.count", 0)) {
		n.Categories = append(n.Categories, r.text("categories."+strconv.Itoa(k)+".name"))
		s.Categories = append(s.Categories, r.category(k, n.Kinds))
	}
	for k := range int(r.num("realms.count", 0)) {
		at := "realms." + strconv.Itoa(k) + "."
		n.Tenants = append(n.Tenants, r.text(at+"name"))
		s.Tenants = append(s.Tenants, dispatch.Tenant{PerSec: r.num(at+"allowance_per_s", 0)})
	}
	return s, n, l, r.err
}

func (r *reader) category(k int, kinds []string) dispatch.Category {
	at := "categories." + strconv.Itoa(k) + "."
	r.must(at+"name", at+"semantics", at+"expiry", at+"due_time")
	c := dispatch.Category{Window: r.ms(at + "window"), Due: r.ms(at + "due_time"),
		Stretch: r.num(at+"aim_stretch", 0), Expiry: r.ms(at + "expiry"), Credit: r.num(at+"credit", 1), Kind: -1}
	switch r.text(at + "semantics") {
	case "repeatable":
	case "by_key":
		c.Repeat = dispatch.Ticketed
	case "once":
		c.Repeat = dispatch.Exclusive
	default:
		r.fail(at+"semantics", "is unknown")
	}
	switch r.text(at + "group") {
	case "zone":
		c.Group = dispatch.GroupZone
	case "cell":
		c.Group = dispatch.GroupCell
	}
	if stretch := r.v["family_info.class_stretch"]; k < len(stretch) {
		c.Stretch = r.parse("family_info.class_stretch", stretch[k])
	}
	if only := r.v["family_info.class_kind"]; k < len(only) && only[k] != "-1" {
		if c.Kind = slices.Index(kinds, only[k]); c.Kind < 0 {
			c.Kind = int(r.parse("family_info.class_kind", only[k]))
		}
	}
	return c
}
