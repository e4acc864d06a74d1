// This file models clients: what they send, when they send it, and how they react to answers.

package fleetmodel

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is how a job ended from its client's point of view.
type Outcome int

// The outcomes.
const (
	Waiting        Outcome = iota
	Finished               // answered with its result
	Deferred               // told to retry later, and did not retry or may not any more
	WrittenOff             // told that it failed
	ConnectionLost         // its connection ended without an answer
	Unanswered             // no answer by its deadline plus a margin
	ClientLeft             // the client closed its connection by its own choice
	NoDispatcher           // no dispatcher could be reached
)

// String returns the outcome as results and reports show it.
func (o Outcome) String() string {
	return [...]string{"waiting", "finished", "deferred", "written off", "lost", "unanswered", "left", "refused"}[o]
}

// Outcomes are all outcomes that a job can end with.
var Outcomes = []Outcome{Finished, Deferred, WrittenOff, ConnectionLost, Unanswered, ClientLeft, NoDispatcher}

// Job is one piece of work that a client wants done. It takes one request or several.
type Job struct {
	Number   int
	Category int
	Tenant   int // -1: none
	Site     int
	Arrival  float64 // when the client wanted it
	Cost     float64
	Hint     float64 // estimated cost; 0: none
	Outcome  Outcome
	End      float64 // when the client learned the outcome
	Requests int
	Worker   string // the worker that finished it
	Kind     int    // the kind of Worker; -1: none
	inTail   bool   // belongs to the tenth whose cost a tail fault multiplies
	leftAt   float64
}

// InTime reports whether the job finished by its due time.
func (x *Experiment) InTime(j *Job) bool {
	c := &x.Categories[j.Category]
	due := float64(c.DueTime) + c.DueStretch*j.Hint
	return j.Outcome == Finished && j.End-j.Arrival <= max(min(due, float64(c.Expiry)), 0)
}

// Request is one request of a client for a job.
type Request struct {
	ID          string
	Job         *Job
	Dispatcher  int
	Deadline    float64 // when its client stops waiting
	Retry       bool    // a further request for the same job
	handOffs    int
	finished    bool
	incarnation int
}

// costSampler returns a function that samples costs from the category's distribution.
func (c *Category) costSampler() func(*rand.Rand) float64 {
	mean := float64(c.MeanCost)
	capped := func(sample func(*rand.Rand) float64) func(*rand.Rand) float64 {
		return func(r *rand.Rand) float64 { return min(sample(r), c.MaxCostFactor*mean) }
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

// scheduleArrival schedules the arrival that follows one at time from. All random numbers of arrivals are
// drawn here and in createJob, in a fixed order, so that a seed always sends the same work, whatever the
// dispatchers do.
func (m *Model) scheduleArrival(from float64) {
	factor, shares := 0., 0.
	for k, tenant := range m.Experiment.Tenants {
		factor += tenant.Share * m.tenantRateFactors[k]
		shares += tenant.Share
	}
	if shares == 0 {
		factor, shares = 1, 1
	}
	gap := 1000 / (m.Experiment.ArrivalRate() * factor / shares)
	if m.Experiment.Arrivals.Spacing == "poisson" {
		gap *= m.arrivalRand.ExpFloat64()
	}
	at := from + gap
	m.At(at, func() {
		if !m.arrivalsEnded {
			m.createJob(at)
			m.scheduleArrival(at)
		}
	})
}

func (m *Model) createJob(at float64) {
	rnd := m.arrivalRand
	j := &Job{Number: len(m.Jobs), Category: pickWeighted(rnd, len(m.Experiment.Categories), func(k int) float64 { return m.Experiment.Categories[k].Share }),
		Tenant: -1, Site: rnd.IntN(m.Experiment.Workers.Sites), Arrival: at, Kind: -1}
	c := &m.Experiment.Categories[j.Category]
	if len(m.Experiment.Tenants) > 0 {
		j.Tenant = pickWeighted(rnd, len(m.Experiment.Tenants), func(k int) float64 { return m.Experiment.Tenants[k].Share * m.tenantRateFactors[k] })
	}
	j.Cost = m.costSamplers[j.Category](rnd)
	j.Hint = j.Cost
	if c.HintSigma > 0 {
		j.Hint *= math.Exp(c.HintSigma * rnd.NormFloat64())
	}
	if rnd.Float64() < c.NoHintShare {
		j.Hint = 0
	}
	j.inTail = rnd.Float64() < 0.1
	leave, when := rnd.Float64() < m.Experiment.Clients.LeaveShare, rnd.Float64()
	m.Jobs = append(m.Jobs, j)
	m.openJobs++
	if leave {
		m.At(at+when*float64(c.Expiry), func() { j.leftAt = m.now })
	}
	m.sendRequest(j)
}

// pickWeighted samples an index by weight.
func pickWeighted(rnd *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.
	for k := range n {
		sum += weight(k)
	}
	x := rnd.Float64() * sum
	for k := range n {
		if x -= weight(k); x < 0 {
			return k
		}
	}
	return n - 1
}

// sendRequest sends a client's next request to a random dispatcher of its site that is in rotation, or to one
// of another site if its own has none.
func (m *Model) sendRequest(j *Job) {
	category := &m.Experiment.Categories[j.Category]
	remaining := j.Arrival + float64(category.Expiry) - m.now
	if remaining < 0 || remaining == 0 && category.Expiry > 0 {
		m.finishJob(j, Unanswered)
		return
	}
	j.Requests++
	var near, far []*dispatcher
	for _, d := range m.dispatchers {
		switch {
		case !d.inRotation:
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
		m.retryOrFinish(j, 0, NoDispatcher)
		return
	}
	d := near[m.clientRand.IntN(len(near))]
	m.requestCount++
	r := &Request{ID: fmt.Sprintf("%016x", m.idBase+m.requestCount*0x9e3779b97f4a7c15), Job: j, Dispatcher: d.index, Deadline: m.now + remaining,
		Retry: j.Requests > 1}
	m.requests[r.ID] = r
	cut := m.isCut(clientPath, d, j.Site)
	if !cut {
		m.After(m.networkDelay(j.Site, d.site), func() { m.deliverRequest(d, r) })
	}
	m.At(r.Deadline+float64(m.Experiment.Dispatchers.AnswerSlack)+100, func() { // longer than any answer may take
		if !r.finished {
			m.abandonRequest(r)
			m.finishJob(j, Unanswered)
		}
	})
	if m.Experiment.Clients.LeaveShare > 0 {
		m.pollClientLeft(r)
	}
}

func (m *Model) pollClientLeft(r *Request) {
	m.After(20, func() {
		switch {
		case r.finished:
		case r.Job.leftAt > 0:
			m.abandonRequest(r)
			m.finishJob(r.Job, ClientLeft)
		default:
			m.pollClientLeft(r)
		}
	})
}

// deliverRequest runs when the last byte of a request reaches its dispatcher.
func (m *Model) deliverRequest(d *dispatcher, r *Request) {
	if r.finished {
		return
	}
	if !d.up { // connection refused: no process received the request
		m.After(m.networkDelay(d.site, r.Job.Site), func() {
			if !r.finished {
				r.finished = true
				m.retryOrFinish(r.Job, 0, NoDispatcher)
			}
		})
		return
	}
	r.incarnation = d.incarnation
	d.openRequests[r.ID] = r
	d.arrivalOrder = append(d.arrivalOrder, r.ID)
	if len(d.arrivalOrder) > 2*len(d.openRequests)+64 { // drop the IDs of answered requests
		order := d.arrivalOrder[:0]
		for _, id := range d.arrivalOrder {
			if d.openRequests[id] != nil {
				order = append(order, id)
			}
		}
		d.arrivalOrder = order
	}
	m.Checker.RequestReceived(m.now, d.index, r.ID, r.Job.Category, r.Job.Number, r.Deadline)
	m.driver.RequestArrived(d.index, r)
}

// abandonRequest closes the connection of a request that has no answer yet.
func (m *Model) abandonRequest(r *Request) {
	r.finished = true
	d := m.dispatchers[r.Dispatcher]
	m.After(m.networkDelay(r.Job.Site, d.site), func() {
		if d.openRequests[r.ID] == nil || d.incarnation != r.incarnation {
			return
		}
		delete(d.openRequests, r.ID)
		m.Checker.ClientLeft(m.now, r.ID)
		m.driver.ClientLeft(d.index, r)
	})
}

// ConnectionBroken is called by the driver when a client's connection ended without a complete answer. If
// refused is set, the connection never came up and no dispatcher received the request. Otherwise the request
// is lost, and the checker reports a violation unless the dispatcher's process has died.
func (m *Model) ConnectionBroken(r *Request, refused bool) {
	d := m.dispatchers[r.Dispatcher]
	if d.openRequests[r.ID] != nil {
		delete(d.openRequests, r.ID)
	}
	if !refused {
		m.connectionFailed(r)
		return
	}
	m.Checker.RequestNotReceived(r.ID)
	if !r.finished {
		r.finished = true
		m.retryOrFinish(r.Job, 0, NoDispatcher)
	}
}

// Status is the kind of a dispatcher's answer.
type Status int

// The statuses: 200, 429 or 503, and any other.
const (
	Served Status = iota
	RetryLater
	OtherStatus
)

// Answer is called by the driver when the last byte of a dispatcher's answer leaves. The pause is the advised
// time before a retry, 0 for no advice.
func (m *Model) Answer(n int, id string, s Status, body string, pause float64) {
	m.AnswerAt(m.now, n, id, s, body, pause)
}

// AnswerAt is Answer for a driver that observes late when the last byte left.
func (m *Model) AnswerAt(leftAt float64, n int, id string, s Status, body string, pause float64) {
	d := m.dispatchers[n]
	r := m.requests[id]
	m.Checker.Answered(m.now, leftAt, id, s == Served, s == RetryLater, body)
	if r == nil || d.openRequests[id] == nil {
		return
	}
	delete(d.openRequests, id)
	if m.isCut(clientPath, d, r.Job.Site) {
		return
	}
	m.After(m.networkDelay(d.site, r.Job.Site), func() { m.receiveAnswer(r, s, body, pause) })
}

func (m *Model) receiveAnswer(r *Request, s Status, body string, pause float64) {
	if r.finished {
		return
	}
	r.finished = true
	j := r.Job
	switch s {
	case Served:
		j.Worker = workerFromBody(body)
		if w := m.workersByID[j.Worker]; w != nil {
			j.Kind = w.kind
		}
		m.finishJob(j, Finished)
	case RetryLater:
		m.retryOrFinish(j, pause, Deferred)
	default:
		m.handleUncertain(j, WrittenOff)
	}
}

func workerFromBody(body string) string {
	for k := len(body) - 1; k >= 0; k-- {
		if body[k] == ' ' {
			return body[k+1:]
		}
	}
	return ""
}

// connectionFailed handles a connection that ended without an answer.
func (m *Model) connectionFailed(r *Request) {
	if r.finished {
		return
	}
	r.finished = true
	m.handleUncertain(r.Job, ConnectionLost)
}

// handleUncertain handles a job that may have had its effect: it is requested again only if it may be
// repeated.
func (m *Model) handleUncertain(j *Job, outcome Outcome) {
	if c := &m.Experiment.Categories[j.Category]; c.RepeatPolicy == "rerunnable" || c.RepeatPolicy == "ticketed" && c.DedupScope == "all" {
		m.retryOrFinish(j, 0, outcome)
	} else {
		m.finishJob(j, outcome)
	}
}

// retryOrFinish sends a further request after the pause, or ends the job with the outcome.
func (m *Model) retryOrFinish(j *Job, pause float64, outcome Outcome) {
	if j.Requests > m.Experiment.Clients.MaxRetries {
		m.finishJob(j, outcome)
		return
	}
	if pause <= 0 || !m.Experiment.Dispatchers.HonorRetryAfter {
		pause = float64(m.Experiment.Clients.Backoff) * (0.5 + m.clientRand.Float64())
	}
	if m.now+pause >= j.Arrival+float64(m.Experiment.Categories[j.Category].Expiry) {
		m.finishJob(j, outcome)
		return
	}
	m.After(pause, func() { m.sendRequest(j) })
}

func (m *Model) finishJob(j *Job, outcome Outcome) {
	if j.Outcome == Waiting {
		j.Outcome, j.End = outcome, m.now
		m.openJobs--
	}
}
