// This file reads and checks the heads of requests. Until a head is complete, nothing is kept for it but the
// read buffer: fasthttp's parser needs up to twenty times the size of a head. What a request needs of its head
// is copied before its body is read, and the parsed head is dropped.

package transport

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"weldmast/internal/node"
)

// requestError says why a request is refused.
type requestError struct {
	status int // of the answer
	reason string
}

func (e *requestError) Error() string { return e.reason }

func badRequest(reason string) *requestError {
	return &requestError{fasthttp.StatusBadRequest, reason}
}

var (
	errHeadEnd    = errors.New("the head does not end with an empty line")
	errHeadMemory = &requestError{fasthttp.StatusServiceUnavailable, "no memory is left for the head"}
	errHeadSize   = &requestError{fasthttp.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
	errBodySize   = &requestError{fasthttp.StatusRequestEntityTooLarge, "the body is too large"}
	errBadLine    = badRequest("the request line does not end in CRLF")
	errNoRequest  = badRequest("not a request line")
)

// ErrorStatus returns the HTTP status for a request that could not be read.
func ErrorStatus(err error) int {
	var refused *requestError
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &refused):
		return refused.status
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}

// requestKind says what a request is for.
type requestKind int

// Kinds of requests.
const (
	refusedKind requestKind = iota // it is refused once its body has been read
	readinessKind
	callbackKind
	jobKind
)

// requestHead is what a session keeps of the head of a request.
type requestHead struct {
	kind            requestKind
	fault           *requestError // of a refusedKind
	bodyLength      int           // or chunked
	expectsContinue bool          // the client waits to be told that it may send the body
	http10          bool
	headOnly        bool // the response has no body
	last            bool // the client wants the connection to be closed

	// Of a jobKind:
	job       *node.Request
	timeLeft  float64 // time until its expiry once the body has arrived, in ms
	message   *message
	headBytes int          // bytes that are kept of the head
	memory    *reservation // nil: there is none beyond smallRequestBytes
	kept      bool         // there is memory for the whole body
	smallBody int          // if not, a body of up to so many bytes is kept
}

// readHead reads the head of the next request. An error means that the body is not to be read.
func (s *session) readHead() (h requestHead, err error) {
	if err := s.awaitHead(); err != nil {
		return h, err
	}
	r, release := s.server.crowdedHeads.acquire(s.in)
	defer release()
	if err := parseHead(s.conn, s.in, r); err != nil {
		return h, err
	}
	if fault := checkHead(&r.Header); fault != nil {
		return h, fault
	}
	path, _, _ := bytes.Cut(r.Header.RequestURI(), []byte("?"))
	h = requestHead{bodyLength: bodyLength(&r.Header), expectsContinue: r.MayContinue(), http10: !r.Header.IsHTTP11(),
		headOnly: r.Header.IsHead(), last: r.Header.ConnectionClose()}
	switch {
	case string(path) == "/ready" && r.Header.IsGet():
		h.kind = readinessKind
	case !r.Header.IsPost():
		h.fault = &requestError{fasthttp.StatusMethodNotAllowed, "only POST"}
	case string(path) == "/callback":
		h.kind = callbackKind
	default:
		s.keepJob(&h, &r.Header, path)
	}
	return h, nil
}

// keepJob decodes the head of a job and reserves memory for the job.
func (s *session) keepJob(h *requestHead, head *fasthttp.RequestHeader, path []byte) {
	if h.job, h.timeLeft, h.fault = s.server.decodeJob(head, path); h.fault != nil {
		return
	}
	h.kind, h.message = jobKind, &message{}
	h.headBytes = forwardedSize(head) + len(h.job.Key)
	budget, bytes := &s.server.memory.waiting, excessBytes(h.headBytes+bodyBytes(h.bodyLength))
	if h.kept = s.server.reserveRequest(bytes); !h.kept {
		if h.smallBody = smallRequestBytes - h.headBytes; h.smallBody < 0 {
			return
		}
	} else if bytes > 0 {
		h.memory = newReservation(budget, bytes)
	}
	h.message.head, h.message.memory = forwardedHead(head), h.memory
}

// awaitHead waits until the head of a request is in the buffer, and checks its request line as soon as that is
// there.
func (s *session) awaitHead() error {
	searched, lineChecked := 0, false
	for {
		head, _ := s.in.Peek(s.in.Buffered())
		if blank := len(head) - len(bytes.TrimLeft(head, "\r\n")); blank > 0 { // allowed before a request line
			s.in.Discard(blank)
			searched = 0
			continue
		}
		if line, _, complete := bytes.Cut(head, []byte("\n")); complete && !lineChecked {
			if err := checkRequestLine(line); err != nil {
				return err
			}
			lineChecked = true
		}
		if hasHeadEnd(head[searched:]) {
			return nil
		}
		searched = max(len(head)-len(headEnd)+1, 0)
		switch {
		case len(head) >= maxHead:
			return errHeadSize
		case len(head) >= s.in.Size() && !s.growBuffer():
			return errHeadMemory
		}
		if _, err := s.in.Peek(len(head) + 1); err != nil {
			return err
		}
	}
}

var headEnd = []byte("\n\r\n")

// hasHeadEnd reports whether a head ends within the text, whatever its line ends are.
func hasHeadEnd(text []byte) bool {
	return bytes.Contains(text, headEnd) || bytes.Contains(text, []byte("\n\n"))
}

// checkRequestLine checks the form of a request line without its line feed: a method, a path and a version.
func checkRequestLine(line []byte) error {
	line, terminated := bytes.CutSuffix(line, []byte("\r"))
	first, last := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	switch {
	case first <= 0 || last == first || !bytes.HasPrefix(line[last+1:], []byte("HTTP/")):
		return errNoRequest
	case !terminated:
		return errBadLine
	}
	return nil
}

// parseHead parses the head of the next request, which is in the buffer, into r.
func parseHead(conn *clientConn, in *bufio.Reader, r *fasthttp.Request) error {
	conn.headBuffered = true
	err := r.Header.Read(in)
	conn.headBuffered = false
	if err != nil {
		return err
	}
	var uri fasthttp.URI
	return uri.Parse(r.Header.Host(), r.Header.RequestURI())
}

// uniqueHeaders may occur only once in a request: this program and a worker could read a request with two of
// them differently.
var uniqueHeaders = [...]string{contentLength: "Content-Length", transferEncoding: "Transfer-Encoding", 2: "Host", "X-Request-Id", "X-Tenant",
	"X-Deadline", "X-Cost-Hint", "X-Retry", "X-Extras"}

const contentLength, transferEncoding = 0, 1 // indexes of the headers that frame the body

// checkHead returns the reason why parsers could read a request head differently, or why its body cannot be
// read; nil if there is none. fasthttp is more lenient: it accepts lone line feeds, folded lines, blanks in
// names, and Content-Length beside Transfer-Encoding, whose body may hide another request (request smuggling).
func checkHead(h *fasthttp.RequestHeader) *requestError {
	if v := string(h.Protocol()); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return badRequest("not HTTP/1.1 or 1.0")
	}
	var present [len(uniqueHeaders)]bool
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, next, terminated := bytes.Cut(rest, []byte("\r\n"))
		if !terminated {
			return badRequest("a header line does not end in CRLF")
		}
		rest = next
		if len(line) == 0 {
			break
		}
		for _, b := range line {
			if b < ' ' && b != '\t' || b == 0x7f {
				return badRequest("a control character in a header")
			}
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return badRequest("a header's name is empty or holds a blank")
		}
		for k, unique := range uniqueHeaders {
			if !strings.EqualFold(unique, string(name)) {
				continue
			}
			if present[k] {
				return badRequest(unique + " stands there twice")
			}
			present[k] = true
			if k == transferEncoding && !strings.EqualFold(strings.TrimSpace(string(value)), "chunked") {
				return badRequest("Transfer-Encoding is not chunked")
			}
		}
	}
	if present[contentLength] && present[transferEncoding] {
		return badRequest("both Content-Length and Transfer-Encoding")
	}
	if h.ContentLength() > maxBody {
		return errBodySize
	}
	return nil
}

// hopHeaders are the headers that concern only the client's connection, or that each hand-off sets itself.
var hopHeaders = []string{"Host", "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer",
	"Upgrade", "Expect", "X-Deadline", "Content-Length"}

// forwardedHead returns a request's head as it goes to any worker: method, path, query and ID byte for byte,
// without hopHeaders and the empty line. The head must have been checked. There is room for what setBody adds.
func forwardedHead(h *fasthttp.RequestHeader) []byte {
	head := make([]byte, 0, forwardedSize(h))
	head = append(append(head, h.Method()...), ' ')
	head = append(append(head, h.RequestURI()...), " HTTP/1.1\r\n"...)
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, next, _ := bytes.Cut(rest, []byte("\r\n"))
		if rest = next; len(line) == 0 {
			break
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); !isHopHeader(string(name)) {
			head = append(append(head, line...), "\r\n"...)
		}
	}
	return head
}

// forwardedSize returns a bound on the size of a request's forwardedHead.
func forwardedSize(h *fasthttp.RequestHeader) int {
	const versionAndBlanks = 16
	return len(h.Method()) + len(h.RequestURI()) + len(h.RawHeaders()) + versionAndBlanks + contentLengthBytes
}

func isHopHeader(name string) bool {
	for _, hop := range hopHeaders {
		if strings.EqualFold(hop, name) {
			return true
		}
	}
	return false
}
