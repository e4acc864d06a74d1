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

// newAdminEnv returns a testEnv with an address for operators' requests.
func newAdminEnv(t *testing.T) *testEnv {
	e := newTestEnv(t)
	l := e.listenPort()
	e.adminAddr = l.Addr().String()
	l.Close()
	return e
}

// adminCall sends one operator's request and returns the status line and the body. It fails after one second,
// the operators' timeout.
func (e *testEnv) adminCall(text string) (answer, body string) {
	begun := time.Now()
	c, err := net.Dial("tcp", e.adminAddr)
	if err != nil {
		return err.Error(), ""
	}
	defer c.Close()
	c.SetDeadline(begun.Add(time.Second))
	io.WriteString(c, text)
	all, err := io.ReadAll(c) // the server closes the connection after its answer
	if err != nil {
		return err.Error(), ""
	}
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	head, _, _ = strings.Cut(head, "\r\n")
	return head, body
}

func (e *testEnv) control(what string) (answer, body string) {
	return e.adminCall("GET /control/" + what + " HTTP/1.1\r\nHost: x\r\n\r\n")
}

// TestCounters checks the counters after jobs with every outcome against what the workers and clients saw.
func TestCounters(t *testing.T) {
	e := newAdminEnv(t)
	e.swap = [2]string{`"expiry":5000000,"credit":1.0}]`, `"expiry":1000000,"credit":1.0}]`} // of category order
	var names [2]string
	for k, name := range []string{"w1", "w2"} {
		names[k] = memberEntry(name, e.startWorker(name, func(j job) {
			kind, _, _ := strings.Cut(j.id, "-")
			e.mu.Lock()
			again := strings.Count(e.seen.String(), ": "+j.id+"\n") > 1
			e.mu.Unlock()
			switch {
			case kind == "hangs" || kind == "leaves":
				accept(j)
			case kind == "fails" || kind == "retried" && !again:
				j.out.WriteHeader(500)
			default:
				accept(j)
				e.callback(j.id, name, "done", "")
			}
		}), "in_service")
	}
	e.publish(memberList(1, true, names[0], names[1], memberEntry("w3", "127.0.0.1:9", "terminating")))
	e.start()
	ask := func(id, path, headers string) {
		e.t.Helper()
		if got := e.dial().ask(request(id, path, headers)); !strings.HasPrefix(got, strings.SplitN(id, "-", 3)[1]) {
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
	c := e.dial()
	io.WriteString(c, request("leaves-1", "/order/x", ""))
	e.awaitLine(": leaves-1", 1)
	if got := e.dial().ask(request("leaves-1", "/order/x", "")); !strings.HasPrefix(got, "409") {
		t.Errorf("second job with an ID in use: %s", got)
	}
	if _, body := e.control("counters"); !strings.Contains(body, "edge_router.active:1|g\n") {
		t.Errorf("counters with one active job:\n%s", body)
	}
	c.Close()
	ask("hangs-502", "/order/x", "")
	ask("retried-200", "/plan/x", "")
	ask("fails-502", "/order/x", "")
	var body string
	e.until("all jobs ended", func() bool {
		_, body = e.control("counters")
		return strings.Contains(body, "edge_router.active:0|g\n") && !strings.Contains(body, "ejected:0")
	})
	e.mu.Lock()
	tries := 0
	for _, l := range strings.Split(e.seen.String(), "\n") {
		if strings.HasPrefix(l, "w") && !strings.Contains(l, "DELETE") {
			tries++
		}
	}
	e.mu.Unlock()
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
		t.Errorf("counters:\n%s%s\nwant:\n%s and at least one of the two failed workers ejected", body, ejected, want)
	}
}

// TestAdminServer checks that requests are answered in every phase, while other callers send nothing, half a
// request or nonsense (their connections are closed within 3 s), and during a flood at the clients' address.
func TestAdminServer(t *testing.T) {
	e := newAdminEnv(t)
	e.sockets, e.discoveryDown = 256, true
	e.publish(memberList(1, true, memberEntry("w1", e.startWorker("w1", nil), "in_service")))
	e.launch()
	e.until("an answer", func() bool { a, _ := e.control("ready"); return strings.HasPrefix(a, "HTTP") })
	note := func(what string, answer, body string) { e.record("%s: %s %s", what, answer, strings.TrimSpace(body)) }
	say := func(what, text string) {
		a, _ := e.adminCall(text)
		note(what, a, "")
	}
	a, body := e.control("ready")
	if a != "HTTP/1.1 503 Service Unavailable" || body != "starting\n" {
		t.Errorf("ready before a list was read: %s %s", a, body)
	}
	e.mu.Lock()
	e.discoveryDown = false
	e.mu.Unlock()
	e.until("ready", func() bool { a, _ := e.control("ready"); return strings.Contains(a, " 200 ") })
	e.mu.Lock()
	e.seen.Reset()
	e.mu.Unlock()
	a, body = e.control("ready")
	note("ready", a, body)
	say("other path", "GET /control HTTP/1.1\r\nHost: x\r\n\r\n")
	say("other method", "POST /control/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	say("nonsense", "nonsense\r\n\r\n")
	say("long head", "GET /control/ready HTTP/1.1\r\nHost: "+strings.Repeat("x", 9000)+"\r\n\r\n")
	begun, silent := time.Now(), make(chan time.Duration)
	for k := range 30 {
		go func() {
			c, err := net.Dial("tcp", e.adminAddr)
			if err == nil {
				io.WriteString(c, "GET /control/ready HTTP"[:k%20])
				io.Copy(io.Discard, c)
				c.Close()
			}
			silent <- time.Since(begun)
		}()
	}
	for range 400 {
		e.dial()
	}
	for range 5 {
		if a, _ := e.control("counters"); !strings.HasPrefix(a, "HTTP/1.1 200") {
			t.Errorf("counters while other callers are silent: %s", a)
		}
	}
	for range 30 {
		if d := <-silent; d > 3*time.Second {
			t.Errorf("a silent caller stayed connected for %s", d)
		}
	}
	io.WriteString(e.dial(), request("a", "/order/x", ""))
	e.awaitLine("w1: a", 1)
	e.cmd.Process.Signal(syscall.SIGTERM)
	e.until("the draining phase", func() bool { a, _ := e.control("ready"); return strings.Contains(a, " 503 ") })
	a, body = e.control("ready")
	note("told to stop", a, body)
	e.checkSeen(`ready: HTTP/1.1 200 OK serving
other path: HTTP/1.1 404 Not Found 
other method: HTTP/1.1 405 Method Not Allowed 
nonsense: HTTP/1.1 400 Bad Request 
long head: HTTP/1.1 431 Request Header Fields Too Large 
w1: a
told to stop: HTTP/1.1 503 Service Unavailable draining`)
	if _, err := http.Get("http://" + e.listen + "/control/counters"); err == nil {
		if a := e.status("/control/counters"); a == 200 {
			t.Error("the clients' address serves the counters")
		}
	}
}
