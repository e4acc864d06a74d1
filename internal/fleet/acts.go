// This file owns the record of acts: what one process did under which version, and when.

package fleet

import "slices"

// Act is something that a dispatcher does. The program sends no probes of its own, so none are booked.
type Act int

// The acts.
const (
	HandedOff Act = iota
	Deferred
	Answered // any other final answer
	acts     = iota
)

func (a Act) String() string { return [...]string{"handed off", "deferred", "answered"}[a] }

// Tally counts the acts of one kind. Times are Unix, 0 where there are none.
type Tally struct {
	Count uint64  `cbor:"1,keyasint" json:"count"`
	First float64 `cbor:"2,keyasint" json:"first_ms"`
	Last  float64 `cbor:"3,keyasint" json:"last_ms"`
}

// Acts are those under one version.
type Acts struct {
	Version uint64      `cbor:"1,keyasint" json:"version"`
	Since   float64     `cbor:"2,keyasint" json:"in_force_ms"` // since when it was in force here
	Kinds   [acts]Tally `cbor:"3,keyasint" json:"kinds"`       // handed off, deferred, answered
}

// Last is the last act of any kind, 0 for none.
func (a Acts) Last() (at float64) {
	for _, t := range a.Kinds {
		at = max(at, t.Last)
	}
	return at
}

// First as Last.
func (a Acts) First() (at float64) {
	for _, t := range a.Kinds {
		if t.Count > 0 && (at == 0 || t.First < at) {
			at = t.First
		}
	}
	return at
}

// Run is the record of one process of a member. Between Saved and the beginning of the next run nothing is known of it,
// unless it ended in order.
type Run struct {
	ID       string  `cbor:"1,keyasint" json:"run"`
	Began    float64 `cbor:"2,keyasint" json:"began_ms"`
	Saved    float64 `cbor:"3,keyasint" json:"known_until_ms"`
	Ended    bool    `cbor:"4,keyasint,omitempty" json:"ended"`
	Versions []Acts  `cbor:"5,keyasint" json:"versions"`
}

const (
	runVersions = 32 // newest versions of which a run remembers its acts
	keepRuns    = 4  // runs before this one that a member reports
)

// Since notes that a version is in force from now on.
func (r *Run) Since(now float64, version uint64) {
	if k := len(r.Versions) - 1; k >= 0 && r.Versions[k].Version == version {
		return
	}
	r.Versions = append(r.Versions, Acts{Version: version, Since: now})
	if over := len(r.Versions) - runVersions; over > 0 {
		r.Versions = slices.Delete(r.Versions, 0, over)
	}
}

// Book counts an act under the version in force.
func (r *Run) Book(now float64, a Act) {
	t := &r.Versions[len(r.Versions)-1].Kinds[a]
	if t.Count == 0 {
		t.First = now
	}
	t.Count++
	t.Last = now
}

// Clone is a copy that goes on by itself.
func (r Run) Clone() Run {
	r.Versions = slices.Clone(r.Versions)
	return r
}
