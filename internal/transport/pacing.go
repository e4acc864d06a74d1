// This file bounds how much of the process one connection of a client may use. While a goroutine always has
// something to read, the scheduler looks for other connections' bytes only every few milliseconds, so a client
// that sends at full speed would delay every step of all other jobs. It must never look at what a request asks
// for.

package transport

import "time"

const (
	pacedPerSecond = 2000 // reads and requests of one connection in a second
	pacedAtOnce    = 128  // reads and requests that may come at once
	// A connection that has used up its share pauses for this long at least: many short pauses would use up
	// what they save.
	pacedPause = 10 * time.Millisecond
)

// pacer says when a connection must pause. It is a token bucket; the zero value is full. It must not be used by
// several goroutines at once.
type pacer struct {
	spent float64 // tokens that have been taken and not been refilled, as of the time at
	at    time.Time
}

// take takes a token for one read or request and returns how long to pause.
func (p *pacer) take(now time.Time) time.Duration {
	p.spent = max(p.spent-now.Sub(p.at).Seconds()*pacedPerSecond, 0) + 1
	p.at = now
	if p.spent <= pacedAtOnce {
		return 0
	}
	excess := time.Duration((p.spent - pacedAtOnce) / pacedPerSecond * float64(time.Second))
	return max(excess, pacedPause)
}

// pace pauses the connection if it has used up its share.
func (c *clientConn) pace() {
	if pause := c.pacer.take(time.Now()); pause > 0 {
		time.Sleep(pause)
	}
}
