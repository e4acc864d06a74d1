// Package config reads the program's configuration, at the start and at a reload: the JSON file, the
// operator's TOML file, and the environment variables that override values or name these files. It checks all
// of them and fills in defaults. It must never open a socket or make dispatching decisions. Other packages
// must not read the environment, except that program tests whether ROUTER_CONFIG is set and passes os.Getenv
// to this package.
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

// Config is a checked configuration with all defaults filled in. Reload returns names of its fields, which
// the serve command logs.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	Ops        netip.AddrPort // address for operators' requests; not valid: none
	Temp       string         // folder in which processes of this dispatcher find each other; empty: they don't
	PeerListen netip.AddrPort // not valid: no messages between peers
	Peers      []netip.AddrPort
	PeersAll   netip.AddrPort  // address that reaches all peers; not valid: each of Peers gets its own message
	Known      json.RawMessage // workers to start with until discovery answers; may be empty or null
	Settings   dispatch.Settings
	Names      settings.Names
	Links      settings.ConnectionSettings // connections to workers; MaxOpen is the limit on clients that wait at once
	// notes on settings that have no effect in this program, as the connections to workers carry no such data
	Unserved []string
	Cores    int    // number of CPUs to use at once
	MemoryMB int    // memory limit of the process, in MiB
	Sockets  int    // limit on file descriptors of the process
	Text     []byte // the file as read, before any version is merged
	Mark     string // sent with each hand-off as X-Release; empty: no such header
}

// Lower bounds with which the program can serve.
const (
	minMemoryMB = 32
	minSockets  = 64
)

// Defaults for connections to workers, in milliseconds.
const (
	defaultIdle    = 5000 // short, because a hand-off fails if the worker closes the connection first
	defaultConnect = 1000
)

// file is the JSON file as it is decoded.
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

// Load reads the file that ROUTER_CONFIG names. ROUTER_NAME, ROUTER_LISTEN, ROUTER_OPS and ROUTER_DISCOVERY
// override its values. An error names the key at fault.
func Load(getenv func(string) string) (Config, error) {
	c, err := load(getenv, getenv("ROUTER_DISCOVERY"))
	if c.Ops.IsValid() { // a takeover needs an address at which operators can ask whether the new process is ready
		c.Temp = getenv("TMPDIR")
	}
	return c, err
}

// Reload reads and checks the file again. It ignores ROUTER_DISCOVERY, as the file's value is newer.
// needsRestart lists what differs from old and takes effect only after a restart: keys of
// settings with the prefix "settings.", and names of Config fields for the rest.
func Reload(getenv func(string) string, old Config) (c Config, needsRestart []string, err error) {
	if c, err = load(getenv, ""); err != nil {
		return old, nil, err
	}
	c.Settings.Seed, c.Temp = old.Settings.Seed, old.Temp // these stay as they were at the start
	needsRestart = c.needsRestart(old)
	newValue, oldValue := reflect.ValueOf(c), reflect.ValueOf(old)
	for k := range newValue.NumField() {
		name := newValue.Type().Field(k).Name
		if !slices.Contains(notComparedByField, name) && !reflect.DeepEqual(newValue.Field(k).Interface(), oldValue.Field(k).Interface()) {
			needsRestart = append(needsRestart, name)
		}
	}
	return c, needsRestart, nil
}

// notComparedByField are the fields that Reload doesn't compare as a whole. Discovery, Known and Mark take
// effect at a reload. Unserved and Text don't matter to a running program. Settings and the timeouts of Links
// are compared key by key by the method needsRestart, which needs Names for that; Links.MaxOpen takes effect
// at a reload.
var notComparedByField = []string{"Discovery", "Known", "Unserved", "Text", "Mark", "Settings", "Links", "Names"}

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

// parse decodes and checks a configuration's text; adjust, if not nil, changes the decoded values before the
// check.
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

// checkPool checks the keys that only shape 2 (a pool of dispatchers) requires or forbids.
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
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = defaultConnect
	}
	if maxOpen := c.Sockets / 2; l.MaxOpen <= 0 || l.MaxOpen > maxOpen { // a waiting client uses a socket
		l.MaxOpen = maxOpen
	}
	if s := &c.Settings; len(c.Peers) == 0 || !c.PeerListen.IsValid() {
		s.MayNotifyPeers = false // there is no address to send to
	} else if len(c.Peers) != s.Dispatchers {
		return c, fmt.Errorf("peers: %d addresses for %d siblings", len(c.Peers), s.Dispatchers)
	}
	return c, nil
}
