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
	sayHello    = 'h' // greeting
	sayWelcome  = 'w' // with the sockets
	sayRefused  = 'r' // a Refusal
	sayPart     = 'p' // of what is handed over
	sayYours    = 'y' // all parts are there
	sayConn     = 'c' // with a client's connection
	sayFollowed = 'f' // whether a newer process is there
	sayJob      = 'j' // with a client's connection, and the job that it waits for
	sayAsk      = 'a' // a number of eight bytes, and a callback
	sayKnown    = 'k' // a number of eight bytes, and an Answer
)

const (
	sayWithin   = time.Second // a word is written within this time, or the link is given up
	askWithin   = time.Second // a callback is answered within this time, or it is unsure
	packetMost  = 128 << 10
	partMost    = 32 << 10
	handMost    = 16 << 20
	socketsMost = 8
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
	writing sync.Mutex
	mu      sync.Mutex
	next    uint64
	asked   map[uint64]func(CallbackResult) // nil once the link has ended
}

func newLink(c *net.UnixConn) *link { return &link{conn: c, asked: map[uint64]func(CallbackResult){}} }

// sameUser guards against other users of the folder: they would be given the sockets, or be believed.
func sameUser(c *net.UnixConn) error {
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
func (l *link) say(what byte, rest []byte, fds ...int) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(sayWithin))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err := l.conn.WriteMsgUnix(append([]byte{what}, rest...), rights, nil)
	return err
}

// give sends connections or listeners; they stay open here as well.
func (l *link) give(what byte, text []byte, sockets ...syscall.Conn) error {
	var fds []int
	var pass func(rest []syscall.Conn) error
	pass = func(rest []syscall.Conn) error {
		if len(rest) == 0 {
			return l.say(what, text, fds...)
		}
		raw, err := rest[0].SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err = raw.Control(func(fd uintptr) { // valid only within: a copy by File could be set to block by its use
			fds = append(fds, int(fd))
			failed = pass(rest[1:])
		}); err != nil {
			return err
		}
		return failed
	}
	return pass(sockets)
}

// hear reads one message. The files are the caller's to close.
func (l *link) hear(buf []byte) (what byte, rest []byte, files []*os.File, err error) {
	rights := make([]byte, unix.CmsgSpace(4*socketsMost))
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
		closeAll(files)
		return 0, nil, nil, errors.New("the link ended, or a message was cut off")
	}
	return buf[0], buf[1:n], files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// hand sends what is handed over, in parts.
func (l *link) hand(text []byte) error {
	for len(text) > 0 {
		n := min(len(text), partMost)
		if err := l.say(sayPart, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return l.say(sayYours, nil)
}

// ask passes a callback on; answer is called once.
func (l *link) ask(text []byte, answer func(CallbackResult)) {
	l.mu.Lock()
	if l.asked == nil {
		l.mu.Unlock()
		answer(JobNotFound)
		return
	}
	l.next++
	number := l.next
	l.asked[number] = answer
	l.mu.Unlock()
	time.AfterFunc(askWithin, func() { l.answered(number, ResultUnknown) })
	if l.say(sayAsk, append(binary.BigEndian.AppendUint64(nil, number), text...)) != nil {
		l.conn.Close() // its reader ends it
	}
}

func (l *link) answered(number uint64, a CallbackResult) {
	l.mu.Lock()
	answer := l.asked[number]
	delete(l.asked, number)
	l.mu.Unlock()
	if answer != nil {
		answer(a)
	}
}

// end answers who still waits: what the other process held died with it.
func (l *link) end() {
	l.conn.Close()
	l.mu.Lock()
	asked := l.asked
	l.asked = nil
	l.mu.Unlock()
	for _, answer := range asked {
		answer(JobNotFound)
	}
}

func (l *link) greet(g greeting) error {
	text, err := json.Marshal(g)
	if err != nil {
		return err
	}
	return l.say(sayHello, text)
}
