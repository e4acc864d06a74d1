// This file plays a fleet in virtual time: its council with all its voters, and members by hundreds, over links that lose
// and delay and are cut. What members do is internal/fleet's; only when they beat and ask is modelled, as internal/member does it.

package virtualtime

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"weldmast/internal/consensus"
	"weldmast/internal/fleet"
)

// FleetDay is what is played.
type FleetScenario struct {
	Members     int // followers among them
	Voters      int
	Seed        uint64
	MessageLoss float64 // of each message, one way
	CutShare    float64 // share of members cut off for three seconds in the midst of a publish
	Faults      int     // kills, cuts and standstills of single members, drawn
	Length      float64
}

// FleetResult is what came of it. Times are milliseconds, bytes those of the messages' content.
type FleetResult struct {
	Published         int
	TimeTo99          []float64 // from a publish's answer until 99% of the members that are not cut off have it in force
	TimeToAll         []float64 // the same for all, cut off or not
	LeaderMessageRate float64   // messages a second at the leader, in and out
	MemberByteRate    float64   // a member a second
	FencesCompleted   int       // told to be complete
	Violation         string
}

const (
	fleetLink  = 0.5 // ms, one way; twice that at most
	fleetApply = 2   // ms until the reducer has a version in force
	fleetPoll  = 2000
	ledMost    = 256 // states that are kept for other members
)

type fleetEvent struct {
	at  float64
	seq int
	do  func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q fleetQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// kept is a voter's store.
type kept struct{ k consensus.PersistedState }

func (s *kept) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if snapshot.GetMetadata().GetIndex() > 0 {
		s.k.Snapshot, s.k.Entries = snapshot, nil
	}
	if hard != nil {
		s.k.HardState = hard
	}
	if len(entries) > 0 {
		s.k.Entries = append(slices.DeleteFunc(s.k.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= entries[0].GetIndex() }), entries...)
	}
	return nil
}

func (s *kept) Compact(snapshot *pb.Snapshot, _ uint64) error {
	s.k.Snapshot = snapshot
	s.k.Entries = slices.DeleteFunc(s.k.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= snapshot.GetMetadata().GetIndex() })
	return nil
}

// waiter is a long poll at a voter.
type waiter struct {
	m, run int
	call   int
}

type fleetMember struct {
	self   *fleet.LeaseHolder
	run    fleet.RunRecord
	runs   int
	up     bool
	still  float64 // it stands still until then
	cut    bool
	call   int // of its poll
	bytes  float64
	leader int
}

// spread is a version on its way to all.
type spread struct {
	at   float64
	most bool // 99% have it
}

type fleetPlay struct {
	d       FleetScenario
	f       fleet.Timing
	now     float64
	rnd     *rand.Rand
	queue   fleetQueue
	seq     int
	cores   []*consensus.Core
	stores  []*kept
	seats   map[uint64]int
	members []*fleetMember
	load    float64
	r       FleetResult
	told    map[uint64]float64 // fences, by version
	pending map[uint64]*spread // publishes that are on their way, by version
	// States that entries led to, by their digests, and these from the oldest on.
	shared   bool
	led      map[fleet.Digest]*fleet.State
	ledOrder []fleet.Digest
}

// PlayFleet plays a day.
func RunFleet(d FleetScenario) FleetResult { return playFleet(d, true) }

// playFleet is the same; not shared: each member works out by itself what entries lead to.
func playFleet(d FleetScenario, shared bool) FleetResult {
	p := &fleetPlay{d: d, shared: shared, f: fleet.Timing{Beat: 250, Lease: 1000, Drift: 0.01}, rnd: rand.New(rand.NewPCG(d.Seed, 0x666c6474)), seats: map[uint64]int{},
		told: map[uint64]float64{}, pending: map[uint64]*spread{}, led: map[fleet.Digest]*fleet.State{}}
	var voters []fleet.Voter
	for k := range d.Voters {
		name := fmt.Sprintf("m%04d", k)
		voters = append(voters, fleet.Voter{Name: name, Address: name, RaftID: consensus.InitialRaftID("lab", name)})
		p.seats[voters[k].RaftID] = k
	}
	for range d.Voters {
		p.stores = append(p.stores, &kept{consensus.InitialState("lab", voters)})
		p.cores = append(p.cores, nil)
	}
	for k := range d.Voters {
		p.voter(k)
	}
	for k := range d.Members {
		p.members = append(p.members, &fleetMember{leader: -1})
		p.at(p.rnd.Float64()*p.f.Beat, func() { p.begin(k) })
	}
	p.at(1, p.tick)
	for n := 0; 4000+3000*float64(n) < d.Length-6000; n++ {
		at := 4000 + 3000*float64(n)
		p.at(at, func() { p.publish(n, 0) })
		if d.CutShare > 0 && n%2 == 1 {
			p.at(at-5, func() { p.cut(true) })
			p.at(at+3000, func() { p.cut(false) })
		}
	}
	for range d.Faults {
		k, at, span := p.rnd.IntN(d.Members), 3000+p.rnd.Float64()*max(d.Length-9000, 0), 100+p.rnd.Float64()*2500
		switch p.rnd.IntN(4) {
		case 0:
			p.at(at, func() { p.kill(k) })
			p.at(at+span, func() { p.begin(k) })
		case 1:
			p.at(at, func() { p.members[k].cut = true })
			p.at(at+span, func() { p.members[k].cut = false })
		case 2:
			p.at(at, func() { p.members[k].still = p.now + span })
		case 3:
			v := p.rnd.IntN(d.Voters)
			p.at(at, func() { p.cores[v] = nil })
			p.at(at+span, func() { p.voter(v) })
		}
	}
	for len(p.queue) > 0 && p.now < d.Length && p.r.Violation == "" {
		e := heap.Pop(&p.queue).(fleetEvent)
		p.now = e.at
		e.do()
	}
	if p.r.Violation == "" {
		p.end()
	}
	return p.r
}

func (p *fleetPlay) at(when float64, do func()) {
	p.seq++
	heap.Push(&p.queue, fleetEvent{max(when, p.now), p.seq, do})
}

func (p *fleetPlay) voter(k int) {
	c, err := consensus.NewCore(p.f, consensus.InitialRaftID("lab", fmt.Sprintf("m%04d", k)), p.stores[k].k, p.stores[k], p.rnd.Uint64(), p.now)
	if err != nil {
		p.broken("voter %d: %v", k, err)
		return
	}
	p.cores[k] = c
}

func (p *fleetPlay) broken(format string, a ...any) {
	if p.r.Violation == "" {
		p.r.Violation = fmt.Sprintf("at %.0f ms: ", p.now) + fmt.Sprintf(format, a...)
	}
}

func (p *fleetPlay) begin(k int) {
	m := p.members[k]
	if m.up {
		return
	}
	state := fleet.NewState("lab")
	if m.self != nil { // its folder
		state = m.self.State()
	}
	m.runs++
	m.up, m.run = true, fleet.RunRecord{ID: fmt.Sprint(k, "-", m.runs), StartedAt: p.now}
	m.run.RecordVersion(p.now, 0)
	m.self = fleet.NewLeaseHolder(p.f, fmt.Sprintf("m%04d", k), "1.0.0", fleet.StopWhenIsolated, state, p.now)
	p.bring(k)
	p.beat(k, m.runs, true)
	p.poll(k, m.runs)
}

func (p *fleetPlay) kill(k int) { p.members[k].up = false }

func (p *fleetPlay) cut(on bool) {
	for k := range int(p.d.CutShare * float64(p.d.Members)) {
		p.members[p.d.Members-1-k].cut = on
	}
}

// carry brings a message between a member and a voter, either way, with its bytes on the member's account.
func (p *fleetPlay) carry(k int, size int, do func()) {
	m := p.members[k]
	m.bytes += float64(size)
	if m.cut || p.rnd.Float64() < p.d.MessageLoss {
		return
	}
	p.at(p.now+fleetLink*(1+p.rnd.Float64()), func() {
		if !m.cut {
			do()
		}
	})
}

// lives tells whether a process of a member is there to act; one that stands still does it when it goes on.
func (p *fleetPlay) lives(k, run int, do func()) {
	m := p.members[k]
	if !m.up || m.runs != run {
		return
	}
	if p.now < m.still {
		p.at(m.still, func() { p.lives(k, run, do) })
		return
	}
	do()
}

// beat tells the council once; further ones follow, unless it is one between others.
func (p *fleetPlay) beat(k, run int, further bool) {
	p.lives(k, run, func() {
		m := p.members[k]
		if further {
			p.at(p.now+p.f.Beat, func() { p.beat(k, run, true) })
		}
		s := m.self.State()
		m.run.KnownUntil = p.now
		b := fleet.Heartbeat{Fleet: "lab", Format: fleet.FormatVersion, Member: fmt.Sprintf("m%04d", k), Address: fmt.Sprint("a", k), RunID: m.run.ID, OwnsAddress: true, IsolationPolicy: fleet.StopWhenIsolated,
			ProgramVersion: "1.0.0", LastSeq: s.LastSeq(), Digest: s.Digest(), ActiveVersion: m.self.ActiveVersion(), Lease: p.f.Lease, Drift: p.f.Drift, Runs: []fleet.RunRecord{m.run.Clone()}}
		v := m.leader
		if v < 0 {
			v = p.rnd.IntN(p.d.Voters)
		}
		m.leader = -1 // until it answers
		sent := p.now
		p.carry(k, len(fleet.Encode(b)), func() {
			c := p.cores[v]
			if c == nil {
				return
			}
			p.count(v)
			c.Heartbeat(p.now, b, func(r fleet.LeaseRenewal, err error) {
				p.count(v)
				if err != nil { // it says who leads
					lead := p.lead(v)
					p.carry(k, 64, func() { p.lives(k, run, func() { m.leader = lead }) })
					return
				}
				p.carry(k, len(fleet.Encode(r)), func() {
					p.lives(k, run, func() {
						m.leader = v
						m.self.HandleRenewal(sent, r)
						if r.NewestVersion > m.self.State().NewestVersion() { // the poll that is under way may hang
							p.poll(k, run)
						}
						if r.RetryAfter > 0 {
							p.at(p.now+r.RetryAfter, func() { p.beat(k, run, false) })
						}
					})
				})
			})
		})
	})
}

func (p *fleetPlay) lead(v int) int {
	if c := p.cores[v]; c != nil {
		if k, ok := p.seats[c.Leader()]; ok {
			return k
		}
	}
	return -1
}

// count counts a message at a voter that leads.
func (p *fleetPlay) count(v int) {
	if c := p.cores[v]; c != nil && c.Leases() != nil {
		p.load++
	}
}

func (p *fleetPlay) poll(k, run int) {
	p.lives(k, run, func() {
		m := p.members[k]
		m.call++
		m.call++
		call, v := m.call, p.rnd.IntN(p.d.Voters)
		p.at(p.now+fleetPoll+1000, func() { // no answer: another voter, after a drawn pause
			if m.call == call {
				p.at(p.now+300*p.rnd.Float64(), func() { p.poll(k, run) })
			}
		})
		n, digest := m.self.State().LastSeq(), m.self.State().Digest()
		p.carry(k, 96, func() {
			p.count(v)
			p.serve(v, waiter{k, run, call}, n, digest, p.now+fleetPoll)
		})
	})
}

// serve answers a poll once there is something, or once it has waited long enough.
func (p *fleetPlay) serve(v int, w waiter, n uint64, digest fleet.Digest, until float64) {
	var look func()
	look = func() {
		c := p.cores[v]
		if c == nil {
			return
		}
		entries, snapshot, fork := c.EntriesAfter(n, digest)
		if fork {
			p.broken("two histories: member %d at %d", w.m, n)
			return
		}
		if len(entries) == 0 && snapshot == nil && p.now < until {
			p.at(p.now+2, look)
			return
		}
		p.count(v)
		p.carry(w.m, len(fleet.Encode(entries))+len(snapshot)+32, func() {
			p.lives(w.m, w.run, func() {
				m := p.members[w.m]
				if m.call != w.call {
					return
				}
				if snapshot != nil {
					s, err := fleet.Restore(snapshot)
					if err == nil {
						err = m.self.ReplaceState(s)
					}
					if err != nil {
						p.broken("member %d: %v", w.m, err)
					}
				} else if err := p.follow(m.self, entries); err != nil {
					p.broken("member %d: %v", w.m, err)
				}
				p.bring(w.m)
				p.poll(w.m, w.run)
			})
		})
	}
	look()
}

// follow takes further entries. What an entry leads to from the one before it, its digest tells: it is worked out by the first
// member that comes there and taken over by the others, as processors cost nothing here. Whatever does not fit is the member's
// own to refuse.
func (p *fleetPlay) follow(m *fleet.LeaseHolder, entries []fleet.Entry) error {
	for k, e := range entries {
		s := m.State()
		if e.Seq <= s.LastSeq() {
			continue
		}
		if led := p.led[e.Digest]; p.shared && led != nil && e.Seq == s.LastSeq()+1 && e.PrevDigest == s.Digest() {
			if err := m.ReplaceState(led.Clone()); err != nil {
				return err
			}
			continue
		}
		if err := m.ApplyEntries(entries[k : k+1]); err != nil {
			return err
		}
		p.led[e.Digest] = m.State()
		if p.ledOrder = append(p.ledOrder, e.Digest); len(p.ledOrder) > ledMost {
			delete(p.led, p.ledOrder[0])
			p.ledOrder = p.ledOrder[1:]
		}
	}
	return nil
}

func (p *fleetPlay) bring(k int) {
	m := p.members[k]
	run := m.runs
	if v, ok := m.self.NextVersion(); ok {
		p.at(p.now+fleetApply, func() {
			p.lives(k, run, func() {
				m.self.VersionApplied(v.Number)
				m.run.RecordVersion(p.now, v.Number)
				p.bring(k)
			})
		})
	}
}

// publish asks the leader, again and again until it answers.
func (p *fleetPlay) publish(n, tries int) {
	request := fmt.Sprint("r", n)
	if tries > 200 {
		p.broken("%s is never answered", request)
		return
	}
	answered := false
	for _, c := range p.cores {
		if c != nil && c.Leases() != nil {
			c.Propose(p.now, fleet.Command{Kind: fleet.PublishVersion, RequestID: request, Text: []byte(`{"mark":"` + request + `"}`), Fence: n%2 == 1}, func(r fleet.Result, err error) {
				if err == nil && !answered {
					answered = true
					p.r.Published++
					p.pending[r.Version] = &spread{at: p.now}
				}
			})
			break
		}
	}
	p.at(p.now+100, func() {
		if !answered {
			p.publish(n, tries+1)
		}
	})
}

// tick has voters step, messages between them carried, fences told and acts judged, each millisecond.
func (p *fleetPlay) tick() {
	for v, c := range p.cores {
		if c == nil {
			continue
		}
		c.Tick(p.now)
		for _, m := range c.TakeMessages(p.now) {
			to := p.seats[m.To]
			if c.Leases() != nil {
				p.load++
			}
			if p.rnd.Float64() < p.d.MessageLoss {
				continue
			}
			p.at(p.now+fleetLink*(1+p.rnd.Float64()), func() {
				if c := p.cores[to]; c != nil {
					p.count(to)
					c.Receive(p.now, m.Data)
				}
				if m.IsSnapshot && p.cores[v] != nil {
					p.cores[v].ReportSnapshot(p.now, m.To, true)
				}
			})
		}
		if b := c.Leases(); b != nil && int(p.now)%10 == 0 {
			if f := c.State().FencedVersion(); f > 0 && p.told[f] == 0 {
				if at, _ := b.FenceStatus(p.now, p.now, f, c.State()); at > 0 {
					p.told[f] = p.now
					p.r.FencesCompleted++
				}
			}
		}
	}
	if int(p.now)%5 == 0 {
		p.look()
	}
	p.at(p.now+1, p.tick)
}

// look judges what members could do now, and how far versions have spread.
func (p *fleetPlay) look() {
	fence := uint64(0)
	for v := range p.told {
		fence = max(fence, v)
	}
	for k, m := range p.members {
		if m.up && p.now >= m.still && m.self.ActiveVersion() < fence && m.self.AcceptUntil(p.now) > p.now {
			p.broken("member %d acts on version %d, the fence of %d was told at %.0f", k, m.self.ActiveVersion(), fence, p.told[fence])
		}
	}
	for _, v := range slices.Sorted(maps.Keys(p.pending)) {
		x := p.pending[v]
		have, reach, all := 0, 0, 0
		for _, m := range p.members {
			if m.up && m.self.ActiveVersion() >= v {
				all++
			}
			if m.up && !m.cut && p.now >= m.still {
				if reach++; m.self.ActiveVersion() >= v {
					have++
				}
			}
		}
		if have*100 >= reach*99 && !x.most {
			x.most = true
			p.r.TimeTo99 = append(p.r.TimeTo99, p.now-x.at)
		}
		if all == len(p.members) {
			p.r.TimeToAll = append(p.r.TimeToAll, p.now-x.at)
			delete(p.pending, v)
		}
	}
}

func (p *fleetPlay) end() {
	bytes := 0.
	for _, m := range p.members {
		bytes += m.bytes
	}
	p.r.LeaderMessageRate = p.load / p.d.Length * 1000
	p.r.MemberByteRate = bytes / float64(len(p.members)) / p.d.Length * 1000
	if len(p.pending) > 0 {
		lacks := ""
		for k, m := range p.members {
			if !m.up || m.self.ActiveVersion() < slices.Max(slices.Collect(maps.Keys(p.pending))) {
				lacks += fmt.Sprintf(" member %d (runs: %v, version %d of %d known)", k, m.up, m.self.ActiveVersion(), m.self.State().NewestVersion())
			}
		}
		p.broken("%d versions never came into force at all members: %s", len(p.pending), lacks)
	}
}
