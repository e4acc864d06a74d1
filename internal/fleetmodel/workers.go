// This file owns workers: what they run, how fast, how they warm up, fall over and drain, and the way of a hand-off to
// one and of its callbacks back.

package fleetmodel

import (
	"fmt"
	"math"
	"slices"

	"weldmast/internal/dispatch"
)

// worker is one process that runs jobs: slots at once, sharing its cores, the rest in a queue, first come first served.
type worker struct {
	n       int
	id      string
	kind    int
	k       *Kind
	site    int
	state   dispatch.WorkerState // as discovery has it
	listed  bool
	denied  bool    // discovery calls it gone, which is not so
	up      bool    // the process lives
	silent  bool    // nothing gets to it or from it
	since   float64 // its start; below 0: long ago
	clock   float64 // its machine's clock is off by so much
	life    int
	slow    float64 // factor on its speed
	taken   float64 // part of its cores that a neighbour has
	fails   float64 // share of hand-offs that it fails at once
	running []*run
	queue   []*run
	at      float64 // the running were worked on until then
	turn    uint64  // number of the present plan for the next end
	busy    float64 // core milliseconds
	sent    []spent // in the last fall window, while cold
	limbo   []*HandOff
	done    int  // jobs that it finished
	retired bool // replaced by another
}

type spent struct{ at, cost float64 }

// run is a job at a worker.
type run struct {
	h    *HandOff
	cost float64
	left float64
}

// HandOff is one on its way or out.
type HandOff struct {
	ID         string
	Dispatcher int
	Number     int // number among those of its request
	Worker     string
	Tag        any // the driver's
	t          *Request
	w          *worker
	life       int // of the dispatcher
	wlife      int // of the worker, as it arrived
	arrives    float64
	off        bool // given up by the dispatcher
	closed     bool // the dispatcher has seen its connection's end
}

func (w *Model) addWorker(kind, site int, since float64) *worker {
	x := &worker{n: len(w.workers), id: fmt.Sprintf("w%d", len(w.workers)), kind: kind, k: &w.Experiment.Kinds[kind], site: site,
		listed: true, up: true, since: since, slow: 1, at: w.now}
	w.workers = append(w.workers, x)
	w.byID[x.id] = x
	for _, d := range w.dispatchers {
		d.talked = append(d.talked, math.Inf(-1))
	}
	w.Checker.WorkerStarted(w.now, x.id, site, x.k.capacity(), since)
	return x
}

// Workers names all workers so far, with their kinds and sites, in order of their numbers.
func (w *Model) Workers() (all []WorkerEntry) {
	for _, x := range w.workers {
		all = append(all, x.member())
	}
	return all
}

func (x *worker) member() WorkerEntry {
	m := WorkerEntry{ID: x.id, Site: x.site, Kind: x.kind, State: x.state, StartTime: x.since, told: x.since}
	if x.denied {
		m.State = dispatch.Gone
	}
	if x.since >= 0 && x.clock != 0 { // by its machine's clock: nobody can know when it started
		m.StartTime, m.told = max(x.since+x.clock, 0), math.Inf(-1)
	}
	return m
}

// warmth is the part of its capacity that the worker has.
func (w *Model) warmth(x *worker, at float64) float64 {
	if x.since < 0 {
		return 1
	}
	s := w.Experiment.Workers.StartShare
	return s + (1-s)*min(max(at-x.since, 0)/float64(w.Experiment.Workers.WarmUp), 1)
}

// pace is the speed of each running job, but for the warmth.
func (x *worker) pace() float64 {
	cores := float64(x.k.Cores) * (1 - x.taken)
	return x.k.Speed * x.slow * min(1, cores/float64(max(len(x.running), 1)))
}

// work brings a worker's running jobs up to now.
func (w *Model) work(x *worker) {
	if span := w.now - x.at; span > 0 && len(x.running) > 0 {
		mean := w.warmArea(x, x.at, w.now)
		for _, r := range x.running {
			r.left -= mean * x.pace()
		}
		x.busy += span * min(float64(len(x.running)), float64(x.k.Cores))
	}
	x.at = w.now
}

// warmArea is the integral of the warmth.
func (w *Model) warmArea(x *worker, from, to float64) float64 {
	end := x.since + float64(w.Experiment.Workers.WarmUp)
	if x.since < 0 || from >= end {
		return to - from
	}
	cold := min(to, end)
	return (cold-from)*(w.warmth(x, from)+w.warmth(x, cold))/2 + max(to-end, 0)
}

// takes is how long a worker needs from now for so much of the integral of its warmth.
func (w *Model) takes(x *worker, area float64) float64 {
	end := x.since + float64(w.Experiment.Workers.WarmUp)
	if x.since < 0 || w.now >= end {
		return area
	}
	if cold := w.warmArea(x, w.now, end); area >= cold {
		return end - w.now + area - cold
	}
	now := w.warmth(x, w.now)
	grow := (1 - w.Experiment.Workers.StartShare) / float64(w.Experiment.Workers.WarmUp)
	return 2 * area / (now + math.Sqrt(now*now+2*grow*area))
}

// plan has the next end of a running job come at its time.
func (w *Model) plan(x *worker) {
	x.turn++
	if len(x.running) == 0 || !x.up {
		return
	}
	next := x.running[0]
	for _, r := range x.running {
		if r.left < next.left {
			next = r
		}
	}
	turn, pace := x.turn, x.pace()
	if pace <= 0 {
		return
	}
	w.After(w.takes(x, max(next.left, 0)/pace), func() {
		if x.turn != turn {
			return
		}
		w.work(x)
		next.left = 0
		w.finish(x, next)
	})
}

// change is called round whatever changes a worker's pace.
func (w *Model) change(x *worker, do func()) {
	w.work(x)
	do()
	w.plan(x)
}

// Send is a dispatcher's hand-off; its first byte leaves now. What comes of it goes through Port.Ended.
func (w *Model) HandOff(n int, id, workerID string, tag any) *HandOff {
	d, x, t := w.dispatchers[n], w.byID[workerID], w.tries[id]
	h := &HandOff{ID: id, Dispatcher: n, Worker: workerID, Tag: tag, t: t, w: x, life: d.life, arrives: w.now}
	hint := 0.
	if t != nil {
		hint = t.Job.Hint
		h.Number = t.sends
		t.sends++
	}
	w.Checker.HandOffSent(w.now, n, id, h.Number, workerID, hint)
	switch {
	case x == nil || t == nil:
		w.After(0, func() { w.shown(h, ConnectFailed) })
	case x.silent || w.cut(withWorkers, d, x.site):
		if w.now-d.talked[x.n] > float64(w.Experiment.Network.IdleTimeout) {
			w.After(float64(w.Experiment.Network.ConnectTimeout), func() { w.shown(h, ConnectFailed) })
			return h
		}
		x.limbo = append(x.limbo, h) // written to a connection that is still open, to nobody
	case !x.up:
		w.After(2*w.delay(d.site, x.site), func() { w.shown(h, ConnectFailed) })
	default:
		d.talked[x.n] = w.now
		h.arrives = w.now + w.delay(d.site, x.site)
		w.At(h.arrives, func() { w.arrive(h) })
	}
	return h
}

// GiveUp is a dispatcher's wish that a worker drop a hand-off: the connection is closed, and a DELETE follows.
func (w *Model) CancelHandOff(h *HandOff) {
	if h.off {
		return
	}
	h.off = true
	w.Checker.HandOffCancelled(w.now, h.ID, h.Number)
	d, x := w.dispatchers[h.Dispatcher], h.w
	if x == nil || x.silent || !x.up || w.cut(withWorkers, d, x.site) {
		w.After(0, func() { w.shown(h, Cancelled) })
		return
	}
	at := max(w.now+w.delay(d.site, x.site), h.arrives)
	w.At(at, func() { w.drop(h) })
	if !w.Experiment.Dispatchers.SecondCopies { // its end counts when the worker has said so
		at += w.delay(d.site, x.site)
	}
	w.At(at, func() { w.shown(h, Cancelled) })
}

// drop takes a job away from a worker.
func (w *Model) drop(h *HandOff) {
	x := h.w
	for k, r := range x.queue {
		if r.h == h {
			x.queue = slices.Delete(x.queue, k, k+1)
			return
		}
	}
	for k, r := range x.running {
		if r.h == h {
			w.change(x, func() { x.running = slices.Delete(x.running, k, k+1) })
			w.serve(x)
			return
		}
	}
}

// shown tells the dispatcher of a hand-off what its connection shows.
func (w *Model) shown(h *HandOff, how HandOffResult) {
	d := w.dispatchers[h.Dispatcher]
	if !d.up || d.life != h.life || h.closed && how != Cancelled {
		return
	}
	if h.off && how != Cancelled && how != ConnectFailed { // it no longer listens
		return
	}
	h.closed = how != Accepted
	switch how {
	case Rejected, ConnectFailed:
		w.Checker.HandOffNotRun(w.now, h.ID, h.Number)
	case ConnectionReset, Failed:
		w.Checker.HandOffEnded(w.now, h.ID, h.Number)
	}
	w.port.HandOffEnded(h.Dispatcher, h, how)
}

// arrive is the last byte of a hand-off at its worker.
func (w *Model) arrive(h *HandOff) {
	x, d := h.w, w.dispatchers[h.Dispatcher]
	back := func(how HandOffResult) {
		if !x.silent && !w.cut(withWorkers, d, x.site) {
			w.After(w.delay(x.site, d.site), func() { w.shown(h, how) })
		}
	}
	h.wlife = x.life
	switch {
	case x.silent:
		x.limbo = append(x.limbo, h)
		return
	case !x.up:
		back(ConnectionReset)
		return
	case x.fails > 0 && w.faultRnd.Float64() < x.fails:
		back(Failed)
		return
	case w.weigh(x, h): // pushed over
		back(ConnectionReset)
		return
	case x.state != dispatch.Up || len(x.running) >= x.k.Slots && len(x.queue) >= x.k.QueueLimit:
		back(Rejected)
		return
	}
	cost := h.t.Job.Cost
	if h.t.Job.heavy {
		cost *= w.tail
	}
	r := &run{h: h, cost: cost, left: cost}
	back(Accepted)
	x.queue = append(x.queue, r)
	w.serve(x)
}

// weigh adds up what a cold worker is sent; pushed beyond what it stands, it falls over. One work item alone never
// pushes it.
func (w *Model) weigh(x *worker, h *HandOff) bool {
	if x.since < 0 || w.now >= x.since+float64(w.Experiment.Workers.WarmUp) {
		x.sent = nil
		return false
	}
	window := float64(w.Experiment.Workers.OverloadWindow)
	x.sent = slices.DeleteFunc(x.sent, func(s spent) bool { return s.at <= w.now-window })
	x.sent = append(x.sent, spent{w.now, h.t.Job.Hint})
	sum := 0.
	for _, s := range x.sent {
		sum += s.cost
	}
	if len(x.sent) < 2 || sum <= 1.2*w.Experiment.Workers.OverloadFactor*w.warmth(x, w.now)*x.k.capacity()*window {
		return false
	}
	w.mark("%s pushed over while cold", x.id)
	w.kill(x, 5000)
	return true
}

// serve starts what has a slot.
func (w *Model) serve(x *worker) {
	if len(x.queue) == 0 || len(x.running) >= x.k.Slots {
		return
	}
	w.change(x, func() {
		for len(x.queue) > 0 && len(x.running) < x.k.Slots {
			r := x.queue[0]
			x.queue = x.queue[1:]
			x.running = append(x.running, r)
			w.Checker.JobStarted(w.now, r.h.ID, r.h.Number, r.h.t.Job.Number)
			if w.Experiment.Workers.ReportStart {
				w.call(x, r.h, Callback{ID: r.h.ID, From: x.id, State: "started"})
			}
			if p := float64(w.Experiment.Workers.ProgressInterval); p > 0 && r.left > p*x.pace()/2 {
				w.progress(x, r, x.life)
			}
		}
	})
}

// progress is told at intervals while a job runs.
func (w *Model) progress(x *worker, r *run, life int) {
	w.After(float64(w.Experiment.Workers.ProgressInterval), func() {
		if x.life != life || !x.up || !slices.Contains(x.running, r) {
			return
		}
		w.change(x, func() {})
		w.call(x, r.h, Callback{ID: r.h.ID, From: x.id, State: "running", Progress: min(max(1-r.left/r.cost, 0), 1)})
		w.progress(x, r, life)
	})
}

func (w *Model) finish(x *worker, r *run) {
	k := slices.Index(x.running, r)
	w.change(x, func() { x.running = slices.Delete(x.running, k, k+1) })
	x.done++
	result := r.h.ID + " by " + x.id
	w.Checker.JobFinished(r.h.ID, result)
	w.call(x, r.h, Callback{ID: r.h.ID, From: x.id, State: "done", Result: result})
	w.serve(x)
}

// call carries a callback to the dispatcher that handed the job off, with further tries while nobody answers.
func (w *Model) call(x *worker, h *HandOff, c Callback) {
	w.callAgain(x, h, c, x.life, callTries)
	if w.repeat > 0 && w.netRnd.Float64() < w.repeat {
		w.After(50*w.netRnd.Float64(), func() { w.callAgain(x, h, c, x.life, 1) })
	}
}

func (w *Model) callAgain(x *worker, h *HandOff, c Callback, life, tries int) {
	d := w.dispatchers[h.Dispatcher]
	again := func() {
		if tries > 1 {
			w.After(callGap, func() { w.callAgain(x, h, c, life, tries-1) })
		}
	}
	if x.silent || x.life != life && c.State != "lost" { // what died tells nothing more; its machine's agent may
		return
	}
	if w.cut(withWorkers, d, x.site) {
		again()
		return
	}
	w.After(w.delay(x.site, d.site)+w.backLate*w.netRnd.Float64(), func() {
		if !d.up {
			again()
			return
		}
		if d.life == h.life { // it knows as it acts on it
			switch c.State {
			case "returned":
				w.Checker.HandOffNotRun(w.now, h.ID, h.Number)
			case "done", "failed", "lost":
				w.Checker.HandOffEnded(w.now, h.ID, h.Number)
			}
		}
		if !w.port.Callback(h.Dispatcher, c) {
			again()
		}
	})
}

// kill ends a worker's process; the agent of its machine tells what was lost with it. It is back, cold, after a time;
// 0: never.
func (w *Model) kill(x *worker, back float64) {
	if !x.up {
		return
	}
	w.work(x)
	if !x.silent {
		w.port.WorkerStopped(x.id)
	}
	lost := append(slices.Clone(x.running), x.queue...)
	x.up = false
	x.life++
	x.turn++
	x.running, x.queue, x.sent = nil, nil, nil
	for _, r := range lost {
		if !x.silent {
			h := r.h
			w.After(5, func() { w.call(x, h, Callback{ID: h.ID, From: x.id, State: "lost"}) })
		}
	}
	life := x.life
	w.After(float64(w.Experiment.Network.DetectionDelay), func() {
		if !x.up && x.life == life && x.state != dispatch.Gone {
			x.state = dispatch.Gone
			w.changed(x)
		}
	})
	if back > 0 {
		w.After(back, func() { w.revive(x) })
	}
}

// revive brings a worker back, cold.
func (w *Model) revive(x *worker) {
	if x.up {
		return
	}
	x.up, x.silent, x.state, x.since, x.at = true, false, dispatch.Up, w.now, w.now
	x.life++
	for _, h := range x.limbo { // connections from before are reset
		w.After(w.delay(x.site, w.dispatchers[h.Dispatcher].site), func() { w.shown(h, ConnectionReset) })
	}
	x.limbo = nil
	w.port.WorkerStarted(x.id)
	w.Checker.WorkerStarted(w.now, x.id, x.site, x.k.capacity(), w.now)
	w.changed(x)
}

// vanish makes a worker's machine silent; what it had is lost without a word.
func (w *Model) vanish(x *worker, back float64) {
	if x.up {
		x.silent = true
		w.kill(x, back)
	}
}

// drain has discovery say that the worker wants nothing new. After a time it wants work again, or is replaced once it
// is empty by another, cold.
func (w *Model) drain(x *worker, span float64, replace bool) {
	if !x.up || x.state != dispatch.Up {
		return
	}
	life := x.life
	x.state = dispatch.Draining
	w.changed(x)
	if !replace {
		w.After(span, func() {
			if x.up && x.life == life && x.state == dispatch.Draining {
				x.state = dispatch.Up
				w.changed(x)
			}
		})
		return
	}
	w.emptied(x, life)
}

func (w *Model) emptied(x *worker, life int) {
	w.After(100, func() {
		if x.life != life {
			return
		}
		if len(x.running)+len(x.queue) > 0 {
			w.emptied(x, life)
			return
		}
		x.up, x.state, x.retired = false, dispatch.Gone, true
		x.life++
		w.port.WorkerStopped(x.id)
		w.changed(x)
		w.After(500, func() {
			y := w.addWorker(x.kind, x.site, w.now)
			w.port.WorkerStarted(y.id)
			w.changed(y)
		})
	})
}

// Finish is when a job of that cost would end if it reached the worker now; infinite: never. It is the truth, for the
// bound that no dispatcher can reach.
func (w *Model) FinishTime(id string, cost float64) float64 {
	x := w.byID[id]
	if x == nil || !x.up || x.silent || x.state != dispatch.Up || len(x.running) >= x.k.Slots && len(x.queue) >= x.k.QueueLimit {
		return math.Inf(1)
	}
	left := cost
	for _, r := range x.queue {
		left += r.left
	}
	done := w.warmArea(x, x.at, w.now) * x.pace()
	for _, r := range x.running {
		left += max(r.left-done, 0)
	}
	each := x.k.Speed * x.slow * w.warmth(x, w.now)
	cores := float64(x.k.Cores) * (1 - x.taken)
	free := len(x.running) < x.k.Slots && float64(len(x.running)) < cores
	if free {
		return cost / each
	}
	return max(left/(each*cores), cost/each)
}
