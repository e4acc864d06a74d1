package transport

import (
	"runtime"
	"strings"
	"testing"

	"weldmast/internal/settings"
)

const requestStart = "POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\n"

// readHeads makes a session read heads that a client sends. It returns the bytes allocated for each of them, and
// those kept after all.
func readHeads(t *testing.T, count int, head func(k int) []byte) (allocated, kept int64) {
	t.Helper()
	cc, client := connPair(t)
	cc.owner.names, cc.owner.expiries = settings.Names{Categories: []string{"plan"}}, []float64{5000}
	cc.owner.memory.setLimits(0)
	s := &session{server: cc.owner, conn: cc}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for k := range count {
		go client.Write(head(k))
		if !s.awaitRequest() {
			t.Fatalf("head %d did not come", k)
		}
		h, err := s.readHead()
		if err != nil || h.kind != jobKind {
			t.Fatalf("head %d: %v, kind %d", k, err, h.kind)
		}
		h.memory.release()
		cc.markIdle()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return int64(after.TotalAlloc-before.TotalAlloc) / int64(count), int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestCrowdedHeadGarbage guards against heads of many short lines that make the process exceed its memory limit
// beside other busy processes: each made 20 times its size of garbage, more than the collector frees in time.
func TestCrowdedHeadGarbage(t *testing.T) {
	text := []byte(requestStart + strings.Repeat("a:b\r\n", 2900) + "\r\n")
	allocated, _ := readHeads(t, 4*crowdedHeadReuses, func(int) []byte { return text })
	// A head and the memory to read it are reserved as one maxHead each.
	if allocated > 2*maxHead {
		t.Errorf("%d bytes allocated for a head of %d", allocated, len(text))
	}
}

// TestCrowdedHeadRetention guards against heads whose long line is another one each time: the parser keeps the
// longest value of each line.
func TestCrowdedHeadRetention(t *testing.T) {
	const lines, longValue = 1000, 8 << 10
	_, kept := readHeads(t, lines, func(k int) []byte {
		return []byte(requestStart + strings.Repeat("a:b\r\n", k) + "a:" + strings.Repeat("b", longValue) + "\r\n" +
			strings.Repeat("a:b\r\n", lines-k) + "\r\n")
	})
	if kept > 2*crowdedHeadReuses*maxHead {
		t.Errorf("%d KB are kept of %d heads", kept>>10, lines)
	}
}
