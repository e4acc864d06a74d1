// Package audit judges dispatchers by the four rules, and by exactly one answer, from what crossed the wire: what
// clients, workers and discovery saw and said. It must never ask a dispatcher what it thinks it did, and never decide
// anything for one. Times are milliseconds on one clock and must not go back from call to call.
package invariants

import (
	"fmt"
	"math"
	"slices"

	"weldmast/internal/dispatch"
)

// Rules are the figures to judge by.
type Config struct {
	Categories        []Category
	SecondCopies      bool    // a rerunnable work item may be out twice at once
	MaxHandOffs       int     // of one work item
	AnswerSlack       float64 // after the client's deadline
	DrainGrace        float64 // from the telling to the last send
	OnlyDrainingBinds bool    // one that is called gone, or left out, without having drained may still be sent to
	StartShare        float64 // of its capacity, as a worker comes up
	WarmUp            float64 // it is warm after this time
	OverloadWindow    float64 // window of the cold budget
	OverloadFactor    float64
	MeanCost          float64 // of a work item, of all categories
}

// Category is what the rules need of one.
type Category struct {
	Name         string
	Repeat       dispatch.RepeatPolicy
	Group        dispatch.DedupScope
	TicketWindow float64
}

// leniency is what each limit is longer by, for messages on their way.
const leniency = 50

// chance is by how much the cold budget may be gone over, be it of many work items: it is not exact to the last one.
const chance = 1.2

// most is what a cold worker may be sent in a window whose budget is given, by all dispatchers together: beyond the N work
// items of mean cost that the budget is, 2 root N + 2 more are put down to chance, as the operators do, and never over a fifth.
// One work item alone is always allowed.
func (r *Config) most(budget, largest float64) float64 {
	n := budget / r.MeanCost
	return min(max(budget, largest)*chance, (n+2*math.Sqrt(n)+2)*r.MeanCost)
}

// Rule names what was broken.
type Rule string

// The rules. Lost covers exactly one answer: none, a second one, a late one, one that no worker made.
const (
	NoItemLost     Rule = "no item lost"
	NoDoubleEffect Rule = "no effect twice"
	DrainRespected Rule = "drains kept"
	NoColdOverload Rule = "no cold worker pushed over"
)

// Rules in their order, for those who count.
var DispatcherRules = []Rule{NoItemLost, NoDoubleEffect, DrainRespected, NoColdOverload}

// Verdict is one conviction.
type Violation struct {
	At         float64 `json:"at"`
	Rule       Rule    `json:"rule"`
	ID         string  `json:"id"` // of the work item, as on the wire
	Dispatcher int     `json:"dispatcher"`
	Worker     string  `json:"worker,omitempty"`
	Detail     string  `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: id=%s dispatcher=%d worker=%s: %s", v.At, v.Rule, v.ID, v.Dispatcher, v.Worker, v.Detail)
}

// mostVerdicts are kept; what is beyond is counted only.
const mostVerdicts = 1000

// Audit takes what crossed the wire.
type Checker struct {
	r                     Config
	Violations            []Violation
	Counts                map[Rule]int
	Answers               int // given to clients
	items                 map[string]*item
	order                 []*item
	workers               map[string]*worker
	told                  []map[string]told // of each dispatcher
	lives                 []int
	began                 map[int]int // of each exclusive job
	made                  map[string][]string
	frozen                map[int]float64 // since when a dispatcher's process stands still
	UnansweredWhilePaused int             // work items that only a standstill kept from their answer
}

type item struct {
	id       string
	d, life  int
	category int
	job      int
	deadline float64
	gone     bool // its client left
	died     bool // its dispatcher did
	answers  int
	thawed   float64 // its dispatcher stood still until then
	hos      []sent
}

// limit is until when it must have been answered: a process that stands still is bound from its wake on.
func (a *Checker) limit(it *item) float64 {
	return max(it.deadline, it.thawed) + a.r.AnswerSlack + leniency
}

// sent is one hand-off.
type sent struct {
	at     float64
	worker string
	unrun  bool // the dispatcher has been told that it never ran
	over   bool // it was told an end, or gave it up
}

type told struct {
	state dispatch.WorkerState
	at    float64 // since when it knows this state
	since float64 // the worker's start, as told
}

type worker struct {
	site     int
	capacity float64
	since    float64
	sent     []spent
}

type spent struct {
	at, cost float64
	knew     bool // its sender had been told of the start
}

// New makes an audit that has seen nothing.
func New(r Config) *Checker {
	return &Checker{r: r, Counts: map[Rule]int{}, items: map[string]*item{}, workers: map[string]*worker{},
		began: map[int]int{}, made: map[string][]string{}, frozen: map[int]float64{}}
}

func (a *Checker) convict(at float64, rule Rule, id string, d int, worker, format string, args ...any) {
	a.Counts[rule]++
	if len(a.Violations) < mostVerdicts {
		a.Violations = append(a.Violations, Violation{at, rule, id, d, worker, fmt.Sprintf(format, args...)})
	}
}

// Started: a process of the dispatcher came up; it knows what it is told from now on.
func (a *Checker) DispatcherStarted(_ float64, d int) {
	for len(a.told) <= d {
		a.told = append(a.told, nil)
		a.lives = append(a.lives, 0)
	}
	a.lives[d]++
	delete(a.frozen, d)
	a.told[d] = map[string]told{}
}

// Died: its process ended. What it had not answered is lost with it, which no dispatcher can help.
func (a *Checker) DispatcherDied(_ float64, d int) {
	for _, it := range a.order {
		if it.d == d && it.life == a.lives[d] && it.answers == 0 {
			it.died = true
		}
	}
	a.order = slices.DeleteFunc(a.order, func(it *item) bool { return it.answers > 0 })
}

// Frozen: its process stands still from now on. It is no running dispatcher until it is Thawed, or Died.
func (a *Checker) DispatcherPaused(at float64, d int) { a.frozen[d] = at }

// Thawed: it goes on, and has to answer what is overdue at once. What it was told meanwhile, or too shortly before to act
// on it, it is told now.
func (a *Checker) DispatcherResumed(at float64, d int) {
	since, ok := a.frozen[d]
	if !ok {
		return
	}
	delete(a.frozen, d)
	for _, it := range a.order {
		if it.d == d && it.life == a.lives[d] && it.answers == 0 {
			it.thawed = at
		}
	}
	for id, w := range a.told[d] {
		if w.at+a.r.DrainGrace+leniency > since {
			w.at = at
			a.told[d][id] = w
		}
	}
}

// Taken: the last byte of a request is with the dispatcher. Job numbers the client's wish, the same for its retries.
func (a *Checker) RequestReceived(_ float64, d int, id string, category, job int, deadline float64) {
	it := &item{id: id, d: d, life: a.lives[d], category: category, job: job, deadline: deadline}
	a.items[id] = it
	a.order = append(a.order, it)
}

// Untaken: the request never reached the dispatcher after all.
func (a *Checker) RequestNotReceived(id string) {
	if it := a.items[id]; it != nil && len(it.hos) == 0 {
		it.gone = true
	}
}

// ClientLeft: the client closed its connection before an answer. It need not have waited; but if it did, for longer
// than any answer may take, the work item is lost.
func (a *Checker) ClientLeft(at float64, id string) {
	it := a.items[id]
	if it == nil || it.answers > 0 || it.gone {
		return
	}
	it.gone = true
	if _, frozen := a.frozen[it.d]; frozen {
		a.UnansweredWhilePaused++
		return
	}
	if at > a.limit(it) {
		a.convict(at, NoItemLost, id, it.d, "", "not answered when its client left %.1f ms after its deadline", at-it.deadline)
	}
}

// Answered: the last byte of an answer left the dispatcher. ComeAgain: it says that trying again is harmless.
func (a *Checker) Answered(at float64, id string, served, comeAgain bool, body string) {
	a.Answers++
	it := a.items[id]
	if it == nil {
		a.convict(at, NoItemLost, id, -1, "", "answered, but nobody asked")
		return
	}
	it.answers++
	switch {
	case it.answers > 1:
		a.convict(at, NoItemLost, id, it.d, "", "answer %d to one request", it.answers)
	case it.gone: // nobody listens, or it was convicted then
	case at > a.limit(it):
		a.convict(at, NoItemLost, id, it.d, "", "answered %.1f ms after its deadline", at-it.deadline)
	}
	if served && !slices.Contains(a.made[id], body) {
		a.convict(at, NoItemLost, id, it.d, "", "served with what no worker made for it")
	}
	if c := a.r.Categories[it.category]; comeAgain && c.Repeat != dispatch.Rerunnable &&
		!(c.Repeat == dispatch.Ticketed && c.Group == dispatch.DedupAll) { // whose ticket holds for a retry as well
		for _, h := range it.hos {
			if !h.unrun {
				a.convict(at, NoDoubleEffect, id, it.d, h.worker, "told to come again, though it may have run")
				break
			}
		}
	}
}

// Told: discovery has told the dispatcher of a worker, and of when it started.
func (a *Checker) WorkerListed(at float64, d int, worker string, s dispatch.WorkerState, since float64) {
	was, known := a.told[d][worker]
	switch {
	case known && was.state == s:
		at = was.at
	case known && was.state == dispatch.Up && s == dispatch.Gone && a.r.OnlyDrainingBinds:
		return
	}
	a.told[d][worker] = told{s, at, since}
}

// WorkerUp: a worker's process has come up at a time; since below 0: long ago. Capacity: work in a millisecond, warm.
func (a *Checker) WorkerStarted(_ float64, id string, site int, capacity, since float64) {
	a.workers[id] = &worker{site: site, capacity: capacity, since: since}
}

// Sent: the first byte of hand-off n of a work item left for a worker. Hint is its cost as the dispatcher could know.
func (a *Checker) HandOffSent(at float64, d int, id string, n int, to string, hint float64) {
	it := a.items[id]
	if it == nil {
		a.convict(at, NoDoubleEffect, id, d, to, "handed off under an id that no client sent")
		return
	}
	if w := a.told[d][to]; w.state != dispatch.Up && at > w.at+a.r.DrainGrace+leniency {
		a.convict(at, DrainRespected, id, d, to, "handed off %.1f ms after the drain was told", at-w.at)
	}
	if n >= a.r.MaxHandOffs {
		a.convict(at, NoDoubleEffect, id, d, to, "hand-off %d of at most %d", n+1, a.r.MaxHandOffs)
	}
	if it.answers > 0 {
		a.convict(at, NoDoubleEffect, id, d, to, "handed off after its answer")
	}
	c := a.r.Categories[it.category]
	for _, h := range it.hos {
		switch {
		case h.unrun:
			continue
		case c.Repeat == dispatch.Exclusive:
			a.convict(at, NoDoubleEffect, id, d, to, "exclusive, handed off again though it may have run at %s", h.worker)
		case c.Repeat == dispatch.Ticketed && (at-h.at > c.TicketWindow+leniency || !a.sameGroup(c.Group, h.worker, to)):
			a.convict(at, NoDoubleEffect, id, d, to, "ticketed, handed off again where %s's ticket does not hold", h.worker)
		case !h.over && !a.r.SecondCopies:
			a.convict(at, NoDoubleEffect, id, d, to, "a second copy while one is at %s", h.worker)
		default:
			continue
		}
		break
	}
	it.hos = append(it.hos, sent{at: at, worker: to})
	a.budget(at, d, id, to, hint)
}

func (a *Checker) sameGroup(g dispatch.DedupScope, one, other string) bool {
	x, y := a.workers[one], a.workers[other]
	return g != dispatch.DedupZone || x != nil && y != nil && x.site == y.site
}

// budget adds up what a cold worker is sent in a window, by all. One work item alone is always allowed, of those that know
// that it is cold, and nobody is convicted while over a third comes from those that could not know.
func (a *Checker) budget(at float64, d int, id, to string, hint float64) {
	w := a.workers[to]
	if w == nil || w.since < 0 || at >= w.since+a.r.WarmUp {
		return
	}
	w.sent = slices.DeleteFunc(w.sent, func(s spent) bool { return s.at <= at-a.r.OverloadWindow })
	w.sent = append(w.sent, spent{at, hint, a.told[d][to].since >= w.since})
	sum, knew, largest, of := 0., 0., 0., 0
	for _, s := range w.sent {
		sum, largest = sum+s.cost, max(largest, s.cost)
		if s.knew {
			knew += s.cost
			of++
		}
	}
	warmth := a.r.StartShare + (1-a.r.StartShare)*max(at-w.since, 0)/a.r.WarmUp
	if most := a.r.most(a.r.OverloadFactor*warmth*w.capacity*a.r.OverloadWindow, largest); of > 1 && sum > most && knew >= sum*2/3 {
		a.convict(at, NoColdOverload, id, d, to, "sent work of %.1f ms within %.0f ms, %.1f are its most", sum, a.r.OverloadWindow, most)
	}
}

func (a *Checker) handOff(id string, n int) *sent {
	if it := a.items[id]; it != nil && n >= 0 && n < len(it.hos) {
		return &it.hos[n]
	}
	return nil
}

// Unrun: the dispatcher has been told that the hand-off never ran.
func (a *Checker) HandOffNotRun(_ float64, id string, n int) {
	if h := a.handOff(id, n); h != nil {
		h.unrun, h.over = true, true
	}
}

// Heard: the dispatcher has been told that the hand-off has ended, whether or not it ran.
func (a *Checker) HandOffEnded(_ float64, id string, n int) {
	if h := a.handOff(id, n); h != nil {
		h.over = true
	}
}

// GivenUp: the dispatcher closed its connection or sent a DELETE.
func (a *Checker) HandOffCancelled(at float64, id string, n int) { a.HandOffEnded(at, id, n) }

// Began: a worker runs the work item; from now on it may have its effect.
func (a *Checker) JobStarted(at float64, id string, n, job int) {
	it, h := a.items[id], a.handOff(id, n)
	if it == nil || h == nil {
		a.convict(at, NoDoubleEffect, id, -1, "", "runs, but was never handed off")
		return
	}
	if h.unrun {
		a.convict(at, NoDoubleEffect, id, it.d, h.worker, "runs, though it was told to have not: the stand-in is wrong")
	}
	if a.r.Categories[it.category].Repeat == dispatch.Exclusive {
		if a.began[job]++; a.began[job] > 1 {
			a.convict(at, NoDoubleEffect, id, it.d, h.worker, "one client's exclusive wish runs for time %d", a.began[job])
		}
	}
}

// Made: a worker has a result for it.
func (a *Checker) JobFinished(id, result string) { a.made[id] = append(a.made[id], result) }

// Finish is called when all is over: whatever has no answer then is lost.
func (a *Checker) Finish(at float64) {
	for _, it := range a.order {
		if it.answers == 0 && !it.gone && !it.died {
			a.convict(at, NoItemLost, it.id, it.d, "", "never answered")
		}
	}
}

// Clean tells that no rule was broken.
func (a *Checker) Clean() bool { return len(a.Violations) == 0 }
