package dispatch

import (
	"math"
	"slices"
)

const (
	sampleSize    = 512 // hints remembered for the cutoff, and keys
	stalledAfter  = 2.5 // progress intervals without a word: a hand-off stands still
	firstAskWait  = 0.4 // mean wait after a failed call to discovery, of the time within which to ask
	silentAskWait = 3.  // the same for a subscription that says nothing
)

// figures are what decisions use of the settings.
type parameters struct {
	categories         []Category
	tenantShares       []float64 // work items of each tenant within its share in one tenantSpan
	excessCredit       float64
	dispatchers        int
	position           int // this dispatcher's among them
	groups             int // of all dispatchers; one of each may share a worker
	zone               int
	preferOwnZone      bool
	keyAffinity        bool
	liveWeights        bool
	startNotices       bool
	discoveryOnRequest bool
	onlyDrainingBinds  bool
	mayNotifyPeers     bool
	mayCancel          bool
	secondCopies       bool
	maxHandOffs        int
	maxRetryAfter      float64 // 0: clients take no advice
	twoRounds          float64
	stallTimeout       float64 // no progress for so long: it stands still
	firstAskWait       float64 // mean wait after a first failed call to discovery
	maxAskWait         float64 // the same after many
	silentAskWait      float64 // a subscription is asked for anew after this time without a word
	startCapacity      float64
	warmUpRate         float64 // part of its capacity that a cold worker gains in a millisecond, at least
	warmUpTime         float64
	overloadWindow     float64
	overloadShare      float64 // this dispatcher's part of the multiple that pushes a cold worker over
}

func derive(s Settings) parameters {
	dispatchers := max(s.Dispatchers, 1)
	groups := min(dispatchers, maxSharers)
	params := parameters{categories: s.Categories, excessCredit: s.ExcessCredit, dispatchers: dispatchers, groups: groups,
		position: min(max(s.Position, 0), dispatchers-1), zone: s.Zone,
		preferOwnZone: s.PreferOwnZone, keyAffinity: s.KeyAffinity, liveWeights: s.LiveWeights, startNotices: s.StartNotices, discoveryOnRequest: s.DiscoveryOnRequest, onlyDrainingBinds: s.OnlyDrainingBinds, mayNotifyPeers: s.MayNotifyPeers,
		mayCancel: s.MayCancel, secondCopies: s.SecondCopies, maxHandOffs: s.MaxHandOffs, twoRounds: 2 * s.RoundInterval,
		stallTimeout: stalledAfter * s.ProgressInterval, firstAskWait: firstAskWait * s.DiscoveryAskWithin, maxAskWait: s.DiscoveryAskWithin, silentAskWait: silentAskWait * s.DiscoveryAskWithin,
		startCapacity: s.StartCapacity, warmUpRate: (1 - s.StartCapacity) / max(s.WarmUpTime, 1), warmUpTime: s.WarmUpTime, overloadWindow: max(s.OverloadWindow, 1),
		overloadShare: s.OverloadMultiple / float64(min(groups, maxWarmers))}
	if s.MayAdviseRetryAfter {
		params.maxRetryAfter = s.MaxRetryAfter
	}
	for _, t := range s.Tenants {
		params.tenantShares = append(params.tenantShares, t.AllowancePerSec*tenantWindow/1000)
	}
	return params
}

// A ring sums what happened in the last span of time, by buckets used again. It holds one bucket
// more than a span has, so that it never forgets early.
type slidingSum struct {
	buckets [11]float64
	epoch   int
}

func (r *slidingSum) advance(now, window float64) int {
	epoch := int(now / window * float64(len(r.buckets)-1))
	for e := max(r.epoch+1, epoch-len(r.buckets)+1); e <= epoch; e++ {
		r.buckets[e%len(r.buckets)] = 0
	}
	r.epoch = epoch
	return epoch % len(r.buckets)
}

func (r *slidingSum) add(now, window, x float64) { r.buckets[r.advance(now, window)] += x }

func (r *slidingSum) sum(now, window float64) (sum float64) {
	r.advance(now, window)
	for _, x := range r.buckets {
		sum += x
	}
	return sum
}

// A kind of worker with what was learned of it.
type kind struct {
	logSlow        float64 // log of running time over hint, smoothed
	speedKnown     bool
	answers        int                 // that taught its speed
	limit          [2]concurrencyLimit // with siblings' work seen, and unseen
	queueWait      float64             // smoothed wait before the start, as of queueAt
	queueWaitAt    float64
	lane           int     // 0: small bins, 1: large
	meanHint       float64 // mean hint of what it answered, smoothed
	fetchTime      float64 // mean time that fetches add to a work item
	maxWeight      float64 // most weight that the list gave one
	free           int     // most slots that a report showed free
	workerCapacity float64 // capacity of one worker as of the last reset: speed times slots
	capacity       float64 // capacity as of the last reset
}

// Whether the work of siblings is seen.
const (
	informed = iota
	blind
)

// MostFit is how many work items that run at once on one worker can be learned.
const MaxConcurrency = 64

// A room is what was learned of how many work items run at once on one worker.
type concurrencyLimit struct {
	startsAtOnce [MaxConcurrency + 1]float64 // smoothed: did the nth start at once? 1 always, -1 never, 0 not known
	sure         int                         // most that do, beyond the first
	failedProbes int                         // how often one more did not
	nextProbeAt  float64                     // not before this time is one more tried
	likely       int                         // the same where it is only likelier than not
}

func (k *kind) slots() int { return max(1+k.limit[informed].likely, 1+k.limit[blind].likely, k.free) }

// A cost is what a category's work was seen to cost where nobody gives a hint.
type categoryCost struct {
	answers   int
	logTime   float64 // of its running time at a worker as fast as most, smoothed
	meanTime  float64 // of the same, which is more where few take long
	updatedAt float64 // time of the last answer
}

// A home holds the workers that a key is dealt to, and among how many of each lane is drawn.
type keyWorkers struct {
	workers   []*worker
	drawLimit [2]int
}

// A worker as this dispatcher sees it.
type worker struct {
	Entry
	waiting        int // own hand-offs not known to have started
	running        int
	minStartGap    float64 // least time seen from hand-off to start notice
	queueDrainedAt float64 // the queue last met there has drained by then
	fullUntil      float64 // taken to be full until then
	logSlow        float64 // log of its slowness beside its kind
	logSlowAt      float64
	failures       int // in a row
	workFailures   int // work that failed there, in a row
	ejectedUntil   float64
	unlisted       bool       // the list lacks it or calls it gone, which does not bind
	unlistedWeight float64    // its weight in the draw while dropped: 1 or less
	suspectedUntil float64    // drawn last until then
	recentCost     slidingSum // cost sent to it in the last fall window
	lastHandOff    float64    // time of the last hand-off
	keyDistance    float64    // its place in the order of the key just dealt
	lostAnswers    float64    // work started there whose answer never came, in a row
	listedLoad     float64    // work items for each core by the list
	idHash         uint64     // of its id
	sharers        []int      // the dispatchers that it is dealt to, in the order of the deal
	sharerRank     int        // this dispatcher's among them; beyond the last: it is not
	shared         bool       // this dispatcher shares it
	standsFor      float64    // workers in the draw, itself and those not looked at
	peerLeases     []lease    // hand-offs that siblings told of
}

// A lease is a sibling's hand-off and until when it is taken to be out.
type lease struct {
	from  int
	until float64
}

// A handoff (ho) of one work item to one worker.
type handoff struct {
	worker       *worker
	sentAt       float64
	startedAt    float64 // below 0: not known to have started
	lastNoticeAt float64 // last sign of life
	notifyAt     float64 // siblings are told of it then if it is still out
	peerView     int     // were siblings seen when it was sent?
	load         int     // work items known to be at the worker with this one
	counter      *int    // the worker's count in which it is, if any
	done         bool
	provenNotRun bool // known not to have run
	cancelled    bool // called off by this dispatcher
	mayStillRun  bool // it has ended here, but may go on at the worker
}

// still tells whether an earlier hand-off may still be at the worker, which gets one of a work item at a time, copies or not.
func (it *item) mayBeAt(w *worker) bool {
	return slices.ContainsFunc(it.handOffs, func(h handoff) bool { return h.worker == w && (!h.done || h.mayStillRun) })
}

// to moves the hand-off from the count that it is in to another, or to none.
func (h *handoff) setCounter(counter *int) {
	if h.counter != nil {
		*h.counter--
	}
	if h.counter = counter; counter != nil {
		*counter++
	}
}

// An item is a work item with its hand-offs.
type item struct {
	WorkItem
	cat           *Category
	expiry        float64
	dueAt         float64 // due time: must end by then to be of use
	priority      float64 // credit that it earns for each unit of cost
	handOffs      []handoff
	outstanding   int  // hand-offs outstanding
	mayHaveRun    int  // hand-offs not known not to have run
	answered      bool // has its final answer
	responding    bool
	pending       bool
	examined      bool // was looked at while held
	overShare     bool // beyond its tenant's share
	hintGuessed   bool // it has no hint
	keyHash       uint64
	failedOn      *worker // where it failed first
	failsAnywhere bool    // it is taken to fail anywhere
}

// Dispatcher decides for one submitter. Not for use from several goroutines at once.
type Dispatcher struct {
	params            parameters
	now               float64
	out               Executor
	rngState          uint64
	workers           []*worker
	candidates        []*worker // those that it uses: its share, or all if none of these is up
	sharers           int       // dispatchers that share a worker
	minNoticeShare    float64   // of the mean running time: what is shorter is not worth telling so many
	byID              map[string]*worker
	kinds             []kind // one more than named, for workers of no known kind
	items             map[uint64]*item
	open              []*item // in order of arrival
	pending           []*item // by rank, then arrival
	maxTimeLeft       []float64
	recentHints       []float64 // hints, a ring
	recentKeys        []uint64  // of the last work items, a ring
	workersByKey      map[uint64]*keyWorkers
	costs             []categoryCost // of each category
	anyHint           bool           // some work item had a hint
	keysTotal         int
	hintsTotal        int
	peerView          int // are siblings seen?
	sortedHints       []float64
	cutoff            float64
	medianHint        float64
	meanHint          float64
	resetAt           float64
	leak              float64
	leakAt            float64
	nextSweepAt       float64
	sweepInterval     float64
	subscribed        bool
	askedAt           float64 // time of the last call to discovery
	meanAskWait       float64 // mean wait after the next failed call
	askWait           float64 // drawn wait after the last one
	lastPeerMessage   float64 // last word of any sibling
	msgBuf            []byte
	noticesLeft       int          // messages that siblings may still be sent
	arrivals          []slidingSum // of each tenant
	noticesReceived   slidingSum   // messages of siblings
	noticesSent       slidingSum   // tellings of its own
	eligible          []*worker
	pools             []pool               // of part
	candidatesByTag   map[uint16][]*worker // of part, by what messages say of one; nil: not made since it changed
	recheckPending    bool                 // held work may find room that it did not find before
	newArrivals       bool
	minCredit         credit    // likely once no worker has sure credit
	anySuspected      bool      // some worker is suspected
	minStartGapByZone []float64 // least time to a start notice from each zone, the first from no known one
	failureRate       float64   // share of first hand-offs answered as failed, smoothed
	lostAnswerRate    float64   // share of work started whose answer never came, smoothed
	refailRate        float64   // share of second ones elsewhere that fail as well
	replaced          bool      // another process has taken this one's place
}

// chance draws from [0, 1) by multiply-with-carry.
func (d *Dispatcher) random() float64 {
	d.rngState = 4294957665*(d.rngState&math.MaxUint32) + d.rngState>>32
	return float64(uint32(d.rngState)) / (1 << 32)
}

// New makes a dispatcher that knows nothing yet.
func New(s Settings) *Dispatcher {
	params := derive(s)
	d := &Dispatcher{params: params, meanAskWait: params.firstAskWait, byID: map[string]*worker{}, items: map[uint64]*item{},
		resetAt: -1, sharers: params.groups, rngState: s.Seed | 1, kinds: make([]kind, s.Kinds+1),
		maxTimeLeft: make([]float64, len(s.Categories)), costs: make([]categoryCost, len(s.Categories)),
		workersByKey: map[uint64]*keyWorkers{}, arrivals: make([]slidingSum, len(s.Tenants)), sweepInterval: max(s.RoundInterval, s.AnswerSlack/2, 1), nextSweepAt: -1,
		askedAt: -1, lastPeerMessage: math.Inf(-1), minCredit: creditSure}
	d.rebuildPools()
	for range 8 {
		d.random()
	}
	return d
}

// Change has it decide by other settings from now on, between two rounds. What it keeps account of by position stays: the
// lists of categories, tenants, kinds and siblings must be as they were.
func (d *Dispatcher) Change(s Settings) {
	d.params = derive(s)
	d.rebuildPools()
}

// GiveUp gives the final answer to a work item that nothing is out for: the process may hand off no more.
func (d *Dispatcher) GiveUp(wi uint64) {
	if it := d.items[wi]; it != nil && it.outstanding == 0 {
		d.giveUp(it)
	}
}

// End has what is open answered within the time: the process ends then. What cannot end by then is given up at once.
func (d *Dispatcher) End(within float64) {
	for _, it := range d.open {
		it.expiry = min(it.expiry, d.now+within)
		it.dueAt, it.examined = min(it.dueAt, it.expiry), false
	}
	d.recheckPending = true
}

// load is what is known to be at a worker: own hand-offs and those that siblings told of.
func (d *Dispatcher) knownLoad(w *worker) int {
	w.peerLeases = slices.DeleteFunc(w.peerLeases, func(l lease) bool { return d.now >= l.until })
	return w.waiting + w.running + len(w.peerLeases)
}

// meanLoad is the mean of it over the workers in the draw.
func (d *Dispatcher) meanLoad() (mean float64) {
	for _, w := range d.eligible {
		mean += float64(d.knownLoad(w))
	}
	return mean / float64(len(d.eligible))
}

// Streaming marks an item whose answer has begun: it is the client's now and has no expiry.
func (d *Dispatcher) ResponseStarted(wi uint64, _ int) {
	if it := d.items[wi]; it != nil {
		it.responding = true
	}
}

// Pool tells how many workers are listed, and how many of those that are up this dispatcher avoids now.
func (d *Dispatcher) Pool() (listed, avoided int) {
	for _, w := range d.workers {
		if w.State != Gone && !w.unlisted {
			listed++
		}
		if w.State == Up && !w.unlisted && (d.ejected(w) || d.suspected(w)) {
			avoided++
		}
	}
	return listed, avoided
}

// Succeed has another process in this one's place from now on, with what Learned told: cold workers are its.
func (d *Dispatcher) Succeed() { d.replaced = true }

func (d *Dispatcher) currentLeak() float64 { return d.leak * math.Exp2((d.leakAt-d.now)/leakHalfLife) }

func (d *Dispatcher) workerLogSlow(w *worker) float64 {
	return w.logSlow * math.Exp((w.logSlowAt-d.now)/slownessDecay)
}

// meet enters a worker that no list named before.
func (d *Dispatcher) addWorker(id string) *worker {
	w := &worker{minStartGap: math.Inf(1), lastHandOff: math.Inf(-1), idHash: hash(id)}
	w.sharers = d.chooseSharers(w.idHash)
	if w.sharerRank = slices.Index(w.sharers, d.params.position); w.sharerRank < 0 {
		w.sharerRank = d.params.groups
	}
	d.byID[id] = w
	d.workers = append(d.workers, w)
	return w
}

// remember enters a hint or key in its ring of the last ones.
func remember[T any](recent *[]T, total *int, x T) {
	if len(*recent) < sampleSize {
		*recent = append(*recent, x)
	}
	(*recent)[*total%sampleSize] = x
	*total++
}

// tally keeps how often work fails at its first worker, and again at a second.
func (d *Dispatcher) recordFailure(it *item, w *worker, failed float64) {
	rate := &d.failureRate
	if it.failedOn != nil {
		if rate = &d.refailRate; it.failedOn == w {
			return
		}
	}
	*rate += (failed - *rate) * failureSmoothing
}

// ejected: failures in a row keep it out of the draw for now.
func (d *Dispatcher) ejected(w *worker) bool { return d.now < w.ejectedUntil }

// suspected: it failed work, so it is drawn last for now.
func (d *Dispatcher) suspected(w *worker) bool { return d.now < w.suspectedUntil }

// guess stands in for the hint of a work item that has none: the middle of those that others have; where nobody has one,
// what its category's answers cost, faded back to half its due time, so that too high a guess keeps nothing out for good.
func (d *Dispatcher) guessHint(category int) float64 {
	halfDue, c := max(d.params.categories[category].DueTime/2, 1), &d.costs[category]
	switch {
	case d.anyHint && d.medianHint > 0:
		return d.medianHint
	case c.answers == 0:
		return halfDue
	}
	return halfDue * math.Pow(c.meanTime/halfDue, math.Exp((c.updatedAt-d.now)/slownessDecay))
}

// unlearn is called with the first hint: what was learned before rests on guesses.
func (d *Dispatcher) discardGuesses() {
	for k := range d.kinds {
		d.kinds[k].speedKnown, d.kinds[k].answers = false, 0
	}
	clear(d.costs)
	d.anyHint, d.recentHints, d.hintsTotal, d.medianHint = true, d.recentHints[:0], 0, 0
}

// teach learns from the running time, as if warm, of a work item without a hint: what its category costs, and how fast the
// kind and the worker are beside others. Guesses have no scale of their own, so a kind counts as fast as most at first.
func (d *Dispatcher) learnWithoutHint(it *item, w *worker, runTime float64) {
	if d.anyHint {
		return
	}
	k, c := &d.kinds[w.Kind], &d.costs[it.Category]
	if !k.speedKnown {
		k.logSlow, k.speedKnown = 0, true
	}
	k.answers++
	c.answers++
	smoothing := max(1/float64(c.answers), kindSmoothing)
	if c.answers == 1 {
		c.logTime = math.Log(runTime) - k.logSlow
	}
	deviation := math.Log(runTime) - k.logSlow - c.logTime // beside what was expected
	w.logSlow, w.logSlowAt = d.workerLogSlow(w)*(1-workerSmoothing)+deviation*workerSmoothing, d.now
	k.logSlow += deviation * kindSmoothing * math.Floor(d.warmFraction(w)) // cold ones tell nothing of their kind
	c.logTime += deviation * smoothing
	c.meanTime += (runTime*math.Exp(-k.logSlow) - c.meanTime) * smoothing
	c.updatedAt = d.now
}

// grace is how long a start notice may take from a worker with room: twice the least seen from it, as it is near. From where
// even the least of all workers takes longer than a beat it may be four times that: a new connection takes up to three more
// trips there and back.
func (d *Dispatcher) startAllowance(w *worker) float64 {
	if zone := w.Zone + 1; zone < len(d.minStartGapByZone) && d.minStartGapByZone[zone] > d.sweepInterval && !math.IsInf(d.minStartGapByZone[zone], 0) {
		return 4*d.minStartGapByZone[zone] + d.params.twoRounds
	}
	return 2*min(w.minStartGap, d.sweepInterval) + d.params.twoRounds
}

// reached takes the time from a hand-off to its start notice.
func (d *Dispatcher) recordStartGap(w *worker, gap float64) {
	w.minStartGap = min(w.minStartGap, gap)
	for len(d.minStartGapByZone) < w.Zone+2 {
		d.minStartGapByZone = append(d.minStartGapByZone, math.Inf(1))
	}
	d.minStartGapByZone[w.Zone+1] = min(d.minStartGapByZone[w.Zone+1], gap)
}

// span is the running time of a work item of mean cost on the worker.
func (d *Dispatcher) avgRun(w *worker) float64 { return d.meanHint * math.Exp(d.kinds[w.Kind].logSlow) }

// queue is how long a hand-off to the kind waits, by those that started; twice that must fit.
func (d *Dispatcher) expectedQueue(k *kind) float64 {
	return k.queueWait * math.Exp2((k.queueWaitAt-d.now)/queueHalfLife) * float64(d.peerView) // none where seen
}

// forget drops workers that are gone and have nothing out.
func (d *Dispatcher) removeGoneWorkers() {
	d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
		done := w.State == Gone && w.waiting+w.running == 0
		if done {
			delete(d.byID, w.Worker)
		}
		return done
	})
}
