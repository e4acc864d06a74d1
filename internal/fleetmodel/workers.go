// This file models workers: what they run and how fast, how they warm up, fail under overload and drain. It
// also models the way of a hand-off to a worker and of its callbacks back.

package fleetmodel

import (
	"fmt"
	"math"
	"slices"

	"weldmast/internal/dispatch"
)

// worker is a process that runs jobs. Jobs in slots share its cores; further jobs wait in a FIFO queue.
type worker struct {
	index       int
	id          string
	kind        int
	spec        *Kind
	site        int
	state       dispatch.WorkerState // as discovery has it
	listed      bool
	falselyGone bool    // discovery lists it as gone although it runs
	up          bool    // its process runs
	unreachable bool    // no message passes to or from it
	startTime   float64 // negative: long ago
	clockOffset float64 // error of its machine's clock
	incarnation int
	speedFactor float64
	stolenShare float64 // share of its cores that another process on the machine uses
	failureRate float64 // share of hand-offs that fail at once
	running     []*execution
	queue       []*execution
	advancedTo  float64    // time up to which the progress of running jobs is computed
	scheduleSeq uint64     // number of the present schedule; older scheduled ends are ignored
	busyCoreMs  float64    // core time used, in milliseconds
	recentWork  []sentWork // within the overload window, while cold
	undelivered []*HandOff
	finished    int  // number of jobs
	replaced    bool // another worker took its place
}

type sentWork struct{ at, cost float64 }

// execution is a job at a worker.
type execution struct {
	handOff   *HandOff
	cost      float64
	remaining float64
}

// HandOff is a hand-off that was sent.
type HandOff struct {
	ID                    string
	Dispatcher            int
	Number                int // number within its request, from 0
	Worker                string
	Tag                   any // for the driver's use
	request               *Request
	worker                *worker
	dispatcherIncarnation int // of the dispatcher at sending
	workerIncarnation     int // of the worker on arrival
	arrival               float64
	cancelled             bool // by the dispatcher
	closed                bool // the dispatcher has observed the end of its connection
}

func (m *Model) addWorker(kind, site int, startTime float64) *worker {
	w := &worker{index: len(m.workers), id: fmt.Sprintf("w%d", len(m.workers)), kind: kind, spec: &m.Experiment.Kinds[kind], site: site,
		listed: true, up: true, startTime: startTime, speedFactor: 1, advancedTo: m.now}
	m.workers = append(m.workers, w)
	m.workersByID[w.id] = w
	for _, d := range m.dispatchers {
		d.lastSentAt = append(d.lastSentAt, math.Inf(-1))
	}
	m.Checker.WorkerStarted(m.now, w.id, site, w.spec.capacity(), startTime)
	return w
}

// Workers lists all workers that ever existed, with their kinds and sites, in the order of their creation.
func (m *Model) Workers() (all []WorkerEntry) {
	for _, w := range m.workers {
		all = append(all, w.entry())
	}
	return all
}

func (w *worker) entry() WorkerEntry {
	entry := WorkerEntry{ID: w.id, Site: w.site, Kind: w.kind, State: w.state, StartTime: w.startTime, reportedStart: w.startTime}
	if w.falselyGone {
		entry.State = dispatch.Gone
	}
	// the start time comes from a wrong clock, so nobody can know the true one
	if w.startTime >= 0 && w.clockOffset != 0 {
		entry.StartTime, entry.reportedStart = max(w.startTime+w.clockOffset, 0), math.Inf(-1)
	}
	return entry
}

// warmth returns the share of its capacity that the worker has at a time.
func (m *Model) warmth(w *worker, at float64) float64 {
	if w.startTime < 0 {
		return 1
	}
	s := m.Experiment.Workers.StartCapacity
	return s + (1-s)*min(max(at-w.startTime, 0)/float64(m.Experiment.Workers.WarmUpTime), 1)
}

// speedPerJob returns the speed of each running job, without the effect of warmth.
func (w *worker) speedPerJob() float64 {
	cores := float64(w.spec.Cores) * (1 - w.stolenShare)
	return w.spec.Speed * w.speedFactor * min(1, cores/float64(max(len(w.running), 1)))
}

// advanceWorker brings the progress of a worker's running jobs up to the present.
func (m *Model) advanceWorker(w *worker) {
	if elapsed := m.now - w.advancedTo; elapsed > 0 && len(w.running) > 0 {
		integral := m.warmthIntegral(w, w.advancedTo, m.now)
		for _, e := range w.running {
			e.remaining -= integral * w.speedPerJob()
		}
		w.busyCoreMs += elapsed * min(float64(len(w.running)), float64(w.spec.Cores))
	}
	w.advancedTo = m.now
}

// warmthIntegral returns the integral of the warmth over an interval.
func (m *Model) warmthIntegral(w *worker, from, to float64) float64 {
	end := w.startTime + float64(m.Experiment.Workers.WarmUpTime)
	if w.startTime < 0 || from >= end {
		return to - from
	}
	coldEnd := min(to, end)
	return (coldEnd-from)*(m.warmth(w, from)+m.warmth(w, coldEnd))/2 + max(to-end, 0)
}

// timeForWarmth returns how long it takes from now until the integral of the warmth reaches a value.
func (m *Model) timeForWarmth(w *worker, integral float64) float64 {
	end := w.startTime + float64(m.Experiment.Workers.WarmUpTime)
	if w.startTime < 0 || m.now >= end {
		return integral
	}
	if coldIntegral := m.warmthIntegral(w, m.now, end); integral >= coldIntegral {
		return end - m.now + integral - coldIntegral
	}
	now := m.warmth(w, m.now)
	slope := (1 - m.Experiment.Workers.StartCapacity) / float64(m.Experiment.Workers.WarmUpTime)
	return 2 * integral / (now + math.Sqrt(now*now+2*slope*integral))
}

// scheduleNextEnd schedules the end of the running job that finishes first.
func (m *Model) scheduleNextEnd(w *worker) {
	w.scheduleSeq++
	if len(w.running) == 0 || !w.up {
		return
	}
	next := w.running[0]
	for _, e := range w.running {
		if e.remaining < next.remaining {
			next = e
		}
	}
	seq, speed := w.scheduleSeq, w.speedPerJob()
	if speed <= 0 {
		return
	}
	m.After(m.timeForWarmth(w, max(next.remaining, 0)/speed), func() {
		if w.scheduleSeq != seq {
			return
		}
		m.advanceWorker(w)
		next.remaining = 0
		m.finishExecution(w, next)
	})
}

// changeRate wraps every change that affects how fast a worker runs its jobs.
func (m *Model) changeRate(w *worker, apply func()) {
	m.advanceWorker(w)
	apply()
	m.scheduleNextEnd(w)
}

// HandOff is called by the driver when a dispatcher sends a hand-off, of which the first byte leaves now. The
// result comes through Driver.HandOffEnded.
func (m *Model) HandOff(n int, id, workerID string, tag any) *HandOff {
	return m.HandOffAt(m.now, n, id, workerID, tag)
}

// HandOffAt is HandOff for a driver that observes late when the first byte left.
func (m *Model) HandOffAt(leftAt float64, n int, id, workerID string, tag any) *HandOff {
	d, w, r := m.dispatchers[n], m.workersByID[workerID], m.requests[id]
	h := &HandOff{ID: id, Dispatcher: n, Worker: workerID, Tag: tag, request: r, worker: w, dispatcherIncarnation: d.incarnation, arrival: m.now}
	hint := 0.
	if r != nil {
		hint = r.Job.Hint
		h.Number = r.handOffs
		r.handOffs++
	}
	m.Checker.HandOffSent(m.now, leftAt, n, id, h.Number, workerID, hint)
	switch {
	case w == nil || r == nil:
		m.After(0, func() { m.reportResult(h, ConnectFailed) })
	case w.unreachable || m.isCut(workerPath, d, w.site):
		if m.now-d.lastSentAt[w.index] > float64(m.Experiment.Network.IdleTimeout) {
			m.After(float64(m.Experiment.Network.ConnectTimeout), func() { m.reportResult(h, ConnectFailed) })
			return h
		}
		w.undelivered = append(w.undelivered, h) // written to a connection that is still open but leads nowhere
	case !w.up:
		m.After(2*m.networkDelay(d.site, w.site), func() { m.reportResult(h, ConnectFailed) })
	default:
		d.lastSentAt[w.index] = m.now
		h.arrival = m.now + m.networkDelay(d.site, w.site)
		m.At(h.arrival, func() { m.handOffArrived(h) })
	}
	return h
}

// CancelHandOff is called by the driver when a dispatcher cancels a hand-off: the connection is closed, and a
// DELETE follows.
func (m *Model) CancelHandOff(h *HandOff) {
	if h.cancelled {
		return
	}
	h.cancelled = true
	m.Checker.HandOffCancelled(m.now, h.ID, h.Number)
	d, w := m.dispatchers[h.Dispatcher], h.worker
	if w == nil || w.unreachable || !w.up || m.isCut(workerPath, d, w.site) {
		m.After(0, func() { m.reportResult(h, Cancelled) })
		return
	}
	at := max(m.now+m.networkDelay(d.site, w.site), h.arrival)
	m.At(at, func() { m.cancelAtWorker(h) })
	if !m.Experiment.Dispatchers.SecondCopies { // the hand-off ends only when the worker has confirmed it
		at += m.networkDelay(d.site, w.site)
	}
	m.At(at, func() { m.reportResult(h, Cancelled) })
}

// cancelAtWorker removes a job from its worker.
func (m *Model) cancelAtWorker(h *HandOff) {
	w := h.worker
	for k, e := range w.queue {
		if e.handOff == h {
			w.queue = slices.Delete(w.queue, k, k+1)
			return
		}
	}
	for k, e := range w.running {
		if e.handOff == h {
			m.changeRate(w, func() { w.running = slices.Delete(w.running, k, k+1) })
			m.startQueued(w)
			return
		}
	}
}

// reportResult reports to the dispatcher what it observes on the connection of a hand-off.
func (m *Model) reportResult(h *HandOff, result HandOffResult) {
	d := m.dispatchers[h.Dispatcher]
	if !d.up || d.incarnation != h.dispatcherIncarnation || h.closed && result != Cancelled {
		return
	}
	if h.cancelled && result != Cancelled && result != ConnectFailed { // the dispatcher no longer reads from it
		return
	}
	h.closed = result != Accepted
	switch result {
	case Rejected, ConnectFailed:
		m.Checker.HandOffNotRun(m.now, h.ID, h.Number)
	case ConnectionReset, Failed:
		m.Checker.HandOffEnded(m.now, h.ID, h.Number)
	}
	m.driver.HandOffEnded(h.Dispatcher, h, result)
}

// handOffArrived runs when the last byte of a hand-off reaches its worker.
func (m *Model) handOffArrived(h *HandOff) {
	w, d := h.worker, m.dispatchers[h.Dispatcher]
	report := func(result HandOffResult) {
		if !w.unreachable && !m.isCut(workerPath, d, w.site) {
			m.After(m.networkDelay(w.site, d.site), func() { m.reportResult(h, result) })
		}
	}
	h.workerIncarnation = w.incarnation
	switch {
	case w.unreachable:
		w.undelivered = append(w.undelivered, h)
		return
	case !w.up:
		report(ConnectionReset)
		return
	case w.failureRate > 0 && m.faultRand.Float64() < w.failureRate:
		report(Failed)
		return
	case m.overloadsColdWorker(w, h): // the worker crashes under the load
		report(ConnectionReset)
		return
	case w.state != dispatch.Up || len(w.running) >= w.spec.Slots && len(w.queue) >= w.spec.QueueLimit:
		report(Rejected)
		return
	}
	cost := h.request.Job.Cost
	if h.request.Job.inTail {
		cost *= m.tailCostFactor
	}
	e := &execution{handOff: h, cost: cost, remaining: cost}
	report(Accepted)
	w.queue = append(w.queue, e)
	m.startQueued(w)
}

// overloadsColdWorker adds a hand-off to the work recently sent to a cold worker. If the sum exceeds what the
// worker withstands, the worker crashes. A single work item never causes that.
func (m *Model) overloadsColdWorker(w *worker, h *HandOff) bool {
	if w.startTime < 0 || m.now >= w.startTime+float64(m.Experiment.Workers.WarmUpTime) {
		w.recentWork = nil
		return false
	}
	window := float64(m.Experiment.Workers.OverloadWindow)
	w.recentWork = slices.DeleteFunc(w.recentWork, func(s sentWork) bool { return s.at <= m.now-window })
	w.recentWork = append(w.recentWork, sentWork{m.now, h.request.Job.Hint})
	sum := 0.
	for _, s := range w.recentWork {
		sum += s.cost
	}
	if len(w.recentWork) < 2 || sum <= 1.2*m.Experiment.Workers.OverloadMultiple*m.warmth(w, m.now)*w.spec.capacity()*window {
		return false
	}
	m.annotate("%s pushed over while cold", w.id)
	m.killWorker(w, 5000)
	return true
}

// startQueued starts queued jobs while slots are free.
func (m *Model) startQueued(w *worker) {
	if len(w.queue) == 0 || len(w.running) >= w.spec.Slots {
		return
	}
	m.changeRate(w, func() {
		for len(w.queue) > 0 && len(w.running) < w.spec.Slots {
			e := w.queue[0]
			w.queue = w.queue[1:]
			w.running = append(w.running, e)
			m.Checker.WorkItemStarted(m.now, e.handOff.ID, e.handOff.Number, e.handOff.request.Job.Number)
			if m.Experiment.Workers.ReportStart {
				m.sendCallback(w, e.handOff, Callback{ID: e.handOff.ID, From: w.id, State: "started"})
			}
			if p := float64(m.Experiment.Workers.ProgressInterval); p > 0 && e.remaining > p*w.speedPerJob()/2 {
				m.scheduleProgress(w, e, w.incarnation)
			}
		}
	})
}

// scheduleProgress reports a job's progress at intervals while it runs.
func (m *Model) scheduleProgress(w *worker, e *execution, incarnation int) {
	m.After(float64(m.Experiment.Workers.ProgressInterval), func() {
		if w.incarnation != incarnation || !w.up || !slices.Contains(w.running, e) {
			return
		}
		m.changeRate(w, func() {})
		m.sendCallback(w, e.handOff, Callback{ID: e.handOff.ID, From: w.id, State: "running", Progress: min(max(1-e.remaining/e.cost, 0), 1)})
		m.scheduleProgress(w, e, incarnation)
	})
}

func (m *Model) finishExecution(w *worker, e *execution) {
	k := slices.Index(w.running, e)
	m.changeRate(w, func() { w.running = slices.Delete(w.running, k, k+1) })
	w.finished++
	result := e.handOff.ID + " by " + w.id
	m.Checker.ResultReady(e.handOff.ID, result)
	m.sendCallback(w, e.handOff, Callback{ID: e.handOff.ID, From: w.id, State: "done", Result: result})
	m.startQueued(w)
}

// sendCallback carries a callback to the dispatcher that handed the job off, and retries while nobody
// answers.
func (m *Model) sendCallback(w *worker, h *HandOff, c Callback) {
	m.attemptCallback(w, h, c, w.incarnation, callbackAttempts)
	if m.callbackRepeatRate > 0 && m.networkRand.Float64() < m.callbackRepeatRate {
		m.After(50*m.networkRand.Float64(), func() { m.attemptCallback(w, h, c, w.incarnation, 1) })
	}
}

func (m *Model) attemptCallback(w *worker, h *HandOff, c Callback, incarnation, attempts int) {
	d := m.dispatchers[h.Dispatcher]
	retry := func() {
		if attempts > 1 {
			m.After(callbackRetryDelay, func() { m.attemptCallback(w, h, c, incarnation, attempts-1) })
		}
	}
	// a dead process reports nothing; the agent of its machine may still report a loss
	if w.unreachable || w.incarnation != incarnation && c.State != "lost" {
		return
	}
	if m.isCut(workerPath, d, w.site) {
		retry()
		return
	}
	m.After(m.networkDelay(w.site, d.site)+m.callbackMaxExtraDelay*m.networkRand.Float64(), func() {
		if !d.up {
			retry()
			return
		}
		if d.incarnation == h.dispatcherIncarnation { // the dispatcher knows it as soon as it processes the callback
			switch c.State {
			case "returned":
				m.Checker.HandOffNotRun(m.now, h.ID, h.Number)
			case "done", "failed", "lost":
				m.Checker.HandOffEnded(m.now, h.ID, h.Number)
			}
		}
		if !m.driver.Callback(h.Dispatcher, c) {
			retry()
		}
	})
}

// killWorker ends a worker's process. The agent of its machine reports the jobs lost with it. The worker
// restarts cold after a time; 0: never.
func (m *Model) killWorker(w *worker, restartAfter float64) {
	if !w.up {
		return
	}
	m.advanceWorker(w)
	if !w.unreachable {
		m.driver.WorkerStopped(w.id)
	}
	lost := append(slices.Clone(w.running), w.queue...)
	w.up = false
	w.incarnation++
	w.scheduleSeq++
	w.running, w.queue, w.recentWork = nil, nil, nil
	for _, e := range lost {
		if !w.unreachable {
			h := e.handOff
			m.After(5, func() { m.sendCallback(w, h, Callback{ID: h.ID, From: w.id, State: "lost"}) })
		}
	}
	incarnation := w.incarnation
	m.After(float64(m.Experiment.Network.DetectionDelay), func() {
		if !w.up && w.incarnation == incarnation && w.state != dispatch.Gone {
			w.state = dispatch.Gone
			m.publishChange(w)
		}
	})
	if restartAfter > 0 {
		m.After(restartAfter, func() { m.restartWorker(w) })
	}
}

// restartWorker starts a worker again, cold.
func (m *Model) restartWorker(w *worker) {
	if w.up {
		return
	}
	w.up, w.unreachable, w.state, w.startTime, w.advancedTo = true, false, dispatch.Up, m.now, m.now
	w.incarnation++
	for _, h := range w.undelivered { // earlier connections are reset
		m.After(m.networkDelay(w.site, m.dispatchers[h.Dispatcher].site), func() { m.reportResult(h, ConnectionReset) })
	}
	w.undelivered = nil
	m.driver.WorkerStarted(w.id)
	m.Checker.WorkerStarted(m.now, w.id, w.site, w.spec.capacity(), m.now)
	m.publishChange(w)
}

// loseMachine makes a worker's machine unreachable. Its jobs are lost without any report.
func (m *Model) loseMachine(w *worker, restartAfter float64) {
	if w.up {
		w.unreachable = true
		m.killWorker(w, restartAfter)
	}
}

// drainWorker makes discovery list the worker as draining. Either the worker accepts work again after the
// duration, or another worker, cold, replaces it once it is empty.
func (m *Model) drainWorker(w *worker, duration float64, replace bool) {
	if !w.up || w.state != dispatch.Up {
		return
	}
	incarnation := w.incarnation
	w.state = dispatch.Draining
	m.publishChange(w)
	if !replace {
		m.After(duration, func() {
			if w.up && w.incarnation == incarnation && w.state == dispatch.Draining {
				w.state = dispatch.Up
				m.publishChange(w)
			}
		})
		return
	}
	m.replaceWhenEmpty(w, incarnation)
}

func (m *Model) replaceWhenEmpty(w *worker, incarnation int) {
	m.After(100, func() {
		if w.incarnation != incarnation {
			return
		}
		if len(w.running)+len(w.queue) > 0 {
			m.replaceWhenEmpty(w, incarnation)
			return
		}
		w.up, w.state, w.replaced = false, dispatch.Gone, true
		w.incarnation++
		m.driver.WorkerStopped(w.id)
		m.publishChange(w)
		m.After(500, func() {
			replacement := m.addWorker(w.kind, w.site, m.now)
			m.driver.WorkerStarted(replacement.id)
			m.publishChange(replacement)
		})
	})
}

// FinishTime returns when a job of this cost would end if it reached the worker now, or infinity if it never
// would. It uses the true state, to give a bound that no dispatcher can reach.
func (m *Model) FinishTime(workerID string, cost float64) float64 {
	w := m.workersByID[workerID]
	if w == nil || !w.up || w.unreachable || w.state != dispatch.Up || len(w.running) >= w.spec.Slots && len(w.queue) >= w.spec.QueueLimit {
		return math.Inf(1)
	}
	work := cost
	for _, e := range w.queue {
		work += e.remaining
	}
	done := m.warmthIntegral(w, w.advancedTo, m.now) * w.speedPerJob()
	for _, e := range w.running {
		work += max(e.remaining-done, 0)
	}
	perJob := w.spec.Speed * w.speedFactor * m.warmth(w, m.now)
	cores := float64(w.spec.Cores) * (1 - w.stolenShare)
	free := len(w.running) < w.spec.Slots && float64(len(w.running)) < cores
	if free {
		return cost / perJob
	}
	return max(work/(perJob*cores), cost/perJob)
}
