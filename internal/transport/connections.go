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
var once = [...]string{length: "Content-Length", coding: "Transfer-Encoding", 2: "Host", "X-Request-Id", "X-Tenant",
	"X-Deadline", "X-Cost-Hint", "X-Retry", "X-Extras"}

const length, coding = 0, 1 // where those stand that frame the body

// headFault tells why a head is not one that every reader takes alike, or nothing. fasthttp is more lenient: it takes
// lone line feeds, folded lines, blanks in names and Content-Length beside Transfer-Encoding, whose body may hide
// another request.
func headFault(h *fasthttp.RequestHeader) string {
	if v := string(h.Protocol()); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return "not HTTP/1.1 or 1.0"
	}
	var seen [len(once)]bool
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, next, ended := bytes.Cut(rest, []byte("\r\n"))
		if !ended {
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
		for k, o := range once {
			if !strings.EqualFold(o, string(name)) {
				continue
			}
			if seen[k] {
				return o + " stands there twice"
			}
			seen[k] = true
			if k == coding && !strings.EqualFold(strings.TrimSpace(string(value)), "chunked") {
				return "Transfer-Encoding is not chunked"
			}
		}
	}
	if seen[length] && seen[coding] {
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
	if clean.Read(bufio.NewReaderSize(bytes.NewReader(append(text, "\r\n"...)), headMost)) != nil {
		return false
	}
	clean.Del("Trailer") // what it announces is gone
	clean.CopyTo(h)
	return len(h.PeekTrailerKeys()) == 0
}

// Accept makes the clients the listener that fasthttp serves. It never waits for another client's request to end: who
// is owed an answer or a look at /ready must get through a flood of others.
func (c *clients) Accept() (net.Conn, error) {
	conn, err := c.next()
	if err != nil {
		return nil, err
	}
	return c.enter(conn), nil
}

// next is the next connection that comes in; none while the gate is shut. Want of descriptors or memory passes: fasthttp
// would take any error for the listener's end, and the program would serve nobody from then on.
func (c *clients) next() (net.Conn, error) {
	for {
		c.gate.wait()
		conn, err := c.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			slog.Warn("accept", "accept", err)
			c.short(err)
			c.makeRoom(nil)
			time.Sleep(acceptAgain)
		default:
			return conn, err
		}
	}
}

// enter takes a connection in, and makes room for it.
func (c *clients) enter(conn net.Conn) *clientConn {
	cc := &clientConn{Conn: conn, owner: c, since: time.Now(), offered: c.giving.Load() != nil}
	c.register(cc)
	return cc
}

// register counts a connection, and makes room for it.
func (c *clients) register(cc *clientConn) {
	c.mu.Lock()
	c.conns[cc] = true
	c.mu.Unlock()
	if c.full() {
		runtime.Gosched() // what is there to read is read first
		for c.full() && (c.makeRoom(cc) || c.makeRoom(nil)) {
		}
	}
	for int64(c.server.GetOpenConnectionsCount()) >= 2*c.most.Load() { // those that were closed have yet to end
		time.Sleep(time.Millisecond)
	}
}

// adopt serves a connection that another process accepted.
func (c *clients) adopt(conn net.Conn) {
	c.serveOn(c.enter(conn))
}

// serveOn serves what comes next on a connection that this listener did not accept.
func (c *clients) serveOn(cc *clientConn) {
	if err := c.server.ServeConn(cc); err != nil && !errors.Is(err, io.EOF) {
		slog.Debug("adopted", "err", err)
	}
}

// giveIdle gives away the connections on which no request has begun, and those that still come: their clients notice
// nothing, where closing one could cross a request.
func (c *clients) giveIdle(give func(syscall.Conn) bool) {
	c.giving.Store(&give)
	for _, conn := range c.all() {
		conn.offer()
	}
}

// full tells whether there are more connections than the limit allows.
func (c *clients) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > int(c.most.Load())
}

// makeRoom closes one connection: of those that never brought work or a callback the one that has been so for longest,
// be it silent, idle after asking for /ready, or half said, which counts for a quarter; else the longest idle, else the
// one whose request has been coming in for longest, be it a first one that still moves. Those whose request is being served stay; the node takes no more of them than half of
// all descriptors. What is usual says what it has to say at once and so is young among the first. The newcomer that room is made
// for is not looked at: where all others have brought work, it would be the first to go, and no callback came in.
func (c *clients) makeRoom(newcomer *clientConn) bool {
	var last *clientConn
	var least standing
	for _, conn := range c.all() {
		if s := conn.standing(); conn != newcomer && s.rank < served && (last == nil || s.before(least)) {
			last, least = conn, s
		}
	}
	if last != nil {
		last.give()
	}
	return last != nil
}

// Close ends the listener.
func (c *clients) Close() error {
	err := c.listener.Close()
	c.gate.open()
	return err
}

// Addr is where it listens.
func (c *clients) Addr() net.Addr { return c.listener.Addr() }

// How near a connection is to being served; those lower down give way first.
const (
	unproven = iota // it never brought work or a callback
	idle            // it did
	coming          // its next request is coming in
	served
)

type standing struct {
	rank  int
	since time.Time
}

func (s standing) before(o standing) bool {
	return s.rank < o.rank || s.rank == o.rank && s.since.Before(o.since)
}

// clientConn is a connection that can be closed between requests without losing one, and watched while a
// request is served: fasthttp's handler does not notice a client that leaves.
type clientConn struct {
	net.Conn
	owner   *clients
	mu      sync.Mutex
	since   time.Time // it was accepted, answered, or its next request began
	begun   bool      // something of a request was read, or waits to be
	pieces  int       // in which it came so far
	first   time.Time // the first of them
	latest  time.Time // the last
	serving bool
	used    bool // it had a request
	proven  bool
	closing bool          // it is to be closed, unless something of a request was read before
	shut    bool          // it is closed, whatever was read
	offered bool          // it is given away once it is at rest
	last    byte          // of what was read of the request line
	line    bool          // the request line was read
	odd     bool          // and does not end in CRLF
	ahead   []byte        // what was read beyond the request being served
	spilt   bool          // and was too much to keep
	watched chan struct{} // closed when the watch has ended
	ending  atomic.Bool   // the watch is to end
}

// Read gives out what came; a connection closed for being idle gives nothing, so that no request is taken
// from it that the client believes unread.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := 0, error(nil)
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		c.ahead = c.ahead[n:]
	} else if n, err = c.Conn.Read(p); n == 0 && c.given(err) {
		return 0, io.EOF
	} else if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.late(p, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && (n == 0 || c.shut) {
		return 0, io.EOF
	}
	c.closing = false       // it came first: its client is owed an answer
	if n > 0 && c.offered { // its request is served here
		c.offered = false
		c.Conn.SetReadDeadline(time.Now().Add(readWithin))
	}
	if !c.begun && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF // nothing came: closed without a word, where fasthttp would answer 408 to a new one
	}
	if n > 0 {
		c.came(p[:n])
	}
	return n, err
}

// late looks once more at a connection whose time is over. This guards against a process that stood still: its time ran out
// while the request lay there unread. Not begun: what was sent in pieces has had its time by the clock of its client.
func (c *clientConn) late(p []byte, err error) (int, error) {
	c.mu.Lock()
	look := !c.begun && !c.offered && !c.closing
	if look {
		c.Conn.SetReadDeadline(time.Now().Add(lateLook))
	}
	c.mu.Unlock()
	if !look {
		return 0, err
	}
	return c.Conn.Read(p)
}

// offer has the connection given away as soon as it waits for a request.
func (c *clientConn) offer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving && !c.begun && len(c.ahead) == 0 && !c.closing {
		c.offered = true
		c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes who reads
	}
}

// SetReadDeadline sets when reading ends; at once while the connection is offered.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.offered || c.closing) && !c.begun {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// given gives an offered connection away from which nothing came. If nobody takes it, it is closed as idle ones are.
func (c *clientConn) given(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	give := c.owner.giving.Load()
	if !c.offered || c.begun || c.closing || give == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.closing = (*give)(c.Conn.(syscall.Conn)); !c.closing {
		slog.Warn("takeover", "takeover", "a connection was not taken", "from", c.RemoteAddr())
	}
	return c.closing
}

// moved takes note that a request is coming in. The lock is held.
func (c *clientConn) moved() {
	if c.proven && !c.begun {
		c.since = time.Now()
	}
	c.begun = true
}

// came takes note of what was read, and gives what is missing more time: slow is not silent. The lock is held.
func (c *clientConn) came(p []byte) {
	c.moved()
	if c.latest = time.Now(); c.pieces == 0 {
		c.first = c.latest
	}
	c.pieces++
	c.Conn.SetReadDeadline(earlier(c.latest.Add(readWithin), c.first.Add(c.owner.sayMost)))
	if c.line {
		return
	}
	if k := bytes.IndexByte(p, '\n'); k >= 0 {
		if k > 0 {
			c.last = p[k-1]
		}
		c.line, c.odd = true, c.last != '\r'
	}
	c.last = p[len(p)-1]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *clientConn) standing() standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := standing{unproven, c.since}
	switch quiet := time.Since(c.latest); {
	case c.begun && !c.proven && c.pieces > 1 && quiet < readWithin/2: // it says its request slowly
		s.rank = coming
	case c.begun && !c.proven && c.pieces > 0: // it may yet: it counts as a quarter as old as one that is silent
		s.since = c.latest.Add(quiet * 3 / 4)
	}
	switch {
	case c.serving:
		s.rank = served
	case c.proven && c.begun:
		s.rank = coming
	case c.proven:
		s.rank = idle
	}
	return s
}

// prove is called when it has brought work or a callback.
func (c *clientConn) prove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proven = true
}

// begin is called when its request is about to be served; false: its request line was odd.
func (c *clientConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.begun = true, true
	return !c.odd
}

// idle is called when its request has been answered.
func (c *clientConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.used, c.serving, c.begun, c.line, c.last, c.pieces = time.Now(), true, false, false, false, 0, 0
	c.offered = c.owner.giving.Load() != nil
}

// give closes the connection, unless its request is served meanwhile, or it was idle and something has come that was
// not read yet: then it counts as coming.
func (c *clientConn) give() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving:
	case c.proven && !c.begun && c.pending():
		c.moved()
	default:
		c.closing, c.shut = true, true
		c.Close()
	}
}

// pending tells whether bytes wait to be read.
func (c *clientConn) pending() bool {
	waits, _ := c.peek()
	return waits
}

// closeIdle closes the connection if no request is on it; a new one that had none yet only on demand, as
// its first request is on the way. It tells whether none is. What has come and was not read yet is a request: its client
// has sent it and is owed an answer.
func (c *clientConn) closeIdle(unused bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !c.closing && (c.used || unused) && c.pending() {
		c.moved()
	}
	if !c.begun && (c.used || unused) {
		// Who reads closes it: what it has just read and not told of yet would be lost.
		c.closing = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return !c.begun
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
func (c *clientConn) watch(left func()) {
	c.watched = make(chan struct{})
	c.ending.Store(false)
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.watched)
		for b := make([]byte, 1); ; b = make([]byte, aheadPiece) { // nearly always nothing comes
			n, err := c.Conn.Read(b)
			if c.keep(b[:n]); n > 0 && err == nil {
				continue
			}
			if !(c.ending.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
				left()
			}
			return
		}
	}()
}

// keep holds what came ahead of the answer before it. This guards against clients that say more than one request ahead:
// nothing of it is kept then, and the connection ends with the answer.
func (c *clientConn) keep(p []byte) {
	if c.ahead = append(c.ahead, p...); len(c.ahead) > aheadMost {
		c.ahead, c.spilt = nil, true
	}
}

// peek tells, without reading anything, whether bytes wait to be read, and whether the client has closed the connection with
// none left before its end. This guards against work that is sent for a client that has left, where the watch has not run yet.
func (c *clientConn) peek() (waits, left bool) {
	left = !c.socket(func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = n > 0
		left = n <= 0 && (err == nil || !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR))
	}) || left
	return waits, left
}

// socket lets use have the connection's descriptor; false: it is closed.
func (c *clientConn) socket(use func(fd int)) bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}

func (c *clientConn) unwatch() {
	c.ending.Store(true)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watched
	c.Conn.SetReadDeadline(time.Time{})
}
