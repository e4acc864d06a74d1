// This file has the model's clock, event queue, random streams and network, and the interface of the drivers
// that carry its messages.

package fleetmodel

import (
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"weldmast/internal/dispatch"
	"weldmast/internal/invariants"
)

// Driver carries what happens in the model to dispatchers: to nodes in the same process, or over sockets. The
// parameter d is a dispatcher's index.
type Driver interface {
	// RequestArrived reports that all bytes of a client's request have reached the dispatcher.
	RequestArrived(d int, r *Request)
	// ClientLeft reports that a client closed its connection before it got an answer.
	ClientLeft(d int, r *Request)
	// HandOffEnded reports what the dispatcher observes on the connection of a hand-off, Accepted included.
	HandOffEnded(d int, h *HandOff, result HandOffResult)
	// Callback delivers a worker's callback. It returns false when no process received it.
	Callback(d int, c Callback) bool
	// DiscoveryUpdated delivers an update on the dispatcher's discovery watch.
	DiscoveryUpdated(d int, update DiscoveryUpdate)
	// WatchEnded reports that a discovery watch has ended.
	WatchEnded(d int, watch int)
	// PeerMessage delivers a message of another dispatcher.
	PeerMessage(d, from int, data []byte)
	// StartDispatcher starts a dispatcher's process with the worker list that its predecessor last knew. The
	// driver calls Model.DispatcherReady once it takes work.
	StartDispatcher(d int, known []WorkerEntry)
	// WorkerStarted and WorkerStopped report that a worker's process has come up or ended. A worker that
	// becomes unreachable is reported by neither.
	WorkerStarted(worker string)
	WorkerStopped(worker string)
	// KillDispatcher ends a dispatcher's process without warning, StopDispatcher asks it to stop, and
	// ReloadDispatcher makes it read its configuration again.
	KillDispatcher(d int)
	StopDispatcher(d int)
	ReloadDispatcher(d int)
	// UpgradeDispatcher starts a new process that takes over from the dispatcher's present one.
	// FloodConnections opens rate connections per second for duration milliseconds, none of which ever sends a
	// complete request.
	UpgradeDispatcher(d int)
	FloodConnections(d int, rate, duration float64)
	// SetPaused suspends the dispatcher's process, or resumes it.
	SetPaused(d int, paused bool)
	// SetFleetFault begins a fault of the fleet's links, folders or operators for the dispatchers hit, and
	// ends it when called again with on false.
	SetFleetFault(f *Fault, hit []int, on bool)
}

// HandOffResult is how a hand-off's connection ends.
type HandOffResult int

// The results of a hand-off.
const (
	Accepted        HandOffResult = iota // 202: callbacks follow
	Rejected                             // 503: not run
	ConnectFailed                        // the connection was never established
	ConnectionReset                      // the connection broke after the last byte of the request
	Failed                               // 500
	Cancelled                            // cancelled by the dispatcher, which notifies the worker if it can
)

// Callback is a worker's report about a job.
type Callback struct {
	ID, From, State string
	Progress        float64
	Result          string
}

// WorkerEntry is a worker as discovery lists it.
type WorkerEntry struct {
	ID            string
	Site          int
	Kind          int
	State         dispatch.WorkerState
	StartTime     float64 // on the model's clock; negative: long ago
	reportedStart float64 // StartTime if it is right, negative if it is not
}

// DiscoveryUpdate is one message of discovery.
type DiscoveryUpdate struct {
	Watch    int
	Revision int64
	Complete bool
	Workers  []WorkerEntry
}

// event is an action at a point in time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at     float64
	order  uint64
	action func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q events) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *events) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return x
}

// Model simulates one experiment. Only one goroutine at a time may call its methods.
type Model struct {
	Experiment                   *Experiment
	Checker                      *invariants.Checker
	Jobs                         []*Job       // in order of arrival
	Annotations                  []Annotation // faults in the order in which they began
	LoadSamples                  []LoadSample
	driver                       Driver
	now                          float64
	seq                          uint64
	events                       events
	arrivalRand                  *rand.Rand
	networkRand                  *rand.Rand
	faultRand                    *rand.Rand
	clientRand                   *rand.Rand
	workers                      []*worker
	workersByID                  map[string]*worker
	dispatchers                  []*dispatcher
	requests                     map[string]*Request
	revision                     int64
	openJobs                     int
	arrivalsEnded                bool // no further arrivals
	requestCount                 uint64
	activeCuts                   []*Fault
	tenantRateFactors            []float64 // by tenant: factor on its arrival rate
	tailCostFactor               float64   // factor on the cost of jobs with inTail
	discoveryOutages             int       // number of faults that keep discovery silent
	discoveryExtraDelay          float64
	peerLossRate, peerExtraDelay float64 // of messages between dispatchers
	callbackRepeatRate           float64 // share of callbacks that are sent twice
	callbackMaxExtraDelay        float64
	costSamplers                 []func(*rand.Rand) float64
	idBase                       uint64
}

// Annotation is a moment of the timeline worth showing to a reader.
type Annotation struct {
	At   float64 `json:"at"`
	Text string  `json:"what"`
}

// LoadSample is the workers' load during one second of the run.
type LoadSample struct {
	BusyCores []float64 // by kind: mean number of busy cores
}

// dispatcher is a dispatcher as seen from outside.
type dispatcher struct {
	index        int
	site         int
	up           bool // its process runs
	ready        bool
	inRotation   bool // the clients' load balancer sends it new connections
	incarnation  int  // number of its present process
	watchNumber  int
	watching     bool
	knownWorkers map[string]WorkerEntry
	openRequests map[string]*Request // requests of clients that wait for an answer
	arrivalOrder []string            // IDs of requests by arrival
	lastSentAt   []float64           // by worker: time of the last hand-off sent to it
	paused       bool                // its process is suspended
	resumedAt    float64             // when it was last resumed
}

// New makes a model at time 0. The driver calls Begin next.
func New(x *Experiment, seed uint64) *Model {
	stream := func(name string) *rand.Rand {
		h := fnv.New64a()
		h.Write([]byte(name))
		return rand.New(rand.NewPCG(seed, h.Sum64()))
	}
	m := &Model{Experiment: x, arrivalRand: stream("arrivals"), networkRand: stream("network"), faultRand: stream("faults"),
		clientRand: stream("clients"), workersByID: map[string]*worker{}, requests: map[string]*Request{}, tailCostFactor: 1,
		idBase: stream("ids").Uint64()}
	m.Checker = invariants.New(x.checkerConfig())
	for range x.Tenants {
		m.tenantRateFactors = append(m.tenantRateFactors, 1)
	}
	for k := range x.Categories {
		m.costSamplers = append(m.costSamplers, x.Categories[k].costSampler())
	}
	n := 0
	for k := range x.Kinds {
		for range x.Kinds[k].Count {
			m.addWorker(k, n%x.Workers.Sites, -1)
			n++
		}
	}
	for d := range x.Dispatchers.Count {
		m.dispatchers = append(m.dispatchers, &dispatcher{index: d, site: d % x.Workers.Sites, knownWorkers: map[string]WorkerEntry{},
			openRequests: map[string]*Request{}})
	}
	return m
}

// checkerConfig returns the limits that the checker of invariants applies.
func (x *Experiment) checkerConfig() invariants.Config {
	r := invariants.Config{SecondCopies: x.Dispatchers.SecondCopies, DrainGrace: float64(x.Workers.DrainGrace),
		OnlyDrainingBinds: x.Workers.OnlyDrainingBinds,
		AnswerSlack:       float64(x.Dispatchers.AnswerSlack), MaxHandOffs: x.Dispatchers.MaxHandOffs,
		StartCapacity: x.Workers.StartCapacity, WarmUpTime: float64(x.Workers.WarmUpTime), OverloadWindow: float64(x.Workers.OverloadWindow),
		OverloadMultiple: x.Workers.OverloadMultiple, MeanCost: x.MeanCost()}
	for _, c := range x.Categories {
		r.Categories = append(r.Categories, invariants.Category{Name: c.Name, RepeatPolicy: c.repeatPolicy(), DedupScope: c.dedupScope(),
			DedupWindow: float64(c.DedupWindow)})
	}
	return r
}

func (c *Category) repeatPolicy() dispatch.RepeatPolicy {
	return map[string]dispatch.RepeatPolicy{"rerunnable": dispatch.Rerunnable, "ticketed": dispatch.Ticketed,
		"exclusive": dispatch.Exclusive}[c.RepeatPolicy]
}

func (c *Category) dedupScope() dispatch.DedupScope {
	return map[string]dispatch.DedupScope{"all": dispatch.DedupAll, "zone": dispatch.DedupZone, "cell": dispatch.DedupCell}[c.DedupScope]
}

// Begin starts the dispatchers and schedules the faults and the first arrival. Clients arrive from time start
// on.
func (m *Model) Begin(driver Driver, start float64) {
	m.driver = driver
	for _, d := range m.dispatchers {
		d.lastSentAt = make([]float64, len(m.workers))
		for k := range d.lastSentAt {
			d.lastSentAt[k] = math.Inf(-1)
		}
		m.startDispatcher(d)
	}
	for k := range m.Experiment.Faults {
		f := &m.Experiment.Faults[k]
		m.At(start+float64(f.At), func() { m.applyFault(f) })
	}
	m.At(start, func() { m.scheduleArrival(start) })
	m.At(start+float64(m.Experiment.Length), func() { m.arrivalsEnded = true })
	m.sampleLoad(start)
}

// Now returns the model's time.
func (m *Model) Now() float64 { return m.now }

// At schedules an action. An action in the past runs next.
func (m *Model) At(at float64, action func()) {
	m.seq++
	heap.Push(&m.events, &event{max(at, m.now), m.seq, action})
}

// After schedules an action after a delay.
func (m *Model) After(delay float64, action func()) { m.At(m.now+delay, action) }

// Next returns the time of the next scheduled action, or infinity when there is none.
func (m *Model) Next() float64 {
	if len(m.events) == 0 {
		return math.Inf(1)
	}
	return m.events[0].at
}

// Step runs the next scheduled action.
func (m *Model) Step() {
	next := heap.Pop(&m.events).(*event)
	m.now = next.at
	next.action()
}

// Advance runs everything that is due until the time to, and sets the clock to it.
func (m *Model) Advance(to float64) {
	for m.Next() <= to {
		m.Step()
	}
	m.now = max(m.now, to)
}

// DiscoverySilent reports whether discovery sends nothing at present.
func (m *Model) DiscoverySilent() bool { return m.discoveryOutages > 0 }

// Done reports whether no more work arrives and every job has an outcome.
func (m *Model) Done() bool { return m.arrivalsEnded && m.openJobs == 0 }

// networkDelay returns the one-way delay of a message between two sites.
func (m *Model) networkDelay(a, b int) float64 {
	t := float64(m.Experiment.Network.SameSite)
	if a != b {
		t = float64(m.Experiment.Network.CrossSite)
	}
	if j := float64(m.Experiment.Network.Jitter); j > 0 {
		t += j * m.networkRand.ExpFloat64()
	}
	return t
}

// networkPath is a kind of counterpart whose connection to dispatchers can be cut.
type networkPath int

const (
	workerPath networkPath = iota
	clientPath
	peerPath
	discoveryPath
)

// isCut reports whether no message passes at present between dispatcher d and the counterpart at a site.
func (m *Model) isCut(path networkPath, d *dispatcher, site int) bool {
	for _, f := range m.activeCuts {
		cutPath := map[string]networkPath{"workers": workerPath, "clients": clientPath, "siblings": peerPath,
			"discovery": discoveryPath}[f.Path]
		if cutPath == path && (f.Site == "" || SiteName(site) == f.Site) && (f.Count == 0 || d.index < f.Count) {
			return true
		}
	}
	return false
}
