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
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil: open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// The places of the sockets that are handed over.
const (
	clientSocket = iota
	siblingSocket
)

// shareable lets another process listen at the same address. This guards against an older one that hangs or cannot be
// reached: the start beside it must succeed.
var shareable = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			slog.Warn("takeover", "takeover", "the address cannot be shared", "err", err)
		}
	})
}}

// listen is at the clients' address: by the older process's socket, or by one of its own.
func listen(o Options) (*net.TCPListener, error) {
	var l net.Listener
	var err error
	switch {
	case len(o.InheritedSockets) > clientSocket:
		l, err = net.FileListener(o.InheritedSockets[clientSocket])
	case o.Exchange != nil:
		l, err = shareable.Listen(context.Background(), "tcp", o.Listen.String())
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
func listenPacket(o Options) (*net.UDPConn, error) {
	var c net.PacketConn
	var err error
	switch {
	case len(o.InheritedSockets) > siblingSocket:
		c, err = net.FilePacketConn(o.InheritedSockets[siblingSocket])
	case o.Exchange != nil:
		c, err = shareable.ListenPacket(context.Background(), "udp", o.PeerListen.String())
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
	if p.siblings.conn != nil {
		all = append(all, p.siblings.conn)
	}
	return all
}

// Pause leaves what comes in to the other process.
func (p *Transport) Pause() {
	p.clients.gate.shut()
	p.clients.listener.SetDeadline(time.Unix(1, 0))
	if c := p.siblings.conn; c != nil {
		p.siblings.gate.shut()
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Resume takes in what comes.
func (p *Transport) Resume() {
	p.clients.giving.Store(nil)
	p.clients.listener.SetDeadline(time.Time{})
	p.clients.gate.open()
	if c := p.siblings.conn; c != nil {
		c.SetReadDeadline(time.Time{})
		p.siblings.gate.open()
	}
}

// GiveIdle gives away connections that wait for a request.
func (p *Transport) TransferIdle(give func(syscall.Conn) bool) { p.clients.giveIdle(give) }

// Adopt serves a connection that was given away.
func (p *Transport) AdoptConn(c net.Conn) { go p.clients.adopt(c) }

// Share keeps to half of the bounds while another process has the other half.
func (p *Transport) SetHalfLimits(half bool) {
	p.sharing.Lock()
	p.half = half
	p.share()
	p.sharing.Unlock()
	if p.o.OnShare != nil {
		p.o.OnShare(half)
	}
}

// share gives clients and workers their parts. The lock is held.
func (p *Transport) share() {
	part := float64(p.o.MaxSockets)
	if p.half {
		part /= 2
	}
	// Where there are few descriptors, those that the process itself has come first.
	most := int(max(min(clientPart*part, clientRest*(part-ownSockets)), leastClients))
	p.clients.most.Store(int64(most))
	p.workers.bound(int(max(min(workerPart*part, (1-clientRest)*(part-ownSockets)), leastWorkers)))
	// Clients that wait must leave room for the callbacks that end their jobs.
	p.node.Enqueue(node.ClientLimit{Max: most - max(most/6, leastBacks)})
}

// Succeeded tells the node that a newer process is there.
func (p *Transport) SuccessorConnected() { p.node.Enqueue(node.SuccessorReady{}) }

const lookAgain = 100 * time.Millisecond // a job that is handed over has arrived by then

// goods is a job as one process gives it to the other, beside its client's connection.
type goods struct {
	Job        node.Job
	Head, Body []byte
	Ahead      []byte // of the client's next request
	Spilt      bool   // which was too much to keep
}

// hand gives a job away. Where that fails its client is answered as for one that may have run.
func (p *Transport) hand(conn *clientConn, j *node.Job, m *message) bool {
	text, err := json.Marshal(goods{*j, m.head, m.body, conn.ahead, conn.spilt})
	if err == nil {
		err = p.o.Exchange.TransferJob(conn.Conn.(syscall.Conn), text)
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "a job could not go over", "id", j.ID, "err", err)
	}
	return err == nil
}

// AdoptJob answers a job that the older process gave away.
func (p *Transport) AdoptJob(conn net.Conn, text []byte) {
	var g goods
	if err := json.Unmarshal(text, &g); err != nil || g.Job.Category >= len(p.o.Expiries) {
		slog.Warn("takeover", "takeover", "a job cannot be read", "err", err)
		conn.Close()
		return
	}
	// Queued here, so that the node has it before it hears that the older process has ended.
	cc := &clientConn{Conn: conn, owner: p.clients, since: time.Now(), begun: true, serving: true, proven: true, ahead: g.Ahead, spilt: g.Spilt}
	client := &node.Request{ID: g.Job.ID, Category: g.Job.Category, Tenant: g.Job.Tenant, Hint: g.Job.Hint,
		Key: g.Job.Key, Expiry: g.Job.Expiry, Message: &message{head: g.Head, body: g.Body}}
	reply := cc.owe(client)
	p.clients.figures.JobAccepted()
	p.node.Enqueue(node.JobAdopted{Request: client, Job: g.Job})
	go p.clients.finish(cc, client, reply)
}

// finish answers an adopted job and goes on with its connection.
func (c *clients) finish(cc *clientConn, client *node.Request, reply <-chan node.Reply) {
	c.register(cc)
	r := node.Reply{Result: node.WrittenOff}
	cc.watch(func() { c.node.Enqueue(node.ClientDisconnected{Request: client}) })
	select {
	case r = <-reply:
	case <-c.node.Done():
	}
	cc.unwatch()
	if r.Result == node.HandedOver && c.hand(cc, r.Job, client.Message.(*message)) {
		c.figures.ClientLeft()
		cc.Close()
		return
	}
	var ctx fasthttp.RequestCtx
	encode(&ctx, r)
	c.count(client.Category, r.Result)
	out := bufio.NewWriter(cc)
	cc.SetWriteDeadline(time.Now().Add(readWithin))
	err := ctx.Response.Write(out)
	if err == nil {
		err = out.Flush()
	}
	if err != nil || ctx.Response.ConnectionClose() || cc.spilt || c.draining.Load() {
		cc.Close()
		return
	}
	cc.SetWriteDeadline(time.Time{})
	cc.idle()
	c.serveOn(cc)
}

// told is a callback as one process tells it the other.
type told struct {
	ID, From string
	State    node.CallbackState
	Share    float64
	Result   string
}

var answers = map[takeover.CallbackResult]node.CallbackResult{takeover.Applied: node.CallbackApplied, takeover.JobNotFound: node.CallbackUnknown,
	takeover.ResultUnknown: node.CallbackUndetermined}

// Pass asks the other processes about a callback.
func (p *Transport) ForwardCallback(c node.Callback) {
	text, err := json.Marshal(told{c.ID, c.From, c.State, c.Share, c.Result})
	if err != nil || p.o.Exchange == nil {
		c.Respond(node.CallbackUnknown)
		return
	}
	if c.FromSuccessor && c.FromPredecessor {
		c.Respond(node.CallbackUnknown)
		return
	}
	p.o.Exchange.ForwardCallback(text, c.FromSuccessor, c.FromPredecessor, func(a takeover.CallbackResult) {
		if a != takeover.JobNotFound || c.FromPredecessor || !p.o.Exchange.HasPredecessor() {
			c.Respond(answers[a])
			return
		}
		// The older process may have handed it over this moment: it is looked for here once more.
		time.AfterFunc(lookAgain, func() {
			if c.FromSuccessor, c.FromPredecessor = true, true; !p.node.Enqueue(c) {
				c.Respond(node.CallbackUnknown)
			}
		})
	})
}

// Callback takes one that another process did not know.
func (p *Transport) ForwardedCallback(text []byte, newer bool, answer func(takeover.CallbackResult)) {
	var t told
	if json.Unmarshal(text, &t) != nil {
		answer(takeover.JobNotFound)
		return
	}
	back := func(a node.CallbackResult) {
		for to, from := range answers {
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
func encodeKnown(k node.TakeoverState) []byte {
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
