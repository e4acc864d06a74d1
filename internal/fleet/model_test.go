package fleet

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

// A model check: three members and a consensus group whose leader changes, in all interleavings of possible
// events up to a depth. Time is counted in ticks; a lease lasts four.

const (
	modelMembers = 3
	modelTicks   = 9
)

// modelHeartbeat is a heartbeat in flight to the leader, modelReply a reply in flight to the member.
type modelHeartbeat struct {
	heartbeat Heartbeat
	sent      float64
}

type modelReply struct {
	inFlight bool
	renewal  LeaseRenewal
	sent     float64
}

type modelMember struct {
	holder    LeaseHolder
	saved     int // the state in its directory: index into checker.states
	run       int
	heartbeat *modelHeartbeat // nil: none; shared by all states that it is in
	reply     modelReply
	up        bool
}

// model is one state of the model.
type model struct {
	now           float64
	state         int           // of the leader's history: index into checker.states
	leases        *LeaseManager // shared by all states that it is in: cloned before a change
	fenceReported bool          // the fence was reported complete
	elections     int
	crashes       int
	losses        int
	admitted      int // the process whose address is admitted, where one member has two
	members       [modelMembers]modelMember
}

var modelTiming = Timing{Beat: 1, Lease: 4, Drift: 0}

// faultyVariant introduces a fault that the check must detect.
type faultyVariant struct {
	leaseFromReceipt bool // the lease runs from the receipt of the reply
	ignoresOldLeases bool // a new leader ignores leases granted before its election
	fenceByMajority  bool // a fence is reported complete once a majority has the version
	reportsUnsaved   bool // a version is reported as saved before it is
	oneProcess       bool // the leader counts one process of each member
}

type checker struct {
	t         *testing.T
	variant   faultyVariant
	policy    IsolationPolicy
	states    []*State // before and after the publication of the fenced version
	visited   fingerprintSet
	seed      maphash.Seed
	maxStates int
	members   int // number of members
	// The two members are an older and a newer process of one member, which have addresses of their own and share
	// its directory. The newer one starts later.
	replaced  bool
	mu        sync.Mutex
	violation string
}

// fingerprintSet is a set of 64-bit fingerprints for use from several goroutines. Of n states two share a
// fingerprint, so that one is not visited, with a probability of about n*n/2^65: 2e-7 for 3 million.
type fingerprintSet struct {
	shards [64]struct {
		mu  sync.Mutex
		set map[uint64]struct{}
	}
	size atomic.Int64
}

// add adds a fingerprint. It returns false if the set has it already.
func (f *fingerprintSet) add(fingerprint uint64) bool {
	shard := &f.shards[fingerprint%uint64(len(f.shards))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.set[fingerprint]; ok {
		return false
	}
	if shard.set == nil {
		shard.set = map[uint64]struct{}{}
	}
	shard.set[fingerprint] = struct{}{}
	f.size.Add(1)
	return true
}

func (lm *LeaseManager) clone() *LeaseManager {
	c := &LeaseManager{timing: lm.timing, electedAt: lm.electedAt, processes: map[string][]*process{}, refused: maps.Clone(lm.refused), fenceCompleteAt: maps.Clone(lm.fenceCompleteAt), probeResults: map[string]string{}, runs: map[string][]RunRecord{}}
	for name, all := range lm.processes {
		for _, p := range all {
			q := *p
			c.processes[name] = append(c.processes[name], &q)
		}
	}
	return c
}

func (m *model) clone() *model {
	c := *m
	return &c
}

func modelName(k int) string { return fmt.Sprint("m", k) }

// The processes of a member that is being replaced.
const (
	olderProcess = iota
	newerProcess
)

// name returns the name of a member, which two processes may share.
func (c *checker) name(k int) string {
	if c.replaced {
		return modelName(0)
	}
	return modelName(k)
}

// stateOf returns the leader's history.
func (c *checker) stateOf(m *model) *State { return c.states[m.state+2*m.admitted] }

// handle delivers a heartbeat to the leader, which admits the process if need be.
func (c *checker) handle(m *model, k int, hb Heartbeat) LeaseRenewal {
	m.leases = m.leases.clone()
	r, notAdmitted := m.leases.HandleHeartbeat(m.now, hb, c.stateOf(m))
	if c.replaced && notAdmitted {
		m.admitted = k
		r, _ = m.leases.HandleHeartbeat(m.now, hb, c.stateOf(m))
	}
	if c.variant.oneProcess {
		m.leases.refused = map[string][]*process{}
	}
	return r
}

// newReplacedChecker returns a checker of one member that serves alone and whose process is replaced.
func newReplacedChecker(t *testing.T, variant faultyVariant, maxStates int) *checker {
	c := newChecker(t, variant, ServeWhenIsolated, 1, maxStates)
	c.members, c.replaced = 2, true
	c.states = nil
	for k := range c.members {
		s := NewState("f")
		for _, command := range []Command{
			{Kind: AdmitMember, Member: modelName(0), Address: modelName(0), IsolationPolicy: c.policy, RunID: "1"},
			{Kind: AdmitMember, Member: modelName(0), Address: modelName(k), IsolationPolicy: c.policy, RunID: "0"},
		} {
			if _, _, err := s.Apply(command); err != nil {
				t.Fatal(err)
			}
		}
		c.states = append(c.states, s.Clone())
		if _, _, err := s.Apply(Command{Kind: PublishVersion, Text: []byte("{}"), Fence: true}); err != nil {
			t.Fatal(err)
		}
		c.states = append(c.states, s)
	}
	return c
}

// replacements generates the states that follow by the replacement of a member's process.
func (c *checker) replacements(m *model, do func(func(*model))) {
	older, newer := &m.members[olderProcess], &m.members[newerProcess]
	if older.up && !newer.up {
		do(func(m *model) { // the newer process starts, from the directory
			saved := m.members[olderProcess].saved
			m.members[newerProcess] = modelMember{up: true, run: newerProcess, saved: saved, holder: *NewLeaseHolder(modelTiming, modelName(0), "1.0.0", c.policy, c.states[saved], m.now)}
			m.members[newerProcess].holder.NextVersion()
		})
	}
	if older.up && newer.up {
		do(func(m *model) { // the older process is killed
			m.members[olderProcess].up, m.members[olderProcess].reply = false, modelReply{}
		})
		do(func(m *model) { // it ends in order
			x := &m.members[olderProcess]
			x.heartbeat = &modelHeartbeat{sent: m.now, heartbeat: c.newHeartbeat(m, olderProcess, true)}
			x.up, x.reply = false, modelReply{}
		})
	}
}

// maySave reports whether a process has the directory, which the older process of a member locks while it is up.
func (c *checker) maySave(m *model, k int) bool {
	return !c.replaced || k == olderProcess || !m.members[olderProcess].up
}

func newChecker(t *testing.T, variant faultyVariant, policy IsolationPolicy, members, maxStates int) *checker {
	c := &checker{t: t, members: members, variant: variant, policy: policy, seed: maphash.MakeSeed(), maxStates: maxStates}
	s := NewState("f")
	for k := range members {
		for _, run := range []string{"0", "1"} {
			if _, _, err := s.Apply(Command{Kind: AdmitMember, Member: modelName(k), Address: modelName(k), IsolationPolicy: policy, RunID: run}); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.states = append(c.states, s.Clone())
	if _, _, err := s.Apply(Command{Kind: PublishVersion, Text: []byte("{}"), Fence: true}); err != nil {
		t.Fatal(err)
	}
	c.states = append(c.states, s)
	return c
}

func (c *checker) start() *model {
	m := &model{now: 0, leases: NewLeaseManager(modelTiming, 0)}
	for k := range m.members[:c.members] {
		m.members[k] = modelMember{up: true, holder: *NewLeaseHolder(modelTiming, c.name(k), "1.0.0", c.policy, c.states[0], 0)}
	}
	if c.replaced {
		m.members[newerProcess] = modelMember{run: newerProcess, holder: m.members[newerProcess].holder}
	}
	return m
}

// key hashes everything that the future depends on, with times relative to now.
func (c *checker) key(m *model) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	num := func(xs ...float64) {
		for _, x := range xs {
			maphash.WriteComparable(&h, x)
		}
	}
	rel := func(x float64) float64 { return max(x-m.now, -6) }
	yes := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	num(m.now, float64(m.state), float64(m.admitted), float64(m.elections), float64(m.crashes), float64(m.losses), yes(m.fenceReported), rel(m.leases.electedAt))
	for k := range m.members[:c.members] {
		x := &m.members[k]
		num(yes(x.up), float64(x.run), float64(x.saved), rel(x.holder.leaseExpiry), float64(x.holder.activeVersion), float64(x.holder.pendingVersion), float64(x.holder.state.NewestVersion()), float64(x.holder.fencedVersion),
			yes(x.heartbeat != nil), yes(x.reply.inFlight))
		if x.heartbeat != nil {
			num(rel(x.heartbeat.sent), float64(x.heartbeat.heartbeat.ActiveVersion), float64(x.heartbeat.heartbeat.SavedVersion), yes(x.heartbeat.heartbeat.Leaving), yes(x.heartbeat.heartbeat.HasSuccessor), yes(x.heartbeat.heartbeat.OwnsAddress))
			h.WriteString(x.heartbeat.heartbeat.RunID)
		}
		if x.reply.inFlight {
			num(rel(x.reply.sent), x.reply.renewal.Granted, float64(x.reply.renewal.FencedVersion))
		}
		for _, processes := range [][]*process{m.leases.processes[c.name(k)], m.leases.refused[c.name(k)]} {
			num(float64(len(processes)))
			for _, p := range processes {
				h.WriteString(p.heartbeat.RunID)
				num(rel(p.leaseExpiry), rel(p.lastContact), float64(p.heartbeat.ActiveVersion), float64(p.heartbeat.SavedVersion), yes(p.heartbeat.Leaving), yes(p.heartbeat.HasSuccessor), yes(p.heartbeat.OwnsAddress))
			}
		}
	}
	return h.Sum64()
}

// explore visits all states breadth first, until there are no new ones or maxStates were visited. A level that
// reaches maxStates is visited to its end, but its states beyond that many are not kept, as none follows them.
func (c *checker) explore(first *model) (depth int) {
	level := []*model{first}
	c.visited.add(c.key(first))
	for ; len(level) > 0 && c.size() < c.maxStates && c.violation == ""; depth++ {
		parts := make([][]*model, runtime.GOMAXPROCS(0))
		var wait sync.WaitGroup
		for p := range parts {
			wait.Go(func() {
				for k := p; k < len(level); k += len(parts) {
					c.successors(level[k], func(m *model) {
						if !c.visited.add(c.key(m)) {
							return
						}
						if c.checkFence(m); c.size() < c.maxStates {
							parts[p] = append(parts[p], m)
						}
					})
					level[k] = nil
				}
			})
		}
		wait.Wait()
		level = slices.Concat(parts...)
	}
	return depth
}

// size returns the number of states visited.
func (c *checker) size() int { return int(c.visited.size.Load()) }

// successors generates all states that can follow.
func (c *checker) successors(m *model, each func(*model)) {
	do := func(f func(m *model)) {
		next := m.clone()
		f(next)
		each(next)
	}
	for k := range m.members[:c.members] {
		x := &m.members[k]
		if x.up && x.heartbeat == nil && !x.reply.inFlight {
			do(func(m *model) { // the member sends a heartbeat
				y := &m.members[k]
				y.heartbeat = &modelHeartbeat{sent: m.now, heartbeat: c.newHeartbeat(m, k, false)}
			})
		}
		if x.heartbeat != nil {
			do(func(m *model) { // it arrives, and a quorum confirms the leader
				y := &m.members[k]
				r := c.handle(m, k, y.heartbeat.heartbeat)
				if y.up && fmt.Sprint(y.run) == y.heartbeat.heartbeat.RunID {
					y.reply = modelReply{true, r, y.heartbeat.sent}
				}
				y.heartbeat = nil
			})
			if m.losses < 1 {
				do(func(m *model) { m.members[k].heartbeat, m.losses = nil, m.losses+1 })
			}
		}
		if x.reply.inFlight {
			do(func(m *model) { // the reply arrives, possibly much later
				y := &m.members[k]
				sent := y.reply.sent
				if c.variant.leaseFromReceipt {
					sent = m.now
				}
				y.holder.HandleRenewal(sent, y.reply.renewal)
				y.reply = modelReply{}
			})
		}
		if x.up && x.holder.state.NewestVersion() < c.states[m.state].NewestVersion() {
			do(func(m *model) { // the member receives the newest version
				y := &m.members[k]
				y.holder.state = c.states[m.state]
				y.holder.NextVersion()
			})
		}
		if x.up && x.holder.pendingVersion > 0 {
			do(func(m *model) { m.members[k].holder.VersionApplied(m.members[k].holder.pendingVersion) })
		}
		// A directory matters only to a member that may act without a lease; of the others it may be older.
		if x.up && c.policy == ServeWhenIsolated && c.states[x.saved].LastSeq() < x.holder.state.LastSeq() && c.maySave(m, k) {
			do(func(m *model) { m.members[k].saved = 1 })
		}
		if x.up && m.crashes < 1 && !c.replaced {
			do(func(m *model) { c.restart(m, k) }) // killed
			if c.policy == ServeWhenIsolated {
				do(func(m *model) { // it ends in order
					m.members[k].heartbeat = &modelHeartbeat{sent: m.now, heartbeat: c.newHeartbeat(m, k, true)}
					c.restart(m, k)
				})
			}
		}
	}
	if c.replaced {
		c.replacements(m, do)
	}
	if m.state == 0 {
		do(func(m *model) { m.state = 1 })
	}
	if m.elections < 1 {
		do(func(m *model) { // a new leader, which knows only the history; earlier replies are still in flight
			m.elections++
			m.leases = NewLeaseManager(modelTiming, m.now)
			if c.variant.ignoresOldLeases {
				m.leases.electedAt = math.Inf(-1)
			}
		})
	}
	if m.now < modelTicks {
		do(func(m *model) { m.now++ })
	}
}

// newHeartbeat returns a member's heartbeat.
func (c *checker) newHeartbeat(m *model, k int, leaving bool) Heartbeat {
	x := &m.members[k]
	hb := Heartbeat{Fleet: "f", Format: FormatVersion, Member: c.name(k), Address: modelName(k), RunID: fmt.Sprint(x.run), OwnsAddress: c.maySave(m, k), IsolationPolicy: c.policy,
		LastSeq: x.holder.state.LastSeq(), ActiveVersion: x.holder.activeVersion, SavedVersion: c.savedVersion(x), Leaving: leaving, Lease: 4}
	if c.replaced {
		hb.Runs = []RunRecord{{ID: hb.RunID, StartedAt: float64(k + 1)}}
		hb.HasSuccessor = k == olderProcess && m.members[newerProcess].up && !c.variant.oneProcess
	}
	return hb
}

// restart starts a member's next process, from its directory.
func (c *checker) restart(m *model, k int) {
	x := &m.members[k]
	m.crashes++
	x.run++
	x.reply = modelReply{}
	x.holder = *NewLeaseHolder(modelTiming, modelName(k), "1.0.0", c.policy, c.states[x.saved], m.now)
	x.holder.NextVersion()
}

// savedVersion returns the version that a member reports as saved.
func (c *checker) savedVersion(x *modelMember) uint64 {
	if c.variant.reportsUnsaved {
		return x.holder.state.NewestVersion()
	}
	return c.states[x.saved].NewestVersion()
}

// checkFence checks that no member can act on an older version once the fence was reported complete, and
// reports the fence if it is complete.
func (c *checker) checkFence(m *model) {
	if m.state == 1 && !m.fenceReported {
		at, waits := m.leases.clone().FenceStatus(m.now, m.now+1, 1, c.stateOf(m))
		if c.variant.fenceByMajority && len(waits) <= c.members/2 {
			at = m.now + 1
		}
		m.fenceReported = at > 0
	}
	if !m.fenceReported {
		return
	}
	for k := range m.members[:c.members] {
		if x := &m.members[k]; x.up && x.holder.activeVersion < 1 && x.holder.AcceptUntil(m.now) > m.now {
			c.mu.Lock()
			c.violation = fmt.Sprintf("at %g: %s may act on version 0 until %g, but the fence of version 1 was reported complete", m.now, modelName(k), x.holder.AcceptUntil(m.now))
			c.mu.Unlock()
		}
	}
}

// TestModel checks that nobody acts on an older version once its fence was reported complete, in all
// interleavings, and that the check finds each faulty variant. reportsUnsaved guards against a member that is
// killed before its directory has the version that it reported, and acts alone on an older one.
func TestModel(t *testing.T) {
	for _, r := range []struct {
		policy             IsolationPolicy
		members, maxStates int
	}{
		{StopWhenIsolated, modelMembers, 1_000_000},
		{StopWhenIsolated, 1, 300_000},
		{ServeWhenIsolated, 2, 1_000_000},
		{ServeWhenIsolated, 1, 300_000},
	} {
		c := newChecker(t, faultyVariant{}, r.policy, r.members, r.maxStates)
		depth := c.explore(c.start())
		t.Logf("%s, members %d: %d states, %d steps", r.policy, r.members, c.size(), depth)
		if c.violation != "" {
			t.Fatal(c.violation)
		}
	}
	replaced := newReplacedChecker(t, faultyVariant{}, 1_000_000)
	depth := replaced.explore(replaced.start())
	t.Logf("one member whose process is replaced: %d states, %d steps", replaced.size(), depth)
	if replaced.violation != "" {
		t.Fatal(replaced.violation)
	}
	replaced = newReplacedChecker(t, faultyVariant{oneProcess: true}, 1_000_000)
	depth = replaced.explore(replaced.start())
	if replaced.violation == "" {
		t.Errorf("one process of a member counted: not detected in %d states", replaced.size())
	}
	t.Logf("one process of a member counted: detected after %d states and %d steps: %s", replaced.size(), depth, replaced.violation)
	for what, r := range map[string]struct {
		variant faultyVariant
		policy  IsolationPolicy
		members int
	}{
		"lease runs from receipt":             {faultyVariant{leaseFromReceipt: true}, StopWhenIsolated, 1},
		"leases before the election ignored":  {faultyVariant{ignoresOldLeases: true}, StopWhenIsolated, 1},
		"fence complete by majority":          {faultyVariant{fenceByMajority: true}, StopWhenIsolated, 2},
		"version reported before it is saved": {faultyVariant{reportsUnsaved: true}, ServeWhenIsolated, 1},
	} {
		c := newChecker(t, r.variant, r.policy, r.members, 1_000_000)
		depth := c.explore(c.start())
		if c.violation == "" {
			t.Errorf("%s: not detected in %d states", what, c.size())
		} else {
			t.Logf("%s: detected after %d states and %d steps: %s", what, c.size(), depth, c.violation)
		}
	}
}

func TestState(t *testing.T) {
	s := NewState("f", Voter{"v", "a:1", 7})
	var entries []Entry
	must := func(c Command) Result {
		t.Helper()
		r, e, err := s.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		if e != nil {
			entries = append(entries, *e)
		}
		return r
	}
	must(Command{Kind: AdmitMember, RequestID: "1", Member: "m", Address: "a:2", IsolationPolicy: StopWhenIsolated, IssuedAt: 5})
	first := must(Command{Kind: PublishVersion, RequestID: "2", Text: []byte(`{"mark":"a"}`), Fence: true})
	again := must(Command{Kind: PublishVersion, RequestID: "2", Text: []byte(`{"mark":"a"}`), Fence: true})
	if first.Version != 1 || again.Version != 1 || !again.Duplicate || s.LastSeq() != 2 {
		t.Fatalf("repeated request: first %+v, again %+v, %d entries", first, again, s.LastSeq())
	}
	for what, c := range map[string]Command{
		"outdated expected version": {Kind: PublishVersion, RequestID: "x", ExpectedNewestPlus1: 1},
		"text too long":             {Kind: PublishVersion, RequestID: "x", Text: make([]byte, MaxTextBytes+1)},
		"invalid minimum program":   {Kind: PublishVersion, RequestID: "x", MinProgram: "new"},
		"unknown member":            {Kind: ExcludeMember, RequestID: "x", Member: "n"},
		"member without a name":     {Kind: AdmitMember, RequestID: "x"},
		"unknown kind":              {Kind: 99, RequestID: "x"},
		"removal of the last voter": {Kind: RemoveVoter, RequestID: "x", Member: "v"},
		"voter without a raft ID":   {Kind: AddVoter, RequestID: "x", Member: "w", Address: "a:3"},
	} {
		if _, e, err := s.Apply(c); err == nil || e != nil {
			t.Errorf("%s: not refused", what)
		}
	}
	must(Command{Kind: ExcludeMember, RequestID: "3", Member: "m", IssuedAt: 9})
	f := NewState("f", Voter{"v", "a:1", 7})
	for _, e := range entries {
		if err := f.ApplyEntry(e); err != nil {
			t.Fatal(err)
		}
	}
	if f.Digest() != s.Digest() {
		t.Fatal("digests differ after the same entries")
	}
	if m, _ := f.Member("m"); !m.Excluded || m.FirstAdmittedAt != 5 || m.ChangedAt != 9 {
		t.Fatalf("member after exclusion: %+v", m)
	}
	for what, change := range map[string]func(*Entry){
		"changed text":            func(e *Entry) { e.Command.Text = []byte("{}") },
		"changed previous digest": func(e *Entry) { e.PrevDigest[0]++ },
		"changed digest":          func(e *Entry) { e.Digest[0]++ },
		"skipped sequence number": func(e *Entry) { e.Seq++ },
		"fence removed":           func(e *Entry) { e.Command.Fence = false },
	} {
		f := NewState("f", Voter{"v", "a:1", 7})
		if err := f.ApplyEntry(entries[0]); err != nil {
			t.Fatal(err)
		}
		e := entries[1]
		change(&e)
		if f.ApplyEntry(e) == nil || f.LastSeq() != 1 {
			t.Errorf("%s: entry accepted", what)
		}
	}
	text := s.Snapshot()
	r, err := Restore(text)
	if err != nil || r.Digest() != s.Digest() || r.LastSeq() != s.LastSeq() {
		t.Fatalf("restored: %v", err)
	}
	// Every bit counts: the digest covers the whole snapshot.
	for k := 0; k < len(text); k += 7 {
		flipped := slices.Clone(text)
		flipped[k] ^= 4
		if r, err := Restore(flipped); err == nil && r.Digest() == s.Digest() && string(r.Snapshot()) != string(text) {
			t.Errorf("bit flip in byte %d not detected", k)
		}
	}
	var x snapshot
	if err := Decode(text, &x); err != nil {
		t.Fatal(err)
	}
	x.State.Members = nil // as if the last entry had not been applied
	if _, err := Restore(Encode(x)); err == nil {
		t.Error("a snapshot that lacks the effect of its last entry was accepted")
	}
}

func TestAcceptUntil(t *testing.T) {
	f := Timing{Beat: 250, Lease: 1000, Drift: 0.01}
	s := NewState("f")
	apply := func(c Command) {
		if _, _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	apply(Command{Kind: AdmitMember, Member: "m", Address: "a", IsolationPolicy: ServeWhenIsolated})
	open := func(m *LeaseHolder, now float64, want bool, when string) {
		t.Helper()
		if got := m.AcceptUntil(now) > now; got != want {
			t.Errorf("%s: accepts work: %v", when, got)
		}
	}
	stop := NewLeaseHolder(f, "m", "0.2.0", StopWhenIsolated, s.Clone(), 0)
	serve := NewLeaseHolder(f, "m", "0.2.0", ServeWhenIsolated, s.Clone(), 0)
	open(stop, 0, false, "stop, new")
	open(serve, 0, false, "serve, new: waits one lease for the leader")
	open(stop, 1001, false, "stop, leader silent")
	open(serve, 1001, true, "serve, leader silent")
	for _, m := range []*LeaseHolder{stop, serve} {
		m.HandleRenewal(2000, LeaseRenewal{Granted: 1000})
	}
	open(stop, 2989, true, "stop, lease valid")
	open(stop, 2991, false, "stop, lease expired less the drift")
	open(serve, 9000, true, "serve, lease expired, nothing newer known")
	serve.HandleRenewal(9000, LeaseRenewal{FencedVersion: 1})
	open(serve, 9001, false, "serve, behind a fence")
	apply(Command{Kind: PublishVersion, Text: []byte("{}"), Fence: true})
	serve.state = s.Clone()
	if v, ok := serve.NextVersion(); !ok || v.Number != 1 {
		t.Fatal("no next version")
	}
	open(serve, 9001, false, "serve, the fenced version not yet active")
	serve.VersionApplied(1)
	open(serve, 9001, true, "serve, the fenced version active")
	apply(Command{Kind: ExcludeMember, Member: "m"})
	serve.state = s.Clone()
	serve.HandleRenewal(9100, LeaseRenewal{Granted: 1000})
	open(serve, 9101, false, "serve, excluded")
	apply(Command{Kind: AdmitMember, Member: "m"})
	apply(Command{Kind: PublishVersion, Text: []byte("{}"), MinProgram: "0.3.0"})
	serve.state = s.Clone()
	if _, ok := serve.NextVersion(); ok {
		t.Error("a version for a newer program is to be activated")
	}
	if n, why := serve.RefusedVersion(); n != 2 || why == "" {
		t.Errorf("refused version %d, reason %q", n, why)
	}
}
