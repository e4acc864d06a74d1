// Package fleetrpc is the protocol between the processes of a fleet: HTTP with one POST for each message. The
// body is CBOR of bounded size with the fleet's name and the format version. It must never decide anything,
// never send anything twice, and be open to a private network only, as it has no authentication.
package fleetrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/fleet"
)

// Paths of the calls.
const (
	pathRaft      = "/fleet/vote"    // between voters
	pathHello     = "/fleet/hello"   // a voter's start
	pathHeartbeat = "/fleet/beat"    // a member's heartbeat
	pathEntries   = "/fleet/entries" // the next entries, at any voter; a long poll
	pathAdmin     = "/fleet/ask"     // an operator's request, at any member
	pathProbe     = "/fleet/there"   // checks that the process answers
)

// Limits and timeouts.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 4 << 10
	// of reading or writing a message, and until a client closes an idle connection; the server waits 3 times
	// as long for the next message
	ioTimeout   = 10 * time.Second
	MaxPollWait = 10 * time.Second // of a long poll
	dialTimeout = time.Second
	// ReservedDescriptors is the number of file descriptors that the fleet may use in a process without a
	// voter. A process with a voter reserves half of its socket limit, if that is more, because each member
	// holds two connections to a voter.
	ReservedDescriptors = 64
)

// Header is part of each message.
type Header struct {
	Fleet  string `cbor:"1,keyasint"`
	Format int    `cbor:"2,keyasint"`
}

// RaftMessages carries raft messages between voters.
type RaftMessages struct {
	Header      Header   `cbor:"1,keyasint"`
	FromAddress string   `cbor:"2,keyasint"` // address of the sender
	RaftID      uint64   `cbor:"3,keyasint"`
	Messages    [][]byte `cbor:"4,keyasint"`
}

// Hello is sent by a voter that starts, to find out whether it may vote under its identity.
type Hello struct {
	Header Header `cbor:"1,keyasint"`
	Voter  string `cbor:"2,keyasint"`
	Starts uint64 `cbor:"3,keyasint"` // 0: its directory is empty
	RunID  string `cbor:"4,keyasint"` // of this start; the same when repeated
}

// HelloReply is another voter's reply.
type HelloReply struct {
	KnownStarts uint64 `cbor:"1,keyasint"` // known starts, without this one
	Error       string `cbor:"2,keyasint,omitempty"`
}

// HeartbeatReply is a voter's reply to a heartbeat.
type HeartbeatReply struct {
	Renewal       fleet.LeaseRenewal `cbor:"1,keyasint"`
	NotLeader     bool               `cbor:"2,keyasint,omitempty"`
	LeaderAddress string             `cbor:"3,keyasint,omitempty"` // if known
	Error         string             `cbor:"4,keyasint,omitempty"`
}

type heartbeatRequest struct {
	Header    Header          `cbor:"1,keyasint"`
	Heartbeat fleet.Heartbeat `cbor:"2,keyasint"`
	// forwarded by a voter that is not the leader; not forwarded again
	Forwarded bool `cbor:"3,keyasint,omitempty"`
}

// EntriesRequest requests the entries after a given one.
type EntriesRequest struct {
	Header         Header       `cbor:"1,keyasint"`
	AfterSeq       uint64       `cbor:"2,keyasint"`
	Digest         fleet.Digest `cbor:"3,keyasint"`
	Wait           float64      `cbor:"4,keyasint"` // milliseconds to wait if there are none yet
	SnapshotOffset int          `cbor:"5,keyasint"` // bytes received of the snapshot up to entry SnapshotSeq
	SnapshotSeq    uint64       `cbor:"6,keyasint"`
}

// EntriesReply carries entries, or a part of a snapshot.
type EntriesReply struct {
	Entries        []fleet.Entry `cbor:"1,keyasint,omitempty"`
	SnapshotPart   []byte        `cbor:"2,keyasint,omitempty"` // from byte SnapshotOffset on
	SnapshotSize   int           `cbor:"3,keyasint,omitempty"` // of the complete snapshot
	SnapshotSeq    uint64        `cbor:"4,keyasint,omitempty"`
	SnapshotOffset int           `cbor:"5,keyasint,omitempty"`
	Diverged       bool          `cbor:"6,keyasint,omitempty"` // the caller's history is a different one
	Busy           bool          `cbor:"7,keyasint,omitempty"` // too many members are catching up: retry after a pause
	Error          string        `cbor:"8,keyasint,omitempty"`
}

// AdminRequest is an operator's request.
type AdminRequest struct {
	Header       Header        `cbor:"1,keyasint"`
	Command      fleet.Command `cbor:"2,keyasint"` // command to apply; Kind 0: none, only report the status
	Audit        bool          `cbor:"3,keyasint,omitempty"`
	AuditVersion uint64        `cbor:"4,keyasint,omitempty"` // version to audit
	AuditSince   float64       `cbor:"5,keyasint,omitempty"`
	NoForward    bool          `cbor:"6,keyasint,omitempty"` // do not forward to other members
}

// AdminReply is the reply to an operator.
type AdminReply struct {
	Result fleet.Result `cbor:"1,keyasint"`
	Audit  *fleet.Audit `cbor:"2,keyasint,omitempty"`
	Status *FleetStatus `cbor:"3,keyasint,omitempty"`
	Error  string       `cbor:"4,keyasint,omitempty"`
	// no leader could be reached; the command may have been applied all the same
	NoLeader bool         `cbor:"5,keyasint,omitempty"`
	Local    *LocalStatus `cbor:"6,keyasint,omitempty"` // what the member that received the request knows itself
}

// FleetStatus is the status of the fleet.
type FleetStatus struct {
	Fleet           string               `cbor:"1,keyasint" json:"fleet"`
	LastSeq         uint64               `cbor:"2,keyasint" json:"entries"`
	Digest          string               `cbor:"3,keyasint" json:"digest"`
	NewestVersion   uint64               `cbor:"4,keyasint" json:"newest"`
	FencedVersion   uint64               `cbor:"5,keyasint" json:"fenced"`
	FenceCompleteAt float64              `cbor:"6,keyasint" json:"fence_complete_ms"` // 0: no fence, or not complete
	FenceWaits      []fleet.FenceWait    `cbor:"7,keyasint" json:"fence_waits_for"`
	Leader          string               `cbor:"8,keyasint" json:"leader"`
	Voters          []VoterStatus        `cbor:"9,keyasint" json:"voters"`
	Members         []fleet.MemberStatus `cbor:"10,keyasint" json:"members"`
}

// VoterStatus is a voter's status as the leader sees it.
type VoterStatus struct {
	Name         string  `cbor:"1,keyasint" json:"name"`
	SinceContact float64 `cbor:"2,keyasint" json:"heard_ms_ago"` // below 0: no contact since the leader's election
}

// LocalStatus is what one member knows itself, with or without a leader.
type LocalStatus struct {
	Member         string  `cbor:"1,keyasint" json:"member"`
	LastSeq        uint64  `cbor:"2,keyasint" json:"entries"`
	Digest         string  `cbor:"3,keyasint" json:"digest"`
	NewestVersion  uint64  `cbor:"4,keyasint" json:"newest"`
	ActiveVersion  uint64  `cbor:"5,keyasint" json:"in_force"`
	LeaseRemaining float64 `cbor:"6,keyasint" json:"lease_ms"`
	AcceptsWork    bool    `cbor:"7,keyasint" json:"takes_work"`
	Refusal        string  `cbor:"8,keyasint" json:"refuses,omitempty"`
	VoterStatus    string  `cbor:"9,keyasint" json:"voter,omitempty"`
	Problem        string  `cbor:"10,keyasint" json:"fault,omitempty"`
	PendingRestart string  `cbor:"11,keyasint" json:"waits_for_a_restart,omitempty"`
}

// VoterService is the voter of a process, if it has one.
type VoterService interface {
	HandleRaftMessages(RaftMessages)
	HandleHello(Hello) HelloReply
	// HandleHeartbeat forwards a heartbeat to the leader if this voter is not the leader, unless it was
	// forwarded already.
	HandleHeartbeat(ctx context.Context, hb fleet.Heartbeat, forwarded bool) HeartbeatReply
	HandleEntries(context.Context, EntriesRequest) EntriesReply
	// HandleAdmin answers if this voter is the leader, and otherwise returns NoLeader.
	HandleAdmin(context.Context, AdminRequest) AdminReply
	// Status returns a short status text, and the raft ID that the voter requests after the loss of its
	// directory, 0 for none.
	Status() (string, uint64)
	Close()
}

// MemberService is the member of a process.
type MemberService interface {
	HandleAdmin(context.Context, AdminRequest) AdminReply
}

// ErrFleetMismatch means that the message is of another fleet or format.
var ErrFleetMismatch = errors.New("of another fleet or format")

// Server serves the calls at a member's address.
type Server struct {
	header   Header
	voter    VoterService // nil: none
	member   MemberService
	server   *fasthttp.Server
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Serve serves a listener until Close, with at most maxConcurrent calls at once.
func Serve(l net.Listener, name string, maxConcurrent int, voter VoterService, member MemberService) *Server {
	s := &Server{header: Header{name, fleet.FormatVersion}, voter: voter, member: member, listener: l}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &fasthttp.Server{Handler: s.handle, Concurrency: maxConcurrent, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout,
		IdleTimeout: 3 * ioTimeout, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, SecureErrorLogMessage: true, Logger: silentLogger{}}
	s.wg.Go(func() { _ = s.server.Serve(l) }) // returns when the listener is closed
	return s
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}

// Close ends all calls.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	_ = s.server.ShutdownWithContext(shutdownContext()) // cuts off calls in progress
	s.wg.Wait()
}

func shutdownContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	time.AfterFunc(50*time.Millisecond, cancel)
	return ctx
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.Error("only POST\n", fasthttp.StatusMethodNotAllowed)
		return
	}
	body := ctx.PostBody()
	switch path := string(ctx.Path()); {
	case path == pathProbe:
		ctx.SetBodyString("there\n")
	case path == pathAdmin:
		serveMessage(s, ctx, body, func(m AdminRequest) Header { return m.Header }, func(m AdminRequest) any { return s.member.HandleAdmin(s.ctx, m) })
	case s.voter == nil:
		ctx.Error("no voter\n", fasthttp.StatusNotFound)
	case path == pathRaft:
		serveMessage(s, ctx, body, func(m RaftMessages) Header { return m.Header }, func(m RaftMessages) any { s.voter.HandleRaftMessages(m); return true })
	case path == pathHello:
		serveMessage(s, ctx, body, func(m Hello) Header { return m.Header }, func(m Hello) any { return s.voter.HandleHello(m) })
	case path == pathHeartbeat:
		serveMessage(s, ctx, body, func(m heartbeatRequest) Header { return m.Header }, func(m heartbeatRequest) any { return s.voter.HandleHeartbeat(s.ctx, m.Heartbeat, m.Forwarded) })
	case path == pathEntries:
		serveMessage(s, ctx, body, func(m EntriesRequest) Header { return m.Header }, func(m EntriesRequest) any { return s.voter.HandleEntries(s.ctx, m) })
	default:
		ctx.Error("no such path\n", fasthttp.StatusNotFound)
	}
}

func serveMessage[M any](s *Server, ctx *fasthttp.RequestCtx, body []byte, header func(M) Header, handle func(M) any) {
	var m M
	if err := fleet.Decode(body, &m); err != nil {
		slog.Warn("fleet", "fleet", "unread", "from", ctx.RemoteAddr(), "err", err)
		ctx.Error("not read\n", fasthttp.StatusBadRequest)
		return
	}
	if h := header(m); h != s.header {
		slog.Warn("fleet", "fleet", "elsewhere", "from", ctx.RemoteAddr(), "of", fmt.Sprintf("%.64q", h.Fleet), "format", h.Format)
		ctx.Error(fmt.Sprintf("this is the fleet %q, format %d\n", s.header.Fleet, s.header.Format), fasthttp.StatusConflict)
		return
	}
	// Not copied: the buffer of each connection would keep the size of its largest reply, a part of a
	// snapshot.
	ctx.Response.SetBodyRaw(fleet.Encode(handle(m)))
}

// Client calls other processes of the fleet. It sends each call once.
type Client struct {
	header     Header
	addressMap map[string]string
	http       *fasthttp.Client
	mu         sync.Mutex
	conns      map[*trackedConn]bool
	closed     bool

	calls, readBytes, writtenBytes atomic.Uint64
}

// Traffic returns the number of calls made so far, and the bytes read and written for them.
func (c *Client) Traffic() (calls, read, written uint64) {
	return c.calls.Load(), c.readBytes.Load(), c.writtenBytes.Load()
}

// trackedConn is a connection that Client.Close closes.
type trackedConn struct {
	net.Conn
	client *Client
}

// Read counts the bytes read.
func (d *trackedConn) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	d.client.readBytes.Add(uint64(n))
	return n, err
}

// Write counts the bytes written.
func (d *trackedConn) Write(p []byte) (int, error) {
	n, err := d.Conn.Write(p)
	d.client.writtenBytes.Add(uint64(n))
	return n, err
}

// Close removes the connection from the client.
func (d *trackedConn) Close() error {
	d.client.mu.Lock()
	delete(d.client.conns, d)
	d.client.mu.Unlock()
	return d.Conn.Close()
}

// NewClient returns a client for the named fleet. It dials the addresses in addressMap in place of its keys,
// and other addresses as they are.
func NewClient(name string, addressMap map[string]string) *Client {
	c := &Client{header: Header{name, fleet.FormatVersion}, addressMap: addressMap, conns: map[*trackedConn]bool{}}
	c.http = &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr:      func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost: 64, MaxResponseBodySize: maxBodyBytes, MaxIdleConnDuration: ioTimeout, StreamResponseBody: false,
		Dial: func(addr string) (net.Conn, error) { return c.dial(addr, dialTimeout) }}
	return c
}

func (c *Client) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if mapped, ok := c.addressMap[addr]; ok {
		addr = mapped
	}
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return nil, err
	}
	d := &trackedConn{conn, c}
	c.mu.Lock()
	closed := c.closed
	if !closed {
		c.conns[d] = true
	}
	c.mu.Unlock()
	if closed {
		conn.Close()
		return nil, net.ErrClosed
	}
	return d, nil
}

// Close closes all connections, which ends the calls in progress. No further calls are made.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var conns []*trackedConn
	for d := range c.conns {
		conns = append(conns, d)
	}
	c.mu.Unlock()
	for _, d := range conns {
		d.Conn.Close()
	}
}

// call posts one message and reads the reply, within the timeout.
func call[A any](c *Client, addr, path string, timeout time.Duration, msg any) (reply A, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(fleet.Encode(msg))
	req.SetTimeout(timeout)
	c.calls.Add(1)
	if err = c.http.Do(req, resp); err != nil {
		return reply, fmt.Errorf("%s: %w", addr, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusConflict:
		return reply, fmt.Errorf("%s: %w: %s", addr, ErrFleetMismatch, resp.Body())
	default:
		return reply, fmt.Errorf("%s: HTTP status %d", addr, resp.StatusCode())
	}
	if err = fleet.Decode(resp.Body(), &reply); err != nil {
		return reply, fmt.Errorf("%s: %w", addr, err)
	}
	return reply, nil
}

// SendRaftMessages sends raft messages to another voter.
func (c *Client) SendRaftMessages(addr string, msgs RaftMessages, timeout time.Duration) error {
	msgs.Header = c.header
	_, err := call[bool](c, addr, pathRaft, timeout, msgs)
	return err
}

// Hello asks another voter which starts of this one it knows.
func (c *Client) Hello(addr string, h Hello, timeout time.Duration) (HelloReply, error) {
	h.Header = c.header
	return call[HelloReply](c, addr, pathHello, timeout, h)
}

// Heartbeat sends a member's heartbeat to a voter.
func (c *Client) Heartbeat(addr string, hb fleet.Heartbeat, forwarded bool, timeout time.Duration) (HeartbeatReply, error) {
	return call[HeartbeatReply](c, addr, pathHeartbeat, timeout, heartbeatRequest{c.header, hb, forwarded})
}

// Entries requests entries from a voter.
func (c *Client) Entries(addr string, req EntriesRequest, timeout time.Duration) (EntriesReply, error) {
	req.Header = c.header
	return call[EntriesReply](c, addr, pathEntries, timeout, req)
}

// Admin sends an operator's request to a member.
func (c *Client) Admin(addr string, req AdminRequest, timeout time.Duration) (AdminReply, error) {
	req.Header = c.header
	return call[AdminReply](c, addr, pathAdmin, timeout, req)
}

// Probe connects to a silent member. Connects reports whether the connection was established. The error is
// nil if the member answered.
func (c *Client) Probe(addr string, timeout time.Duration) (connects bool, err error) {
	conn, err := c.dial(addr, timeout)
	if err != nil {
		return false, fmt.Errorf("%s: %w", addr, err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // a failure shows in the next call
	if _, err = io.WriteString(conn, "POST "+pathProbe+" HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return true, err
}
