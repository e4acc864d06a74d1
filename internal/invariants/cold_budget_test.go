package invariants

import (
	"fmt"
	"testing"

	"weldmast/internal/dispatch"
)

// TestColdBudget has thirty dispatchers, all of which know when a cold worker started, send it work of mean
// cost. With a budget of N work items, 2*sqrt(N) + 2 more are allowed for chance, but at most a fifth more
// than N. The next work item must be reported.
func TestColdBudget(t *testing.T) {
	const mean = 10.
	for n, holds := range map[float64]int{4: 4, 25: 30, 100: 120, 400: 442, 2500: 2602} {
		checker := New(Config{Categories: []Category{{}}, MaxHandOffs: 1, WarmUpTime: 1e12, OverloadWindow: 1000, OverloadMultiple: 1, StartCapacity: 0.5, MeanCost: mean})
		checker.WorkerStarted(0, "w", 0, n*mean/0.5/1000, 0)
		for d := range 30 {
			checker.DispatcherStarted(0, d)
			checker.WorkerListed(0, d, "w", dispatch.Up, 0)
		}
		for k := range holds + 1 {
			id := fmt.Sprint(k)
			checker.RequestReceived(1, k%30, id, 0, k, 1e6)
			checker.HandOffSent(1, 1, k%30, id, 0, "w", mean)
			if broken := checker.Counts[NoColdOverload] > 0; broken != (k == holds) {
				t.Fatalf("N %v: violation reported: %v at request %d; %d requests are within the limit", n, broken, k+1, holds)
			}
		}
	}
}
