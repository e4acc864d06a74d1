// This file owns what a fleet's process is told: its table in the operator's file, and a version laid over its own
// configuration. It must never reach for another member's.

package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"weldmast/internal/fleet"
	"weldmast/internal/settings"
	"weldmast/internal/tomlfile"
)

// Fleet is the operator's table. The same text may serve all members.
type Fleet struct {
	Name           string          `toml:"name" need:"true"`
	Member         string          `toml:"member"` // empty: the dispatcher's name
	Listen         string          `toml:"listen"` // empty: the voter's address of this name, or any free port of 127.0.0.1
	BeyondLoopback bool            `toml:"beyond_loopback"`
	Voters         []string        `toml:"voters" need:"true"` // "name address:port" each
	Folder         string          `toml:"folder" need:"true"` // one below it for each member
	WhenIsolated   string          `toml:"alone" oneof:"serve stop"`
	Heartbeat      tomlfile.Millis `toml:"beat" min:"20" max:"60000"`
	Lease          tomlfile.Millis `toml:"lease" min:"100" max:"600000"`
	Drift          float64         `toml:"drift" min:"0" max:"0.2"`
	AddressMap     []string        `toml:"via"` // "address:port address:port": where a member's address is found from here
}

// Defaults of a fleet.
func (f *Fleet) Defaults() { f.WhenIsolated, f.Heartbeat, f.Lease, f.Drift = "serve", 250, 1000, 0.01 }

// Membership is the table, complete, for the dispatcher of a name.
type Membership struct {
	Fleet        string
	Name         string
	Listen       string
	IsVoter      bool // it has a seat by the file
	Voters       []fleet.Voter
	Folder       string
	WhenIsolated fleet.IsolationPolicy
	Timing       fleet.Timing
	AddressMap   map[string]string // published address to where it is found from here; others are found where they are
}

// check finds what single values do not show.
func (f *Fleet) check(addFault func(key, format string, a ...any)) {
	if n := len(f.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		addFault("fleet.voters", "%d voters; there have to be 1, 3 or 5", n)
	}
	names := map[string]bool{}
	for k, v := range f.Voters {
		name, addr, _ := strings.Cut(v, " ")
		at, err := netip.ParseAddrPort(strings.TrimSpace(addr))
		switch key := fmt.Sprintf("fleet.voters.%d", k); {
		case err != nil || at.Port() == 0:
			addFault(key, "%q is no name and address:port", v)
		case names[name]:
			addFault(key, "the name %s is there twice", name)
		default:
			f.checkLoopback(key, at, addFault)
		}
		names[name] = true
	}
	if f.Listen != "" {
		if at, err := netip.ParseAddrPort(f.Listen); err != nil {
			addFault("fleet.listen", "%q is not an address and port", f.Listen)
		} else {
			f.checkLoopback("fleet.listen", at, addFault)
		}
	}
	for k, v := range f.AddressMap {
		from, to, _ := strings.Cut(v, " ")
		_, err := netip.ParseAddrPort(from)
		at, err2 := netip.ParseAddrPort(strings.TrimSpace(to))
		if key := fmt.Sprintf("fleet.via.%d", k); err != nil || err2 != nil {
			addFault(key, "%q is not two of address:port", v)
		} else {
			f.checkLoopback(key, at, addFault)
		}
	}
	if f.Lease < 3*f.Heartbeat {
		addFault("fleet.lease", "%g ms are less than three beats of %g", f.Lease, f.Heartbeat)
	}
}

// near refuses what is not on loopback unless the file says so: whoever reaches the link can publish and shut out.
func (f *Fleet) checkLoopback(key string, at netip.AddrPort, addFault func(key, format string, a ...any)) {
	if !at.Addr().IsLoopback() && !f.BeyondLoopback {
		addFault(key, "%s is not on loopback; the link has no sign-in: on a private network say beyond_loopback = true", at)
	}
}

// Of is the table for the dispatcher of the name.
func (f *Fleet) MembershipFor(name string) (m Membership, err error) {
	m = Membership{Fleet: f.Name, Name: f.Member, Listen: f.Listen, WhenIsolated: fleet.IsolationPolicy(f.WhenIsolated),
		Timing: fleet.Timing{Beat: float64(f.Heartbeat), Lease: float64(f.Lease), Drift: f.Drift}}
	if m.Name == "" {
		m.Name = name
	}
	if m.Name == "" || strings.ContainsAny(m.Name, "/ \x00") || m.Name == "." || m.Name == ".." {
		return m, fmt.Errorf("fleet.member: %q can be no member's name: the configuration's name is used where none is said", m.Name)
	}
	for _, v := range f.AddressMap {
		if m.AddressMap == nil {
			m.AddressMap = map[string]string{}
		}
		from, to, _ := strings.Cut(v, " ")
		m.AddressMap[from] = strings.TrimSpace(to)
	}
	for _, v := range f.Voters {
		voterName, addr, _ := strings.Cut(v, " ")
		addr = strings.TrimSpace(addr)
		m.Voters = append(m.Voters, fleet.Voter{Name: voterName, Address: addr})
		if voterName == m.Name {
			if m.IsVoter = true; m.Listen == "" {
				m.Listen = addr
			}
			if m.Listen != addr {
				return m, fmt.Errorf("fleet.listen: %s, but the voters have %s at %s", m.Listen, voterName, addr)
			}
		}
	}
	slices.SortFunc(m.Voters, func(a, b fleet.Voter) int { return strings.Compare(a.Name, b.Name) })
	if m.Listen == "" {
		m.Listen = "127.0.0.1:0"
	}
	m.Folder = filepath.Join(f.Folder, m.Name)
	return m, nil
}

// Prepare makes the member's folder.
func (m Membership) CreateFolder() error {
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return nil
}

// Overlay is the configuration with a version of the fleet's laid over what the file said (a JSON merge patch, RFC 7386),
// and the names of what differs from the running one and waits for a restart. An error names the key at fault.
func Overlay(own Config, getenv func(string) string, version []byte) (c Config, needsRestart []string, err error) {
	var patch map[string]json.RawMessage
	if err := json.Unmarshal(version, &patch); err != nil {
		return c, nil, fmt.Errorf("not a JSON object: %w", err)
	}
	for _, key := range sortedKeys(patch) {
		if !slices.Contains([]string{"discovery", "settings", "mark"}, key) {
			return c, nil, fmt.Errorf("%s: a version may say discovery, mark and settings; this is each member's own, or not known to this program", key)
		}
	}
	var base, overlay map[string]any
	if err := decode(own.Text, &base); err != nil {
		return c, nil, fmt.Errorf("own configuration: %w", err)
	}
	if err := decode(version, &overlay); err != nil {
		return c, nil, err
	}
	text, err := json.Marshal(merge(base, overlay))
	if err != nil {
		return c, nil, fmt.Errorf("laid over: %w", err)
	}
	if c, err = parse(text, func(f *file) {
		overrideFromEnv(f, getenv)
		if at := getenv("ROUTER_DISCOVERY"); at != "" && patch["discovery"] == nil {
			f.Discovery = at
		}
	}); err != nil {
		return c, nil, err
	}
	if len(patch["settings"]) > 0 {
		values, err := settings.Nested(patch["settings"])
		if err != nil {
			return c, nil, fmt.Errorf("settings: %w", err)
		}
		for _, key := range settings.Unread(values) {
			return c, nil, fmt.Errorf("settings.%s is not known to this program", key)
		}
	}
	c.Settings.Seed, c.Temp, c.Text = own.Settings.Seed, own.Temp, own.Text
	return c, c.needsRestart(own), nil
}

// waits names what of the settings differs from those of a running program and waits for a restart.
func (c Config) needsRestart(running Config) []string {
	_, keys := settings.InFlight(running.Settings, c.Settings, running.Names.Same(c.Names))
	if c.Links.Idle != running.Links.Idle || c.Links.Connect != running.Links.Connect {
		keys = append(keys, "allowed.conn_idle", "allowed.connect_timeout")
	}
	for k := range keys {
		keys[k] = "settings." + keys[k]
	}
	return keys
}

func decode(text []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	return d.Decode(into)
}

// merge lays one object over another: null takes a key out, objects are merged, all else takes the place of what was.
func merge(target, patch map[string]any) map[string]any {
	if target == nil {
		target = map[string]any{}
	}
	for key, value := range patch {
		nested, isObject := value.(map[string]any)
		switch {
		case value == nil:
			delete(target, key)
		case isObject:
			existing, _ := target[key].(map[string]any)
			target[key] = merge(existing, nested)
		default:
			target[key] = value
		}
	}
	return target
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Version reads the text of a version that is to be published. That it is an object is all that can be said of it here:
// each member checks it against its own configuration.
func ReadVersion(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("version: %w", err)
	}
	var patch map[string]json.RawMessage
	if err := json.Unmarshal(text, &patch); err != nil {
		return nil, fmt.Errorf("%s: not a JSON object: %w", path, err)
	}
	return text, nil
}
