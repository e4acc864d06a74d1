// This file contains the relays between each two processes of a fleet. A relay carries the connections that
// one process opens to the other, byte for byte, until a link fault makes it drop, hold or delay one
// direction. It must never change a byte or the order of bytes.

package realtime

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// linkFault is the fault of one direction of a relay.
type linkFault struct {
	kind  string        // the fault's type without the prefix link_; empty: no fault
	delay time.Duration // of kind late
}

// relay carries the connections of one member to the address of another.
type relay struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	changed     chan struct{} // closed when a fault changes
	forward     linkFault     // from the process that opens the connection
	backward    linkFault
	conns       map[*net.TCPConn]bool
	bytesPassed int64
}

// newRelay starts a relay to a target address.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{listener: l, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.serve() // returns when the listener is closed
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

// setFault replaces the fault of one direction.
func (r *relay) setFault(forward bool, fault linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if forward {
		r.forward = fault
	} else {
		r.backward = fault
	}
	close(r.changed)
	r.changed = make(chan struct{})
	if fault.kind == "reset" {
		for c := range r.conns {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

// currentFault returns the fault of one direction and a channel that is closed when a fault changes.
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
		fault, _ := r.currentFault(true)
		from := r.track(c)
		if fault.kind == "cut" || fault.kind == "reset" { // the connection fails as if the target were down
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

// chunk is the data of one read.
type chunk struct {
	readAt time.Time
	data   []byte
}

// copyDirection carries one direction. Bytes keep their order; if bytes are dropped, the connection stays
// open.
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
			for range chunks { // lets the reading goroutine end
			}
		}()
	}()
	for p := range chunks {
		if !r.deliver(p, to, forward) {
			return
		}
	}
}

// deliver writes a chunk as the current fault demands. It returns false if the connection has ended.
func (r *relay) deliver(p chunk, to *net.TCPConn, forward bool) bool {
	for {
		fault, changed := r.currentFault(forward)
		switch fault.kind {
		case "cut", "reset":
			_ = to.SetLinger(0)
			return false
		case "oneway", "half": // dropped; neither side is notified
			return true
		case "held":
			select {
			case <-changed:
			case <-time.After(10 * time.Second):
				return false
			}
			continue
		case "late":
			select { // a change of the fault releases the chunk at once
			case <-changed:
			case <-time.After(time.Until(p.readAt.Add(fault.delay))):
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
