package dispatch

import (
	"math"
	"slices"
)

const (
	sampleSize       = 512 // Number of recent hints kept for the cutoff, and of recent keys.
	stalledAfter     = 2.5 // A hand-off has stalled after this many progress intervals without a notice.
	firstRequestWait = 0.4 // Mean wait after a failed request to discovery, as a share of DiscoveryAskWithin.
	// Wait without a listing after which the request is renewed, as a multiple of DiscoveryAskWithin.
	silentRequestWait = 3.
)

// parameters holds the values that decisions use, derived from Settings.
type parameters struct {
	categories         []Category
	tenantShares       []float64 // Work items within each tenant's share in one tenantWindow.
	excessCredit       float64
	dispatchers        int
	position           int // This dispatcher's position among them.
	groups             int // Number of groups of dispatchers; of each group, one dispatcher may share a given worker.
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
	maxRetryAfter      float64 // 0: clients are given no advice.
	twoRounds          float64
	stallTimeout       float64 // A hand-off has stalled after this time without progress.
	firstRequestWait   float64 // Mean wait after the first failed request to discovery.
	maxRequestWait     float64 // Upper bound of the mean wait after repeated failures.
	silentRequestWait  float64 // The request is renewed after this time without a listing.
	startCapacity      float64
	warmUpRate         float64 // Least share of its capacity that a cold worker gains in a millisecond.
	warmUpTime         float64
	overloadWindow     float64
	overloadShare      float64 // This dispatcher's part of OverloadMultiple, beyond which a cold worker fails.
}

// derive computes the parameters from the settings.
func derive(s Settings) parameters {
	dispatchers := max(s.Dispatchers, 1)
	groups := min(dispatchers, maxSharers)
	params := parameters{categories: s.Categories, excessCredit: s.ExcessCredit, dispatchers: dispatchers, groups: groups,
		position: min(max(s.Position, 0), dispatchers-1), zone: s.Zone,
		preferOwnZone: s.PreferOwnZone, keyAffinity: s.KeyAffinity, liveWeights: s.LiveWeights, startNotices: s.StartNotices, discoveryOnRequest: s.DiscoveryOnRequest, onlyDrainingBinds: s.OnlyDrainingBinds, mayNotifyPeers: s.MayNotifyPeers,
		mayCancel: s.MayCancel, secondCopies: s.SecondCopies, maxHandOffs: s.MaxHandOffs, twoRounds: 2 * s.RoundInterval,
		stallTimeout: stalledAfter * s.ProgressInterval, firstRequestWait: firstRequestWait * s.DiscoveryAskWithin, maxRequestWait: s.DiscoveryAskWithin, silentRequestWait: silentRequestWait * s.DiscoveryAskWithin,
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

// slidingSum sums values over the most recent window of time, in buckets that are reused. It has one bucket
// more than the window, so that no value is dropped early.
type slidingSum struct {
	buckets [11]float64
	epoch   int
}

// advance clears the buckets that have left the window, and returns the index of the current one.
func (r *slidingSum) advance(now, window float64) int {
	epoch := int(now / window * float64(len(r.buckets)-1))
	for e := max(r.epoch+1, epoch-len(r.buckets)+1); e <= epoch; e++ {
		r.buckets[e%len(r.buckets)] = 0
	}
	r.epoch = epoch
	return epoch % len(r.buckets)
}

// add counts x at the time now.
func (r *slidingSum) add(now, window, x float64) { r.buckets[r.advance(now, window)] += x }

// sum returns the sum over the window up to now.
func (r *slidingSum) sum(now, window float64) (sum float64) {
	r.advance(now, window)
	for _, x := range r.buckets {
		sum += x
	}
	return sum
}

// kind holds what was learned of one kind of worker.
type kind struct {
	logSlow        float64 // Logarithm of running time over hint, smoothed.
	speedKnown     bool
	answers        int                 // Answers that its speed was learned from.
	limit          [2]concurrencyLimit // Learned with the peers' load known, and unknown.
	queueWait      float64             // Smoothed wait before the start, as of queueWaitAt.
	queueWaitAt    float64
	lane           int     // 0: small work; 1: large work.
	meanHint       float64 // Mean hint of the work that it answered, smoothed.
	fetchTime      float64 // Mean time that fetches add to a work item.
	maxWeight      float64 // Largest weight that discovery listed for a worker of the kind.
	free           int     // Most slots that a load report showed free.
	workerCapacity float64 // Capacity of one worker as of the last recomputation: speed times slots.
	capacity       float64 // Capacity of all its workers as of the last recomputation.
}

// Values of peerView: whether the load that peers put on workers is known from their notices. The value is
// also used as a factor, 0 or 1.
const (
	known = iota
	unknown
)

// MaxConcurrency is the largest number of work items at once on one worker that can be learned.
const MaxConcurrency = 64

// concurrencyLimit holds what was learned of how many work items run at once on one worker.
type concurrencyLimit struct {
	// By the number of items there, the new one included, smoothed: 1 always starts at once, -1 never, 0
	// unknown.
	startsAtOnce [MaxConcurrency + 1]float64
	sure         int     // Items beyond the first that are sure to start at once.
	failedProbes int     // How often one more item did not start at once.
	nextProbeAt  float64 // One more item is not tried before this time.
	likely       int     // Items beyond the first that are more likely than not to start at once.
}

// slots is the estimated number of work items that a worker of the kind runs at once.
func (k *kind) slots() int { return max(1+k.limit[known].likely, 1+k.limit[unknown].likely, k.free) }

// categoryCost holds what was learned of a category's cost where no work has hints.
type categoryCost struct {
	answers   int
	logTime   float64 // Logarithm of the running time at a worker of average speed, smoothed.
	meanTime  float64 // The mean of that running time, which is larger where a few items take long.
	updatedAt float64 // Time of the last answer.
}

// keyWorkers holds the preferred workers of a key, and the number of each lane that work is drawn among.
type keyWorkers struct {
	workers   []*worker
	drawLimit [2]int
}

// worker is a worker as this dispatcher knows it.
type worker struct {
	Entry
	waiting        int // Own hand-offs not known to have started.
	running        int
	minStartGap    float64 // Least time from a hand-off to its start notice.
	queueEmptyAt   float64 // Time at which the queue seen by the last late start is assumed empty.
	fullUntil      float64 // Assumed to be full until then.
	logSlow        float64 // Logarithm of its slowness relative to its kind, as of logSlowAt.
	logSlowAt      float64
	failures       int // Failures in a row.
	workFailures   int // Work that failed there, in a row.
	ejectedUntil   float64
	unlisted       bool       // The list omits it or calls it gone, which does not bind.
	unlistedFactor float64    // Factor applied to its weight in the draw while it is unlisted, at most 1.
	suspectedUntil float64    // Drawn last until then.
	recentCost     slidingSum // Cost sent to it in the last overload window.
	lastHandOff    float64    // Time of the last hand-off.
	keyDistance    float64    // Its distance in the order of the key for which preferred workers were last chosen.
	lostAnswers    float64    // Work started there whose answer never came, in a row.
	listedLoad     float64    // Work items for each core according to its listed weight.
	idHash         uint64     // Hash of its ID.
	sharers        []int      // Dispatchers that may share it, in the order of chooseSharers.
	sharerRank     int        // This dispatcher's index in sharers; the number of groups if it is not in it.
	shared         bool       // This dispatcher shares it.
	standsFor      float64    // Number of workers that it represents in the draw: itself and others not examined.
	peerLeases     []lease    // Hand-offs that peers reported.
}

// lease is a peer's hand-off, assumed to be outstanding until the given time.
type lease struct {
	from  int
	until float64
}

// handoff (ho) is one hand-off of a work item to a worker.
type handoff struct {
	worker       *worker
	place        Place // Of the worker when it got the hand-off; a later listing may have it elsewhere.
	sentAt       float64
	startedAt    float64 // Below 0: not known to have started.
	lastNoticeAt float64 // Time of the last notice, or of the hand-off.
	notifyAt     float64 // Peers are notified of it at that time if it is still outstanding.
	peerView     int     // Whether the peers' load was known when it was sent.
	load         int     // Work items known to be at the worker, this one included.
	counter      *int    // The worker's counter that includes it: waiting, running, or nil.
	done         bool
	provenNotRun bool // It is known not to have run.
	cancelled    bool // This dispatcher cancelled it.
	mayStillRun  bool // It has ended here, but the worker may still run it.
}

// mayBeAt reports whether an earlier hand-off may still be at the worker. A worker gets one hand-off of a
// work item at a time, even where second copies are allowed.
func (it *item) mayBeAt(w *worker) bool {
	return slices.ContainsFunc(it.handOffs, func(h handoff) bool { return h.at(w) && (!h.done || h.mayStillRun) })
}

// at reports whether the worker got the hand-off.
func (h *handoff) at(w *worker) bool { return h.worker.same(w) }

// inOwnZone reports whether the worker is in this dispatcher's zone. No worker is if that has no name.
func (d *Dispatcher) inOwnZone(w *worker) bool { return w.Zone >= 0 && w.Zone == d.params.zone }

// same reports whether both are the same worker: one that left the list and came back is.
func (w *worker) same(o *worker) bool { return w.Worker == o.Worker }

// setCounter moves the hand-off from the counter that includes it to another, or to none for nil.
func (h *handoff) setCounter(counter *int) {
	if h.counter != nil {
		*h.counter--
	}
	if h.counter = counter; counter != nil {
		*counter++
	}
}

// item is a work item with its hand-offs.
type item struct {
	WorkItem
	cat           *Category
	expiry        float64
	dueAt         float64 // Due time: an answer after it is of no use.
	priority      float64 // Credit that it earns for each unit of cost.
	handOffs      []handoff
	outstanding   int  // Hand-offs that have not ended.
	mayHaveRun    int  // Hand-offs not known not to have run.
	answered      bool // It has its final answer.
	responding    bool
	pending       bool
	examined      bool // It was examined while pending.
	overShare     bool // Beyond its tenant's share.
	hintGuessed   bool // It came without a hint; Hint is a guess.
	keyHash       uint64
	failedOn      *worker // The worker on which it failed first.
	failsAnywhere bool    // Assumed to fail on any worker.
}

// Dispatcher is the Decider of this project. It must not be used by several goroutines at once.
type Dispatcher struct {
	params          parameters
	now             float64 // Time of the current round.
	out             Executor
	rngState        uint64
	workers         []*worker
	candidates      []*worker // Workers that it uses: those that it shares, or all if none of these is up.
	sharers         int       // Number of dispatchers that share a worker.
	minNoticeShare  float64   // Hand-offs shorter than this share of the mean running time are not worth a notice.
	byID            map[string]*worker
	kinds           []kind // One for each kind, and a last one for workers of unknown kind.
	items           map[uint64]*item
	open            []*item   // In order of arrival.
	pending         []*item   // By priority, then arrival.
	maxTimeLeft     []float64 // Longest TimeLeft seen of each category.
	recentHints     []float64 // Ring buffer of the last hints.
	recentKeys      []uint64  // Ring buffer of the last work items' key hashes.
	workersByKey    map[uint64]*keyWorkers
	costs           []categoryCost // Of each category.
	anyHint         bool           // Some work item had a hint.
	keysTotal       int            // Number of keys so far.
	hintsTotal      int            // Number of hints so far.
	peerView        int            // Whether the peers' load is known or unknown.
	sortedHints     []float64
	cutoff          float64 // Work with a hint of at least this goes to the slow lane.
	medianHint      float64
	meanHint        float64
	resetAt         float64 // Time of the next recomputation of the cutoff.
	spill           float64 // Probability that large work goes to the fast lane, as of spillAt.
	spillAt         float64
	nextSweepAt     float64
	sweepInterval   float64
	requestAnswered bool    // The last request to discovery was answered.
	requestedAt     float64 // Time of the last request to discovery, or of its last result; below 0: none.
	meanRequestWait float64 // Mean wait after the next failed request.
	requestWait     float64 // Wait before the next request while the last one is not answered; random after a failure.
	lastPeerMessage float64 // Time of the last message from any peer.
	msgBuf          []byte
	noticesLeft     int          // Messages that may still be sent to peers.
	arrivals        []slidingSum // Of each tenant.
	noticesReceived slidingSum   // Notices from peers.
	noticesSent     slidingSum   // Own notices.
	eligible        []*worker    // Workers in the current draw.
	pools           []pool       // Of the candidates.
	// Candidates by the ID hash bits in notices; nil: not built since the candidates changed.
	candidatesByTag map[uint16][]*worker
	recheckPending  bool // Pending work may find room that it did not find before.
	newArrivals     bool
	minReadiness    readiness // Least readiness that a worker must have in the current pass of the draw.
	anySuspected    bool      // Some worker is suspected.
	// Least time to a start notice from each zone; the first is for workers of unknown zone.
	minStartGapByZone []float64
	failureRate       float64 // Share of first hand-offs answered as failed, smoothed.
	lostAnswerRate    float64 // Share of started work whose answer never came, smoothed.
	refailRate        float64 // Share of second hand-offs, at another worker after a failure, that fail too.
	replaced          bool    // Another process has taken this one's place.
}

// random returns a pseudo-random number in [0, 1), by multiply-with-carry.
func (d *Dispatcher) random() float64 {
	d.rngState = 4294957665*(d.rngState&math.MaxUint32) + d.rngState>>32
	return float64(uint32(d.rngState)) / (1 << 32)
}

// New returns a dispatcher that has learned nothing yet.
func New(s Settings) *Dispatcher {
	params := derive(s)
	d := &Dispatcher{params: params, meanRequestWait: params.firstRequestWait, byID: map[string]*worker{}, items: map[uint64]*item{},
		resetAt: -1, sharers: params.groups, rngState: s.Seed | 1, kinds: make([]kind, s.Kinds+1),
		maxTimeLeft: make([]float64, len(s.Categories)), costs: make([]categoryCost, len(s.Categories)),
		workersByKey: map[uint64]*keyWorkers{}, arrivals: make([]slidingSum, len(s.Tenants)), sweepInterval: max(s.RoundInterval, s.AnswerSlack/2, 1), nextSweepAt: -1,
		requestedAt: -1, lastPeerMessage: math.Inf(-1), minReadiness: readinessSure}
	d.rebuildPools()
	for range 8 {
		d.random()
	}
	return d
}

// Change applies other settings from now on. It must be called between two rounds. State that is indexed by
// position stays, so the lists of categories, tenants, kinds and dispatchers must be the same as before.
func (d *Dispatcher) Change(s Settings) {
	d.params = derive(s)
	d.rebuildPools()
}

// GiveUpQueued gives the final answer to a work item without outstanding hand-offs: the process may not hand
// off any more.
func (d *Dispatcher) GiveUpQueued(wi uint64) {
	if it := d.items[wi]; it != nil && it.outstanding == 0 {
		d.giveUp(it)
	}
}

// AnswerAllWithin has all open work answered within the given time, after which the process ends. Work that
// cannot end by then is given up at once.
func (d *Dispatcher) AnswerAllWithin(within float64) {
	for _, it := range d.open {
		it.expiry = min(it.expiry, d.now+within)
		it.dueAt, it.examined = min(it.dueAt, it.expiry), false
	}
	d.recheckPending = true
}

// knownLoad is the number of work items known to be at a worker: own hand-offs and those that peers reported.
func (d *Dispatcher) knownLoad(w *worker) int {
	w.peerLeases = slices.DeleteFunc(w.peerLeases, func(l lease) bool { return d.now >= l.until })
	return w.waiting + w.running + len(w.peerLeases)
}

// meanLoad is the mean known load of the workers in the draw.
func (d *Dispatcher) meanLoad() (mean float64) {
	for _, w := range d.eligible {
		mean += float64(d.knownLoad(w))
	}
	return mean / float64(len(d.eligible))
}

// ResponseStarted marks an item whose response to the client has begun: it no longer expires, and
// its hand-offs are not cancelled.
func (d *Dispatcher) ResponseStarted(wi uint64, _ int) {
	if it := d.items[wi]; it != nil {
		it.responding = true
	}
}

// WorkerCounts returns how many workers are listed, and how many of those that are up this dispatcher avoids
// at present.
func (d *Dispatcher) WorkerCounts() (listed, avoided int) {
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

// MarkReplaced records that another process, which has been given the result of Learned, takes this one's
// place. From then on only that process sends to cold workers.
func (d *Dispatcher) MarkReplaced() { d.replaced = true }

// spillNow is the probability that large work goes to the fast lane at present.
func (d *Dispatcher) spillNow() float64 { return d.spill * math.Exp2((d.spillAt-d.now)/spillHalfLife) }

// workerLogSlow is the logarithm of the worker's slowness relative to its kind, decayed until now.
func (d *Dispatcher) workerLogSlow(w *worker) float64 {
	return w.logSlow * math.Exp((w.logSlowAt-d.now)/slownessDecay)
}

// addWorker adds a worker that no earlier listing contained.
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

// remember adds a hint or a key to its ring buffer.
func remember[T any](recent *[]T, total *int, x T) {
	if len(*recent) < sampleSize {
		*recent = append(*recent, x)
	}
	(*recent)[*total%sampleSize] = x
	*total++
}

// recordFailure updates how often work fails at its first worker, and how often again at a second one.
func (d *Dispatcher) recordFailure(it *item, w *worker, failed float64) {
	rate := &d.failureRate
	if it.failedOn != nil {
		if rate = &d.refailRate; it.failedOn.same(w) {
			return
		}
	}
	*rate += (failed - *rate) * failureSmoothing
}

// ejected reports whether failures in a row keep the worker out of the draw at present.
func (d *Dispatcher) ejected(w *worker) bool { return d.now < w.ejectedUntil }

// suspected reports whether the worker is drawn last at present, as it failed work.
func (d *Dispatcher) suspected(w *worker) bool { return d.now < w.suspectedUntil }

// guessHint stands in for a missing hint: the median of recent hints. Where no work has hints, it is the
// learned cost of the category, which decays to half the category's due time, so that too high a guess
// excludes no work for good.
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

// discardGuesses is called with the first hint: everything learned before it rests on guesses.
func (d *Dispatcher) discardGuesses() {
	for k := range d.kinds {
		d.kinds[k].speedKnown, d.kinds[k].answers = false, 0
	}
	clear(d.costs)
	d.anyHint, d.recentHints, d.hintsTotal, d.medianHint = true, d.recentHints[:0], 0, 0
}

// learnWithoutHint learns from the running time, scaled as if the worker were warm, of a work item without a
// hint: the cost of its category, and the speed of the kind and the worker relative to others. Guesses have
// no scale of their own, so a kind is assumed to have average speed at first.
func (d *Dispatcher) learnWithoutHint(it *item, w *worker, runTime float64) {
	if d.anyHint || it.Category < 0 {
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
	deviation := math.Log(runTime) - k.logSlow - c.logTime // Relative to what was expected.
	w.logSlow, w.logSlowAt = d.workerLogSlow(w)*(1-workerSmoothing)+deviation*workerSmoothing, d.now
	// Cold workers say nothing about their kind's speed.
	k.logSlow += deviation * kindSmoothing * math.Floor(d.warmFraction(w))
	c.logTime += deviation * smoothing
	c.meanTime += (runTime*math.Exp(-k.logSlow) - c.meanTime) * smoothing
	c.updatedAt = d.now
}

// startAllowance is how long a start notice may take from a worker with room: twice the least time seen from
// it, which is close to the round trip. In a zone where even the least time of all workers exceeds the sweep
// interval, it is four times that: a new connection takes up to three more round trips.
func (d *Dispatcher) startAllowance(w *worker) float64 {
	if zone := w.Zone + 1; zone < len(d.minStartGapByZone) && d.minStartGapByZone[zone] > d.sweepInterval && !math.IsInf(d.minStartGapByZone[zone], 0) {
		return 4*d.minStartGapByZone[zone] + d.params.twoRounds
	}
	return 2*min(w.minStartGap, d.sweepInterval) + d.params.twoRounds
}

// recordStartGap records the time from a hand-off to its start notice.
func (d *Dispatcher) recordStartGap(w *worker, gap float64) {
	w.minStartGap = min(w.minStartGap, gap)
	for len(d.minStartGapByZone) < w.Zone+2 {
		d.minStartGapByZone = append(d.minStartGapByZone, math.Inf(1))
	}
	d.minStartGapByZone[w.Zone+1] = min(d.minStartGapByZone[w.Zone+1], gap)
}

// avgRun is the running time of a work item of mean cost on the worker.
func (d *Dispatcher) avgRun(w *worker) float64 { return d.meanHint * math.Exp(d.kinds[w.Kind].logSlow) }

// expectedQueue is how long a hand-off to the kind waits, by the hand-offs that started. Twice that must fit
// before the due time.
func (d *Dispatcher) expectedQueue(k *kind) float64 {
	// 0 where the peers' load is known.
	return k.queueWait * math.Exp2((k.queueWaitAt-d.now)/queueHalfLife) * float64(d.peerView)
}

// removeGoneWorkers removes workers that are gone and have no hand-off outstanding.
func (d *Dispatcher) removeGoneWorkers() {
	d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
		done := w.State == Gone && w.waiting+w.running == 0
		if done {
			delete(d.byID, w.Worker)
		}
		return done
	})
}
