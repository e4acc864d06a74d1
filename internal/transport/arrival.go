// This file keeps track of when the bytes of a connection arrived: the time of a request counts from its last byte,
// also if it waited behind an earlier request of its connection.

package transport

import "time"

const (
	arrivalResolution = 10 * time.Millisecond // bytes that arrive this close together count as one arrival
	maxArrivals       = 64                    // arrivals that are kept; what comes after counts with the latest
)

// arrival is a number of bytes that arrived at a time.
type arrival struct {
	bytes int
	at    time.Time
}

// arrivalQueue holds the arrivals of bytes that are kept, oldest first. The zero value is empty.
type arrivalQueue struct{ arrivals []arrival }

// add records bytes that have arrived at the given time.
func (q *arrivalQueue) add(bytes int, at time.Time) {
	if k := len(q.arrivals) - 1; k >= 0 && (at.Sub(q.arrivals[k].at) < arrivalResolution || k+1 >= maxArrivals) {
		q.arrivals[k] = arrival{q.arrivals[k].bytes + bytes, at}
		return
	}
	q.arrivals = append(q.arrivals, arrival{bytes, at})
}

// putBack records that bytes which were taken are kept again, before all others.
func (q *arrivalQueue) putBack(bytes int, at time.Time) {
	if bytes > 0 {
		q.arrivals = append([]arrival{{bytes, at}}, q.arrivals...)
	}
}

// take removes bytes and returns when the last of them arrived, or the given time if that is not known.
func (q *arrivalQueue) take(bytes int, unknown time.Time) time.Time {
	at := unknown
	for bytes > 0 && len(q.arrivals) > 0 {
		first := &q.arrivals[0]
		n := min(bytes, first.bytes)
		at = first.at
		bytes -= n
		if first.bytes -= n; first.bytes == 0 {
			q.arrivals = q.arrivals[1:]
		}
	}
	return at
}

// clear forgets all arrivals.
func (q *arrivalQueue) clear() { q.arrivals = nil }

// sinceLastByte returns how many milliseconds ago the last byte arrived of the request that has just been read.
func (c *clientConn) sinceLastByte() float64 {
	if c.lastByteAt.IsZero() {
		return 0
	}
	return float64(time.Since(c.lastByteAt)) / float64(time.Millisecond)
}
