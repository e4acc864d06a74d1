// This file bounds the memory that is kept for clients: how many connections there may be, and how many bytes
// may be kept for requests, and for callbacks and answers. It must never wait for a client, nor decide what becomes of
// a work item.

package transport

import (
	"math"
	"sync/atomic"
	"time"
)

// Shares of the process's memory limit. Together with what the process needs for itself they stay below the
// target of the garbage collector, which needs room for garbage.
const (
	connShare    = 0.2  // for connections, each at connBytes
	waitingShare = 0.15 // for requests from their heads until their answers, and bytes sent ahead
	answerShare  = 0.05 // for callbacks that are being read, and answers that are being written
)

const (
	// Kept for each connection: its read and write buffers, the stacks of its goroutines, and smallRequestBytes.
	connBytes = 18 << 10
	// What is kept for a request or an answer up to this size is part of connBytes. This guards against large
	// requests that take the memory of usual ones: a small request is never turned away for its size.
	smallRequestBytes = 4 << 10
	pipelinedCopies   = 2 // the buffer for bytes sent ahead may have twice their size
	callbackCopies    = 2 // while a callback is decoded, its body and its result are kept
	chunkedCopies     = 2 // the buffer for a chunked body may have twice its size
	// A client that has not sent its body, or read its answer, within this time is closed if the memory is
	// needed.
	slowClientGrace = 250 * time.Millisecond
	// A large callback waits this long for memory; then its worker is told to send it again.
	callbackWait  = time.Second
	callbackRetry = 5 * time.Millisecond // interval between attempts to reserve memory for it
)

// byteBudget bounds the bytes that are kept at once for one purpose. The zero value allows none.
type byteBudget struct{ limit, used atomic.Int64 }

// tryReserve reserves bytes and returns true, or returns false if too few are left. It always succeeds for 0
// bytes or fewer.
func (b *byteBudget) tryReserve(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	if b.used.Add(bytes) <= b.limit.Load() {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// reserve reserves bytes beyond the limit if need be: what they are for exists already.
func (b *byteBudget) reserve(bytes int64) { b.used.Add(max(bytes, 0)) }

// release gives back reserved bytes.
func (b *byteBudget) release(bytes int64) { b.used.Add(-max(bytes, 0)) }

// clientMemory holds the budgets for what is kept for clients.
type clientMemory struct{ waiting, answers byteBudget }

// setLimits divides the process's memory among the budgets; 0: it is not limited.
func (m *clientMemory) setLimits(memory int64) {
	m.waiting.limit.Store(shareOf(memory, waitingShare))
	m.answers.limit.Store(shareOf(memory, answerShare))
}

// connsWithin returns how many connections the process's memory allows; 0: it is not limited.
func connsWithin(memory int64) int {
	return int(min(shareOf(memory, connShare)/connBytes, math.MaxInt32))
}

func shareOf(memory int64, share float64) int64 {
	if memory <= 0 {
		return math.MaxInt64 / 2
	}
	return int64(share * float64(memory))
}

// excessBytes returns how many of a request's bytes are not part of connBytes.
func excessBytes(bytes int) int64 { return int64(max(bytes-smallRequestBytes, 0)) }

// reservation is a part of a budget with a reference count: it is given back once all holders have released it.
type reservation struct {
	budget  *byteBudget
	bytes   int64
	holders atomic.Int32
}

// newReservation returns a reservation with one holder, for bytes that are reserved already.
func newReservation(budget *byteBudget, bytes int64) *reservation {
	r := &reservation{budget: budget, bytes: bytes}
	r.holders.Store(1)
	return r
}

// retain adds a holder. A nil reservation has no bytes.
func (r *reservation) retain() {
	if r != nil {
		r.holders.Add(1)
	}
}

// shrink gives back all but so many bytes, before there is a second holder.
func (r *reservation) shrink(bytes int64) {
	if r == nil {
		return
	}
	r.budget.release(r.bytes - bytes)
	r.bytes = min(r.bytes, bytes)
}

// release removes a holder, and gives the bytes back with the last one.
func (r *reservation) release() {
	if r != nil && r.holders.Add(-1) == 0 {
		r.budget.release(r.bytes)
	}
}

// reserveAnswer reserves the memory of an answer that is about to be written. It is released when the answer
// has been written or the connection is closed.
func (c *clientConn) reserveAnswer(bytes int) {
	kept := excessBytes(bytes)
	if kept == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.owner.memory.answers.reserve(kept)
	c.answerBytes += kept
	c.answerSince = time.Now()
}

// closeSlowReader closes the connection whose answer has been in writing for longest, if that is longer than
// slowClientGrace.
func (c *clientServer) closeSlowReader() {
	var slowest *clientConn
	oldest := time.Now().Add(-slowClientGrace)
	for _, conn := range c.snapshot() {
		conn.mu.Lock()
		if conn.answerBytes > 0 && conn.answerSince.Before(oldest) {
			slowest, oldest = conn, conn.answerSince
		}
		conn.mu.Unlock()
	}
	if slowest != nil {
		slowest.Close()
	}
}

// releaseAnswer releases what was reserved for the answer. The lock is held.
func (c *clientConn) releaseAnswer() {
	c.owner.memory.answers.release(c.answerBytes)
	c.answerBytes = 0
}
