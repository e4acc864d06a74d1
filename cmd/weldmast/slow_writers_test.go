package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// slowWriters are many clients at once whose requests arrive slowly, or never in full.
type slowWriters struct {
	name string
	// write sends a request on a connection, and returns when that has failed or the test is over.
	write func(c *client, k int, over *atomic.Bool)
}

const (
	slowWriterCount = 700                    // more than the process has connections for
	slowWriterPause = 100 * time.Millisecond // between two pieces, and before a connection that was closed is replaced
)

// writePieces writes a text in pieces with pauses.
func writePieces(c *client, text []byte, piece int, over *atomic.Bool) bool {
	for ; len(text) > 0 && !over.Load(); time.Sleep(slowWriterPause) {
		n := min(piece, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

var slowWriterKinds = []slowWriters{
	{"large jobs written slowly", func(c *client, k int, over *atomic.Bool) {
		text := append(floodHead(fmt.Sprint("slow-", k), 0, floodBody), make([]byte, floodBody)...)
		writePieces(c, text, len(text)/40, over)
	}},
	{"heads of many short fields written slowly", func(c *client, k int, over *atomic.Bool) {
		text := floodHead(fmt.Sprint("fields-", k), floodLines, 0)
		writePieces(c, text, len(text)/40, over)
	}},
	{"stopped half way", func(c *client, k int, over *atomic.Bool) {
		text := append(floodHead(fmt.Sprint("half-", k), floodLines, floodBody), make([]byte, floodBody/2)...)
		if writePieces(c, text, len(text)/2, over) {
			c.Read(make([]byte, 1)) // until it is closed
		}
	}},
	{"small jobs written slowly", func(c *client, k int, over *atomic.Bool) {
		text := []byte(request(fmt.Sprint("small-", k), "/plan/x", "X-Cost-Hint: 10000\r\n"))
		writePieces(c, text, 4, over)
	}},
}

// writeSlowly runs the clients, which connect anew when their connection is closed, until stop is called.
func (e *testEnv) writeSlowly(w slowWriters) (stop func()) {
	var all sync.WaitGroup
	var over atomic.Bool
	for k := range slowWriterCount {
		all.Go(func() {
			for n := 0; !over.Load(); n++ {
				c := e.dial()
				c.SetDeadline(time.Now().Add(floodExpiry))
				w.write(c, k+n*slowWriterCount, &over)
				c.Close()
				time.Sleep(slowWriterPause)
			}
		})
	}
	return func() {
		over.Store(true)
		all.Wait()
	}
}

// TestSlowWriters guards against hundreds of clients that write slowly, stop half way or send heads of very many
// fields: the process passed its memory limit, or usual clients that had just connected were closed without an answer.
func TestSlowWriters(t *testing.T) {
	const usualClients, rounds, interval = 8, 25, 80 * time.Millisecond
	for _, memoryMB := range []int{32, 192} {
		for _, kind := range slowWriterKinds {
			t.Run(fmt.Sprint(memoryMB, "MB ", kind.name), func(t *testing.T) {
				e := newMemoryEnv(t, memoryMB, floodExpiry)
				kept := e.dial()
				if got := kept.ask(request("usual-kept", "/plan/x", "")); got != "200" {
					t.Fatalf("before the flood: %s", got)
				}
				stop := e.writeSlowly(kind)
				time.Sleep(time.Second)
				var mu sync.Mutex
				answers := map[string]int{}
				var slowest time.Duration
				for n := range rounds {
					var round sync.WaitGroup
					for k := range usualClients {
						round.Go(func() {
							begun := time.Now()
							c := e.dial()
							defer c.Close()
							answer := c.ask(request(fmt.Sprintf("usual-%d-%d", n, k), "/plan/x", "X-Cost-Hint: 10000\r\n"))
							mu.Lock()
							defer mu.Unlock()
							answers[answer]++
							slowest = max(slowest, time.Since(begun))
						})
					}
					round.Wait()
					time.Sleep(interval)
				}
				stop()
				keptAnswer := kept.ask(request("usual-kept-again", "/plan/x", ""))
				t.Logf("answers %v, slowest %s; on the connection kept: %s; peak %d KB", answers, slowest, keptAnswer, e.peakMemory())
				if answers["no answer"] > 0 || answers["200"] < usualClients*rounds/2 {
					t.Errorf("usual clients got %v", answers)
				}
				e.checkPeak(kind.name)
			})
		}
	}
}
