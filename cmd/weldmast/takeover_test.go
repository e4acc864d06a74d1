package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// newTakeoverEnv returns a testEnv with a folder in which processes find each other.
func newTakeoverEnv(t *testing.T) *testEnv {
	e := newAdminEnv(t)
	e.tempDir = t.TempDir()
	return e
}

// startSuccessor starts another process while one serves, with another address for operators, and waits until
// it is ready. It returns the older process.
func (e *testEnv) startSuccessor() (older *exec.Cmd) {
	e.t.Helper()
	older = e.cmd
	l := e.listenPort()
	e.adminAddr = l.Addr().String()
	l.Close()
	e.launch()
	e.awaitReady()
	return older
}

func (e *testEnv) awaitReady() {
	e.t.Helper()
	e.until("ready", func() bool { a, _ := e.control("ready"); return strings.Contains(a, " 200 ") })
}

func (e *testEnv) awaitLog(text string, times int) {
	e.t.Helper()
	e.until(text, func() bool { return strings.Count(e.output.String(), text) >= times })
}

// TestUpgrades replaces the process several times under load on reused, idle and new connections. No
// connection may be refused, reset or left unread, and each job must run once and get one answer.
func TestUpgrades(t *testing.T) {
	e := newTakeoverEnv(t)
	ran := map[string]int{}
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", func(j job) {
		e.mu.Lock()
		ran[j.id]++
		e.mu.Unlock()
		accept(j)
		time.Sleep(30 * time.Millisecond)
		e.callback(j.id, "w1", "started", "")
		time.Sleep(30 * time.Millisecond)
		if s := e.callback(j.id, "w1", "done", "from w1 "+j.id); s != 200 {
			e.record("callback: %d", s)
		}
	}), "in_service")))
	e.launch()
	e.awaitReady()
	var broken, served atomic.Int64
	var clients sync.WaitGroup
	done := make(chan struct{})
	running := func() bool {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	serveOne := func(c *client, id string) (kept bool) {
		switch got := c.ask(request(id, "/order/x", "")); strings.TrimSuffix(got, " Connection: close") {
		case "200 from w1 " + id:
			served.Add(1)
			return !strings.HasSuffix(got, "close")
		case "503 Retry-After": // refusing a job is a valid answer
			return true
		default:
			broken.Add(1)
			t.Errorf("%s: %s", id, got)
			return false
		}
	}
	dial := func() *client {
		c, err := net.Dial("tcp", e.listen)
		if err != nil {
			broken.Add(1)
			return nil
		}
		c.SetDeadline(time.Now().Add(waitTimeout))
		return &client{c, bufio.NewReader(c)}
	}
	for k := range 6 {
		clients.Go(func() { // half of the clients reuse their connections
			var c *client
			for n := 0; running(); n++ {
				if c == nil {
					if c = dial(); c == nil {
						return
					}
				}
				if !serveOne(c, fmt.Sprintf("load-%d-%d", k, n)) || k%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	for k := range 4 {
		// two have had an answer, one stays silent, one gets half a request
		waiting := []*client{dial(), dial(), dial(), dial()}
		for n, c := range waiting[:2] {
			serveOne(c, fmt.Sprintf("idle-%d-%d", k, n))
		}
		half := request(fmt.Sprint("half-", k), "/order/x", "")
		io.WriteString(waiting[3], half[:40])
		older := e.startSuccessor()
		e.must(older.Process.Signal(syscall.SIGTERM))
		e.awaitLog("handed over", k+1)
		time.Sleep(50 * time.Millisecond)
		if got := waiting[3].ask(half[40:]); !strings.HasPrefix(got, "200") {
			t.Errorf("client with half a request: %s", got)
		}
		for n, c := range waiting[:3] {
			serveOne(c, fmt.Sprintf("waited-%d-%d", k, n))
		}
		if err := older.Wait(); err != nil {
			t.Errorf("exit of the older process: %v", err)
		}
		for _, c := range waiting {
			c.Close()
		}
	}
	time.Sleep(200 * time.Millisecond)
	close(done)
	clients.Wait()
	if n := broken.Load(); n > 0 || served.Load() < 100 {
		t.Errorf("%d failed, %d served", n, served.Load())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if strings.Contains(e.seen.String(), "callback") {
		t.Error(e.seen.String())
	}
	if entries, err := os.ReadDir(e.tempDir); err != nil || len(entries) != 1 {
		t.Errorf("files in the folder: %v %v, want one", entries, err)
	}
}

// socketPath returns the path at which processes of this dispatcher find each other.
func (e *testEnv) socketPath() string {
	return filepath.Join(e.tempDir, "weldmast-"+strings.ReplaceAll(e.listen, ":", "-"))
}

// TestOrdinaryStart checks that whatever exists at the path of the predecessor's socket, the program soon
// starts in the ordinary way and logs the reason. A file of another kind stays unchanged.
func TestOrdinaryStart(t *testing.T) {
	answering := func(say string) func(*testEnv) {
		return func(e *testEnv) {
			l, err := net.Listen("unixpacket", e.socketPath())
			e.must(err)
			t.Cleanup(func() { l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if say != "" {
						io.WriteString(c, say)
					}
				}
			}()
		}
	}
	for _, x := range []struct {
		name string
		put  func(e *testEnv)
		logs string
	}{
		{"nothing", func(*testEnv) {}, ""},
		{"no folder", func(e *testEnv) { e.tempDir += "/none" }, "will not find this one"},
		{"long path", func(e *testEnv) {
			e.tempDir += "/" + strings.Repeat("x", 100)
			e.must(os.Mkdir(e.tempDir, 0o700))
		}, "the path is too long for a Unix socket"},
		{"file", func(e *testEnv) { e.must(os.WriteFile(e.socketPath(), []byte("foreign"), 0o600)) }, "another kind of file exists at the path"},
		{"folder", func(e *testEnv) { e.must(os.Mkdir(e.socketPath(), 0o700)) }, "another kind of file exists at the path"},
		{"stale", func(e *testEnv) {
			e.launch()
			e.awaitReady()
			e.must(e.cmd.Process.Kill())
			e.cmd.Wait()
		}, "connection refused"},
		{"hung", answering(""), "none to take over from"},
		{"nonsense", answering("nonsense"), "refused: onsense"},
		{"empty welcome", answering("w"), "answered without sending any sockets"},
		{"another version", answering("ranother version of the exchange"), "refused: another version"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e := newTakeoverEnv(t)
			e.publish(memberList(1, true, memberEntry("w1", e.finishingWorker("w1"), "in_service")))
			x.put(e)
			begun := time.Now()
			e.launch()
			e.awaitReady()
			if d := time.Since(begun); d > 3*time.Second {
				t.Errorf("ready after %s", d)
			}
			if got := e.dial().ask(request("a", "/order/x", "")); got != "200 from w1" {
				t.Errorf("client: %s", got)
			}
			if x.logs != "" {
				e.awaitLog(x.logs, 1)
			}
			if text, err := os.ReadFile(e.socketPath()); x.name == "file" && string(text) != "foreign" {
				t.Errorf("the file is now %q, %v", text, err)
			}
		})
	}
}

// TestUpgradeFaults covers processes that die, hang or start at any point of a takeover. A client must be
// served after each.
func TestUpgradeFaults(t *testing.T) {
	begin := func(t *testing.T) *testEnv {
		t.Parallel()
		e := newTakeoverEnv(t)
		e.publish(memberList(1, true, memberEntry("w1", e.finishingWorker("w1"), "in_service")))
		e.launch()
		e.awaitReady()
		return e
	}
	served := func(e *testEnv) {
		e.t.Helper()
		if got := e.dial().ask(request(fmt.Sprint("job", ports.Add(1)), "/order/x", "")); !strings.HasPrefix(got, "200 from w1") {
			e.t.Errorf("client: %s", got)
		}
	}
	terminate := func(e *testEnv, p *exec.Cmd) { e.must(p.Process.Signal(syscall.SIGTERM)) }
	awaitExit := func(e *testEnv, p *exec.Cmd) {
		e.t.Helper()
		if err := p.Wait(); err != nil {
			e.t.Errorf("exit of the older process: %v", err)
		}
	}
	t.Run("newer dies early", func(t *testing.T) {
		e := begin(t)
		older := e.startSuccessor()
		e.must(e.cmd.Process.Kill())
		e.cmd.Wait()
		e.awaitLog("the other process has ended", 1)
		served(e)
		e.cmd = older
		e.startSuccessor() // another successor can connect as before
		terminate(e, older)
		awaitExit(e, older)
		served(e)
	})
	t.Run("newer dies late", func(t *testing.T) {
		e := begin(t)
		older := e.startSuccessor()
		terminate(e, older)
		e.awaitLog("handed over", 1)
		e.must(e.cmd.Process.Kill())
		e.cmd.Wait()
		served(e) // after a signal to stop the process still accepts work for half a second
		awaitExit(e, older)
	})
	t.Run("older killed", func(t *testing.T) {
		e := begin(t)
		older := e.startSuccessor()
		e.must(older.Process.Kill())
		older.Wait()
		served(e)
		older = e.startSuccessor()
		terminate(e, older)
		awaitExit(e, older)
		served(e)
	})
	t.Run("older hangs", func(t *testing.T) {
		e := begin(t)
		e.must(e.cmd.Process.Signal(syscall.SIGSTOP))
		older := e.startSuccessor() // shares the address; connections queued for the paused process wait until it ends
		e.must(older.Process.Kill())
		older.Wait()
		served(e)
	})
	t.Run("two newer", func(t *testing.T) {
		e := begin(t)
		older := e.startSuccessor()
		newer := e.cmd
		e.launch()
		if err := e.cmd.Wait(); err == nil || !strings.Contains(e.output.String(), "another process is taking over") {
			t.Errorf("exit of the second successor: %v", err)
		}
		e.cmd = newer
		terminate(e, older)
		awaitExit(e, older)
		served(e)
	})
	t.Run("told before the newer is ready", func(t *testing.T) {
		e := begin(t)
		e.mu.Lock()
		e.discoveryDown = true
		e.mu.Unlock()
		older := e.cmd
		l := e.listenPort()
		e.adminAddr = l.Addr().String()
		l.Close()
		e.launch()
		e.awaitLog("a newer process is there", 1)
		terminate(e, older)
		e.awaitReady() // uses the list that was handed over
		served(e)
		awaitExit(e, older)
	})
	t.Run("newer comes after the order", func(t *testing.T) {
		e := begin(t)
		hold := e.dial() // keeps the older process alive
		io.WriteString(hold, request("half", "/order/x", "")[:50])
		older := e.cmd
		terminate(e, older)
		e.awaitLog("phase=draining", 1)
		e.startSuccessor()
		e.awaitLog("handed over", 1)
		served(e)
		hold.Close()
		awaitExit(e, older)
		served(e)
	})
	t.Run("reload beside", func(t *testing.T) {
		e := begin(t)
		older := e.startSuccessor()
		for _, p := range []*exec.Cmd{older, e.cmd} {
			e.must(p.Process.Signal(syscall.SIGHUP))
		}
		e.awaitLog("reload=taken", 2)
		served(e)
		terminate(e, older)
		awaitExit(e, older)
		served(e)
	})
}

// TestUpgradeCallbacks checks that a callback for a job of the older process reaches it, whichever process
// receives the callback, and is applied once. Its job IDs are also in use at the newer process, and also
// after two takeovers.
func TestUpgradeCallbacks(t *testing.T) {
	e := newTakeoverEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.launch()
	e.awaitReady()
	oldest := e.dial()
	io.WriteString(oldest, request("a", "/order/x", ""))
	e.awaitLine("w1: a", 1)
	older := e.startSuccessor()
	e.must(older.Process.Signal(syscall.SIGTERM))
	e.awaitLog("handed over", 1)
	e.record("started: %d", e.callback("a", "w1", "started", ""))
	middle := e.dial()
	io.WriteString(middle, request("b", "/order/x", ""))
	e.awaitLine("w1: b", 1)
	e.startSuccessor().Process.Signal(syscall.SIGTERM)
	e.awaitLog("handed over", 2)
	e.record("again: %s", e.dial().ask(request("a", "/order/x", "")))
	e.record("nobody: %d", e.callback("nobody", "w1", "done", ""))
	for range 2 {
		e.record("a: %d", e.callback("a", "w1", "done", "once"))
		e.record("b: %d", e.callback("b", "w1", "done", "b"))
	}
	e.record("oldest: %s", oldest.answer())
	e.record("middle: %s", middle.answer())
	e.record("oldest ends: %v", older.Wait())
	e.record("over: %d", e.callback("a", "w1", "done", "late"))
	e.dropLines("watch after")
	e.checkSeen(`w1: a
started: 200
w1: b
again: 409 Connection: close
nobody: 200
a: 200
b: 200
a: 200
b: 200
oldest: 200 once Connection: close
middle: 200 b Connection: close
oldest ends: <nil>
over: 200`)
}

// TestUpgradeLongJobs checks that jobs that would still run at the final kill move to the newer process with
// their clients' connections, which then serve further requests. The newer process notices when such a client
// disconnects, and the older process ends in time.
func TestUpgradeLongJobs(t *testing.T) {
	t.Parallel()
	e := newTakeoverEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service"), memberEntry("w2", e.startWorker("w2", nil), "in_service"),
		memberEntry("w3", e.startWorker("w3", nil), "in_service")))
	e.launch()
	e.awaitReady()
	clients := map[string]*client{}
	for _, id := range []string{"long", "next", "leaves"} {
		clients[id] = e.dial()
		io.WriteString(clients[id], request(id, "/order/x", ""))
		e.awaitLine(": "+id+"\n", 1)
	}
	at := func(id string) string { // the worker of the job
		e.mu.Lock()
		defer e.mu.Unlock()
		before, _, _ := strings.Cut(e.seen.String(), ": "+id+"\n")
		return before[len(before)-2:]
	}
	for id := range clients {
		e.callback(id, at(id), "started", "")
	}
	older := e.startSuccessor()
	begun := time.Now()
	e.must(older.Process.Signal(syscall.SIGTERM))
	io.WriteString(clients["next"], "G") // the first byte of the next request
	// the race detector waits one second at the exit
	if err := older.Wait(); err != nil || time.Since(begun) > 3700*time.Millisecond && !raceEnabled() {
		t.Errorf("the older process ended after %s: %v", time.Since(begun), err)
	}
	e.awaitLog("job handed over", 3)
	clients["leaves"].Close()
	e.awaitLine("DELETE /jobs/leaves", 1)
	for _, id := range []string{"long", "next"} {
		if s := e.callback(id, at(id), "done", "end of "+id); s != 200 {
			t.Errorf("callback: %d", s)
		}
		if got := clients[id].answer(); got != "200 end of "+id {
			t.Errorf("%s: %s", id, got)
		}
	}
	if got := clients["next"].ask("ET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); got != "200 serving" {
		t.Errorf("next request on the transferred connection: %s", got)
	}
	if _, body := e.control("counters"); !strings.Contains(body, "ok.order:2|c") || !strings.Contains(body, "active:0|g") {
		t.Errorf("counters:\n%s", body)
	}
}

// TestUpgradeRepeatedID guards against an ID that runs twice because it comes to both processes of a replacement,
// also when its first client has left.
func TestUpgradeRepeatedID(t *testing.T) {
	for _, olderFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("older first ", olderFirst), func(t *testing.T) {
			t.Parallel()
			e := newTakeoverEnv(t)
			e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service"), memberEntry("w2", e.startWorker("w2", nil), "in_service")))
			e.launch()
			e.awaitReady()
			text := request("a", "/order/x", "")
			atOlder := e.dial()
			io.WriteString(atOlder, text[:len(text)-1]) // begun, so that the connection stays
			older := e.startSuccessor()
			time.Sleep(50 * time.Millisecond)
			e.must(older.Process.Signal(syscall.SIGTERM))
			e.awaitLog("inherited", 1)
			atNewer := e.dial()
			send := func(c *client) {
				rest := text
				if c == atOlder {
					rest = text[len(text)-1:]
				}
				io.WriteString(c, rest)
			}
			first, second := atNewer, atOlder
			if olderFirst {
				first, second = atOlder, atNewer
			}
			send(first)
			e.awaitLine(": a\n", 1)
			if olderFirst {
				first.Close()
				e.awaitLine("DELETE /jobs/a", 1)
			}
			time.Sleep(20 * time.Millisecond)
			send(second)
			if got := second.answer(); !strings.HasPrefix(got, "409") {
				t.Errorf("the same ID at the other process: %s", got)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if n := strings.Count(e.seen.String(), ": a\n"); n != 1 {
				t.Errorf("%d attempts:\n%s", n, e.seen.String())
			}
		})
	}
}

// TestUpgradeWorkerLeaves guards against a worker that leaves the list during a replacement being taken for
// one of cell 0: the newer process sent its work there, and a marked job had its effect in two cells.
func TestUpgradeWorkerLeaves(t *testing.T) {
	t.Parallel()
	e := newTakeoverEnv(t)
	e.swap = [2]string{`{"name":"order","semantics":"once",`, `{"name":"order","semantics":"by_key","group":"cell","window":5000000,`}
	addr := e.startWorker("w1", nil)
	e.publish(memberList(1, true, memberEntryAt("w1", addr, "in_service", "here", 3)))
	e.launch()
	e.awaitReady()
	c := e.dial()
	io.WriteString(c, request("a", "/order/x", ""))
	e.awaitLine("w1: a", 1)
	e.callback("a", "w1", "started", "")
	older := e.startSuccessor()
	e.publish(memberList(2, false, memberEntryAt("w2", e.finishingWorker("w2"), "in_service", "here", 0)))
	e.must(older.Process.Signal(syscall.SIGTERM))
	e.publish(memberList(3, false, memberEntryAt("w1", addr, "terminated", "here", 3)))
	e.awaitLog("job handed over", 1)
	e.callback("a", "w1", "lost", "")
	if got := c.answer(); !strings.HasPrefix(got, "502") {
		t.Errorf("answer: %s", got)
	}
	e.dropLines("watch after")
	e.checkSeen("w1: a")
}

// TestUpgradeOtherCategories guards against a job being taken over by the position of its category: where the
// newer process has other categories, a job that must never run twice did, or its client got no answer.
func TestUpgradeOtherCategories(t *testing.T) {
	const plan = `{"name":"plan","semantics":"repeatable","due_time":2000000,"expiry":5000000,"credit":1.0}`
	const order = `{"name":"order","semantics":"once",`
	for name, swap := range map[string][2]string{
		"one more before it": {plan, `{"name":"archive","semantics":"repeatable","due_time":2000000,"expiry":5000000,"credit":1.0},` + plan},
		"without it":         {order, `{"name":"other","semantics":"repeatable",`},
		"other semantics":    {order, `{"name":"order","semantics":"repeatable",`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTakeoverEnv(t)
			e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
			e.launch()
			e.awaitReady()
			lost, done := e.dial(), e.dial()
			for id, c := range map[string]*client{"lost": lost, "done": done} {
				io.WriteString(c, request(id, "/order/x", ""))
				e.awaitLine("w1: "+id, 1)
				e.callback(id, "w1", "started", "")
			}
			e.swap = swap
			older := e.startSuccessor()
			e.publish(memberList(2, false, memberEntry("w2", e.finishingWorker("w2"), "in_service")))
			e.must(older.Process.Signal(syscall.SIGTERM))
			e.awaitLog("job handed over", 2)
			e.callback("lost", "w1", "lost", "")
			e.callback("done", "w1", "done", "once")
			if got := lost.answer(); !strings.HasPrefix(got, "502") {
				t.Errorf("the job that was lost: %s", got)
			}
			if got := done.answer(); got != "200 once" {
				t.Errorf("the job that was done: %s", got)
			}
			if e.mu.Lock(); strings.Contains(e.seen.String(), "w2: ") {
				t.Errorf("a second attempt:\n%s", e.seen.String())
			}
			e.mu.Unlock()
		})
	}
}

// TestUpgradeBounds checks that while two processes run, each uses at most half of the descriptors, even
// during a flood, and that the remaining process uses all of them again.
func TestUpgradeBounds(t *testing.T) {
	e := newTakeoverEnv(t)
	e.sockets = 256
	e.publish(memberList(1, true, memberEntry("w1", e.finishingWorker("w1"), "in_service")))
	e.launch()
	e.awaitReady()
	used := func(p *exec.Cmd) int {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		e.must(err)
		return len(fds)
	}
	flood := func() {
		for range 300 {
			e.dial()
		}
	}
	older := e.startSuccessor()
	flood()
	time.Sleep(100 * time.Millisecond) // by then the excess connections are closed
	if a, b := used(older), used(e.cmd); a > 128 || a < 64 || b > 128 {
		t.Errorf("two processes use %d and %d descriptors, limit 128 each", a, b)
	}
	e.must(e.cmd.Process.Kill())
	e.cmd.Wait()
	e.awaitLog("the other process has ended", 1)
	flood()
	time.Sleep(100 * time.Millisecond)
	if n := used(older); n <= 128 || n > 256 {
		t.Errorf("the remaining process uses %d descriptors, want 129 to 256", n)
	}
	e.cmd = older
}
