// Package fleet implements the replicated state of a fleet, the audit of which member acted on which version,
// and the leases that make members activate a fenced version or stop. It is deterministic: it does no I/O,
// takes the time as a parameter and uses no randomness. It must never decide where work goes, nor read a
// clock itself.
//
// Terms: A member is a named dispatcher of the fleet; a run is one process of it. A voter is a member's part
// in the consensus group; one voter leads. A version is a numbered configuration text. A lease is the
// leader's permission for a member to act, for a limited time. A fence is a property of a version: members
// whose active version is older get no lease. The fence is complete once no member acts under an older
// version any more.
//
// This file implements the history: its entries, the state that results from them, and the digest that proves
// that two processes have the same history. An entry is an applied command. Times are in milliseconds. Times
// of entries are Unix times, for display only.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/mod/semver"
)

// FormatVersion is the format of entries, snapshots and messages.
const FormatVersion = 1

const (
	// MaxTextBytes is the maximum size of a version's text.
	MaxTextBytes      = 64 << 10
	retainedTexts     = 16   // newest versions whose texts a state keeps, for members that are behind and for rollbacks
	retainedVersions  = 256  // older versions are dropped
	retainedRequests  = 1024 // completed requests that are recognized when repeated
	retainedRunStarts = 16   // processes of a member that a state keeps
	maxNameBytes      = 64
)

// Digest identifies a history up to an entry.
type Digest [sha256.Size]byte

// String returns the first 6 bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// CommandKind is what a command does.
type CommandKind uint8

// Kinds of commands.
const (
	// with a RunID: admits a starting process of a member; without one: an operator's command, which also
	// lifts exclusion and removal
	AdmitMember    CommandKind = iota + 1
	RemoveMember               // fences no longer wait for the member, and it gets no lease
	PublishVersion             // publishes a version
	ExcludeMember              // the member may take no new work until an operator admits it again
	AddVoter                   // adds a voter, or replaces the one of the same name
	RemoveVoter                // removes a voter
)

// String returns the name of the kind, as operators see it.
func (k CommandKind) String() string {
	if k < AdmitMember || k > RemoveVoter {
		return "unknown"
	}
	return [...]string{"admitted", "removed", "published", "shut out", "seated", "unseated"}[k-1]
}

// IsolationPolicy says whether a member may act without a lease while its active version is not older than
// the newest fenced version that it knows. Behind a fence it needs a lease in any case.
type IsolationPolicy string

// Isolation policies: to act without a lease, or to stop when the lease expires.
const (
	ServeWhenIsolated IsolationPolicy = "serve"
	StopWhenIsolated  IsolationPolicy = "stop"
)

// Command is a proposed change of the state.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	// chosen by the caller: a repeated request makes no second entry
	RequestID       string          `cbor:"2,keyasint"`
	RequestedBy     string          `cbor:"3,keyasint,omitempty"`
	IssuedAt        float64         `cbor:"4,keyasint"`
	Member          string          `cbor:"5,keyasint,omitempty"` // name of the member or voter concerned
	Address         string          `cbor:"6,keyasint,omitempty"`
	IsolationPolicy IsolationPolicy `cbor:"7,keyasint,omitempty"`
	Text            []byte          `cbor:"8,keyasint,omitempty"` // of the published version
	// oldest program version that supports the published version
	MinProgram string `cbor:"9,keyasint,omitempty"`
	Fence      bool   `cbor:"10,keyasint,omitempty"` // members whose active version is older get no lease
	// if not 0, refused unless the newest version is this number minus 1
	ExpectedNewestPlus1 uint64  `cbor:"11,keyasint,omitempty"`
	RaftID              uint64  `cbor:"12,keyasint,omitempty"` // of the added voter
	RunID               string  `cbor:"13,keyasint,omitempty"` // of the admitted process
	RunStartedAt        float64 `cbor:"14,keyasint,omitempty"`
}

// Entry is an applied command at its position in the history.
type Entry struct {
	Seq        uint64  `cbor:"1,keyasint"` // from 1 on, without gaps
	PrevDigest Digest  `cbor:"2,keyasint"`
	Command    Command `cbor:"3,keyasint"`
	Digest     Digest  `cbor:"4,keyasint"`
}

// Version is a published version. Number 0 stands for each member's own files.
type Version struct {
	Number      uint64  `cbor:"1,keyasint"`
	EntrySeq    uint64  `cbor:"2,keyasint"`
	TextDigest  Digest  `cbor:"3,keyasint"` // digest of Text
	Text        []byte  `cbor:"4,keyasint,omitempty"`
	MinProgram  string  `cbor:"5,keyasint,omitempty"`
	Fence       bool    `cbor:"6,keyasint,omitempty"` // members whose active version is older get no lease
	PublishedBy string  `cbor:"7,keyasint,omitempty"`
	PublishedAt float64 `cbor:"8,keyasint"`
}

// Member is a member as recorded in the history.
type Member struct {
	Name            string          `cbor:"1,keyasint"`
	Address         string          `cbor:"2,keyasint"`
	IsolationPolicy IsolationPolicy `cbor:"3,keyasint"`
	Excluded        bool            `cbor:"4,keyasint,omitempty"`
	Removed         bool            `cbor:"5,keyasint,omitempty"`
	ChangedAt       float64         `cbor:"6,keyasint"` // time of its last change
	FirstAdmittedAt float64         `cbor:"7,keyasint"` // time of its first admission
	// its newest processes: their existence is known even if their reports are missing
	Runs []RunStart `cbor:"8,keyasint"`
}

// RunStart is the start of a process of a member.
type RunStart struct {
	RunID     string  `cbor:"1,keyasint"`
	StartedAt float64 `cbor:"2,keyasint"`
}

// HasRun reports whether a process of the member was admitted.
func (m Member) HasRun(runID string) bool {
	return slices.ContainsFunc(m.Runs, func(b RunStart) bool { return b.RunID == runID })
}

// Voter is a voting member of the consensus group.
type Voter struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	RaftID  uint64 `cbor:"3,keyasint"` // its raft ID, which changes after the loss of its directory
}

// completedRequest is a request that was applied.
type completedRequest struct {
	RequestID string `cbor:"1,keyasint"`
	EntrySeq  uint64 `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint,omitempty"`
}

// stateData is the encoded part of a State.
type stateData struct {
	Fleet         string             `cbor:"1,keyasint"`
	LastSeq       uint64             `cbor:"2,keyasint"`
	Members       []Member           `cbor:"3,keyasint"` // sorted by name
	Versions      []Version          `cbor:"4,keyasint"` // sorted by number
	NewestVersion uint64             `cbor:"5,keyasint"`
	FencedVersion uint64             `cbor:"6,keyasint"` // newest version with a fence
	Requests      []completedRequest `cbor:"7,keyasint"`
	Voters        []Voter            `cbor:"8,keyasint"` // sorted by name
}

// State is the replicated state after an entry. It must not be used from several goroutines at once.
type State struct {
	data      stateData
	lastEntry Entry // zero value before the first entry
	digest    Digest
}

// Errors of this package.
var (
	// ErrMissingEntries means that entries before the given one have not been applied, or that a received
	// snapshot is older than the own state.
	ErrMissingEntries = errors.New("entries are missing")
	// ErrDiverged means that two histories differ.
	ErrDiverged = errors.New("another history")
	// ErrRefused means that a command is invalid in the current state.
	ErrRefused = errors.New("refused")
	// ErrUnknownFormat means that the encoding or its format version is not supported.
	ErrUnknownFormat = errors.New("a form that this program does not know")
)

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Encode returns the deterministic encoding of a value of this package.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// Decode decodes a value that Encode encoded.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownFormat, err)
	}
	return nil
}

// maxVoters is the maximum number of voters. During a replacement the raft group has one more.
const maxVoters = 5

// NewState returns the state of a fleet without history. The first voters must be sorted by name.
func NewState(name string, voters ...Voter) *State {
	s := &State{data: stateData{Fleet: name, Voters: voters}}
	s.digest = sha256.Sum256(Encode(s.data))
	return s
}

// LastSeq returns the number of the last entry, 0 for none.
func (s *State) LastSeq() uint64 { return s.data.LastSeq }

// Digest returns the digest of the history up to LastSeq.
func (s *State) Digest() Digest { return s.digest }

// NewestVersion returns the number of the newest version.
func (s *State) NewestVersion() uint64 { return s.data.NewestVersion }

// FencedVersion returns the number of the newest version with a fence.
func (s *State) FencedVersion() uint64 { return s.data.FencedVersion }

// Versions returns the retained versions, oldest first. The caller must not modify them.
func (s *State) Versions() []Version { return s.data.Versions }

// Version returns the version of the given number, if it is retained.
func (s *State) Version(n uint64) (Version, bool) {
	k, ok := slices.BinarySearchFunc(s.data.Versions, n, func(v Version, n uint64) int { return int(int64(v.Number) - int64(n)) })
	if !ok {
		return Version{}, false
	}
	return s.data.Versions[k], true
}

// Members returns all members, sorted by name, including removed ones. The caller must not modify them.
func (s *State) Members() []Member { return s.data.Members }

// Member returns the member of the given name.
func (s *State) Member(name string) (Member, bool) {
	k, ok := s.memberIndex(name)
	if !ok {
		return Member{}, false
	}
	return s.data.Members[k], true
}

func (s *State) memberIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.data.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// Result is the result of a command.
type Result struct {
	EntrySeq  uint64 `cbor:"1,keyasint"`
	Version   uint64 `cbor:"2,keyasint,omitempty"`
	Duplicate bool   `cbor:"3,keyasint,omitempty"` // the request had been applied before
}

// Apply applies a committed command, in commit order. A refused or repeated command makes no entry. The
// result is the same in every process that applies it.
func (s *State) Apply(c Command) (Result, *Entry, error) {
	for _, a := range s.data.Requests {
		if c.RequestID != "" && a.RequestID == c.RequestID {
			return Result{EntrySeq: a.EntrySeq, Version: a.Version, Duplicate: true}, nil, nil
		}
	}
	next, version, err := s.evaluate(c)
	if err != nil {
		return Result{}, nil, err
	}
	e := Entry{Seq: s.data.LastSeq + 1, PrevDigest: s.digest, Command: c}
	e.Digest = entryDigest(e, next)
	s.data, s.lastEntry, s.digest = next, e, e.Digest
	return Result{EntrySeq: e.Seq, Version: version}, &e, nil
}

// ApplyEntry applies the next entry of another process's history. On an error the state is unchanged.
func (s *State) ApplyEntry(e Entry) error {
	if e.Seq != s.data.LastSeq+1 {
		return fmt.Errorf("%w: entry %d after %d", ErrMissingEntries, e.Seq, s.data.LastSeq)
	}
	if e.PrevDigest != s.digest {
		return fmt.Errorf("%w: entry %d follows %s, here is %s", ErrDiverged, e.Seq, e.PrevDigest, s.digest)
	}
	next, _, err := s.evaluate(e.Command)
	if err != nil {
		return fmt.Errorf("entry %d: %w", e.Seq, err)
	}
	if entryDigest(e, next) != e.Digest { // the other program applies the command differently, or the entry is corrupt
		return fmt.Errorf("%w: entry %d leads elsewhere here", ErrDiverged, e.Seq)
	}
	s.data, s.lastEntry, s.digest = next, e, e.Digest
	return nil
}

func entryDigest(e Entry, after stateData) Digest {
	sum := sha256.Sum256(Encode(after))
	e.Digest = sum
	return sha256.Sum256(Encode(e))
}

// evaluate returns the state after a command, without changing s.
func (s *State) evaluate(c Command) (stateData, uint64, error) {
	refuse := func(format string, a ...any) (stateData, uint64, error) {
		return stateData{}, 0, fmt.Errorf("%w: %s", ErrRefused, fmt.Sprintf(format, a...))
	}
	next := s.data
	next.LastSeq++
	version := uint64(0)
	switch c.Kind {
	case PublishVersion:
		if len(c.Text) > MaxTextBytes {
			return refuse("a version of %d bytes, at most %d are allowed", len(c.Text), MaxTextBytes)
		}
		if c.MinProgram != "" && !semver.IsValid("v"+c.MinProgram) {
			return refuse("least program version %q is no version such as 0.2.0", c.MinProgram)
		}
		if c.ExpectedNewestPlus1 > 0 && c.ExpectedNewestPlus1-1 != s.data.NewestVersion {
			return refuse("the newest version is %d, not %d", s.data.NewestVersion, c.ExpectedNewestPlus1-1)
		}
		next.NewestVersion++
		version = next.NewestVersion
		v := Version{Number: version, EntrySeq: next.LastSeq, TextDigest: sha256.Sum256(c.Text), Text: c.Text, MinProgram: c.MinProgram, Fence: c.Fence, PublishedBy: c.RequestedBy, PublishedAt: c.IssuedAt}
		next.Versions = append(slices.Clone(s.data.Versions), v)
		if over := len(next.Versions) - retainedVersions; over > 0 {
			next.Versions = next.Versions[over:]
		}
		if old := len(next.Versions) - 1 - retainedTexts; old >= 0 {
			next.Versions[old].Text = nil
		}
		if c.Fence {
			next.FencedVersion = version
		}
	case AdmitMember, RemoveMember, ExcludeMember:
		if c.Member == "" || len(c.Member) > maxNameBytes {
			return refuse("%q is no name of a member", c.Member)
		}
		k, known := s.memberIndex(c.Member)
		next.Members = slices.Clone(s.data.Members)
		if !known {
			if c.Kind != AdmitMember {
				return refuse("no member is called %s", c.Member)
			}
			next.Members = slices.Insert(next.Members, k, Member{Name: c.Member, FirstAdmittedAt: c.IssuedAt})
		}
		m := &next.Members[k]
		m.ChangedAt = c.IssuedAt
		switch c.Kind {
		case AdmitMember:
			if c.RunID == "" { // The admission of a starting process does not undo an operator's exclusion or removal.
				m.Excluded, m.Removed = false, false
			}
			if c.Address != "" {
				m.Address = c.Address
			}
			if c.IsolationPolicy != "" {
				m.IsolationPolicy = c.IsolationPolicy
			}
			if c.RunID != "" && !m.HasRun(c.RunID) {
				m.Runs = append(slices.Clone(m.Runs), RunStart{c.RunID, c.RunStartedAt})
				if over := len(m.Runs) - retainedRunStarts; over > 0 {
					m.Runs = m.Runs[over:]
				}
			}
		case RemoveMember:
			m.Removed = true
		case ExcludeMember:
			m.Excluded = true
		}
	case AddVoter, RemoveVoter:
		next.Voters = slices.DeleteFunc(slices.Clone(s.data.Voters), func(v Voter) bool { return v.Name == c.Member })
		if c.Kind == AddVoter {
			if c.Member == "" || c.Address == "" || c.RaftID == 0 {
				return refuse("a voter needs a name, an address and a seat")
			}
			next.Voters = append(next.Voters, Voter{c.Member, c.Address, c.RaftID})
			slices.SortFunc(next.Voters, func(x, y Voter) int { return strings.Compare(x.Name, y.Name) })
		} else if len(next.Voters) == len(s.data.Voters) {
			return refuse("no voter is called %s", c.Member)
		}
		if n := len(next.Voters); n == 0 || n > maxVoters {
			return refuse("%d voters would be left; there have to be 1 to %d", n, maxVoters)
		}
	default:
		return refuse("an entry of kind %d is unknown to this program", c.Kind)
	}
	if c.RequestID != "" {
		next.Requests = append(slices.Clone(s.data.Requests), completedRequest{c.RequestID, next.LastSeq, version})
		if over := len(next.Requests) - retainedRequests; over > 0 {
			next.Requests = next.Requests[over:]
		}
	}
	return next, version, nil
}

// snapshot is the encoded form of a state.
type snapshot struct {
	Format    int       `cbor:"1,keyasint"`
	State     stateData `cbor:"2,keyasint"`
	LastEntry Entry     `cbor:"3,keyasint"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() []byte { return Encode(snapshot{FormatVersion, s.data, s.lastEntry}) }

// Restore decodes a snapshot. It refuses one whose data does not match the digest of its last entry.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := Decode(b, &snap); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if snap.Format != FormatVersion {
		return nil, fmt.Errorf("snapshot: %w: format %d", ErrUnknownFormat, snap.Format)
	}
	if snap.State.LastSeq == 0 {
		return NewState(snap.State.Fleet, snap.State.Voters...), nil
	}
	if snap.LastEntry.Seq != snap.State.LastSeq || entryDigest(snap.LastEntry, snap.State) != snap.LastEntry.Digest {
		return nil, fmt.Errorf("snapshot: %w: its content is not what entry %d led to", ErrDiverged, snap.LastEntry.Seq)
	}
	return &State{data: snap.State, lastEntry: snap.LastEntry, digest: snap.LastEntry.Digest}, nil
}

// Voters returns the voters, sorted by name. The caller must not modify them.
func (s *State) Voters() []Voter { return s.data.Voters }

// Fleet returns the name of the fleet.
func (s *State) Fleet() string { return s.data.Fleet }

// Clone returns an independent copy.
func (s *State) Clone() *State {
	clone := *s
	return &clone // data is never modified in place
}

// SupportsVersion reports whether a program version supports a published version with the given minimum.
func SupportsVersion(programVersion, minProgram string) bool {
	return minProgram == "" || semver.Compare("v"+programVersion, "v"+minProgram) >= 0
}
