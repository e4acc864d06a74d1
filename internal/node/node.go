// Package node runs one dispatcher, independent of any wire protocol. A single goroutine, the event loop,
// owns the Dispatcher and every work item, hand-off, timer and phase. Every event arrives through its queue
// as a small typed value, and only the event loop changes state. It requests reads and writes from a
// Transport. It must never block on a socket or a queue, parse or format a message, or decide where a work
// item goes: that is the job of the Dispatcher, which is called at most once per round interval
// (Settings.RoundInterval).
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

// Phase is the stage of the process between its start and its exit.
type Phase int32

// The phases, in order.
const (
	Starting Phase = iota // no list of workers yet
	Serving
	Draining // told to stop: still answers the requests that it has accepted
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "stopped"}[p]
}

// Ready reports whether clients may be sent to a process in this phase.
func (p Phase) Ready() bool { return p == Serving }

// Times and limits of the process itself, times in milliseconds. What operators can set is in the settings.
const (
	cachedListDelay = 500 // the cached list of workers is used if discovery has not answered for this long
	minAcceptTime   = 500 // after a stop, new work is accepted for at least this long: clients may not know of the stop

	// The supervisor kills the process killGrace after the end of the drain time, which begins with a stop
	// and is the smaller of maxDrainTime and the longest expiry. All requests are answered answerMargin
	// before the kill.
	maxDrainTime = 3000
	killGrace    = 700
	answerMargin = 200

	handOverRetry       = 50   // interval between attempts to hand over the remaining work items
	overloadRetryAfter  = 1000 // Retry-After for a client that is turned away at the limit of open work items
	guardInterval       = 10   // interval at which the lease guard is checked while there is work
	poolMetricsInterval = 100  // the metrics about workers are at most this old, plus one round

	// Mean delay before a watch is opened in place of one that ended. The delay is random, so that
	// dispatchers do not all open one at once. It is at most a quarter of the time within which a drain must
	// be obeyed (DrainGrace): discovery may announce a drain meanwhile.
	watchRetryMean    = 333
	drainGraceDivisor = 4

	// If discovery has not answered a watch, one more is opened after this time, plus or minus 20%. So a change is
	// known within 6 s even if, after a watch fell silent, two more in a row stay silent.
	watchInterval = 1000

	// The same two times for a poll, which is a watch where discovery only answers requests. Polls may queue
	// there, so the next one is made later. A poll that fell silent has used up half of the time by then.
	pollRetryMean  = 1000
	pollInterval   = 3500
	askWithinShare = 0.35 // both are at most this fraction of the setting DiscoveryAskWithin

	maxWatches = 3    // watches that may wait for discovery at once
	queueSize  = 4096 // events that wait for the event loop
	maxUsedIDs = 8192 // remembered IDs of answered work items in each of the two generations
)

// FullList, given in place of a revision, requests the complete list of workers.
const FullList = -1

// Transport exchanges messages with clients, workers, peers and discovery. No call may block; its results
// come in through the queue.
type Transport interface {
	// Send starts a hand-off. If the worker does not accept it, one HandOffEnded follows; if it does, the
	// worker's callbacks report the outcome.
	Send(s HandOffRequest) Attempt
	// AdoptHandOff continues a hand-off that another process made and that its worker has accepted.
	AdoptHandOff(s HandOffRequest) Attempt
	// Watch requests from discovery at addr all changes after the given revision, or the complete list
	// followed by its changes. It lasts until a WatchEnded or until Unwatch. Several watches may be open at
	// once.
	Watch(number int, addr string, after int64)
	// Unwatch closes a watch.
	Unwatch(number int)
	// SendToPeer sends a message to one peer, or to all peers if to is -1.
	SendToPeer(to int, data []byte)
	// Drain makes clients go to other dispatchers: each connection is closed after its next deferral. If
	// another process takes over from this one, Drain sends it the takeover state, and each connection is
	// closed after its next answer. It may call the function that returns the state before it returns. It
	// reports whether another process takes over.
	Drain(state func() TakeoverState) (hasSuccessor bool)
	// ShareID tells the other processes of this dispatcher that a job with the ID was accepted here.
	ShareID(id string)
	// ForwardCallback asks the other processes of this dispatcher whether they know the work item of a
	// callback, and to apply it. c.Respond must not be nil; it is called once, with the result.
	ForwardCallback(c Callback)
	// CloseIdle closes the connections that wait for a request.
	CloseIdle()
}

// Attempt is a hand-off in progress in the transport.
type Attempt interface {
	// Cancel makes the worker drop the work item, as far as that is possible. A HandOffEnded follows, unless
	// there has been one already.
	Cancel()
	// Accepted reports whether the worker has accepted the work item. From then on only its callbacks report
	// progress.
	Accepted() bool
	// Written reports whether nothing of the hand-off remains to be written.
	Written() bool
}

// HandOffRequest describes a hand-off to make.
type HandOffRequest struct {
	WI      uint64
	HO      int
	ID      string // the request ID, as the client sent it
	Addr    string
	Message any     // the value that the transport passed with the request
	Timeout float64 // time to wait for the result, in ms
	Mark    string  // release mark of the current configuration; empty: none
}

// Request is a work item as a client submitted it. The client waits for the answer.
type Request struct {
	ID       string
	Category int // below 0: another process accepted it, and the settings here do not have its category
	Tenant   int
	Hint     float64
	Key      string  // key of the data that the work item needs; empty: none
	Expiry   float64 // time on the clock of Now
	Message  any     // set to nil by the event loop once the client has its answer
	// Of a job that another process accepted: its category there, whose promises bind. Nil: as configured here.
	AcceptedAs *dispatch.Category
	// The transport had no memory for its content, so that it can only be deferred.
	ContentDropped bool
	Respond        func(Reply) // called once, by the event loop; must not block
	item           *workItem   // owned by the event loop
}

// Result is the outcome that a client receives.
type Result int

// The results.
const (
	Served   Result = iota
	Deferred        // the client may safely retry
	WrittenOff
	TimedOut // no answer came in time
	DuplicateID
	ClientGone // the client disconnected: there is nobody to answer
	HandedOver // another process answers
)

// Reply is the answer to a client.
type Reply struct {
	Result     Result
	Body       string
	RetryAfter float64 // in ms; 0: no advice
	Job        *Job    // the job that is handed over
}

// The events that come in through the queue.
type (
	// RequestArrived is a new work item.
	RequestArrived struct{ Request *Request }
	// ClientDisconnected reports that a client disconnected before it was answered.
	ClientDisconnected struct{ Request *Request }
	// HandOffEnded is the end of a hand-off as its connection shows it.
	HandOffEnded struct {
		WI      uint64
		HO      int
		Outcome dispatch.Outcome
	}
	// Callback is a worker's report on a work item.
	Callback struct {
		ID, From string
		State    CallbackState
		Share    float64
		Result   string
		// Respond is called once, by the event loop or by the transport that it forwarded the callback to. It
		// must not block. Nil: nobody waits for the result.
		Respond func(CallbackResult)
		// The process that forwarded it, if any; that process is not asked again.
		FromSuccessor, FromPredecessor bool
	}
	// SuccessorReady reports that another process is ready to take over from this one.
	SuccessorReady struct{}
	// JobAdopted is a work item taken over from the predecessor.
	JobAdopted struct {
		Request *Request
		Job     Job
	}
	// IDUsed reports that another process of this dispatcher has accepted a job with the ID.
	IDUsed struct{ ID string }
	// StateInherited is the state taken over from the predecessor.
	StateInherited struct{ State TakeoverState }
	// DiscoveryUpdate is a list of workers, or a change to it, that discovery sent.
	DiscoveryUpdate struct {
		Watch    int // number of the watch that brought it
		Revision int64
		Complete bool
		Members  []Member
	}
	// WatchEnded reports the end of a watch.
	WatchEnded struct{ Watch int }
	// ConfigChanged is the configuration that is in force from now on.
	ConfigChanged struct {
		Version   uint64 // version in the fleet's history; 0: the process's own configuration
		Settings  dispatch.Settings
		MaxOpen   int
		Mark      string
		Discovery string // address of discovery; if it differs from the current one, the node switches to it
		// OnApplied is called once no hand-off that began under an earlier version remains to be written;
		// nil: nobody waits for that.
		OnApplied func()
	}
	// ClientLimit sets how many clients may wait at once, given the descriptors that are available.
	ClientLimit struct{ Max int }
	// DiscoveryMoved sets the address of discovery.
	DiscoveryMoved struct{ Discovery string }
	// PeerMessage is a message from a peer.
	PeerMessage struct {
		From int
		Data []byte
	}
	// Stop requests an orderly shutdown.
	Stop struct{}
)

// CallbackResult is the effect of a callback.
type CallbackResult int

// The results of a callback.
const (
	CallbackApplied      CallbackResult = iota
	CallbackUnknown                     // no process knows the work item
	CallbackUndetermined                // another process may know it
)

// LeaseGuard says whether the fleet allows this process to act. No call may block.
type LeaseGuard interface {
	// Allowed reports whether new work may be accepted and handed off now.
	Allowed() bool
	// VersionInForce reports that a version of the fleet's configuration is in force here; RecordAction
	// counts an action.
	VersionInForce(version uint64)
	RecordAction(fleet.Action)
}

// CallbackState is the state of a work item that a callback reports.
type CallbackState int

// The states that a callback can report.
const (
	Started CallbackState = iota
	Running
	Done
	Failed
	Returned // the worker refused the work for lack of room
	Lost     // the worker lost the work, which may have run
)

// Member is a worker as discovery lists it, with its address.
type Member struct {
	dispatch.Entry
	Addr string
}

// handOff is one hand-off as the event loop knows it.
type handOff struct {
	worker      string
	place       *dispatch.Place // of the worker when it got the hand-off; nil: not known
	sentAt      float64
	attempt     Attempt
	ended       bool
	noCallback  bool    // it did not reach the worker, or was rejected on its connection: no callback will come
	provenUnrun bool    // it is proven not to have run
	mayStillRun bool    // it has ended here, but the worker may still run it
	startedAt   float64 // 0: no start has been reported
	addr        string
}

// workItem exists until its client is answered and all its hand-offs have ended.
type workItem struct {
	wi            uint64
	request       *Request
	handOffs      []handOff
	outstanding   int
	answered      bool    // the client has its answer, or has disconnected
	handedOver    bool    // another process has it
	processEndsIn float64 // time between the arrival and the end of this process; 0: no end is planned
	arrivedAt     float64
}

// deadline is the time by which the work item must be answered.
func (it *workItem) deadline() float64 {
	if it.processEndsIn > 0 {
		return min(it.request.Expiry, it.arrivedAt+it.processEndsIn)
	}
	return it.request.Expiry
}

// timer is a time at which the event loop must act on a hand-off, on a work item (ho -1), or for the
// Dispatcher (wi 0).
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

// Node is one running dispatcher. Other goroutines than the event loop's may call only Enqueue, Phase, Now
// and Done.
type Node struct {
	settings          dispatch.Settings
	maxOpen           int
	clientLimit       int // limit on waiting clients by the available descriptors
	transport         Transport
	decider           dispatch.Decider
	queue             chan any
	stopped           chan struct{}
	phase             atomic.Int32
	clock             func() float64
	log               *slog.Logger
	now               float64
	lastRound         float64 // time of the last round
	timerFired        bool    // a timer of the Dispatcher has expired since the last round
	inbox             []any
	items             map[uint64]*workItem
	byID              map[string]*workItem
	usedIDs           [2]map[string]bool // IDs of work items that ran or may have run; the newer generation first
	usedRotateAt      float64            // the newer generation becomes the older one at this time
	longestExpiry     float64            // a client may legitimately repeat a request within this time
	members           map[string]Member  // workers that can be reached, as last listed
	lastAnswer        float64            // time of the last answer to a client
	open              int                // work items whose client waits
	lastWI            uint64
	timers            timerQueue
	rngState          uint64
	newestWatch       int     // number of the newest watch
	openWatches       []int   // oldest first; once one has answered, only that one
	watchAnswered     bool    // the open watch has answered
	pollPending       bool    // discovery only answers requests, and the newest poll has no answer yet
	nextWatchAt       float64 // time of the next watch; infinite: none is planned
	discoveryAddr     string
	metrics           *metrics.Metrics
	nextPoolMetrics   float64 // time of the next update of the pool metrics
	revision          int64   // revision of the last update; FullList: there has been no complete list
	discoveryAnswered bool    // discovery has sent an update, not only the cache
	startedAt         float64
	drainStart        float64
	acceptUntil       float64 // after a stop, no new work is accepted from this time on
	answerBy          float64 // all accepted work is answered by this time
	// work items that are still open are handed over from this time on; infinite: there is no successor
	handOverAt      float64
	refusing        bool       // no new work is accepted
	guard           LeaseGuard // nil: this process belongs to no fleet
	configVersion   uint64     // version in the fleet's history that is in force
	mark            string
	pendingVersions []pendingVersion // versions in force that are not confirmed yet
}

// pendingVersion holds the hand-offs that began before a version was in force and that are not yet written.
type pendingVersion struct {
	attempts  []Attempt
	onApplied func()
}

// Options configure a node.
type Options struct {
	Settings  dispatch.Settings
	MaxOpen   int    // limit on clients that wait at once
	Discovery string // address of discovery
	// CachedList is the last known list of workers, perhaps outdated. Its revision is not sent to discovery,
	// which may have been at another address then and may count revisions differently.
	CachedList DiscoveryUpdate
	// Clock returns the time in milliseconds and never goes back; nil: the system clock, as Unix time.
	Clock func() float64
	Log   *slog.Logger // nil: the default logger
	// Metrics receives the counts of workers; nil: none.
	Metrics *metrics.Metrics
	Mark    string
	// Guard is asked before each hand-off; nil: the process belongs to no fleet.
	Guard LeaseGuard
	// Decider makes the decisions; nil: a dispatch.Dispatcher. Tests and benchmarks pass other deciders to
	// compare with it.
	Decider dispatch.Decider
}

// monotonicClock returns a clock that starts at the system's Unix time and from then on never goes back.
func monotonicClock() func() float64 {
	start := time.Now()
	unixMs := float64(start.UnixMicro()) / 1000
	return func() float64 { return unixMs + float64(time.Since(start))/1e6 }
}

// New returns a node that serves once it is run.
func New(o Options) *Node {
	s := o.Settings
	n := &Node{settings: s, maxOpen: o.MaxOpen, clientLimit: math.MaxInt, decider: o.Decider, queue: make(chan any, queueSize),
		stopped: make(chan struct{}), clock: o.Clock, log: o.Log, items: map[uint64]*workItem{},
		byID: map[string]*workItem{}, members: map[string]Member{}, rngState: s.Seed>>32 | 1, lastRound: math.Inf(-1),
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
	n.updateMembers(o.CachedList.Members)
	n.inbox = append(n.inbox, listUpdate{dispatch.ListRestored, o.CachedList.Members})
	return n
}

// Now returns the time of the clock that arrivals, rounds and the start times of workers use.
func (n *Node) Now() float64 { return n.clock() }

// Phase returns the current phase.
func (n *Node) Phase() Phase { return Phase(n.phase.Load()) }

// Done is closed once the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Enqueue passes an event to the event loop. It blocks while the queue is full. It returns false if the node
// has stopped.
func (n *Node) Enqueue(v any) bool {
	select {
	case n.queue <- v:
		return true
	case <-n.stopped:
		return false
	}
}

// Run is the event loop. It returns once the node was told to stop and has answered all the work that it
// accepted.
func (n *Node) Run(transport Transport) {
	n.start(transport)
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

// handleQueued handles the given events and those that are queued by now before it decides anything, even when a
// timer fires. After the process was suspended, both are present at once, and the node must not act on work that
// has ended meanwhile. Later events wait for the next time: under a flood of them nothing would be decided, and
// requests that are newer than the node's time would seem to have more time left than they have.
func (n *Node) handleQueued(values ...any) {
	queued := len(n.queue)
	n.now = n.Now()
	for _, v := range values {
		n.handle(v)
	}
	for range queued {
		n.handle(<-n.queue)
	}
	n.advance()
}

// Begin starts a node that no goroutine runs: the caller drives it with Step, by its own clock. It returns
// the same as Step.
func (n *Node) Begin(transport Transport) float64 {
	n.start(transport)
	n.advance()
	return n.nextWake()
}

// Step handles events and runs expired timers, as Run does for queued events. It returns the time, on the
// clock of Now, by which it must be called again if no event comes in; infinite once the node has stopped.
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

func (n *Node) start(transport Transport) {
	n.transport, n.now = transport, n.Now()
	n.startedAt = n.now
	if !n.settings.DiscoveryOnRequest {
		n.openWatch()
	}
	n.round()
}

// advance runs expired timers and, once per round interval, lets the Dispatcher decide.
func (n *Node) advance() {
	n.runTimers()
	if n.guard != nil {
		n.confirmVersions()
		if n.now >= n.lastRound+n.settings.RoundInterval && !n.guard.Allowed() {
			n.giveUpQueued()
		}
	}
	if (len(n.inbox) > 0 || n.timerFired) && n.now >= n.lastRound+n.settings.RoundInterval {
		n.round()
	}
}

// nextWake returns the time at which the event loop must act if no event comes in.
func (n *Node) nextWake() float64 {
	wake := min(n.now+1000, n.nextWatchAt)
	if len(n.timers) > 0 {
		wake = min(wake, n.timers[0].at)
	}
	if n.guard != nil && len(n.items) > 0 || len(n.pendingVersions) > 0 { // a lease expires without an event
		wake = min(wake, n.now+guardInterval)
	}
	switch n.Phase() {
	case Starting:
		if t := n.startedAt + cachedListDelay; n.now < t { // after that, only discovery can help
			wake = min(wake, t)
		}
	case Draining:
		if !n.refusing {
			wake = min(wake, n.acceptUntil)
		}
		wake = min(wake, n.handOverAt)
	}
	if len(n.inbox) > 0 || n.timerFired {
		wake = min(wake, n.lastRound+n.settings.RoundInterval)
	}
	return wake
}

func (n *Node) setPhase(p Phase) {
	n.log.Info("phase", "phase", p, "was", n.Phase(), "open", n.open)
	n.phase.Store(int32(p))
}

// handle processes one event.
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
			it.handOffs[v.HO].noCallback = v.Outcome.ProvesNotRun()
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
	case IDUsed:
		n.rememberID(v.ID)
	case JobAdopted:
		n.adoptJob(v.Request, v.Job)
	case DiscoveryUpdate:
		n.discoveryUpdate(v)
	case WatchEnded:
		n.watchEnded(v.Watch)
	case DiscoveryMoved:
		// The list from the old address stays in use until the new one has sent its complete list: it may
		// count revisions differently. At the same address a watch that is open goes on: reloads in quick
		// succession would otherwise keep a slow discovery from answering any.
		n.log.Info("moved", "discovery", v.Discovery, "was", n.discoveryAddr, "phase", n.Phase())
		if v.Discovery == n.discoveryAddr && len(n.openWatches) > 0 {
			return
		}
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
		panic(fmt.Sprintf("unknown event %T", v))
	}
}

// applyConfig puts a configuration in force. Every change of configuration goes through this method.
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

// confirmVersions confirms the versions in force for which no earlier hand-off remains to be written.
func (n *Node) confirmVersions() {
	n.pendingVersions = slices.DeleteFunc(n.pendingVersions, func(p pendingVersion) bool {
		if slices.ContainsFunc(p.attempts, func(a Attempt) bool { return !a.Written() }) {
			return false
		}
		p.onApplied()
		return true
	})
}

// giveUpQueued gives up queued work items while the fleet does not allow this process to act; hand-offs in
// progress end by themselves. This guards against work by a process that has an outdated version, or that
// cannot know whether it has.
func (n *Node) giveUpQueued() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		if it := n.items[wi]; !it.answered && !it.handedOver && it.outstanding == 0 {
			n.inbox = append(n.inbox, giveUpItem(wi))
		}
	}
}

// recordAction counts an action, if the process belongs to a fleet.
func (n *Node) recordAction(a fleet.Action) {
	if n.guard != nil {
		n.guard.RecordAction(a)
	}
}

// mayTakeWork reports whether new work may be accepted and handed off.
func (n *Node) mayTakeWork() bool { return n.guard == nil || n.guard.Allowed() }

// startDrain starts the shutdown. It runs again when a successor appears: then work is accepted only for as
// long as clients may not know of the stop.
func (n *Node) startDrain() {
	if n.drainStart == 0 {
		n.drainStart = n.now
	}
	drainTime := min(n.longestExpiry, maxDrainTime)
	n.answerBy = n.drainStart + drainTime + killGrace - answerMargin
	n.acceptUntil, n.handOverAt = n.drainStart+minAcceptTime, n.drainStart+drainTime
	// Without a successor, accept work while there is time to finish it: there may be no other dispatcher.
	if !n.transport.Drain(n.takeoverState) {
		n.acceptUntil, n.handOverAt = n.drainStart+max(minAcceptTime, drainTime/2), math.Inf(1)
	}
	// Work accepted earlier has to be answered by then as well: what is open at the kill is lost.
	n.inbox = append(n.inbox, answerDeadline(n.answerBy))
}

func (n *Node) requestArrived(req *Request) {
	switch {
	case n.byID[req.ID] != nil || n.usedIDs[0][req.ID] || n.usedIDs[1][req.ID]: // a duplicate: IDs are unique to each request
		n.log.Warn("bad", "bad", "repeated", "id", req.ID)
		req.Respond(Reply{Result: DuplicateID})
		return
	case n.refusing: // other dispatchers accept it at once
		req.Respond(Reply{Result: Deferred})
		return
	case !n.mayTakeWork(): // other members of the fleet accept it
		r := Reply{Result: Deferred}
		if n.settings.MayAdviseRetryAfter {
			r.RetryAfter = min(overloadRetryAfter, n.settings.MaxRetryAfter)
		}
		n.recordAction(fleet.Deferred)
		req.Respond(r)
		return
	// No memory is left for its content, the configured limit is reached, or no descriptor is left for another
	// waiting client.
	case req.ContentDropped, n.open >= min(n.maxOpen, n.clientLimit):
		r := Reply{Result: Deferred}
		if n.settings.MayAdviseRetryAfter {
			r.RetryAfter = min(overloadRetryAfter, n.settings.MaxRetryAfter)
		}
		req.Respond(r)
		return
	}
	n.lastWI++
	it := &workItem{wi: n.lastWI, request: req, arrivedAt: n.now}
	if n.Phase() == Draining {
		it.processEndsIn = n.answerBy - n.now
	}
	req.item = it
	n.items[it.wi], n.byID[req.ID] = it, it
	n.open++
	n.transport.ShareID(req.ID)
	n.schedule(it.deadline()+n.settings.AnswerSlack, it.wi, -1)
	n.inbox = append(n.inbox, it)
}

// answer sends the client its only answer, the first one. Later ones are ignored.
func (n *Node) answer(it *workItem, r Reply) {
	if it.answered {
		return
	}
	it.answered = true
	it.request.Message = nil // it is not sent any more, and the work item may outlive its client by far
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

// rememberID stores the ID of a work item that ran or may have run. This guards against another client's
// request with the same ID, which workers reject and which could repeat the effect.
func (n *Node) rememberID(id string) {
	if n.now >= n.usedRotateAt || len(n.usedIDs[0]) >= maxUsedIDs {
		n.usedIDs = [2]map[string]bool{{}, n.usedIDs[0]}
		n.usedRotateAt = n.now + n.longestExpiry
	}
	n.usedIDs[0][id] = true
}

// removeIfDone removes a work item that is answered and of which nothing is out. Its ID stays known if it may have
// run, also for a client that has left: the ID may come again.
func (n *Node) removeIfDone(it *workItem) {
	if it.answered && it.outstanding == 0 {
		if slices.ContainsFunc(it.handOffs, func(h handOff) bool { return !h.provenUnrun }) {
			n.rememberID(it.request.ID)
		}
		delete(n.items, it.wi)
		delete(n.byID, it.request.ID)
	}
}

// handOffEnded ends a hand-off once: the first outcome counts, later ones are ignored.
func (n *Node) handOffEnded(it *workItem, ho int, o dispatch.Outcome, result string) {
	if it.handOffs[ho].ended {
		return
	}
	h := &it.handOffs[ho]
	h.ended, h.provenUnrun, h.mayStillRun = true, o.ProvesNotRun(), o.MayStillRun()
	it.outstanding--
	if o == dispatch.Finished {
		n.answer(it, Reply{Body: result})
	}
	n.inbox = append(n.inbox, dispatch.HandOffResult{WI: it.wi, HO: ho, Outcome: o, Elapsed: n.now - h.sentAt,
		Final: it.answered, Load: dispatch.UnknownLoad})
	n.removeIfDone(it)
}

// applyCallback applies a worker's report to the matching hand-off in progress. Callbacks may be repeated or
// late: one for a hand-off that has ended, for an unknown work item or from another worker changes nothing.
// It reports whether the work item is known.
func (n *Node) applyCallback(c Callback) bool {
	it := n.byID[c.ID]
	if it == nil || it.handedOver {
		return false
	}
	earlierEnded := false // the callback may concern an earlier hand-off to the same worker
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
		case c.State == Done: // whichever of them it concerns, it is the worker's result for this work item
			n.handOffEnded(it, ho, dispatch.Finished, c.Result)
			return true
		case earlierEnded:
			// It is unknown which hand-off the callback concerns. If it were applied to the newer hand-off,
			// work that runs could count as never run and run twice. The callback is ignored; the
			// Dispatcher's timeouts or the expiry end the newer hand-off.
			n.log.Warn("callback", "callback", "ambiguous", "id", c.ID, "from", c.From)
			return true
		default:
			n.handOffEnded(it, ho, map[CallbackState]dispatch.Outcome{Failed: dispatch.Failed,
				Returned: dispatch.Full, Lost: dispatch.ConnReset}[c.State], "")
			return true
		}
	}
	return true
}

func (n *Node) schedule(when float64, wi uint64, ho int) { heap.Push(&n.timers, timer{when, wi, ho}) }

// runTimers runs all expired timers.
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
		case !it.answered: // the Dispatcher gave no answer by the deadline plus the slack
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
		if n.discoveryAnswered || len(n.members) > 0 && n.now >= n.startedAt+cachedListDelay {
			n.setPhase(Serving)
		}
	case Draining:
		if !n.refusing && n.now >= n.acceptUntil {
			// Not earlier: a client whose connection closes would look for another dispatcher, and there may
			// be none.
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

// allAnswered reports whether every request is answered and the Dispatcher has been told, so that it has
// cancelled the hand-offs in progress.
func (n *Node) allAnswered() bool { return n.open == 0 && n.lastRound >= n.lastAnswer }

// random returns a number from [0, 1), generated by multiply-with-carry.
func (n *Node) random() float64 {
	n.rngState = 4294957665*(n.rngState&math.MaxUint32) + n.rngState>>32
	return float64(uint32(n.rngState)) / (1 << 32)
}
