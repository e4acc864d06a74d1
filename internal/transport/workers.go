// This file owns the connections to workers: hand-offs, and their giving up. It must never send anything a
// second time. fasthttp's client sends a DELETE again by itself, hides whether the last byte was written, which
// tells work that never ran from work that may have, and cannot call a request off; so connections are kept in
// pools of its own, and only fasthttp's codecs serve.

package transport

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/dispatch"
	"weldmast/internal/metrics"
	"weldmast/internal/node"
)

const (
	maxAnswer        = 64 << 10
	deleteTimeout    = time.Second // a worker's answer to a giving up is read for so long
	maxIdlePerWorker = 16          // idle connections kept to one worker
	// A connection is used again only once nothing has come on it for so long. This guards against a second answer to the request
	// before, some milliseconds late, that would be taken for the answer to the next: work that runs could count as never run.
	settleTime = 20 * time.Millisecond
)

// message is a client's request as it goes on to any worker, encoded once: all but the lines that differ.
type message struct {
	head        []byte
	body        []byte
	clientWaits func() bool // its client waits for the answer
}

// hop are the headers of the client's connection, or those that each hand-off sets.
var hopHeaders = []string{"Host", "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer",
	"Upgrade", "Expect", "X-Deadline"}

// newMessage copies a request: method, path, query, body and id byte for byte.
func newMessage(r *fasthttp.Request) *message {
	var h fasthttp.RequestHeader
	r.Header.CopyTo(&h)
	for _, name := range hopHeaders {
		h.Del(name)
	}
	body := r.Body()
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	h.SetContentLength(len(body))
	head := h.AppendBytes(nil)
	return &message{head: head[:len(head)-2], body: slices.Clone(body)}
}

// encode is the whole text for one worker.
func (m *message) encode(addr string, timeout float64, mark string) []byte {
	b := make([]byte, 0, len(m.head)+len(m.body)+len(addr)+len(mark)+80)
	b = append(b, m.head...)
	b = append(b, "Host: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Deadline: "...)
	b = strconv.AppendFloat(b, timeout/1000, 'f', 6, 64)
	if mark != "" {
		b = append(append(b, "\r\nX-Release: "...), mark...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, m.body...)
}

// workerConn is a connection that carries one request at a time.
type workerConn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	idleSince time.Time     // when it became idle
	idleTime  time.Duration // for how long it had been idle when it was taken; 0: new
}

type workerPool struct {
	node         *node.Node
	dialer       net.Dialer
	maxIdle      time.Duration // connections are used again after being idle for so long, at most
	minIdle      time.Duration // and not before being idle for so long
	maxConns     int
	secondCopies bool // second copies are allowed
	metrics      *figures.Figures
	guard        node.LeaseGuard // nil: of no fleet
	mu           sync.Mutex
	learnedIdle  time.Duration // the same by connections that workers ended, as of learnAt
	learnedAt    time.Time     // zero: never
	open         int
	idle         map[string][]*workerConn // longest idle first
	running      sync.WaitGroup
	onConnError  func(error) // told why a connection did not come up
}

func newWorkers(n *node.Node, o Options) *workerPool {
	ms, l := float64(time.Millisecond), o.Connections
	return &workerPool{node: n, dialer: net.Dialer{Timeout: time.Duration(l.ConnectTimeout * ms), KeepAlive: -1},
		maxIdle: time.Duration(l.IdleTimeout / 2 * ms), learnedIdle: time.Duration(l.IdleTimeout / 2 * ms), minIdle: settleTime, secondCopies: o.SecondCopies,
		metrics: o.Metrics, guard: o.Guard, idle: map[string][]*workerConn{}, onConnError: func(error) {}}
}

// errTooMany: all connections to workers that the limit allows are in use. The hand-off could not connect.
var errTooMany = errors.New("too many connections to workers")

// errShut: the fleet has shut this process out, so nothing was written.
var errNotAllowed = errors.New("shut out by the fleet")

// get takes an idle connection that is fit for use, or opens one.
func (w *workerPool) acquire(ctx context.Context, addr string) (*workerConn, error) {
	closedAfter := w.maxIdle // the least time after which one was found closed
	for {
		w.mu.Lock()
		list := w.idle[addr]
		if len(list) == 0 {
			break
		}
		k := len(list) - 1
		for k >= 0 && time.Since(list[k].idleSince) < w.minIdle {
			k--
		}
		if k < 0 {
			break
		}
		c := list[k]
		w.idle[addr] = slices.Delete(list, k, k+1)
		usable := w.usableIdle()
		w.mu.Unlock()
		if c.idleTime = time.Since(c.idleSince); c.idleTime < usable {
			if c.isQuiet() {
				return c, nil
			}
			closedAfter = min(closedAfter, c.idleTime)
		}
		w.discard(c)
	}
	if w.open >= w.maxConns && !w.evictIdle() {
		w.mu.Unlock()
		return nil, errTooMany
	}
	w.open++
	w.mu.Unlock()
	conn, err := w.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		w.countClosed()
		w.onConnError(err)
		return nil, err
	}
	if closedAfter < w.maxIdle { // by a worker that lives: one that died closes them all, however long they were idle
		w.learn(closedAfter / 4) // it was closed some time before it was found so
	}
	return &workerConn{Conn: conn, addr: addr, in: bufio.NewReader(conn)}, nil
}

// learn takes note of how long a connection may idle at most. This guards against workers, or a path to them, that
// end idle connections long before the time in the settings: a request that is written to one then ends as a reset
// and may count as run.
func (w *workerPool) learn(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was := w.usableIdle(); limit < was {
		slog.Info("idle", "idle", limit, "was", was)
		w.learnedIdle, w.learnedAt = limit, time.Now()
	}
}

// usable is for how long a connection may have been idle when it is used again. What was learned doubles over the
// settings' idle time. The lock is held.
func (w *workerPool) usableIdle() time.Duration {
	grown := math.Exp2(float64(time.Since(w.learnedAt)) / float64(2*w.maxIdle))
	return time.Duration(min(float64(w.learnedIdle)*grown, float64(w.maxIdle)))
}

// quiet tells that nothing came on an idle connection: neither its end nor bytes nobody asked for.
func (c *workerConn) isQuiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || c.in.Buffered() > 0 {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (w *workerPool) putIdle(c *workerConn) {
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	w.mu.Lock()
	keep := len(w.idle[c.addr]) < maxIdlePerWorker
	if keep {
		w.idle[c.addr] = append(w.idle[c.addr], c)
	}
	w.mu.Unlock()
	if !keep {
		w.discard(c)
	}
}

func (w *workerPool) discard(c *workerConn) {
	c.Close()
	w.countClosed()
}

// bound sets how many connections to workers there may be.
func (w *workerPool) setLimit(most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxConns = most
}

// closed counts one connection less.
func (w *workerPool) countClosed() {
	w.mu.Lock()
	w.open--
	w.mu.Unlock()
}

// dropIdle makes room by the longest idle connection of all. The lock is held.
func (w *workerPool) evictIdle() bool {
	var oldest *workerConn
	for _, list := range w.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	w.idle[oldest.addr] = w.idle[oldest.addr][1:]
	w.open--
	oldest.Close()
	return true
}

// tidy closes connections long before the worker would: a request that crosses that is lost.
func (w *workerPool) closeExpired(ctx context.Context) {
	tick := time.NewTicker(max(w.maxIdle/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		for addr, list := range w.idle {
			for len(list) > 0 && time.Since(list[0].idleSince) >= w.usableIdle() {
				list[0].Close()
				w.open--
				list = list[1:]
			}
			if w.idle[addr] = list; len(list) == 0 {
				delete(w.idle, addr)
			}
		}
		w.mu.Unlock()
	}
}

// close waits for what is under way and closes what is idle.
func (w *workerPool) close(timeout time.Duration) {
	done := make(chan struct{})
	go func() { w.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.evictIdle() {
	}
}

// attempt is one hand-off under way.
type attempt struct {
	w         *workerPool
	req       node.HandOffRequest
	cancel    context.CancelFunc
	mu        sync.Mutex
	conn      *workerConn // from the writing to the answer
	written   bool
	accepted  bool
	ended     bool // its Ended was queued
	cancelled bool // given up
}

func (w *workerPool) startHandOff(s node.HandOffRequest) node.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{w: w, req: s, cancel: cancel}
	w.running.Go(func() { a.run(ctx) })
	return a
}

// adopt is a hand-off that another process made.
func (w *workerPool) adopt(s node.HandOffRequest) node.Attempt {
	return &attempt{w: w, req: s, cancel: func() {}, written: true, accepted: true}
}

// Taken tells whether the worker answered that it has it.
func (a *attempt) Accepted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted && !a.cancelled
}

// Written tells whether nothing of it is still to be written.
func (a *attempt) Written() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written || a.ended
}

func (a *attempt) run(ctx context.Context) {
	defer a.cancel()
	conn, err := a.w.acquire(ctx, a.req.Addr)
	if err != nil {
		a.finish(dispatch.ConnectFailed, err)
		return
	}
	a.mu.Lock()
	if a.cancelled {
		a.mu.Unlock()
		a.w.putIdle(conn)
		a.finish(dispatch.Cancelled, nil)
		return
	}
	a.conn = conn
	a.mu.Unlock()
	// The node times it; the deadline is for the case that it never asks.
	conn.SetDeadline(time.Now().Add(time.Duration(a.req.Timeout*1e6) + deleteTimeout))
	// The last look before the bytes: a connection that was long in coming up must not outlast the fleet's word.
	if a.w.guard != nil && !a.w.guard.Allowed() {
		a.release(conn, nil, true)
		a.finish(dispatch.ConnectFailed, errNotAllowed)
		return
	}
	// The same for its client: it may have left, or have its answer, while the connection came up, and the giving up may be
	// on its way, or not allowed.
	m := a.req.Message.(*message)
	if !m.clientWaits() {
		logDisconnected(a.req.ID, "unsent")
		a.release(conn, nil, true)
		a.finish(dispatch.Cancelled, nil)
		return
	}
	text := m.encode(a.req.Addr, a.req.Timeout, a.req.Mark)
	if n, err := conn.Write(text); n < len(text) {
		a.release(conn, err, false)
		a.finish(dispatch.ConnectFailed, err)
		return
	}
	a.mu.Lock()
	a.written = true
	a.mu.Unlock()
	a.w.metrics.Tried()
	var r fasthttp.Response
	err = r.ReadLimitBody(conn.in, maxAnswer)
	a.release(conn, err, !r.ConnectionClose())
	status := r.StatusCode()
	switch {
	case err != nil:
		a.finish(dispatch.Reset, err)
	case status == fasthttp.StatusAccepted:
		a.markAccepted()
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(r.Header.Peek("X-Not-Run")) == "1":
		a.finish(dispatch.Full, nil)
	default:
		slog.Warn("worker", "worker", a.req.Addr, "status", status, "id", a.req.ID)
		a.finish(dispatch.Failed, nil)
	}
}

// release ends the use of the connection; one that broke or that a giving up has closed is not kept.
func (a *attempt) release(c *workerConn, err error, keep bool) {
	a.mu.Lock()
	a.conn = nil
	cancelled := a.cancelled
	a.mu.Unlock()
	if keep && err == nil && !cancelled {
		a.w.putIdle(c)
		return
	}
	a.w.discard(c)
	if err != nil && !cancelled && c.idleTime > 0 {
		a.w.learn(c.idleTime / 2)
	}
}

func (a *attempt) markAccepted() {
	a.mu.Lock()
	a.accepted = true
	cancelled := a.cancelled
	a.mu.Unlock()
	if cancelled {
		a.sendDelete()
	}
}

// end reports how it ended: by the worker's answer, or by an error. What broke by being given up ends as
// cancelled; if the worker may hold it, it is told as well, as the closing may have crossed its 202.
func (a *attempt) finish(o dispatch.Outcome, err error) {
	a.mu.Lock()
	cancelled, written := a.cancelled, a.written
	a.ended = true
	a.mu.Unlock()
	switch {
	case err == nil:
	case cancelled && written:
		a.sendDelete()
		return
	case cancelled:
		o = dispatch.Cancelled
	default:
		slog.Warn("worker", "worker", a.req.Addr, "id", a.req.ID, "err", err)
	}
	a.w.node.Enqueue(node.HandOffEnded{WI: a.req.WI, HO: a.req.HO, Outcome: o})
}

// GiveUp closes the connection before the 202, and tells the worker after it.
func (a *attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled || a.ended {
		return
	}
	a.cancelled = true
	if a.accepted {
		a.w.running.Go(a.sendDelete)
		return
	}
	a.cancel()
	if a.conn != nil {
		a.conn.Close()
	}
}

// forget has the worker drop the job. It counts as given up once that is written, or cannot be; where second
// copies are forbidden, once it is answered: else the next hand-off could overtake it.
func (a *attempt) sendDelete() {
	queue := func() { a.w.node.Enqueue(node.HandOffEnded{WI: a.req.WI, HO: a.req.HO, Outcome: dispatch.Cancelled}) }
	conn, err := a.w.acquire(context.Background(), a.req.Addr)
	if err != nil {
		queue()
		return
	}
	conn.SetDeadline(time.Now().Add(deleteTimeout))
	_, err = conn.Write([]byte("DELETE /jobs/" + url.PathEscape(a.req.ID) + " HTTP/1.1\r\nHost: " + a.req.Addr +
		"\r\nContent-Length: 0\r\n\r\n"))
	if a.w.secondCopies {
		queue()
	}
	var r fasthttp.Response
	if err == nil {
		err = r.ReadLimitBody(conn.in, maxAnswer)
	}
	if !a.w.secondCopies {
		queue()
	}
	if err != nil || r.ConnectionClose() {
		a.w.discard(conn)
		return
	}
	a.w.putIdle(conn)
}
