// This file records the actions of one process: what it did under which version, and when.

package fleet

import "slices"

// Action is a kind of dispatcher action. Health checks of workers are not listed, as dispatchers send none.
type Action int

// Kinds of actions.
const (
	HandedOff Action = iota
	Deferred
	Answered   // any other final answer
	numActions = iota
)

// String returns the name of the action, as operators see it.
func (a Action) String() string { return [...]string{"handed off", "deferred", "answered"}[a] }

// ActionCount counts the actions of one kind. Times are Unix milliseconds, 0 if there was no action.
type ActionCount struct {
	Count uint64  `cbor:"1,keyasint" json:"count"`
	First float64 `cbor:"2,keyasint" json:"first_ms"`
	Last  float64 `cbor:"3,keyasint" json:"last_ms"`
}

// VersionActions counts the actions under one version.
type VersionActions struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// when the version became active in this process
	ActiveSince float64                 `cbor:"2,keyasint" json:"in_force_ms"`
	Counts      [numActions]ActionCount `cbor:"3,keyasint" json:"kinds"` // indexed by Action
}

// LastAt returns the time of the last action of any kind, 0 for none.
func (a VersionActions) LastAt() (at float64) {
	for _, t := range a.Counts {
		at = max(at, t.Last)
	}
	return at
}

// FirstAt returns the time of the first action of any kind, 0 for none.
func (a VersionActions) FirstAt() (at float64) {
	for _, t := range a.Counts {
		if t.Count > 0 && (at == 0 || t.First < at) {
			at = t.First
		}
	}
	return at
}

// RunRecord is the record of one process (run) of a member. What the process did between KnownUntil and the
// start of the next run is unknown, unless CleanExit is set.
type RunRecord struct {
	ID         string           `cbor:"1,keyasint" json:"run"`
	StartedAt  float64          `cbor:"2,keyasint" json:"began_ms"`
	KnownUntil float64          `cbor:"3,keyasint" json:"known_until_ms"`
	CleanExit  bool             `cbor:"4,keyasint,omitempty" json:"ended"`
	Versions   []VersionActions `cbor:"5,keyasint" json:"versions"`
	// What the process did before this time, under versions that it has dropped, is unknown; 0: it has dropped none.
	DroppedUntil float64 `cbor:"6,keyasint,omitempty" json:"dropped_until_ms,omitempty"`
}

const (
	maxRunVersions = 32 // newest versions whose actions a run record keeps
	retainedRuns   = 4  // earlier runs that a member reports
)

// RecordVersion records that a version is active from now on.
func (r *RunRecord) RecordVersion(now float64, version uint64) {
	if k := len(r.Versions) - 1; k >= 0 && r.Versions[k].Version == version {
		return
	}
	r.Versions = append(r.Versions, VersionActions{Version: version, ActiveSince: now})
	if over := len(r.Versions) - maxRunVersions; over > 0 {
		r.Versions = slices.Delete(r.Versions, 0, over)
		r.DroppedUntil = r.Versions[0].ActiveSince // actions count under the newest version, so the others ended by then
	}
}

// RecordAction counts an action under the active version.
func (r *RunRecord) RecordAction(now float64, a Action) {
	t := &r.Versions[len(r.Versions)-1].Counts[a]
	if t.Count == 0 {
		t.First = now
	}
	t.Count++
	t.Last = now
}

// Clone returns an independent copy.
func (r RunRecord) Clone() RunRecord {
	r.Versions = slices.Clone(r.Versions)
	return r
}
