package invariants

import "testing"

// TestLateObserver: an observer may learn of a hand-off after it learned of the answer. What counts is which of
// them left first.
func TestLateObserver(t *testing.T) {
	const answeredAt = 50.
	for leftAt, broken := range map[float64]bool{answeredAt - 1: false, answeredAt: true, answeredAt + 1: true} {
		checker := New(Config{Categories: []Category{{}}, MaxHandOffs: 5})
		checker.DispatcherStarted(0, 0)
		checker.WorkerListed(0, 0, "w", 0, 0)
		checker.RequestReceived(1, 0, "a", 0, 1, 1000)
		checker.Answered(60, answeredAt, "a", false, true, "")
		checker.HandOffSent(70, leftAt, 0, "a", 0, "w", 10)
		if got := checker.Counts[NoDoubleEffect] > 0; got != broken {
			t.Errorf("left at %v, answered at %v: violation %v, %v", leftAt, answeredAt, got, checker.Violations)
		}
	}
}
