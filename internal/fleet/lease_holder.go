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
	f             Timing
	alone         IsolationPolicy
	name          string
	program       string
	began         float64
	state         *State
	until         float64 // end of the lease
	fenced        uint64  // as the council last said
	shut          bool
	touched       bool // the council has answered this process
	activeVersion uint64
	pending       uint64 // handed to the reducer, which has not confirmed it
	refuses       uint64
	whyNot        string
}

// NewSelf is a member whose process has just begun, with the history as its folder had it.
func NewLeaseHolder(f Timing, name, program string, alone IsolationPolicy, state *State, now float64) *LeaseHolder {
	return &LeaseHolder{f: f, alone: alone, name: name, program: program, state: state, began: now, until: math.Inf(-1)}
}

// State is the history as far as it is known here.
func (m *LeaseHolder) State() *State { return m.state }

// InForce is the version in force.
func (m *LeaseHolder) ActiveVersion() uint64 { return m.activeVersion }

// Refuses tells which version cannot be brought into force, and why.
func (m *LeaseHolder) RefusedVersion() (version uint64, why string) { return m.refuses, m.whyNot }

// Follow takes further entries; those that it has are passed over. An error leaves it where the last good one led.
func (m *LeaseHolder) ApplyEntries(entries []Entry) error {
	next := m.state.Clone()
	for _, e := range entries {
		if e.Seq <= next.LastSeq() {
			continue
		}
		if err := next.ApplyEntry(e); err != nil {
			m.state = next
			return err
		}
	}
	m.state = next
	return nil
}

// Replace takes a whole history in place of its own, unless that goes further.
func (m *LeaseHolder) ReplaceState(s *State) error {
	if s.Fleet() != m.state.Fleet() {
		return fmt.Errorf("%w: of the fleet %q, this is %q", ErrDiverged, s.Fleet(), m.state.Fleet())
	}
	if s.LastSeq() < m.state.LastSeq() {
		return fmt.Errorf("%w: it ends at %d, here at %d", ErrMissingEntries, s.LastSeq(), m.state.LastSeq())
	}
	m.state = s
	return nil
}

// ErrTooOld: the version asks for a newer program.
var ErrProgramTooOld = errors.New("program too old")

// Next is the version to be brought into force now, if any: the newest. Those between are passed over, as each version
// stands for itself.
func (m *LeaseHolder) NextVersion() (v Version, ok bool) {
	newest := m.state.NewestVersion()
	if newest <= m.activeVersion || m.pending != 0 || newest == m.refuses {
		return v, false
	}
	v, ok = m.state.Version(newest)
	if !ok {
		return v, false
	}
	if !SupportsVersion(m.program, v.MinProgram) {
		m.RefuseVersion(newest, fmt.Errorf("%w: it is %s, version %d asks for %s", ErrProgramTooOld, m.program, newest, v.MinProgram))
		return v, false
	}
	m.pending = newest
	return v, true
}

// Refuse notes that a version cannot be brought into force here.
func (m *LeaseHolder) RefuseVersion(version uint64, why error) {
	m.refuses, m.whyNot = version, why.Error()
	if m.pending == version {
		m.pending = 0
	}
}

// Applied notes that a version is in force and that nothing begun under an older one is still to be written.
func (m *LeaseHolder) VersionApplied(version uint64) {
	if m.pending == version {
		m.pending = 0
	}
	if version > m.activeVersion {
		m.activeVersion = version
	}
	if m.refuses != 0 && m.refuses <= version {
		m.refuses, m.whyNot = 0, ""
	}
}

// Renewed takes the council's answer to the beat that was sent at the given time. The lease runs from there, on this
// clock, less the drift: the answer may have come late.
func (m *LeaseHolder) HandleRenewal(sent float64, r LeaseRenewal) {
	m.touched = true
	m.fenced = max(m.fenced, r.FencedVersion)
	m.shut = r.Excluded
	if r.Granted > 0 {
		m.until = max(m.until, sent+r.Granted*(1-m.f.Drift))
	}
}

// OpenUntil is until when new work may be taken and handed off: not at all where that is over, infinite where nothing
// known now ends it. It is to be asked again after each change and each beat.
func (m *LeaseHolder) AcceptUntil(now float64) float64 {
	self, known := m.state.Member(m.name)
	switch {
	case m.shut || known && (self.Excluded || self.Removed):
		return math.Inf(-1)
	case m.alone == StopWhenIsolated:
		return m.until
	case max(m.fenced, m.state.FencedVersion()) > m.activeVersion: // there is a fence, and this process is behind it
		return m.until
	case m.touched || now >= m.began+m.f.Lease:
		return math.Inf(1)
	}
	return m.until
}

// Lease is when the lease ends.
func (m *LeaseHolder) LeaseExpiry() float64 { return m.until }
