// This file implements the stub processes: members that follow a fleet's versions with the program's own
// packages, workers that accept jobs, answer and call back, and dispatchers that watch discovery. A stub
// process gets its task as a line on standard input and ends when its input ends.

package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"

	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetagent"
	"weldmast/internal/fleetrpc"
)

// Task is the work of a stub process, the first line that it reads. One of its fields is set.
type Task struct {
	Members  *MembersTask  `json:"members,omitempty"`
	Workers  *WorkersTask  `json:"workers,omitempty"`
	Watchers *WatchersTask `json:"watchers,omitempty"`
}

// MembersTask is a range of members of one fleet.
type MembersTask struct {
	Fleet   string
	Voters  []fleet.Voter
	First   int
	Count   int
	Figures fleet.Timing
	Apart   float64 // ms between the starts of two members
}

// WorkersTask is a range of workers, each with an address for each dispatcher.
type WorkersTask struct {
	First       int
	Count       int
	Port        int
	Dispatchers []string
	Run         float64 // ms that each job takes
}

// WatchersTask is a number of dispatchers that watch discovery's list.
type WatchersTask struct {
	Discovery string
	Count     int
}

// Report is what a stub process observed since its previous report.
type Report struct {
	LateP99 float64 // ms by which the process's own timers were late
	LateMax float64
	Delays  []int // microseconds from publish to in force, for each version at each member
	Unknown int   // versions that a member skipped before the process knew when they were published
	Behind  int   // members without the newest version that the process knows
	Calls   uint64
	Read    uint64 // bytes of the connections
	Written uint64
	Jobs    int
	Lines   int // lines that discovery sent
}

// stubRole is the part that a stub process plays: members, workers or watchers.
type stubRole interface {
	report(*Report)
	close()
}

// RunStub is the body of a stub process. It reads its task, writes "ready", answers each further line with a
// report, and returns when its input ends.
func RunStub(ctx context.Context, in io.Reader, out io.Writer) error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 8<<20)
	if !lines.Scan() {
		return errors.New("hollow: no task on standard input")
	}
	var t Task
	if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
		return fmt.Errorf("hollow: decode task: %w", err)
	}
	var h stubRole
	var err error
	switch {
	case t.Members != nil:
		h, err = newStubMembers(t.Members)
	case t.Workers != nil:
		h, err = newStubWorkers(t.Workers)
	case t.Watchers != nil:
		h, err = newStubWatchers(t.Watchers)
	default:
		err = errors.New("hollow: the task names no members, workers or watchers")
	}
	if err != nil {
		return err
	}
	defer h.close()
	l := measureLateness(ctx)
	fmt.Fprintln(out, "ready")
	for lines.Scan() && ctx.Err() == nil {
		var r Report
		l.report(&r)
		h.report(&r)
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return fmt.Errorf("hollow: %w", err)
		}
	}
	return nil
}

// timerLateness samples by how much the process's timers are late.
type timerLateness struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

const latenessInterval = 10 * time.Millisecond

func measureLateness(ctx context.Context) *timerLateness {
	l := &timerLateness{hist: hdrhistogram.New(1, 60e6, 3)}
	go func() {
		for ctx.Err() == nil {
			from := time.Now()
			time.Sleep(latenessInterval)
			l.mu.Lock()
			// fails only above the largest value, one minute
			_ = l.hist.RecordValue(max(int64((time.Since(from)-latenessInterval)/1000), 1))
			l.mu.Unlock()
		}
	}()
	return l
}

func (l *timerLateness) report(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.LateP99, r.LateMax = float64(l.hist.ValueAtQuantile(99))/1000, float64(l.hist.Max())/1000
	l.hist.Reset()
}

// stubMembers are the stub members of one process.
type stubMembers struct {
	clock  fleetagent.Clock
	server *fleetrpc.Server
	agents []*fleetagent.Agent

	mu              sync.Mutex
	publishTimes    map[uint64]float64 // by version, in ms of the members' clock
	applied         []uint64
	delays          []int
	unmeasured      int
	newest          uint64
	reportedTraffic [3]uint64
}

// noAdmin answers every administrative request to a stub member that it knows no leader.
type noAdmin struct{}

func (noAdmin) HandleAdmin(context.Context, fleetrpc.AdminRequest) fleetrpc.AdminReply {
	return fleetrpc.AdminReply{NoLeader: true}
}

func newStubMembers(t *MembersTask) (*stubMembers, error) {
	h := &stubMembers{clock: fleetagent.NewClock(), publishTimes: map[uint64]float64{}, applied: make([]uint64, t.Count)}
	l, err := net.Listen("tcp4", "127.0.4.1:0")
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	h.server = fleetrpc.Serve(l, t.Fleet, fleetrpc.ReservedDescriptors, nil, noAdmin{})
	for k := range t.Count {
		name := fmt.Sprintf("h%05d", t.First+k)
		h.agents = append(h.agents, fleetagent.Start(fleetagent.Options{Fleet: t.Fleet, Name: name, Address: l.Addr().String(), IsolationPolicy: fleet.ServeWhenIsolated, Voters: t.Voters,
			Timing: t.Figures, ProgramVersion: "0.2.0", RunID: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()), Seed: uint64(t.First + k + 1), Clock: h.clock,
			OwnsAddress: func() bool { return true }, CheckVersion: func([]byte) error { return nil },
			ApplyVersion: func(v fleet.Version, applied func(string)) error { h.versionApplied(k, v, applied); return nil }},
			fleetagent.NewLeaseGuard(h.clock, name)))
		time.Sleep(time.Duration(t.Apart * 1e6))
	}
	return h, nil
}

// publishMark starts the text of a published version; its publish time follows.
const publishMark = `{"mark":"t`

// VersionText returns the text of a version, of the given size in bytes, with its publish time in ms.
func VersionText(publishTime float64, size int) []byte {
	text := publishMark + strconv.FormatInt(int64(publishTime*1000), 10) + `"`
	return []byte(text + strings.Repeat(" ", max(size-len(text)-1, 0)) + "}")
}

// parsePublishTime returns the publish time from the text of a version.
func parsePublishTime(text []byte) (at float64, ok bool) {
	rest, ok := strings.CutPrefix(string(text[:min(len(text), 64)]), publishMark)
	number, _, _ := strings.Cut(rest, `"`)
	n, err := strconv.ParseInt(number, 10, 64)
	return float64(n) / 1000, ok && err == nil
}

// versionApplied records that a version, and with it all earlier ones, is in force at a member.
func (h *stubMembers) versionApplied(k int, v fleet.Version, applied func(string)) {
	now := h.clock.Now()
	h.mu.Lock()
	if at, ok := parsePublishTime(v.Text); ok {
		h.publishTimes[v.Number] = at
	}
	for n := h.applied[k] + 1; n <= v.Number; n++ {
		if at, ok := h.publishTimes[n]; ok {
			h.delays = append(h.delays, int((now-at)*1000))
		} else {
			h.unmeasured++
		}
	}
	h.applied[k] = v.Number
	h.newest = max(h.newest, v.Number)
	h.mu.Unlock()
	go applied("")
}

func (h *stubMembers) report(r *Report) {
	now := [3]uint64{}
	for _, m := range h.agents {
		calls, read, written := m.Traffic()
		now[0], now[1], now[2] = now[0]+calls, now[1]+read, now[2]+written
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Delays, r.Unknown, h.delays, h.unmeasured = h.delays, h.unmeasured, nil, 0
	for _, n := range h.applied {
		if n < h.newest {
			r.Behind++
		}
	}
	r.Calls, r.Read, r.Written = now[0]-h.reportedTraffic[0], now[1]-h.reportedTraffic[1], now[2]-h.reportedTraffic[2]
	h.reportedTraffic = now
}

func (h *stubMembers) close() {
	var all sync.WaitGroup
	for _, m := range h.agents {
		all.Go(m.Close)
	}
	all.Wait()
	h.server.Close()
}

// stubWorkers are the stub workers of one process.
type stubWorkers struct {
	t         *WorkersTask
	listeners []net.Listener
	client    *fasthttp.Client
	mu        sync.Mutex
	jobs      int
}

// workerAddress is the address of a worker for one dispatcher. All of 127.0.0.0/8 is loopback, so each worker
// gets its own IP address.
func workerAddress(dispatcher, worker, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+dispatcher, worker/250, 1+worker%250, port)
}

func workerName(worker int) string { return fmt.Sprintf("w%05d", worker) }

func newStubWorkers(t *WorkersTask) (*stubWorkers, error) {
	h := &stubWorkers{t: t, client: &fasthttp.Client{MaxConnsPerHost: 256, MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second, NoDefaultUserAgentHeader: true}}
	server := &fasthttp.Server{Handler: h.handleJob, NoDefaultServerHeader: true, IdleTimeout: 15 * time.Second, ReadBufferSize: 2048, Logger: discardLogger{}}
	for d := range t.Dispatchers {
		for w := t.First; w < t.First+t.Count; w++ {
			l, err := net.Listen("tcp4", workerAddress(d, w, t.Port))
			if err != nil {
				h.close()
				return nil, fmt.Errorf("hollow: %w", err)
			}
			h.listeners = append(h.listeners, l)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_ = server.ServeConn(c) // how a connection ends does not matter
						c.Close()
					}()
				}
			}()
		}
	}
	return h, nil
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// handleJob accepts a job and sends the dispatcher the callbacks "started" and "done". The IP address that
// the job came to identifies the dispatcher and the worker.
func (h *stubWorkers) handleJob(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(fasthttp.StatusAccepted)
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ip := ctx.LocalAddr().(*net.TCPAddr).IP.To4()
	id, from := string(ctx.Request.Header.Peek("X-Request-Id")), workerName(int(ip[2])*250+int(ip[3])-1)
	to := h.t.Dispatchers[int(ip[1])-10]
	time.AfterFunc(time.Millisecond, func() { h.sendCallback(to, id, from, "started") })
	time.AfterFunc(time.Duration(h.t.Run*1e6), func() {
		h.sendCallback(to, id, from, "done")
		h.mu.Lock()
		h.jobs++
		h.mu.Unlock()
	})
}

func (h *stubWorkers) sendCallback(to, id, from, state string) {
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	q.SetRequestURI("http://" + to + "/callback")
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetBodyString(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"ok"}`, id, from, state))
	_ = h.client.Do(q, r) // no retry: a dispatcher that has ended needs no callback
}

func (h *stubWorkers) report(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Jobs, h.jobs = h.jobs, 0
}

func (h *stubWorkers) close() {
	for _, l := range h.listeners {
		l.Close()
	}
}

// stubWatchers are stub dispatchers that watch discovery.
type stubWatchers struct {
	conns []net.Conn
	mu    sync.Mutex
	lines int
	bytes uint64
}

func newStubWatchers(t *WatchersTask) (*stubWatchers, error) {
	h := &stubWatchers{}
	for range t.Count {
		c, err := net.Dial("tcp4", t.Discovery)
		if err != nil {
			h.close()
			return nil, fmt.Errorf("hollow: %w", err)
		}
		h.conns = append(h.conns, c)
		go func() {
			fmt.Fprint(c, "GET /v1/endpoints?watch=1 HTTP/1.1\r\nHost: discovery\r\n\r\n")
			buf := make([]byte, 64<<10)
			for {
				n, err := c.Read(buf)
				h.mu.Lock()
				h.bytes += uint64(n)
				h.lines += strings.Count(string(buf[:n]), "\n\r\n")
				h.mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	return h, nil
}

func (h *stubWatchers) report(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Lines, r.Read, h.lines, h.bytes = h.lines, h.bytes, 0, 0
}

func (h *stubWatchers) close() {
	for _, c := range h.conns {
		c.Close()
	}
}

// quantile returns a quantile of sorted values; 0 without values.
func quantile(sorted []int, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(int(q*float64(len(sorted))), len(sorted)-1)])
}
