// Package admin serves the HTTP address for operators: it reads one request per connection and answers from
// values that are available at once. It must never make decisions, wait for the event loop, or share a limit
// with the API for clients.
package admin

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/metrics"
	"weldmast/internal/transport"
)

const (
	// MaxDescriptors is how many file descriptors the server may use, to be reserved out of the process's
	// limit: the listener, the open connections, and as many closed connections whose handlers have yet to
	// end.
	MaxDescriptors = 1 + 2*maxConns
	maxConns       = 8
	requestTimeout = 2 * time.Second // for reading the whole request, and again for writing the answer
	maxHeader      = 4 << 10
)

// Options configure a Server.
type Options struct {
	Listen netip.AddrPort
	// cause is one word for the current phase, also when ready; must not block
	Ready   func() (cause string, ready bool)
	Metrics *metrics.Metrics
}

// Server serves operators' requests.
type Server struct {
	options  Options
	listener net.Listener
	server   *fasthttp.Server
	mu       sync.Mutex
	open     []*requestConn // in the order in which they were accepted
}

// requestConn is the connection of one request.
type requestConn struct {
	net.Conn
	server *Server
}

// Start listens and serves until Close.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, listener: l}
	s.server = &fasthttp.Server{Handler: s.handle, DisableKeepalive: true, Concurrency: 2 * maxConns,
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, ReadBufferSize: maxHeader, MaxRequestBodySize: maxHeader,
		NoDefaultServerHeader: true, SecureErrorLogMessage: true, Logger: discardLogger{},
		ErrorHandler: writeError}
	slog.Info("operators", "listen", l.Addr())
	go s.server.Serve(s) // ends when the listener is closed
	return s, nil
}

// writeError answers an invalid request. It first reads the rest of a header that is too long: closing the
// connection with unread data would reset it, and the answer would be lost.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	status := transport.ErrorStatus(err)
	if status == fasthttp.StatusRequestHeaderFieldsTooLarge {
		ctx.Conn().SetReadDeadline(time.Now().Add(requestTimeout / 20))
		io.CopyN(io.Discard, ctx.Conn(), 16*maxHeader)
	}
	ctx.Error("no call\n", status)
}

// discardLogger drops fasthttp's log: the caller gets the error as its answer, and nobody else needs it.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Accept makes Server the listener that fasthttp serves. When too many connections are open it closes the
// oldest, so that callers that connect and send nothing cannot block others: a complete request is answered
// at once, so the oldest connection is one that sends nothing.
func (s *Server) Accept() (net.Conn, error) {
	conn, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &requestConn{conn, s}
	s.mu.Lock()
	s.open = append(s.open, c)
	var oldest *requestConn
	if len(s.open) > maxConns {
		oldest = s.open[0]
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	for s.server.GetOpenConnectionsCount() >= 2*maxConns { // the handlers of closed connections have yet to end
		time.Sleep(time.Millisecond)
	}
	return c, nil
}

// Close closes the connection.
func (c *requestConn) Close() error {
	c.server.mu.Lock()
	for k, other := range c.server.open {
		if other == c {
			c.server.open = append(c.server.open[:k], c.server.open[k+1:]...)
			break
		}
	}
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	err := s.listener.Close()
	s.mu.Lock()
	open := append([]*requestConn(nil), s.open...)
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	var answer func()
	switch string(path) {
	case "/control/ready":
		answer = func() {
			cause, ready := s.options.Ready()
			if !ready {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
			ctx.SetBodyString(cause + "\n")
		}
	case "/control/counters":
		answer = func() { ctx.SetBody(s.options.Metrics.Append(nil)) }
	default:
		ctx.Error("there are /control/ready and /control/counters\n", fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsGet() {
		ctx.Error("only GET\n", fasthttp.StatusMethodNotAllowed)
		ctx.Response.Header.Set("Allow", "GET")
		return
	}
	answer()
}
