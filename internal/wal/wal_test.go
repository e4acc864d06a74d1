package wal

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// memFS is a file system in memory. A crash discards what was not synced. It fails the calls with given
// numbers, and a failing write may write a part of its data.
type memFS struct {
	files        map[string]*memFile // by name; synced has the files whose directory entry is durable
	synced       map[string]*memFile
	calls        int
	failAt       int // number of the first call that fails; 0: none
	partialWrite int // bytes that a failing write has written
	failCount    int // number of consecutive calls that fail, from failAt on
	locked       bool
}

type memFile struct{ content, durable []byte }

var errDisk = errors.New("simulated disk error")

func newMemFS() *memFS { return &memFS{files: map[string]*memFile{}, synced: map[string]*memFile{}} }

func (m *memFS) call() error {
	m.calls++
	if m.failAt > 0 && m.calls >= m.failAt && m.calls < m.failAt+m.failCount {
		return errDisk
	}
	return nil
}

// crash keeps what is durable, and up to unsyncedBytes of what each file has beyond that. With keepNames it
// also keeps files whose directory entry was not synced.
func (m *memFS) crash(unsyncedBytes int, keepNames bool) {
	m.locked, m.failAt = false, 0
	if keepNames {
		for n, d := range m.files {
			m.synced[n] = d
		}
	}
	m.files = map[string]*memFile{}
	for n, d := range m.synced {
		text := d.durable
		if len(d.content) > len(text) && strings.HasPrefix(string(d.content), string(text)) {
			text = d.content[:min(len(text)+unsyncedBytes, len(d.content))]
		}
		c := &memFile{append([]byte(nil), text...), append([]byte(nil), text...)}
		m.files[n] = c
	}
	m.synced = map[string]*memFile{}
	for n, d := range m.files {
		m.synced[n] = d
	}
}

type memHandle struct {
	fs     *memFS
	file   *memFile
	offset int
}

func (m *memFS) Create(n string) (File, error) {
	if m.files[n] != nil {
		return nil, fs.ErrExist
	}
	if err := m.call(); err != nil {
		return nil, err
	}
	m.files[n] = &memFile{}
	return &memHandle{fs: m, file: m.files[n]}, nil
}
func (m *memFS) Open(n string) (File, error) {
	if m.files[n] == nil {
		return nil, fs.ErrNotExist
	}
	return &memHandle{fs: m, file: m.files[n]}, m.call()
}
func (m *memFS) Remove(n string) error {
	if err := m.call(); err != nil {
		return err
	}
	delete(m.files, n)
	delete(m.synced, n)
	return nil
}
func (m *memFS) List(string) (names []string, err error) {
	for n := range m.files {
		names = append(names, filepath.Base(n))
	}
	return names, nil
}
func (m *memFS) SyncDir(string) error {
	if err := m.call(); err != nil {
		return err
	}
	for n, d := range m.files {
		m.synced[n] = d
	}
	return nil
}
func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return &memLock{m}, nil
}

type memLock struct{ m *memFS }

func (u *memLock) Close() error { u.m.locked = false; return nil }

func (h *memHandle) Read(p []byte) (int, error) {
	if h.offset >= len(h.file.content) {
		return 0, io.EOF
	}
	n := copy(p, h.file.content[h.offset:])
	h.offset += n
	return n, nil
}
func (h *memHandle) Write(p []byte) (int, error) {
	if err := h.fs.call(); err != nil {
		n := min(h.fs.partialWrite, len(p))
		h.file.content = append(h.file.content, p[:n]...)
		return n, err
	}
	h.file.content = append(h.file.content, p...)
	return len(p), nil
}
func (h *memHandle) Sync() error {
	if err := h.fs.call(); err != nil {
		return err
	}
	h.file.durable = append([]byte(nil), h.file.content...)
	return nil
}
func (h *memHandle) Truncate(size int64) error {
	if err := h.fs.call(); err != nil {
		return err
	}
	h.file.content = append([]byte(nil), h.file.content[:min(int(size), len(h.file.content))]...)
	return nil
}
func (h *memHandle) Close() error { return nil }

// openLog opens a log and returns the records in it, each as its number and content.
func openLog(t *testing.T, disk FS, o Options) (*Log, []string) {
	t.Helper()
	var records []string
	l, err := Open(disk, "d", o, func(r Record) error {
		records = append(records, fmt.Sprintf("%d %s", r.Number, r.Content))
		return nil
	})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l, records
}

var smallSegments = Options{SegmentBytes: 120, MaxSegments: 100}

// appendPairs appends eight batches of two records and returns the records that were acknowledged as durable.
func appendPairs(l *Log, from int) (acked []string) {
	for k := from; k < from+8; k++ {
		a, b := fmt.Sprintf("a%d", k), fmt.Sprintf("b%d", k)
		if first, err := l.Append([]byte(a), []byte(b)); err == nil {
			acked = append(acked, fmt.Sprintf("%d %s", first, a), fmt.Sprintf("%d %s", first+1, b))
		}
	}
	return acked
}

// TestDiskFaultAtEachCall makes each disk call in turn fail, once, several times in a row or from then on;
// failing writes write part of their data. After a crash, all acknowledged records must be found in order, and
// the records found must be numbered without gaps and not be empty.
func TestDiskFaultAtEachCall(t *testing.T) {
	faultless := newMemFS()
	l, _ := openLog(t, faultless, smallSegments)
	appendPairs(l, 0)
	total := faultless.calls
	if total < 20 {
		t.Fatalf("only %d disk calls, want at least 20", total)
	}
	for call := 1; call <= total; call++ {
		for _, partialWrite := range []int{0, 1, 15, 16, 17, 19, 30, 1000} {
			for _, failCount := range []int{1, 2, 3, 5, 1e6} {
				for _, unsyncedBytes := range []int{0, 7, 18, 1000} {
					m := newMemFS()
					m.partialWrite, m.failAt, m.failCount = partialWrite, call, failCount
					l, _ := openLog(t, m, smallSegments)
					acked := appendPairs(l, 0)
					if failCount < 6 && len(acked) < 16-2*failCount {
						t.Fatalf("call %d: only %d records acknowledged: the log did not recover by itself", call, len(acked))
					}
					m.crash(unsyncedBytes, unsyncedBytes != 18)
					l, found := openLog(t, m, smallSegments)
					checkAcked(t, fmt.Sprintf("failing call %d, partial write %d, failing calls %d, unsynced bytes kept %d", call, partialWrite, failCount, unsyncedBytes), acked, found)
					more := appendPairs(l, 100) // the log accepts appends again
					if len(more) != 16 {
						t.Fatalf("call %d: %d of 16 records acknowledged after the crash", call, len(more))
					}
					m.crash(0, false)
					_, again := openLog(t, m, smallSegments)
					checkAcked(t, fmt.Sprintf("failing call %d, second restart", call), append(acked, more...), again)
				}
			}
		}
	}
}

// checkAcked checks that all acknowledged records are found in order and that each number occurs once.
func checkAcked(t *testing.T, context string, acked, found []string) {
	t.Helper()
	k := 0
	for n, f := range found {
		if k < len(acked) && acked[k] == f {
			k++
		}
		var number int
		var content string
		if _, err := fmt.Sscan(f, &number, &content); err != nil || number != n+1 || content == "" {
			t.Fatalf("%s: unexpected record number or content in %v", context, found)
		}
	}
	if k < len(acked) {
		t.Fatalf("%s: acknowledged %v, found %v", context, acked, found)
	}
}

// TestBitFlipIsDetected checks that a flipped bit anywhere but in the last record is reported as corruption,
// and that opening does not change the file.
func TestBitFlipIsDetected(t *testing.T) {
	m := newMemFS()
	l, _ := openLog(t, m, Options{})
	appendPairs(l, 0)
	m.crash(0, false)
	var file string
	for n := range m.files {
		file = n
	}
	good := append([]byte(nil), m.files[file].content...)
	last := len(good) - recordHeaderSize - 2 // offset of the last record
	for at := range good {
		text := append([]byte(nil), good...)
		text[at] ^= 0x10
		m.files[file] = &memFile{text, text}
		m.locked = false
		n := 0
		_, err := Open(m, "d", Options{}, func(Record) error { n++; return nil })
		switch {
		case at >= last: // looks like a tail torn by a crash
			if err != nil || n != 15 {
				t.Errorf("byte %d: got %d records and error %v, want 15 records and no error", at, n, err)
			}
		case at >= 4 && at < 8 && errors.Is(err, ErrNewerVersion):
		case !errors.Is(err, ErrCorrupt):
			t.Errorf("byte %d: got error %v, want ErrCorrupt", at, err)
		case cmp.Diff(text, m.files[file].content) != "":
			t.Errorf("byte %d: opening changed the file", at)
		}
	}
}

// TestRemovesOldestSegments checks that the oldest segments are removed and that record numbers continue.
func TestRemovesOldestSegments(t *testing.T) {
	m := newMemFS()
	o := Options{SegmentBytes: 100, MaxSegments: 3}
	l, _ := openLog(t, m, o)
	for k := range 100 {
		if _, err := l.Append([]byte(fmt.Sprint(k))); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append([]byte("x")); !errors.Is(err, ErrClosed) {
		t.Errorf("append after close: got error %v, want ErrClosed", err)
	}
	_, found := openLog(t, m, o)
	if len(m.files) != 3 || found[len(found)-1] != "100 99" || len(found) > 15 {
		t.Errorf("%d files, records %v", len(m.files), found)
	}
}

// TestConcurrentAppendsOnDisk appends on the real file system from many goroutines that share batches, checks
// that a second open fails on the lock, and reads the records back.
func TestConcurrentAppendsOnDisk(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(Disk{}, dir, Options{SegmentBytes: 20000}, func(Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Disk{}, dir, Options{}, func(Record) error { return nil }); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: got error %v, want ErrLocked", err)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	acked := map[uint64]string{}
	for w := range 16 {
		wait.Go(func() {
			for k := range 100 {
				text := fmt.Sprintf("%d-%d", w, k)
				n, err := l.Append([]byte(text))
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				acked[n] = text
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	found := map[uint64]string{}
	l, err = Open(Disk{}, dir, Options{}, func(r Record) error { found[r.Number] = string(r.Content); return nil })
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if diff := cmp.Diff(acked, found); diff != "" || len(found) != 1600 {
		t.Errorf("records read back differ (-acknowledged +found):\n%s", diff)
	}
	if err := os.WriteFile(filepath.Join(dir, "odd.seg"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Disk{}, dir, Options{}, func(Record) error { return nil }); !errors.Is(err, ErrCorrupt) {
		t.Errorf("unknown .seg file: got error %v, want ErrCorrupt", err)
	}
}

// FuzzScanSegment checks that arbitrary data yields only the documented errors, and that the part reported as
// valid scans to the same records again.
func FuzzScanSegment(f *testing.F) {
	data := appendRecord(nil, 1, []byte("hello"))
	f.Add(append([]byte("WLDL\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00"), data...))
	f.Fuzz(func(t *testing.T, data []byte) {
		n := 0
		validSize, err := ScanSegment(data, 1, func(Record) error { n++; return nil })
		if err != nil && !errors.Is(err, errTornTail) && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) || validSize > int64(len(data)) {
			t.Fatalf("valid size %d of %d: unexpected error %v", validSize, len(data), err)
		}
		if validSize >= segmentHeaderSize {
			again := 0
			if _, err := ScanSegment(data[:validSize], 1, func(Record) error { again++; return nil }); err != nil || again != n {
				t.Fatalf("%d records, but %d in the valid part: %v", n, again, err)
			}
		}
	})
}

// BenchmarkAppend appends records of 120 bytes on the real disk from parallel callers (8 per CPU, so 64 on 8
// CPUs), each of which waits for its own record.
func BenchmarkAppend(b *testing.B) {
	l, err := Open(Disk{}, b.TempDir(), Options{}, func(Record) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	b.SetParallelism(8)
	record := make([]byte, 120)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := l.Append(record); err != nil {
				b.Error(err)
			}
		}
	})
}
