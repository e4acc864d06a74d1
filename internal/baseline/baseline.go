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
	sent        map[string][]spent
}

type spent struct{ at, cost float64 }

// way is one policy's choice among workers that may be sent to; nil: none now.
type way func(b *Baseline, it *item, all []*worker) *worker

var ways = map[string]way{
	"random":      func(b *Baseline, _ *item, all []*worker) *worker { return all[b.rnd.IntN(len(all))] },
	"round-robin": roundRobin, "least": least, "two-choices": twoChoices, "sita": sita, "omniscient": omniscient}

// New makes the baseline of that name; nil if there is none.
func New(name string, s dispatch.Settings, shared *SharedState) *Baseline {
	w := ways[name]
	if w == nil {
		return nil
	}
	if shared.sent == nil {
		shared.sent = map[string][]spent{}
	}
	return &Baseline{s: s, way: w, shared: shared, rnd: rand.New(rand.NewPCG(s.Seed, uint64(s.Position))),
		items: map[uint64]*item{}, byID: map[string]*worker{}}
}

// Baseline keeps the books that each policy needs, and the rules.
type Baseline struct {
	s      dispatch.Settings
	way    way
	shared *SharedState
	rnd    *rand.Rand
	now    float64
	out    dispatch.Executor
	items  map[uint64]*item
	held   []*item // no worker was there for them
	list   []*worker
	byID   map[string]*worker
	turn   int
	beatAt float64
	hints  []float64 // the last ones, for sita
	seen   int
	cutoff float64
}

type worker struct {
	dispatch.Entry
	out  int // own hand-offs that have not ended
	rest float64
}

type item struct {
	dispatch.WorkItem
	expiry float64
	hos    []handoff
	risk   bool // it may have run
	ended  bool
}

type handoff struct {
	w    *worker
	over bool
}

const (
	beat     = 20  // ms between looks at what is held
	rest     = 500 // a worker that could not be reached is left alone for so long
	hintMost = 2048
)

// Round takes in what came and places what is held.
func (b *Baseline) Round(now float64, in dispatch.Inbox, out dispatch.Executor) {
	b.now, b.out = now, out
	in.Deliver(b)
	held := b.held
	b.held = nil
	for _, it := range held {
		b.place(it)
	}
	if now >= b.beatAt {
		b.beatAt = now + beat
		out.SetTimer(0, beat)
		if b.s.DiscoveryOnRequest {
			out.WatchDiscovery(true)
		}
	}
}

// Arrived takes a work item.
func (b *Baseline) Arrived(wi dispatch.WorkItem) {
	it := &item{WorkItem: wi, expiry: b.now + wi.TimeLeft}
	b.items[wi.ID] = it
	if wi.Hint > 0 {
		if len(b.hints) < hintMost {
			b.hints = append(b.hints, wi.Hint)
		} else {
			b.hints[b.seen%hintMost] = wi.Hint
		}
		b.seen++
	}
	b.held = append(b.held, it)
}

// Left forgets one whose client is gone.
func (b *Baseline) ClientLeft(wi uint64) {
	if it := b.items[wi]; it != nil {
		b.end(it)
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
	if it == nil || a.HO >= len(it.hos) || it.hos[a.HO].over {
		return
	}
	h := &it.hos[a.HO]
	h.over = true
	h.w.out--
	if a.Outcome == dispatch.ConnectFailed || a.Outcome == dispatch.ConnReset {
		h.w.rest = b.now + rest
	}
	switch {
	case it.ended:
	case a.Final:
		b.end(it)
	case !a.Outcome.ProvesNotRun() && b.category(it).Repeat != dispatch.Rerunnable:
		it.risk = true
		b.giveUp(it)
	default:
		it.risk = it.risk || !a.Outcome.ProvesNotRun()
		b.held = append(b.held, it)
	}
	if it.ended && !slices.ContainsFunc(it.hos, func(h handoff) bool { return !h.over }) {
		delete(b.items, it.ID)
	}
}

// Listed keeps the list in order of ids.
func (b *Baseline) Listed(form dispatch.ListType, entries []dispatch.Entry) {
	if form == dispatch.ListUnavailable {
		return
	}
	if form == dispatch.ListComplete || form == dispatch.ListRestored {
		for _, w := range b.list {
			w.State = dispatch.Gone
		}
	}
	for _, e := range entries {
		w := b.byID[e.Worker]
		if w == nil {
			w = &worker{}
			b.byID[e.Worker] = w
			b.list = append(b.list, w)
		}
		w.Entry = e
	}
	slices.SortFunc(b.list, func(x, y *worker) int { return cmp.Compare(x.Worker, y.Worker) })
}

func (b *Baseline) category(it *item) *dispatch.Category { return &b.s.Categories[it.Category] }

// place sends one to the worker of the policy's choice, or holds it.
func (b *Baseline) place(it *item) {
	switch {
	case it.ended:
		return
	case b.now >= it.expiry || len(it.hos) >= b.s.MaxHandOffs:
		b.giveUp(it)
		return
	}
	all := b.able(it)
	if len(all) == 0 {
		b.held = append(b.held, it)
		return
	}
	w := b.way(b, it, all)
	w.out++
	it.hos = append(it.hos, handoff{w: w})
	b.out.HandOff(it.ID, w.Worker, 0)
}

// able are the workers to choose among: up, not at rest, warm; where none is warm, cold ones without a hand-off, and
// of those only what is sure to stay within the budget.
func (b *Baseline) able(it *item) []*worker {
	var warm, cold []*worker
	for _, w := range b.list {
		switch {
		case w.State != dispatch.Up || b.now < w.rest:
		case w.Since == 0 || b.now >= w.Since+b.s.WarmUpTime:
			warm = append(warm, w)
		case w.out == 0 && b.now > w.Since+b.s.WarmUpTime/4:
			cold = append(cold, w)
		}
	}
	if len(warm) > 0 {
		return warm
	}
	return cold
}

func (b *Baseline) giveUp(it *item) {
	if c := b.category(it); it.risk && (c.Repeat == dispatch.Exclusive || c.Repeat == dispatch.Ticketed && c.DedupScope != dispatch.DedupAll) {
		b.out.WriteOff(it.ID)
	} else {
		b.out.Defer(it.ID, min(1000, b.s.MaxRetryAfter))
	}
	b.end(it)
}

func (b *Baseline) end(it *item) {
	it.ended = true
	for k := range it.hos {
		if !it.hos[k].over && b.s.MayCancel {
			b.out.Cancel(it.ID, k)
		}
	}
}

func roundRobin(b *Baseline, _ *item, all []*worker) *worker {
	b.turn++
	return all[b.turn%len(all)]
}

// least takes the fewest own hand-offs out, by chance among equals.
func least(b *Baseline, _ *item, all []*worker) *worker {
	var best *worker
	ties := 0
	for _, w := range all {
		switch {
		case best == nil || w.out < best.out:
			best, ties = w, 1
		case w.out == best.out:
			if ties++; b.rnd.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

func twoChoices(b *Baseline, _ *item, all []*worker) *worker {
	x, y := all[b.rnd.IntN(len(all))], all[b.rnd.IntN(len(all))]
	if y.out < x.out {
		return y
	}
	return x
}

// sita cuts kinds in order of speed in two lanes of capacities as even as can be, sends hints below the cutoff to the
// fast one, and draws uniformly within. The cutoff gives each lane its part of the work.
func sita(b *Baseline, it *item, all []*worker) *worker {
	kinds := make([]float64, len(b.shared.Speeds)) // capacity of each
	total := 0.
	for _, w := range all {
		c := b.shared.Speeds[w.Kind] * b.shared.Parallelism[w.Kind]
		kinds[w.Kind] += c
		total += c
	}
	order := make([]int, len(kinds))
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.shared.Speeds[y], b.shared.Speeds[x]) })
	fast, share, gap := map[int]bool{}, 0., math.Inf(1)
	sum := 0.
	for k, kind := range order[:len(order)-1] {
		if sum += kinds[kind]; sum > 0 && sum < total && math.Abs(2*sum-total) < gap {
			gap, share = math.Abs(2*sum-total), sum/total
			clear(fast)
			for _, x := range order[:k+1] {
				fast[x] = true
			}
		}
	}
	if share == 0 { // one kind: no lanes
		return all[b.rnd.IntN(len(all))]
	}
	if b.seen%256 == 1 || b.cutoff == 0 {
		b.cut(share)
	}
	small := it.Hint <= b.cutoff
	lane := slices.DeleteFunc(slices.Clone(all), func(w *worker) bool { return fast[w.Kind] != small })
	if len(lane) == 0 {
		lane = all
	}
	return lane[b.rnd.IntN(len(lane))]
}

// cut sets the hint below which the last hints hold a share of the work.
func (b *Baseline) cut(share float64) {
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
	best, end := all[0], math.Inf(1)
	for _, w := range all {
		list := b.shared.sent[w.Worker]
		list = slices.DeleteFunc(list, func(s spent) bool { return s.at < b.now-1 || s.at > b.now })
		b.shared.sent[w.Worker] = list
		under := it.Hint
		for _, s := range list {
			under += s.cost
		}
		if t := b.shared.Oracle.FinishTime(w.Worker, under); t < end {
			best, end = w, t
		}
	}
	b.shared.sent[best.Worker] = append(b.shared.sent[best.Worker], spent{b.now, it.Hint})
	return best
}
