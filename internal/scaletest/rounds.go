// This file owns the time of a round by workers known: the dispatcher's decisions alone, in this process, without a socket.

package scaletest

import (
	"fmt"
	"slices"
	"time"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleetmodel"
)

// rounder is the inbox and the writer of a dispatcher that is timed.
type roundHarness struct {
	input func(dispatch.EventHandler)
	sent  []uint64 // handed off in this round
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

// timedRounds is how many of each are timed in each of so many plays, and batch how many jobs come at once in some.
const (
	timedRounds = 400
	repetitions = 7
	batchSize   = 100
)

// Rounds are mean times of rounds, in milliseconds, each the median of several plays.
type Rounds struct {
	Idle   float64 `json:"round_idle_ms,omitempty"`   // nothing came in
	Start  float64 `json:"round_start_ms,omitempty"`  // it takes in a job, sends it, and has the end of another
	Batch  float64 `json:"round_batch_ms,omitempty"`  // the same with 100 jobs at once, where there are twice as many workers
	Change float64 `json:"round_change_ms,omitempty"` // the same as with one, and the list changes: a worker drains or is back
}

func (t Rounds) text() string {
	return fmt.Sprintf("%.4f ms with nothing, %.4f ms with a job, %.4f ms with %d at once, %.4f ms with a job and a change of the list", t.Idle, t.Start, t.Batch, batchSize, t.Change)
}

// timeRounds times them for a dispatcher that knows so many workers: of several plays, each by a dispatcher of its own, the
// median. Where the system and the collector put things differs from play to play, and stays for the whole of one.
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

// playRounds is one play.
func timeRoundsOnce(workers int) (t Rounds, err error) {
	x, err := fleetmodel.ParseExperiment("base", []byte(baseExperiment))
	if err != nil {
		panic(err) // the text is our own
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
	for range timedRounds / batchSize * b2i(workers >= 2*batchSize) { // fewer could not take them
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

// rounds is the series over workers known, for the decisions alone.
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
