// This file assembles what serves the listener: requests of clients, callbacks of workers and /ready. The
// connections are handled in connections.go, their requests in session.go.

package transport

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weldmast/internal/metrics"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

const (
	maxBody           = 64 << 10
	maxHead           = 16 << 10
	usualHeadBytes    = 4 << 10 // a larger head is read only if there is memory for maxHead
	maxIDLength       = 128
	maxReasonLength   = 200
	clientIdleTimeout = time.Minute
	// Part of a request must arrive within this time after the connection was accepted and after the previous
	// part. An answer must be read within it as well. The complete request must arrive within the longest
	// expiry.
	readTimeout = 2 * time.Second
	// After readTimeout, one more read with this timeout returns bytes that had arrived unread.
	lateReadTimeout = 5 * time.Millisecond
	maxPipelined    = maxHead + maxBody // bytes that a client may send ahead of an answer: one request
	pipelineChunk   = 4 << 10
	// If there is no descriptor for another connection, the next Accept follows after this time.
	acceptRetry = 5 * time.Millisecond
	// Another connection is accepted while the sessions that have yet to end are at most this part of the
	// connections that may be open.
	endingShare = 8
)

// clientServer serves clients and workers' callbacks on one listener.
type clientServer struct {
	node             *node.Node
	names            settings.Names
	expiries         []float64
	maxRequestTime   time.Duration // a request is complete within this time
	metrics          *metrics.Metrics
	listener         *net.TCPListener
	maxConns         atomic.Int64                                         // limit on open connections
	handOver         func(conn *clientConn, j *node.Job, m *message) bool // passes a job to another process
	forwardCallbacks bool                                                 // a callback may concern a work item of another process
	// Set while idle connections are given to another process.
	giveAway           atomic.Pointer[func(syscall.Conn) bool]
	acceptGate         pauseGate
	onConnError        func(error)  // receives the reason why a connection could not be accepted
	sessions           atomic.Int64 // connections that are served, and closed ones whose sessions have yet to end
	closeAfterDeferral atomic.Bool  // a client that was deferred must go elsewhere
	closeAfterAnswer   atomic.Bool  // every client must go elsewhere
	memory             clientMemory
	crowdedHeads       crowdedHeads
	callbackTurn       sync.Mutex // held by the callback that waits for memory next
	mu                 sync.Mutex
	conns              map[*clientConn]bool
	evictionMu         sync.Mutex
	evictable          []evictionCandidate // used again by each search for a connection to evict
}

func listenClients(o Options, n *node.Node) (*clientServer, error) {
	l, err := listenTCP(o)
	if err != nil {
		return nil, err
	}
	c := &clientServer{node: n, names: o.Names, expiries: o.Expiries, metrics: o.Metrics, listener: l,
		forwardCallbacks: o.Exchange != nil, conns: map[*clientConn]bool{}, onConnError: func(error) {}}
	c.maxRequestTime = max(readTimeout, time.Duration(slices.Max(o.Expiries)*float64(time.Millisecond)))
	slog.Info("listen", "listen", l.Addr())
	return c, nil
}

// closeIdle closes the connections that wait for a request.
func (c *clientServer) closeIdle() {
	for _, conn := range c.snapshot() {
		conn.closeIfIdle(false)
	}
}

func (c *clientServer) snapshot() (all []*clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		all = append(all, conn)
	}
	return all
}

func (c *clientServer) close(timeout time.Duration) {
	c.closeAfterAnswer.Store(true)
	for end := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		open := c.snapshot()
		for _, conn := range open {
			conn.closeIfIdle(true)
		}
		if len(open) == 0 || time.Now().After(end) {
			break
		}
	}
	c.Close()
	for _, conn := range c.snapshot() {
		conn.Close()
	}
}
