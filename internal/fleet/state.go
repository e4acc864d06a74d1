// Package fleet is the history that the processes of one fleet agree on, who acted on which of its versions, and the
// leases by which whoever is behind is brought up or shut out. It is pure: no I/O, no clock but the one handed in, no
// chance. It must never decide where work goes, nor rest on a clock that was not handed in.
//
// This file owns the history: its entries, the state they add up to, and the proof that two share it. Times are
// milliseconds; those of entries are Unix time and for people only.
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

// Format is that of entries, snapshots and messages.
const FormatVersion = 1

const (
	// MostText is how long a version's text may be, in bytes.
	MaxTextBytes      = 64 << 10
	retainedTexts     = 16   // newest versions whose texts a state keeps, for who is behind and for the way back
	retainedVersions  = 256  // older ones are forgotten
	retainedRequests  = 1024 // numbers of requests that are known again
	retainedRunStarts = 16   // processes of a member that are remembered
	maxNameBytes      = 64
)

// Digest proves a history up to an entry.
type Digest [sha256.Size]byte

func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Kind says what an entry does.
type CommandKind uint8

// The kinds.
const (
	AdmitMember    CommandKind = iota + 1 // a member is in, or in again
	RemoveMember                          // it is no member any longer: nothing waits for it
	PublishVersion                        // a version
	ExcludeMember                         // a member must take no work until it is admitted again
	AddVoter                              // a voter, in place of the one of its name if there is one
	RemoveVoter                           // a voter no longer
)

func (k CommandKind) String() string {
	if k < AdmitMember || k > RemoveVoter {
		return "unknown"
	}
	return [...]string{"admitted", "removed", "published", "shut out", "seated", "unseated"}[k-1]
}

// Alone says what a member does whose lease is over and that knows of nothing newer.
type IsolationPolicy string

// The two ways.
const (
	ServeWhenIsolated IsolationPolicy = "serve"
	StopWhenIsolated  IsolationPolicy = "stop"
)

// Command is what somebody wants to stand in the history.
type Command struct {
	Kind                CommandKind     `cbor:"1,keyasint"`
	RequestID           string          `cbor:"2,keyasint"` // the asker's own number: the same again is the same entry
	RequestedBy         string          `cbor:"3,keyasint,omitempty"`
	IssuedAt            float64         `cbor:"4,keyasint"`
	Member              string          `cbor:"5,keyasint,omitempty"` // admitted, removed, shut out
	Address             string          `cbor:"6,keyasint,omitempty"`
	IsolationPolicy     IsolationPolicy `cbor:"7,keyasint,omitempty"`
	Text                []byte          `cbor:"8,keyasint,omitempty"` // published
	MinProgram          string          `cbor:"9,keyasint,omitempty"` // least program version that understands it
	Fence               bool            `cbor:"10,keyasint,omitempty"`
	ExpectedNewestPlus1 uint64          `cbor:"11,keyasint,omitempty"` // refused unless this is the newest version, plus 1; 0: whatever is
	RaftID              uint64          `cbor:"12,keyasint,omitempty"` // of the voter that is seated
	RunID               string          `cbor:"13,keyasint,omitempty"` // of the process that is admitted
	RunStartedAt        float64         `cbor:"14,keyasint,omitempty"`
}

// Entry is a command in its place.
type Entry struct {
	Seq        uint64  `cbor:"1,keyasint"` // from 1 on, without gaps
	PrevDigest Digest  `cbor:"2,keyasint"`
	Command    Command `cbor:"3,keyasint"`
	Digest     Digest  `cbor:"4,keyasint"`
}

// Version is one that was published. Number 0 is what each member's own files say.
type Version struct {
	Number      uint64  `cbor:"1,keyasint"`
	EntrySeq    uint64  `cbor:"2,keyasint"`
	TextDigest  Digest  `cbor:"3,keyasint"` // of the text
	Text        []byte  `cbor:"4,keyasint,omitempty"`
	MinProgram  string  `cbor:"5,keyasint,omitempty"`
	Fence       bool    `cbor:"6,keyasint,omitempty"`
	PublishedBy string  `cbor:"7,keyasint,omitempty"`
	PublishedAt float64 `cbor:"8,keyasint"`
}

// Member is one as the history has it.
type Member struct {
	Name            string          `cbor:"1,keyasint"`
	Address         string          `cbor:"2,keyasint"`
	IsolationPolicy IsolationPolicy `cbor:"3,keyasint"`
	Excluded        bool            `cbor:"4,keyasint,omitempty"`
	Removed         bool            `cbor:"5,keyasint,omitempty"`
	ChangedAt       float64         `cbor:"6,keyasint"` // it stands as it does
	FirstAdmittedAt float64         `cbor:"7,keyasint"` // it was first admitted
	Runs            []RunStart      `cbor:"8,keyasint"` // its newest processes: who is not told of what one did knows at least that it was
}

// Began is a process of a member.
type RunStart struct {
	RunID     string  `cbor:"1,keyasint"`
	StartedAt float64 `cbor:"2,keyasint"`
}

// Has tells whether a process of it was admitted.
func (m Member) HasRun(run string) bool {
	return slices.ContainsFunc(m.Runs, func(b RunStart) bool { return b.RunID == run })
}

// Voter is one that has a seat in the council.
type Voter struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	RaftID  uint64 `cbor:"3,keyasint"` // its number in the consensus; another one after its folder was lost
}

// asked is a request that was carried out.
type completedRequest struct {
	RequestID string `cbor:"1,keyasint"`
	EntrySeq  uint64 `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint,omitempty"`
}

// content is what entries add up to.
type stateData struct {
	Fleet         string             `cbor:"1,keyasint"`
	LastSeq       uint64             `cbor:"2,keyasint"`
	Members       []Member           `cbor:"3,keyasint"` // by name
	Versions      []Version          `cbor:"4,keyasint"` // by number
	NewestVersion uint64             `cbor:"5,keyasint"`
	FencedVersion uint64             `cbor:"6,keyasint"` // the newest that fences
	Requests      []completedRequest `cbor:"7,keyasint"`
	Voters        []Voter            `cbor:"8,keyasint"` // by name
}

// State is the history up to an entry. Not for use from several goroutines at once.
type State struct {
	data      stateData
	lastEntry Entry // zero before the first
	digest    Digest
}

// What may be wrong.
var (
	ErrMissingEntries = errors.New("entries are missing")
	ErrDiverged       = errors.New("another history")
	ErrRefused        = errors.New("refused")
	ErrUnknownFormat  = errors.New("a form that this program does not know")
)

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err) // of constant options
	}
	return m
}()

// Encode gives the one form of a value of this package.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // of plain structs
	}
	return b
}

// Decode reads it.
func Decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownFormat, err)
	}
	return nil
}

// mostVoters may have a seat at once; one more while one is replaced.
const maxVoters = 5

// NewState is a fleet without history, with its first voters in the order of their names.
func NewState(name string, voters ...Voter) *State {
	s := &State{data: stateData{Fleet: name, Voters: voters}}
	s.digest = sha256.Sum256(Encode(s.data))
	return s
}

// N is the number of the last entry, 0 for none.
func (s *State) LastSeq() uint64 { return s.data.LastSeq }

// Digest proves the history up to N.
func (s *State) Digest() Digest { return s.digest }

// Newest is the number of the newest version; Fenced of the newest that fences.
func (s *State) NewestVersion() uint64 { return s.data.NewestVersion }

// Fenced as Newest.
func (s *State) FencedVersion() uint64 { return s.data.FencedVersion }

// Versions are those that are remembered, oldest first; the caller must not change them.
func (s *State) Versions() []Version { return s.data.Versions }

// Version finds one.
func (s *State) Version(n uint64) (Version, bool) {
	k, ok := slices.BinarySearchFunc(s.data.Versions, n, func(v Version, n uint64) int { return int(int64(v.Number) - int64(n)) })
	if !ok {
		return Version{}, false
	}
	return s.data.Versions[k], true
}

// Members are all that the history knows, by name; the caller must not change them.
func (s *State) Members() []Member { return s.data.Members }

// Member finds one.
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

// Result is what became of a command.
type Result struct {
	EntrySeq  uint64 `cbor:"1,keyasint"`
	Version   uint64 `cbor:"2,keyasint,omitempty"`
	Duplicate bool   `cbor:"3,keyasint,omitempty"` // it had been carried out before
}

// Apply carries out a command that the council has agreed on, in its order. A command that is refused, or that was
// carried out before, makes no entry; this is the same for everybody who applies it.
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

// Follow takes the next entry as it was made elsewhere. An error changes nothing.
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
	if entryDigest(e, next) != e.Digest { // its maker's program applies it otherwise, or it was damaged
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

// after is the state once the command is carried out; s stays as it is.
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
			if c.RunID == "" { // an operator's; a process's own beginning does not undo what an operator said
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

// snapshot is a state as it is passed on.
type snapshot struct {
	Format    int       `cbor:"1,keyasint"`
	State     stateData `cbor:"2,keyasint"`
	LastEntry Entry     `cbor:"3,keyasint"`
}

// Snapshot is the state as one text.
func (s *State) Snapshot() []byte { return Encode(snapshot{FormatVersion, s.data, s.lastEntry}) }

// Restore reads a snapshot. One whose content is not what its last entry led to is refused.
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

// Voters are those that have a seat, by name; the caller must not change them.
func (s *State) Voters() []Voter { return s.data.Voters }

// Fleet is the name of the fleet that the history is of.
func (s *State) Fleet() string { return s.data.Fleet }

// Clone is a copy that goes on by itself.
func (s *State) Clone() *State {
	clone := *s
	return &clone // contents are never changed in place
}

// Understands tells whether a program of the given version understands one that asks for the least.
func SupportsVersion(programVersion, minProgram string) bool {
	return minProgram == "" || semver.Compare("v"+programVersion, "v"+minProgram) >= 0
}
