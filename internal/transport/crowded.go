// This file bounds the memory that it takes to parse heads with many lines. fasthttp's parser needs up to twenty
// times the size of such a head, so they are parsed one at a time, into memory that is used again. Other heads
// must never wait for them.

package transport

import (
	"bufio"
	"bytes"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	usualHeadLines = 64 // a head with more lines is crowded
	// A parsed head keeps the longest value that each of its lines had. This guards against heads whose long
	// line is another one each time.
	crowdedHeadReuses = 64
)

// crowdedHeads parses crowded heads one at a time.
type crowdedHeads struct {
	mu     sync.Mutex
	parsed *fasthttp.Request
	uses   int
}

// acquire returns a request into which the head that begins the buffer can be parsed. The caller releases it
// when it has copied what it needs.
func (c *crowdedHeads) acquire(in *bufio.Reader) (r *fasthttp.Request, release func()) {
	buffered, _ := in.Peek(in.Buffered())
	if bytes.Count(buffered, []byte("\n")) <= usualHeadLines {
		r := fasthttp.AcquireRequest()
		return r, func() { fasthttp.ReleaseRequest(r) }
	}
	c.mu.Lock()
	if c.uses%crowdedHeadReuses == 0 {
		c.parsed = &fasthttp.Request{}
	}
	c.uses++
	return c.parsed, func() {
		c.parsed.Reset()
		c.mu.Unlock()
	}
}
