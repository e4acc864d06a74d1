package virtualtime

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFleetUnderFaults simulates small fleets with faults. The history must not diverge, and no member may
// act on an older version after a fence was reported complete.
func TestFleetUnderFaults(t *testing.T) {
	published, fences := 0, 0
	for seed := range uint64(40) {
		r := RunFleet(FleetScenario{Members: 7, Voters: []int{1, 3, 5}[seed%3], Seed: seed, MessageLoss: 0.1, CutShare: 0.3, Faults: 8, Length: 30000})
		if r.Violation != "" {
			t.Errorf("seed %d: %s", seed, r.Violation)
		}
		published += r.Published
		fences += r.FencesCompleted
	}
	if published < 200 || fences < 80 {
		t.Errorf("%d versions and %d fences in 40 runs are too few to show anything", published, fences)
	}
}

// TestFleetIsDeterministic checks that the same seed gives the same run, including its elections.
func TestFleetIsDeterministic(t *testing.T) {
	d := FleetScenario{Members: 20, Voters: 5, Seed: 3, MessageLoss: 0.1, CutShare: 0.2, Faults: 10, Length: 20000}
	a, b := RunFleet(d), RunFleet(d)
	if a.LeaderMessageRate != b.LeaderMessageRate || a.MemberByteRate != b.MemberByteRate || len(a.TimeToAll) != len(b.TimeToAll) {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestSharedStatesChangeNothing checks that copying computed states between members does not change the
// result.
func TestSharedStatesChangeNothing(t *testing.T) {
	for seed := range uint64(6) {
		d := FleetScenario{Members: 12, Voters: 3, Seed: seed, MessageLoss: 0.1, CutShare: 0.2, Faults: 6, Length: 16000}
		if diff := cmp.Diff(simulateFleet(d, false), simulateFleet(d, true)); diff != "" {
			t.Errorf("seed %d (-computed by each member +shared):\n%s", seed, diff)
		}
	}
}
