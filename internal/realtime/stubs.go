// This file owns the stand-ins: workers that take hand-offs and call back, discovery's agent, and clients.

package realtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

// standIn is one worker: an address for each dispatcher, so that it is known who sends.
type standIn struct {
	id    string
	doors []*door
}

// door is where one dispatcher finds one worker.
type door struct {
	h      *host
	worker string
	addr   string
	port   int
	mu     sync.Mutex
	l      net.Listener
	kept   int // the descriptor that keeps the port while nothing listens there; 0: none
	conns  map[net.Conn]bool
	out    map[string]*fleetmodel.HandOff // the last of each id; the world's goroutine's
}

// Accept keeps account of connections, so that a worker's death can reset them.
type accepting struct {
	net.Listener
	d *door
	r *rig
}

type counted struct {
	*net.TCPConn
	d *door
}

func (c *counted) Close() error {
	c.d.mu.Lock()
	delete(c.d.conns, c)
	c.d.mu.Unlock()
	return c.TCPConn.Close()
}

func (a accepting) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		a.r.ranOut(err)
		return nil, err
	}
	x := &counted{c.(*net.TCPConn), a.d}
	a.d.mu.Lock()
	a.d.conns[x] = true
	a.d.mu.Unlock()
	return x, nil
}

func (r *rig) newWorker(m fleetmodel.WorkerEntry) error {
	s := &standIn{id: m.ID}
	for _, h := range r.hosts {
		d := &door{h: h, worker: m.ID, conns: map[net.Conn]bool{}, out: map[string]*fleetmodel.HandOff{}}
		if err := r.listen(d, workersAt); err != nil {
			return err
		}
		h.doors[m.ID] = d
		s.doors = append(s.doors, d)
	}
	r.workers[m.ID] = s
	return nil
}

func (r *rig) listen(d *door, at string) error {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	a := l.Addr().(*net.TCPAddr)
	d.addr, d.port = a.String(), a.Port
	d.mu.Lock()
	d.l = l
	d.release()
	d.mu.Unlock()
	r.at.Store(d.port, d)
	r.running.Go(func() { _ = r.server.Serve(accepting{l, d, r}) }) // ends when it is closed
	return nil
}

// reserve keeps the port of a worker that is down: bound and not listening, so that connections are refused, and that nobody
// who asks for any port gets it meanwhile. Without it the worker could not come back.
func (d *door) reserve() {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return // listening there again will tell
	}
	at := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(d.addr))
	if syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) != nil ||
		syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}) != nil {
		syscall.Close(fd)
		return
	}
	d.kept = fd
}

func (d *door) release() {
	if d.kept > 0 {
		syscall.Close(d.kept)
		d.kept = 0
	}
}

// close refuses connections and resets those that are there.
func (s *standIn) close() {
	for _, d := range s.doors {
		d.mu.Lock()
		if d.l != nil {
			d.l.Close()
			d.l = nil
			d.reserve()
		}
		conns := make([]net.Conn, 0, len(d.conns))
		for c := range d.conns {
			conns = append(conns, c)
		}
		d.mu.Unlock()
		for _, c := range conns {
			_ = c.(*counted).SetLinger(0)
			c.Close()
		}
	}
}

// Up and Down are a worker's process: with it its connections end, and new ones are refused.
func (r *rig) WorkerStarted(id string) {
	s := r.workers[id]
	if s == nil { // a replacement that was not there at the start
		if err := r.newWorker(fleetmodel.WorkerEntry{ID: id}); err != nil && r.failed == nil {
			r.failed = err
		}
		return
	}
	for _, d := range s.doors {
		d.mu.Lock()
		open := d.l != nil
		d.mu.Unlock()
		if !open {
			if err := r.listen(d, d.addr); err != nil && r.failed == nil {
				r.failed = err
			}
		}
	}
}

// Down as Up.
func (r *rig) WorkerStopped(id string) {
	if s := r.workers[id]; s != nil {
		s.close()
	}
}

// handOff serves all workers: POST hands a job off, DELETE calls one off.
func (r *rig) handOff(ctx *fasthttp.RequestCtx) {
	found, ok := r.at.Load(ctx.LocalAddr().(*net.TCPAddr).Port)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	d := found.(*door)
	if ctx.IsDelete() {
		id := strings.TrimPrefix(string(ctx.Path()), "/jobs/")
		r.do(func() {
			if h := d.out[id]; h != nil {
				r.w.CancelHandOff(h)
			}
		})
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	end := make(chan fleetmodel.HandOffResult, 2)
	release, came := string(ctx.Request.Header.Peek("X-Release")), r.now()
	r.do(func() {
		if old := d.out[id]; old != nil {
			r.w.CancelHandOff(old) // its connection was closed, or it would not be sent again
		}
		if r.fleet != nil {
			r.fleet.saw(d, id, release, came)
		}
		d.out[id] = r.w.HandOff(d.h.n, id, d.worker, end)
	})
	var how fleetmodel.HandOffResult
	select {
	case how = <-end:
	case <-r.ctx.Done():
		how = fleetmodel.ConnectionReset
	}
	switch how {
	case fleetmodel.Accepted:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case fleetmodel.Rejected:
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case fleetmodel.Failed:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	default:
		if c, ok := ctx.Conn().(*counted); ok {
			_ = c.SetLinger(0)
			c.Close()
		}
	}
}

// Ended answers a hand-off's request.
func (r *rig) HandOffEnded(_ int, h *fleetmodel.HandOff, how fleetmodel.HandOffResult) {
	select {
	case h.Tag.(chan fleetmodel.HandOffResult) <- how:
	default: // it was answered
	}
}

// Callback is told in order by one goroutine for each worker and dispatcher, with further tries until it is taken.
func (r *rig) Callback(n int, c fleetmodel.Callback) bool {
	h := r.hosts[n]
	q := h.callQueue[c.From]
	if q == nil {
		q = make(chan fleetmodel.Callback, 4096)
		h.callQueue[c.From] = q
		r.running.Go(func() { r.call(h, q) })
	}
	select {
	case q <- c:
	default: // a dispatcher that takes none: more would only wait
	}
	return true
}

func (r *rig) call(h *host, q chan fleetmodel.Callback) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case c := <-q:
			body, err := json.Marshal(map[string]any{"id": c.ID, "from": c.From, "state": c.State, "share": c.Progress, "result": c.Result})
			if err != nil {
				panic(err) // of texts and a number
			}
			for range 10 {
				if r.post("http://"+h.listen+"/callback", body) {
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

func (r *rig) post(url string, body []byte) bool {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI(url)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetBodyRaw(body)
	err := r.calls.Do(q, a)
	r.ranOut(err)
	return err == nil && a.StatusCode() < 300
}

var phases = map[dispatch.WorkerState]string{dispatch.Up: "in_service", dispatch.Draining: "terminating", dispatch.Gone: "terminated"}

// list is a listing as discovery's agent writes it for one dispatcher.
func (r *rig) list(h *host, l fleetmodel.DiscoveryUpdate) map[string]any {
	members := []any{}
	for _, m := range l.Workers {
		d := h.doors[m.ID]
		if d == nil {
			continue
		}
		since := int64(0)
		if m.StartTime >= 0 {
			since = int64(r.unix(m.StartTime))
		}
		members = append(members, map[string]any{"id": m.ID, "host_port": d.addr, "locality": fleetmodel.SiteName(m.Site),
			"flavor": r.x.Kinds[m.Kind].Name, "cell": 0, "phase": phases[m.State], "size": 1.0, "up_since_ms": since})
	}
	return map[string]any{"revision": l.Revision, "complete": l.Complete, "members": members}
}

// discovery serves one dispatcher's agent.
func (r *rig) discovery(h *host, w http.ResponseWriter, q *http.Request) {
	lines := make(chan []byte, 256)
	after, err := strconv.ParseInt(q.FormValue("after"), 10, 64)
	if err != nil {
		after = -1
	}
	number := 0
	r.do(func() {
		h.numbers++
		number = h.numbers
		for _, older := range h.watches { // a newer watch takes the place of the one before, which says nothing more
			close(older)
		}
		h.watches = map[int]chan []byte{number: lines}
		r.w.Watch(h.n, number, after)
	})
	defer r.do(func() { delete(h.watches, number) })
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-q.Context().Done():
			return
		case text, more := <-lines:
			if !more {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
			if q.FormValue("watch") == "" {
				return
			}
		case <-beat.C:
			if r.hushed.Load() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
	}
}

// List hands a line to the watch that it belongs to.
func (r *rig) DiscoveryUpdated(d int, l fleetmodel.DiscoveryUpdate) {
	h := r.hosts[d]
	text, err := json.Marshal(r.list(h, l))
	if err != nil {
		panic(err) // of texts and numbers
	}
	if lines := h.watches[l.Watch]; lines != nil {
		select {
		case lines <- text:
		default: // nobody reads; it will ask again
			r.WatchEnded(d, l.Watch)
		}
	}
}

// Broken ends a watch.
func (r *rig) WatchEnded(d, watch int) {
	h := r.hosts[d]
	if lines := h.watches[watch]; lines != nil {
		delete(h.watches, watch)
		close(lines)
	}
}

// Message brings a sibling's datagram from the address at which the dispatcher knows the sibling.
func (r *rig) PeerMessage(d, from int, data []byte) {
	h := r.hosts[d]
	_, _ = h.relays[from].WriteToUDP(data, h.peerAt) // lost, as datagrams may be
}

// Request is a client's; its answer comes back to the world.
func (r *rig) RequestArrived(d int, t *fleetmodel.Request) {
	h := r.hosts[d]
	ctx, cancel := context.WithCancel(r.ctx)
	h.open[t.ID] = cancel
	j := t.Job
	left := t.Deadline - r.w.Now()
	tenant := ""
	if j.Tenant >= 0 {
		tenant = r.x.Tenants[j.Tenant].Name
	}
	r.running.Go(func() {
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/%d", h.listen, r.x.Categories[j.Category].Name, j.Number), http.NoBody)
		if err != nil {
			panic(err) // our own address and names
		}
		q.Header = http.Header{"X-Request-Id": {t.ID}, "X-Deadline": {strconv.FormatFloat(max(left, 0)/1000, 'f', 6, 64)}}
		if j.Hint > 0 {
			q.Header["X-Cost-Hint"] = []string{strconv.FormatFloat(j.Hint*1000, 'f', 3, 64)}
		}
		if tenant != "" {
			q.Header["X-Tenant"] = []string{tenant}
		}
		if t.Retry {
			q.Header["X-Retry"] = []string{"1"}
		}
		a, err := r.client.Do(q)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(a.Body)
			a.Body.Close()
		}
		left := ctx.Err() != nil
		r.ranOut(err)
		r.do(func() {
			delete(h.open, t.ID)
			switch {
			case left && err != nil:
			case err != nil:
				r.w.ConnectionBroken(t, errors.Is(err, syscall.ECONNREFUSED))
			case a.StatusCode == http.StatusOK:
				r.w.Answer(d, t.ID, fleetmodel.Served, string(body), 0)
			case slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, a.StatusCode):
				pause, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64) // none: no advice
				r.w.Answer(d, t.ID, fleetmodel.RetryLater, "", pause*1000)
			default:
				r.w.Answer(d, t.ID, fleetmodel.OtherStatus, "", 0)
			}
		})
	})
}

// Leave closes a client's connection.
func (r *rig) ClientLeft(d int, t *fleetmodel.Request) {
	if cancel := r.hosts[d].open[t.ID]; cancel != nil {
		cancel()
	}
}
