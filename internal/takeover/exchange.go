// This file does what the Machine decides: it owns the path at which a newer process calls, and the links.

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
	"syscall"
	"time"
)

const (
	handshakeTimeout = time.Second // an older process has answered within this time, or there is none
	maxSocketPath    = 107         // bytes of a Unix socket's path
)

// Host is the program of which one process takes the place of another. Its methods may be called from any goroutine.
type Host interface {
	// Sockets are those to be handed over, always in the same order.
	ListeningSockets() []syscall.Conn
	// Pause has them left alone; what comes waits for the other process.
	Pause()
	// Resume has them served.
	Resume()
	// GiveIdle gives away each connection that waits for a request; false: it stays.
	TransferIdle(transfer func(syscall.Conn) bool)
	// Adopt serves a connection that was given away there.
	AdoptConn(net.Conn)
	// AdoptJob answers a job that was given away there, on its client's connection. The node knows it when this returns.
	AdoptJob(c net.Conn, job []byte)
	// Share keeps to half of the bounds, or to all of them.
	SetHalfLimits(half bool)
	// Inherit takes what the older process knew.
	ImportState(state []byte) error
	// Succeeded tells that a newer process calls: if this one was told to stop, Stop is called once more.
	SuccessorConnected()
	// Callback takes one that the other process did not know.
	ForwardedCallback(callback []byte, fromSuccessor bool, reply func(CallbackResult))
}

// Options say who this is.
type Options struct {
	Dir    string // in which processes of a dispatcher find each other
	Name   string
	Listen string // the clients' address
}

// Exchange is one process's side.
type Exchange struct {
	opts              Options
	path              string
	host              Host
	mu                sync.Mutex
	machine           Machine
	predecessor       *link
	successor         *link
	listener          *net.UnixListener
	ownSocket         fs.FileInfo // of the path while it is this process's
	closed            bool
	predecessorGoneAt time.Time // when the older process ended
	goroutines        sync.WaitGroup
}

// New makes an Exchange; nothing is said yet.
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

// Find asks an older process for its sockets. None are given where there is no such process, or none that answers and
// understands: then the start is an ordinary one. An error means that this process must not start.
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
		err = errors.New("no sockets came with its welcome")
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

// Run begins the exchange for the host, which has its sockets by now: those that were found, paused, or its own.
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

// Close ends the exchange.
func (x *Exchange) Close() {
	if x == nil {
		return
	}
	x.mu.Lock()
	x.closed = true
	if x.listener != nil {
		x.listener.Close()
		if now, err := os.Lstat(x.path); err == nil && os.SameFile(now, x.ownSocket) { // not the newer one's
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

// Stop has this process hand over if there is one to hand over to, and tells whether it does. What is known is asked for
// only then, at once.
func (x *Exchange) HandOver(exportState func() []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	actions := x.machine.Stop()
	x.perform(actions, exportState)
	return len(actions) > 0
}

// do carries out what was decided. The lock is held; nothing here waits for the other process.
func (x *Exchange) perform(actions []Action, exportState func() []byte) {
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
				x.predecessor.conn.Close() // its reader ends it
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
					l.conn.Close() // its reader ends it
					return
				}
				x.host.TransferIdle(func(c syscall.Conn) bool { return l.sendSockets(msgConn, nil, c) == nil })
			})
		}
	}
}

// bind makes this process the one that is found at the path. Where that fails, the next start is an ordinary one.
func (x *Exchange) bindPath() {
	if err := x.listen(); err != nil {
		slog.Warn("takeover", "takeover", "a newer process will not find this one", "path", x.path, "err", err)
	}
}

func (x *Exchange) listen() error {
	tempPath := fmt.Sprintf("%s.%d", x.path, os.Getpid())
	if len(tempPath) > maxSocketPath {
		return errors.New("the path is too long for a socket")
	}
	if existing, err := os.Lstat(x.path); err == nil && existing.Mode()&fs.ModeSocket == 0 {
		return errors.New("what is there is no socket")
	}
	os.Remove(tempPath) // of a process that had the same number and was killed
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: tempPath, Net: "unixpacket"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false)
	// In one step: whoever calls meanwhile reaches the one before, or this one.
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

// meet answers a process that calls. One at a time, and none for long: this guards against callers that say nothing.
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
			err = errors.New("no greeting")
		}
		if err == nil {
			err = json.Unmarshal(payload, &hello)
		}
	}
	if err != nil {
		slog.Warn("takeover", "takeover", "no newer process", "err", err)
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
		slog.Warn("takeover", "takeover", "the newer process left", "err", err)
		conn.Close() // its reader ends it
	}
	slog.Info("takeover", "takeover", "a newer process is there")
	x.goroutines.Go(func() { x.readMessages(l, true) })
	x.host.SuccessorConnected()
}

// follow takes in what the other process says until the link ends.
func (x *Exchange) readMessages(l *link, fromSuccessor bool) {
	buf, state := make([]byte, maxPacket), []byte(nil)
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
				slog.Warn("takeover", "takeover", "what was handed over cannot be read", "err", err)
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
		case msgJob:
			if len(files) == 1 {
				if conn, err := net.FileConn(files[0]); err == nil {
					x.host.AdoptJob(conn, append([]byte(nil), payload...))
				}
			}
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

// Hand gives a job away with its client's connection.
func (x *Exchange) TransferJob(c syscall.Conn, job []byte) error {
	x.mu.Lock()
	l := x.successor
	x.mu.Unlock()
	switch {
	case l == nil:
		return errors.New("there is no newer process")
	case len(job) >= maxPacket:
		return errors.New("it is too large")
	}
	return l.sendSockets(msgJob, job, c)
}

// Beside tells whether an older process is there, or was until a moment ago.
func (x *Exchange) HasPredecessor() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.predecessor != nil || time.Since(x.predecessorGoneAt) < callbackTimeout
}

// Pass asks the other processes about a callback that this one does not know: down the line if it came from a newer one,
// up if from an older, both if from a worker. It does not wait; answer is called once.
func (x *Exchange) ForwardCallback(callback []byte, fromSuccessor, fromPredecessor bool, reply func(CallbackResult)) {
	x.mu.Lock()
	predecessor, successor := x.predecessor, x.successor
	x.mu.Unlock()
	trySuccessor := func(a CallbackResult) {
		if a != JobNotFound || successor == nil || fromSuccessor {
			reply(a)
			return
		}
		go successor.forwardCallback(callback, reply)
	}
	if predecessor == nil || fromPredecessor {
		trySuccessor(JobNotFound)
		return
	}
	go predecessor.forwardCallback(callback, trySuccessor)
}
