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
	StartCapacity     float64 // of its capacity, as a worker comes up
	WarmUpTime        float64 // it is warm after this time
	OverloadWindow    float64 // window of the cold budget
	OverloadMultiple  float64
	MeanCost          float64 // of a work item, of all categories
}

// Category is what the rules need of one.
type Category struct {
	Name         string
	RepeatPolicy dispatch.Repeat
	DedupScope   dispatch.Group
	DedupWindow  float64
}

// leniency is what each limit is longer by, for messages on their way.
const messageSlack = 50

// chance is by how much the cold budget may be gone over, be it of many work items: it is not exact to the last one.
const overshootFactor = 1.2

// most is what a cold worker may be sent in a window whose budget is given, by all dispatchers together: beyond the N work
// items of mean cost that the budget is, 2 root N + 2 more are put down to chance, as the operators do, and never over a fifth.
// One work item alone is always allowed.
func (c *Config) maxColdWork(budget, largest float64) float64 {
	items := budget / c.MeanCost
	return min(max(budget, largest)*overshootFactor, (items+2*math.Sqrt(items)+2)*c.MeanCost)
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
const maxViolations = 1000

// Audit takes what crossed the wire.
type Checker struct {
	config                Config
	Violations            []Violation
	Counts                map[Rule]int
	Answers               int // given to clients
	items                 map[string]*item
	received              []*item
	workers               map[string]*worker
	knownWorkers          []map[string]knownState // of each dispatcher
	incarnations          []int
	exclusiveStarts       map[int]int // of each exclusive job
	results               map[string][]string
	pausedSince           map[int]float64 // since when a dispatcher's process stands still
	UnansweredWhilePaused int             // work items that only a standstill kept from their answer
}

type item struct {
	id                      string
	dispatcher, incarnation int
	category                int
	job                     int
	deadline                float64
	clientLeft              bool // its client left
	dispatcherDied          bool // its dispatcher did
	answers                 int
	resumedAt               float64 // its dispatcher stood still until then
	handOffs                []handOff
}

// limit is until when it must have been answered: a process that stands still is bound from its wake on.
func (a *Checker) latestAnswer(it *item) float64 {
	return max(it.deadline, it.resumedAt) + a.config.AnswerSlack + messageSlack
}

// sent is one hand-off.
type handOff struct {
	at     float64
	worker string
	notRun bool // the dispatcher has been told that it never ran
	ended  bool // it was told an end, or gave it up
}

type knownState struct {
	state      dispatch.State
	knownSince float64 // since when it knows this state
	startTime  float64 // the worker's start, as told
}

type worker struct {
	site       int
	capacity   float64
	startTime  float64
	recentWork []sentWork
}

type sentWork struct {
	at, cost   float64
	senderKnew bool // its sender had been told of the start
}

// New makes an audit that has seen nothing.
func New(c Config) *Checker {
	return &Checker{config: c, Counts: map[Rule]int{}, items: map[string]*item{}, workers: map[string]*worker{},
		exclusiveStarts: map[int]int{}, results: map[string][]string{}, pausedSince: map[int]float64{}}
}

func (a *Checker) report(at float64, rule Rule, id string, d int, worker, format string, args ...any) {
	a.Counts[rule]++
	if len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, Violation{at, rule, id, d, worker, fmt.Sprintf(format, args...)})
	}
}

// Started: a process of the dispatcher came up; it knows what it is told from now on.
func (a *Checker) DispatcherStarted(_ float64, d int) {
	for len(a.knownWorkers) <= d {
		a.knownWorkers = append(a.knownWorkers, nil)
		a.incarnations = append(a.incarnations, 0)
	}
	a.incarnations[d]++
	delete(a.pausedSince, d)
	a.knownWorkers[d] = map[string]knownState{}
}

// Died: its process ended. What it had not answered is lost with it, which no dispatcher can help.
func (a *Checker) DispatcherDied(_ float64, d int) {
	for _, it := range a.received {
		if it.dispatcher == d && it.incarnation == a.incarnations[d] && it.answers == 0 {
			it.dispatcherDied = true
		}
	}
	a.received = slices.DeleteFunc(a.received, func(it *item) bool { return it.answers > 0 })
}

// Frozen: its process stands still from now on. It is no running dispatcher until it is Thawed, or Died.
func (a *Checker) DispatcherPaused(at float64, d int) { a.pausedSince[d] = at }

// Thawed: it goes on, and has to answer what is overdue at once. What it was told meanwhile, or too shortly before to act
// on it, it is told now.
func (a *Checker) DispatcherResumed(at float64, d int) {
	pausedAt, ok := a.pausedSince[d]
	if !ok {
		return
	}
	delete(a.pausedSince, d)
	for _, it := range a.received {
		if it.dispatcher == d && it.incarnation == a.incarnations[d] && it.answers == 0 {
			it.resumedAt = at
		}
	}
	for id, w := range a.knownWorkers[d] {
		if w.knownSince+a.config.DrainGrace+messageSlack > pausedAt {
			w.knownSince = at
			a.knownWorkers[d][id] = w
		}
	}
}

// Taken: the last byte of a request is with the dispatcher. Job numbers the client's wish, the same for its retries.
func (a *Checker) RequestReceived(_ float64, d int, id string, category, job int, deadline float64) {
	it := &item{id: id, dispatcher: d, incarnation: a.incarnations[d], category: category, job: job, deadline: deadline}
	a.items[id] = it
	a.received = append(a.received, it)
}

// Untaken: the request never reached the dispatcher after all.
func (a *Checker) RequestNotReceived(id string) {
	if it := a.items[id]; it != nil && len(it.handOffs) == 0 {
		it.clientLeft = true
	}
}

// ClientLeft: the client closed its connection before an answer. It need not have waited; but if it did, for longer
// than any answer may take, the work item is lost.
func (a *Checker) ClientLeft(at float64, id string) {
	it := a.items[id]
	if it == nil || it.answers > 0 || it.clientLeft {
		return
	}
	it.clientLeft = true
	if _, frozen := a.pausedSince[it.dispatcher]; frozen {
		a.UnansweredWhilePaused++
		return
	}
	if at > a.latestAnswer(it) {
		a.report(at, NoItemLost, id, it.dispatcher, "", "not answered when its client left %.1f ms after its deadline", at-it.deadline)
	}
}

// Answered: the last byte of an answer left the dispatcher. ComeAgain: it says that trying again is harmless.
func (a *Checker) Answered(at float64, id string, served, comeAgain bool, body string) {
	a.Answers++
	it := a.items[id]
	if it == nil {
		a.report(at, NoItemLost, id, -1, "", "answered, but nobody asked")
		return
	}
	it.answers++
	switch {
	case it.answers > 1:
		a.report(at, NoItemLost, id, it.dispatcher, "", "answer %d to one request", it.answers)
	case it.clientLeft: // nobody listens, or it was convicted then
	case at > a.latestAnswer(it):
		a.report(at, NoItemLost, id, it.dispatcher, "", "answered %.1f ms after its deadline", at-it.deadline)
	}
	if served && !slices.Contains(a.results[id], body) {
		a.report(at, NoItemLost, id, it.dispatcher, "", "served with what no worker made for it")
	}
	if c := a.config.Categories[it.category]; comeAgain && c.RepeatPolicy != dispatch.Rerunnable &&
		!(c.RepeatPolicy == dispatch.Ticketed && c.DedupScope == dispatch.GroupAll) { // whose ticket holds for a retry as well
		for _, h := range it.handOffs {
			if !h.notRun {
				a.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "told to come again, though it may have run")
				break
			}
		}
	}
}

// Told: discovery has told the dispatcher of a worker, and of when it started.
func (a *Checker) WorkerListed(at float64, d int, worker string, state dispatch.State, startTime float64) {
	previous, known := a.knownWorkers[d][worker]
	switch {
	case known && previous.state == state:
		at = previous.knownSince
	case known && previous.state == dispatch.Up && state == dispatch.Gone && a.config.OnlyDrainingBinds:
		return
	}
	a.knownWorkers[d][worker] = knownState{state, at, startTime}
}

// WorkerUp: a worker's process has come up at a time; since below 0: long ago. Capacity: work in a millisecond, warm.
func (a *Checker) WorkerStarted(_ float64, id string, site int, capacity, startTime float64) {
	a.workers[id] = &worker{site: site, capacity: capacity, startTime: startTime}
}

// Sent: the first byte of hand-off n of a work item left for a worker. Hint is its cost as the dispatcher could know.
func (a *Checker) HandOffSent(at float64, d int, id string, n int, workerID string, hint float64) {
	it := a.items[id]
	if it == nil {
		a.report(at, NoDoubleEffect, id, d, workerID, "handed off under an id that no client sent")
		return
	}
	if w := a.knownWorkers[d][workerID]; w.state != dispatch.Up && at > w.knownSince+a.config.DrainGrace+messageSlack {
		a.report(at, DrainRespected, id, d, workerID, "handed off %.1f ms after the drain was told", at-w.knownSince)
	}
	if n >= a.config.MaxHandOffs {
		a.report(at, NoDoubleEffect, id, d, workerID, "hand-off %d of at most %d", n+1, a.config.MaxHandOffs)
	}
	if it.answers > 0 {
		a.report(at, NoDoubleEffect, id, d, workerID, "handed off after its answer")
	}
	c := a.config.Categories[it.category]
	for _, h := range it.handOffs {
		switch {
		case h.notRun:
			continue
		case c.RepeatPolicy == dispatch.Exclusive:
			a.report(at, NoDoubleEffect, id, d, workerID, "exclusive, handed off again though it may have run at %s", h.worker)
		case c.RepeatPolicy == dispatch.Ticketed && (at-h.at > c.DedupWindow+messageSlack || !a.sameGroup(c.DedupScope, h.worker, workerID)):
			a.report(at, NoDoubleEffect, id, d, workerID, "ticketed, handed off again where %s's ticket does not hold", h.worker)
		case !h.ended && !a.config.SecondCopies:
			a.report(at, NoDoubleEffect, id, d, workerID, "a second copy while one is at %s", h.worker)
		default:
			continue
		}
		break
	}
	it.handOffs = append(it.handOffs, handOff{at: at, worker: workerID})
	a.checkColdBudget(at, d, id, workerID, hint)
}

func (a *Checker) sameGroup(g dispatch.DedupScope, one, other string) bool {
	x, y := a.workers[one], a.workers[other]
	return g != dispatch.DedupZone || x != nil && y != nil && x.site == y.site
}

// budget adds up what a cold worker is sent in a window, by all. One work item alone is always allowed, of those that know
// that it is cold, and nobody is convicted while over a third comes from those that could not know.
func (a *Checker) checkColdBudget(at float64, d int, id, workerID string, hint float64) {
	w := a.workers[workerID]
	if w == nil || w.startTime < 0 || at >= w.startTime+a.config.WarmUpTime {
		return
	}
	w.recentWork = slices.DeleteFunc(w.recentWork, func(s sentWork) bool { return s.at <= at-a.config.OverloadWindow })
	w.recentWork = append(w.recentWork, sentWork{at, hint, a.knownWorkers[d][workerID].startTime >= w.startTime})
	sum, senderKnew, largest, knowing := 0., 0., 0., 0
	for _, s := range w.recentWork {
		sum, largest = sum+s.cost, max(largest, s.cost)
		if s.senderKnew {
			senderKnew += s.cost
			knowing++
		}
	}
	warmth := a.config.StartCapacity + (1-a.config.StartCapacity)*max(at-w.startTime, 0)/a.config.WarmUpTime
	if limit := a.config.maxColdWork(a.config.OverloadMultiple*warmth*w.capacity*a.config.OverloadWindow, largest); knowing > 1 && sum > limit && senderKnew >= sum*2/3 {
		a.report(at, NoColdOverload, id, d, workerID, "sent work of %.1f ms within %.0f ms, %.1f are its most", sum, a.config.OverloadWindow, limit)
	}
}

func (a *Checker) findHandOff(id string, n int) *handOff {
	if it := a.items[id]; it != nil && n >= 0 && n < len(it.handOffs) {
		return &it.handOffs[n]
	}
	return nil
}

// Unrun: the dispatcher has been told that the hand-off never ran.
func (a *Checker) HandOffNotRun(_ float64, id string, n int) {
	if h := a.findHandOff(id, n); h != nil {
		h.notRun, h.ended = true, true
	}
}

// Heard: the dispatcher has been told that the hand-off has ended, whether or not it ran.
func (a *Checker) HandOffEnded(_ float64, id string, n int) {
	if h := a.findHandOff(id, n); h != nil {
		h.ended = true
	}
}

// GivenUp: the dispatcher closed its connection or sent a DELETE.
func (a *Checker) HandOffCancelled(at float64, id string, n int) { a.HandOffEnded(at, id, n) }

// Began: a worker runs the work item; from now on it may have its effect.
func (a *Checker) JobStarted(at float64, id string, n, job int) {
	it, h := a.items[id], a.findHandOff(id, n)
	if it == nil || h == nil {
		a.report(at, NoDoubleEffect, id, -1, "", "runs, but was never handed off")
		return
	}
	if h.notRun {
		a.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "runs, though it was told to have not: the stand-in is wrong")
	}
	if a.config.Categories[it.category].RepeatPolicy == dispatch.Exclusive {
		if a.exclusiveStarts[job]++; a.exclusiveStarts[job] > 1 {
			a.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "one client's exclusive wish runs for time %d", a.exclusiveStarts[job])
		}
	}
}

// Made: a worker has a result for it.
func (a *Checker) JobFinished(id, result string) { a.results[id] = append(a.results[id], result) }

// Finish is called when all is over: whatever has no answer then is lost.
func (a *Checker) Finish(at float64) {
	for _, it := range a.received {
		if it.answers == 0 && !it.clientLeft && !it.dispatcherDied {
			a.report(at, NoItemLost, it.id, it.dispatcher, "", "never answered")
		}
	}
}

// Clean tells that no rule was broken.
func (a *Checker) Clean() bool { return len(a.Violations) == 0 }
