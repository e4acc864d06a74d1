package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// operated gives the world an address for operators' calls.
func operated(t *testing.T) *world {
	w := newWorld(t)
	l := w.port()
	w.ops = l.Addr().String()
	l.Close()
	return w
}

// call is one of the operators': the answer and its body, within the second that they wait.
func (w *world) call(text string) (answer, body string) {
	begun := time.Now()
	c, err := net.Dial("tcp", w.ops)
	if err != nil {
		return err.Error(), ""
	}
	defer c.Close()
	c.SetDeadline(begun.Add(time.Second))
	io.WriteString(c, text)
	all, err := io.ReadAll(c) // it is closed after the answer
	if err != nil {
		return err.Error(), ""
	}
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	head, _, _ = strings.Cut(head, "\r\n")
	return head, body
}

func (w *world) control(what string) (answer, body string) {
	return w.call("GET /control/" + what + " HTTP/1.1\r\nHost: x\r\n\r\n")
}

// TestFigures: work of every ending; the figures say what the stand-ins saw.
func TestFigures(t *testing.T) {
	w := operated(t)
	w.swap = [2]string{`"expiry":5000000,"credit":1.0}]`, `"expiry":1000000,"credit":1.0}]`} // an order's
	var names [2]string
	for k, name := range []string{"w1", "w2"} {
		names[k] = line(name, w.worker(name, func(j job) {
			kind, _, _ := strings.Cut(j.id, "-")
			w.mu.Lock()
			again := strings.Count(w.log.String(), ": "+j.id+"\n") > 1
			w.mu.Unlock()
			switch {
			case kind == "hangs" || kind == "leaves":
				accept(j)
			case kind == "fails" || kind == "retried" && !again:
				j.out.WriteHeader(500)
			default:
				accept(j)
				w.back(j.id, name, "done", "")
			}
		}), "in_service")
	}
	w.tell(list(1, true, names[0], names[1], line("w3", "127.0.0.1:9", "terminating")))
	w.start()
	ask := func(id, path, headers string) {
		w.t.Helper()
		if got := w.dial().ask(request(id, path, headers)); !strings.HasPrefix(got, strings.SplitN(id, "-", 3)[1]) {
			t.Errorf("%s: %s", id, got)
		}
	}
	for k := range 5 {
		ask(fmt.Sprint("served-200-", k), "/plan/x", "")
	}
	ask("served-200-order", "/order/x", "")
	for k := range 3 {
		ask(fmt.Sprint("refused-503-", k), "/plan/x", "X-Deadline: 0.05\r\n")
	}
	ask("bad-404", "/cake/x", "")
	ask("bad-400", "/plan/x", "X-Deadline: soon\r\n")
	c := w.dial()
	io.WriteString(c, request("leaves-1", "/order/x", ""))
	w.await(": leaves-1", 1)
	if got := w.dial().ask(request("leaves-1", "/order/x", "")); !strings.HasPrefix(got, "409") {
		t.Errorf("id in use: %s", got)
	}
	if _, body := w.control("counters"); !strings.Contains(body, "edge_router.active:1|g\n") {
		t.Errorf("one open:\n%s", body)
	}
	c.Close()
	ask("hangs-502", "/order/x", "")
	ask("retried-200", "/plan/x", "")
	ask("fails-502", "/order/x", "")
	var body string
	w.until("the end of all", func() bool {
		_, body = w.control("counters")
		return strings.Contains(body, "edge_router.active:0|g\n") && !strings.Contains(body, "ejected:0")
	})
	w.mu.Lock()
	tries := 0
	for _, l := range strings.Split(w.log.String(), "\n") {
		if strings.HasPrefix(l, "w") && !strings.Contains(l, "DELETE") {
			tries++
		}
	}
	w.mu.Unlock()
	want := fmt.Sprintf(`edge_router.ok.plan:6|c
edge_router.ok.order:1|c
edge_router.shed.plan:3|c
edge_router.shed.order:0|c
edge_router.errors.plan:0|c
edge_router.errors.order:2|c
edge_router.tries:%d|c
edge_router.active:0|g
edge_router.pool_size:3|g
`, tries)
	body, ejected, _ := strings.Cut(body, "edge_router.pool_ejected:")
	if body != want || !strings.HasSuffix(ejected, "|g\n") || ejected == "0|g\n" {
		t.Errorf("figures:\n%s%s\nwanted:\n%s and some of the two that failed", body, ejected, want)
	}
}

// TestOperators: calls are answered in every phase and beside callers that say nothing, half or nonsense, which are
// closed within 3 s; and beside a flood at the clients' address.
func TestOperators(t *testing.T) {
	w := operated(t)
	w.sockets, w.silent = 256, true
	w.tell(list(1, true, line("w1", w.worker("w1", nil), "in_service")))
	w.begin()
	w.until("an answer", func() bool { a, _ := w.control("ready"); return strings.HasPrefix(a, "HTTP") })
	note := func(what string, answer, body string) { w.note("%s: %s %s", what, answer, strings.TrimSpace(body)) }
	say := func(what, text string) {
		a, _ := w.call(text)
		note(what, a, "")
	}
	a, body := w.control("ready")
	if a != "HTTP/1.1 503 Service Unavailable" || body != "starting\n" {
		t.Errorf("no list yet: %s %s", a, body)
	}
	w.mu.Lock()
	w.silent = false
	w.mu.Unlock()
	w.until("ready", func() bool { a, _ := w.control("ready"); return strings.Contains(a, " 200 ") })
	w.mu.Lock()
	w.log.Reset()
	w.mu.Unlock()
	a, body = w.control("ready")
	note("ready", a, body)
	say("other path", "GET /control HTTP/1.1\r\nHost: x\r\n\r\n")
	say("other method", "POST /control/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	say("nonsense", "nonsense\r\n\r\n")
	say("long head", "GET /control/ready HTTP/1.1\r\nHost: "+strings.Repeat("x", 9000)+"\r\n\r\n")
	begun, silent := time.Now(), make(chan time.Duration)
	for k := range 30 {
		go func() {
			c, err := net.Dial("tcp", w.ops)
			if err == nil {
				io.WriteString(c, "GET /control/ready HTTP"[:k%20])
				io.Copy(io.Discard, c)
				c.Close()
			}
			silent <- time.Since(begun)
		}()
	}
	for range 400 {
		w.dial()
	}
	for range 5 {
		if a, _ := w.control("counters"); !strings.HasPrefix(a, "HTTP/1.1 200") {
			t.Errorf("beside silent callers: %s", a)
		}
	}
	for range 30 {
		if d := <-silent; d > 3*time.Second {
			t.Errorf("a silent caller stays for %s", d)
		}
	}
	io.WriteString(w.dial(), request("a", "/order/x", ""))
	w.await("w1: a", 1)
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.until("the phase", func() bool { a, _ := w.control("ready"); return strings.Contains(a, " 503 ") })
	a, body = w.control("ready")
	note("told to stop", a, body)
	w.check(`ready: HTTP/1.1 200 OK serving
other path: HTTP/1.1 404 Not Found 
other method: HTTP/1.1 405 Method Not Allowed 
nonsense: HTTP/1.1 400 Bad Request 
long head: HTTP/1.1 431 Request Header Fields Too Large 
w1: a
told to stop: HTTP/1.1 503 Service Unavailable draining`)
	if _, err := http.Get("http://" + w.listen + "/control/counters"); err == nil {
		if a := w.get("/control/counters"); a == 200 {
			t.Error("the figures are told at the clients' address")
		}
	}
}
