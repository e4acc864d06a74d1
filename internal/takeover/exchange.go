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
	findWithin = time.Second // an older process has answered within this time, or there is none
	pathMost   = 107         // bytes of a Unix socket's path
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
	TransferIdle(give func(syscall.Conn) bool)
	// Adopt serves a connection that was given away there.
	AdoptConn(net.Conn)
	// AdoptJob answers a job that was given away there, on its client's connection. The node knows it when this returns.
	AdoptJob(c net.Conn, text []byte)
	// Share keeps to half of the bounds, or to all of them.
	SetHalfLimits(half bool)
	// Inherit takes what the older process knew.
	ImportState(text []byte) error
	// Succeeded tells that a newer process calls: if this one was told to stop, Stop is called once more.
	SuccessorConnected()
	// Callback takes one that the other process did not know.
	ForwardedCallback(text []byte, newer bool, answer func(CallbackResult))
}

// Options say who this is.
type Options struct {
	Dir    string // in which processes of a dispatcher find each other
	Name   string
	Listen string // the clients' address
}

// Exchange is one process's side.
type Exchange struct {
	o        Options
	path     string
	host     Host
	mu       sync.Mutex
	m        Machine
	older    *link
	newer    *link
	listener *net.UnixListener
	file     fs.FileInfo // of the path while it is this process's
	closed   bool
	alone    time.Time // when the older process ended
	running  sync.WaitGroup
}

// New makes an Exchange; nothing is said yet.
func New(o Options) *Exchange {
	name := strings.Map(func(r rune) rune {
		if strings.ContainsRune("0123456789.abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", r) {
			return r
		}
		return '-'
	}, o.Listen)
	return &Exchange{o: o, path: filepath.Join(o.Dir, "weldmast-"+name)}
}

func (x *Exchange) greeting() greeting { return greeting{ProtocolVersion, x.o.Name, x.o.Listen} }

// Find asks an older process for its sockets. None are given where there is no such process, or none that answers and
// understands: then the start is an ordinary one. An error means that this process must not start.
func (x *Exchange) Find() ([]*os.File, error) {
	if _, err := os.Lstat(x.path); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	files, err := x.find()
	switch {
	case errors.Is(err, errTaken):
		return nil, err
	case err != nil:
		slog.Info("takeover", "takeover", "none to take over from", "path", x.path, "err", err)
	}
	return files, nil
}

var errTaken = errors.New("takeover: " + string(RefusedBusy))

func (x *Exchange) find() ([]*os.File, error) {
	conn, err := (&net.Dialer{Timeout: findWithin}).Dial("unixpacket", x.path)
	if err != nil {
		return nil, err
	}
	l := newLink(conn.(*net.UnixConn))
	conn.SetReadDeadline(time.Now().Add(findWithin))
	if err = sameUser(l.conn); err == nil {
		err = l.greet(x.greeting())
	}
	var what byte
	var rest []byte
	var files []*os.File
	if err == nil {
		what, rest, files, err = l.hear(make([]byte, packetMost))
	}
	if err == nil && what == sayWelcome && len(files) == 0 {
		err = errors.New("no sockets came with its welcome")
	}
	if err == nil && what != sayWelcome {
		closeAll(files)
		if err = fmt.Errorf("refused: %s", rest[:min(len(rest), 100)]); what == sayRefused && Refusal(rest) == RefusedBusy {
			err = errTaken
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	x.older = l
	slog.Info("takeover", "takeover", "beside an older process", "sockets", len(files))
	return files, nil
}

// Run begins the exchange for the host, which has its sockets by now: those that were found, paused, or its own.
func (x *Exchange) Run(host Host) {
	x.host = host
	x.mu.Lock()
	x.do(x.m.Start(x.older != nil), nil)
	older := x.older
	x.mu.Unlock()
	if older != nil {
		x.running.Go(func() { x.follow(older, false) })
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
		if now, err := os.Lstat(x.path); err == nil && os.SameFile(now, x.file) { // not the newer one's
			os.Remove(x.path)
		}
	}
	for _, l := range []*link{x.older, x.newer} {
		if l != nil {
			l.conn.Close()
		}
	}
	x.mu.Unlock()
	x.running.Wait()
}

// Stop has this process hand over if there is one to hand over to, and tells whether it does. What is known is asked for
// only then, at once.
func (x *Exchange) HandOver(known func() []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	actions := x.m.Stop()
	x.do(actions, known)
	return len(actions) > 0
}

// do carries out what was decided. The lock is held; nothing here waits for the other process.
func (x *Exchange) do(actions []Action, known func() []byte) {
	for _, a := range actions {
		switch a {
		case StartAccepting:
			x.bind()
			x.host.Resume()
		case ResumeAccepting:
			slog.Warn("takeover", "takeover", "the newer process died")
			x.host.Resume()
		case ReportSuccessor:
			if x.older.say(sayFollowed, []byte(fmt.Sprint(x.newer != nil))) != nil {
				x.older.conn.Close() // its reader ends it
			}
		case HalveLimits:
			x.host.SetHalfLimits(true)
		case RestoreLimits:
			x.host.SetHalfLimits(false)
		case HandOverState:
			x.host.Pause()
			text, l := known(), x.newer
			slog.Info("takeover", "takeover", "handed over", "bytes", len(text))
			x.running.Go(func() {
				if l.hand(text) != nil {
					l.conn.Close() // its reader ends it
					return
				}
				x.host.TransferIdle(func(c syscall.Conn) bool { return l.give(sayConn, nil, c) == nil })
			})
		}
	}
}

// bind makes this process the one that is found at the path. Where that fails, the next start is an ordinary one.
func (x *Exchange) bind() {
	if err := x.listen(); err != nil {
		slog.Warn("takeover", "takeover", "a newer process will not find this one", "path", x.path, "err", err)
	}
}

func (x *Exchange) listen() error {
	own := fmt.Sprintf("%s.%d", x.path, os.Getpid())
	if len(own) > pathMost {
		return errors.New("the path is too long for a socket")
	}
	if there, err := os.Lstat(x.path); err == nil && there.Mode()&fs.ModeSocket == 0 {
		return errors.New("what is there is no socket")
	}
	os.Remove(own) // of a process that had the same number and was killed
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: own, Net: "unixpacket"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false)
	// In one step: whoever calls meanwhile reaches the one before, or this one.
	if err = os.Chmod(own, 0o600); err == nil {
		err = os.Rename(own, x.path)
	}
	if err == nil {
		x.file, err = os.Lstat(x.path)
	}
	if err != nil {
		l.Close()
		os.Remove(own)
		return err
	}
	x.listener = l
	x.running.Go(func() {
		for {
			conn, err := l.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			x.meet(conn)
		}
	})
	return nil
}

// meet answers a process that calls. One at a time, and none for long: this guards against callers that say nothing.
func (x *Exchange) meet(conn *net.UnixConn) {
	l := newLink(conn)
	conn.SetReadDeadline(time.Now().Add(findWithin / 2))
	var g greeting
	err := sameUser(conn)
	if err == nil {
		var what byte
		var rest []byte
		var files []*os.File
		what, rest, files, err = l.hear(make([]byte, packetMost))
		closeAll(files)
		if err == nil && what != sayHello {
			err = errors.New("no greeting")
		}
		if err == nil {
			err = json.Unmarshal(rest, &g)
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
	refusal, actions := x.m.SuccessorHello(g.Version, g.Name == x.o.Name && g.Listen == x.o.Listen)
	if refusal != "" {
		slog.Warn("takeover", "takeover", "refused", "why", refusal)
		l.say(sayRefused, []byte(refusal))
		conn.Close()
		return
	}
	x.newer = l
	x.do(actions, nil)
	if err := l.give(sayWelcome, nil, x.host.ListeningSockets()...); err != nil {
		slog.Warn("takeover", "takeover", "the newer process left", "err", err)
		conn.Close() // its reader ends it
	}
	slog.Info("takeover", "takeover", "a newer process is there")
	x.running.Go(func() { x.follow(l, true) })
	x.host.SuccessorConnected()
}

// follow takes in what the other process says until the link ends.
func (x *Exchange) follow(l *link, newer bool) {
	buf, parts := make([]byte, packetMost), []byte(nil)
	for {
		what, rest, files, err := l.hear(buf)
		if err != nil {
			break
		}
		switch what {
		case sayPart:
			if parts = append(parts, rest...); len(parts) > handMost {
				l.conn.Close()
			}
		case sayYours:
			if err := x.host.ImportState(parts); err != nil {
				slog.Warn("takeover", "takeover", "what was handed over cannot be read", "err", err)
			}
			parts = nil
			x.mu.Lock()
			x.do(x.m.PredecessorHandedOver(), nil)
			x.mu.Unlock()
		case sayFollowed:
			x.mu.Lock()
			x.m.SuccessorReport(string(rest) == fmt.Sprint(true))
			x.mu.Unlock()
		case sayConn:
			for _, f := range files {
				if conn, err := net.FileConn(f); err == nil {
					x.host.AdoptConn(conn)
				}
			}
		case sayJob:
			if len(files) == 1 {
				if conn, err := net.FileConn(files[0]); err == nil {
					x.host.AdoptJob(conn, append([]byte(nil), rest...))
				}
			}
		case sayAsk:
			if len(rest) < 8 {
				break
			}
			number := append([]byte(nil), rest[:8]...)
			x.host.ForwardedCallback(append([]byte(nil), rest[8:]...), newer, func(a CallbackResult) {
				go l.say(sayKnown, append(number, byte(a)))
			})
		case sayKnown:
			if len(rest) == 9 {
				l.answered(binary.BigEndian.Uint64(rest), CallbackResult(rest[8]))
			}
		}
		closeAll(files)
	}
	l.end()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return
	}
	slog.Info("takeover", "takeover", "the other process has ended", "newer", newer)
	if newer {
		x.newer = nil
		x.do(x.m.SuccessorGone(), nil)
	} else {
		x.older, x.alone = nil, time.Now()
		x.do(x.m.PredecessorGone(), nil)
	}
}

// Hand gives a job away with its client's connection.
func (x *Exchange) TransferJob(c syscall.Conn, text []byte) error {
	x.mu.Lock()
	l := x.newer
	x.mu.Unlock()
	switch {
	case l == nil:
		return errors.New("there is no newer process")
	case len(text) >= packetMost:
		return errors.New("it is too large")
	}
	return l.give(sayJob, text, c)
}

// Beside tells whether an older process is there, or was until a moment ago.
func (x *Exchange) HasPredecessor() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.older != nil || time.Since(x.alone) < askWithin
}

// Pass asks the other processes about a callback that this one does not know: down the line if it came from a newer one,
// up if from an older, both if from a worker. It does not wait; answer is called once.
func (x *Exchange) ForwardCallback(text []byte, fromNewer, fromOlder bool, answer func(CallbackResult)) {
	x.mu.Lock()
	older, newer := x.older, x.newer
	x.mu.Unlock()
	up := func(a CallbackResult) {
		if a != JobNotFound || newer == nil || fromNewer {
			answer(a)
			return
		}
		go newer.ask(text, answer)
	}
	if older == nil || fromOlder {
		up(JobNotFound)
		return
	}
	go older.ask(text, up)
}
