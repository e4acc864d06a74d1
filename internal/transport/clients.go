// This file handles what is read on the listener: requests of clients, callbacks of workers and /ready. It
// must never answer for a work item before the node has, nor let any part of a RequestCtx outlive its
// handler. The connections are handled in connections.go.

package transport

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/metrics"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

const (
	maxBody           = 64 << 10
	maxHead           = 16 << 10
	maxIDLength       = 128
	maxReasonLength   = 200
	clientIdleTimeout = time.Minute
	// Part of a request must arrive within this time after the connection was accepted and after the previous
	// part. An answer must be read within it as well. The complete request must arrive within the longest
	// expiry.
	readTimeout = 2 * time.Second
	// After readTimeout, one more read with this timeout returns bytes that had arrived unread.
	lateReadTimeout = 5 * time.Millisecond
	maxPipelined    = maxHead + maxBody // bytes that a client may send ahead of an answer: one request
	pipelineChunk   = 4 << 10
	// If there is no descriptor for another connection, the next Accept follows after this time.
	acceptRetry = 5 * time.Millisecond
)

// clientServer serves clients and workers' callbacks on one listener.
type clientServer struct {
	node             *node.Node
	names            settings.Names
	expiries         []float64
	maxRequestTime   time.Duration // a request is complete within this time
	metrics          *metrics.Metrics
	listener         *net.TCPListener
	maxConns         atomic.Int64                                         // limit on open connections
	handOver         func(conn *clientConn, j *node.Job, m *message) bool // passes a job to another process
	forwardCallbacks bool                                                 // a callback may concern a work item of another process
	// Set while idle connections are given to another process.
	giveAway           atomic.Pointer[func(syscall.Conn) bool]
	acceptGate         pauseGate
	onConnError        func(error) // receives the reason why a connection could not be accepted
	server             *fasthttp.Server
	closeAfterDeferral atomic.Bool // a client that was deferred must go elsewhere
	closeAfterAnswer   atomic.Bool // every client must go elsewhere
	mu                 sync.Mutex
	conns              map[*clientConn]bool
}

func listenClients(o Options, n *node.Node) (*clientServer, error) {
	l, err := listenTCP(o)
	if err != nil {
		return nil, err
	}
	c := &clientServer{node: n, names: o.Names, expiries: o.Expiries, metrics: o.Metrics, listener: l,
		forwardCallbacks: o.Exchange != nil, conns: map[*clientConn]bool{}, onConnError: func(error) {}}
	c.maxRequestTime = max(readTimeout, time.Duration(slices.Max(o.Expiries)*float64(time.Millisecond)))
	c.server = &fasthttp.Server{Handler: c.handle, ErrorHandler: refuseUnread,
		// Twice the limit: connections that were closed may not have ended yet.
		Concurrency: 2*int(clientShare*float64(o.MaxSockets)) + 1,
		ReadTimeout: readTimeout, WriteTimeout: readTimeout, IdleTimeout: clientIdleTimeout,
		MaxRequestBodySize: maxBody, ReadBufferSize: maxHead, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, Logger: serverLog{},
		SecureErrorLogMessage: true, HeaderReceived: skipBody,
		ConnState: func(c net.Conn, s fasthttp.ConnState) {
			if s == fasthttp.StateIdle {
				c.(*clientConn).markIdle()
			}
		}}
	slog.Info("listen", "listen", l.Addr())
	return c, nil
}

func (c *clientServer) serve() {
	if err := c.server.Serve(c); err != nil {
		slog.Error("serve", "err", err)
	}
}

// closeIdle closes the connections that wait for a request.
func (c *clientServer) closeIdle() {
	for _, conn := range c.snapshot() {
		conn.closeIfIdle(false)
	}
}

func (c *clientServer) snapshot() (all []*clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		all = append(all, conn)
	}
	return all
}

func (c *clientServer) close(timeout time.Duration) {
	c.closeAfterAnswer.Store(true)
	for end := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		open := c.snapshot()
		for _, conn := range open {
			conn.closeIfIdle(true)
		}
		if len(open) == 0 || time.Now().After(end) {
			break
		}
	}
	c.Close()
	for _, conn := range c.snapshot() {
		conn.Close()
	}
}

// ErrorStatus returns the HTTP status for a request that could not be read.
func ErrorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}

func refuseUnread(ctx *fasthttp.RequestCtx, err error) { refuse(ctx, ErrorStatus(err), err.Error()) }

// serverLog logs messages of fasthttp, except for refused requests, which are logged by refuse.
type serverLog struct{}

func (serverLog) Printf(format string, a ...any) {
	if !strings.HasPrefix(format, "error when serving connection") {
		slog.Warn("http", "http", fmt.Sprintf(format, a...))
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	reason = reason[:min(len(reason), maxReasonLength)]
	slog.Warn("bad", "bad", reason, "status", status, "from", ctx.RemoteAddr())
	ctx.Error(reason+"\n", status)
	ctx.SetConnectionClose() // guards against clients that repeat the request or keep the connection
}

// skipBody prevents the body of a request with an invalid head from being read.
func skipBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if headFault(h) != "" {
		h.SetContentLength(0)
	}
	return fasthttp.RequestConfig{}
}

func (c *clientServer) handle(ctx *fasthttp.RequestCtx) {
	uri := ctx.Request.Header.RequestURI()
	path, _, _ := bytes.Cut(uri, []byte("?"))
	fault := headFault(&ctx.Request.Header)
	if fault == "" && len(ctx.Request.Header.PeekTrailerKeys()) > 0 && !dropTrailers(&ctx.Request.Header) {
		fault = "a trailer that cannot be told from the head"
	}
	if !ctx.Conn().(*clientConn).markServing() {
		fault = "the request line does not end in CRLF"
	}
	switch {
	case fault != "":
		refuse(ctx, fasthttp.StatusBadRequest, fault)
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
	if c.closeAfterAnswer.Load() {
		ctx.SetConnectionClose()
	}
}

var callbackStates = map[string]node.CallbackState{"started": node.Started, "running": node.Running,
	"done": node.Done, "failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

// callback answers 200 once the node has the callback, even if nobody waits for it any more: otherwise the
// worker would only repeat it.
func (c *clientServer) callback(ctx *fasthttp.RequestCtx) {
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
	ctx.Conn().(*clientConn).markProven()
	cb := node.Callback{ID: in.ID, From: in.From, State: state, Share: in.Share, Result: in.Result}
	if !c.forwardCallbacks {
		c.node.Enqueue(cb)
		return
	}
	applied := make(chan node.CallbackResult, 1)
	cb.Respond = func(a node.CallbackResult) { applied <- a }
	c.node.Enqueue(cb)
	select {
	case a := <-applied:
		if a == node.CallbackUndetermined { // the worker sends it again
			ctx.Error("another process has not answered\n", fasthttp.StatusServiceUnavailable)
		}
	case <-c.node.Done():
	}
}

// expectReply returns a channel that receives the reply to the client. Until then, and while the client's
// connection is open, the work item may be sent.
func (c *clientConn) expectReply(client *node.Request) <-chan node.Reply {
	reply, answered := make(chan node.Reply, 1), new(atomic.Bool)
	client.Respond = func(r node.Reply) {
		answered.Store(true)
		reply <- r
	}
	client.Message.(*message).clientWaits = func() bool {
		_, left := c.peek()
		return !left && !answered.Load()
	}
	return reply
}

// logDisconnected logs that the client of a work item disconnected before it was sent, and at which stage.
func logDisconnected(id, stage string) { slog.Info("left", "left", stage, "id", id) }

// submit passes a work item to the node and waits for its reply.
func (c *clientServer) submit(ctx *fasthttp.RequestCtx, path []byte) {
	client, status, err := c.decode(&ctx.Request, path)
	if err != nil {
		refuse(ctx, status, err.Error())
		return
	}
	conn := ctx.Conn().(*clientConn)
	reply := conn.expectReply(client)
	c.metrics.JobAccepted()
	r := node.Reply{Result: node.Deferred}
	switch _, disconnected := conn.peek(); {
	case disconnected: // while the request was still unread
		logDisconnected(client.ID, "unread")
		r.Result = node.ClientGone
	case c.node.Enqueue(node.RequestArrived{Request: client}):
		conn.watchClose(func() { c.node.Enqueue(node.ClientDisconnected{Request: client}) })
		select {
		case r = <-reply:
			if r.Result != node.DuplicateID {
				conn.markProven()
			}
		case <-c.node.Done(): // the request arrived after the last round: nothing was sent
		}
		conn.stopWatch()
	}
	if r.Result == node.HandedOver && c.handOver(conn, r.Job, client.Message.(*message)) {
		c.metrics.ClientLeft()
		ctx.HijackSetNoResponse(true) // the other process keeps the connection open when it is closed here
		ctx.Hijack(func(net.Conn) {})
		return
	}
	writeReply(ctx, r)
	if conn.pipelineOverflow || r.Result == node.Deferred && c.closeAfterDeferral.Load() {
		ctx.SetConnectionClose()
	}
	c.countResult(client.Category, r.Result)
}

// countResult counts the result of a work item in the metrics.
func (c *clientServer) countResult(category int, r node.Result) {
	switch r {
	case node.Served:
		c.metrics.JobAnswered(category, metrics.OK)
	case node.Deferred:
		c.metrics.JobAnswered(category, metrics.Shed)
	case node.WrittenOff, node.TimedOut, node.HandedOver: // a failed hand-over
		c.metrics.JobAnswered(category, metrics.Error)
	case node.DuplicateID, node.ClientGone: // not a work item of its own; no client to answer
		c.metrics.ClientLeft()
	}
}

// decode decodes a request. It copies everything that it keeps.
func (c *clientServer) decode(r *fasthttp.Request, path []byte) (*node.Request, int, error) {
	badRequest := func(format string, a ...any) (*node.Request, int, error) {
		return nil, fasthttp.StatusBadRequest, fmt.Errorf(format, a...)
	}
	id := string(r.Header.Peek("X-Request-Id"))
	if id == "" || len(id) > maxIDLength {
		return badRequest("X-Request-Id is missing or too long")
	}
	if len(path) == 0 || path[0] != '/' {
		return badRequest("path %q does not begin with /", path)
	}
	segment, rest, _ := bytes.Cut(path[1:], []byte("/"))
	category := slices.Index(c.names.Categories, string(segment))
	if category < 0 { // the path may hold the name as it is, even if it looks percent-encoded, or percent-encoded
		if name, err := url.PathUnescape(string(segment)); err == nil {
			category = slices.Index(c.names.Categories, name)
		}
	}
	if category < 0 {
		return nil, fasthttp.StatusNotFound, fmt.Errorf("%q is not a known category", segment)
	}
	tenant := slices.Index(c.names.Tenants, string(r.Header.Peek("X-Tenant")))
	if tenant < 0 && len(c.names.Tenants) > 0 && len(r.Header.Peek("X-Tenant")) > 0 {
		return badRequest("X-Tenant is not known")
	}
	deadline, err := decimalHeader(r, "X-Deadline", c.expiries[category]/1000)
	if err != nil {
		return nil, fasthttp.StatusBadRequest, err
	}
	hint, err := decimalHeader(r, "X-Cost-Hint", 0)
	if err != nil {
		return nil, fasthttp.StatusBadRequest, err
	}
	// A deadline beyond the category's expiry counts as the expiry. Otherwise one unusual client would make
	// all other work items of the category look like retries.
	expiry := c.node.Now() + min(deadline*1000, c.expiries[category])
	return &node.Request{ID: id, Category: category, Tenant: tenant, Hint: hint / 1000, Key: keyOf(rest), Expiry: expiry,
		Message: newMessage(r)}, 0, nil
}

// keyOf returns the key of a request: the last segment of its path after the category, byte for byte.
func keyOf(rest []byte) string { return string(rest[bytes.LastIndexByte(rest, '/')+1:]) }

// decimalHeader reads a header with a plain decimal number: digits, optionally with a decimal point.
func decimalHeader(r *fasthttp.Request, header string, fallback float64) (float64, error) {
	all := r.Header.PeekAll(header)
	if len(all) == 0 {
		return fallback, nil
	}
	text := string(all[0])
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || x > math.MaxInt32 {
		return 0, fmt.Errorf("%s: %q is not a plain decimal", header, text[:min(len(text), maxReasonLength)])
	}
	return x, nil
}

func writeReply(ctx *fasthttp.RequestCtx, r node.Reply) {
	switch r.Result {
	case node.Served:
		ctx.SetBodyString(r.Body)
	case node.Deferred:
		ctx.Error("deferred: try again\n", fasthttp.StatusServiceUnavailable)
		if r.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter/1000, 'f', 3, 64))
		}
	case node.WrittenOff, node.HandedOver:
		ctx.Error("written off: it may have run\n", fasthttp.StatusBadGateway)
	case node.TimedOut:
		ctx.Error("no answer in time\n", fasthttp.StatusGatewayTimeout)
	case node.DuplicateID:
		ctx.Error("X-Request-Id is in use\n", fasthttp.StatusConflict)
		ctx.SetConnectionClose()
	case node.ClientGone:
		ctx.SetConnectionClose()
	}
}
