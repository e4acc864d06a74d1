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

var timing = fleet.Timing{Beat: 250, Lease: 1000, Drift: 0.01}

// memStore is an in-memory store that can fail.
type memStore struct {
	persisted PersistedState
	fails     bool
}

var errFull = errors.New("no space left")

func (m *memStore) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if m.fails {
		return errFull
	}
	if snapshot != nil && snapshot.GetMetadata().GetIndex() > 0 {
		m.persisted.Snapshot, m.persisted.Entries = snapshot, nil
	}
	if hard != nil {
		m.persisted.HardState = hard
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		keep := m.persisted.Entries[:0:0]
		for _, e := range m.persisted.Entries {
			if e.GetIndex() < first {
				keep = append(keep, e)
			}
		}
		m.persisted.Entries = append(keep, entries...)
	}
	return nil
}

func (m *memStore) Compact(s *pb.Snapshot, from uint64) error {
	if m.fails {
		return errFull
	}
	m.persisted.Snapshot = s
	keep := m.persisted.Entries[:0:0]
	for _, e := range m.persisted.Entries {
		if e.GetIndex() > s.GetMetadata().GetIndex() {
			keep = append(keep, e)
		}
	}
	m.persisted.Entries = keep
	return nil
}

// testCluster is a consensus group in virtual time.
type testCluster struct {
	t        *testing.T
	now      float64
	rnd      *rand.Rand
	names    []string
	ids      map[uint64]int
	cores    []*Core
	stores   []*memStore
	lossRate float64
	jitter   float64
	cutLinks map[[2]int]bool
	inFlight []messageInFlight
}

type messageInFlight struct {
	at   float64
	from int
	to   int
	m    Message
}

func newTestCluster(t *testing.T, n int, seed uint64) *testCluster {
	tc := &testCluster{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), ids: map[uint64]int{}, cutLinks: map[[2]int]bool{}, jitter: 10}
	for k := range n {
		tc.names = append(tc.names, fmt.Sprint("v", k))
		tc.ids[DeriveRaftID("f", tc.names[k])] = k
	}
	var voters []fleet.Voter
	for _, name := range tc.names {
		voters = append(voters, fleet.Voter{Name: name, Address: name, RaftID: DeriveRaftID("f", name)})
	}
	for range n {
		tc.stores = append(tc.stores, &memStore{persisted: InitialState("f", voters)})
		tc.cores = append(tc.cores, nil)
	}
	for k := range n {
		tc.start(k)
	}
	return tc
}

func (tc *testCluster) start(k int) {
	c, err := NewCore(timing, DeriveRaftID("f", tc.names[k]), tc.stores[k].persisted, tc.stores[k], tc.rnd.Uint64(), tc.now)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.cores[k] = c
}

// waitFor runs the cluster until the condition holds, and fails the test after the limit (ms).
func (tc *testCluster) waitFor(limit float64, what string, cond func() bool) {
	tc.t.Helper()
	for end := tc.now + limit; !cond(); {
		if tc.now > end {
			tc.t.Fatalf("at %.0f ms: timed out waiting for %s", tc.now, what)
		}
		tc.step()
	}
}

func (tc *testCluster) step() {
	tc.now += 5
	wire := tc.inFlight
	tc.inFlight = nil
	for _, f := range wire {
		if f.at > tc.now {
			tc.inFlight = append(tc.inFlight, f)
		} else if c := tc.cores[f.to]; c != nil && !tc.cutLinks[[2]int{f.from, f.to}] {
			c.Receive(tc.now, f.m.Data)
			if f.m.IsSnapshot && tc.cores[f.from] != nil {
				tc.cores[f.from].ReportSnapshot(tc.now, f.m.To, true)
			}
		}
	}
	for k, c := range tc.cores {
		if c == nil {
			continue
		}
		c.Tick(tc.now)
		for _, m := range c.TakeMessages(tc.now) {
			if tc.rnd.Float64() >= tc.lossRate {
				tc.inFlight = append(tc.inFlight, messageInFlight{tc.now + 1 + tc.jitter*tc.rnd.Float64(), k, tc.ids[m.To], m})
			}
		}
	}
}

func (tc *testCluster) leader() *Core {
	for _, c := range tc.cores {
		if c != nil && c.isLeader() && c.hasQuorum(tc.now, 2*minElectionTimeout) {
			return c
		}
	}
	return nil
}

func publish(request, text string) fleet.Command {
	return fleet.Command{Kind: fleet.PublishVersion, RequestID: request, Text: []byte(text)}
}

// sameHistory reports whether all running voters have the same history, of at least n entries.
func (tc *testCluster) sameHistory(n uint64) bool {
	for _, c := range tc.cores {
		if c != nil && (c.state.LastSeq() < n || c.state.Digest() != tc.leaderOr(c).state.Digest()) {
			return false
		}
	}
	return true
}

func (tc *testCluster) leaderOr(c *Core) *Core {
	if l := tc.leader(); l != nil {
		return l
	}
	return c
}

// proposeUntilAnswered proposes a command under one request ID until it is answered, as an operator does.
func (tc *testCluster) proposeUntilAnswered(c fleet.Command) (got fleet.Result) {
	tc.t.Helper()
	answered, inProgress := false, false
	tc.waitFor(20000, "an answer to "+c.RequestID, func() bool {
		if l := tc.leader(); !answered && !inProgress && l != nil {
			inProgress = true
			l.Propose(tc.now, c, func(r fleet.Result, err error) {
				inProgress = false
				if err == nil {
					got, answered = r, true
				}
			})
		}
		return answered
	})
	return got
}

func TestLeaderKilledBeforeReply(t *testing.T) {
	for seed := range uint64(20) {
		tc := newTestCluster(t, 3, seed)
		tc.waitFor(5000, "a leader", func() bool { return tc.leader() != nil })
		l := tc.leader()
		var first error
		l.Propose(tc.now, publish("r1", "{}"), func(_ fleet.Result, err error) { first = err })
		for range seed % 8 { // at each point between the proposal and the reply
			tc.step()
		}
		for k, c := range tc.cores {
			if c == l {
				tc.cores[k] = nil
			}
		}
		got := tc.proposeUntilAnswered(publish("r1", "{}"))
		if again := tc.proposeUntilAnswered(publish("r1", "{}")); got.Version != 1 || again.Version != 1 || !again.Duplicate {
			t.Fatalf("seed %d: one request gave %+v and then %+v (first proposal: %v)", seed, got, again, first)
		}
		for k, c := range tc.cores {
			if c == nil {
				tc.start(k)
			}
		}
		tc.waitFor(10000, "one history", func() bool { return tc.leader() != nil && tc.sameHistory(1) })
	}
}

// TestLeaderIsolatedWithTwoDown guards against a group of five that stays without a leader: two voters are
// down, and the old leader, isolated and reconnected, must give the third vote that the others need, or lead
// on if its log is the longest.
func TestLeaderIsolatedWithTwoDown(t *testing.T) {
	for seed := range uint64(10) {
		tc := newTestCluster(t, 5, seed)
		tc.waitFor(5000, "a leader", func() bool { return tc.leader() != nil })
		l := tc.leader()
		down := 0
		for k, c := range tc.cores {
			if c != l && down < 2 {
				tc.cores[k], down = nil, down+1
			}
		}
		lead := slices.Index(tc.cores, l)
		for k := range tc.cores {
			tc.cutLinks[[2]int{k, lead}] = true
			tc.cutLinks[[2]int{lead, k}] = seed%2 == 1
		}
		for end := tc.now + 3000; tc.now < end; {
			tc.step()
		}
		if seed%2 == 1 { // its log grows, so that no other voter can lead
			l.Propose(tc.now, publish("r", "{}"), func(fleet.Result, error) {})
		}
		for end := tc.now + 3000; tc.now < end; {
			tc.step()
		}
		clear(tc.cutLinks)
		tc.waitFor(5000, fmt.Sprintf("seed %d: a leader again", seed), func() bool { return tc.leader() != nil })
	}
}

// TestHeartbeatsShareReads guards against messages to voters that grow with the heartbeats: hundreds of
// heartbeats per second must share the reads that confirm the leader, and each must be answered once and soon
// with a lease. One of five voters is paused and one is isolated meanwhile.
func TestHeartbeatsShareReads(t *testing.T) {
	sentMessages := map[int]int{}
	for _, heartbeats := range []int{1, 20} { // in each 5 ms
		tc := newTestCluster(t, 5, 3)
		tc.waitFor(5000, "a leader", func() bool { return tc.leader() != nil })
		tc.jitter = 0 // short delays: a read could complete at once, and the next one start
		l := tc.leader()
		lead := slices.Index(tc.cores, l)
		paused, cut := (lead+1)%5, (lead+2)%5
		for k := range tc.cores {
			tc.cutLinks[[2]int{k, cut}], tc.cutLinks[[2]int{cut, k}] = true, true
			tc.cutLinks[[2]int{k, paused}] = true
		}
		l.Propose(tc.now, fleet.Command{Kind: fleet.AdmitMember, RequestID: "m", Member: "m", Address: "m", IsolationPolicy: fleet.StopWhenIsolated, RunID: "r"}, func(fleet.Result, error) {})
		tc.waitFor(2000, "the member", func() bool { _, known := l.state.Member("m"); return known })
		sent, answered, maxDelay := 0, 0, 0.
		for end := tc.now + 1000; tc.now < end; {
			for range heartbeats {
				began := tc.now
				sent++
				l.QueueHeartbeat(tc.now, fleet.Heartbeat{Fleet: "f", Format: fleet.FormatVersion, Member: "m", Address: "m", RunID: "r", IsolationPolicy: fleet.StopWhenIsolated, Lease: timing.Lease, Drift: timing.Drift},
					func(r fleet.LeaseRenewal, err error) {
						if err != nil || r.Granted == 0 {
							t.Errorf("no lease granted: %+v, error %v", r, err)
						}
						answered++
						maxDelay = max(maxDelay, tc.now-began)
					})
			}
			tc.step()
			for _, f := range tc.inFlight {
				if f.from == lead && f.at == tc.now+1 { // sent in this step
					sentMessages[heartbeats]++
				}
			}
		}
		for end := tc.now + 200; tc.now < end; {
			tc.step()
		}
		if tc.leader() != l || answered != sent || maxDelay > readInterval+60 {
			t.Errorf("%d heartbeats per 5 ms: %d of %d answered, maximum delay %.0f ms", heartbeats, answered, sent, maxDelay)
		}
	}
	t.Logf("messages of the leader by heartbeats per 5 ms: %v", sentMessages)
	if sentMessages[20] > sentMessages[1]*5/4 || sentMessages[1] > 4*(1000/readInterval+1000/raftHeartbeatInterval+5) {
		t.Errorf("messages of the leader by heartbeats per 5 ms: %v", sentMessages)
	}
}

func TestRandomFaults(t *testing.T) {
	idle, published := 0, 0
	for seed := range uint64(60) {
		n := []int{1, 3, 5}[seed%3]
		tc := newTestCluster(t, n, seed)
		tc.lossRate = 0.1
		done := map[string]uint64{}
		asked, next := 0, 0.
		digests := map[uint64]fleet.Digest{}
		for tc.now < 15000 {
			tc.step()
			if tc.now > next { // a fault and a request
				next = tc.now + 300*tc.rnd.Float64()
				k := tc.rnd.IntN(n)
				switch tc.rnd.IntN(8) {
				case 0:
					tc.cores[k] = nil
				case 1, 2:
					if tc.cores[k] == nil {
						tc.start(k)
					}
				case 3:
					tc.cutLinks[[2]int{k, tc.rnd.IntN(n)}] = true
				case 4, 5:
					clear(tc.cutLinks)
				case 6:
					tc.stores[k].fails = !tc.stores[k].fails
				}
				if l := tc.leader(); l != nil {
					asked++
					request := fmt.Sprint("r", asked/2) // each request twice
					l.Propose(tc.now, publish(request, request), func(r fleet.Result, err error) {
						if err != nil {
							return
						}
						if was, ok := done[request]; ok && was != r.Version {
							t.Fatalf("seed %d: request %s is version %d and %d", seed, request, was, r.Version)
						}
						done[request] = r.Version
					})
				}
			}
			for _, c := range tc.cores {
				if c == nil {
					continue
				}
				if d, ok := digests[c.state.LastSeq()]; ok && d != c.state.Digest() {
					t.Fatalf("seed %d at %.0f: different histories up to entry %d", seed, tc.now, c.state.LastSeq())
				}
				digests[c.state.LastSeq()] = c.state.Digest()
			}
		}
		clear(tc.cutLinks)
		tc.lossRate = 0
		for k := range n {
			tc.stores[k].fails = false
			if tc.cores[k] == nil {
				tc.start(k)
			}
		}
		tc.waitFor(5000, fmt.Sprintf("seed %d: one history after the faults", seed), func() bool { return tc.leader() != nil && tc.sameHistory(0) })
		for request, version := range done {
			if v, ok := tc.cores[0].state.Version(version); !ok || string(v.Text) != request && len(v.Text) > 0 {
				t.Fatalf("seed %d: request %s was answered as version %d, whose text is %q", seed, request, version, v.Text)
			}
		}
		if published += len(done); len(done) == 0 {
			idle++
		}
	}
	if idle > 10 || published < 300 { // measured: 3 and 495
		t.Errorf("%d of 60 runs published nothing, %d versions in total: too few for the test to be meaningful", idle, published)
	}
}
