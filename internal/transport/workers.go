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
	answerMost = 64 << 10
	dropWithin = time.Second // a worker's answer to a giving up is read for so long
	keepMost   = 16          // idle connections kept to one worker
	// A connection is used again only once nothing has come on it for so long. This guards against a second answer to the request
	// before, some milliseconds late, that would be taken for the answer to the next: work that runs could count as never run.
	settled = 20 * time.Millisecond
)

// message is a client's request as it goes on to any worker, encoded once: all but the lines that differ.
type message struct {
	head []byte
	body []byte
	owed func() bool // its client waits for the answer
}

// hop are the headers of the client's connection, or those that each hand-off sets.
var hop = []string{"Host", "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer",
	"Upgrade", "Expect", "X-Deadline"}

// newMessage copies a request: method, path, query, body and id byte for byte.
func newMessage(r *fasthttp.Request) *message {
	var h fasthttp.RequestHeader
	r.Header.CopyTo(&h)
	for _, name := range hop {
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
func (m *message) encode(addr string, patience float64, mark string) []byte {
	b := make([]byte, 0, len(m.head)+len(m.body)+len(addr)+len(mark)+80)
	b = append(b, m.head...)
	b = append(b, "Host: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Deadline: "...)
	b = strconv.AppendFloat(b, patience/1000, 'f', 6, 64)
	if mark != "" {
		b = append(append(b, "\r\nX-Release: "...), mark...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, m.body...)
}

// workerConn is a connection that carries one request at a time.
type workerConn struct {
	net.Conn
	addr  string
	in    *bufio.Reader
	since time.Time     // when it became idle
	rest  time.Duration // for how long it had been idle when it was taken; 0: new
}

type workers struct {
	node    *node.Node
	dialer  net.Dialer
	idleFor time.Duration // connections are used again after being idle for so long, at most
	settle  time.Duration // and not before being idle for so long
	most    int
	copies  bool // second copies are allowed
	figures *metrics.Metrics
	gate    node.LeaseGuard // nil: of no fleet
	mu      sync.Mutex
	learned time.Duration // the same by connections that workers ended, as of learnAt
	learnAt time.Time     // zero: never
	open    int
	idle    map[string][]*workerConn // longest idle first
	running sync.WaitGroup
	short   func(error) // told why a connection did not come up
}

func newWorkers(n *node.Node, o Options) *workers {
	ms, l := float64(time.Millisecond), o.Connections
	return &workers{node: n, dialer: net.Dialer{Timeout: time.Duration(l.ConnectTimeout * ms), KeepAlive: -1},
		idleFor: time.Duration(l.IdleTimeout / 2 * ms), learned: time.Duration(l.IdleTimeout / 2 * ms), settle: settled, copies: o.SecondCopies,
		figures: o.Metrics, gate: o.Guard, idle: map[string][]*workerConn{}, short: func(error) {}}
}

// errTooMany: all connections to workers that the limit allows are in use. The hand-off could not connect.
var errTooMany = errors.New("too many connections to workers")

// errShut: the fleet has shut this process out, so nothing was written.
var errShut = errors.New("shut out by the fleet")

// get takes an idle connection that is fit for use, or opens one.
func (w *workers) get(ctx context.Context, addr string) (*workerConn, error) {
	gone := w.idleFor // the least time after which one was found closed
	for {
		w.mu.Lock()
		list := w.idle[addr]
		if len(list) == 0 {
			break
		}
		k := len(list) - 1
		for k >= 0 && time.Since(list[k].since) < w.settle {
			k--
		}
		if k < 0 {
			break
		}
		c := list[k]
		w.idle[addr] = slices.Delete(list, k, k+1)
		usable := w.usable()
		w.mu.Unlock()
		if c.rest = time.Since(c.since); c.rest < usable {
			if c.quiet() {
				return c, nil
			}
			gone = min(gone, c.rest)
		}
		w.drop(c)
	}
	if w.open >= w.most && !w.dropIdle() {
		w.mu.Unlock()
		return nil, errTooMany
	}
	w.open++
	w.mu.Unlock()
	conn, err := w.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		w.closed()
		w.short(err)
		return nil, err
	}
	if gone < w.idleFor { // by a worker that lives: one that died closes them all, however long they were idle
		w.learn(gone / 4) // it was closed some time before it was found so
	}
	return &workerConn{Conn: conn, addr: addr, in: bufio.NewReader(conn)}, nil
}

// learn takes note of how long a connection may idle at most. This guards against workers, or a path to them, that
// end idle connections long before the time in the settings: a request that is written to one then ends as a reset
// and may count as run.
func (w *workers) learn(most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was := w.usable(); most < was {
		slog.Info("idle", "idle", most, "was", was)
		w.learned, w.learnAt = most, time.Now()
	}
}

// usable is for how long a connection may have been idle when it is used again. What was learned doubles over the
// settings' idle time. The lock is held.
func (w *workers) usable() time.Duration {
	grown := math.Exp2(float64(time.Since(w.learnAt)) / float64(2*w.idleFor))
	return time.Duration(min(float64(w.learned)*grown, float64(w.idleFor)))
}

// quiet tells that nothing came on an idle connection: neither its end nor bytes nobody asked for.
func (c *workerConn) quiet() bool {
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

func (w *workers) put(c *workerConn) {
	c.SetDeadline(time.Time{})
	c.since = time.Now()
	w.mu.Lock()
	keep := len(w.idle[c.addr]) < keepMost
	if keep {
		w.idle[c.addr] = append(w.idle[c.addr], c)
	}
	w.mu.Unlock()
	if !keep {
		w.drop(c)
	}
}

func (w *workers) drop(c *workerConn) {
	c.Close()
	w.closed()
}

// bound sets how many connections to workers there may be.
func (w *workers) bound(most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most = most
}

// closed counts one connection less.
func (w *workers) closed() {
	w.mu.Lock()
	w.open--
	w.mu.Unlock()
}

// dropIdle makes room by the longest idle connection of all. The lock is held.
func (w *workers) dropIdle() bool {
	var oldest *workerConn
	for _, list := range w.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
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
func (w *workers) tidy(ctx context.Context) {
	tick := time.NewTicker(max(w.idleFor/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w.mu.Lock()
		for addr, list := range w.idle {
			for len(list) > 0 && time.Since(list[0].since) >= w.usable() {
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
func (w *workers) close(within time.Duration) {
	done := make(chan struct{})
	go func() { w.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(within):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.dropIdle() {
	}
}

// attempt is one hand-off under way.
type attempt struct {
	w       *workers
	s       node.HandOffRequest
	cancel  context.CancelFunc
	mu      sync.Mutex
	conn    *workerConn // from the writing to the answer
	written bool
	taken   bool
	over    bool // its Ended was queued
	given   bool // given up
}

func (w *workers) send(s node.HandOffRequest) node.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{w: w, s: s, cancel: cancel}
	w.running.Go(func() { a.run(ctx) })
	return a
}

// adopt is a hand-off that another process made.
func (w *workers) adopt(s node.HandOffRequest) node.Attempt {
	return &attempt{w: w, s: s, cancel: func() {}, written: true, taken: true}
}

// Taken tells whether the worker answered that it has it.
func (a *attempt) Accepted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.taken && !a.given
}

// Written tells whether nothing of it is still to be written.
func (a *attempt) Written() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written || a.over
}

func (a *attempt) run(ctx context.Context) {
	defer a.cancel()
	conn, err := a.w.get(ctx, a.s.Addr)
	if err != nil {
		a.end(dispatch.ConnectFailed, err)
		return
	}
	a.mu.Lock()
	if a.given {
		a.mu.Unlock()
		a.w.put(conn)
		a.end(dispatch.Cancelled, nil)
		return
	}
	a.conn = conn
	a.mu.Unlock()
	// The node times it; the deadline is for the case that it never asks.
	conn.SetDeadline(time.Now().Add(time.Duration(a.s.Timeout*1e6) + dropWithin))
	// The last look before the bytes: a connection that was long in coming up must not outlast the fleet's word.
	if a.w.gate != nil && !a.w.gate.Allowed() {
		a.release(conn, nil, true)
		a.end(dispatch.ConnectFailed, errShut)
		return
	}
	// The same for its client: it may have left, or have its answer, while the connection came up, and the giving up may be
	// on its way, or not allowed.
	m := a.s.Message.(*message)
	if !m.owed() {
		logLeft(a.s.ID, "unsent")
		a.release(conn, nil, true)
		a.end(dispatch.Cancelled, nil)
		return
	}
	text := m.encode(a.s.Addr, a.s.Timeout, a.s.Mark)
	if n, err := conn.Write(text); n < len(text) {
		a.release(conn, err, false)
		a.end(dispatch.ConnectFailed, err)
		return
	}
	a.mu.Lock()
	a.written = true
	a.mu.Unlock()
	a.w.figures.HandOffSent()
	var r fasthttp.Response
	err = r.ReadLimitBody(conn.in, answerMost)
	a.release(conn, err, !r.ConnectionClose())
	status := r.StatusCode()
	switch {
	case err != nil:
		a.end(dispatch.ConnReset, err)
	case status == fasthttp.StatusAccepted:
		a.accepted()
	case (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout) &&
		string(r.Header.Peek("X-Not-Run")) == "1":
		a.end(dispatch.Full, nil)
	default:
		slog.Warn("worker", "worker", a.s.Addr, "status", status, "id", a.s.ID)
		a.end(dispatch.Failed, nil)
	}
}

// release ends the use of the connection; one that broke or that a giving up has closed is not kept.
func (a *attempt) release(c *workerConn, err error, keep bool) {
	a.mu.Lock()
	a.conn = nil
	given := a.given
	a.mu.Unlock()
	if keep && err == nil && !given {
		a.w.put(c)
		return
	}
	a.w.drop(c)
	if err != nil && !given && c.rest > 0 {
		a.w.learn(c.rest / 2)
	}
}

func (a *attempt) accepted() {
	a.mu.Lock()
	a.taken = true
	given := a.given
	a.mu.Unlock()
	if given {
		a.forget()
	}
}

// end reports how it ended: by the worker's answer, or by an error. What broke by being given up ends as
// cancelled; if the worker may hold it, it is told as well, as the closing may have crossed its 202.
func (a *attempt) end(o dispatch.Outcome, err error) {
	a.mu.Lock()
	given, written := a.given, a.written
	a.over = true
	a.mu.Unlock()
	switch {
	case err == nil:
	case given && written:
		a.forget()
		return
	case given:
		o = dispatch.Cancelled
	default:
		slog.Warn("worker", "worker", a.s.Addr, "id", a.s.ID, "err", err)
	}
	a.w.node.Enqueue(node.HandOffEnded{WI: a.s.WI, HO: a.s.HO, Outcome: o})
}

// GiveUp closes the connection before the 202, and tells the worker after it.
func (a *attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.given || a.over {
		return
	}
	a.given = true
	if a.taken {
		a.w.running.Go(a.forget)
		return
	}
	a.cancel()
	if a.conn != nil {
		a.conn.Close()
	}
}

// forget has the worker drop the job. It counts as given up once that is written, or cannot be; where second
// copies are forbidden, once it is answered: else the next hand-off could overtake it.
func (a *attempt) forget() {
	queue := func() { a.w.node.Enqueue(node.HandOffEnded{WI: a.s.WI, HO: a.s.HO, Outcome: dispatch.Cancelled}) }
	conn, err := a.w.get(context.Background(), a.s.Addr)
	if err != nil {
		queue()
		return
	}
	conn.SetDeadline(time.Now().Add(dropWithin))
	_, err = conn.Write([]byte("DELETE /jobs/" + url.PathEscape(a.s.ID) + " HTTP/1.1\r\nHost: " + a.s.Addr +
		"\r\nContent-Length: 0\r\n\r\n"))
	if a.w.copies {
		queue()
	}
	var r fasthttp.Response
	if err == nil {
		err = r.ReadLimitBody(conn.in, answerMost)
	}
	if !a.w.copies {
		queue()
	}
	if err != nil || r.ConnectionClose() {
		a.w.drop(conn)
		return
	}
	a.w.put(conn)
}
