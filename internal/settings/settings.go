// Package settings owns the names of the operators' settings and translates them into dispatch.Settings, in
// one place for both sources: the simulator's flat key=value pairs and the nested JSON of the socket
// protocol. It must never make decisions, read a file or depend on where the values came from.
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

// Values holds settings by path. A list of plain values stands under one path, as several values. A list of
// objects has a count and a position in each path, for example categories.count=2 and categories.0.name=a.
type Values map[string][]string

// ParseFlat reads key=value pairs as the simulator sends them.
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

// ParseJSON reads settings from nested JSON.
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

// Names holds the lists of names in the settings. Messages refer to their entries by name.
type Names struct {
	Categories, Tenants, Zones, Kinds []string
	FreeSlotsKey                      string // key of the load value that reports free slots
}

// ConnectionSettings holds the settings about connections, for a transport that has real ones; 0 where a
// value is not set.
type ConnectionSettings struct {
	IdleTimeout    float64 // ms after which a worker closes an idle connection
	ConnectTimeout float64 // ms after which a connection attempt has failed
	MaxOpen        int     // limit on work items that are open at once
}

// reader extracts typed values. It keeps the first error in err and the keys that were looked up in read.
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

// ms returns a duration in milliseconds; the setting is in microseconds.
func (r *reader) ms(key string) float64 { return r.number(key, 0) / 1000 }

// wholeNumber returns an integer from low to high.
func (r *reader) wholeNumber(key string, fallback, low, high int) int {
	x := r.number(key, float64(fallback))
	if x != math.Trunc(x) || x < float64(low) || x > float64(high) {
		r.fail(key, fmt.Sprintf("is not a whole number from %d to %d", low, high))
		return fallback
	}
	return int(x)
}

// oneOf returns one of the given words, or an empty string if the setting is absent.
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

// require checks settings without which a dispatcher cannot meet its guarantees.
func (r *reader) require(keys ...string) {
	for _, k := range keys {
		if r.text(k) == "" {
			r.fail(k, "is missing")
		}
	}
}

// Read converts values into what a dispatcher, its message names and its connections need. An error names the
// setting.
func Read(v Values, seed uint64) (dispatch.Settings, Names, ConnectionSettings, error) {
	s, n, l, r := readAll(v, seed)
	return s, n, l, r.err
}

// UnknownKeys returns the settings, sorted, that this package does not read.
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

// Unsupported describes settings that the socket protocol has no message for.
func Unsupported(v Values) (notes []string) {
	r := &reader{values: v, read: map[string]bool{}}
	switch r.text("load_info.how") {
	case "answers":
		notes = append(notes, "load_info.how: workers send no load report over sockets; none is read")
	case "probe":
		notes = append(notes, "load_info.how: load is told to probes only, and this program sends none; the list's weights are used instead")
	}
	return notes
}

func readAll(v Values, seed uint64) (dispatch.Settings, Names, ConnectionSettings, *reader) {
	r := &reader{values: v, read: map[string]bool{}}
	r.require("categories.count", "siblings", "granularity", "allowed.max_hand_offs",
		"safety.start_capacity", "safety.cold", "safety.fall", "safety.fall_multiple")
	n := Names{Zones: r.list("localities"), Kinds: r.list("machine_types")}
	siblings := r.wholeNumber("siblings", 1, 1, 1e6)
	s := dispatch.Settings{Seed: seed, RoundInterval: r.ms("granularity"),
		Dispatchers: siblings, Position: r.wholeNumber("position", 0, 0, siblings-1),
		Zone: slices.Index(n.Zones, r.text("locality")), Kinds: len(n.Kinds),
		PreferOwnZone: r.number("prices.cross_zone", 0) > 0, KeyAffinity: r.number("prices.origin", 0) > 0, LiveWeights: r.oneOf("weights", "nominal", "rough", "none", "live") == "live", ExcessCredit: r.number("excess_credit", 1),
		StartNotices: r.boolean("family_info.tells_start"), ProgressInterval: r.ms("family_info.progress"),
		DiscoveryOnRequest: r.oneOf("discovery", "push", "ask") == "ask", MayCancel: r.boolean("allowed.may_cancel"),
		MayNotifyPeers: r.boolean("allowed.peers"), MayAdviseRetryAfter: r.boolean("allowed.retry_after"),
		SecondCopies: r.boolean("allowed.second_copies"), MaxRetryAfter: r.ms("allowed.max_retry_after"),
		MaxHandOffs: r.wholeNumber("allowed.max_hand_offs", 1, 1, 1000), AnswerSlack: r.ms("safety.answer_slack"),
		DiscoveryAskWithin: r.ms("safety.ask_within"), DrainGrace: r.ms("safety.drain_grace"), StartCapacity: r.number("safety.start_capacity", 0),
		OnlyDrainingBinds: r.boolean("safety.only_draining_binds"),
		WarmUpTime:        r.ms("safety.cold"), OverloadMultiple: r.number("safety.fall_multiple", 1), OverloadWindow: r.ms("safety.fall")}
	r.oneOf("load_info.how", "answers", "probe", "none") // Unsupported reports the effect
	if s.StartCapacity > 1 {
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
		s.Tenants = append(s.Tenants, dispatch.Tenant{AllowancePerSec: r.number(prefix+"allowance_per_s", 0)})
	}
	return s, n, l, r
}

func (r *reader) category(k int, kinds []string) dispatch.Category {
	prefix := "categories." + strconv.Itoa(k) + "."
	r.require(prefix+"name", prefix+"semantics", prefix+"expiry", prefix+"due_time")
	c := dispatch.Category{DedupWindow: r.ms(prefix + "window"), DueTime: r.ms(prefix + "due_time"),
		DueStretch: r.number(prefix+"aim_stretch", 0), Expiry: r.ms(prefix + "expiry"), Credit: r.number(prefix+"credit", 1), Kind: -1}
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
