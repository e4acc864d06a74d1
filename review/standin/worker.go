package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker takes jobs as PROTOCOL says: 202 for each, a queue served in order by one slot, callbacks for start, progress
// and end, DELETE drops a waiting job and stops a running one.
type worker struct {
	e       *env
	id      string
	addr    string
	report  string  // address for callbacks
	speed   float64 // running time is hint / speed
	onJob   func(w *worker, r *http.Request)
	mu      sync.Mutex
	queue   []*job
	running *job
	wake    chan bool
}

type job struct {
	id      string
	took    time.Duration
	dropped bool
}

func (e *env) startWorker(id, report string) *worker {
	l := e.listen()
	w := &worker{e: e, id: id, addr: l.Addr().String(), report: report, speed: 1, wake: make(chan bool, 1000),
		onJob: func(*worker, *http.Request) {}}
	go http.Serve(l, w)
	go w.run()
	return w
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
		w.e.say("%s: runs %s", w.id, j.id)
		go callback(w.report, object{"id": j.id, "from": w.id, "state": "started"})
		for end, beat := time.Now().Add(j.took), time.Now(); time.Now().Before(end) && !w.isDropped(j); time.Sleep(min(10*time.Millisecond, max(0, time.Until(end)))) {
			if time.Since(beat) >= time.Second {
				beat = time.Now()
				go callback(w.report, object{"id": j.id, "from": w.id, "state": "running", "share": 0.5})
			}
		}
		w.mu.Lock()
		w.running = nil
		w.mu.Unlock()
		if w.isDropped(j) {
			continue
		}
		w.e.say("%s: has run %s", w.id, j.id)
		go callback(w.report, object{"id": j.id, "from": w.id, "state": "done", "result": j.id + " done by " + w.id})
	}
}

func (w *worker) isDropped(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.dropped
}
