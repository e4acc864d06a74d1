// Package transport implements the users' protocol for a node: HTTP/1.1 with clients and for workers'
// callbacks on one listener, HTTP/1.1 with workers and with discovery, and datagrams with peers. It decodes
// each message once into an event for the node's queue and encodes each outgoing message once. It must never
// make decisions, retry anything or change the node's state.
//
// This file assembles the parts; each of the other files handles one kind of remote party.
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

// Options configure a Transport.
type Options struct {
	Listen             netip.AddrPort
	PeerListen         netip.AddrPort
	Peers              []netip.AddrPort
	PeersAll           netip.AddrPort
	PeerIndex          int // index of this dispatcher in Peers
	Names              settings.Names
	Connections        settings.ConnectionSettings
	Expiries           []float64 // of each category, in ms
	SecondCopies       bool      // a work item may run more than once
	DiscoveryOnRequest bool      // discovery only answers requests, it does not push changes
	MaxSockets         int
	MemoryBytes        int64            // memory limit of the process; 0: none
	Metrics            *metrics.Metrics // nil: none are collected
	Guard              node.LeaseGuard  // nil: this process belongs to no fleet
	// Exchange connects to other processes of this dispatcher; nil: there are none, and the addresses are not
	// shared.
	Exchange         *takeover.Exchange
	InheritedSockets []*os.File // sockets of the predecessor, served once it has handed over
	// OnHalfLimits is called with true if the process must keep to half of its limits, with false if it may
	// use all.
	OnHalfLimits func(half bool)
	// SystemSocketLimit returns what MaxSockets would be under the system's current limit; nil: MaxSockets is fixed.
	SystemSocketLimit func() int
}

// Transport implements node.Transport over sockets.
type Transport struct {
	clients    *clientServer
	workers    *workerPool
	discovery  *discoveryClient
	peers      *peerLink
	options    Options
	node       *node.Node
	stop       context.CancelFunc
	running    sync.WaitGroup
	limitMu    sync.Mutex // guards options.MaxSockets and halved
	halved     bool
	transferMu sync.Mutex // held while a job is handed over
	sharedIDs  chan string
}

// Shares of the limit on sockets. The rest is for discovery, peers, files and the runtime. At most half of
// the descriptors may belong to clients that wait for an answer; the rest of the clients' share is for
// callbacks and idle connections.
const (
	clientShare = 0.6
	workerShare = 0.3
	// Three files, two listeners, the poller's descriptors, calls to discovery, a connection that is being refused.
	reservedSockets   = 16
	clientShareOfRest = 0.65 // share of what is left after reservedSockets, at most
	// Minimum where the limit is very low: for clients a work item, its worker's callback and one new
	// connection; for workers a hand-off and a cancellation.
	minClientConns = 4
	minWorkerConns = 2
	// Minimum of the clients' share that is reserved for callbacks; a sixth of the share if that is more.
	minCallbackConns = 2
)

// Start opens the listeners and starts to serve. Incoming events go to the node's queue; the node need not
// run yet.
func Start(o Options, n *node.Node) (*Transport, error) {
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{options: o, node: n, stop: stop, sharedIDs: make(chan string, sharedIDsQueue)}
	t.workers = newWorkers(n, o)
	t.discovery = newDiscovery(ctx, n, o, &t.running)
	var err error
	if t.peers, err = listenPeers(o, n); err == nil {
		t.clients, err = listenClients(o, n)
	}
	if err != nil {
		stop()
		t.peers.close()
		return nil, fmt.Errorf("start: %w", err)
	}
	t.clients.handOver = t.handOver
	t.clients.onConnError, t.workers.onConnError, t.discovery.onConnError = t.onConnError, t.onConnError, t.onConnError
	for _, f := range o.InheritedSockets { // the parts use duplicates
		f.Close()
	}
	t.SetHalfLimits(len(o.InheritedSockets) > 0)
	if len(o.InheritedSockets) > 0 {
		t.Pause() // until the predecessor has handed over
	}
	t.running.Go(func() { t.workers.closeExpired(ctx) })
	t.running.Go(func() { t.peers.send(ctx) })
	if o.Exchange != nil {
		t.running.Go(func() { t.sendSharedIDs(ctx) })
	}
	t.running.Go(t.peers.receive)
	t.running.Go(t.clients.serve)
	return t, nil
}

// onConnError receives the reason why a connection could not be opened or accepted. If the system had no
// descriptor left, it may now allow fewer than before: clients and workers get their shares of the lower
// limit. Otherwise clients that only connect would take every descriptor that becomes free.
func (t *Transport) onConnError(err error) {
	if t.options.SystemSocketLimit == nil || !errors.Is(err, syscall.EMFILE) {
		return
	}
	t.limitMu.Lock()
	if now := t.options.SystemSocketLimit(); now < t.options.MaxSockets {
		slog.Warn("limits", "sockets", now, "was", t.options.MaxSockets)
		t.options.MaxSockets = now
		t.applyLimits()
	}
	t.limitMu.Unlock()
	for t.clients.overLimit() && t.clients.evictOne(nil, anyConn, true) {
	}
}

// Send starts a hand-off.
func (t *Transport) Send(s node.HandOffRequest) node.Attempt { return t.workers.startHandOff(s) }

// AdoptHandOff continues a hand-off that another process made.
func (t *Transport) AdoptHandOff(s node.HandOffRequest) node.Attempt { return t.workers.adopt(s) }

// Watch opens a watch on discovery.
func (t *Transport) Watch(number int, addr string, after int64) {
	t.discovery.watch(number, addr, after)
}

// Unwatch closes a watch.
func (t *Transport) Unwatch(number int) { t.discovery.unwatch(number) }

// SendToPeer sends a message to one peer, or to all peers if to is -1.
func (t *Transport) SendToPeer(to int, data []byte) { t.peers.enqueue(to, data) }

// Drain closes each connection after its next deferral. If there is a successor, it hands over to it, and
// closes each connection after its next answer.
func (t *Transport) Drain(state func() node.TakeoverState) (hasSuccessor bool) {
	t.clients.closeAfterDeferral.Store(true)
	if t.options.Exchange != nil && t.options.Exchange.HandOver(func() []byte { return encodeTakeoverState(state()) }) {
		t.clients.closeAfterAnswer.Store(true)
		return true
	}
	return false
}

// CloseIdle closes the connections that wait for a request, and all others after their next answer.
func (t *Transport) CloseIdle() {
	t.clients.closeAfterAnswer.Store(true)
	t.clients.closeIdle()
}

// Close lets requests and answers in progress end, for a short time, and then closes everything.
func (t *Transport) Close() {
	t.clients.close(readTimeout) // a request that has begun to arrive is complete by then, or has timed out
	t.workers.close(time.Second)
	t.stop()
	t.peers.close()
	t.running.Wait()
}
