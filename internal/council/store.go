// This file owns a voter's folder: one bbolt file with what the voter has promised, and who it is. It must never give back
// anything that was not written whole.

package council

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Disk is a voter's folder. It holds the folder for this process until it is closed.
type Disk struct{ db *bbolt.DB }

var (
	promise = []byte("promise") // hard, snapshot, starts, voter
	journal = []byte("journal") // entries by index
	keyHard = []byte("hard")
	keySnap = []byte("snapshot")
	keyRuns = []byte("starts")
	keyWho  = []byte("voter")
)

// ErrDamaged: the folder is not as it was written.
var ErrDamaged = errors.New("the voter's folder is damaged")

// FileName is that of the one file in a voter's folder.
const FileName = "voter.db"

// OpenDisk opens a folder, made by who first votes there. Fresh: nobody ever voted there. A damaged one is an error.
func OpenDisk(dir, who string) (d *Disk, kept Kept, starts uint64, fresh bool, err error) {
	path := filepath.Join(dir, FileName)
	defer func() {
		if v := recover(); v != nil { // bbolt panics over some kinds of damage
			err = fmt.Errorf("%w: %v", ErrDamaged, v)
		}
		if err != nil && d != nil {
			d.db.Close()
			d = nil
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 100 * time.Millisecond, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
			return nil, kept, 0, false, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		return nil, kept, 0, false, fmt.Errorf("voter's folder: %w", err)
	}
	d = &Disk{db: db}
	err = db.View(func(tx *bbolt.Tx) error {
		p, j := tx.Bucket(promise), tx.Bucket(journal)
		if p == nil || j == nil {
			fresh = true
			return nil
		}
		if was, err := unseal(p.Get(keyWho)); err != nil {
			return err
		} else if string(was) != who {
			return fmt.Errorf("the folder is that of the voter %q, this is %q", was, who)
		}
		n, err := unseal(p.Get(keyRuns))
		if err != nil || len(n) != 8 {
			return errors.Join(ErrDamaged, err)
		}
		starts = binary.BigEndian.Uint64(n)
		kept.Hard, kept.Snapshot = &pb.HardState{}, &pb.Snapshot{}
		if err := errors.Join(message(p.Get(keyHard), kept.Hard), message(p.Get(keySnap), kept.Snapshot)); err != nil {
			return err
		}
		next := uint64(0)
		err = j.ForEach(func(_, b []byte) error {
			e := &pb.Entry{}
			if err := message(b, e); err != nil {
				return err
			}
			if next != 0 && e.GetIndex() != next {
				return fmt.Errorf("%w: entry %d stands where %d should", ErrDamaged, e.GetIndex(), next)
			}
			next = e.GetIndex() + 1
			if e.GetIndex() > kept.Snapshot.GetMetadata().GetIndex() {
				kept.Entries = append(kept.Entries, e)
			}
			return nil
		})
		if err != nil {
			return err
		}
		last := kept.Snapshot.GetMetadata().GetIndex()
		if k := len(kept.Entries); k > 0 {
			if kept.Entries[0].GetIndex() != last+1 {
				return fmt.Errorf("%w: entries begin at %d, the snapshot ends at %d", ErrDamaged, kept.Entries[0].GetIndex(), last)
			}
			last = kept.Entries[k-1].GetIndex()
		}
		if kept.Hard.GetCommit() > last {
			return fmt.Errorf("%w: it ends at %d, %d was promised", ErrDamaged, last, kept.Hard.GetCommit())
		}
		return nil
	})
	return d, kept, starts, fresh, err
}

// Found begins a fresh folder.
func (d *Disk) Found(who string, first Kept) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		p, err := tx.CreateBucketIfNotExists(promise)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(journal); err != nil {
			return err
		}
		return errors.Join(p.Put(keyWho, seal([]byte(who))), p.Put(keyRuns, seal(make([]byte, 8))),
			put(p, keyHard, first.Hard), put(p, keySnap, first.Snapshot))
	})
}

// Started notes one more start.
func (d *Disk) Started(starts uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(promise).Put(keyRuns, seal(binary.BigEndian.AppendUint64(nil, starts)))
	})
}

// Save is of a Store: one transaction, durable when it returns.
func (d *Disk) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		p, j := tx.Bucket(promise), tx.Bucket(journal)
		if !raft.IsEmptySnap(snapshot) {
			if err := errors.Join(put(p, keySnap, snapshot), after(j, nil)); err != nil {
				return err
			}
		}
		if hard != nil {
			if err := put(p, keyHard, hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // what was there from the first of them on is overruled
			if err := after(j, key(entries[0].GetIndex())); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(j, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// Compact is of a Store.
func (d *Disk) Compact(snapshot *pb.Snapshot, from uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(promise), keySnap, snapshot); err != nil {
			return err
		}
		c := tx.Bucket(journal).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < from; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close lets the folder go.
func (d *Disk) Close() error { return d.db.Close() }

// Lost moves a folder's file aside that cannot be used, so that an operator can look at it.
func Lost(dir string) error {
	path := filepath.Join(dir, FileName)
	return os.Rename(path, path+".damaged")
}

// after deletes all from a key on.
func after(j *bbolt.Bucket, from []byte) error {
	c := j.Cursor()
	for k, _ := c.Seek(from); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

var table = crc32.MakeTable(crc32.Castagnoli)

// seal adds a checksum: bbolt has them for its own pages' heads only, and a flipped bit must not become a promise.
func seal(b []byte) []byte {
	return binary.BigEndian.AppendUint32(append([]byte(nil), b...), crc32.Checksum(b, table))
}

func unseal(b []byte) ([]byte, error) {
	k := len(b) - 4
	if k < 0 || crc32.Checksum(b[:k], table) != binary.BigEndian.Uint32(b[k:]) {
		return nil, fmt.Errorf("%w: a checksum is wrong", ErrDamaged)
	}
	return b[:k], nil
}

func put(b *bbolt.Bucket, k []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	return b.Put(k, seal(text))
}

func message(b []byte, m proto.Message) error {
	text, err := unseal(b)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(text, m); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

// What other voters were heard to have promised: the starts of each, and the run of the last.
var starts = []byte("others")

// Seen notes a start of another voter, and gives the starts known before that are not of the same run.
func (d *Disk) Seen(voter string, count uint64, run string) (known uint64, err error) {
	err = d.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(starts)
		if err != nil {
			return err
		}
		if old := b.Get([]byte(voter)); old != nil {
			text, err := unseal(old)
			if err != nil || len(text) < 8 {
				return errors.Join(ErrDamaged, err)
			}
			if known = binary.BigEndian.Uint64(text); string(text[8:]) == run {
				known--
			}
		}
		if count <= known {
			return nil
		}
		return b.Put([]byte(voter), seal(append(binary.BigEndian.AppendUint64(nil, count), run...)))
	})
	return known, err
}

// Seat is the number of this voter that the folder keeps; 0: its first one.
func (d *Disk) Seat() (seat uint64, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		if p := tx.Bucket(promise); p != nil && p.Get(keySeat) != nil {
			text, err := unseal(p.Get(keySeat))
			if err != nil || len(text) != 8 {
				return errors.Join(ErrDamaged, err)
			}
			seat = binary.BigEndian.Uint64(text)
		}
		return nil
	})
	return seat, err
}

// Reseat keeps a new number.
func (d *Disk) Reseat(seat uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(promise).Put(keySeat, seal(binary.BigEndian.AppendUint64(nil, seat)))
	})
}

var keySeat = []byte("seat")
