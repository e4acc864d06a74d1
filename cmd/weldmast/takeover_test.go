package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
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
	w.until("ready", func() bool { a, _ := w.control("ready"); return strings.Contains(a, "200") })
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
