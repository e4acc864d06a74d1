// This file exports what a dispatcher has learned as plain values, for the process that takes its place, and
// imports it there. It must not make decisions, and imported data must be applied only to workers that are
// listed.

package dispatch

import (
	"math"
	"slices"
)

// Learned is all the state that decisions depend on, except the work items themselves. Times are on the clock
// of Round. It travels as JSON between an old and a new process, so the fields of this struct, and of those
// below, keep their names. Comments explain the names that do not speak for themselves.
type Learned struct {
	Sample   []float64 // Ring buffer of the last hints.
	Sampled  int       // Number of hints so far.
	Most     []float64 // Longest TimeLeft seen of each category.
	Kinds    []LearnedKind
	Workers  []LearnedWorker // Listed workers, without those that are gone.
	Leak     float64         // Probability that large work goes to the fast lane (spill), as of LeakAt.
	LeakAt   float64
	Heard    float64       // Time of the last peer message (lastPeerMessage); 0: none.
	Tellings int           // Messages that may still be sent to peers (noticesLeft).
	Keys     []uint64      // Hashes of the last work items' keys.
	Keyed    int           // Number of keys so far.
	Silent   float64       // Share of started work whose answer never came, smoothed (lostAnswerRate).
	Hinted   bool          // Some work item had a hint.
	Costs    []LearnedCost // Of each category, where no work has hints.
	Arrivals []Ring        // Work items of each tenant.
	Heards   Ring          // Notices received from peers (noticesReceived).
	Tolds    Ring          // Notices sent to peers (noticesSent).
}

// Ring is a sum over a sliding window, as its buckets.
type Ring struct {
	Cell  []float64
	Epoch int // Number of the newest bucket, counted from time 0.
}

// LearnedKind is what was learned of one kind of worker.
type LearnedKind struct {
	Slow    float64       // Logarithm of running time over hint, smoothed.
	Known   bool          // Slow was learned.
	Answers int           // Answers that Slow was learned from.
	Rooms   []LearnedRoom // With the peers' load known, and unknown.
	Queue   float64       // Smoothed wait before the start, as of QueueAt.
	QueueAt float64
	Free    int     // Most slots that a load report showed free.
	Hint    float64 // Mean hint of the work that it answered, smoothed.
	Fetch   float64 // Mean time that fetches add to a work item.
	Size    float64 // Largest weight that discovery listed for a worker of the kind.
}

// LearnedCost is what was learned of a category's cost where no work has hints. Log is the smoothed
// logarithm of the running time at a worker of average speed, Mean the smoothed running time itself, and At
// the time of the last answer.
type LearnedCost struct {
	Answers       int
	Log, Mean, At float64
}

// LearnedRoom is what was learned of how many work items run at once on one worker. Fit[n] says whether the
// nth item starts at once (1 always, -1 never). More and Most are the items beyond the first that are sure,
// or likely, to start at once. Tried counts failed probes for one more, and Explore is the earliest time of
// the next probe.
type LearnedRoom struct {
	Fit               []float64
	More, Most, Tried int
	Explore           float64
}

// LearnedWorker is what was learned of one worker.
type LearnedWorker struct {
	Entry
	MinGap      float64 // Least time from a hand-off to its start notice; 0: none known.
	Drained     float64 // Time at which the queue seen by the last late start is assumed empty.
	Full        float64 // Assumed to be full until then.
	Slow        float64 // Logarithm of its slowness relative to its kind, as of SlowAt.
	SlowAt      float64
	Fails       int     // Failures in a row.
	OutTill     float64 // Kept out of the draw until then.
	SuspectTill float64 // Drawn last until then.
	Sent        Ring    // Cost sent to it in the last overload window.
	Last        float64 // Time of the last hand-off; 0: never.
	Out         []Lease // Outstanding hand-offs of this dispatcher and its peers.
}

// Lease is an outstanding hand-off: the dispatcher that sent it, and the time until which it counts as load.
type Lease struct {
	From int
	Till float64
}

// export copies the sum into its exported form.
func (r *slidingSum) export() Ring { return Ring{slices.Clone(r.buckets[:]), r.epoch} }

// restore takes over an exported sum, unless the exporting process had another number of buckets.
func (r *slidingSum) restore(l Ring) {
	if len(l.Cell) == len(r.buckets) {
		r.epoch = l.Epoch
		copy(r.buckets[:], l.Cell)
	}
}

// finite returns x, or 0 for an infinity, which the dispatcher's state uses for "never" and JSON cannot
// represent.
func finite(x float64) float64 {
	if math.IsInf(x, 0) {
		return 0
	}
	return x
}

// Learned returns what this dispatcher has learned, with its own hand-offs as leases until they should have
// ended.
func (d *Dispatcher) Learned() Learned {
	l := Learned{Sample: slices.Clone(d.recentHints), Sampled: d.hintsTotal, Most: slices.Clone(d.maxTimeLeft), Leak: d.spill, LeakAt: d.spillAt,
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
		lw := LearnedWorker{Entry: w.Entry, MinGap: finite(w.minStartGap), Drained: w.queueEmptyAt, Full: w.fullUntil, Slow: w.logSlow,
			SlowAt: w.logSlowAt, Fails: w.failures, OutTill: w.ejectedUntil, SuspectTill: w.suspectedUntil, Sent: w.recentCost.export(),
			Last: finite(w.lastHandOff), Out: leases[w]}
		for _, t := range w.peerLeases {
			lw.Out = append(lw.Out, Lease{t.from, t.until})
		}
		l.Workers = append(l.Workers, lw)
	}
	return l
}

// ImportLearned imports what the previous process had learned. What it had learned of a worker applies only
// if the worker is listed here with the same start time: a restarted worker counts as a new one.
// ImportLearned must be called before the first work item arrives.
func (d *Dispatcher) ImportLearned(l Learned) {
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
	d.spill, d.spillAt, d.noticesLeft = l.Leak, l.LeakAt, l.Tellings
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
			copy(r.startsAtOnce[:], lr.Fit) // The previous process may have had fewer entries, or more.
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
		w.queueEmptyAt, w.fullUntil, w.logSlow, w.logSlowAt, w.failures = lw.Drained, lw.Full, lw.Slow, lw.SlowAt, lw.Fails
		w.ejectedUntil, w.suspectedUntil = lw.OutTill, lw.SuspectTill
		w.recentCost.restore(lw.Sent)
		w.peerLeases = nil
		for _, t := range lw.Out {
			w.peerLeases = append(w.peerLeases, lease{t.From, t.Till})
		}
	}
	d.resetAt, d.recheckPending = d.now, true
}

// Taken is a hand-off that another process made, taken over by this one.
type Taken struct {
	Worker  string
	Place   *Place `json:",omitempty"` // Of the worker when it got the hand-off; nil: an older version did not say.
	Sent    float64
	Started float64 // 0: not known to have started.
	Done    bool
	Unrun   bool // It is known not to have run.
	// It has ended there, but the worker may still run it: the worker gets none of the work item again.
	MayStillRun bool
}

// placeOf returns where the worker of a hand-off was. If the other process did not say, the list tells, unless
// the worker has been started since: it may be elsewhere.
func (d *Dispatcher) placeOf(t Taken) Place {
	if t.Place != nil {
		return *t.Place
	}
	if w := d.byID[t.Worker]; w != nil && w.Since <= t.Sent {
		return w.Place()
	}
	return UnknownPlace
}

// Adopt takes over a work item of the given category with its hand-offs, in the order in which they were made.
// The category is that of the process that accepted the item, whose promises bind. Outstanding hand-offs count
// as load, and are checked and moved like any other. The due time is not known, so the item may use all of the
// client's time.
func (d *Dispatcher) Adopt(wi WorkItem, category Category, handOffs []Taken) {
	it := &item{WorkItem: wi, cat: &category, expiry: d.now + wi.TimeLeft}
	if wi.ShutdownIn > 0 {
		it.expiry = min(it.expiry, d.now+wi.ShutdownIn)
	}
	if it.Hint, it.hintGuessed = wi.Hint, wi.Hint <= 0; it.hintGuessed {
		it.Hint = max(d.medianHint, 1)
	}
	it.dueAt, it.priority = it.expiry, it.cat.Credit
	if d.params.keyAffinity && wi.Key != "" {
		it.keyHash = hash(wi.Key)
		remember(&d.recentKeys, &d.keysTotal, it.keyHash)
	}
	for _, t := range handOffs {
		w, place := d.byID[t.Worker], d.placeOf(t)
		if w == nil { // Not listed here: its hand-off is outstanding, and nothing more is sent to it.
			w = d.addWorker(t.Worker)
			w.Entry = Entry{Worker: t.Worker, Zone: -1, ZoneName: place.Zone, Cell: place.Cell, Kind: len(d.kinds) - 1, State: Gone}
		}
		h := handoff{worker: w, place: place, sentAt: t.Sent, lastNoticeAt: d.now, startedAt: -1, load: d.knownLoad(w) + 1, peerView: d.peerView, done: t.Done,
			provenNotRun: t.Unrun, mayStillRun: t.MayStillRun}
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
