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
