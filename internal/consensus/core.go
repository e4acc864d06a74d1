// Package consensus runs the voters of a fleet: a few named voters agree on the fleet's history by raft
// (go.etcd.io/raft/v3), and one of them leads. The replicated state is defined in internal/fleet. The package
// must never affect the dispatcher: a failed consensus group leaves dispatch as it is.
//
// This file implements the core of one voter. It does no I/O but through the given store and takes the time
// as a parameter, so that it can run in virtual time. The other files implement the store and the voter's
// goroutine.
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

// Store persists a voter's raft state.
//
// Save returns nil once everything would survive a crash. On an error it has saved nothing, and the core
// repeats the same call.
type Store interface {
	Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	// Compact replaces the entries that the snapshot covers by the snapshot. Of these, it may keep those from
	// the index `from` on. It must keep all later entries.
	Compact(snapshot *pb.Snapshot, from uint64) error
}

// PersistedState is what a store returns at a start.
type PersistedState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Timing of the consensus group, in milliseconds, and its bounds in entries.
const (
	raftHeartbeatInterval = 50  // of the raft leader, to the other voters
	minElectionTimeout    = 400 // without contact to a leader; the timeout is random, up to twice as long
	storeRetryInterval    = 1000
	retainedEntries       = 1024 // entries of the history kept in memory for members that are behind
	readInterval          = 25   // minimum time between two reads: all heartbeats that arrive in between share one
	compactThreshold      = 512
	compactRetained       = 128
)

// Errors returned to callers.
var (
	// ErrNotLeader means that another voter has to be asked.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrOutcomeUnknown means that the command may have been applied. Repeating the same request shows
	// whether it was.
	ErrOutcomeUnknown = errors.New("it is not known whether it was taken: ask again with the same request")
	// ErrVoterFailed means that the store failed, or that raft panicked and the voter stopped.
	ErrVoterFailed = errors.New("this voter has stopped voting")
)

// DeriveRaftID derives a raft ID from a voter's name. A voter that lost its directory derives its new raft ID
// from its name and run ID.
func DeriveRaftID(fleetName, voter string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(fleetName + "\x00" + voter))
	return h.Sum64() | 1
}

// InitialState returns the state with which a voter starts that has never voted. It is the same for all
// voters.
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

// EmptyState returns the state with which a voter starts that has a new raft ID: it receives everything from
// the others.
func EmptyState(fleetName string) PersistedState {
	return PersistedState{HardState: &pb.HardState{}, Snapshot: &pb.Snapshot{Data: fleet.NewState(fleetName).Snapshot(), Metadata: &pb.SnapshotMetadata{}}}
}

// Message is a raft message to another voter.
type Message struct {
	To         uint64
	Data       []byte
	IsSnapshot bool // ReportSnapshot must be called with the outcome
	fromLeader bool // only a leader sends it
}

// pendingRead is a heartbeat, or another read, that waits for a quorum to confirm that this voter is the
// leader.
type pendingRead struct {
	heartbeat   fleet.Heartbeat
	receivedAt  float64
	reply       func(fleet.LeaseRenewal, error)
	onConfirmed func(error) // set instead of heartbeat and reply
}

// proposal is a proposed command that waits for its result.
type proposal struct {
	command fleet.Command
	done    func(fleet.Result, error)
}

// Core is one voter. It must not be used from several goroutines at once.
type Core struct {
	timing           fleet.Timing
	id               uint64
	rawNode          *raft.RawNode
	storage          *currentStorage
	store            Store
	rng              *rand.Rand
	state            *fleet.State
	confState        *pb.ConfState
	appliedIndex     uint64
	snapshotIndex    uint64 // index of the last snapshot
	recentEntries    []fleet.Entry
	digestBefore     fleet.Digest        // of the history before recentEntries
	leases           *fleet.LeaseManager // nil if this voter is not the leader
	leader           uint64
	electionDeadline float64 // the voter campaigns then, unless a leader contacts it
	leaderContact    float64 // time of the leader's last message
	// last time when TakeMessages found that this voter was not the leader, or was in contact with a quorum
	quorumContact  float64
	peerContact    map[uint64]float64
	nextTick       float64
	proposals      map[string][]proposal
	queuedReads    []pendingRead // not part of a read yet
	activeReads    []pendingRead // part of the read in progress
	readStartedAt  float64
	readSeq        uint64
	confirmedIndex uint64 // the active reads complete once this index is applied; 0: not confirmed
	unsavedReady   *raft.Ready
	storeRetryAt   float64
	fault          error // why the voter cannot vote at the moment
	stopped        bool  // permanently
	outbox         []Message
	historyChanged bool // set until HistoryChanged is called
}

// raftLogger discards raft's log lines. Fatal ones panic, and the core turns the panic into a fault.
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

// NewCore returns a voter that continues from what its store persisted. If the store fails or raft panics, it
// returns both the core and the error. Tick then repeats a failed save; after a panic the core stays stopped.
// With other errors the core is nil.
func NewCore(timing fleet.Timing, id uint64, persisted PersistedState, store Store, seed uint64, now float64) (c *Core, err error) {
	c = &Core{timing: timing, id: id, storage: &currentStorage{MemoryStorage: raft.NewMemoryStorage()}, store: store, rng: rand.New(rand.NewPCG(seed, id)),
		peerContact: map[uint64]float64{}, proposals: map[string][]proposal{}, leaderContact: now - 10*minElectionTimeout}
	c.storage.core = c
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

// recoverPanic turns a panic of raft into a fault. It guards against an undetected outdated directory, which
// lacks votes or entries that this voter has acknowledged: raft panics then, and the dispatcher must not exit
// with it.
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

// isLeader reports whether this voter is the leader as far as it knows.
func (c *Core) isLeader() bool { return c.leases != nil }

// Tick does the work that is due and returns the time by which it must be called again.
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
		c.nextTick = now + raftHeartbeatInterval
		c.rawNode.Tick()
		c.reconcileVoters()
	case !c.isLeader() && now >= c.electionDeadline:
		c.electionDeadline = now + c.randomElectionTimeout()
		_ = c.rawNode.Campaign() // if it cannot campaign now, it does so at a later tick
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

// reconcileVoters brings the raft configuration one step closer to the voters in the state. It adds a voter
// before it removes another. A new leader continues where the previous one stopped.
func (c *Core) reconcileVoters() {
	if !c.isLeader() || c.unsavedReady != nil {
		return
	}
	wanted := map[uint64]bool{}
	for _, v := range c.state.Voters() {
		wanted[v.RaftID] = true
		if !slices.Contains(c.confState.GetVoters(), v.RaftID) {
			// retried at the next tick
			_ = c.rawNode.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(v.RaftID)})
			return
		}
	}
	for _, id := range c.confState.GetVoters() {
		if !wanted[id] && id == c.id {
			c.rawNode.TransferLeader(c.state.Voters()[0].RaftID) // the new leader then removes this voter
			return
		}
		if !wanted[id] {
			_ = c.rawNode.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)})
			return
		}
	}
}

// startRead has a quorum confirm that this voter is the leader, for all reads queued so far. Each such read
// costs one message to each voter and one back. One read for each heartbeat would make the leader's load grow
// with the number of members.
func (c *Core) startRead(now float64) {
	if !c.isLeader() || len(c.queuedReads) == 0 || len(c.activeReads) > 0 || c.unsavedReady != nil || now < c.readStartedAt+readInterval {
		return
	}
	c.activeReads, c.queuedReads = c.queuedReads, nil
	c.readStartedAt, c.confirmedIndex = now, 0
	c.readSeq++
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readSeq))
}

// Receive handles a raft message from another voter.
func (c *Core) Receive(now float64, data []byte) {
	defer c.recoverPanic(nil)
	var m pb.Message
	if c.stopped || c.unsavedReady != nil || proto.Unmarshal(data, &m) != nil || m.GetTo() != c.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if t := m.GetType(); (t == pb.MsgPreVote || t == pb.MsgVote) && string(m.GetContext()) != "CampaignTransfer" {
		// A voter in contact with a leader grants no votes to others. This guards against a voter whose link
		// is cut in one direction and that campaigns forever.
		if c.isLeader() && c.hasQuorum(now, minElectionTimeout) && len(c.confState.GetVoters()) > 1 || !c.isLeader() && c.leader != 0 && now < c.leaderContact+minElectionTimeout {
			return
		}
	}
	if err := c.rawNode.Step(&m); err != nil {
		return // from an unknown voter, or outdated
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

// hasQuorum reports whether a majority of the voters, including this one, was in contact within the window.
func (c *Core) hasQuorum(now, window float64) bool {
	count := 0
	for _, id := range c.confState.GetVoters() {
		if at, ok := c.peerContact[id]; id == c.id || ok && now <= at+window {
			count++
		}
	}
	return 2*count > len(c.confState.GetVoters())
}

// ReportSnapshot tells raft whether a message with a snapshot was delivered.
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

// Propose proposes a command. It calls done once.
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

// QueueHeartbeat queues a member's heartbeat. It calls reply once: after a quorum has confirmed that this
// voter is the leader, or with ErrNotLeader.
func (c *Core) QueueHeartbeat(now float64, hb fleet.Heartbeat, reply func(fleet.LeaseRenewal, error)) {
	if c.stopped || !c.isLeader() {
		reply(fleet.LeaseRenewal{}, ErrNotLeader)
		return
	}
	c.queuedReads = append(c.queuedReads, pendingRead{heartbeat: hb, receivedAt: now, reply: reply})
}

// ReadIndex calls onConfirmed once a quorum has confirmed that this voter is the leader, so that the read
// sees everything that was answered before.
func (c *Core) ReadIndex(now float64, onConfirmed func(error)) {
	if c.stopped || !c.isLeader() {
		onConfirmed(ErrNotLeader)
		return
	}
	c.queuedReads = append(c.queuedReads, pendingRead{receivedAt: now, onConfirmed: onConfirmed})
}

// TakeMessages returns the messages to send. A leader without contact to a quorum suppresses its leader
// messages for a while, so that the others elect a new leader even if they still receive its messages. It
// continues to answer them: if other voters are down, its vote may be needed for a majority.
func (c *Core) TakeMessages(now float64) (out []Message) {
	out, c.outbox = c.outbox, nil
	if c.stopped {
		return nil
	}
	if !c.isLeader() || c.hasQuorum(now, 2*minElectionTimeout) {
		c.quorumContact = now
		return out
	}
	// Leader messages are suppressed and sent in turn. Suppression gives the others time to elect another
	// leader. If only this voter has the longest log, so that nobody else can be elected, it goes on as the
	// leader.
	if math.Mod(now-c.quorumContact, 5*minElectionTimeout) < 3*minElectionTimeout {
		out = slices.DeleteFunc(out, func(m Message) bool { return m.fromLeader })
	}
	return out
}

// HistoryChanged reports whether the history changed since the last call.
func (c *Core) HistoryChanged() (changed bool) {
	changed, c.historyChanged = c.historyChanged, false
	return changed
}

// processReady handles raft's ready states. If one cannot be saved, it is retained, and nothing else
// continues until it is saved.
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
			panic(err) // the snapshot belongs to another history
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
			panic(err) // raft's own messages always encode
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

// updateRole records which voter leads. A new leader gets a lease manager. A voter that is no longer the
// leader drops its lease manager and fails all pending calls.
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

// failPending fails the proposals and reads that wait for this voter as the leader.
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

func (c *Core) rejectReads(reads []pendingRead) {
	for _, b := range reads {
		if b.onConfirmed != nil {
			b.onConfirmed(ErrNotLeader)
			continue
		}
		b.reply(fleet.LeaseRenewal{}, ErrNotLeader)
	}
}

func (c *Core) applyEntry(e *pb.Entry) {
	if e.GetType() == pb.EntryConfChange {
		var x pb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &x); err != nil {
			panic(err)
		}
		c.confState = c.rawNode.ApplyConfChange(&x)
		c.appliedIndex = e.GetIndex() // a snapshot of this index has the new voters
		return
	}
	c.appliedIndex = e.GetIndex()
	if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x fleet.Command
	if err := fleet.Decode(e.GetData(), &x); err != nil {
		panic(err) // written by a newer program: this voter must not guess its meaning
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

// completeReads answers the active reads once a quorum has confirmed them and all earlier entries are
// applied.
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
		r, notAdmitted := c.leases.HandleHeartbeat(b.receivedAt, b.heartbeat, c.state)
		if notAdmitted {
			c.admitMember(b)
			continue
		}
		b.reply(r, nil)
	}
}

// admitMember proposes to admit a member, which it needs before it can get a lease. The member sends another
// heartbeat.
func (c *Core) admitMember(read pendingRead) {
	cmd := fleet.Command{Kind: fleet.AdmitMember, RequestID: "admit " + read.heartbeat.RunID + " " + read.heartbeat.Address, RequestedBy: read.heartbeat.Member, Member: read.heartbeat.Member, Address: read.heartbeat.Address, IsolationPolicy: read.heartbeat.IsolationPolicy, RunID: read.heartbeat.RunID}
	if k := len(read.heartbeat.Runs) - 1; k >= 0 {
		cmd.IssuedAt, cmd.RunStartedAt = read.heartbeat.Runs[k].KnownUntil, read.heartbeat.Runs[k].StartedAt
	}
	if len(c.proposals[cmd.RequestID]) == 0 {
		if c.rawNode.Propose(fleet.Encode(cmd)) == nil {
			c.proposals[cmd.RequestID] = []proposal{{cmd, func(fleet.Result, error) {}}}
		}
	}
	read.reply(fleet.LeaseRenewal{NewestVersion: c.state.NewestVersion(), FencedVersion: c.state.FencedVersion(), Reason: "being admitted", RetryAfter: raftHeartbeatInterval}, nil)
}

// compact replaces old entries by a snapshot.
func (c *Core) compact() {
	snap, err := c.storage.Snapshot()
	if err != nil {
		panic(err)
	}
	from := c.appliedIndex - compactRetained
	if err := c.store.Compact(snap, from); err != nil {
		return // tried again at the next Ready, as snapshotIndex is unchanged
	}
	c.snapshotIndex = c.appliedIndex
	if err := c.storage.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
		panic(err)
	}
}

// EntriesAfter returns the entries after seq, or a snapshot if they are not retained. It returns nothing if
// there is nothing newer. It returns diverged if the digest shows that the caller's history up to seq is a
// different one.
func (c *Core) EntriesAfter(seq uint64, digest fleet.Digest) (entries []fleet.Entry, snapshot []byte, diverged bool) {
	first := c.state.LastSeq() - uint64(len(c.recentEntries))
	switch {
	case seq > c.state.LastSeq(): // this voter itself is behind
		return nil, nil, false
	case seq == 0 && c.state.LastSeq() == 0:
		return nil, nil, false
	case seq < first || seq == 0: // a caller without entries does not know the first voters either
		return nil, c.state.Snapshot(), false
	}
	at := c.digestBefore
	if seq > first {
		at = c.recentEntries[seq-first-1].Digest
	}
	return c.recentEntries[seq-first:], nil, at != digest
}

// State returns the state as this voter has it. The caller must not modify it.
func (c *Core) State() *fleet.State { return c.state }

// Leases returns the lease manager, or nil if this voter is not the leader.
func (c *Core) Leases() *fleet.LeaseManager { return c.leases }

// Leader returns the raft ID of the leader as far as is known here, 0 for none.
func (c *Core) Leader() uint64 { return c.leader }

// Fault returns why this voter cannot vote, or nil.
func (c *Core) Fault() error { return c.fault }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
