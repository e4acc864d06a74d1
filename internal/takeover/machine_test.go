package takeover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// process is one of a dispatcher's, as the test plays it: what its machine wanted done is what it does.
type process struct {
	m           Machine
	accepting   bool
	halved      bool
	toldToStop  bool     // to stop
	predecessor *process // that it is linked to
	successor   *process
	stateSent   bool   // older: has handed over, which the newer one has not read yet
	reports     []bool // newer: whether there is one after it, which the older one has not read yet
	dead        bool
}

func (p *process) perform(actions []Action) {
	for _, a := range actions {
		switch a {
		case StartAccepting, ResumeAccepting:
			p.accepting = true
		case HandOverState:
			p.accepting, p.stateSent = false, true
		case ReportSuccessor:
			p.reports = append(p.reports, p.successor != nil)
		case HalveLimits:
			p.halved = true
		case RestoreLimits:
			p.halved = false
		}
	}
}

// TestOneAccepts: whatever dies, comes or is told when, never do two processes accept, and once all is heard one does, if
// any lives. Bounds are shared just while there are two.
func TestOneProcessAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*process
		var atPath *process // who is at the path
		living := func() (some []*process) {
			for _, p := range all {
				if !p.dead {
					some = append(some, p)
				}
			}
			return some
		}
		perform := func(p *process, actions []Action) {
			if p.perform(actions); slices.Contains(actions, StartAccepting) {
				atPath = p
			}
		}
		deliver := func(p *process) { // all that its older one has said, or its end
			if o := p.predecessor; o != nil {
				if o.stateSent {
					o.stateSent = false
					perform(p, p.m.PredecessorHandedOver())
				}
				if o.dead {
					p.predecessor = nil
					perform(p, p.m.PredecessorGone())
				}
			}
			if n := p.successor; n != nil {
				for _, on := range n.reports {
					p.m.SuccessorReport(on)
				}
				if n.reports = nil; n.dead {
					p.successor, p.stateSent = nil, false
					perform(p, p.m.SuccessorGone())
				}
			}
		}
		pick := func(t *rapid.T) *process { return rapid.SampledFrom(living()).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				p := &process{}
				if atPath == nil || atPath.dead {
					if len(living()) > 0 {
						t.Skip("it would share the address with one that cannot be found") // and is told so in the log
					}
					all = append(all, p)
					perform(p, p.m.Start(false))
					return
				}
				why, actions := atPath.m.SuccessorHello(ProtocolVersion, true)
				if why == "" {
					p.predecessor, atPath.successor = atPath, p
					atPath.perform(actions)
					all = append(all, p)
					perform(p, p.m.Start(true))
				} else if why != RefusedBusy || atPath.successor == nil && atPath.accepting {
					t.Fatalf("refused: %s", why)
				}
			},
			"stranger": func(t *rapid.T) {
				if atPath == nil || atPath.dead {
					t.Skip("nobody is found")
				}
				if why, actions := atPath.m.SuccessorHello(ProtocolVersion+1, true); why != RefusedVersion || actions != nil {
					t.Fatal("another version is welcome")
				}
				if why, actions := atPath.m.SuccessorHello(ProtocolVersion, false); why != RefusedOtherDispatcher || actions != nil {
					t.Fatal("another dispatcher is welcome")
				}
			},
			"stop": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("none lives")
				}
				p := pick(t)
				p.toldToStop = true
				p.perform(p.m.Stop())
			},
			"die": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("none lives")
				}
				pick(t).dead = true
			},
			"hear": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("none lives")
				}
				deliver(pick(t))
			},
			"": func(t *rapid.T) {
				accept := 0
				for _, p := range living() {
					if p.accepting {
						accept++
					}
				}
				if accept > 1 {
					t.Fatalf("%d accept", accept)
				}
			},
		})
		for range all {
			for _, p := range living() {
				deliver(p)
			}
		}
		accept := 0
		for _, p := range living() {
			if p.accepting {
				accept++
			}
			if p.halved != (p.predecessor != nil || p.successor != nil) {
				t.Fatalf("half of the bounds: %v, older %v, newer %v", p.halved, p.predecessor != nil, p.successor != nil)
			}
		}
		if slices.ContainsFunc(living(), func(p *process) bool { return !p.toldToStop }) && accept != 1 {
			t.Fatalf("%d accept of %d that live", accept, len(living()))
		}
	})
}

// TestMiddleDies: of three processes the middle one dies before it hands over; it had told the oldest of the newest, so
// that only the newest accepts. Had there been none, the oldest would.
func TestMiddleProcessDies(t *testing.T) {
	for _, hasSuccessor := range []bool{true, false} {
		var oldest, middle, newest Machine
		oldest.Start(false)
		oldest.SuccessorHello(ProtocolVersion, true)
		middle.Start(true)
		oldest.Stop()
		middle.PredecessorHandedOver()
		if hasSuccessor {
			if _, actions := middle.SuccessorHello(ProtocolVersion, true); len(actions) == 0 || actions[0] != ReportSuccessor {
				t.Fatalf("told of a newer one: %v, wanted the report first", actions)
			}
			oldest.SuccessorReport(true)
			newest.Start(true)
		}
		if got := slices.Contains(oldest.SuccessorGone(), ResumeAccepting); got == hasSuccessor {
			t.Errorf("one follows: %v; the oldest accepts: %v", hasSuccessor, got)
		}
		if hasSuccessor && !slices.Contains(newest.PredecessorGone(), StartAccepting) {
			t.Error("nobody accepts")
		}
	}
}
