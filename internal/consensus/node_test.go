package consensus

import (
	"context"
	"fmt"
	"testing"
	"time"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetrpc"
)

// TestEntriesInBatches guards against calls that grow with the entries: while hundreds of members are
// admitted, a follower must get the entries in batches, and miss none. It must get a single entry at once.
func TestEntriesInBatches(t *testing.T) {
	began := time.Now()
	now := func() float64 { return float64(time.Since(began))/1e6 + 1000 }
	n, err := Start(Options{Fleet: "f", Name: "v", Address: "v", Voters: []fleet.Voter{{Name: "v", Address: "v"}}, Dir: t.TempDir(), Timing: timing, RunID: "r",
		Seed: 1, Clock: now, UnixTime: now})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	admin := func(x fleet.Command) fleetrpc.AdminReply {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a := n.HandleAdmin(t.Context(), fleetrpc.AdminRequest{Command: x}); !a.NoLeader {
				return a
			}
		}
		t.Fatalf("no answer to %+v", x)
		return fleetrpc.AdminReply{}
	}
	admin(fleet.Command{Kind: fleet.PublishVersion, RequestID: "first", Text: []byte("{}")})
	b := n.HandleEntries(t.Context(), fleetrpc.EntriesRequest{})
	s, err := fleet.Restore(b.SnapshotPart)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	follow := func(until uint64) {
		t.Helper()
		for s.LastSeq() < until {
			b := n.HandleEntries(t.Context(), fleetrpc.EntriesRequest{AfterSeq: s.LastSeq(), Digest: s.Digest(), Wait: 2000})
			calls++
			for _, e := range b.Entries {
				if err := s.ApplyEntry(e); err != nil {
					t.Fatal(err)
				}
			}
			if len(b.Entries) == 0 {
				t.Fatalf("no entries after %d: %+v", s.LastSeq(), b)
			}
		}
	}
	time.Sleep(2 * burstInterval) // the burst is over
	const many = 120
	from := time.Now()
	go func() {
		for k := range many {
			name := fmt.Sprint("m", k)
			n.HandleHeartbeat(context.Background(), fleet.Heartbeat{Fleet: "f", Format: fleet.FormatVersion, Member: name, Address: name, RunID: name, IsolationPolicy: fleet.ServeWhenIsolated, Lease: timing.Lease, Drift: timing.Drift}, false)
		}
	}()
	follow(1 + many)
	most := int(time.Since(from)/(batchInterval/2)) + 5
	if t.Logf("%d entries in %d calls within %v", many, calls, time.Since(from)); calls > most {
		t.Errorf("%d entries took %d calls in %v, want at most %d", many, calls, time.Since(from), most)
	}
	time.Sleep(2 * burstInterval)
	from = time.Now()
	go n.HandleAdmin(context.Background(), fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.PublishVersion, RequestID: "alone", Text: []byte("{}")}})
	follow(2 + many)
	if took := time.Since(from); took > batchInterval/2 {
		t.Errorf("a single entry arrived only after %v", took)
	}
}
