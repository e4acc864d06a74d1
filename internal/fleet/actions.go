// This file owns the record of acts: what one process did under which version, and when.

package fleet

import "slices"

// Act is something that a dispatcher does. The program sends no probes of its own, so none are booked.
type Action int

// The acts.
const (
	HandedOff Action = iota
	Deferred
	Answered   // any other final answer
	numActions = iota
)

func (a Action) String() string { return [...]string{"handed off", "deferred", "answered"}[a] }

// Tally counts the acts of one kind. Times are Unix, 0 where there are none.
type ActionCount struct {
	Count uint64  `cbor:"1,keyasint" json:"count"`
	First float64 `cbor:"2,keyasint" json:"first_ms"`
	Last  float64 `cbor:"3,keyasint" json:"last_ms"`
}

// Acts are those under one version.
type VersionActions struct {
	Version     uint64                  `cbor:"1,keyasint" json:"version"`
	ActiveSince float64                 `cbor:"2,keyasint" json:"in_force_ms"` // since when it was in force here
	Counts      [numActions]ActionCount `cbor:"3,keyasint" json:"kinds"`       // handed off, deferred, answered
}

// Last is the last act of any kind, 0 for none.
func (a VersionActions) LastAt() (at float64) {
	for _, t := range a.Counts {
		at = max(at, t.Last)
	}
	return at
}

// First as Last.
func (a VersionActions) FirstAt() (at float64) {
	for _, t := range a.Counts {
		if t.Count > 0 && (at == 0 || t.First < at) {
			at = t.First
		}
	}
	return at
}

// Run is the record of one process of a member. Between Saved and the beginning of the next run nothing is known of it,
// unless it ended in order.
type RunRecord struct {
	ID         string           `cbor:"1,keyasint" json:"run"`
	StartedAt  float64          `cbor:"2,keyasint" json:"began_ms"`
	KnownUntil float64          `cbor:"3,keyasint" json:"known_until_ms"`
	CleanExit  bool             `cbor:"4,keyasint,omitempty" json:"ended"`
	Versions   []VersionActions `cbor:"5,keyasint" json:"versions"`
}

const (
	maxRunVersions = 32 // newest versions of which a run remembers its acts
	retainedRuns   = 4  // runs before this one that a member reports
)

// Since notes that a version is in force from now on.
func (r *RunRecord) RecordVersion(now float64, version uint64) {
	if k := len(r.Versions) - 1; k >= 0 && r.Versions[k].Version == version {
		return
	}
	r.Versions = append(r.Versions, VersionActions{Version: version, ActiveSince: now})
	if over := len(r.Versions) - maxRunVersions; over > 0 {
		r.Versions = slices.Delete(r.Versions, 0, over)
	}
}

// Book counts an act under the version in force.
func (r *RunRecord) RecordAction(now float64, a Action) {
	t := &r.Versions[len(r.Versions)-1].Counts[a]
	if t.Count == 0 {
		t.First = now
	}
	t.Count++
	t.Last = now
}

// Clone is a copy that goes on by itself.
func (r RunRecord) Clone() RunRecord {
	r.Versions = slices.Clone(r.Versions)
	return r
}
