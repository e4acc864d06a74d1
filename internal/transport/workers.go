// This file handles the connections to workers: hand-offs and their cancellation. It must never send anything
// twice. fasthttp's client is not used: it repeats a DELETE by itself, it hides whether the last byte was
// written, which distinguishes work that never ran from work that may have run, and it cannot cancel a
// request. So the connections are pooled here, and only fasthttp's codecs are used.

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
	deleteTimeout    = time.Second            // time to wait for a worker's answer to a cancellation
	deleteRetry      = 100 * time.Millisecond // before the first repetition; doubles up to deleteTimeout
	maxIdlePerWorker = 16                     // idle connections kept per worker
	// A connection is reused only once nothing has arrived on it for this long. This guards against a second
	// answer to the previous request, some milliseconds late, that would be taken for the answer to the next
	// one: work that runs could count as never run.
	settleTime = 20 * time.Millisecond
)

// message is a client's request as it goes to any worker, without the lines that differ between workers.
type message struct {
	head        []byte
	body        []byte
	clientWaits func() bool  // reports whether its client still waits for the answer
	memory      *reservation // for both; nil: they are part of connBytes
	gate        answerGate
	names       *jobNames // of a job that another process accepted; nil: as configured here
}

// contentLengthBytes is the room that setBody needs in the head.
const contentLengthBytes = len("Content-Length: 65536\r\n")

// setBody completes a message whose head lacks the length of the body.
func (m *message) setBody(body []byte) {
	m.body = body
	m.head = append(m.head, "Content-Length: "...)
	m.head = strconv.AppendInt(m.head, int64(len(body)), 10)
	m.head = append(m.head, "\r\n"...)
}

// encode returns the request for one worker. A large body is not part of it: it is returned as it is, so that
// it is not copied for each hand-off.
func (m *message) encode(addr string, timeout float64, mark string) (head, body []byte) {
	const otherBytes = 80 // names, numbers and line ends of the added lines
	b := make([]byte, 0, len(m.head)+len(addr)+len(mark)+otherBytes+min(len(m.body), smallRequestBytes))
	b = append(b, m.head...)
	b = append(b, "Host: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Deadline: "...)
	b = strconv.AppendFloat(b, timeout/1000, 'f', 6, 64)
	if mark != "" {
		b = append(append(b, "\r\nX-Release: "...), mark...)
	}
	b = append(b, "\r\n\r\n"...)
	if len(m.body) > smallRequestBytes {
		return b, m.body
	}
	return append(b, m.body...), nil
}

// workerConn is a connection that carries one request at a time.
type workerConn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	idleSince time.Time     // time when it became idle
	idleTime  time.Duration // how long it had been idle when it was acquired; 0: new
}

// workerPool keeps the connections to workers and makes hand-offs on them.
type workerPool struct {
	node         *node.Node
	dialer       net.Dialer
	maxIdle      time.Duration // longest idle time after which a connection is reused
	minIdle      time.Duration // shortest idle time after which a connection is reused
	maxConns     int
	secondCopies bool // a work item may run more than once
	metrics      *metrics.Metrics
	guard        node.LeaseGuard // nil: this process belongs to no fleet
	mu           sync.Mutex
	learnedIdle  time.Duration // maxIdle as learned from connections that workers closed, at the time learnedAt
	learnedAt    time.Time     // zero: never
	open         int
	idle         map[string][]*workerConn // by address; longest idle first
	running      sync.WaitGroup
	onConnError  func(error) // receives the reason why a connection could not be opened
}

func newWorkers(n *node.Node, o Options) *workerPool {
	ms, l := float64(time.Millisecond), o.Connections
	return &workerPool{node: n, dialer: net.Dialer{Timeout: time.Duration(l.ConnectTimeout * ms), KeepAlive: -1},
		maxIdle: time.Duration(l.IdleTimeout / 2 * ms), learnedIdle: time.Duration(l.IdleTimeout / 2 * ms), minIdle: settleTime, secondCopies: o.SecondCopies,
		metrics: o.Metrics, guard: o.Guard, idle: map[string][]*workerConn{}, onConnError: func(error) {}}
}

// errTooMany: all connections to workers that the limit allows are in use. The hand-off could not connect.
var errTooMany = errors.New("too many connections to workers")

// errNotAllowed: the fleet does not allow this process to act, so nothing was written.
var errNotAllowed = errors.New("the fleet does not allow this process to act")

// acquire returns a usable idle connection, or opens a new one.
func (w *workerPool) acquire(ctx context.Context, addr string) (*workerConn, error) {
	closedAfter := w.maxIdle // shortest idle time after which a connection was found closed
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
	w.mu.Unlock()
	conn, err := w.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	// The worker is alive. One that died closes all its connections, however long they were idle.
	if closedAfter < w.maxIdle {
		w.limitIdleTime(closedAfter / 4) // it was closed some time before that was noticed
	}
	return conn, nil
}

// connect opens a new connection.
func (w *workerPool) connect(ctx context.Context, addr string) (*workerConn, error) {
	w.mu.Lock()
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
	return &workerConn{Conn: conn, addr: addr, in: bufio.NewReader(conn)}, nil
}

// limitIdleTime records how long a connection may be idle at most. This guards against workers, or network
// paths to them, that close idle connections long before the configured time: a request written to such a
// connection ends as a reset and may count as run.
func (w *workerPool) limitIdleTime(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was := w.usableIdle(); limit < was {
		slog.Info("idle", "idle", limit, "was", was)
		w.learnedIdle, w.learnedAt = limit, time.Now()
	}
}

// usableIdle returns how long a connection may have been idle when it is reused. The learned time doubles
// within the configured idle time. The lock is held.
func (w *workerPool) usableIdle() time.Duration {
	grown := math.Exp2(float64(time.Since(w.learnedAt)) / float64(2*w.maxIdle))
	return time.Duration(min(float64(w.learnedIdle)*grown, float64(w.maxIdle)))
}

// isQuiet reports that nothing arrived on an idle connection: neither its end nor unexpected bytes.
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

// setLimit sets how many connections to workers there may be.
func (w *workerPool) setLimit(most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxConns = most
}

// countClosed subtracts one connection.
func (w *workerPool) countClosed() {
	w.mu.Lock()
	w.open--
	w.mu.Unlock()
}

// evictIdle closes the connection that has been idle for longest. The lock is held.
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

// closeExpired closes connections long before the worker would: a request that crosses the worker's close is
// lost.
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

// close waits for requests in progress and closes idle connections.
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

// attempt is one hand-off in progress.
type attempt struct {
	w         *workerPool
	req       node.HandOffRequest
	cancel    context.CancelFunc
	mu        sync.Mutex
	conn      *workerConn // set from the writing of the request to its answer
	written   bool
	accepted  bool
	ended     bool // its HandOffEnded was enqueued
	cancelled bool
	endsBy    time.Time // the work item is given up by then
}

func (w *workerPool) startHandOff(s node.HandOffRequest) node.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	m := s.Message.(*message)
	s.Message = nil // the attempt may outlive the need for it
	a := &attempt{w: w, req: s, cancel: cancel, endsBy: endOf(s)}
	m.memory.retain()
	w.running.Go(func() { a.run(ctx, m) })
	return a
}

// adopt continues a hand-off that another process made.
func (w *workerPool) adopt(s node.HandOffRequest) node.Attempt {
	s.Message = nil
	return &attempt{w: w, req: s, cancel: func() {}, written: true, accepted: true, endsBy: endOf(s)}
}

// endOf returns the time by which a hand-off that begins now is given up.
func endOf(s node.HandOffRequest) time.Time {
	return time.Now().Add(time.Duration(s.Timeout * float64(time.Millisecond)))
}

// Accepted reports whether the worker has accepted the work item.
func (a *attempt) Accepted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted && !a.cancelled
}

// Written reports whether nothing of the hand-off remains to be written.
func (a *attempt) Written() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written || a.ended
}

func (a *attempt) run(ctx context.Context, m *message) {
	defer a.cancel()
	if conn := a.write(ctx, m); conn != nil {
		a.readAnswer(conn)
	}
}

// write writes the request to a connection, and returns it. If the hand-off ended before that, it returns nil.
func (a *attempt) write(ctx context.Context, m *message) *workerConn {
	defer m.memory.release()
	conn, err := a.w.acquire(ctx, a.req.Addr)
	if err != nil {
		a.finish(dispatch.ConnectFailed, err)
		return nil
	}
	a.mu.Lock()
	if a.cancelled {
		a.mu.Unlock()
		a.w.putIdle(conn)
		a.finish(dispatch.Cancelled, nil)
		return nil
	}
	a.conn = conn
	a.mu.Unlock()
	// The node enforces the timeout; this deadline is for the case that it never cancels.
	conn.SetDeadline(time.Now().Add(time.Duration(a.req.Timeout*1e6) + deleteTimeout))
	// Last check before writing: the lease may have expired while the connection was being opened.
	if a.w.guard != nil && !a.w.guard.Allowed() {
		a.release(conn, nil, true)
		a.finish(dispatch.ConnectFailed, errNotAllowed)
		return nil
	}
	// The client may have disconnected, or got its answer, while the connection was being opened. The
	// cancellation that follows may not have arrived yet, or cancelling may be forbidden.
	if !m.clientWaits() || !m.gate.begin() {
		logDisconnected(a.req.ID, "unsent")
		a.release(conn, nil, true)
		a.finish(dispatch.Cancelled, nil)
		return nil
	}
	defer m.gate.end()
	if err := a.writeMessage(conn, m); err != nil {
		a.release(conn, err, false)
		a.finish(dispatch.ConnectFailed, err)
		return nil
	}
	a.mu.Lock()
	a.written = true
	a.mu.Unlock()
	a.w.metrics.HandOffSent()
	return conn
}

// writeMessage writes the request for the worker. An error means that not all of it was written.
func (a *attempt) writeMessage(conn net.Conn, m *message) error {
	head, body := m.encode(a.req.Addr, a.req.Timeout, a.req.Mark)
	for _, part := range [][]byte{head, body} {
		if len(part) == 0 {
			continue
		}
		if n, err := conn.Write(part); n < len(part) {
			return err
		}
	}
	return nil
}

// readAnswer reads the worker's answer to the request.
func (a *attempt) readAnswer(conn *workerConn) {
	var r fasthttp.Response
	err := r.ReadLimitBody(conn.in, maxAnswer)
	a.release(conn, err, !r.ConnectionClose())
	status := r.StatusCode()
	switch {
	case err != nil:
		a.finish(dispatch.ConnReset, err)
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

// release ends the use of the connection. A connection that broke or that a cancellation closed is not
// reused.
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
		a.w.limitIdleTime(c.idleTime / 2)
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

// finish reports how the hand-off ended: by the worker's answer, or by an error. A hand-off that broke
// because it was cancelled ends as cancelled. If the worker may have the work item, it is told as well, since
// the close may have crossed its 202.
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

// Cancel closes the connection before the 202; after it, Cancel tells the worker.
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

// sendDelete makes the worker drop the work item. Where second copies are allowed, the hand-off counts as
// cancelled once the DELETE is written, or cannot be written. Elsewhere it counts once the DELETE is answered:
// until then it is sent again, on new connections, for as long as the worker may take to do the work. This
// guards against connections that were dropped unseen: the worker would still have the work item when it goes
// to another one.
func (a *attempt) sendDelete() {
	ended := func() { a.w.node.Enqueue(node.HandOffEnded{WI: a.req.WI, HO: a.req.HO, Outcome: dispatch.Cancelled}) }
	if a.w.secondCopies {
		a.deleteOnce(a.w.acquire, ended)
		return
	}
	acquire, pause := a.w.acquire, deleteRetry
	for a.deleteOnce(acquire, func() {}) != nil && time.Now().Add(pause).Before(a.endsBy) {
		time.Sleep(pause)
		acquire, pause = a.w.connect, min(2*pause, deleteTimeout)
	}
	ended()
}

// deleteOnce sends a DELETE and waits for its answer. It calls written once the DELETE is written or cannot be
// written. An error means that there was no answer.
func (a *attempt) deleteOnce(acquire func(context.Context, string) (*workerConn, error), written func()) error {
	conn, err := acquire(context.Background(), a.req.Addr)
	if err != nil {
		written()
		return err
	}
	conn.SetDeadline(time.Now().Add(deleteTimeout))
	_, err = conn.Write([]byte("DELETE /jobs/" + url.PathEscape(a.req.ID) + " HTTP/1.1\r\nHost: " + a.req.Addr +
		"\r\nContent-Length: 0\r\n\r\n"))
	written()
	var r fasthttp.Response
	if err == nil {
		err = r.ReadLimitBody(conn.in, maxAnswer)
	}
	if err != nil || r.ConnectionClose() {
		a.w.discard(conn)
		return err
	}
	a.w.putIdle(conn)
	return nil
}
