package takeover

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// process is one of a dispatcher's, as the test plays it: what its machine wanted done is what it does.
type process struct {
	m       Machine
	accepts bool
	half    bool
	told    bool     // to stop
	older   *process // that it is linked to
	newer   *process
	sent    bool   // older: has handed over, which the newer one has not read yet
	said    []bool // newer: whether there is one after it, which the older one has not read yet
	dead    bool
}

func (p *process) do(actions []Action) {
	for _, a := range actions {
		switch a {
		case StartAccepting, ResumeAccepting:
			p.accepts = true
		case HandOverState:
			p.accepts, p.sent = false, true
		case ReportSuccessor:
			p.said = append(p.said, p.newer != nil)
		case HalveLimits:
			p.half = true
		case RestoreLimits:
			p.half = false
		}
	}
}

// TestOneAccepts: whatever dies, comes or is told when, never do two processes accept, and once all is heard one does, if
// any lives. Bounds are shared just while there are two.
func TestOneAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*process
		var found *process // who is at the path
		living := func() (some []*process) {
			for _, p := range all {
				if !p.dead {
					some = append(some, p)
				}
			}
			return some
		}
		take := func(p *process, actions []Action) {
			if p.do(actions); slices.Contains(actions, StartAccepting) {
				found = p
			}
		}
		hear := func(p *process) { // all that its older one has said, or its end
			if o := p.older; o != nil {
				if o.sent {
					o.sent = false
					take(p, p.m.PredecessorHandedOver())
				}
				if o.dead {
					p.older = nil
					take(p, p.m.PredecessorGone())
				}
			}
			if n := p.newer; n != nil {
				for _, on := range n.said {
					p.m.SuccessorReport(on)
				}
				if n.said = nil; n.dead {
					p.newer, p.sent = nil, false
					take(p, p.m.SuccessorGone())
				}
			}
		}
		pick := func(t *rapid.T) *process { return rapid.SampledFrom(living()).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				p := &process{}
				if found == nil || found.dead {
					if len(living()) > 0 {
						t.Skip("it would share the address with one that cannot be found") // and is told so in the log
					}
					all = append(all, p)
					take(p, p.m.Start(false))
					return
				}
				why, actions := found.m.SuccessorHello(ProtocolVersion, true)
				if why == "" {
					p.older, found.newer = found, p
					found.do(actions)
					all = append(all, p)
					take(p, p.m.Start(true))
				} else if why != RefusedBusy || found.newer == nil && found.accepts {
					t.Fatalf("refused: %s", why)
				}
			},
			"stranger": func(t *rapid.T) {
				if found == nil || found.dead {
					t.Skip("nobody is found")
				}
				if why, actions := found.m.SuccessorHello(ProtocolVersion+1, true); why != RefusedVersion || actions != nil {
					t.Fatal("another version is welcome")
				}
				if why, actions := found.m.SuccessorHello(ProtocolVersion, false); why != RefusedOtherDispatcher || actions != nil {
					t.Fatal("another dispatcher is welcome")
				}
			},
			"stop": func(t *rapid.T) {
				if len(living()) == 0 {
					t.Skip("none lives")
				}
				p := pick(t)
				p.told = true
				p.do(p.m.Stop())
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
				hear(pick(t))
			},
			"": func(t *rapid.T) {
				accept := 0
				for _, p := range living() {
					if p.accepts {
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
				hear(p)
			}
		}
		accept := 0
		for _, p := range living() {
			if p.accepts {
				accept++
			}
			if p.half != (p.older != nil || p.newer != nil) {
				t.Fatalf("half of the bounds: %v, older %v, newer %v", p.half, p.older != nil, p.newer != nil)
			}
		}
		if slices.ContainsFunc(living(), func(p *process) bool { return !p.told }) && accept != 1 {
			t.Fatalf("%d accept of %d that live", accept, len(living()))
		}
	})
}

// TestMiddleDies: of three processes the middle one dies before it hands over; it had told the oldest of the newest, so
// that only the newest accepts. Had there been none, the oldest would.
func TestMiddleDies(t *testing.T) {
	for _, followed := range []bool{true, false} {
		var oldest, middle, newest Machine
		oldest.Start(false)
		oldest.SuccessorHello(ProtocolVersion, true)
		middle.Start(true)
		oldest.Stop()
		middle.PredecessorHandedOver()
		if followed {
			if _, do := middle.SuccessorHello(ProtocolVersion, true); len(do) == 0 || do[0] != ReportSuccessor {
				t.Fatalf("told of a newer one: %v, wanted the report first", do)
			}
			oldest.SuccessorReport(true)
			newest.Start(true)
		}
		if got := slices.Contains(oldest.SuccessorGone(), ResumeAccepting); got == followed {
			t.Errorf("one follows: %v; the oldest accepts: %v", followed, got)
		}
		if followed && !slices.Contains(newest.PredecessorGone(), StartAccepting) {
			t.Error("nobody accepts")
		}
	}
}
