package realtime

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestUnusedConnClosed guards against requests that a run's client sends on a connection that the dispatcher
// closes meanwhile, as it never carried one: they counted as lost.
func TestUnusedConnClosed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	dial := func() *clientConn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := newClientConn(conn.(*net.TCPConn))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	used, unused := dial(), dial()
	defer used.Close()
	if _, err := used.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := used.Read(make([]byte, 1)); n != 1 {
		t.Fatal(err)
	}
	unused.SetReadDeadline(time.Now().Add(10 * unusedConnTimeout))
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("the unused connection has been read from")
	}
	if n, err := unused.Write([]byte("GET")); n > 0 || err == nil {
		t.Errorf("%d bytes were written to a closed connection", n)
	}
	if _, err := used.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Errorf("the used connection is closed: %v", err)
	}
}
