package node

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/golden"
)

// TestStopAnswersAll guards against work that is still open, and so lost, when a stopped process is killed.
// All accepted work is answered before, however long its client would wait: exclusive work that runs, work
// that may run again, work that waits for a worker, and work that its worker has not accepted.
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
			t.Errorf("%s got a second answer: %v", c.ID, more)
		}
	}
}

// longExpiries makes the categories wait far longer than a stopped process has.
func longExpiries(s *dispatch.Settings) {
	for k := range s.Categories {
		s.Categories[k].DueTime, s.Categories[k].Expiry = 15000, 15000
	}
}

// TestStopGivesUpAtOnce: work that cannot end before the process does is given up when the process is told to
// stop, not at its end.
func TestStopGivesUpAtOnce(t *testing.T) {
	s := newScriptWith(false, longExpiries, member("w1", dispatch.Up))
	s.at(1010, s.client("busy", 1, 15000)) // not started: no more work goes there
	a := s.client("a", 1, 15000)
	a.Request.Hint = 6000
	s.at(1020, a)
	if s.at(1100, Stop{}); len(s.replies[a.Request]) > 0 || s.clients["busy"] == nil {
		t.Error("both work items must wait until the process is told to stop")
	}
	s.at(1110)
	if s.clients["a"] != nil {
		t.Errorf("work that takes 6 s is still queued, and the process has 3.5 s left:\n%s", s.log.String())
	}
}

// TestQueueReadBeforeDeciding: after the process was suspended, an expired timer and queued events are
// present at once. Work whose client disconnected meanwhile must not be sent.
func TestQueueReadBeforeDeciding(t *testing.T) {
	s := newScript(false, member("w1", dispatch.Up))
	now := 1100.0
	s.clock = func() float64 { return now }
	s.handleQueued(DiscoveryUpdate{Watch: 1, Revision: 1})
	a := s.client("a", 1, 2000)
	s.handleQueued(a) // within the interval since the last round: not delivered yet
	if s.lastRound != 1100 || len(s.inbox) != 1 {
		t.Fatalf("round at %v, %d events wait for one", s.lastRound, len(s.inbox))
	}
	now += 50
	s.queue <- ClientDisconnected{a.Request}
	s.handleQueued()
	if strings.Contains(s.log.String(), "send a") {
		t.Errorf("work was sent although its client had disconnected:\n%s", s.log.String())
	}
}

// floodTransport calls onForward for each callback that is forwarded.
type floodTransport struct {
	*script
	onForward func(Callback)
}

func (f floodTransport) ShareID(string)             {}
func (f floodTransport) ForwardCallback(c Callback) { f.onForward(c) }

// TestQueueFlood guards against a flood of events that keeps the node from deciding anything, and makes a
// request that arrives meanwhile seem to have more time left than its category has: all later ones then looked
// like retries, and were deferred for good.
func TestQueueFlood(t *testing.T) {
	const expiry, arrivesAfter, flood = 2000, 100, 1000
	s := newScript(false, member("w1", dispatch.Up))
	now := 1100.0
	s.clock = func() float64 { return now }
	s.handleQueued(DiscoveryUpdate{Watch: 1, Revision: 1})
	forwarded := 0
	s.transport = floodTransport{s, func(c Callback) {
		now += 10 // each takes that long
		if forwarded++; forwarded == arrivesAfter {
			r := s.client("a", 0, 0)
			r.Request.Expiry = now + expiry
			s.queue <- r
		}
		if forwarded < flood {
			s.queue <- c
		}
	}}
	s.queue <- Callback{ID: "unknown", Respond: func(CallbackResult) {}}
	for forwarded < flood && !strings.Contains(s.log.String(), "send a") {
		s.handleQueued()
	}
	if late := forwarded - arrivesAfter; late > 2 {
		t.Errorf("the work was sent %d events after it arrived:\n%s", late, s.log.String())
	}
	if left := s.decider.(takeoverDecider).Learned().Most[0]; left > expiry {
		t.Errorf("the work seemed to have %v ms left of at most %d", left, expiry)
	}
}

// TestRacingEvents: two events that end the same work or watch meet, in both orders and within one round.
// Each client gets at most one answer, whatever follows.
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
					t.Errorf("%s, %s: %s got a second answer: %v", name, order, c.ID, more)
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
	run("done and the connection breaks", func(*Request) values { return values{done, HandOffEnded{1, 0, dispatch.ConnReset}} })
	run("returned and its worker drains", func(*Request) values {
		return values{Callback{ID: "a", From: "w1", State: Returned},
			DiscoveryUpdate{Watch: 1, Revision: 6, Members: []Member{member("w1", dispatch.Draining), member("w2", dispatch.Up)}}}
	})
	run("discovery moves and its old watch tells", func(*Request) values {
		return values{DiscoveryMoved{"there"}, DiscoveryUpdate{Watch: 1, Revision: 6, Members: []Member{member("w1", dispatch.Draining)}}}
	})
	run("a watch breaks and discovery moves", func(*Request) values { return values{WatchEnded{1}, DiscoveryMoved{"there"}} })
	run("told to stop and discovery moves", func(*Request) values { return values{Stop{}, DiscoveryMoved{"there"}} })
	golden.Check(t, "crossings", all.String())
}

// TestStopBeforeReady: a process is told to stop twice, before any list arrived and while discovery moves.
// The accepted work is answered.
func TestStopBeforeReady(t *testing.T) {
	s := newScript(false)
	s.at(1010, s.client("a", 1, 2000), DiscoveryMoved{"there"}, Stop{}, Stop{}, DiscoveryMoved{"elsewhere"})
	s.at(1020, s.client("b", 1, 2000))
	s.at(1000 + 2000 + killGrace)
	if len(s.clients) > 0 || s.Phase() != Stopped {
		t.Errorf("%d clients wait, phase %s:\n%s", len(s.clients), s.Phase(), s.log.String())
	}
}

// TestOutdatedList: an older update after a newer one puts no worker back into service. Its drains are
// applied, and the complete list is requested.
func TestOutdatedList(t *testing.T) {
	s := newScript(false, member("w1", dispatch.Up))
	s.at(1010, DiscoveryUpdate{Watch: 1, Revision: 7, Complete: true, Members: []Member{member("w1", dispatch.Up), member("w2", dispatch.Up)}})
	s.at(1020, DiscoveryUpdate{Watch: 1, Revision: 9, Members: []Member{member("w1", dispatch.Draining)}})
	s.at(1030, DiscoveryUpdate{Watch: 1, Revision: 8, Members: []Member{member("w1", dispatch.Up), member("w2", dispatch.Draining)}})
	if !strings.Contains(s.log.String(), "watch 2 at here after -1") {
		t.Error("the complete list is not requested")
	}
	for k := range 4 {
		s.at(1040+10*float64(k), s.client(fmt.Sprint(k), 1, 500))
	}
	if strings.Contains(s.log.String(), "send") {
		t.Errorf("work went to a draining worker:\n%s", s.log.String())
	}
	s.at(1090, DiscoveryUpdate{Watch: 2, Revision: 9, Complete: true, Members: []Member{member("w1", dispatch.Draining), member("w2", dispatch.Up)}})
	if !strings.Contains(s.log.String(), "to at-w2") {
		t.Errorf("no work goes to the worker in the complete list:\n%s", s.log.String())
	}
}

// TestWatchRetryDelay: discovery may announce a drain while no watch is open, so the delay between two
// attempts is only a part of the time within which a drain must be obeyed.
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
			want = min(want, grace*1.5/drainGraceDivisor)
		}
		if most > want || most-least < want/3 {
			t.Errorf("grace %.0f: between %.0f and %.0f ms, wanted random delays up to %.0f", grace, least, most, want)
		}
	}
}

// TestHandedOverMayStillRun: the newer process is told which workers may still run a job that it takes over,
// although their hand-offs have ended.
func TestHandedOverMayStillRun(t *testing.T) {
	for outcome, want := range map[dispatch.Outcome]bool{dispatch.ConnReset: true, dispatch.Cancelled: true, dispatch.Failed: false, dispatch.Full: false} {
		n := New(Options{Settings: dispatch.Settings{Categories: make([]dispatch.Category, 1)}})
		var job *Job
		it := &workItem{wi: 1, request: &Request{ID: "a", Respond: func(r Reply) { job = r.Job }}, handOffs: []handOff{{worker: "w1"}}, outstanding: 1}
		n.items[1], n.byID["a"] = it, it
		n.handOffEnded(it, 0, outcome, "")
		n.handOverJobs()
		if job == nil || len(job.HandOffs) != 1 || job.HandOffs[0].MayStillRun != want {
			t.Errorf("outcome %v: handed over %+v", outcome, job)
		}
	}
}
