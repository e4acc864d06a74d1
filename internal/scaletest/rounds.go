// This file measures the time of a dispatch round by the number of known workers. It runs the dispatcher's
// decisions alone, in the current process, without sockets.

package scaletest

import (
	"fmt"
	"slices"
	"time"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleetmodel"
)

// roundHarness is the inbox and the output of a dispatcher whose rounds are timed.
type roundHarness struct {
	input func(dispatch.EventHandler)
	sent  []uint64 // handed off in the current round
}

func (r *roundHarness) Deliver(to dispatch.EventHandler) {
	if r.input != nil {
		r.input(to)
	}
}

func (r *roundHarness) HandOff(wi uint64, _ string, _ float64) { r.sent = append(r.sent, wi) }
func (r *roundHarness) Cancel(uint64, int)                     {}
func (r *roundHarness) Defer(uint64, float64)                  {}
func (r *roundHarness) WriteOff(uint64)                        {}
func (r *roundHarness) SetTimer(uint64, float64)               {}
func (r *roundHarness) WatchDiscovery(bool)                    {}
func (r *roundHarness) SendToPeer(int, []byte)                 {}

// timedRounds is how many rounds of each type are timed in each repetition; batchSize is how many jobs arrive
// at once in the rounds of the type Batch.
const (
	timedRounds = 400
	repetitions = 7
	batchSize   = 100
)

// Rounds are mean times of a round in milliseconds, each the median over the repetitions.
type Rounds struct {
	Idle  float64 `json:"round_idle_ms,omitempty"`  // no input
	Start float64 `json:"round_start_ms,omitempty"` // one job arrives and is handed off, and one other job ends
	// Batch is like Start with 100 jobs at once. It needs at least twice as many workers.
	Batch float64 `json:"round_batch_ms,omitempty"`
	// Change is like Start, with a change of the worker list: a worker drains or is up again.
	Change float64 `json:"round_change_ms,omitempty"`
}

func (t Rounds) text() string {
	return fmt.Sprintf("%.4f ms with nothing, %.4f ms with a job, %.4f ms with %d at once, %.4f ms with a job and a change of the list", t.Idle, t.Start, t.Batch, batchSize, t.Change)
}

// timeRounds times the rounds of a dispatcher that knows the given number of workers, and returns the median
// over several repetitions, each with a new dispatcher. The system and the garbage collector place memory
// differently in each repetition, and the placement lasts until its end.
func timeRounds(workers int) (t Rounds, err error) {
	var all [4][]float64
	for range repetitions {
		p, err := timeRoundsOnce(workers)
		if err != nil {
			return t, err
		}
		for k, x := range []float64{p.Idle, p.Start, p.Batch, p.Change} {
			all[k] = append(all[k], x)
		}
	}
	for k, to := range []*float64{&t.Idle, &t.Start, &t.Batch, &t.Change} {
		slices.Sort(all[k])
		*to = all[k][repetitions/2]
	}
	return t, nil
}

// timeRoundsOnce is one repetition.
func timeRoundsOnce(workers int) (t Rounds, err error) {
	x, err := fleetmodel.ParseExperiment("base", []byte(baseExperiment))
	if err != nil {
		panic(err) // the text is a constant of the package
	}
	s, err := x.DispatchSettings(0, 1)
	if err != nil {
		return t, fmt.Errorf("scale: %w", err)
	}
	d, r, now := dispatch.New(s), &roundHarness{}, 1e6
	round := func(input func(dispatch.EventHandler)) float64 {
		now += 5
		r.input = input
		began := time.Now()
		d.Round(now, r, r)
		return float64(time.Since(began)) / 1e6
	}
	entries := make([]dispatch.Entry, workers)
	for w := range entries {
		entries[w] = dispatch.Entry{Worker: workerName(w)}
	}
	round(func(to dispatch.EventHandler) { to.Listed(dispatch.ListComplete, entries) })
	jobs, handedOff := uint64(0), 0
	workRound := func(n int, extra func(dispatch.EventHandler)) float64 {
		finished := r.sent
		r.sent = nil
		took := round(func(to dispatch.EventHandler) {
			for _, wi := range finished {
				to.HandOffProgressed(wi, 0, true, 0)
				to.HandOffEnded(dispatch.HandOffResult{WI: wi, Outcome: dispatch.Finished, Elapsed: 10, Final: true, Load: dispatch.UnknownLoad})
			}
			if extra != nil {
				extra(to)
			}
			for range n {
				jobs++
				to.Arrived(dispatch.WorkItem{ID: jobs, Tenant: -1, TimeLeft: 5000, Hint: 20})
			}
		})
		handedOff += len(r.sent)
		return took
	}
	for range timedRounds {
		t.Idle += round(nil) / timedRounds
		t.Start += workRound(1, nil) / timedRounds
	}
	for k := range timedRounds {
		e := entries[k/2%workers]
		if e.State = dispatch.Draining; k%2 == 1 {
			e.State = dispatch.Up
		}
		t.Change += workRound(1, func(to dispatch.EventHandler) { to.Listed(dispatch.ListChanges, []dispatch.Entry{e}) }) / timedRounds
	}
	for range timedRounds / batchSize * b2i(workers >= 2*batchSize) { // fewer workers could not take a batch
		t.Batch += workRound(batchSize, nil) / (timedRounds / batchSize)
	}
	if handedOff < int(jobs)*9/10 {
		return t, fmt.Errorf("%w: %d of %d jobs were handed off by a dispatcher that knows %d workers", ErrVoid, handedOff, jobs, workers)
	}
	return t, nil
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// measureRounds is the series over known workers that measures the decisions alone.
func (u *run) measureRounds(res *Result) error {
	for _, n := range u.plan.Workers {
		began := time.Now()
		t, err := timeRounds(n)
		if err != nil {
			return err
		}
		res.Points = append(res.Points, Point{Series: "rounds", Size: n, Seconds: time.Since(began).Seconds(), Rounds: t})
		u.progress("rounds, %d workers known: %s", n, t.text())
	}
	return nil
}
