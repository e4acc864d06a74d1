// This file implements the connection between two processes: the message format, and matching results with
// forwarded callbacks.

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

// Each message is one packet: a byte for its kind, followed by its payload.
const (
	msgHello          = 'h' // JSON of greeting
	msgWelcome        = 'w' // comes with the listening sockets
	msgRefused        = 'r' // payload: a Refusal
	msgStateChunk     = 'p' // payload: a part of the exported state
	msgStateEnd       = 'y' // all of the state has been sent
	msgConn           = 'c' // comes with an idle client connection
	msgHasSuccessor   = 'f' // payload: "true" or "false", whether the sender has a successor
	msgJobPart        = 'b' // payload: the next part of a job that is too large for one message
	msgJob            = 'j' // payload: a job, or the last part of one; comes with its client's connection
	msgCallback       = 'a' // payload: an 8-byte ID and a callback
	msgCallbackResult = 'k' // payload: an 8-byte ID and a CallbackResult
	msgUsedID         = 'u' // payload: the ID of a job that the sender has accepted; older versions ignore it
)

const (
	writeTimeout    = time.Second // if a message isn't written within this time, the link is closed
	callbackTimeout = time.Second // without a result within this time, a forwarded callback ends with ResultUnknown
	maxPacket       = 128 << 10
	maxStateChunk   = 32 << 10
	maxJobPart      = 96 << 10
	maxJobSize      = 512 << 10
	maxStateSize    = 16 << 20
	maxSockets      = 8
)

// greeting identifies a process that connects. Its field names are part of the protocol.
type greeting struct {
	Version int
	Name    string
	Listen  string
}

// CallbackResult is the result of a forwarded callback.
type CallbackResult byte

// Results of forwarded callbacks.
const (
	Applied       CallbackResult = iota
	JobNotFound                  // the other process has no such job, or has ended
	ResultUnknown                // no result in time
)

type link struct {
	conn    *net.UnixConn
	writeMu sync.Mutex
	jobMu   sync.Mutex // held while the parts of a job are sent
	mu      sync.Mutex
	lastID  uint64
	calls   map[uint64]func(CallbackResult) // callbacks awaiting a result, by ID; nil once the link has ended
}

func newLink(c *net.UnixConn) *link { return &link{conn: c, calls: map[uint64]func(CallbackResult){}} }

// checkSameUser rejects a peer process of another user. Any user who can reach the folder could otherwise
// receive the sockets, or inject state.
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
		err = errors.New("the peer process belongs to another user")
	}
	return err
}

// send writes one message, with file descriptors if any.
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

// sendSockets sends a message with connections or listeners. They stay open in this process too.
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
		// fd is valid only inside this function, so the recursion keeps all descriptors valid until the send.
		// The File method of the connections is no alternative: the copy that it returns could switch the
		// socket to blocking mode.
		if err = raw.Control(func(fd uintptr) {
			fds = append(fds, int(fd))
			failed = sendRest(rest[1:])
		}); err != nil {
			return err
		}
		return failed
	}
	return sendRest(sockets)
}

// receive reads one message. The caller closes the files.
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
		return 0, nil, nil, errors.New("the link ended, or a message was truncated")
	}
	return buf[0], buf[1:n], files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// sendState sends the exported state in chunks.
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

// sendJob sends a job with its client's connection, in parts if it is too large for one message.
func (l *link) sendJob(job []byte, client syscall.Conn) error {
	l.jobMu.Lock()
	defer l.jobMu.Unlock()
	for len(job) >= maxPacket {
		if err := l.send(msgJobPart, job[:maxJobPart]); err != nil {
			l.conn.Close() // the other process must not take the next job for the rest of this one
			return err
		}
		job = job[maxJobPart:]
	}
	return l.sendSockets(msgJob, job, client)
}

// forwardCallback forwards a callback to the other process; it calls reply once.
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
		l.conn.Close() // readMessages then ends and closes the link, which calls reply
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

// close closes the link and answers all pending callbacks with JobNotFound: the jobs of the other process
// ended with it.
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
