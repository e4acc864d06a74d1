// This file contains the stubs: workers that accept hand-offs and send callbacks, discovery's agent, and
// clients.

package realtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleetmodel"
)

// stubWorker is one worker. It has an address for each dispatcher, so that the sender of a hand-off is known.
type stubWorker struct {
	id        string
	endpoints []*endpoint
}

// endpoint is the address of one worker for one dispatcher.
type endpoint struct {
	dispatcher *dispatcher
	worker     string
	addr       string
	port       int
	mu         sync.Mutex
	listener   net.Listener
	reservedFD int // socket that reserves the port while nothing listens on it; 0: none
	conns      map[net.Conn]bool
	handOffs   map[string]*fleetmodel.HandOff // the latest of each ID; used by the event loop only
}

// trackingListener records the connections it accepts, so that they can be reset when the worker dies.
type trackingListener struct {
	net.Listener
	endpoint *endpoint
	run      *run
}

// trackedConn is a connection that a trackingListener has accepted.
type trackedConn struct {
	*net.TCPConn
	endpoint  *endpoint
	arrivedAt time.Time // when the first bytes of the request arrived; zero: none did, or it is not known
}

// Read reads from the connection and records when a request began to arrive.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, arrivedAt, err := readArrived(c.TCPConn, p)
	if c.arrivedAt.IsZero() {
		c.arrivedAt = arrivedAt
	}
	return n, err
}

// Write writes to the connection. What arrives afterwards is another request.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.arrivedAt = time.Time{}
	return c.TCPConn.Write(p)
}

// Close closes the connection and removes it from its endpoint.
func (c *trackedConn) Close() error {
	c.endpoint.mu.Lock()
	delete(c.endpoint.conns, c)
	c.endpoint.mu.Unlock()
	return c.TCPConn.Close()
}

// Accept accepts a connection and adds it to the endpoint.
func (a trackingListener) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		a.run.noteDescriptorError(err)
		return nil, err
	}
	x := &trackedConn{TCPConn: c.(*net.TCPConn), endpoint: a.endpoint}
	_ = recordArrivals(x.TCPConn) // without it, a request counts as arrived when it is read
	a.endpoint.mu.Lock()
	a.endpoint.conns[x] = true
	a.endpoint.mu.Unlock()
	return x, nil
}

// newWorker opens the addresses of a worker.
func (r *run) newWorker(m fleetmodel.WorkerEntry) error {
	s := &stubWorker{id: m.ID}
	for _, h := range r.dispatchers {
		d := &endpoint{dispatcher: h, worker: m.ID, conns: map[net.Conn]bool{}, handOffs: map[string]*fleetmodel.HandOff{}}
		if err := r.openEndpoint(d, workerListenAddr); err != nil {
			return err
		}
		h.endpoints[m.ID] = d
		s.endpoints = append(s.endpoints, d)
	}
	r.workers[m.ID] = s
	return nil
}

// openEndpoint listens on an address and serves it.
func (r *run) openEndpoint(d *endpoint, at string) error {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return fmt.Errorf("stub worker: %w", err)
	}
	a := l.Addr().(*net.TCPAddr)
	d.addr, d.port = a.String(), a.Port
	d.mu.Lock()
	d.listener = l
	d.releasePort()
	d.mu.Unlock()
	r.endpoints.Store(d.port, d)
	// returns when the listener is closed
	r.goroutines.Go(func() { _ = r.workerServer.Serve(trackingListener{l, d, r}) })
	return nil
}

// reservePort keeps the port of a worker that is down. The port is bound but nothing listens on it, so that
// connections are refused and the kernel assigns it to no other socket. Without it the worker might not get
// its port back.
func (d *endpoint) reservePort() {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return // openEndpoint reports it if the port is lost
	}
	at := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(d.addr))
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) != nil ||
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}) != nil {
		syscall.Close(fd)
		return
	}
	d.reservedFD = fd
}

func (d *endpoint) releasePort() {
	if d.reservedFD > 0 {
		syscall.Close(d.reservedFD)
		d.reservedFD = 0
	}
}

// close refuses new connections and resets the open ones.
func (s *stubWorker) close() {
	for _, d := range s.endpoints {
		d.mu.Lock()
		if d.listener != nil {
			d.listener.Close()
			d.listener = nil
			d.reservePort()
		}
		conns := make([]net.Conn, 0, len(d.conns))
		for c := range d.conns {
			conns = append(conns, c)
		}
		d.mu.Unlock()
		for _, c := range conns {
			_ = c.(*trackedConn).SetLinger(0)
			c.Close()
		}
	}
}

// WorkerStarted opens the addresses of a worker whose process starts.
func (r *run) WorkerStarted(id string) {
	s := r.workers[id]
	if s == nil { // a replacement that did not exist at the start of the run
		if err := r.newWorker(fleetmodel.WorkerEntry{ID: id}); err != nil && r.failure == nil {
			r.failure = err
		}
		return
	}
	for _, d := range s.endpoints {
		d.mu.Lock()
		open := d.listener != nil
		d.mu.Unlock()
		if !open {
			if err := r.openEndpoint(d, d.addr); err != nil && r.failure == nil {
				r.failure = err
			}
		}
	}
}

// WorkerStopped resets the connections of a worker whose process ends, and refuses new ones.
func (r *run) WorkerStopped(id string) {
	if s := r.workers[id]; s != nil {
		s.close()
	}
}

// serveHandOff serves all workers: POST hands off a job, DELETE cancels one.
func (r *run) serveHandOff(ctx *fasthttp.RequestCtx) {
	found, ok := r.endpoints.Load(ctx.LocalAddr().(*net.TCPAddr).Port)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	d := found.(*endpoint)
	if ctx.IsDelete() {
		id := strings.TrimPrefix(string(ctx.Path()), "/jobs/")
		r.enqueue(func() {
			if h := d.handOffs[id]; h != nil {
				r.model.CancelHandOff(h)
			}
		})
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	results := make(chan fleetmodel.HandOffResult, 2)
	release, receivedAt := string(ctx.Request.Header.Peek("X-Release")), r.now()
	leftAt := r.now()
	if c, ok := ctx.Conn().(*trackedConn); ok {
		leftAt = r.modelTime(c.arrivedAt)
	}
	r.enqueue(func() {
		if previous := d.handOffs[id]; previous != nil {
			r.model.CancelHandOff(previous) // its connection has ended, otherwise the ID would not be sent again
		}
		if r.fleet != nil {
			r.fleet.recordHandOff(d, id, release, receivedAt)
		}
		d.handOffs[id] = r.model.HandOffAt(leftAt, d.dispatcher.index, id, d.worker, results)
	})
	var result fleetmodel.HandOffResult
	select {
	case result = <-results:
	case <-r.ctx.Done():
		result = fleetmodel.ConnectionReset
	}
	switch result {
	case fleetmodel.Accepted:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case fleetmodel.Rejected:
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case fleetmodel.Failed:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	default:
		if c, ok := ctx.Conn().(*trackedConn); ok {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

// HandOffEnded answers a hand-off's request.
func (r *run) HandOffEnded(_ int, h *fleetmodel.HandOff, result fleetmodel.HandOffResult) {
	select {
	case h.Tag.(chan fleetmodel.HandOffResult) <- result:
	default: // it was answered before
	}
}

// Callback queues a callback. One goroutine for each worker and dispatcher sends them in order and retries
// until the dispatcher accepts them, up to ten times.
func (r *run) Callback(n int, c fleetmodel.Callback) bool {
	h := r.dispatchers[n]
	q := h.callbackQueues[c.From]
	if q == nil {
		q = make(chan fleetmodel.Callback, 4096)
		h.callbackQueues[c.From] = q
		r.goroutines.Go(func() { r.sendCallbacks(h, q) })
	}
	select {
	case q <- c:
	default: // the dispatcher accepts none, and the queue is full: the callback is dropped
	}
	return true
}

func (r *run) sendCallbacks(h *dispatcher, q chan fleetmodel.Callback) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case c := <-q:
			body, err := json.Marshal(map[string]any{"id": c.ID, "from": c.From, "state": c.State, "share": c.Progress, "result": c.Result})
			if err != nil {
				panic(err) // cannot happen: strings and a number
			}
			for range 10 {
				if r.postCallback("http://"+h.listen+"/callback", body) {
					break
				}
				select {
				case <-r.ctx.Done():
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}
	}
}

func (r *run) postCallback(url string, body []byte) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	err := r.callbackClient.Do(request, response)
	r.noteDescriptorError(err)
	return err == nil && response.StatusCode() < 300
}

var phaseNames = map[dispatch.WorkerState]string{dispatch.Up: "in_service", dispatch.Draining: "terminating", dispatch.Gone: "terminated"}

// discoveryListing returns an update in the form in which discovery's agent sends it to one dispatcher.
func (r *run) discoveryListing(h *dispatcher, l fleetmodel.DiscoveryUpdate) map[string]any {
	members := []any{}
	for _, m := range l.Workers {
		d := h.endpoints[m.ID]
		if d == nil {
			continue
		}
		since := int64(0)
		if m.StartTime >= 0 {
			since = int64(r.unixMillis(m.StartTime))
		}
		members = append(members, map[string]any{"id": m.ID, "host_port": d.addr, "locality": fleetmodel.SiteName(m.Site),
			"flavor": r.experiment.Kinds[m.Kind].Name, "cell": 0, "phase": phaseNames[m.State], "size": 1.0, "up_since_ms": since})
	}
	return map[string]any{"revision": l.Revision, "complete": l.Complete, "members": members}
}

// serveDiscovery is the discovery agent of one dispatcher.
func (r *run) serveDiscovery(h *dispatcher, w http.ResponseWriter, request *http.Request) {
	lines := make(chan []byte, 256)
	after, err := strconv.ParseInt(request.FormValue("after"), 10, 64)
	if err != nil {
		after = -1
	}
	watch := 0
	r.enqueue(func() {
		h.lastWatch++
		watch = h.lastWatch
		for _, previous := range h.watches { // a new watch replaces the previous one, which ends
			close(previous)
		}
		h.watches = map[int]chan []byte{watch: lines}
		r.model.Watch(h.index, watch, after)
	})
	defer r.enqueue(func() { delete(h.watches, watch) })
	keepAlive := time.NewTicker(2 * time.Second)
	defer keepAlive.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-request.Context().Done():
			return
		case text, open := <-lines:
			if !open {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
			if request.FormValue("watch") == "" {
				return
			}
		case <-keepAlive.C:
			if r.discoverySilent.Load() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
	}
}

// DiscoveryUpdated sends an update to the watch it belongs to.
func (r *run) DiscoveryUpdated(d int, l fleetmodel.DiscoveryUpdate) {
	h := r.dispatchers[d]
	text, err := json.Marshal(r.discoveryListing(h, l))
	if err != nil {
		panic(err) // cannot happen: strings and numbers
	}
	if lines := h.watches[l.Watch]; lines != nil {
		select {
		case lines <- text:
		default: // nobody reads the watch: it ends, and the dispatcher opens a new one
			r.WatchEnded(d, l.Watch)
		}
	}
}

// WatchEnded ends a watch.
func (r *run) WatchEnded(d, watch int) {
	h := r.dispatchers[d]
	if lines := h.watches[watch]; lines != nil {
		delete(h.watches, watch)
		close(lines)
	}
}

// PeerMessage delivers a peer's datagram from the address at which the dispatcher knows that peer.
func (r *run) PeerMessage(d, from int, data []byte) {
	h := r.dispatchers[d]
	_, _ = h.peerRelays[from].WriteToUDP(data, h.peerAddr) // an error is a lost datagram
}

// RequestArrived sends a client's request and passes the answer to the model.
func (r *run) RequestArrived(d int, t *fleetmodel.Request) {
	h := r.dispatchers[d]
	ctx, cancel := context.WithCancel(r.ctx)
	h.cancelRequest[t.ID] = cancel
	j := t.Job
	remaining := t.Deadline - r.model.Now()
	tenant := ""
	if j.Tenant >= 0 {
		tenant = r.experiment.Tenants[j.Tenant].Name
	}
	r.goroutines.Go(func() {
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/%d", h.listen, r.experiment.Categories[j.Category].Name, j.Number), http.NoBody)
		if err != nil {
			panic(err) // cannot happen: the address and the names are valid
		}
		var conn *clientConn
		request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*clientConn) }}))
		request.Header = http.Header{"X-Request-Id": {t.ID}, "X-Deadline": {strconv.FormatFloat(max(remaining, 0)/1000, 'f', 6, 64)}}
		if j.Hint > 0 {
			request.Header["X-Cost-Hint"] = []string{strconv.FormatFloat(j.Hint*1000, 'f', 3, 64)}
		}
		if tenant != "" {
			request.Header["X-Tenant"] = []string{tenant}
		}
		if t.Retry {
			request.Header["X-Retry"] = []string{"1"}
		}
		response, err := r.httpClient.Do(request)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		leftAt, clientLeft := r.now(), ctx.Err() != nil
		if conn != nil {
			leftAt = r.modelTime(conn.answerArrivedAt())
		}
		r.noteDescriptorError(err)
		r.enqueue(func() {
			delete(h.cancelRequest, t.ID)
			switch {
			case clientLeft && err != nil:
			case err != nil:
				r.model.ConnectionBroken(t, errors.Is(err, syscall.ECONNREFUSED))
			case response.StatusCode == http.StatusOK:
				r.model.AnswerAt(leftAt, d, t.ID, fleetmodel.Served, string(body), 0)
			case slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, response.StatusCode):
				retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 without the header
				r.model.AnswerAt(leftAt, d, t.ID, fleetmodel.RetryLater, "", retryAfter*1000)
			default:
				r.model.AnswerAt(leftAt, d, t.ID, fleetmodel.OtherStatus, "", 0)
			}
		})
	})
}

// ClientLeft closes a client's connection.
func (r *run) ClientLeft(d int, t *fleetmodel.Request) {
	if cancel := r.dispatchers[d].cancelRequest[t.ID]; cancel != nil {
		cancel()
	}
}
