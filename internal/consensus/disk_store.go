// This file owns a voter's folder: what the voter has promised and who it is, as records of a ledger of which later ones
// overrule earlier ones. It must never give back anything that was not written whole: each record has a checksum, and a
// seal follows each group, so that a record that was spoilt is told from one that a crash cut short.

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

	"weldmast/internal/ledger"
)

// What a record is, its first byte.
const (
	recBegin     = 'b' // all that follows up to recEnd is the whole, whatever came before
	recVoter     = 'w'
	recStarts    = 's'
	recRaftID    = 't'
	recHardState = 'h'
	recSnapshot  = 'n' // number of the part, of how many, a part
	recEntry     = 'e' // those of its index and behind it are overruled
	recPeer      = 'o' // starts of another voter, its run, its name
	recEnd       = 'f'
	recSeal      = 'z' // the group before it was written whole
)

// Bounds of the folder. Between two compactions come at most compactEvery entries of a version's text each, and the whole
// is written anew with each; both together stay below what the segments hold before the oldest goes.
const (
	segmentBytes      = 1 << 20
	maxSegments       = 96
	snapshotPartBytes = 512 << 10
)

// ErrDamaged: the folder is not as it was written.
var ErrCorrupt = errors.New("the voter's folder is damaged")

// other is what another voter was heard to have begun.
type peerStart struct {
	starts uint64
	runID  string
}

// image is all that a folder says.
type dirState struct {
	voter      string
	starts     uint64
	raftID     uint64
	peerStarts map[string]peerStart
	PersistedState
	snapshotParts []byte // of a snapshot that is being read
}

func (s *dirState) lastIndex() uint64 {
	if k := len(s.Entries); k > 0 {
		return s.Entries[k-1].GetIndex()
	}
	return s.Snapshot.GetMetadata().GetIndex()
}

// Disk is a voter's folder. It holds the folder for this process until it is closed.
type DiskStore struct {
	log *ledger.Ledger
	dirState
}

// Folder is that of a voter within its member's.
const DirName = "voter"

// OpenDisk opens a folder, made by who first votes there. Fresh: nobody ever voted there. A damaged one is an error.
func OpenDiskStore(dir, voter string) (d *DiskStore, persisted PersistedState, starts uint64, fresh bool, err error) {
	dir = filepath.Join(dir, DirName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, persisted, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	d = &DiskStore{dirState: emptyDirState()}
	r := replay{state: &d.dirState}
	d.log, err = ledger.Open(ledger.Disk{}, dir, ledger.Options{SegmentBytes: segmentBytes, MostSegments: maxSegments}, r.record)
	if errors.Is(err, ledger.ErrDamage) {
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err != nil {
		return nil, persisted, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	switch {
	case !r.complete && r.hasRecords: // its beginning is gone
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

// reader makes an image of records.
type replay struct {
	state      *dirState
	pending    *dirState // between recBegin and recEnd
	hasRecords bool
	complete   bool
}

func (r *replay) record(rec ledger.Record) error {
	if len(rec.Content) == 0 {
		return fmt.Errorf("%w: an empty record", ErrCorrupt)
	}
	r.hasRecords = true
	kind, b := rec.Content[0], rec.Content[1:]
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
		if !r.complete { // of a time whose beginning was forgotten; the whole comes again
			return nil
		}
		s = r.state
	}
	return s.applyRecord(kind, b)
}

// take has a record say what it says.
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
		err = fmt.Errorf("a record of kind %q: %w", kind, ledger.ErrNewer)
	}
	return err
}

// append puts an entry in its place; what stood there and behind it is overruled.
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

// write makes records durable, sealed; then next is what the folder says.
func (d *DiskStore) write(next dirState, records ...[]byte) error {
	if _, err := d.log.Append(append(records, []byte{recSeal})...); err != nil {
		return fmt.Errorf("voter's folder: %w", err)
	}
	d.dirState = next
	return nil
}

// whole writes all that an image says.
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

// Found begins a fresh folder.
func (d *DiskStore) Init(voter string, initial PersistedState) error {
	next := emptyDirState()
	next.voter, next.PersistedState = voter, initial
	return d.writeAll(next)
}

// Started notes one more start.
func (d *DiskStore) RecordStart(starts uint64) error {
	next := d.dirState
	next.starts = starts
	return d.write(next, uint64Record(recStarts, starts))
}

// Seen notes a start of another voter, and gives the starts known before that are not of the same run.
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

// Seat is the number of this voter that the folder keeps; 0: its first one.
func (d *DiskStore) RaftID() uint64 { return d.raftID }

// Reseat keeps a new number.
func (d *DiskStore) SetRaftID(raftID uint64) error {
	next := d.dirState
	next.raftID = raftID
	return d.write(next, uint64Record(recRaftID, raftID))
}

// Save is of a Store: durable when it returns.
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

// Compact is of a Store. What the snapshot covers is left out; the folder needs none of it, however far a follower is behind.
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

// Close lets the folder go.
func (d *DiskStore) Close() error { return d.log.Close() }
