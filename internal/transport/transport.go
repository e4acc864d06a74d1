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
	clients   *clientServer
	workers   *workerPool
	discovery *discoveryClient
	peers     *peerLink
	options   Options
	node      *node.Node
	stop      context.CancelFunc
	running   sync.WaitGroup
	limitMu   sync.Mutex // of o.Sockets and half
	halved    bool
}

// Parts of the limit on sockets; what is left is for discovery, siblings, files and the runtime's own. Half may
// wait for their work items' answers; the rest of the clients' part is for callbacks and idle connections.
const (
	clientShare       = 0.6
	workerShare       = 0.3
	reservedSockets   = 16   // three files, two listeners, the poller's, calls of discovery, a connection that is being refused
	clientShareOfRest = 0.65 // of the rest, at most
	// Where that leaves next to nothing: a job, its worker's callback and one that comes; a hand-off and a giving up.
	minClientConns   = 4
	minWorkerConns   = 2
	minCallbackConns = 2 // of the clients' part, for callbacks alone, and a sixth of it if that is more
)

// Start listens and begins to serve. The node's queue takes what comes in; it need not run yet.
func Start(o Options, n *node.Node) (*Transport, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &Transport{options: o, node: n, stop: stop}
	p.workers = newWorkers(n, o)
	p.discovery = newDiscovery(ctx, n, o, &p.running)
	var err error
	if p.peers, err = listenPeers(o, n); err == nil {
		p.clients, err = listenClients(o, n)
	}
	if err != nil {
		stop()
		p.peers.close()
		return nil, fmt.Errorf("start: %w", err)
	}
	p.clients.handOver = p.handOver
	p.clients.onConnError, p.workers.onConnError, p.discovery.onConnError = p.onConnError, p.onConnError, p.onConnError
	for _, f := range o.InheritedSockets { // the parts have copies
		f.Close()
	}
	p.SetHalfLimits(len(o.InheritedSockets) > 0)
	if len(o.InheritedSockets) > 0 {
		p.Pause() // until the older process has handed over
	}
	p.running.Go(func() { p.workers.closeExpired(ctx) })
	p.running.Go(func() { p.peers.send(ctx) })
	p.running.Go(p.peers.receive)
	p.running.Go(p.clients.serve)
	return p, nil
}

// short is told why a connection did not come up or in. Where the system had no descriptor left it may allow fewer than it did:
// clients and workers get their parts of these. Without that, clients that only connect would take each that becomes free.
func (p *Transport) onConnError(err error) {
	if p.options.SystemSocketLimit == nil || !errors.Is(err, syscall.EMFILE) {
		return
	}
	p.limitMu.Lock()
	if now := p.options.SystemSocketLimit(); now < p.options.MaxSockets {
		slog.Warn("limits", "sockets", now, "was", p.options.MaxSockets)
		p.options.MaxSockets = now
		p.applyLimits()
	}
	p.limitMu.Unlock()
	for p.clients.overLimit() && p.clients.evictOne(nil) {
	}
}

// Send starts a hand-off.
func (p *Transport) Send(s node.HandOffRequest) node.Attempt { return p.workers.startHandOff(s) }

// Continue takes up a hand-off that another process made.
func (p *Transport) AdoptHandOff(s node.HandOffRequest) node.Attempt { return p.workers.adopt(s) }

// Watch opens a watch on discovery.
func (p *Transport) Watch(number int, addr string, after int64) {
	p.discovery.watch(number, addr, after)
}

// Unwatch ends a watch.
func (p *Transport) Unwatch(number int) { p.discovery.unwatch(number) }

// Tell sends a message to siblings.
func (p *Transport) SendToPeer(to int, data []byte) { p.peers.enqueue(to, data) }

// Drain has connections closed with their next deferral; or hands over, if there is a newer process, and has them closed
// with their next answer.
func (p *Transport) Drain(known func() node.TakeoverState) (succeeded bool) {
	p.clients.closeAfterDeferral.Store(true)
	if p.options.Exchange != nil && p.options.Exchange.Stop(func() []byte { return encodeTakeoverState(known()) }) {
		p.clients.closeAfterAnswer.Store(true)
		return true
	}
	return false
}

// Dismiss closes connections that wait for a request, and the others with their next answer.
func (p *Transport) CloseIdle() {
	p.clients.closeAfterAnswer.Store(true)
	p.clients.closeIdle()
}

// Close lets requests and answers under way come to their end, for a short time, and ends everything.
func (p *Transport) Close() {
	p.clients.close(readTimeout) // what has begun to come in is whole by then, or never
	p.workers.close(time.Second)
	p.stop()
	p.peers.close()
	p.running.Wait()
}
