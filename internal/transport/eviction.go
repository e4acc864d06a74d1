// This file decides which connection is closed to make room for another one. It must never evict a connection
// whose request is being served, or has arrived and not been read yet, nor look at what a request asks for.

package transport

import (
	"slices"
	"time"
)

const (
	// A usual client sends its request within this time after it has connected.
	newcomerGrace = 250 * time.Millisecond
	// A request that arrives for longer is slow. A process or a client that is busy takes hundreds of milliseconds
	// for large ones.
	slowRequestTime = time.Second
	// If more than this part of all connections send their first request slowly, they go before newcomers.
	slowMajority = 0.5
	// Time that a new connection waits for room while others are about to read what has arrived for them.
	makeRoomWait  = 100 * time.Millisecond
	makeRoomRetry = time.Millisecond
	// Connections beyond the limit, as a part of it, that may stay while none can be evicted.
	overshootShare = 8
	// Connections that are looked at for unread bytes, in order, before none counts as evictable.
	maxEvictionTries = 8
)

// evictionRank says how near a connection is to being served; lower ranks are evicted first.
type evictionRank int

// The ranks. A connection is proven once it has carried work or a callback.
const (
	// Unproven, and silent, idle after a request for /ready, or with a part of a request that has stopped.
	rankUnproven     evictionRank = iota
	rankSlowMajority              // unproven, and one of very many whose first requests arrive slowly
	rankNewcomer                  // unproven, and connected just now
	rankIdle                      // proven, and without a request
	rankReceiving                 // its request is arriving
	rankServing
)

// evictionPriority orders connections: a lower rank is evicted first, and the oldest within a rank.
type evictionPriority struct {
	rank   evictionRank
	since  time.Time
	proven bool
}

func (p evictionPriority) before(o evictionPriority) bool {
	return p.rank < o.rank || p.rank == o.rank && p.since.Before(o.since)
}

// sendsSlowly reports whether the first request of an unproven connection has been arriving for longer than a
// usual client takes.
func (p evictionPriority) sendsSlowly(now time.Time) bool {
	return p.rank == rankReceiving && !p.proven && now.Sub(p.since) > slowRequestTime
}

// evictionCandidate is a connection with its priority.
type evictionCandidate struct {
	conn     *clientConn
	priority evictionPriority
	waits    bool // for bytes: it can be evicted
}

// anyConn makes evictOne consider all connections.
func anyConn(*clientConn) bool { return true }

// makeRoom evicts connections while there are too many. While those of the lowest rank only read what has arrived
// for them, it waits rather than evict one of a higher rank. The newcomer that needs the place goes last: if all other connections have
// carried work, it would go first, and no callback would get in. Where requests have arrived on all others and the
// process is too slow to read them, a few newcomers beyond the limit stay, each after the whole wait.
func (c *clientServer) makeRoom(newcomer *clientConn) {
	for end := time.Now().Add(makeRoomWait); c.overLimit(); {
		late := time.Now().After(end)
		switch {
		case c.evictOne(newcomer, anyConn, late):
		case !late:
			time.Sleep(makeRoomRetry)
		case c.withinOvershoot():
			return
		default:
			newcomer.evictAnyway()
			return
		}
	}
}

// withinOvershoot reports whether there are only a few connections beyond the limit.
func (c *clientServer) withinOvershoot() bool {
	limit := c.maxConns.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(len(c.conns)) <= limit+limit/overshootShare
}

// evictOne closes one of the eligible connections other than the newcomer: the first by rank, and the longest in
// its rank. One with a part of its first request counts as a quarter as old as a silent one. Connections whose
// request is being served stay; the node accepts no more of them than half of all descriptors. It returns false
// if none can be closed at present. Unless any rank will do, only those of the lowest rank that there is are closed.
func (c *clientServer) evictOne(newcomer *clientConn, eligible func(*clientConn) bool, anyRank bool) bool {
	c.evictionMu.Lock()
	defer c.evictionMu.Unlock()
	candidates := c.evictionCandidates(newcomer, eligible)
	lowest := rankServing
	for _, candidate := range candidates {
		lowest = min(lowest, candidate.priority.rank)
	}
	candidates = slices.DeleteFunc(candidates, func(candidate evictionCandidate) bool {
		return !candidate.waits || !anyRank && candidate.priority.rank > lowest
	})
	for range min(maxEvictionTries, len(candidates)) {
		first := 0
		for k := range candidates {
			if candidates[k].priority.before(candidates[first].priority) {
				first = k
			}
		}
		if candidates[first].conn.evict() {
			return true
		}
		last := len(candidates) - 1
		candidates[first] = candidates[last]
		candidates = candidates[:last]
	}
	return false
}

// evictionCandidates returns the eligible connections that are not being served. They are valid while evictionMu is held.
func (c *clientServer) evictionCandidates(newcomer *clientConn, eligible func(*clientConn) bool) []evictionCandidate {
	c.evictable = c.evictable[:0]
	c.mu.Lock()
	for conn := range c.conns {
		c.evictable = append(c.evictable, evictionCandidate{conn: conn})
	}
	c.mu.Unlock()
	now, slow, kept := time.Now(), 0, c.evictable[:0]
	for _, candidate := range c.evictable {
		p, waits := candidate.conn.priority(now)
		if p.sendsSlowly(now) {
			slow++
		}
		if candidate.conn != newcomer && p.rank < rankServing && eligible(candidate.conn) {
			kept = append(kept, evictionCandidate{candidate.conn, p, waits})
		}
	}
	clear(c.evictable[len(kept):]) // of connections that may be closed
	c.evictable = kept
	if float64(slow) <= slowMajority*float64(c.maxConns.Load()) {
		return kept
	}
	for k := range kept {
		if kept[k].priority.sendsSlowly(now) {
			kept[k].priority.rank = rankSlowMajority
		}
	}
	return kept
}

// priority returns the connection's priority by itself, without regard to others, and whether it waits for bytes.
func (c *clientConn) priority(now time.Time) (p evictionPriority, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p = evictionPriority{rank: rankUnproven, since: c.since, proven: c.proven}
	quiet := now.Sub(c.lastRead)
	switch {
	case c.serving:
		p.rank = rankServing
	case c.proven && c.started:
		p.rank = rankReceiving
	case c.proven:
		p.rank = rankIdle
	case c.started && c.reads > 1 && quiet < readTimeout/2: // it sends its request slowly
		p.rank = rankReceiving
	case now.Sub(c.since) < newcomerGrace && !c.used:
		p.rank = rankNewcomer
	case c.started && c.reads > 0: // the rest may follow: it counts as a quarter as old as a silent one
		p.since = c.lastRead.Add(quiet * 3 / 4)
	}
	return p, c.reading
}

// evict closes the connection and returns true, unless its request is being served or has arrived: then it is
// about to be read, or has just been.
func (c *clientConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || !c.reading || c.hasUnread() {
		return false
	}
	c.evictLocked()
	return true
}

// evictAnyway closes a connection for which there is no room, whatever has arrived on it, unless it came with a
// request that is being served.
func (c *clientConn) evictAnyway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving {
		c.evictLocked()
	}
}

// evictLocked closes the connection without an answer. The lock is held.
func (c *clientConn) evictLocked() {
	c.closing, c.forceClosed = true, true
	c.closeLocked()
}
