// This file simulates a fleet in virtual time: its consensus group with all voters, and hundreds of members,
// over links that lose and delay messages and can be cut. Members run the code of internal/fleet. Only when
// they send heartbeats and requests is modelled, after internal/fleetagent.

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

// FleetScenario says what to simulate.
type FleetScenario struct {
	Members     int // followers, in addition to the voters
	Voters      int
	Seed        uint64
	MessageLoss float64 // probability that a message is lost, one way
	CutShare    float64 // share of members that are cut off for three seconds during every second publish
	Faults      int     // number of random stops, cuts and pauses of single members, and stops of voters
	Length      float64
}

// FleetResult is the result of a simulation. Times are milliseconds, bytes those of the messages' content.
type FleetResult struct {
	Published int
	// from the answer to a publish until 99% of the members that are not cut off have it in force
	TimeTo99          []float64
	TimeToAll         []float64 // the same for all members, cut off or not
	LeaderMessageRate float64   // messages per second at the leader, received and sent
	MemberByteRate    float64   // bytes per second and member
	FencesCompleted   int       // number of fences that were reported complete
	Violation         string
}

const (
	linkDelay       = 0.5 // milliseconds one way; at most twice that
	applyDelay      = 2   // milliseconds until the event loop has a version in force
	pollTimeout     = 2000
	maxSharedStates = 256 // states that are kept to share them with other members
)

type fleetEvent struct {
	at     float64
	order  int
	action func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q fleetQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// voterStore is a voter's storage.
type voterStore struct{ persisted consensus.PersistedState }

func (s *voterStore) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if snapshot.GetMetadata().GetIndex() > 0 {
		s.persisted.Snapshot, s.persisted.Entries = snapshot, nil
	}
	if hard != nil {
		s.persisted.HardState = hard
	}
	if len(entries) > 0 {
		s.persisted.Entries = append(slices.DeleteFunc(s.persisted.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= entries[0].GetIndex() }), entries...)
	}
	return nil
}

func (s *voterStore) Compact(snapshot *pb.Snapshot, _ uint64) error {
	s.persisted.Snapshot = snapshot
	s.persisted.Entries = slices.DeleteFunc(s.persisted.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= snapshot.GetMetadata().GetIndex() })
	return nil
}

// pollRequest is a long poll at a voter.
type pollRequest struct {
	member, run int
	pollSeq     int
}

type fleetMember struct {
	leaseHolder *fleet.LeaseHolder
	run         fleet.RunRecord
	runCount    int
	up          bool
	pausedUntil float64 // it does nothing before this time
	cut         bool
	pollSeq     int // number of its present poll
	bytes       float64
	leader      int
}

// publication is a version that has not reached all members yet.
type publication struct {
	at        float64
	reached99 bool // 99% of the members have it
}

type fleetSim struct {
	scenario       FleetScenario
	timing         fleet.Timing
	now            float64
	rnd            *rand.Rand
	queue          fleetQueue
	seq            int
	voters         []*consensus.Core
	stores         []*voterStore
	voterIndex     map[uint64]int
	members        []*fleetMember
	leaderMessages float64
	result         FleetResult
	fenceCompleted map[uint64]float64      // by version: when its fence was reported complete
	publications   map[uint64]*publication // by version
	// States that entries lead to, by the digest of the entry, and their digests from the oldest on.
	shared       bool
	derived      map[fleet.Digest]*fleet.State
	derivedOrder []fleet.Digest
}

// RunFleet simulates a scenario.
func RunFleet(scenario FleetScenario) FleetResult { return simulateFleet(scenario, true) }

// simulateFleet does the same. Unless shared is set, each member computes by itself the states that entries
// lead to.
func simulateFleet(scenario FleetScenario, shared bool) FleetResult {
	s := &fleetSim{scenario: scenario, shared: shared, timing: fleet.Timing{Beat: 250, Lease: 1000, Drift: 0.01}, rnd: rand.New(rand.NewPCG(scenario.Seed, 0x666c6474)), voterIndex: map[uint64]int{},
		fenceCompleted: map[uint64]float64{}, publications: map[uint64]*publication{}, derived: map[fleet.Digest]*fleet.State{}}
	var voters []fleet.Voter
	for k := range scenario.Voters {
		name := fmt.Sprintf("m%04d", k)
		voters = append(voters, fleet.Voter{Name: name, Address: name, RaftID: consensus.DeriveRaftID("lab", name)})
		s.voterIndex[voters[k].RaftID] = k
	}
	for range scenario.Voters {
		s.stores = append(s.stores, &voterStore{consensus.InitialState("lab", voters)})
		s.voters = append(s.voters, nil)
	}
	for k := range scenario.Voters {
		s.startVoter(k)
	}
	for k := range scenario.Members {
		s.members = append(s.members, &fleetMember{leader: -1})
		s.at(s.rnd.Float64()*s.timing.Beat, func() { s.startMember(k) })
	}
	s.at(1, s.tick)
	for n := 0; 4000+3000*float64(n) < scenario.Length-6000; n++ {
		at := 4000 + 3000*float64(n)
		s.at(at, func() { s.publish(n, 0) })
		if scenario.CutShare > 0 && n%2 == 1 {
			s.at(at-5, func() { s.cutMembers(true) })
			s.at(at+3000, func() { s.cutMembers(false) })
		}
	}
	for range scenario.Faults {
		k, at, duration := s.rnd.IntN(scenario.Members), 3000+s.rnd.Float64()*max(scenario.Length-9000, 0), 100+s.rnd.Float64()*2500
		switch s.rnd.IntN(4) {
		case 0:
			s.at(at, func() { s.stopMember(k) })
			s.at(at+duration, func() { s.startMember(k) })
		case 1:
			s.at(at, func() { s.members[k].cut = true })
			s.at(at+duration, func() { s.members[k].cut = false })
		case 2:
			s.at(at, func() { s.members[k].pausedUntil = s.now + duration })
		case 3:
			v := s.rnd.IntN(scenario.Voters)
			s.at(at, func() { s.voters[v] = nil })
			s.at(at+duration, func() { s.startVoter(v) })
		}
	}
	for len(s.queue) > 0 && s.now < scenario.Length && s.result.Violation == "" {
		e := heap.Pop(&s.queue).(fleetEvent)
		s.now = e.at
		e.action()
	}
	if s.result.Violation == "" {
		s.finish()
	}
	return s.result
}

func (s *fleetSim) at(when float64, action func()) {
	s.seq++
	heap.Push(&s.queue, fleetEvent{max(when, s.now), s.seq, action})
}

func (s *fleetSim) startVoter(k int) {
	c, err := consensus.NewCore(s.timing, consensus.DeriveRaftID("lab", fmt.Sprintf("m%04d", k)), s.stores[k].persisted, s.stores[k], s.rnd.Uint64(), s.now)
	if err != nil {
		s.violated("voter %d: %v", k, err)
		return
	}
	s.voters[k] = c
}

func (s *fleetSim) violated(format string, a ...any) {
	if s.result.Violation == "" {
		s.result.Violation = fmt.Sprintf("at %.0f ms: ", s.now) + fmt.Sprintf(format, a...)
	}
}

func (s *fleetSim) startMember(k int) {
	m := s.members[k]
	if m.up {
		return
	}
	state := fleet.NewState("lab")
	if m.leaseHolder != nil { // its folder
		state = m.leaseHolder.State()
	}
	m.runCount++
	m.up, m.run = true, fleet.RunRecord{ID: fmt.Sprint(k, "-", m.runCount), StartedAt: s.now}
	m.run.RecordVersion(s.now, 0)
	m.leaseHolder = fleet.NewLeaseHolder(s.timing, fmt.Sprintf("m%04d", k), "1.0.0", fleet.StopWhenIsolated, state, s.now)
	s.applyNext(k)
	s.sendHeartbeat(k, m.runCount, true)
	s.startPoll(k, m.runCount)
}

func (s *fleetSim) stopMember(k int) { s.members[k].up = false }

func (s *fleetSim) cutMembers(on bool) {
	for k := range int(s.scenario.CutShare * float64(s.scenario.Members)) {
		s.members[s.scenario.Members-1-k].cut = on
	}
}

// transmit carries a message between member k and a voter, in either direction, and adds its size to the
// member's bytes.
func (s *fleetSim) transmit(k int, size int, action func()) {
	m := s.members[k]
	m.bytes += float64(size)
	if m.cut || s.rnd.Float64() < s.scenario.MessageLoss {
		return
	}
	s.at(s.now+linkDelay*(1+s.rnd.Float64()), func() {
		if !m.cut {
			action()
		}
	})
}

// whenRunning runs an action if the given run of member k is up. If the member is paused, the action runs
// when it resumes.
func (s *fleetSim) whenRunning(k, run int, action func()) {
	m := s.members[k]
	if !m.up || m.runCount != run {
		return
	}
	if s.now < m.pausedUntil {
		s.at(m.pausedUntil, func() { s.whenRunning(k, run, action) })
		return
	}
	action()
}

// sendHeartbeat sends one heartbeat to the consensus group. With repeat set, further ones follow at the
// heartbeat interval.
func (s *fleetSim) sendHeartbeat(k, run int, repeat bool) {
	s.whenRunning(k, run, func() {
		m := s.members[k]
		if repeat {
			s.at(s.now+s.timing.Beat, func() { s.sendHeartbeat(k, run, true) })
		}
		state := m.leaseHolder.State()
		m.run.KnownUntil = s.now
		heartbeat := fleet.Heartbeat{Fleet: "lab", Format: fleet.FormatVersion, Member: fmt.Sprintf("m%04d", k), Address: fmt.Sprint("a", k), RunID: m.run.ID, OwnsAddress: true, IsolationPolicy: fleet.StopWhenIsolated,
			ProgramVersion: "1.0.0", LastSeq: state.LastSeq(), Digest: state.Digest(), ActiveVersion: m.leaseHolder.ActiveVersion(), Lease: s.timing.Lease, Drift: s.timing.Drift, Runs: []fleet.RunRecord{m.run.Clone()}}
		v := m.leader
		if v < 0 {
			v = s.rnd.IntN(s.scenario.Voters)
		}
		m.leader = -1 // until it answers
		sent := s.now
		s.transmit(k, len(fleet.Encode(heartbeat)), func() {
			c := s.voters[v]
			if c == nil {
				return
			}
			s.countAtLeader(v)
			c.QueueHeartbeat(s.now, heartbeat, func(renewal fleet.LeaseRenewal, err error) {
				s.countAtLeader(v)
				if err != nil { // the error names the leader
					leader := s.leaderOf(v)
					s.transmit(k, 64, func() { s.whenRunning(k, run, func() { m.leader = leader }) })
					return
				}
				s.transmit(k, len(fleet.Encode(renewal)), func() {
					s.whenRunning(k, run, func() {
						m.leader = v
						m.leaseHolder.HandleRenewal(sent, renewal)
						if renewal.NewestVersion > m.leaseHolder.State().NewestVersion() { // the present poll may hang
							s.startPoll(k, run)
						}
						if renewal.RetryAfter > 0 {
							s.at(s.now+renewal.RetryAfter, func() { s.sendHeartbeat(k, run, false) })
						}
					})
				})
			})
		})
	})
}

func (s *fleetSim) leaderOf(v int) int {
	if c := s.voters[v]; c != nil {
		if k, ok := s.voterIndex[c.Leader()]; ok {
			return k
		}
	}
	return -1
}

// countAtLeader counts a message at voter v if it leads.
func (s *fleetSim) countAtLeader(v int) {
	if c := s.voters[v]; c != nil && c.Leases() != nil {
		s.leaderMessages++
	}
}

func (s *fleetSim) startPoll(k, run int) {
	s.whenRunning(k, run, func() {
		m := s.members[k]
		m.pollSeq++
		m.pollSeq++
		seq, v := m.pollSeq, s.rnd.IntN(s.scenario.Voters)
		s.at(s.now+pollTimeout+1000, func() { // no answer: poll another voter after a random delay
			if m.pollSeq == seq {
				s.at(s.now+300*s.rnd.Float64(), func() { s.startPoll(k, run) })
			}
		})
		n, digest := m.leaseHolder.State().LastSeq(), m.leaseHolder.State().Digest()
		s.transmit(k, 96, func() {
			s.countAtLeader(v)
			s.answerPoll(v, pollRequest{k, run, seq}, n, digest, s.now+pollTimeout)
		})
	})
}

// answerPoll answers a poll once there is something to send, or at the deadline.
func (s *fleetSim) answerPoll(v int, poll pollRequest, n uint64, digest fleet.Digest, deadline float64) {
	var attempt func()
	attempt = func() {
		c := s.voters[v]
		if c == nil {
			return
		}
		entries, snapshot, diverged := c.EntriesAfter(n, digest)
		if diverged {
			s.violated("two histories: member %d at %d", poll.member, n)
			return
		}
		if len(entries) == 0 && snapshot == nil && s.now < deadline {
			s.at(s.now+2, attempt)
			return
		}
		s.countAtLeader(v)
		s.transmit(poll.member, len(fleet.Encode(entries))+len(snapshot)+32, func() {
			s.whenRunning(poll.member, poll.run, func() {
				m := s.members[poll.member]
				if m.pollSeq != poll.pollSeq {
					return
				}
				if snapshot != nil {
					restored, err := fleet.Restore(snapshot)
					if err == nil {
						err = m.leaseHolder.ReplaceState(restored)
					}
					if err != nil {
						s.violated("member %d: %v", poll.member, err)
					}
				} else if err := s.followEntries(m.leaseHolder, entries); err != nil {
					s.violated("member %d: %v", poll.member, err)
				}
				s.applyNext(poll.member)
				s.startPoll(poll.member, poll.run)
			})
		})
	}
	attempt()
}

// followEntries applies further entries to a member. The digest of an entry determines the state that it
// leads to from the entry before it. So the first member that reaches a state computes it, and the others
// copy it, because virtual time does not model the cost of processors. An entry that does not fit is left to
// the member itself to reject.
func (s *fleetSim) followEntries(holder *fleet.LeaseHolder, entries []fleet.Entry) error {
	for k, e := range entries {
		state := holder.State()
		if e.Seq <= state.LastSeq() {
			continue
		}
		if known := s.derived[e.Digest]; s.shared && known != nil && e.Seq == state.LastSeq()+1 && e.PrevDigest == state.Digest() {
			if err := holder.ReplaceState(known.Clone()); err != nil {
				return err
			}
			continue
		}
		if err := holder.ApplyEntries(entries[k : k+1]); err != nil {
			return err
		}
		s.derived[e.Digest] = holder.State()
		if s.derivedOrder = append(s.derivedOrder, e.Digest); len(s.derivedOrder) > maxSharedStates {
			delete(s.derived, s.derivedOrder[0])
			s.derivedOrder = s.derivedOrder[1:]
		}
	}
	return nil
}

func (s *fleetSim) applyNext(k int) {
	m := s.members[k]
	run := m.runCount
	if v, ok := m.leaseHolder.NextVersion(); ok {
		s.at(s.now+applyDelay, func() {
			s.whenRunning(k, run, func() {
				m.leaseHolder.VersionApplied(v.Number)
				m.run.RecordVersion(s.now, v.Number)
				s.applyNext(k)
			})
		})
	}
}

// publish sends a version to the leader and repeats the request until it is answered.
func (s *fleetSim) publish(n, attempts int) {
	request := fmt.Sprint("r", n)
	if attempts > 200 {
		s.violated("%s is never answered", request)
		return
	}
	answered := false
	for _, c := range s.voters {
		if c != nil && c.Leases() != nil {
			c.Propose(s.now, fleet.Command{Kind: fleet.PublishVersion, RequestID: request, Text: []byte(`{"mark":"` + request + `"}`), Fence: n%2 == 1}, func(r fleet.Result, err error) {
				if err == nil && !answered {
					answered = true
					s.result.Published++
					s.publications[r.Version] = &publication{at: s.now}
				}
			})
			break
		}
	}
	s.at(s.now+100, func() {
		if !answered {
			s.publish(n, attempts+1)
		}
	})
}

// tick runs every millisecond: it advances the voters, carries the messages between them, records completed
// fences and checks the members.
func (s *fleetSim) tick() {
	for v, c := range s.voters {
		if c == nil {
			continue
		}
		c.Tick(s.now)
		for _, message := range c.TakeMessages(s.now) {
			to := s.voterIndex[message.To]
			if c.Leases() != nil {
				s.leaderMessages++
			}
			if s.rnd.Float64() < s.scenario.MessageLoss {
				continue
			}
			s.at(s.now+linkDelay*(1+s.rnd.Float64()), func() {
				if c := s.voters[to]; c != nil {
					s.countAtLeader(to)
					c.Receive(s.now, message.Data)
				}
				if message.IsSnapshot && s.voters[v] != nil {
					s.voters[v].ReportSnapshot(s.now, message.To, true)
				}
			})
		}
		if b := c.Leases(); b != nil && int(s.now)%10 == 0 {
			if f := c.State().FencedVersion(); f > 0 && s.fenceCompleted[f] == 0 {
				if at, _ := b.FenceStatus(s.now, s.now, f, c.State()); at > 0 {
					s.fenceCompleted[f] = s.now
					s.result.FencesCompleted++
				}
			}
		}
	}
	if int(s.now)%5 == 0 {
		s.checkMembers()
	}
	s.at(s.now+1, s.tick)
}

// checkMembers checks which actions members could take now, and how far versions have spread.
func (s *fleetSim) checkMembers() {
	fence := uint64(0)
	for v := range s.fenceCompleted {
		fence = max(fence, v)
	}
	for k, m := range s.members {
		if m.up && s.now >= m.pausedUntil && m.leaseHolder.ActiveVersion() < fence && m.leaseHolder.AcceptUntil(s.now) > s.now {
			s.violated("member %d acts on version %d, the fence of %d was told at %.0f", k, m.leaseHolder.ActiveVersion(), fence, s.fenceCompleted[fence])
		}
	}
	for _, v := range slices.Sorted(maps.Keys(s.publications)) {
		publication := s.publications[v]
		have, reachable, all := 0, 0, 0
		for _, m := range s.members {
			if m.up && m.leaseHolder.ActiveVersion() >= v {
				all++
			}
			if m.up && !m.cut && s.now >= m.pausedUntil {
				if reachable++; m.leaseHolder.ActiveVersion() >= v {
					have++
				}
			}
		}
		if have*100 >= reachable*99 && !publication.reached99 {
			publication.reached99 = true
			s.result.TimeTo99 = append(s.result.TimeTo99, s.now-publication.at)
		}
		if all == len(s.members) {
			s.result.TimeToAll = append(s.result.TimeToAll, s.now-publication.at)
			delete(s.publications, v)
		}
	}
}

func (s *fleetSim) finish() {
	bytes := 0.
	for _, m := range s.members {
		bytes += m.bytes
	}
	s.result.LeaderMessageRate = s.leaderMessages / s.scenario.Length * 1000
	s.result.MemberByteRate = bytes / float64(len(s.members)) / s.scenario.Length * 1000
	if len(s.publications) > 0 {
		lagging := ""
		for k, m := range s.members {
			if !m.up || m.leaseHolder.ActiveVersion() < slices.Max(slices.Collect(maps.Keys(s.publications))) {
				lagging += fmt.Sprintf(" member %d (runs: %v, version %d of %d known)", k, m.up, m.leaseHolder.ActiveVersion(), m.leaseHolder.State().NewestVersion())
			}
		}
		s.violated("%d versions never came into force at all members: %s", len(s.publications), lagging)
	}
}
