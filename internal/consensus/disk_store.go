// This file implements a voter's directory: its raft state and identity, as records of a write-ahead log in
// which later records override earlier ones. It must never return anything that was not written completely:
// each record has a checksum, and a seal follows each group, to tell a corrupt record from one that a crash
// truncated.

package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"weldmast/internal/wal"
)

// Record types, the first byte of a record.
const (
	recBegin     = 'b' // the records up to recEnd are a complete state and replace all earlier ones
	recVoter     = 'w' // name of this voter
	recStarts    = 's' // number of its starts
	recRaftID    = 't' // its raft ID; 0: the initial one
	recHardState = 'h' // raft's term, vote and commit index
	recSnapshot  = 'n' // number of the part, count of parts, a part
	recEntry     = 'e' // overrides the entries from its index on
	recPeer      = 'o' // number of starts, run ID and name of another voter
	recEnd       = 'f' // ends a complete state
	recSeal      = 'z' // the group before it was written completely
)

// Limits of the directory. Each compaction writes the complete state anew, and at most compactThreshold
// entries, each with the text of a version, come between two compactions. A complete state and the records up
// to the next compaction fit into maxSegments segments. So the log drops a segment only after a newer
// complete state was written.
const (
	segmentBytes      = 1 << 20
	maxSegments       = 96
	snapshotPartBytes = 512 << 10
)

// ErrCorrupt means that the directory is not as it was written.
var ErrCorrupt = errors.New("the voter's folder is damaged")

// peerStart is the last known start of another voter.
type peerStart struct {
	starts uint64
	runID  string
}

// dirState is the content of a directory.
type dirState struct {
	voter      string
	starts     uint64
	raftID     uint64
	peerStarts map[string]peerStart
	PersistedState
	snapshotParts []byte // of a snapshot that is being replayed
}

func (s *dirState) lastIndex() uint64 {
	if k := len(s.Entries); k > 0 {
		return s.Entries[k-1].GetIndex()
	}
	return s.Snapshot.GetMetadata().GetIndex()
}

// DiskStore is a voter's directory. It is locked by this process until closed.
type DiskStore struct {
	log *wal.Log
	dirState
}

// DirName is the name of the voter's directory within its member's directory.
const DirName = "voter"

// OpenDiskStore opens the directory of the named voter. Fresh means that no voter ever used it; starts of other
// voters may be recorded in it. A corrupt
// directory is an error.
func OpenDiskStore(dir, voter string) (d *DiskStore, persisted PersistedState, starts uint64, fresh bool, err error) {
	dir = filepath.Join(dir, DirName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, persisted, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	d = &DiskStore{dirState: emptyDirState()}
	r := replay{state: &d.dirState}
	d.log, err = wal.Open(wal.Disk{}, dir, wal.Options{SegmentBytes: segmentBytes, MaxSegments: maxSegments}, r.record)
	if errors.Is(err, wal.ErrCorrupt) {
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err != nil {
		return nil, persisted, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	switch {
	case !r.complete && r.hasRecords: // its beginning is missing
		err = fmt.Errorf("%w: it has no beginning", ErrCorrupt)
	case !r.complete:
		return d, persisted, 0, true, nil
	case d.voter != voter:
		err = fmt.Errorf("the folder is that of the voter %q, this is %q", d.voter, voter)
	case d.HardState.GetCommit() > d.lastIndex():
		err = fmt.Errorf("%w: it ends at %d, %d was promised", ErrCorrupt, d.lastIndex(), d.HardState.GetCommit())
	}
	if err != nil {
		d.log.Close()
		return nil, persisted, 0, false, err
	}
	persisted = d.PersistedState
	persisted.Entries = slices.Clone(d.Entries)
	return d, persisted, d.dirState.starts, false, nil
}

func emptyDirState() dirState {
	return dirState{peerStarts: map[string]peerStart{}, PersistedState: PersistedState{HardState: &pb.HardState{}, Snapshot: &pb.Snapshot{}}}
}

// replay builds the state from the records.
type replay struct {
	state      *dirState
	pending    *dirState // between recBegin and recEnd
	hasRecords bool      // of a voter's own state; starts of other voters may come before it
	complete   bool
}

func (r *replay) record(rec wal.Record) error {
	if len(rec.Content) == 0 {
		return fmt.Errorf("%w: an empty record", ErrCorrupt)
	}
	kind, b := rec.Content[0], rec.Content[1:]
	r.hasRecords = r.hasRecords || kind != recPeer && kind != recSeal
	switch kind {
	case recBegin:
		s := emptyDirState()
		r.pending = &s
		return nil
	case recEnd:
		if r.pending != nil {
			*r.state, r.pending, r.complete = *r.pending, nil, true
		}
		return nil
	case recSeal:
		return nil
	}
	s := r.pending
	if s == nil {
		if !r.complete && kind != recPeer { // its recBegin was dropped; a complete state follows
			return nil
		}
		s = r.state // of a fresh directory, if it is not complete
	}
	return s.applyRecord(kind, b)
}

// applyRecord applies a record to the state.
func (s *dirState) applyRecord(kind byte, b []byte) error {
	readUint64 := func() (uint64, error) {
		if len(b) < 8 {
			return 0, fmt.Errorf("%w: a record of kind %c ends early", ErrCorrupt, kind)
		}
		n := binary.BigEndian.Uint64(b)
		b = b[8:]
		return n, nil
	}
	var err error
	switch kind {
	case recVoter:
		s.voter = string(b)
	case recStarts:
		s.starts, err = readUint64()
	case recRaftID:
		s.raftID, err = readUint64()
	case recPeer:
		var peer peerStart
		if peer.starts, err = readUint64(); err != nil {
			return err
		}
		runIDBytes, err := readUint64()
		if err != nil || runIDBytes > uint64(len(b)) {
			return errors.Join(ErrCorrupt, err)
		}
		peer.runID = string(b[:runIDBytes])
		s.peerStarts[string(b[runIDBytes:])] = peer
	case recHardState:
		s.HardState = &pb.HardState{}
		err = proto.Unmarshal(b, s.HardState)
	case recSnapshot:
		part, err := readUint64()
		if err != nil {
			return err
		}
		of, err := readUint64()
		if err != nil {
			return err
		}
		if part == 0 {
			s.snapshotParts = nil
		}
		if s.snapshotParts = append(s.snapshotParts, b...); part+1 == of {
			s.Snapshot = &pb.Snapshot{}
			err = proto.Unmarshal(s.snapshotParts, s.Snapshot)
			s.snapshotParts = nil
		}
		return err
	case recEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return s.appendEntry(e)
	default:
		err = fmt.Errorf("a record of kind %q: %w", kind, wal.ErrNewerVersion)
	}
	return err
}

// appendEntry stores an entry at its index and drops those from that index on.
func (s *dirState) appendEntry(e *pb.Entry) error {
	first := s.Snapshot.GetMetadata().GetIndex() + 1
	if e.GetIndex() < first {
		return nil
	}
	k := e.GetIndex() - first
	if k > uint64(len(s.Entries)) {
		return fmt.Errorf("%w: entry %d stands where %d should", ErrCorrupt, e.GetIndex(), first+uint64(len(s.Entries)))
	}
	s.Entries = append(s.Entries[:k:k], e)
	return nil
}

func uint64Record(kind byte, n uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, n) }

func protoRecord(kind byte, m proto.Message) ([]byte, error) {
	text, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	return append([]byte{kind}, text...), nil
}

func (o peerStart) record(name string) []byte {
	b := binary.BigEndian.AppendUint64(uint64Record(recPeer, o.starts), uint64(len(o.runID)))
	return append(append(b, o.runID...), name...)
}

// write makes records and a seal durable. On success next becomes the state.
func (d *DiskStore) write(next dirState, records ...[]byte) error {
	if _, err := d.log.Append(append(records, []byte{recSeal})...); err != nil {
		return fmt.Errorf("voter's folder: %w", err)
	}
	d.dirState = next
	return nil
}

// writeAll writes a complete state.
func (d *DiskStore) writeAll(next dirState) error {
	records := [][]byte{{recBegin}, append([]byte{recVoter}, next.voter...), uint64Record(recStarts, next.starts), uint64Record(recRaftID, next.raftID)}
	for _, name := range slices.Sorted(maps.Keys(next.peerStarts)) {
		records = append(records, next.peerStarts[name].record(name))
	}
	text, err := proto.Marshal(next.Snapshot)
	if err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	of := max((len(text)+snapshotPartBytes-1)/snapshotPartBytes, 1)
	for k := range of {
		head := binary.BigEndian.AppendUint64(uint64Record(recSnapshot, uint64(k)), uint64(of))
		records = append(records, append(head, text[min(k*snapshotPartBytes, len(text)):min((k+1)*snapshotPartBytes, len(text))]...))
	}
	hard, err := protoRecord(recHardState, next.HardState)
	if err != nil {
		return err
	}
	records = append(records, hard)
	for _, e := range next.Entries {
		b, err := protoRecord(recEntry, e)
		if err != nil {
			return err
		}
		records = append(records, b)
	}
	return d.write(next, append(records, []byte{recEnd})...)
}

// Init initializes a fresh directory. It keeps the starts of other voters that were recorded before: at a
// fleet's first start the others tell of theirs while this voter still waits for their replies, and tell nobody
// again.
func (d *DiskStore) Init(voter string, initial PersistedState) error {
	next := emptyDirState()
	next.voter, next.PersistedState, next.peerStarts = voter, initial, maps.Clone(d.peerStarts)
	return d.writeAll(next)
}

// RecordStart records the number of starts of this voter.
func (d *DiskStore) RecordStart(starts uint64) error {
	next := d.dirState
	next.starts = starts
	return d.write(next, uint64Record(recStarts, starts))
}

// RecordPeerStart records a start of another voter. It returns the number of starts known before, without the
// one of the same run.
func (d *DiskStore) RecordPeerStart(voter string, starts uint64, runID string) (known uint64, err error) {
	previous := d.peerStarts[voter]
	if known = previous.starts; known > 0 && previous.runID == runID {
		known--
	}
	if starts <= known {
		return known, nil
	}
	next := d.dirState
	next.peerStarts = maps.Clone(d.peerStarts)
	next.peerStarts[voter] = peerStart{starts, runID}
	return known, d.write(next, next.peerStarts[voter].record(voter))
}

// RaftID returns the stored raft ID of this voter; 0: its initial one.
func (d *DiskStore) RaftID() uint64 { return d.raftID }

// SetRaftID stores a new raft ID.
func (d *DiskStore) SetRaftID(raftID uint64) error {
	next := d.dirState
	next.raftID = raftID
	return d.write(next, uint64Record(recRaftID, raftID))
}

// Save implements Store. The data is durable when it returns.
func (d *DiskStore) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	next := d.dirState
	var records [][]byte
	if hard != nil {
		next.HardState = hard
		b, err := protoRecord(recHardState, hard)
		if err != nil {
			return err
		}
		records = append(records, b)
	}
	if !raft.IsEmptySnap(snapshot) {
		next.Snapshot, next.Entries = snapshot, nil
	}
	next.Entries = slices.Clip(next.Entries)
	for _, e := range entries {
		b, err := protoRecord(recEntry, e)
		if err != nil {
			return err
		}
		records = append(records, b)
		if err := next.appendEntry(e); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(snapshot) {
		return d.writeAll(next)
	}
	return d.write(next, records...)
}

// Compact implements Store. It drops all entries that the snapshot covers: the directory needs none of them,
// however far a follower is behind.
func (d *DiskStore) Compact(snapshot *pb.Snapshot, _ uint64) error {
	next := d.dirState
	next.Snapshot = snapshot
	next.Entries = nil
	for _, e := range d.Entries {
		if e.GetIndex() > snapshot.GetMetadata().GetIndex() {
			next.Entries = append(next.Entries, e)
		}
	}
	return d.writeAll(next)
}

// Close releases the directory.
func (d *DiskStore) Close() error { return d.log.Close() }
