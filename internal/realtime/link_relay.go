// This file owns the relays that stand between each two processes of a fleet: each carries what one of them opens to the
// other, byte for byte, until it is told to lose, hold or slow down what goes one way. It must never change a byte or
// the order of any.

package realtime

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// manner is how a relay treats one direction.
type linkFault struct {
	kind  string        // empty: it passes; else the fault's name without link_
	delay time.Duration // of late
}

// relay is one way to a member's address, for one other member.
type relay struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	changed     chan struct{} // closed when a manner changes
	forward     linkFault     // from the one that opens
	backward    linkFault
	conns       map[*net.TCPConn]bool
	bytesPassed int64 // bytes passed
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{listener: l, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.serve() // ends with the listener
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// set gives one direction another manner.
func (r *relay) setFault(forward bool, m linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if forward {
		r.forward = m
	} else {
		r.backward = m
	}
	close(r.changed)
	r.changed = make(chan struct{})
	if m.kind == "reset" {
		for c := range r.conns {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

func (r *relay) currentFault(forward bool) (linkFault, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if forward {
		return r.forward, r.changed
	}
	return r.backward, r.changed
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) track(c net.Conn) *net.TCPConn {
	t := c.(*net.TCPConn)
	r.mu.Lock()
	r.conns[t] = true
	r.mu.Unlock()
	return t
}

func (r *relay) untrack(c *net.TCPConn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		m, _ := r.currentFault(true)
		from := r.track(c)
		if m.kind == "cut" || m.kind == "reset" { // nobody is there
			_ = from.SetLinger(0)
			r.untrack(from)
			continue
		}
		go r.forwardConn(from)
	}
}

func (r *relay) forwardConn(from *net.TCPConn) {
	defer r.untrack(from)
	c, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := r.track(c)
	defer r.untrack(to)
	done := make(chan struct{}, 2)
	go func() { r.copyDirection(from, to, true); done <- struct{}{} }()
	go func() { r.copyDirection(to, from, false); done <- struct{}{} }()
	<-done
}

// piece is what was read at once.
type chunk struct {
	readAt time.Time
	data   []byte
}

// copy carries one direction: bytes keep their order, and those that are lost leave the connection half open.
func (r *relay) copyDirection(from, to *net.TCPConn, forward bool) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{time.Now(), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		go func() {
			for range chunks { // let the reader end
			}
		}()
	}()
	for p := range chunks {
		if !r.deliver(p, to, forward) {
			return
		}
	}
}

// pass writes a piece as the manner of the moment says; false: the connection has ended.
func (r *relay) deliver(p chunk, to *net.TCPConn, forward bool) bool {
	for {
		m, changed := r.currentFault(forward)
		switch m.kind {
		case "cut", "reset":
			_ = to.SetLinger(0)
			return false
		case "oneway", "half": // swallowed: neither side is told
			return true
		case "held":
			select {
			case <-changed:
			case <-time.After(10 * time.Second):
				return false
			}
			continue
		case "late":
			select { // a change of manner lets it go at once
			case <-changed:
			case <-time.After(time.Until(p.readAt.Add(m.delay))):
			}
		case "trickle":
			if _, err := to.Write(p.data[:1]); err != nil {
				return false
			}
			if p.data = p.data[1:]; len(p.data) == 0 {
				return true
			}
			select {
			case <-changed:
			case <-time.After(time.Second):
			}
			continue
		}
		_, err := to.Write(p.data)
		return err == nil
	}
}
