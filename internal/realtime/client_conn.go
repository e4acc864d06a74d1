// This file implements the connections of the clients of a run.

package realtime

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unusedConnTimeout is how long a client keeps a connection that has carried no request. A dispatcher closes
// such a connection after 2 s. A request that crosses the close is to be sent once more by its client, which
// net/http does not do for a POST.
const unusedConnTimeout = 500 * time.Millisecond

// newClientTransport returns the transport of a run's clients. It dials a connection when all are busy, and
// keeps it unused if another one becomes idle first.
func newClientTransport() *http.Transport {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c, err := newClientConn(conn.(*net.TCPConn))
		if err != nil {
			conn.Close()
			return nil, err
		}
		return c, nil
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4096, DisableCompression: true}
}

// clientConn closes itself after unusedConnTimeout if nothing has been written to it.
type clientConn struct {
	*net.TCPConn
	arrivedAt atomic.Pointer[time.Time] // when the last bytes that were read arrived
	mu        sync.Mutex
	unused    *time.Timer // nil: it has been used
}

func newClientConn(conn *net.TCPConn) (*clientConn, error) {
	if err := recordArrivals(conn); err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused = time.AfterFunc(unusedConnTimeout, c.closeUnused)
	return c, nil
}

// Read reads from the connection and records when the bytes arrived.
func (c *clientConn) Read(p []byte) (int, error) {
	n, arrivedAt, err := readArrived(c.TCPConn, p)
	if n > 0 {
		c.arrivedAt.Store(&arrivedAt)
	}
	return n, err
}

// answerArrivedAt returns when the last bytes that were read arrived; zero: it is not known.
func (c *clientConn) answerArrivedAt() time.Time {
	if at := c.arrivedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *clientConn) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused != nil {
		c.TCPConn.Close()
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
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if c.unused != nil {
		c.unused.Stop()
	}
	c.mu.Unlock()
	return c.TCPConn.Close()
}
