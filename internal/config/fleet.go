// This file reads the configuration of a fleet's member: the fleet table in the operator's file, and a
// configuration version merged over the member's own configuration. A configuration version, in this package
// "version", is a numbered JSON merge patch that the fleet publishes to all members. This file must never use
// another member's configuration.

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

// Fleet is the [fleet] table of the operator's file. The same text may serve all members.
type Fleet struct {
	Name   string `toml:"name" need:"true"`
	Member string `toml:"member"` // empty: the dispatcher's name
	// empty: the address of the voter with this name, or any free port of 127.0.0.1
	Listen         string          `toml:"listen"`
	BeyondLoopback bool            `toml:"beyond_loopback"`
	Voters         []string        `toml:"voters" need:"true"` // each "name address:port"
	Folder         string          `toml:"folder" need:"true"` // parent of one folder for each member
	WhenIsolated   string          `toml:"alone" oneof:"serve stop"`
	Heartbeat      tomlfile.Millis `toml:"beat" min:"20" max:"60000"`
	Lease          tomlfile.Millis `toml:"lease" min:"100" max:"600000"`
	Drift          float64         `toml:"drift" min:"0" max:"0.2"`
	// each "address:port address:port": a member's published address, and where this process reaches it
	AddressMap []string `toml:"via"`
}

// Defaults sets the values of keys that the table leaves out.
func (f *Fleet) Defaults() { f.WhenIsolated, f.Heartbeat, f.Lease, f.Drift = "serve", 250, 1000, 0.01 }

// Membership is the complete configuration of one member.
type Membership struct {
	Fleet        string
	Name         string
	Listen       string
	IsVoter      bool // whether the file lists this member as a voter
	Voters       []fleet.Voter
	Folder       string
	WhenIsolated fleet.IsolationPolicy
	Timing       fleet.Timing
	// from a published address to the one that this process uses; all others are used as published
	AddressMap map[string]string
}

// check finds the faults that the field tags cannot express.
func (f *Fleet) check(addFault func(key, format string, a ...any)) {
	if n := len(f.Voters); n != 0 && n != 1 && n != 3 && n != 5 {
		addFault("fleet.voters", "%d voters; there must be 1, 3 or 5", n)
	}
	names := map[string]bool{}
	for k, v := range f.Voters {
		name, addr, _ := strings.Cut(v, " ")
		at, err := netip.ParseAddrPort(strings.TrimSpace(addr))
		switch key := fmt.Sprintf("fleet.voters.%d", k); {
		case err != nil || at.Port() == 0:
			addFault(key, "%q is not a name and address:port", v)
		case names[name]:
			addFault(key, "the name %s occurs twice", name)
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
			addFault(key, "%q is not a pair of address:port", v)
		} else {
			f.checkLoopback(key, at, addFault)
		}
	}
	if f.Lease < 3*f.Heartbeat {
		addFault("fleet.lease", "%g ms is less than three heartbeats of %g ms", f.Lease, f.Heartbeat)
	}
}

// checkLoopback rejects an address that is not on loopback unless the file allows it: whoever can connect to
// such an address can publish configuration versions and exclude members.
func (f *Fleet) checkLoopback(key string, at netip.AddrPort, addFault func(key, format string, a ...any)) {
	if !at.Addr().IsLoopback() && !f.BeyondLoopback {
		addFault(key, "%s is not on loopback; the link has no authentication: on a private network set beyond_loopback = true", at)
	}
}

// AnyPort reports whether each process of the member listens at a port of its own.
func (m *Membership) AnyPort() bool {
	at, err := netip.ParseAddrPort(m.Listen)
	return err == nil && at.Port() == 0
}

// MembershipFor returns the membership of the dispatcher with the name.
func (f *Fleet) MembershipFor(name string) (m Membership, err error) {
	m = Membership{Fleet: f.Name, Name: f.Member, Listen: f.Listen, WhenIsolated: fleet.IsolationPolicy(f.WhenIsolated),
		Timing: fleet.Timing{Beat: float64(f.Heartbeat), Lease: float64(f.Lease), Drift: f.Drift}}
	if m.Name == "" {
		m.Name = name
	}
	if m.Name == "" || strings.ContainsAny(m.Name, "/ \x00") || m.Name == "." || m.Name == ".." {
		return m, fmt.Errorf("fleet.member: %q is not a valid member name; an empty key stands for the name in the configuration", m.Name)
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

// CreateFolder creates the member's folder.
func (m Membership) CreateFolder() error {
	if err := os.MkdirAll(m.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return nil
}

// Overlay merges a configuration version (a JSON merge patch, RFC 7386) over own.Text, the text of this
// process's configuration file. A version without the key leaves discovery at own's address: ROUTER_DISCOVERY's
// or the file's at the start, and the file's after a reload. The result keeps own's Text, which is the unmerged one, and own's
// Seed and Temp, which stay as they were at the start. needsRestart names the settings that differ from own's
// and take effect only after a restart. An error names the key at fault.
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
		if patch["discovery"] == nil {
			f.Discovery = own.Discovery.String()
		}
	}); err != nil {
		return c, nil, err
	}
	if len(patch["settings"]) > 0 {
		values, err := settings.ParseJSON(patch["settings"])
		if err != nil {
			return c, nil, fmt.Errorf("settings: %w", err)
		}
		for _, key := range settings.UnknownKeys(values) {
			return c, nil, fmt.Errorf("settings.%s is not known to this program", key)
		}
	}
	c.Settings.Seed, c.Temp, c.Text = own.Settings.Seed, own.Temp, own.Text
	return c, c.needsRestart(own), nil
}

// needsRestart names the settings that differ from those of running and take effect only after a restart.
func (c Config) needsRestart(running Config) []string {
	_, keys := settings.MergeReloadable(running.Settings, c.Settings, running.Names.Equal(c.Names))
	if c.Links.IdleTimeout != running.Links.IdleTimeout || c.Links.ConnectTimeout != running.Links.ConnectTimeout {
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

// merge applies a JSON merge patch to an object: null removes a key, objects are merged, any other value
// replaces the old one.
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

// ReadVersion reads the text of a configuration version that is to be published. It only checks that the text
// is a JSON object: each member checks the version against its own configuration.
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
