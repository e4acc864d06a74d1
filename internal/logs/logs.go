// Package logs bounds what is written to the log: of each kind of line, told by its message, so many a second at
// most, and none beyond a length. It guards against clients, workers or networks that could fill a disk or use up the
// CPU with lines. It must never drop a line without saying how many, nor one of a kind that is rare.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Bounds say how much is written. Use them with Default's where nothing else is asked for.
type Limits struct {
	Lines     int // of a kind in a second
	LineBytes int // of a line; the rest is cut off
}

// Default holds where the operator's file says nothing.
var DefaultLimits = Limits{Lines: 20, LineBytes: 400}

const kinds = 64 // that are told apart; there are fewer in the program

// kind is how many lines of one kind came in the present second.
type kind struct {
	second int64
	lines  int
}

// Writer is for a slog.TextHandler, see Handler: it puts the time before each line itself.
type Writer struct {
	mu    sync.Mutex
	out   io.Writer
	most  Limits
	now   func() time.Time
	kinds map[string]kind
}

// New writes to out.
func New(out io.Writer, now func() time.Time) *Writer {
	return &Writer{out: out, now: now, most: DefaultLimits, kinds: map[string]kind{}}
}

// Bound sets how much is written from now on.
func (w *Writer) SetLimits(most Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most = most
}

// Handler writes records as key=value lines; the message comes first and names the kind of line.
func Handler(w *Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(in []string, a slog.Attr) slog.Attr {
		if len(in) == 0 && a.Key == slog.TimeKey { // the Writer's
			return slog.Attr{}
		}
		return a
	}})
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, all := w.now(), len(line)
	_, key, _ := bytes.Cut(line[:min(all, 60)], []byte("msg="))
	key, _, _ = bytes.Cut(key, []byte(" "))
	k, known := w.kinds[string(key)]
	if !known && len(w.kinds) >= kinds {
		key = []byte("other")
		k = w.kinds["other"]
	}
	stamp := now.Format("time=2006-01-02T15:04:05.000000Z07:00 ")
	if k.second != now.Unix() {
		if k.lines > w.most.Lines {
			fmt.Fprintf(w.out, "%slevel=WARN msg=dropped dropped=%d of=%s\n", stamp, k.lines-w.most.Lines, key)
		}
		k = kind{second: now.Unix()}
	}
	k.lines++
	w.kinds[string(key)] = k
	if k.lines > w.most.Lines {
		return all, nil
	}
	if all > w.most.LineBytes {
		line = append(bytes.Clone(line[:w.most.LineBytes]), '\n')
	}
	if _, err := w.out.Write(append([]byte(stamp), line...)); err != nil {
		return 0, err
	}
	return all, nil
}
