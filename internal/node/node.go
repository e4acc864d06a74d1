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
	cachedListDelay     = 500  // an old list must do when discovery has said nothing for so long
	minAcceptTime       = 500  // told to stop, it takes work for so long at least: clients may not know yet
	maxDrainTime        = 3000 // it is killed after the longest deadline, or this if that is longer,
	killGrace           = 700  // and this more
	answerMargin        = 200  // all is answered so long before
	handOverRetry       = 50   // what could not be handed over is looked at again after this time
	overloadRetryAfter  = 1000 // with as much open as may be, a client is told to come back after this time
	guardInterval       = 10   // the gate is looked at so often while there is work
	poolMetricsInterval = 100  // the figures of the workers are at most so old, and a round
	watchRetryMean      = 333  // mean time before discovery is asked again; drawn, so that not all ask at once,
	drainGraceParts     = 4    // and no longer than this part of the time within which a drain must be heeded: it may be told meanwhile
	watchInterval       = 1000 // where discovery has said nothing, it is asked once more after this time, give or take a fifth: two
	// watches in a row that say nothing, after one that fell silent, leave 6 s for what it has to be told
	pollRetryMean  = 1000 // the same two where it tells only what it is asked for: calls may wait their turn there, so the next one
	pollInterval   = 3500 // comes later, while one that fell silent has used up half of the time
	askWithinShare = 0.35 // and no later than this part of the time within which to ask
	maxWatches     = 3    // calls that wait for discovery at once
	queueSize      = 4096 // values that wait for the reducer
	maxUsedIDs     = 8192 // ids of answered work items that are remembered, twice so many at most
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
	item     *workItem   // the reducer's
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
type takeoverDecider interface {
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
type handOff struct {
	worker      string
	sentAt      float64
	attempt     Attempt
	ended       bool
	noCallback  bool    // it did not reach the worker, or was turned away on its connection: no callback comes
	provenUnrun bool    // it proved not to have run
	startedAt   float64 // 0: not known to have
	addr        string
}

// item is a work item until its client is answered and all its hand-offs have ended.
type workItem struct {
	wi            uint64
	request       *Request
	handOffs      []handOff
	outstanding   int
	answered      bool    // the client has its answer, or is gone
	handedOver    bool    // or another process has it
	processEndsIn float64 // this process ends so long after the arrival; 0: it does not
	arrivedAt     float64
}

// expiry is when it must have been answered.
func (it *workItem) deadline() float64 {
	if it.processEndsIn > 0 {
		return min(it.request.Expiry, it.arrivedAt+it.processEndsIn)
	}
	return it.request.Expiry
}

// due is a moment at which the reducer must act: of a hand-off, of a work item (ho -1), or of none (wi 0).
type timer struct {
	at float64
	wi uint64
	ho int
}

type timerQueue []timer

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q timerQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *timerQueue) Push(x any)        { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any          { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// Node is one dispatcher at work. Only Queue, Phase, Now and Done are for goroutines other than
// the reducer's.
type Node struct {
	settings          dispatch.Settings
	maxOpen           int
	clientLimit       int // the same by descriptors
	transport         Transport
	decider           dispatch.Decider
	queue             chan any
	stopped           chan struct{}
	phase             atomic.Int32
	clock             func() float64
	log               *slog.Logger
	now               float64
	lastRound         float64 // time of the last round
	timerFired        bool    // a timer of the Dispatcher's is due
	inbox             []any
	items             map[uint64]*workItem
	byID              map[string]*workItem
	usedIDs           [2]map[string]bool // ids of work items that ran or may have, newer ones first
	usedRotateAt      float64            // the newer ones are the older ones from then on
	longestExpiry     float64            // the longest expiry: a client could still have repeated it in good faith
	addrs             map[string]string
	lastAnswer        float64 // the last answer to a client
	open              int     // work items whose client waits
	lastWI            uint64
	timers            timerQueue
	rngState          uint64
	newestWatch       int     // number of the newest watch
	openWatches       []int   // those that are open, oldest first; once one has spoken, that one alone
	watchAnswered     bool    // it has
	pollPending       bool    // the dispatcher asked for it and has no answer yet
	nextWatchAt       float64 // discovery is asked again then; infinite: not now
	discoveryAddr     string  // its address
	metrics           *figures.Figures
	nextPoolMetrics   float64 // the pool's are told again then
	revision          int64   // the last that it told; Whole: it has told no whole list
	discoveryAnswered bool    // discovery itself has spoken
	startedAt         float64
	drainStart        float64
	acceptUntil       float64    // told to stop, no more work is taken from then on
	answerBy          float64    // and all that was taken since is answered by then
	handOverAt        float64    // what still runs is handed over then; infinite: to nobody
	refusing          bool       // no more work is taken
	guard             LeaseGuard // nil: of no fleet
	configVersion     uint64     // of the fleet's history, in force
	mark              string
	pendingVersions   []pendingVersion // versions whose coming into force is to be told
}

// older are the hand-offs begun before a version was in force and not yet written.
type pendingVersion struct {
	attempts  []Attempt
	onApplied func()
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
func monotonicClock() func() float64 {
	start := time.Now()
	unixMs := float64(start.UnixMicro()) / 1000
	return func() float64 { return unixMs + float64(time.Since(start))/1e6 }
}

// New makes a node that serves once it is run.
func New(o Options) *Node {
	s := o.Settings
	n := &Node{settings: s, maxOpen: o.MaxOpen, clientLimit: math.MaxInt, decider: o.Decider, queue: make(chan any, queueSize),
		stopped: make(chan struct{}), clock: o.Clock, log: o.Log, items: map[uint64]*workItem{},
		byID: map[string]*workItem{}, addrs: map[string]string{}, rngState: s.Seed>>32 | 1, lastRound: math.Inf(-1),
		nextWatchAt: math.Inf(1), discoveryAddr: o.Discovery, revision: FullList, metrics: o.Metrics, guard: o.Guard, mark: o.Mark}
	if n.decider == nil {
		n.decider = dispatch.New(s)
	}
	if n.clock == nil {
		n.clock = monotonicClock()
	}
	if n.log == nil {
		n.log = slog.Default()
	}
	for _, c := range s.Categories {
		n.longestExpiry = max(n.longestExpiry, c.Expiry)
	}
	n.updateAddrs(o.CachedList.Members)
	n.inbox = append(n.inbox, listUpdate{dispatch.Restored, o.CachedList.Members})
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
	n.start(front)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n.Phase() != Stopped {
		timer.Reset(time.Duration(max(0, n.nextWake()-n.Now()) * 1e6))
		select {
		case v := <-n.queue:
			n.handleQueued(v)
		case <-timer.C:
			n.handleQueued()
		}
	}
	close(n.stopped)
}

// turn takes in values and all that waits in the queue before it decides anything, also when a timer brings it on: after a
// standstill of the process both are there at once, and what has ended meanwhile must not be acted on.
func (n *Node) handleQueued(values ...any) {
	n.now = n.Now()
	for _, v := range values {
		n.handle(v)
	}
	for {
		select {
		case v := <-n.queue:
			n.handle(v)
			continue
		default:
		}
		break
	}
	n.advance()
}

// Begin starts a node that no goroutine runs: Step drives it, by the caller's clock. It returns as Step does.
func (n *Node) Begin(front Transport) float64 {
	n.start(front)
	n.advance()
	return n.nextWake()
}

// Step takes in values and does what is due, as Run does when they come in by the queue. It returns the time, on the
// clock of Now, by which it must be called again if nothing comes in; infinite once the node has stopped.
func (n *Node) Step(values ...any) float64 {
	if n.Phase() == Stopped {
		return math.Inf(1)
	}
	n.now = n.Now()
	for _, v := range values {
		n.handle(v)
	}
	if n.advance(); n.Phase() == Stopped {
		close(n.stopped)
		return math.Inf(1)
	}
	return n.nextWake()
}

func (n *Node) start(front Transport) {
	n.transport, n.now = front, n.Now()
	n.startedAt = n.now
	if !n.settings.MustAsk {
		n.openWatch()
	}
	n.round()
}

// settle does what is due and, once in a grain, lets the Dispatcher decide.
func (n *Node) advance() {
	n.runTimers()
	if n.guard != nil {
		n.confirmVersions()
		if n.now >= n.lastRound+n.settings.Grain && !n.guard.Allowed() {
			n.giveUpQueued()
		}
	}
	if (len(n.inbox) > 0 || n.timerFired) && n.now >= n.lastRound+n.settings.Grain {
		n.round()
	}
}

// nextAt is when the reducer must act if nothing comes in.
func (n *Node) nextWake() float64 {
	wake := min(n.now+1000, n.nextWatchAt)
	if len(n.timers) > 0 {
		wake = min(wake, n.timers[0].at)
	}
	if n.guard != nil && len(n.items) > 0 || len(n.pendingVersions) > 0 { // the gate closes by time alone
		wake = min(wake, n.now+guardInterval)
	}
	switch n.Phase() {
	case Starting:
		if t := n.startedAt + cachedListDelay; n.now < t { // past it, only discovery can help
			wake = min(wake, t)
		}
	case Draining:
		if !n.refusing {
			wake = min(wake, n.acceptUntil)
		}
		wake = min(wake, n.handOverAt)
	}
	if len(n.inbox) > 0 || n.timerFired {
		wake = min(wake, n.lastRound+n.settings.Grain)
	}
	return wake
}

func (n *Node) setPhase(p Phase) {
	n.log.Info("phase", "phase", p, "was", n.Phase(), "open", n.open)
	n.phase.Store(int32(p))
}

// reduce takes in one value.
func (n *Node) handle(v any) {
	switch v := v.(type) {
	case RequestArrived:
		n.requestArrived(v.Request)
	case ClientDisconnected:
		if it := v.Request.item; it != nil && !it.answered {
			n.log.Info("left", "left", "waiting", "id", v.Request.ID, "out", it.outstanding, "after", n.now-it.arrivedAt)
			n.answer(it, Reply{Result: ClientGone})
			n.inbox = append(n.inbox, clientLeft(it.wi))
		}
	case HandOffEnded:
		if it := n.items[v.WI]; it != nil {
			it.handOffs[v.HO].noCallback = v.Outcome.ProvesUnrun()
			n.handOffEnded(it, v.HO, v.Outcome, "")
		}
	case Callback:
		switch known := n.applyCallback(v); {
		case v.Respond == nil:
		case known:
			v.Respond(CallbackApplied)
		default:
			n.transport.ForwardCallback(v)
		}
	case SuccessorReady:
		if n.Phase() == Draining {
			n.startDrain()
		}
	case StateInherited:
		n.inheritState(v.State)
	case JobAdopted:
		n.adoptJob(v.Request, v.Job)
	case DiscoveryUpdate:
		n.discoveryUpdate(v)
	case WatchEnded:
		n.watchEnded(v.Watch)
	case DiscoveryMoved:
		// What the old address told stays in use until the new one has given its whole list: it may count
		// revisions its own way. The same address is asked anew as well.
		n.log.Info("moved", "discovery", v.Discovery, "was", n.discoveryAddr, "phase", n.Phase())
		n.discoveryAddr, n.revision = v.Discovery, FullList
		n.closeWatches(0)
		n.openWatch()
	case ConfigChanged:
		n.applyConfig(v)
	case ClientLimit:
		n.clientLimit = v.Max
	case PeerMessage:
		n.inbox = append(n.inbox, v)
	case Stop:
		if n.Phase() < Draining {
			n.setPhase(Draining)
			n.startDrain()
		}
	default:
		panic(fmt.Sprintf("unknown value %T", v))
	}
}

// change brings a configuration into force. This is the one place for it, whoever asked.
func (n *Node) applyConfig(v ConfigChanged) {
	if d, ok := n.decider.(interface{ Change(dispatch.Settings) }); ok {
		d.Change(v.Settings)
	}
	n.settings, n.maxOpen, n.mark = v.Settings, v.MaxOpen, v.Mark
	if n.configVersion = v.Version; n.guard != nil {
		n.guard.VersionInForce(v.Version)
	}
	if v.Discovery != "" && v.Discovery != n.discoveryAddr {
		n.handle(DiscoveryMoved{v.Discovery})
	}
	if v.OnApplied == nil {
		return
	}
	pending := pendingVersion{onApplied: v.OnApplied}
	for _, it := range n.items {
		for _, h := range it.handOffs {
			if !h.ended && h.attempt != nil {
				pending.attempts = append(pending.attempts, h.attempt)
			}
		}
	}
	n.pendingVersions = append(n.pendingVersions, pending)
	n.confirmVersions()
}

// apply tells of versions that are in force and before which nothing is still to be written.
func (n *Node) confirmVersions() {
	n.pendingVersions = slices.DeleteFunc(n.pendingVersions, func(p pendingVersion) bool {
		if slices.ContainsFunc(p.attempts, func(a Attempt) bool { return !a.Written() }) {
			return false
		}
		p.onApplied()
		return true
	})
}

// shut gives up what waits while the fleet has shut this process out: what is out ends by itself. This guards against
// work of a process that is behind, or that cannot know whether it is.
func (n *Node) giveUpQueued() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		if it := n.items[wi]; !it.answered && !it.handedOver && it.outstanding == 0 {
			n.inbox = append(n.inbox, giveUpItem(wi))
		}
	}
}

// book counts an act, where somebody keeps account.
func (n *Node) recordAction(a fleet.Act) {
	if n.guard != nil {
		n.guard.RecordAction(a)
	}
}

// allowed tells whether new work may be taken and handed off.
func (n *Node) mayTakeWork() bool { return n.guard == nil || n.guard.Allowed() }

// stop begins the end, anew when a process is there that takes this one's place: then no work is to be taken for longer
// than clients may not know.
func (n *Node) startDrain() {
	if n.drainStart == 0 {
		n.drainStart = n.now
	}
	drainTime := min(n.longestExpiry, maxDrainTime)
	n.answerBy = n.drainStart + drainTime + killGrace - answerMargin
	n.acceptUntil, n.handOverAt = n.drainStart+minAcceptTime, n.drainStart+drainTime
	if !n.transport.Drain(n.takeoverState) { // else it goes on while what is taken has time to end: there may be nobody else
		n.acceptUntil, n.handOverAt = n.drainStart+max(minAcceptTime, drainTime/2), math.Inf(1)
	}
	// What was taken before has to be answered by then as well: what is open at the kill is lost.
	n.inbox = append(n.inbox, answerDeadline(n.answerBy))
}

func (n *Node) requestArrived(c *Request) {
	switch {
	case n.byID[c.ID] != nil || n.usedIDs[0][c.ID] || n.usedIDs[1][c.ID]: // a second copy: ids are new with every request
		n.log.Warn("bad", "bad", "repeated", "id", c.ID)
		c.Respond(Reply{Result: DuplicateID})
		return
	case n.refusing: // others will take it at once
		c.Respond(Reply{Result: Deferred})
		return
	case !n.mayTakeWork(): // others of the fleet will take it
		r := Reply{Result: Deferred}
		if n.settings.MayPause {
			r.RetryAfter = min(overloadRetryAfter, n.settings.MaxPause)
		}
		n.recordAction(fleet.Deferred)
		c.Respond(r)
		return
	case n.open >= min(n.maxOpen, n.clientLimit): // as the settings say, or no socket is left for one more client that waits
		r := Reply{Result: Deferred}
		if n.settings.MayPause {
			r.RetryAfter = min(overloadRetryAfter, n.settings.MaxPause)
		}
		c.Respond(r)
		return
	}
	n.lastWI++
	it := &workItem{wi: n.lastWI, request: c, arrivedAt: n.now}
	if n.Phase() == Draining {
		it.processEndsIn = n.answerBy - n.now
	}
	c.item = it
	n.items[it.wi], n.byID[c.ID] = it, it
	n.open++
	n.schedule(it.deadline()+n.settings.AnswerSlack, it.wi, -1)
	n.inbox = append(n.inbox, it)
}

// answer gives the client's one answer, the first; what comes later is for the books only.
func (n *Node) answer(it *workItem, r Reply) {
	if it.answered {
		return
	}
	it.answered = true
	n.open--
	n.lastAnswer = n.now
	switch r.Result {
	case Deferred:
		n.recordAction(fleet.Deferred)
	case ClientGone, HandedOver:
	default:
		n.recordAction(fleet.Answered)
	}
	it.request.Respond(r)
	if r.Result == Served || r.Result == WrittenOff || r.Result == TimedOut {
		n.rememberID(it.request.ID)
	}
	n.removeIfDone(it)
}

// use remembers the id of a work item that ran or may have. This guards against another client's request under the
// same id, which workers turn away and which could have the effect again.
func (n *Node) rememberID(id string) {
	if n.now >= n.usedRotateAt || len(n.usedIDs[0]) >= maxUsedIDs {
		n.usedIDs = [2]map[string]bool{{}, n.usedIDs[0]}
		n.usedRotateAt = n.now + n.longestExpiry
	}
	n.usedIDs[0][id] = true
}

func (n *Node) removeIfDone(it *workItem) {
	if it.answered && it.outstanding == 0 {
		delete(n.items, it.wi)
		delete(n.byID, it.request.ID)
	}
}

// ended ends a hand-off, once: the first outcome counts, later ones are passed over.
func (n *Node) handOffEnded(it *workItem, ho int, o dispatch.Outcome, result string) {
	if it.handOffs[ho].ended {
		return
	}
	h := &it.handOffs[ho]
	h.ended, h.provenUnrun = true, o.ProvesUnrun()
	it.outstanding--
	if o == dispatch.Finished {
		n.answer(it, Reply{Body: result})
	}
	n.inbox = append(n.inbox, dispatch.Answer{WI: it.wi, HO: ho, Outcome: o, Spent: n.now - h.sentAt,
		Final: it.answered, Load: dispatch.NoLoad})
	n.removeIfDone(it)
}

// callback applies what a worker tells to the hand-off that is out there. Callbacks repeat and come late:
// one for what has ended, is unknown or is at another worker changes nothing. It tells whether the work item is known.
func (n *Node) applyCallback(c Callback) bool {
	it := n.byID[c.ID]
	if it == nil || it.handedOver {
		return false
	}
	earlierEnded := false // an earlier hand-off there may be what it tells of
	for ho := range it.handOffs {
		h := &it.handOffs[ho]
		switch {
		case h.worker != c.From:
		case h.ended:
			earlierEnded = earlierEnded || !h.noCallback
		case c.State == Started || c.State == Running:
			if h.startedAt == 0 {
				h.startedAt = n.now
			}
			n.inbox = append(n.inbox, progressNotice{it.wi, ho, c.State == Started, c.Share})
			return true
		case c.State == Done: // of either: it is the worker's result for this work item
			n.handOffEnded(it, ho, dispatch.Finished, c.Result)
			return true
		case earlierEnded:
			// Nothing tells which. Taken for the newer one's, work that runs could count as never run and run
			// twice; so it is passed over, and the dispatcher's doubts or the expiry end the newer one.
			n.log.Warn("callback", "callback", "ambiguous", "id", c.ID, "from", c.From)
			return true
		default:
			n.handOffEnded(it, ho, map[CallbackState]dispatch.Outcome{Failed: dispatch.Failed,
				Returned: dispatch.Full, Lost: dispatch.Reset}[c.State], "")
			return true
		}
	}
	return true
}

// handOver gives what would be lost at the kill to the process that takes this one's place: work items that wait, and
// those that are out at one worker, which has taken them.
func (n *Node) handOverJobs() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		it := n.items[wi]
		if it.answered || it.outstanding > 1 || slices.ContainsFunc(it.handOffs, func(h handOff) bool { return !h.ended && !h.attempt.Accepted() }) {
			continue
		}
		c := it.request
		j := &Job{ID: c.ID, Category: c.Category, Tenant: c.Tenant, Hint: c.Hint, Key: c.Key, Expiry: c.Expiry}
		for _, h := range it.handOffs {
			j.HandOffs = append(j.HandOffs, JobHandOff{Addr: h.addr, Never: h.noCallback, Taken: dispatch.Taken{Worker: h.worker,
				Sent: h.sentAt, Started: h.startedAt, Done: h.ended, Unrun: h.provenUnrun}})
		}
		n.log.Info("takeover", "takeover", "job handed over", "id", c.ID, "out", it.outstanding)
		it.handedOver = true
		n.answer(it, Reply{Result: HandedOver, Job: j})
	}
}

// adopt takes such a work item in.
func (n *Node) adoptJob(c *Request, j Job) {
	if n.byID[c.ID] != nil {
		c.Respond(Reply{Result: DuplicateID})
		return
	}
	n.lastWI++
	it := &workItem{wi: n.lastWI, request: c, arrivedAt: n.now}
	c.item = it
	n.items[it.wi], n.byID[c.ID] = it, it
	n.open++
	n.schedule(it.deadline()+n.settings.AnswerSlack, it.wi, -1)
	for k, t := range j.HandOffs {
		h := handOff{worker: t.Worker, sentAt: t.Sent, ended: t.Done, noCallback: t.Never, provenUnrun: t.Unrun, startedAt: t.Started, addr: t.Addr}
		if !h.ended {
			it.outstanding++
			h.attempt = n.transport.AdoptHandOff(HandOffRequest{WI: it.wi, HO: k, ID: c.ID, Addr: t.Addr, Message: c.Message})
			n.schedule(c.Expiry, it.wi, k)
		}
		it.handOffs = append(it.handOffs, h)
	}
	n.inbox = append(n.inbox, adoptedJob{it, j.HandOffs})
}

// known is what the process that takes this one's place is told. From then on that one alone warms workers.
func (n *Node) takeoverState() TakeoverState {
	k := TakeoverState{Discovery: n.discoveryAddr, Revision: n.revision}
	for id := range n.byID {
		k.Used = append(k.Used, id)
	}
	for _, used := range n.usedIDs {
		for id := range used {
			k.Used = append(k.Used, id)
		}
	}
	slices.Sort(k.Used)
	if d, ok := n.decider.(takeoverDecider); ok {
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
func (n *Node) inheritState(k TakeoverState) {
	for _, id := range k.Used {
		n.rememberID(id)
	}
	if len(k.Members) > 0 && (!n.discoveryAnswered || k.Discovery == n.discoveryAddr && k.Revision > n.revision) {
		if !n.settings.OnlyDraining {
			clear(n.addrs)
		}
		n.updateAddrs(k.Members)
		n.inbox = append(n.inbox, listUpdate{dispatch.Restored, k.Members})
	}
	n.inbox = append(n.inbox, k.Learned)
	n.log.Info("takeover", "takeover", "inherited", "list", k.Revision, "own", n.revision, "members", len(k.Members),
		"ids", len(k.Used))
}

func (n *Node) updateAddrs(members []Member) {
	for _, m := range members {
		switch {
		case m.State != dispatch.Gone:
			n.addrs[m.Worker] = m.Addr
		case !n.settings.OnlyDraining: // else it may still be sent to where it was
			delete(n.addrs, m.Worker)
		}
	}
}

func (n *Node) discoveryUpdate(l DiscoveryUpdate) {
	if !slices.Contains(n.openWatches, l.Watch) {
		return
	}
	if !n.watchAnswered {
		n.closeWatches(l.Watch)
		n.watchAnswered, n.nextWatchAt = true, math.Inf(1)
	}
	form := dispatch.ListChanges
	if l.Complete {
		if form = dispatch.Complete; !n.settings.OnlyDraining {
			clear(n.addrs)
		}
	}
	// Guards against lines out of order: an older one must not put a worker back into use that drains by a newer one. Its
	// drains hold, and the whole list is asked for.
	outdated := !l.Complete && l.Revision < n.revision
	if outdated {
		n.log.Warn("list", "older", l.Revision, "known", n.revision)
		l.Revision, l.Members = FullList, slices.DeleteFunc(slices.Clone(l.Members), func(m Member) bool { return m.State != dispatch.Draining })
	}
	n.updateAddrs(l.Members)
	n.revision = l.Revision
	n.discoveryAnswered = true
	hasNews := l.Complete || len(l.Members) > 0
	if hasNews {
		n.log.Info("list", "list", l.Revision, "complete", l.Complete, "members", len(l.Members))
	}
	if hasNews || n.pollPending {
		n.inbox = append(n.inbox, listUpdate{form, l.Members})
	}
	n.pollPending = false
	if outdated {
		n.openWatch()
	}
}

// ask opens a watch in place of one that has spoken, or beside those that have said nothing yet. What discovery has
// counts as told some seconds later, whatever became of the calls: this guards against a call that hangs, or a watch
// that is silent from the start, while the next one would be answered.
func (n *Node) openWatch() {
	switch {
	case n.watchAnswered:
		n.closeWatches(0)
	case len(n.openWatches) >= maxWatches:
		n.transport.Unwatch(n.openWatches[0])
		n.openWatches = n.openWatches[1:]
	}
	n.newestWatch++
	n.openWatches = append(n.openWatches, n.newestWatch)
	n.pollPending = n.settings.MustAsk
	interval := float64(watchInterval)
	if n.settings.MustAsk {
		interval = n.capByAskWithin(pollInterval)
	}
	n.nextWatchAt = n.now + interval*(0.8+0.4*n.random())
	n.transport.Watch(n.newestWatch, n.discoveryAddr, n.revision)
}

// within shortens a time of asking to what the settings leave for it.
func (n *Node) capByAskWithin(interval float64) float64 {
	if n.settings.AskWithin > 0 {
		interval = min(interval, askWithinShare*n.settings.AskWithin)
	}
	return interval
}

// unwatch ends all watches but one.
func (n *Node) closeWatches(except int) {
	for _, k := range n.openWatches {
		if k != except {
			n.transport.Unwatch(k)
		}
	}
	n.openWatches = slices.DeleteFunc(n.openWatches, func(k int) bool { return k != except })
	n.watchAnswered = n.watchAnswered && len(n.openWatches) > 0
}

// broken takes the end of a watch. Discovery is asked again after a short time, unless the dispatcher does so before.
func (n *Node) watchEnded(watch int) {
	if !slices.Contains(n.openWatches, watch) {
		return
	}
	n.openWatches = slices.DeleteFunc(n.openWatches, func(k int) bool { return k == watch })
	delay := float64(watchRetryMean)
	switch {
	case n.settings.MustAsk && n.watchAnswered:
		delay = n.capByAskWithin(pollRetryMean)
	case n.settings.MustAsk: // a call that failed: many that fail would be made again and again
		delay = n.capByAskWithin(pollInterval)
	case n.settings.DrainGrace > 0:
		delay = min(delay, n.settings.DrainGrace/drainGraceParts)
	}
	if n.watchAnswered = false; len(n.openWatches) == 0 {
		n.nextWatchAt = min(n.nextWatchAt, n.now+delay*(0.5+n.random()))
	}
	if n.pollPending = n.pollPending && len(n.openWatches) > 0; n.settings.MustAsk && !n.pollPending {
		n.inbox = append(n.inbox, listUpdate{dispatch.Unavailable, nil})
	}
}

func (n *Node) schedule(when float64, wi uint64, ho int) { heap.Push(&n.timers, timer{when, wi, ho}) }

// timers does what is due.
func (n *Node) runTimers() {
	for len(n.timers) > 0 && n.timers[0].at <= n.now {
		t := heap.Pop(&n.timers).(timer)
		it := n.items[t.wi]
		switch {
		case t.wi == 0:
			n.timerFired = true
		case it == nil || it.handedOver:
		case t.ho >= 0:
			if h := &it.handOffs[t.ho]; !h.ended {
				n.handOffEnded(it, t.ho, dispatch.TimedOut, "")
				h.attempt.Cancel()
			}
		case !it.answered: // the dispatcher gave no answer by the deadline and the slack
			n.log.Error("overdue", "overdue", it.request.ID)
			n.answer(it, Reply{Result: TimedOut})
			n.inbox = append(n.inbox, clientLeft(it.wi))
		}
	}
	if n.now >= n.nextWatchAt {
		n.openWatch()
	}
	switch n.Phase() {
	case Starting:
		if n.discoveryAnswered || len(n.addrs) > 0 && n.now >= n.startedAt+cachedListDelay {
			n.setPhase(Serving)
		}
	case Draining:
		if !n.refusing && n.now >= n.acceptUntil {
			// Not before: a client whose connection closes would look for a dispatcher where there may be none.
			n.refusing = true
			n.transport.CloseIdle()
		}
		if n.now >= n.handOverAt {
			n.handOverAt = n.now + handOverRetry
			n.handOverJobs()
		}
		if n.refusing && n.allAnswered() {
			n.setPhase(Stopped)
		}
	}
}

// settled tells that all is answered, and that the dispatcher has seen it: what is still out is called off.
func (n *Node) allAnswered() bool { return n.open == 0 && n.lastRound >= n.lastAnswer }

// chance draws from [0, 1) by multiply-with-carry.
func (n *Node) random() float64 {
	n.rngState = 4294957665*(n.rngState&math.MaxUint32) + n.rngState>>32
	return float64(uint32(n.rngState)) / (1 << 32)
}
