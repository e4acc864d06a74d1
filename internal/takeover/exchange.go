// This file performs the actions that Machine decides on. It owns the Unix socket at which a successor
// connects, and the links to the neighbouring processes.

package takeover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	handshakeTimeout = time.Second // a predecessor answers within this time; otherwise the start is an ordinary one
	maxSocketPath    = 107         // bytes; Linux limit for the path of a Unix socket
)

// Host is the program whose process is replaced by another process. Its methods may be called from any
// goroutine.
type Host interface {
	// ListeningSockets returns the sockets that are handed over, always in the same order.
	ListeningSockets() []syscall.Conn
	// Pause stops serving the listening sockets. Pending connections and datagrams wait for the other
	// process.
	Pause()
	// Resume serves the listening sockets again.
	Resume()
	// TransferIdle calls transfer for each connection that waits for a request. When transfer returns false,
	// the connection stays in this process.
	TransferIdle(transfer func(syscall.Conn) bool)
	// AdoptConn serves a client connection that the predecessor transferred.
	AdoptConn(net.Conn)
	// AdoptJob takes over a job that the predecessor transferred; the job is answered on its client's
	// connection c. The node has the job when AdoptJob returns.
	AdoptJob(c net.Conn, job []byte)
	// SetHalfLimits applies half of the resource limits while two processes run, or all of them.
	SetHalfLimits(half bool)
	// ImportState takes over the state that the predecessor exported.
	ImportState(state []byte) error
	// SuccessorConnected reports that a successor has connected. If the host was told to stop before, it must
	// call HandOver again, but only after SuccessorConnected has returned: the Exchange holds its lock during
	// this call.
	SuccessorConnected()
	// RememberID records that the other process has accepted a job with the ID.
	RememberID(id string)
	// ForwardedCallback handles a worker's callback that the other process has no job for.
	ForwardedCallback(callback []byte, fromSuccessor bool, reply func(CallbackResult))
}

// Options identify this process and its dispatcher.
type Options struct {
	Dir    string // folder in which processes of one dispatcher find each other
	Name   string
	Listen string // address for clients
}

// Exchange is this process's side of the takeover protocol.
type Exchange struct {
	opts              Options
	path              string
	host              Host
	mu                sync.Mutex
	machine           Machine
	predecessor       *link
	successor         *link
	listener          *net.UnixListener
	ownSocket         fs.FileInfo // file of the socket at path while it belongs to this process
	closed            bool
	overlaps          atomic.Bool // another process accepts jobs as well
	hasSuccessor      atomic.Bool
	predecessorGoneAt time.Time // when the link to the predecessor ended
	goroutines        sync.WaitGroup
}

// New returns an Exchange. It doesn't connect to anything yet.
func New(o Options) *Exchange {
	name := strings.Map(func(r rune) rune {
		if strings.ContainsRune("0123456789.abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", r) {
			return r
		}
		return '-'
	}, o.Listen)
	return &Exchange{opts: o, path: filepath.Join(o.Dir, "weldmast-"+name)}
}

func (x *Exchange) greeting() greeting { return greeting{ProtocolVersion, x.opts.Name, x.opts.Listen} }

// Find requests the listening sockets of a predecessor. It returns none if there is no predecessor, or none
// that answers in time and has the same protocol version; the start is then an ordinary one. An error means
// that this process must not start.
func (x *Exchange) Find() ([]*os.File, error) {
	if _, err := os.Lstat(x.path); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	files, err := x.connectToPredecessor()
	switch {
	case errors.Is(err, errBusy):
		return nil, err
	case err != nil:
		slog.Info("takeover", "takeover", "none to take over from", "path", x.path, "err", err)
	}
	return files, nil
}

var errBusy = errors.New("takeover: " + string(RefusedBusy))

func (x *Exchange) connectToPredecessor() ([]*os.File, error) {
	conn, err := (&net.Dialer{Timeout: handshakeTimeout}).Dial("unixpacket", x.path)
	if err != nil {
		return nil, err
	}
	l := newLink(conn.(*net.UnixConn))
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	if err = checkSameUser(l.conn); err == nil {
		err = l.sendGreeting(x.greeting())
	}
	var kind byte
	var payload []byte
	var files []*os.File
	if err == nil {
		kind, payload, files, err = l.receive(make([]byte, maxPacket))
	}
	if err == nil && kind == msgWelcome && len(files) == 0 {
		err = errors.New("the predecessor answered without sending any sockets")
	}
	if err == nil && kind != msgWelcome {
		closeFiles(files)
		if err = fmt.Errorf("refused: %s", payload[:min(len(payload), 100)]); kind == msgRefused && Refusal(payload) == RefusedBusy {
			err = errBusy
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	x.predecessor = l
	slog.Info("takeover", "takeover", "beside an older process", "sockets", len(files))
	return files, nil
}

// Run starts the exchange for the host. The host has its sockets already: those from Find, paused, or its
// own.
func (x *Exchange) Run(host Host) {
	x.host = host
	x.mu.Lock()
	x.perform(x.machine.Start(x.predecessor != nil), nil)
	predecessor := x.predecessor
	x.mu.Unlock()
	if predecessor != nil {
		x.goroutines.Go(func() { x.readMessages(predecessor, false) })
	}
}

// Close ends the exchange and removes the socket at the path if it is still this process's.
func (x *Exchange) Close() {
	if x == nil {
		return
	}
	x.mu.Lock()
	x.closed = true
	if x.listener != nil {
		x.listener.Close()
		// a successor may have replaced it
		if now, err := os.Lstat(x.path); err == nil && os.SameFile(now, x.ownSocket) {
			os.Remove(x.path)
		}
	}
	for _, l := range []*link{x.predecessor, x.successor} {
		if l != nil {
			l.conn.Close()
		}
	}
	x.mu.Unlock()
	x.goroutines.Wait()
}

// HandOver starts to hand this process's state over to a successor and returns true. It returns false if no
// successor is connected or this process doesn't accept connections. It calls exportState only in the first
// case, before it returns. The state is sent in the background; if that fails, the link to the successor is
// closed, and this process accepts again unless the successor has a successor of its own.
func (x *Exchange) HandOver(exportState func() []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	actions := x.machine.Stop()
	x.perform(actions, exportState)
	return len(actions) > 0
}

// perform carries out all actions but SendSockets. The caller holds the lock. Only ReportSuccessor may block
// on the other process: its write takes up to writeTimeout, after any writes to the link that are in
// progress.
func (x *Exchange) perform(actions []Action, exportState func() []byte) {
	defer func() {
		x.overlaps.Store(len(x.overlapping()) > 0)
		x.hasSuccessor.Store(x.successor != nil)
	}()
	for _, a := range actions {
		switch a {
		case StartAccepting:
			x.bindPath()
			x.host.Resume()
		case ResumeAccepting:
			slog.Warn("takeover", "takeover", "the newer process died")
			x.host.Resume()
		case ReportSuccessor:
			if x.predecessor.send(msgHasSuccessor, []byte(fmt.Sprint(x.successor != nil))) != nil {
				x.predecessor.conn.Close() // readMessages then ends and cleans up
			}
		case HalveLimits:
			x.host.SetHalfLimits(true)
		case RestoreLimits:
			x.host.SetHalfLimits(false)
		case HandOverState:
			x.host.Pause()
			state, l := exportState(), x.successor
			slog.Info("takeover", "takeover", "handed over", "bytes", len(state))
			x.goroutines.Go(func() {
				if l.sendState(state) != nil {
					l.conn.Close() // readMessages then ends and cleans up
					return
				}
				x.host.TransferIdle(func(c syscall.Conn) bool { return l.sendSockets(msgConn, nil, c) == nil })
			})
		}
	}
}

// bindPath binds the path at which a successor connects. If it fails, the next start is an ordinary one.
func (x *Exchange) bindPath() {
	if err := x.listen(); err != nil {
		slog.Warn("takeover", "takeover", "a newer process will not find this one", "path", x.path, "err", err)
	}
}

func (x *Exchange) listen() error {
	tempPath := fmt.Sprintf("%s.%d", x.path, os.Getpid())
	if len(tempPath) > maxSocketPath {
		return errors.New("the path is too long for a Unix socket")
	}
	if existing, err := os.Lstat(x.path); err == nil && existing.Mode()&fs.ModeSocket == 0 {
		return errors.New("another kind of file exists at the path")
	}
	os.Remove(tempPath) // left by a killed process with the same process ID
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: tempPath, Net: "unixpacket"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false)
	// The rename is atomic: a process that connects meanwhile reaches either the predecessor or this process.
	if err = os.Chmod(tempPath, 0o600); err == nil {
		err = os.Rename(tempPath, x.path)
	}
	if err == nil {
		x.ownSocket, err = os.Lstat(x.path)
	}
	if err != nil {
		l.Close()
		os.Remove(tempPath)
		return err
	}
	x.listener = l
	x.goroutines.Go(func() {
		for {
			conn, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			x.acceptSuccessor(conn)
		}
	})
	return nil
}

// acceptSuccessor answers a process that connects. It handles one connection at a time, with a short
// deadline, so that callers that send nothing don't block others for long.
func (x *Exchange) acceptSuccessor(conn *net.UnixConn) {
	l := newLink(conn)
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout / 2))
	var hello greeting
	err := checkSameUser(conn)
	if err == nil {
		var kind byte
		var payload []byte
		var files []*os.File
		kind, payload, files, err = l.receive(make([]byte, maxPacket))
		closeFiles(files)
		if err == nil && kind != msgHello {
			err = errors.New("the first message is not a greeting")
		}
		if err == nil {
			err = json.Unmarshal(payload, &hello)
		}
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "rejected a connection", "err", err)
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	x.mu.Lock()
	defer x.mu.Unlock()
	refusal, actions := x.machine.SuccessorHello(hello.Version, hello.Name == x.opts.Name && hello.Listen == x.opts.Listen)
	if refusal != "" {
		slog.Warn("takeover", "takeover", "refused", "why", refusal)
		l.send(msgRefused, []byte(refusal))
		conn.Close()
		return
	}
	x.successor = l
	x.perform(actions, nil)
	if err := l.sendSockets(msgWelcome, nil, x.host.ListeningSockets()...); err != nil {
		slog.Warn("takeover", "takeover", "sending the sockets to the newer process failed", "err", err)
		conn.Close() // readMessages, started below, then ends and cleans up
	}
	slog.Info("takeover", "takeover", "a newer process is there")
	x.goroutines.Go(func() { x.readMessages(l, true) })
	x.host.SuccessorConnected()
}

// readMessages handles the messages of the other process until the link ends.
func (x *Exchange) readMessages(l *link, fromSuccessor bool) {
	buf, state, job := make([]byte, maxPacket), []byte(nil), []byte(nil)
	for {
		kind, payload, files, err := l.receive(buf)
		if err != nil {
			break
		}
		switch kind {
		case msgStateChunk:
			if state = append(state, payload...); len(state) > maxStateSize {
				l.conn.Close()
			}
		case msgStateEnd:
			if err := x.host.ImportState(state); err != nil {
				slog.Warn("takeover", "takeover", "cannot read the state that was handed over", "err", err)
			}
			state = nil
			x.mu.Lock()
			x.perform(x.machine.PredecessorHandedOver(), nil)
			x.mu.Unlock()
		case msgHasSuccessor:
			x.mu.Lock()
			x.machine.SuccessorReport(string(payload) == fmt.Sprint(true))
			x.mu.Unlock()
		case msgConn:
			for _, f := range files {
				if conn, err := net.FileConn(f); err == nil {
					x.host.AdoptConn(conn)
				}
			}
		case msgJobPart:
			if job = append(job, payload...); len(job) > maxJobSize {
				l.conn.Close()
			}
		case msgJob:
			if len(files) == 1 {
				if conn, err := net.FileConn(files[0]); err == nil {
					x.host.AdoptJob(conn, append(job, payload...))
				}
			}
			job = nil
		case msgUsedID:
			x.host.RememberID(string(payload))
		case msgCallback:
			if len(payload) < 8 {
				break
			}
			id := append([]byte(nil), payload[:8]...)
			x.host.ForwardedCallback(append([]byte(nil), payload[8:]...), fromSuccessor, func(a CallbackResult) {
				go l.send(msgCallbackResult, append(id, byte(a)))
			})
		case msgCallbackResult:
			if len(payload) == 9 {
				l.resolve(binary.BigEndian.Uint64(payload), CallbackResult(payload[8]))
			}
		}
		closeFiles(files)
	}
	l.close()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return
	}
	slog.Info("takeover", "takeover", "the other process has ended", "newer", fromSuccessor)
	if fromSuccessor {
		x.successor = nil
		x.perform(x.machine.SuccessorGone(), nil)
	} else {
		x.predecessor, x.predecessorGoneAt = nil, time.Now()
		x.perform(x.machine.PredecessorGone(), nil)
	}
}

// TransferJob transfers a job and its client's connection to the successor.
func (x *Exchange) TransferJob(c syscall.Conn, job []byte) error {
	x.mu.Lock()
	l := x.successor
	x.mu.Unlock()
	switch {
	case l == nil:
		return errors.New("no successor is connected")
	case len(job) > maxJobSize:
		return errors.New("the job is too large")
	}
	return l.sendJob(job, c)
}

// overlapping returns the links to the processes that accept jobs as well: after a hand-over, the older process
// still serves the connections that it has. The lock is held.
func (x *Exchange) overlapping() (links []*link) {
	if x.successor != nil && x.machine.handedOver {
		links = append(links, x.successor)
	}
	if x.predecessor != nil && (x.machine.accepting || x.machine.handedOver) {
		links = append(links, x.predecessor)
	}
	return links
}

// Overlaps reports whether another process accepts jobs as well. It never waits.
func (x *Exchange) Overlaps() bool { return x.overlaps.Load() }

// HasSuccessor reports whether a newer process is connected. It never waits.
func (x *Exchange) HasSuccessor() bool { return x.hasSuccessor.Load() }

// ShareID tells the other processes that accept jobs of the ID of a job that this one has accepted. It may block
// for writeTimeout. An ID that cannot be told is lost: the link ends then.
func (x *Exchange) ShareID(id string) {
	x.mu.Lock()
	links := x.overlapping()
	x.mu.Unlock()
	for _, l := range links {
		if l.send(msgUsedID, []byte(id)) != nil {
			l.conn.Close()
		}
	}
}

// HasPredecessor reports whether a predecessor is connected, or was until at most callbackTimeout ago. The
// time is added because the result of a callback that was forwarded to the predecessor may arrive after its
// end, and the predecessor may have handed the callback's job over in the meantime.
func (x *Exchange) HasPredecessor() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.predecessor != nil || time.Since(x.predecessorGoneAt) < callbackTimeout
}

// ForwardCallback forwards a callback for a job that this process doesn't know: to the predecessor if the
// callback came from the successor, to the successor if it came from the predecessor, to both in turn if it
// came from a worker. It doesn't wait; it calls reply once. It calls encode, if there is such a process, on
// another goroutine.
func (x *Exchange) ForwardCallback(encode func() []byte, fromSuccessor, fromPredecessor bool, reply func(CallbackResult)) {
	x.mu.Lock()
	predecessor, successor := x.predecessor, x.successor
	x.mu.Unlock()
	trySuccessor := func(a CallbackResult) {
		if a != JobNotFound || successor == nil || fromSuccessor {
			reply(a)
			return
		}
		go successor.forwardCallback(encode(), reply)
	}
	if predecessor == nil || fromPredecessor {
		trySuccessor(JobNotFound)
		return
	}
	go predecessor.forwardCallback(encode(), trySuccessor)
}
