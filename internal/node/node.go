// Package node is the dispatcher as a running program, without a protocol. Its one goroutine, the
// reducer, owns the Dispatcher and every work item, hand-off, timer and phase: whatever happens comes in
// by its queue as a small typed value, and only it changes state. Reads and writes are effects that it asks
// a Front for. It must never block on a socket or a queue, parse or format a message, or decide where a work
// item goes: the Dispatcher does that, called at most once per grain.
package node

import (
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleet"
	"weldmast/internal/metrics"
)

// Phase is where the program stands between its start and its exit.
type Phase int32

// The phases, in their order.
const (
	Starting Phase = iota // no list of workers yet
	Serving
	Draining // told to stop: answers what it has taken
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "stopped"}[p]
}

// Times of the program itself, in milliseconds; what the operators set is in the settings.
const (
	knownAfter  = 500  // an old list must do when discovery has said nothing for so long
	acceptAfter = 500  // told to stop, it takes work for so long at least: clients may not know yet
	killCap     = 3000 // it is killed after the longest deadline, or this if that is longer,
	killGrace   = 700  // and this more
	killMargin  = 200  // all is answered so long before
	handEvery   = 50   // what could not be handed over is looked at again after this time
	fullPause   = 1000 // with as much open as may be, a client is told to come back after this time
	gateEvery   = 10   // the gate is looked at so often while there is work
	poolEvery   = 100  // the figures of the workers are at most so old, and a round
	watchGap    = 333  // mean time before discovery is asked again; drawn, so that not all ask at once,
	gracePart   = 4    // and no longer than this part of the time within which a drain must be heeded: it may be told meanwhile
	watchPace   = 1000 // where discovery has said nothing, it is asked once more after this time, give or take a fifth: two
	// watches in a row that say nothing, after one that fell silent, leave 6 s for what it has to be told
	askGap      = 1000 // the same two where it tells only what it is asked for: calls may wait their turn there, so the next one
	askPace     = 3500 // comes later, while one that fell silent has used up half of the time
	askPart     = 0.35 // and no later than this part of the time within which to ask
	watchesMost = 3    // calls that wait for discovery at once
	queueSize   = 4096 // values that wait for the reducer
	usedMost    = 8192 // ids of answered work items that are remembered, twice so many at most
)

// Whole in place of a revision asks for the whole list.
const FullList = -1

// The front is what speaks to the world. No call may block; what comes of one comes in by the queue.
type Transport interface {
	// Send starts a hand-off. If the worker does not take it, one Ended follows; if it does, its callbacks tell.
	Send(s HandOffRequest) Attempt
	// Continue takes up a hand-off that another process made and whose worker has taken it.
	AdoptHandOff(s HandOffRequest) Attempt
	// Watch asks discovery at the address for what changed after the revision, or for the whole list and then
	// for its changes, until a Broken or until Unwatch. Several may be open at once.
	Watch(number int, addr string, after int64)
	// Unwatch ends a watch.
	Unwatch(number int)
	// Tell sends a message to a sibling, or to all for -1.
	SendToPeer(to int, data []byte)
	// Drain makes clients go elsewhere: no connection is kept beyond its next deferral. Where another process takes this
	// one's place it is told what is known, which may be called before Drain returns, and no connection is kept.
	Drain(known func() TakeoverState) (succeeded bool)
	// Pass asks this dispatcher's other processes about a callback; its Answer is called once.
	ForwardCallback(c Callback)
	// Dismiss closes the connections that wait for a request.
	CloseIdle()
}

// Attempt is a hand-off that the front has under way.
type Attempt interface {
	// GiveUp makes the worker drop it as far as it can; an Ended follows, unless one did already.
	Cancel()
	// Taken tells whether the worker has it: only its callbacks tell more.
	Accepted() bool
	// Written tells whether nothing of it is still to be written.
	Written() bool
}

// Sending is a hand-off to make.
type HandOffRequest struct {
	WI      uint64
	HO      int
	ID      string // the client's, as it came
	Addr    string
	Message any     // what the front gave with the arrival
	Timeout float64 // how long the answer is waited for
	Mark    string  // of the configuration in force; empty: none
}

// Client is one who waits for a work item's answer.
type Request struct {
	ID       string
	Category int
	Tenant   int
	Hint     float64
	Key      string  // what it is about; empty: nothing
	Expiry   float64 // on the clock of Now
	Message  any
	Respond  func(Reply) // called once, by the reducer; must not block
	it       *item       // the reducer's
}

// Result says how a client is answered.
type Result int

// The results.
const (
	Served   Result = iota
	Deferred        // trying again is harmless
	WrittenOff
	TimedOut // no answer came in time
	DuplicateID
	ClientGone // the client left: nobody to answer
	HandedOver // another process answers
)

// Reply is a client's answer.
type Reply struct {
	Result     Result
	Body       string
	RetryAfter float64 // 0: no advice
	Job        *Job    // what is handed over
}

// Job is a work item that goes to the process that takes this one's place, with its client's connection.
type Job struct {
	ID       string
	Category int
	Tenant   int
	Hint     float64
	Key      string
	Expiry   float64
	HandOffs []JobHandOff
}

// JobHandOff is one of its hand-offs. At most one is out, and its worker has taken it.
type JobHandOff struct {
	dispatch.Taken
	Addr  string // where its worker was found
	Never bool   // no callback comes of it
}

// The values that come in by the queue.
type (
	// Arrived is a new work item.
	RequestArrived struct{ Request *Request }
	// Departed is the loss of a client that had not been answered.
	ClientDisconnected struct{ Request *Request }
	// Ended is the end of a hand-off as its connection shows it.
	HandOffEnded struct {
		WI      uint64
		HO      int
		Outcome dispatch.Outcome
	}
	// Callback is what a worker tells of a work item.
	Callback struct {
		ID, From string
		State    CallbackState
		Share    float64
		Result   string
		// Answer is called once, by the reducer or by whom it passed it to; must not block. Nil: nobody asks.
		Respond func(CallbackResult)
		// The process that told it, if another one did: whom not to ask.
		FromSuccessor, FromPredecessor bool
	}
	// Succeeded tells that another process waits to take this one's place.
	SuccessorReady struct{}
	// Adopted is a work item that the process had whose place this one takes.
	JobAdopted struct {
		Request *Request
		Job     Job
	}
	// Inherited is what the process knew whose place this one takes.
	StateInherited struct{ State TakeoverState }
	// Listing is what discovery told.
	DiscoveryUpdate struct {
		Watch    int // the number of the watch that brought it
		Revision int64
		Complete bool
		Members  []Member
	}
	// Broken is the end of a watch.
	WatchEnded struct{ Watch int }
	// Changed gives the configuration that is in force from now on.
	ConfigChanged struct {
		Version   uint64 // of the fleet's history; 0: the process's own
		Settings  dispatch.Settings
		MaxOpen   int
		Mark      string
		Discovery string // another address than before: it is moved to
		// Applied is called once no hand-off begun under an older version is still to be written; nil: nobody asks.
		OnApplied func()
	}
	// Room gives for how many waiting clients there are descriptors from now on.
	ClientLimit struct{ Max int }
	// Moved gives the address at which discovery is found from now on.
	DiscoveryMoved struct{ Discovery string }
	// Heard is a sibling's message.
	PeerMessage struct {
		From int
		Data []byte
	}
	// Stop asks for an orderly end.
	Stop struct{}
)

// Applied is what became of a callback.
type CallbackResult int

// What may become of it.
const (
	CallbackApplied      CallbackResult = iota
	CallbackUnknown                     // to nobody
	CallbackUndetermined                // another process may know it
)

// Gate is a fleet's word on what this process may do. No call may block.
type LeaseGuard interface {
	// Open tells whether new work may be taken and handed off now.
	Allowed() bool
	// InForce tells that a version of the fleet's is in force, Act that something was done.
	VersionInForce(version uint64)
	RecordAction(fleet.Action)
}

// Known is all that a process tells the one that takes its place.
type TakeoverState struct {
	Discovery string // where the list comes from
	Revision  int64
	Members   []Member
	Used      []string // ids of work items that are open, or ran, or may have
	Learned   dispatch.Learned
}

// learner is a Decider that can be succeeded.
type learner interface {
	Learned() dispatch.Learned
	Recall(dispatch.Learned)
	Succeed()
	Adopt(dispatch.WorkItem, []dispatch.Taken)
}

// CallbackState is what a callback tells.
type CallbackState int

// The states.
const (
	Started CallbackState = iota
	Running
	Done
	Failed
	Returned
	Lost
)

// Member is a worker as discovery lists it, and where this dispatcher finds it.
type Member struct {
	dispatch.Entry
	Addr string
}

// handoff is one hand-off as the reducer sees it.
type handoff struct {
	worker  string
	sent    float64
	attempt Attempt
	ended   bool
	never   bool    // it did not reach the worker, or was turned away on its connection: no callback comes
	unrun   bool    // it proved not to have run
	started float64 // 0: not known to have
	addr    string
}

// item is a work item until its client is answered and all its hand-offs have ended.
type item struct {
	wi     uint64
	client *Request
	hos    []handoff
	out    int
	done   bool    // the client has its answer, or is gone
	handed bool    // or another process has it
	within float64 // this process ends so long after the arrival; 0: it does not
	came   float64
}

// expiry is when it must have been answered.
func (it *item) expiry() float64 {
	if it.within > 0 {
		return min(it.client.Expiry, it.came+it.within)
	}
	return it.client.Expiry
}

// due is a moment at which the reducer must act: of a hand-off, of a work item (ho -1), or of none (wi 0).
type due struct {
	at float64
	wi uint64
	ho int
}

type dues []due

func (q dues) Len() int           { return len(q) }
func (q dues) Less(a, b int) bool { return q[a].at < q[b].at }
func (q dues) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *dues) Push(x any)        { *q = append(*q, x.(due)) }
func (q *dues) Pop() any          { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// Node is one dispatcher at work. Only Queue, Phase, Now and Done are for goroutines other than
// the reducer's.
type Node struct {
	s          dispatch.Settings
	maxOpen    int
	room       int // the same by descriptors
	front      Transport
	d          dispatch.Decider
	queue      chan any
	stopped    chan struct{}
	phase      atomic.Int32
	clock      func() float64
	log        *slog.Logger
	now        float64
	lastAt     float64 // time of the last round
	wake       bool    // a timer of the Dispatcher's is due
	inbox      []any
	items      map[uint64]*item
	byID       map[string]*item
	used       [2]map[string]bool // ids of work items that ran or may have, newer ones first
	usedAt     float64            // the newer ones are the older ones from then on
	usedFor    float64            // the longest expiry: a client could still have repeated it in good faith
	addrs      map[string]string
	answeredAt float64 // the last answer to a client
	open       int     // work items whose client waits
	next       uint64
	dues       dues
	mwc        uint64
	watch      int     // number of the newest watch
	watches    []int   // those that are open, oldest first; once one has spoken, that one alone
	spoke      bool    // it has
	asked      bool    // the dispatcher asked for it and has no answer yet
	watchAt    float64 // discovery is asked again then; infinite: not now
	discovery  string  // its address
	figures    *metrics.Metrics
	poolAt     float64 // the pool's are told again then
	revision   int64   // the last that it told; Whole: it has told no whole list
	listed     bool    // discovery itself has spoken
	startAt    float64
	drainAt    float64
	lastTake   float64    // told to stop, no more work is taken from then on
	endAt      float64    // and all that was taken since is answered by then
	handAt     float64    // what still runs is handed over then; infinite: to nobody
	dismissed  bool       // no more work is taken
	gate       LeaseGuard // nil: of no fleet
	version    uint64     // of the fleet's history, in force
	mark       string
	older      []older // versions whose coming into force is to be told
}

// older are the hand-offs begun before a version was in force and not yet written.
type older struct {
	attempts []Attempt
	applied  func()
}

// Options say what a node is to be.
type Options struct {
	Settings  dispatch.Settings
	MaxOpen   int    // clients that wait at once, at most
	Discovery string // its address
	// Known is the list as it last was, perhaps old. Its revision says nothing to discovery, which may have been
	// at another address then, with another count.
	CachedList DiscoveryUpdate
	// Clock tells the time in milliseconds and never goes back; nil: the machine's, as Unix time.
	Clock func() float64
	Log   *slog.Logger // nil: the default one
	// Figures are told of the workers; nil: none.
	Metrics *metrics.Metrics
	Mark    string
	// Gate is asked before each hand-off; nil: the process is of no fleet.
	Guard LeaseGuard
	// Decider decides; nil: the Dispatcher. Others are for measuring it.
	Decider dispatch.Decider
}

// wall is the machine's clock: Unix time as it was at first, from then on by a count that never goes back.
func wall() func() float64 {
	base := time.Now()
	ms := float64(base.UnixMicro()) / 1000
	return func() float64 { return ms + float64(time.Since(base))/1e6 }
}

// New makes a node that serves once it is run.
func New(o Options) *Node {
	s := o.Settings
	n := &Node{s: s, maxOpen: o.MaxOpen, room: math.MaxInt, d: o.Decider, queue: make(chan any, queueSize),
		stopped: make(chan struct{}), clock: o.Clock, log: o.Log, items: map[uint64]*item{},
		byID: map[string]*item{}, addrs: map[string]string{}, mwc: s.Seed>>32 | 1, lastAt: math.Inf(-1),
		watchAt: math.Inf(1), discovery: o.Discovery, revision: FullList, figures: o.Metrics, gate: o.Guard, mark: o.Mark}
	if n.d == nil {
		n.d = dispatch.New(s)
	}
	if n.clock == nil {
		n.clock = wall()
	}
	if n.log == nil {
		n.log = slog.Default()
	}
	for _, c := range s.Categories {
		n.usedFor = max(n.usedFor, c.Expiry)
	}
	n.take(o.CachedList.Members)
	n.inbox = append(n.inbox, listed{dispatch.ListRestored, o.CachedList.Members})
	return n
}

// Now is the one clock of arrivals, rounds and workers' starts.
func (n *Node) Now() float64 { return n.clock() }

// Phase tells where the program stands.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

// Done is closed once the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Queue hands a value to the reducer. It waits while the queue is full; false: the node has stopped.
func (n *Node) Enqueue(v any) bool {
	select {
	case n.queue <- v:
		return true
	case <-n.stopped:
		return false
	}
}

// Run is the reducer. It returns once the node was told to stop and has answered all that it took.
func (n *Node) Run(front Transport) {
	n.begin(front)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n.Phase() != Stopped {
		timer.Reset(time.Duration(max(0, n.nextAt()-n.Now()) * 1e6))
		select {
		case v := <-n.queue:
			n.turn(v)
		case <-timer.C:
			n.turn()
		}
	}
	close(n.stopped)
}

// turn takes in values and all that waits in the queue before it decides anything, also when a timer brings it on: after a
// standstill of the process both are there at once, and what has ended meanwhile must not be acted on.
func (n *Node) turn(values ...any) {
	n.now = n.Now()
	for _, v := range values {
		n.reduce(v)
	}
	for {
		select {
		case v := <-n.queue:
			n.reduce(v)
			continue
		default:
		}
		break
	}
	n.settle()
}

// Begin starts a node that no goroutine runs: Step drives it, by the caller's clock. It returns as Step does.
func (n *Node) Begin(front Transport) float64 {
	n.begin(front)
	n.settle()
	return n.nextAt()
}

// Step takes in values and does what is due, as Run does when they come in by the queue. It returns the time, on the
// clock of Now, by which it must be called again if nothing comes in; infinite once the node has stopped.
func (n *Node) Step(values ...any) float64 {
	if n.Phase() == Stopped {
		return math.Inf(1)
	}
	n.now = n.Now()
	for _, v := range values {
		n.reduce(v)
	}
	if n.settle(); n.Phase() == Stopped {
		close(n.stopped)
		return math.Inf(1)
	}
	return n.nextAt()
}

func (n *Node) begin(front Transport) {
	n.front, n.now = front, n.Now()
	n.startAt = n.now
	if !n.s.DiscoveryOnRequest {
		n.ask()
	}
	n.round()
}

// settle does what is due and, once in a grain, lets the Dispatcher decide.
func (n *Node) settle() {
	n.timers()
	if n.gate != nil {
		n.apply()
		if n.now >= n.lastAt+n.s.RoundInterval && !n.gate.Allowed() {
			n.shut()
		}
	}
	if (len(n.inbox) > 0 || n.wake) && n.now >= n.lastAt+n.s.RoundInterval {
		n.round()
	}
}

// nextAt is when the reducer must act if nothing comes in.
func (n *Node) nextAt() float64 {
	at := min(n.now+1000, n.watchAt)
	if len(n.dues) > 0 {
		at = min(at, n.dues[0].at)
	}
	if n.gate != nil && len(n.items) > 0 || len(n.older) > 0 { // the gate closes by time alone
		at = min(at, n.now+gateEvery)
	}
	switch n.Phase() {
	case Starting:
		if t := n.startAt + knownAfter; n.now < t { // past it, only discovery can help
			at = min(at, t)
		}
	case Draining:
		if !n.dismissed {
			at = min(at, n.lastTake)
		}
		at = min(at, n.handAt)
	}
	if len(n.inbox) > 0 || n.wake {
		at = min(at, n.lastAt+n.s.RoundInterval)
	}
	return at
}

func (n *Node) enter(p Phase) {
	n.log.Info("phase", "phase", p, "was", n.Phase(), "open", n.open)
	n.phase.Store(int32(p))
}

// reduce takes in one value.
func (n *Node) reduce(v any) {
	switch v := v.(type) {
	case RequestArrived:
		n.arrived(v.Request)
	case ClientDisconnected:
		if it := v.Request.it; it != nil && !it.done {
			n.log.Info("left", "left", "waiting", "id", v.Request.ID, "out", it.out, "after", n.now-it.came)
			n.answer(it, Reply{Result: ClientGone})
			n.inbox = append(n.inbox, left(it.wi))
		}
	case HandOffEnded:
		if it := n.items[v.WI]; it != nil {
			it.hos[v.HO].never = v.Outcome.ProvesNotRun()
			n.ended(it, v.HO, v.Outcome, "")
		}
	case Callback:
		switch known := n.callback(v); {
		case v.Respond == nil:
		case known:
			v.Respond(CallbackApplied)
		default:
			n.front.ForwardCallback(v)
		}
	case SuccessorReady:
		if n.Phase() == Draining {
			n.stop()
		}
	case StateInherited:
		n.inherit(v.State)
	case JobAdopted:
		n.adopt(v.Request, v.Job)
	case DiscoveryUpdate:
		n.listing(v)
	case WatchEnded:
		n.broken(v.Watch)
	case DiscoveryMoved:
		// What the old address told stays in use until the new one has given its whole list: it may count
		// revisions its own way. The same address is asked anew as well.
		n.log.Info("moved", "discovery", v.Discovery, "was", n.discovery, "phase", n.Phase())
		n.discovery, n.revision = v.Discovery, FullList
		n.unwatch(0)
		n.ask()
	case ConfigChanged:
		n.change(v)
	case ClientLimit:
		n.room = v.Max
	case PeerMessage:
		n.inbox = append(n.inbox, v)
	case Stop:
		if n.Phase() < Draining {
			n.enter(Draining)
			n.stop()
		}
	default:
		panic(fmt.Sprintf("unknown value %T", v))
	}
}

// change brings a configuration into force. This is the one place for it, whoever asked.
func (n *Node) change(v ConfigChanged) {
	if d, ok := n.d.(interface{ Change(dispatch.Settings) }); ok {
		d.Change(v.Settings)
	}
	n.s, n.maxOpen, n.mark = v.Settings, v.MaxOpen, v.Mark
	if n.version = v.Version; n.gate != nil {
		n.gate.VersionInForce(v.Version)
	}
	if v.Discovery != "" && v.Discovery != n.discovery {
		n.reduce(DiscoveryMoved{v.Discovery})
	}
	if v.OnApplied == nil {
		return
	}
	o := older{applied: v.OnApplied}
	for _, it := range n.items {
		for _, h := range it.hos {
			if !h.ended && h.attempt != nil {
				o.attempts = append(o.attempts, h.attempt)
			}
		}
	}
	n.older = append(n.older, o)
	n.apply()
}

// apply tells of versions that are in force and before which nothing is still to be written.
func (n *Node) apply() {
	n.older = slices.DeleteFunc(n.older, func(o older) bool {
		if slices.ContainsFunc(o.attempts, func(a Attempt) bool { return !a.Written() }) {
			return false
		}
		o.applied()
		return true
	})
}

// shut gives up what waits while the fleet has shut this process out: what is out ends by itself. This guards against
// work of a process that is behind, or that cannot know whether it is.
func (n *Node) shut() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		if it := n.items[wi]; !it.done && !it.handed && it.out == 0 {
			n.inbox = append(n.inbox, shutOut(wi))
		}
	}
}

// book counts an act, where somebody keeps account.
func (n *Node) book(a fleet.Action) {
	if n.gate != nil {
		n.gate.RecordAction(a)
	}
}

// allowed tells whether new work may be taken and handed off.
func (n *Node) allowed() bool { return n.gate == nil || n.gate.Allowed() }

// stop begins the end, anew when a process is there that takes this one's place: then no work is to be taken for longer
// than clients may not know.
func (n *Node) stop() {
	if n.drainAt == 0 {
		n.drainAt = n.now
	}
	last := min(n.usedFor, killCap)
	n.endAt = n.drainAt + last + killGrace - killMargin
	n.lastTake, n.handAt = n.drainAt+acceptAfter, n.drainAt+last
	if !n.front.Drain(n.known) { // else it goes on while what is taken has time to end: there may be nobody else
		n.lastTake, n.handAt = n.drainAt+max(acceptAfter, last/2), math.Inf(1)
	}
	// What was taken before has to be answered by then as well: what is open at the kill is lost.
	n.inbox = append(n.inbox, ending(n.endAt))
}

func (n *Node) arrived(c *Request) {
	switch {
	case n.byID[c.ID] != nil || n.used[0][c.ID] || n.used[1][c.ID]: // a second copy: ids are new with every request
		n.log.Warn("bad", "bad", "repeated", "id", c.ID)
		c.Respond(Reply{Result: DuplicateID})
		return
	case n.dismissed: // others will take it at once
		c.Respond(Reply{Result: Deferred})
		return
	case !n.allowed(): // others of the fleet will take it
		r := Reply{Result: Deferred}
		if n.s.MayAdviseRetryAfter {
			r.RetryAfter = min(fullPause, n.s.MaxRetryAfter)
		}
		n.book(fleet.Deferred)
		c.Respond(r)
		return
	case n.open >= min(n.maxOpen, n.room): // as the settings say, or no socket is left for one more client that waits
		r := Reply{Result: Deferred}
		if n.s.MayAdviseRetryAfter {
			r.RetryAfter = min(fullPause, n.s.MaxRetryAfter)
		}
		c.Respond(r)
		return
	}
	n.next++
	it := &item{wi: n.next, client: c, came: n.now}
	if n.Phase() == Draining {
		it.within = n.endAt - n.now
	}
	c.it = it
	n.items[it.wi], n.byID[c.ID] = it, it
	n.open++
	n.at(it.expiry()+n.s.AnswerSlack, it.wi, -1)
	n.inbox = append(n.inbox, it)
}

// answer gives the client's one answer, the first; what comes later is for the books only.
func (n *Node) answer(it *item, r Reply) {
	if it.done {
		return
	}
	it.done = true
	n.open--
	n.answeredAt = n.now
	switch r.Result {
	case Deferred:
		n.book(fleet.Deferred)
	case ClientGone, HandedOver:
	default:
		n.book(fleet.Answered)
	}
	it.client.Respond(r)
	if r.Result == Served || r.Result == WrittenOff || r.Result == TimedOut {
		n.use(it.client.ID)
	}
	n.forget(it)
}

// use remembers the id of a work item that ran or may have. This guards against another client's request under the
// same id, which workers turn away and which could have the effect again.
func (n *Node) use(id string) {
	if n.now >= n.usedAt || len(n.used[0]) >= usedMost {
		n.used = [2]map[string]bool{{}, n.used[0]}
		n.usedAt = n.now + n.usedFor
	}
	n.used[0][id] = true
}

func (n *Node) forget(it *item) {
	if it.done && it.out == 0 {
		delete(n.items, it.wi)
		delete(n.byID, it.client.ID)
	}
}

// ended ends a hand-off, once: the first outcome counts, later ones are passed over.
func (n *Node) ended(it *item, ho int, o dispatch.Outcome, result string) {
	if it.hos[ho].ended {
		return
	}
	h := &it.hos[ho]
	h.ended, h.unrun = true, o.ProvesNotRun()
	it.out--
	if o == dispatch.Finished {
		n.answer(it, Reply{Body: result})
	}
	n.inbox = append(n.inbox, dispatch.HandOffResult{WI: it.wi, HO: ho, Outcome: o, Elapsed: n.now - h.sent,
		Final: it.done, Load: dispatch.UnknownLoad})
	n.forget(it)
}

// callback applies what a worker tells to the hand-off that is out there. Callbacks repeat and come late:
// one for what has ended, is unknown or is at another worker changes nothing. It tells whether the work item is known.
func (n *Node) callback(c Callback) bool {
	it := n.byID[c.ID]
	if it == nil || it.handed {
		return false
	}
	before := false // an earlier hand-off there may be what it tells of
	for ho := range it.hos {
		h := &it.hos[ho]
		switch {
		case h.worker != c.From:
		case h.ended:
			before = before || !h.never
		case c.State == Started || c.State == Running:
			if h.started == 0 {
				h.started = n.now
			}
			n.inbox = append(n.inbox, noticed{it.wi, ho, c.State == Started, c.Share})
			return true
		case c.State == Done: // of either: it is the worker's result for this work item
			n.ended(it, ho, dispatch.Finished, c.Result)
			return true
		case before:
			// Nothing tells which. Taken for the newer one's, work that runs could count as never run and run
			// twice; so it is passed over, and the dispatcher's doubts or the expiry end the newer one.
			n.log.Warn("callback", "callback", "ambiguous", "id", c.ID, "from", c.From)
			return true
		default:
			n.ended(it, ho, map[CallbackState]dispatch.Outcome{Failed: dispatch.Failed,
				Returned: dispatch.Full, Lost: dispatch.ConnReset}[c.State], "")
			return true
		}
	}
	return true
}

// handOver gives what would be lost at the kill to the process that takes this one's place: work items that wait, and
// those that are out at one worker, which has taken them.
func (n *Node) handOver() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		it := n.items[wi]
		if it.done || it.out > 1 || slices.ContainsFunc(it.hos, func(h handoff) bool { return !h.ended && !h.attempt.Accepted() }) {
			continue
		}
		c := it.client
		j := &Job{ID: c.ID, Category: c.Category, Tenant: c.Tenant, Hint: c.Hint, Key: c.Key, Expiry: c.Expiry}
		for _, h := range it.hos {
			j.HandOffs = append(j.HandOffs, JobHandOff{Addr: h.addr, Never: h.never, Taken: dispatch.Taken{Worker: h.worker,
				Sent: h.sent, Started: h.started, Done: h.ended, Unrun: h.unrun}})
		}
		n.log.Info("takeover", "takeover", "job handed over", "id", c.ID, "out", it.out)
		it.handed = true
		n.answer(it, Reply{Result: HandedOver, Job: j})
	}
}

// adopt takes such a work item in.
func (n *Node) adopt(c *Request, j Job) {
	if n.byID[c.ID] != nil {
		c.Respond(Reply{Result: DuplicateID})
		return
	}
	n.next++
	it := &item{wi: n.next, client: c, came: n.now}
	c.it = it
	n.items[it.wi], n.byID[c.ID] = it, it
	n.open++
	n.at(it.expiry()+n.s.AnswerSlack, it.wi, -1)
	for k, t := range j.HandOffs {
		h := handoff{worker: t.Worker, sent: t.Sent, ended: t.Done, never: t.Never, unrun: t.Unrun, started: t.Started, addr: t.Addr}
		if !h.ended {
			it.out++
			h.attempt = n.front.AdoptHandOff(HandOffRequest{WI: it.wi, HO: k, ID: c.ID, Addr: t.Addr, Message: c.Message})
			n.at(c.Expiry, it.wi, k)
		}
		it.hos = append(it.hos, h)
	}
	n.inbox = append(n.inbox, adopted{it, j.HandOffs})
}

// known is what the process that takes this one's place is told. From then on that one alone warms workers.
func (n *Node) known() TakeoverState {
	k := TakeoverState{Discovery: n.discovery, Revision: n.revision}
	for id := range n.byID {
		k.Used = append(k.Used, id)
	}
	for _, used := range n.used {
		for id := range used {
			k.Used = append(k.Used, id)
		}
	}
	slices.Sort(k.Used)
	if d, ok := n.d.(learner); ok {
		k.Learned = d.Learned()
		d.Succeed()
	}
	for _, w := range k.Learned.Workers {
		k.Members = append(k.Members, Member{w.Entry, n.addrs[w.Worker]})
	}
	return k
}

// inherit takes in what the process knew whose place this one takes. Its list counts only where it is newer: this one
// follows discovery itself.
func (n *Node) inherit(k TakeoverState) {
	for _, id := range k.Used {
		n.use(id)
	}
	if len(k.Members) > 0 && (!n.listed || k.Discovery == n.discovery && k.Revision > n.revision) {
		if !n.s.OnlyDrainingBinds {
			clear(n.addrs)
		}
		n.take(k.Members)
		n.inbox = append(n.inbox, listed{dispatch.ListRestored, k.Members})
	}
	n.inbox = append(n.inbox, k.Learned)
	n.log.Info("takeover", "takeover", "inherited", "list", k.Revision, "own", n.revision, "members", len(k.Members),
		"ids", len(k.Used))
}

func (n *Node) take(members []Member) {
	for _, m := range members {
		switch {
		case m.State != dispatch.Gone:
			n.addrs[m.Worker] = m.Addr
		case !n.s.OnlyDrainingBinds: // else it may still be sent to where it was
			delete(n.addrs, m.Worker)
		}
	}
}

func (n *Node) listing(l DiscoveryUpdate) {
	if !slices.Contains(n.watches, l.Watch) {
		return
	}
	if !n.spoke {
		n.unwatch(l.Watch)
		n.spoke, n.watchAt = true, math.Inf(1)
	}
	form := dispatch.ListChanges
	if l.Complete {
		if form = dispatch.ListComplete; !n.s.OnlyDrainingBinds {
			clear(n.addrs)
		}
	}
	// Guards against lines out of order: an older one must not put a worker back into use that drains by a newer one. Its
	// drains hold, and the whole list is asked for.
	older := !l.Complete && l.Revision < n.revision
	if older {
		n.log.Warn("list", "older", l.Revision, "known", n.revision)
		l.Revision, l.Members = FullList, slices.DeleteFunc(slices.Clone(l.Members), func(m Member) bool { return m.State != dispatch.Draining })
	}
	n.take(l.Members)
	n.revision = l.Revision
	n.listed = true
	tells := l.Complete || len(l.Members) > 0
	if tells {
		n.log.Info("list", "list", l.Revision, "complete", l.Complete, "members", len(l.Members))
	}
	if tells || n.asked {
		n.inbox = append(n.inbox, listed{form, l.Members})
	}
	n.asked = false
	if older {
		n.ask()
	}
}

// ask opens a watch in place of one that has spoken, or beside those that have said nothing yet. What discovery has
// counts as told some seconds later, whatever became of the calls: this guards against a call that hangs, or a watch
// that is silent from the start, while the next one would be answered.
func (n *Node) ask() {
	switch {
	case n.spoke:
		n.unwatch(0)
	case len(n.watches) >= watchesMost:
		n.front.Unwatch(n.watches[0])
		n.watches = n.watches[1:]
	}
	n.watch++
	n.watches = append(n.watches, n.watch)
	n.asked = n.s.DiscoveryOnRequest
	pace := float64(watchPace)
	if n.s.DiscoveryOnRequest {
		pace = n.within(askPace)
	}
	n.watchAt = n.now + pace*(0.8+0.4*n.chance())
	n.front.Watch(n.watch, n.discovery, n.revision)
}

// within shortens a time of asking to what the settings leave for it.
func (n *Node) within(span float64) float64 {
	if n.s.DiscoveryAskWithin > 0 {
		span = min(span, askPart*n.s.DiscoveryAskWithin)
	}
	return span
}

// unwatch ends all watches but one.
func (n *Node) unwatch(but int) {
	for _, k := range n.watches {
		if k != but {
			n.front.Unwatch(k)
		}
	}
	n.watches = slices.DeleteFunc(n.watches, func(k int) bool { return k != but })
	n.spoke = n.spoke && len(n.watches) > 0
}

// broken takes the end of a watch. Discovery is asked again after a short time, unless the dispatcher does so before.
func (n *Node) broken(watch int) {
	if !slices.Contains(n.watches, watch) {
		return
	}
	n.watches = slices.DeleteFunc(n.watches, func(k int) bool { return k == watch })
	gap := float64(watchGap)
	switch {
	case n.s.DiscoveryOnRequest && n.spoke:
		gap = n.within(askGap)
	case n.s.DiscoveryOnRequest: // a call that failed: many that fail would be made again and again
		gap = n.within(askPace)
	case n.s.DrainGrace > 0:
		gap = min(gap, n.s.DrainGrace/gracePart)
	}
	if n.spoke = false; len(n.watches) == 0 {
		n.watchAt = min(n.watchAt, n.now+gap*(0.5+n.chance()))
	}
	if n.asked = n.asked && len(n.watches) > 0; n.s.DiscoveryOnRequest && !n.asked {
		n.inbox = append(n.inbox, listed{dispatch.ListUnavailable, nil})
	}
}

func (n *Node) at(when float64, wi uint64, ho int) { heap.Push(&n.dues, due{when, wi, ho}) }

// timers does what is due.
func (n *Node) timers() {
	for len(n.dues) > 0 && n.dues[0].at <= n.now {
		t := heap.Pop(&n.dues).(due)
		it := n.items[t.wi]
		switch {
		case t.wi == 0:
			n.wake = true
		case it == nil || it.handed:
		case t.ho >= 0:
			if h := &it.hos[t.ho]; !h.ended {
				n.ended(it, t.ho, dispatch.TimedOut, "")
				h.attempt.Cancel()
			}
		case !it.done: // the dispatcher gave no answer by the deadline and the slack
			n.log.Error("overdue", "overdue", it.client.ID)
			n.answer(it, Reply{Result: TimedOut})
			n.inbox = append(n.inbox, left(it.wi))
		}
	}
	if n.now >= n.watchAt {
		n.ask()
	}
	switch n.Phase() {
	case Starting:
		if n.listed || len(n.addrs) > 0 && n.now >= n.startAt+knownAfter {
			n.enter(Serving)
		}
	case Draining:
		if !n.dismissed && n.now >= n.lastTake {
			// Not before: a client whose connection closes would look for a dispatcher where there may be none.
			n.dismissed = true
			n.front.CloseIdle()
		}
		if n.now >= n.handAt {
			n.handAt = n.now + handEvery
			n.handOver()
		}
		if n.dismissed && n.settled() {
			n.enter(Stopped)
		}
	}
}

// settled tells that all is answered, and that the dispatcher has seen it: what is still out is called off.
func (n *Node) settled() bool { return n.open == 0 && n.lastAt >= n.answeredAt }

// chance draws from [0, 1) by multiply-with-carry.
func (n *Node) chance() float64 {
	n.mwc = 4294957665*(n.mwc&math.MaxUint32) + n.mwc>>32
	return float64(uint32(n.mwc)) / (1 << 32)
}
