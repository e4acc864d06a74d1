package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"weldmast/internal/fleet"
)

var figures = fleet.Timing{Beat: 250, Lease: 1000, Drift: 0.01}

// memory is a store that may fail.
type memory struct {
	kept  PersistedState
	fails bool
}

var errFull = errors.New("no space left")

func (m *memory) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if m.fails {
		return errFull
	}
	if snapshot != nil && snapshot.GetMetadata().GetIndex() > 0 {
		m.kept.Snapshot, m.kept.Entries = snapshot, nil
	}
	if hard != nil {
		m.kept.HardState = hard
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		keep := m.kept.Entries[:0:0]
		for _, e := range m.kept.Entries {
			if e.GetIndex() < first {
				keep = append(keep, e)
			}
		}
		m.kept.Entries = append(keep, entries...)
	}
	return nil
}

func (m *memory) Compact(s *pb.Snapshot, from uint64) error {
	if m.fails {
		return errFull
	}
	m.kept.Snapshot = s
	keep := m.kept.Entries[:0:0]
	for _, e := range m.kept.Entries {
		if e.GetIndex() > s.GetMetadata().GetIndex() {
			keep = append(keep, e)
		}
	}
	m.kept.Entries = keep
	return nil
}

// play is a council in virtual time.
type play struct {
	t      *testing.T
	now    float64
	rnd    *rand.Rand
	names  []string
	ids    map[uint64]int
	cores  []*Core
	stores []*memory
	lost   float64
	jitter float64
	cut    map[[2]int]bool
	wire   []flying
}

type flying struct {
	at   float64
	from int
	to   int
	m    Message
}

func newPlay(t *testing.T, n int, seed uint64) *play {
	p := &play{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), ids: map[uint64]int{}, cut: map[[2]int]bool{}, jitter: 10}
	for k := range n {
		p.names = append(p.names, fmt.Sprint("v", k))
		p.ids[InitialRaftID("f", p.names[k])] = k
	}
	var voters []fleet.Voter
	for _, name := range p.names {
		voters = append(voters, fleet.Voter{Name: name, Address: name, RaftID: InitialRaftID("f", name)})
	}
	for range n {
		p.stores = append(p.stores, &memory{kept: InitialState("f", voters)})
		p.cores = append(p.cores, nil)
	}
	for k := range n {
		p.start(k)
	}
	return p
}

func (p *play) start(k int) {
	c, err := NewCore(figures, InitialRaftID("f", p.names[k]), p.stores[k].kept, p.stores[k], p.rnd.Uint64(), p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.cores[k] = c
}

// until goes on until the condition holds, for as long as the span at most.
func (p *play) until(span float64, what string, cond func() bool) {
	p.t.Helper()
	for end := p.now + span; !cond(); {
		if p.now > end {
			p.t.Fatalf("%.0f ms: %s does not come about", p.now, what)
		}
		p.step()
	}
}

func (p *play) step() {
	p.now += 5
	wire := p.wire
	p.wire = nil
	for _, f := range wire {
		if f.at > p.now {
			p.wire = append(p.wire, f)
		} else if c := p.cores[f.to]; c != nil && !p.cut[[2]int{f.from, f.to}] {
			c.Receive(p.now, f.m.Data)
			if f.m.IsSnapshot && p.cores[f.from] != nil {
				p.cores[f.from].ReportSnapshot(p.now, f.m.To, true)
			}
		}
	}
	for k, c := range p.cores {
		if c == nil {
			continue
		}
		c.Tick(p.now)
		for _, m := range c.TakeMessages(p.now) {
			if p.rnd.Float64() >= p.lost {
				p.wire = append(p.wire, flying{p.now + 1 + p.jitter*p.rnd.Float64(), k, p.ids[m.To], m})
			}
		}
	}
}

func (p *play) leader() *Core {
	for _, c := range p.cores {
		if c != nil && c.isLeader() && c.hasQuorum(p.now, 2*minElectionTimeout) {
			return c
		}
	}
	return nil
}

func publish(request, text string) fleet.Command {
	return fleet.Command{Kind: fleet.PublishVersion, RequestID: request, Text: []byte(text)}
}

// same tells whether all that live have the same history up to n.
func (p *play) same(n uint64) bool {
	for _, c := range p.cores {
		if c != nil && (c.state.LastSeq() < n || c.state.Digest() != p.leaderOr(c).state.Digest()) {
			return false
		}
	}
	return true
}

func (p *play) leaderOr(c *Core) *Core {
	if l := p.leader(); l != nil {
		return l
	}
	return c
}

// ask publishes again and again under one number until it is answered, as an operator does.
func (p *play) ask(c fleet.Command) (got fleet.Result) {
	p.t.Helper()
	answered, open := false, false
	p.until(20000, "an answer to "+c.RequestID, func() bool {
		if l := p.leader(); !answered && !open && l != nil {
			open = true
			l.Propose(p.now, c, func(r fleet.Result, err error) {
				open = false
				if err == nil {
					got, answered = r, true
				}
			})
		}
		return answered
	})
	return got
}

func TestLeaderKilledBeforeItsAnswer(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlay(t, 3, seed)
		p.until(5000, "a leader", func() bool { return p.leader() != nil })
		l := p.leader()
		var first error
		l.Propose(p.now, publish("r1", "{}"), func(_ fleet.Result, err error) { first = err })
		for range seed % 8 { // at each point between the asking and the answer
			p.step()
		}
		for k, c := range p.cores {
			if c == l {
				p.cores[k] = nil
			}
		}
		got := p.ask(publish("r1", "{}"))
		if again := p.ask(publish("r1", "{}")); got.Version != 1 || again.Version != 1 || !again.Duplicate {
			t.Fatalf("seed %d: one request became %+v and %+v (first %v)", seed, got, again, first)
		}
		for k, c := range p.cores {
			if c == nil {
				p.start(k)
			}
		}
		p.until(10000, "one history", func() bool { return p.leader() != nil && p.same(1) })
	}
}

// TestLeaderCutWithTwoDown: with two of five down, a leader that was cut off and then hears again has to give the third vote that
// the others need, or to lead on if its log is the longest.
func TestLeaderCutWithTwoDown(t *testing.T) {
	for seed := range uint64(10) {
		p := newPlay(t, 5, seed)
		p.until(5000, "a leader", func() bool { return p.leader() != nil })
		l := p.leader()
		down := 0
		for k, c := range p.cores {
			if c != l && down < 2 {
				p.cores[k], down = nil, down+1
			}
		}
		lead := slices.Index(p.cores, l)
		for k := range p.cores {
			p.cut[[2]int{k, lead}] = true
			p.cut[[2]int{lead, k}] = seed%2 == 1
		}
		for end := p.now + 3000; p.now < end; {
			p.step()
		}
		if seed%2 == 1 { // its log goes on, so that nobody else can lead
			l.Propose(p.now, publish("r", "{}"), func(fleet.Result, error) {})
		}
		for end := p.now + 3000; p.now < end; {
			p.step()
		}
		clear(p.cut)
		p.until(5000, fmt.Sprintf("seed %d: a leader again", seed), func() bool { return p.leader() != nil })
	}
}

// TestReadings: beats by the hundred a second share the readings that confirm the leader: what it tells other voters does not
// grow with them, and each beat is answered soon, once, with a lease. One voter of five stands still and one is cut off meanwhile.
func TestReadings(t *testing.T) {
	told := map[int]int{}
	for _, each := range []int{1, 20} { // beats in each 5 ms
		p := newPlay(t, 5, 3)
		p.until(5000, "a leader", func() bool { return p.leader() != nil })
		p.jitter = 0 // near one another: a reading could be over at once, and the next begun
		l := p.leader()
		lead := slices.Index(p.cores, l)
		still, cut := (lead+1)%5, (lead+2)%5
		for k := range p.cores {
			p.cut[[2]int{k, cut}], p.cut[[2]int{cut, k}] = true, true
			p.cut[[2]int{k, still}] = true
		}
		l.Propose(p.now, fleet.Command{Kind: fleet.AdmitMember, RequestID: "m", Member: "m", Address: "m", IsolationPolicy: fleet.StopWhenIsolated, RunID: "r"}, func(fleet.Result, error) {})
		p.until(2000, "the member", func() bool { _, known := l.state.Member("m"); return known })
		sent, answered, late := 0, 0, 0.
		for end := p.now + 1000; p.now < end; {
			for range each {
				began := p.now
				sent++
				l.Heartbeat(p.now, fleet.Heartbeat{Fleet: "f", Format: fleet.FormatVersion, Member: "m", Address: "m", RunID: "r", IsolationPolicy: fleet.StopWhenIsolated, Lease: figures.Lease, Drift: figures.Drift},
					func(r fleet.LeaseRenewal, err error) {
						if err != nil || r.Granted == 0 {
							t.Errorf("%+v %v", r, err)
						}
						answered++
						late = max(late, p.now-began)
					})
			}
			p.step()
			for _, f := range p.wire {
				if f.from == lead && f.at == p.now+1 { // sent in this step
					told[each]++
				}
			}
		}
		for end := p.now + 200; p.now < end; {
			p.step()
		}
		if p.leader() != l || answered != sent || late > readInterval+60 {
			t.Errorf("%d beats in 5 ms: %d of %d answered, after %.0f ms at most", each, answered, sent, late)
		}
	}
	t.Logf("messages of the leader by beats in 5 ms: %v", told)
	if told[20] > told[1]*5/4 || told[1] > 4*(1000/readInterval+1000/HeartbeatInterval+5) {
		t.Errorf("messages of the leader by beats in 5 ms: %v", told)
	}
}

func TestStorms(t *testing.T) {
	idle, all := 0, 0
	for seed := range uint64(60) {
		n := []int{1, 3, 5}[seed%3]
		p := newPlay(t, n, seed)
		p.lost = 0.1
		done := map[string]uint64{}
		asked, next := 0, 0.
		digests := map[uint64]fleet.Digest{}
		for p.now < 15000 {
			p.step()
			if p.now > next { // a fault, and a request
				next = p.now + 300*p.rnd.Float64()
				k := p.rnd.IntN(n)
				switch p.rnd.IntN(8) {
				case 0:
					p.cores[k] = nil
				case 1, 2:
					if p.cores[k] == nil {
						p.start(k)
					}
				case 3:
					p.cut[[2]int{k, p.rnd.IntN(n)}] = true
				case 4, 5:
					clear(p.cut)
				case 6:
					p.stores[k].fails = !p.stores[k].fails
				}
				if l := p.leader(); l != nil {
					asked++
					request := fmt.Sprint("r", asked/2) // each twice
					l.Propose(p.now, publish(request, request), func(r fleet.Result, err error) {
						if err != nil {
							return
						}
						if was, ok := done[request]; ok && was != r.Version {
							t.Fatalf("seed %d: %s is version %d and %d", seed, request, was, r.Version)
						}
						done[request] = r.Version
					})
				}
			}
			for _, c := range p.cores {
				if c == nil {
					continue
				}
				if d, ok := digests[c.state.LastSeq()]; ok && d != c.state.Digest() {
					t.Fatalf("seed %d at %.0f: two histories up to %d", seed, p.now, c.state.LastSeq())
				}
				digests[c.state.LastSeq()] = c.state.Digest()
			}
		}
		clear(p.cut)
		p.lost = 0
		for k := range n {
			p.stores[k].fails = false
			if p.cores[k] == nil {
				p.start(k)
			}
		}
		p.until(5000, fmt.Sprintf("seed %d: one history after the faults", seed), func() bool { return p.leader() != nil && p.same(0) })
		for request, version := range done {
			if v, ok := p.cores[0].state.Version(version); !ok || string(v.Text) != request && len(v.Text) > 0 {
				t.Fatalf("seed %d: %s was answered as version %d, which is %q", seed, request, version, v.Text)
			}
		}
		if all += len(done); len(done) == 0 {
			idle++
		}
	}
	if idle > 10 || all < 300 { // as it is: 3 and 495
		t.Errorf("%d of 60 storms published nothing, all together %d versions: they show little", idle, all)
	}
}
