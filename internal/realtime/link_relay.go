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
type manner struct {
	what string        // empty: it passes; else the fault's name without link_
	late time.Duration // of late
}

// relay is one way to a member's address, for one other member.
type relay struct {
	l      net.Listener
	target string
	mu     sync.Mutex
	change chan struct{} // closed when a manner changes
	up     manner        // from the one that opens
	down   manner
	conns  map[*net.TCPConn]bool
	seen   int64 // bytes passed
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{l: l, target: target, change: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.serve() // ends with the listener
	return r, nil
}

func (r *relay) addr() string { return r.l.Addr().String() }

// set gives one direction another manner.
func (r *relay) set(up bool, m manner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if up {
		r.up = m
	} else {
		r.down = m
	}
	close(r.change)
	r.change = make(chan struct{})
	if m.what == "reset" {
		for c := range r.conns {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

func (r *relay) manner(up bool) (manner, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if up {
		return r.up, r.change
	}
	return r.down, r.change
}

func (r *relay) close() {
	r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
	close(r.change)
	r.change = make(chan struct{})
}

func (r *relay) keep(c net.Conn) *net.TCPConn {
	t := c.(*net.TCPConn)
	r.mu.Lock()
	r.conns[t] = true
	r.mu.Unlock()
	return t
}

func (r *relay) drop(c *net.TCPConn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

func (r *relay) serve() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		m, _ := r.manner(true)
		from := r.keep(c)
		if m.what == "cut" || m.what == "reset" { // nobody is there
			_ = from.SetLinger(0)
			r.drop(from)
			continue
		}
		go r.carry(from)
	}
}

func (r *relay) carry(from *net.TCPConn) {
	defer r.drop(from)
	c, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := r.keep(c)
	defer r.drop(to)
	done := make(chan struct{}, 2)
	go func() { r.copy(from, to, true); done <- struct{}{} }()
	go func() { r.copy(to, from, false); done <- struct{}{} }()
	<-done
}

// piece is what was read at once.
type piece struct {
	at   time.Time
	data []byte
}

// copy carries one direction: bytes keep their order, and those that are lost leave the connection half open.
func (r *relay) copy(from, to *net.TCPConn, up bool) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now(), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		go func() {
			for range pieces { // let the reader end
			}
		}()
	}()
	for p := range pieces {
		if !r.pass(p, to, up) {
			return
		}
	}
}

// pass writes a piece as the manner of the moment says; false: the connection has ended.
func (r *relay) pass(p piece, to *net.TCPConn, up bool) bool {
	for {
		m, change := r.manner(up)
		switch m.what {
		case "cut", "reset":
			_ = to.SetLinger(0)
			return false
		case "oneway", "half": // swallowed: neither side is told
			return true
		case "held":
			select {
			case <-change:
			case <-time.After(10 * time.Second):
				return false
			}
			continue
		case "late":
			select { // a change of manner lets it go at once
			case <-change:
			case <-time.After(time.Until(p.at.Add(m.late))):
			}
		case "trickle":
			if _, err := to.Write(p.data[:1]); err != nil {
				return false
			}
			if p.data = p.data[1:]; len(p.data) == 0 {
				return true
			}
			select {
			case <-change:
			case <-time.After(time.Second):
			}
			continue
		}
		_, err := to.Write(p.data)
		return err == nil
	}
}
