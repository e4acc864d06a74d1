// This file owns the goroutine of a voter: it alone calls the core, keeps its time and hands its messages to the links. It
// must never wait for a link.

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

// Options say which voter this is.
type Options struct {
	Fleet      string
	Name       string
	Address    string
	Voters     []fleet.Voter // the first council, with addresses; seats are filled in
	Dir        string
	AddressMap map[string]string // where addresses are found from here
	Timing     fleet.Timing
	RunID      string
	Seed       uint64
	Clock      func() float64 // milliseconds, goes on through a suspension, never set
	UnixTime   func() float64 // the same as Unix time
}

// Bounds of a voter's goroutine.
const (
	inboxSize     = 4096
	peerQueue     = 256 // messages that wait for one link; what is beyond is lost, as messages may be
	voteWithin    = time.Second
	snapWithin    = 5 * time.Second
	helloWithin   = 500 * time.Millisecond
	helloPatience = 2 * time.Second        // for all others; then a majority has to do
	gather        = 240 * time.Millisecond // while the history moves fast it is told in lots, this far apart, half of it or more
	fast          = 500 * time.Millisecond // it does while two entries are no further apart, and as long after
	catchingUp    = 16                     // that get much at once
	muchEntries   = 64
	partBytes     = 256 << 10
	askWithin     = 3 * time.Second
	probeEvery    = 250.
	probeWithin   = 300 * time.Millisecond
	probesMost    = 8
	passWithin    = 300 * time.Millisecond
)

// Council is one voter at work.
type Node struct {
	o       Options
	ctx     context.Context
	stop    context.CancelFunc
	inbox   chan func()
	client  *fleetrpc.Client
	running sync.WaitGroup
	disk    *DiskStore // nil: there is none; the goroutine's, but for Seen
	core    *Core      // nil: it does not vote
	seat    uint64
	wants   uint64 // the seat that it asks for
	peers   map[uint64]*peer
	wake    chan struct{}   // closed when the history goes on
	moves   [2]atomic.Int64 // when it last did, and the time before: nanoseconds since the start
	began   time.Time
	busy    int // catching up
	probeAt float64
	probing int
	mu      sync.Mutex
	state   string
}

// peer is the link to another voter.
type peer struct {
	addr  string
	queue chan Message
}

// Start takes up the folder and votes as soon as it may.
func Start(o Options) (*Node, error) {
	for k, v := range o.Voters {
		o.Voters[k].RaftID = InitialRaftID(o.Fleet, v.Name)
	}
	c := &Node{o: o, inbox: make(chan func(), inboxSize), client: fleetrpc.NewClient(o.Fleet, o.AddressMap),
		peers: map[uint64]*peer{}, wake: make(chan struct{}), state: "starting", began: time.Now()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.running.Go(c.run)
	return c, nil
}

// Close ends it and lets the folder go.
func (c *Node) Close() {
	c.stop()
	c.client.Close()
	c.running.Wait()
	if c.disk != nil {
		c.disk.Close()
	}
}

// State says how it votes.
func (c *Node) Status() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.wants
}

func (c *Node) say(state string) {
	c.mu.Lock()
	was := c.state
	c.state = state
	c.mu.Unlock()
	if was != state {
		slog.Info("voter", "voter", c.o.Name, "state", state)
	}
}

// do has something done on the goroutine; false: it has ended.
func (c *Node) do(f func()) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *Node) run() {
	kept, ok := c.open()
	if !ok {
		for { // it answers that it does not vote
			select {
			case <-c.ctx.Done():
				return
			case f := <-c.inbox:
				f()
			}
		}
	}
	core, err := NewCore(c.o.Timing, c.seat, kept, c.disk, c.o.Seed, c.o.Clock())
	if err != nil {
		c.say("does not vote: " + err.Error())
	}
	c.core = core
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.o.Clock()
		at := now + 1000
		if c.core != nil {
			at = c.core.Tick(now)
			c.after(now)
		}
		timer.Reset(time.Duration(max(at-c.o.Clock(), 1) * 1e6))
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.inbox:
			f()
			for more := true; more; {
				select {
				case f := <-c.inbox:
					f()
				default:
					more = false
				}
			}
		case <-timer.C:
		}
	}
}

// after sees what a step brought about.
func (c *Node) after(now float64) {
	for _, m := range c.core.TakeMessages(now) {
		c.send(m)
	}
	if c.core.HistoryChanged() {
		c.moves[1].Store(c.moves[0].Load())
		c.moves[0].Store(int64(time.Since(c.began)))
		close(c.wake)
		c.wake = make(chan struct{})
	}
	switch fault := c.core.Fault(); {
	case fault != nil:
		c.say("does not vote: " + fault.Error())
	case c.core.Leases() != nil:
		c.say("leads")
	case c.core.Leader() != 0:
		c.say("follows a leader")
	default:
		c.say("votes, no leader")
	}
	if b := c.core.Leases(); b != nil && now >= c.probeAt {
		c.probeAt = now + probeEvery
		c.probe(b.SilentMembers(now, c.core.State()))
	}
}

// probe calls members that should have been heard of, so that a stalled one is told from one that cannot be reached.
func (c *Node) probe(silent []fleet.Member) {
	for _, m := range silent {
		if c.probing >= probesMost {
			return
		}
		c.probing++
		c.running.Go(func() {
			connects, err := c.client.Probe(m.Address, probeWithin)
			what := "its link to the leader, it answers there"
			switch {
			case err != nil && connects:
				what = "stalled, or its link swallows: it takes connections and says nothing"
			case err != nil:
				what = "no link, or no process: it cannot be reached"
			}
			c.do(func() {
				c.probing--
				if c.core != nil && c.core.Leases() != nil {
					c.core.Leases().RecordProbe(m.Name, what)
				}
			})
		})
	}
}

// open takes up the folder and finds out whether it may vote as the one it was. False: it does not.
func (c *Node) open() (kept PersistedState, ok bool) {
	var disk *DiskStore
	var runs uint64
	var fresh bool
	var err error
	for { // an older process of this member may still have it
		disk, kept, runs, fresh, err = OpenDiskStore(c.o.Dir, c.o.Name)
		if err == nil || errors.Is(err, ErrCorrupt) {
			break
		}
		c.say("waits for its folder: " + err.Error())
		if !c.pause(200 * time.Millisecond) {
			return kept, false
		}
	}
	if err != nil {
		c.say("does not vote: " + err.Error())
		return kept, false
	}
	c.disk = disk
	if c.seat = disk.RaftID(); c.seat == 0 {
		c.seat = InitialRaftID(c.o.Fleet, c.o.Name)
	}
	if fresh {
		return c.found()
	}
	runs++
	if err := disk.RecordStart(runs); err != nil {
		c.say("does not vote: " + err.Error())
		return kept, false
	}
	return kept, c.register(runs)
}

// pause serves the inbox meanwhile; false: it ends.
func (c *Node) pause(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return false
		case f := <-c.inbox:
			f()
		case <-timer.C:
			return true
		}
	}
}

// heard is another voter's answer to a hello.
type heard struct {
	voter  string
	answer fleetrpc.HelloReply
	err    error
}

// hello asks voters once; the answers come by the channel.
func (c *Node) hello(voters []fleet.Voter, starts uint64) <-chan heard {
	answers := make(chan heard, len(voters))
	for _, v := range voters {
		c.running.Go(func() {
			a, err := c.client.Hello(v.Address, fleetrpc.Hello{Voter: c.o.Name, Starts: starts, RunID: c.o.RunID}, helloWithin)
			if err == nil && a.Error != "" {
				err = errors.New(a.Error)
			}
			answers <- heard{v.Name, a, err}
		})
	}
	return answers
}

func (c *Node) others() (all []fleet.Voter) {
	for _, v := range c.o.Voters {
		if v.Name != c.o.Name {
			all = append(all, v)
		}
	}
	return all
}

// round asks those that have not answered yet, and serves the inbox meanwhile. False: it ends.
func (c *Node) round(left map[string]fleet.Voter, starts uint64, each func(heard)) bool {
	var all []fleet.Voter
	for _, name := range sorted(left) {
		all = append(all, left[name])
	}
	answers := c.hello(all, starts)
	for range all {
		select {
		case <-c.ctx.Done():
			return false
		case f := <-c.inbox:
			f()
			// The answer that this turn was for is still to come.
			for done := false; !done; {
				select {
				case <-c.ctx.Done():
					return false
				case f := <-c.inbox:
					f()
				case h := <-answers:
					each(h)
					done = true
				}
			}
		case h := <-answers:
			each(h)
		}
	}
	return true
}

// found begins with an empty folder. Only if every other voter says that it never heard of this one it votes as the one
// it is named to be; else its folder was lost with what it had promised, and it asks for a new seat.
func (c *Node) found() (PersistedState, bool) {
	left := map[string]fleet.Voter{}
	for _, v := range c.others() {
		left[v.Name] = v
	}
	lost := uint64(0)
	for len(left) > 0 && lost == 0 {
		c.say(fmt.Sprintf("new: waits for the word of %d other voters", len(left)))
		if !c.round(left, 0, func(h heard) {
			if h.err == nil {
				delete(left, h.voter)
				lost = max(lost, h.answer.KnownStarts)
			}
		}) || len(left) > 0 && lost == 0 && !c.pause(200*time.Millisecond) {
			return PersistedState{}, false
		}
	}
	first := InitialState(c.o.Fleet, c.o.Voters)
	if lost > 0 {
		first = EmptyState(c.o.Fleet)
	}
	err := c.disk.Init(c.o.Name, first)
	if err == nil && lost > 0 {
		c.seat = InitialRaftID(c.o.Fleet, c.o.Name+" "+c.o.RunID)
		err = c.disk.SetRaftID(c.seat)
	}
	if err == nil {
		err = c.disk.RecordStart(1)
	}
	if err != nil {
		c.say("does not vote: " + err.Error())
		return PersistedState{}, false
	}
	if lost > 0 {
		c.mu.Lock()
		c.wants = c.seat
		c.mu.Unlock()
		c.say("lost its folder: asks for a new seat")
		return first, true
	}
	return first, c.register(1)
}

// register tells the others of this start. One that knows of as many shows that the folder is older than what this
// voter has promised.
func (c *Node) register(runs uint64) bool {
	left := map[string]fleet.Voter{}
	for _, v := range c.others() {
		left[v.Name] = v
	}
	need := len(c.o.Voters) / 2 // with itself a majority
	answered, refused := 0, ""
	take := func(h heard) {
		switch {
		case h.err != nil:
		case h.answer.KnownStarts >= runs:
			refused = h.voter
		default:
			answered++
			delete(left, h.voter)
		}
	}
	for began := time.Now(); len(left) > 0 && refused == ""; {
		if answered >= need && time.Since(began) > helloPatience {
			break
		}
		c.say(fmt.Sprintf("waits for the word of %d other voters", len(left)))
		if !c.round(left, runs, take) || len(left) > 0 && refused == "" && !c.pause(100*time.Millisecond) {
			return false
		}
	}
	if refused != "" {
		c.say("does not vote: its folder is older than what it promised, by the word of " + refused)
		return false
	}
	if len(left) > 0 {
		c.running.Go(func() { c.late(left, runs) })
	}
	return true
}

// late goes on asking those that did not answer; a word against this voter that comes late still counts.
func (c *Node) late(left map[string]fleet.Voter, runs uint64) {
	for len(left) > 0 {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(time.Second):
		}
		var all []fleet.Voter
		for _, name := range sorted(left) {
			all = append(all, left[name])
		}
		answers := c.hello(all, runs)
		for range all {
			if h := <-answers; h.err == nil {
				if delete(left, h.voter); h.answer.KnownStarts >= runs {
					c.do(func() {
						c.core = nil
						c.say("does not vote: its folder is older than what it promised, by the word of " + h.voter)
					})
					return
				}
			}
		}
	}
}

// Hello answers another voter that starts.
func (c *Node) HandleHello(h fleetrpc.Hello) (a fleetrpc.HelloReply) {
	done := make(chan struct{})
	if !c.do(func() {
		defer close(done)
		if c.disk == nil {
			a.Error = "no folder yet"
			return
		}
		known, err := c.disk.RecordPeerStart(h.Voter, h.Starts, h.RunID)
		if a.KnownStarts = known; err != nil {
			a.Error = err.Error()
		}
	}) {
		a.Error = "ends"
		return a
	}
	select {
	case <-done:
	case <-c.ctx.Done():
		return fleetrpc.HelloReply{Error: "ends"}
	}
	return a
}

// Vote takes another voter's messages.
func (c *Node) HandleRaftMessages(v fleetrpc.RaftMessages) {
	c.do(func() {
		if c.core == nil {
			return
		}
		c.link(v.RaftID, v.FromAddress)
		for _, m := range v.Messages {
			c.core.Receive(c.o.Clock(), m)
		}
	})
}

// link makes or finds the link to a voter.
func (c *Node) link(seat uint64, addr string) *peer {
	p := c.peers[seat]
	if p == nil && addr != "" {
		p = &peer{addr: addr, queue: make(chan Message, peerQueue)}
		c.peers[seat] = p
		c.running.Go(func() { c.deliver(p) })
	}
	return p
}

func (c *Node) send(m Message) {
	p := c.peers[m.To]
	if p == nil {
		addr := ""
		for _, v := range c.core.State().Voters() {
			if v.RaftID == m.To {
				addr = v.Address
			}
		}
		if p = c.link(m.To, addr); p == nil {
			return // it has no seat any longer
		}
	}
	select {
	case p.queue <- m:
	default:
	}
}

// deliver writes to one voter what waits for it, all at once.
func (c *Node) deliver(p *peer) {
	for {
		var batch []Message
		select {
		case <-c.ctx.Done():
			return
		case m := <-p.queue:
			batch = append(batch, m)
		}
		size := len(batch[0].Data)
		for more := true; more && size < partBytes; {
			select {
			case m := <-p.queue:
				batch = append(batch, m)
				size += len(m.Data)
			default:
				more = false
			}
		}
		v, within := fleetrpc.RaftMessages{FromAddress: c.o.Address, RaftID: c.seat}, voteWithin
		for _, m := range batch {
			v.Messages = append(v.Messages, m.Data)
			if m.IsSnapshot {
				within = snapWithin
			}
		}
		err := c.client.SendRaftMessages(p.addr, v, within)
		for _, m := range batch {
			if m.IsSnapshot {
				c.do(func() {
					if c.core != nil {
						c.core.ReportSnapshot(c.o.Clock(), m.To, err == nil)
					}
				})
			}
		}
		if err != nil { // what waits is old by the time that the link is back
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

// leaderAddr is where the leader is found, as far as is known.
func (c *Node) leaderAddr() string {
	if c.core == nil {
		return ""
	}
	for _, v := range c.core.State().Voters() {
		if v.RaftID == c.core.Leader() {
			return v.Address
		}
	}
	return ""
}

// Beat answers a member's beat, once it is sure that this voter leads. One that does not passes it on: a member that is cut
// from the leader alone keeps its lease, which runs from its own sending in any case.
func (c *Node) HandleHeartbeat(ctx context.Context, b fleet.Heartbeat, via bool) fleetrpc.HeartbeatReply {
	a := c.beat(ctx, b)
	if a.NotLeader && a.LeaderAddress != "" && a.LeaderAddress != c.o.Address && !via {
		if passed, err := c.client.Heartbeat(a.LeaderAddress, b, true, passWithin); err == nil && !passed.NotLeader {
			passed.LeaderAddress = a.LeaderAddress
			return passed
		}
	}
	return a
}

func (c *Node) beat(ctx context.Context, b fleet.Heartbeat) (a fleetrpc.HeartbeatReply) {
	out := make(chan fleetrpc.HeartbeatReply, 1)
	if !c.do(func() {
		if c.core == nil {
			out <- fleetrpc.HeartbeatReply{NotLeader: true, Error: "does not vote"}
			return
		}
		c.core.Heartbeat(c.o.Clock(), b, func(r fleet.LeaseRenewal, err error) {
			if err != nil {
				out <- fleetrpc.HeartbeatReply{NotLeader: true, LeaderAddress: c.leaderAddr()}
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
	case <-c.ctx.Done():
		a = fleetrpc.HeartbeatReply{NotLeader: true, Error: "ends"}
	}
	return a
}

// hurried tells whether the history moves fast at the moment.
func (c *Node) hurried() bool {
	last, before := time.Duration(c.moves[0].Load()), time.Duration(c.moves[1].Load())
	return before > 0 && last-before < fast && time.Since(c.began)-last < fast
}

// lot waits, while the history moves fast, until there is more to tell at once. This guards against a fleet that starts, whose
// every admission would be one call of every member: they grew with the square of the members and buried the voters.
func (c *Node) lot(ctx context.Context) {
	if !c.hurried() {
		return
	}
	t := time.NewTimer(gather/2 + rand.N(gather/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

// Entries gives what comes after, and waits for it as long as the asker wants to.
func (c *Node) HandleEntries(ctx context.Context, q fleetrpc.EntriesRequest) fleetrpc.EntriesReply {
	end := time.NewTimer(min(time.Duration(max(q.Wait, 0)*1e6), fleetrpc.MaxPollWait))
	defer end.Stop()
	for {
		if q.Wait > 0 && q.AfterSeq > 0 { // who knows nothing yet, or asks without waiting, is told at once
			c.lot(ctx)
		}
		out := make(chan fleetrpc.EntriesReply, 1)
		var wake chan struct{}
		if !c.do(func() {
			if wake = c.wake; c.core == nil {
				out <- fleetrpc.EntriesReply{Error: "does not vote"}
				return
			}
			out <- c.batch(q)
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
		case <-c.ctx.Done():
			return fleetrpc.EntriesReply{Error: "ends"}
		}
		select {
		case <-wake:
		case <-end.C:
			return fleetrpc.EntriesReply{}
		case <-ctx.Done():
			return fleetrpc.EntriesReply{Error: "ends"}
		}
	}
}

// batch is what one call brings. So many get much at once, so that a fleet that comes back does not bury the voters.
func (c *Node) batch(q fleetrpc.EntriesRequest) (b fleetrpc.EntriesReply) {
	entries, snapshot, fork := c.core.EntriesAfter(q.AfterSeq, q.Digest)
	if fork {
		return fleetrpc.EntriesReply{Diverged: true}
	}
	if len(entries) > muchEntries || snapshot != nil {
		if c.busy >= catchingUp {
			return fleetrpc.EntriesReply{Busy: true}
		}
		c.busy++
		time.AfterFunc(20*time.Millisecond, func() { c.do(func() { c.busy-- }) }) // about what writing it takes
	}
	if snapshot != nil {
		b.SnapshotSize, b.SnapshotSeq = len(snapshot), c.core.State().LastSeq()
		if q.SnapshotSeq == b.SnapshotSeq && q.SnapshotOffset > 0 && q.SnapshotOffset < len(snapshot) {
			b.SnapshotOffset = q.SnapshotOffset
		}
		b.SnapshotPart = snapshot[b.SnapshotOffset:min(b.SnapshotOffset+partBytes, len(snapshot))]
		return b
	}
	size := 0
	for k := range entries {
		if size += len(entries[k].Command.Text) + 256; size > partBytes && k > 0 {
			entries = entries[:k]
			break
		}
	}
	b.Entries = entries
	return b
}

// Ask answers an operator as the leader.
func (c *Node) HandleAdmin(ctx context.Context, q fleetrpc.AdminRequest) (a fleetrpc.AdminReply) {
	out := make(chan fleetrpc.AdminReply, 1)
	ask := func() {
		if c.core == nil || c.core.Leases() == nil {
			out <- fleetrpc.AdminReply{NoLeader: true}
			return
		}
		x := q.Command
		if x.Kind == 0 {
			c.core.ReadIndex(c.o.Clock(), func(err error) {
				if err != nil {
					out <- fleetrpc.AdminReply{NoLeader: true}
					return
				}
				out <- c.tell(q, fleet.Result{})
			})
			return
		}
		if x.Kind == fleet.AddVoter && x.RaftID == 0 {
			if x.RaftID, x.Address = c.core.Leases().RequestedRaftID(x.Member); x.RaftID == 0 {
				out <- fleetrpc.AdminReply{Error: fmt.Sprintf("%s asks for no seat: it has not lost its folder, or was not heard of", x.Member)}
				return
			}
		}
		c.core.Propose(c.o.Clock(), x, func(r fleet.Result, err error) {
			switch {
			case err == nil:
				out <- c.tell(q, r)
			case errors.Is(err, fleet.ErrRefused):
				out <- fleetrpc.AdminReply{Error: err.Error()}
			default:
				out <- fleetrpc.AdminReply{NoLeader: true, Error: err.Error()}
			}
		})
	}
	if !c.do(ask) {
		return fleetrpc.AdminReply{NoLeader: true}
	}
	timer := time.NewTimer(askWithin)
	defer timer.Stop()
	select {
	case a = <-out:
	case <-timer.C:
		a = fleetrpc.AdminReply{NoLeader: true, Error: ErrOutcomeUnknown.Error()}
	case <-ctx.Done():
		a = fleetrpc.AdminReply{NoLeader: true}
	case <-c.ctx.Done():
		a = fleetrpc.AdminReply{NoLeader: true}
	}
	return a
}

// tell says how the fleet stands, after a majority has confirmed that this voter leads.
func (c *Node) tell(q fleetrpc.AdminRequest, r fleet.Result) (a fleetrpc.AdminReply) {
	now, unix, s, b := c.o.Clock(), c.o.UnixTime(), c.core.State(), c.core.Leases()
	a.Result = r
	if b == nil { // it was the leader when the command was agreed on
		return a
	}
	st := &fleetrpc.FleetStatus{Fleet: s.Fleet(), LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), FencedVersion: s.FencedVersion(), Leader: c.o.Name,
		Members: b.MemberStatuses(now, s)}
	if st.FencedVersion > 0 {
		st.FenceCompleteAt, st.FenceWaits = b.FenceStatus(now, unix, st.FencedVersion, s)
	}
	for _, v := range s.Voters() {
		at, ok := c.core.voices[v.RaftID]
		heard := -1.
		if v.RaftID == c.seat {
			heard = 0
		} else if ok {
			heard = now - at
		}
		st.Voters = append(st.Voters, fleetrpc.VoterStatus{Name: v.Name, SinceContact: heard})
	}
	a.Status = st
	if q.Audit {
		audit := b.Audit(now, unix, s, q.AuditVersion, q.AuditSince)
		a.Audit = &audit
	}
	return a
}
