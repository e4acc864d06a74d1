package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
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

	"weldmast/internal/golden"
)

// These tests start the built program and talk to it over loopback sockets. Each compares what its workers
// and clients saw with a recorded result, in the test or in testdata.

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "weldmast")
	if err != nil {
		log.Fatal(err)
	}
	binary = filepath.Join(dir, "weldmast")
	args := []string{"build", "-buildvcs=false", "-o", binary}
	if raceEnabled() {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		log.Fatalf("build: %v\n%s", err, out)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// raceEnabled reports whether the tests were built with the race detector.
func raceEnabled() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

const waitTimeout = 10 * time.Second // for anything that must happen; nothing that is expected takes this long

// settings are small operators' settings; times in microseconds.
const settings = `{"siblings":2,"position":0,"granularity":5000,"discovery":"push","localities":["here","there"],
	"locality":"here","machine_types":["twin"],"excess_credit":0.1,
	"allowed":{"max_hand_offs":3,"may_cancel":true,"second_copies":true,"peers":true,"retry_after":true,
		"max_retry_after":2000000,"conn_idle":%d,"connect_timeout":250000,"open_cap":%d},
	"safety":{"answer_slack":20000,"ask_within":10000000,"start_capacity":0.1,"cold":20000000,"fall":2000000,
		"fall_multiple":3.0},
	"family_info":{"tells_start":true,"progress":1000000,"class_stretch":[0,0],"class_kind":[-1,-1]},
	"realms":[{"name":"acme","allowance_per_s":100.0,"fraction":1.0}],
	"categories":[{"name":"plan","semantics":"repeatable","due_time":2000000,"expiry":5000000,"credit":1.0},
		{"name":"order","semantics":"once","due_time":2000000,"expiry":5000000,"credit":1.0}]}`

// testEnv is the environment of a dispatcher under test: discovery, workers and a peer.
type testEnv struct {
	t               *testing.T
	mu              sync.Mutex
	seen            strings.Builder
	lists           []string // the lists that discovery has published, in order
	listChanged     chan struct{}
	discoveryDown   bool // discovery accepts requests but doesn't answer
	revisionNeeded  bool // discovery rejects a watch without a revision
	watches         int
	discoveryServer *http.Server
	discoveryAddr   string
	listen          string
	peer            *net.UDPConn
	peerAddr        string
	known           string
	idleMicros      int // conn_idle, in microseconds
	sockets         int
	memoryMB        int
	openCap         int       // clients that may wait at once
	swap            [2]string // a text of the configuration and its replacement
	configPath      string    // path of the configuration
	operatorPath    string    // path of the operator's file; empty: none
	adminAddr       string    // address for operators' requests; empty: none
	tempDir         string    // TMPDIR; empty: not set
	wrap            func(*exec.Cmd)
	cmd             *exec.Cmd
	output          output
	finishing       atomic.Bool // workers end the jobs that they hold
}

// output collects what the program logs.
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

// readSources reads the files that the program is built from. go test caches a result until a file that the
// test has read changes, and the program is not linked into the test binary: without this, a changed program
// would pass with the cached result of the old one.
var readSources = sync.OnceValue(func() error {
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

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{t: t, listChanged: make(chan struct{}), idleMicros: 15e6, sockets: 1024, memoryMB: 192, openCap: 100, known: "null"}
	l := e.listenPort()
	e.discoveryAddr = l.Addr().String()
	e.discoveryServer = &http.Server{Handler: http.HandlerFunc(e.serveDiscovery)}
	go e.discoveryServer.Serve(l)
	l = e.listenPort() // the dispatcher's address, released until it starts
	e.listen = l.Addr().String()
	l.Close()
	free := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		e.must(err)
		return c
	}
	e.peer = free()
	c := free()
	e.peerAddr = c.LocalAddr().String()
	c.Close()
	e.must(readSources())
	t.Cleanup(func() {
		e.discoveryServer.Close()
		e.peer.Close()
		if e.cmd != nil && e.cmd.ProcessState == nil {
			e.cmd.Process.Kill()
			e.cmd.Wait()
		}
		if t.Failed() {
			t.Logf("log of the program:\n%s", &e.output)
		}
	})
	return e
}

func (e *testEnv) must(err error) {
	e.t.Helper()
	if err != nil {
		e.t.Fatal(err)
	}
}

// listenPort listens on a port below the system's ephemeral range. The dispatcher's port is closed before it
// starts; if it were an ephemeral port, a connection of another test could take it in between.
func (e *testEnv) listenPort() net.Listener {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+(os.Getpid()*64+int(ports.Add(1)))%12000))
		if !errors.Is(err, syscall.EADDRINUSE) {
			e.must(err)
			return l
		}
	}
}

var ports atomic.Int32

func (e *testEnv) record(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(&e.seen, format+"\n", a...)
}

// checkSeen compares the recorded lines with the expected ones.
func (e *testEnv) checkSeen(want string) {
	e.t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(e.seen.String())); diff != "" {
		e.t.Errorf("recorded lines differ (-want +got):\n%s", diff)
	}
}

// dropLines removes recorded lines with that prefix, whose order doesn't matter.
func (e *testEnv) dropLines(start string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := slices.DeleteFunc(strings.SplitAfter(e.seen.String(), "\n"), func(l string) bool { return strings.HasPrefix(l, start) })
	e.seen.Reset()
	e.seen.WriteString(strings.Join(lines, ""))
}

// awaitLine waits until a line was recorded so many times.
func (e *testEnv) awaitLine(line string, times int) {
	e.t.Helper()
	e.until("line "+line, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Count(e.seen.String(), line) >= times
	})
}

func (e *testEnv) until(what string, is func() bool) {
	e.t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			e.t.Fatalf("timed out waiting for: %s; recorded so far:\n%s", what, e.seen.String())
		}
	}
}

// fullList returns everything that discovery has published so far as one list.
func (e *testEnv) fullList() string {
	var revision int
	var ids []string
	members := map[string]string{}
	for k, text := range e.lists {
		var l struct {
			Revision int
			Complete bool
			Members  []json.RawMessage
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			if k == len(e.lists)-1 {
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
	return memberList(revision, true, lines...)
}

// serveDiscovery answers a request with the full list, or keeps a watch open and writes each list that is
// published.
func (e *testEnv) serveDiscovery(out http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	silent, sent := e.discoveryDown, 0
	if !silent && r.FormValue("watch") == "" {
		defer e.mu.Unlock()
		fmt.Fprint(out, e.fullList())
		return
	}
	if e.watches++; !silent && e.watches > 1 {
		fmt.Fprintf(&e.seen, "watch after %s\n", r.FormValue("after"))
	}
	if !silent && r.FormValue("after") == "" {
		if e.revisionNeeded {
			e.mu.Unlock()
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprintln(out, e.fullList())
		sent = len(e.lists)
	}
	for k, l := range e.lists[sent:] {
		if l == "break" || strings.HasPrefix(l, `{"revision":`+r.FormValue("after")+",") {
			sent = k + 1
		}
	}
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for {
		e.mu.Lock()
		lists, told := e.lists[sent:], e.listChanged
		e.mu.Unlock()
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

// publish makes discovery publish a list. If the program runs, publish waits until it has read the list.
func (e *testEnv) publish(list string) {
	e.t.Helper()
	e.mu.Lock()
	e.lists = append(e.lists, list)
	close(e.listChanged)
	e.listChanged = make(chan struct{})
	e.mu.Unlock()
	var revision int
	if _, err := fmt.Sscanf(list, `{"revision":%d`, &revision); err == nil && e.cmd != nil {
		e.until("the list", func() bool { return strings.Contains(e.output.String(), fmt.Sprintf("list=%d ", revision)) })
	}
}

func memberEntry(id, addr, phase string) string { return memberEntryAt(id, addr, phase, "here", 0) }

// memberEntryAt is memberEntry for a worker of another zone or cell.
func memberEntryAt(id, addr, phase, zone string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"twin","cell":%d,"phase":%q,"size":1.0,"up_since_ms":0}`,
		id, addr, zone, cell, phase)
}

func memberList(revision int, complete bool, lines ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(lines, ","))
}

// job is a request that a worker received.
type job struct {
	id   string
	body string // its length and checksum, as bodySum returns them
	out  http.ResponseWriter
}

// bodySum returns the length and the checksum of a body.
func bodySum(body []byte) string { return fmt.Sprintf("%d %08x", len(body), crc32.ChecksumIEEE(body)) }

// startWorker starts a worker that records its requests and answers by the script; without a script it
// accepts all jobs.
func (e *testEnv) startWorker(name string, script func(j job)) string {
	l := e.listenPort()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		j := job{id: r.Header.Get("X-Request-Id"), body: bodySum(body), out: out}
		if r.Method == "DELETE" {
			e.record("%s: DELETE %s", name, r.RequestURI)
			return
		}
		e.record("%s: %s", name, j.id)
		if script == nil {
			out.WriteHeader(http.StatusAccepted)
			return
		}
		script(j)
	})}
	go s.Serve(l)
	e.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// accept sends 202 at once, so that whatever follows comes after it.
func accept(j job) {
	j.out.WriteHeader(http.StatusAccepted)
	j.out.(http.Flusher).Flush()
}

// callback sends a callback to the program and returns the status of the answer.
func (e *testEnv) callback(id, from, state, result string) int {
	body, _ := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": result})
	r, err := http.Post("http://"+e.listen+"/callback", "application/json", bytes.NewReader(body))
	if err != nil {
		e.record("callback: %v", err)
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// finishingWorker starts a worker that accepts, starts and finishes each job.
func (e *testEnv) finishingWorker(name string) string {
	return e.startWorker(name, func(j job) {
		accept(j)
		e.callback(j.id, name, "started", "")
		e.callback(j.id, name, "done", "from "+name)
	})
}

// idleClosingWorker starts a worker that finishes each job at once, closes idle connections, and records when
// a connection opens and closes.
func (e *testEnv) idleClosingWorker(idle time.Duration) string {
	l := e.listenPort()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		accept(job{out: out})
		go e.callback(r.Header.Get("X-Request-Id"), "w1", "done", "")
	}), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew || s == http.StateClosed {
			e.record("%s", s)
		}
	}, IdleTimeout: idle}
	go s.Serve(l)
	e.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// writeConfig writes the program's configuration, with one text replaced, and returns the environment for the
// program.
func (e *testEnv) writeConfig(old, new string) []string {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"peer_listen":%q,"peers":[%q,%q],"peers_all":%q,
		"known":%s,"settings":%s}`, e.listen, e.discoveryAddr, e.memoryMB, e.sockets, e.peerAddr, e.peerAddr, e.peer.LocalAddr(),
		e.peer.LocalAddr(), e.known, fmt.Sprintf(settings, e.idleMicros, e.openCap))
	if e.configPath == "" {
		e.configPath = filepath.Join(e.t.TempDir(), "config.json")
	}
	e.must(os.WriteFile(e.configPath, []byte(strings.Replace(text, old, new, 1)), 0o600))
	return append(os.Environ(), "ROUTER_CONFIG="+e.configPath, "ROUTER_NAME=n0", "ROUTER_LISTEN="+e.listen, "ROUTER_DISCOVERY="+e.discoveryAddr, "ROUTER_OPS="+e.adminAddr)
}

// start starts the program and waits until it is ready.
func (e *testEnv) start() {
	e.t.Helper()
	e.launch()
	e.until("ready", func() bool { return e.status("/ready") == 200 })
}

// launch starts the program.
func (e *testEnv) launch() {
	e.t.Helper()
	e.cmd = exec.Command(binary)
	e.cmd.Env, e.cmd.Stderr = append(e.writeConfig(e.swap[0], e.swap[1]), "WELDMAST_FILE="+e.operatorPath), &e.output
	if e.tempDir != "" {
		e.cmd.Env = append(e.cmd.Env, "TMPDIR="+e.tempDir)
	}
	if e.wrap != nil {
		e.wrap(e.cmd)
	}
	e.must(e.cmd.Start())
	cmd := e.cmd
	e.t.Cleanup(func() { // for processes that were followed by another one
		if cmd != e.cmd && cmd.ProcessState == nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
}

func (e *testEnv) status(path string) int {
	r, err := http.Get("http://" + e.listen + path)
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// request returns the text of a client's job.
func request(id, path, headers string) string {
	if !strings.Contains(headers, "X-Cost-Hint") {
		headers += "X-Cost-Hint: 200000\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n" + headers +
		"X-Tenant: acme\r\nContent-Length: 4\r\n\r\nbody"
}

// client is one client connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (e *testEnv) dial() *client {
	e.t.Helper()
	c, err := net.Dial("tcp", e.listen)
	e.must(err)
	c.SetDeadline(time.Now().Add(waitTimeout))
	e.t.Cleanup(func() { c.Close() })
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

// TestRequestBytes checks that a client's requests are forwarded byte for byte, on a reused connection.
func TestRequestBytes(t *testing.T) {
	e := newTestEnv(t)
	l := e.listenPort()
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
				e.record("worker: %v", err)
				return
			}
			body, _ := io.ReadAll(r.Body)
			e.record("%s %s %q %s %q %s", r.Method, r.RequestURI, body, r.Header["X-Request-Id"], r.Header["X-Cost-Hint"], r.Host)
			if d := r.Header.Get("X-Deadline"); d < "4.000" || d >= "4.500" {
				e.record("X-Deadline %s", d)
			}
			io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			e.callback(r.Header["X-Request-Id"][0], "w1", "done", "ünï\n")
		}
	}()
	e.publish(memberList(1, true, memberEntry("w1", l.Addr().String(), "in_service")))
	e.start()
	c := e.dial()
	for k, uri := range []string{"/plan/a%2Fb//../c%20d/?q=%zz&&x=+", "/order/./é?"} {
		time.Sleep(50 * time.Millisecond) // a connection is reused only after a moment
		e.record("client: %s", c.ask("POST "+uri+" HTTP/1.1\r\nhost: x\r\nx-request-id: A.b-9_%41"+strings.Repeat("+", k)+"\r\nX-Tenant: acme\r\n"+
			"x-deadline: 4.5\r\nX-Cost-Hint: 100000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\x00\xff\n\r\n0\r\n\r\n"))
	}
	e.checkSeen(fmt.Sprintf(`POST /plan/a%%2Fb//../c%%20d/?q=%%zz&&x=+ "\x00\xff\n" [A.b-9_%%41] ["100000"] %[1]s
client: 200 ünï
POST /order/./é? "\x00\xff\n" [A.b-9_%%41+] ["100000"] %[1]s
client: 200 ünï`, l.Addr()))
}

// TestOutcomes checks what each outcome of a first hand-off leads to, for rerunnable and for exclusive work.
func TestOutcomes(t *testing.T) {
	var all strings.Builder
	status := func(code int, notRun string) func(*testEnv, job) {
		return func(_ *testEnv, j job) {
			j.out.Header().Set("X-Not-Run", notRun)
			j.out.WriteHeader(code)
		}
	}
	calling := func(states ...string) func(*testEnv, job) {
		return func(e *testEnv, j job) {
			accept(j)
			for _, s := range states {
				e.callback(j.id, "first", s, "")
			}
		}
	}
	for _, x := range []struct {
		name   string
		script func(e *testEnv, j job)
	}{
		{"refused", nil},
		{"503, not run", status(503, "1")},
		{"504, not run", status(504, "1")},
		{"503", status(503, "")},
		{"500", status(500, "")},
		{"broken before the 202", func(*testEnv, job) { panic(http.ErrAbortHandler) }},
		{"returned", calling("returned")},
		{"failed", calling("started", "failed")},
		{"lost", calling("started", "lost")},
	} {
		for _, category := range []string{"plan", "order"} {
			e := newTestEnv(t)
			l := e.listenPort()
			addr := l.Addr().String()
			l.Close() // connections are refused
			if x.script != nil {
				addr = e.startWorker("first", func(j job) { x.script(e, j) })
			}
			e.publish(memberList(1, true, memberEntry("first", addr, "in_service")))
			e.start()
			c := e.dial()
			io.WriteString(c, request("a", "/"+category+"/x", ""))
			if x.script != nil {
				e.awaitLine("first: a", 1)
			}
			e.publish(memberList(2, false, memberEntry("second", e.finishingWorker("second"), "in_service")))
			e.record("client: %s", c.answer())
			fmt.Fprintf(&all, "%s, %s: %s\n", x.name, category, strings.ReplaceAll(strings.TrimSpace(e.seen.String()), "\n", ", "))
		}
	}
	golden.Check(t, "outcomes", all.String())
}

// TestCallbacks checks the answers to callbacks that are repeated, that come before the 202, from the wrong
// worker, or for an unknown job.
func TestCallbacks(t *testing.T) {
	e := newTestEnv(t)
	conn := make(chan *client, 1)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", func(j job) {
		if j.id == "ahead" {
			accept(j)
			e.callback(j.id, "w1", "done", "and the next")
			return
		}
		io.WriteString(<-conn, "P") // the next request begins before the answer to this one
		e.record("other worker: %d", e.callback(j.id, "w2", "done", "not from there"))
		e.record("early: %d", e.callback(j.id, "w1", "started", ""))
		e.record("early: %d", e.callback(j.id, "w1", "done", "once"))
		e.record("again: %d", e.callback(j.id, "w1", "done", "twice"))
		e.record("other: %d", e.callback(j.id, "w1", "lost", ""))
		accept(j)
		e.record("after the 202")
	}), "in_service")))
	e.start()
	e.record("unknown job: %d", e.callback("nobody", "w1", "done", ""))
	e.record("unknown state: %d", e.callback("a", "w1", "dancing", ""))
	e.record("no worker: %d", e.callback("a", "", "done", ""))
	c := e.dial()
	conn <- c
	answer := c.ask(request("a", "/order/x", ""))
	e.awaitLine("after the 202", 1)
	e.record("client: %s", answer)
	e.record("client: %s", c.ask(request("ahead", "/order/x", "")[1:]))
	e.checkSeen(`unknown job: 200
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

// TestJobCancelled checks that a job whose client disconnects or whose deadline expires is cancelled at its
// worker, before the 202 by closing the connection. Rerunnable work at a worker that stops answering moves to
// another worker.
func TestJobCancelled(t *testing.T) {
	e := newTestEnv(t)
	silent := e.listenPort() // accepts connections and never reads
	defer silent.Close()
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.start()
	c := e.dial()
	io.WriteString(c, request("leaves", "/order/x", "X-Deadline: 0.3\r\n"))
	e.awaitLine("w1: leaves", 1)
	c.Close()
	e.awaitLine("DELETE /jobs/leaves", 1)
	c = e.dial()
	for k, path := range []string{"/order/x", "/plan/x"} {
		name, id := fmt.Sprintf("w%d", 3+k), fmt.Sprintf("late-%d", k)
		e.publish(memberList(2+k, true, memberEntry(name, e.startWorker(name, nil), "in_service")))
		io.WriteString(c, request(id, path, "X-Deadline: 0.3\r\n"))
		e.awaitLine("DELETE /jobs/"+id, 1)
		e.record("client: %s", c.answer())
	}
	e.publish(memberList(4, true, memberEntry("silent", silent.Addr().String(), "in_service")))
	io.WriteString(c, request("moved", "/plan/x", ""))
	conn, err := silent.Accept()
	e.must(err)
	defer conn.Close()
	e.publish(memberList(5, false, memberEntry("w2", e.finishingWorker("w2"), "in_service")))
	e.record("client: %s", c.answer())
	conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err = io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the silent worker's connection was not closed: %v", err)
	}
	e.checkSeen(`w1: leaves
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

// TestNoSecondCopy checks that, where second copies are forbidden, a work item moves to another worker only
// once the worker that had it has confirmed the cancellation.
func TestNoSecondCopy(t *testing.T) {
	e := newTestEnv(t)
	e.swap = [2]string{`"second_copies":true`, `"second_copies":false`}
	l := e.listenPort()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == "DELETE" {
			time.Sleep(200 * time.Millisecond)
			e.record("w1: dropped")
			return
		}
		e.record("w1: a")
		accept(job{out: out})
	})}
	go s.Serve(l)
	defer s.Close()
	e.publish(memberList(1, true, memberEntry("w1", l.Addr().String(), "in_service")))
	e.start()
	c := e.dial()
	io.WriteString(c, request("a", "/plan/x", ""))
	e.awaitLine("w1: a", 1)
	e.publish(memberList(2, false, memberEntry("w2", e.finishingWorker("w2"), "in_service")))
	e.record("client: %s", c.answer())
	e.checkSeen("w1: a\nw1: dropped\nw2: a\nclient: 200 from w2")
}

// TestPeerMessages checks that a long hand-off is reported to the peer, and that what a peer reports counts
// as load.
func TestPeerMessages(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.start()
	c := e.dial()
	io.WriteString(c, request("a", "/order/x", "X-Cost-Hint: 1500000\r\n"))
	told := make([]byte, 512)
	e.must(e.peer.SetDeadline(time.Now().Add(waitTimeout)))
	n, from, err := e.peer.ReadFrom(told)
	e.must(err)
	e.awaitLine("w1: a", 1) // may have arrived first
	e.record("told from its own address: %v, at most 256 bytes: %v", from.String() == e.peerAddr, n <= 256)
	e.callback("a", "w1", "started", "")
	e.callback("a", "w1", "done", "")
	e.record("client: %s", c.answer())
	if _, err = e.peer.WriteTo(told[:n], from); err != nil { // the peer reports the same load
		t.Fatal(err)
	}
	e.publish(memberList(2, false, memberEntry("w2", e.finishingWorker("w2"), "in_service")))
	for k := range 5 {
		e.record("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
	}
	want := "w1: a\ntold from its own address: true, at most 256 bytes: true\nclient: 200\n"
	for k := range 5 {
		want += fmt.Sprintf("w2: %d\nclient: 200 from w2\n", k)
	}
	e.checkSeen(want)
}

// TestNoHint checks that work without a cost hint is not deferred while nothing is known about its size.
func TestNoHint(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.start()
	plain := func(id, deadline string) string {
		return strings.Replace(request(id, "/plan/x", "X-Deadline: "+deadline+"\r\n"), "X-Cost-Hint: 200000\r\n", "", 1)
	}
	first, second := e.dial(), e.dial()
	io.WriteString(first, plain("a", "5"))
	e.awaitLine("w1: a", 1)
	e.callback("a", "w1", "started", "")
	e.publish(memberList(2, false, memberEntry("w2", e.finishingWorker("w2"), "in_service")))
	e.record("client: %s", second.ask(plain("b", "4.9")))
	e.callback("a", "w1", "done", "a")
	e.record("client: %s", first.answer())
	e.checkSeen("w1: a\nw2: b\nclient: 200 from w2\nclient: 200 a")
}

// TestBadInput checks that each invalid request gets a 4xx answer and changes nothing, and that the program
// goes on.
func TestBadInput(t *testing.T) {
	e := newTestEnv(t)
	e.publish("garbage") // ends the watch; the program requests the list again
	e.publish(memberList(1, true, `{"id":"no address"}`, `17`, memberEntry("", "127.0.0.1:1", "in_service"),
		memberEntry("w0", "127.0.0.1:1", "asleep"), memberEntry("w1", e.finishingWorker("w1"), "in_service")))
	e.start()
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
		answer, closed := strings.CutSuffix(e.dial().ask(c.text), " Connection: close")
		if e.record("%s: %s", c.name, answer); closed != strings.HasPrefix(answer, "4") {
			e.record("closed: %v", closed)
		}
	}
	to, err := net.ResolveUDPAddr("udp", e.peerAddr)
	e.must(err)
	for _, data := range []string{"", "x", strings.Repeat("x", 300)} {
		e.peer.WriteTo([]byte(data), to)
	}
	e.record("good: %s", e.dial().ask(request("a", "/plan/x", "")))
	e.checkSeen(`no HTTP: 400
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

// TestDiscovery checks that drains are remembered, that a broken watch is reopened after the last revision
// that was read, and that a complete list removes workers that it lacks. It also covers discovery without
// watches, and discovery that rejects a watch without a revision, so that the list has to be requested first.
func TestDiscovery(t *testing.T) {
	for _, mode := range []string{"push", "ask", "older"} {
		e := newTestEnv(t)
		first := ""
		if e.revisionNeeded = mode == "older"; e.revisionNeeded {
			mode, first = "push", "watch after 7\n"
		}
		e.swap = [2]string{`"discovery":"push"`, fmt.Sprintf(`"discovery":%q`, mode)}
		one, two := e.finishingWorker("w1"), e.finishingWorker("w2")
		e.publish(memberList(7, true, memberEntry("w1", one, "in_service")))
		e.start()
		c := e.dial()
		e.record("client: %s", c.ask(request("a", "/plan/x", "")))
		e.publish(memberList(8, false, memberEntry("w1", one, "terminating"), memberEntry("w2", two, "in_service")))
		e.publish("break")
		e.awaitLine("watch after 8", 1)
		for k := range 5 {
			e.record("client: %s", c.ask(request(fmt.Sprintf("drained-%d", k), "/plan/x", "")))
		}
		e.publish(memberList(9, true, memberEntry("w1", one, "in_service")))
		e.publish("break")
		e.awaitLine("watch after 9", 1)
		e.record("client: %s", c.ask(request("b", "/plan/x", "")))
		want := first + "w1: a\nclient: 200 from w1\nwatch after 8\n"
		for k := range 5 {
			want += fmt.Sprintf("w2: drained-%d\nclient: 200 from w2\n", k)
		}
		e.checkSeen(want + "watch after 9\nw1: b\nclient: 200 from w1")
	}
}

// TestStop checks that after a signal to stop the program answers all accepted jobs, still accepts work for a
// moment, and keeps no connection open.
func TestStop(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.start()
	idle, kept, busy, fresh := e.dial(), e.dial(), e.dial(), e.dial()
	io.WriteString(busy, request("a", "/order/x", ""))
	e.awaitLine("w1: a", 1)
	e.callback("a", "w1", "started", "")
	e.record("kept: %s", kept.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	e.record("idle: %s", idle.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	e.must(e.cmd.Process.Signal(syscall.SIGTERM))
	e.until("not ready", func() bool { return e.status("/ready") == 503 })
	io.WriteString(kept, request("k", "/order/x", ""))
	e.awaitLine("w1: k", 1)
	e.record("k: %d", e.callback("k", "w1", "done", "k"))
	e.record("kept: %s", kept.answer())
	io.WriteString(fresh, request("b", "/order/x", ""))
	e.awaitLine("w1: b", 1)
	e.record("b: %d", e.callback("b", "w1", "done", "b"))
	e.record("fresh: %s", fresh.answer())
	e.record("idle: %s", idle.answer())
	time.Sleep(100 * time.Millisecond)
	time.Sleep(1600 * time.Millisecond)
	e.record("too late: %s", e.dial().ask(request("c", "/order/x", "")))
	e.record("a: %d", e.callback("a", "w1", "done", "a"))
	e.record("busy: %s", busy.answer())
	e.record("exit: %v", e.cmd.Wait())
	e.checkSeen(`w1: a
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

// TestReload checks that SIGHUP changes the discovery address, whatever address the start was given and
// whatever revisions the new discovery counts. A faulty file changes nothing, jobs and connections are kept,
// and the program still stops when told to.
func TestReload(t *testing.T) {
	e, other, silent := newTestEnv(t), newTestEnv(t), newTestEnv(t)
	silent.discoveryDown = true
	hup := func(file, logs string) {
		e.t.Helper()
		e.must(os.WriteFile(e.configPath, []byte(file), 0o600))
		e.must(e.cmd.Process.Signal(syscall.SIGHUP))
		e.until(logs, func() bool { return strings.Contains(e.output.String(), logs) })
	}
	w1, w2 := e.startWorker("w1", nil), e.finishingWorker("w2")
	e.publish(memberList(50, true, memberEntry("w1", w1, "in_service")))
	other.publish(memberList(3, true, memberEntry("w2", w2, "in_service")))
	e.operatorPath = filepath.Join(t.TempDir(), "weldmast.toml")
	e.must(os.WriteFile(e.operatorPath, []byte("[log]\nlevel = \"info\"\n"), 0o600))
	e.start()
	text, err := os.ReadFile(e.configPath)
	e.must(err)
	configFor := func(d *testEnv) string { return strings.ReplaceAll(string(text), e.discoveryAddr, d.discoveryAddr) }
	busy, idle := e.dial(), e.dial()
	io.WriteString(busy, request("a", "/order/x", ""))
	e.awaitLine("w1: a", 1)
	e.callback("a", "w1", "started", "")
	hup("{", "reload=refused")
	e.must(os.WriteFile(e.operatorPath, []byte("[log]\nlevel = \"error\"\nlines_per_second = 0\n"), 0o600))
	hup(configFor(other), "log.lines_per_second: 0 is below 1") // the log level is still info
	e.must(os.WriteFile(e.operatorPath, nil, 0o600))
	hup(strings.Replace(configFor(other), `"cores":1.0`, `"cores":0`, 1), "limits.cores")
	hup(strings.Replace(configFor(other), `"cores":1.0`, `"cores":2`, 1), `until_restart=[Cores]`)
	e.until("its list", func() bool { return strings.Contains(e.output.String(), "list=3 ") })
	hup(configFor(other), "until_restart=[]")
	e.publish(`break`)
	for k := range 3 {
		e.record("ready: %d", e.status("/ready"))
		e.record("client: %s", idle.ask(request(fmt.Sprintf("moved-%d", k), "/order/x", "")))
	}
	hup(configFor(silent), "discovery="+silent.discoveryAddr)
	e.record("client: %s", idle.ask(request("mute", "/order/x", "")))
	e.must(e.cmd.Process.Signal(syscall.SIGTERM))
	e.until("not ready", func() bool { return e.status("/ready") == 503 })
	hup(configFor(other), "discovery="+other.discoveryAddr+" was="+silent.discoveryAddr+" phase=draining")
	e.callback("a", "w1", "done", "a")
	e.record("busy: %s", busy.answer())
	e.record("exit: %v", e.cmd.Wait())
	moved := ""
	for k := range 3 {
		moved += fmt.Sprintf("ready: 200\nw2: moved-%d\nclient: 200 from w2\n", k)
	}
	e.checkSeen("w1: a\n" + moved + "w2: mute\nclient: 200 from w2\nbusy: 200 a\nexit: <nil>")
}

// TestReloadSettings checks that SIGHUP applies the settings that can change at run time, and that the log
// names those that need a restart.
func TestReloadSettings(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(50, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.start()
	text, err := os.ReadFile(e.configPath)
	e.must(err)
	hup := func(from, to, logs string) {
		e.t.Helper()
		next := strings.Replace(string(text), from, to, 1)
		e.must(os.WriteFile(e.configPath, []byte(next), 0o600))
		e.must(e.cmd.Process.Signal(syscall.SIGHUP))
		e.until(logs, func() bool { return strings.Contains(e.output.String(), logs) })
	}
	busy, second := e.dial(), e.dial()
	io.WriteString(busy, request("a", "/plan/x", ""))
	e.awaitLine("w1: a", 1)
	e.callback("a", "w1", "started", "")
	hup(`"open_cap":100`, `"open_cap":1`, "until_restart=[]")
	e.until("deferred", func() bool {
		_, err := io.WriteString(second, request(fmt.Sprint("b", time.Now().UnixNano()), "/plan/x", ""))
		e.must(err)
		return strings.HasPrefix(second.answer(), "503")
	})
	hup(`"second_copies":true`, `"second_copies":false`, "until_restart=[settings.allowed.second_copies]")
	e.callback("a", "w1", "done", "a")
	e.record("busy: %s", busy.answer())
	e.must(e.cmd.Process.Signal(syscall.SIGTERM))
	e.record("exit: %v", e.cmd.Wait())
	e.dropLines("watch after ") // each reload queries discovery again, at a time of its own
	if !strings.HasSuffix(e.seen.String(), "busy: 200 a\nexit: <nil>\n") {
		t.Error(e.seen.String())
	}
}

// TestRestart checks that after a kill the program starts with nothing but the list of its configuration,
// even while discovery doesn't answer.
func TestRestart(t *testing.T) {
	e := newTestEnv(t)
	e.known = memberList(3, true, memberEntry("w1", e.finishingWorker("w1"), "in_service"))
	e.discoveryDown = true
	e.start()
	for k := range 2 {
		c := e.dial()
		e.record("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
		e.must(e.cmd.Process.Kill())
		e.cmd.Wait()
		e.record("killed: %s", c.answer())
		e.start()
		e.record("late: %d", e.callback(fmt.Sprint(k), "w1", "done", "again"))
	}
	e.checkSeen(`w1: 0
client: 200 from w1
killed: no answer
late: 200
w1: 1
client: 200 from w1
killed: no answer
late: 200`)
}

// TestFewDescriptors checks that waiting clients leave descriptors for the callbacks that end their jobs,
// with a low limit from the start and with a system limit that is lowered later.
func TestFewDescriptors(t *testing.T) {
	const few, many = 64, 40
	for name, falls := range map[string]bool{"configured": false, "fallen": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEnv(t)
			if !falls {
				e.sockets = few
			}
			var workers []string
			for k := range many {
				workers = append(workers, memberEntry(fmt.Sprint("w", k), e.startWorker(fmt.Sprint("w", k), nil), "in_service"))
			}
			e.publish(memberList(1, true, workers...))
			e.start()
			if falls {
				e.must(unix.Prlimit(e.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: few, Max: few}, nil))
				_, stop := e.idleClients(150)
				e.until("the limit", func() bool { return strings.Contains(e.output.String(), "msg=limits sockets=64 ") })
				stop()
			}
			answers := make(chan string, many)
			jobs := func() map[string]string { // the jobs at workers, with the worker of each
				e.mu.Lock()
				defer e.mu.Unlock()
				at := map[string]string{}
				for l := range strings.Lines(e.seen.String()) {
					if from, id, is := strings.Cut(strings.TrimSpace(l), ": "); is && strings.HasPrefix(id, "job-") {
						at[id] = from
					}
				}
				return at
			}
			for k := range many { // each job is at a worker or answered before the next one is sent
				id, c := fmt.Sprint("job-", k), e.dial()
				io.WriteString(c, request(id, "/plan/x", ""))
				before := len(answers)
				go func() { answers <- strings.Fields(c.answer())[0] }()
				e.until(id, func() bool { return len(answers) > before || jobs()[id] != "" })
			}
			out := jobs()
			if len(out) < few/8 {
				t.Errorf("only %d jobs were accepted", len(out))
			}
			for id, from := range out {
				if status := e.callback(id, from, "done", ""); status != 200 {
					t.Errorf("the callback for %s: %d", id, status)
				}
			}
			e.until("all answers", func() bool { return len(answers) == many })
			for range many {
				if a := <-answers; a != "200" && a != "503" {
					t.Errorf("answered %s", a)
				}
			}
		})
	}
}

// TestWorkerConnections checks that idle connections to workers are closed well before the worker would close
// them, and that a limit on sockets holds.
func TestWorkerConnections(t *testing.T) {
	e := newTestEnv(t)
	e.idleMicros, e.sockets = 400e3, 64
	e.publish(memberList(1, true, memberEntry("w1", e.idleClosingWorker(400*time.Millisecond), "in_service")))
	e.start()
	c := e.dial()
	begun := time.Now()
	for k := range 3 {
		time.Sleep(30 * time.Millisecond) // a connection is reused only after a moment
		e.record("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
	}
	last := time.Now()
	e.awaitLine("closed", 1)
	if open := time.Since(last); open > 350*time.Millisecond && last.Sub(begun) < 190*time.Millisecond {
		t.Errorf("an idle connection was closed only after %v", open)
	}
	e.record("client: %s", c.ask(request("3", "/order/x", "")))
	e.checkSeen("new\nclient: 200\nclient: 200\nclient: 200\nclosed\nnew\nclient: 200")
	time.Sleep(30 * time.Millisecond)
	for range 200 {
		e.dial()
	}
	e.record("among 200: %s", e.dial().ask(request("4", "/order/x", "")))
	e.checkSeen("new\nclient: 200\nclient: 200\nclient: 200\nclosed\nnew\nclient: 200\namong 200: 200")
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	e.must(err)
	if len(fds) > e.sockets {
		t.Errorf("%d descriptors in use, limit %d", len(fds), e.sockets)
	}
}

// TestFlood opens hundreds of connections that send nothing, half a header, a byte now and then, or far too
// much. Usual clients must keep their connections and be served, and callbacks and /ready must be answered.
// Each of the others must get an error or be closed within 3 s of connecting, and nothing may be left over.
func TestFlood(t *testing.T) {
	e := newTestEnv(t)
	e.sockets = 256
	e.publish(memberList(1, true, memberEntry("w1", e.finishingWorker("w1"), "in_service")))
	e.start()
	usual := e.dial()
	e.record("usual: %s", usual.ask(request("a", "/order/x", "")))
	var all sync.WaitGroup
	begun, ended := time.Now(), map[string]int{}
	misbehave := func(kind string, send func(c *client)) {
		c := e.dial()
		all.Go(func() {
			go send(c)
			answer := c.answer()
			e.mu.Lock()
			defer e.mu.Unlock()
			if time.Since(begun) > 3300*time.Millisecond && kind != "a byte now and then" || time.Since(begun) > 6*time.Second || strings.HasPrefix(answer, "200") {
				kind += " too late or served: " + answer
			}
			ended[kind]++
		})
	}
	half := request("half", "/order/x", "X-Deadline: 4\r\n")
	for k := range 4 { // jobs that are sent over more than 2 s, from before the flood until after it
		c, text := e.dial(), request(fmt.Sprint("slow", k), "/order/x", "")
		all.Go(func() {
			for n := 0; n < len(text); n += len(text)/12 + 1 {
				io.WriteString(c, text[n:min(n+len(text)/12+1, len(text))])
				time.Sleep(230 * time.Millisecond)
			}
			answer := c.answer()
			e.mu.Lock()
			defer e.mu.Unlock()
			ended["slow: "+answer]++
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 150 {
		misbehave("silent", func(*client) {})
		misbehave("half a head", func(c *client) { io.WriteString(c, half[:50]) })
		misbehave("half a body", func(c *client) { io.WriteString(c, half[:len(half)-2]) })
	}
	for range 200 {
		go e.dial().ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") // and stays connected
	}
	e.record("ready: %d", e.status("/ready"))
	for range 10 {
		misbehave("a byte now and then", func(c *client) {
			for k := 0; k < len(half); k++ {
				if _, err := io.WriteString(c, half[k:k+1]); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for range 3 {
		misbehave("too much", func(c *client) {
			io.WriteString(c, "POST /order/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: big\r\nContent-Length: 60000000\r\n\r\n")
			c.Write(make([]byte, 60e6))
		})
	}
	e.record("usual: %s", usual.ask(request("b", "/order/x", "")))
	e.record("another: %s", e.dial().ask(request("c", "/order/x", "")))
	all.Wait()
	time.Sleep(time.Until(begun.Add(2500 * time.Millisecond))) // longer than the time allowed for one request
	e.record("usual: %s", usual.ask(request("d", "/order/x", "")))
	e.record("ended: %v", ended)
	e.dropLines("w1: slow")
	e.checkSeen(`w1: a
usual: 200 from w1
ready: 200
w1: b
usual: 200 from w1
w1: c
another: 200 from w1
w1: d
usual: 200 from w1
ended: map[a byte now and then:10 half a body:150 half a head:150 silent:150 slow: 200 from w1:4 too much:3]`)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	e.must(err)
	var peak int
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	fmt.Sscan(after, &peak)
	if peak > 32<<10 && !raceEnabled() {
		t.Errorf("peak memory %d KB", peak)
	}
}

// TestStaleConnection checks that a connection that the worker has closed is not used again: exclusive work
// would be written off, as it may have run. The program must also learn from it how long other connections
// may stay idle.
func TestStaleConnection(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.idleClosingWorker(20*time.Millisecond), "in_service")))
	e.start()
	c := e.dial()
	for k := range 3 {
		e.record("client: %s", c.ask(request(fmt.Sprint(k), "/order/x", "")))
		e.awaitLine("closed", k+1)
	}
	e.checkSeen(strings.Repeat("new\nclient: 200\nclosed\n", 3))
	if !strings.Contains(e.output.String(), " idle=") {
		t.Error("the program did not learn the worker's idle timeout")
	}
}

// TestBrokenIdleConnection covers an idle connection that breaks at its next request, though nothing
// indicated it and the settings allow a longer idle time. Afterwards no connection that was idle for half as
// long may be used.
func TestBrokenIdleConnection(t *testing.T) {
	e := newTestEnv(t)
	forgetful := func(name string) string {
		l := e.listenPort()
		e.t.Cleanup(func() { l.Close() })
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
							e.record("broke")
							return
						}
						io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
						e.callback(r.Header.Get("X-Request-Id"), name, "done", "")
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	e.publish(memberList(1, true, memberEntry("w1", forgetful("w1"), "in_service"), memberEntry("w2", forgetful("w2"), "in_service")))
	e.start()
	c := e.dial()
	for k := range 10 {
		e.record("%s", c.ask(request(fmt.Sprint(k), "/plan/x", "")))
		time.Sleep(100 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if seen := e.seen.String(); strings.Count(seen, "broke\n") != 1 || strings.Count(seen, "200\n") != 10 {
		t.Errorf("want one broken connection and ten answers:\n%s", seen)
	}
}

// TestWorkerDied checks that connections that ended with their worker don't change how long others may stay
// idle.
func TestWorkerDied(t *testing.T) {
	e := newTestEnv(t)
	l := e.listenPort()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		accept(job{out: out})
		e.callback(r.Header.Get("X-Request-Id"), "w1", "done", "")
	})}
	go s.Serve(l)
	e.publish(memberList(1, true, memberEntry("w1", l.Addr().String(), "in_service")))
	e.start()
	c := e.dial()
	e.record("client: %s", c.ask(request("a", "/plan/x", "")))
	s.Close()
	e.record("client: %s", c.ask(request("b", "/plan/x", "")))
	e.checkSeen("client: 200\nclient: 503 Retry-After")
	if log := e.output.String(); strings.Contains(log, " idle=") || !strings.Contains(log, "refused") {
		t.Error("the program learned an idle timeout from a worker that died")
	}
}

// TestBadConfig checks that the program doesn't start with a faulty configuration and names the key at fault.
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
		e := newTestEnv(t)
		cmd := exec.Command(binary)
		cmd.Env = e.writeConfig(c.old, c.new)
		out, err := cmd.CombinedOutput()
		_, text, _ := strings.Cut(string(out), "fatal=")
		for _, part := range [][2]string{{e.peerAddr, "ADDR"}} {
			text = strings.ReplaceAll(text, part[0], part[1])
		}
		fmt.Fprintf(&all, "%s: %v: %s\n", c.name, err, strings.TrimSpace(text))
	}
	golden.Check(t, "badconfig", all.String())
}
