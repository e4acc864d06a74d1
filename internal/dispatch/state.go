package dispatch

import (
	"math"
	"slices"
)

const (
	sampleSize = 512 // hints remembered for the cutoff, and keys
	stillAfter = 2.5 // progress intervals without a word: a hand-off stands still
	askFirst   = 0.4 // mean wait after a failed call to discovery, of the time within which to ask
	askAgain   = 3.  // the same for a subscription that says nothing
)

// figures are what decisions use of the settings.
type figures struct {
	categories   []Category
	shares       []float64 // work items of each tenant within its share in one tenantSpan
	excessCredit float64
	siblings     int
	number       int // this dispatcher's among them
	parts        int // of all dispatchers; one of each may share a worker
	zone         int
	nearFirst    bool
	keyed        bool
	liveWeights  bool
	tellsStart   bool
	mustAsk      bool
	onlyDraining bool
	mayTell      bool
	mayCancel    bool
	copies       bool
	maxHandOffs  int
	maxPause     float64 // 0: clients take no advice
	twoGrains    float64
	still        float64 // no progress for so long: it stands still
	askFirst     float64 // mean wait after a first failed call to discovery
	askMost      float64 // the same after many
	askAgain     float64 // a subscription is asked for anew after this time without a word
	startShare   float64
	warming      float64 // part of its capacity that a cold worker gains in a millisecond, at least
	cold         float64
	fall         float64
	fallPart     float64 // this dispatcher's part of the multiple that pushes a cold worker over
}

func derive(s Settings) figures {
	siblings := max(s.Dispatchers, 1)
	parts := min(siblings, mostShare)
	f := figures{categories: s.Categories, excessCredit: s.ExcessCredit, siblings: siblings, parts: parts,
		number: min(max(s.Position, 0), siblings-1), zone: s.Zone,
		nearFirst: s.PreferOwnZone, keyed: s.KeyAffinity, liveWeights: s.LiveWeights, tellsStart: s.StartNotices, mustAsk: s.DiscoveryOnRequest, onlyDraining: s.OnlyDrainingBinds, mayTell: s.MayNotifyPeers,
		mayCancel: s.MayCancel, copies: s.SecondCopies, maxHandOffs: s.MaxHandOffs, twoGrains: 2 * s.RoundInterval,
		still: stillAfter * s.ProgressInterval, askFirst: askFirst * s.DiscoveryAskWithin, askMost: s.DiscoveryAskWithin, askAgain: askAgain * s.DiscoveryAskWithin,
		startShare: s.StartCapacity, warming: (1 - s.StartCapacity) / max(s.WarmUpTime, 1), cold: s.WarmUpTime, fall: max(s.OverloadWindow, 1),
		fallPart: s.OverloadMultiple / float64(min(parts, mostWarm))}
	if s.MayAdviseRetryAfter {
		f.maxPause = s.MaxRetryAfter
	}
	for _, t := range s.Tenants {
		f.shares = append(f.shares, t.AllowancePerSec*tenantSpan/1000)
	}
	return f
}

// A ring sums what happened in the last span of time, by buckets used again. It holds one bucket
// more than a span has, so that it never forgets early.
type ring struct {
	cell  [11]float64
	epoch int
}

func (r *ring) turn(now, span float64) int {
	epoch := int(now / span * float64(len(r.cell)-1))
	for e := max(r.epoch+1, epoch-len(r.cell)+1); e <= epoch; e++ {
		r.cell[e%len(r.cell)] = 0
	}
	r.epoch = epoch
	return epoch % len(r.cell)
}

func (r *ring) add(now, span, x float64) { r.cell[r.turn(now, span)] += x }

func (r *ring) sum(now, span float64) (sum float64) {
	r.turn(now, span)
	for _, x := range r.cell {
		sum += x
	}
	return sum
}

// A kind of worker with what was learned of it.
type kind struct {
	slow    float64 // log of running time over hint, smoothed
	known   bool
	answers int     // that taught its speed
	room    [2]room // with siblings' work seen, and unseen
	queue   float64 // smoothed wait before the start, as of queueAt
	queueAt float64
	lane    int     // 0: small bins, 1: large
	hint    float64 // mean hint of what it answered, smoothed
	fetch   float64 // mean time that fetches add to a work item
	size    float64 // most weight that the list gave one
	free    int     // most slots that a report showed free
	each    float64 // capacity of one worker as of the last reset: speed times slots
	weight  float64 // capacity as of the last reset
}

// Whether the work of siblings is seen.
const (
	seen = iota
	unseen
)

// MostFit is how many work items that run at once on one worker can be learned.
const MaxConcurrency = 64

// A room is what was learned of how many work items run at once on one worker.
type room struct {
	fit     [MaxConcurrency + 1]float64 // smoothed: did the nth start at once? 1 always, -1 never, 0 not known
	more    int                         // most that do, beyond the first
	tried   int                         // how often one more did not
	explore float64                     // not before this time is one more tried
	most    int                         // the same where it is only likelier than not
}

func (k *kind) slots() int { return max(1+k.room[seen].most, 1+k.room[unseen].most, k.free) }

// A cost is what a category's work was seen to cost where nobody gives a hint.
type cost struct {
	answers int
	log     float64 // of its running time at a worker as fast as most, smoothed
	mean    float64 // of the same, which is more where few take long
	at      float64 // time of the last answer
}

// A home holds the workers that a key is dealt to, and among how many of each lane is drawn.
type home struct {
	workers []*worker
	most    [2]int
}

// A worker as this dispatcher sees it.
type worker struct {
	Entry
	waiting     int // own hand-offs not known to have started
	running     int
	minGap      float64 // least time seen from hand-off to start notice
	drained     float64 // the queue last met there has drained by then
	full        float64 // taken to be full until then
	slow        float64 // log of its slowness beside its kind
	slowAt      float64
	fails       int // in a row
	errs        int // work that failed there, in a row
	outTill     float64
	dropped     bool    // the list lacks it or calls it gone, which does not bind
	step        float64 // its weight in the draw while dropped: 1 or less
	suspectTill float64 // drawn last until then
	sent        ring    // cost sent to it in the last fall window
	last        float64 // time of the last hand-off
	far         float64 // its place in the order of the key just dealt
	mute        float64 // work started there whose answer never came, in a row
	told        float64 // work items for each core by the list
	hash        uint64  // of its id
	sharers     []int   // the dispatchers that it is dealt to, in the order of the deal
	place       int     // this dispatcher's among them; beyond the last: it is not
	mine        bool    // this dispatcher shares it
	standsFor   float64 // workers in the draw, itself and those not looked at
	theirs      []lease // hand-offs that siblings told of
}

// A lease is a sibling's hand-off and until when it is taken to be out.
type lease struct {
	from int
	till float64
}

// A handoff (ho) of one work item to one worker.
type handoff struct {
	w       *worker
	sent    float64
	started float64 // below 0: not known to have started
	heard   float64 // last sign of life
	tellAt  float64 // siblings are told of it then if it is still out
	sight   int     // were siblings seen when it was sent?
	load    int     // work items known to be at the worker with this one
	at      *int    // the worker's count in which it is, if any
	done    bool
	unrun   bool // known not to have run
	moved   bool // called off by this dispatcher
	unsure  bool // it has ended here, but may go on at the worker
}

// still tells whether an earlier hand-off may still be at the worker, which gets one of a work item at a time, copies or not.
func (it *item) still(w *worker) bool {
	return slices.ContainsFunc(it.hos, func(h handoff) bool { return h.w == w && (!h.done || h.unsure) })
}

// to moves the hand-off from the count that it is in to another, or to none.
func (h *handoff) to(count *int) {
	if h.at != nil {
		*h.at--
	}
	if h.at = count; count != nil {
		*count++
	}
}

// An item is a work item with its hand-offs.
type item struct {
	WorkItem
	cat     *Category
	expiry  float64
	until   float64 // due time: must end by then to be of use
	rank    float64 // credit that it earns for each unit of cost
	hos     []handoff
	out     int  // hand-offs outstanding
	risk    int  // hand-offs not known not to have run
	ended   bool // has its final answer
	stream  bool
	held    bool
	seen    bool // was looked at while held
	excess  bool // beyond its tenant's share
	guessed bool // it has no hint
	key     uint64
	failed  *worker // where it failed first
	bad     bool    // it is taken to fail anywhere
}

// Dispatcher decides for one submitter. Not for use from several goroutines at once.
type Dispatcher struct {
	f         figures
	now       float64
	out       Executor
	mwc       uint64
	workers   []*worker
	part      []*worker // those that it uses: its share, or all if none of these is up
	shares    int       // dispatchers that share a worker
	untold    float64   // of the mean running time: what is shorter is not worth telling so many
	byID      map[string]*worker
	kinds     []kind // one more than named, for workers of no known kind
	items     map[uint64]*item
	open      []*item // in order of arrival
	held      []*item // by rank, then arrival
	most      []float64
	sample    []float64 // hints, a ring
	keys      []uint64  // of the last work items, a ring
	homes     map[uint64]*home
	costs     []cost // of each category
	hinted    bool   // some work item had a hint
	keyed     int
	sampled   int
	sight     int // are siblings seen?
	sorted    []float64
	cutoff    float64
	median    float64
	mean      float64
	resetAt   float64
	leak      float64
	leakAt    float64
	beatAt    float64
	beat      float64
	watched   bool
	asked     float64 // time of the last call to discovery
	askGap    float64 // mean wait after the next failed call
	askWait   float64 // drawn wait after the last one
	heard     float64 // last word of any sibling
	msg       []byte
	tellings  int    // messages that siblings may still be sent
	arrivals  []ring // of each tenant
	heards    ring   // messages of siblings
	tolds     ring   // tellings of its own
	fit       []*worker
	pools     []pool               // of part
	names     map[uint16][]*worker // of part, by what messages say of one; nil: not made since it changed
	stirred   bool                 // held work may find room that it did not find before
	arrived   bool
	wanted    credit    // likely once no worker has sure credit
	suspects  bool      // some worker is suspected
	far       []float64 // least time to a start notice from each zone, the first from no known one
	failing   float64   // share of first hand-offs answered as failed, smoothed
	silent    float64   // share of work started whose answer never came, smoothed
	again     float64   // share of second ones elsewhere that fail as well
	succeeded bool      // another process has taken this one's place
}

// chance draws from [0, 1) by multiply-with-carry.
func (d *Dispatcher) chance() float64 {
	d.mwc = 4294957665*(d.mwc&math.MaxUint32) + d.mwc>>32
	return float64(uint32(d.mwc)) / (1 << 32)
}

// New makes a dispatcher that knows nothing yet.
func New(s Settings) *Dispatcher {
	f := derive(s)
	d := &Dispatcher{f: f, askGap: f.askFirst, byID: map[string]*worker{}, items: map[uint64]*item{},
		resetAt: -1, shares: f.parts, mwc: s.Seed | 1, kinds: make([]kind, s.Kinds+1),
		most: make([]float64, len(s.Categories)), costs: make([]cost, len(s.Categories)),
		homes: map[uint64]*home{}, arrivals: make([]ring, len(s.Tenants)), beat: max(s.RoundInterval, s.AnswerSlack/2, 1), beatAt: -1,
		asked: -1, heard: math.Inf(-1), wanted: sure}
	d.pool()
	for range 8 {
		d.chance()
	}
	return d
}

// Change has it decide by other settings from now on, between two rounds. What it keeps account of by position stays: the
// lists of categories, tenants, kinds and siblings must be as they were.
func (d *Dispatcher) Change(s Settings) {
	d.f = derive(s)
	d.pool()
}

// GiveUp gives the final answer to a work item that nothing is out for: the process may hand off no more.
func (d *Dispatcher) GiveUp(wi uint64) {
	if it := d.items[wi]; it != nil && it.out == 0 {
		d.giveUp(it)
	}
}

// End has what is open answered within the time: the process ends then. What cannot end by then is given up at once.
func (d *Dispatcher) End(within float64) {
	for _, it := range d.open {
		it.expiry = min(it.expiry, d.now+within)
		it.until, it.seen = min(it.until, it.expiry), false
	}
	d.stirred = true
}

// load is what is known to be at a worker: own hand-offs and those that siblings told of.
func (d *Dispatcher) load(w *worker) int {
	w.theirs = slices.DeleteFunc(w.theirs, func(l lease) bool { return d.now >= l.till })
	return w.waiting + w.running + len(w.theirs)
}

// meanLoad is the mean of it over the workers in the draw.
func (d *Dispatcher) meanLoad() (mean float64) {
	for _, w := range d.fit {
		mean += float64(d.load(w))
	}
	return mean / float64(len(d.fit))
}

// Streaming marks an item whose answer has begun: it is the client's now and has no expiry.
func (d *Dispatcher) ResponseStarted(wi uint64, _ int) {
	if it := d.items[wi]; it != nil {
		it.stream = true
	}
}

// Pool tells how many workers are listed, and how many of those that are up this dispatcher avoids now.
func (d *Dispatcher) Pool() (listed, avoided int) {
	for _, w := range d.workers {
		if w.State != Gone && !w.dropped {
			listed++
		}
		if w.State == Up && !w.dropped && (d.ejected(w) || d.suspected(w)) {
			avoided++
		}
	}
	return listed, avoided
}

// Succeed has another process in this one's place from now on, with what Learned told: cold workers are its.
func (d *Dispatcher) Succeed() { d.succeeded = true }

func (d *Dispatcher) leakNow() float64 { return d.leak * math.Exp2((d.leakAt-d.now)/leakHalf) }

func (d *Dispatcher) slowness(w *worker) float64 {
	return w.slow * math.Exp((w.slowAt-d.now)/fadesIn)
}

// meet enters a worker that no list named before.
func (d *Dispatcher) meet(id string) *worker {
	w := &worker{minGap: math.Inf(1), last: math.Inf(-1), hash: hash(id)}
	w.sharers = d.deal(w.hash)
	if w.place = slices.Index(w.sharers, d.f.number); w.place < 0 {
		w.place = d.f.parts
	}
	d.byID[id] = w
	d.workers = append(d.workers, w)
	return w
}

// remember enters a hint or key in its ring of the last ones.
func remember[T any](ring *[]T, seen *int, x T) {
	if len(*ring) < sampleSize {
		*ring = append(*ring, x)
	}
	(*ring)[*seen%sampleSize] = x
	*seen++
}

// tally keeps how often work fails at its first worker, and again at a second.
func (d *Dispatcher) tally(it *item, w *worker, x float64) {
	share := &d.failing
	if it.failed != nil {
		if share = &d.again; it.failed == w {
			return
		}
	}
	*share += (x - *share) * failPace
}

// ejected: failures in a row keep it out of the draw for now.
func (d *Dispatcher) ejected(w *worker) bool { return d.now < w.outTill }

// suspected: it failed work, so it is drawn last for now.
func (d *Dispatcher) suspected(w *worker) bool { return d.now < w.suspectTill }

// guess stands in for the hint of a work item that has none: the middle of those that others have; where nobody has one,
// what its category's answers cost, faded back to half its due time, so that too high a guess keeps nothing out for good.
func (d *Dispatcher) guess(category int) float64 {
	half, c := max(d.f.categories[category].DueTime/2, 1), &d.costs[category]
	switch {
	case d.hinted && d.median > 0:
		return d.median
	case c.answers == 0:
		return half
	}
	return half * math.Pow(c.mean/half, math.Exp((c.at-d.now)/fadesIn))
}

// unlearn is called with the first hint: what was learned before rests on guesses.
func (d *Dispatcher) unlearn() {
	for k := range d.kinds {
		d.kinds[k].known, d.kinds[k].answers = false, 0
	}
	clear(d.costs)
	d.hinted, d.sample, d.sampled, d.median = true, d.sample[:0], 0, 0
}

// teach learns from the running time, as if warm, of a work item without a hint: what its category costs, and how fast the
// kind and the worker are beside others. Guesses have no scale of their own, so a kind counts as fast as most at first.
func (d *Dispatcher) teach(it *item, w *worker, run float64) {
	if d.hinted {
		return
	}
	k, c := &d.kinds[w.Kind], &d.costs[it.Category]
	if !k.known {
		k.slow, k.known = 0, true
	}
	k.answers++
	c.answers++
	pace := max(1/float64(c.answers), kindPace)
	if c.answers == 1 {
		c.log = math.Log(run) - k.slow
	}
	x := math.Log(run) - k.slow - c.log // beside what was expected
	w.slow, w.slowAt = d.slowness(w)*(1-workerPace)+x*workerPace, d.now
	k.slow += x * kindPace * math.Floor(d.warmth(w)) // cold ones tell nothing of their kind
	c.log += x * pace
	c.mean += (run*math.Exp(-k.slow) - c.mean) * pace
	c.at = d.now
}

// grace is how long a start notice may take from a worker with room: twice the least seen from it, as it is near. From where
// even the least of all workers takes longer than a beat it may be four times that: a new connection takes up to three more
// trips there and back.
func (d *Dispatcher) grace(w *worker) float64 {
	if z := w.Zone + 1; z < len(d.far) && d.far[z] > d.beat && !math.IsInf(d.far[z], 0) {
		return 4*d.far[z] + d.f.twoGrains
	}
	return 2*min(w.minGap, d.beat) + d.f.twoGrains
}

// reached takes the time from a hand-off to its start notice.
func (d *Dispatcher) reached(w *worker, gap float64) {
	w.minGap = min(w.minGap, gap)
	for len(d.far) < w.Zone+2 {
		d.far = append(d.far, math.Inf(1))
	}
	d.far[w.Zone+1] = min(d.far[w.Zone+1], gap)
}

// span is the running time of a work item of mean cost on the worker.
func (d *Dispatcher) span(w *worker) float64 { return d.mean * math.Exp(d.kinds[w.Kind].slow) }

// queue is how long a hand-off to the kind waits, by those that started; twice that must fit.
func (d *Dispatcher) queue(k *kind) float64 {
	return k.queue * math.Exp2((k.queueAt-d.now)/queueHalf) * float64(d.sight) // none where seen
}

// forget drops workers that are gone and have nothing out.
func (d *Dispatcher) forget() {
	d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
		done := w.State == Gone && w.waiting+w.running == 0
		if done {
			delete(d.byID, w.Worker)
		}
		return done
	})
}
