package node

import (
	"fmt"
	"testing"

	"weldmast/internal/dispatch"
)

// maxDelay is the time in ms after which a change must be known once discovery can be reached, whatever
// became of earlier calls.
const maxDelay = 6000

// TestDiscoveryDelay guards against a change at discovery that stays unknown for more than 6 s after
// discovery can be reached, because earlier calls were refused, hang, or were silent from their start. A call
// opened once discovery can be reached is answered at once.
func TestDiscoveryDelay(t *testing.T) {
	for _, c := range []struct {
		name     string
		ask      bool
		hangTime float64 // a call without an answer breaks after this time
		answered bool    // a watch had answered, and has been silent since 3 s before it breaks
		hanging  int     // later calls that hang although discovery can be reached
	}{
		{"pushed, every call refused", false, 0, false, 0},
		{"pushed, every call hangs", false, 3000, false, 0},
		{"pushed, a silent watch", false, 3000, true, 0},
		{"pushed, two silent watches in a row", false, 3000, true, 1},
		{"pushed, three silent watches in a row", false, 3000, true, 2},
		{"asked for, every call refused", true, 0, false, 0},
		{"asked for, every call hangs", true, 15000, false, 0},
		{"asked for, a silent watch", true, 15000, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst := 0.0
			for seed := range uint64(40) {
				worst = max(worst, measureDelay(c.ask, c.hangTime, c.answered, c.hanging, seed))
			}
			if t.Logf("longest delay %.0f ms", worst); worst > maxDelay {
				t.Errorf("the change is known after %.0f ms, limit %d ms", worst, maxDelay)
			}
		})
	}
}

// measureDelay simulates one such run and returns the time after which the change is known.
func measureDelay(ask bool, hangTime float64, answered bool, hanging int, seed uint64) float64 {
	s := newScriptWith(ask, func(s *dispatch.Settings) { s.DrainGrace = 2500 }, member("w1", dispatch.Up))
	s.rngState = (seed+1)*0x9e3779b97f4a7c15 | 1
	breakAt := map[int]float64{} // calls that hang, and when they break
	reachableAt, last := 20000+137*float64(seed), 0
	if answered {
		s.at(1100, DiscoveryUpdate{Watch: s.newestWatch, Revision: 5, Complete: true, Members: []Member{member("w1", dispatch.Up)}})
		s.at(reachableAt)
		breakAt[s.newestWatch], last = reachableAt+3000, s.newestWatch
	}
	for now := s.now; ; now += 5 {
		s.at(now)
		for ; last < s.newestWatch; last++ { // calls made since the last step
			switch open := last + 1; {
			case now >= reachableAt && hanging == 0:
				return now - reachableAt
			case now >= reachableAt:
				hanging--
				fallthrough
			default:
				breakAt[open] = now + hangTime
			}
		}
		for k, at := range breakAt {
			if now >= at {
				delete(breakAt, k)
				s.at(now, WatchEnded{k})
			}
		}
		if now > reachableAt+60000 {
			panic(fmt.Sprint("no more calls to discovery: seed ", seed))
		}
	}
}
