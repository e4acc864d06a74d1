// Package invariants checks four rules of dispatchers (DispatcherRules) and four of a fleet (FleetRules).
// Checker judges by what crossed the wire: what clients, workers and discovery observed and sent.
// FleetChecker compares the fleet's audit with it. The package must never ask a dispatcher what it believes
// it did, and must never decide anything for a dispatcher. Times are milliseconds on one clock and must not
// decrease from call to call.
package invariants

import (
	"fmt"
	"math"
	"slices"

	"weldmast/internal/dispatch"
)

// Config has the limits that the rules apply.
type Config struct {
	Categories   []Category
	SecondCopies bool    // a rerunnable work item may have two hand-offs at the same time
	MaxHandOffs  int     // per work item
	AnswerSlack  float64 // allowed after the client's deadline
	DrainGrace   float64 // from the notice of a drain to the last hand-off
	// the setting safety.only_draining_binds: dispatchers may still send to a worker that is listed as gone,
	// or missing from the list, if it did not drain
	OnlyDrainingBinds bool
	StartCapacity     float64 // share of its capacity when a worker starts
	WarmUpTime        float64 // a worker has its full capacity after this time
	OverloadWindow    float64 // window of the cold budget
	OverloadMultiple  float64
	MeanCost          float64 // of a work item, over all categories
}

// Category is what the rules need to know of a category of work items.
type Category struct {
	Name         string
	RepeatPolicy dispatch.RepeatPolicy
	DedupScope   dispatch.DedupScope
	DedupWindow  float64
}

// messageSlack extends each limit, for messages that are on their way.
const messageSlack = 50

// overshootFactor limits by how much the work sent to a cold worker may exceed its budget, however many work
// items it is, because the budget is not exact to the last work item.
const overshootFactor = 1.2

// maxColdWork returns how much work all dispatchers together may send to a cold worker in a window with the
// given budget. If the budget is N work items of mean cost, 2*sqrt(N) + 2 further ones (two standard
// deviations of a random count, and 2) are attributed to chance, but never more than a fifth of the budget,
// or of the largest work item if that costs more.
func (c *Config) maxColdWork(budget, largest float64) float64 {
	items := budget / c.MeanCost
	return min(max(budget, largest)*overshootFactor, (items+2*math.Sqrt(items)+2)*c.MeanCost)
}

// Rule names the rule that a violation breaks.
type Rule string

// The rules of each dispatcher. NoItemLost demands exactly one answer: it is broken by a missing answer, a
// second one, a late one, and one that no worker produced.
const (
	NoItemLost     Rule = "no item lost"
	NoDoubleEffect Rule = "no effect twice"
	DrainRespected Rule = "drains kept"
	NoColdOverload Rule = "no cold worker pushed over"
)

// DispatcherRules lists the rules of each dispatcher in the order of reports.
var DispatcherRules = []Rule{NoItemLost, NoDoubleEffect, DrainRespected, NoColdOverload}

// Violation is one break of a rule.
type Violation struct {
	At         float64 `json:"at"`
	Rule       Rule    `json:"rule"`
	ID         string  `json:"id"` // of the work item, as on the wire
	Dispatcher int     `json:"dispatcher"`
	Worker     string  `json:"worker,omitempty"`
	Detail     string  `json:"what"`
}

// String returns the violation as one line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: id=%s dispatcher=%d worker=%s: %s", v.At, v.Rule, v.ID, v.Dispatcher, v.Worker, v.Detail)
}

// maxViolations limits the violations that are stored; further ones are only counted.
const maxViolations = 1000

// Checker receives what crossed the wire and records violations.
type Checker struct {
	config                Config
	Violations            []Violation
	Counts                map[Rule]int
	Answers               int // given to clients
	items                 map[string]*item
	received              []*item // in order of arrival
	workers               map[string]*worker
	knownWorkers          []map[string]knownState // by dispatcher and worker
	incarnations          []int                   // number of each dispatcher's present process
	exclusiveStarts       map[int]int             // starts of each exclusive job
	results               map[string][]string     // of workers, by ID of the work item
	pausedSince           map[int]float64         // by dispatcher whose process is suspended: since when
	UnansweredWhilePaused int                     // work items without an answer only because their dispatcher was suspended
}

type item struct {
	id                      string
	dispatcher, incarnation int
	category                int
	job                     int
	deadline                float64
	clientLeft              bool // its client closed the connection
	dispatcherDied          bool // the process of its dispatcher ended
	answers                 int
	answeredAt              float64 // when the last byte of the first answer left
	resumedAt               float64 // when its dispatcher was last resumed
	handOffs                []handOff
}

// latestAnswer returns the time by which an item must be answered. For a process that was suspended, the
// limit counts from its resumption.
func (c *Checker) latestAnswer(it *item) float64 {
	return max(it.deadline, it.resumedAt) + c.config.AnswerSlack + messageSlack
}

// handOff is one hand-off of a work item.
type handOff struct {
	at     float64
	worker string
	notRun bool // the dispatcher has been notified that it never ran
	ended  bool // the dispatcher has been notified of its end, or has cancelled it
}

type knownState struct {
	state      dispatch.WorkerState
	knownSince float64 // when the dispatcher learned of the state
	startTime  float64 // the worker's start time, as reported to the dispatcher
}

type worker struct {
	zone       int
	capacity   float64
	startTime  float64
	recentWork []sentWork
}

type sentWork struct {
	at, cost   float64
	senderKnew bool // its sender had been notified of the worker's start
}

// New makes a checker without any observations.
func New(c Config) *Checker {
	return &Checker{config: c, Counts: map[Rule]int{}, items: map[string]*item{}, workers: map[string]*worker{},
		exclusiveStarts: map[int]int{}, results: map[string][]string{}, pausedSince: map[int]float64{}}
}

func (c *Checker) report(at float64, rule Rule, id string, d int, worker, format string, args ...any) {
	c.Counts[rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{at, rule, id, d, worker, fmt.Sprintf(format, args...)})
	}
}

// DispatcherStarted records that a process of the dispatcher started. It knows only what it is notified of
// from now on.
func (c *Checker) DispatcherStarted(_ float64, d int) {
	for len(c.knownWorkers) <= d {
		c.knownWorkers = append(c.knownWorkers, nil)
		c.incarnations = append(c.incarnations, 0)
	}
	c.incarnations[d]++
	delete(c.pausedSince, d)
	c.knownWorkers[d] = map[string]knownState{}
}

// DispatcherDied records that the dispatcher's process ended. Requests that it had not answered are lost with
// it, which is no violation, because no dispatcher can prevent it.
func (c *Checker) DispatcherDied(_ float64, d int) {
	for _, it := range c.received {
		if it.dispatcher == d && it.incarnation == c.incarnations[d] && it.answers == 0 {
			it.dispatcherDied = true
		}
	}
	c.received = slices.DeleteFunc(c.received, func(it *item) bool { return it.answers > 0 })
}

// DispatcherPaused records that the dispatcher's process is suspended from now on. It is not bound by limits
// until DispatcherResumed or DispatcherDied is called.
func (c *Checker) DispatcherPaused(at float64, d int) { c.pausedSince[d] = at }

// DispatcherResumed records that the dispatcher's process continues. It must answer overdue requests at once.
// Drains of which it was notified while suspended, or too shortly before to act on them, count as notified
// now.
func (c *Checker) DispatcherResumed(at float64, d int) {
	pausedAt, ok := c.pausedSince[d]
	if !ok {
		return
	}
	delete(c.pausedSince, d)
	for _, it := range c.received {
		if it.dispatcher == d && it.incarnation == c.incarnations[d] && it.answers == 0 {
			it.resumedAt = at
		}
	}
	for id, w := range c.knownWorkers[d] {
		if w.knownSince+c.config.DrainGrace+messageSlack > pausedAt {
			w.knownSince = at
			c.knownWorkers[d][id] = w
		}
	}
}

// RequestReceived records that the last byte of a request has reached the dispatcher. The job number is the
// same for all requests that a client sends for one job.
func (c *Checker) RequestReceived(_ float64, d int, id string, category, job int, deadline float64) {
	it := &item{id: id, dispatcher: d, incarnation: c.incarnations[d], category: category, job: job, deadline: deadline}
	c.items[id] = it
	c.received = append(c.received, it)
}

// RequestNotReceived records that the request never reached the dispatcher, contrary to RequestReceived.
func (c *Checker) RequestNotReceived(id string) {
	if it := c.items[id]; it != nil && len(it.handOffs) == 0 {
		it.clientLeft = true
	}
}

// ClientLeft records that the client closed its connection before an answer. A client may leave at any time;
// but if it waited longer than any answer may take, the work item is lost.
func (c *Checker) ClientLeft(at float64, id string) {
	it := c.items[id]
	if it == nil || it.answers > 0 || it.clientLeft {
		return
	}
	it.clientLeft = true
	if _, paused := c.pausedSince[it.dispatcher]; paused {
		c.UnansweredWhilePaused++
		return
	}
	if at > c.latestAnswer(it) {
		c.report(at, NoItemLost, id, it.dispatcher, "", "not answered when its client left %.1f ms after its deadline", at-it.deadline)
	}
}

// Answered records that the last byte of an answer left the dispatcher, at leftAt; an observer that is late
// records it later. With mayRetry, the answer says that a retry is harmless.
func (c *Checker) Answered(at, leftAt float64, id string, served, mayRetry bool, body string) {
	c.Answers++
	it := c.items[id]
	if it == nil {
		c.report(at, NoItemLost, id, -1, "", "answered, but nobody asked")
		return
	}
	if it.answers++; it.answers == 1 {
		it.answeredAt = leftAt
	}
	switch {
	case it.answers > 1:
		c.report(at, NoItemLost, id, it.dispatcher, "", "answer %d to one request", it.answers)
	case it.clientLeft: // nobody reads the answer; a late one was reported when the client left
	case at > c.latestAnswer(it):
		c.report(at, NoItemLost, id, it.dispatcher, "", "answered %.1f ms after its deadline", at-it.deadline)
	}
	if served && !slices.Contains(c.results[id], body) {
		c.report(at, NoItemLost, id, it.dispatcher, "", "served with what no worker made for it")
	}
	if category := c.config.Categories[it.category]; mayRetry && category.RepeatPolicy != dispatch.Rerunnable &&
		// with DedupAll every worker knows the ticket, so a client's retry is harmless
		!(category.RepeatPolicy == dispatch.Ticketed && category.DedupScope == dispatch.DedupAll) {
		for _, h := range it.handOffs {
			if !h.notRun {
				c.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "told to come again, though it may have run")
				break
			}
		}
	}
}

// WorkerListed records that discovery has reported a worker's state and start time to the dispatcher.
func (c *Checker) WorkerListed(at float64, d int, worker string, state dispatch.WorkerState, startTime float64) {
	previous, known := c.knownWorkers[d][worker]
	switch {
	case known && previous.state == state:
		at = previous.knownSince
	case known && previous.state == dispatch.Up && state == dispatch.Gone && c.config.OnlyDrainingBinds:
		return
	}
	c.knownWorkers[d][worker] = knownState{state, at, startTime}
}

// WorkerStarted records that a worker's process started at a time; a negative time means long ago. The
// capacity is the work per millisecond when warm.
func (c *Checker) WorkerStarted(_ float64, id string, zone int, capacity, startTime float64) {
	c.workers[id] = &worker{zone: zone, capacity: capacity, startTime: startTime}
}

// HandOffSent records that the first byte of hand-off n of a work item left for a worker, at leftAt; an observer
// that is late records it later, perhaps after an answer that left after it. The hint is the cost as far as the
// dispatcher could know it.
func (c *Checker) HandOffSent(at, leftAt float64, d int, id string, n int, workerID string, hint float64) {
	it := c.items[id]
	if it == nil {
		c.report(at, NoDoubleEffect, id, d, workerID, "handed off under an id that no client sent")
		return
	}
	if w := c.knownWorkers[d][workerID]; w.state != dispatch.Up && at > w.knownSince+c.config.DrainGrace+messageSlack {
		c.report(at, DrainRespected, id, d, workerID, "handed off %.1f ms after the drain was told", at-w.knownSince)
	}
	if n >= c.config.MaxHandOffs {
		c.report(at, NoDoubleEffect, id, d, workerID, "hand-off %d of at most %d", n+1, c.config.MaxHandOffs)
	}
	if it.answers > 0 && leftAt >= it.answeredAt {
		c.report(at, NoDoubleEffect, id, d, workerID, "handed off after its answer")
	}
	category := c.config.Categories[it.category]
	for _, h := range it.handOffs {
		switch {
		case h.notRun:
			continue
		case category.RepeatPolicy == dispatch.Exclusive:
			c.report(at, NoDoubleEffect, id, d, workerID, "exclusive, handed off again though it may have run at %s", h.worker)
		case category.RepeatPolicy == dispatch.Ticketed && (at-h.at > category.DedupWindow+messageSlack || !c.sharesTickets(category.DedupScope, h.worker, workerID)):
			c.report(at, NoDoubleEffect, id, d, workerID, "ticketed, handed off again where %s's ticket does not hold", h.worker)
		case !h.ended && !c.config.SecondCopies:
			c.report(at, NoDoubleEffect, id, d, workerID, "a second copy while one is at %s", h.worker)
		default:
			continue
		}
		break
	}
	it.handOffs = append(it.handOffs, handOff{at: at, worker: workerID})
	c.checkColdBudget(at, d, id, workerID, hint)
}

func (c *Checker) sharesTickets(g dispatch.DedupScope, one, other string) bool {
	x, y := c.workers[one], c.workers[other]
	return g != dispatch.DedupZone || x != nil && y != nil && x.zone == y.zone
}

// checkColdBudget adds up the work that all dispatchers send to a cold worker within a window. A single work
// item from senders that know that the worker is cold is always allowed. There is no violation while more
// than a third of the work comes from senders that could not know it.
func (c *Checker) checkColdBudget(at float64, d int, id, workerID string, hint float64) {
	w := c.workers[workerID]
	if w == nil || w.startTime < 0 || at >= w.startTime+c.config.WarmUpTime {
		return
	}
	w.recentWork = slices.DeleteFunc(w.recentWork, func(s sentWork) bool { return s.at <= at-c.config.OverloadWindow })
	w.recentWork = append(w.recentWork, sentWork{at, hint, c.knownWorkers[d][workerID].startTime >= w.startTime})
	sum, knownSum, largest, knowing := 0., 0., 0., 0
	for _, s := range w.recentWork {
		sum, largest = sum+s.cost, max(largest, s.cost)
		if s.senderKnew {
			knownSum += s.cost
			knowing++
		}
	}
	warmth := c.config.StartCapacity + (1-c.config.StartCapacity)*max(at-w.startTime, 0)/c.config.WarmUpTime
	if limit := c.config.maxColdWork(c.config.OverloadMultiple*warmth*w.capacity*c.config.OverloadWindow, largest); knowing > 1 && sum > limit && knownSum >= sum*2/3 {
		c.report(at, NoColdOverload, id, d, workerID, "sent work of %.1f ms within %.0f ms, %.1f are its most", sum, c.config.OverloadWindow, limit)
	}
}

func (c *Checker) findHandOff(id string, n int) *handOff {
	if it := c.items[id]; it != nil && n >= 0 && n < len(it.handOffs) {
		return &it.handOffs[n]
	}
	return nil
}

// HandOffNotRun records that the dispatcher has been notified that the hand-off never ran.
func (c *Checker) HandOffNotRun(_ float64, id string, n int) {
	if h := c.findHandOff(id, n); h != nil {
		h.notRun, h.ended = true, true
	}
}

// HandOffEnded records that the dispatcher has been notified of the hand-off's end, whether or not it ran.
func (c *Checker) HandOffEnded(_ float64, id string, n int) {
	if h := c.findHandOff(id, n); h != nil {
		h.ended = true
	}
}

// HandOffCancelled records that the dispatcher closed the hand-off's connection or sent a DELETE.
func (c *Checker) HandOffCancelled(at float64, id string, n int) { c.HandOffEnded(at, id, n) }

// WorkItemStarted records that a worker runs the work item, which may have its effect from now on.
func (c *Checker) WorkItemStarted(at float64, id string, n, job int) {
	it, h := c.items[id], c.findHandOff(id, n)
	if it == nil || h == nil {
		c.report(at, NoDoubleEffect, id, -1, "", "runs, but was never handed off")
		return
	}
	if h.notRun {
		c.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "runs, though it was told to have not: the stand-in is wrong")
	}
	if c.config.Categories[it.category].RepeatPolicy == dispatch.Exclusive {
		if c.exclusiveStarts[job]++; c.exclusiveStarts[job] > 1 {
			c.report(at, NoDoubleEffect, id, it.dispatcher, h.worker, "one client's exclusive wish runs for time %d", c.exclusiveStarts[job])
		}
	}
}

// ResultReady records that a worker has a result for the work item.
func (c *Checker) ResultReady(id, result string) { c.results[id] = append(c.results[id], result) }

// Finish ends the check: a work item that still has no answer is lost.
func (c *Checker) Finish(at float64) {
	for _, it := range c.received {
		if it.answers == 0 && !it.clientLeft && !it.dispatcherDied {
			c.report(at, NoItemLost, it.id, it.dispatcher, "", "never answered")
		}
	}
}

// Clean reports whether no rule was broken.
func (c *Checker) Clean() bool { return len(c.Violations) == 0 }
