// A process that has just started may have missed a fence. Before it acts without a lease, it waits for
// the leader's first reply, but at most one lease duration, so that an isolated member works again after
// a restart.
// This file implements a member's side of the leases: which version it activates, and until when it may act.
// The clock must continue through a suspension and must never be set.

package fleet

import (
	"errors"
	"fmt"
	"math"
)

// Timing holds the parameters that all members of a fleet must agree on, in milliseconds.
type Timing struct {
	Beat  float64 // interval between a member's heartbeats
	Lease float64 // duration of a lease
	Drift float64 // bound on the relative drift between two clocks; fences are not safe beyond it
}

// Heartbeat is a member's report to the leader.
type Heartbeat struct {
	Fleet   string `cbor:"1,keyasint"`
	Format  int    `cbor:"2,keyasint"`
	Member  string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	RunID   string `cbor:"5,keyasint"` // identifies the process
	// it listens on the member's address: earlier processes are dead or about to exit
	// or, where each process has an address of its own, it has locked the member's directory
	OwnsAddress     bool            `cbor:"6,keyasint,omitempty"`
	IsolationPolicy IsolationPolicy `cbor:"7,keyasint"`
	ProgramVersion  string          `cbor:"8,keyasint"`
	LastSeq         uint64          `cbor:"9,keyasint"` // last entry of its history
	Digest          Digest          `cbor:"10,keyasint"`
	ActiveVersion   uint64          `cbor:"11,keyasint"`
	RefusedVersion  uint64          `cbor:"12,keyasint,omitempty"` // version that it cannot activate
	// configuration key and error, or why it cannot follow the history
	Problem string `cbor:"13,keyasint,omitempty"`
	Leaving bool   `cbor:"14,keyasint,omitempty"` // the process ends and acts no more
	// milliseconds for which the process was paused before this heartbeat
	StalledFor float64     `cbor:"15,keyasint,omitempty"`
	Runs       []RunRecord `cbor:"16,keyasint,omitempty"` // the last one is this process's
	// settings of the active version that take effect after a restart
	PendingRestart string  `cbor:"17,keyasint,omitempty"`
	Lease          float64 `cbor:"18,keyasint"` // its timing, which must equal the leader's
	Drift          float64 `cbor:"19,keyasint"`
	// raft ID that a voter requests after the loss of its directory
	RequestedRaftID uint64 `cbor:"20,keyasint,omitempty"`
	VoterStatus     string `cbor:"21,keyasint,omitempty"` // status text of its voter, if it has one
	// newest version in its directory, which a process that is started later begins with
	SavedVersion uint64 `cbor:"22,keyasint,omitempty"`
	// a newer process of the member waits to take this one's place, or has taken it
	HasSuccessor bool `cbor:"23,keyasint,omitempty"`
}

// LeaseRenewal is the leader's reply to a heartbeat. It also tells why a lease is not renewed.
type LeaseRenewal struct {
	Granted       float64 `cbor:"1,keyasint"` // lease duration from the sending of the heartbeat; 0: not renewed
	Reason        string  `cbor:"2,keyasint,omitempty"`
	NewestVersion uint64  `cbor:"3,keyasint"`
	// newest version with a fence: a member whose active version is older gets no lease
	FencedVersion uint64  `cbor:"4,keyasint"`
	Excluded      bool    `cbor:"5,keyasint,omitempty"`
	RetryAfter    float64 `cbor:"6,keyasint,omitempty"` // send the next heartbeat after this time
}

// LeaseHolder tracks the lease and the versions of one member. It must not be used from several goroutines at
// once.
type LeaseHolder struct {
	timing          Timing
	isolationPolicy IsolationPolicy
	name            string
	programVersion  string
	startedAt       float64
	state           *State
	leaseExpiry     float64 // end of the lease
	fencedVersion   uint64  // from the leader's last reply
	excluded        bool
	gotReply        bool // this process has received a reply from the leader
	activeVersion   uint64
	pendingVersion  uint64 // passed to the event loop, not confirmed yet
	refusedVersion  uint64
	refusalReason   string
}

// NewLeaseHolder returns the lease holder of a member whose process has just started, with the state from its
// directory.
func NewLeaseHolder(timing Timing, name, programVersion string, policy IsolationPolicy, state *State, now float64) *LeaseHolder {
	return &LeaseHolder{timing: timing, isolationPolicy: policy, name: name, programVersion: programVersion, state: state, startedAt: now, leaseExpiry: math.Inf(-1)}
}

// State returns the state as far as this member knows it.
func (h *LeaseHolder) State() *State { return h.state }

// ActiveVersion returns the number of the active version.
func (h *LeaseHolder) ActiveVersion() uint64 { return h.activeVersion }

// RefusedVersion returns the version that cannot be activated here, and the reason.
func (h *LeaseHolder) RefusedVersion() (version uint64, reason string) {
	return h.refusedVersion, h.refusalReason
}

// ApplyEntries applies further entries and skips those already applied. On an error, the entries before the
// faulty one remain applied.
func (h *LeaseHolder) ApplyEntries(entries []Entry) error {
	next := h.state.Clone()
	for _, e := range entries {
		if e.Seq <= next.LastSeq() {
			continue
		}
		if err := next.ApplyEntry(e); err != nil {
			h.state = next
			return err
		}
	}
	h.state = next
	return nil
}

// ReplaceState replaces the state by a later one from a snapshot. It fails with ErrMissingEntries if s is
// older, and with ErrDiverged if s is of another fleet.
func (h *LeaseHolder) ReplaceState(s *State) error {
	if s.Fleet() != h.state.Fleet() {
		return fmt.Errorf("%w: of the fleet %q, this is %q", ErrDiverged, s.Fleet(), h.state.Fleet())
	}
	if s.LastSeq() < h.state.LastSeq() {
		return fmt.Errorf("%w: it ends at %d, here at %d", ErrMissingEntries, s.LastSeq(), h.state.LastSeq())
	}
	h.state = s
	return nil
}

// ErrProgramTooOld means that a version requires a newer program.
var ErrProgramTooOld = errors.New("program too old")

// NextVersion returns the version to activate now, if any: the newest one. Versions in between are skipped,
// as each version is complete by itself.
func (h *LeaseHolder) NextVersion() (v Version, ok bool) {
	newest := h.state.NewestVersion()
	if newest <= h.activeVersion || h.pendingVersion != 0 || newest == h.refusedVersion {
		return v, false
	}
	v, ok = h.state.Version(newest)
	if !ok {
		return v, false
	}
	if !SupportsVersion(h.programVersion, v.MinProgram) {
		h.RefuseVersion(newest, fmt.Errorf("%w: it is %s, version %d asks for %s", ErrProgramTooOld, h.programVersion, newest, v.MinProgram))
		return v, false
	}
	h.pendingVersion = newest
	return v, true
}

// RefuseVersion records that a version cannot be activated here.
func (h *LeaseHolder) RefuseVersion(version uint64, reason error) {
	h.refusedVersion, h.refusalReason = version, reason.Error()
	if h.pendingVersion == version {
		h.pendingVersion = 0
	}
}

// VersionApplied records that a version is active and that no writes begun under an older version are
// outstanding.
func (h *LeaseHolder) VersionApplied(version uint64) {
	if h.pendingVersion == version {
		h.pendingVersion = 0
	}
	if version > h.activeVersion {
		h.activeVersion = version
	}
	if h.refusedVersion != 0 && h.refusedVersion <= version {
		h.refusedVersion, h.refusalReason = 0, ""
	}
}

// HandleRenewal handles the reply to the heartbeat sent at the given time. The lease runs from the sending,
// by this clock and less the drift bound, because the reply may be delayed.
func (h *LeaseHolder) HandleRenewal(sentAt float64, r LeaseRenewal) {
	h.gotReply = true
	h.fencedVersion = max(h.fencedVersion, r.FencedVersion)
	h.excluded = r.Excluded
	if r.Granted > 0 {
		h.leaseExpiry = max(h.leaseExpiry, sentAt+r.Granted*(1-h.timing.Drift))
	}
}

// AcceptUntil returns the time until which the member may take and hand off new work. A time in the past
// means that it may not now; +Inf means that no known event ends the permission. The caller must call it
// again after each change and each heartbeat.
func (h *LeaseHolder) AcceptUntil(now float64) float64 {
	member, known := h.state.Member(h.name)
	switch {
	case h.excluded || known && (member.Excluded || member.Removed):
		return math.Inf(-1)
	case h.isolationPolicy == StopWhenIsolated:
		return h.leaseExpiry
	// a fence exists, and this process is behind it
	case max(h.fencedVersion, h.state.FencedVersion()) > h.activeVersion:
		return h.leaseExpiry
	case h.gotReply || now >= h.startedAt+h.timing.Lease:
		return math.Inf(1)
	}
	return h.leaseExpiry
}

// LeaseExpiry returns the time at which the lease ends.
func (h *LeaseHolder) LeaseExpiry() float64 { return h.leaseExpiry }
