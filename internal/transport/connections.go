// This file protects the listener. It owns the connections of clients and callbacks, and decides how many may
// be open. It must never look at what a request asks for.

package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// serve accepts connections until the listener is closed. It never waits for another client's request to end:
// clients that wait for an answer, callbacks and requests for /ready must get through a flood of other
// connections.
func (c *clientServer) serve() {
	for {
		conn, err := c.acceptNext()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Error("serve", "err", err)
			return
		}
		go c.serveConn(c.admit(conn))
	}
}

// acceptNext returns the next incoming connection; none while the gate is paused. A lack of descriptors or
// memory is temporary: if it ended the listener, the program would serve nobody from then on.
func (c *clientServer) acceptNext() (net.Conn, error) {
	for {
		c.acceptGate.wait()
		conn, err := c.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			slog.Warn("accept", "accept", err)
			c.onConnError(err)
			c.evictOne(nil, anyConn, true)
			time.Sleep(acceptRetry)
		default:
			return conn, err
		}
	}
}

// admit registers a new connection, and evicts others if there are too many.
func (c *clientServer) admit(conn net.Conn) *clientConn {
	cc := &clientConn{Conn: conn, owner: c, since: time.Now(), offered: c.giveAway.Load() != nil}
	c.register(cc)
	return cc
}

// register adds a connection, and evicts others if there are too many.
func (c *clientServer) register(cc *clientConn) {
	c.mu.Lock()
	c.conns[cc] = true
	c.mu.Unlock()
	c.makeRoom(cc)
	for c.endingSessions() > max(c.maxConns.Load()/endingShare, minClientConns) {
		time.Sleep(time.Millisecond)
	}
}

// adoptConn serves a connection that another process accepted.
func (c *clientServer) adoptConn(conn net.Conn) {
	c.serveConn(c.admit(conn))
}

// giveAwayIdle gives away the connections on which no request has begun, and those that become idle later.
// Their clients notice nothing, whereas a close could cross a request.
func (c *clientServer) giveAwayIdle(give func(syscall.Conn) bool) {
	c.giveAway.Store(&give)
	for _, conn := range c.snapshot() {
		conn.offer()
	}
}

// endingSessions returns how many sessions have yet to end although their connections are closed.
func (c *clientServer) endingSessions() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions.Load() - int64(len(c.conns))
}

// overLimit reports whether there are more connections than the limit allows.
func (c *clientServer) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > int(c.maxConns.Load())
}

// Close closes the listener.
func (c *clientServer) Close() error {
	err := c.listener.Close()
	c.acceptGate.resume()
	return err
}

// Addr returns the address of the listener.
func (c *clientServer) Addr() net.Addr { return c.listener.Addr() }

// clientConn is a connection that can be closed between requests without losing one, and that notices while a
// request is served that its client disconnects.
type clientConn struct {
	net.Conn
	owner            *clientServer
	mu               sync.Mutex
	since            time.Time // time when it was accepted or answered, or when its next request began
	started          bool      // part of a request was read, or waits to be read
	reads            int       // reads that the request has taken so far
	firstRead        time.Time // time of the first of them
	lastRead         time.Time // time of the latest of them
	reading          bool      // a read from the socket waits for bytes
	serving          bool
	used             bool // a request has been answered on it
	proven           bool
	closing          bool          // to be closed, unless part of a request was read before
	forceClosed      bool          // closed, whatever was read
	offered          bool          // to be given away once it is idle
	headBuffered     bool          // the head is in the read buffer: a read for more of it fails
	closed           bool          // Close was called
	arrivingSince    time.Time     // time since when memory is reserved for a request that is arriving; zero: none is
	answerBytes      int64         // reserved for the answer that is being written
	answerSince      time.Time     // time when its writing began
	pipelined        []byte        // bytes read beyond the request being served
	pipelinedBytes   int64         // reserved for them
	pipelineOverflow bool          // they exceeded maxPipelined, or there was no memory for them
	watchDone        chan struct{} // closed when the watch has ended
	watchStopping    atomic.Bool   // the watch is to end
	pacer            pacer         // used by the goroutine that reads
	arrivals         arrivalQueue  // of the pipelined bytes
	lastByteAt       time.Time     // time when the last byte arrived that Read returned
}

// Read returns the bytes that arrived. A connection closed for being idle returns none, so that no request is
// accepted from it that the client believes unread.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := 0, error(nil)
	if c.headBuffered {
		return 0, errHeadEnd
	}
	c.pace()
	kept := len(c.pipelined) > 0
	if kept {
		n = c.takePipelined(p)
	} else if n, err = c.readSocket(p); n == 0 && c.giveAway(err) {
		return 0, io.EOF
	} else if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(p, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && (n == 0 || c.forceClosed) {
		return 0, io.EOF
	}
	c.closing = false       // the bytes came first: the client must get an answer
	if n > 0 && c.offered { // this process serves the request
		c.offered = false
		c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
	}
	if !c.started && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// Nothing arrived: close without a response, where fasthttp would answer 408 on a new connection.
		return 0, io.EOF
	}
	if n > 0 {
		c.recordRead()
		if !kept {
			c.lastByteAt = c.lastRead
		}
	}
	return n, err
}

// readLate reads once more from a connection whose deadline has passed. This guards against a process that
// was suspended: the deadline passed while the request lay unread. It applies only if no request has begun:
// one that arrived in pieces has had its time by its client's clock.
func (c *clientConn) readLate(p []byte, err error) (int, error) {
	c.mu.Lock()
	retry := !c.started && !c.offered && !c.closing
	if retry {
		c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	}
	c.mu.Unlock()
	if !retry {
		return 0, err
	}
	return c.readSocket(p)
}

// readSocket reads from the socket. While it waits for bytes, the connection may be evicted.
func (c *clientConn) readSocket(p []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	return c.Conn.Read(p)
}

func (c *clientConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// offer gives the connection away as soon as it waits for a request.
func (c *clientConn) offer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && !c.started && len(c.pipelined) == 0 && !c.closing {
		c.offered = true
		c.Conn.SetReadDeadline(time.Unix(1, 0)) // interrupts a blocked Read
	}
}

// SetReadDeadline sets the read deadline; it is in the past while the connection is offered or closing.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.offered || c.closing) && !c.started {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// giveAway gives away an offered connection on which nothing arrived. If the other process does not take it,
// it is closed like any idle connection.
func (c *clientConn) giveAway(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	give := c.owner.giveAway.Load()
	if !c.offered || c.started || c.closing || give == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.closing = (*give)(c.Conn.(syscall.Conn)); !c.closing {
		slog.Warn("takeover", "takeover", "the other process did not accept an idle connection", "from", c.RemoteAddr())
	}
	return c.closing
}

// markStarted records that a request is arriving. The lock is held.
func (c *clientConn) markStarted() {
	if c.proven && !c.started {
		c.since = time.Now()
	}
	c.started = true
}

// markBegun records that the first bytes of a request are in the read buffer, also if they came with the request
// before. The connection is not closed for being idle then. It returns false if it is closed already.
func (c *clientConn) markBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markStarted()
	c.closing, c.offered = false, false
	return !c.forceClosed
}

// recordRead records a read and extends the deadline for the rest of the request: a slow client is not a
// silent one. The lock is held.
func (c *clientConn) recordRead() {
	c.markStarted()
	if c.lastRead = time.Now(); c.reads == 0 {
		c.firstRead = c.lastRead
	}
	c.reads++
	c.Conn.SetReadDeadline(earlier(c.lastRead.Add(readTimeout), c.firstRead.Add(c.owner.maxRequestTime)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// markProven records that the connection has carried work or a callback.
func (c *clientConn) markProven() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven = true
}

// markArriving records that memory is reserved for a request that is arriving.
func (c *clientConn) markArriving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivingSince.IsZero() {
		c.arrivingSince = time.Now()
	}
}

// arrivesSlowly reports whether memory has been reserved for longer than slowClientGrace for a request that is
// still arriving.
func (c *clientConn) arrivesSlowly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.arrivingSince.IsZero() && time.Since(c.arrivingSince) > slowClientGrace
}

// markServing records that a request has arrived and is about to be served.
func (c *clientConn) markServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.started, c.arrivingSince = true, true, time.Time{}
}

// markIdle records that the request has been answered.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.used, c.serving, c.started, c.reads = time.Now(), true, false, false, 0
	c.offered = c.owner.giveAway.Load() != nil
	c.releaseAnswer()
}

// hasUnread reports whether bytes wait to be read.
func (c *clientConn) hasUnread() bool {
	waits, _ := c.peek()
	return waits
}

// closeIfIdle closes the connection if it has no request. A new connection without one is closed only if
// includeUnused is set, since its first request is probably on the way. It reports whether there is none.
// Unread bytes count as a request: the client has sent them and must get an answer.
func (c *clientConn) closeIfIdle(includeUnused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started && !c.closing && (c.used || includeUnused) && c.hasUnread() {
		c.markStarted()
	}
	if !c.started && (c.used || includeUnused) {
		// The reading goroutine closes it: bytes that it has just read and not reported yet would be lost.
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return !c.started
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection and releases its memory. The lock is held.
func (c *clientConn) closeLocked() error {
	c.closed = true
	c.releaseAnswer()
	c.releasePipelined()
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// watchClose calls onClose when the client closes the connection. Bytes that arrive instead begin its next
// request and are kept for it. A client that sent more and then closed has still disconnected.
func (c *clientConn) watchClose(onClose func()) {
	c.watchDone = make(chan struct{})
	c.watchStopping.Store(false)
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.watchDone)
		for b := make([]byte, 1); ; b = make([]byte, pipelineChunk) { // nearly always nothing arrives
			n, err := 0, error(nil)
			if c.pipelineOverflow {
				n, err = c.discardArrived()
			} else {
				n, err = c.Conn.Read(b)
				c.keepPipelined(b[:n])
			}
			if n > 0 && err == nil {
				c.pace()
				continue
			}
			if !(c.watchStopping.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
				onClose()
			}
			return
		}
	}()
}

// keepPipelined keeps bytes that arrived before the current request was answered. This guards against clients
// that send more than one request ahead, or more than there is memory for: then none of it is kept, and the
// connection is closed after the answer.
func (c *clientConn) keepPipelined(p []byte) {
	if len(p) == 0 || c.pipelineOverflow {
		return
	}
	if ahead := len(c.pipelined) + len(p); ahead > maxPipelined || !c.reservePipelined(ahead) {
		c.dropPipelined()
		c.pipelineOverflow = true
		return
	}
	c.pipelined = append(c.pipelined, p...)
	c.arrivals.add(len(p), time.Now())
}

// reservePipelined reserves memory for bytes that are sent ahead. It returns false if there is too little.
func (c *clientConn) reservePipelined(ahead int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	needed := pipelinedCopies * int64(max(ahead-pipelineChunk, 0))
	if c.closed || !c.owner.memory.waiting.tryReserve(needed-c.pipelinedBytes) {
		return false
	}
	c.pipelinedBytes = max(needed, c.pipelinedBytes)
	return true
}

// reserveAhead reserves memory for pipelined bytes that were received together with the connection.
func (c *clientConn) reserveAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelinedBytes = int64(max(len(c.pipelined)-pipelineChunk, 0))
	c.owner.memory.waiting.reserve(c.pipelinedBytes)
}

// takePipelined moves pipelined bytes to p and returns how many there were.
func (c *clientConn) takePipelined(p []byte) int {
	n := copy(p, c.pipelined)
	c.lastByteAt = c.arrivals.take(n, time.Now())
	if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
		c.dropPipelined()
	}
	return n
}

// unread puts bytes back that were read last.
func (c *clientConn) unread(p []byte) {
	c.pipelined = append(slices.Clone(p), c.pipelined...)
	c.arrivals.putBack(len(p), c.lastByteAt)
}

// dropPipelined drops the pipelined bytes and releases their memory.
func (c *clientConn) dropPipelined() {
	c.pipelined = nil
	c.arrivals.clear()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasePipelined()
}

// releasePipelined releases the memory of pipelined bytes. The lock is held.
func (c *clientConn) releasePipelined() {
	c.owner.memory.waiting.release(c.pipelinedBytes)
	c.pipelinedBytes = 0
}

// peek reports, without reading anything, whether bytes wait to be read, and whether the client has closed
// the connection, also if bytes remain before its end. This guards against work that is sent for a client that
// has disconnected before the watch noticed.
func (c *clientConn) peek() (unread, closed bool) {
	closed = !c.withFD(func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		closed = n <= 0 && (err == nil || !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR))
		if unread {
			closed = hasHungUp(fd)
		}
	}) || closed
	return unread, closed
}

// hasHungUp reports whether the other end of a connection has closed it, whatever remains to be read.
func hasHungUp(fd int) bool {
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0
}

// discardSize is how much is discarded at once. A client that has sent megabytes before it closed must be noticed
// soon.
const discardSize = 256 << 10

// discardTarget is never written to, so it takes no memory.
var discardTarget [discardSize]byte

// discardArrived discards what has arrived, or waits for more. It returns how many bytes there were.
func (c *clientConn) discardArrived() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		// With MSG_TRUNC the bytes of a stream are dropped in the kernel.
		n, _, failed = unix.Recvfrom(int(fd), discardTarget[:], unix.MSG_TRUNC|unix.MSG_DONTWAIT)
		return !errors.Is(failed, unix.EAGAIN) && !errors.Is(failed, unix.EINTR)
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// withFD calls use with the connection's descriptor. It returns false if the connection is closed.
func (c *clientConn) withFD(use func(fd int)) bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}

func (c *clientConn) stopWatch() {
	c.watchStopping.Store(true)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	c.Conn.SetReadDeadline(time.Time{})
}
