package fleet

import (
	"fmt"
	"testing"
)

// TestClockDrift checks that a fence is reported complete only once the member no longer acts on an older
// version, for clocks that drift apart by up to the bound in either direction and for any heartbeat delay.
// Beyond what both margins cover the guarantee fails, which shows that the margins provide it.
func TestClockDrift(t *testing.T) {
	f := Timing{Beat: 250, Lease: 1000, Drift: 0.01}
	for _, c := range []struct {
		rate  float64 // of the member's clock
		late  float64 // delay of a heartbeat in ms; no reply comes sooner
		keeps bool
	}{
		{1, 0, true}, {1, 400, true},
		{1 - f.Drift, 0, true}, {1 + f.Drift, 0, true}, {1 - f.Drift, 400, true}, {1 + f.Drift, 400, true},
		{1/(1+2*f.Drift) + 1e-4, 0, true}, // both margins
		{1 - 3*f.Drift, 0, false}, {1 - 3*f.Drift, 400, true}, {1 + 3*f.Drift, 0, true},
	} {
		t.Run(fmt.Sprintf("clock rate %.4f, heartbeats delayed by %g ms", c.rate, c.late), func(t *testing.T) {
			s := NewState("f")
			for _, x := range []Command{{Kind: AdmitMember, Member: "m", Address: "a", IsolationPolicy: StopWhenIsolated, RunID: "r"}, {Kind: PublishVersion, Text: []byte("{}")}} {
				if _, _, err := s.Apply(x); err != nil {
					t.Fatal(err)
				}
			}
			clock := func(now float64) float64 { return 7000 + c.rate*now }
			leases, holder := NewLeaseManager(f, 0), NewLeaseHolder(f, "m", "1.0.0", StopWhenIsolated, s.Clone(), clock(0))
			v, _ := holder.NextVersion()
			holder.VersionApplied(v.Number)
			last := 0.
			for sent := 3000.; sent <= 6000; sent += f.Beat {
				r, notAdmitted := leases.HandleHeartbeat(sent+c.late, Heartbeat{Fleet: "f", Format: FormatVersion, Member: "m", Address: "a", RunID: "r", OwnsAddress: true, IsolationPolicy: StopWhenIsolated, LastSeq: s.LastSeq(), ActiveVersion: 1,
					Lease: f.Lease, Drift: f.Drift}, s)
				if notAdmitted || r.Granted == 0 {
					t.Fatalf("no lease granted: %+v, not admitted %v", r, notAdmitted)
				}
				holder.HandleRenewal(clock(sent), r)
				last = sent + c.late
			}
			// the member is isolated and does not learn of it
			if _, _, err := s.Apply(Command{Kind: PublishVersion, Text: []byte("{}"), Fence: true}); err != nil {
				t.Fatal(err)
			}
			completeAt := last
			for ; completeAt < last+2*f.Lease; completeAt += 0.05 {
				if _, waits := leases.FenceStatus(completeAt, completeAt, 2, s); len(waits) == 0 {
					break
				}
			}
			if now := clock(last); holder.AcceptUntil(now) <= now && c.late == 0 {
				t.Error("the member has no lease")
			}
			leaseEnd := (holder.AcceptUntil(clock(completeAt)) - 7000) / c.rate
			if safe := leaseEnd <= completeAt; safe != c.keeps {
				t.Errorf("member may act until %.2f, fence reported complete at %.2f", leaseEnd, completeAt)
			}
			if completeAt > last+f.Lease*(1+f.Drift)+0.1 {
				t.Errorf("fence complete only %.1f ms after the last heartbeat", completeAt-last)
			}
		})
	}
}
