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

// memory is a file system that forgets at a crash what was not synced, and fails or tears the call of a number.
type memory struct {
	files map[string]*data // by name; what is durable of the folder itself is in kept
	kept  map[string]*data
	calls int
	fail  int // this call fails; 0: none
	tear  int // a write that fails has written so many bytes
	span  int // so many calls in a row fail, beginning with it
	held  bool
}

type data struct{ now, durable []byte }

var errDisk = errors.New("the disk says no")

func newMemory() *memory { return &memory{files: map[string]*data{}, kept: map[string]*data{}} }

func (m *memory) call() error {
	m.calls++
	if m.fail > 0 && m.calls >= m.fail && m.calls < m.fail+m.span {
		return errDisk
	}
	return nil
}

// crash leaves what is durable, and of the rest of each file as many bytes as torn says; with names also files whose
// names were not synced yet.
func (m *memory) crash(torn int, names bool) {
	m.held, m.fail = false, 0
	if names {
		for n, d := range m.files {
			m.kept[n] = d
		}
	}
	m.files = map[string]*data{}
	for n, d := range m.kept {
		text := d.durable
		if len(d.now) > len(text) && strings.HasPrefix(string(d.now), string(text)) {
			text = d.now[:min(len(text)+torn, len(d.now))]
		}
		c := &data{append([]byte(nil), text...), append([]byte(nil), text...)}
		m.files[n] = c
	}
	m.kept = map[string]*data{}
	for n, d := range m.files {
		m.kept[n] = d
	}
}

type handle struct {
	m  *memory
	d  *data
	at int
}

func (m *memory) Create(n string) (File, error) {
	if m.files[n] != nil {
		return nil, fs.ErrExist
	}
	if err := m.call(); err != nil {
		return nil, err
	}
	m.files[n] = &data{}
	return &handle{m: m, d: m.files[n]}, nil
}
func (m *memory) Open(n string) (File, error) {
	if m.files[n] == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{m: m, d: m.files[n]}, m.call()
}
func (m *memory) Remove(n string) error {
	if err := m.call(); err != nil {
		return err
	}
	delete(m.files, n)
	delete(m.kept, n)
	return nil
}
func (m *memory) List(string) (names []string, err error) {
	for n := range m.files {
		names = append(names, filepath.Base(n))
	}
	return names, nil
}
func (m *memory) SyncDir(string) error {
	if err := m.call(); err != nil {
		return err
	}
	for n, d := range m.files {
		m.kept[n] = d
	}
	return nil
}
func (m *memory) Lock(string) (io.Closer, error) {
	if m.held {
		return nil, ErrLocked
	}
	m.held = true
	return &unlock{m}, nil
}

type unlock struct{ m *memory }

func (u *unlock) Close() error { u.m.held = false; return nil }

func (h *handle) Read(p []byte) (int, error) {
	if h.at >= len(h.d.now) {
		return 0, io.EOF
	}
	n := copy(p, h.d.now[h.at:])
	h.at += n
	return n, nil
}
func (h *handle) Write(p []byte) (int, error) {
	if err := h.m.call(); err != nil {
		n := min(h.m.tear, len(p))
		h.d.now = append(h.d.now, p[:n]...)
		return n, err
	}
	h.d.now = append(h.d.now, p...)
	return len(p), nil
}
func (h *handle) Sync() error {
	if err := h.m.call(); err != nil {
		return err
	}
	h.d.durable = append([]byte(nil), h.d.now...)
	return nil
}
func (h *handle) Truncate(size int64) error {
	if err := h.m.call(); err != nil {
		return err
	}
	h.d.now = append([]byte(nil), h.d.now[:min(int(size), len(h.d.now))]...)
	return nil
}
func (h *handle) Close() error { return nil }

// read opens a ledger and gives what it holds.
func read(t *testing.T, disk FS, o Options) (*Log, []string) {
	t.Helper()
	var all []string
	l, err := Open(disk, "d", o, func(r Record) error {
		all = append(all, fmt.Sprintf("%d %s", r.Number, r.Content))
		return nil
	})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return l, all
}

var small = Options{SegmentBytes: 120, MaxSegments: 100}

// script appends until it has made a number of groups, and gives what was told durable.
func script(l *Log, from int) (told []string) {
	for k := from; k < from+8; k++ {
		a, b := fmt.Sprintf("a%d", k), fmt.Sprintf("b%d", k)
		if first, err := l.Append([]byte(a), []byte(b)); err == nil {
			told = append(told, fmt.Sprintf("%d %s", first, a), fmt.Sprintf("%d %s", first+1, b))
		}
	}
	return told
}

// TestEveryCallFails: each call to the disk in turn fails once, or from then on; writes leave each part of what they were
// to write. Whatever was told durable is there after the crash, in its order, and what else is there was asked for.
func TestEveryCallFails(t *testing.T) {
	whole := newMemory()
	l, _ := read(t, whole, small)
	script(l, 0)
	total := whole.calls
	if total < 20 {
		t.Fatalf("only %d calls", total)
	}
	for call := 1; call <= total; call++ {
		for _, tear := range []int{0, 1, 15, 16, 17, 19, 30, 1000} {
			for _, span := range []int{1, 2, 3, 5, 1e6} {
				for _, torn := range []int{0, 7, 18, 1000} {
					m := newMemory()
					m.tear, m.fail, m.span = tear, call, span
					l, _ := read(t, m, small)
					told := script(l, 0)
					if span < 6 && len(told) < 16-2*span {
						t.Fatalf("call %d: only %d told durable: it does not come back by itself", call, len(told))
					}
					m.crash(torn, torn != 18)
					l, found := read(t, m, small)
					holds(t, fmt.Sprintf("call %d tear %d span %d torn %d", call, tear, span, torn), told, found)
					more := script(l, 100) // and it goes on
					if len(more) != 16 {
						t.Fatalf("call %d: after the crash %d of 16", call, len(more))
					}
					m.crash(0, false)
					_, again := read(t, m, small)
					holds(t, fmt.Sprintf("call %d, second start", call), append(told, more...), again)
				}
			}
		}
	}
}

// holds tells whether all that was told is found, in order, each number once.
func holds(t *testing.T, what string, told, found []string) {
	t.Helper()
	k := 0
	for n, f := range found {
		if k < len(told) && told[k] == f {
			k++
		}
		var number int
		var content string
		if _, err := fmt.Sscan(f, &number, &content); err != nil || number != n+1 || content == "" {
			t.Fatalf("%s: found %v", what, found)
		}
	}
	if k < len(told) {
		t.Fatalf("%s: told %v, found %v", what, told, found)
	}
}

// TestDamage: a bit flipped anywhere but in the last record is told as damage, and nothing is changed by looking.
func TestDamage(t *testing.T) {
	m := newMemory()
	l, _ := read(t, m, Options{})
	script(l, 0)
	m.crash(0, false)
	var file string
	for n := range m.files {
		file = n
	}
	good := append([]byte(nil), m.files[file].now...)
	last := len(good) - recordHead - 2 // the last record's first byte
	for at := range good {
		text := append([]byte(nil), good...)
		text[at] ^= 0x10
		m.files[file] = &data{text, text}
		m.held = false
		n := 0
		_, err := Open(m, "d", Options{}, func(Record) error { n++; return nil })
		switch {
		case at >= last: // as a crash would leave it
			if err != nil || n != 15 {
				t.Errorf("byte %d: %d records, %v", at, n, err)
			}
		case at >= 4 && at < 8 && errors.Is(err, ErrNewerVersion):
		case !errors.Is(err, ErrCorrupt):
			t.Errorf("byte %d: %v", at, err)
		case cmp.Diff(text, m.files[file].now) != "":
			t.Errorf("byte %d: the file was changed", at)
		}
	}
}

// TestForgets: the oldest segments go, numbers go on.
func TestForgets(t *testing.T) {
	m := newMemory()
	o := Options{SegmentBytes: 100, MaxSegments: 3}
	l, _ := read(t, m, o)
	for k := range 100 {
		if _, err := l.Append([]byte(fmt.Sprint(k))); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append([]byte("x")); !errors.Is(err, ErrClosed) {
		t.Errorf("closed: %v", err)
	}
	_, found := read(t, m, o)
	if len(m.files) != 3 || found[len(found)-1] != "100 99" || len(found) > 15 {
		t.Errorf("%d files, %v", len(m.files), found)
	}
}

// TestDisk: on the real file system, from many goroutines with groups shared, held against a second process, read again.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(Disk{}, dir, Options{SegmentBytes: 20000}, func(Record) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Disk{}, dir, Options{}, func(Record) error { return nil }); !errors.Is(err, ErrLocked) {
		t.Errorf("a second hold: %v", err)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	told := map[uint64]string{}
	for w := range 16 {
		wait.Go(func() {
			for k := range 100 {
				text := fmt.Sprintf("%d-%d", w, k)
				n, err := l.Append([]byte(text))
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				told[n] = text
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
	if diff := cmp.Diff(told, found); diff != "" || len(found) != 1600 {
		t.Errorf("(-told +found):\n%s", diff)
	}
	if err := os.WriteFile(filepath.Join(dir, "odd.seg"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Disk{}, dir, Options{}, func(Record) error { return nil }); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a stranger's file: %v", err)
	}
}

// FuzzScan: no text makes it fail otherwise than by its errors, and what it calls whole reads the same again.
func FuzzScan(f *testing.F) {
	text := appendRecord(nil, 1, []byte("hello"))
	f.Add(append([]byte("WLDL\x01\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00"), text...))
	f.Fuzz(func(t *testing.T, text []byte) {
		n := 0
		whole, err := ScanSegment(text, 1, func(Record) error { n++; return nil })
		if err != nil && !errors.Is(err, errTorn) && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNewerVersion) || whole > int64(len(text)) {
			t.Fatalf("%d of %d: %v", whole, len(text), err)
		}
		if whole >= headSize {
			again := 0
			if _, err := ScanSegment(text[:whole], 1, func(Record) error { again++; return nil }); err != nil || again != n {
				t.Fatalf("%d, then %d: %v", n, again, err)
			}
		}
	})
}

// BenchmarkIntents: records of 120 bytes on the real disk from 64 callers, each waiting for its own.
func BenchmarkIntents(b *testing.B) {
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
