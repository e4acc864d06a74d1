// Package baseline has simple dispatch policies behind the interface of the dispatcher's own decider, to
// compare the decider with them: uniform random, round robin, least outstanding, power of two choices, size
// interval task assignment with two bins and known speeds, and an omniscient policy that sees the true state.
// They obey the rules of package invariants by the simplest means. They serve comparison only and must never
// be built into the program.
package baseline

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"weldmast/internal/dispatch"
)

// Oracle gives information that no dispatcher can have.
type Oracle interface {
	// FinishTime returns when a job of this cost would end if it reached the worker now, or infinity if it
	// never would.
	FinishTime(worker string, cost float64) float64
}

// Names lists all policies, in the order of tables.
var Names = []string{"random", "round-robin", "least", "two-choices", "sita", "omniscient"}

// SharedState is what the baselines of one run share: for the omniscient policy, the work that all of them
// sent recently.
type SharedState struct {
	Oracle      Oracle
	Speeds      []float64 // by kind, for sita
	Parallelism []float64 // by kind: jobs that run at full speed at the same time
	recentWork  map[string][]sentWork
}

type sentWork struct{ at, cost float64 }

// policy picks one of the workers that may get a hand-off; nil: none now.
type policy func(b *Baseline, it *item, all []*worker) *worker

var policies = map[string]policy{
	"random":      func(b *Baseline, _ *item, all []*worker) *worker { return all[b.rnd.IntN(len(all))] },
	"round-robin": roundRobin, "least": leastOutstanding, "two-choices": twoChoices, "sita": sita, "omniscient": omniscient}

// New makes the baseline of that name, or returns nil if there is none.
func New(name string, settings dispatch.Settings, shared *SharedState) *Baseline {
	choose := policies[name]
	if choose == nil {
		return nil
	}
	if shared.recentWork == nil {
		shared.recentWork = map[string][]sentWork{}
	}
	return &Baseline{settings: settings, choose: choose, shared: shared, rnd: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Position))),
		items: map[uint64]*item{}, workersByID: map[string]*worker{}}
}

// Baseline tracks what each policy needs, and obeys the rules of package invariants.
type Baseline struct {
	settings    dispatch.Settings
	choose      policy
	shared      *SharedState
	rnd         *rand.Rand
	now         float64
	executor    dispatch.Executor
	items       map[uint64]*item
	pending     []*item // items without a worker so far
	workers     []*worker
	workersByID map[string]*worker
	rotation    int
	nextRetry   float64
	hints       []float64 // the most recent ones, for sita
	hintCount   int
	cutoff      float64
}

type worker struct {
	dispatch.Entry
	outstanding int // hand-offs of this dispatcher that have not ended
	avoidUntil  float64
}

type item struct {
	dispatch.WorkItem
	expiry     float64
	handOffs   []handOff
	mayHaveRun bool // one of its hand-offs may have run
	ended      bool
}

type handOff struct {
	worker *worker
	ended  bool
}

const (
	retryInterval = 20  // milliseconds between attempts to place pending items
	avoidTime     = 500 // milliseconds for which a worker is avoided after it could not be reached
	maxHints      = 2048
)

// Round takes in the events and places pending items.
func (b *Baseline) Round(now float64, in dispatch.Inbox, out dispatch.Executor) {
	b.now, b.executor = now, out
	in.Deliver(b)
	pending := b.pending
	b.pending = nil
	for _, it := range pending {
		b.place(it)
	}
	if now >= b.nextRetry {
		b.nextRetry = now + retryInterval
		out.SetTimer(0, retryInterval)
		if b.settings.DiscoveryOnRequest {
			out.WatchDiscovery(true)
		}
	}
}

// Arrived takes a work item.
func (b *Baseline) Arrived(wi dispatch.WorkItem) {
	it := &item{WorkItem: wi, expiry: b.now + wi.TimeLeft}
	b.items[wi.ID] = it
	if wi.Hint > 0 {
		if len(b.hints) < maxHints {
			b.hints = append(b.hints, wi.Hint)
		} else {
			b.hints[b.hintCount%maxHints] = wi.Hint
		}
		b.hintCount++
	}
	b.pending = append(b.pending, it)
}

// ClientLeft drops a work item whose client is gone.
func (b *Baseline) ClientLeft(wi uint64) {
	if it := b.items[wi]; it != nil {
		b.finish(it)
	}
}

// HandOffProgressed does nothing: a baseline ignores it.
func (b *Baseline) HandOffProgressed(uint64, int, bool, float64) {}

// ResponseStarted does nothing, like HandOffProgressed.
func (b *Baseline) ResponseStarted(uint64, int) {}

// PeerMessageReceived does nothing, like HandOffProgressed.
func (b *Baseline) PeerMessageReceived(int, []byte) {}

// HandOffEnded ends a hand-off. A finished work item is done. One that never ran, or may run again, is placed
// anew. Any other is given up.
func (b *Baseline) HandOffEnded(a dispatch.HandOffResult) {
	it := b.items[a.WI]
	if it == nil || a.HO >= len(it.handOffs) || it.handOffs[a.HO].ended {
		return
	}
	h := &it.handOffs[a.HO]
	h.ended = true
	h.worker.outstanding--
	if a.Outcome == dispatch.ConnectFailed || a.Outcome == dispatch.ConnReset {
		h.worker.avoidUntil = b.now + avoidTime
	}
	switch {
	case it.ended:
	case a.Final:
		b.finish(it)
	case !a.Outcome.ProvesNotRun() && b.category(it).Repeat != dispatch.Rerunnable:
		it.mayHaveRun = true
		b.giveUp(it)
	default:
		it.mayHaveRun = it.mayHaveRun || !a.Outcome.ProvesNotRun()
		b.pending = append(b.pending, it)
	}
	if it.ended && !slices.ContainsFunc(it.handOffs, func(h handOff) bool { return !h.ended }) {
		delete(b.items, it.ID)
	}
}

// Listed keeps the list of workers, sorted by ID.
func (b *Baseline) Listed(form dispatch.ListType, entries []dispatch.Entry) {
	if form == dispatch.ListUnavailable {
		return
	}
	if form == dispatch.ListComplete || form == dispatch.ListRestored {
		for _, w := range b.workers {
			w.State = dispatch.Gone
		}
	}
	for _, e := range entries {
		w := b.workersByID[e.Worker]
		if w == nil {
			w = &worker{}
			b.workersByID[e.Worker] = w
			b.workers = append(b.workers, w)
		}
		w.Entry = e
	}
	slices.SortFunc(b.workers, func(x, y *worker) int { return cmp.Compare(x.Worker, y.Worker) })
}

func (b *Baseline) category(it *item) *dispatch.Category { return &b.settings.Categories[it.Category] }

// place hands an item off to the worker that the policy picks, or keeps it pending.
func (b *Baseline) place(it *item) {
	switch {
	case it.ended:
		return
	case b.now >= it.expiry || len(it.handOffs) >= b.settings.MaxHandOffs:
		b.giveUp(it)
		return
	}
	all := b.candidates(it)
	if len(all) == 0 {
		b.pending = append(b.pending, it)
		return
	}
	w := b.choose(b, it, all)
	w.outstanding++
	it.handOffs = append(it.handOffs, handOff{worker: w})
	b.executor.HandOff(it.ID, w.Worker, 0)
}

// candidates returns the workers to choose among: those that are up, not avoided and warm. If none is warm,
// it returns cold workers that have no outstanding hand-off and are past a quarter of their warm-up time, by
// when one work item should fit into their cold budget.
func (b *Baseline) candidates(it *item) []*worker {
	var warm, cold []*worker
	for _, w := range b.workers {
		switch {
		case w.State != dispatch.Up || b.now < w.avoidUntil:
		case w.Since == 0 || b.now >= w.Since+b.settings.WarmUpTime:
			warm = append(warm, w)
		case w.outstanding == 0 && b.now > w.Since+b.settings.WarmUpTime/4:
			cold = append(cold, w)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return cold
}

func (b *Baseline) giveUp(it *item) {
	if c := b.category(it); it.mayHaveRun && (c.Repeat == dispatch.Exclusive || c.Repeat == dispatch.Ticketed && c.DedupScope != dispatch.DedupAll) {
		b.executor.WriteOff(it.ID)
	} else {
		b.executor.Defer(it.ID, min(1000, b.settings.MaxRetryAfter))
	}
	b.finish(it)
}

func (b *Baseline) finish(it *item) {
	it.ended = true
	for k := range it.handOffs {
		if !it.handOffs[k].ended && b.settings.MayCancel {
			b.executor.Cancel(it.ID, k)
		}
	}
}

func roundRobin(b *Baseline, _ *item, all []*worker) *worker {
	b.rotation++
	return all[b.rotation%len(all)]
}

// leastOutstanding picks the worker with the fewest outstanding hand-offs of its own, at random among equals.
func leastOutstanding(b *Baseline, _ *item, all []*worker) *worker {
	var best *worker
	ties := 0
	for _, w := range all {
		switch {
		case best == nil || w.outstanding < best.outstanding:
			best, ties = w, 1
		case w.outstanding == best.outstanding:
			if ties++; b.rnd.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

func twoChoices(b *Baseline, _ *item, all []*worker) *worker {
	x, y := all[b.rnd.IntN(len(all))], all[b.rnd.IntN(len(all))]
	if y.outstanding < x.outstanding {
		return y
	}
	return x
}

// sita splits the kinds, ordered by speed, into two bins whose capacities are as equal as possible. It sends
// work with a hint up to the cutoff to the fast bin and picks uniformly within a bin. The cutoff gives each
// bin its share of the work.
func sita(b *Baseline, it *item, all []*worker) *worker {
	capacities := make([]float64, len(b.shared.Speeds)) // by kind
	total := 0.
	for _, w := range all {
		c := b.shared.Speeds[w.Kind] * b.shared.Parallelism[w.Kind]
		capacities[w.Kind] += c
		total += c
	}
	order := make([]int, len(capacities))
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.shared.Speeds[y], b.shared.Speeds[x]) })
	fast, fastShare, imbalance := map[int]bool{}, 0., math.Inf(1)
	sum := 0.
	for k, kind := range order[:len(order)-1] {
		if sum += capacities[kind]; sum > 0 && sum < total && math.Abs(2*sum-total) < imbalance {
			imbalance, fastShare = math.Abs(2*sum-total), sum/total
			clear(fast)
			for _, x := range order[:k+1] {
				fast[x] = true
			}
		}
	}
	if fastShare == 0 { // only one kind: no bins
		return all[b.rnd.IntN(len(all))]
	}
	if b.hintCount%256 == 1 || b.cutoff == 0 {
		b.updateCutoff(fastShare)
	}
	small := it.Hint <= b.cutoff
	bin := slices.DeleteFunc(slices.Clone(all), func(w *worker) bool { return fast[w.Kind] != small })
	if len(bin) == 0 {
		bin = all
	}
	return bin[b.rnd.IntN(len(bin))]
}

// updateCutoff sets the hint below which the recent hints make up a share of the work.
func (b *Baseline) updateCutoff(share float64) {
	hints := slices.Sorted(slices.Values(b.hints))
	all, sum := 0., 0.
	for _, h := range hints {
		all += h
	}
	for _, h := range hints {
		if sum += h; sum > share*all {
			return
		}
		b.cutoff = h
	}
}

// omniscient picks by each worker's true queue and by what all dispatchers sent within the last millisecond.
// It is greedy, so a better policy may exist.
func omniscient(b *Baseline, it *item, all []*worker) *worker {
	best, earliest := all[0], math.Inf(1)
	for _, w := range all {
		recent := b.shared.recentWork[w.Worker]
		recent = slices.DeleteFunc(recent, func(s sentWork) bool { return s.at < b.now-1 || s.at > b.now })
		b.shared.recentWork[w.Worker] = recent
		work := it.Hint
		for _, s := range recent {
			work += s.cost
		}
		if finish := b.shared.Oracle.FinishTime(w.Worker, work); finish < earliest {
			best, earliest = w, finish
		}
	}
	b.shared.recentWork[best.Worker] = append(b.shared.recentWork[best.Worker], sentWork{b.now, it.Hint})
	return best
}
