// This file owns time, chance and the network of the model, and the interface with what carries its messages.

package world

import (
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"weldmast/internal/audit"
	"weldmast/internal/dispatch"
)

// Port carries what the model does to dispatchers, by nodes in the same process or by sockets.
type Port interface {
	// Request: the whole of a client's request has reached the dispatcher.
	Request(d int, t *Try)
	// Leave: a client that was not answered has closed its connection.
	Leave(d int, t *Try)
	// Ended is what the connection of a hand-off shows; of Accepted too.
	Ended(d int, h *HandOff, how End)
	// Callback is what a worker tells. False: nobody took it.
	Callback(d int, c Callback) bool
	// List is what discovery tells on a watch.
	List(d int, l Listing)
	// Broken is the end of a watch.
	Broken(d int, watch int)
	// Message is a sibling's.
	Message(d, from int, data []byte)
	// Start brings a dispatcher up, with the list as it last had it. Ready tells the World when it takes work.
	Start(d int, known []Member)
	// Up and Down are a worker's process as it comes and goes; one that is silent is neither.
	Up(worker string)
	Down(worker string)
	// Kill ends it without warning, Stop asks it to end, Reload makes it read its configuration again.
	Kill(d int)
	Stop(d int)
	Reload(d int)
	// Upgrade has a newer process take its place. Flood opens connections that never say a whole request, so many a second.
	Upgrade(d int)
	Flood(d int, rate, span float64)
	// Freeze has its process stand still, or go on.
	Freeze(d int, on bool)
	// Trouble is one of the fleet's links, folders or operators, of those hit; it ends when it is called once more, off.
	Trouble(f *Fault, hit []int, on bool)
}

// End is how a hand-off's connection ends.
type End int

// The ends.
const (
	Accepted   End = iota // 202: callbacks will tell
	TurnedAway            // 503, not run
	NoConnect             // the connection never came up
	Reset                 // it broke after the last byte
	Failed                // 500
	Dropped               // given up by the dispatcher, and told to the worker as far as can be
)

// Callback is what a worker tells of a job.
type Callback struct {
	ID, From, State string
	Share           float64
	Result          string
}

// Member is a worker as discovery lists it.
type Member struct {
	ID    string
	Site  int
	Kind  int
	State dispatch.WorkerState
	Since float64 // on the model's clock; below 0: long ago
	told  float64 // the same where it is true, else below 0
}

// Listing is what discovery tells at once.
type Listing struct {
	Watch    int
	Revision int64
	Complete bool
	Members  []Member
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
type World struct {
	X           *Experiment
	Audit       *audit.Audit
	Jobs        []*Job // in order of arrival
	Marks       []Mark // faults as they came
	Seconds     []Second
	port        Port
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
	tries       map[string]*Try
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
type Mark struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// Second is what was done in one second of the day.
type Second struct {
	Busy []float64 // of each kind: mean of the cores at work
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
	told     map[string]Member
	open     map[string]*Try // of clients that wait, and
	order    []string        // their ids by arrival
	talked   []float64       // with each worker, last
	frozen   bool            // its process stands still
	thawed   float64         // when it last went on
}

// New makes a world at time 0. The driver calls Begin next.
func New(x *Experiment, seed uint64) *World {
	stream := func(name string) *rand.Rand {
		h := fnv.New64a()
		h.Write([]byte(name))
		return rand.New(rand.NewPCG(seed, h.Sum64()))
	}
	w := &World{X: x, arrivals: stream("arrivals"), netRnd: stream("network"), faultRnd: stream("faults"),
		clientRnd: stream("clients"), byID: map[string]*worker{}, tries: map[string]*Try{}, tail: 1,
		ids: stream("ids").Uint64()}
	w.Audit = audit.New(x.rules())
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
		w.dispatchers = append(w.dispatchers, &dispatcher{n: d, site: d % x.Workers.Sites, told: map[string]Member{},
			open: map[string]*Try{}})
	}
	return w
}

// rules are what the audit judges by.
func (x *Experiment) rules() audit.Rules {
	r := audit.Rules{SecondCopies: x.Dispatchers.SecondCopies, DrainGrace: float64(x.Workers.DrainGrace),
		OnlyDraining: x.Workers.OnlyDraining,
		AnswerSlack:  float64(x.Dispatchers.AnswerSlack), MaxHandOffs: x.Dispatchers.MaxHandOffs,
		StartShare: x.Workers.StartShare, Cold: float64(x.Workers.Cold), Fall: float64(x.Workers.Fall),
		FallMultiple: x.Workers.FallMultiple, MeanCost: x.MeanCost()}
	for _, c := range x.Categories {
		r.Categories = append(r.Categories, audit.Category{Name: c.Name, Repeat: c.repeat(), Group: c.group(),
			Window: float64(c.Window)})
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
func (w *World) Begin(port Port, start float64) {
	w.port = port
	for _, d := range w.dispatchers {
		d.talked = make([]float64, len(w.workers))
		for k := range d.talked {
			d.talked[k] = math.Inf(-1)
		}
		w.startDispatcher(d)
	}
	for k := range w.X.Faults {
		f := &w.X.Faults[k]
		w.At(start+float64(f.At), func() { w.strike(f) })
	}
	w.At(start, func() { w.nextArrival(start) })
	w.At(start+float64(w.X.Length), func() { w.closed = true })
	w.sample(start)
}

// Now is the model's time.
func (w *World) Now() float64 { return w.now }

// At plans something; what lies in the past happens next.
func (w *World) At(at float64, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{max(at, w.now), w.seq, do})
}

// After plans something after a time.
func (w *World) After(span float64, do func()) { w.At(w.now+span, do) }

// Next is when the next thing is planned; infinite: never.
func (w *World) Next() float64 {
	if len(w.queue) == 0 {
		return math.Inf(1)
	}
	return w.queue[0].at
}

// Step does the next thing that is planned.
func (w *World) Step() {
	e := heap.Pop(&w.queue).(*event)
	w.now = e.at
	e.do()
}

// Advance does all that is due by a time, and stands there then.
func (w *World) Advance(to float64) {
	for w.Next() <= to {
		w.Step()
	}
	w.now = max(w.now, to)
}

// Silent tells whether discovery says nothing just now.
func (w *World) Silent() bool { return w.silent > 0 }

// Over tells that no more work comes and every client has its end.
func (w *World) Over() bool { return w.closed && w.openJobs == 0 }

// delay of one message between two sites.
func (w *World) delay(a, b int) float64 {
	t := float64(w.X.Network.Near)
	if a != b {
		t = float64(w.X.Network.Far)
	}
	if j := float64(w.X.Network.Jitter); j > 0 {
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
func (w *World) cut(s side, d *dispatcher, site int) bool {
	for _, f := range w.cuts {
		of := map[string]side{"workers": withWorkers, "clients": withClients, "siblings": withSiblings,
			"discovery": withDiscovery}[f.Of]
		if of == s && (f.Site == "" || SiteName(site) == f.Site) && (f.Count == 0 || d.n < f.Count) {
			return true
		}
	}
	return false
}
