package takeover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// process simulates one process of a dispatcher: it applies the actions of its machine.
type process struct {
	m           Machine
	accepting   bool
	halved      bool
	toldToStop  bool
	predecessor *process // linked process
	successor   *process
	stateSent   bool   // state was sent to the successor, which hasn't read it yet
	reports     []bool // reports to the predecessor (whether this process has a successor) that it hasn't read yet
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

// TestOneProcessAccepts checks, for any order of starts, stops and crashes, that two processes never accept
// at the same time, and that one accepts once all messages are delivered, if a process is alive that wasn't
// told to stop. A process uses half of the limits exactly while it has a predecessor or a successor.
func TestOneProcessAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*process
		var atPath *process // the process that listens at the path
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
		// delivers all pending messages of the linked processes, or the end of their links
		deliver := func(p *process) {
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
						t.Skip("it would share the address with a process that cannot be found") // Exchange logs this case
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
					t.Skip("no process listens at the path")
				}
				if why, actions := atPath.m.SuccessorHello(ProtocolVersion+1, true); why != RefusedVersion || actions != nil {
					t.Fatal("accepted a process with another protocol version")
				}
				if why, actions := atPath.m.SuccessorHello(ProtocolVersion, false); why != RefusedOtherDispatcher || actions != nil {
					t.Fatal("accepted a process of another dispatcher")
				}
			},
			"stop": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("no process is alive")
				}
				p := pick(t)
				p.toldToStop = true
				p.perform(p.m.Stop())
			},
			"die": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("no process is alive")
				}
				pick(t).dead = true
			},
			"hear": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("no process is alive")
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
					t.Fatalf("%d processes accept", accept)
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
				t.Fatalf("half of the limits: %v, predecessor %v, successor %v", p.halved, p.predecessor != nil, p.successor != nil)
			}
		}
		if slices.ContainsFunc(living(), func(p *process) bool { return !p.toldToStop }) && accept != 1 {
			t.Fatalf("%d of %d live processes accept, want 1", accept, len(living()))
		}
	})
}

// TestMiddleProcessDies covers three processes of which the middle one dies before it hands over. The middle
// one had reported the newest process to the oldest, so only the newest accepts. Without a newest process the
// oldest accepts again.
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
				t.Fatalf("actions on a greeting: %v, want ReportSuccessor first", actions)
			}
			oldest.SuccessorReport(true)
			newest.Start(true)
		}
		if got := slices.Contains(oldest.SuccessorGone(), ResumeAccepting); got == hasSuccessor {
			t.Errorf("middle had a successor: %v; oldest accepts: %v", hasSuccessor, got)
		}
		if hasSuccessor && !slices.Contains(newest.PredecessorGone(), StartAccepting) {
			t.Error("no process accepts")
		}
	}
}
