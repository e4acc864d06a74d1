package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestReadAfterDeadline: bytes that lay unread when the deadline passed, as after the process was suspended,
// are read all the same. A connection that carried none is closed without a response.
func TestReadAfterDeadline(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for text, want := range map[string]error{"request": nil, "": io.EOF} {
		client, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		if _, err := client.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // the bytes have arrived by now
		c := &clientConn{Conn: server, owner: &clientServer{}}
		if err := server.SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 64)
		if n, err := c.Read(buf); string(buf[:n]) != text || !errors.Is(err, want) {
			t.Errorf("%q unread: read %q, %v", text, buf[:n], err)
		}
	}
}

// TestBufferedRequestKept: a request whose first bytes were read with the one before counts as begun: the
// connection is not closed, nor given away, for having none.
func TestBufferedRequestKept(t *testing.T) {
	for _, begun := range []bool{true, false} {
		cc, _ := connPair(t)
		cc.markServing()
		cc.markIdle()
		if begun && !cc.markBegun() {
			t.Error("a connection that nobody closed has no request")
		}
		cc.offer()
		if idle := cc.closeIfIdle(true); idle == begun || cc.closing == begun || cc.offered == begun {
			t.Errorf("request begun %v: reported idle %v, closing %v, offered %v", begun, idle, cc.closing, cc.offered)
		}
	}
}

// TestCloseSeenBehindUnread guards against work that is sent for a client that has closed its connection behind
// bytes that nobody has read yet.
func TestCloseSeenBehindUnread(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"open":        func(*net.TCPConn) error { return nil },
		"half closed": func(c *net.TCPConn) error { return c.CloseWrite() },
		"closed":      func(c *net.TCPConn) error { return c.Close() },
		"reset": func(c *net.TCPConn) error {
			c.SetLinger(0)
			return c.Close()
		},
	} {
		cc, client := connPair(t)
		if _, err := client.Write([]byte("much more")); err != nil {
			t.Fatal(err)
		}
		if err := end(client); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // it has arrived by now
		if _, closed := cc.peek(); closed != (name != "open") {
			t.Errorf("%s: closed %v", name, closed)
		}
	}
}

// TestDiscardArrived guards against bytes that are left, and against an end that is not seen, when what a client
// sends too much of is dropped.
func TestDiscardArrived(t *testing.T) {
	const sent = 3<<20 + 5
	cc, client := connPair(t)
	go func() {
		client.Write(make([]byte, sent))
		client.Close()
	}()
	total := 0
	for {
		n, err := cc.discardArrived()
		if total += n; errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if total != sent {
		t.Errorf("%d bytes were discarded, %d sent", total, sent)
	}
	if discardTarget != [discardSize]byte{} {
		t.Error("the bytes were copied")
	}
}
