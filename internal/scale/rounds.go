// This file owns the time of a round by workers known: the dispatcher's decisions alone, in this process, without a socket.

package scale

import (
	"fmt"
	"time"

	"weldmast/internal/dispatch"
	"weldmast/internal/world"
)

// rounder is the inbox and the writer of a dispatcher that is timed.
type rounder struct {
	in   func(dispatch.Receiver)
	sent []uint64 // handed off in this round
}

func (r *rounder) Deliver(to dispatch.Receiver) {
	if r.in != nil {
		r.in(to)
	}
}

func (r *rounder) HandOff(wi uint64, _ string, _ float64) { r.sent = append(r.sent, wi) }
func (r *rounder) Cancel(uint64, int)                     {}
func (r *rounder) Defer(uint64, float64)                  {}
func (r *rounder) WriteOff(uint64)                        {}
func (r *rounder) Timer(uint64, float64)                  {}
func (r *rounder) Watch(bool)                             {}
func (r *rounder) Tell(int, []byte)                       {}

// timedRounds is how many of each are timed.
const timedRounds = 400

// timeRounds gives the mean time of a round in which nothing came in, and of one that takes in a job, sends it, and has the
// end of another, in milliseconds.
func timeRounds(workers int) (idle, start float64, err error) {
	x, err := world.Read("base", []byte(base))
	if err != nil {
		panic(err) // the text is our own
	}
	s, err := x.Dispatch(0, 1)
	if err != nil {
		return 0, 0, fmt.Errorf("scale: %w", err)
	}
	d, r, now := dispatch.New(s), &rounder{}, 1e6
	round := func(in func(dispatch.Receiver)) time.Duration {
		now += 5
		r.in = in
		began := time.Now()
		d.Round(now, r, r)
		return time.Since(began)
	}
	entries := make([]dispatch.Entry, workers)
	for w := range entries {
		entries[w] = dispatch.Entry{Worker: workerName(w)}
	}
	round(func(to dispatch.Receiver) { to.Listed(dispatch.Complete, entries) })
	var spent [2]time.Duration
	handed := 0
	for k := range 2 * timedRounds {
		if k%2 == 0 {
			spent[0] += round(nil)
			continue
		}
		ended := r.sent
		r.sent = nil
		spent[1] += round(func(to dispatch.Receiver) {
			for _, wi := range ended {
				to.Noticed(wi, 0, true, 0)
				to.Answered(dispatch.Answer{WI: wi, Outcome: dispatch.Finished, Spent: 10, Final: true, Load: dispatch.NoLoad})
			}
			to.Arrived(dispatch.WorkItem{ID: uint64(k), Tenant: -1, Left: 5000, Hint: 20})
		})
		handed += len(r.sent)
	}
	if handed < timedRounds*9/10 {
		return 0, 0, fmt.Errorf("%w: %d of %d jobs were handed off by a dispatcher that knows %d workers", ErrVoid, handed, timedRounds, workers)
	}
	ms := func(d time.Duration) float64 { return float64(d) / timedRounds / 1e6 }
	return ms(spent[0]), ms(spent[1]), nil
}

// rounds is the series over workers known, for the decisions alone.
func (u *run) rounds(res *Result) error {
	for _, n := range u.p.Workers {
		began := time.Now()
		idle, start, err := timeRounds(n)
		if err != nil {
			return err
		}
		res.Points = append(res.Points, Point{Series: "rounds", Size: n, Seconds: time.Since(began).Seconds(), RoundIdle: idle, RoundStart: start})
		u.tell("rounds, %d workers known: %.4f ms with nothing, %.4f ms with a job", n, idle, start)
	}
	return nil
}
