// This file is the transport's part of a takeover: the sockets that two processes share, and the encoding of
// the state that one passes to the other. It must never decide when to take over; the exchange does.

package transport

import (
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

// pauseGate blocks a reading loop while it is paused. The zero value is open.
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

// Indexes of the sockets that are handed over.
const (
	clientSocket = iota
	peerSocket
)

// reusePort lets another process listen at the same address. This guards against a predecessor that hangs or
// cannot be reached: a start beside it must succeed.
var reusePort = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			slog.Warn("takeover", "takeover", "cannot set SO_REUSEPORT: another process cannot listen at this address", "err", err)
		}
	})
}}

// listenTCP returns a listener at the clients' address: on the predecessor's socket, or on a new one.
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
		return nil, fmt.Errorf("%s is not a TCP address", l.Addr())
	}
	return t, nil
}

// listenUDP returns a socket at the peers' address, in the same way.
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
		return nil, fmt.Errorf("%s is not a UDP address", c.LocalAddr())
	}
	return u, nil
}

// ListeningSockets returns the sockets that are passed to a successor.
func (t *Transport) ListeningSockets() []syscall.Conn {
	all := []syscall.Conn{t.clients.listener}
	if t.peers.conn != nil {
		all = append(all, t.peers.conn)
	}
	return all
}

// Pause leaves incoming connections and datagrams to the other process.
func (t *Transport) Pause() {
	t.clients.acceptGate.pause()
	t.clients.listener.SetDeadline(time.Unix(1, 0))
	if c := t.peers.conn; c != nil {
		t.peers.receiveGate.pause()
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// Resume accepts incoming connections and datagrams.
func (t *Transport) Resume() {
	t.clients.giveAway.Store(nil)
	t.clients.listener.SetDeadline(time.Time{})
	t.clients.acceptGate.resume()
	if c := t.peers.conn; c != nil {
		c.SetReadDeadline(time.Time{})
		t.peers.receiveGate.resume()
	}
}

// TransferIdle gives away connections that wait for a request.
func (t *Transport) TransferIdle(give func(syscall.Conn) bool) { t.clients.giveAwayIdle(give) }

// AdoptConn serves a connection that the other process gave away.
func (t *Transport) AdoptConn(c net.Conn) { go t.clients.adoptConn(c) }

// SetHalfLimits keeps this process to half of its limits while another process uses the other half.
func (t *Transport) SetHalfLimits(half bool) {
	t.limitMu.Lock()
	t.halved = half
	t.applyLimits()
	t.limitMu.Unlock()
	if t.options.OnHalfLimits != nil {
		t.options.OnHalfLimits(half)
	}
}

// applyLimits gives clients and workers their shares. The lock is held.
func (t *Transport) applyLimits() {
	budget := float64(t.options.MaxSockets)
	if t.halved {
		budget /= 2
	}
	memory := t.options.MemoryBytes
	if t.halved {
		memory /= 2
	}
	t.clients.memory.setLimits(memory)
	maxClients := maxClientConns(budget, memory)
	t.clients.maxConns.Store(int64(maxClients))
	t.workers.setLimit(int(max(min(workerShare*budget, (1-clientShareOfRest)*(budget-reservedSockets)), minWorkerConns)))
	// Waiting clients must leave descriptors for the callbacks that end their work items.
	t.node.Enqueue(node.ClientLimit{Max: maxClients - max(maxClients/6, minCallbackConns)})
}

// maxClientConns returns how many connections of clients the descriptors and the memory allow. With few
// descriptors, those that the process itself needs come first.
func maxClientConns(sockets float64, memory int64) int {
	bySockets := int(min(clientShare*sockets, clientShareOfRest*(sockets-reservedSockets)))
	return max(min(bySockets, connsWithin(memory)), minClientConns)
}

// SuccessorConnected tells the node that a successor is ready.
func (t *Transport) SuccessorConnected() { t.node.Enqueue(node.SuccessorReady{}) }

const recheckDelay = 100 * time.Millisecond // a job that is being handed over has arrived by then

// transferredJob is a job as one process passes it to the other, together with its client's connection.
type transferredJob struct {
	Job        node.Job
	Names      *jobNames `json:",omitempty"` // nil: an older version, whose positions count here as well
	Head, Body []byte
	Ahead      []byte // bytes of the client's next request
	Spilt      bool   // those exceeded maxPipelined
}

// handOver passes a job to the successor. It returns false if that failed: the caller then answers the client
// as for a job that may have run.
func (t *Transport) handOver(conn *clientConn, j *node.Job, m *message) bool {
	t.transferMu.Lock() // one at a time: each has its job several times in memory
	defer t.transferMu.Unlock()
	names := t.namesOf(j, m)
	if j.Category < 0 {
		j.Category = unknownPosition
	}
	text, err := json.Marshal(transferredJob{*j, names, m.head, m.body, conn.pipelined, conn.pipelineOverflow})
	if err == nil {
		err = t.options.Exchange.TransferJob(conn.Conn.(syscall.Conn), text)
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "a job could not go over", "id", j.ID, "err", err)
	}
	return err == nil
}

// AdoptJob serves a job that the predecessor handed over.
func (t *Transport) AdoptJob(conn net.Conn, text []byte) {
	var transferred transferredJob
	err := json.Unmarshal(text, &transferred)
	if err == nil {
		err = transferred.resolve(t.options.Names)
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "cannot decode a job from the predecessor", "err", err)
		conn.Close()
		return
	}
	// Enqueued here, so that the node has it before it learns that the predecessor has ended.
	cc := &clientConn{Conn: conn, owner: t.clients, since: time.Now(), started: true, serving: true, proven: true, pipelined: transferred.Ahead, pipelineOverflow: transferred.Spilt}
	client := &node.Request{ID: transferred.Job.ID, Category: transferred.Job.Category, Tenant: transferred.Job.Tenant, Hint: transferred.Job.Hint,
		Key: transferred.Job.Key, Expiry: transferred.Job.Expiry, AcceptedAs: transferred.Job.AcceptedAs}
	m := t.clients.keepTransferred(transferred)
	client.Message = m
	cc.reserveAhead()
	reply := cc.expectReply(client)
	t.clients.metrics.JobAccepted()
	t.node.Enqueue(node.JobAdopted{Request: client, Job: transferred.Job})
	go t.clients.serveAdopted(cc, client, m, reply)
}

// keepTransferred returns the request of a job that the predecessor handed over. Its memory is reserved even
// if there is too little: the predecessor has accepted the job.
func (c *clientServer) keepTransferred(transferred transferredJob) *message {
	bytes := excessBytes(len(transferred.Head) + len(transferred.Body))
	c.memory.waiting.reserve(bytes)
	return &message{head: transferred.Head, body: transferred.Body, memory: newReservation(&c.memory.waiting, bytes), names: transferred.Names}
}

// serveAdopted answers an adopted job and continues to serve its connection.
func (c *clientServer) serveAdopted(cc *clientConn, client *node.Request, m *message, reply <-chan node.Reply) {
	c.register(cc)
	if !c.answerAdopted(cc, client, m, reply) {
		cc.Close()
		return
	}
	cc.markIdle()
	c.serveConn(cc)
}

// answerAdopted waits for the reply to an adopted job and writes it. It returns false if the connection is to be
// closed.
func (c *clientServer) answerAdopted(cc *clientConn, client *node.Request, m *message, reply <-chan node.Reply) bool {
	defer m.memory.release()
	s := &session{server: c, conn: cc, response: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseResponse(s.response)
	r := node.Reply{Result: node.WrittenOff}
	cc.watchClose(func() { c.node.Enqueue(node.ClientDisconnected{Request: client}) })
	select {
	case r = <-reply:
	case <-c.node.Done():
	}
	cc.stopWatch()
	handedOver := s.finishJob(client, m, r)
	return !handedOver && s.respond(requestHead{})
}

// sharedIDsQueue is how many IDs may wait to be told to another process.
const sharedIDsQueue = 4096

// ShareID tells the other processes of this dispatcher of an ID, if they accept jobs as well.
func (t *Transport) ShareID(id string) {
	if t.options.Exchange == nil || !t.options.Exchange.Overlaps() {
		return
	}
	select {
	case t.sharedIDs <- id:
	default:
		slog.Warn("takeover", "takeover", "too many IDs wait for the other process", "id", id)
	}
}

// sendSharedIDs sends the IDs of ShareID until the context ends.
func (t *Transport) sendSharedIDs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-t.sharedIDs:
			t.options.Exchange.ShareID(id)
		}
	}
}

// RememberID tells the node of an ID that another process uses.
func (t *Transport) RememberID(id string) { t.node.Enqueue(node.IDUsed{ID: id}) }

// forwardedCallback is a callback as one process passes it to the other.
type forwardedCallback struct {
	ID, From string
	State    node.CallbackState
	Share    float64
	Result   string
}

var callbackResults = map[takeover.CallbackResult]node.CallbackResult{takeover.Applied: node.CallbackApplied, takeover.JobNotFound: node.CallbackUnknown,
	takeover.ResultUnknown: node.CallbackUndetermined}

// ForwardCallback asks the other processes about a callback.
func (t *Transport) ForwardCallback(c node.Callback) {
	if t.options.Exchange == nil || c.FromSuccessor && c.FromPredecessor {
		c.Respond(node.CallbackUnknown)
		return
	}
	encode := func() []byte {
		text, _ := json.Marshal(forwardedCallback{c.ID, c.From, c.State, c.Share, c.Result}) // cannot fail: it came as JSON
		return text
	}
	t.options.Exchange.ForwardCallback(encode, c.FromSuccessor, c.FromPredecessor, func(a takeover.CallbackResult) {
		if a != takeover.JobNotFound || c.FromPredecessor || !t.options.Exchange.HasPredecessor() {
			c.Respond(callbackResults[a])
			return
		}
		// The predecessor may be handing the job over at this moment: look for it here once more.
		time.AfterFunc(recheckDelay, func() {
			if c.FromSuccessor, c.FromPredecessor = true, true; !t.node.Enqueue(c) {
				c.Respond(node.CallbackUnknown)
			}
		})
	})
}

// ForwardedCallback handles a callback for a work item that another process does not know.
func (t *Transport) ForwardedCallback(text []byte, fromSuccessor bool, answer func(takeover.CallbackResult)) {
	var forwarded forwardedCallback
	if json.Unmarshal(text, &forwarded) != nil {
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
	c := node.Callback{ID: forwarded.ID, From: forwarded.From, State: forwarded.State, Share: forwarded.Share, Result: forwarded.Result, Respond: back,
		FromSuccessor: fromSuccessor, FromPredecessor: !fromSuccessor}
	if !t.node.Enqueue(c) {
		answer(takeover.JobNotFound)
	}
}

// encodeTakeoverState encodes the state for the successor.
func encodeTakeoverState(k node.TakeoverState) []byte {
	text, err := json.Marshal(k)
	if err != nil {
		slog.Error("takeover", "takeover", "cannot encode the takeover state", "err", err)
		return nil
	}
	return text
}

// ImportState passes the predecessor's state to the node.
func (t *Transport) ImportState(text []byte) error {
	var k node.TakeoverState
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	t.node.Enqueue(node.StateInherited{State: k})
	return nil
}

var _ takeover.Host = (*Transport)(nil)
