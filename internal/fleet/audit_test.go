package fleet

import "testing"

// TestAuditOfManyVersions guards against acts of which the audit says nothing: a process keeps its acts under its
// newest versions only, and what it did before must be told as unknown.
func TestAuditOfManyVersions(t *testing.T) {
	for _, versions := range []int{1, maxRunVersions, maxRunVersions + 1, 3 * maxRunVersions} {
		run := RunRecord{ID: "r", StartedAt: 1000}
		acts := map[uint64]float64{}
		now := run.StartedAt
		for v := range versions {
			run.RecordVersion(now, uint64(v))
			now += 10
			run.RecordAction(now, HandedOff)
			acts[uint64(v)] = now
			now += 10
		}
		run.KnownUntil = now
		s := NewState("f")
		if _, _, err := s.Apply(Command{Kind: AdmitMember, Member: "m", Address: "a", IsolationPolicy: StopWhenIsolated, RunID: run.ID, IssuedAt: run.StartedAt, RunStartedAt: run.StartedAt}); err != nil {
			t.Fatal(err)
		}
		leases := NewLeaseManager(modelTiming, 0)
		leases.HandleHeartbeat(now, Heartbeat{Fleet: "f", Format: FormatVersion, Member: "m", Address: "a", RunID: run.ID, IsolationPolicy: StopWhenIsolated,
			Lease: modelTiming.Lease, Runs: []RunRecord{run}}, s)
		reported := map[uint64]bool{}
		for _, v := range leases.runs["m"][0].Versions {
			reported[v.Version] = true
		}
		for version, at := range acts {
			unknown := false
			for _, g := range leases.Audit(now, now, s, 0, 0).Gaps {
				unknown = unknown || at >= g.Interval.From && (g.Interval.To == 0 || at <= g.Interval.To)
			}
			if reported[version] == unknown {
				t.Errorf("%d versions: the act under version %d is reported %v, and unknown %v", versions, version, reported[version], unknown)
			}
		}
	}
}
