// This file owns the gate, which forbids, and the record of acts, which counts: both are asked by the reducer at each act
// and must never make it wait.

package fleetagent

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"weldmast/internal/fleet"
)

// Clock tells the time of a member. Both go on through a suspension; neither is moved by who sets the machine's clock.
type Clock struct{ unix float64 }

// NewClock begins now.
func NewClock() Clock { return Clock{unix: float64(time.Now().UnixMicro())/1000 - bootTime()} }

// boot is the time since the machine's start, in milliseconds.
func bootTime() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// Now is the clock of leases.
func (c Clock) Now() float64 { return bootTime() }

// Unix is the same as Unix time by the machine's clock at the process's start, for people.
func (c Clock) UnixTime() float64 { return c.unix + bootTime() }

// Gate is asked before each hand-off and told of each act.
type LeaseGuard struct {
	clock      Clock
	openUntil  atomic.Uint64 // bits of the time until which it is open
	stalledFor float64       // the member's

	mu  sync.Mutex
	run fleet.RunRecord
}

// NewGate is closed, with nothing booked.
func NewLeaseGuard(c Clock, run string) *LeaseGuard {
	g := &LeaseGuard{clock: c, run: fleet.RunRecord{ID: run, StartedAt: c.UnixTime()}}
	g.run.RecordVersion(g.run.StartedAt, 0)
	g.setOpenUntil(math.Inf(-1))
	return g
}

func (g *LeaseGuard) setOpenUntil(until float64) { g.openUntil.Store(math.Float64bits(until)) }

// Open tells whether new work may be taken and handed off at this moment.
func (g *LeaseGuard) Open() bool {
	until := math.Float64frombits(g.openUntil.Load())
	return math.IsInf(until, 1) || !math.IsInf(until, -1) && g.clock.Now() < until
}

// InForce notes that a version is in force from now on.
func (g *LeaseGuard) VersionInForce(version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.RecordVersion(g.clock.UnixTime(), version)
}

// Act books one under the version in force.
func (g *LeaseGuard) RecordAction(a fleet.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.RecordAction(g.clock.UnixTime(), a)
}

// record is the run up to now.
func (g *LeaseGuard) runRecord() fleet.RunRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.KnownUntil = g.clock.UnixTime()
	return g.run.Clone()
}

// end notes that nothing more will be done.
func (g *LeaseGuard) close() {
	g.setOpenUntil(math.Inf(-1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.CleanExit = true
}
