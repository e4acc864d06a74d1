package node

import (
	"fmt"
	"testing"

	"weldmast/internal/dispatch"
)

// told is how long what discovery has may stay unknown once it can be reached, whatever became of calls before.
const maxDelay = 6000

// TestToldInTime: what discovery has is known 6 s after it could be reached, whatever calls failed before: refused, left
// hanging for good, silent from their start. A call that is opened once it can be reached is answered at once.
func TestDiscoveryDelay(t *testing.T) {
	for _, c := range []struct {
		name  string
		ask   bool
		hangs float64 // a call without an answer breaks after this time
		spoke bool    // a watch had spoken, and has been silent since 3 s before it breaks
		bad   int     // calls after it that hang though discovery can be reached
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
				worst = max(worst, measureDelay(c.ask, c.hangs, c.spoke, c.bad, seed))
			}
			if t.Logf("%.0f ms at worst", worst); worst > maxDelay {
				t.Errorf("it is known after %.0f ms, %d count", worst, maxDelay)
			}
		})
	}
}

// toldAfter plays one such day and tells after what time the change is known.
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
		for ; last < s.newestWatch; last++ { // calls made since
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
			panic(fmt.Sprint("discovery is not asked any more: seed ", seed))
		}
	}
}
