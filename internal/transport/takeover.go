// This file owns the platform's side of a takeover: the sockets that two processes share, and the form in which one tells
// the other what it knows. It must never decide when; the exchange does.

package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"weldmast/internal/node"
	"weldmast/internal/takeover"
)

// A gate holds a loop that reads, or lets it through. The zero value is open.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // nil: open
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *pauseGate) wait() {
	g.mu.Lock()
	opened := g.resumed
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// The places of the sockets that are handed over.
const (
	clientSocket = iota
	peerSocket
)

// shareable lets another process listen at the same address. This guards against an older one that hangs or cannot be
// reached: the start beside it must succeed.
var reusePort = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			slog.Warn("takeover", "takeover", "the address cannot be shared", "err", err)
		}
	})
}}

// listen is at the clients' address: by the older process's socket, or by one of its own.
func listenTCP(o Options) (*net.TCPListener, error) {
	var l net.Listener
	var err error
	switch {
	case len(o.InheritedSockets) > clientSocket:
		l, err = net.FileListener(o.InheritedSockets[clientSocket])
	case o.Exchange != nil:
		l, err = reusePort.Listen(context.Background(), "tcp", o.Listen.String())
	default:
		l, err = net.Listen("tcp", o.Listen.String())
	}
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("%s is no TCP address", l.Addr())
	}
	return t, nil
}

// listenPacket is the same at the siblings' address.
func listenUDP(o Options) (*net.UDPConn, error) {
	var c net.PacketConn
	var err error
	switch {
	case len(o.InheritedSockets) > peerSocket:
		c, err = net.FilePacketConn(o.InheritedSockets[peerSocket])
	case o.Exchange != nil:
		c, err = reusePort.ListenPacket(context.Background(), "udp", o.PeerListen.String())
	default:
		return net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.PeerListen))
	}
	if err != nil {
		return nil, err
	}
	u, ok := c.(*net.UDPConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("%s is no UDP address", c.LocalAddr())
	}
	return u, nil
}

// Sockets are those that a newer process is given.
func (p *Transport) ListeningSockets() []syscall.Conn {
	all := []syscall.Conn{p.clients.listener}
	if p.peers.conn != nil {
		all = append(all, p.peers.conn)
	}
	return all
}

// Pause leaves what comes in to the other process.
func (p *Transport) Pause() {
	p.clients.acceptGate.pause()
	p.clients.listener.SetDeadline(time.Unix(1, 0))
	if c := p.peers.conn; c != nil {
		p.peers.receiveGate.pause()
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Resume takes in what comes.
func (p *Transport) Resume() {
	p.clients.giveAway.Store(nil)
	p.clients.listener.SetDeadline(time.Time{})
	p.clients.acceptGate.resume()
	if c := p.peers.conn; c != nil {
		c.SetReadDeadline(time.Time{})
		p.peers.receiveGate.resume()
	}
}

// GiveIdle gives away connections that wait for a request.
func (p *Transport) GiveIdle(give func(syscall.Conn) bool) { p.clients.giveAwayIdle(give) }

// Adopt serves a connection that was given away.
func (p *Transport) Adopt(c net.Conn) { go p.clients.adoptConn(c) }

// Share keeps to half of the bounds while another process has the other half.
func (p *Transport) Share(half bool) {
	p.limitMu.Lock()
	p.halved = half
	p.applyLimits()
	p.limitMu.Unlock()
	if p.options.OnShare != nil {
		p.options.OnShare(half)
	}
}

// share gives clients and workers their parts. The lock is held.
func (p *Transport) applyLimits() {
	budget := float64(p.options.MaxSockets)
	if p.halved {
		budget /= 2
	}
	// Where there are few descriptors, those that the process itself has come first.
	maxClients := int(max(min(clientShare*budget, clientShareOfRest*(budget-reservedSockets)), minClientConns))
	p.clients.maxConns.Store(int64(maxClients))
	p.workers.setLimit(int(max(min(workerShare*budget, (1-clientShareOfRest)*(budget-reservedSockets)), minWorkerConns)))
	// Clients that wait must leave room for the callbacks that end their jobs.
	p.node.Enqueue(node.ClientLimit{Max: maxClients - max(maxClients/6, minCallbackConns)})
}

// Succeeded tells the node that a newer process is there.
func (p *Transport) SuccessorConnected() { p.node.Enqueue(node.SuccessorReady{}) }

const recheckDelay = 100 * time.Millisecond // a job that is handed over has arrived by then

// goods is a job as one process gives it to the other, beside its client's connection.
type transferredJob struct {
	Job        node.Job
	Head, Body []byte
	Ahead      []byte // of the client's next request
	Spilt      bool   // which was too much to keep
}

// hand gives a job away. Where that fails its client is answered as for one that may have run.
func (p *Transport) handOver(conn *clientConn, j *node.Job, m *message) bool {
	text, err := json.Marshal(transferredJob{*j, m.head, m.body, conn.pipelined, conn.pipelineOverflow})
	if err == nil {
		err = p.options.Exchange.Hand(conn.Conn.(syscall.Conn), text)
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "a job could not go over", "id", j.ID, "err", err)
	}
	return err == nil
}

// AdoptJob answers a job that the older process gave away.
func (p *Transport) AdoptJob(conn net.Conn, text []byte) {
	var g transferredJob
	if err := json.Unmarshal(text, &g); err != nil || g.Job.Category >= len(p.options.Expiries) {
		slog.Warn("takeover", "takeover", "a job cannot be read", "err", err)
		conn.Close()
		return
	}
	// Queued here, so that the node has it before it hears that the older process has ended.
	cc := &clientConn{Conn: conn, owner: p.clients, since: time.Now(), started: true, serving: true, proven: true, pipelined: g.Ahead, pipelineOverflow: g.Spilt}
	client := &node.Request{ID: g.Job.ID, Category: g.Job.Category, Tenant: g.Job.Tenant, Hint: g.Job.Hint,
		Key: g.Job.Key, Expiry: g.Job.Expiry, Message: &message{head: g.Head, body: g.Body}}
	reply := cc.expectReply(client)
	p.clients.metrics.Taken()
	p.node.Enqueue(node.JobAdopted{Request: client, Job: g.Job})
	go p.clients.serveAdopted(cc, client, reply)
}

// finish answers an adopted job and goes on with its connection.
func (c *clientServer) serveAdopted(cc *clientConn, client *node.Request, reply <-chan node.Reply) {
	c.register(cc)
	r := node.Reply{Result: node.WrittenOff}
	cc.watchClose(func() { c.node.Enqueue(node.ClientDisconnected{Request: client}) })
	select {
	case r = <-reply:
	case <-c.node.Done():
	}
	cc.stopWatch()
	if r.Result == node.HandedOver && c.handOver(cc, r.Job, client.Message.(*message)) {
		c.metrics.Left()
		cc.Close()
		return
	}
	var ctx fasthttp.RequestCtx
	writeReply(&ctx, r)
	c.countResult(client.Category, r.Result)
	out := bufio.NewWriter(cc)
	cc.SetWriteDeadline(time.Now().Add(readTimeout))
	err := ctx.Response.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if err != nil || ctx.Response.ConnectionClose() || cc.pipelineOverflow || c.closeAfterAnswer.Load() {
		cc.Close()
		return
	}
	cc.SetWriteDeadline(time.Time{})
	cc.markIdle()
	c.serveConn(cc)
}

// told is a callback as one process tells it the other.
type forwardedCallback struct {
	ID, From string
	State    node.CallbackState
	Share    float64
	Result   string
}

var callbackResults = map[takeover.Answer]node.CallbackResult{takeover.Applied: node.CallbackApplied, takeover.NotKnown: node.CallbackUnknown,
	takeover.Unsure: node.CallbackUndetermined}

// Pass asks the other processes about a callback.
func (p *Transport) ForwardCallback(c node.Callback) {
	text, err := json.Marshal(forwardedCallback{c.ID, c.From, c.State, c.Share, c.Result})
	if err != nil || p.options.Exchange == nil {
		c.Respond(node.CallbackUnknown)
		return
	}
	if c.FromSuccessor && c.FromPredecessor {
		c.Respond(node.CallbackUnknown)
		return
	}
	p.options.Exchange.Pass(text, c.FromSuccessor, c.FromPredecessor, func(a takeover.Answer) {
		if a != takeover.NotKnown || c.FromPredecessor || !p.options.Exchange.Beside() {
			c.Respond(callbackResults[a])
			return
		}
		// The older process may have handed it over this moment: it is looked for here once more.
		time.AfterFunc(recheckDelay, func() {
			if c.FromSuccessor, c.FromPredecessor = true, true; !p.node.Enqueue(c) {
				c.Respond(node.CallbackUnknown)
			}
		})
	})
}

// Callback takes one that another process did not know.
func (p *Transport) Callback(text []byte, newer bool, answer func(takeover.Answer)) {
	var t forwardedCallback
	if json.Unmarshal(text, &t) != nil {
		answer(takeover.JobNotFound)
		return
	}
	back := func(a node.CallbackResult) {
		for to, from := range callbackResults {
			if a == from {
				answer(to)
			}
		}
	}
	c := node.Callback{ID: t.ID, From: t.From, State: t.State, Share: t.Share, Result: t.Result, Respond: back,
		FromSuccessor: newer, FromPredecessor: !newer}
	if !p.node.Enqueue(c) {
		answer(takeover.JobNotFound)
	}
}

// encodeKnown is what one process tells the other of all that it knows.
func encodeTakeoverState(k node.TakeoverState) []byte {
	text, err := json.Marshal(k)
	if err != nil {
		slog.Error("takeover", "takeover", "what is known cannot be told", "err", err)
		return nil
	}
	return text
}

// Inherit takes what the older process knew.
func (p *Transport) ImportState(text []byte) error {
	var k node.TakeoverState
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	p.node.Enqueue(node.StateInherited{State: k})
	return nil
}

var _ takeover.Host = (*Transport)(nil)
