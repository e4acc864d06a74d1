// This file guards the listener: it owns the connections of clients and callbacks, how many may stand and which of
// them give way, and which heads are no requests. It must never close a connection whose request is being served to
// make room, nor look at what a request asks for.

package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// once are the headers that a request may hold but once: with two, this program and a worker could read it differently.
var uniqueHeaders = [...]string{contentLength: "Content-Length", transferEncoding: "Transfer-Encoding", 2: "Host", "X-Request-Id", "X-Tenant",
	"X-Deadline", "X-Cost-Hint", "X-Retry", "X-Extras"}

const contentLength, transferEncoding = 0, 1 // where those stand that frame the body

// headFault tells why a head is not one that every reader takes alike, or nothing. fasthttp is more lenient: it takes
// lone line feeds, folded lines, blanks in names and Content-Length beside Transfer-Encoding, whose body may hide
// another request.
func headFault(h *fasthttp.RequestHeader) string {
	if v := string(h.Protocol()); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return "not HTTP/1.1 or 1.0"
	}
	var present [len(uniqueHeaders)]bool
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, next, terminated := bytes.Cut(rest, []byte("\r\n"))
		if !terminated {
			return "a header line does not end in CRLF"
		}
		rest = next
		if len(line) == 0 {
			break
		}
		for _, b := range line {
			if b < ' ' && b != '\t' || b == 0x7f {
				return "a control character in a header"
			}
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return "a header's name is empty or holds a blank"
		}
		for k, unique := range uniqueHeaders {
			if !strings.EqualFold(unique, string(name)) {
				continue
			}
			if present[k] {
				return unique + " stands there twice"
			}
			present[k] = true
			if k == transferEncoding && !strings.EqualFold(strings.TrimSpace(string(value)), "chunked") {
				return "Transfer-Encoding is not chunked"
			}
		}
	}
	if present[contentLength] && present[transferEncoding] {
		return "both Content-Length and Transfer-Encoding"
	}
	return ""
}

// dropTrailers reads the head anew as it came, without the fields that followed the body: fasthttp gives them out as if
// they were of the head, where one could stand for an id that is missing there. They mean nothing here and go no further.
func dropTrailers(h *fasthttp.RequestHeader) bool {
	text := append(append(append([]byte(nil), h.Method()...), ' '), h.RequestURI()...)
	text = append(append(append(append(text, ' '), h.Protocol()...), "\r\n"...), h.RawHeaders()...)
	var clean fasthttp.RequestHeader
	if clean.Read(bufio.NewReaderSize(bytes.NewReader(append(text, "\r\n"...)), maxHead)) != nil {
		return false
	}
	clean.Del("Trailer") // what it announces is gone
	clean.CopyTo(h)
	return len(h.PeekTrailerKeys()) == 0
}

// Accept makes the clients the listener that fasthttp serves. It never waits for another client's request to end: who
// is owed an answer or a look at /ready must get through a flood of others.
func (c *clientServer) Accept() (net.Conn, error) {
	conn, err := c.acceptNext()
	if err != nil {
		return nil, err
	}
	return c.admit(conn), nil
}

// next is the next connection that comes in; none while the gate is shut. Want of descriptors or memory passes: fasthttp
// would take any error for the listener's end, and the program would serve nobody from then on.
func (c *clientServer) acceptNext() (net.Conn, error) {
	for {
		c.acceptGate.wait()
		conn, err := c.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			slog.Warn("accept", "accept", err)
			c.onConnError(err)
			c.evictOne(nil)
			time.Sleep(acceptRetry)
		default:
			return conn, err
		}
	}
}

// enter takes a connection in, and makes room for it.
func (c *clientServer) admit(conn net.Conn) *clientConn {
	cc := &clientConn{Conn: conn, owner: c, since: time.Now(), offered: c.giveAway.Load() != nil}
	c.register(cc)
	return cc
}

// register counts a connection, and makes room for it.
func (c *clientServer) register(cc *clientConn) {
	c.mu.Lock()
	c.conns[cc] = true
	c.mu.Unlock()
	if c.overLimit() {
		runtime.Gosched() // what is there to read is read first
		for c.overLimit() && (c.evictOne(cc) || c.evictOne(nil)) {
		}
	}
	for int64(c.server.GetOpenConnectionsCount()) >= 2*c.maxConns.Load() { // those that were closed have yet to end
		time.Sleep(time.Millisecond)
	}
}

// adopt serves a connection that another process accepted.
func (c *clientServer) adoptConn(conn net.Conn) {
	c.serveConn(c.admit(conn))
}

// serveOn serves what comes next on a connection that this listener did not accept.
func (c *clientServer) serveConn(cc *clientConn) {
	if err := c.server.ServeConn(cc); err != nil && !errors.Is(err, io.EOF) {
		slog.Debug("adopted", "err", err)
	}
}

// giveIdle gives away the connections on which no request has begun, and those that still come: their clients notice
// nothing, where closing one could cross a request.
func (c *clientServer) giveAwayIdle(give func(syscall.Conn) bool) {
	c.giveAway.Store(&give)
	for _, conn := range c.snapshot() {
		conn.offer()
	}
}

// full tells whether there are more connections than the limit allows.
func (c *clientServer) overLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > int(c.maxConns.Load())
}

// makeRoom closes one connection: of those that never brought work or a callback the one that has been so for longest,
// be it silent, idle after asking for /ready, or half said, which counts for a quarter; else the longest idle, else the
// one whose request has been coming in for longest, be it a first one that still moves. Those whose request is being served stay; the node takes no more of them than half of
// all descriptors. What is usual says what it has to say at once and so is young among the first. The newcomer that room is made
// for is not looked at: where all others have brought work, it would be the first to go, and no callback came in.
func (c *clientServer) evictOne(newcomer *clientConn) bool {
	var victim *clientConn
	var lowest evictionPriority
	for _, conn := range c.snapshot() {
		if s := conn.priority(); conn != newcomer && s.rank < rankServing && (victim == nil || s.before(lowest)) {
			victim, lowest = conn, s
		}
	}
	if victim != nil {
		victim.evict()
	}
	return victim != nil
}

// Close ends the listener.
func (c *clientServer) Close() error {
	err := c.listener.Close()
	c.acceptGate.resume()
	return err
}

// Addr is where it listens.
func (c *clientServer) Addr() net.Addr { return c.listener.Addr() }

// How near a connection is to being served; those lower down give way first.
const (
	rankUnproven  = iota // it never brought work or a callback
	rankIdle             // it did
	rankReceiving        // its next request is coming in
	rankServing
)

type evictionPriority struct {
	rank  int
	since time.Time
}

func (s evictionPriority) before(o evictionPriority) bool {
	return s.rank < o.rank || s.rank == o.rank && s.since.Before(o.since)
}

// clientConn is a connection that can be closed between requests without losing one, and watched while a
// request is served: fasthttp's handler does not notice a client that leaves.
type clientConn struct {
	net.Conn
	owner            *clientServer
	mu               sync.Mutex
	since            time.Time // it was accepted, answered, or its next request began
	started          bool      // something of a request was read, or waits to be
	reads            int       // in which it came so far
	firstRead        time.Time // the first of them
	lastRead         time.Time // the last
	serving          bool
	used             bool // it had a request
	proven           bool
	closing          bool          // it is to be closed, unless something of a request was read before
	forceClosed      bool          // it is closed, whatever was read
	offered          bool          // it is given away once it is at rest
	lastByte         byte          // of what was read of the request line
	lineRead         bool          // the request line was read
	badLine          bool          // and does not end in CRLF
	pipelined        []byte        // what was read beyond the request being served
	pipelineOverflow bool          // and was too much to keep
	watchDone        chan struct{} // closed when the watch has ended
	watchStopping    atomic.Bool   // the watch is to end
}

// Read gives out what came; a connection closed for being idle gives nothing, so that no request is taken
// from it that the client believes unread.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := 0, error(nil)
	if len(c.pipelined) > 0 {
		n = copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
	} else if n, err = c.Conn.Read(p); n == 0 && c.giveAway(err) {
		return 0, io.EOF
	} else if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(p, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && (n == 0 || c.forceClosed) {
		return 0, io.EOF
	}
	c.closing = false       // it came first: its client is owed an answer
	if n > 0 && c.offered { // its request is served here
		c.offered = false
		c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
	}
	if !c.started && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF // nothing came: closed without a word, where fasthttp would answer 408 to a new one
	}
	if n > 0 {
		c.recordRead(p[:n])
	}
	return n, err
}

// late looks once more at a connection whose time is over. This guards against a process that stood still: its time ran out
// while the request lay there unread. Not begun: what was sent in pieces has had its time by the clock of its client.
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
	return c.Conn.Read(p)
}

// offer has the connection given away as soon as it waits for a request.
func (c *clientConn) offer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && !c.started && len(c.pipelined) == 0 && !c.closing {
		c.offered = true
		c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes who reads
	}
}

// SetReadDeadline sets when reading ends; at once while the connection is offered.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.offered || c.closing) && !c.started {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// given gives an offered connection away from which nothing came. If nobody takes it, it is closed as idle ones are.
func (c *clientConn) giveAway(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	give := c.owner.giveAway.Load()
	if !c.offered || c.started || c.closing || give == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.closing = (*give)(c.Conn.(syscall.Conn)); !c.closing {
		slog.Warn("takeover", "takeover", "a connection was not taken", "from", c.RemoteAddr())
	}
	return c.closing
}

// moved takes note that a request is coming in. The lock is held.
func (c *clientConn) markStarted() {
	if c.proven && !c.started {
		c.since = time.Now()
	}
	c.started = true
}

// came takes note of what was read, and gives what is missing more time: slow is not silent. The lock is held.
func (c *clientConn) recordRead(p []byte) {
	c.markStarted()
	if c.lastRead = time.Now(); c.reads == 0 {
		c.firstRead = c.lastRead
	}
	c.reads++
	c.Conn.SetReadDeadline(earlier(c.lastRead.Add(readTimeout), c.firstRead.Add(c.owner.maxRequestTime)))
	if c.lineRead {
		return
	}
	if k := bytes.IndexByte(p, '\n'); k >= 0 {
		if k > 0 {
			c.lastByte = p[k-1]
		}
		c.lineRead, c.badLine = true, c.lastByte != '\r'
	}
	c.lastByte = p[len(p)-1]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *clientConn) priority() evictionPriority {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := evictionPriority{rankUnproven, c.since}
	switch quiet := time.Since(c.lastRead); {
	case c.started && !c.proven && c.reads > 1 && quiet < readTimeout/2: // it says its request slowly
		s.rank = rankReceiving
	case c.started && !c.proven && c.reads > 0: // it may yet: it counts as a quarter as old as one that is silent
		s.since = c.lastRead.Add(quiet * 3 / 4)
	}
	switch {
	case c.serving:
		s.rank = rankServing
	case c.proven && c.started:
		s.rank = rankReceiving
	case c.proven:
		s.rank = rankIdle
	}
	return s
}

// prove is called when it has brought work or a callback.
func (c *clientConn) markProven() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven = true
}

// begin is called when its request is about to be served; false: its request line was odd.
func (c *clientConn) markServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.started = true, true
	return !c.badLine
}

// idle is called when its request has been answered.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.used, c.serving, c.started, c.lineRead, c.lastByte, c.reads = time.Now(), true, false, false, false, 0, 0
	c.offered = c.owner.giveAway.Load() != nil
}

// give closes the connection, unless its request is served meanwhile, or it was idle and something has come that was
// not read yet: then it counts as coming.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving:
	case c.proven && !c.started && c.hasUnread():
		c.markStarted()
	default:
		c.closing, c.forceClosed = true, true
		c.Close()
	}
}

// pending tells whether bytes wait to be read.
func (c *clientConn) hasUnread() bool {
	waits, _ := c.peek()
	return waits
}

// closeIdle closes the connection if no request is on it; a new one that had none yet only on demand, as
// its first request is on the way. It tells whether none is. What has come and was not read yet is a request: its client
// has sent it and is owed an answer.
func (c *clientConn) closeIfIdle(includeUnused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started && !c.closing && (c.used || includeUnused) && c.hasUnread() {
		c.markStarted()
	}
	if !c.started && (c.used || includeUnused) {
		// Who reads closes it: what it has just read and not told of yet would be lost.
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return !c.started
}

// Close ends the connection.
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// watch calls left when the client closes the connection. Bytes that come instead begin its next request, and are kept
// for that: a client that said more and then left has left all the same.
func (c *clientConn) watchClose(onClose func()) {
	c.watchDone = make(chan struct{})
	c.watchStopping.Store(false)
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.watchDone)
		for b := make([]byte, 1); ; b = make([]byte, pipelineChunk) { // nearly always nothing comes
			n, err := c.Conn.Read(b)
			if c.keepPipelined(b[:n]); n > 0 && err == nil {
				continue
			}
			if !(c.watchStopping.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
				onClose()
			}
			return
		}
	}()
}

// keep holds what came ahead of the answer before it. This guards against clients that say more than one request ahead:
// nothing of it is kept then, and the connection ends with the answer.
func (c *clientConn) keepPipelined(p []byte) {
	if c.pipelined = append(c.pipelined, p...); len(c.pipelined) > maxPipelined {
		c.pipelined, c.pipelineOverflow = nil, true
	}
}

// peek tells, without reading anything, whether bytes wait to be read, and whether the client has closed the connection with
// none left before its end. This guards against work that is sent for a client that has left, where the watch has not run yet.
func (c *clientConn) peek() (unread, closed bool) {
	closed = !c.withFD(func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		closed = n <= 0 && (err == nil || !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR))
	}) || closed
	return unread, closed
}

// socket lets use have the connection's descriptor; false: it is closed.
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
