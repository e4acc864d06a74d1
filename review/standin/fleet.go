package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fence"] = playFence }

// fleetMember is one dispatcher of a fleet with discovery and a worker of its own.
type fleetMember struct {
	name, listen, config, program string
	p                             *proc
	discovery                     *discovery
}

// act is a hand-off as a worker sees it.
type act struct {
	at           time.Time
	member, id   string
	mark, worker string
}

type fleet struct {
	e       *env
	file    string
	members []*fleetMember
	mu      sync.Mutex
	acts    []act
}

const (
	oldMark = "summer" // of each member's own configuration
	newMark = "autumn" // of version 1
)

// newFleet prepares voters n0 to n2 and followers n3 to n5 that serve alone, with the defaults of docs/fleet.md.
func newFleet(e *env, more string) *fleet {
	f := &fleet{e: e}
	voters := ""
	for k := range 3 {
		voters += fmt.Sprintf("%q, ", fmt.Sprintf("n%d %s", k, e.freeAddr()))
	}
	f.file = e.writeFile("fleet.toml", []byte(fmt.Sprintf("[fleet]\nname = \"kitchen\"\nvoters = [%s]\nfolder = %q\n%s", voters, filepath.Join(e.dir, "folder"), more)))
	for k := range 6 {
		m := &fleetMember{name: fmt.Sprintf("n%d", k), listen: e.freeAddr(), program: e.deployRun()}
		if k < 3 {
			m.program += "-voter" // docs/fleet.md: voters run bin/weldmast-voter
		}
		w := e.startWorker("s-"+m.name, m.listen)
		w.onJob = func(_ *worker, r *http.Request) {
			e.say("%s: job %s under %q", w.id, r.Header.Get("X-Request-Id"), r.Header.Get("X-Release"))
			f.mu.Lock()
			f.acts = append(f.acts, act{time.Now(), m.name, r.Header.Get("X-Request-Id"), r.Header.Get("X-Release"), w.id})
			f.mu.Unlock()
		}
		m.discovery = e.startDiscovery(member(w.id, w.addr))
		m.config = e.writeJSON(m.name+".json", object{"name": m.name, "listen": m.listen, "discovery": m.discovery.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
			"mark": oldMark, "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": suvaSettings()})
		f.members = append(f.members, m)
	}
	return f
}

func (f *fleet) start(m *fleetMember, more ...string) *proc {
	m.p = f.e.spawn(m.name, m.program, append([]string{"ROUTER_NAME=" + m.name, "ROUTER_LISTEN=" + m.listen, "ROUTER_DISCOVERY=" + m.discovery.addr,
		"ROUTER_CONFIG=" + m.config, "WELDMAST_FILE=" + f.file}, more...)...)
	return m.p
}

// command runs a fleet command of the project.
func (f *fleet) command(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(f.e.root, "bin", "weldmast"), append(append([]string{"fleet"}, args...), "--file", f.file)...)
	var out, errs bytes.Buffer
	c.Stdout, c.Stderr = &out, &errs
	err := c.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, errs.String())
	}
	return out.String(), err
}

type fleetStatus struct {
	Fenced          uint64  `json:"fenced"`
	FenceCompleteMs float64 `json:"fence_complete_ms"`
	Waits           []any   `json:"fence_waits_for"`
	Leader          string  `json:"leader"`
	Members         []struct {
		Member   string `json:"member"`
		Standing string `json:"standing"`
		InForce  uint64 `json:"in_force"`
		Cause    string `json:"cause"`
	} `json:"members"`
}

func (f *fleet) status() (s fleetStatus, ok bool) {
	out, err := f.command("status", "--json")
	if err != nil {
		return s, false
	}
	var all struct {
		Status *fleetStatus
	}
	if json.Unmarshal([]byte(out), &all) == nil && all.Status != nil {
		return *all.Status, true
	}
	return s, json.Unmarshal([]byte(out), &s) == nil && s.Leader != ""
}

// awaitCurrent waits until all members stand as current.
func (f *fleet) awaitCurrent(within time.Duration) {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s, ok := f.status()
		if last = fmt.Sprintf("%+v", s); !ok || len(s.Members) != len(f.members) {
			continue
		}
		current := 0
		for _, m := range s.Members {
			if m.Standing == "current" {
				current++
			}
		}
		if current == len(f.members) {
			return
		}
	}
	f.e.fatal("the fleet is not current after %v: %s", within, last)
}

// awaitFence waits until the fence of the version is told to be complete, and returns the instant it tells.
func (f *fleet) awaitFence(version uint64, within time.Duration) time.Time {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s, ok := f.status()
		if last = fmt.Sprintf("%+v", s); ok && s.Fenced == version && s.FenceCompleteMs > 0 {
			return time.UnixMicro(int64(s.FenceCompleteMs * 1000))
		}
	}
	f.e.fatal("the fence is not complete after %v: %s", within, last)
	return time.Time{}
}

// clients hands in a job at a member each 100 ms until stop is closed.
func (f *fleet) clients(m *fleetMember, stop chan bool) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			all.Go(func() {
				id := fmt.Sprintf("%s-%d", m.name, k)
				a := ask(m.listen, "/thumb/"+id, id, 3*time.Second, 20000, nil)
				f.e.say("client of %s: status %d, err %v", id, a.status, a.err)
			})
		}
	})
	return &all
}

// judgeFence counts the hand-offs under an older version that came to a worker after the fence was complete.
func (f *fleet) judgeFence(complete time.Time) (late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := ""
	for _, a := range f.acts {
		if line := fmt.Sprintf("%s under %q", a.member, a.mark); line != last && a.member == "n3" {
			last = line
			f.e.say("at %.3f: from here on hand-offs of %s", a.at.Sub(f.e.start).Seconds(), line)
		}
		if a.mark != newMark && a.at.After(complete.Add(50*time.Millisecond)) {
			if late++; late <= 5 {
				f.e.say("BROKEN: %s handed %s to %s under %q, %d ms after the fence was complete", a.member, a.id, a.worker, a.mark, a.at.Sub(complete).Milliseconds())
			}
		}
	}
	f.e.say("hand-offs under an older version after the fence was complete: %d of %d in all", late, len(f.acts))
	return late
}

// playFence: a version with a fence is published; once the fence is told to be complete, four of six processes are
// killed at once: follower n3 and the voters. n3 is started again at once, the voters 8 s later.
func playFence(e *env) int {
	f := newFleet(e, "")
	for _, m := range f.members {
		f.start(m)
	}
	for _, m := range f.members {
		e.awaitReady(m.listen, 15*time.Second)
	}
	f.awaitCurrent(20 * time.Second)
	e.say("all six members are current")
	n3 := f.members[3]
	stop := make(chan bool)
	clients := f.clients(n3, stop)
	time.Sleep(time.Second)

	// n3 writes its folder each second. The version is published right behind one such write.
	record := filepath.Join(e.dir, "folder", "n3", "record")
	modified := func() time.Time {
		s, err := os.Stat(record)
		if err != nil {
			e.fatal("%v", err)
		}
		return s.ModTime()
	}
	for was := modified(); modified().Equal(was); time.Sleep(5 * time.Millisecond) {
	}
	version := e.writeJSON("version.json", object{"mark": newMark})
	out, err := f.command("publish", version, "--fence")
	if err != nil {
		e.fatal("publish: %v", err)
	}
	e.say("published: %q", out)
	complete := f.awaitFence(1, 10*time.Second)
	e.say("the fence of version 1 is told to be complete, since %.3f", complete.Sub(e.start).Seconds())
	if e.trouble {
		for _, k := range []int{3, 0, 1, 2} {
			e.signal(f.members[k].p, syscall.SIGKILL)
		}
		for _, k := range []int{3, 0, 1, 2} {
			<-f.members[k].p.done
		}
		f.start(n3)
		e.awaitReady(n3.listen, 10*time.Second)
		e.say("n3 is ready again")
		time.Sleep(8 * time.Second)
		for k := range 3 {
			f.start(f.members[k])
		}
		f.awaitCurrent(20 * time.Second)
		e.say("all six members are current again")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	if out, err := f.command("audit", "--version", "1"); err == nil {
		e.say("audit:\n%s", out)
	}
	if f.judgeFence(complete) > 0 {
		return broken
	}
	return held
}
