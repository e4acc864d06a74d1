// This file implements the connections of the clients of a run.

package realtime

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedConnTimeout is how long a client keeps a connection that has carried no request. A dispatcher closes
// such a connection after 2 s. A request that crosses the close is to be sent once more by its client, which
// net/http does not do for a POST.
const unusedConnTimeout = time.Second

// newClientTransport returns the transport of a run's clients. It dials a connection when all are busy, and
// keeps it unused if another one becomes idle first.
func newClientTransport() *http.Transport {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newClientConn(conn), nil
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4096, DisableCompression: true}
}

// clientConn closes itself after unusedConnTimeout if nothing has been written to it.
type clientConn struct {
	net.Conn
	mu     sync.Mutex
	unused *time.Timer // nil: it has been used
}

func newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused = time.AfterFunc(unusedConnTimeout, c.closeUnused)
	return c
}

func (c *clientConn) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused != nil {
		c.Conn.Close()
	}
}

// Write writes to the connection. After closeUnused it fails and writes nothing, and net/http uses another one.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.unused != nil {
		c.unused.Stop()
		c.unused = nil
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.unused != nil {
		c.unused.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
