package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// discovery stands in for the agent of PROTOCOL: lists and watches.
type discovery struct {
	s        *stage
	name     string
	addr     string
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	revision int
	members  []obj // all that were ever listed; a gone one has the phase terminated
	changed  chan struct{}
	changes  []obj // of each revision from 2 on
	watches  int
	delay    time.Duration // before the first line of an answer
}

func newDiscovery(s *stage, name string, members ...obj) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &discovery{s: s, name: name, addr: l.Addr().String(), listener: l, revision: 1, members: members, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	return d
}

func (d *discovery) close() { d.s.note("%s ends", d.name); d.server.Close() }

// set lists a member in another phase, or a new one, and tells the watches at once.
func (d *discovery) set(m obj) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.changes = append(d.changes, m)
	for k := range d.members {
		if d.members[k]["id"] == m["id"] {
			d.members[k] = m
			m = nil
			break
		}
	}
	if m != nil {
		d.members = append(d.members, m)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	last := d.changes[len(d.changes)-1]
	d.s.note("%s: %v is %v, revision %d", d.name, last["id"], last["phase"], d.revision)
}

func (d *discovery) watchers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

func (d *discovery) whole() obj {
	list := []obj{}
	for _, m := range d.members {
		if m["phase"] != "terminated" {
			list = append(list, m)
		}
	}
	return obj{"revision": d.revision, "complete": true, "members": list}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	out := json.NewEncoder(w)
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			d.s.note("%s: a call was given up before its answer", d.name)
			return
		}
	}
	d.mu.Lock()
	list, seen := d.whole(), d.revision
	d.mu.Unlock()
	out.Encode(list)
	if r.URL.Query().Get("watch") == "" {
		return
	}
	d.mu.Lock()
	d.watches++
	d.mu.Unlock()
	defer func() { d.mu.Lock(); d.watches--; d.mu.Unlock() }()
	w.(http.Flusher).Flush()
	for {
		d.mu.Lock()
		var news []obj
		if seen < d.revision {
			news = d.changes[seen-1:]
		}
		line, changed := obj{"revision": d.revision, "complete": false, "members": news}, d.changed
		seen = d.revision
		d.mu.Unlock()
		if news != nil {
			out.Encode(line)
			w.(http.Flusher).Flush()
			continue
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// job is one attempt as a worker has it.
type job struct {
	id, path string
	worker   *worker
	mark     string
	deadline float64
	at       time.Time
	conn     net.Conn // to be closed by reset, in place of an answer
}

// worker stands in for a worker.
type worker struct {
	s        *stage
	id, addr string
	callback string // address of the dispatcher
	zone     string
	cell     int
	// take decides what becomes of an attempt. It returns whether the worker answers 202; otherwise the
	// connection has been taken from the server.
	take     func(j *job) bool
	reset    func(j *job) bool // nil, or whether the connection is reset in place of the 202
	mu       sync.Mutex
	attempts []*job
	effects  []string // ids of the jobs whose effect was applied, in order
}

func newWorker(s *stage, id, callback, zone string, cell int, take func(j *job) bool) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{s: s, id: id, addr: l.Addr().String(), callback: callback, zone: zone, cell: cell, take: take}
	go http.Serve(l, w)
	return w
}

// member returns the worker's entry of a list.
func (w *worker) member(phase string) obj {
	return obj{"id": w.id, "host_port": w.addr, "locality": w.zone, "flavor": "m2", "cell": w.cell, "phase": phase, "size": 1.0, "up_since_ms": 0}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if id, ok := strings.CutPrefix(r.URL.Path, "/jobs/"); ok && r.Method == http.MethodDelete {
		w.s.note("%s: DELETE %s", w.id, id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if r.Method != http.MethodPost || id == "" {
		http.NotFound(out, r)
		return
	}
	deadline, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	j := &job{id: id, path: r.URL.Path, worker: w, mark: r.Header.Get("X-Release"), deadline: deadline, at: time.Now()}
	w.mu.Lock()
	w.attempts = append(w.attempts, j)
	w.mu.Unlock()
	w.s.note("%s: attempt of %s %s, X-Deadline %.3f, X-Release %q", w.id, j.id, j.path, deadline, j.mark)
	if w.reset != nil && w.reset(j) {
		conn, _, err := out.(http.Hijacker).Hijack()
		if err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		w.s.note("%s: resets the connection of %s before the 202", w.id, j.id)
		return
	}
	if w.take(j) {
		out.WriteHeader(http.StatusAccepted)
	}
}

// effect records that the job's work was done.
func (j *job) effect() {
	j.worker.mu.Lock()
	j.worker.effects = append(j.worker.effects, j.id)
	j.worker.mu.Unlock()
	j.worker.s.note("%s: the effect of %s is applied", j.worker.id, j.id)
}

// tell makes a callback, up to ten times, until it is answered by 200 or 204.
func (j *job) tell(state string, more obj) {
	w := j.worker
	body := obj{"id": j.id, "from": w.id, "state": state}
	for k, v := range more {
		body[k] = v
	}
	text, _ := json.Marshal(body)
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 10 {
		r, err := c.Post("http://"+w.callback+"/callback", "application/json", bytes.NewReader(text))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				w.s.note("%s: told %s of %s", w.id, state, j.id)
				return
			}
			w.s.note("%s: %s of %s is answered %d", w.id, state, j.id, r.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// work runs the job for the time, with progress each second, until it ends or stop is closed. It reports whether
// it ran to its end.
func (j *job) work(run time.Duration, stop <-chan struct{}) bool {
	j.tell("started", nil)
	end := time.Now().Add(run)
	for left := run; left > 0; left = time.Until(end) {
		select {
		case <-stop:
			return false
		case <-time.After(min(left, time.Second)):
		}
		if time.Until(end) > 0 {
			go j.tell("running", obj{"share": 1 - time.Until(end).Seconds()/run.Seconds()})
		}
	}
	return true
}

// serve is a worker that does what it is given in the time, and tells of it.
func serve(run time.Duration) func(*job) bool {
	return func(j *job) bool {
		go func() {
			j.work(run, nil)
			j.effect()
			j.tell("done", obj{"result": "done by " + j.worker.id})
		}()
		return true
	}
}

// all returns the attempts of a request at the workers, in order.
func all(id string, workers ...*worker) (list []*job) {
	for _, w := range workers {
		w.mu.Lock()
		for _, j := range w.attempts {
			if j.id == id {
				list = append(list, j)
			}
		}
		w.mu.Unlock()
	}
	return list
}

// effects returns the workers at which the request had its effect.
func effects(id string, workers ...*worker) (list []string) {
	for _, w := range workers {
		w.mu.Lock()
		for _, e := range w.effects {
			if e == id {
				list = append(list, w.id)
			}
		}
		w.mu.Unlock()
	}
	return list
}

// answer is what a client got.
type answer struct {
	status int // 0: none
	body   string
	err    error
	after  time.Duration // since the last byte of the request
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.after.Seconds(), a.err)
	}
	return fmt.Sprintf("%d after %.3f s: %q", a.status, a.after.Seconds(), strings.TrimSpace(a.body))
}

// request returns the text of a job.
func request(host, path, id string, deadline, hint float64) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\nX-Cost-Hint: %.0f\r\nContent-Length: 2\r\n\r\nab",
		path, host, id, deadline, hint*1e6)
}

// submit hands in a job on a new connection; the channel gets the answer.
func submit(s *stage, addr, path, id string, deadline, hint float64) <-chan answer {
	got := make(chan answer, 1)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		got <- answer{err: err}
		return got
	}
	io.WriteString(conn, request(addr, path, id, deadline, hint))
	sent := time.Now()
	s.note("client: %s %s sent, X-Deadline %.3f", id, path, deadline)
	go func() {
		defer conn.Close()
		conn.SetReadDeadline(sent.Add(time.Duration((deadline + 1) * float64(time.Second))))
		a := read(bufio.NewReader(conn), sent)
		s.note("client: %s gets %v", id, a)
		got <- a
	}()
	return got
}

// keptClient is a client that keeps its connection.
type keptClient struct {
	s          *stage
	name, addr string
	conn       net.Conn
	in         *bufio.Reader
}

func keep(s *stage, addr, name string) (*keptClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return &keptClient{s, name, addr, conn, bufio.NewReader(conn)}, nil
}

// submit hands in a job; the channel gets the answer, before which there must be no other job.
func (c *keptClient) submit(path, id string, deadline, hint float64) <-chan answer {
	got := make(chan answer, 1)
	io.WriteString(c.conn, request(c.addr, path, id, deadline, hint))
	sent := time.Now()
	c.s.note("%s: %s %s sent, X-Deadline %.3f", c.name, id, path, deadline)
	go func() {
		c.conn.SetReadDeadline(sent.Add(time.Duration((deadline + 1) * float64(time.Second))))
		a := read(c.in, sent)
		c.s.note("%s: %s gets %v", c.name, id, a)
		got <- a
	}()
	return got
}

// read reads one answer.
func read(in *bufio.Reader, sent time.Time) (a answer) {
	r, err := http.ReadResponse(in, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		a.status, a.body = r.StatusCode, string(body)
	}
	a.err, a.after = err, time.Since(sent)
	return a
}
