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
	MaxDescriptors = 1 + 2*callsMost
	callsMost      = 8
	callWithin     = 2 * time.Second // a call is there whole, and its answer read, within this time
	headMost       = 4 << 10
)

// Options say what calls are answered from.
type Options struct {
	Listen  netip.AddrPort
	Ready   func() (cause string, ready bool) // the cause is one word; must not block
	Metrics *metrics.Metrics
}

// Front serves operators' calls.
type Server struct {
	o        Options
	listener net.Listener
	server   *fasthttp.Server
	mu       sync.Mutex
	calls    []*call // in the order in which they came
}

// call is the connection of one.
type call struct {
	net.Conn
	f *Server
}

// Start listens and serves until Close.
func Start(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, err
	}
	f := &Server{o: o, listener: l}
	f.server = &fasthttp.Server{Handler: f.handle, DisableKeepalive: true, Concurrency: 2 * callsMost,
		ReadTimeout: callWithin, WriteTimeout: callWithin, ReadBufferSize: headMost, MaxRequestBodySize: headMost,
		NoDefaultServerHeader: true, SecureErrorLogMessage: true, Logger: quiet{},
		ErrorHandler: refuse}
	slog.Info("operators", "listen", l.Addr())
	go f.server.Serve(f) // ends with the listener
	return f, nil
}

// refuse answers what is no call. What is left of a long head is read first: closed over it, the connection would be
// reset and the answer lost.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	status := transport.ErrorStatus(err)
	if status == fasthttp.StatusRequestHeaderFieldsTooLarge {
		ctx.Conn().SetReadDeadline(time.Now().Add(callWithin / 20))
		io.CopyN(io.Discard, ctx.Conn(), 16*headMost)
	}
	ctx.Error("no call\n", status)
}

// quiet: what is wrong with a call is said to the caller, and concerns nobody else.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Accept makes the front the listener that fasthttp serves. This guards against callers that connect and say nothing: a
// call that is finished takes no time, so the oldest of too many is one of those, and gives way.
func (f *Server) Accept() (net.Conn, error) {
	conn, err := f.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &call{conn, f}
	f.mu.Lock()
	f.calls = append(f.calls, c)
	var oldest *call
	if len(f.calls) > callsMost {
		oldest = f.calls[0]
	}
	f.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	for f.server.GetOpenConnectionsCount() >= 2*callsMost { // those that were closed have yet to end
		time.Sleep(time.Millisecond)
	}
	return c, nil
}

// Close ends the connection.
func (c *call) Close() error {
	c.f.mu.Lock()
	for k, other := range c.f.calls {
		if other == c {
			c.f.calls = append(c.f.calls[:k], c.f.calls[k+1:]...)
			break
		}
	}
	c.f.mu.Unlock()
	return c.Conn.Close()
}

// Addr is where it listens.
func (f *Server) Addr() net.Addr { return f.listener.Addr() }

// Close ends the listener and all calls.
func (f *Server) Close() error {
	if f == nil {
		return nil
	}
	err := f.listener.Close()
	f.mu.Lock()
	calls := append([]*call(nil), f.calls...)
	f.mu.Unlock()
	for _, c := range calls {
		c.Close()
	}
	return err
}

func (f *Server) handle(ctx *fasthttp.RequestCtx) {
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	var answer func()
	switch string(path) {
	case "/control/ready":
		answer = func() {
			cause, ready := f.o.Ready()
			if !ready {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
			ctx.SetBodyString(cause + "\n")
		}
	case "/control/counters":
		answer = func() { ctx.SetBody(f.o.Metrics.Append(nil)) }
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
