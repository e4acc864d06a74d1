// This file owns the listener: requests of clients, callbacks of workers, /ready. It must never answer for a
// work item before the node has, nor let anything of a RequestCtx outlive its handler.

package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/node"
	"weldmast/internal/settings"
)

const (
	bodyMost   = 64 << 10
	headMost   = 16 << 10
	idMost     = 128
	whyMost    = 200
	clientIdle = time.Minute
	readWithin = 10 * time.Second // for the rest of a request once it has begun, and to write an answer
)

type clients struct {
	node     *node.Node
	names    settings.Names
	expiries []float64
	listener net.Listener
	most     int
	server   *fasthttp.Server
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*clientConn]bool
}

func listenClients(o Options, n *node.Node, most int) (*clients, error) {
	l, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, err
	}
	c := &clients{node: n, names: o.Names, expiries: o.Expiries, listener: l, most: most, conns: map[*clientConn]bool{}}
	c.server = &fasthttp.Server{Handler: c.handle, ErrorHandler: refuseUnread, Concurrency: most + 1,
		ReadTimeout: readWithin, WriteTimeout: readWithin, IdleTimeout: clientIdle,
		MaxRequestBodySize: bodyMost, ReadBufferSize: headMost, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, Logger: serverLog{},
		ConnState: func(c net.Conn, s fasthttp.ConnState) {
			if s == fasthttp.StateIdle {
				c.(*clientConn).idle()
			}
		}}
	log.Printf("listen=%s", l.Addr())
	return c, nil
}

func (c *clients) serve() {
	if err := c.server.Serve(c); err != nil {
		log.Printf("serve=%q", err)
	}
}

// drain closes connections that wait for a request, and has the others closed with their answer.
func (c *clients) drain() {
	c.draining.Store(true)
	for _, conn := range c.all() {
		conn.closeIdle(false)
	}
}

func (c *clients) all() (all []*clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		all = append(all, conn)
	}
	return all
}

func (c *clients) close(within time.Duration) {
	c.draining.Store(true)
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		busy := 0
		for _, conn := range c.all() {
			if !conn.closeIdle(true) {
				busy++
			}
		}
		if busy == 0 || time.Now().After(end) {
			break
		}
	}
	c.listener.Close()
	for _, conn := range c.all() {
		conn.Close()
	}
}

// refuseUnread answers what could not be read as a request.
func refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	refuse(ctx, status, err.Error())
}

// serverLog keeps what fasthttp says, but for what was refused and logged here.
type serverLog struct{}

func (serverLog) Printf(format string, a ...any) {
	if !strings.HasPrefix(format, "error when serving connection") {
		log.Printf("http=%q", fmt.Sprintf(format, a...))
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	why = why[:min(len(why), whyMost)]
	log.Printf("bad=%q status=%d from=%s", why, status, ctx.RemoteAddr())
	ctx.Error(why+"\n", status)
}

func (c *clients) handle(ctx *fasthttp.RequestCtx) {
	uri := ctx.Request.Header.RequestURI()
	path, _, _ := bytes.Cut(uri, []byte("?"))
	switch {
	case string(path) == "/ready" && ctx.IsGet():
		if c.node.Phase() != node.Serving {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(c.node.Phase().String() + "\n")
	case !ctx.IsPost():
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "only POST")
	case string(path) == "/callback":
		c.callback(ctx)
	default:
		c.submit(ctx, path)
	}
	if c.draining.Load() {
		ctx.SetConnectionClose()
	}
}

var callbackStates = map[string]node.CallbackState{"started": node.Started, "running": node.Running,
	"done": node.Done, "failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

// callback answers 200 once the node has it, also where nobody waits for it any more: the worker would
// only tell it again.
func (c *clients) callback(ctx *fasthttp.RequestCtx) {
	var in struct {
		ID, From, State, Result string
		Share                   float64
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "callback: "+err.Error())
		return
	}
	state, ok := callbackStates[in.State]
	if !ok || in.ID == "" || in.From == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "callback: no id, no from or an unknown state")
		return
	}
	c.node.Queue(node.Callback{ID: in.ID, From: in.From, State: state, Share: in.Share, Result: in.Result})
}

// submit hands a work item to the node and waits for its answer.
func (c *clients) submit(ctx *fasthttp.RequestCtx, path []byte) {
	client, status, err := c.decode(&ctx.Request, path)
	if err != nil {
		refuse(ctx, status, err.Error())
		return
	}
	conn := ctx.Conn().(*clientConn)
	if !c.node.Queue(node.Arrived{Client: client}) {
		encode(ctx, node.Reply{Result: node.Deferred})
		return
	}
	conn.watch(func() { c.node.Queue(node.Departed{Client: client}) })
	select {
	case r := <-client.Reply:
		encode(ctx, r)
	case <-c.node.Done(): // it came in after the last round: nothing was sent
		encode(ctx, node.Reply{Result: node.Deferred})
	}
	conn.unwatch()
}

// decode reads a request. What it keeps is its own copy.
func (c *clients) decode(r *fasthttp.Request, path []byte) (*node.Client, int, error) {
	bad := func(format string, a ...any) (*node.Client, int, error) {
		return nil, fasthttp.StatusBadRequest, fmt.Errorf(format, a...)
	}
	id := string(r.Header.Peek("X-Request-Id"))
	if id == "" || len(id) > idMost {
		return bad("X-Request-Id is missing or too long")
	}
	if len(path) == 0 || path[0] != '/' {
		return bad("path %q does not begin with /", path)
	}
	first, _, _ := bytes.Cut(path[1:], []byte("/"))
	name, err := url.PathUnescape(string(first))
	category := slices.Index(c.names.Categories, name)
	if err != nil || category < 0 {
		return nil, fasthttp.StatusNotFound, fmt.Errorf("%q is not a known category", first)
	}
	tenant := slices.Index(c.names.Tenants, string(r.Header.Peek("X-Tenant")))
	if tenant < 0 && len(c.names.Tenants) > 0 && len(r.Header.Peek("X-Tenant")) > 0 {
		return bad("X-Tenant is not known")
	}
	left, err := number(r, "X-Deadline", c.expiries[category]/1000)
	if err != nil {
		return nil, fasthttp.StatusBadRequest, err
	}
	hint, err := number(r, "X-Cost-Hint", 0)
	if err != nil {
		return nil, fasthttp.StatusBadRequest, err
	}
	// A deadline beyond the category's expiry counts as that: else one odd client would make all others of the
	// category look like retries.
	expiry := c.node.Now() + min(left*1000, c.expiries[category])
	return &node.Client{ID: id, Category: category, Tenant: tenant, Hint: hint / 1000, Expiry: expiry,
		Message: newMessage(r), Reply: make(chan node.Reply, 1)}, 0, nil
}

// number reads a header that must not be below zero.
func number(r *fasthttp.Request, header string, absent float64) (float64, error) {
	text := r.Header.Peek(header)
	if len(text) == 0 {
		return absent, nil
	}
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(x >= 0) || x > math.MaxInt32 {
		return 0, fmt.Errorf("%s: %q is not a number from 0 up", header, text)
	}
	return x, nil
}

func encode(ctx *fasthttp.RequestCtx, r node.Reply) {
	switch r.Result {
	case node.Served:
		ctx.SetBodyString(r.Body)
	case node.Deferred:
		ctx.Error("deferred: try again\n", fasthttp.StatusServiceUnavailable)
		if r.Pause > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.Pause/1000, 'f', 3, 64))
		}
	case node.WrittenOff:
		ctx.Error("written off: it may have run\n", fasthttp.StatusBadGateway)
	case node.Overdue:
		ctx.Error("no answer in time\n", fasthttp.StatusGatewayTimeout)
	case node.Repeated:
		ctx.Error("X-Request-Id is in use\n", fasthttp.StatusConflict)
	case node.Gone:
		ctx.SetConnectionClose()
	}
}

// makeRoom waits until another connection is within the limit. Idle ones give way: first those that have
// had a request, then those that have not. fasthttp would answer 503 before it has read the request, and the
// closing could take that answer with it.
func (c *clients) makeRoom() {
	for fresh := false; ; fresh = true {
		conns := c.all()
		if len(conns) < c.most || c.node.Phase() == node.Stopped {
			return
		}
		for _, conn := range conns {
			conn.closeIdle(fresh)
		}
		time.Sleep(time.Millisecond)
	}
}

// Accept makes the clients the listener that fasthttp serves.
func (c *clients) Accept() (net.Conn, error) {
	c.makeRoom()
	conn, err := c.listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &clientConn{Conn: conn, owner: c}
	c.mu.Lock()
	c.conns[cc] = true
	c.mu.Unlock()
	return cc, nil
}

// Close ends the listener.
func (c *clients) Close() error { return c.listener.Close() }

// Addr is where it listens.
func (c *clients) Addr() net.Addr { return c.listener.Addr() }

// clientConn is a connection that can be closed between requests without losing one, and watched while a
// request is served: fasthttp's handler does not notice a client that leaves.
type clientConn struct {
	net.Conn
	owner   *clients
	mu      sync.Mutex
	busy    bool // a byte of a request was read, and it has not been answered
	served  bool // it had a request before
	closing bool
	ahead   []byte        // what the watch read
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
	} else {
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, net.ErrClosed
	}
	if !c.busy && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF // nothing came: closed without a word, where fasthttp would answer 408 to a new one
	}
	c.busy = c.busy || n > 0
	return n, err
}

func (c *clientConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.served = false, true
}

// closeIdle closes the connection if no request is on it; a new one that had none yet only on demand, as
// its first request is on the way. It tells whether none is.
func (c *clientConn) closeIdle(fresh bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && (c.served || fresh) {
		c.closing = true
		c.Conn.Close()
	}
	return !c.busy
}

// Close ends the connection.
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// watch calls left when the client closes the connection. A byte that comes instead begins the next
// request, and is kept for it.
func (c *clientConn) watch(left func()) {
	c.watched = make(chan struct{})
	c.ending.Store(false)
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.watched)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.ahead = append(c.ahead, b[0])
		} else if !(c.ending.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
			left()
		}
	}()
}

func (c *clientConn) unwatch() {
	c.ending.Store(true)
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watched
	c.Conn.SetReadDeadline(time.Time{})
}
