package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleet"
)

// fakeTransport is a transport, and a lease guard that a test opens and closes. It records what the node
// requests.
type fakeTransport struct {
	open    bool
	now     float64
	log     []string
	written map[string]bool
	actions [3]int
	version uint64
}

type fakeAttempt struct {
	f  *fakeTransport
	id string
}

func (a fakeAttempt) Cancel()        { a.f.log = append(a.f.log, "give up "+a.id) }
func (a fakeAttempt) Accepted() bool { return a.f.written[a.id] }
func (a fakeAttempt) Written() bool  { return a.f.written[a.id] }

func (f *fakeTransport) Send(s HandOffRequest) Attempt {
	f.log = append(f.log, fmt.Sprintf("send %s mark %q", s.ID, s.Mark))
	return fakeAttempt{f, s.ID}
}
func (f *fakeTransport) AdoptHandOff(s HandOffRequest) Attempt { return fakeAttempt{f, s.ID} }
func (f *fakeTransport) Watch(int, string, int64)              {}
func (f *fakeTransport) Unwatch(int)                           {}
func (f *fakeTransport) SendToPeer(int, []byte)                {}
func (f *fakeTransport) Drain(func() TakeoverState) bool       { return false }
func (f *fakeTransport) ShareID(string)                        {}
func (f *fakeTransport) ForwardCallback(c Callback)            { c.Respond(CallbackUnknown) }
func (f *fakeTransport) CloseIdle()                            {}
func (f *fakeTransport) Allowed() bool                         { return f.open }
func (f *fakeTransport) VersionInForce(version uint64)         { f.version = version }
func (f *fakeTransport) RecordAction(a fleet.Action)           { f.actions[a]++ }

func (f *fakeTransport) client(id string, category int) RequestArrived {
	c := &Request{ID: id, Category: category, Tenant: -1, Hint: 10, Expiry: f.now + 5000}
	c.Respond = func(r Reply) {
		f.log = append(f.log, fmt.Sprintf("answer %s %d %q pause %v", id, r.Result, r.Body, r.RetryAfter > 0))
	}
	return RequestArrived{c}
}

func newGuardedNode(workers ...string) (*Node, *fakeTransport, dispatch.Settings) {
	f := &fakeTransport{open: true, now: 1e6, written: map[string]bool{}}
	s := dispatch.Settings{Seed: 1 << 40, RoundInterval: 5, Dispatchers: 1, Kinds: 1, StartNotices: true, MayCancel: true, MaxHandOffs: 3, AnswerSlack: 20,
		DiscoveryAskWithin: 10000, StartCapacity: 0.1, WarmUpTime: 1000, OverloadMultiple: 3, OverloadWindow: 100, MayAdviseRetryAfter: true, MaxRetryAfter: 2000,
		Categories: []dispatch.Category{{DueTime: 4000, Expiry: 5000, Credit: 1, Kind: -1}, {DueTime: 4000, Expiry: 5000, Credit: 1, Kind: -1, Repeat: dispatch.Exclusive}}}
	var members []Member
	for _, w := range workers {
		members = append(members, member(w, dispatch.Up))
	}
	n := New(Options{Settings: s, MaxOpen: 10, Discovery: "here", CachedList: DiscoveryUpdate{Members: members}, Clock: func() float64 { return f.now }, Guard: f})
	n.Begin(f)
	f.run(n, 600)
	return n, f, s
}

// run advances the time, with the given events at the beginning.
func (f *fakeTransport) run(n *Node, duration float64, values ...any) {
	n.Step(values...)
	for end := f.now + duration; f.now < end; {
		f.now += 5
		n.Step()
	}
}

func (f *fakeTransport) expect(t *testing.T, what string, want ...string) {
	t.Helper()
	if !slices.Equal(f.log, want) {
		t.Errorf("%s:\n%s\nwanted\n%s", what, strings.Join(f.log, "\n"), strings.Join(want, "\n"))
	}
	f.log = nil
}

// TestGuardDenies: a process that the fleet does not allow to act accepts no work and gives up queued work;
// hand-offs in progress are still answered.
func TestGuardDenies(t *testing.T) {
	n, f, _ := newGuardedNode("w")
	f.run(n, 20, f.client("out", 1))
	f.expect(t, "open", `send out mark ""`)
	f.run(n, 20, f.client("held", 0)) // its only worker has no credit
	f.expect(t, "held")
	f.open = false
	f.run(n, 20)
	f.expect(t, "shut", fmt.Sprintf(`answer held %d "" pause true`, Deferred))
	f.run(n, 20, f.client("late", 0))
	f.expect(t, "a newcomer", fmt.Sprintf(`answer late %d "" pause true`, Deferred))
	f.run(n, 20, Callback{ID: "out", From: "w", State: Done, Result: "done", Respond: func(CallbackResult) {}})
	f.expect(t, "what was out", fmt.Sprintf(`answer out %d "done" pause false`, Served))
	if f.actions != [3]int{1, 2, 1} {
		t.Errorf("recorded actions %v", f.actions)
	}
	f.open = true
	f.run(n, 20, f.client("again", 0))
	f.expect(t, "open again", `send again mark ""`)
}

// TestGuardDeniesAfterFailure guards against a deferral, after which the client retries, of exclusive work
// that failed and may have run.
func TestGuardDeniesAfterFailure(t *testing.T) {
	n, f, _ := newGuardedNode("w")
	f.run(n, 20, f.client("x", 1))
	f.open = false
	f.run(n, 20, HandOffEnded{WI: 1, HO: 0, Outcome: dispatch.ConnReset})
	f.expect(t, "an exclusive one that may have run", `send x mark ""`, fmt.Sprintf(`answer x %d "" pause false`, WrittenOff))
}

// TestConfigChange: a version comes into force between two rounds. It is confirmed once no earlier hand-off
// remains to be written.
func TestConfigChange(t *testing.T) {
	n, f, s := newGuardedNode("v", "w")
	f.run(n, 20, f.client("old", 0))
	f.expect(t, "before", `send old mark ""`)
	s.MaxHandOffs = 1
	applied := 0
	f.run(n, 50, ConfigChanged{Version: 7, Settings: s, MaxOpen: 2, Mark: "b", OnApplied: func() { applied++ }})
	if f.version != 7 || applied != 0 {
		t.Fatalf("version %d in force, confirmed %d times with a hand-off unwritten", f.version, applied)
	}
	f.written["old"] = true
	f.run(n, 20)
	if applied != 1 {
		t.Fatalf("confirmed %d times", applied)
	}
	f.run(n, 20, f.client("new", 0))
	f.expect(t, "after", `send new mark "b"`)
	f.run(n, 10, f.client("third", 0))
	f.expect(t, "as many open as the version allows", fmt.Sprintf(`answer third %d "" pause true`, Deferred))
	f.run(n, 20, HandOffEnded{WI: 2, HO: 0, Outcome: dispatch.ConnectFailed})
	f.expect(t, "as many hand-offs as the version allows", fmt.Sprintf(`answer new %d "" pause true`, Deferred))
}
