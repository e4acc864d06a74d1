package virtualtime

import (
	"os"
	"testing"

	"weldmast/internal/fleetmodel"
)

func read(t testing.TB, name string) *fleetmodel.Experiment {
	t.Helper()
	text, err := os.ReadFile("../../lab/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	x, err := fleetmodel.ParseExperiment(name, text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// TestCalm: with room enough, all is answered in time and no rule broken.
func TestCalm(t *testing.T) {
	w, _, err := Run(t.Context(), read(t, "calm"), 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	late := 0
	for _, j := range w.Jobs {
		if !w.Experiment.InTime(j) {
			late++
		}
	}
	if len(w.Jobs) < 10000 || late > len(w.Jobs)/1000 || !w.Checker.Clean() {
		t.Errorf("%d of %d late; %v", late, len(w.Jobs), w.Checker.Violations)
	}
}

// TestAllFaults: every trouble on one day breaks no rule, and each leaves its mark on somebody.
func TestAllFaults(t *testing.T) {
	for seed := range uint64(3) {
		w, _, err := Run(t.Context(), read(t, "all-faults"), seed, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		count := map[fleetmodel.Outcome]int{}
		for _, j := range w.Jobs {
			count[j.Outcome]++
		}
		for _, v := range w.Checker.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		if count[fleetmodel.ConnectionLost]+count[fleetmodel.NoDispatcher] == 0 || count[fleetmodel.Deferred] == 0 || count[fleetmodel.ClientLeft] == 0 {
			t.Errorf("seed %d: no trouble: %v", seed, count)
		}
		if count[fleetmodel.Waiting] > 0 || count[fleetmodel.Finished] < len(w.Jobs)*8/10 {
			t.Errorf("seed %d: %v of %d", seed, count, len(w.Jobs))
		}
	}
}

// TestOddWorlds: no worker, one, one kind, no time at all, the ends of the seeds.
func TestOddWorlds(t *testing.T) {
	for name, text := range map[string]string{
		"no worker":    "[[kind]]\nname = \"a\"\ncount = 0\n[[category]]\nname = \"c\"\nexpiry = \"300ms\"\n",
		"one worker":   "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\n",
		"expiry of 0":  "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\nexpiry = 0\n",
		"two at once":  "[[kind]]\nname = \"a\"\ncount = 3\n[[category]]\nname = \"c\"\n[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"kill\"\ncount = 2\n[[fault]]\nat = \"1s\"\nfor = \"500ms\"\nwhat = \"vanish\"\ncount = 2\n",
		"all are gone": "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\n[[fault]]\nat = \"1s\"\nwhat = \"vanish\"\n",
	} {
		for _, seed := range []uint64{0, 1<<64 - 1} {
			x, err := fleetmodel.ParseExperiment(name, []byte("length = \"3s\"\n[arrivals]\nrate = 20\n"+text))
			if err != nil {
				t.Fatal(err)
			}
			w, _, err := Run(t.Context(), x, seed, nil, nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if !w.Checker.Clean() || len(w.Jobs) < 30 {
				t.Errorf("%s, seed %d: %d jobs, %v", name, seed, len(w.Jobs), w.Checker.Violations)
			}
		}
	}
}
