package main

import (
	"syscall"
	"time"
)

// replace replaces a process by another one, as DAYS has it, and returns the time of its SIGTERM.
func (s *stage) replace(old *process) time.Time {
	at := time.Now()
	s.signal(old, syscall.SIGTERM)
	go func() {
		select {
		case <-old.done:
			s.note("%s has ended", old.name)
		case <-time.After(3700 * time.Millisecond): // the longest deadline, 3 s at most, and 0.7 s
			s.signal(old, syscall.SIGKILL)
		}
	}()
	return at
}

// dispatcher starts a dispatcher by the deploy file's run, and waits until it says that it can serve.
func (s *stage) dispatcher(name, configPath string, env ...string) (*process, error) {
	ops := freeAddr()
	p, err := s.startRun(name, append([]string{"ROUTER_CONFIG=" + configPath, "ROUTER_OPS=" + ops, "TMPDIR=" + s.tmp}, env...)...)
	if err != nil {
		return nil, err
	}
	return p, waitFor(name+" to be ready", 10*time.Second, func() bool { return says200("http://" + ops + "/control/ready") })
}

// upgradeCategories: the process is replaced by one whose configuration has a further category.
func upgradeCategories(s *stage) error {
	listen := freeAddr()
	const id = "5d0c11aa9e3f7721"
	died := make(chan struct{})
	w1 := newWorker(s, "s-0one", listen, "suva", 1, nil)
	w1.take = func(j *job) bool {
		go func() {
			j.work(4500*time.Millisecond, nil)
			j.effect()
			s.note("%s: its process dies before it has told of the end; the machine's agent tells", w1.id)
			close(died)
			j.tell("lost", nil)
		}()
		return true
	}
	w2 := newWorker(s, "s-0two", listen, "suva", 2, serve(500*time.Millisecond))
	d := newDiscovery(s, "discovery", w1.member("in_service"))
	defer d.close()
	thumb, order := category("thumb", "repeatable", 5, nil), category("order", "once", 10, nil)
	before := s.writeJSON("old.json", config("n0", listen, d.addr, []string{"suva"}, thumb, order))
	after := s.writeJSON("new.json", config("n0", listen, d.addr, []string{"suva"}, category("archive", "repeatable", 10, nil), thumb, order))
	p, err := s.dispatcher("old", before)
	if err != nil {
		return err
	}
	next := before
	if s.trouble {
		next = after
	}
	if _, err = s.dispatcher("new", next); err != nil {
		return err
	}
	got := submit(s, listen, "/order/7f3a9c21e0b4d655", id, 10, 1)
	if err := waitFor("the attempt", 2*time.Second, func() bool { return len(all(id, w1)) == 1 }); err != nil {
		return err
	}
	d.set(w2.member("in_service"))
	s.replace(p)
	<-died
	d.set(w1.member("terminated"))
	a := <-got
	time.Sleep(500 * time.Millisecond)
	if n := len(all(id, w1, w2)); n > 1 {
		s.breaks("%d attempts of the request %s, whose category must never run twice; effects at %v; the client got %d", n, id, effects(id, w1, w2), a.status)
	}
	return nil
}

// upgradePod: the process is replaced while the worker of a job dies and leaves the list.
func upgradePod(s *stage) error {
	listen := freeAddr()
	const id = "90c2ab31d5e7f804"
	worked := make(chan *job, 1)
	first := newWorker(s, "s-3one", listen, "van-east", 3, nil)
	first.take = func(j *job) bool {
		go func() {
			j.work(2*time.Second, nil)
			j.effect()
			worked <- j
		}()
		return true
	}
	others := []*worker{newWorker(s, "s-0two", listen, "van-east", 0, serve(200*time.Millisecond)),
		newWorker(s, "s-4six", listen, "van-east", 4, serve(200*time.Millisecond))}
	d := newDiscovery(s, "discovery", first.member("in_service"))
	defer d.close()
	path := s.writeJSON("config.json", config("n0", listen, d.addr, []string{"van-east"},
		category("segment-read", "repeatable", 5, nil), category("pick-submit", "by_key", 5, obj{"group": "cell", "window": 7500000})))
	p, err := s.dispatcher("old", path)
	if err != nil {
		return err
	}
	if s.trouble {
		if _, err := s.dispatcher("new", path); err != nil {
			return err
		}
	}
	began := time.Now()
	got := submit(s, listen, "/pick-submit/91f03b7c55d20a64", id, 5, 0.5)
	if err := waitFor("the attempt", 2*time.Second, func() bool { return len(all(id, first)) == 1 }); err != nil {
		return err
	}
	for _, w := range others {
		d.set(w.member("in_service"))
	}
	if s.trouble {
		s.replace(p)
	}
	j := <-worked
	s.note("%s: its machine goes down before it has told of the end", first.id)
	until(began, 2.4)
	d.set(first.member("terminated"))
	until(began, 3.8)
	s.note("%s: the machine is up again, its agent tells that the job was lost", first.id)
	j.tell("lost", nil)
	a := <-got
	time.Sleep(300 * time.Millisecond)
	for _, again := range all(id, others...) {
		s.breaks("the request %s, which pod 3 had %.3f s before, went to %s of pod %d; effects at %v; the client got %d", id, again.at.Sub(j.at).Seconds(),
			again.worker.id, again.worker.cell, effects(id, append(others, first)...), a.status)
	}
	return nil
}

// upgradeStop: the process is replaced, and the new one is told to stop before the old one has ended.
func upgradeStop(s *stage) error {
	listen := freeAddr()
	const id = "1f6d20cc84a9be37"
	w := newWorker(s, "s-1one", listen, "suva", 1, serve(8*time.Second))
	d := newDiscovery(s, "discovery", w.member("in_service"))
	defer d.close()
	path := s.writeJSON("config.json", config("n0", listen, d.addr, []string{"suva"}, category("thumb", "repeatable", 5, nil), category("order", "once", 10, nil)))
	p, err := s.dispatcher("old", path)
	if err != nil {
		return err
	}
	next, err := s.dispatcher("new", path)
	if err != nil {
		return err
	}
	got := submit(s, listen, "/order/7f3a9c21e0b4d655", id, 10, 1)
	if err := waitFor("the attempt", 2*time.Second, func() bool { return len(all(id, w)) == 1 }); err != nil {
		return err
	}
	at := s.replace(p)
	if s.trouble {
		until(at, 2)
		s.replace(next) // gets SIGTERM, and SIGKILL 3.7 s later
	}
	if a := <-got; a.err != nil {
		s.breaks("the request %s, taken and at its worker, gets %v", id, a)
	}
	return nil
}
