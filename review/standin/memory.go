package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// The limits are the defaults of the README, and the most that DEPLOY names for the days that are scored.
const (
	memoryMB   = 192
	sockets    = 1024
	badClients = 600      // "hundreds of requests at once"
	headLines  = 2900     // of 5 bytes: the head stays under 16 KiB
	bodyBytes  = 64 << 10 // "bodies hold at most 64 KiB"
)

// anonymous returns a process's resident memory without pages of files, in KiB.
func anonymous(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// playMemory: usual clients at two workers; then bad clients by hundreds, one large job each.
func playMemory(e *env) int {
	listen := e.freeAddr()
	var members []object
	for k := range 2 {
		w := e.startWorker(fmt.Sprintf("s-%d", k+1), listen)
		members = append(members, member(w.id, w.addr))
	}
	d := e.startDiscovery(members...)
	config := e.writeJSON("config.json", object{"name": "n0", "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "settings": suvaSettings()})
	p := e.spawn("n0", e.deployRun(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+d.addr, "ROUTER_CONFIG="+config)
	e.awaitReady(listen, 10*time.Second)

	// The platform: over the limit the process is killed.
	var peak, over atomic.Int64
	go func() {
		for !p.ended() {
			kb := anonymous(p.cmd.Process.Pid)
			peak.Store(max(peak.Load(), int64(kb)))
			if kb > memoryMB<<10 && over.CompareAndSwap(0, int64(kb)) {
				e.say("platform: %d KiB of anonymous memory, over the limit of %d KiB: the process is killed", kb, memoryMB<<10)
				p.cmd.Process.Signal(syscall.SIGKILL)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()

	// Usual clients: one job each 300 ms.
	var clients sync.WaitGroup
	var served, refused, lost atomic.Int64
	usual := func(until time.Duration) {
		for k, end := 0, time.Now().Add(until); time.Now().Before(end) && !p.ended(); k++ {
			id := fmt.Sprintf("usual-%d-%d", time.Since(e.start).Milliseconds(), k)
			clients.Go(func() {
				switch a := ask(listen, "/order/"+id, id, 5*time.Second, 500000, []byte("body")); {
				case a.status == 200:
					served.Add(1)
				case a.status != 0:
					refused.Add(1)
					e.say("client of %s: status %d", id, a.status)
				default:
					lost.Add(1)
					e.say("client of %s: no answer, %v", id, a.err)
				}
			})
			time.Sleep(300 * time.Millisecond)
		}
	}
	usual(3 * time.Second)
	e.say("so far: peak %d KiB, %d served, %d refused, %d without an answer", peak.Load(), served.Load(), refused.Load(), lost.Load())
	if e.trouble {
		e.say("%d clients connect and send one job each: a head of %d short lines, a body of %d bytes", badClients, headLines, bodyBytes)
		more := append([]byte("\r\n"), bytes.Repeat([]byte("a:b\r\n"), headLines)...)
		body := bytes.Repeat([]byte("x"), bodyBytes)
		var conns []net.Conn
		for k := range badClients {
			c, err := net.DialTimeout("tcp4", listen, time.Second)
			if err != nil {
				break
			}
			conns = append(conns, c)
			go func() {
				c.SetWriteDeadline(time.Now().Add(3 * time.Second))
				c.Write(bytes.Replace(requestBytes(listen, "/thumb/x", fmt.Sprintf("bad-%d", k), 5*time.Second, 200000, body), []byte("\r\n"), more, 1))
			}()
		}
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
	}
	usual(4 * time.Second)
	clients.Wait()
	e.say("in all: peak %d KiB, %d usual jobs served, %d refused, %d without an answer", peak.Load(), served.Load(), refused.Load(), lost.Load())
	switch {
	case over.Load() > 0:
		e.say("BROKEN: the process went over memory_mb and was killed: a crash")
		return broken
	case p.ended():
		e.say("BROKEN: the process ended: %v", p.err)
		return broken
	}
	return held
}
