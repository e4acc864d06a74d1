package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

// attempts judges the rule on second copies from what the workers see: where the settings allow none, no attempt may
// come in while an earlier one of the same request has neither ended nor been given up.
type attempts struct {
	e    *env
	mu   sync.Mutex
	open map[string]map[string]time.Time // by request and worker: when the attempt came
	bad  int
}

func (a *attempts) came(w *worker, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.e.say("%s: attempt of %s came, X-Deadline %s", w.id, id, r.Header.Get("X-Deadline"))
	for at, since := range a.open[id] {
		a.bad++
		a.e.say("BROKEN: a second copy of %s at %s: the attempt at %s, %d ms old, has neither ended nor been given up", id, w.id, at, time.Since(since).Milliseconds())
	}
	if a.open[id] == nil {
		a.open[id] = map[string]time.Time{}
	}
	a.open[id][w.id] = time.Now()
}

func (a *attempts) gone(w *worker, id, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.e.say("%s: %s of %s", w.id, how, id)
	delete(a.open[id], w.id)
}

// playCopies: two workers. The first has other schedulers' work in front of it once, and for 24 s its
// connections are dropped unseen after a second without use.
func playCopies(e *env) int {
	listen := e.freeAddr()
	judge := &attempts{e: e, open: map[string]map[string]time.Time{}}
	var workers []*worker
	var members []object
	for k := range 2 {
		w := e.startWorker(fmt.Sprintf("s-%d", k+1), listen)
		w.onJob, w.onGone = judge.came, judge.gone
		workers = append(workers, w)
		members = append(members, member(w.id, w.addr))
	}
	d := e.startDiscovery(members...)
	config := e.writeJSON("config.json", object{"name": "n0", "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": lakeshoreSettings()})
	p := e.spawn("n0", e.deployRun(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+d.addr, "ROUTER_CONFIG="+config)
	e.awaitReady(listen, 10*time.Second)
	var clients sync.WaitGroup
	send := func(id string) {
		clients.Go(func() {
			a := ask(listen, "/thumb/"+id, id, 10*time.Second, 600000, []byte("body"))
			e.say("client of %s: status %d after %d ms, %q, err %v", id, a.status, a.took.Milliseconds(), a.body, a.err)
		})
	}
	for k := range 4 { // the dispatcher learns what a job takes
		send(fmt.Sprintf("learn-%d", k))
		time.Sleep(800 * time.Millisecond)
	}
	clients.Wait()
	// Both workers are used at once, then the first gets other schedulers' work, and each gets one job.
	send("pair-0")
	send("pair-1")
	clients.Wait()
	if e.trouble {
		workers[0].setForget(time.Second)
		e.say("s-1: for 24 s its connections are dropped unseen after 1 s without use")
	}
	e.say("s-1: 5 s of other schedulers' work")
	workers[0].add(&job{took: 5 * time.Second, foreign: true})
	spell := time.Now().Add(24 * time.Second)
	send("job-0")
	send("job-1")
	for k := 2; k < 8; k++ {
		time.Sleep(900 * time.Millisecond)
		send(fmt.Sprintf("job-%d", k))
	}
	clients.Wait()
	time.Sleep(time.Until(spell))
	workers[0].setForget(0)
	if p.ended() {
		e.fatal("the dispatcher ended: %v", p.err)
	}
	judge.mu.Lock()
	defer judge.mu.Unlock()
	e.say("second copies: %d", judge.bad)
	if judge.bad > 0 {
		return broken
	}
	return held
}
