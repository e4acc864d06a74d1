// This file owns one connection between two processes: the form of what they say, and who waits for which answer.

package takeover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A message is one packet: a byte that says what it is, and the rest.
const (
	msgHello          = 'h' // greeting
	msgWelcome        = 'w' // with the sockets
	msgRefused        = 'r' // a Refusal
	msgStateChunk     = 'p' // of what is handed over
	msgStateEnd       = 'y' // all parts are there
	msgConn           = 'c' // with a client's connection
	msgHasSuccessor   = 'f' // whether a newer process is there
	msgJob            = 'j' // with a client's connection, and the job that it waits for
	msgCallback       = 'a' // a number of eight bytes, and a callback
	msgCallbackResult = 'k' // a number of eight bytes, and an Answer
)

const (
	writeTimeout    = time.Second // a word is written within this time, or the link is given up
	callbackTimeout = time.Second // a callback is answered within this time, or it is unsure
	maxPacket       = 128 << 10
	maxStateChunk   = 32 << 10
	maxStateSize    = 16 << 20
	maxSockets      = 8
)

// greeting is what a process that calls says of itself.
type greeting struct {
	Version int
	Name    string
	Listen  string
}

// Answer tells what became of a callback that was passed on.
type CallbackResult byte

// The answers.
const (
	Applied       CallbackResult = iota
	JobNotFound                  // nobody waits for it there, or there is nobody
	ResultUnknown                // no answer in time
)

type link struct {
	conn    *net.UnixConn
	writeMu sync.Mutex
	mu      sync.Mutex
	lastID  uint64
	calls   map[uint64]func(CallbackResult) // nil once the link has ended
}

func newLink(c *net.UnixConn) *link { return &link{conn: c, calls: map[uint64]func(CallbackResult){}} }

// sameUser guards against other users of the folder: they would be given the sockets, or be believed.
func checkSameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	var failed error
	if err = raw.Control(func(fd uintptr) {
		cred, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err == nil {
		err = failed
	}
	if err == nil && int(cred.Uid) != os.Geteuid() {
		err = errors.New("it belongs to another user")
	}
	return err
}

// say writes one message, with descriptors if any.
func (l *link) send(kind byte, payload []byte, fds ...int) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err := l.conn.WriteMsgUnix(append([]byte{kind}, payload...), rights, nil)
	return err
}

// give sends connections or listeners; they stay open here as well.
func (l *link) sendSockets(kind byte, payload []byte, sockets ...syscall.Conn) error {
	var fds []int
	var sendRest func(rest []syscall.Conn) error
	sendRest = func(rest []syscall.Conn) error {
		if len(rest) == 0 {
			return l.send(kind, payload, fds...)
		}
		raw, err := rest[0].SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err = raw.Control(func(fd uintptr) { // valid only within: a copy by File could be set to block by its use
			fds = append(fds, int(fd))
			failed = sendRest(rest[1:])
		}); err != nil {
			return err
		}
		return failed
	}
	return sendRest(sockets)
}

// hear reads one message. The files are the caller's to close.
func (l *link) receive(buf []byte) (kind byte, payload []byte, files []*os.File, err error) {
	rights := make([]byte, unix.CmsgSpace(4*maxSockets))
	n, m, flags, _, err := l.conn.ReadMsgUnix(buf, rights)
	if err != nil {
		return 0, nil, nil, err
	}
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	if err != nil {
		return 0, nil, nil, fmt.Errorf("descriptors: %w", err)
	}
	for k := range messages {
		fds, err := unix.ParseUnixRights(&messages[k])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	if n == 0 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeFiles(files)
		return 0, nil, nil, errors.New("the link ended, or a message was cut off")
	}
	return buf[0], buf[1:n], files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// hand sends what is handed over, in parts.
func (l *link) sendState(state []byte) error {
	for len(state) > 0 {
		n := min(len(state), maxStateChunk)
		if err := l.send(msgStateChunk, state[:n]); err != nil {
			return err
		}
		state = state[n:]
	}
	return l.send(msgStateEnd, nil)
}

// ask passes a callback on; answer is called once.
func (l *link) forwardCallback(callback []byte, reply func(CallbackResult)) {
	l.mu.Lock()
	if l.calls == nil {
		l.mu.Unlock()
		reply(JobNotFound)
		return
	}
	l.lastID++
	id := l.lastID
	l.calls[id] = reply
	l.mu.Unlock()
	time.AfterFunc(callbackTimeout, func() { l.resolve(id, ResultUnknown) })
	if l.send(msgCallback, append(binary.BigEndian.AppendUint64(nil, id), callback...)) != nil {
		l.conn.Close() // its reader ends it
	}
}

func (l *link) resolve(id uint64, a CallbackResult) {
	l.mu.Lock()
	reply := l.calls[id]
	delete(l.calls, id)
	l.mu.Unlock()
	if reply != nil {
		reply(a)
	}
}

// end answers who still waits: what the other process held died with it.
func (l *link) close() {
	l.conn.Close()
	l.mu.Lock()
	calls := l.calls
	l.calls = nil
	l.mu.Unlock()
	for _, reply := range calls {
		reply(JobNotFound)
	}
}

func (l *link) sendGreeting(g greeting) error {
	text, err := json.Marshal(g)
	if err != nil {
		return err
	}
	return l.send(msgHello, text)
}
