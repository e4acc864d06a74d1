// Package baseline has other policies behind the Dispatcher's own interface, for measuring it beside them: uniform
// random, round robin, least outstanding, power of two choices, size interval assignment with two bins and speeds that
// are told, and one that sees the truth. They keep the rules by the simplest means. They are baselines only, and must
// never be built into the program.
package baseline

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"weldmast/internal/dispatch"
)

// Truth is what no dispatcher can see.
type Oracle interface {
	// Finish is when a job of that cost would end if it reached the worker now; infinite: never.
	FinishTime(worker string, cost float64) float64
}

// Names of all, in the order of tables.
var Names = []string{"random", "round-robin", "least", "two-choices", "sita", "omniscient"}

// Shared is what the baselines of one day have in common: for the omniscient one, what all of them sent just now.
type SharedState struct {
	Oracle      Oracle
	Speeds      []float64 // of each kind, for sita
	Parallelism []float64 // of each kind
	recentWork  map[string][]sentWork
}

type sentWork struct{ at, cost float64 }

// way is one policy's choice among workers that may be sent to; nil: none now.
type policy func(b *Baseline, it *item, all []*worker) *worker

var policies = map[string]policy{
	"random":      func(b *Baseline, _ *item, all []*worker) *worker { return all[b.rnd.IntN(len(all))] },
	"round-robin": roundRobin, "least": leastOutstanding, "two-choices": twoChoices, "sita": sita, "omniscient": omniscient}

// New makes the baseline of that name; nil if there is none.
func New(name string, settings dispatch.Settings, shared *SharedState) *Baseline {
	choose := policies[name]
	if choose == nil {
		return nil
	}
	if shared.recentWork == nil {
		shared.recentWork = map[string][]sentWork{}
	}
	return &Baseline{settings: settings, choose: choose, shared: shared, rnd: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Number))),
		items: map[uint64]*item{}, byID: map[string]*worker{}}
}

// Baseline keeps the books that each policy needs, and the rules.
type Baseline struct {
	settings  dispatch.Settings
	choose    policy
	shared    *SharedState
	rnd       *rand.Rand
	now       float64
	out       dispatch.Writer
	items     map[uint64]*item
	pending   []*item // no worker was there for them
	workers   []*worker
	byID      map[string]*worker
	rotation  int
	nextRetry float64
	hints     []float64 // the last ones, for sita
	hintCount int
	cutoff    float64
}

type worker struct {
	dispatch.Entry
	outstanding int // own hand-offs that have not ended
	avoidUntil  float64
}

type item struct {
	dispatch.WorkItem
	expiry     float64
	handOffs   []handoff
	mayHaveRun bool // it may have run
	ended      bool
}

type handoff struct {
	worker *worker
	ended  bool
}

const (
	retryInterval = 20  // ms between looks at what is held
	avoidTime     = 500 // a worker that could not be reached is left alone for so long
	maxHints      = 2048
)

// Round takes in what came and places what is held.
func (b *Baseline) Round(now float64, in dispatch.Inbox, out dispatch.Executor) {
	b.now, b.out = now, out
	in.Deliver(b)
	held := b.pending
	b.pending = nil
	for _, it := range held {
		b.place(it)
	}
	if now >= b.nextRetry {
		b.nextRetry = now + retryInterval
		out.Timer(0, retryInterval)
		if b.settings.MustAsk {
			out.Watch(true)
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

// Left forgets one whose client is gone.
func (b *Baseline) ClientLeft(wi uint64) {
	if it := b.items[wi]; it != nil {
		b.finish(it)
	}
}

// Noticed, Streaming and Heard tell a baseline nothing.
func (b *Baseline) HandOffProgressed(uint64, int, bool, float64) {}

// Streaming as Noticed.
func (b *Baseline) ResponseStarted(uint64, int) {}

// Heard as Noticed.
func (b *Baseline) PeerMessageReceived(int, []byte) {}

// Answered ends a hand-off: what finished is done, what never ran or may run again is placed anew, the rest given up.
func (b *Baseline) HandOffEnded(a dispatch.HandOffResult) {
	it := b.items[a.WI]
	if it == nil || a.HO >= len(it.handOffs) || it.handOffs[a.HO].ended {
		return
	}
	h := &it.handOffs[a.HO]
	h.ended = true
	h.worker.outstanding--
	if a.Outcome == dispatch.ConnectFailed || a.Outcome == dispatch.Reset {
		h.worker.avoidUntil = b.now + avoidTime
	}
	switch {
	case it.ended:
	case a.Final:
		b.finish(it)
	case !a.Outcome.ProvesUnrun() && b.category(it).Repeat != dispatch.Rerunnable:
		it.mayHaveRun = true
		b.giveUp(it)
	default:
		it.mayHaveRun = it.mayHaveRun || !a.Outcome.ProvesUnrun()
		b.pending = append(b.pending, it)
	}
	if it.ended && !slices.ContainsFunc(it.handOffs, func(h handoff) bool { return !h.ended }) {
		delete(b.items, it.ID)
	}
}

// Listed keeps the list in order of ids.
func (b *Baseline) Listed(form dispatch.ListType, entries []dispatch.Entry) {
	if form == dispatch.ListUnavailable {
		return
	}
	if form == dispatch.Complete || form == dispatch.Restored {
		for _, w := range b.workers {
			w.State = dispatch.Gone
		}
	}
	for _, e := range entries {
		w := b.byID[e.Worker]
		if w == nil {
			w = &worker{}
			b.byID[e.Worker] = w
			b.workers = append(b.workers, w)
		}
		w.Entry = e
	}
	slices.SortFunc(b.workers, func(x, y *worker) int { return cmp.Compare(x.Worker, y.Worker) })
}

func (b *Baseline) category(it *item) *dispatch.Category { return &b.settings.Categories[it.Category] }

// place sends one to the worker of the policy's choice, or holds it.
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
	it.handOffs = append(it.handOffs, handoff{worker: w})
	b.out.HandOff(it.ID, w.Worker, 0)
}

// able are the workers to choose among: up, not at rest, warm; where none is warm, cold ones without a hand-off, and
// of those only what is sure to stay within the budget.
func (b *Baseline) candidates(it *item) []*worker {
	var warm, cold []*worker
	for _, w := range b.workers {
		switch {
		case w.State != dispatch.Up || b.now < w.avoidUntil:
		case w.Since == 0 || b.now >= w.Since+b.settings.Cold:
			warm = append(warm, w)
		case w.outstanding == 0 && b.now > w.Since+b.settings.Cold/4:
			cold = append(cold, w)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return cold
}

func (b *Baseline) giveUp(it *item) {
	if c := b.category(it); it.mayHaveRun && (c.Repeat == dispatch.Exclusive || c.Repeat == dispatch.Ticketed && c.Group != dispatch.GroupAll) {
		b.out.WriteOff(it.ID)
	} else {
		b.out.Defer(it.ID, min(1000, b.settings.MaxPause))
	}
	b.finish(it)
}

func (b *Baseline) finish(it *item) {
	it.ended = true
	for k := range it.handOffs {
		if !it.handOffs[k].ended && b.settings.MayCancel {
			b.out.Cancel(it.ID, k)
		}
	}
}

func roundRobin(b *Baseline, _ *item, all []*worker) *worker {
	b.rotation++
	return all[b.rotation%len(all)]
}

// least takes the fewest own hand-offs out, by chance among equals.
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

// sita cuts kinds in order of speed in two lanes of capacities as even as can be, sends hints below the cutoff to the
// fast one, and draws uniformly within. The cutoff gives each lane its part of the work.
func sita(b *Baseline, it *item, all []*worker) *worker {
	capacities := make([]float64, len(b.shared.Speeds)) // capacity of each
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
	if fastShare == 0 { // one kind: no lanes
		return all[b.rnd.IntN(len(all))]
	}
	if b.hintCount%256 == 1 || b.cutoff == 0 {
		b.updateCutoff(fastShare)
	}
	small := it.Hint <= b.cutoff
	lane := slices.DeleteFunc(slices.Clone(all), func(w *worker) bool { return fast[w.Kind] != small })
	if len(lane) == 0 {
		lane = all
	}
	return lane[b.rnd.IntN(len(lane))]
}

// cut sets the hint below which the last hints hold a share of the work.
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

// omniscient sees each worker's true queue, and what all sent just now. It is greedy: no proof that nothing is better.
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
