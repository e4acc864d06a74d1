// Package operate owns the address at which operators call: it reads one call a connection and answers from values that
// are there already. It must never decide anything, wait for the reducer, or share a bound with the clients' front.
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
	// Descriptors are those that the front may use, to be set aside out of the limit: the listener, the calls, as
	// many that were closed and have yet to end.
	MaxDescriptors = 1 + 2*maxCalls
	maxCalls       = 8
	callTimeout    = 2 * time.Second // a call is there whole, and its answer read, within this time
	maxHeader      = 4 << 10
)

// Options say what calls are answered from.
type Options struct {
	Listen  netip.AddrPort
	Ready   func() (cause string, ready bool) // the cause is one word; must not block
	Metrics *metrics.Metrics
}

// Front serves operators' calls.
type Server struct {
	options  Options
	listener net.Listener
	server   *fasthttp.Server
	mu       sync.Mutex
	open     []*callConn // in the order in which they came
}

// call is the connection of one.
type callConn struct {
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
	s.server = &fasthttp.Server{Handler: s.handle, DisableKeepalive: true, Concurrency: 2 * maxCalls,
		ReadTimeout: callTimeout, WriteTimeout: callTimeout, ReadBufferSize: maxHeader, MaxRequestBodySize: maxHeader,
		NoDefaultServerHeader: true, SecureErrorLogMessage: true, Logger: discardLogger{},
		ErrorHandler: writeError}
	slog.Info("operators", "listen", l.Addr())
	go s.server.Serve(s) // ends with the listener
	return s, nil
}

// refuse answers what is no call. What is left of a long head is read first: closed over it, the connection would be
// reset and the answer lost.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	status := platform.UnreadStatus(err)
	if status == fasthttp.StatusRequestHeaderFieldsTooLarge {
		ctx.Conn().SetReadDeadline(time.Now().Add(callTimeout / 20))
		io.CopyN(io.Discard, ctx.Conn(), 16*maxHeader)
	}
	ctx.Error("no call\n", status)
}

// quiet: what is wrong with a call is said to the caller, and concerns nobody else.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Accept makes the front the listener that fasthttp serves. This guards against callers that connect and say nothing: a
// call that is finished takes no time, so the oldest of too many is one of those, and gives way.
func (s *Server) Accept() (net.Conn, error) {
	conn, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callConn{conn, s}
	s.mu.Lock()
	s.open = append(s.open, c)
	var oldest *callConn
	if len(s.open) > maxCalls {
		oldest = s.open[0]
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	for s.server.GetOpenConnectionsCount() >= 2*maxCalls { // those that were closed have yet to end
		time.Sleep(time.Millisecond)
	}
	return c, nil
}

// Close ends the connection.
func (c *callConn) Close() error {
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

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends the listener and all calls.
func (s *Server) Close() error {
	if s == nil {
		return nil
	}
	err := s.listener.Close()
	s.mu.Lock()
	open := append([]*callConn(nil), s.open...)
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
