package dispatch

import "math"

// All times are in milliseconds, with fractions. Categories, tenants, kinds and zones are given as positions
// in the lists of the settings, -1 if there is none. IDs are those of the wire.

// Settings is the configuration of a dispatcher.
type Settings struct {
	Seed          uint64
	RoundInterval float64 // Minimum time between rounds.
	Dispatchers   int     // Number of dispatchers that use the same workers, this one included.
	Position      int     // This dispatcher's position among them, from 0.
	Zone          int     // The zone of this dispatcher.
	PreferOwnZone bool    // Handing off to another zone has a price.
	KeyAffinity   bool    // Fetching the data that a work item's key refers to has a price.
	// Listed weights follow the load: weight = nominal capacity / (1 + work items per core).
	LiveWeights         bool
	Kinds               int // Number of known kinds of worker.
	Categories          []Category
	Tenants             []Tenant
	ExcessCredit        float64 // Share of the credit that work beyond a tenant's allowance earns.
	StartNotices        bool    // Workers send a notice when work starts.
	ProgressInterval    float64 // Time between progress notices; 0: none are sent.
	DiscoveryOnRequest  bool    // Discovery sends a listing only on request.
	MayCancel           bool    // Hand-offs may be cancelled.
	MayNotifyPeers      bool    // Messages may be sent to peers.
	MayAdviseRetryAfter bool    // A deferral may say when the client should try again.
	SecondCopies        bool    // Work may be sent a second time while the first hand-off may still run.
	MaxRetryAfter       float64 // Longest time that a deferral may advise.
	MaxHandOffs         int     // For each work item.
	AnswerSlack         float64 // An answer may come this long after the client's deadline.
	DiscoveryAskWithin  float64 // Discovery must be sent another request within this time.
	DrainGrace          float64 // After this time nothing may be sent to a worker told to drain; 0: unspecified.
	OnlyDrainingBinds   bool    // Only a draining entry binds; a worker listed as gone, or omitted, may still be used.
	// Least share of its capacity that a worker has at its start. It is cold from then (Entry.Since) until it
	// has its full capacity, and warm afterwards.
	StartCapacity    float64
	WarmUpTime       float64 // A worker is warm at the latest this long after its start.
	OverloadMultiple float64 // A cold worker fails beyond this multiple of its capacity in an OverloadWindow.
	OverloadWindow   float64
}

// RepeatPolicy says whether a category's work item may be sent again once it may have run.
type RepeatPolicy int

// The repeat policies. Rerunnable work may always be sent again. Ticketed work may while the workers of its
// scope recognise and drop a repeat. Exclusive work may never.
const (
	Rerunnable RepeatPolicy = iota
	Ticketed
	Exclusive
)

// DedupScope says which workers recognise and drop a repeat of a ticketed work item.
type DedupScope int

// The scopes: all workers, or those of the same zone or cell as the worker that got the earlier hand-off.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Category is the configuration of one category of work items.
type Category struct {
	Repeat      RepeatPolicy
	DedupScope  DedupScope
	DedupWindow float64 // A repeat of ticketed work is recognised for this time.
	DueTime     float64 // Time after which an answer is of no use, before DueStretch.
	DueStretch  float64 // Added to the due time for each unit of the hinted cost.
	Expiry      float64 // Upper bound of the due time.
	Credit      float64 // Credit that an answer in time earns for each unit of cost.
	Kind        int     // The only kind that runs it; -1: any, NoKind: none.
}

// NoKind is a kind that no worker is of: the only kind of a category whose kind the settings do not have.
const NoKind = math.MaxInt32

// Tenant is the configuration of one tenant.
type Tenant struct {
	AllowancePerSec float64 // Work items per second within the tenant's share, over all dispatchers.
}

// WorkItem is a client's request as it arrives.
type WorkItem struct {
	ID         uint64
	Category   int // Below 0: another process took it, and this one's settings do not have its category.
	Tenant     int
	TimeLeft   float64 // Time until the client gives up.
	ShutdownIn float64 // Time until the dispatcher's process ends; 0: it does not end.
	Hint       float64 // Cost at speed 1; 0: no hint.
	Key        string  // Names data that the work needs and that workers cache in part; empty: none.
}

// Outcome says how a hand-off ended.
type Outcome int

// The outcomes. Full: the worker refused the work for lack of room. NotSent: the hand-off never left this
// process.
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

// ProvesNotRun reports whether the outcome proves that the work never ran.
func (o Outcome) ProvesNotRun() bool { return o == Full || o == ConnectFailed || o == NotSent }

// MayStillRun reports whether the worker may still be running the work, as far as the outcome shows.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == ConnReset || o == Cancelled }

// LoadReport is a worker's own report of its load. A value is -1 where the report lacks it.
type LoadReport struct {
	FreeSlots float64
}

// UnknownLoad is the report without any values.
var UnknownLoad = LoadReport{FreeSlots: -1}

// HandOffResult is the end of one hand-off.
type HandOffResult struct {
	WI      uint64
	HO      int // Number of the hand-off among the item's, from 0.
	Outcome Outcome
	Elapsed float64 // Time since the hand-off.
	Final   bool    // The work item has ended.
	Load    LoadReport
}

// WorkerState is a worker's state according to discovery.
type WorkerState int

// The states. Gone also stands for workers that a complete list omits. Where OnlyDrainingBinds is set, an
// omitted worker that was Up stays Up.
const (
	Up WorkerState = iota
	Draining
	Gone
)

// Entry is one worker in a listing from discovery. It travels as JSON to the next process: its fields keep
// their names.
type Entry struct {
	Worker   string
	Zone     int    // Position in this process's settings; -1: they do not name the worker's zone.
	ZoneName string // As listed; empty: unknown.
	Kind     int
	Cell     int // UnknownCell: unknown.
	State    WorkerState
	Since    float64 // Time of its last start, on the clock of Round; 0: long ago.
	Weight   float64 // Listed capacity relative to other workers; 0: none.
}

// UnknownCell stands for the cell of a worker that is listed without one.
const UnknownCell = -1

// Place says which workers share a worker's memory of repeats. It does not depend on any process's settings.
type Place struct {
	Zone string // Name of the zone; empty: unknown.
	Cell int    // UnknownCell: unknown.
}

// UnknownPlace shares nothing with any place, itself included.
var UnknownPlace = Place{Cell: UnknownCell}

// Place returns where the worker is.
func (e Entry) Place() Place { return Place{Zone: e.ZoneName, Cell: e.Cell} }

// recognises reports whether workers at this place drop repeats of ticketed work that workers at the other
// place got. What is unknown recognises nothing: it may be anywhere.
func (p Place) recognises(other Place, scope DedupScope) bool {
	switch scope {
	case DedupZone:
		return p.Zone != "" && p.Zone == other.Zone
	case DedupCell:
		return p.Cell != UnknownCell && p.Cell == other.Cell
	}
	return true
}

// ListType says what a listing contains.
type ListType int

// The types: entries that changed, the complete list, a stored list restored at start, or nothing as the call
// to discovery failed.
const (
	ListChanges ListType = iota
	ListComplete
	ListRestored
	ListUnavailable
)

// EventHandler takes the events since the last round. The Dispatcher implements it, and so do the baselines
// that it is compared with.
type EventHandler interface {
	// Arrived takes a new work item.
	Arrived(wi WorkItem)
	// ClientLeft takes a client's departure: its work item needs no answer.
	ClientLeft(wi uint64)
	// HandOffEnded takes the end of a hand-off.
	HandOffEnded(a HandOffResult)
	// HandOffProgressed takes a start notice, or a progress notice with the share of the work that is done.
	HandOffProgressed(wi uint64, ho int, start bool, progress float64)
	// ResponseStarted takes the start of a response to the client.
	ResponseStarted(wi uint64, ho int)
	// PeerMessageReceived takes a message from the peer at the given position.
	PeerMessageReceived(from int, data []byte)
	// Listed takes a listing from discovery.
	Listed(listType ListType, entries []Entry)
}

// Inbox holds the events since the last round.
type Inbox interface {
	// Deliver calls the handler's methods, once for each event, in order of arrival.
	Deliver(to EventHandler)
}

// Decider decides once a round: it has the inbox deliver its events, then writes its decisions to out.
type Decider interface {
	// Round runs one round at the given time.
	Round(now float64, in Inbox, out Executor)
}

// Executor carries out decisions at once, in the order in which they are written.
type Executor interface {
	// HandOff sends the work item to the worker. A timeout of 0 stands for the client's deadline.
	HandOff(wi uint64, worker string, timeout float64)
	// Cancel cancels a hand-off.
	Cancel(wi uint64, ho int)
	// Defer answers that the client may try again, after the given time; 0 gives no advice.
	Defer(wi uint64, retryAfter float64)
	// WriteOff answers that the work item failed, perhaps after it had its effect.
	WriteOff(wi uint64)
	// SetTimer requests a round after the delay.
	SetTimer(handle uint64, delay float64)
	// WatchDiscovery asks discovery for listings; false asks it to stop. The Dispatcher only passes true, and
	// the Node ignores false.
	WatchDiscovery(on bool)
	// SendToPeer sends a message to the peer at the given position, or to all peers for -1.
	SendToPeer(to int, data []byte)
}
