// Package config owns what the program is told when it starts and at a reload: it alone reads the environment and the
// JSON file, checks both and fills in what may be left out. It must never open a socket or decide
// anything, and nothing else may look at the environment.
package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"weldmast/internal/dispatch"
	"weldmast/internal/migrate"
	"weldmast/internal/settings"
)

// Config is checked and complete.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	Ops        netip.AddrPort // where operators call; not valid: nowhere
	Temp       string         // folder in which processes of this dispatcher find each other; empty: nowhere
	PeerListen netip.AddrPort // not valid: no messages between siblings
	Peers      []netip.AddrPort
	PeersAll   netip.AddrPort // not valid: each of Peers is sent to
	Known      json.RawMessage
	Settings   dispatch.Settings
	Names      settings.Names
	Links      settings.ConnectionSettings
	Unserved   []string // what of the settings the sockets' protocol has no message for
	Cores      int      // to run on at once
	MemoryMB   int
	Sockets    int
	Text       []byte // as it was read
	Mark       string // each hand-off bears it as X-Release; empty: none does
}

// The least with which the program can serve.
const (
	minMemoryMB = 32
	minSockets  = 64
)

// What holds where the settings say nothing of connections, in milliseconds.
const (
	defaultIdle    = 5000 // short: a worker that closes first costs a hand-off
	defaultConnect = 1000
)

// file is the JSON as it stands.
type file struct {
	Shape      *int            `json:"shape"`
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Ops        string          `json:"ops"`
	Seed       string          `json:"seed"`
	Limits     limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
	Mark       string          `json:"mark"`
}

type limits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Load reads the file that ROUTER_CONFIG names; ROUTER_NAME, ROUTER_LISTEN, ROUTER_OPS and ROUTER_DISCOVERY
// go before what it says. An error names the key at fault.
func Load(getenv func(string) string) (Config, error) {
	c, err := load(getenv, getenv("ROUTER_DISCOVERY"))
	if c.Ops.IsValid() { // where operators can ask whether a new process is ready
		c.Temp = getenv("TMPDIR")
	}
	return c, err
}

// Reload reads and checks the file again. ROUTER_DISCOVERY told of the start: what the file says now is newer.
// Changed names the keys that differ and that only a new start can heed.
func Reload(getenv func(string) string, old Config) (c Config, changed []string, err error) {
	if c, err = load(getenv, ""); err != nil {
		return old, nil, err
	}
	c.Settings.Seed, c.Temp = old.Settings.Seed, old.Temp // of the start
	changed = c.needsRestart(old)
	newValue, oldValue := reflect.ValueOf(c), reflect.ValueOf(old)
	for k := range newValue.NumField() {
		name := newValue.Type().Field(k).Name
		if !slices.Contains(reloadable, name) && !reflect.DeepEqual(newValue.Field(k).Interface(), oldValue.Field(k).Interface()) {
			changed = append(changed, name)
		}
	}
	return c, changed, nil
}

// heeded at a reload, of no meaning to a program that runs, or looked at key by key.
var reloadable = []string{"Discovery", "Known", "Unserved", "Text", "Mark", "Settings", "Links", "Names"} // the last three: waits tells

func load(getenv func(string) string, discovery string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := parse(text, func(f *file) {
		overrideFromEnv(f, getenv)
		if discovery != "" {
			f.Discovery = discovery
		}
	})
	c.Text = text
	return c, err
}

// parse checks a configuration's text, with what goes before it.
func parse(text []byte, adjust func(f *file)) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("%s: is a %s, wanted a %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if adjust != nil {
		adjust(&f)
	}
	return f.check()
}

func overrideFromEnv(f *file, getenv func(string) string) {
	for _, v := range []struct {
		to   *string
		name string
	}{{&f.Name, "ROUTER_NAME"}, {&f.Listen, "ROUTER_LISTEN"}, {&f.Ops, "ROUTER_OPS"}} {
		if set := getenv(v.name); set != "" {
			*v.to = set
		}
	}
}

// pool checks what only a configuration of the new shape must say or must not.
func (f *file) checkPool(values settings.Values) error {
	switch {
	case f.Shape == nil || *f.Shape == 1:
		return nil
	case *f.Shape != migrate.Shape:
		return fmt.Errorf("shape: %d is none that this program knows", *f.Shape)
	case f.PeerListen != "" || f.PeersAll != "" || len(f.Peers) > 0:
		return errors.New("peers: dispatchers of a pool (shape 2) do not speak to each other")
	}
	for _, key := range []string{"weights", "prices.origin", "load_info.how"} {
		if len(values[key]) == 0 || values[key][0] == "" {
			return fmt.Errorf("settings.%s is missing, which shape 2 must say", key)
		}
	}
	return nil
}

func (f *file) check() (c Config, err error) {
	c = Config{Name: f.Name, Known: f.Known, Mark: f.Mark, Cores: 1, MemoryMB: 192, Sockets: 1024}
	addr := func(key, text string, required bool) (a netip.AddrPort) {
		if text == "" && !required || err != nil {
			return a
		}
		if a, err = netip.ParseAddrPort(text); err != nil {
			err = fmt.Errorf("%s: %q is not an address and port", key, text)
		}
		return a
	}
	atLeast := func(key string, given *int, to *int, atLeast int) {
		if given != nil {
			*to = *given
		}
		if *to < atLeast && err == nil {
			err = fmt.Errorf("%s: %d is below %d", key, *to, atLeast)
		}
	}
	if strings.ContainsFunc(f.Mark, func(r rune) bool { return r <= ' ' || r > '~' }) || len(f.Mark) > 64 {
		return c, fmt.Errorf("mark: %q is not up to 64 printable characters without blanks", f.Mark)
	}
	c.Listen = addr("listen", f.Listen, true)
	c.Discovery = addr("discovery", f.Discovery, true)
	c.Ops = addr("ops", f.Ops, false)
	c.PeerListen = addr("peer_listen", f.PeerListen, false)
	c.PeersAll = addr("peers_all", f.PeersAll, false)
	for k, p := range f.Peers {
		c.Peers = append(c.Peers, addr(fmt.Sprintf("peers[%d]", k), p, true))
	}
	if cores := f.Limits.Cores; cores != nil {
		if *cores <= 0 && err == nil {
			err = fmt.Errorf("limits.cores: %v is not above 0", *cores)
		}
		c.Cores = int(math.Ceil(*cores))
	}
	atLeast("limits.memory_mb", f.Limits.MemoryMB, &c.MemoryMB, minMemoryMB)
	atLeast("limits.sockets", f.Limits.Sockets, &c.Sockets, minSockets)
	if err != nil {
		return c, err
	}
	var seed uint64
	raw, err := hex.DecodeString(f.Seed)
	if err != nil || len(raw) != 8 {
		return c, fmt.Errorf("seed: %q is not 16 hex digits", f.Seed)
	}
	for _, b := range raw {
		seed = seed<<8 | uint64(b)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings: is missing")
	}
	values, err := settings.ParseJSON(f.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Settings, c.Names, c.Links, err = settings.Read(values, seed); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	if err := f.checkPool(values); err != nil {
		return c, err
	}
	c.Unserved = settings.Unsupported(values)
	l := &c.Links
	if l.Idle <= 0 {
		l.Idle = defaultIdle
	}
	if l.Connect <= 0 {
		l.Connect = defaultConnect
	}
	if maxOpen := c.Sockets / 2; l.MaxOpen <= 0 || l.MaxOpen > maxOpen { // a client that waits holds a socket
		l.MaxOpen = maxOpen
	}
	if s := &c.Settings; len(c.Peers) == 0 || !c.PeerListen.IsValid() {
		s.MayNotifyPeers = false // no way to tell anybody
	} else if len(c.Peers) != s.Dispatchers {
		return c, fmt.Errorf("peers: %d addresses for %d siblings", len(c.Peers), s.Dispatchers)
	}
	return c, nil
}
