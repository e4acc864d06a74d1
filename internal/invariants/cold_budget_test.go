package invariants

import (
	"fmt"
	"testing"

	"weldmast/internal/dispatch"
)

// TestColdBudget: thirty dispatchers that all know of its start send a cold worker work of mean cost. It stands up to what
// its budget of N and chance allow, 2 root N + 2, and to no more than a fifth over N; the next one is convicted.
func TestColdBudget(t *testing.T) {
	const mean = 10.
	for n, holds := range map[float64]int{4: 4, 25: 30, 100: 120, 400: 442, 2500: 2602} {
		a := New(Config{Categories: []Category{{}}, MaxHandOffs: 1, WarmUpTime: 1e12, OverloadWindow: 1000, OverloadMultiple: 1, StartCapacity: 0.5, MeanCost: mean})
		a.WorkerStarted(0, "w", 0, n*mean/0.5/1000, 0)
		for d := range 30 {
			a.DispatcherStarted(0, d)
			a.WorkerListed(0, d, "w", dispatch.Up, 0)
		}
		for k := range holds + 1 {
			id := fmt.Sprint(k)
			a.RequestReceived(1, k%30, id, 0, k, 1e6)
			a.HandOffSent(1, k%30, id, 0, "w", mean)
			if broken := a.Counts[NoColdOverload] > 0; broken != (k == holds) {
				t.Fatalf("N %v: convicted %v by request %d, %d hold", n, broken, k+1, holds)
			}
		}
	}
}
