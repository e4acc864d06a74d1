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

func (r *ring) learned() Ring { return Ring{slices.Clone(r.cell[:]), r.epoch} }

func (r *ring) recall(l Ring) {
	if len(l.Cell) == len(r.cell) {
		r.epoch = l.Epoch
		copy(r.cell[:], l.Cell)
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
	l := Learned{Sample: slices.Clone(d.sample), Sampled: d.sampled, Most: slices.Clone(d.most), Leak: d.leak, LeakAt: d.leakAt,
		Heard: finite(d.heard), Tellings: d.tellings, Keys: slices.Clone(d.keys), Keyed: d.keyed, Silent: d.silent, Hinted: d.hinted,
		Heards: d.heards.learned(), Tolds: d.tolds.learned()}
	for k := range d.arrivals {
		l.Arrivals = append(l.Arrivals, d.arrivals[k].learned())
	}
	for _, c := range d.costs {
		l.Costs = append(l.Costs, LearnedCost{c.answers, c.log, c.mean, c.at})
	}
	for k := range d.kinds {
		kd := &d.kinds[k]
		lk := LearnedKind{Slow: kd.slow, Known: kd.known, Answers: kd.answers, Queue: kd.queue, QueueAt: kd.queueAt,
			Free: kd.free, Hint: kd.hint, Fetch: kd.fetch, Size: kd.size}
		for _, r := range kd.room {
			lk.Rooms = append(lk.Rooms, LearnedRoom{Fit: slices.Clone(r.fit[:]), More: r.more, Most: r.most,
				Tried: r.tried, Explore: r.explore})
		}
		l.Kinds = append(l.Kinds, lk)
	}
	out := map[*worker][]Lease{}
	for _, it := range d.open {
		for k := range it.hos {
			if h := &it.hos[k]; h.at != nil {
				till := max(h.sent+d.cost(it, h.w), d.now+d.f.twoGrains)
				out[h.w] = append(out[h.w], Lease{d.f.number, till})
			}
		}
	}
	for _, w := range d.workers {
		if w.State == Gone {
			continue
		}
		lw := LearnedWorker{Entry: w.Entry, MinGap: finite(w.minGap), Drained: w.drained, Full: w.full, Slow: w.slow,
			SlowAt: w.slowAt, Fails: w.fails, OutTill: w.outTill, SuspectTill: w.suspectTill, Sent: w.sent.learned(),
			Last: finite(w.last), Out: out[w]}
		for _, t := range w.theirs {
			lw.Out = append(lw.Out, Lease{t.from, t.till})
		}
		l.Workers = append(l.Workers, lw)
	}
	return l
}

// Recall takes what a forerunner knew. What is said of a worker counts for those that are listed here with the same
// start: a worker that started anew is another. It must come before the first work item.
func (d *Dispatcher) Recall(l Learned) {
	d.sample, d.sampled = append(d.sample[:0], l.Sample[:min(len(l.Sample), sampleSize)]...), l.Sampled
	if len(d.sample) == 0 {
		d.sampled = 0
	}
	if d.keys, d.keyed = append(d.keys[:0], l.Keys[:min(len(l.Keys), sampleSize)]...), l.Keyed; len(d.keys) < sampleSize {
		d.keyed = len(d.keys)
	}
	d.silent, d.hinted = l.Silent, l.Hinted
	for k := range min(len(l.Costs), len(d.costs)) {
		c := l.Costs[k]
		d.costs[k] = cost{c.Answers, c.Log, c.Mean, c.At}
	}
	copy(d.most, l.Most)
	d.leak, d.leakAt, d.tellings = l.Leak, l.LeakAt, l.Tellings
	if l.Heard > 0 {
		d.heard = max(d.heard, l.Heard)
	}
	for k := range min(len(l.Arrivals), len(d.arrivals)) {
		d.arrivals[k].recall(l.Arrivals[k])
	}
	d.heards.recall(l.Heards)
	d.tolds.recall(l.Tolds)
	for k := range min(len(l.Kinds), len(d.kinds)) {
		kd, lk := &d.kinds[k], l.Kinds[k]
		kd.slow, kd.known, kd.answers, kd.queue, kd.queueAt, kd.free = lk.Slow, lk.Known, lk.Answers, lk.Queue,
			lk.QueueAt, lk.Free
		kd.hint, kd.fetch, kd.size = lk.Hint, lk.Fetch, lk.Size
		for i := range min(len(lk.Rooms), len(kd.room)) {
			r, lr := &kd.room[i], lk.Rooms[i]
			copy(r.fit[:], lr.Fit) // the older process may have had fewer places, or more
			r.more, r.most, r.tried, r.explore = min(lr.More, MaxConcurrency-1), min(lr.Most, MaxConcurrency-1), lr.Tried, lr.Explore
		}
	}
	for _, lw := range l.Workers {
		w := d.byID[lw.Worker]
		if w == nil || w.Since != lw.Since {
			continue
		}
		if lw.MinGap > 0 {
			w.minGap = lw.MinGap
		}
		if lw.Last > 0 {
			w.last = lw.Last
		}
		w.drained, w.full, w.slow, w.slowAt, w.fails = lw.Drained, lw.Full, lw.Slow, lw.SlowAt, lw.Fails
		w.outTill, w.suspectTill = lw.OutTill, lw.SuspectTill
		w.sent.recall(lw.Sent)
		w.theirs = nil
		for _, t := range lw.Out {
			w.theirs = append(w.theirs, lease{t.From, t.Till})
		}
	}
	d.resetAt, d.stirred = d.now, true
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
func (d *Dispatcher) Adopt(wi WorkItem, hos []Taken) {
	it := &item{WorkItem: wi, cat: &d.f.categories[wi.Category], expiry: d.now + wi.TimeLeft}
	if it.Hint, it.guessed = wi.Hint, wi.Hint <= 0; it.guessed {
		it.Hint = max(d.median, 1)
	}
	it.until, it.rank = it.expiry, it.cat.Credit
	if d.f.keyed && wi.Key != "" {
		it.key = hash(wi.Key)
		remember(&d.keys, &d.keyed, it.key)
	}
	for _, t := range hos {
		w := d.byID[t.Worker]
		if w == nil { // not listed here: it is out there, and nothing is sent there
			w = &worker{Entry: Entry{Worker: t.Worker, Kind: len(d.kinds) - 1, State: Gone}, minGap: math.Inf(1)}
		}
		h := handoff{w: w, sent: t.Sent, heard: d.now, started: -1, load: d.load(w) + 1, sight: d.sight, done: t.Done,
			unrun: t.Unrun}
		if !h.unrun {
			it.risk++
		}
		if !h.done {
			it.out++
			if h.to(&w.waiting); t.Started > 0 || !d.f.tellsStart {
				h.started = max(t.Started, t.Sent)
				h.to(&w.running)
			}
			h.tellAt = d.now + d.span(w)
		}
		it.hos = append(it.hos, h)
	}
	d.items[wi.ID] = it
	d.open = append(d.open, it)
	d.hold(it, 0)
	d.arrived = true
}
