// This file serves the requests of one connection, one after the other, with fasthttp's codecs. fasthttp's
// server is not used: it keeps the parsed head, the read buffer and a copy of the body of each request until
// the answer is written, whatever memory there is. A session must never keep more for a client than memory was
// reserved for.

package transport

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// session serves the requests of one connection.
type session struct {
	server   *clientServer
	conn     *clientConn
	in       *bufio.Reader // nil while nothing is buffered and the client waits
	large    bool          // in has room for the largest head, and memory is reserved for it
	response *fasthttp.Response
	last     bool // the connection is closed after the response
}

// Read buffers for usual heads and for large ones, and write buffers.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, usualHeadBytes) }}
var largeReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// serveConn serves the requests on a connection until it ends, and closes it.
func (c *clientServer) serveConn(conn *clientConn) {
	c.sessions.Add(1)
	defer c.sessions.Add(-1)
	defer conn.Close()
	s := &session{server: c, conn: conn}
	defer func() { s.releaseBuffer(true) }()
	for s.awaitRequest() && s.serveRequest() {
		conn.markIdle()
	}
}

// awaitRequest waits for the first byte of the next request. It returns false if none comes.
func (s *session) awaitRequest() bool {
	timeout := readTimeout
	if s.conn.used {
		timeout = clientIdleTimeout
	}
	s.conn.SetReadDeadline(time.Now().Add(timeout))
	if s.large {
		s.releaseBuffer(false)
	}
	s.acquireBuffer()
	if _, err := s.in.Peek(1); err != nil || !s.conn.markBegun() {
		return false
	}
	if s.conn.used {
		s.conn.SetReadDeadline(time.Now().Add(readTimeout))
	}
	return true
}

// serveRequest reads a request and responds to it. It returns false if the connection is to be closed.
func (s *session) serveRequest() bool {
	s.conn.pace()
	s.response = fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(s.response)
	h, err := s.readHead()
	defer h.memory.release()
	s.last = h.last
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed): // also if it was evicted
		return false
	case err != nil:
		s.conn.markServing()
		s.refuse(err)
		return s.respond(h)
	}
	if h.expectsContinue && !s.sendContinue() {
		return false
	}
	switch h.kind {
	case readinessKind:
		s.serveReadiness(h)
	case callbackKind:
		s.serveCallback(h)
	case jobKind:
		if handedOver := s.serveJob(h); handedOver {
			return false // the other process keeps the connection open when it is closed here
		}
	default:
		s.discardAndRefuse(h)
	}
	return s.respond(h)
}

// sendContinue tells the client to send the body.
func (s *session) sendContinue() bool {
	s.conn.SetWriteDeadline(time.Now().Add(readTimeout))
	_, err := io.WriteString(s.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err == nil
}

// respond writes the response. It returns false if the connection is to be closed.
func (s *session) respond(h requestHead) bool {
	r := s.response
	if s.last = s.last || s.server.closeAfterAnswer.Load(); s.last {
		r.Header.SetConnectionClose()
	} else if h.http10 {
		r.Header.Set("Connection", "keep-alive")
	}
	r.SkipBody = h.headOnly
	r.Header.SetNoDefaultContentType(true)
	s.conn.SetWriteDeadline(time.Now().Add(readTimeout))
	out := writers.Get().(*bufio.Writer)
	out.Reset(s.conn)
	defer func() {
		out.Reset(nil)
		writers.Put(out)
	}()
	err := r.Write(out)
	if err == nil {
		err = out.Flush()
	}
	return err == nil && !s.last
}

// refuse responds with the status of the error and closes the connection. This guards against clients that
// repeat the request or keep the connection.
func (s *session) refuse(err error) {
	status, reason := ErrorStatus(err), err.Error()
	reason = reason[:min(len(reason), maxReasonLength)]
	slog.Warn("bad", "bad", reason, "status", status, "from", s.conn.RemoteAddr())
	respondText(s.response, status, reason)
	s.last = true
}

// discardAndRefuse reads the body of a request that is refused by its head, and refuses it.
func (s *session) discardAndRefuse(h requestHead) {
	err := discardBody(s.in, h.bodyLength)
	s.conn.markServing()
	if err == nil {
		err = h.fault
	}
	s.refuse(err)
}

// respondText sets a response of one line of text.
func respondText(r *fasthttp.Response, status int, text string) {
	r.Reset()
	r.SetStatusCode(status)
	r.Header.SetContentType("text/plain; charset=utf-8")
	r.SetBodyString(text + "\n")
}

func (s *session) serveReadiness(h requestHead) {
	if err := discardBody(s.in, h.bodyLength); err != nil {
		s.refuse(err)
		return
	}
	s.conn.markServing()
	phase := s.server.node.Phase()
	if !phase.Ready() {
		s.response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	s.response.SetBodyString(phase.String() + "\n")
}

// acquireBuffer makes sure that there is a read buffer.
func (s *session) acquireBuffer() {
	if s.in == nil {
		s.in = readers.Get().(*bufio.Reader)
		s.in.Reset(s.conn)
	}
}

// growBuffer replaces the read buffer by a large one. It returns false if there is no memory for it.
func (s *session) growBuffer() bool {
	if !s.server.reserveRequest(maxHead) {
		return false
	}
	s.unreadBuffer()
	s.in, s.large = largeReaders.Get().(*bufio.Reader), true
	s.in.Reset(s.conn)
	s.conn.markArriving()
	return true
}

// unreadBuffer moves what is in the read buffer back to the connection. This guards against a connection that
// goes to another process without the first bytes of its next request, which would be read from its middle.
func (s *session) unreadBuffer() {
	if s.in != nil {
		ahead, _ := s.in.Peek(s.in.Buffered())
		s.conn.unread(ahead)
		s.releaseBuffer(true)
	}
}

// releaseBuffer gives the read buffer back if it is empty, or if what it holds is dropped.
func (s *session) releaseBuffer(drop bool) {
	if s.in == nil || !drop && s.in.Buffered() > 0 {
		return
	}
	s.in.Reset(nil)
	if s.large {
		largeReaders.Put(s.in)
		s.server.memory.waiting.release(maxHead)
	} else {
		readers.Put(s.in)
	}
	s.in, s.large = nil, false
}
