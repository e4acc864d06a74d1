// Package council is the part of a fleet's process that votes: a few named voters agree on the fleet's history, and one of
// them leads. What is agreed on stands in internal/fleet, the consensus is go.etcd.io/raft/v3. It must never touch the
// dispatcher: a council that fails leaves dispatch as it is.
//
// This file owns one voter's core, which has no I/O but the store that is handed in and no clock but the one handed in,
// so that it can be played in virtual time. The others own its store and its goroutine.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"weldmast/internal/fleet"
)

// Store keeps what a voter has promised. Save returns once all of it would survive a crash, or changes nothing.
type Store interface {
	Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	// Compact keeps the snapshot in place of what it covers, but for the entries from the index on.
	Compact(snapshot *pb.Snapshot, from uint64) error
}

// Kept is what a store had.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Times of a council, in milliseconds.
const (
	HeartbeatInterval  = 50  // of the leader
	minElectionTimeout = 400 // without a leader's word; drawn up to twice that
	storeRetryInterval = 1000
	retainedEntries    = 1024 // entries of the history that are kept for who is behind
	readInterval       = 25   // readings are begun no closer together: all beats that came meanwhile share one
	compactThreshold   = 512
	compactRetained    = 128
)

// What a caller is told.
var (
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrUnsure: the same request again tells.
	ErrOutcomeUnknown = errors.New("it is not known whether it was taken: ask again with the same request")
	ErrVoterFailed    = errors.New("this voter has stopped voting")
)

// FirstSeat is the number of a voter in the consensus before it ever lost its folder.
func InitialRaftID(fleetName, voter string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(fleetName + "\x00" + voter))
	return h.Sum64() | 1
}

// First is what a voter begins with that has never voted: all begin alike.
func InitialState(fleetName string, voters []fleet.Voter) PersistedState {
	conf := &pb.ConfState{}
	for _, v := range voters {
		conf.Voters = append(conf.Voters, v.RaftID)
	}
	slices.Sort(conf.Voters)
	return PersistedState{HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: fleet.NewState(fleetName, voters...).Snapshot(),
			Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}}
}

// Blank is what a voter begins with that was given a new seat: all it knows comes from the others.
func EmptyState(fleetName string) PersistedState {
	return PersistedState{HardState: &pb.HardState{}, Snapshot: &pb.Snapshot{Data: fleet.NewState(fleetName).Snapshot(), Metadata: &pb.SnapshotMetadata{}}}
}

// Message is one for another voter.
type Message struct {
	To         uint64
	Data       []byte
	IsSnapshot bool // SnapshotSent is to be told of it
	fromLeader bool // it is a leader's word
}

// beat is one that waits for the word that this voter still leads; or a reading that does.
type queuedRead struct {
	heartbeat   fleet.Heartbeat
	receivedAt  float64
	reply       func(fleet.LeaseRenewal, error)
	onConfirmed func(error) // in place of the others
}

type proposal struct {
	command fleet.Command
	done    func(fleet.Result, error)
}

// Core is one voter. Not for use from several goroutines at once.
type Core struct {
	timing           fleet.Timing
	id               uint64
	rawNode          *raft.RawNode
	storage          *raft.MemoryStorage
	store            Store
	rng              *rand.Rand
	state            *fleet.State
	confState        *pb.ConfState
	appliedIndex     uint64
	snapshotIndex    uint64 // index of the last snapshot
	recentEntries    []fleet.Entry
	digestBefore     fleet.Digest        // of the history before the first of them
	leases           *fleet.LeaseManager // the leader's; nil: it does not lead
	leader           uint64
	electionDeadline float64 // without a leader's word by then, it campaigns
	leaderContact    float64 // the leader's last word
	quorumContact    float64 // as a leader it has heard no majority since then
	peerContact      map[uint64]float64
	nextTick         float64
	proposals        map[string][]proposal
	queuedReads      []queuedRead // not yet asked for
	activeReads      []queuedRead // by the read that is under way
	readStartedAt    float64
	readSeq          uint64
	confirmedIndex   uint64 // index that must be applied before those asked are answered; 0: not confirmed
	unsavedReady     *raft.Ready
	storeRetryAt     float64
	fault            error // why it does not vote at the moment
	stopped          bool  // for good
	outbox           []Message
	historyChanged   bool // the history went on
}

// quiet keeps raft's own lines out of the log but for what is fatal to it, which the core turns into a fault.
type raftLogger struct{}

func (raftLogger) Debug(...any)            {}
func (raftLogger) Debugf(string, ...any)   {}
func (raftLogger) Error(...any)            {}
func (raftLogger) Errorf(string, ...any)   {}
func (raftLogger) Info(...any)             {}
func (raftLogger) Infof(string, ...any)    {}
func (raftLogger) Warning(...any)          {}
func (raftLogger) Warningf(string, ...any) {}
func (raftLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// NewCore takes up what the store had kept.
func NewCore(timing fleet.Timing, id uint64, persisted PersistedState, store Store, seed uint64, now float64) (c *Core, err error) {
	c = &Core{timing: timing, id: id, storage: raft.NewMemoryStorage(), store: store, rng: rand.New(rand.NewPCG(seed, id)),
		peerContact: map[uint64]float64{}, proposals: map[string][]proposal{}, leaderContact: now - 10*minElectionTimeout}
	defer c.recoverPanic(&err)
	if c.state, err = fleet.Restore(persisted.Snapshot.GetData()); err != nil {
		return nil, err
	}
	c.digestBefore = c.state.Digest()
	if !raft.IsEmptySnap(persisted.Snapshot) {
		if err = c.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return nil, fmt.Errorf("voter's snapshot: %w", err)
		}
	}
	if err = c.storage.SetHardState(persisted.HardState); err != nil {
		return nil, fmt.Errorf("voter's promise: %w", err)
	}
	if err = c.storage.Append(persisted.Entries); err != nil {
		return nil, fmt.Errorf("voter's entries: %w", err)
	}
	c.confState = pb.EnsureConfState(persisted.Snapshot.GetMetadata().GetConfState())
	c.appliedIndex = persisted.Snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.appliedIndex
	c.rawNode, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: c.storage, Applied: c.appliedIndex,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, PreVote: true,
		DisableProposalForwarding: true, Logger: raftLogger{}})
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	c.electionDeadline = now + c.randomElectionTimeout()
	c.processReady(now)
	return c, c.fault
}

// guard turns raft's panics into a fault. It guards against a folder that is older than what this voter has promised
// and that nobody caught: raft panics then, and the dispatcher must not end with it.
func (c *Core) recoverPanic(err *error) {
	if v := recover(); v != nil {
		c.stopped = true
		c.fault = fmt.Errorf("%w: %v", ErrVoterFailed, v)
		c.failPending()
		if err != nil {
			*err = c.fault
		}
	}
}

func (c *Core) randomElectionTimeout() float64 { return minElectionTimeout * (1 + c.rng.Float64()) }

// leads tells whether it leads, as far as it knows.
func (c *Core) isLeader() bool { return c.leases != nil }

// Step does what is due and returns the time by which it must be called again.
func (c *Core) Tick(now float64) float64 {
	defer c.recoverPanic(nil)
	if c.stopped {
		return now + storeRetryInterval
	}
	if c.unsavedReady != nil && now < c.storeRetryAt {
		return c.storeRetryAt
	}
	c.processReady(now)
	if c.unsavedReady != nil {
		return c.storeRetryAt
	}
	switch {
	case c.isLeader() && now >= c.nextTick:
		c.nextTick = now + HeartbeatInterval
		c.rawNode.Tick()
		c.reconcileVoters()
	case !c.isLeader() && now >= c.electionDeadline:
		c.electionDeadline = now + c.randomElectionTimeout()
		_ = c.rawNode.Campaign() // one that cannot campaign now does so later
	}
	if c.isLeader() && len(c.activeReads) > 0 && now > c.readStartedAt+c.timing.Lease {
		c.rejectReads(c.activeReads)
		c.activeReads = nil
	}
	c.processReady(now)
	c.startRead(now)
	c.processReady(now)
	switch {
	case c.isLeader() && len(c.queuedReads) > 0 && len(c.activeReads) == 0:
		return min(c.nextTick, max(c.readStartedAt+readInterval, now))
	case c.isLeader():
		return c.nextTick
	}
	return c.electionDeadline
}

// seat brings the consensus one step nearer to the voters that the history seats: one is added before another goes. Any
// leader goes on where the last one stopped.
func (c *Core) reconcileVoters() {
	if !c.isLeader() || c.unsavedReady != nil {
		return
	}
	wanted := map[uint64]bool{}
	for _, v := range c.state.Voters() {
		wanted[v.RaftID] = true
		if !slices.Contains(c.confState.GetVoters(), v.RaftID) {
			_ = c.rawNode.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(v.RaftID)}) // or with the next tick
			return
		}
	}
	for _, id := range c.confState.GetVoters() {
		if !wanted[id] && id == c.id {
			c.rawNode.TransferLeader(c.state.Voters()[0].RaftID) // who then removes this one
			return
		}
		if !wanted[id] {
			_ = c.rawNode.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)})
			return
		}
	}
}

// ask has a majority say that this voter leads, for all beats that have come so far. Each such reading costs a message to each
// voter and one back; begun for each beat, the leader's time went into these and grew with the members.
func (c *Core) startRead(now float64) {
	if !c.isLeader() || len(c.queuedReads) == 0 || len(c.activeReads) > 0 || c.unsavedReady != nil || now < c.readStartedAt+readInterval {
		return
	}
	c.activeReads, c.queuedReads = c.queuedReads, nil
	c.readStartedAt, c.confirmedIndex = now, 0
	c.readSeq++
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readSeq))
}

// Receive takes another voter's message.
func (c *Core) Receive(now float64, data []byte) {
	defer c.recoverPanic(nil)
	var m pb.Message
	if c.stopped || c.unsavedReady != nil || proto.Unmarshal(data, &m) != nil || m.GetTo() != c.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if t := m.GetType(); (t == pb.MsgPreVote || t == pb.MsgVote) && string(m.GetContext()) != "CampaignTransfer" {
		// Who hears a leader helps no other to its place; this guards against a voter that is cut one way and campaigns
		// for ever.
		if c.isLeader() && c.hasQuorum(now, minElectionTimeout) && len(c.confState.GetVoters()) > 1 || !c.isLeader() && c.leader != 0 && now < c.leaderContact+minElectionTimeout {
			return
		}
	}
	if err := c.rawNode.Step(&m); err != nil {
		return // of no voter of ours, or older than what is known
	}
	s := c.rawNode.BasicStatus()
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if s.Lead == m.GetFrom() {
			c.leaderContact, c.electionDeadline = now, now+c.randomElectionTimeout()
		}
	case pb.MsgVote:
		if s.HardState.GetVote() == m.GetFrom() {
			c.electionDeadline = now + c.randomElectionTimeout()
		}
	default:
		if m.GetTerm() == s.HardState.GetTerm() {
			c.peerContact[m.GetFrom()] = now
		}
	}
	c.processReady(now)
}

// majority tells whether so many voters were heard of within the span, itself among them.
func (c *Core) hasQuorum(now, window float64) bool {
	count := 0
	for _, id := range c.confState.GetVoters() {
		if at, ok := c.peerContact[id]; id == c.id || ok && now <= at+window {
			count++
		}
	}
	return 2*count > len(c.confState.GetVoters())
}

// SnapshotSent tells what became of a message with a snapshot.
func (c *Core) ReportSnapshot(now float64, to uint64, ok bool) {
	defer c.recoverPanic(nil)
	if c.stopped || c.unsavedReady != nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.rawNode.ReportSnapshot(to, status)
	c.processReady(now)
}

// Propose wants a command in the history. Done is called once.
func (c *Core) Propose(now float64, cmd fleet.Command, done func(fleet.Result, error)) {
	defer c.recoverPanic(nil)
	switch {
	case c.stopped || c.unsavedReady != nil:
		done(fleet.Result{}, c.fault)
		return
	case !c.isLeader():
		done(fleet.Result{}, ErrNotLeader)
		return
	case cmd.RequestID == "":
		done(fleet.Result{}, fmt.Errorf("%w: a request needs a number", fleet.ErrRefused))
		return
	}
	if err := c.rawNode.Propose(fleet.Encode(cmd)); err != nil {
		done(fleet.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
		return
	}
	c.proposals[cmd.RequestID] = append(c.proposals[cmd.RequestID], proposal{cmd, done})
	c.processReady(now)
}

// Beat takes a member's. Answer is called once, after a majority has said that this voter leads.
func (c *Core) Heartbeat(now float64, hb fleet.Heartbeat, reply func(fleet.LeaseRenewal, error)) {
	if c.stopped || !c.isLeader() {
		reply(fleet.LeaseRenewal{}, ErrNotLeader)
		return
	}
	c.queuedReads = append(c.queuedReads, queuedRead{heartbeat: hb, receivedAt: now, reply: reply})
}

// Read has something done once a majority has said that this voter leads, so that it sees all that was answered before.
func (c *Core) ReadIndex(now float64, onConfirmed func(error)) {
	if c.stopped || !c.isLeader() {
		onConfirmed(ErrNotLeader)
		return
	}
	c.queuedReads = append(c.queuedReads, queuedRead{receivedAt: now, onConfirmed: onConfirmed})
}

// Take gives the messages to be sent. A leader that hears no majority says nothing as one for a while: so others find another
// one, even where they hear it. It answers them still: with other voters down, theirs may be the last votes that make a majority.
func (c *Core) TakeMessages(now float64) (out []Message) {
	out, c.outbox = c.outbox, nil
	if c.stopped {
		return nil
	}
	if !c.isLeader() || c.hasQuorum(now, 2*minElectionTimeout) {
		c.quorumContact = now
		return out
	}
	// By turns: others have the time to find another leader, and if its log is the longest and nobody else can lead, it goes on.
	if math.Mod(now-c.quorumContact, 5*minElectionTimeout) < 3*minElectionTimeout {
		out = slices.DeleteFunc(out, func(m Message) bool { return m.fromLeader })
	}
	return out
}

// Moved tells, once, whether the history went on.
func (c *Core) HistoryChanged() (moved bool) {
	moved, c.historyChanged = c.historyChanged, false
	return moved
}

// run works off what raft wants done. What cannot be saved is held, and nothing else goes on until it is.
func (c *Core) processReady(now float64) {
	for c.unsavedReady != nil || c.rawNode.HasReady() {
		if c.unsavedReady == nil {
			rd := c.rawNode.Ready()
			c.unsavedReady = &rd
		}
		rd := c.unsavedReady
		if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			if err := c.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				c.fault, c.storeRetryAt = fmt.Errorf("%w: %w", ErrVoterFailed, err), now+storeRetryInterval
				c.failPending()
				return
			}
		}
		c.unsavedReady, c.fault = nil, nil
		c.handleReady(now, rd)
	}
}

func (c *Core) handleReady(now float64, rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := fleet.Restore(rd.Snapshot.GetData())
		if err != nil {
			panic(err) // another voter's history is not ours
		}
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
		c.state, c.recentEntries, c.digestBefore, c.historyChanged = state, nil, state.Digest(), true
		c.confState = rd.Snapshot.GetMetadata().GetConfState()
		c.appliedIndex = rd.Snapshot.GetMetadata().GetIndex()
		c.snapshotIndex = c.appliedIndex
	}
	if rd.HardState != nil {
		if err := c.storage.SetHardState(rd.HardState); err != nil {
			panic(err)
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		panic(err)
	}
	if rd.SoftState != nil {
		c.updateRole(now, rd.SoftState)
	}
	for _, m := range rd.Messages {
		data, err := proto.Marshal(m)
		if err != nil {
			panic(err) // of its own
		}
		c.outbox = append(c.outbox, Message{To: m.GetTo(), Data: data, IsSnapshot: m.GetType() == pb.MsgSnap,
			fromLeader: slices.Contains([]pb.MessageType{pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap}, m.GetType())})
	}
	for _, e := range rd.CommittedEntries {
		c.applyEntry(e)
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.readSeq && len(c.activeReads) > 0 {
			c.confirmedIndex = max(r.Index, 1)
		}
	}
	c.rawNode.Advance(*rd)
	c.completeReads()
	if c.appliedIndex >= c.snapshotIndex+compactThreshold {
		c.compact()
	}
}

// stands notes who leads.
func (c *Core) updateRole(now float64, s *raft.SoftState) {
	c.leader = s.Lead
	leads := s.RaftState == raft.StateLeader
	switch {
	case leads && c.leases == nil:
		c.leases, c.nextTick = fleet.NewLeaseManager(c.timing, now), now
		for _, id := range c.confState.GetVoters() {
			c.peerContact[id] = now
		}
	case !leads && c.leases != nil:
		c.leases, c.electionDeadline = nil, now+c.randomElectionTimeout()
		c.failPending()
	}
}

// drop ends what waits for this voter as a leader.
func (c *Core) failPending() {
	proposals := c.proposals
	c.proposals = map[string][]proposal{}
	for _, request := range sortedKeys(proposals) {
		for _, x := range proposals[request] {
			x.done(fleet.Result{}, ErrOutcomeUnknown)
		}
	}
	c.rejectReads(c.activeReads)
	c.rejectReads(c.queuedReads)
	c.activeReads, c.queuedReads = nil, nil
}

func (c *Core) rejectReads(reads []queuedRead) {
	for _, b := range reads {
		if b.onConfirmed != nil {
			b.onConfirmed(ErrNotLeader)
			continue
		}
		b.reply(fleet.LeaseRenewal{}, ErrNotLeader)
	}
}

func (c *Core) applyEntry(e *pb.Entry) {
	c.appliedIndex = e.GetIndex()
	if e.GetType() == pb.EntryConfChange {
		var x pb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &x); err != nil {
			panic(err)
		}
		c.confState = c.rawNode.ApplyConfChange(&x)
		return
	}
	if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x fleet.Command
	if err := fleet.Decode(e.GetData(), &x); err != nil {
		panic(err) // a newer program's: this voter must not guess
	}
	digestBefore := c.state.Digest()
	result, entry, err := c.state.Apply(x)
	if entry != nil {
		if len(c.recentEntries) == 0 {
			c.digestBefore = digestBefore
		}
		c.historyChanged = true
		if c.recentEntries = append(c.recentEntries, *entry); len(c.recentEntries) > 2*retainedEntries {
			c.recentEntries = slices.Clone(c.recentEntries[retainedEntries:])
			c.digestBefore = c.recentEntries[0].PrevDigest
		}
	}
	for _, p := range c.proposals[x.RequestID] {
		p.done(result, err)
	}
	delete(c.proposals, x.RequestID)
}

// answer answers the beats that were asked for, once a majority has confirmed and all before that is applied.
func (c *Core) completeReads() {
	if c.confirmedIndex == 0 || c.appliedIndex < c.confirmedIndex || !c.isLeader() {
		return
	}
	reads := c.activeReads
	c.activeReads, c.confirmedIndex = nil, 0
	for _, b := range reads {
		if b.onConfirmed != nil {
			b.onConfirmed(nil)
			continue
		}
		r, unknown := c.leases.Heartbeat(b.receivedAt, b.heartbeat, c.state)
		if unknown {
			c.admitMember(b)
			continue
		}
		b.reply(r, nil)
	}
}

// admit has a member in the history before it can have a lease; it is to beat again.
func (c *Core) admitMember(read queuedRead) {
	cmd := fleet.Command{Kind: fleet.AdmitMember, RequestID: "admit " + read.heartbeat.RunID + " " + read.heartbeat.Address, RequestedBy: read.heartbeat.Member, Member: read.heartbeat.Member, Address: read.heartbeat.Address, IsolationPolicy: read.heartbeat.IsolationPolicy, RunID: read.heartbeat.RunID}
	if k := len(read.heartbeat.Runs) - 1; k >= 0 {
		cmd.IssuedAt, cmd.RunStartedAt = read.heartbeat.Runs[k].KnownUntil, read.heartbeat.Runs[k].StartedAt
	}
	if len(c.proposals[cmd.RequestID]) == 0 {
		if c.rawNode.Propose(fleet.Encode(cmd)) == nil {
			c.proposals[cmd.RequestID] = []proposal{{cmd, func(fleet.Result, error) {}}}
		}
	}
	read.reply(fleet.LeaseRenewal{NewestVersion: c.state.NewestVersion(), FencedVersion: c.state.FencedVersion(), Reason: "being admitted", RetryAfter: HeartbeatInterval}, nil)
}

// compact keeps a snapshot in place of old entries.
func (c *Core) compact() {
	snap, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, c.state.Snapshot())
	if err != nil {
		panic(err)
	}
	from := c.appliedIndex - compactRetained
	if err := c.store.Compact(snap, from); err != nil {
		return // it is tried again with the next entry
	}
	c.snapshotIndex = c.appliedIndex
	if err := c.storage.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
		panic(err)
	}
}

// Entries gives what comes after n in the history, or the whole state where that is not kept any longer. Nothing: there
// is nothing newer. Fork: the digest shows that the asker's history up to n is another one.
func (c *Core) EntriesAfter(seq uint64, digest fleet.Digest) (entries []fleet.Entry, snapshot []byte, diverged bool) {
	first := c.state.LastSeq() - uint64(len(c.recentEntries))
	switch {
	case seq > c.state.LastSeq(): // this voter is behind itself
		return nil, nil, false
	case seq == 0 && c.state.LastSeq() == 0:
		return nil, nil, false
	case seq < first || seq == 0: // one that knows nothing does not know the first voters either
		return nil, c.state.Snapshot(), false
	}
	at := c.digestBefore
	if seq > first {
		at = c.recentEntries[seq-first-1].Digest
	}
	return c.recentEntries[seq-first:], nil, at != digest
}

// State is the history as this voter has it; the caller must not change it.
func (c *Core) State() *fleet.State { return c.state }

// Book is the leader's; nil: this voter does not lead.
func (c *Core) Leases() *fleet.LeaseManager { return c.leases }

// Lead is the voter that leads as far as is known here, 0 for none.
func (c *Core) Leader() uint64 { return c.leader }

// Fault is why it does not vote; nil: it does.
func (c *Core) Fault() error { return c.fault }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
