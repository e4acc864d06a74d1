package fleet

import (
	"fmt"
	"testing"
)

// TestFarBehind: what brings up a follower does not grow with how far it is behind: a history four times as long makes no larger
// a snapshot, and from it the follower goes on with the next entry.
func TestFarBehind(t *testing.T) {
	size := map[int]int{}
	for _, entries := range []int{1500, 6000} {
		s := NewState("f")
		for k := range entries {
			c := Command{Kind: Published, Request: fmt.Sprintf("r%06d", k), Text: fmt.Appendf(nil, `{"mark":"%06d"}`, k), At: 1e12 + float64(k)}
			if k%10 == 0 {
				c = Command{Kind: Admitted, Request: fmt.Sprintf("r%06d", k), Member: fmt.Sprint("m", k%50), Address: "a", Run: fmt.Sprintf("run%06d", k), At: 1e12}
			}
			if _, _, err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		text := s.Snapshot()
		size[entries] = len(text)
		follower := NewSelf(Figures{Beat: 250, Lease: 1000}, "m", "1.0.0", Stop, NewState("f"), 0)
		restored, err := Restore(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := follower.Replace(restored); err != nil {
			t.Fatal(err)
		}
		_, e, err := s.Apply(Command{Kind: Published, Text: []byte("{}")})
		if err != nil {
			t.Fatal(err)
		}
		if err := follower.Follow([]Entry{*e}); err != nil || follower.State().Digest() != s.Digest() {
			t.Errorf("%d entries behind: %v, at %s of %s", entries, err, follower.State().Digest(), s.Digest())
		}
		if v, ok := follower.Next(); !ok || v.Number != s.Newest() {
			t.Errorf("%d entries behind: version %d is next, the newest is %d", entries, v.Number, s.Newest())
		}
	}
	if size[6000] > size[1500]*102/100 {
		t.Errorf("snapshots: %v", size)
	}
}
