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
func ParseFlat(pairs [][]byte) (Values, error) {
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
func ParseJSON(text []byte) (Values, error) {
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
	FreeSlotsKey                      string // load value that tells free slots
}

// Links is what the settings say of connections, for a front that has real ones; 0 where they say nothing.
type ConnectionSettings struct {
	IdleTimeout    float64 // a worker closes a connection that has been idle for so long
	ConnectTimeout float64 // one that is not up within this time counts as failed
	MaxOpen        int     // work items open at once
}

// reader takes values out; the first thing wrong stays in err, and what was looked at in read.
type reader struct {
	values Values
	err    error
	read   map[string]bool
}

func (r *reader) fail(key, problem string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s %s", key, problem)
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

func (r *reader) list(key string) []string {
	r.read[key] = true
	return r.values[key]
}

func (r *reader) text(key string) string { return strings.Join(r.list(key), ",") }

func (r *reader) number(key string, fallback float64) float64 {
	text := r.text(key)
	if text == "" {
		return fallback
	}
	x := r.parse(key, text)
	if x < 0 {
		r.fail(key, "is below 0")
	}
	return x
}

// ms is a time, given in microseconds.
func (r *reader) ms(key string) float64 { return r.number(key, 0) / 1000 }

// within is a whole number from least to most.
func (r *reader) wholeNumber(key string, fallback, low, high int) int {
	x := r.number(key, float64(fallback))
	if x != math.Trunc(x) || x < float64(low) || x > float64(high) {
		r.fail(key, fmt.Sprintf("is not a whole number from %d to %d", low, high))
		return fallback
	}
	return int(x)
}

// word is one of the given, or absent.
func (r *reader) oneOf(key string, words ...string) string {
	text := r.text(key)
	if text != "" && !slices.Contains(words, text) {
		r.fail(key, fmt.Sprintf("is %q, none of %s", text, strings.Join(words, ", ")))
	}
	return text
}

func (r *reader) boolean(key string) bool {
	text := r.text(key)
	if !slices.Contains([]string{"", "true", "1", "false", "0"}, text) {
		r.fail(key, "is neither true nor false")
	}
	return text == "true" || text == "1"
}

// must names a setting without which no dispatcher can keep the rules.
func (r *reader) require(keys ...string) {
	for _, k := range keys {
		if r.text(k) == "" {
			r.fail(k, "is missing")
		}
	}
}

// Read turns values into what a dispatcher, its wire and its links need. An error names the setting.
func Read(v Values, seed uint64) (dispatch.Settings, Names, ConnectionSettings, error) {
	s, n, l, r := readAll(v, seed)
	return s, n, l, r.err
}

// Unread lists the settings, sorted, that nothing here looks at.
func UnknownKeys(v Values) (keys []string) {
	_, _, _, r := readAll(v, 0)
	for key := range v {
		if !r.read[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Unserved says of settings, as they are, what the sockets' protocol has no message for.
func Unsupported(v Values) (notes []string) {
	r := &reader{values: v, read: map[string]bool{}}
	switch r.text("load_info.how") {
	case "answers":
		notes = append(notes, "load_info.how: workers' calls bring no load report on sockets; none is read")
	case "probe":
		notes = append(notes, "load_info.how: load is told to probes only, and this program sends none; the list's weights stand in")
	}
	return notes
}

func readAll(v Values, seed uint64) (dispatch.Settings, Names, ConnectionSettings, *reader) {
	r := &reader{values: v, read: map[string]bool{}}
	r.require("categories.count", "siblings", "granularity", "allowed.max_hand_offs",
		"safety.start_capacity", "safety.cold", "safety.fall", "safety.fall_multiple")
	n := Names{Zones: r.list("localities"), Kinds: r.list("machine_types")}
	siblings := r.wholeNumber("siblings", 1, 1, 1e6)
	s := dispatch.Settings{Seed: seed, Grain: r.ms("granularity"),
		Siblings: siblings, Number: r.wholeNumber("position", 0, 0, siblings-1),
		Zone: slices.Index(n.Zones, r.text("locality")), Kinds: len(n.Kinds),
		NearFirst: r.number("prices.cross_zone", 0) > 0, Keyed: r.number("prices.origin", 0) > 0, LiveWeights: r.oneOf("weights", "nominal", "rough", "none", "live") == "live", ExcessCredit: r.number("excess_credit", 1),
		TellsStart: r.boolean("family_info.tells_start"), Progress: r.ms("family_info.progress"),
		MustAsk: r.oneOf("discovery", "push", "ask") == "ask", MayCancel: r.boolean("allowed.may_cancel"),
		MayTell: r.boolean("allowed.peers"), MayPause: r.boolean("allowed.retry_after"),
		SecondCopies: r.boolean("allowed.second_copies"), MaxPause: r.ms("allowed.max_retry_after"),
		MaxHandOffs: r.wholeNumber("allowed.max_hand_offs", 1, 1, 1000), AnswerSlack: r.ms("safety.answer_slack"),
		AskWithin: r.ms("safety.ask_within"), DrainGrace: r.ms("safety.drain_grace"), StartShare: r.number("safety.start_capacity", 0),
		OnlyDraining: r.boolean("safety.only_draining_binds"),
		Cold:         r.ms("safety.cold"), FallMultiple: r.number("safety.fall_multiple", 1), Fall: r.ms("safety.fall")}
	r.oneOf("load_info.how", "answers", "probe", "none") // Unserved says what comes of it
	if s.StartShare > 1 {
		r.fail("safety.start_capacity", "is above 1")
	}
	l := ConnectionSettings{IdleTimeout: r.ms("allowed.conn_idle"), ConnectTimeout: r.ms("allowed.connect_timeout"),
		MaxOpen: r.wholeNumber("allowed.open_cap", 0, 0, math.MaxInt32)}
	for _, x := range []string{"x0", "x1"} {
		if r.text("family_info.report_"+x) == "free_slots" {
			n.FreeSlotsKey = x
		}
	}
	for k := range r.wholeNumber("categories.count", 1, 1, 1e4) {
		n.Categories = append(n.Categories, r.text("categories."+strconv.Itoa(k)+".name"))
		s.Categories = append(s.Categories, r.category(k, n.Kinds))
	}
	for k := range r.wholeNumber("realms.count", 0, 0, 1e5) {
		prefix := "realms." + strconv.Itoa(k) + "."
		n.Tenants = append(n.Tenants, r.text(prefix+"name"))
		s.Tenants = append(s.Tenants, dispatch.Tenant{PerSec: r.number(prefix+"allowance_per_s", 0)})
	}
	return s, n, l, r
}

func (r *reader) category(k int, kinds []string) dispatch.Category {
	prefix := "categories." + strconv.Itoa(k) + "."
	r.require(prefix+"name", prefix+"semantics", prefix+"expiry", prefix+"due_time")
	c := dispatch.Category{Window: r.ms(prefix + "window"), Due: r.ms(prefix + "due_time"),
		Stretch: r.number(prefix+"aim_stretch", 0), Expiry: r.ms(prefix + "expiry"), Credit: r.number(prefix+"credit", 1), Kind: -1}
	switch r.text(prefix + "semantics") {
	case "repeatable":
	case "by_key":
		c.Repeat = dispatch.Ticketed
	case "once":
		c.Repeat = dispatch.Exclusive
	default:
		r.fail(prefix+"semantics", "is unknown")
	}
	switch r.oneOf(prefix+"group", "all", "zone", "cell") {
	case "zone":
		c.DedupScope = dispatch.DedupZone
	case "cell":
		c.DedupScope = dispatch.DedupCell
	}
	if stretch := r.list("family_info.class_stretch"); k < len(stretch) {
		c.DueStretch = r.parse("family_info.class_stretch", stretch[k])
	}
	if only := r.list("family_info.class_kind"); k < len(only) && only[k] != "-1" {
		if c.Kind = slices.Index(kinds, only[k]); c.Kind < 0 {
			c.Kind = int(r.parse("family_info.class_kind", only[k]))
		}
	}
	return c
}
