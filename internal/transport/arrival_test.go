package transport

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestArrivalQueue guards against a request that gets the time of other bytes: for any bytes added, put back and
// taken, the time of the last byte taken is its own, up to arrivalResolution.
func TestArrivalQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q arrivalQueue
		var each []time.Time // of each byte that is kept
		now, last := time.Unix(1000, 0), time.Time{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 9).Draw(rt, "bytes")
			switch rapid.SampledFrom([]string{"add", "add", "take", "put back"}).Draw(rt, "what") {
			case "add":
				q.add(n, now)
				for range n {
					each = append(each, now)
				}
			case "take":
				if n = min(n, len(each)); n == 0 {
					continue
				}
				want := each[n-1]
				each = each[n:]
				if last = q.take(n, now); last.Before(want) || last.Sub(want) > 40*arrivalResolution {
					rt.Fatalf("the last of %d bytes arrived at %s, got %s", n, want, last)
				}
			case "put back":
				if last.IsZero() {
					continue
				}
				q.putBack(n, last)
				for range n {
					each = append([]time.Time{last}, each...)
				}
			}
		}
	})
	var q arrivalQueue
	for k := range 10 * maxArrivals {
		q.add(1, time.Unix(int64(k), 0))
	}
	if len(q.arrivals) > maxArrivals {
		t.Errorf("%d arrivals are kept", len(q.arrivals))
	}
	if unknown := time.Unix(5, 0); new(arrivalQueue).take(3, unknown) != unknown {
		t.Error("bytes of an unknown time")
	}
}
