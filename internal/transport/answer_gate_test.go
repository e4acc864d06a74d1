package transport

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/node"
)

// TestAnswerGate guards against a hand-off that passes the last check, waits for a processor, and leaves after
// the answer to its client.
func TestAnswerGate(t *testing.T) {
	for range 1000 {
		var g answerGate
		var answered, late atomic.Bool
		var both sync.WaitGroup
		both.Go(func() {
			if g.begin() {
				time.Sleep(10 * time.Microsecond)
				late.Store(answered.Load()) // the hand-off is written here
				g.end()
			}
		})
		both.Go(func() {
			began := time.Now()
			g.awaitIdle()
			answered.Store(time.Since(began) < handOffWriteWait) // longer waits end by themselves
		})
		both.Wait()
		if late.Load() {
			t.Fatal("a hand-off left after the answer")
		}
		if g.begin() {
			t.Fatal("a hand-off began after the answer")
		}
	}
}

// TestAnswerAwaitsHandOff: an answer waits for a hand-off that is being written, but not for one whose worker
// does not read it.
func TestAnswerAwaitsHandOff(t *testing.T) {
	cc, _ := connPair(t)
	s := &session{server: cc.owner, conn: cc, response: &fasthttp.Response{}}
	m := &message{}
	m.gate.begin()
	began := time.Now()
	s.finishJob(&node.Request{ID: "a"}, m, node.Reply{Result: node.Deferred})
	if waited := time.Since(began); waited < handOffWriteWait {
		t.Errorf("the answer waited %v", waited)
	}
	if m.gate.begin() {
		t.Error("a hand-off began after the answer")
	}
}
