// Package logs limits the log: the number of lines per second of each kind (lines with the same message), and
// the length of a line. Otherwise clients, workers or networks could fill a disk or use up the CPU by causing
// log lines. The number of lines dropped in a second is logged before the next line of that kind in a later
// second. Frequent kinds must never cause lines of a rare kind to be dropped; only kinds beyond the first
// maxKinds share one limit.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Limits are the limits of a Writer. All fields must be set; DefaultLimits has the usual values.
type Limits struct {
	Lines     int // per second and kind
	LineBytes int // maximum length; the rest of a line is cut off
}

// DefaultLimits apply if the operator's file sets no others.
var DefaultLimits = Limits{Lines: 20, LineBytes: 400}

const maxKinds = 64 // kinds that are counted separately, all others share the kind "other"; the program has fewer

// kindCount counts the lines of one kind in the current second.
type kindCount struct {
	second int64
	lines  int
}

// Writer is the output of a slog.TextHandler, see Handler. It adds the time to each line itself.
type Writer struct {
	mu     sync.Mutex
	out    io.Writer
	limits Limits
	now    func() time.Time
	counts map[string]kindCount
}

// New returns a Writer that writes to out with DefaultLimits.
func New(out io.Writer, now func() time.Time) *Writer {
	return &Writer{out: out, now: now, limits: DefaultLimits, counts: map[string]kindCount{}}
}

// SetLimits sets the limits from now on.
func (w *Writer) SetLimits(limits Limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = limits
}

// Handler writes records as key=value lines. The message comes first and is the kind of the line.
func Handler(w *Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.TimeKey { // Writer adds the time
			return slog.Attr{}
		}
		return a
	}})
}

// Write writes one line, or counts it as dropped. The first line of a kind in a new second is preceded by the
// number of lines of that kind dropped before, if any.
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
