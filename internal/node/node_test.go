package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/golden"
)

// script drives an event loop step by step, at given times, and prints what it requests from its transport.
type script struct {
	*Node
	log          strings.Builder
	clients      map[string]*Request
	replies      map[*Request][]Reply
	hasSuccessor bool // another process takes over from this one
}

type scriptedAttempt struct {
	s     *script
	label string
}

func (a scriptedAttempt) Accepted() bool { return !strings.Contains(a.label, "not taken") }
func (a scriptedAttempt) Written() bool  { return !strings.Contains(a.label, "not taken") }
func (a scriptedAttempt) Cancel()        { a.s.logf("give up %s", a.label) }

func (s *script) logf(format string, a ...any) {
	fmt.Fprintf(&s.log, "%5.0f  "+format+"\n", append([]any{s.now}, a...)...)
}
func (s *script) Send(x HandOffRequest) Attempt {
	s.logf("send %s hand-off %d to %s within %.0f", x.ID, x.HO, x.Addr, x.Timeout)
	return scriptedAttempt{s, fmt.Sprintf("%s hand-off %d at %s", x.ID, x.HO, x.Addr)}
}
func (s *script) Watch(number int, addr string, after int64) {
	s.logf("watch %d at %s after %d", number, addr, after)
}
func (s *script) Unwatch(number int)              { s.logf("unwatch %d", number) }
func (s *script) SendToPeer(to int, data []byte)  { s.logf("tell %d %x", to, data) }
func (s *script) Drain(func() TakeoverState) bool { s.logf("drain"); return s.hasSuccessor }
func (s *script) AdoptHandOff(x HandOffRequest) Attempt {
	s.logf("continue %s hand-off %d at %s", x.ID, x.HO, x.Addr)
	return scriptedAttempt{s, fmt.Sprintf("%s hand-off %d at %s", x.ID, x.HO, x.Addr)}
}
func (s *script) ShareID(string)             {}
func (s *script) ForwardCallback(c Callback) { s.logf("pass %s", c.ID) }
func (s *script) CloseIdle()                 { s.logf("dismiss") }

// at delivers events at a time, after all timers that expire before.
func (s *script) at(now float64, values ...any) {
	for s.now+5 < now {
		s.step(s.now + 5)
	}
	s.step(now, values...)
}

func (s *script) step(now float64, values ...any) {
	s.now = now
	for _, v := range values {
		s.handle(v)
	}
	s.runTimers()
	if len(s.inbox) > 0 || s.timerFired {
		s.round()
	}
	for _, id := range slices.Sorted(maps.Keys(s.clients)) {
		c := s.clients[id]
		if got := s.replies[c]; len(got) > 0 {
			s.logf("answer %s: %d %q pause %v", id, got[0].Result, got[0].Body, got[0].RetryAfter > 0)
			s.replies[c] = got[1:]
			delete(s.clients, id)
		}
	}
}

func (s *script) client(id string, category int, left float64) RequestArrived {
	c := &Request{ID: id, Category: category, Tenant: -1, Hint: 100, Expiry: s.now + left}
	s.recordReplies(c)
	s.clients[id] = c
	return RequestArrived{c}
}

// recordReplies stores the replies to a client.
func (s *script) recordReplies(c *Request) {
	c.Respond = func(r Reply) { s.replies[c] = append(s.replies[c], r) }
}

func member(worker string, state dispatch.WorkerState) Member {
	return Member{Entry: dispatch.Entry{Worker: worker, State: state}, Addr: "at-" + worker}
}

func newScript(ask bool, members ...Member) *script { return newScriptWith(ask, nil, members...) }

// newScriptWith is newScript with changed settings.
func newScriptWith(ask bool, change func(*dispatch.Settings), members ...Member) *script {
	s := &script{clients: map[string]*Request{}, replies: map[*Request][]Reply{}}
	o := Options{Settings: dispatch.Settings{Seed: 1 << 40, RoundInterval: 5, Dispatchers: 1, Kinds: 1, StartNotices: true, DiscoveryOnRequest: ask,
		MayCancel: true, SecondCopies: true, MaxHandOffs: 3, AnswerSlack: 20, DiscoveryAskWithin: 10000, StartCapacity: 0.1,
		WarmUpTime: 1000, OverloadMultiple: 3, OverloadWindow: 100, MayAdviseRetryAfter: true, MaxRetryAfter: 2000, Categories: []dispatch.Category{
			{DueTime: 1000, Expiry: 2000, Credit: 1, Kind: -1},
			{DueTime: 1000, Expiry: 2000, Credit: 1, Kind: -1, Repeat: dispatch.Exclusive}}},
		MaxOpen: 10, Discovery: "here", CachedList: DiscoveryUpdate{Revision: 4, Members: members}}
	if change != nil {
		change(&o.Settings)
	}
	s.Node = New(o)
	s.transport, s.now, s.startedAt = s, 1000, 1000
	if !ask {
		s.openWatch()
	}
	s.step(1000)
	return s
}

// TestEventLoop runs the events that a transport can deliver and compares the trace with the golden file.
func TestEventLoop(t *testing.T) {
	var all strings.Builder
	for _, c := range []struct {
		name string
		play func(s *script)
	}{
		{"the first finished answers, what repeats or comes late changes nothing", func(s *script) {
			s.at(1010, s.client("a", 1, 2000))
			s.at(1020, Callback{ID: "a", From: "w2", State: Done, Result: "not there"}, Callback{ID: "b", From: "w1"})
			s.at(1030, Callback{ID: "a", From: "w1", State: Started}, Callback{ID: "a", From: "w1", State: Done, Result: "r"})
			s.at(1040, Callback{ID: "a", From: "w1", State: Failed}, HandOffEnded{1, 0, dispatch.ConnReset})
		}},
		{"exclusive work that never ran goes on, then may have run: written off", func(s *script) {
			s.at(1010, s.client("a", 1, 2000))
			s.at(1020, HandOffEnded{1, 0, dispatch.ConnectFailed}, secondWorker())
			s.at(1030, Callback{ID: "a", From: "w2", State: Lost})
		}},
		{"returned twice by one worker: told apart by nothing, so the second changes nothing", func(s *script) {
			s.at(1010, s.client("a", 0, 2000))
			s.at(1020, Callback{ID: "a", From: "w1", State: Returned}, secondWorker())
			s.at(1030, HandOffEnded{1, 1, dispatch.Full}) // rejected by w2 on its connection
			s.at(1550, Callback{ID: "a", From: "w1", State: Returned})
			s.at(1560, Callback{ID: "a", From: "w1", State: Done, Result: "r"})
		}},
		{"turned away on its connection, later returned by the same worker: told apart", func(s *script) {
			s.at(1010, s.client("a", 0, 2000))
			s.at(1020, HandOffEnded{1, 0, dispatch.Full}, secondWorker())
			s.at(1030, HandOffEnded{1, 1, dispatch.Full})
			s.at(1550, Callback{ID: "a", From: "w1", State: Returned})
		}},
		{"out of time: given up at the worker, and deferred as it may run again", func(s *script) {
			s.at(1010, s.client("a", 0, 200))
			s.at(1020, Callback{ID: "a", From: "w1", State: Started})
			s.at(1300, Callback{ID: "a", From: "w1", State: Done, Result: "late"})
		}},
		{"the client leaves: its job may have run, and its id does not run again", func(s *script) {
			a := s.client("a", 0, 2000)
			s.at(1010, a)
			s.at(1020, ClientDisconnected{a.Request})
			s.at(1030, HandOffEnded{1, 0, dispatch.Cancelled}, s.client("a", 0, 2000))
		}},
		{"the client leaves before its job can have run: its id is free", func(s *script) {
			a := s.client("a", 0, 2000)
			s.at(1010, a)
			s.at(1020, ClientDisconnected{a.Request})
			s.at(1030, HandOffEnded{1, 0, dispatch.ConnectFailed}, s.client("a", 0, 2000))
		}},
		{"more than may be open", func(s *script) {
			for k := range 10 {
				s.at(1010, s.client(fmt.Sprint(k), 1, 2000))
			}
			s.at(1020, s.client("one more", 1, 2000))
		}},
		{"an id in use", func(s *script) {
			s.at(1010, s.client("a", 0, 2000))
			again := &Request{ID: "a"}
			s.recordReplies(again)
			s.clients["a again"] = again
			s.at(1020, RequestArrived{again})
			s.at(1030, Callback{ID: "a", From: "w1", State: Done, Result: "r"})
			s.clients["a after its answer"] = again
			s.at(1040, RequestArrived{again})
			for k := range 3 { // remembered for the longest expiry, then forgotten
				s.at(3100 + 2100*float64(k))
				s.at(s.now, s.client(fmt.Sprint("b", k), 1, 2000))
				s.at(s.now+10, Callback{ID: fmt.Sprint("b", k), From: "w1", State: Done, Result: "r"})
			}
			s.at(s.now+10, s.client("a", 0, 2000))
		}},
		{"discovery breaks: asked again; a broken watch's list is passed over; a complete list drops", func(s *script) {
			s.at(1100, DiscoveryUpdate{Watch: 1, Revision: 5, Complete: true, Members: []Member{member("w9", dispatch.Up)}})
			s.at(1110, WatchEnded{1}, DiscoveryUpdate{Watch: 1, Revision: 6, Complete: true})
			s.at(2000, s.client("a", 0, 2000))
			s.at(2005)
			s.at(2010, DiscoveryUpdate{Watch: s.newestWatch, Revision: 7, Members: []Member{member("w9", dispatch.Gone)}})
			s.at(2020, s.client("b", 0, 300))
			s.at(2400)
		}},
		{"discovery moves: its whole list counts, until then what was known, and nothing of the old watch", func(s *script) {
			s.at(1100, DiscoveryUpdate{Watch: 1, Revision: 50, Complete: true, Members: []Member{member("w1", dispatch.Up)}})
			s.at(1110, DiscoveryMoved{"there"}, DiscoveryUpdate{Watch: 1, Revision: 51, Complete: true}, WatchEnded{1})
			s.at(1120, s.client("a", 0, 2000))
			s.at(1130, Callback{ID: "a", From: "w1", State: Done})
			s.at(1140, WatchEnded{2}) // not open yet: the complete list is still missing
			s.at(1990)
			s.at(2000, DiscoveryUpdate{Watch: s.newestWatch, Revision: 7, Complete: true, Members: []Member{member("w2", dispatch.Up)}})
			s.at(2010, s.client("b", 0, 2000))
			s.at(2020, WatchEnded{s.newestWatch})
			s.at(2800, Stop{}, DiscoveryMoved{"there"}, DiscoveryMoved{"elsewhere"})
			s.at(2810, Callback{ID: "b", From: "w2", State: Done})
			s.at(3900)
			s.logf("phase %s", s.Phase())
		}},
		{"discovery answers slowly, and is told to move to where it is: the watch that is open goes on", func(s *script) {
			for range 6 {
				s.at(s.now+100, DiscoveryMoved{"here"})
			}
			s.at(1700, DiscoveryUpdate{Watch: 1, Revision: 5, Complete: true, Members: []Member{member("w1", dispatch.Draining)}})
			s.at(1750, s.client("a", 0, 2000), DiscoveryMoved{"here"})
			s.at(1800, WatchEnded{s.newestWatch})
			s.at(1810, DiscoveryMoved{"here"}) // none is open: asked at once
		}},
		{"told to stop: takes work a little longer, then defers; ends when all is answered", func(s *script) {
			s.at(1010, DiscoveryUpdate{Watch: 1, Revision: 5}, s.client("a", 0, 2000))
			s.at(1020, Stop{})
			s.at(1030, Callback{ID: "a", From: "w1", State: Started}, s.client("b", 0, 2000))
			s.at(1040, Callback{ID: "a", From: "w1", State: Done})
			s.at(1050, Callback{ID: "b", From: "w1", State: Done})
			s.at(2000, s.client("c", 1, 4000))
			s.at(2010, Callback{ID: "c", From: "w1", State: Started})
			s.at(2100, s.client("too late", 0, 2000))
			s.at(3500)
			s.at(3520) // the process has no more time, though c has
			s.at(3525)
			s.logf("phase %s", s.Phase())
		}},
		{"near its end beside a newer process: hands over what runs, once it is taken, and knows it no more", func(s *script) {
			s.hasSuccessor = true
			s.at(1010, s.client("a", 1, 5000))
			s.at(1020, Callback{ID: "a", From: "w1", State: Started}, s.client("not taken", 1, 5000))
			s.at(1030, Stop{})
			s.at(3029)
			s.at(3030)
			s.at(3040, Callback{ID: "a", From: "w1", State: Done, Respond: func(CallbackResult) {}})
			s.at(6010)
			s.logf("phase %s", s.Phase())
		}},
		{"takes a job over that another process had: its callback answers, or its client's time ends it", func(s *script) {
			job := func(id string, expiry float64) JobAdopted {
				c := s.client(id, 1, 0).Request
				c.Expiry = expiry
				return JobAdopted{c, Job{ID: id, Category: 1, Expiry: expiry, HandOffs: []JobHandOff{
					{Addr: "at-w2", Taken: dispatch.Taken{Worker: "w2", Sent: 500, Done: true, Unrun: true}},
					{Addr: "at-w1", Taken: dispatch.Taken{Worker: "w1", Sent: 600, Started: 610}}}}}
			}
			s.at(1010, StateInherited{TakeoverState{Used: []string{"a"}}}, job("a", 3000))
			s.at(1020, s.client("b", 1, 2000))
			s.at(1030, Callback{ID: "a", From: "w1", State: Done, Result: "r"})
			s.at(1040, job("c", 1500))
			s.at(1505)
		}},
		{"takes jobs over after it was told to stop: answers them before its end, as they may have run or not", func(s *script) {
			job := func(id string, handOffs ...JobHandOff) JobAdopted {
				c := s.client(id, 1, 9000).Request
				return JobAdopted{c, Job{ID: id, Category: 1, Expiry: c.Expiry, HandOffs: handOffs}}
			}
			s.at(1005, s.client("own", 1, 9000))
			s.at(1010, Stop{})
			s.at(2900, job("runs", JobHandOff{Addr: "at-w1", Taken: dispatch.Taken{Worker: "w1", Sent: 600, Started: 610}}), job("queued"))
			s.at(3600)
			s.logf("phase %s", s.Phase())
		}},
		{"told to stop beside a newer process: takes work for half a second, as that one takes it", func(s *script) {
			s.hasSuccessor = true
			s.at(1010, DiscoveryUpdate{Watch: 1, Revision: 5})
			s.at(1020, Stop{})
			s.at(1530, s.client("too late", 0, 2000))
			s.at(1540)
			s.logf("phase %s", s.Phase())
		}},
	} {
		s := newScript(false, member("w1", dispatch.Up))
		c.play(s)
		fmt.Fprintf(&all, "%s\n%s", c.name, s.log.String())
	}
	s := newScript(true, member("w1", dispatch.Up))
	s.at(1100, WatchEnded{1})
	s.at(7290)
	s.at(7300, DiscoveryUpdate{Watch: s.newestWatch, Revision: 9, Complete: true, Members: []Member{member("w1", dispatch.Up)}})
	s.at(7400, WatchEnded{s.newestWatch})
	s.at(14000)
	fmt.Fprintf(&all, "asked for, a watch that breaks is told to the dispatcher, which asks again\n%s", s.log.String())
	golden.Check(t, "reducer", all.String())
}

// secondWorker lists a second worker.
func secondWorker() DiscoveryUpdate {
	return DiscoveryUpdate{Watch: 1, Revision: 5, Members: []Member{member("w2", dispatch.Up)}}
}
