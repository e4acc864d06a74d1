package council

import (
	"context"
	"fmt"
	"testing"
	"time"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetlink"
)

// TestLots: while members are admitted by the hundred, who follows is told in lots: its calls do not grow with the entries, and
// none is missing. What comes alone is told at once.
func TestLots(t *testing.T) {
	began := time.Now()
	now := func() float64 { return float64(time.Since(began))/1e6 + 1000 }
	c, err := Start(Options{Fleet: "f", Name: "v", Address: "v", Voters: []fleet.Voter{{Name: "v", Address: "v"}}, Folder: t.TempDir(), Figures: figures, Run: "r",
		Seed: 1, Clock: now, Unix: now})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ask := func(x fleet.Command) fleetlink.Answer {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a := c.Ask(t.Context(), fleetlink.Ask{Command: x}); !a.NoLeader {
				return a
			}
		}
		t.Fatalf("no answer to %+v", x)
		return fleetlink.Answer{}
	}
	ask(fleet.Command{Kind: fleet.Published, Request: "first", Text: []byte("{}")})
	b := c.Entries(t.Context(), fleetlink.After{})
	s, err := fleet.Restore(b.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	follow := func(until uint64) {
		t.Helper()
		for s.N() < until {
			b := c.Entries(t.Context(), fleetlink.After{N: s.N(), Digest: s.Digest(), Wait: 2000})
			calls++
			for _, e := range b.Entries {
				if err := s.Follow(e); err != nil {
					t.Fatal(err)
				}
			}
			if len(b.Entries) == 0 {
				t.Fatalf("nothing comes after entry %d: %+v", s.N(), b)
			}
		}
	}
	time.Sleep(2 * fast) // quiet
	const many = 120
	from := time.Now()
	go func() {
		for k := range many {
			name := fmt.Sprint("m", k)
			c.Beat(context.Background(), fleet.Beat{Fleet: "f", Format: fleet.Format, Member: name, Address: name, Run: name, Alone: fleet.Serve, Lease: figures.Lease, Drift: figures.Drift}, false)
		}
	}()
	follow(1 + many)
	most := int(time.Since(from)/(gather/2)) + 5
	if t.Logf("%d entries by %d calls in %v", many, calls, time.Since(from)); calls > most {
		t.Errorf("%d entries came by %d calls in %v, wanted %d at most", many, calls, time.Since(from), most)
	}
	time.Sleep(2 * fast)
	from = time.Now()
	go c.Ask(context.Background(), fleetlink.Ask{Command: fleet.Command{Kind: fleet.Published, Request: "alone", Text: []byte("{}")}})
	follow(2 + many)
	if took := time.Since(from); took > gather/2 {
		t.Errorf("what comes alone is told after %v", took)
	}
}
