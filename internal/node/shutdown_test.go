package node

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/kept"
)

// TestStopAnswersAll: told to stop, all that was taken before is answered before the kill, however long its client would
// wait: what is still open then is lost. Exclusive work that runs, work that may run again, work that waits for a worker,
// work not taken by its worker.
func TestStopAnswersAll(t *testing.T) {
	s := newScriptWith(false, longExpiries, member("w1", dispatch.Up))
	for k, id := range []string{"runs", "runs again", "waits", "not taken"} {
		s.at(1010+10*float64(k), s.client(id, []int{1, 0, 1, 1}[k], 15000))
		if id == "runs" || id == "runs again" {
			s.at(s.now+1, Callback{ID: id, From: "w1", State: Started})
		}
	}
	s.at(1100, Stop{})
	kill := 1100 + min(s.longestExpiry, maxDrainTime) + killGrace
	s.at(kill)
	for id := range s.clients {
		t.Errorf("%q has no answer when the process is killed", id)
	}
	if s.Phase() != Stopped {
		t.Errorf("phase %s at the kill", s.Phase())
	}
	if t.Failed() {
		t.Log(s.log.String())
	}
	for c, more := range s.replies {
		if len(more) > 0 {
			t.Errorf("%s is answered again: %v", c.ID, more)
		}
	}
}

// long has categories that wait far longer than the process has when it is told to stop.
func longExpiries(s *dispatch.Settings) {
	for k := range s.Categories {
		s.Categories[k].DueTime, s.Categories[k].Expiry = 15000, 15000
	}
}

// TestStopGivesUpAtOnce: what cannot end before the process does is given up when it is told to stop, not at its end.
func TestStopGivesUpAtOnce(t *testing.T) {
	s := newScriptWith(false, longExpiries, member("w1", dispatch.Up))
	s.at(1010, s.client("busy", 1, 15000)) // not started: nothing more goes there
	a := s.client("a", 1, 15000)
	a.Request.Hint = 6000
	s.at(1020, a)
	if s.at(1100, Stop{}); len(s.replies[a.Request]) > 0 || s.clients["busy"] == nil {
		t.Error("both are to wait until the process is told to stop")
	}
	s.at(1110)
	if s.clients["a"] != nil {
		t.Errorf("work that takes 6 s is still held, and the process has 3.5 s:\n%s", s.log.String())
	}
}

// TestTurn: a timer that is late, as after a standstill, and values that wait in the queue are there at once: what left
// meanwhile is not sent.
func TestQueueReadBeforeDeciding(t *testing.T) {
	s := newScript(false, member("w1", dispatch.Up))
	now := 1100.0
	s.clock = func() float64 { return now }
	s.handleQueued(DiscoveryUpdate{Watch: 1, Revision: 1})
	a := s.client("a", 1, 2000)
	s.handleQueued(a) // within the grain of the round before: not shown yet
	if s.lastRound != 1100 || len(s.inbox) != 1 {
		t.Fatalf("round at %v, %d wait for one", s.lastRound, len(s.inbox))
	}
	now += 50
	s.queue <- ClientDisconnected{a.Request}
	s.handleQueued()
	if strings.Contains(s.log.String(), "send a") {
		t.Errorf("it was sent, though its client had left:\n%s", s.log.String())
	}
}

// TestCrossings: what ends something and what is owed meet, in both orders and within one round. Each client gets one answer
// at most, whatever comes after it.
func TestRacingEvents(t *testing.T) {
	type values = []any
	done := Callback{ID: "a", From: "w1", State: Done, Result: "r"}
	var all strings.Builder
	run := func(name string, makeEvents func(a *Request) values) {
		for _, order := range []string{"in order", "the other way", "in order, one round", "the other way, one round"} {
			s := newScript(false, member("w1", dispatch.Up))
			s.at(1010, DiscoveryUpdate{Watch: 1, Revision: 5})
			a := s.client("a", 1, 900)
			s.at(1020, a)
			events := makeEvents(a.Request)
			if strings.HasPrefix(order, "the other") {
				slices.Reverse(events)
			}
			if strings.HasSuffix(order, "one round") {
				s.at(1030, events...)
			} else {
				s.at(1030, events[0])
				s.at(1040, events[1])
			}
			s.at(2200)
			for c, more := range s.replies {
				if len(more) > 0 {
					t.Errorf("%s, %s: %s is answered again: %v", name, order, c.ID, more)
				}
			}
			fmt.Fprintf(&all, "%s: %s\n%s", name, order, s.log.String())
		}
	}
	run("done and the client leaves", func(a *Request) values { return values{done, ClientDisconnected{a}} })
	run("the connection breaks and the client leaves", func(a *Request) values {
		return values{HandOffEnded{1, 0, dispatch.ConnectFailed}, ClientDisconnected{a}}
	})
	run("done and told to stop", func(*Request) values { return values{done, Stop{}} })
	run("told to stop and the client leaves", func(a *Request) values { return values{Stop{}, ClientDisconnected{a}} })
	run("done and the connection breaks", func(*Request) values { return values{done, HandOffEnded{1, 0, dispatch.Reset}} })
	run("returned and its worker drains", func(*Request) values {
		return values{Callback{ID: "a", From: "w1", State: Returned},
			DiscoveryUpdate{Watch: 1, Revision: 6, Members: []Member{member("w1", dispatch.Draining), member("w2", dispatch.Up)}}}
	})
	run("discovery moves and its old watch tells", func(*Request) values {
		return values{DiscoveryMoved{"there"}, DiscoveryUpdate{Watch: 1, Revision: 6, Members: []Member{member("w1", dispatch.Draining)}}}
	})
	run("a watch breaks and discovery moves", func(*Request) values { return values{WatchEnded{1}, DiscoveryMoved{"there"}} })
	run("told to stop and discovery moves", func(*Request) values { return values{Stop{}, DiscoveryMoved{"there"}} })
	kept.Check(t, "crossings", all.String())
}

// TestStopBeforeReady: told to stop before any list came, twice, during a move of discovery: what was taken is answered.
func TestStopBeforeReady(t *testing.T) {
	s := newScript(false)
	s.at(1010, s.client("a", 1, 2000), DiscoveryMoved{"there"}, Stop{}, Stop{}, DiscoveryMoved{"elsewhere"})
	s.at(1020, s.client("b", 1, 2000))
	s.at(1000 + 2000 + killGrace)
	if len(s.clients) > 0 || s.Phase() != Stopped {
		t.Errorf("%d wait, phase %s:\n%s", len(s.clients), s.Phase(), s.log.String())
	}
}

// TestOlderList: an older line after a newer one puts nothing back into use; its drains hold, and the whole list is asked for.
func TestOutdatedList(t *testing.T) {
	s := newScript(false, member("w1", dispatch.Up))
	s.at(1010, DiscoveryUpdate{Watch: 1, Revision: 7, Complete: true, Members: []Member{member("w1", dispatch.Up), member("w2", dispatch.Up)}})
	s.at(1020, DiscoveryUpdate{Watch: 1, Revision: 9, Members: []Member{member("w1", dispatch.Draining)}})
	s.at(1030, DiscoveryUpdate{Watch: 1, Revision: 8, Members: []Member{member("w1", dispatch.Up), member("w2", dispatch.Draining)}})
	if !strings.Contains(s.log.String(), "watch 2 at here after -1") {
		t.Error("the whole list is not asked for")
	}
	for k := range 4 {
		s.at(1040+10*float64(k), s.client(fmt.Sprint(k), 1, 500))
	}
	if strings.Contains(s.log.String(), "send") {
		t.Errorf("work went to one that drains:\n%s", s.log.String())
	}
	s.at(1090, DiscoveryUpdate{Watch: 2, Revision: 9, Complete: true, Members: []Member{member("w1", dispatch.Draining), member("w2", dispatch.Up)}})
	if !strings.Contains(s.log.String(), "to at-w2") {
		t.Errorf("nothing goes to the one that the whole list names:\n%s", s.log.String())
	}
}

// TestWatchGap: a drain may be told while no watch is open: what lies between two tries is a part of the time to heed it.
func TestWatchRetryDelay(t *testing.T) {
	for _, grace := range []float64{0, 250, 500, 2500} {
		least, most := math.Inf(1), 0.0
		for seed := range uint64(50) {
			s := newScript(false, member("w1", dispatch.Up))
			s.settings.DrainGrace, s.rngState = grace, (seed+1)*0x9e3779b97f4a7c15|1
			s.at(1010, WatchEnded{1})
			least, most = min(least, s.nextWatchAt-s.now), max(most, s.nextWatchAt-s.now)
		}
		want := 750.0
		if grace > 0 {
			want = min(want, grace*1.5/drainGraceParts)
		}
		if most > want || most-least < want/3 {
			t.Errorf("grace %.0f: between %.0f and %.0f ms, wanted up to %.0f, drawn", grace, least, most, want)
		}
	}
}
