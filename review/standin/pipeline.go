package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// playPipeline: six clients hand in a short job and a long one on one connection each. With the trouble they send both
// at once; without it they wait for the first answer, as one request at a time is usual.
func playPipeline(e *env) int {
	listen := e.freeAddr()
	var members []object
	for k := range 8 {
		w := e.startWorker(fmt.Sprintf("s-%d", k+1), listen)
		members = append(members, member(w.id, w.addr))
	}
	d := e.startDiscovery(members...)
	config := e.writeJSON("config.json", object{"name": "n0", "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": suvaSettings()})
	e.spawn("n0", e.deployRun(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+d.addr, "ROUTER_CONFIG="+config)
	e.awaitReady(listen, 10*time.Second)

	// A job has to be answered half a second after its time at the latest (STANDING); 50 ms are for this script.
	const excuse = 550 * time.Millisecond
	type request struct {
		id, path string
		deadline time.Duration
		micros   int
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, answered := 0, 0
	for k := range 6 {
		clients.Go(func() {
			jobs := []request{{fmt.Sprintf("short-%d", k), "/thumb/x", 2 * time.Second, 200000}, {fmt.Sprintf("long-%d", k), "/order/x", 8 * time.Second, 4000000}}
			c, err := net.DialTimeout("tcp4", listen, time.Second)
			if err != nil {
				e.say("client %d: %v", k, err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(12 * time.Second))
			var sentAt [2]time.Time
			send := func(from, to int) {
				var all []byte
				for n := from; n < to; n++ {
					all = append(all, requestBytes(listen, jobs[n].path, jobs[n].id, jobs[n].deadline, jobs[n].micros, []byte("body"))...)
					sentAt[n] = time.Now()
				}
				c.Write(all)
			}
			if e.trouble {
				send(0, 2)
			}
			in := bufio.NewReader(c)
			for n, j := range jobs {
				if !e.trouble {
					send(n, n+1)
				}
				r, err := http.ReadResponse(in, nil)
				took := time.Since(sentAt[n])
				mu.Lock()
				if err != nil || took > j.deadline+excuse {
					late++
					e.say("BROKEN: client %d: the answer to %s came after %d ms, its time was %d ms: lost (%v)", k, j.id, took.Milliseconds(), j.deadline.Milliseconds(), err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
				text, _ := io.ReadAll(r.Body)
				mu.Lock()
				answered++
				e.say("client %d: %s answered %d after %d ms, %q", k, j.id, r.StatusCode, took.Milliseconds(), text)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	e.say("of 12 requests: %d answered, %d lost", answered, late)
	switch {
	case late > 0:
		return broken
	case answered < 12:
		return cannot
	}
	return held
}
