package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func loadOperatorFile(t *testing.T, text string) (OperatorFile, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "op.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperatorFile(path, os.Getenv)
}

func TestFleetTable(t *testing.T) {
	const good = "[fleet]\nname = \"f\"\nvoters = [\"a 127.0.0.1:7100\"]\nfolder = \"/x\"\n"
	for _, c := range []struct{ text, want string }{
		{good, ""},
		{"", ""},
		{"[fleet]\n", "fleet.folder: is missing"},
		{good + "alone = \"maybe\"\n", `fleet.alone: "maybe" is none of serve, stop`},
		{good + "lease = \"500ms\"\n", "fleet.lease: 500 ms is less than three heartbeats of 250 ms"},
		{good + "listen = \"10.0.0.1:1\"\n", "fleet.listen: 10.0.0.1:1 is not on loopback"},
		{good + "listen = \"10.0.0.1:1\"\nbeyond_loopback = true\n", ""},
		{good + "listen = \"here\"\n", `fleet.listen: "here" is not an address and port`},
		{good + "via = [\"127.0.0.1:1\"]\n", "fleet.via.0: \"127.0.0.1:1\" is not a pair of address:port"},
		{strings.Replace(good, `["a 127.0.0.1:7100"]`, `["a 127.0.0.1:7100", "b 127.0.0.1:7101"]`, 1), "fleet.voters: 2 voters; there must be 1, 3 or 5"},
		{strings.Replace(good, `["a 127.0.0.1:7100"]`, `["a 127.0.0.1:7100", "a 127.0.0.1:7101", "b x"]`, 1), "the name a occurs twice"},
	} {
		_, err := loadOperatorFile(t, c.text)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s\n%v", c.text, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s\n%v, want %q", c.text, err, c.want)
		}
	}
	o, err := loadOperatorFile(t, good)
	if err != nil {
		t.Fatal(err)
	}
	a, err := o.Fleet.MembershipFor("a")
	if err != nil || !a.IsVoter || a.Listen != "127.0.0.1:7100" || a.Folder != "/x/a" {
		t.Errorf("%+v %v", a, err)
	}
	if b, err := o.Fleet.MembershipFor("b"); err != nil || b.IsVoter || b.Listen != "127.0.0.1:0" {
		t.Errorf("%+v %v", b, err)
	}
	for _, name := range []string{"", "..", "a/b"} {
		if _, err := o.Fleet.MembershipFor(name); err == nil {
			t.Errorf("%q is accepted as a member name", name)
		}
	}
}

func TestOverlay(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	none := func(string) string { return "" }
	base, err := parse(text, nil)
	if err != nil {
		t.Fatal(err)
	}
	base.Text = text
	for _, c := range []struct{ version, fault, waits string }{
		{`{}`, "", ""},
		{`{"mark":"a","settings":{"allowed":{"max_hand_offs":2,"open_cap":7}},"discovery":"127.0.0.1:9"}`, "", ""},
		{`{"settings":{"allowed":{"second_copies":true},"safety":{"cold":1}}}`, "", "settings.allowed.second_copies settings.safety"},
		{`[]`, "not a JSON object", ""},
		{`{"listen":"127.0.0.1:1"}`, "listen: a version may say discovery, mark and settings", ""},
		{`{"lister":1}`, "lister: a version may say", ""},
		{`{"mark":"two words"}`, "mark: ", ""},
		{`{"settings":{"allowed":{"max_hand_offs":0}}}`, "settings.allowed.max_hand_offs is not a whole number", ""},
		{`{"settings":{"allowed":{"max_handoffs":2}}}`, "settings.allowed.max_handoffs is not known to this program", ""},
		{`{"settings":{"categories":null}}`, "settings.categories.count is missing", ""},
	} {
		v, waits, err := Overlay(base, none, []byte(c.version))
		switch {
		case c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)):
			t.Errorf("%s: %v, want %q", c.version, err, c.fault)
		case c.fault == "" && err != nil:
			t.Errorf("%s: %v", c.version, err)
		case c.fault == "" && strings.Join(waits, " ") != c.waits:
			t.Errorf("%s: needs a restart: %v, want %s", c.version, waits, c.waits)
		}
		if strings.Contains(c.version, "open_cap") && (v.Settings.MaxHandOffs != 2 || v.Links.MaxOpen != 7 || v.Mark != "a" || v.Discovery.Port() != 9 || v.Name != base.Name) {
			t.Errorf("%s: %+v", c.version, v)
		}
	}
}

// TestOverlayKeepsDiscovery guards against a version without a discovery address that moves discovery back from
// where a reload has moved it.
func TestOverlayKeepsDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	set := func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_DISCOVERY": "127.0.0.1:8"}[name]
	}
	started, err := Load(set)
	if err != nil {
		t.Fatal(err)
	}
	reloaded, _, err := Reload(set, started)
	if err != nil {
		t.Fatal(err)
	}
	for name, own := range map[string]Config{"started": started, "reloaded": reloaded} {
		if v, _, err := Overlay(own, set, []byte(`{}`)); err != nil || v.Discovery != own.Discovery {
			t.Errorf("%s: a version without a discovery address: %v %v, want %v", name, v.Discovery, err, own.Discovery)
		}
		if v, _, err := Overlay(own, set, []byte(`{"discovery":"127.0.0.1:9"}`)); err != nil || v.Discovery.Port() != 9 {
			t.Errorf("%s: a version with a discovery address: %v %v", name, v.Discovery, err)
		}
	}
	if started.Discovery.Port() != 8 || reloaded.Discovery.Port() == 8 {
		t.Errorf("ROUTER_DISCOVERY goes first at the start, the file after a reload: %v, %v", started.Discovery, reloaded.Discovery)
	}
}
