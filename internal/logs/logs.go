// Package logs bounds what is written to the log: of each kind of line, told by its first key, so many a second at
// most, and none beyond a length. It guards against clients, workers or networks that could fill a disk or use up the
// CPU with lines. It must never drop a line without saying how many, nor one of a kind that is rare.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	mostEach = 20  // lines of a kind in a second
	mostLong = 400 // bytes of a line
	kinds    = 64  // that are told apart; there are fewer in the program
)

// kind is how many lines of one kind came in the present second.
type kind struct {
	second int64
	lines  int
}

// Writer is for package log, without flags: it puts the time before each line itself.
type Writer struct {
	mu    sync.Mutex
	out   io.Writer
	now   func() time.Time
	kinds map[string]kind
}

// New writes to out.
func New(out io.Writer, now func() time.Time) *Writer {
	return &Writer{out: out, now: now, kinds: map[string]kind{}}
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, all := w.now(), len(line)
	key, _, _ := bytes.Cut(line[:min(all, 40)], []byte("="))
	k, known := w.kinds[string(key)]
	if !known && len(w.kinds) >= kinds {
		key = []byte("other")
		k = w.kinds["other"]
	}
	stamp := now.Format("2006/01/02 15:04:05.000000 ")
	if k.second != now.Unix() {
		if k.lines > mostEach {
			fmt.Fprintf(w.out, "%sdropped=%d of=%s\n", stamp, k.lines-mostEach, key)
		}
		k = kind{second: now.Unix()}
	}
	k.lines++
	w.kinds[string(key)] = k
	if k.lines > mostEach {
		return all, nil
	}
	if all > mostLong {
		line = append(bytes.Clone(line[:mostLong]), '\n')
	}
	if _, err := w.out.Write(append([]byte(stamp), line...)); err != nil {
		return 0, err
	}
	return all, nil
}
