package fleet

import (
	"fmt"
	"testing"
)

// TestDrift: while a member's clock goes apart from the council's by no more than the bound, either way, a fence is told to be
// complete only once the member acts on nothing older, however long its beats took. Beyond what both margins cover the promise
// does not hold, and this shows that the margins are what carries it.
func TestDrift(t *testing.T) {
	f := Figures{Beat: 250, Lease: 1000, Drift: 0.01}
	for _, c := range []struct {
		rate  float64 // of the member's clock
		late  float64 // a beat takes so long, and no answer comes sooner
		keeps bool
	}{
		{1, 0, true}, {1, 400, true},
		{1 - f.Drift, 0, true}, {1 + f.Drift, 0, true}, {1 - f.Drift, 400, true}, {1 + f.Drift, 400, true},
		{1/(1+2*f.Drift) + 1e-4, 0, true}, // both margins
		{1 - 3*f.Drift, 0, false}, {1 - 3*f.Drift, 400, true}, {1 + 3*f.Drift, 0, true},
	} {
		t.Run(fmt.Sprintf("rate %.4f, beats %g ms late", c.rate, c.late), func(t *testing.T) {
			s := NewState("f")
			for _, x := range []Command{{Kind: Admitted, Member: "m", Address: "a", Alone: Stop, Run: "r"}, {Kind: Published, Text: []byte("{}")}} {
				if _, _, err := s.Apply(x); err != nil {
					t.Fatal(err)
				}
			}
			clock := func(now float64) float64 { return 7000 + c.rate*now }
			b, m := NewBook(f, 0), NewSelf(f, "m", "1.0.0", Stop, s.Clone(), clock(0))
			v, _ := m.Next()
			m.Applied(v.Number)
			last := 0.
			for sent := 3000.; sent <= 6000; sent += f.Beat {
				r, unknown := b.Beat(sent+c.late, Beat{Fleet: "f", Format: Format, Member: "m", Address: "a", Run: "r", Bound: true, Alone: Stop, N: s.N(), InForce: 1,
					Lease: f.Lease, Drift: f.Drift}, s)
				if unknown || r.Granted == 0 {
					t.Fatalf("%+v, unknown %v", r, unknown)
				}
				m.Renewed(clock(sent), r)
				last = sent + c.late
			}
			if _, _, err := s.Apply(Command{Kind: Published, Text: []byte("{}"), Fence: true}); err != nil { // the member is cut off and hears nothing of it
				t.Fatal(err)
			}
			complete := last
			for ; complete < last+2*f.Lease; complete += 0.05 {
				if _, waits := b.Fence(complete, complete, 2, s); len(waits) == 0 {
					break
				}
			}
			if now := clock(last); m.OpenUntil(now) <= now && c.late == 0 {
				t.Error("it has no lease")
			}
			over := (m.OpenUntil(clock(complete)) - 7000) / c.rate
			if kept := over <= complete; kept != c.keeps {
				t.Errorf("acts until %.2f, the fence is told to be complete at %.2f", over, complete)
			}
			if complete > last+f.Lease*(1+f.Drift)+0.1 {
				t.Errorf("complete %.1f ms after the last beat", complete-last)
			}
		})
	}
}
