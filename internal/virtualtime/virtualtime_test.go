package virtualtime

import (
	"os"
	"testing"

	"weldmast/internal/fleetmodel"
)

func readExperiment(t testing.TB, name string) *fleetmodel.Experiment {
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

// TestLowLoad checks that with enough capacity, nearly every job is answered in time and no rule is broken.
func TestLowLoad(t *testing.T) {
	model, _, err := Run(t.Context(), readExperiment(t, "calm"), 1, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	late := 0
	for _, j := range model.Jobs {
		if !model.Experiment.InTime(j) {
			late++
		}
	}
	if len(model.Jobs) < 10000 || late > len(model.Jobs)/1000 || !model.Checker.Clean() {
		t.Errorf("%d of %d jobs late; violations: %v", late, len(model.Jobs), model.Checker.Violations)
	}
}

// TestAllFaults checks that a run with every type of fault breaks no rule, and that the faults affect
// clients.
func TestAllFaults(t *testing.T) {
	for seed := range uint64(3) {
		model, _, err := Run(t.Context(), readExperiment(t, "all-faults"), seed, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		outcomes := map[fleetmodel.Outcome]int{}
		for _, j := range model.Jobs {
			outcomes[j.Outcome]++
		}
		for _, v := range model.Checker.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		if outcomes[fleetmodel.ConnectionLost]+outcomes[fleetmodel.NoDispatcher] == 0 || outcomes[fleetmodel.Deferred] == 0 || outcomes[fleetmodel.ClientLeft] == 0 {
			t.Errorf("seed %d: the faults did not affect clients: %v", seed, outcomes)
		}
		if outcomes[fleetmodel.Waiting] > 0 || outcomes[fleetmodel.Finished] < len(model.Jobs)*8/10 {
			t.Errorf("seed %d: outcomes %v of %d jobs", seed, outcomes, len(model.Jobs))
		}
	}
}

// TestEdgeCases runs experiments with no worker, one worker, an expiry of 0, simultaneous faults and the loss
// of all workers, with the smallest and the largest seed.
func TestEdgeCases(t *testing.T) {
	for name, text := range map[string]string{
		"no worker":    "[[kind]]\nname = \"a\"\ncount = 0\n[[category]]\nname = \"c\"\nexpiry = \"300ms\"\n",
		"one worker":   "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\n",
		"expiry of 0":  "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\nexpiry = 0\n",
		"two at once":  "[[kind]]\nname = \"a\"\ncount = 3\n[[category]]\nname = \"c\"\n[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"kill\"\ncount = 2\n[[fault]]\nat = \"1s\"\nfor = \"500ms\"\nwhat = \"vanish\"\ncount = 2\n",
		"all are gone": "[[kind]]\nname = \"a\"\n[[category]]\nname = \"c\"\n[[fault]]\nat = \"1s\"\nwhat = \"vanish\"\n",
	} {
		for _, seed := range []uint64{0, 1<<64 - 1} {
			experiment, err := fleetmodel.ParseExperiment(name, []byte("length = \"3s\"\n[arrivals]\nrate = 20\n"+text))
			if err != nil {
				t.Fatal(err)
			}
			model, _, err := Run(t.Context(), experiment, seed, nil, nil)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if !model.Checker.Clean() || len(model.Jobs) < 30 {
				t.Errorf("%s, seed %d: %d jobs, violations %v", name, seed, len(model.Jobs), model.Checker.Violations)
			}
		}
	}
}
