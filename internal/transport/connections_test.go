package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestLate: what lies unread on a connection whose time ran out, as after a standstill of the process, is read all the
// same; one that brought nothing is closed without a word.
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
		time.Sleep(20 * time.Millisecond) // it is there by now
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
