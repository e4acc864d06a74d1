package logs

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLimits checks that a flood of one kind is limited and the dropped lines are counted, that lines of
// another kind are still written, and that long lines are cut off.
func TestLimits(t *testing.T) {
	var out strings.Builder
	now := time.Unix(1000, 0).UTC()
	w := New(&out, func() time.Time { return now })
	l := slog.New(Handler(w, slog.LevelInfo))
	for range 5000 {
		l.Warn("bad", "why", "x y")
	}
	l.Info("phase", "phase", "draining")
	l.Debug("suppressed")
	now = now.Add(time.Second)
	l.Warn("bad", "why", strings.Repeat("y", 5000))
	w.SetLimits(Limits{Lines: 1, LineBytes: 40})
	l.Warn("bad", "why", "no more")
	l.Info("phase", "phase", strings.Repeat("z", 100))
	first, next := "time=1970-01-01T00:16:40.000000Z ", "time=1970-01-01T00:16:41.000000Z "
	bad := "level=WARN msg=bad why="
	want := strings.Repeat(first+bad+"\"x y\"\n", DefaultLimits.Lines) + first + "level=INFO msg=phase phase=draining\n" +
		next + "level=WARN msg=dropped dropped=4980 of=bad\n" +
		next + bad + strings.Repeat("y", DefaultLimits.LineBytes-len(bad)) + "\n" +
		next + "level=INFO msg=phase phase=" + strings.Repeat("z", 40-len("level=INFO msg=phase phase=")) + "\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("log differs (-want +got):\n%s", diff)
	}
}
