package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"weldmast/internal/kept"
)

// These tests start the built program and speak to it over loopback sockets. Each prints what its workers
// and clients saw, which must be what is kept beside it.

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "weldmast")
	if err != nil {
		log.Fatal(err)
	}
	binary = filepath.Join(dir, "weldmast")
	args := []string{"build", "-buildvcs=false", "-o", binary}
	if raced() {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		log.Fatalf("build: %v\n%s", err, out)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// raced tells whether the tests were built with the race detector.
func raced() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

const patience = 10 * time.Second // for what must come; nothing that is expected takes so long

// settings are the operators', small: times in microseconds.
const settings = `{"siblings":2,"position":0,"granularity":5000,"discovery":"push","localities":["here","there"],
	"locality":"here","machine_types":["twin"],"excess_credit":0.1,
	"allowed":{"max_hand_offs":3,"may_cancel":true,"second_copies":true,"peers":true,"retry_after":true,
		"max_retry_after":2000000,"conn_idle":%d,"connect_timeout":250000,"open_cap":100},
	"safety":{"answer_slack":20000,"ask_within":10000000,"start_capacity":0.1,"cold":20000000,"fall":2000000,
		"fall_multiple":3.0},
	"family_info":{"tells_start":true,"progress":1000000,"class_stretch":[0,0],"class_kind":[-1,-1]},
	"realms":[{"name":"acme","allowance_per_s":100.0,"fraction":1.0}],
	"categories":[{"name":"plan","semantics":"repeatable","due_time":2000000,"expiry":5000000,"credit":1.0},
		{"name":"order","semantics":"once","due_time":2000000,"expiry":5000000,"credit":1.0}]}`

// world is what a dispatcher lives among: discovery, workers and a sibling.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	log      strings.Builder
	lists    []string // what discovery has told, in order
	told     chan struct{}
	silent   bool // discovery is down
	older    bool // it takes no watch without a revision
	watches  int
	disc     *http.Server
	discAt   string
	listen   string
	sibling  *net.UDPConn
	peerAt   string
	known    string
	idle     int // microseconds
	sockets  int
	swap     [2]string // text of the configuration, and what stands in its place
	file     string    // the configuration
	operator string    // the operator's file, if any
	ops      string    // where operators call, if anywhere
	temp     string    // TMPDIR, if it is set
	wrap     func(*exec.Cmd)
	cmd      *exec.Cmd
	output   output
}

// output is what the program logs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// sources reads what the program is built from. go test keeps results until a file changes that a test has
// read, and the linker leaves the program out of the test's own binary: without this a changed program would
// pass on the old one's result.
var sources = sync.OnceValue(func() error {
	for _, dir := range []string{".", "../../internal", "../../go.mod"} {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				_, err = os.ReadFile(path)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
})

func newWorld(t *testing.T) *world {
	w := &world{t: t, told: make(chan struct{}), idle: 15e6, sockets: 1024, known: "null"}
	l := w.port()
	w.discAt = l.Addr().String()
	w.disc = &http.Server{Handler: http.HandlerFunc(w.discovery)}
	go w.disc.Serve(l)
	l = w.port() // the dispatcher's, free again when it starts
	w.listen = l.Addr().String()
	l.Close()
	free := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		w.must(err)
		return c
	}
	w.sibling = free()
	c := free()
	w.peerAt = c.LocalAddr().String()
	c.Close()
	w.must(sources())
	t.Cleanup(func() {
		w.disc.Close()
		w.sibling.Close()
		if w.cmd != nil && w.cmd.ProcessState == nil {
			w.cmd.Process.Kill()
			w.cmd.Wait()
		}
		if t.Failed() {
			t.Logf("its log:\n%s", &w.output)
		}
	})
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// port listens on a port below those that the system hands out. The dispatcher's is closed before it starts: from the
// system's own, any connection of another test could take it meanwhile.
func (w *world) port() net.Listener {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+(os.Getpid()*64+int(ports.Add(1)))%12000))
		if !errors.Is(err, syscall.EADDRINUSE) {
			w.must(err)
			return l
		}
	}
}

var ports atomic.Int32

func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.log, format+"\n", a...)
}

// check compares what was seen.
func (w *world) check(want string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(w.log.String())); diff != "" {
		w.t.Errorf("seen differs (-kept +now):\n%s", diff)
	}
}

// without forgets lines that begin so, whose order is no matter.
func (w *world) without(start string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := slices.DeleteFunc(strings.SplitAfter(w.log.String(), "\n"), func(l string) bool { return strings.HasPrefix(l, start) })
	w.log.Reset()
	w.log.WriteString(strings.Join(lines, ""))
}

// await waits until a line was seen so many times.
func (w *world) await(line string, times int) {
	w.t.Helper()
	w.until("line "+line, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return strings.Count(w.log.String(), line) >= times
	})
}

func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%s did not come; seen:\n%s", what, w.log.String())
		}
	}
}

// whole is what discovery has told so far, as one list.
func (w *world) whole() string {
	var revision int
	var ids []string
	members := map[string]string{}
	for k, text := range w.lists {
		var l struct {
			Revision int
			Complete bool
			Members  []json.RawMessage
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			if k == len(w.lists)-1 {
				return text
			}
			continue
		}
		if revision = l.Revision; l.Complete {
			ids = nil
		}
		for _, raw := range l.Members {
			id := string(raw)
			var m struct{ ID string }
			if json.Unmarshal(raw, &m) == nil {
				id = m.ID
			}
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
			members[id] = string(raw)
		}
	}
	var lines []string
	for _, id := range ids {
		lines = append(lines, members[id])
	}
	return list(revision, true, lines...)
}

// discovery tells the whole list, or holds a watch open and writes what is told.
func (w *world) discovery(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	silent, sent := w.silent, 0
	if !silent && r.FormValue("watch") == "" {
		defer w.mu.Unlock()
		fmt.Fprint(out, w.whole())
		return
	}
	if w.watches++; !silent && w.watches > 1 {
		fmt.Fprintf(&w.log, "watch after %s\n", r.FormValue("after"))
	}
	if !silent && r.FormValue("after") == "" {
		if w.older {
			w.mu.Unlock()
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprintln(out, w.whole())
		sent = len(w.lists)
	}
	for k, l := range w.lists[sent:] {
		if l == "break" || strings.HasPrefix(l, `{"revision":`+r.FormValue("after")+",") {
			sent = k + 1
		}
	}
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for {
		w.mu.Lock()
		lists, told := w.lists[sent:], w.told
		w.mu.Unlock()
		for _, l := range lists {
			sent++
			if l == "break" {
				return
			}
			fmt.Fprintln(out, l)
		}
		out.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-told:
		case <-time.After(500 * time.Millisecond):
			fmt.Fprintln(out)
		}
	}
}

// tell makes discovery tell; if the program runs, it has read it then.
func (w *world) tell(list string) {
	w.t.Helper()
	w.mu.Lock()
	w.lists = append(w.lists, list)
	close(w.told)
	w.told = make(chan struct{})
	w.mu.Unlock()
	var revision int
	if _, err := fmt.Sscanf(list, `{"revision":%d`, &revision); err == nil && w.cmd != nil {
		w.until("the list", func() bool { return strings.Contains(w.output.String(), fmt.Sprintf("list=%d ", revision)) })
	}
}

func line(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","flavor":"twin","cell":0,"phase":%q,"size":1.0,"up_since_ms":0}`,
		id, addr, phase)
}

func list(revision int, complete bool, lines ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(lines, ","))
}

// job is a request as a worker got it.
type job struct {
	id  string
	out http.ResponseWriter
}

// worker serves jobs by the script and notes what comes; no script: it takes them.
func (w *world) worker(name string, script func(j job)) string {
	l := w.port()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		j := job{id: r.Header.Get("X-Request-Id"), out: out}
		if r.Method == "DELETE" {
			w.note("%s: DELETE %s", name, r.RequestURI)
			return
		}
		w.note("%s: %s", name, j.id)
		if script == nil {
			out.WriteHeader(http.StatusAccepted)
			return
		}
		script(j)
	})}
	go s.Serve(l)
	w.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// accept answers 202 at once, so that what follows comes after it.
func accept(j job) {
	j.out.WriteHeader(http.StatusAccepted)
	j.out.(http.Flusher).Flush()
}

// back calls back and tells the status that it got.
func (w *world) back(id, from, state, result string) int {
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": result})
	r, err := http.Post("http://"+w.listen+"/callback", "application/json", bytes.NewReader(body))
	if err != nil {
		w.note("callback: %v", err)
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// finishing takes a job, starts it and is done.
func (w *world) finishing(name string) string {
	return w.worker(name, func(j job) {
		accept(j)
		w.back(j.id, name, "started", "")
		w.back(j.id, name, "done", "from "+name)
	})
}

// idling is a worker that is done at once, closes connections that idle, and notes when one comes and goes.
func (w *world) idling(idle time.Duration) string {
	l := w.port()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		accept(job{out: out})
		go w.back(r.Header.Get("X-Request-Id"), "w1", "done", "")
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew || s == http.StateClosed {
			w.note("%s", s)
		}
	}, IdleTimeout: idle}
	go s.Serve(l)
	w.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// config is the program's, with one text put in the place of another.
func (w *world) config(old, new string) []string {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"peer_listen":%q,"peers":[%q,%q],"peers_all":%q,
		"known":%s,"settings":%s}`, w.listen, w.discAt, w.sockets, w.peerAt, w.peerAt, w.sibling.LocalAddr(),
		w.sibling.LocalAddr(), w.known, fmt.Sprintf(settings, w.idle))
	if w.file == "" {
		w.file = filepath.Join(w.t.TempDir(), "config.json")
	}
	w.must(os.WriteFile(w.file, []byte(strings.Replace(text, old, new, 1)), 0o600))
	return append(os.Environ(), "ROUTER_CONFIG="+w.file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+w.listen, "ROUTER_DISCOVERY="+w.discAt, "ROUTER_OPS="+w.ops)
}

// start starts the program and waits until it is ready.
func (w *world) start() {
	w.t.Helper()
	w.begin()
	w.until("ready", func() bool { return w.get("/ready") == 200 })
}

// begin starts the program.
func (w *world) begin() {
	w.t.Helper()
	w.cmd = exec.Command(binary)
	w.cmd.Env, w.cmd.Stderr = append(w.config(w.swap[0], w.swap[1]), "WELDMAST_FILE="+w.operator), &w.output
	if w.temp != "" {
		w.cmd.Env = append(w.cmd.Env, "TMPDIR="+w.temp)
	}
	if w.wrap != nil {
		w.wrap(w.cmd)
	}
	w.must(w.cmd.Start())
	cmd := w.cmd
	w.t.Cleanup(func() { // of those that another one has followed
		if cmd != w.cmd && cmd.ProcessState == nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
}

func (w *world) get(path string) int {
	r, err := http.Get("http://" + w.listen + path)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// request is a job of a client.
func request(id, path, headers string) string {
	if !strings.Contains(headers, "X-Cost-Hint") {
		headers += "X-Cost-Hint: 200000\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n" + headers +
		"X-Tenant: acme\r\nContent-Length: 4\r\n\r\nbody"
}

// client is one connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (w *world) dial() *client {
	w.t.Helper()
	c, err := net.Dial("tcp", w.listen)
	w.must(err)
	c.SetDeadline(time.Now().Add(patience))
	w.t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) answer() string {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "no answer"
	}
	body, _ := io.ReadAll(r.Body)
	text := fmt.Sprint(r.StatusCode)
	if r.StatusCode == 200 {
		text += " " + string(body)
	}
	text = strings.TrimSpace(text)
	if r.Header.Get("Retry-After") != "" {
		text += " Retry-After"
	}
	if r.Close {
		text += " Connection: close"
	}
	return text
}

func (c *client) ask(text string) string {
	io.WriteString(c, text)
	return c.answer()
}

// TestBytes: what the client sent goes on byte for byte, on a connection that is kept.
func TestBytes(t *testing.T) {
	w := newWorld(t)
	l := w.port()
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				w.note("worker: %v", err)
				return
			}
			body, _ := io.ReadAll(r.Body)
			w.note("%s %s %q %s %q %s", r.Method, r.RequestURI, body, r.Header["X-Request-Id"], r.Header["X-Cost-Hint"], r.Host)
			if d := r.Header.Get("X-Deadline"); d < "4.000" || d >= "4.500" {
				w.note("X-Deadline %s", d)
			}
			io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			w.back(r.Header["X-Request-Id"][0], "w1", "done", "ünï\n")
		}
	}()
	w.tell(list(1, true, line("w1", l.Addr().String(), "in_service")))
	w.start()
	c := w.dial()
	for k, uri := range []string{"/plan/a%2Fb//../c%20d/?q=%zz&&x=+", "/order/./é?"} {
		time.Sleep(50 * time.Millisecond) // a connection is used again once it has settled
		w.note("client: %s", c.ask("POST "+uri+" HTTP/1.1\r\nhost: x\r\nx-request-id: A.b-9_%41"+strings.Repeat("+", k)+"\r\nX-Tenant: acme\r\n"+
			"x-deadline: 4.5\r\nX-Cost-Hint: 100000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\x00\xff\n\r\n0\r\n\r\n"))
	}
	w.check(fmt.Sprintf(`POST /plan/a%%2Fb//../c%%20d/?q=%%zz&&x=+ "\x00\xff\n" [A.b-9_%%41] ["100000"] %[1]s
client: 200 ünï
POST /order/./é? "\x00\xff\n" [A.b-9_%%41+] ["100000"] %[1]s
client: 200 ünï`, l.Addr()))
}

// TestOutcomes: what each end of a first hand-off leads to, for work that may run again and work that may not.
func TestOutcomes(t *testing.T) {
	var all strings.Builder
	status := func(code int, notRun string) func(*world, job) {
		return func(_ *world, j job) {
			j.out.Header().Set("X-Not-Run", notRun)
			j.out.WriteHeader(code)
		}
	}
	calling := func(states ...string) func(*world, job) {
		return func(w *world, j job) {
			accept(j)
			for _, s := range states {
				w.back(j.id, "first", s, "")
			}
		}
	}
	for _, x := range []struct {
		name   string
		script func(w *world, j job)
	}{
		{"refused", nil},
		{"503, not run", status(503, "1")},
		{"504, not run", status(504, "1")},
		{"503", status(503, "")},
		{"500", status(500, "")},
		{"broken before the 202", func(*world, job) { panic(http.ErrAbortHandler) }},
		{"returned", calling("returned")},
		{"failed", calling("started", "failed")},
		{"lost", calling("started", "lost")},
	} {
		for _, category := range []string{"plan", "order"} {
			w := newWorld(t)
			l := w.port()
			addr := l.Addr().String()
			l.Close() // refuses
			if x.script != nil {
				addr = w.worker("first", func(j job) { x.script(w, j) })
			}
			w.tell(list(1, true, line("first", addr, "in_service")))
			w.start()
			c := w.dial()
			io.WriteString(c, request("a", "/"+category+"/x", ""))
			if x.script != nil {
				w.await("first: a", 1)
			}
			w.tell(list(2, false, line("second", w.finishing("second"), "in_service")))
			w.note("client: %s", c.answer())
			fmt.Fprintf(&all, "%s, %s: %s\n", x.name, category, strings.ReplaceAll(strings.TrimSpace(w.log.String()), "\n", ", "))
		}
	}
	kept.Check(t, "outcomes", all.String())
}

// TestCallbacks: they repeat, come before the 202, from the wrong worker or for nobody; each is answered.
func TestCallbacks(t *testing.T) {
	w := newWorld(t)
	conn := make(chan *client, 1)
	w.tell(list(1, true, line("w1", w.worker("w1", func(j job) {
		if j.id == "ahead" {
			accept(j)
			w.back(j.id, "w1", "done", "and the next")
			return
		}
		io.WriteString(<-conn, "P") // the next request begins before the answer to this one
		w.note("other worker: %d", w.back(j.id, "w2", "done", "not from there"))
		w.note("early: %d", w.back(j.id, "w1", "started", ""))
		w.note("early: %d", w.back(j.id, "w1", "done", "once"))
		w.note("again: %d", w.back(j.id, "w1", "done", "twice"))
		w.note("other: %d", w.back(j.id, "w1", "lost", ""))
		accept(j)
		w.note("after the 202")
	}), "in_service")))
	w.start()
	w.note("unknown job: %d", w.back("nobody", "w1", "done", ""))
	w.note("unknown state: %d", w.back("a", "w1", "dancing", ""))
	w.note("no worker: %d", w.back("a", "", "done", ""))
	c := w.dial()
	conn <- c
	answer := c.ask(request("a", "/order/x", ""))
	w.await("after the 202", 1)
	w.note("client: %s", answer)
	w.note("client: %s", c.ask(request("ahead", "/order/x", "")[1:]))
	w.check(`unknown job: 200
unknown state: 400
no worker: 400
w1: a
other worker: 200
early: 200
early: 200
again: 200
other: 200
after the 202
client: 200 once
w1: ahead
client: 200 and the next`)
}

// TestGivenUp: a job whose client leaves or runs out of time is called off at its worker, before the 202 by
// closing the connection; a worker that falls silent loses what may run again to another.
func TestGivenUp(t *testing.T) {
	w := newWorld(t)
	silent := w.port() // takes connections and never reads
	defer silent.Close()
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.start()
	c := w.dial()
	io.WriteString(c, request("leaves", "/order/x", "X-Deadline: 0.3\r\n"))
	w.await("w1: leaves", 1)
	c.Close()
	w.await("DELETE /jobs/leaves", 1)
	c = w.dial()
	for k, path := range []string{"/order/x", "/plan/x"} {
		name, id := fmt.Sprintf("w%d", 3+k), fmt.Sprintf("late-%d", k)
		w.tell(list(2+k, true, line(name, w.worker(name, nil), "in_service")))
		io.WriteString(c, request(id, path, "X-Deadline: 0.3\r\n"))
		w.await("DELETE /jobs/"+id, 1)
		w.note("client: %s", c.answer())
	}
	w.tell(list(4, true, line("silent", silent.Addr().String(), "in_service")))
	io.WriteString(c, request("moved", "/plan/x", ""))
	conn, err := silent.Accept()
	w.must(err)
	defer conn.Close()
	w.tell(list(5, false, line("w2", w.finishing("w2"), "in_service")))
	w.note("client: %s", c.answer())
	conn.SetDeadline(time.Now().Add(patience))
	if _, err = io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the silent worker's connection was not closed: %v", err)
	}
	w.check(`w1: leaves
w1: DELETE /jobs/leaves
w3: late-0
w3: DELETE /jobs/late-0
client: 502
w4: late-1
w4: DELETE /jobs/late-1
client: 503 Retry-After
w2: moved
client: 200 from w2`)
}

// TestNoSecondCopy: where second copies are forbidden, a work item goes on only once the worker that held it
// has answered that it dropped it.
func TestNoSecondCopy(t *testing.T) {
	w := newWorld(t)
	w.swap = [2]string{`"second_copies":true`, `"second_copies":false`}
	l := w.port()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == "DELETE" {
			time.Sleep(200 * time.Millisecond)
			w.note("w1: dropped")
			return
		}
		w.note("w1: a")
		accept(job{out: out})
	})}
	go s.Serve(l)
	defer s.Close()
	w.tell(list(1, true, line("w1", l.Addr().String(), "in_service")))
	w.start()
	c := w.dial()
	io.WriteString(c, request("a", "/plan/x", ""))
	w.await("w1: a", 1)
	w.tell(list(2, false, line("w2", w.finishing("w2"), "in_service")))
	w.note("client: %s", c.answer())
	w.check("w1: a\nw1: dropped\nw2: a\nclient: 200 from w2")
}

// TestSiblings: a hand-off that lasts is told to the sibling, and what the sibling tells counts as load.
func TestSiblings(t *testing.T) {
	w := newWorld(t)
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.start()
	c := w.dial()
	io.WriteString(c, request("a", "/order/x", "X-Cost-Hint: 1500000\r\n"))
	told := make([]byte, 512)
	w.must(w.sibling.SetDeadline(time.Now().Add(patience)))
	n, from, err := w.sibling.ReadFrom(told)
	w.must(err)
	w.await("w1: a", 1) // which may have come first
	w.note("told from its own address: %v, at most 256 bytes: %v", from.String() == w.peerAt, n <= 256)
	w.back("a", "w1", "started", "")
	w.back("a", "w1", "done", "")
	w.note("client: %s", c.answer())
	if _, err = w.sibling.WriteTo(told[:n], from); err != nil { // the sibling has as much there
		t.Fatal(err)
	}
	w.tell(list(2, false, line("w2", w.finishing("w2"), "in_service")))
	for k := range 5 {
		w.note("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
	}
	want := "w1: a\ntold from its own address: true, at most 256 bytes: true\nclient: 200\n"
	for k := range 5 {
		want += fmt.Sprintf("w2: %d\nclient: 200 from w2\n", k)
	}
	w.check(want)
}

// TestNoHint: work without any hint is not deferred while nothing is known of its size.
func TestNoHint(t *testing.T) {
	w := newWorld(t)
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.start()
	plain := func(id, deadline string) string {
		return strings.Replace(request(id, "/plan/x", "X-Deadline: "+deadline+"\r\n"), "X-Cost-Hint: 200000\r\n", "", 1)
	}
	first, second := w.dial(), w.dial()
	io.WriteString(first, plain("a", "5"))
	w.await("w1: a", 1)
	w.back("a", "w1", "started", "")
	w.tell(list(2, false, line("w2", w.finishing("w2"), "in_service")))
	w.note("client: %s", second.ask(plain("b", "4.9")))
	w.back("a", "w1", "done", "a")
	w.note("client: %s", first.answer())
	w.check("w1: a\nw2: b\nclient: 200 from w2\nclient: 200 a")
}

// TestBadInput: each is answered 4xx and changes nothing: the program goes on.
func TestBadInput(t *testing.T) {
	w := newWorld(t)
	w.tell("garbage") // ends the watch; asked again
	w.tell(list(1, true, `{"id":"no address"}`, `17`, line("", "127.0.0.1:1", "in_service"),
		line("w0", "127.0.0.1:1", "asleep"), line("w1", w.finishing("w1"), "in_service")))
	w.start()
	const head = "POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\n"
	for _, c := range []struct{ name, text string }{
		{"no HTTP", "hello\r\n\r\n"},
		{"GET", "GET /plan/x HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"no id", "POST /plan/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"},
		{"long id", request(strings.Repeat("a", 200), "/plan/x", "")},
		{"unknown category", request("a", "/other/x", "")},
		{"unknown tenant", request("a", "/plan/x", "X-Tenant: other\r\n")},
		{"deadline no number", request("a", "/plan/x", "X-Deadline: soon\r\n")},
		{"deadline below zero", request("a", "/plan/x", "X-Deadline: -1\r\n")},
		{"deadline too far", request("far", "/plan/x", "X-Deadline: 1000000.0\r\n")},
		{"hint no number", request("a", "/plan/x", "X-Cost-Hint: NaN\r\n")},
		{"hint below zero", request("a", "/plan/x", "X-Cost-Hint: -1\r\n")},
		{"deadline empty", request("a", "/plan/x", "X-Deadline: \r\n")},
		{"deadline with exponent", request("a", "/plan/x", "X-Deadline: 1e1\r\n")},
		{"deadline in hexadecimal", request("a", "/plan/x", "X-Deadline: 0x1p2\r\n")},
		{"deadline twice", request("a", "/plan/x", "X-Deadline: 4\r\nX-Deadline: 4\r\n")},
		{"id twice", request("a", "/plan/x", "x-request-id: b\r\n")},
		{"id empty", request("", "/plan/x", "")},
		{"two framings", head + "Content-Length: 60\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + request("hidden", "/plan/x", "")},
		{"two framings the other way", head +
			"Transfer-Encoding: chunked\r\ncontent-length: 60\r\n\r\n0\r\n\r\n" + request("hidden", "/plan/x", "")},
		{"identity", request("a", "/plan/x", "Transfer-Encoding: identity\r\n")},
		{"length twice", request("a", "/plan/x", "Content-Length: 4\r\n")},
		{"length signed", head + "Content-Length: +4\r\n\r\nbody"},
		{"length below zero", head + "Content-Length: -4\r\n\r\nbody"},
		{"length huge", head + "Content-Length: 99999999999999999999\r\n\r\n"},
		{"chunk no number", head + "Transfer-Encoding: chunked\r\n\r\nbody\r\n0\r\n\r\n"},
		{"chunk too long", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n"},
		{"chunk huge", head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"},
		{"trailers", strings.Replace(head, ": a", ": trailed", 1) + "Trailer: X-Sum, X-Request-Id\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\nX-Sum: 1\r\nX-Request-Id: b\r\nX-Tenant: other\r\n\r\n"},
		{"id in a trailer", "POST /plan/x HTTP/1.1\r\nHost: x\r\nTrailer: X-Request-Id\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Request-Id: b\r\n\r\n"},
		{"length in a trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n"},
		{"first line with LF", strings.Replace(request("a", "/plan/x", ""), "\r\n", "\n", 1)},
		{"a header with LF", strings.Replace(request("a", "/plan/x", ""), "x\r\nX-R", "x\nX-R", 1)},
		{"lone CR", request("a", "/plan/x", "X-Extras: a\rb\r\n")},
		{"NUL", request("a", "/plan/x", "X-Extras: a\x00b\r\n")},
		{"folded", request("a", "/plan/x", "X-Extras: a\r\n b\r\n")},
		{"blank before the colon", request("a", "/plan/x", "X-Extras : a\r\n")},
		{"HTTP/2.0", strings.Replace(request("a", "/plan/x", ""), "HTTP/1.1", "HTTP/2.0", 1)},
		{"path no path", request("a", "http://x/plan/x", "")},
		{"too large", head + "Content-Length: 65537\r\n\r\n"},
		{"header too large", request("a", "/plan/x", "X-Extras: "+strings.Repeat("a", 20000)+"\r\n")},
		{"callback no JSON", "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{"},
	} {
		answer, closed := strings.CutSuffix(w.dial().ask(c.text), " Connection: close")
		if w.note("%s: %s", c.name, answer); closed != strings.HasPrefix(answer, "4") {
			w.note("closed: %v", closed)
		}
	}
	to, err := net.ResolveUDPAddr("udp", w.peerAt)
	w.must(err)
	for _, data := range []string{"", "x", strings.Repeat("x", 300)} {
		w.sibling.WriteTo([]byte(data), to)
	}
	w.note("good: %s", w.dial().ask(request("a", "/plan/x", "")))
	w.check(`no HTTP: 400
GET: 405
no id: 400
long id: 400
unknown category: 404
unknown tenant: 400
deadline no number: 400
deadline below zero: 400
w1: far
deadline too far: 200 from w1
hint no number: 400
hint below zero: 400
deadline empty: 400
deadline with exponent: 400
deadline in hexadecimal: 400
deadline twice: 400
id twice: 400
id empty: 400
two framings: 400
two framings the other way: 400
identity: 400
length twice: 400
length signed: 400
length below zero: 400
length huge: 400
chunk no number: 400
chunk too long: 400
chunk huge: 413
w1: trailed
trailers: 200 from w1
id in a trailer: 400
length in a trailer: 400
first line with LF: 400
a header with LF: 400
lone CR: 400
NUL: 400
folded: 400
blank before the colon: 400
HTTP/2.0: 400
path no path: 400
too large: 413
header too large: 431
callback no JSON: 400
w1: a
good: 200 from w1`)
}

// TestDiscovery: drains are kept, a watch that breaks is opened again after what was read, and a complete
// list drops what it lacks; the same where discovery tells nothing unasked, and where it takes no watch without a
// revision, so that the list has to be asked for first.
func TestDiscovery(t *testing.T) {
	for _, mode := range []string{"push", "ask", "older"} {
		w := newWorld(t)
		first := ""
		if w.older = mode == "older"; w.older {
			mode, first = "push", "watch after 7\n"
		}
		w.swap = [2]string{`"discovery":"push"`, fmt.Sprintf(`"discovery":%q`, mode)}
		one, two := w.finishing("w1"), w.finishing("w2")
		w.tell(list(7, true, line("w1", one, "in_service")))
		w.start()
		c := w.dial()
		w.note("client: %s", c.ask(request("a", "/plan/x", "")))
		w.tell(list(8, false, line("w1", one, "terminating"), line("w2", two, "in_service")))
		w.tell("break")
		w.await("watch after 8", 1)
		for k := range 5 {
			w.note("client: %s", c.ask(request(fmt.Sprintf("drained-%d", k), "/plan/x", "")))
		}
		w.tell(list(9, true, line("w1", one, "in_service")))
		w.tell("break")
		w.await("watch after 9", 1)
		w.note("client: %s", c.ask(request("b", "/plan/x", "")))
		want := first + "w1: a\nclient: 200 from w1\nwatch after 8\n"
		for k := range 5 {
			want += fmt.Sprintf("w2: drained-%d\nclient: 200 from w2\n", k)
		}
		w.check(want + "watch after 9\nw1: b\nclient: 200 from w1")
	}
}

// TestStop: told to stop, it answers what it has taken, still takes work for a moment, and keeps nobody.
func TestStop(t *testing.T) {
	w := newWorld(t)
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.start()
	idle, kept, busy, fresh := w.dial(), w.dial(), w.dial(), w.dial()
	io.WriteString(busy, request("a", "/order/x", ""))
	w.await("w1: a", 1)
	w.back("a", "w1", "started", "")
	w.note("kept: %s", kept.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	w.note("idle: %s", idle.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	w.must(w.cmd.Process.Signal(syscall.SIGTERM))
	w.until("not ready", func() bool { return w.get("/ready") == 503 })
	io.WriteString(kept, request("k", "/order/x", ""))
	w.await("w1: k", 1)
	w.note("k: %d", w.back("k", "w1", "done", "k"))
	w.note("kept: %s", kept.answer())
	io.WriteString(fresh, request("b", "/order/x", ""))
	w.await("w1: b", 1)
	w.note("b: %d", w.back("b", "w1", "done", "b"))
	w.note("fresh: %s", fresh.answer())
	w.note("idle: %s", idle.answer())
	time.Sleep(100 * time.Millisecond)
	time.Sleep(1600 * time.Millisecond)
	w.note("too late: %s", w.dial().ask(request("c", "/order/x", "")))
	w.note("a: %d", w.back("a", "w1", "done", "a"))
	w.note("busy: %s", busy.answer())
	w.note("exit: %v", w.cmd.Wait())
	w.check(`w1: a
kept: 200 serving
idle: 200 serving
w1: k
k: 200
kept: 200 k
w1: b
b: 200
fresh: 200 b
idle: no answer
too late: 503 Connection: close
a: 200
busy: 200 a Connection: close
exit: <nil>`)
}

// TestReload: SIGHUP moves discovery, whatever the start was told and however the new one counts; a faulty file
// changes nothing, work and connections stay, and it still stops when told.
func TestReload(t *testing.T) {
	w, other, mute := newWorld(t), newWorld(t), newWorld(t)
	mute.silent = true
	hup := func(file, logs string) {
		w.t.Helper()
		w.must(os.WriteFile(w.file, []byte(file), 0o600))
		w.must(w.cmd.Process.Signal(syscall.SIGHUP))
		w.until(logs, func() bool { return strings.Contains(w.output.String(), logs) })
	}
	w1, w2 := w.worker("w1", nil), w.finishing("w2")
	w.tell(list(50, true, line("w1", w1, "in_service")))
	other.tell(list(3, true, line("w2", w2, "in_service")))
	w.operator = filepath.Join(t.TempDir(), "weldmast.toml")
	w.must(os.WriteFile(w.operator, []byte("[log]\nlevel = \"info\"\n"), 0o600))
	w.start()
	text, err := os.ReadFile(w.file)
	w.must(err)
	at := func(d *world) string { return strings.ReplaceAll(string(text), w.discAt, d.discAt) }
	busy, idle := w.dial(), w.dial()
	io.WriteString(busy, request("a", "/order/x", ""))
	w.await("w1: a", 1)
	w.back("a", "w1", "started", "")
	hup("{", "reload=refused")
	w.must(os.WriteFile(w.operator, []byte("[log]\nlevel = \"error\"\nlines_per_second = 0\n"), 0o600))
	hup(at(other), "log.lines_per_second: 0 is below 1") // and info is logged as before
	w.must(os.WriteFile(w.operator, nil, 0o600))
	hup(strings.Replace(at(other), `"cores":1.0`, `"cores":0`, 1), "limits.cores")
	hup(strings.Replace(at(other), `"cores":1.0`, `"cores":2`, 1), `until_restart=[Cores]`)
	w.until("its list", func() bool { return strings.Contains(w.output.String(), "list=3 ") })
	hup(at(other), "until_restart=[]")
	w.tell(`break`)
	for k := range 3 {
		w.note("ready: %d", w.get("/ready"))
		w.note("client: %s", idle.ask(request(fmt.Sprintf("moved-%d", k), "/order/x", "")))
	}
	hup(at(mute), "discovery="+mute.discAt)
	w.note("client: %s", idle.ask(request("mute", "/order/x", "")))
	w.must(w.cmd.Process.Signal(syscall.SIGTERM))
	w.until("not ready", func() bool { return w.get("/ready") == 503 })
	hup(at(other), "discovery="+other.discAt+" was="+mute.discAt+" phase=draining")
	w.back("a", "w1", "done", "a")
	w.note("busy: %s", busy.answer())
	w.note("exit: %v", w.cmd.Wait())
	moved := ""
	for k := range 3 {
		moved += fmt.Sprintf("ready: 200\nw2: moved-%d\nclient: 200 from w2\n", k)
	}
	w.check("w1: a\n" + moved + "w2: mute\nclient: 200 from w2\nbusy: 200 a\nexit: <nil>")
}

// TestReloadSettings: SIGHUP changes what can change in flight, and says what waits for a restart.
func TestReloadSettings(t *testing.T) {
	w := newWorld(t)
	w.tell(list(50, true, line("w1", w.worker("w1", nil), "in_service")))
	w.start()
	text, err := os.ReadFile(w.file)
	w.must(err)
	hup := func(from, to, logs string) {
		w.t.Helper()
		next := strings.Replace(string(text), from, to, 1)
		w.must(os.WriteFile(w.file, []byte(next), 0o600))
		w.must(w.cmd.Process.Signal(syscall.SIGHUP))
		w.until(logs, func() bool { return strings.Contains(w.output.String(), logs) })
	}
	busy, second := w.dial(), w.dial()
	io.WriteString(busy, request("a", "/plan/x", ""))
	w.await("w1: a", 1)
	w.back("a", "w1", "started", "")
	hup(`"open_cap":100`, `"open_cap":1`, "until_restart=[]")
	w.until("deferred", func() bool {
		_, err := io.WriteString(second, request(fmt.Sprint("b", time.Now().UnixNano()), "/plan/x", ""))
		w.must(err)
		return strings.HasPrefix(second.answer(), "503")
	})
	hup(`"second_copies":true`, `"second_copies":false`, "until_restart=[settings.allowed.second_copies]")
	w.back("a", "w1", "done", "a")
	w.note("busy: %s", busy.answer())
	w.must(w.cmd.Process.Signal(syscall.SIGTERM))
	w.note("exit: %v", w.cmd.Wait())
	w.without("watch after ") // each reload asks discovery anew, at its own time
	if !strings.HasSuffix(w.log.String(), "busy: 200 a\nexit: <nil>\n") {
		t.Error(w.log.String())
	}
}

// TestRestart: killed, it starts from nothing but the old list, also while discovery is silent.
func TestRestart(t *testing.T) {
	w := newWorld(t)
	w.known = list(3, true, line("w1", w.finishing("w1"), "in_service"))
	w.silent = true
	w.start()
	for k := range 2 {
		c := w.dial()
		w.note("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
		w.must(w.cmd.Process.Kill())
		w.cmd.Wait()
		w.note("killed: %s", c.answer())
		w.start()
		w.note("late: %d", w.back(fmt.Sprint(k), "w1", "done", "again"))
	}
	w.check(`w1: 0
client: 200 from w1
killed: no answer
late: 200
w1: 1
client: 200 from w1
killed: no answer
late: 200`)
}

// TestFewDescriptors: clients that wait leave room for the callbacks that end their jobs, from the start and from the moment
// at which the system's limit falls.
func TestFewDescriptors(t *testing.T) {
	const few, many = 64, 40
	for name, falls := range map[string]bool{"configured": false, "fallen": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			if !falls {
				w.sockets = few
			}
			var workers []string
			for k := range many {
				workers = append(workers, line(fmt.Sprint("w", k), w.worker(fmt.Sprint("w", k), nil), "in_service"))
			}
			w.tell(list(1, true, workers...))
			w.start()
			if falls {
				w.must(unix.Prlimit(w.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: few, Max: few}, nil))
				_, stop := w.idlers(150)
				w.until("the limit", func() bool { return strings.Contains(w.output.String(), "msg=limits sockets=64 ") })
				stop()
			}
			answers := make(chan string, many)
			jobs := func() map[string]string { // that workers have, and who
				w.mu.Lock()
				defer w.mu.Unlock()
				at := map[string]string{}
				for l := range strings.Lines(w.log.String()) {
					if from, id, is := strings.Cut(strings.TrimSpace(l), ": "); is && strings.HasPrefix(id, "job-") {
						at[id] = from
					}
				}
				return at
			}
			for k := range many { // each waits, or has its answer, before the next one comes
				id, c := fmt.Sprint("job-", k), w.dial()
				io.WriteString(c, request(id, "/plan/x", ""))
				before := len(answers)
				go func() { answers <- strings.Fields(c.answer())[0] }()
				w.until(id, func() bool { return len(answers) > before || jobs()[id] != "" })
			}
			out := jobs()
			if len(out) < few/8 {
				t.Errorf("%d are taken", len(out))
			}
			for id, from := range out {
				if status := w.back(id, from, "done", ""); status != 200 {
					t.Errorf("the callback for %s: %d", id, status)
				}
			}
			w.until("all answers", func() bool { return len(answers) == many })
			for range many {
				if a := <-answers; a != "200" && a != "503" {
					t.Errorf("answered %s", a)
				}
			}
		})
	}
}

// TestLinks: connections to workers are closed well before the worker would, and a limit on sockets holds.
func TestLinks(t *testing.T) {
	w := newWorld(t)
	w.idle, w.sockets = 400e3, 64
	w.tell(list(1, true, line("w1", w.idling(400*time.Millisecond), "in_service")))
	w.start()
	c := w.dial()
	begun := time.Now()
	for k := range 3 {
		time.Sleep(30 * time.Millisecond) // a connection is used again once it has settled
		w.note("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
	}
	last := time.Now()
	w.await("closed", 1)
	if open := time.Since(last); open > 350*time.Millisecond && last.Sub(begun) < 190*time.Millisecond {
		t.Errorf("an idle connection was closed after %v only", open)
	}
	w.note("client: %s", c.ask(request("3", "/order/x", "")))
	w.check("new\nclient: 200\nclient: 200\nclient: 200\nclosed\nnew\nclient: 200")
	time.Sleep(30 * time.Millisecond)
	for range 200 {
		w.dial()
	}
	w.note("among 200: %s", w.dial().ask(request("4", "/order/x", "")))
	w.check("new\nclient: 200\nclient: 200\nclient: 200\nclosed\nnew\nclient: 200\namong 200: 200")
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	w.must(err)
	if len(fds) > w.sockets {
		t.Errorf("%d descriptors of %d", len(fds), w.sockets)
	}
}

// TestFlood: among hundreds of connections that say nothing, half of a head, a byte now and then, or far too much,
// usual clients keep their connections and are served, callbacks and /ready get through; each of the others has an
// error or a close within 3 s of its connecting, and nothing stays behind.
func TestFlood(t *testing.T) {
	w := newWorld(t)
	w.sockets = 256
	w.tell(list(1, true, line("w1", w.finishing("w1"), "in_service")))
	w.start()
	usual := w.dial()
	w.note("usual: %s", usual.ask(request("a", "/order/x", "")))
	var all sync.WaitGroup
	begun, ended := time.Now(), map[string]int{}
	bad := func(kind string, send func(c *client)) {
		c := w.dial()
		all.Go(func() {
			go send(c)
			answer := c.answer()
			w.mu.Lock()
			defer w.mu.Unlock()
			if time.Since(begun) > 3300*time.Millisecond && kind != "a byte now and then" || time.Since(begun) > 6*time.Second || strings.HasPrefix(answer, "200") {
				kind += " too late or served: " + answer
			}
			ended[kind]++
		})
	}
	half := request("half", "/order/x", "X-Deadline: 4\r\n")
	for k := range 4 { // jobs that come over more than 2 s, from before the flood to after it
		c, text := w.dial(), request(fmt.Sprint("slow", k), "/order/x", "")
		all.Go(func() {
			for n := 0; n < len(text); n += len(text)/12 + 1 {
				io.WriteString(c, text[n:min(n+len(text)/12+1, len(text))])
				time.Sleep(230 * time.Millisecond)
			}
			answer := c.answer()
			w.mu.Lock()
			defer w.mu.Unlock()
			ended["slow: "+answer]++
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 150 {
		bad("silent", func(*client) {})
		bad("half a head", func(c *client) { io.WriteString(c, half[:50]) })
		bad("half a body", func(c *client) { io.WriteString(c, half[:len(half)-2]) })
	}
	for range 200 {
		go w.dial().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") // and stays
	}
	w.note("ready: %d", w.get("/ready"))
	for range 10 {
		bad("a byte now and then", func(c *client) {
			for k := 0; k < len(half); k++ {
				if _, err := io.WriteString(c, half[k:k+1]); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for range 3 {
		bad("too much", func(c *client) {
			io.WriteString(c, "POST /order/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: big\r\nContent-Length: 60000000\r\n\r\n")
			c.Write(make([]byte, 60e6))
		})
	}
	w.note("usual: %s", usual.ask(request("b", "/order/x", "")))
	w.note("another: %s", w.dial().ask(request("c", "/order/x", "")))
	all.Wait()
	time.Sleep(time.Until(begun.Add(2500 * time.Millisecond))) // longer than a begun request may take
	w.note("usual: %s", usual.ask(request("d", "/order/x", "")))
	w.note("ended: %v", ended)
	w.without("w1: slow")
	w.check(`w1: a
usual: 200 from w1
ready: 200
w1: b
usual: 200 from w1
w1: c
another: 200 from w1
w1: d
usual: 200 from w1
ended: map[a byte now and then:10 half a body:150 half a head:150 silent:150 slow: 200 from w1:4 too much:3]`)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.cmd.Process.Pid))
	w.must(err)
	var peak int
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	fmt.Sscan(after, &peak)
	if peak > 32<<10 && !raced() {
		t.Errorf("%d KB of memory", peak)
	}
}

// TestStale: a connection that the worker has closed meanwhile is not used again, else exclusive work would be
// written off, as it may have run; and it teaches how long others may idle.
func TestStale(t *testing.T) {
	w := newWorld(t)
	w.tell(list(1, true, line("w1", w.idling(20*time.Millisecond), "in_service")))
	w.start()
	c := w.dial()
	for k := range 3 {
		w.note("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
		w.await("closed", k+1)
	}
	w.check(strings.Repeat("new\nclient: 200\nclosed\n", 3))
	if !strings.Contains(w.output.String(), " idle=") {
		t.Error("it did not learn how long the worker lets connections idle")
	}
}

// TestForgotten: a connection that was idle breaks under its next request, though nothing showed and the settings
// promise it for long; from then on none is used that was idle for half as long.
func TestForgotten(t *testing.T) {
	w := newWorld(t)
	forgetful := func(name string) string {
		l := w.port()
		w.t.Cleanup(func() { l.Close() })
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				in := bufio.NewReader(c)
				go func() {
					defer c.Close()
					for first := true; ; first = false {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						if io.Copy(io.Discard, r.Body); !first {
							w.note("broke")
							return
						}
						io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
						w.back(r.Header.Get("X-Request-Id"), name, "done", "")
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	w.tell(list(1, true, line("w1", forgetful("w1"), "in_service"), line("w2", forgetful("w2"), "in_service")))
	w.start()
	c := w.dial()
	for k := range 10 {
		w.note("%s", c.ask(request(fmt.Sprint(k), "/plan/x", "")))
		time.Sleep(100 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen := w.log.String(); strings.Count(seen, "broke\n") != 1 || strings.Count(seen, "200\n") != 10 {
		t.Errorf("wanted one break and ten answers:\n%s", seen)
	}
}

// TestDied: connections that ended with their worker teach nothing of how long others may idle.
func TestDied(t *testing.T) {
	w := newWorld(t)
	l := w.port()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		accept(job{out: out})
		w.back(r.Header.Get("X-Request-Id"), "w1", "done", "")
	})}
	go s.Serve(l)
	w.tell(list(1, true, line("w1", l.Addr().String(), "in_service")))
	w.start()
	c := w.dial()
	w.note("client: %s", c.ask(request("a", "/plan/x", "")))
	s.Close()
	w.note("client: %s", c.ask(request("b", "/plan/x", "")))
	w.check("client: 200\nclient: 503 Retry-After")
	if log := w.output.String(); strings.Contains(log, " idle=") || !strings.Contains(log, "refused") {
		t.Error("it learned from a worker that died")
	}
}

// TestBadConfig: the start ends, and names the key.
func TestBadConfig(t *testing.T) {
	var all strings.Builder
	for _, c := range []struct{ name, old, new string }{
		{"no JSON", "{", "["},
		{"seed", "8c1f30d27a5be964", "8c1f"},
		{"cores", `"cores":1.0`, `"cores":0`},
		{"memory", `"memory_mb":192`, `"memory_mb":"all"`},
		{"sockets", `"sockets":1024`, `"sockets":3`},
		{"peers", `"siblings":2`, `"siblings":3`},
		{"peer", `"peers":["`, `"peers":["localhost`},
		{"ops", `"listen"`, `"ops":"nowhere","listen"`},
		{"no settings", `"settings"`, `"nothing"`},
		{"setting missing", `"fall":`, `"fallen":`},
		{"setting wrong", `"fall_multiple":3.0`, `"fall_multiple":"three"`},
		{"setting mistyped", `"fall":`, `"only_draining_binds":"sometimes","fall":`},
		{"semantics", `"once"`, `"twice"`},
		{"weights", `"excess_credit"`, `"weights":"heavy","excess_credit"`},
		{"load", `"excess_credit"`, `"load_info":{"how":"often"},"excess_credit"`},
		{"origin", `"excess_credit"`, `"prices":{"origin":-0.05},"excess_credit"`},
		{"origin mistyped", `"excess_credit"`, `"prices":{"origin":"dear"},"excess_credit"`},
		{"no category", `"categories":[`, `"categories":[],"were":[`},
		{"position", `"position":0`, `"position":2`},
		{"half a hand-off", `"max_hand_offs":3`, `"max_hand_offs":2.5`},
		{"may", `"retry_after":true`, `"retry_after":"yes"`},
		{"shape", `"name":"n0"`, `"shape":3,"name":"n0"`},
		{"a pool with peers", `"name":"n0"`, `"shape":2,"name":"n0"`},
		{"known", `"known":null`, `"known":{"revision":"x"}`},
	} {
		w := newWorld(t)
		cmd := exec.Command(binary)
		cmd.Env = w.config(c.old, c.new)
		out, err := cmd.CombinedOutput()
		_, text, _ := strings.Cut(string(out), "fatal=")
		for _, part := range [][2]string{{w.peerAt, "ADDR"}} {
			text = strings.ReplaceAll(text, part[0], part[1])
		}
		fmt.Fprintf(&all, "%s: %v: %s\n", c.name, err, strings.TrimSpace(text))
	}
	kept.Check(t, "badconfig", all.String())
}
