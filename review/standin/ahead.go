package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["ahead"] = playAhead }

// awaitControl waits until a process says on the operators' address that it can serve.
func (e *env) awaitControl(addr string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/control/ready", nil)
		q.Close = true
		r, err := http.DefaultClient.Do(q)
		if err == nil {
			r.Body.Close()
		}
		cancel()
		if err == nil && r.StatusCode == 200 {
			return
		}
	}
	e.fatal("%s does not say that it can serve after %v", addr, within)
}

// playAhead: clients send two jobs at once on one connection each, a long one and a short one. The short job of three
// clients has a body of 4 bytes; that of the two others has 40,000 bytes, among them the text of a request that nobody
// sends (a body may hold anything). While the long jobs run the process is replaced as docs/upgrade.md says.
func playAhead(e *env) int {
	listen := e.freeAddr()
	sent := map[string]bool{} // ids of requests that clients send; complete before the first job
	var mu sync.Mutex
	foreign := 0
	var members []object
	for _, id := range []string{"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"} {
		w := e.startWorker(id, listen)
		w.onJob = func(w *worker, r *http.Request) {
			job := r.Header.Get("X-Request-Id")
			e.say("%s: %s %s, id %s", w.id, r.Method, r.URL.Path, job)
			if !sent[job] {
				mu.Lock()
				foreign++
				mu.Unlock()
				e.say("BROKEN: %s got work that no client sent: %s, id %s", w.id, r.URL.Path, job)
			}
		}
		members = append(members, member(w.id, w.addr))
	}
	d := e.startDiscovery(members...)
	shared := filepath.Join(e.dir, "tmp")
	if err := os.Mkdir(shared, 0o700); err != nil {
		e.fatal("%v", err)
	}
	config := e.writeJSON("config.json", object{"name": "n0", "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": aheadSettings()})
	start := func(name string) (*proc, string) {
		ops := e.freeAddr()
		return e.spawn(name, e.deployRun(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+d.addr, "ROUTER_CONFIG="+config,
			"ROUTER_OPS="+ops, "TMPDIR="+shared), ops
	}
	older, ops := start("older")
	e.awaitControl(ops, 6*time.Second)

	const deadline = 12 * time.Second
	names := []string{"a", "b", "c", "d", "e"}
	for _, name := range names {
		sent["long-"+name], sent["short-"+name] = true, true
	}
	var clients sync.WaitGroup
	lost, wrong, answered := 0, 0, 0
	for k, name := range names {
		clients.Go(func() {
			body := []byte("body")
			if k > 2 {
				body = bytes.Repeat([]byte("."), 40000)
			}
			both := append(requestBytes(listen, "/order/"+name, "long-"+name, deadline, 5000000, []byte("body")),
				requestBytes(listen, "/thumb/"+name, "short-"+name, deadline, 200000, body)...)
			if k > 2 {
				copy(both[16<<10:], requestBytes(listen, "/order/nobody", "nobody-"+name, deadline, 200000, nil))
			}
			c, err := net.DialTimeout("tcp4", listen, time.Second)
			if err != nil {
				e.say("client %s: %v", name, err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(deadline + time.Second))
			c.Write(both)
			in := bufio.NewReader(c)
			for _, id := range []string{"long-" + name, "short-" + name} {
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					e.say("BROKEN: client %s got no answer to %s: %v", name, id, err)
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
				text, _ := io.ReadAll(r.Body)
				e.say("client %s: %s answered %d, %q, connection to be closed: %v", name, id, r.StatusCode, text, r.Close)
				mu.Lock()
				answered++
				if r.StatusCode == 200 && !strings.HasPrefix(string(text), id+" ") {
					wrong++
					e.say("BROKEN: client %s got another request's result for %s: %q", name, id, text)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	var newer *proc
	if e.trouble {
		newer, ops = start("newer")
		e.awaitControl(ops, 6*time.Second)
		e.say("the newer process can serve")
		e.signal(older, syscall.SIGTERM)
		time.AfterFunc(3700*time.Millisecond, func() { e.signal(older, syscall.SIGKILL) })
	}
	clients.Wait()
	for _, p := range []*proc{older, newer} {
		if p != nil {
			e.tail(p.name, 12)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if answered+lost == 0 {
		return cannot
	}
	e.say("of 10 requests: %d answered, %d of them with another's result, %d without an answer; %d jobs at workers that no client sent", answered, wrong, lost, foreign)
	if lost+wrong+foreign > 0 {
		return broken
	}
	return held
}

func aheadSettings() object {
	s := suvaSettings()
	s["categories"] = []object{
		{"name": "thumb", "semantics": "repeatable", "due_time": 14000000, "expiry": 15000000, "credit": 5.0},
		{"name": "order", "semantics": "once", "due_time": 14000000, "expiry": 15000000, "credit": 8.0}}
	return s
}
