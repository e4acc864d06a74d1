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
	ID        string
	Site      int
	Kind      int
	State     dispatch.WorkerState
	StartTime float64 // on the model's clock; below 0: long ago
	told      float64 // the same where it is true, else below 0
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
	at  float64
	seq uint64
	do  func()
}

type events []*event

func (q events) Len() int { return len(q) }
func (q events) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
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
	Experiment  *Experiment
	Checker     *invariants.Checker
	Jobs        []*Job       // in order of arrival
	Annotations []Annotation // faults as they came
	LoadSamples []LoadSample
	port        Driver
	now         float64
	seq         uint64
	queue       events
	arrivals    *rand.Rand
	netRnd      *rand.Rand
	faultRnd    *rand.Rand
	clientRnd   *rand.Rand
	workers     []*worker
	byID        map[string]*worker
	dispatchers []*dispatcher
	tries       map[string]*Request
	revision    int64
	openJobs    int
	closed      bool // no more arrivals
	nextTry     uint64
	cuts        []*Fault
	bursts      []float64 // factor of each tenant's rate
	tail        float64   // factor of the heaviest costs
	silent      int       // faults that hold discovery
	listLate    float64
	lost, late  float64 // of siblings' messages
	repeat      float64 // share of callbacks told twice
	backLate    float64
	laws        []func(*rand.Rand) float64
	ids         uint64
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
	n        int
	site     int
	up       bool // its process lives
	ready    bool
	noticed  bool // the clients' front deals out connections to it
	life     int  // number of its process
	watch    int
	watching bool
	told     map[string]WorkerEntry
	open     map[string]*Request // of clients that wait, and
	order    []string            // their ids by arrival
	talked   []float64           // with each worker, last
	frozen   bool                // its process stands still
	thawed   float64             // when it last went on
}

// New makes a world at time 0. The driver calls Begin next.
func New(x *Experiment, seed uint64) *Model {
	stream := func(name string) *rand.Rand {
		h := fnv.New64a()
		h.Write([]byte(name))
		return rand.New(rand.NewPCG(seed, h.Sum64()))
	}
	w := &Model{Experiment: x, arrivals: stream("arrivals"), netRnd: stream("network"), faultRnd: stream("faults"),
		clientRnd: stream("clients"), byID: map[string]*worker{}, tries: map[string]*Request{}, tail: 1,
		ids: stream("ids").Uint64()}
	w.Checker = invariants.New(x.rules())
	for range x.Tenants {
		w.bursts = append(w.bursts, 1)
	}
	for k := range x.Categories {
		w.laws = append(w.laws, x.Categories[k].law())
	}
	n := 0
	for k := range x.Kinds {
		for range x.Kinds[k].Count {
			w.addWorker(k, n%x.Workers.Sites, -1)
			n++
		}
	}
	for d := range x.Dispatchers.Count {
		w.dispatchers = append(w.dispatchers, &dispatcher{n: d, site: d % x.Workers.Sites, told: map[string]WorkerEntry{},
			open: map[string]*Request{}})
	}
	return w
}

// rules are what the audit judges by.
func (x *Experiment) rules() invariants.Config {
	r := invariants.Config{SecondCopies: x.Dispatchers.SecondCopies, DrainGrace: float64(x.Workers.DrainGrace),
		OnlyDrainingBinds: x.Workers.OnlyDrainingBinds,
		AnswerSlack:       float64(x.Dispatchers.AnswerSlack), MaxHandOffs: x.Dispatchers.MaxHandOffs,
		StartShare: x.Workers.StartShare, WarmUp: float64(x.Workers.WarmUp), OverloadWindow: float64(x.Workers.OverloadWindow),
		OverloadFactor: x.Workers.OverloadFactor, MeanCost: x.MeanCost()}
	for _, c := range x.Categories {
		r.Categories = append(r.Categories, invariants.Category{Name: c.Name, Repeat: c.repeat(), Group: c.group(),
			TicketWindow: float64(c.TicketWindow)})
	}
	return r
}

func (c *Category) repeat() dispatch.RepeatPolicy {
	return map[string]dispatch.RepeatPolicy{"rerunnable": dispatch.Rerunnable, "ticketed": dispatch.Ticketed,
		"exclusive": dispatch.Exclusive}[c.Repeat]
}

func (c *Category) group() dispatch.DedupScope {
	return map[string]dispatch.DedupScope{"all": dispatch.DedupAll, "zone": dispatch.DedupZone, "cell": dispatch.DedupCell}[c.Group]
}

// Begin starts the dispatchers, plans the faults and the first arrival. Clients come from start on.
func (w *Model) Begin(port Driver, start float64) {
	w.port = port
	for _, d := range w.dispatchers {
		d.talked = make([]float64, len(w.workers))
		for k := range d.talked {
			d.talked[k] = math.Inf(-1)
		}
		w.startDispatcher(d)
	}
	for k := range w.Experiment.Faults {
		f := &w.Experiment.Faults[k]
		w.At(start+float64(f.At), func() { w.strike(f) })
	}
	w.At(start, func() { w.nextArrival(start) })
	w.At(start+float64(w.Experiment.Length), func() { w.closed = true })
	w.sample(start)
}

// Now is the model's time.
func (w *Model) Now() float64 { return w.now }

// At plans something; what lies in the past happens next.
func (w *Model) At(at float64, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{max(at, w.now), w.seq, do})
}

// After plans something after a time.
func (w *Model) After(span float64, do func()) { w.At(w.now+span, do) }

// Next is when the next thing is planned; infinite: never.
func (w *Model) Next() float64 {
	if len(w.queue) == 0 {
		return math.Inf(1)
	}
	return w.queue[0].at
}

// Step does the next thing that is planned.
func (w *Model) Step() {
	e := heap.Pop(&w.queue).(*event)
	w.now = e.at
	e.do()
}

// Advance does all that is due by a time, and stands there then.
func (w *Model) Advance(to float64) {
	for w.Next() <= to {
		w.Step()
	}
	w.now = max(w.now, to)
}

// Silent tells whether discovery says nothing just now.
func (w *Model) DiscoverySilent() bool { return w.silent > 0 }

// Over tells that no more work comes and every client has its end.
func (w *Model) Done() bool { return w.closed && w.openJobs == 0 }

// delay of one message between two sites.
func (w *Model) delay(a, b int) float64 {
	t := float64(w.Experiment.Network.SameSite)
	if a != b {
		t = float64(w.Experiment.Network.CrossSite)
	}
	if j := float64(w.Experiment.Network.Jitter); j > 0 {
		t += j * w.netRnd.ExpFloat64()
	}
	return t
}

// side is who speaks on a path that may be cut.
type side int

const (
	withWorkers side = iota
	withClients
	withSiblings
	withDiscovery
)

// cut tells whether nothing gets through now between dispatchers of one site and those of the other side there.
func (w *Model) cut(s side, d *dispatcher, site int) bool {
	for _, f := range w.cuts {
		of := map[string]side{"workers": withWorkers, "clients": withClients, "siblings": withSiblings,
			"discovery": withDiscovery}[f.Path]
		if of == s && (f.Site == "" || SiteName(site) == f.Site) && (f.Count == 0 || d.n < f.Count) {
			return true
		}
	}
	return false
}
