// This file implements the lease guard, which says whether this process may take and hand off work (see
// fleet.LeaseHolder.AcceptUntil), and the record of actions. The guard is open while the process may. The
// event loop calls both at each action; they must never make it wait.

package fleetagent

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"weldmast/internal/fleet"
)

// Clock is the clock of a member. It continues through a suspension and is not affected by changes of the
// system clock.
type Clock struct{ unix float64 }

// NewClock returns a clock with the current Unix time.
func NewClock() Clock { return Clock{unix: float64(time.Now().UnixMicro())/1000 - bootTime()} }

// bootTime returns the milliseconds since the machine's boot.
func bootTime() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// Now returns the time by which leases are measured, in milliseconds.
func (c Clock) Now() float64 { return bootTime() }

// UnixTime returns Now as Unix time, based on the system clock at the process's start. For display only.
func (c Clock) UnixTime() float64 { return c.unix + bootTime() }

// LeaseGuard reports before each hand-off whether it is allowed, and records each action.
type LeaseGuard struct {
	clock      Clock
	openUntil  atomic.Uint64 // bits of the float64 time until which it is open
	stalledFor float64       // guarded by Agent.mu

	mu  sync.Mutex
	run fleet.RunRecord
}

// NewLeaseGuard returns a closed guard without recorded actions.
func NewLeaseGuard(c Clock, runID string) *LeaseGuard {
	g := &LeaseGuard{clock: c, run: fleet.RunRecord{ID: runID, StartedAt: c.UnixTime()}}
	g.run.RecordVersion(g.run.StartedAt, 0)
	g.setOpenUntil(math.Inf(-1))
	return g
}

func (g *LeaseGuard) setOpenUntil(until float64) { g.openUntil.Store(math.Float64bits(until)) }

// Allowed reports whether new work may be taken and handed off now.
func (g *LeaseGuard) Allowed() bool {
	until := math.Float64frombits(g.openUntil.Load())
	return math.IsInf(until, 1) || !math.IsInf(until, -1) && g.clock.Now() < until
}

// VersionInForce records that a version is active from now on. internal/node calls it through an interface.
func (g *LeaseGuard) VersionInForce(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.RecordVersion(g.clock.UnixTime(), version)
}

// RecordAction records an action under the active version.
func (g *LeaseGuard) RecordAction(a fleet.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.RecordAction(g.clock.UnixTime(), a)
}

// runRecord returns the record of this run up to now.
func (g *LeaseGuard) runRecord() fleet.RunRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.KnownUntil = g.clock.UnixTime()
	return g.run.Clone()
}

// close closes the guard and marks the run as ended cleanly.
func (g *LeaseGuard) close() {
	g.setOpenUntil(math.Inf(-1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.CleanExit = true
}
