// This file reads the bodies of requests. A body is read only once memory is reserved for it, and is kept
// once. A request for which there is no memory is read to its end and not kept, so that its client gets an
// answer: closing a connection with unread bytes would reset it.

package transport

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// errNoMemory: the request was read to its end, but there was no memory to keep it.
var errNoMemory = errors.New("no memory is left for the request")

// chunked is the length of a body whose size is not known beforehand.
const chunked = -1

// bodyLength returns the length of a request's body by its head, or chunked. A request without a length has
// no body.
func bodyLength(h *fasthttp.RequestHeader) int {
	if length := h.ContentLength(); length >= chunked {
		return length
	}
	return 0
}

// bodyBytes returns how much memory it takes to read a body of that length.
func bodyBytes(length int) int {
	if length == chunked {
		return chunkedCopies * maxBody
	}
	return length
}

// readBody reads a body into memory of its own.
func readBody(in *bufio.Reader, length int) ([]byte, error) {
	if length != chunked {
		body := make([]byte, length)
		_, err := io.ReadFull(in, body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.Header.SetContentLength(chunked)
	if err := r.ContinueReadBody(in, maxBody, false); err != nil {
		return nil, err
	}
	return slices.Clone(r.Body()), nil
}

// discardBody reads a body and drops it.
func discardBody(in *bufio.Reader, length int) error {
	if length != chunked {
		_, err := in.Discard(length)
		return err
	}
	stream, err := chunkedStream(in)
	if err != nil {
		return err
	}
	return discardRest(stream, maxBody)
}

// chunkedStream returns a reader of a chunked body that keeps none of it.
func chunkedStream(in *bufio.Reader) (io.Reader, error) {
	var r fasthttp.Request
	r.Header.SetMethod(fasthttp.MethodPost)
	r.Header.SetContentLength(chunked)
	err := r.ContinueReadBodyStream(in, maxBody, false)
	return r.BodyStream(), err
}

// discardRest reads a stream to its end, which must come within so many bytes.
func discardRest(stream io.Reader, most int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(stream, int64(most)+1))
	if n > int64(most) {
		return errBodySize
	}
	return err
}

// readSmallBody reads a body to its end. It returns errNoMemory if the body has more than most bytes, which may
// be below 0.
func readSmallBody(in *bufio.Reader, length, most int) ([]byte, error) {
	if length != chunked && length <= most {
		return readBody(in, length)
	}
	if length != chunked {
		if err := discardBody(in, length); err != nil {
			return nil, err
		}
		return nil, errNoMemory
	}
	stream, err := chunkedStream(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(max(most, 0))+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > most:
		if err := discardRest(stream, maxBody-len(body)); err != nil {
			return nil, err
		}
		return nil, errNoMemory
	}
	return slices.Clone(body), nil
}

// reserveRequest reserves memory for a request that is about to be read. If there is none left,
// connections whose requests arrive slowly are evicted.
func (c *clientServer) reserveRequest(bytes int64) bool {
	for !c.memory.waiting.tryReserve(bytes) {
		if !c.evictOne(nil, (*clientConn).arrivesSlowly, true) {
			return false
		}
		time.Sleep(time.Millisecond) // the evicted connection releases its memory
	}
	return true
}

// awaitAnswerMemory reserves memory for a callback. While there is none it closes clients that do not read
// their answers. It returns false if there was none within callbackWait. Callbacks wait in turn: hundreds that
// each search for a client to close would take the CPU of usual jobs.
func (c *clientServer) awaitAnswerMemory(bytes int64) bool {
	if c.memory.answers.tryReserve(bytes) {
		return true
	}
	end := time.Now().Add(callbackWait)
	c.callbackTurn.Lock()
	defer c.callbackTurn.Unlock()
	for !c.memory.answers.tryReserve(bytes) {
		if time.Now().After(end) {
			return false
		}
		c.closeSlowReader()
		time.Sleep(callbackRetry)
	}
	return true
}
