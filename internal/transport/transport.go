// Package platform speaks the users' protocol for a node: HTTP/1.1 with clients and with workers' callbacks
// on one listener, with workers and with discovery, and datagrams with siblings. It decodes each message
// once into a value for the node's queue and encodes each one once. It must never decide anything, retry
// anything or change the node's state.
//
// This file puts the parts together; each of the others owns one neighbour.
package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"weldmast/internal/metrics"
	"weldmast/internal/node"
	"weldmast/internal/settings"
	"weldmast/internal/takeover"
)

// Options is what the parts need to know.
type Options struct {
	Listen             netip.AddrPort
	PeerListen         netip.AddrPort
	Peers              []netip.AddrPort
	PeersAll           netip.AddrPort
	PeerIndex          int // this dispatcher's among the peers
	Names              settings.Names
	Connections        settings.ConnectionSettings
	Expiries           []float64 // of each category
	SecondCopies       bool      // second copies are allowed
	DiscoveryOnRequest bool      // discovery tells only what it is asked for
	MaxSockets         int
	Metrics            *metrics.Metrics // nil: none are asked for
	Guard              node.LeaseGuard  // nil: of no fleet
	// Exchange is with other processes of this dispatcher; nil: there are none, and the addresses are its alone.
	Exchange          *takeover.Exchange
	InheritedSockets  []*os.File      // sockets of an older process, served once it has handed over
	OnShare           func(half bool) // told which part of the bounds is this process's
	SystemSocketLimit func() int      // what Sockets would be by the system's limit of this moment; nil: as it is
}

// Platform is the front of one node.
type Transport struct {
	clients   *clients
	workers   *workers
	discovery *discovery
	siblings  *siblings
	o         Options
	node      *node.Node
	stop      context.CancelFunc
	running   sync.WaitGroup
	sharing   sync.Mutex // of o.Sockets and half
	half      bool
}

// Parts of the limit on sockets; what is left is for discovery, siblings, files and the runtime's own. Half may
// wait for their work items' answers; the rest of the clients' part is for callbacks and idle connections.
const (
	clientPart = 0.6
	workerPart = 0.3
	ownSockets = 16   // three files, two listeners, the poller's, calls of discovery, a connection that is being refused
	clientRest = 0.65 // of the rest, at most
	// Where that leaves next to nothing: a job, its worker's callback and one that comes; a hand-off and a giving up.
	leastClients = 4
	leastWorkers = 2
	leastBacks   = 2 // of the clients' part, for callbacks alone, and a sixth of it if that is more
)

// Start listens and begins to serve. The node's queue takes what comes in; it need not run yet.
func Start(o Options, n *node.Node) (*Transport, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Transport{o: o, node: n, stop: stop}
	p.workers = newWorkers(n, o)
	p.discovery = newDiscovery(ctx, n, o, &p.running)
	var err error
	if p.siblings, err = listenSiblings(o, n); err == nil {
		p.clients, err = listenClients(o, n)
	}
	if err != nil {
		stop()
		p.siblings.close()
		return nil, fmt.Errorf("start: %w", err)
	}
	p.clients.hand = p.hand
	p.clients.short, p.workers.short, p.discovery.short = p.short, p.short, p.short
	for _, f := range o.InheritedSockets { // the parts have copies
		f.Close()
	}
	p.SetHalfLimits(len(o.InheritedSockets) > 0)
	if len(o.InheritedSockets) > 0 {
		p.Pause() // until the older process has handed over
	}
	p.running.Go(func() { p.workers.tidy(ctx) })
	p.running.Go(func() { p.siblings.send(ctx) })
	p.running.Go(p.siblings.receive)
	p.running.Go(p.clients.serve)
	return p, nil
}

// short is told why a connection did not come up or in. Where the system had no descriptor left it may allow fewer than it did:
// clients and workers get their parts of these. Without that, clients that only connect would take each that becomes free.
func (p *Transport) short(err error) {
	if p.o.SystemSocketLimit == nil || !errors.Is(err, syscall.EMFILE) {
		return
	}
	p.sharing.Lock()
	if now := p.o.SystemSocketLimit(); now < p.o.MaxSockets {
		slog.Warn("limits", "sockets", now, "was", p.o.MaxSockets)
		p.o.MaxSockets = now
		p.share()
	}
	p.sharing.Unlock()
	for p.clients.full() && p.clients.makeRoom(nil) {
	}
}

// Send starts a hand-off.
func (p *Transport) Send(s node.HandOffRequest) node.Attempt { return p.workers.send(s) }

// Continue takes up a hand-off that another process made.
func (p *Transport) AdoptHandOff(s node.HandOffRequest) node.Attempt { return p.workers.adopt(s) }

// Watch opens a watch on discovery.
func (p *Transport) Watch(number int, addr string, after int64) {
	p.discovery.watch(number, addr, after)
}

// Unwatch ends a watch.
func (p *Transport) Unwatch(number int) { p.discovery.unwatch(number) }

// Tell sends a message to siblings.
func (p *Transport) SendToPeer(to int, data []byte) { p.siblings.tell(to, data) }

// Drain has connections closed with their next deferral; or hands over, if there is a newer process, and has them closed
// with their next answer.
func (p *Transport) Drain(known func() node.TakeoverState) (succeeded bool) {
	p.clients.leaving.Store(true)
	if p.o.Exchange != nil && p.o.Exchange.HandOver(func() []byte { return encodeKnown(known()) }) {
		p.clients.draining.Store(true)
		return true
	}
	return false
}

// Dismiss closes connections that wait for a request, and the others with their next answer.
func (p *Transport) CloseIdle() {
	p.clients.draining.Store(true)
	p.clients.dismiss()
}

// Close lets requests and answers under way come to their end, for a short time, and ends everything.
func (p *Transport) Close() {
	p.clients.close(readWithin) // what has begun to come in is whole by then, or never
	p.workers.close(time.Second)
	p.stop()
	p.siblings.close()
	p.running.Wait()
}
