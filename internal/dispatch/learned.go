// This file owns what a dispatcher remembers as plain values, to be told to the process that takes its place. It must
// never decide anything, and what it takes in must not be believed beyond the workers that are listed.

package dispatch

import (
	"math"
	"slices"
)

// Learned is all that decisions rest on but the work items themselves. Times are on the clock of Round.
type Learned struct {
	Sample   []float64
	Sampled  int
	Most     []float64 // of each category
	Kinds    []LearnedKind
	Workers  []LearnedWorker // as listed, gone ones left out
	Leak     float64
	LeakAt   float64
	Heard    float64 // last word of a sibling; 0: none
	Tellings int
	Keys     []uint64 // hashed
	Keyed    int
	Silent   float64
	Hinted   bool          // some work item had a hint
	Costs    []LearnedCost // of each category, where none had
	Arrivals []Ring
	Heards   Ring
	Tolds    Ring
}

// Ring is a sum over time, by its buckets.
type Ring struct {
	Cell  []float64
	Epoch int
}

// LearnedKind is what was learned of a kind of worker.
type LearnedKind struct {
	Slow    float64
	Known   bool
	Answers int
	Rooms   []LearnedRoom
	Queue   float64
	QueueAt float64
	Free    int
	Hint    float64
	Fetch   float64
	Size    float64
}

// LearnedCost is what a category's work was seen to cost.
type LearnedCost struct {
	Answers       int
	Log, Mean, At float64
}

// LearnedRoom is what was learned of how many work items run at once.
type LearnedRoom struct {
	Fit               []float64
	More, Most, Tried int
	Explore           float64
}

// LearnedWorker is what was learned of one worker.
type LearnedWorker struct {
	Entry
	MinGap      float64 // 0: none seen
	Drained     float64
	Full        float64
	Slow        float64
	SlowAt      float64
	Fails       int
	OutTill     float64
	SuspectTill float64
	Sent        Ring
	Last        float64 // 0: never
	Out         []Lease // by siblings and by this dispatcher
}

// Lease is a hand-off that is out, by whom and until when.
type Lease struct {
	From int
	Till float64
}

func (r *slidingSum) export() Ring { return Ring{slices.Clone(r.buckets[:]), r.epoch} }

func (r *slidingSum) restore(l Ring) {
	if len(l.Cell) == len(r.buckets) {
		r.epoch = l.Epoch
		copy(r.buckets[:], l.Cell)
	}
}

// finite is x, or 0 for the infinities by which state.go says never: JSON has none.
func finite(x float64) float64 {
	if math.IsInf(x, 0) {
		return 0
	}
	return x
}

// Learned tells what this dispatcher knows, its own hand-offs as leases until they should have ended.
func (d *Dispatcher) Learned() Learned {
	l := Learned{Sample: slices.Clone(d.recentHints), Sampled: d.hintsTotal, Most: slices.Clone(d.maxTimeLeft), Leak: d.leak, LeakAt: d.leakAt,
		Heard: finite(d.lastPeerMessage), Tellings: d.noticesLeft, Keys: slices.Clone(d.recentKeys), Keyed: d.keysTotal, Silent: d.lostAnswerRate, Hinted: d.anyHint,
		Heards: d.noticesReceived.export(), Tolds: d.noticesSent.export()}
	for k := range d.arrivals {
		l.Arrivals = append(l.Arrivals, d.arrivals[k].export())
	}
	for _, c := range d.costs {
		l.Costs = append(l.Costs, LearnedCost{c.answers, c.logTime, c.meanTime, c.updatedAt})
	}
	for k := range d.kinds {
		kd := &d.kinds[k]
		lk := LearnedKind{Slow: kd.logSlow, Known: kd.speedKnown, Answers: kd.answers, Queue: kd.queueWait, QueueAt: kd.queueWaitAt,
			Free: kd.free, Hint: kd.meanHint, Fetch: kd.fetchTime, Size: kd.maxWeight}
		for _, r := range kd.limit {
			lk.Rooms = append(lk.Rooms, LearnedRoom{Fit: slices.Clone(r.startsAtOnce[:]), More: r.sure, Most: r.likely,
				Tried: r.failedProbes, Explore: r.nextProbeAt})
		}
		l.Kinds = append(l.Kinds, lk)
	}
	leases := map[*worker][]Lease{}
	for _, it := range d.open {
		for k := range it.handOffs {
			if h := &it.handOffs[k]; h.counter != nil {
				until := max(h.sentAt+d.expectedTime(it, h.worker), d.now+d.params.twoRounds)
				leases[h.worker] = append(leases[h.worker], Lease{d.params.position, until})
			}
		}
	}
	for _, w := range d.workers {
		if w.State == Gone {
			continue
		}
		lw := LearnedWorker{Entry: w.Entry, MinGap: finite(w.minStartGap), Drained: w.queueDrainedAt, Full: w.fullUntil, Slow: w.logSlow,
			SlowAt: w.logSlowAt, Fails: w.failures, OutTill: w.ejectedUntil, SuspectTill: w.suspectedUntil, Sent: w.recentCost.export(),
			Last: finite(w.lastHandOff), Out: leases[w]}
		for _, t := range w.peerLeases {
			lw.Out = append(lw.Out, Lease{t.from, t.until})
		}
		l.Workers = append(l.Workers, lw)
	}
	return l
}

// Recall takes what a forerunner knew. What is said of a worker counts for those that are listed here with the same
// start: a worker that started anew is another. It must come before the first work item.
func (d *Dispatcher) Recall(l Learned) {
	d.recentHints, d.hintsTotal = append(d.recentHints[:0], l.Sample[:min(len(l.Sample), sampleSize)]...), l.Sampled
	if len(d.recentHints) == 0 {
		d.hintsTotal = 0
	}
	if d.recentKeys, d.keysTotal = append(d.recentKeys[:0], l.Keys[:min(len(l.Keys), sampleSize)]...), l.Keyed; len(d.recentKeys) < sampleSize {
		d.keysTotal = len(d.recentKeys)
	}
	d.lostAnswerRate, d.anyHint = l.Silent, l.Hinted
	for k := range min(len(l.Costs), len(d.costs)) {
		c := l.Costs[k]
		d.costs[k] = categoryCost{c.Answers, c.Log, c.Mean, c.At}
	}
	copy(d.maxTimeLeft, l.Most)
	d.leak, d.leakAt, d.noticesLeft = l.Leak, l.LeakAt, l.Tellings
	if l.Heard > 0 {
		d.lastPeerMessage = max(d.lastPeerMessage, l.Heard)
	}
	for k := range min(len(l.Arrivals), len(d.arrivals)) {
		d.arrivals[k].restore(l.Arrivals[k])
	}
	d.noticesReceived.restore(l.Heards)
	d.noticesSent.restore(l.Tolds)
	for k := range min(len(l.Kinds), len(d.kinds)) {
		kd, lk := &d.kinds[k], l.Kinds[k]
		kd.logSlow, kd.speedKnown, kd.answers, kd.queueWait, kd.queueWaitAt, kd.free = lk.Slow, lk.Known, lk.Answers, lk.Queue,
			lk.QueueAt, lk.Free
		kd.meanHint, kd.fetchTime, kd.maxWeight = lk.Hint, lk.Fetch, lk.Size
		for i := range min(len(lk.Rooms), len(kd.limit)) {
			r, lr := &kd.limit[i], lk.Rooms[i]
			copy(r.startsAtOnce[:], lr.Fit) // the older process may have had fewer places, or more
			r.sure, r.likely, r.failedProbes, r.nextProbeAt = min(lr.More, MaxConcurrency-1), min(lr.Most, MaxConcurrency-1), lr.Tried, lr.Explore
		}
	}
	for _, lw := range l.Workers {
		w := d.byID[lw.Worker]
		if w == nil || w.Since != lw.Since {
			continue
		}
		if lw.MinGap > 0 {
			w.minStartGap = lw.MinGap
		}
		if lw.Last > 0 {
			w.lastHandOff = lw.Last
		}
		w.queueDrainedAt, w.fullUntil, w.logSlow, w.logSlowAt, w.failures = lw.Drained, lw.Full, lw.Slow, lw.SlowAt, lw.Fails
		w.ejectedUntil, w.suspectedUntil = lw.OutTill, lw.SuspectTill
		w.recentCost.restore(lw.Sent)
		w.peerLeases = nil
		for _, t := range lw.Out {
			w.peerLeases = append(w.peerLeases, lease{t.From, t.Till})
		}
	}
	d.resetAt, d.recheckPending = d.now, true
}

// Taken is a hand-off that another process made.
type Taken struct {
	Worker  string
	Sent    float64
	Started float64 // 0: not known to have started
	Done    bool
	Unrun   bool // known not to have run
}

// Adopt takes a work item over with its hand-offs, in the order in which they were made. What is out counts as load, is
// doubted and moved as any other; the due time is not known, so all of the client's time is there.
func (d *Dispatcher) Adopt(wi WorkItem, handOffs []Taken) {
	it := &item{WorkItem: wi, cat: &d.params.categories[wi.Category], expiry: d.now + wi.TimeLeft}
	if it.Hint, it.hintGuessed = wi.Hint, wi.Hint <= 0; it.hintGuessed {
		it.Hint = max(d.medianHint, 1)
	}
	it.dueAt, it.priority = it.expiry, it.cat.Credit
	if d.params.keyAffinity && wi.Key != "" {
		it.keyHash = hash(wi.Key)
		remember(&d.recentKeys, &d.keysTotal, it.keyHash)
	}
	for _, t := range handOffs {
		w := d.byID[t.Worker]
		if w == nil { // not listed here: it is out there, and nothing is sent there
			w = &worker{Entry: Entry{Worker: t.Worker, Kind: len(d.kinds) - 1, State: Gone}, minStartGap: math.Inf(1)}
		}
		h := handoff{worker: w, sentAt: t.Sent, lastNoticeAt: d.now, startedAt: -1, load: d.knownLoad(w) + 1, peerView: d.peerView, done: t.Done,
			provenNotRun: t.Unrun}
		if !h.provenNotRun {
			it.mayHaveRun++
		}
		if !h.done {
			it.outstanding++
			if h.setCounter(&w.waiting); t.Started > 0 || !d.params.startNotices {
				h.startedAt = max(t.Started, t.Sent)
				h.setCounter(&w.running)
			}
			h.notifyAt = d.now + d.avgRun(w)
		}
		it.handOffs = append(it.handOffs, h)
	}
	d.items[wi.ID] = it
	d.open = append(d.open, it)
	d.enqueue(it, 0)
	d.newArrivals = true
}
