// This file owns what one member decides for itself: what it brings into force, and until when it may act. Its clock is
// one that goes on through a suspension and that nobody sets.

package fleet

import (
	"errors"
	"fmt"
	"math"
)

// Figures are those that all members of a fleet have to agree on.
type Timing struct {
	Beat  float64 // between a member's beats
	Lease float64 // a lease lasts so long
	Drift float64 // two clocks go apart by no more than this part; beyond it the fences promise nothing
}

// Beat is what a member tells the council.
type Heartbeat struct {
	Fleet           string          `cbor:"1,keyasint"`
	Format          int             `cbor:"2,keyasint"`
	Member          string          `cbor:"3,keyasint"`
	Address         string          `cbor:"4,keyasint"`
	RunID           string          `cbor:"5,keyasint"`           // the process
	OwnsAddress     bool            `cbor:"6,keyasint,omitempty"` // it holds the member's address: processes before it are dead, or about to be
	IsolationPolicy IsolationPolicy `cbor:"7,keyasint"`
	ProgramVersion  string          `cbor:"8,keyasint"`
	LastSeq         uint64          `cbor:"9,keyasint"` // of its history
	Digest          Digest          `cbor:"10,keyasint"`
	ActiveVersion   uint64          `cbor:"11,keyasint"`
	RefusedVersion  uint64          `cbor:"12,keyasint,omitempty"` // the version that it cannot bring into force
	Problem         string          `cbor:"13,keyasint,omitempty"` // key and fault
	Leaving         bool            `cbor:"14,keyasint,omitempty"` // it has ended, and acts no more
	StalledFor      float64         `cbor:"15,keyasint,omitempty"` // it stood still for so long before this beat
	Runs            []RunRecord     `cbor:"16,keyasint,omitempty"` // the last is this process's
	PendingRestart  string          `cbor:"17,keyasint,omitempty"` // what of the version in force waits for a restart
	Lease           float64         `cbor:"18,keyasint"`           // its figures, which have to be the council's
	Drift           float64         `cbor:"19,keyasint"`
	RequestedRaftID uint64          `cbor:"20,keyasint,omitempty"` // a voter that lost its folder asks for this one
	VoterState      string          `cbor:"21,keyasint,omitempty"` // what it says of its vote, if it is to have one
}

// Renewal is the council's answer.
type LeaseRenewal struct {
	Granted       float64 `cbor:"1,keyasint"` // the lease lasts so long from the sending of the beat; 0: it is not renewed
	Reason        string  `cbor:"2,keyasint,omitempty"`
	NewestVersion uint64  `cbor:"3,keyasint"`
	FencedVersion uint64  `cbor:"4,keyasint"` // what must be in force for a lease
	Excluded      bool    `cbor:"5,keyasint,omitempty"`
	RetryAfter    float64 `cbor:"6,keyasint,omitempty"` // beat again after this time
}

// Self is one member's own state.
type LeaseHolder struct {
	timing          Timing
	isolationPolicy IsolationPolicy
	name            string
	programVersion  string
	startedAt       float64
	state           *State
	leaseExpiry     float64 // end of the lease
	fencedVersion   uint64  // as the council last said
	excluded        bool
	gotReply        bool // the council has answered this process
	activeVersion   uint64
	pendingVersion  uint64 // handed to the reducer, which has not confirmed it
	refusedVersion  uint64
	refusalReason   string
}

// NewSelf is a member whose process has just begun, with the history as its folder had it.
func NewLeaseHolder(timing Timing, name, programVersion string, policy IsolationPolicy, state *State, now float64) *LeaseHolder {
	return &LeaseHolder{timing: timing, isolationPolicy: policy, name: name, programVersion: programVersion, state: state, startedAt: now, leaseExpiry: math.Inf(-1)}
}

// State is the history as far as it is known here.
func (h *LeaseHolder) State() *State { return h.state }

// InForce is the version in force.
func (h *LeaseHolder) ActiveVersion() uint64 { return h.activeVersion }

// Refuses tells which version cannot be brought into force, and why.
func (h *LeaseHolder) RefusedVersion() (version uint64, reason string) {
	return h.refusedVersion, h.refusalReason
}

// Follow takes further entries; those that it has are passed over. An error leaves it where the last good one led.
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

// Replace takes a whole history in place of its own, unless that goes further.
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

// ErrTooOld: the version asks for a newer program.
var ErrProgramTooOld = errors.New("program too old")

// Next is the version to be brought into force now, if any: the newest. Those between are passed over, as each version
// stands for itself.
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

// Refuse notes that a version cannot be brought into force here.
func (h *LeaseHolder) RefuseVersion(version uint64, reason error) {
	h.refusedVersion, h.refusalReason = version, reason.Error()
	if h.pendingVersion == version {
		h.pendingVersion = 0
	}
}

// Applied notes that a version is in force and that nothing begun under an older one is still to be written.
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

// Renewed takes the council's answer to the beat that was sent at the given time. The lease runs from there, on this
// clock, less the drift: the answer may have come late.
func (h *LeaseHolder) HandleRenewal(sentAt float64, r LeaseRenewal) {
	h.gotReply = true
	h.fencedVersion = max(h.fencedVersion, r.FencedVersion)
	h.excluded = r.Excluded
	if r.Granted > 0 {
		h.leaseExpiry = max(h.leaseExpiry, sentAt+r.Granted*(1-h.timing.Drift))
	}
}

// OpenUntil is until when new work may be taken and handed off: not at all where that is over, infinite where nothing
// known now ends it. It is to be asked again after each change and each beat.
func (h *LeaseHolder) AcceptUntil(now float64) float64 {
	member, known := h.state.Member(h.name)
	switch {
	case h.excluded || known && (member.Excluded || member.Removed):
		return math.Inf(-1)
	case h.isolationPolicy == StopWhenIsolated:
		return h.leaseExpiry
	case max(h.fencedVersion, h.state.FencedVersion()) > h.activeVersion: // there is a fence, and this process is behind it
		return h.leaseExpiry
	case h.gotReply || now >= h.startedAt+h.timing.Lease:
		return math.Inf(1)
	}
	return h.leaseExpiry
}

// Lease is when the lease ends.
func (h *LeaseHolder) LeaseExpiry() float64 { return h.leaseExpiry }
