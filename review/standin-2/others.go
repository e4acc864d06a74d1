package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// newZones: a new configuration names further zones, workers come up there, and a connection is reset under a
// request.
func newZones(s *stage) error {
	listen := freeAddr()
	const id = "77c2ab31d5e7f804"
	var resets = make(chan *job, 1)
	work := func(j *job) bool { return serve(300 * time.Millisecond)(j) }
	home := newWorker(s, "s-1suva", listen, "suva", 1, work)
	west, north := newWorker(s, "s-2west", listen, "lautoka", 2, work), newWorker(s, "s-3north", listen, "nadi", 3, work)
	for _, w := range []*worker{west, north} {
		w.reset = func(j *job) bool {
			if !s.trouble || j.id != id || len(resets) == cap(resets) {
				return false
			}
			resets <- j
			go func() { time.Sleep(300 * time.Millisecond); j.effect() }()
			return true
		}
	}
	d := newDiscovery(s, "discovery", home.member("in_service"))
	defer d.close()
	kind := category("stock", "by_key", 5, obj{"group": "zone", "window": 4000000})
	path := s.writeJSON("config.json", config("n0", listen, d.addr, []string{"suva"}, kind))
	p, err := s.startRun("n0", "ROUTER_CONFIG="+path)
	if err != nil {
		return err
	}
	if err := waitFor("n0 to be ready", 10*time.Second, func() bool { return says200("http://" + listen + "/ready") }); err != nil {
		return err
	}
	if a := <-submit(s, listen, "/stock/a", "b000000000000000", 4, 0.3); a.status != 200 {
		return fmt.Errorf("%w: a first job gets %v", errSetup, a)
	}
	s.writeJSON("config.json", config("n0", listen, d.addr, []string{"suva", "lautoka", "nadi"}, kind))
	s.signal(p, syscall.SIGHUP)
	time.Sleep(time.Second)
	d.set(west.member("in_service"))
	d.set(north.member("in_service"))
	d.set(home.member("terminating"))
	time.Sleep(time.Second)
	a := <-submit(s, listen, "/stock/91f03b7c55d20a64", id, 4, 0.3)
	time.Sleep(500 * time.Millisecond)
	tries := all(id, west, north)
	if len(tries) > 1 {
		s.breaks("the request %s went to the zones %s and %s; effects at %v; the client got %d", id, tries[0].worker.zone, tries[1].worker.zone, effects(id, west, north), a.status)
	}
	return nil
}

// pipelined: a client sends many requests at once on a connection.
func pipelined(s *stage) error {
	listen := freeAddr()
	var workers []*worker
	var members []obj
	for k := range 8 {
		w := newWorker(s, fmt.Sprintf("s-%dw", k), listen, "suva", k, serve(600*time.Millisecond))
		workers, members = append(workers, w), append(members, w.member("in_service"))
	}
	d := newDiscovery(s, "discovery", members...)
	defer d.close()
	path := s.writeJSON("config.json", config("n0", listen, d.addr, []string{"suva"}, category("thumb", "repeatable", 5, nil)))
	if _, err := s.startRun("n0", "ROUTER_CONFIG="+path); err != nil {
		return err
	}
	if err := waitFor("n0 to be ready", 10*time.Second, func() bool { return says200("http://" + listen + "/ready") }); err != nil {
		return err
	}
	const commands, deadline = 8, 2.0
	var answers []answer
	if s.trouble {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		defer conn.Close()
		text := ""
		for k := range commands {
			text += request(listen, "/thumb/a", fmt.Sprintf("d0%014x", k), deadline, 0.6)
		}
		io.WriteString(conn, text)
		sent := time.Now()
		conn.SetReadDeadline(sent.Add(30 * time.Second))
		in := bufio.NewReader(conn)
		for k := range commands {
			a := read(in, sent)
			s.note("client: command %d gets %v", k, a)
			if answers = append(answers, a); a.err != nil {
				break
			}
		}
	} else {
		var got []<-chan answer
		for k := range commands {
			got = append(got, submit(s, listen, "/thumb/a", fmt.Sprintf("d0%014x", k), deadline, 0.6))
		}
		for _, g := range got {
			answers = append(answers, <-g)
		}
	}
	for k, a := range answers {
		if a.err != nil || a.after.Seconds() > deadline+0.55 {
			s.breaks("command %d: %v; its time was %.1f s", k, a, deadline)
		}
	}
	return nil
}

// reloadSlow: new configurations in quick succession while discovery is slow.
func reloadSlow(s *stage) error {
	listen := freeAddr()
	drains := newWorker(s, "s-1old", listen, "suva", 1, serve(300*time.Millisecond))
	stays := newWorker(s, "s-2new", listen, "suva", 2, serve(300*time.Millisecond))
	d := newDiscovery(s, "discovery", drains.member("in_service"), stays.member("in_service"))
	defer d.close()
	write := func(credit float64) string {
		c := config("n0", listen, d.addr, []string{"suva"}, category("thumb", "repeatable", 5, nil))
		c["settings"].(obj)["excess_credit"] = credit
		return s.writeJSON("config.json", c)
	}
	p, err := s.startRun("n0", "ROUTER_CONFIG="+write(0.5))
	if err != nil {
		return err
	}
	if err := waitFor("n0 to be ready", 10*time.Second, func() bool { return says200("http://" + listen + "/ready") }); err != nil {
		return err
	}
	time.Sleep(time.Second)
	d.mu.Lock()
	d.delay = 2200 * time.Millisecond
	d.mu.Unlock()
	began := time.Now()
	const reloads = 6
	go func() {
		for k := 0; s.trouble && k < reloads; k++ {
			until(began, 2*float64(k))
			write(0.5 + float64(k)/100)
			s.signal(p, syscall.SIGHUP)
		}
	}()
	until(began, 0.5)
	told := time.Now()
	d.set(drains.member("terminating"))
	until(told, 7)
	for k := range 12 {
		submit(s, listen, "/thumb/a", fmt.Sprintf("e0%014x", k), 4, 0.3)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(time.Second)
	drains.mu.Lock()
	defer drains.mu.Unlock()
	late := 0
	for _, j := range drains.attempts {
		if j.at.Sub(told) > 6550*time.Millisecond {
			late++
		}
	}
	if late > 0 {
		s.breaks("%d attempts at %s later than 6.55 s after discovery had that it drains", late, drains.id)
	}
	return nil
}
