package dispatch

// Times are milliseconds with fractions. Categories, tenants, kinds and zones are
// positions in the lists of the settings, -1 where there is none; ids are the wire's.

// Settings is what a dispatcher is told when it starts.
type Settings struct {
	Seed         uint64
	Grain        float64 // least time between rounds
	Siblings     int     // dispatchers that share the workers, this one included
	Number       int     // this one's among them, from 0
	Zone         int
	NearFirst    bool // handing off to another zone has a price
	Keyed        bool // a fetch of what a work item's key stands for has a price
	LiveWeights  bool // a listed weight is the worker's size over 1 and the work items that it holds for each core
	Kinds        int
	Categories   []Category
	Tenants      []Tenant
	ExcessCredit float64 // part of the credit earned beyond a tenant's share
	TellsStart   bool
	Progress     float64 // time between progress notices; 0: none
	MustAsk      bool    // discovery answers only when asked
	MayCancel    bool
	MayTell      bool
	MayPause     bool
	SecondCopies bool
	MaxPause     float64
	MaxHandOffs  int
	AnswerSlack  float64
	AskWithin    float64
	DrainGrace   float64 // after this time nothing may be sent to a worker told to drain; 0: not said
	OnlyDraining bool    // a worker that is called gone, or left out, is not bound by that
	StartShare   float64 // least part of its capacity with which a worker starts
	Cold         float64 // it is warm after this time at the latest
	FallMultiple float64
	Fall         float64
}

// Repeat says what a category allows once a work item may have run.
type Repeat int

// The three kinds of category.
const (
	Rerunnable Repeat = iota
	Ticketed
	Exclusive
)

// Group says which workers drop the repeats of a ticketed work item.
type Group int

// The groups of workers.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Category is what the settings say of one category.
type Category struct {
	Repeat  Repeat
	Group   Group
	Window  float64 // a ticketed repeat is known for so long
	Due     float64
	Stretch float64 // the due time grows by so much of the hinted cost
	Expiry  float64
	Credit  float64
	Kind    int // the one kind that runs it, or -1
}

// Tenant is what the settings say of one tenant.
type Tenant struct {
	PerSec float64 // work items a second within its share, all dispatchers together
}

// WorkItem is a client's request as it arrives.
type WorkItem struct {
	ID       uint64
	Category int
	Tenant   int
	Left     float64 // until the client gives up
	Within   float64 // the dispatcher itself ends after this time; 0: it does not
	Hint     float64 // cost at speed 1; 0: none
	Key      string  // what it is about, of which a worker keeps some; empty: nothing
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
	Reset
	Cancelled
	Moot
)

// ProvesUnrun tells whether the outcome proves that the work never ran.
func (o Outcome) ProvesUnrun() bool { return o == Full || o == ConnectFailed || o == Moot }

// MayGoOn tells whether the worker may run the work on, for all that the outcome shows.
func (o Outcome) MayGoOn() bool { return o == TimedOut || o == Reset || o == Cancelled }

// Load is a worker's own report. Values are -1 where the report lacks them.
type Load struct {
	Free float64 // free slots
}

// NoLoad is the report that tells nothing.
var NoLoad = Load{Free: -1}

// Answer ends one hand-off.
type Answer struct {
	WI      uint64
	HO      int // number of the hand-off, from 0
	Outcome Outcome
	Spent   float64
	Final   bool // the work item has ended
	Load    Load
}

// State is what discovery says of a worker.
type State int

// The states.
const (
	Up State = iota
	Draining
	Gone
)

// Entry is one line of discovery's list.
type Entry struct {
	Worker string
	Zone   int
	Kind   int
	Cell   int
	State  State
	Since  float64 // clock time of its last start; 0: long ago
	Weight float64 // as listed, beside those of others; 0: none
}

// Form says what a listing holds.
type Form int

// The forms of a listing.
const (
	Changes Form = iota
	Complete
	Restored
	Unavailable
)

// Receiver takes what came in. The Dispatcher is one; baselines that it is measured beside are others.
type Receiver interface {
	Arrived(wi WorkItem)
	Left(wi uint64)
	Answered(a Answer)
	Noticed(wi uint64, ho int, start bool, share float64)
	Streaming(wi uint64, ho int)
	Heard(from int, data []byte)
	Listed(form Form, entries []Entry)
}

// Inbox holds what came in since the last round.
type Inbox interface {
	// Deliver calls the receiver's methods, one for each thing that came in, in order.
	Deliver(to Receiver)
}

// Decider decides once a round: it has the inbox delivered, then writes what is to be done.
type Decider interface {
	Round(now float64, in Inbox, out Writer)
}

// Writer takes decisions; they act at once, in the order written.
type Writer interface {
	HandOff(wi uint64, worker string, patience float64) // patience 0: until the client gives up
	Cancel(wi uint64, ho int)
	Defer(wi uint64, pause float64) // pause 0: no advice
	WriteOff(wi uint64)
	Timer(handle uint64, span float64)
	Watch(on bool)
	Tell(to int, data []byte) // to -1: every sibling
}
