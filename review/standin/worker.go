package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker takes jobs as PROTOCOL says: 202 for each, a queue served in order by one slot, callbacks for start, progress
// and end, DELETE drops a waiting job and stops a running one.
type worker struct {
	e       *env
	id      string
	addr    string
	report  string       // address for callbacks
	speed   float64      // running time is hint / speed
	forget  atomic.Int64 // connections idle for longer (ns) are forgotten: what comes then is never read; 0: none
	quiet   bool         // its jobs are not in the record one by one
	onJob   func(w *worker, r *http.Request)
	onGone  func(w *worker, id, how string)
	mu      sync.Mutex
	queue   []*job
	running *job
	wake    chan bool
}

type job struct {
	id      string
	took    time.Duration
	foreign bool // of another scheduler
	dropped bool
}

func (e *env) startWorker(id, report string) *worker {
	l := e.listen()
	w := &worker{e: e, id: id, addr: l.Addr().String(), report: report, speed: 1, wake: make(chan bool, 1000),
		onJob: func(*worker, *http.Request) {}, onGone: func(*worker, string, string) {}}
	go http.Serve(&forgetful{l, w}, w)
	go w.run()
	return w
}

// forgetful wraps a worker's connections.
type forgetful struct {
	net.Listener
	w *worker
}

func (f *forgetful) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c, w: f.w, last: time.Now()}, nil
}

// idleConn is a connection that is forgotten after a time without use, as if a middlebox dropped it unseen: it stays
// open, what comes on it is never read by the worker and gets no answer.
type idleConn struct {
	net.Conn
	w    *worker
	mu   sync.Mutex
	last time.Time
}

func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	idle := time.Since(c.last)
	c.last = time.Now()
	c.mu.Unlock()
	if forget := time.Duration(c.w.forget.Load()); n > 0 && forget > 0 && idle > forget {
		first, _, _ := strings.Cut(string(p[:n]), "\r\n")
		c.w.e.say("%s: swallowed on a connection that was idle for %d ms: %q", c.w.id, idle.Milliseconds(), first)
		_, err := io.Copy(io.Discard, c.Conn)
		return 0, firstError(err, io.EOF)
	}
	return n, err
}

// setForget sets after which time without use the worker's connections are forgotten; 0: never.
func (w *worker) setForget(after time.Duration) { w.forget.Store(int64(after)) }

func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

func (c *idleConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.last = time.Now()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/jobs/"); ok && r.Method == http.MethodDelete {
		w.mu.Lock()
		for _, j := range append([]*job{w.running}, w.queue...) {
			if j != nil && j.id == id {
				j.dropped = true
			}
		}
		w.mu.Unlock()
		w.onGone(w, id, "DELETE")
		return
	}
	io.Copy(io.Discard, r.Body)
	hint, _ := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64)
	w.onJob(w, r)
	out.WriteHeader(http.StatusAccepted)
	w.add(&job{id: r.Header.Get("X-Request-Id"), took: time.Duration(hint / w.speed * float64(time.Microsecond))})
}

func (w *worker) add(j *job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	w.wake <- true
}

// run serves the queue in order.
func (w *worker) run() {
	for range w.wake {
		w.mu.Lock()
		j := w.queue[0]
		w.queue = w.queue[1:]
		if !j.dropped {
			w.running = j
		}
		w.mu.Unlock()
		if j.dropped {
			continue
		}
		if !j.foreign {
			if !w.quiet {
				w.e.say("%s: runs %s", w.id, j.id)
			}
			go callback(w.report, object{"id": j.id, "from": w.id, "state": "started"})
		}
		for end, beat := time.Now().Add(j.took), time.Now(); time.Now().Before(end) && !w.isDropped(j); time.Sleep(min(10*time.Millisecond, max(0, time.Until(end)))) {
			if !j.foreign && time.Since(beat) >= time.Second {
				beat = time.Now()
				go callback(w.report, object{"id": j.id, "from": w.id, "state": "running", "share": 0.5})
			}
		}
		w.mu.Lock()
		w.running = nil
		w.mu.Unlock()
		if j.foreign || w.isDropped(j) {
			continue
		}
		if !w.quiet {
			w.e.say("%s: has run %s", w.id, j.id)
		}
		w.onGone(w, j.id, "done")
		go callback(w.report, object{"id": j.id, "from": w.id, "state": "done", "result": j.id + " done by " + w.id})
	}
}

func (w *worker) isDropped(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.dropped
}
