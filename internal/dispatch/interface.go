package dispatch

// Times are milliseconds with fractions. Categories, tenants, kinds and zones are
// positions in the lists of the settings, -1 where there is none; ids are the wire's.

// Settings is what a dispatcher is told when it starts.
type Settings struct {
	Seed                uint64
	RoundInterval       float64 // least time between rounds
	Dispatchers         int     // dispatchers that share the workers, this one included
	Position            int     // this one's among them, from 0
	Zone                int
	PreferOwnZone       bool // handing off to another zone has a price
	KeyAffinity         bool // a fetch of what a work item's key stands for has a price
	LiveWeights         bool // a listed weight is the worker's size over 1 and the work items that it holds for each core
	Kinds               int
	Categories          []Category
	Tenants             []Tenant
	ExcessCredit        float64 // part of the credit earned beyond a tenant's share
	StartNotices        bool
	ProgressInterval    float64 // time between progress notices; 0: none
	DiscoveryOnRequest  bool    // discovery answers only when asked
	MayCancel           bool
	MayNotifyPeers      bool
	MayAdviseRetryAfter bool
	SecondCopies        bool
	MaxRetryAfter       float64
	MaxHandOffs         int
	AnswerSlack         float64
	DiscoveryAskWithin  float64
	DrainGrace          float64 // after this time nothing may be sent to a worker told to drain; 0: not said
	OnlyDrainingBinds   bool    // a worker that is called gone, or left out, is not bound by that
	StartCapacity       float64 // least part of its capacity with which a worker starts
	WarmUpTime          float64 // it is warm after this time at the latest
	OverloadMultiple    float64
	OverloadWindow      float64
}

// Repeat says what a category allows once a work item may have run.
type RepeatPolicy int

// The three kinds of category.
const (
	Rerunnable RepeatPolicy = iota
	Ticketed
	Exclusive
)

// Group says which workers drop the repeats of a ticketed work item.
type DedupScope int

// The groups of workers.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Category is what the settings say of one category.
type Category struct {
	Repeat      RepeatPolicy
	DedupScope  DedupScope
	DedupWindow float64 // a ticketed repeat is known for so long
	DueTime     float64
	DueStretch  float64 // the due time grows by so much of the hinted cost
	Expiry      float64
	Credit      float64
	Kind        int // the one kind that runs it, or -1
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	AllowancePerSec float64 // work items a second within its share, all dispatchers together
}

// WorkItem is a client's request as it arrives.
type WorkItem struct {
	ID         uint64
	Category   int
	Tenant     int
	TimeLeft   float64 // until the client gives up
	ShutdownIn float64 // the dispatcher itself ends after this time; 0: it does not
	Hint       float64 // cost at speed 1; 0: none
	Key        string  // what it is about, of which a worker keeps some; empty: nothing
}

// Outcome is how a hand-off ended.
type Outcome int

// The outcomes.
const (
	Finished Outcome = iota
	Failed
	Full
	TimedOut
	ConnectFailed
	ConnReset
	Cancelled
	NotSent
)

// ProvesUnrun tells whether the outcome proves that the work never ran.
func (o Outcome) ProvesNotRun() bool { return o == Full || o == ConnectFailed || o == NotSent }

// MayGoOn tells whether the worker may run the work on, for all that the outcome shows.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == ConnReset || o == Cancelled }

// Load is a worker's own report. Values are -1 where the report lacks them.
type LoadReport struct {
	FreeSlots float64 // free slots
}

// NoLoad is the report that tells nothing.
var UnknownLoad = LoadReport{FreeSlots: -1}

// Answer ends one hand-off.
type HandOffResult struct {
	WI      uint64
	HO      int // number of the hand-off, from 0
	Outcome Outcome
	Elapsed float64
	Final   bool // the work item has ended
	Load    LoadReport
}

// State is what discovery says of a worker.
type WorkerState int

// The states.
const (
	Up WorkerState = iota
	Draining
	Gone
)

// Entry is one line of discovery's list.
type Entry struct {
	Worker string
	Zone   int
	Kind   int
	Cell   int
	State  WorkerState
	Since  float64 // clock time of its last start; 0: long ago
	Weight float64 // as listed, beside those of others; 0: none
}

// Form says what a listing holds.
type ListType int

// The forms of a listing.
const (
	ListChanges ListType = iota
	ListComplete
	ListRestored
	ListUnavailable
)

// Receiver takes what came in. The Dispatcher is one; baselines that it is measured beside are others.
type EventHandler interface {
	Arrived(wi WorkItem)
	ClientLeft(wi uint64)
	HandOffEnded(a HandOffResult)
	HandOffProgressed(wi uint64, ho int, start bool, progress float64)
	ResponseStarted(wi uint64, ho int)
	PeerMessageReceived(from int, data []byte)
	Listed(listType ListType, entries []Entry)
}

// Inbox holds what came in since the last round.
type Inbox interface {
	// Deliver calls the receiver's methods, one for each thing that came in, in order.
	Deliver(to EventHandler)
}

// Decider decides once a round: it has the inbox delivered, then writes what is to be done.
type Decider interface {
	Round(now float64, in Inbox, out Executor)
}

// Writer takes decisions; they act at once, in the order written.
type Executor interface {
	HandOff(wi uint64, worker string, timeout float64) // patience 0: until the client gives up
	Cancel(wi uint64, ho int)
	Defer(wi uint64, retryAfter float64) // pause 0: no advice
	WriteOff(wi uint64)
	SetTimer(handle uint64, delay float64)
	WatchDiscovery(on bool)
	SendToPeer(to int, data []byte) // to -1: every sibling
}
