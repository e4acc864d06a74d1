// This file handles jobs: it decodes a client's request, passes it to the node and writes the reply. It must
// never answer for a work item before the node has.

package transport

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"weldmast/internal/metrics"
	"weldmast/internal/node"
)

// serveJob passes a job to the node and waits for its reply. It reports whether another process answers.
func (s *session) serveJob(h requestHead) (handedOver bool) {
	c, conn, job, m := s.server, s.conn, h.job, h.message
	body, err := s.readJobBody(h)
	conn.markServing()
	noMemory := errors.Is(err, errNoMemory)
	if err != nil && !noMemory {
		s.refuse(err)
		return false
	}
	if noMemory {
		slog.Warn("memory", "memory", "request not kept", "id", job.ID, "reserved", c.memory.waiting.used.Load())
	} else {
		m.setBody(body)
	}
	job.Message, job.ContentDropped, job.Expiry = m, noMemory, c.node.Now()+h.timeLeft-conn.sinceLastByte()
	reply := conn.expectReply(job)
	c.metrics.JobAccepted()
	s.releaseBuffer(false)
	r := node.Reply{Result: node.Deferred}
	switch _, disconnected := conn.peek(); {
	case disconnected: // while the request was still unread
		logDisconnected(job.ID, "unread")
		r.Result = node.ClientGone
	case c.node.Enqueue(node.RequestArrived{Request: job}):
		conn.watchClose(func() { c.node.Enqueue(node.ClientDisconnected{Request: job}) })
		select {
		case r = <-reply:
			if r.Result != node.DuplicateID {
				conn.markProven()
			}
		case <-c.node.Done(): // the request arrived after the last round: nothing was sent
		}
		conn.stopWatch()
	}
	return s.finishJob(job, m, r)
}

// finishJob hands a job over, or sets the response for its reply. It reports whether the job was handed over.
func (s *session) finishJob(job *node.Request, m *message, r node.Reply) (handedOver bool) {
	c := s.server
	m.gate.awaitIdle()
	if r.Result == node.HandedOver {
		s.unreadBuffer()
	}
	if r.Result == node.HandedOver && c.handOver(s.conn, r.Job, m) {
		c.metrics.ClientLeft()
		return true
	}
	s.conn.reserveAnswer(len(r.Body))
	s.setReply(r)
	if s.conn.pipelineOverflow || r.Result == node.Deferred && c.closeAfterDeferral.Load() {
		s.last = true
	}
	c.countResult(job.Category, r.Result)
	return false
}

// readJobBody reads the body of a job, within the memory that was reserved for it. If that is too little, it
// reads the body to its end and returns errNoMemory.
func (s *session) readJobBody(h requestHead) ([]byte, error) {
	if !h.kept {
		return readSmallBody(s.in, h.bodyLength, h.smallBody)
	}
	if h.memory != nil {
		s.conn.markArriving()
	}
	body, err := readBody(s.in, h.bodyLength)
	h.memory.shrink(excessBytes(h.headBytes + len(body)))
	return body, err
}

// expectReply returns a channel that receives the reply to the client. Until then, and while the client's
// connection is open, the work item may be sent.
func (c *clientConn) expectReply(client *node.Request) <-chan node.Reply {
	reply, m := make(chan node.Reply, 1), client.Message.(*message)
	client.Respond = func(r node.Reply) {
		m.gate.close()
		reply <- r
	}
	m.clientWaits = func() bool {
		_, left := c.peek()
		return !left && !m.gate.isClosed()
	}
	return reply
}

// logDisconnected logs that the client of a work item disconnected before it was sent, and at which stage.
func logDisconnected(id, stage string) { slog.Info("left", "left", stage, "id", id) }

// countResult counts the result of a work item in the metrics.
func (c *clientServer) countResult(category int, r node.Result) {
	switch r {
	case node.Served:
		c.metrics.JobAnswered(category, metrics.OK)
	case node.Deferred:
		c.metrics.JobAnswered(category, metrics.Shed)
	case node.WrittenOff, node.TimedOut, node.HandedOver: // a failed hand-over
		c.metrics.JobAnswered(category, metrics.Error)
	case node.DuplicateID, node.ClientGone: // not a work item of its own; no client to answer
		c.metrics.ClientLeft()
	}
}

// decodeJob decodes the head of a job. It copies everything that it keeps. The job's Expiry is not set yet: it
// begins when the body has arrived, and ends timeLeft ms later.
func (c *clientServer) decodeJob(r *fasthttp.RequestHeader, path []byte) (job *node.Request, timeLeft float64, fault *requestError) {
	invalid := func(format string, a ...any) (*node.Request, float64, *requestError) {
		return nil, 0, badRequest(fmt.Sprintf(format, a...))
	}
	id := string(r.Peek("X-Request-Id"))
	if id == "" || len(id) > maxIDLength {
		return invalid("X-Request-Id is missing or too long")
	}
	if len(path) == 0 || path[0] != '/' {
		return invalid("path %q does not begin with /", path)
	}
	segment, rest, _ := bytes.Cut(path[1:], []byte("/"))
	category := slices.Index(c.names.Categories, string(segment))
	if category < 0 { // the path may hold the name as it is, even if it looks percent-encoded, or percent-encoded
		if name, err := url.PathUnescape(string(segment)); err == nil {
			category = slices.Index(c.names.Categories, name)
		}
	}
	if category < 0 {
		return nil, 0, &requestError{fasthttp.StatusNotFound, fmt.Sprintf("%q is not a known category", segment)}
	}
	tenant := slices.Index(c.names.Tenants, string(r.Peek("X-Tenant")))
	if tenant < 0 && len(c.names.Tenants) > 0 && len(r.Peek("X-Tenant")) > 0 {
		return invalid("X-Tenant is not known")
	}
	deadline, fault := decimalHeader(r, "X-Deadline", c.expiries[category]/1000)
	if fault != nil {
		return nil, 0, fault
	}
	hint, fault := decimalHeader(r, "X-Cost-Hint", 0)
	if fault != nil {
		return nil, 0, fault
	}
	// A deadline beyond the category's expiry counts as the expiry. Otherwise one unusual client would make
	// all other work items of the category look like retries.
	timeLeft = min(deadline*1000, c.expiries[category])
	return &node.Request{ID: id, Category: category, Tenant: tenant, Hint: hint / 1000, Key: keyOf(rest)}, timeLeft, nil
}

// keyOf returns the key of a request: the last segment of its path after the category, byte for byte.
func keyOf(rest []byte) string { return string(rest[bytes.LastIndexByte(rest, '/')+1:]) }

// decimalHeader reads a header with a plain decimal number: digits, optionally with a decimal point.
func decimalHeader(r *fasthttp.RequestHeader, header string, fallback float64) (float64, *requestError) {
	all := r.PeekAll(header)
	if len(all) == 0 {
		return fallback, nil
	}
	text := string(all[0])
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || x > math.MaxInt32 {
		return 0, badRequest(fmt.Sprintf("%s: %q is not a plain decimal", header, text[:min(len(text), maxReasonLength)]))
	}
	return x, nil
}

// setReply sets the response for a reply.
func (s *session) setReply(reply node.Reply) {
	r := s.response
	switch reply.Result {
	case node.Served:
		r.SetBodyRaw([]byte(reply.Body)) // SetBodyString would leave a buffer of that size in a pool
	case node.Deferred:
		respondText(r, fasthttp.StatusServiceUnavailable, "deferred: try again")
		if reply.RetryAfter > 0 {
			r.Header.Set("Retry-After", strconv.FormatFloat(reply.RetryAfter/1000, 'f', 3, 64))
		}
	case node.WrittenOff, node.HandedOver:
		respondText(r, fasthttp.StatusBadGateway, "written off: it may have run")
	case node.TimedOut:
		respondText(r, fasthttp.StatusGatewayTimeout, "no answer in time")
	case node.DuplicateID:
		respondText(r, fasthttp.StatusConflict, "X-Request-Id is in use")
		s.last = true
	case node.ClientGone:
		s.last = true
	}
}
