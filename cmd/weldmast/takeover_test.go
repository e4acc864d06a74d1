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

// replaced gives the world what processes find each other by.
func replaced(t *testing.T) *world {
	w := operated(t)
	w.temp = t.TempDir()
	return w
}

// beside starts another process while one serves, at another address for operators, and waits until it is ready.
func (w *world) beside() (older *exec.Cmd) {
	w.t.Helper()
	older = w.cmd
	l := w.port()
	w.ops = l.Addr().String()
	l.Close()
	w.begin()
	w.ready()
	return older
}

func (w *world) ready() {
	w.t.Helper()
	w.until("ready", func() bool { a, _ := w.control("ready"); return strings.Contains(a, " 200 ") })
}

func (w *world) logged(text string, times int) {
	w.t.Helper()
	w.until(text, func() bool { return strings.Count(w.output.String(), text) >= times })
}

// TestUpgrades: under load, on kept, idle and new connections, one process after another takes the last one's place. No
// connection is refused, reset or left unread, each job has one answer and ran once.
func TestUpgrades(t *testing.T) {
	w := replaced(t)
	ran := map[string]int{}
	w.tell(list(1, true, line("w1", w.worker("w1", func(j job) {
		w.mu.Lock()
		ran[j.id]++
		w.mu.Unlock()
		accept(j)
		time.Sleep(30 * time.Millisecond)
		w.back(j.id, "w1", "started", "")
		time.Sleep(30 * time.Millisecond)
		if s := w.back(j.id, "w1", "done", "from w1 "+j.id); s != 200 {
			w.note("callback: %d", s)
		}
	}), "in_service")))
	w.begin()
	w.ready()
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
	one := func(c *client, id string) (kept bool) {
		switch got := c.ask(request(id, "/order/x", "")); strings.TrimSuffix(got, " Connection: close") {
		case "200 from w1 " + id:
			served.Add(1)
			return !strings.HasSuffix(got, "close")
		case "503 Retry-After": // turned away, which is an answer
			return true
		default:
			broken.Add(1)
			t.Errorf("%s: %s", id, got)
			return false
		}
	}
	dial := func() *client {
		c, err := net.Dial("tcp", w.listen)
		if err != nil {
			broken.Add(1)
			return nil
		}
		c.SetDeadline(time.Now().Add(patience))
		return &client{c, bufio.NewReader(c)}
	}
	for k := range 6 {
		clients.Go(func() { // half keep their connections, half do not
			var c *client
			for n := 0; running(); n++ {
				if c == nil {
					if c = dial(); c == nil {
						return
					}
				}
				if !one(c, fmt.Sprintf("load-%d-%d", k, n)) || k%2 == 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	for k := range 4 {
		waiting := []*client{dial(), dial(), dial(), dial()} // that have said nothing yet, or something
		for n, c := range waiting[:2] {
			one(c, fmt.Sprintf("idle-%d-%d", k, n))
		}
		half := request(fmt.Sprint("half-", k), "/order/x", "")
		io.WriteString(waiting[3], half[:40])
		older := w.beside()
		w.must(older.Process.Signal(syscall.SIGTERM))
		w.logged("handed over", k+1)
		time.Sleep(50 * time.Millisecond)
		if got := waiting[3].ask(half[40:]); !strings.HasPrefix(got, "200") {
			t.Errorf("half said: %s", got)
		}
		for n, c := range waiting[:3] {
			one(c, fmt.Sprintf("waited-%d-%d", k, n))
		}
		if err := older.Wait(); err != nil {
			t.Errorf("older: %v", err)
		}
		for _, c := range waiting {
			c.Close()
		}
	}
	time.Sleep(200 * time.Millisecond)
	close(done)
	clients.Wait()
	if n := broken.Load(); n > 0 || served.Load() < 100 {
		t.Errorf("%d broken, %d served", n, served.Load())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if strings.Contains(w.log.String(), "callback") {
		t.Error(w.log.String())
	}
	if entries, err := os.ReadDir(w.temp); err != nil || len(entries) != 1 {
		t.Errorf("left in the folder: %v %v", entries, err)
	}
}

// at is the path at which processes of this dispatcher find each other.
func (w *world) at() string {
	return filepath.Join(w.temp, "weldmast-"+strings.ReplaceAll(w.listen, ":", "-"))
}

// TestOrdinaryStart: whatever stands where an older process would be found, the start is an ordinary one, soon, and says so;
// a foreign file stays as it was.
func TestOrdinaryStart(t *testing.T) {
	answering := func(say string) func(*world) {
		return func(w *world) {
			l, err := net.Listen("unixpacket", w.at())
			w.must(err)
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
		put  func(w *world)
		logs string
	}{
		{"nothing", func(*world) {}, ""},
		{"no folder", func(w *world) { w.temp += "/none" }, "will not find this one"},
		{"long path", func(w *world) {
			w.temp += "/" + strings.Repeat("x", 100)
			w.must(os.Mkdir(w.temp, 0o700))
		}, "the path is too long"},
		{"file", func(w *world) { w.must(os.WriteFile(w.at(), []byte("foreign"), 0o600)) }, "is no socket"},
		{"folder", func(w *world) { w.must(os.Mkdir(w.at(), 0o700)) }, "is no socket"},
		{"stale", func(w *world) {
			w.begin()
			w.ready()
			w.must(w.cmd.Process.Kill())
			w.cmd.Wait()
		}, "connection refused"},
		{"hung", answering(""), "none to take over from"},
		{"nonsense", answering("nonsense"), "refused: onsense"},
		{"empty welcome", answering("w"), "no sockets came"},
		{"another version", answering("ranother version of the exchange"), "refused: another version"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			w := replaced(t)
			w.tell(list(1, true, line("w1", w.finishing("w1"), "in_service")))
			x.put(w)
			begun := time.Now()
			w.begin()
			w.ready()
			if d := time.Since(begun); d > 3*time.Second {
				t.Errorf("ready after %s", d)
			}
			if got := w.dial().ask(request("a", "/order/x", "")); got != "200 from w1" {
				t.Errorf("client: %s", got)
			}
			if x.logs != "" {
				w.logged(x.logs, 1)
			}
			if text, err := os.ReadFile(w.at()); x.name == "file" && string(text) != "foreign" {
				t.Errorf("the file is now %q, %v", text, err)
			}
		})
	}
}

// TestUpgradeFaults: who dies when, and who comes when; a client is served after each.
func TestUpgradeFaults(t *testing.T) {
	begin := func(t *testing.T) *world {
		t.Parallel()
		w := replaced(t)
		w.tell(list(1, true, line("w1", w.finishing("w1"), "in_service")))
		w.begin()
		w.ready()
		return w
	}
	served := func(w *world) {
		w.t.Helper()
		if got := w.dial().ask(request(fmt.Sprint("job", ports.Add(1)), "/order/x", "")); !strings.HasPrefix(got, "200 from w1") {
			w.t.Errorf("client: %s", got)
		}
	}
	term := func(w *world, p *exec.Cmd) { w.must(p.Process.Signal(syscall.SIGTERM)) }
	ends := func(w *world, p *exec.Cmd) {
		w.t.Helper()
		if err := p.Wait(); err != nil {
			w.t.Errorf("the older ended: %v", err)
		}
	}
	t.Run("newer dies early", func(t *testing.T) {
		w := begin(t)
		older := w.beside()
		w.must(w.cmd.Process.Kill())
		w.cmd.Wait()
		w.logged("the other process has ended", 1)
		served(w)
		w.cmd = older
		w.beside() // and another one finds it as before
		term(w, older)
		ends(w, older)
		served(w)
	})
	t.Run("newer dies late", func(t *testing.T) {
		w := begin(t)
		older := w.beside()
		term(w, older)
		w.logged("handed over", 1)
		w.must(w.cmd.Process.Kill())
		w.cmd.Wait()
		served(w) // still takes work for half a second, as at any order to stop
		ends(w, older)
	})
	t.Run("older killed", func(t *testing.T) {
		w := begin(t)
		older := w.beside()
		w.must(older.Process.Kill())
		older.Wait()
		served(w)
		older = w.beside()
		term(w, older)
		ends(w, older)
		served(w)
	})
	t.Run("older hangs", func(t *testing.T) {
		w := begin(t)
		w.must(w.cmd.Process.Signal(syscall.SIGSTOP))
		older := w.beside() // shares the address; what the hung one would accept waits for its end
		w.must(older.Process.Kill())
		older.Wait()
		served(w)
	})
	t.Run("two newer", func(t *testing.T) {
		w := begin(t)
		older := w.beside()
		newer := w.cmd
		w.begin()
		if err := w.cmd.Wait(); err == nil || !strings.Contains(w.output.String(), "another process is taking over") {
			t.Errorf("the second one: %v", err)
		}
		w.cmd = newer
		term(w, older)
		ends(w, older)
		served(w)
	})
	t.Run("told before the newer is ready", func(t *testing.T) {
		w := begin(t)
		w.mu.Lock()
		w.silent = true
		w.mu.Unlock()
		older := w.cmd
		l := w.port()
		w.ops = l.Addr().String()
		l.Close()
		w.begin()
		w.logged("a newer process is there", 1)
		term(w, older)
		w.ready() // by the list that was handed over
		served(w)
		ends(w, older)
	})
	t.Run("newer comes after the order", func(t *testing.T) {
		w := begin(t)
		hold := w.dial() // keeps the older one alive
		io.WriteString(hold, request("half", "/order/x", "")[:50])
		older := w.cmd
		term(w, older)
		w.logged("phase=draining", 1)
		w.beside()
		w.logged("handed over", 1)
		served(w)
		hold.Close()
		ends(w, older)
		served(w)
	})
	t.Run("reload beside", func(t *testing.T) {
		w := begin(t)
		older := w.beside()
		for _, p := range []*exec.Cmd{older, w.cmd} {
			w.must(p.Process.Signal(syscall.SIGHUP))
		}
		w.logged("reload=taken", 2)
		served(w)
		term(w, older)
		ends(w, older)
		served(w)
	})
}

// TestUpgradeCallbacks: what the older process holds is told to it, whoever hears of it, and applied once; its ids are in
// use at the newer one as well, also through two upgrades.
func TestUpgradeCallbacks(t *testing.T) {
	w := replaced(t)
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.begin()
	w.ready()
	oldest := w.dial()
	io.WriteString(oldest, request("a", "/order/x", ""))
	w.await("w1: a", 1)
	older := w.beside()
	w.must(older.Process.Signal(syscall.SIGTERM))
	w.logged("handed over", 1)
	w.note("started: %d", w.back("a", "w1", "started", ""))
	middle := w.dial()
	io.WriteString(middle, request("b", "/order/x", ""))
	w.await("w1: b", 1)
	w.beside().Process.Signal(syscall.SIGTERM)
	w.logged("handed over", 2)
	w.note("again: %s", w.dial().ask(request("a", "/order/x", "")))
	w.note("nobody: %d", w.back("nobody", "w1", "done", ""))
	for range 2 {
		w.note("a: %d", w.back("a", "w1", "done", "once"))
		w.note("b: %d", w.back("b", "w1", "done", "b"))
	}
	w.note("oldest: %s", oldest.answer())
	w.note("middle: %s", middle.answer())
	w.note("oldest ends: %v", older.Wait())
	w.note("over: %d", w.back("a", "w1", "done", "late"))
	w.without("watch after")
	w.check(`w1: a
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

// TestUpgradeLongJobs: what would still run at the kill goes to the newer process with its client's connection, which
// serves on; a client that leaves then is noticed there, and the older process ends in time.
func TestUpgradeLongJobs(t *testing.T) {
	t.Parallel()
	w := replaced(t)
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service"), line("w2", w.worker("w2", nil), "in_service"),
		line("w3", w.worker("w3", nil), "in_service")))
	w.begin()
	w.ready()
	clients := map[string]*client{}
	for _, id := range []string{"long", "next", "leaves"} {
		clients[id] = w.dial()
		io.WriteString(clients[id], request(id, "/order/x", ""))
		w.await(": "+id+"\n", 1)
	}
	at := func(id string) string { // its worker
		w.mu.Lock()
		defer w.mu.Unlock()
		before, _, _ := strings.Cut(w.log.String(), ": "+id+"\n")
		return before[len(before)-2:]
	}
	for id := range clients {
		w.back(id, at(id), "started", "")
	}
	older := w.beside()
	begun := time.Now()
	w.must(older.Process.Signal(syscall.SIGTERM))
	io.WriteString(clients["next"], "G")                                                          // of its next request
	if err := older.Wait(); err != nil || time.Since(begun) > 3700*time.Millisecond && !raced() { // the detector waits a second at the exit
		t.Errorf("the older one ended after %s: %v", time.Since(begun), err)
	}
	w.logged("job handed over", 3)
	clients["leaves"].Close()
	w.await("DELETE /jobs/leaves", 1)
	for _, id := range []string{"long", "next"} {
		if s := w.back(id, at(id), "done", "end of "+id); s != 200 {
			t.Errorf("callback: %d", s)
		}
		if got := clients[id].answer(); got != "200 end of "+id {
			t.Errorf("%s: %s", id, got)
		}
	}
	if got := clients["next"].ask("ET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); got != "200 serving" {
		t.Errorf("the connection: %s", got)
	}
	if _, body := w.control("counters"); !strings.Contains(body, "ok.order:2|c") || !strings.Contains(body, "active:0|g") {
		t.Errorf("figures:\n%s", body)
	}
}

// TestUpgradeBounds: while two processes are there each keeps to half of the descriptors, against a flood as well; the one
// that is left has all of them again.
func TestUpgradeBounds(t *testing.T) {
	w := replaced(t)
	w.sockets = 256
	w.tell(list(1, true, line("w1", w.finishing("w1"), "in_service")))
	w.begin()
	w.ready()
	used := func(p *exec.Cmd) int {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		w.must(err)
		return len(fds)
	}
	flood := func() {
		for range 300 {
			w.dial()
		}
	}
	older := w.beside()
	flood()
	time.Sleep(100 * time.Millisecond) // those that gave way are closed by then
	if a, b := used(older), used(w.cmd); a > 128 || a < 64 || b > 128 {
		t.Errorf("%d and %d descriptors of 256", a, b)
	}
	w.must(w.cmd.Process.Kill())
	w.cmd.Wait()
	w.logged("the other process has ended", 1)
	flood()
	time.Sleep(100 * time.Millisecond)
	if n := used(older); n <= 128 || n > 256 {
		t.Errorf("%d descriptors of 256 once it is alone", n)
	}
	w.cmd = older
}
