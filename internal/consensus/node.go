// This file implements the goroutine of a voter. Only this goroutine calls the core, drives its timers and
// queues its messages for the connections. It must never wait for a connection.

package consensus

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetrpc"
)

// Options configure a voter.
type Options struct {
	Fleet      string
	Name       string
	Address    string
	Voters     []fleet.Voter // initial voters, with addresses; Start fills in their raft IDs
	Dir        string
	AddressMap map[string]string // addresses to dial in place of those configured
	Timing     fleet.Timing
	RunID      string
	Seed       uint64
	Clock      func() float64 // milliseconds; continues through a suspension and is never set
	UnixTime   func() float64 // the time of Clock as Unix time
}

// Limits and timeouts of a voter.
const (
	taskQueueSize   = 4096
	peerQueueSize   = 256 // messages queued for one peer; further ones are dropped, which raft tolerates
	raftTimeout     = time.Second
	snapshotTimeout = 5 * time.Second
	helloTimeout    = 500 * time.Millisecond
	helloFullWait   = 2 * time.Second // for replies of all other voters; after that a majority is enough
	// During a burst of entries a member waits a random time, between half of this and this, before its
	// reply.
	batchInterval = 240 * time.Millisecond
	// Entries that follow each other within this time form a burst, which ends this long after the last one.
	burstInterval     = 500 * time.Millisecond
	maxLargeReplies   = 16        // concurrent large replies
	largeReplyEntries = 64        // a reply is large with more entries than this, or with a snapshot
	maxMessageBytes   = 256 << 10 // of a batch of raft messages, a reply with entries, or a part of a snapshot
	adminTimeout      = 3 * time.Second
	probeInterval     = 250.
	probeTimeout      = 300 * time.Millisecond
	maxProbes         = 8
	forwardTimeout    = 300 * time.Millisecond
)

// Node runs one voter.
type Node struct {
	opts            Options
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           chan func()
	client          *fleetrpc.Client
	wg              sync.WaitGroup
	store           *DiskStore // nil: not open; used by the goroutine only
	core            *Core      // nil: this node does not vote
	raftID          uint64
	requestedRaftID uint64 // raft ID that it requests after the loss of its directory
	peers           map[uint64]*peer
	historyChanged  chan struct{}   // closed when the history changes
	lastChanges     [2]atomic.Int64 // times of the last two changes, newest first: nanoseconds since the start
	startedAt       time.Time
	largeReplies    int // large replies in progress
	nextProbe       float64
	activeProbes    int
	mu              sync.Mutex
	status          string
}

// peer is the connection to another voter.
type peer struct {
	addr  string
	queue chan Message
}

// Start starts a voter and returns at once; the error is always nil. The voter opens its directory in the
// background and votes as soon as it is safe. Status shows failures. Start sets the raft IDs in opts.Voters,
// which the caller shares.
func Start(opts Options) (*Node, error) {
	for k, v := range opts.Voters {
		opts.Voters[k].RaftID = DeriveRaftID(opts.Fleet, v.Name)
	}
	n := &Node{opts: opts, tasks: make(chan func(), taskQueueSize), client: fleetrpc.NewClient(opts.Fleet, opts.AddressMap),
		peers: map[uint64]*peer{}, historyChanged: make(chan struct{}), status: "starting", startedAt: time.Now()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Go(n.run)
	return n, nil
}

// Close stops the voter and releases its directory.
func (n *Node) Close() {
	n.cancel()
	n.client.Close()
	n.wg.Wait()
	if n.store != nil {
		n.store.Close()
	}
}

// Status returns the voter's status and the raft ID that it requests, 0 for none.
func (n *Node) Status() (string, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status, n.requestedRaftID
}

func (n *Node) setStatus(status string) {
	n.mu.Lock()
	previous := n.status
	n.status = status
	n.mu.Unlock()
	if previous != status {
		slog.Info("voter", "voter", n.opts.Name, "state", status)
	}
}

// post runs a task on the goroutine. It returns false if the node has stopped.
func (n *Node) post(task func()) bool {
	select {
	case n.tasks <- task:
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *Node) run() {
	persisted, ok := n.openStore()
	if !ok {
		for { // the tasks reply that this node does not vote
			select {
			case <-n.ctx.Done():
				return
			case task := <-n.tasks:
				task()
			}
		}
	}
	core, err := NewCore(n.opts.Timing, n.raftID, persisted, n.store, n.opts.Seed, n.opts.Clock())
	if err != nil {
		n.setStatus("does not vote: " + err.Error())
	}
	n.core = core
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := n.opts.Clock()
		wakeAt := now + 1000
		if n.core != nil {
			wakeAt = n.core.Tick(now)
			n.afterTick(now)
		}
		timer.Reset(time.Duration(max(wakeAt-n.opts.Clock(), 1) * 1e6))
		select {
		case <-n.ctx.Done():
			return
		case task := <-n.tasks:
			task()
			for more := true; more; {
				select {
				case task := <-n.tasks:
					task()
				default:
					more = false
				}
			}
		case <-timer.C:
		}
	}
}

// afterTick handles the results of a tick.
func (n *Node) afterTick(now float64) {
	for _, m := range n.core.TakeMessages(now) {
		n.send(m)
	}
	if n.core.HistoryChanged() {
		n.lastChanges[1].Store(n.lastChanges[0].Load())
		n.lastChanges[0].Store(int64(time.Since(n.startedAt)))
		close(n.historyChanged)
		n.historyChanged = make(chan struct{})
	}
	switch fault := n.core.Fault(); {
	case fault != nil:
		n.setStatus("does not vote: " + fault.Error())
	case n.core.Leases() != nil:
		n.setStatus("leads")
	case n.core.Leader() != 0:
		n.setStatus("follows a leader")
	default:
		n.setStatus("votes, no leader")
	}
	if leases := n.core.Leases(); leases != nil && now >= n.nextProbe {
		n.nextProbe = now + probeInterval
		n.probeMembers(leases.SilentMembers(now, n.core.State()))
	}
}

// probeMembers connects to silent members, to tell a stalled one from one that cannot be reached.
func (n *Node) probeMembers(silent []fleet.Member) {
	for _, m := range silent {
		if n.activeProbes >= maxProbes {
			return
		}
		n.activeProbes++
		n.wg.Go(func() {
			connects, err := n.client.Probe(m.Address, probeTimeout)
			result := "its link to the leader, it answers there"
			switch {
			case err != nil && connects:
				result = "stalled, or its link swallows: it takes connections and says nothing"
			case err != nil:
				result = "no link, or no process: it cannot be reached"
			}
			n.post(func() {
				n.activeProbes--
				if n.core != nil && n.core.Leases() != nil {
					n.core.Leases().RecordProbe(m.Name, result)
				}
			})
		})
	}
}

// openStore opens the directory and determines whether this voter may vote under its identity. It returns
// false if not.
func (n *Node) openStore() (persisted PersistedState, ok bool) {
	var store *DiskStore
	var starts uint64
	var fresh bool
	var err error
	for { // a predecessor process of this member may still hold the lock
		store, persisted, starts, fresh, err = OpenDiskStore(n.opts.Dir, n.opts.Name)
		if err == nil || errors.Is(err, ErrCorrupt) {
			break
		}
		n.setStatus("waits for its folder: " + err.Error())
		if !n.wait(200 * time.Millisecond) {
			return persisted, false
		}
	}
	if err != nil {
		n.setStatus("does not vote: " + err.Error())
		return persisted, false
	}
	n.store = store
	if n.raftID = store.RaftID(); n.raftID == 0 {
		n.raftID = DeriveRaftID(n.opts.Fleet, n.opts.Name)
	}
	if fresh {
		return n.initStore()
	}
	starts++
	if err := store.RecordStart(starts); err != nil {
		n.setStatus("does not vote: " + err.Error())
		return persisted, false
	}
	return persisted, n.registerStart(starts)
}

// wait runs tasks for the given time. It returns false if the node stops.
func (n *Node) wait(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return false
		case task := <-n.tasks:
			task()
		case <-timer.C:
			return true
		}
	}
}

// helloResult is another voter's reply to a hello.
type helloResult struct {
	voter string
	reply fleetrpc.HelloReply
	err   error
}

// sendHellos sends a hello to each voter once. The results come on the channel.
func (n *Node) sendHellos(voters []fleet.Voter, starts uint64) <-chan helloResult {
	results := make(chan helloResult, len(voters))
	for _, v := range voters {
		n.wg.Go(func() {
			a, err := n.client.Hello(v.Address, fleetrpc.Hello{Voter: n.opts.Name, Starts: starts, RunID: n.opts.RunID}, helloTimeout)
			if err == nil && a.Error != "" {
				err = errors.New(a.Error)
			}
			results <- helloResult{v.Name, a, err}
		})
	}
	return results
}

func (n *Node) otherVoters() (voters []fleet.Voter) {
	for _, v := range n.opts.Voters {
		if v.Name != n.opts.Name {
			voters = append(voters, v)
		}
	}
	return voters
}

// helloRound sends a hello to the voters that have not answered, and runs tasks meanwhile. It returns false
// if the node stops.
func (n *Node) helloRound(unanswered map[string]fleet.Voter, starts uint64, each func(helloResult)) bool {
	var voters []fleet.Voter
	for _, name := range sortedKeys(unanswered) {
		voters = append(voters, unanswered[name])
	}
	results := n.sendHellos(voters, starts)
	for range voters {
		select {
		case <-n.ctx.Done():
			return false
		case task := <-n.tasks:
			task()
			// The result for this iteration is still to come.
			for done := false; !done; {
				select {
				case <-n.ctx.Done():
					return false
				case task := <-n.tasks:
					task()
				case h := <-results:
					each(h)
					done = true
				}
			}
		case h := <-results:
			each(h)
		}
	}
	return true
}

// initStore initializes an empty directory. The voter uses its initial raft ID only if every other voter
// replies that it has never seen this voter start. Otherwise the directory was lost with its votes, and the
// voter requests a new raft ID.
func (n *Node) initStore() (PersistedState, bool) {
	unanswered := map[string]fleet.Voter{}
	for _, v := range n.otherVoters() {
		unanswered[v.Name] = v
	}
	knownStarts := uint64(0)
	for len(unanswered) > 0 && knownStarts == 0 {
		n.setStatus(fmt.Sprintf("new: waits for the word of %d other voters", len(unanswered)))
		if !n.helloRound(unanswered, 0, func(h helloResult) {
			if h.err == nil {
				delete(unanswered, h.voter)
				knownStarts = max(knownStarts, h.reply.KnownStarts)
			}
		}) || len(unanswered) > 0 && knownStarts == 0 && !n.wait(200*time.Millisecond) {
			return PersistedState{}, false
		}
	}
	first := InitialState(n.opts.Fleet, n.opts.Voters)
	if knownStarts > 0 {
		first = EmptyState(n.opts.Fleet)
	}
	err := n.store.Init(n.opts.Name, first)
	if err == nil && knownStarts > 0 {
		n.raftID = DeriveRaftID(n.opts.Fleet, n.opts.Name+" "+n.opts.RunID)
		err = n.store.SetRaftID(n.raftID)
	}
	if err == nil {
		err = n.store.RecordStart(1)
	}
	if err != nil {
		n.setStatus("does not vote: " + err.Error())
		return PersistedState{}, false
	}
	if knownStarts > 0 {
		n.mu.Lock()
		n.requestedRaftID = n.raftID
		n.mu.Unlock()
		n.setStatus("lost its folder: asks for a new seat")
		return first, true
	}
	return first, n.registerStart(1)
}

// registerStart reports this start to the other voters. If one of them already knows this many starts or
// more, the directory is outdated: it lacks votes or entries that this voter has acknowledged.
func (n *Node) registerStart(starts uint64) bool {
	unanswered := map[string]fleet.Voter{}
	for _, v := range n.otherVoters() {
		unanswered[v.Name] = v
	}
	need := len(n.opts.Voters) / 2 // a majority together with this voter
	answered, refusedBy := 0, ""
	take := func(h helloResult) {
		switch {
		case h.err != nil:
		case h.reply.KnownStarts >= starts:
			refusedBy = h.voter
		default:
			answered++
			delete(unanswered, h.voter)
		}
	}
	for began := time.Now(); len(unanswered) > 0 && refusedBy == ""; {
		if answered >= need && time.Since(began) > helloFullWait {
			break
		}
		n.setStatus(fmt.Sprintf("waits for the word of %d other voters", len(unanswered)))
		if !n.helloRound(unanswered, starts, take) || len(unanswered) > 0 && refusedBy == "" && !n.wait(100*time.Millisecond) {
			return false
		}
	}
	if refusedBy != "" {
		n.setStatus("does not vote: its folder is older than what it promised, by the word of " + refusedBy)
		return false
	}
	if len(unanswered) > 0 {
		n.wg.Go(func() { n.registerRemaining(unanswered, starts) })
	}
	return true
}

// registerRemaining keeps sending hellos to voters that did not answer. A delayed reply that shows an
// outdated directory still stops this voter.
func (n *Node) registerRemaining(unanswered map[string]fleet.Voter, starts uint64) {
	for len(unanswered) > 0 {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(time.Second):
		}
		var voters []fleet.Voter
		for _, name := range sortedKeys(unanswered) {
			voters = append(voters, unanswered[name])
		}
		results := n.sendHellos(voters, starts)
		for range voters {
			if h := <-results; h.err == nil {
				if delete(unanswered, h.voter); h.reply.KnownStarts >= starts {
					n.post(func() {
						n.core = nil
						n.setStatus("does not vote: its folder is older than what it promised, by the word of " + h.voter)
					})
					return
				}
			}
		}
	}
}

// HandleHello answers another voter that starts.
func (n *Node) HandleHello(h fleetrpc.Hello) (a fleetrpc.HelloReply) {
	done := make(chan struct{})
	if !n.post(func() {
		defer close(done)
		if n.store == nil {
			a.Error = "no folder yet"
			return
		}
		known, err := n.store.RecordPeerStart(h.Voter, h.Starts, h.RunID)
		if a.KnownStarts = known; err != nil {
			a.Error = err.Error()
		}
	}) {
		a.Error = "ends"
		return a
	}
	select {
	case <-done:
	case <-n.ctx.Done():
		return fleetrpc.HelloReply{Error: "ends"}
	}
	return a
}

// HandleRaftMessages handles raft messages from another voter.
func (n *Node) HandleRaftMessages(v fleetrpc.RaftMessages) {
	n.post(func() {
		if n.core == nil {
			return
		}
		n.peerFor(v.RaftID, v.FromAddress)
		for _, m := range v.Messages {
			n.core.Receive(n.opts.Clock(), m)
		}
	})
}

// peerFor returns the connection to a voter, and creates it if the address is known.
func (n *Node) peerFor(raftID uint64, addr string) *peer {
	p := n.peers[raftID]
	if p == nil && addr != "" {
		p = &peer{addr: addr, queue: make(chan Message, peerQueueSize)}
		n.peers[raftID] = p
		n.wg.Go(func() { n.deliverTo(p) })
	}
	return p
}

func (n *Node) send(m Message) {
	p := n.peers[m.To]
	if p == nil {
		addr := ""
		for _, v := range n.core.State().Voters() {
			if v.RaftID == m.To {
				addr = v.Address
			}
		}
		if p = n.peerFor(m.To, addr); p == nil {
			return // no longer a voter
		}
	}
	select {
	case p.queue <- m:
	default:
	}
}

// deliverTo sends the queued messages of one voter, in batches.
func (n *Node) deliverTo(p *peer) {
	for {
		var batch []Message
		select {
		case <-n.ctx.Done():
			return
		case m := <-p.queue:
			batch = append(batch, m)
		}
		size := len(batch[0].Data)
		for more := true; more && size < maxMessageBytes; {
			select {
			case m := <-p.queue:
				batch = append(batch, m)
				size += len(m.Data)
			default:
				more = false
			}
		}
		v, timeout := fleetrpc.RaftMessages{FromAddress: n.opts.Address, RaftID: n.raftID}, raftTimeout
		for _, m := range batch {
			v.Messages = append(v.Messages, m.Data)
			if m.IsSnapshot {
				timeout = snapshotTimeout
			}
		}
		err := n.client.SendRaftMessages(p.addr, v, timeout)
		for _, m := range batch {
			if m.IsSnapshot {
				n.post(func() {
					if n.core != nil {
						n.core.ReportSnapshot(n.opts.Clock(), m.To, err == nil)
					}
				})
			}
		}
		if err != nil { // the queued messages would be outdated by the time that the connection is back
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

// leaderAddr returns the address of the leader, if known.
func (n *Node) leaderAddr() string {
	if n.core == nil {
		return ""
	}
	for _, v := range n.core.State().Voters() {
		if v.RaftID == n.core.Leader() {
			return v.Address
		}
	}
	return ""
}

// HandleHeartbeat answers a member's heartbeat after a quorum has confirmed that this voter is the leader. If
// this voter is not the leader, it forwards the heartbeat to the leader, so that a member that reaches only
// another voter keeps its lease. The lease runs from the time when the member sent the heartbeat, in either
// case.
func (n *Node) HandleHeartbeat(ctx context.Context, hb fleet.Heartbeat, forwarded bool) fleetrpc.HeartbeatReply {
	a := n.awaitHeartbeat(ctx, hb)
	if a.NotLeader && a.LeaderAddress != "" && a.LeaderAddress != n.opts.Address && !forwarded {
		if reply, err := n.client.Heartbeat(a.LeaderAddress, hb, true, forwardTimeout); err == nil && !reply.NotLeader {
			reply.LeaderAddress = a.LeaderAddress
			return reply
		}
	}
	return a
}

func (n *Node) awaitHeartbeat(ctx context.Context, hb fleet.Heartbeat) (a fleetrpc.HeartbeatReply) {
	out := make(chan fleetrpc.HeartbeatReply, 1)
	if !n.post(func() {
		if n.core == nil {
			out <- fleetrpc.HeartbeatReply{NotLeader: true, Error: "does not vote"}
			return
		}
		n.core.QueueHeartbeat(n.opts.Clock(), hb, func(r fleet.LeaseRenewal, err error) {
			if err != nil {
				out <- fleetrpc.HeartbeatReply{NotLeader: true, LeaderAddress: n.leaderAddr()}
				return
			}
			out <- fleetrpc.HeartbeatReply{Renewal: r}
		})
	}) {
		return fleetrpc.HeartbeatReply{NotLeader: true, Error: "ends"}
	}
	select {
	case a = <-out:
	case <-ctx.Done():
		a = fleetrpc.HeartbeatReply{NotLeader: true, Error: "ends"}
	case <-n.ctx.Done():
		a = fleetrpc.HeartbeatReply{NotLeader: true, Error: "ends"}
	}
	return a
}

// inBurst reports whether entries currently follow each other quickly.
func (n *Node) inBurst() bool {
	last, before := time.Duration(n.lastChanges[0].Load()), time.Duration(n.lastChanges[1].Load())
	return before > 0 && last-before < burstInterval && time.Since(n.startedAt)-last < burstInterval
}

// awaitBatch waits during a burst of entries, so that one reply carries several. It prevents an overload of
// the voters at a fleet's start: otherwise each admission would cause a new call by every member, and the
// number of calls would grow with the square of the number of members.
func (n *Node) awaitBatch(ctx context.Context) {
	if !n.inBurst() {
		return
	}
	t := time.NewTimer(batchInterval/2 + rand.N(batchInterval/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
}

// HandleEntries returns the entries after the requested one, and waits for new ones as long as the caller
// asks.
func (n *Node) HandleEntries(ctx context.Context, q fleetrpc.EntriesRequest) fleetrpc.EntriesReply {
	end := time.NewTimer(min(time.Duration(max(q.Wait, 0)*1e6), fleetrpc.MaxPollWait))
	defer end.Stop()
	for {
		if q.Wait > 0 && q.AfterSeq > 0 { // callers without entries, or that do not wait, are answered at once
			n.awaitBatch(ctx)
		}
		out := make(chan fleetrpc.EntriesReply, 1)
		var historyChanged chan struct{}
		if !n.post(func() {
			if historyChanged = n.historyChanged; n.core == nil {
				out <- fleetrpc.EntriesReply{Error: "does not vote"}
				return
			}
			out <- n.entriesReply(q)
		}) {
			return fleetrpc.EntriesReply{Error: "ends"}
		}
		select {
		case b := <-out:
			if len(b.Entries) > 0 || b.SnapshotSize > 0 || b.Diverged || b.Busy || b.Error != "" {
				return b
			}
		case <-ctx.Done():
			return fleetrpc.EntriesReply{Error: "ends"}
		case <-n.ctx.Done():
			return fleetrpc.EntriesReply{Error: "ends"}
		}
		select {
		case <-historyChanged:
		case <-end.C:
			return fleetrpc.EntriesReply{}
		case <-ctx.Done():
			return fleetrpc.EntriesReply{Error: "ends"}
		}
	}
}

// entriesReply returns the reply to one call. The number of concurrent large replies is limited, so that many
// members that reconnect at once do not overload the voters.
func (n *Node) entriesReply(q fleetrpc.EntriesRequest) (b fleetrpc.EntriesReply) {
	entries, snapshot, diverged := n.core.EntriesAfter(q.AfterSeq, q.Digest)
	if diverged {
		return fleetrpc.EntriesReply{Diverged: true}
	}
	if len(entries) > largeReplyEntries || snapshot != nil {
		if n.largeReplies >= maxLargeReplies {
			return fleetrpc.EntriesReply{Busy: true}
		}
		n.largeReplies++
		// about the time that writing the reply takes
		time.AfterFunc(20*time.Millisecond, func() { n.post(func() { n.largeReplies-- }) })
	}
	if snapshot != nil {
		b.SnapshotSize, b.SnapshotSeq = len(snapshot), n.core.State().LastSeq()
		if q.SnapshotSeq == b.SnapshotSeq && q.SnapshotOffset > 0 && q.SnapshotOffset < len(snapshot) {
			b.SnapshotOffset = q.SnapshotOffset
		}
		b.SnapshotPart = snapshot[b.SnapshotOffset:min(b.SnapshotOffset+maxMessageBytes, len(snapshot))]
		return b
	}
	size := 0
	for k := range entries {
		if size += len(entries[k].Command.Text) + 256; size > maxMessageBytes && k > 0 {
			entries = entries[:k]
			break
		}
	}
	b.Entries = entries
	return b
}

// HandleAdmin answers an operator's request if this voter is the leader.
func (n *Node) HandleAdmin(ctx context.Context, q fleetrpc.AdminRequest) (a fleetrpc.AdminReply) {
	out := make(chan fleetrpc.AdminReply, 1)
	task := func() {
		if n.core == nil || n.core.Leases() == nil {
			out <- fleetrpc.AdminReply{NoLeader: true}
			return
		}
		cmd := q.Command
		if cmd.Kind == 0 {
			n.core.ReadIndex(n.opts.Clock(), func(err error) {
				if err != nil {
					out <- fleetrpc.AdminReply{NoLeader: true}
					return
				}
				out <- n.adminReply(q, fleet.Result{})
			})
			return
		}
		if cmd.Kind == fleet.AddVoter && cmd.RaftID == 0 {
			if cmd.RaftID, cmd.Address = n.core.Leases().RequestedRaftID(cmd.Member); cmd.RaftID == 0 {
				out <- fleetrpc.AdminReply{Error: fmt.Sprintf("%s asks for no seat: it has not lost its folder, or was not heard of", cmd.Member)}
				return
			}
		}
		n.core.Propose(n.opts.Clock(), cmd, func(r fleet.Result, err error) {
			switch {
			case err == nil:
				out <- n.adminReply(q, r)
			case errors.Is(err, fleet.ErrRefused):
				out <- fleetrpc.AdminReply{Error: err.Error()}
			default:
				out <- fleetrpc.AdminReply{NoLeader: true, Error: err.Error()}
			}
		})
	}
	if !n.post(task) {
		return fleetrpc.AdminReply{NoLeader: true}
	}
	timer := time.NewTimer(adminTimeout)
	defer timer.Stop()
	select {
	case a = <-out:
	case <-timer.C:
		a = fleetrpc.AdminReply{NoLeader: true, Error: ErrOutcomeUnknown.Error()}
	case <-ctx.Done():
		a = fleetrpc.AdminReply{NoLeader: true}
	case <-n.ctx.Done():
		a = fleetrpc.AdminReply{NoLeader: true}
	}
	return a
}

// adminReply returns the fleet's status. The caller has had a quorum confirm that this voter is the leader.
func (n *Node) adminReply(q fleetrpc.AdminRequest, r fleet.Result) (a fleetrpc.AdminReply) {
	now, unixNow, s, leases := n.opts.Clock(), n.opts.UnixTime(), n.core.State(), n.core.Leases()
	a.Result = r
	if leases == nil { // it was the leader when the command was committed
		return a
	}
	st := &fleetrpc.FleetStatus{Fleet: s.Fleet(), LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), FencedVersion: s.FencedVersion(), Leader: n.opts.Name,
		Members: leases.MemberStatuses(now, s)}
	if st.FencedVersion > 0 {
		st.FenceCompleteAt, st.FenceWaits = leases.FenceStatus(now, unixNow, st.FencedVersion, s)
	}
	for _, v := range s.Voters() {
		at, ok := n.core.peerContact[v.RaftID]
		sinceContact := -1.
		if v.RaftID == n.raftID {
			sinceContact = 0
		} else if ok {
			sinceContact = now - at
		}
		st.Voters = append(st.Voters, fleetrpc.VoterStatus{Name: v.Name, SinceContact: sinceContact})
	}
	a.Status = st
	if q.Audit {
		audit := leases.Audit(now, unixNow, s, q.AuditVersion, q.AuditSince)
		a.Audit = &audit
	}
	return a
}
