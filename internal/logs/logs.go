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

const maxKinds = 64 // that are told apart; there are fewer in the program

// kind is how many lines of one kind came in the present second.
type kindCount struct {
	second int64
	lines  int
}

// Writer is for a slog.TextHandler, see Handler: it puts the time before each line itself.
type Writer struct {
	mu     sync.Mutex
	out    io.Writer
	limits Limits
	now    func() time.Time
	counts map[string]kindCount
}

// New writes to out.
func New(out io.Writer, now func() time.Time) *Writer {
	return &Writer{out: out, now: now, limits: DefaultLimits, counts: map[string]kindCount{}}
}

// Bound sets how much is written from now on.
func (w *Writer) SetLimits(limits Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// Handler writes records as key=value lines; the message comes first and names the kind of line.
func Handler(w *Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.TimeKey { // the Writer's
			return slog.Attr{}
		}
		return a
	}})
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, size := w.now(), len(line)
	_, kind, _ := bytes.Cut(line[:min(size, 60)], []byte("msg="))
	kind, _, _ = bytes.Cut(kind, []byte(" "))
	count, known := w.counts[string(kind)]
	if !known && len(w.counts) >= maxKinds {
		kind = []byte("other")
		count = w.counts["other"]
	}
	stamp := now.Format("time=2006-01-02T15:04:05.000000Z07:00 ")
	if count.second != now.Unix() {
		if count.lines > w.limits.Lines {
			fmt.Fprintf(w.out, "%slevel=WARN msg=dropped dropped=%d of=%s\n", stamp, count.lines-w.limits.Lines, kind)
		}
		count = kindCount{second: now.Unix()}
	}
	count.lines++
	w.counts[string(kind)] = count
	if count.lines > w.limits.Lines {
		return size, nil
	}
	if size > w.limits.LineBytes {
		line = append(bytes.Clone(line[:w.limits.LineBytes]), '\n')
	}
	if _, err := w.out.Write(append([]byte(stamp), line...)); err != nil {
		return 0, err
	}
	return size, nil
}
