package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleetFile writes an operator's file with one voter.
func (s *stage) fleetFile(voter, voterAddr string) string {
	path := filepath.Join(s.tmp, "fleet.toml")
	text := fmt.Sprintf("[fleet]\nname = \"kitchen\"\nvoters = [\"%s %s\"]\nfolder = \"%s\"\n", voter, voterAddr, filepath.Join(s.tmp, "folder"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return path
}

// memberFile writes the same file for a member that reaches the voter by a relay.
func (s *stage) memberFile(file, voterAddr, relayAddr string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	path := filepath.Join(s.tmp, "member.toml")
	text = fmt.Appendf(text, "via = [\"%s %s\"]\n", voterAddr, relayAddr)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		panic(err)
	}
	return path
}

// fleet runs an operator's command and returns what it printed.
func (s *stage) fleet(file string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.root, "bin", "weldmast"), append(append([]string{"fleet"}, args...), "--file", file)...)
	cmd.Dir = s.root
	out, err := cmd.CombinedOutput()
	text := strings.ReplaceAll(string(out), s.tmp, "TMP")
	s.note("weldmast fleet %s: %v\n%s", strings.ReplaceAll(strings.Join(args, " "), s.tmp, "TMP"), err, text)
	return text, err
}

// publishDiscovery: discovery was moved by SIGHUP; then a version is published that says nothing of it.
func publishDiscovery(s *stage) error {
	listen, voterAddr := freeAddr(), freeAddr()
	off := make(chan struct{})
	drains := newWorker(s, "s-1old", listen, "suva", 1, nil)
	drains.take = func(j *job) bool {
		go func() {
			if !j.work(4*time.Second, off) {
				j.tell("lost", nil)
				return
			}
			j.effect()
			j.tell("done", obj{"result": "done by " + j.worker.id})
		}()
		return true
	}
	stays := newWorker(s, "s-2new", listen, "suva", 2, serve(4*time.Second))
	old := newDiscovery(s, "old discovery", drains.member("in_service"), stays.member("in_service"))
	moved := newDiscovery(s, "new discovery", drains.member("in_service"), stays.member("in_service"))
	defer moved.close()
	file := s.fleetFile("n0", voterAddr)
	write := func(at string) string {
		return s.writeJSON("config.json", config("n0", listen, at, []string{"suva"}, category("thumb", "repeatable", 5, nil), category("order", "once", 10, nil)))
	}
	path := write(old.addr)
	p, err := s.start("n0", "exec bin/weldmast-voter", "ROUTER_CONFIG="+path, "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+old.addr, "WELDMAST_FILE="+file)
	if err != nil {
		return err
	}
	if err := waitFor("n0 to be ready", 10*time.Second, func() bool { return says200("http://" + listen + "/ready") }); err != nil {
		return err
	}
	if err := waitFor("the voter", 20*time.Second, func() bool {
		out, err := s.fleet(file, "status")
		time.Sleep(200 * time.Millisecond)
		return err == nil && strings.Contains(out, "current")
	}); err != nil {
		return err
	}
	write(moved.addr)
	s.signal(p, syscall.SIGHUP)
	if err := waitFor("a watch at the new discovery", 4*time.Second, func() bool { return moved.watchers() > 0 }); err != nil {
		return err
	}
	until(time.Now(), 4) // after SIGHUP a change counts 4 s later
	old.close()
	if s.trouble {
		version := s.writeJSON("version.json", obj{"mark": "autumn"})
		if _, err := s.fleet(file, "publish", version, "--wait"); err != nil {
			return fmt.Errorf("%w: publish: %w", errSetup, err)
		}
	}
	time.Sleep(time.Second)
	s.note("watches at the new discovery: %d", moved.watchers())
	drains.mu.Lock()
	before := len(drains.attempts)
	drains.mu.Unlock()
	told := time.Now()
	moved.set(drains.member("terminating"))
	// What discovery has counts as told 6 s later at the latest; the grace is 0.5 s, and 50 ms on sockets.
	until(told, 7)
	var got []<-chan answer
	for k := range 8 {
		got = append(got, submit(s, listen, "/order/7f3a9c21e0b4d655", fmt.Sprintf("a0%014x", k), 9, 1))
		time.Sleep(100 * time.Millisecond)
	}
	until(told, 10)
	s.note("%s is switched off, 10 s after it began to drain", drains.id)
	close(off)
	moved.set(drains.member("terminated"))
	statuses := map[int]int{}
	for _, g := range got {
		statuses[(<-g).status]++
	}
	drains.mu.Lock()
	late := drains.attempts[before:]
	drains.mu.Unlock()
	if len(late) > 0 {
		s.breaks("%d attempts at %s, the first %.3f s after discovery told that it drains; answers by status: %v", len(late), drains.id, late[0].at.Sub(told).Seconds(), statuses)
	}
	return nil
}

// relay passes connections on to an address. While it swallows, what is sent on connections that began after since
// goes nowhere, in both directions, and these stay open.
type relay struct {
	addr string
	mu   sync.Mutex
	held chan struct{} // closed when it passes on again; nil: it does
	from time.Time
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &relay{addr: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			began := time.Now()
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				go func() { r.pass(out, in, began); in.Close() }()
				r.pass(in, out, began)
			}()
		}
	}()
	return r
}

// pass copies from one side to the other, and waits while the relay swallows.
func (r *relay) pass(from, to net.Conn, began time.Time) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		r.mu.Lock()
		held := r.held
		if !began.After(r.from) {
			held = nil
		}
		r.mu.Unlock()
		if held != nil {
			<-held
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) swallow(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held, r.from = make(chan struct{}), since
}

func (r *relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		close(r.held)
		r.held = nil
	}
}

// fenceSuccessor: a member's process is replaced; the newer one's link to the council swallows while a version is
// published with a fence.
func fenceSuccessor(s *stage) error {
	listen, voterListen, voterAddr := freeAddr(), freeAddr(), freeAddr()
	w := newWorker(s, "s-1one", listen, "suva", 1, nil)
	w.take = func(j *job) bool {
		run := 100 * time.Millisecond
		if strings.HasPrefix(j.path, "/order/") {
			run = 6 * time.Second
		}
		return serve(run)(j)
	}
	var workers []*worker
	members := []obj{w.member("in_service")}
	workers = append(workers, w)
	for k := range 5 {
		more := newWorker(s, fmt.Sprintf("s-%dmore", k+2), listen, "suva", k+2, serve(100*time.Millisecond))
		more.take = w.take
		workers, members = append(workers, more), append(members, more.member("in_service"))
	}
	d := newDiscovery(s, "discovery", members...)
	defer d.close()
	file := s.fleetFile("v0", voterAddr)
	link := newRelay(voterAddr)
	memberFile := s.memberFile(file, voterAddr, link.addr)
	categories := []obj{category("thumb", "repeatable", 5, nil), category("order", "once", 10, nil)}
	path := s.writeJSON("config.json", config("n1", listen, d.addr, []string{"suva"}, categories...))
	voterPath := s.writeJSON("voter.json", config("v0", voterListen, d.addr, []string{"suva"}, categories...))
	if _, err := s.start("voter", "exec bin/weldmast-voter", "ROUTER_CONFIG="+voterPath, "WELDMAST_FILE="+file); err != nil {
		return err
	}
	p, err := s.dispatcher("old", path, "WELDMAST_FILE="+memberFile)
	if err != nil {
		return err
	}
	if err := waitFor("both members", 20*time.Second, func() bool {
		out, err := s.fleet(file, "status")
		time.Sleep(200 * time.Millisecond)
		return err == nil && strings.Count(out, "current") >= 2
	}); err != nil {
		return err
	}
	if _, err := s.fleet(file, "publish", s.writeJSON("one.json", obj{"mark": "one"}), "--fence", "--wait"); err != nil {
		return fmt.Errorf("%w: publish: %w", errSetup, err)
	}
	started := time.Now()
	if _, err := s.dispatcher("new", path, "WELDMAST_FILE="+memberFile); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // it has the version in force
	for k := range 3 {
		if a := <-submit(s, listen, "/thumb/a", fmt.Sprintf("b0%014x", k), 4, 0.1); a.status != 200 {
			return fmt.Errorf("%w: a first job gets %v", errSetup, a)
		}
	}
	long := submit(s, listen, "/order/7f3a9c21e0b4d655", "c000000000000001", 9, 6)
	time.Sleep(200 * time.Millisecond)
	s.replace(p)
	time.Sleep(300 * time.Millisecond)
	var clients []*keptClient // they keep their connections
	for k := range 6 {
		c, err := keep(s, listen, fmt.Sprint("client ", k))
		if err != nil {
			return err
		}
		defer c.conn.Close()
		clients = append(clients, c)
		if a := <-c.submit("/thumb/b", fmt.Sprintf("b1%014x", k), 4, 0.1); a.status != 200 {
			return fmt.Errorf("%w: a job at the new process gets %v", errSetup, a)
		}
	}
	jobs := 0
	submitAll := func() {
		var got []<-chan answer
		for _, c := range clients {
			got = append(got, c.submit("/thumb/c", fmt.Sprintf("d%015x", jobs), 4, 0.1))
			jobs++
		}
		for _, g := range got {
			<-g
		}
	}
	swallowed := time.Now()
	if s.trouble {
		s.note("the newer process's link to the council swallows")
		link.swallow(started)
	}
	two := s.writeJSON("two.json", obj{"mark": "two"})
	told := make(chan time.Time, 1) // that the fence is complete
	go func() {
		if _, err := s.fleet(file, "publish", two, "--fence", "--wait"); err == nil {
			told <- time.Now()
		}
	}()
	var complete time.Time
	select {
	case complete = <-told:
		s.note("the fence was told to be complete after %.3f s", time.Since(swallowed).Seconds())
	case <-time.After(1500 * time.Millisecond):
		s.note("the fence was not told to be complete in 1.5 s")
	}
	for range 3 {
		submitAll()
	}
	if s.trouble {
		s.note("the link passes on again, %.3f s later", time.Since(swallowed).Seconds())
		link.release()
	}
	late := 0
	var last time.Time
	for _, w := range workers {
		w.mu.Lock()
		for _, j := range w.attempts {
			if !complete.IsZero() && j.at.After(complete) && j.mark == "one" {
				late++
				if j.at.After(last) {
					last = j.at
				}
			}
		}
		w.mu.Unlock()
	}
	if late > 0 {
		s.breaks("%d hand-offs under the older version after the fence was told to be complete, the last %.3f s later", late, last.Sub(complete).Seconds())
	}
	<-long
	return nil
}
