// Package ledger keeps records in order on a disk that lasts: appended in groups that share one sync, each with a
// checksum, in segments of bounded size of which the oldest are forgotten. It must never decide anything, know what a
// record is for beyond its form, or give back a record that is not as it was written.
//
// A folder holds segments NNNNNNNNNN.seg and a file LOCK. A segment is a head (magic, version, its number) and records:
// length, CRC-32C of number and content, number, content; all numbers little endian. Only the last segment may end in
// the midst of a record, by a crash; what follows a whole record there was never told to be durable, and is cut off.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// FS is the file system that a ledger stands on; tests hand in one that fails.
type FS interface {
	// Create makes a file that is not there yet, Open opens one to read and append.
	Create(name string) (File, error)
	Open(name string) (File, error)
	Remove(name string) error
	// List gives the names in the folder, SyncDir makes what was created and removed there last.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	// Lock holds the folder for this process until the closer is closed; it does not wait.
	Lock(name string) (io.Closer, error)
}

// File is one file of an FS.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// The form of a segment.
const (
	magic      = 0x4c444c57 // WLDL
	version    = 1
	headSize   = 16
	recordHead = 16
	// MostRecord is how long one record's content may be, in bytes.
	MaxRecordBytes = 1 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// What opening or reading may end with.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrCorrupt      = errors.New("damaged")
	ErrClosed       = errors.New("ledger closed")
)

// Options say how large a ledger may grow.
type Options struct {
	SegmentBytes int64 // a segment is ended beyond it; 0: 16 MiB
	MaxSegments  int   // the oldest go beyond so many; 0: 64
}

// Record is one, with its number from 1 on; numbers have no gaps but where the oldest are forgotten.
type Record struct {
	Number  uint64
	Content []byte
}

// Ledger takes records. Its methods may be called from any goroutine.
type Log struct {
	fs    FS
	dir   string
	o     Options
	lock  io.Closer
	write sync.Mutex // held by the one that writes

	mu       sync.Mutex
	waiting  []*group
	failed   error // the disk's last word; nil: it works
	closed   bool
	next     uint64
	segments []uint64 // numbers of their first records, the last is written to
	file     File
	size     int64
	buf      []byte
}

// group is what one caller wants durable together.
type group struct {
	contents [][]byte
	first    uint64
	done     chan struct{}
	err      error
}

// Open takes the folder for this process and reads all that is whole, in order. A torn end is cut off; damage in front
// of whole records, a newer version or another process's hold is an error, and changes nothing.
func Open(disk FS, dir string, o Options, each func(Record) error) (*Log, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 16 << 20
	}
	if o.MaxSegments <= 0 {
		o.MaxSegments = 64
	}
	lock, err := disk.Lock(path.Join(dir, "LOCK"))
	if err != nil {
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	l := &Log{fs: disk, dir: dir, o: o, lock: lock, next: 1}
	if err := l.read(each); err != nil {
		lock.Close()
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	return l, nil
}

func name(first uint64) string { return fmt.Sprintf("%010d.seg", first) }

// list gives the first numbers of all segments, in order.
func list(disk FS, dir string) (firsts []uint64, err error) {
	names, err := disk.List(dir)
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		digits, ok := strings.CutSuffix(n, ".seg")
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(digits, 10, 64)
		if err != nil || name(first) != n {
			return nil, fmt.Errorf("%s: %w: it is no name of ours", n, ErrCorrupt)
		}
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	return firsts, nil
}

// read goes through all segments and leaves the last one open to write.
func (l *Log) read(each func(Record) error) error {
	firsts, err := list(l.fs, l.dir)
	if err != nil {
		return err
	}
	for k, first := range firsts {
		if k > 0 && first != l.next {
			return fmt.Errorf("%s: %w: %d comes after %d", name(first), ErrCorrupt, first, l.next-1)
		}
		l.next = first
		f, err := l.fs.Open(path.Join(l.dir, name(first)))
		if err != nil {
			return err
		}
		text, err := io.ReadAll(f)
		if err != nil {
			f.Close()
			return err
		}
		whole, err := ScanSegment(text, first, func(r Record) error {
			l.next = r.Number + 1
			return each(r)
		})
		last := k == len(firsts)-1
		torn := errors.Is(err, errTorn)
		if torn && !last {
			err = fmt.Errorf("%w: it ends early, others follow", ErrCorrupt)
		}
		if err != nil && !torn || torn && !last {
			f.Close()
			return fmt.Errorf("%s: %w", name(first), err)
		}
		if !last {
			f.Close()
			l.segments = append(l.segments, first)
			l.size = whole // where it ends, should the one behind it turn out to hold nothing
			continue
		}
		if whole < headSize { // the crash came before its head was written: it holds nothing
			f.Close()
			if err := l.fs.Remove(path.Join(l.dir, name(first))); err != nil {
				return err
			}
			break
		}
		if whole < int64(len(text)) {
			if err := errors.Join(f.Truncate(whole), f.Sync()); err != nil {
				f.Close()
				return err
			}
		}
		l.segments = append(l.segments, first)
		l.file, l.size = f, whole
	}
	return nil
}

// errTorn is an end in the midst of a record, or of the head, with nothing whole after it.
var errTorn = errors.New("torn")

// Scan reads one segment's text: it calls each for every whole record and returns how many bytes are whole. What
// follows them is torn (a crash's doing) or, if a whole record stands behind, damage.
func ScanSegment(text []byte, first uint64, each func(Record) error) (whole int64, err error) {
	if len(text) < headSize {
		return 0, errTorn
	}
	if binary.LittleEndian.Uint32(text) != magic {
		if allZero(text) { // its blocks were never written
			return 0, errTorn
		}
		return 0, fmt.Errorf("%w: it is no segment", ErrCorrupt)
	}
	if v := binary.LittleEndian.Uint32(text[4:]); v != version {
		if v > version {
			return 0, fmt.Errorf("version %d: %w", v, ErrNewerVersion)
		}
		return 0, fmt.Errorf("%w: version %d", ErrCorrupt, v)
	}
	if n := binary.LittleEndian.Uint64(text[8:]); n != first {
		return 0, fmt.Errorf("%w: its head says %d", ErrCorrupt, n)
	}
	at := headSize
	for number := first; at < len(text); number++ {
		content, next := parse(text, at, number)
		if next == 0 {
			if found := wholeAfter(text, at+1, number); found > 0 {
				return int64(at), fmt.Errorf("%w at byte %d: record %d is not whole, record %d behind it is", ErrCorrupt, at, number, found)
			}
			return int64(at), errTorn
		}
		if err := each(Record{number, content}); err != nil {
			return int64(at), err
		}
		at = next
	}
	return int64(at), nil
}

func allZero(text []byte) bool {
	return !slices.ContainsFunc(text, func(b byte) bool { return b != 0 })
}

// parse reads the record at a place; next is 0 if none of that number is whole there.
func parse(text []byte, at int, number uint64) (content []byte, next int) {
	if len(text)-at < recordHead {
		return nil, 0
	}
	size := binary.LittleEndian.Uint32(text[at:])
	if size > MaxRecordBytes || len(text)-at-recordHead < int(size) || binary.LittleEndian.Uint64(text[at+8:]) != number {
		return nil, 0
	}
	next = at + recordHead + int(size)
	if crc32.Checksum(text[at+8:next], table) != binary.LittleEndian.Uint32(text[at+4:]) {
		return nil, 0
	}
	return text[at+recordHead : next], next
}

// wholeAfter looks for any whole record of a later number; 0: none. A group that was torn in the midst can leave none:
// its records come after the tear only if the disk wrote them out of order, and then none of it was told durable.
func wholeAfter(text []byte, from int, number uint64) uint64 {
	for at := from; at+recordHead <= len(text); at++ {
		n := binary.LittleEndian.Uint64(text[at+8:])
		if n <= number || n > number+uint64(len(text)/recordHead) {
			continue
		}
		if _, next := parse(text, at, n); next > 0 {
			return n
		}
	}
	return 0
}

// Append makes records durable, in order and together with those of other callers that wait: it returns once they are,
// or with what kept them from it. After an error none of them may come back at the next start, or some: whoever asked
// must take them for neither. The ledger tries again with the next call.
func (l *Log) Append(contents ...[]byte) (first uint64, err error) {
	for _, c := range contents {
		if len(c) > MaxRecordBytes {
			return 0, fmt.Errorf("a record of %d bytes: at most %d", len(c), MaxRecordBytes)
		}
	}
	g := &group{contents: contents, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return 0, ErrClosed
	}
	l.waiting = append(l.waiting, g)
	l.mu.Unlock()
	l.write.Lock() // while another writes, more gather here, and the next to come in writes for all
	select {
	case <-g.done:
	default:
		l.commit()
	}
	l.write.Unlock()
	return g.first, g.err
}

// commit writes all that waits with one sync.
func (l *Log) commit() {
	l.mu.Lock()
	all := l.waiting
	l.waiting = nil
	l.mu.Unlock()
	err := l.room()
	number := l.next
	l.buf = l.buf[:0]
	for _, g := range all {
		g.first = number
		for _, c := range g.contents {
			l.buf = appendRecord(l.buf, number, c)
			number++
		}
	}
	if err == nil {
		if _, err = l.file.Write(l.buf); err == nil {
			err = l.file.Sync()
		}
		if err == nil {
			l.size += int64(len(l.buf))
			l.next = number
		} else {
			l.spoilt()
		}
	}
	l.mu.Lock()
	l.failed = err
	l.mu.Unlock()
	for _, g := range all {
		if g.err = err; err != nil {
			g.err = fmt.Errorf("ledger: %w", err)
		}
		close(g.done)
	}
}

// spoilt gives up a segment whose write or sync failed: what it holds behind the last durable record is not known, and
// a sync that failed once may tell nothing true the next time. It is cut there if the disk still lets us, and no longer
// written to in either case.
func (l *Log) spoilt() {
	_ = l.file.Truncate(l.size) // if not, room makes sure before anything else is written
	_ = l.file.Sync()
	l.file.Close()
	l.file = nil
}

// room opens a segment to write to: the next one where the last is full or was given up.
func (l *Log) room() error {
	if l.file != nil && l.size < l.o.SegmentBytes {
		return nil
	}
	if l.file == nil && len(l.segments) > 0 { // given up: it must end where it is known to be whole
		last := path.Join(l.dir, name(l.segments[len(l.segments)-1]))
		f, err := l.fs.Open(last)
		if err != nil {
			return err
		}
		err = errors.Join(f.Truncate(l.size), f.Sync(), f.Close())
		if err != nil {
			return err
		}
		if l.segments[len(l.segments)-1] == l.next { // it holds nothing: its name is needed again
			if err := l.fs.Remove(last); err != nil {
				return err
			}
			l.segments = l.segments[:len(l.segments)-1]
		}
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
		l.file = nil
	}
	at := path.Join(l.dir, name(l.next))
	f, err := l.fs.Create(at)
	if errors.Is(err, fs.ErrExist) { // left by a try that failed: no record in it was told durable
		if err = l.fs.Remove(at); err == nil {
			f, err = l.fs.Create(at)
		}
	}
	if err != nil {
		return err
	}
	head := binary.LittleEndian.AppendUint32(nil, magic)
	head = binary.LittleEndian.AppendUint32(head, version)
	head = binary.LittleEndian.AppendUint64(head, l.next)
	_, err = f.Write(head)
	if err = errors.Join(err, f.Sync(), l.fs.SyncDir(l.dir)); err != nil {
		f.Close()
		_ = l.fs.Remove(at) // else the next try does: a head that is torn holds nothing
		return err
	}
	l.file, l.size = f, headSize
	l.segments = append(l.segments, l.next)
	for len(l.segments) > l.o.MaxSegments {
		if err := l.fs.Remove(path.Join(l.dir, name(l.segments[0]))); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func appendRecord(buf []byte, number uint64, content []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(content)))
	sum := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = append(buf, content...)
	binary.LittleEndian.PutUint32(buf[sum:], crc32.Checksum(buf[sum+4:], table))
	return buf
}

// Err is why the last commit failed; nil: the disk works.
func (l *Log) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Close lets the folder go. What waits is written first.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrClosed
	}
	l.closed = true
	l.mu.Unlock()
	l.write.Lock()
	defer l.write.Unlock()
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if err = errors.Join(err, l.lock.Close()); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}
