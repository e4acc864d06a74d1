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
	recBegin    = 'b' // all that follows up to recEnd is the whole, whatever came before
	recWho      = 'w'
	recStarts   = 's'
	recSeat     = 't'
	recHard     = 'h'
	recSnapshot = 'n' // number of the part, of how many, a part
	recEntry    = 'e' // those of its index and behind it are overruled
	recOther    = 'o' // starts of another voter, its run, its name
	recEnd      = 'f'
	recSeal     = 'z' // the group before it was written whole
)

// Bounds of the folder. Between two compactions come at most compactEvery entries of a version's text each, and the whole
// is written anew with each; both together stay below what the segments hold before the oldest goes.
const (
	segmentBytes = 1 << 20
	mostSegments = 96
	snapshotPart = 512 << 10
)

// ErrDamaged: the folder is not as it was written.
var ErrCorrupt = errors.New("the voter's folder is damaged")

// other is what another voter was heard to have begun.
type other struct {
	starts uint64
	run    string
}

// image is all that a folder says.
type image struct {
	who    string
	starts uint64
	seat   uint64
	others map[string]other
	PersistedState
	parts []byte // of a snapshot that is being read
}

func (m *image) last() uint64 {
	if k := len(m.Entries); k > 0 {
		return m.Entries[k-1].GetIndex()
	}
	return m.Snapshot.GetMetadata().GetIndex()
}

// Disk is a voter's folder. It holds the folder for this process until it is closed.
type DiskStore struct {
	l *ledger.Ledger
	image
}

// Folder is that of a voter within its member's.
const DirName = "voter"

// OpenDisk opens a folder, made by who first votes there. Fresh: nobody ever voted there. A damaged one is an error.
func OpenDiskStore(dir, who string) (d *DiskStore, kept PersistedState, starts uint64, fresh bool, err error) {
	dir = filepath.Join(dir, DirName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, kept, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	d = &DiskStore{image: empty()}
	r := reader{image: &d.image}
	d.l, err = ledger.Open(ledger.Disk{}, dir, ledger.Options{SegmentBytes: segmentBytes, MostSegments: mostSegments}, r.record)
	if errors.Is(err, ledger.ErrDamage) {
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err != nil {
		return nil, kept, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	switch {
	case !r.whole && r.seen: // its beginning is gone
		err = fmt.Errorf("%w: it has no beginning", ErrCorrupt)
	case !r.whole:
		return d, kept, 0, true, nil
	case d.who != who:
		err = fmt.Errorf("the folder is that of the voter %q, this is %q", d.who, who)
	case d.HardState.GetCommit() > d.last():
		err = fmt.Errorf("%w: it ends at %d, %d was promised", ErrCorrupt, d.last(), d.HardState.GetCommit())
	}
	if err != nil {
		d.l.Close()
		return nil, kept, 0, false, err
	}
	kept = d.PersistedState
	kept.Entries = slices.Clone(d.Entries)
	return d, kept, d.image.starts, false, nil
}

func empty() image {
	return image{others: map[string]other{}, PersistedState: PersistedState{HardState: &pb.HardState{}, Snapshot: &pb.Snapshot{}}}
}

// reader makes an image of records.
type reader struct {
	image *image
	next  *image // between recBegin and recEnd
	seen  bool
	whole bool
}

func (r *reader) record(rec ledger.Record) error {
	if len(rec.Content) == 0 {
		return fmt.Errorf("%w: an empty record", ErrCorrupt)
	}
	r.seen = true
	kind, b := rec.Content[0], rec.Content[1:]
	switch kind {
	case recBegin:
		m := empty()
		r.next = &m
		return nil
	case recEnd:
		if r.next != nil {
			*r.image, r.next, r.whole = *r.next, nil, true
		}
		return nil
	case recSeal:
		return nil
	}
	m := r.next
	if m == nil {
		if !r.whole { // of a time whose beginning was forgotten; the whole comes again
			return nil
		}
		m = r.image
	}
	return m.take(kind, b)
}

// take has a record say what it says.
func (m *image) take(kind byte, b []byte) error {
	number := func() (uint64, error) {
		if len(b) < 8 {
			return 0, fmt.Errorf("%w: a record of kind %c ends early", ErrCorrupt, kind)
		}
		n := binary.BigEndian.Uint64(b)
		b = b[8:]
		return n, nil
	}
	var err error
	switch kind {
	case recWho:
		m.who = string(b)
	case recStarts:
		m.starts, err = number()
	case recSeat:
		m.seat, err = number()
	case recOther:
		var o other
		if o.starts, err = number(); err != nil {
			return err
		}
		run, err := number()
		if err != nil || run > uint64(len(b)) {
			return errors.Join(ErrCorrupt, err)
		}
		o.run = string(b[:run])
		m.others[string(b[run:])] = o
	case recHard:
		m.HardState = &pb.HardState{}
		err = proto.Unmarshal(b, m.HardState)
	case recSnapshot:
		part, err := number()
		if err != nil {
			return err
		}
		of, err := number()
		if err != nil {
			return err
		}
		if part == 0 {
			m.parts = nil
		}
		if m.parts = append(m.parts, b...); part+1 == of {
			m.Snapshot = &pb.Snapshot{}
			err = proto.Unmarshal(m.parts, m.Snapshot)
			m.parts = nil
		}
		return err
	case recEntry:
		e := &pb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return m.append(e)
	default:
		err = fmt.Errorf("a record of kind %q: %w", kind, ledger.ErrNewer)
	}
	return err
}

// append puts an entry in its place; what stood there and behind it is overruled.
func (m *image) append(e *pb.Entry) error {
	first := m.Snapshot.GetMetadata().GetIndex() + 1
	if e.GetIndex() < first {
		return nil
	}
	k := e.GetIndex() - first
	if k > uint64(len(m.Entries)) {
		return fmt.Errorf("%w: entry %d stands where %d should", ErrCorrupt, e.GetIndex(), first+uint64(len(m.Entries)))
	}
	m.Entries = append(m.Entries[:k:k], e)
	return nil
}

func numbered(kind byte, n uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, n) }

func encoded(kind byte, m proto.Message) ([]byte, error) {
	text, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	return append([]byte{kind}, text...), nil
}

func (o other) record(name string) []byte {
	b := binary.BigEndian.AppendUint64(numbered(recOther, o.starts), uint64(len(o.run)))
	return append(append(b, o.run...), name...)
}

// write makes records durable, sealed; then next is what the folder says.
func (d *DiskStore) write(next image, records ...[]byte) error {
	if _, err := d.l.Append(append(records, []byte{recSeal})...); err != nil {
		return fmt.Errorf("voter's folder: %w", err)
	}
	d.image = next
	return nil
}

// whole writes all that an image says.
func (d *DiskStore) whole(next image) error {
	records := [][]byte{{recBegin}, append([]byte{recWho}, next.who...), numbered(recStarts, next.starts), numbered(recSeat, next.seat)}
	for _, name := range slices.Sorted(maps.Keys(next.others)) {
		records = append(records, next.others[name].record(name))
	}
	text, err := proto.Marshal(next.Snapshot)
	if err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	of := max((len(text)+snapshotPart-1)/snapshotPart, 1)
	for k := range of {
		head := binary.BigEndian.AppendUint64(numbered(recSnapshot, uint64(k)), uint64(of))
		records = append(records, append(head, text[min(k*snapshotPart, len(text)):min((k+1)*snapshotPart, len(text))]...))
	}
	hard, err := encoded(recHard, next.HardState)
	if err != nil {
		return err
	}
	records = append(records, hard)
	for _, e := range next.Entries {
		b, err := encoded(recEntry, e)
		if err != nil {
			return err
		}
		records = append(records, b)
	}
	return d.write(next, append(records, []byte{recEnd})...)
}

// Found begins a fresh folder.
func (d *DiskStore) Init(who string, first PersistedState) error {
	next := empty()
	next.who, next.PersistedState = who, first
	return d.whole(next)
}

// Started notes one more start.
func (d *DiskStore) RecordStart(starts uint64) error {
	next := d.image
	next.starts = starts
	return d.write(next, numbered(recStarts, starts))
}

// Seen notes a start of another voter, and gives the starts known before that are not of the same run.
func (d *DiskStore) RecordPeerStart(voter string, count uint64, run string) (known uint64, err error) {
	o := d.others[voter]
	if known = o.starts; known > 0 && o.run == run {
		known--
	}
	if count <= known {
		return known, nil
	}
	next := d.image
	next.others = maps.Clone(d.others)
	next.others[voter] = other{count, run}
	return known, d.write(next, next.others[voter].record(voter))
}

// Seat is the number of this voter that the folder keeps; 0: its first one.
func (d *DiskStore) RaftID() uint64 { return d.seat }

// Reseat keeps a new number.
func (d *DiskStore) SetRaftID(seat uint64) error {
	next := d.image
	next.seat = seat
	return d.write(next, numbered(recSeat, seat))
}

// Save is of a Store: durable when it returns.
func (d *DiskStore) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	next := d.image
	var records [][]byte
	if hard != nil {
		next.HardState = hard
		b, err := encoded(recHard, hard)
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
		b, err := encoded(recEntry, e)
		if err != nil {
			return err
		}
		records = append(records, b)
		if err := next.append(e); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(snapshot) {
		return d.whole(next)
	}
	return d.write(next, records...)
}

// Compact is of a Store. What the snapshot covers is left out; the folder needs none of it, however far a follower is behind.
func (d *DiskStore) Compact(snapshot *pb.Snapshot, _ uint64) error {
	next := d.image
	next.Snapshot = snapshot
	next.Entries = nil
	for _, e := range d.Entries {
		if e.GetIndex() > snapshot.GetMetadata().GetIndex() {
			next.Entries = append(next.Entries, e)
		}
	}
	return d.whole(next)
}

// Close lets the folder go.
func (d *DiskStore) Close() error { return d.l.Close() }
