// This file orders the hand-offs of a work item and the answer to its client: once the answer is given, nothing
// of a hand-off may leave.

package transport

import (
	"sync"
	"time"
)

// handOffWriteWait is how long an answer waits for a hand-off that is being written. One whose worker does not
// read has left in part by then.
const handOffWriteWait = 5 * time.Millisecond

// answerGate admits writers of hand-offs until the work item is answered. The zero value is open.
type answerGate struct {
	mu       sync.Mutex
	answered bool
	writing  int           // hand-offs that are being written
	idle     chan struct{} // closed when none is; nil: nobody waits for that
}

// begin admits a hand-off that is about to be written. It returns false if the work item is answered.
func (g *answerGate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answered {
		return false
	}
	g.writing++
	return true
}

// end ends what begin began.
func (g *answerGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writing--; g.writing == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// close admits no more hand-offs.
func (g *answerGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = true
}

// isClosed reports whether the work item is answered.
func (g *answerGate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answered
}

// awaitIdle closes the gate and waits, at most handOffWriteWait, until no hand-off is being written.
func (g *answerGate) awaitIdle() {
	g.close()
	g.mu.Lock()
	if g.writing == 0 {
		g.mu.Unlock()
		return
	}
	idle := make(chan struct{})
	g.idle = idle
	g.mu.Unlock()
	timer := time.NewTimer(handOffWriteWait)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
}
