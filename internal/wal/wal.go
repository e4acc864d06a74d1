// Package wal implements a write-ahead log: it stores records in order on disk. Records are appended in
// batches that share one sync, each record has a checksum, and the log is split into segments of bounded
// size, of which the oldest are removed. The package must never make decisions, interpret the content of a
// record, or return a record that differs from what was written.
//
// A directory holds segments NNNNNNNNNN.seg and a file LOCK. A segment is a header (magic, version, number of
// its first record) followed by records: length, CRC-32C of number and content, number, content. All integers
// are little endian. Only the last segment may end in the middle of a record, after a crash. Whatever follows
// the last complete record there was never acknowledged as durable, and is truncated.
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

// FS is the file system that a log uses. Tests pass one that injects faults.
type FS interface {
	// Create creates a file and fails if it exists; Open opens an existing one for reading and appending.
	Create(name string) (File, error)
	Open(name string) (File, error)
	Remove(name string) error
	// List returns the names in the directory; SyncDir makes the creation and removal of files in it durable.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	// Lock locks the directory for this process until the closer is closed. It does not wait.
	Lock(name string) (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// The segment format.
const (
	magic             = 0x4c444c57 // "WLDL" in little endian
	formatVersion     = 1
	segmentHeaderSize = 16
	recordHeaderSize  = 16
	// MaxRecordBytes is the maximum length of a record's content, in bytes.
	MaxRecordBytes = 1 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Errors that the functions of this package return, some of them wrapped. Disk also returns ErrLocked.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrCorrupt      = errors.New("damaged")
	ErrClosed       = errors.New("write-ahead log closed")
)

// Options limit the size of a log.
type Options struct {
	SegmentBytes int64 // a segment that has reached this size is closed and a new one begun; 0: 16 MiB
	MaxSegments  int   // the oldest segments beyond this number are removed; 0: 64
}

// Record is one record of the log. Numbers start at 1 and have no gaps; after old segments were removed, the
// first number found is higher.
type Record struct {
	Number  uint64
	Content []byte
}

// Log is a write-ahead log open for appending. Its methods may be called from any goroutine.
type Log struct {
	fs      FS
	dir     string
	opts    Options
	dirLock io.Closer
	writeMu sync.Mutex // held while writing to the file; guards nextNumber, segments, file, fileSize and buf

	mu         sync.Mutex // guards pending, lastErr and closed
	pending    []*batch
	lastErr    error // result of the last commit; nil: it succeeded
	closed     bool
	nextNumber uint64
	segments   []uint64 // number of the first record of each segment; the last segment is the one written to
	file       File
	fileSize   int64
	buf        []byte
}

// batch is the records of one Append call, which become durable together.
type batch struct {
	contents [][]byte
	first    uint64
	done     chan struct{}
	err      error
}

// Open locks the directory for this process and calls visit for each complete record in order. It truncates a
// torn tail. It returns an error, and changes nothing, when corruption precedes complete records, when the
// log was written by a newer version, or when another process has the lock.
func Open(disk FS, dir string, opts Options, visit func(Record) error) (*Log, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = 16 << 20
	}
	if opts.MaxSegments <= 0 {
		opts.MaxSegments = 64
	}
	lock, err := disk.Lock(path.Join(dir, "LOCK"))
	if err != nil {
		return nil, fmt.Errorf("write-ahead log %s: %w", dir, err)
	}
	l := &Log{fs: disk, dir: dir, opts: opts, dirLock: lock, nextNumber: 1}
	if err := l.replay(visit); err != nil {
		lock.Close()
		return nil, fmt.Errorf("write-ahead log %s: %w", dir, err)
	}
	return l, nil
}

func segmentName(first uint64) string { return fmt.Sprintf("%010d.seg", first) }

// listSegments returns the number of the first record of each segment, in ascending order.
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
			return nil, fmt.Errorf("%s: %w: not a valid segment name", n, ErrCorrupt)
		}
		firsts = append(firsts, first)
	}
	slices.Sort(firsts)
	return firsts, nil
}

// replay reads all segments and leaves the last one open for writing.
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
			err = fmt.Errorf("%w: segment is truncated, but later segments exist", ErrCorrupt)
		}
		if err != nil && !torn || torn && !last {
			f.Close()
			return fmt.Errorf("%s: %w", segmentName(first), err)
		}
		if !last {
			f.Close()
			l.segments = append(l.segments, first)
			l.fileSize = validSize // the end of this segment, in case the next one holds no records
			continue
		}
		if validSize < segmentHeaderSize { // a crash came before the header was written: the segment holds no records
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

// errTornTail reports that the data ends in the middle of a record or of the header, with no complete record
// after that point.
var errTornTail = errors.New("torn")

// ScanSegment reads the data of one segment. It calls visit for each complete record and returns the number
// of bytes up to the end of the last one. If more data follows, it returns errTornTail, for a torn tail left
// by a crash, or an error that wraps ErrCorrupt if a complete record comes later. It also returns errTornTail
// for an incomplete header, an error that wraps ErrNewerVersion or ErrCorrupt for a header that doesn't match,
// and the error of visit.
func ScanSegment(data []byte, first uint64, visit func(Record) error) (validSize int64, err error) {
	if len(data) < segmentHeaderSize {
		return 0, errTornTail
	}
	if binary.LittleEndian.Uint32(data) != magic {
		if allZero(data) { // the file's blocks were never written
			return 0, errTornTail
		}
		return 0, fmt.Errorf("%w: not a segment file", ErrCorrupt)
	}
	if v := binary.LittleEndian.Uint32(data[4:]); v != formatVersion {
		if v > formatVersion {
			return 0, fmt.Errorf("segment version %d: %w", v, ErrNewerVersion)
		}
		return 0, fmt.Errorf("%w: unknown segment version %d", ErrCorrupt, v)
	}
	if n := binary.LittleEndian.Uint64(data[8:]); n != first {
		return 0, fmt.Errorf("%w: header has first record %d", ErrCorrupt, n)
	}
	offset := segmentHeaderSize
	for number := first; offset < len(data); number++ {
		content, next := parseRecord(data, offset, number)
		if next == 0 {
			if later := findValidRecordAfter(data, offset+1, number); later > 0 {
				return int64(offset), fmt.Errorf("%w at byte %d: record %d is invalid, but the later record %d is valid", ErrCorrupt, offset, number, later)
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

// parseRecord reads the record at an offset. end is 0 if there is no complete record with that number there.
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

// findValidRecordAfter looks for a complete record with a higher number and returns its number; 0: there is
// none. A batch that a crash cut off leaves none, unless the disk wrote its blocks out of order. In that case
// no record of the batch was acknowledged as durable, but ScanSegment still reports corruption, as this case
// cannot be told apart from damage to a durable record.
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

// Append makes records durable, in order, together with those of other callers that wait. It returns once
// they are durable, or with the error that prevented it. After an error, none, some or all of the records may be
// found at the next start: the caller must assume neither that they were written nor that they were not. The
// log tries again with the next call.
func (l *Log) Append(contents ...[]byte) (first uint64, err error) {
	for _, c := range contents {
		if len(c) > MaxRecordBytes {
			return 0, fmt.Errorf("record of %d bytes exceeds the limit of %d bytes", len(c), MaxRecordBytes)
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
	l.writeMu.Lock() // while one goroutine writes, others queue here; the next to get the lock writes for all of them
	select {
	case <-b.done:
	default:
		l.commit()
	}
	l.writeMu.Unlock()
	return b.first, b.err
}

// commit writes all pending batches with one sync.
func (l *Log) commit() {
	l.mu.Lock()
	batches := l.pending
	l.pending = nil
	l.mu.Unlock()
	err := l.ensureSegment()
	number := l.nextNumber
	l.buf = l.buf[:0]
	for _, b := range batches {
		b.first = number
		for _, c := range b.contents {
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
	for _, b := range batches {
		if b.err = err; err != nil {
			b.err = fmt.Errorf("write-ahead log: %w", err)
		}
		close(b.done)
	}
}

// abandonSegment closes a segment whose write or sync failed. Its content after the last durable record is
// unknown, and after one failed sync a later sync may succeed without the data being on disk. The segment is
// truncated at that point if the disk permits, and is not written to again in either case.
func (l *Log) abandonSegment() {
	_ = l.file.Truncate(l.fileSize) // if this fails, ensureSegment truncates before anything else is written
	_ = l.file.Sync()
	l.file.Close()
	l.file = nil
}

// ensureSegment opens a segment for writing: a new one if the last is full or was abandoned.
func (l *Log) ensureSegment() error {
	if l.file != nil && l.fileSize < l.opts.SegmentBytes {
		return nil
	}
	if l.file == nil && len(l.segments) > 0 { // abandoned: truncate it to its last durable record
		lastPath := path.Join(l.dir, segmentName(l.segments[len(l.segments)-1]))
		f, err := l.fs.Open(lastPath)
		if err != nil {
			return err
		}
		err = errors.Join(f.Truncate(l.fileSize), f.Sync(), f.Close())
		if err != nil {
			return err
		}
		if l.segments[len(l.segments)-1] == l.nextNumber { // it holds no records: the next segment needs its name
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
	if errors.Is(err, fs.ErrExist) { // left by a failed attempt: no record in it was acknowledged as durable
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
		// if this fails, the next attempt removes it: a segment with a torn header holds no records
		_ = l.fs.Remove(segmentPath)
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

// LastError returns the error of the last commit; nil: it succeeded.
func (l *Log) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
}

// Close waits for a commit in progress, closes the log and unlocks the directory. Later calls of Append fail with
// ErrClosed.
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
		return fmt.Errorf("write-ahead log: %w", err)
	}
	return nil
}
