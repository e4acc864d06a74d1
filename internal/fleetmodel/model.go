// This file owns time, chance and the network of the model, and the interface with what carries its messages.

package fleetmodel

import (
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"weldmast/internal/dispatch"
	"weldmast/internal/invariants"
)

// Port carries what the model does to dispatchers, by nodes in the same process or by sockets.
type Driver interface {
	// Request: the whole of a client's request has reached the dispatcher.
	RequestArrived(d int, t *Request)
	// Leave: a client that was not answered has closed its connection.
	ClientLeft(d int, t *Request)
	// Ended is what the connection of a hand-off shows; of Accepted too.
	HandOffEnded(d int, h *HandOff, how HandOffResult)
	// Callback is what a worker tells. False: nobody took it.
	Callback(d int, c Callback) bool
	// List is what discovery tells on a watch.
	DiscoveryUpdated(d int, l DiscoveryUpdate)
	// Broken is the end of a watch.
	WatchEnded(d int, watch int)
	// Message is a sibling's.
	PeerMessage(d, from int, data []byte)
	// Start brings a dispatcher up, with the list as it last had it. Ready tells the World when it takes work.
	StartDispatcher(d int, known []WorkerEntry)
	// Up and Down are a worker's process as it comes and goes; one that is silent is neither.
	WorkerStarted(worker string)
	WorkerStopped(worker string)
	// Kill ends it without warning, Stop asks it to end, Reload makes it read its configuration again.
	KillDispatcher(d int)
	StopDispatcher(d int)
	ReloadDispatcher(d int)
	// Upgrade has a newer process take its place. Flood opens connections that never say a whole request, so many a second.
	UpgradeDispatcher(d int)
	FloodConnections(d int, rate, span float64)
	// Freeze has its process stand still, or go on.
	SetPaused(d int, on bool)
	// Trouble is one of the fleet's links, folders or operators, of those hit; it ends when it is called once more, off.
	SetFleetFault(f *Fault, hit []int, on bool)
}

// End is how a hand-off's connection ends.
type HandOffResult int

// The ends.
const (
	Accepted        HandOffResult = iota // 202: callbacks will tell
	Rejected                             // 503, not run
	ConnectFailed                        // the connection never came up
	ConnectionReset                      // it broke after the last byte
	Failed                               // 500
	Cancelled                            // given up by the dispatcher, and told to the worker as far as can be
)

// Callback is what a worker tells of a job.
type Callback struct {
	ID, From, State string
	Progress        float64
	Result          string
}

// Member is a worker as discovery lists it.
type WorkerEntry struct {
	ID            string
	Site          int
	Kind          int
	State         dispatch.State
	StartTime     float64 // on the model's clock; below 0: long ago
	reportedStart float64 // the same where it is true, else below 0
}

// Listing is what discovery tells at once.
type DiscoveryUpdate struct {
	Watch    int
	Revision int64
	Complete bool
	Workers  []WorkerEntry
}

// event is something that happens at a time; those of one time happen in the order in which they were planned.
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

// World is one experiment being played. Its methods must be called by one goroutine at a time.
type Model struct {
	Experiment                   *Experiment
	Checker                      *invariants.Checker
	Jobs                         []*Job       // in order of arrival
	Annotations                  []Annotation // faults as they came
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
	arrivalsEnded                bool // no more arrivals
	requestCount                 uint64
	activeCuts                   []*Fault
	tenantRateFactors            []float64 // factor of each tenant's rate
	tailCostFactor               float64   // factor of the heaviest costs
	discoveryOutages             int       // faults that hold discovery
	discoveryExtraDelay          float64
	peerLossRate, peerExtraDelay float64 // of siblings' messages
	callbackRepeatRate           float64 // share of callbacks told twice
	callbackMaxExtraDelay        float64
	costSamplers                 []func(*rand.Rand) float64
	idBase                       uint64
}

// Mark is a moment in the timeline that a reader should see.
type Annotation struct {
	At   float64 `json:"at"`
	Text string  `json:"what"`
}

// Second is what was done in one second of the day.
type LoadSample struct {
	BusyCores []float64 // of each kind: mean of the cores at work
}

// dispatcher is one as the model sees it from outside.
type dispatcher struct {
	index        int
	site         int
	up           bool // its process lives
	ready        bool
	inRotation   bool // the clients' front deals out connections to it
	incarnation  int  // number of its process
	watchNumber  int
	watching     bool
	knownWorkers map[string]WorkerEntry
	openRequests map[string]*Request // of clients that wait, and
	arrivalOrder []string            // their ids by arrival
	lastSentAt   []float64           // with each worker, last
	paused       bool                // its process stands still
	resumedAt    float64             // when it last went on
}

// New makes a world at time 0. The driver calls Begin next.
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

// rules are what the audit judges by.
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

func (c *Category) repeatPolicy() dispatch.Repeat {
	return map[string]dispatch.Repeat{"rerunnable": dispatch.Rerunnable, "ticketed": dispatch.Ticketed,
		"exclusive": dispatch.Exclusive}[c.RepeatPolicy]
}

func (c *Category) dedupScope() dispatch.Group {
	return map[string]dispatch.Group{"all": dispatch.GroupAll, "zone": dispatch.GroupZone, "cell": dispatch.GroupCell}[c.DedupScope]
}

// Begin starts the dispatchers, plans the faults and the first arrival. Clients come from start on.
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

// Now is the model's time.
func (m *Model) Now() float64 { return m.now }

// At plans something; what lies in the past happens next.
func (w *Model) At(at float64, action func()) {
	w.seq++
	heap.Push(&w.events, &event{max(at, w.now), w.seq, action})
}

// After plans something after a time.
func (m *Model) After(delay float64, action func()) { m.At(m.now+delay, action) }

// Next is when the next thing is planned; infinite: never.
func (w *Model) Next() float64 {
	if len(w.events) == 0 {
		return math.Inf(1)
	}
	return w.events[0].at
}

// Step does the next thing that is planned.
func (m *Model) Step() {
	next := heap.Pop(&m.events).(*event)
	m.now = next.at
	next.action()
}

// Advance does all that is due by a time, and stands there then.
func (m *Model) Advance(to float64) {
	for m.Next() <= to {
		m.Step()
	}
	m.now = max(m.now, to)
}

// Silent tells whether discovery says nothing just now.
func (m *Model) DiscoverySilent() bool { return m.discoveryOutages > 0 }

// Over tells that no more work comes and every client has its end.
func (m *Model) Done() bool { return m.arrivalsEnded && m.openJobs == 0 }

// delay of one message between two sites.
func (w *Model) networkDelay(a, b int) float64 {
	t := float64(w.Experiment.Network.SameSite)
	if a != b {
		t = float64(w.Experiment.Network.CrossSite)
	}
	if j := float64(w.Experiment.Network.Jitter); j > 0 {
		t += j * w.networkRand.ExpFloat64()
	}
	return t
}

// side is who speaks on a path that may be cut.
type networkPath int

const (
	workerPath networkPath = iota
	clientPath
	peerPath
	discoveryPath
)

// cut tells whether nothing gets through now between dispatchers of one site and those of the other side there.
func (m *Model) isCut(s networkPath, d *dispatcher, site int) bool {
	for _, f := range m.activeCuts {
		of := map[string]networkPath{"workers": workerPath, "clients": clientPath, "siblings": peerPath,
			"discovery": discoveryPath}[f.Path]
		if of == s && (f.Site == "" || SiteName(site) == f.Site) && (f.Count == 0 || d.index < f.Count) {
			return true
		}
	}
	return false
}
