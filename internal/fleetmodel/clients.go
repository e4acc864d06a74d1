// This file owns clients: what they send, when, and what they make of answers.

package fleetmodel

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is how a client's wish ended for it.
type Outcome int

// The outcomes.
const (
	Waiting        Outcome = iota
	Finished               // answered with its result
	Deferred               // told to come again, and did not or no longer
	WrittenOff             // told that it failed
	ConnectionLost         // its connection ended without an answer
	Unanswered             // no answer by its deadline and some more
	ClientLeft             // went away of its own accord
	NoDispatcher           // found no dispatcher at all
)

func (o Outcome) String() string {
	return [...]string{"waiting", "finished", "deferred", "written off", "lost", "unanswered", "left", "refused"}[o]
}

// Outcomes are all that a wish can end with.
var Outcomes = []Outcome{Finished, Deferred, WrittenOff, ConnectionLost, Unanswered, ClientLeft, NoDispatcher}

// Job is what one client wants, by one request or several.
type Job struct {
	Number   int
	Category int
	Tenant   int // -1: none
	Site     int
	Arrival  float64 // when it wanted it
	Cost     float64
	Hint     float64 // 0: none
	Outcome  Outcome
	End      float64 // when the client knew
	Requests int
	Worker   string // that finished it
	Kind     int    // of that; -1: none
	heavy    bool   // among those that a tail makes heavier
	leaves   float64
}

// InTime tells whether it was answered by its due time.
func (x *Experiment) InTime(j *Job) bool {
	c := &x.Categories[j.Category]
	due := float64(c.DueTime) + c.DuePerHint*j.Hint
	return j.Outcome == Finished && j.End-j.Arrival <= max(min(due, float64(c.Expiry)), 0)
}

// Try is one request.
type Request struct {
	ID         string
	Job        *Job
	Dispatcher int
	Deadline   float64 // when its client stops waiting
	Retry      bool    // marked as a retry
	sends      int
	over       bool
	life       int
}

// law draws costs of a category.
func (c *Category) law() func(*rand.Rand) float64 {
	mean := float64(c.MeanCost)
	capped := func(draw func(*rand.Rand) float64) func(*rand.Rand) float64 {
		return func(r *rand.Rand) float64 { return min(draw(r), c.MaxCostFactor*mean) }
	}
	switch c.Distribution {
	case "fixed":
		return func(*rand.Rand) float64 { return mean }
	case "pareto":
		return capped(func(r *rand.Rand) float64 {
			return distuv.Pareto{Xm: mean * (c.Shape - 1) / c.Shape, Alpha: c.Shape, Src: r}.Rand()
		})
	case "lognormal":
		return capped(func(r *rand.Rand) float64 {
			return distuv.LogNormal{Mu: math.Log(mean) - c.Shape*c.Shape/2, Sigma: c.Shape, Src: r}.Rand()
		})
	}
	return capped(func(r *rand.Rand) float64 { return distuv.Exponential{Rate: 1 / mean, Src: r}.Rand() })
}

// nextArrival plans the arrival after the one at a time. All draws of arrivals stand here and in arrival, in their
// order, so that the same seed sends the same work whatever dispatchers do.
func (w *Model) nextArrival(from float64) {
	factor, shares := 0., 0.
	for k, t := range w.Experiment.Tenants {
		factor += t.Share * w.bursts[k]
		shares += t.Share
	}
	if shares == 0 {
		factor, shares = 1, 1
	}
	gap := 1000 / (w.Experiment.ArrivalRate() * factor / shares)
	if w.Experiment.Arrivals.Spacing == "poisson" {
		gap *= w.arrivals.ExpFloat64()
	}
	at := from + gap
	w.At(at, func() {
		if !w.closed {
			w.arrival(at)
			w.nextArrival(at)
		}
	})
}

func (w *Model) arrival(at float64) {
	r := w.arrivals
	j := &Job{Number: len(w.Jobs), Category: pick(r, len(w.Experiment.Categories), func(k int) float64 { return w.Experiment.Categories[k].Share }),
		Tenant: -1, Site: r.IntN(w.Experiment.Workers.Sites), Arrival: at, Kind: -1}
	c := &w.Experiment.Categories[j.Category]
	if len(w.Experiment.Tenants) > 0 {
		j.Tenant = pick(r, len(w.Experiment.Tenants), func(k int) float64 { return w.Experiment.Tenants[k].Share * w.bursts[k] })
	}
	j.Cost = w.laws[j.Category](r)
	j.Hint = j.Cost
	if c.HintSigma > 0 {
		j.Hint *= math.Exp(c.HintSigma * r.NormFloat64())
	}
	if r.Float64() < c.NoHintShare {
		j.Hint = 0
	}
	j.heavy = r.Float64() < 0.1
	leave, when := r.Float64() < w.Experiment.Clients.LeaveShare, r.Float64()
	w.Jobs = append(w.Jobs, j)
	w.openJobs++
	if leave {
		w.At(at+when*float64(c.Expiry), func() { j.leaves = w.now })
	}
	w.submit(j)
}

// pick draws a position by weights.
func pick(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.
	for k := range n {
		sum += weight(k)
	}
	x := r.Float64() * sum
	for k := range n {
		if x -= weight(k); x < 0 {
			return k
		}
	}
	return n - 1
}

// submit sends a client's next request, to a dispatcher of its site that its front deals out.
func (w *Model) submit(j *Job) {
	c := &w.Experiment.Categories[j.Category]
	left := j.Arrival + float64(c.Expiry) - w.now
	if left < 0 || left == 0 && c.Expiry > 0 {
		w.over(j, Unanswered)
		return
	}
	j.Requests++
	var near, far []*dispatcher
	for _, d := range w.dispatchers {
		switch {
		case !d.noticed:
		case d.site == j.Site:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		w.retry(j, 0, NoDispatcher)
		return
	}
	d := near[w.clientRnd.IntN(len(near))]
	w.nextTry++
	t := &Request{ID: fmt.Sprintf("%016x", w.ids+w.nextTry*0x9e3779b97f4a7c15), Job: j, Dispatcher: d.n, Deadline: w.now + left,
		Retry: j.Requests > 1}
	w.tries[t.ID] = t
	cut := w.cut(withClients, d, j.Site)
	if !cut {
		w.After(w.delay(j.Site, d.site), func() { w.request(d, t) })
	}
	w.At(t.Deadline+float64(w.Experiment.Dispatchers.AnswerSlack)+100, func() { // more than any answer may need
		if !t.over {
			w.leave(t)
			w.over(j, Unanswered)
		}
	})
	if w.Experiment.Clients.LeaveShare > 0 {
		w.watchLeaving(t)
	}
}

func (w *Model) watchLeaving(t *Request) {
	w.After(20, func() {
		switch {
		case t.over:
		case t.Job.leaves > 0:
			w.leave(t)
			w.over(t.Job, ClientLeft)
		default:
			w.watchLeaving(t)
		}
	})
}

// request is the last byte of one at its dispatcher.
func (w *Model) request(d *dispatcher, t *Request) {
	if t.over {
		return
	}
	if !d.up { // refused: nobody has taken it
		w.After(w.delay(d.site, t.Job.Site), func() {
			if !t.over {
				t.over = true
				w.retry(t.Job, 0, NoDispatcher)
			}
		})
		return
	}
	t.life = d.life
	d.open[t.ID] = t
	d.order = append(d.order, t.ID)
	if len(d.order) > 2*len(d.open)+64 { // forget those that were answered
		kept := d.order[:0]
		for _, id := range d.order {
			if d.open[id] != nil {
				kept = append(kept, id)
			}
		}
		d.order = kept
	}
	w.Checker.RequestReceived(w.now, d.n, t.ID, t.Job.Category, t.Job.Number, t.Deadline)
	w.port.RequestArrived(d.n, t)
}

// leave closes the connection of a request that was not answered.
func (w *Model) leave(t *Request) {
	t.over = true
	d := w.dispatchers[t.Dispatcher]
	w.After(w.delay(t.Job.Site, d.site), func() {
		if d.open[t.ID] == nil || d.life != t.life {
			return
		}
		delete(d.open, t.ID)
		w.Checker.ClientLeft(w.now, t.ID)
		w.port.ClientLeft(d.n, t)
	})
}

// Broke is called by the driver when a client's connection ended without a whole answer. Refused: it never came up, so
// nobody has taken the request. Else it is lost, and the audit will say so unless the dispatcher's process has died.
func (w *Model) ConnectionBroken(t *Request, refused bool) {
	d := w.dispatchers[t.Dispatcher]
	if d.open[t.ID] != nil {
		delete(d.open, t.ID)
	}
	if !refused {
		w.failed(t)
		return
	}
	w.Checker.RequestNotReceived(t.ID)
	if !t.over {
		t.over = true
		w.retry(t.Job, 0, NoDispatcher)
	}
}

// Status is what a dispatcher answers.
type Status int

// The statuses: 200, 429 or 503, and any other.
const (
	Served Status = iota
	RetryLater
	OtherStatus
)

// Answer is a dispatcher's answer to a request, as its last byte leaves. A pause of 0 is no advice.
func (w *Model) Answer(n int, id string, s Status, body string, pause float64) {
	d := w.dispatchers[n]
	t := w.tries[id]
	w.Checker.Answered(w.now, id, s == Served, s == RetryLater, body)
	if t == nil || d.open[id] == nil {
		return
	}
	delete(d.open, id)
	if w.cut(withClients, d, t.Job.Site) {
		return
	}
	w.After(w.delay(d.site, t.Job.Site), func() { w.answered(t, s, body, pause) })
}

func (w *Model) answered(t *Request, s Status, body string, pause float64) {
	if t.over {
		return
	}
	t.over = true
	j := t.Job
	switch s {
	case Served:
		j.Worker = workerOf(body)
		if x := w.byID[j.Worker]; x != nil {
			j.Kind = x.kind
		}
		w.over(j, Finished)
	case RetryLater:
		w.retry(j, pause, Deferred)
	default:
		w.unsure(j, WrittenOff)
	}
}

func workerOf(body string) string {
	for k := len(body) - 1; k >= 0; k-- {
		if body[k] == ' ' {
			return body[k+1:]
		}
	}
	return ""
}

// failed is a connection that ended without an answer.
func (w *Model) failed(t *Request) {
	if t.over {
		return
	}
	t.over = true
	w.unsure(t.Job, ConnectionLost)
}

// unsure is a wish that may have had its effect: only what may be repeated is asked for again.
func (w *Model) unsure(j *Job, o Outcome) {
	if c := &w.Experiment.Categories[j.Category]; c.Repeat == "rerunnable" || c.Repeat == "ticketed" && c.Group == "all" {
		w.retry(j, 0, o)
	} else {
		w.over(j, o)
	}
}

// retry sends a further request after a time, or ends with the outcome.
func (w *Model) retry(j *Job, pause float64, o Outcome) {
	if j.Requests > w.Experiment.Clients.MaxRetries {
		w.over(j, o)
		return
	}
	if pause <= 0 || !w.Experiment.Dispatchers.HonorPauses {
		pause = float64(w.Experiment.Clients.Backoff) * (0.5 + w.clientRnd.Float64())
	}
	if w.now+pause >= j.Arrival+float64(w.Experiment.Categories[j.Category].Expiry) {
		w.over(j, o)
		return
	}
	w.After(pause, func() { w.submit(j) })
}

func (w *Model) over(j *Job, o Outcome) {
	if j.Outcome == Waiting {
		j.Outcome, j.End = o, w.now
		w.openJobs--
	}
}
