package virtualtime

import (
	"fmt"
	"testing"

	"weldmast/internal/fleetmodel"
)

// faultCase is a small experiment for one fault case. Its exclusive and rerunnable work items are short and
// frequent, so that many are in progress at any time.
const faultCase = `
length = "4s"
[dispatchers]
count = 2
restart = "300ms"
[network]
notice = "300ms"
far = "2ms"
[workers]
sites = 2
cold = "1s"
[[kind]]
name = "a"
count = 6
cores = 4
slots = 4
[[category]]
name = "plan"
cost = "20ms"
expiry = "1s"
[[category]]
name = "order"
repeat = "exclusive"
cost = "20ms"
expiry = "1s"
[arrivals]
rate = 500
`

// TestFaultCases runs each case with several seeds. No run may break a rule, and each case must have had its
// effect.
func TestFaultCases(t *testing.T) {
	for _, c := range []struct {
		name, more string
		effect     func(model *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool
	}{
		// network delays keep each of these states open for a while
		{"workers die with hand-offs before their 202, after it, and between start and callback",
			"[[fault]]\nat = \"1s\"\nfor = \"200ms\"\nwhat = \"kill\"\ncount = 5\n[[fault]]\nat = \"2s\"\nfor = \"200ms\"\nwhat = \"kill\"\ncount = 6\n",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool { return n[fleetmodel.WrittenOff] > 0 }},
		{"callbacks overtake the 202 and one another, repeat, and come after the final answer",
			"[[fault]]\nat = 0\nfor = \"4s\"\nwhat = \"callbacks_late\"\namount = 1200\n[[fault]]\nat = 0\nfor = \"4s\"\nwhat = \"callbacks_repeat\"\n",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool {
				return n[fleetmodel.WrittenOff]+n[fleetmodel.Deferred] > 0
			}},
		// fixed costs: the way there, the work and the way back take 20.4 ms
		{"expiries that fall into the instant of the answer",
			"",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool {
				return n[fleetmodel.Finished] > 100 && n[fleetmodel.WrittenOff] > 100
			}},
		{"a cut that heals, both sides holding old state",
			"[[fault]]\nat = \"1s\"\nfor = \"700ms\"\nwhat = \"cut\"\n[[fault]]\nat = \"2500ms\"\nfor = \"1200ms\"\nwhat = \"cut\"\nsite = \"a\"\n",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool { return n[fleetmodel.WrittenOff] > 0 }},
		{"a rolling deploy during a site loss",
			"[[fault]]\nat = \"1s\"\nfor = \"100ms\"\nwhat = \"deploy\"\n[[fault]]\nat = \"1200ms\"\nfor = \"1s\"\nwhat = \"site_loss\"\nsite = \"a\"\n",
			func(model *fleetmodel.Model, _ map[fleetmodel.Outcome]int) bool { return len(model.Workers()) > 6 }},
		{"a dispatcher killed with hundreds open",
			"[[fault]]\nat = \"1s\"\nfor = \"2s\"\nwhat = \"slow\"\namount = 0.05\n[[fault]]\nat = \"1800ms\"\nwhat = \"dispatcher_kill\"\n",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool { return n[fleetmodel.ConnectionLost] > 50 }},
		{"the same two faults at the same instant",
			"[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"vanish\"\n[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"dispatcher_kill\"\n",
			func(model *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool {
				return len(model.Annotations) >= 2 && n[fleetmodel.ConnectionLost] > 0
			}},
		{"stopped and killed while starting",
			"[[fault]]\nat = \"1s\"\nwhat = \"dispatcher_kill\"\n[[fault]]\nat = \"1300ms\"\nwhat = \"dispatcher_stop\"\n[[fault]]\nat = \"1301ms\"\nwhat = \"dispatcher_kill\"\n",
			func(_ *fleetmodel.Model, n map[fleetmodel.Outcome]int) bool {
				return n[fleetmodel.NoDispatcher]+n[fleetmodel.ConnectionLost] > 0
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			total := map[fleetmodel.Outcome]int{}
			for seed := range uint64(4) {
				text := faultCase + c.more
				experiment, err := fleetmodel.ParseExperiment("fault case", []byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if c.more == "" {
					for k := range experiment.Categories {
						experiment.Categories[k].Distribution, experiment.Categories[k].Expiry = "fixed", 20.4+fleetmodel.Millis(seed)*0.2
					}
					experiment.Network.Jitter, experiment.Dispatchers.RoundInterval = 0, 0.1
				}
				model, _, err := Run(t.Context(), experiment, seed, nil, nil)
				if err != nil {
					t.Fatal(err)
				}
				n := map[fleetmodel.Outcome]int{}
				for _, j := range model.Jobs {
					n[j.Outcome]++
					total[j.Outcome]++
				}
				for _, v := range model.Checker.Violations[:min(3, len(model.Checker.Violations))] {
					t.Errorf("seed %d: %v", seed, v)
				}
				if n[fleetmodel.Waiting] > 0 || len(model.Jobs) < 1500 {
					t.Errorf("seed %d: %d of %d jobs without an outcome, or too few jobs", seed, n[fleetmodel.Waiting], len(model.Jobs))
				}
				if seed == 3 && !c.effect(model, total) {
					t.Errorf("the case had no effect: outcomes %s", fmt.Sprint(total))
				}
			}
		})
	}
}
