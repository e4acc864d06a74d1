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
	magic             = 0x4c444c57 // WLDL
	formatVersion     = 1
	segmentHeaderSize = 16
	recordHeaderSize  = 16
	// MostRecord is how long one record's content may be, in bytes.
	MaxRecordBytes = 1 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

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
	fs      FS
	dir     string
	opts    Options
	dirLock io.Closer
	writeMu sync.Mutex // held by the one that writes

	mu         sync.Mutex
	pending    []*batch
	lastErr    error // the disk's last word; nil: it works
	closed     bool
	nextNumber uint64
	segments   []uint64 // numbers of their first records, the last is written to
	file       File
	fileSize   int64
	buf        []byte
}

// group is what one caller wants durable together.
type batch struct {
	contents [][]byte
	first    uint64
	done     chan struct{}
	err      error
}

// Open takes the folder for this process and reads all that is whole, in order. A torn end is cut off; damage in front
// of whole records, a newer version or another process's hold is an error, and changes nothing.
func Open(disk FS, dir string, opts Options, visit func(Record) error) (*Log, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = 16 << 20
	}
	if opts.MaxSegments <= 0 {
		opts.MaxSegments = 64
	}
	lock, err := disk.Lock(path.Join(dir, "LOCK"))
	if err != nil {
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	l := &Log{fs: disk, dir: dir, opts: opts, dirLock: lock, nextNumber: 1}
	if err := l.replay(visit); err != nil {
		lock.Close()
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	return l, nil
}

func segmentName(first uint64) string { return fmt.Sprintf("%010d.seg", first) }

// list gives the first numbers of all segments, in order.
func listSegments(disk FS, dir string) (firsts []uint64, err error) {
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
		if err != nil || segmentName(first) != n {
			return nil, fmt.Errorf("%s: %w: it is no name of ours", n, ErrCorrupt)
		}
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	return firsts, nil
}

// read goes through all segments and leaves the last one open to write.
func (l *Log) replay(visit func(Record) error) error {
	firsts, err := listSegments(l.fs, l.dir)
	if err != nil {
		return err
	}
	for k, first := range firsts {
		if k > 0 && first != l.nextNumber {
			return fmt.Errorf("%s: %w: %d comes after %d", segmentName(first), ErrCorrupt, first, l.nextNumber-1)
		}
		l.nextNumber = first
		f, err := l.fs.Open(path.Join(l.dir, segmentName(first)))
		if err != nil {
			return err
		}
		data, err := io.ReadAll(f)
		if err != nil {
			f.Close()
			return err
		}
		validSize, err := ScanSegment(data, first, func(r Record) error {
			l.nextNumber = r.Number + 1
			return visit(r)
		})
		last := k == len(firsts)-1
		torn := errors.Is(err, errTornTail)
		if torn && !last {
			err = fmt.Errorf("%w: it ends early, others follow", ErrCorrupt)
		}
		if err != nil && !torn || torn && !last {
			f.Close()
			return fmt.Errorf("%s: %w", segmentName(first), err)
		}
		if !last {
			f.Close()
			l.segments = append(l.segments, first)
			l.fileSize = validSize // where it ends, should the one behind it turn out to hold nothing
			continue
		}
		if validSize < segmentHeaderSize { // the crash came before its head was written: it holds nothing
			f.Close()
			if err := l.fs.Remove(path.Join(l.dir, segmentName(first))); err != nil {
				return err
			}
			break
		}
		if validSize < int64(len(data)) {
			if err := errors.Join(f.Truncate(validSize), f.Sync()); err != nil {
				f.Close()
				return err
			}
		}
		l.segments = append(l.segments, first)
		l.file, l.fileSize = f, validSize
	}
	return nil
}

// errTorn is an end in the midst of a record, or of the head, with nothing whole after it.
var errTornTail = errors.New("torn")

// Scan reads one segment's text: it calls each for every whole record and returns how many bytes are whole. What
// follows them is torn (a crash's doing) or, if a whole record stands behind, damage.
func ScanSegment(data []byte, first uint64, visit func(Record) error) (validSize int64, err error) {
	if len(data) < segmentHeaderSize {
		return 0, errTornTail
	}
	if binary.LittleEndian.Uint32(data) != magic {
		if allZero(data) { // its blocks were never written
			return 0, errTornTail
		}
		return 0, fmt.Errorf("%w: it is no segment", ErrCorrupt)
	}
	if v := binary.LittleEndian.Uint32(data[4:]); v != formatVersion {
		if v > formatVersion {
			return 0, fmt.Errorf("version %d: %w", v, ErrNewerVersion)
		}
		return 0, fmt.Errorf("%w: version %d", ErrCorrupt, v)
	}
	if n := binary.LittleEndian.Uint64(data[8:]); n != first {
		return 0, fmt.Errorf("%w: its head says %d", ErrCorrupt, n)
	}
	offset := segmentHeaderSize
	for number := first; offset < len(data); number++ {
		content, next := parseRecord(data, offset, number)
		if next == 0 {
			if later := findValidRecordAfter(data, offset+1, number); later > 0 {
				return int64(offset), fmt.Errorf("%w at byte %d: record %d is not whole, record %d behind it is", ErrCorrupt, offset, number, later)
			}
			return int64(offset), errTornTail
		}
		if err := visit(Record{number, content}); err != nil {
			return int64(offset), err
		}
		offset = next
	}
	return int64(offset), nil
}

func allZero(data []byte) bool {
	return !slices.ContainsFunc(data, func(b byte) bool { return b != 0 })
}

// parse reads the record at a place; next is 0 if none of that number is whole there.
func parseRecord(data []byte, offset int, number uint64) (content []byte, end int) {
	if len(data)-offset < recordHeaderSize {
		return nil, 0
	}
	size := binary.LittleEndian.Uint32(data[offset:])
	if size > MaxRecordBytes || len(data)-offset-recordHeaderSize < int(size) || binary.LittleEndian.Uint64(data[offset+8:]) != number {
		return nil, 0
	}
	end = offset + recordHeaderSize + int(size)
	if crc32.Checksum(data[offset+8:end], crcTable) != binary.LittleEndian.Uint32(data[offset+4:]) {
		return nil, 0
	}
	return data[offset+recordHeaderSize : end], end
}

// wholeAfter looks for any whole record of a later number; 0: none. A group that was torn in the midst can leave none:
// its records come after the tear only if the disk wrote them out of order, and then none of it was told durable.
func findValidRecordAfter(data []byte, from int, number uint64) uint64 {
	for offset := from; offset+recordHeaderSize <= len(data); offset++ {
		n := binary.LittleEndian.Uint64(data[offset+8:])
		if n <= number || n > number+uint64(len(data)/recordHeaderSize) {
			continue
		}
		if _, end := parseRecord(data, offset, n); end > 0 {
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
	b := &batch{contents: contents, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return 0, ErrClosed
	}
	l.pending = append(l.pending, b)
	l.mu.Unlock()
	l.writeMu.Lock() // while another writes, more gather here, and the next to come in writes for all
	select {
	case <-b.done:
	default:
		l.commit()
	}
	l.writeMu.Unlock()
	return b.first, b.err
}

// commit writes all that waits with one sync.
func (l *Log) commit() {
	l.mu.Lock()
	batches := l.pending
	l.pending = nil
	l.mu.Unlock()
	err := l.ensureSegment()
	number := l.nextNumber
	l.buf = l.buf[:0]
	for _, g := range batches {
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
			l.fileSize += int64(len(l.buf))
			l.nextNumber = number
		} else {
			l.abandonSegment()
		}
	}
	l.mu.Lock()
	l.lastErr = err
	l.mu.Unlock()
	for _, g := range batches {
		if g.err = err; err != nil {
			g.err = fmt.Errorf("ledger: %w", err)
		}
		close(g.done)
	}
}

// spoilt gives up a segment whose write or sync failed: what it holds behind the last durable record is not known, and
// a sync that failed once may tell nothing true the next time. It is cut there if the disk still lets us, and no longer
// written to in either case.
func (l *Log) abandonSegment() {
	_ = l.file.Truncate(l.fileSize) // if not, room makes sure before anything else is written
	_ = l.file.Sync()
	l.file.Close()
	l.file = nil
}

// room opens a segment to write to: the next one where the last is full or was given up.
func (l *Log) ensureSegment() error {
	if l.file != nil && l.fileSize < l.opts.SegmentBytes {
		return nil
	}
	if l.file == nil && len(l.segments) > 0 { // given up: it must end where it is known to be whole
		lastPath := path.Join(l.dir, segmentName(l.segments[len(l.segments)-1]))
		f, err := l.fs.Open(lastPath)
		if err != nil {
			return err
		}
		err = errors.Join(f.Truncate(l.fileSize), f.Sync(), f.Close())
		if err != nil {
			return err
		}
		if l.segments[len(l.segments)-1] == l.nextNumber { // it holds nothing: its name is needed again
			if err := l.fs.Remove(lastPath); err != nil {
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
	segmentPath := path.Join(l.dir, segmentName(l.nextNumber))
	f, err := l.fs.Create(segmentPath)
	if errors.Is(err, fs.ErrExist) { // left by a try that failed: no record in it was told durable
		if err = l.fs.Remove(segmentPath); err == nil {
			f, err = l.fs.Create(segmentPath)
		}
	}
	if err != nil {
		return err
	}
	header := binary.LittleEndian.AppendUint32(nil, magic)
	header = binary.LittleEndian.AppendUint32(header, formatVersion)
	header = binary.LittleEndian.AppendUint64(header, l.nextNumber)
	_, err = f.Write(header)
	if err = errors.Join(err, f.Sync(), l.fs.SyncDir(l.dir)); err != nil {
		f.Close()
		_ = l.fs.Remove(segmentPath) // else the next try does: a head that is torn holds nothing
		return err
	}
	l.file, l.fileSize = f, segmentHeaderSize
	l.segments = append(l.segments, l.nextNumber)
	for len(l.segments) > l.opts.MaxSegments {
		if err := l.fs.Remove(path.Join(l.dir, segmentName(l.segments[0]))); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func appendRecord(buf []byte, number uint64, content []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(content)))
	sumOffset := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = append(buf, content...)
	binary.LittleEndian.PutUint32(buf[sumOffset:], crc32.Checksum(buf[sumOffset+4:], crcTable))
	return buf
}

// Err is why the last commit failed; nil: the disk works.
func (l *Log) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
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
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	if err = errors.Join(err, l.dirLock.Close()); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}
