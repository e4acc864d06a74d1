package transport

import (
	"testing"
	"time"
)

// TestPacer guards against a connection that takes more than its share however it divides its reads, and against
// pauses for one that stays within it.
func TestPacer(t *testing.T) {
	for name, test := range map[string]struct {
		interval time.Duration // between two tokens of a client that never waits
		paused   bool
	}{
		"full speed":       {time.Microsecond, true},
		"above its share":  {time.Second / (pacedPerSecond * 2), true},
		"within its share": {time.Second / (pacedPerSecond - 1), false},
		"now and then":     {time.Second, false},
	} {
		var p pacer
		begun := time.Unix(1000, 0)
		now, taken, pauses := begun, 0, 0
		for now.Sub(begun) < 10*time.Second {
			now = now.Add(test.interval)
			taken++
			if pause := p.take(now); pause > 0 {
				pauses++
				now = now.Add(pause)
				if pause < pacedPause {
					t.Fatalf("%s: a pause of %s", name, pause)
				}
			}
		}
		if most := pacedAtOnce + int(now.Sub(begun).Seconds()*pacedPerSecond) + 1; taken > most {
			t.Errorf("%s: %d tokens, at most %d", name, taken, most)
		}
		if pauses > 0 != test.paused {
			t.Errorf("%s: %d pauses", name, pauses)
		}
	}
}
