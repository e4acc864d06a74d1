package fleet

import (
	"fmt"
	"testing"
)

// TestCatchUpFromSnapshot guards against a catch-up whose size grows with how far a follower is behind: a
// history four times as long must not make a larger snapshot, and the follower must continue from it with the
// next entry.
func TestCatchUpFromSnapshot(t *testing.T) {
	size := map[int]int{}
	for _, entries := range []int{1500, 6000} {
		s := NewState("f")
		for k := range entries {
			c := Command{Kind: PublishVersion, RequestID: fmt.Sprintf("r%06d", k), Text: fmt.Appendf(nil, `{"mark":"%06d"}`, k), IssuedAt: 1e12 + float64(k)}
			if k%10 == 0 {
				c = Command{Kind: AdmitMember, RequestID: fmt.Sprintf("r%06d", k), Member: fmt.Sprint("m", k%50), Address: "a", RunID: fmt.Sprintf("run%06d", k), IssuedAt: 1e12}
			}
			if _, _, err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		text := s.Snapshot()
		size[entries] = len(text)
		follower := NewLeaseHolder(Timing{Beat: 250, Lease: 1000}, "m", "1.0.0", StopWhenIsolated, NewState("f"), 0)
		restored, err := Restore(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := follower.ReplaceState(restored); err != nil {
			t.Fatal(err)
		}
		_, e, err := s.Apply(Command{Kind: PublishVersion, Text: []byte("{}")})
		if err != nil {
			t.Fatal(err)
		}
		if err := follower.ApplyEntries([]Entry{*e}); err != nil || follower.State().Digest() != s.Digest() {
			t.Errorf("%d entries behind: error %v, digest %s, want %s", entries, err, follower.State().Digest(), s.Digest())
		}
		if v, ok := follower.NextVersion(); !ok || v.Number != s.NewestVersion() {
			t.Errorf("%d entries behind: next version is %d, newest is %d", entries, v.Number, s.NewestVersion())
		}
	}
	if size[6000] > size[1500]*102/100 {
		t.Errorf("snapshot size grows with the history: %v", size)
	}
}
