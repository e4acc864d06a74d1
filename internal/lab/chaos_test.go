package lab

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/invariants"
	"weldmast/internal/realtime"
)

// buildPrograms builds the dispatcher and the voter, from the source as it is or with a change.
func buildPrograms(t *testing.T, change func(read func(path string) string) map[string]string) realtime.Options {
	t.Helper()
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	args := []string{"build", "-buildvcs=false", "-o", dir}
	if change != nil {
		replace := map[string]string{}
		read := func(path string) string {
			text, err := os.ReadFile(filepath.Join(root, path))
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
		for path, text := range change(read) {
			if text == read(path) {
				t.Fatalf("%s: the text to replace does not occur", path)
			}
			other := filepath.Join(dir, strings.ReplaceAll(path, "/", "_"))
			if err := os.WriteFile(other, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			replace[filepath.Join(root, path)] = other
		}
		overlay, err := json.Marshal(map[string]any{"Replace": replace})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "-overlay", filepath.Join(dir, "overlay.json"))
	}
	cmd := exec.Command("go", append(args, "./cmd/weldmast", "./cmd/weldmast-voter")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return realtime.Options{Program: filepath.Join(dir, "weldmast"), VoterProgram: filepath.Join(dir, "weldmast-voter"), MaxLatenessP99: 10, MaxLateness: 200}
}

// shortExperiment is a small version of lab/fleet-audit.toml: three voters and two followers, twelve seconds.
func shortExperiment(t *testing.T, sets ...string) *fleetmodel.Experiment {
	t.Helper()
	x, err := LoadExperiment("../../lab/fleet-audit.toml", append([]string{`length="12s"`, `dispatchers.count=5`, `fleet.voters=3`, `arrivals.rate=80`, `storm.until="6s"`,
		`storm.span="1500ms"`, `storm.faults=10`, `storm.most=2`}, sets...)...)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// TestChaosRuns runs fixed seeds with real processes: none may violate a rule.
func TestChaosRuns(t *testing.T) {
	t.Parallel()
	o := buildPrograms(t, nil)
	x, judged := shortExperiment(t), 0
	for seed := range uint64(4) {
		// A run in which this machine delayed the lab itself shows nothing of the fleet: it is repeated.
		for range 3 {
			s, err := RunChaos(context.Background(), x, seed, o)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(s.Summary())
			if s.Void != "" {
				continue
			}
			judged++
			for _, v := range s.Violations {
				t.Errorf("seed %d: %s", s.Seed, v)
			}
			break
		}
	}
	if judged == 0 {
		t.Error("every run was void: this machine is too busy")
	}
}

// TestFaultyFleetsDetected runs fleets with one fault each in the source: the checker must detect it.
func TestFaultyFleetsDetected(t *testing.T) {
	t.Parallel()
	for _, w := range []struct {
		name         string
		path         string
		from, to     string
		sets         []string
		first, count uint64
		rules        []invariants.Rule
	}{
		{"a lease used for half its duration beyond the grant", "internal/fleetagent/agent.go", "a.holder.HandleRenewal(sent, reply.Renewal)", "sent = a.opts.Clock.Now() + a.opts.Timing.Lease/2\n\t\ta.holder.HandleRenewal(sent, reply.Renewal)",
			[]string{`storm.what=["publish", "publish", "publish", "publish", "link_cut", "link_cut"]`, `storm.span="4s"`, `storm.faults=24`, `storm.most=1`}, 1, 20, []invariants.Rule{invariants.FenceRespected}},
		{"persisted votes lost at a restart", "internal/consensus/disk_store.go", "\treturn d.write(next, records...)\n}\n\n// Compact", "\treturn nil\n}\n\n// Compact",
			[]string{`storm.what=["publish", "publish", "dispatcher_kill", "dispatcher_kill"]`, `storm.most=5`}, 1, 20, []invariants.Rule{invariants.SingleHistory, invariants.FleetRecovered}},
		{"a version replaced by the one before", "internal/fleet/lease_holder.go", "\th.pendingVersion = newest\n", "\th.pendingVersion = newest\n\tif older, ok := h.state.Version(newest - 1); ok {\n\t\tv.Text = older.Text\n\t}\n",
			[]string{`storm.what=["publish", "publish", "publish_twice", "link_late"]`}, 1, 20, []invariants.Rule{invariants.FenceRespected, invariants.AuditComplete}},
		{"an action recorded late", "internal/fleetagent/lease_guard.go", "g.run.RecordAction(g.clock.UnixTime(), a)", "g.run.RecordAction(g.clock.UnixTime()+1500, a)",
			[]string{`storm.what=["publish"]`}, 1, 20, []invariants.Rule{invariants.AuditComplete}},
		{"a snapshot without its last entry", "internal/fleet/state.go", "return Encode(snapshot{FormatVersion, s.data, s.lastEntry}) }",
			"d := s.data; if k := len(d.Versions); k > 0 { d.Versions = d.Versions[:k-1] }; return Encode(snapshot{FormatVersion, d, s.lastEntry}) }",
			[]string{`storm.what=["publish", "publish", "folder_empty", "folder_empty"]`}, 1, 20, []invariants.Rule{invariants.FleetRecovered}},
	} {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			o := buildPrograms(t, func(read func(string) string) map[string]string {
				return map[string]string{w.path: strings.Replace(read(w.path), w.from, w.to, 1)}
			})
			x := shortExperiment(t, append([]string{`length="10s"`, `fleet.heal="3s"`}, w.sets...)...)
			for seed := w.first; seed < w.first+w.count; seed++ {
				s, err := RunChaos(context.Background(), x, seed, o)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range s.Violations {
					for _, rule := range w.rules {
						if v.Rule == rule {
							t.Logf("detected after %d runs: %s", seed-w.first+1, v)
							return
						}
					}
				}
			}
			t.Errorf("not detected in %d runs", w.count)
		})
	}
}
