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
	HeartbeatInterval = 50  // of the leader
	electionLeast     = 400 // without a leader's word; drawn up to twice that
	retryStore        = 1000
	keepRecent        = 1024 // entries of the history that are kept for who is behind
	readEvery         = 25   // readings are begun no closer together: all beats that came meanwhile share one
	compactEvery      = 512
	compactKeep       = 128
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
	lead       bool // it is a leader's word
}

// beat is one that waits for the word that this voter still leads; or a reading that does.
type beat struct {
	b        fleet.Heartbeat
	received float64
	answer   func(fleet.LeaseRenewal, error)
	read     func(error) // in place of the others
}

type command struct {
	c    fleet.Command
	done func(fleet.Result, error)
}

// Core is one voter. Not for use from several goroutines at once.
type Core struct {
	f        fleet.Timing
	id       uint64
	rn       *raft.RawNode
	mem      *raft.MemoryStorage
	store    Store
	rnd      *rand.Rand
	state    *fleet.State
	conf     *pb.ConfState
	applied  uint64
	saved    uint64 // index of the last snapshot
	recent   []fleet.Entry
	before   fleet.Digest        // of the history before the first of them
	book     *fleet.LeaseManager // the leader's; nil: it does not lead
	lead     uint64
	deadline float64 // without a leader's word by then, it campaigns
	heard    float64 // the leader's last word
	hushed   float64 // as a leader it has heard no majority since then
	voices   map[uint64]float64
	tickAt   float64
	pending  map[string][]command
	waiting  []beat // not yet asked for
	asked    []beat // by the read that is under way
	askedAt  float64
	reads    uint64
	confirm  uint64 // index that must be applied before those asked are answered; 0: not confirmed
	held     *raft.Ready
	retryAt  float64
	fault    error // why it does not vote at the moment
	dead     bool  // for good
	out      []Message
	moved    bool // the history went on
}

// quiet keeps raft's own lines out of the log but for what is fatal to it, which the core turns into a fault.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// NewCore takes up what the store had kept.
func NewCore(f fleet.Timing, id uint64, kept PersistedState, store Store, seed uint64, now float64) (c *Core, err error) {
	c = &Core{f: f, id: id, mem: raft.NewMemoryStorage(), store: store, rnd: rand.New(rand.NewPCG(seed, id)),
		voices: map[uint64]float64{}, pending: map[string][]command{}, heard: now - 10*electionLeast}
	defer c.guard(&err)
	if c.state, err = fleet.Restore(kept.Snapshot.GetData()); err != nil {
		return nil, err
	}
	c.before = c.state.Digest()
	if !raft.IsEmptySnap(kept.Snapshot) {
		if err = c.mem.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, fmt.Errorf("voter's snapshot: %w", err)
		}
	}
	if err = c.mem.SetHardState(kept.HardState); err != nil {
		return nil, fmt.Errorf("voter's promise: %w", err)
	}
	if err = c.mem.Append(kept.Entries); err != nil {
		return nil, fmt.Errorf("voter's entries: %w", err)
	}
	c.conf = pb.EnsureConfState(kept.Snapshot.GetMetadata().GetConfState())
	c.applied = kept.Snapshot.GetMetadata().GetIndex()
	c.saved = c.applied
	c.rn, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, PreVote: true,
		DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	c.deadline = now + c.draw()
	c.run(now)
	return c, c.fault
}

// guard turns raft's panics into a fault. It guards against a folder that is older than what this voter has promised
// and that nobody caught: raft panics then, and the dispatcher must not end with it.
func (c *Core) guard(err *error) {
	if v := recover(); v != nil {
		c.dead = true
		c.fault = fmt.Errorf("%w: %v", ErrVoterFailed, v)
		c.drop()
		if err != nil {
			*err = c.fault
		}
	}
}

func (c *Core) draw() float64 { return electionLeast * (1 + c.rnd.Float64()) }

// leads tells whether it leads, as far as it knows.
func (c *Core) leads() bool { return c.book != nil }

// Step does what is due and returns the time by which it must be called again.
func (c *Core) Tick(now float64) float64 {
	defer c.guard(nil)
	if c.dead {
		return now + retryStore
	}
	if c.held != nil && now < c.retryAt {
		return c.retryAt
	}
	c.run(now)
	if c.held != nil {
		return c.retryAt
	}
	switch {
	case c.leads() && now >= c.tickAt:
		c.tickAt = now + HeartbeatInterval
		c.rn.Tick()
		c.seat()
	case !c.leads() && now >= c.deadline:
		c.deadline = now + c.draw()
		_ = c.rn.Campaign() // one that cannot campaign now does so later
	}
	if c.leads() && len(c.asked) > 0 && now > c.askedAt+c.f.Lease {
		c.refuse(c.asked)
		c.asked = nil
	}
	c.run(now)
	c.ask(now)
	c.run(now)
	switch {
	case c.leads() && len(c.waiting) > 0 && len(c.asked) == 0:
		return min(c.tickAt, max(c.askedAt+readEvery, now))
	case c.leads():
		return c.tickAt
	}
	return c.deadline
}

// seat brings the consensus one step nearer to the voters that the history seats: one is added before another goes. Any
// leader goes on where the last one stopped.
func (c *Core) seat() {
	if !c.leads() || c.held != nil {
		return
	}
	wanted := map[uint64]bool{}
	for _, v := range c.state.Voters() {
		wanted[v.RaftID] = true
		if !slices.Contains(c.conf.GetVoters(), v.RaftID) {
			_ = c.rn.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(v.RaftID)}) // or with the next tick
			return
		}
	}
	for _, id := range c.conf.GetVoters() {
		if !wanted[id] && id == c.id {
			c.rn.TransferLeader(c.state.Voters()[0].RaftID) // who then removes this one
			return
		}
		if !wanted[id] {
			_ = c.rn.ProposeConfChange(&pb.ConfChange{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)})
			return
		}
	}
}

// ask has a majority say that this voter leads, for all beats that have come so far. Each such reading costs a message to each
// voter and one back; begun for each beat, the leader's time went into these and grew with the members.
func (c *Core) ask(now float64) {
	if !c.leads() || len(c.waiting) == 0 || len(c.asked) > 0 || c.held != nil || now < c.askedAt+readEvery {
		return
	}
	c.asked, c.waiting = c.waiting, nil
	c.askedAt, c.confirm = now, 0
	c.reads++
	c.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, c.reads))
}

// Receive takes another voter's message.
func (c *Core) Receive(now float64, data []byte) {
	defer c.guard(nil)
	var m pb.Message
	if c.dead || c.held != nil || proto.Unmarshal(data, &m) != nil || m.GetTo() != c.id || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if t := m.GetType(); (t == pb.MsgPreVote || t == pb.MsgVote) && string(m.GetContext()) != "CampaignTransfer" {
		// Who hears a leader helps no other to its place; this guards against a voter that is cut one way and campaigns
		// for ever.
		if c.leads() && c.majority(now, electionLeast) && len(c.conf.GetVoters()) > 1 || !c.leads() && c.lead != 0 && now < c.heard+electionLeast {
			return
		}
	}
	if err := c.rn.Step(&m); err != nil {
		return // of no voter of ours, or older than what is known
	}
	s := c.rn.BasicStatus()
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if s.Lead == m.GetFrom() {
			c.heard, c.deadline = now, now+c.draw()
		}
	case pb.MsgVote:
		if s.HardState.GetVote() == m.GetFrom() {
			c.deadline = now + c.draw()
		}
	default:
		if m.GetTerm() == s.HardState.GetTerm() {
			c.voices[m.GetFrom()] = now
		}
	}
	c.run(now)
}

// majority tells whether so many voters were heard of within the span, itself among them.
func (c *Core) majority(now, span float64) bool {
	heard := 0
	for _, id := range c.conf.GetVoters() {
		if at, ok := c.voices[id]; id == c.id || ok && now <= at+span {
			heard++
		}
	}
	return 2*heard > len(c.conf.GetVoters())
}

// SnapshotSent tells what became of a message with a snapshot.
func (c *Core) ReportSnapshot(now float64, to uint64, ok bool) {
	defer c.guard(nil)
	if c.dead || c.held != nil {
		return
	}
	how := raft.SnapshotFinish
	if !ok {
		how = raft.SnapshotFailure
	}
	c.rn.ReportSnapshot(to, how)
	c.run(now)
}

// Propose wants a command in the history. Done is called once.
func (c *Core) Propose(now float64, x fleet.Command, done func(fleet.Result, error)) {
	defer c.guard(nil)
	switch {
	case c.dead || c.held != nil:
		done(fleet.Result{}, c.fault)
		return
	case !c.leads():
		done(fleet.Result{}, ErrNotLeader)
		return
	case x.RequestID == "":
		done(fleet.Result{}, fmt.Errorf("%w: a request needs a number", fleet.ErrRefused))
		return
	}
	if err := c.rn.Propose(fleet.Encode(x)); err != nil {
		done(fleet.Result{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
		return
	}
	c.pending[x.RequestID] = append(c.pending[x.RequestID], command{x, done})
	c.run(now)
}

// Beat takes a member's. Answer is called once, after a majority has said that this voter leads.
func (c *Core) Heartbeat(now float64, b fleet.Heartbeat, answer func(fleet.LeaseRenewal, error)) {
	if c.dead || !c.leads() {
		answer(fleet.LeaseRenewal{}, ErrNotLeader)
		return
	}
	c.waiting = append(c.waiting, beat{b: b, received: now, answer: answer})
}

// Read has something done once a majority has said that this voter leads, so that it sees all that was answered before.
func (c *Core) ReadIndex(now float64, read func(error)) {
	if c.dead || !c.leads() {
		read(ErrNotLeader)
		return
	}
	c.waiting = append(c.waiting, beat{received: now, read: read})
}

// Take gives the messages to be sent. A leader that hears no majority says nothing as one for a while: so others find another
// one, even where they hear it. It answers them still: with other voters down, theirs may be the last votes that make a majority.
func (c *Core) TakeMessages(now float64) (out []Message) {
	out, c.out = c.out, nil
	if c.dead {
		return nil
	}
	if !c.leads() || c.majority(now, 2*electionLeast) {
		c.hushed = now
		return out
	}
	// By turns: others have the time to find another leader, and if its log is the longest and nobody else can lead, it goes on.
	if math.Mod(now-c.hushed, 5*electionLeast) < 3*electionLeast {
		out = slices.DeleteFunc(out, func(m Message) bool { return m.lead })
	}
	return out
}

// Moved tells, once, whether the history went on.
func (c *Core) HistoryChanged() (moved bool) {
	moved, c.moved = c.moved, false
	return moved
}

// run works off what raft wants done. What cannot be saved is held, and nothing else goes on until it is.
func (c *Core) run(now float64) {
	for c.held != nil || c.rn.HasReady() {
		if c.held == nil {
			rd := c.rn.Ready()
			c.held = &rd
		}
		rd := c.held
		if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			if err := c.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				c.fault, c.retryAt = fmt.Errorf("%w: %w", ErrVoterFailed, err), now+retryStore
				c.drop()
				return
			}
		}
		c.held, c.fault = nil, nil
		c.ready(now, rd)
	}
}

func (c *Core) ready(now float64, rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := fleet.Restore(rd.Snapshot.GetData())
		if err != nil {
			panic(err) // another voter's history is not ours
		}
		if err := c.mem.ApplySnapshot(rd.Snapshot); err != nil {
			panic(err)
		}
		c.state, c.recent, c.before, c.moved = state, nil, state.Digest(), true
		c.conf = rd.Snapshot.GetMetadata().GetConfState()
		c.applied = rd.Snapshot.GetMetadata().GetIndex()
		c.saved = c.applied
	}
	if rd.HardState != nil {
		if err := c.mem.SetHardState(rd.HardState); err != nil {
			panic(err)
		}
	}
	if err := c.mem.Append(rd.Entries); err != nil {
		panic(err)
	}
	if rd.SoftState != nil {
		c.stands(now, rd.SoftState)
	}
	for _, m := range rd.Messages {
		data, err := proto.Marshal(m)
		if err != nil {
			panic(err) // of its own
		}
		c.out = append(c.out, Message{To: m.GetTo(), Data: data, IsSnapshot: m.GetType() == pb.MsgSnap,
			lead: slices.Contains([]pb.MessageType{pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap}, m.GetType())})
	}
	for _, e := range rd.CommittedEntries {
		c.apply(e)
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.reads && len(c.asked) > 0 {
			c.confirm = max(r.Index, 1)
		}
	}
	c.rn.Advance(*rd)
	c.answer()
	if c.applied >= c.saved+compactEvery {
		c.compact()
	}
}

// stands notes who leads.
func (c *Core) stands(now float64, s *raft.SoftState) {
	c.lead = s.Lead
	leads := s.RaftState == raft.StateLeader
	switch {
	case leads && c.book == nil:
		c.book, c.tickAt = fleet.NewLeaseManager(c.f, now), now
		for _, id := range c.conf.GetVoters() {
			c.voices[id] = now
		}
	case !leads && c.book != nil:
		c.book, c.deadline = nil, now+c.draw()
		c.drop()
	}
}

// drop ends what waits for this voter as a leader.
func (c *Core) drop() {
	pending := c.pending
	c.pending = map[string][]command{}
	for _, request := range sorted(pending) {
		for _, x := range pending[request] {
			x.done(fleet.Result{}, ErrOutcomeUnknown)
		}
	}
	c.refuse(c.asked)
	c.refuse(c.waiting)
	c.asked, c.waiting = nil, nil
}

func (c *Core) refuse(beats []beat) {
	for _, b := range beats {
		if b.read != nil {
			b.read(ErrNotLeader)
			continue
		}
		b.answer(fleet.LeaseRenewal{}, ErrNotLeader)
	}
}

func (c *Core) apply(e *pb.Entry) {
	c.applied = e.GetIndex()
	if e.GetType() == pb.EntryConfChange {
		var x pb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &x); err != nil {
			panic(err)
		}
		c.conf = c.rn.ApplyConfChange(&x)
		return
	}
	if e.GetType() != pb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x fleet.Command
	if err := fleet.Decode(e.GetData(), &x); err != nil {
		panic(err) // a newer program's: this voter must not guess
	}
	was := c.state.Digest()
	result, entry, err := c.state.Apply(x)
	if entry != nil {
		if len(c.recent) == 0 {
			c.before = was
		}
		c.moved = true
		if c.recent = append(c.recent, *entry); len(c.recent) > 2*keepRecent {
			c.recent = slices.Clone(c.recent[keepRecent:])
			c.before = c.recent[0].PrevDigest
		}
	}
	for _, p := range c.pending[x.RequestID] {
		p.done(result, err)
	}
	delete(c.pending, x.RequestID)
}

// answer answers the beats that were asked for, once a majority has confirmed and all before that is applied.
func (c *Core) answer() {
	if c.confirm == 0 || c.applied < c.confirm || !c.leads() {
		return
	}
	beats := c.asked
	c.asked, c.confirm = nil, 0
	for _, b := range beats {
		if b.read != nil {
			b.read(nil)
			continue
		}
		r, unknown := c.book.Heartbeat(b.received, b.b, c.state)
		if unknown {
			c.admit(b)
			continue
		}
		b.answer(r, nil)
	}
}

// admit has a member in the history before it can have a lease; it is to beat again.
func (c *Core) admit(b beat) {
	x := fleet.Command{Kind: fleet.AdmitMember, RequestID: "admit " + b.b.RunID + " " + b.b.Address, RequestedBy: b.b.Member, Member: b.b.Member, Address: b.b.Address, IsolationPolicy: b.b.IsolationPolicy, RunID: b.b.RunID}
	if k := len(b.b.Runs) - 1; k >= 0 {
		x.IssuedAt, x.RunStartedAt = b.b.Runs[k].KnownUntil, b.b.Runs[k].StartedAt
	}
	if len(c.pending[x.RequestID]) == 0 {
		if c.rn.Propose(fleet.Encode(x)) == nil {
			c.pending[x.RequestID] = []command{{x, func(fleet.Result, error) {}}}
		}
	}
	b.answer(fleet.LeaseRenewal{NewestVersion: c.state.NewestVersion(), FencedVersion: c.state.FencedVersion(), Reason: "being admitted", RetryAfter: HeartbeatInterval}, nil)
}

// compact keeps a snapshot in place of old entries.
func (c *Core) compact() {
	snap, err := c.mem.CreateSnapshot(c.applied, c.conf, c.state.Snapshot())
	if err != nil {
		panic(err)
	}
	from := c.applied - compactKeep
	if err := c.store.Compact(snap, from); err != nil {
		return // it is tried again with the next entry
	}
	c.saved = c.applied
	if err := c.mem.Compact(from); err != nil && !errors.Is(err, raft.ErrCompacted) {
		panic(err)
	}
}

// Entries gives what comes after n in the history, or the whole state where that is not kept any longer. Nothing: there
// is nothing newer. Fork: the digest shows that the asker's history up to n is another one.
func (c *Core) EntriesAfter(n uint64, digest fleet.Digest) (entries []fleet.Entry, snapshot []byte, fork bool) {
	first := c.state.LastSeq() - uint64(len(c.recent))
	switch {
	case n > c.state.LastSeq(): // this voter is behind itself
		return nil, nil, false
	case n == 0 && c.state.LastSeq() == 0:
		return nil, nil, false
	case n < first || n == 0: // one that knows nothing does not know the first voters either
		return nil, c.state.Snapshot(), false
	}
	at := c.before
	if n > first {
		at = c.recent[n-first-1].Digest
	}
	return c.recent[n-first:], nil, at != digest
}

// State is the history as this voter has it; the caller must not change it.
func (c *Core) State() *fleet.State { return c.state }

// Book is the leader's; nil: this voter does not lead.
func (c *Core) Leases() *fleet.LeaseManager { return c.book }

// Lead is the voter that leads as far as is known here, 0 for none.
func (c *Core) Leader() uint64 { return c.lead }

// Fault is why it does not vote; nil: it does.
func (c *Core) Fault() error { return c.fault }

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
