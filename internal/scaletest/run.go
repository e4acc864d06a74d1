// This file owns a run: it starts processes, real and hollow, lets them grow, reads what they cost from outside, and ends them.

package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"github.com/valyala/fasthttp"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetagent"
	"weldmast/internal/fleetmodel"
	"weldmast/internal/fleetrpc"
)

// Options say what to run with.
type Options struct {
	DispatcherProgram string // bin/weldmast
	VoterProgram      string
	StubCommand       []string // the command that makes a hollow process
	Progress          func(string)
}

// Usage is what one role costs, the mean over its processes, in a second.
type Usage struct {
	Processes  int     `json:"processes"`
	CPU        float64 `json:"cpu"` // part of a core
	ResidentMB float64 `json:"resident_mb"`
	Read       float64 `json:"read_bytes"` // by system calls that read and write: sockets, and for real members their folder
	Written    float64 `json:"written_bytes"`
	Reads      float64 `json:"reads"`
	Writes     float64 `json:"writes"`
}

// Point is one size, measured.
type Point struct {
	Series      string           `json:"series"` // members, workers, teams, rounds
	Size        int              `json:"size"`
	VersionRate float64          `json:"versions,omitempty"` // a second, wanted
	JobRate     float64          `json:"rate,omitempty"`     // jobs a second, wanted
	Seconds     float64          `json:"seconds"`
	Roles       map[string]Usage `json:"roles"`
	Published   int              `json:"published,omitempty"`
	InForceP50  float64          `json:"in_force_p50_ms,omitempty"`
	InForceP99  float64          `json:"in_force_p99_ms,omitempty"`
	InForceMax  float64          `json:"in_force_all_ms,omitempty"`
	Unmeasured  int              `json:"unknown,omitempty"` // passed over before it was known when they were published
	Behind      int              `json:"behind,omitempty"`  // hollow members without the newest one at the end
	StubLink    LinkUsage        `json:"member_link"`       // a hollow member's, mean
	Rounds                       // of the decisions alone
	Jobs        int              `json:"jobs,omitempty"`
	Served      int              `json:"served,omitempty"`
	LateP99     float64          `json:"late_p99_ms"`
	TotalMB     float64          `json:"total_mb"`
	MachineBusy float64          `json:"machine_busy"` // part of all cores
}

// Link is one member's link in a second.
type LinkUsage struct {
	Calls   float64 `json:"calls"`
	Read    float64 `json:"read_bytes"`
	Written float64 `json:"written_bytes"`
}

// Result is a run.
type Result struct {
	Plan          string  `json:"plan"`
	StartedAt     string  `json:"when"`
	Machine       Machine `json:"machine"`
	Points        []Point `json:"points"`
	PeakMB        float64 `json:"most_mb"`
	PeakProcesses int     `json:"most_processes"`
	Seconds       float64 `json:"seconds"`
	LimitReached  string  `json:"ends,omitempty"` // the size at which the fleet held no longer, and what was seen
	Void          string  `json:"void,omitempty"`
	Interrupted   bool    `json:"interrupted,omitempty"`
}

// process is one that the run has started.
type process struct {
	role  string
	cmd   *exec.Cmd
	in    io.WriteCloser // of a hollow one
	out   *bufio.Reader
	count int
	ended chan struct{}
}

type run struct {
	p     *Plan
	o     Options
	ctx   context.Context
	stop  context.CancelFunc
	dir   string
	bound float64
	clock fleetagent.Clock
	mu    sync.Mutex // of all below
	all   []*process
	most  float64
	procs int
	void  string
}

// ErrVoid: the run tells nothing.
var ErrVoid = errors.New("the run is void")

// Play carries out a plan. Whatever ends it, no process is left, and what was measured is there.
func Run(ctx context.Context, p *Plan, o Options) (r *Result, err error) {
	began := time.Now()
	m, err := p.CheckMemory()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "weldlab-scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(dir)
	u := &run{p: p, o: o, dir: dir, bound: m.LimitMB, clock: fleetagent.NewClock()}
	u.ctx, u.stop = context.WithCancel(ctx)
	r = &Result{Plan: p.About, StartedAt: began.UTC().Format(time.RFC3339), Machine: m}
	var guard sync.WaitGroup
	guard.Go(u.guard)
	for _, series := range []func(*Result) error{u.members, u.workers, u.teams, u.rounds} {
		if err = series(r); err != nil || u.ctx.Err() != nil {
			break
		}
	}
	u.endAll()
	u.stop()
	guard.Wait()
	r.PeakMB, r.PeakProcesses, r.Seconds, r.Void = u.most, u.procs, time.Since(began).Seconds(), u.void
	if r.Interrupted = ctx.Err() != nil; r.Interrupted || r.Void != "" {
		err = nil // what came of that is no fault of its own
	}
	return r, err
}

func (u *run) tell(format string, a ...any) {
	if u.o.Progress != nil {
		u.o.Progress(fmt.Sprintf(format, a...))
	}
}

// spoil voids the run and ends it.
func (u *run) spoil(format string, a ...any) {
	u.mu.Lock()
	if u.void == "" {
		u.void = fmt.Sprintf(format, a...)
	}
	u.mu.Unlock()
	u.stop()
}

// guard ends the run at its bound of memory.
func (u *run) guard() {
	for u.ctx.Err() == nil {
		total := u.total()
		u.mu.Lock()
		u.most, u.procs = max(u.most, total), max(u.procs, len(u.all)+1)
		u.mu.Unlock()
		if total > u.bound {
			u.spoil("memory: %.0f MB of all processes, %.0f are the bound", total, u.bound)
		}
		u.sleep(500 * time.Millisecond)
	}
}

// total is the resident memory of all processes of the run, this one's too.
func (u *run) total() (mb float64) {
	for _, pid := range append(u.pids(), os.Getpid()) {
		if p, err := procfs.NewProc(pid); err == nil {
			if s, err := p.Stat(); err == nil {
				mb += float64(s.ResidentMemory()) / (1 << 20)
			}
		}
	}
	return mb
}

func (u *run) pids() (all []int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.all {
		all = append(all, p.cmd.Process.Pid)
	}
	return all
}

func (u *run) sleep(span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-u.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// launch starts a process that does not outlive this one. One that ends before it is told to voids the run.
func (u *run) launch(role string, env []string, args ...string) (*process, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{role: role, cmd: cmd, ended: make(chan struct{})}
	var err error
	if role == "hollow" {
		if p.in, err = cmd.StdinPipe(); err != nil {
			return nil, fmt.Errorf("scale: %w", err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, fmt.Errorf("scale: %w", err)
		}
		p.out = bufio.NewReaderSize(out, 1<<20)
	}
	log, err := os.Create(filepath.Join(u.dir, fmt.Sprintf("%s-%d.log", role, time.Now().UnixNano())))
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	u.mu.Lock()
	u.all = append(u.all, p)
	u.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(p.ended)
		u.mu.Lock()
		meant := !slices.Contains(u.all, p)
		u.mu.Unlock()
		if !meant {
			text, _ := os.ReadFile(log.Name())
			u.spoil("a %s process ended by itself: %v: %s", role, err, text[max(len(text)-400, 0):])
		}
	}()
	return p, nil
}

// end ends processes, by their ids.
func (u *run) end(some []*process) {
	u.mu.Lock()
	u.all = slices.DeleteFunc(u.all, func(p *process) bool { return slices.Contains(some, p) })
	u.mu.Unlock()
	for _, p := range some {
		_ = p.cmd.Process.Kill() // one that has ended needs none
	}
	for _, p := range some {
		<-p.ended
	}
}

func (u *run) endAll() {
	u.mu.Lock()
	all := slices.Clone(u.all)
	u.mu.Unlock()
	u.end(all)
}

// hollow starts a hollow process and waits until it is what it is to be.
func (u *run) hollow(t Task, count int) (*process, error) {
	p, err := u.launch("hollow", []string{"GOMAXPROCS=2"}, u.o.StubCommand...)
	if err != nil {
		return nil, err
	}
	p.count = count
	if err := json.NewEncoder(p.in).Encode(t); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	line, err := p.out.ReadString('\n')
	if err != nil || strings.TrimSpace(line) != "ready" {
		return nil, fmt.Errorf("%w: a hollow process did not come up: %q %v", ErrVoid, line, err)
	}
	return p, nil
}

// reports asks hollow processes what they saw since the last time, all at once.
func (u *run) reports(some []*process) (all []Report, err error) {
	all = make([]Report, len(some))
	errs := make([]error, len(some))
	var wait sync.WaitGroup
	for k, p := range some {
		wait.Go(func() {
			if _, errs[k] = io.WriteString(p.in, "report\n"); errs[k] == nil {
				var line []byte
				if line, errs[k] = p.out.ReadBytes('\n'); errs[k] == nil {
					errs[k] = json.Unmarshal(line, &all[k])
				}
			}
		})
	}
	wait.Wait()
	return all, errors.Join(errs...)
}

// taken is what a process had used at an instant.
type taken struct {
	cpu float64
	mb  float64
	io  procfs.ProcIO
}

func take(pid int) (t taken, err error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return t, err
	}
	s, err := p.Stat()
	if err != nil {
		return t, err
	}
	t.cpu, t.mb = s.CPUTime(), float64(s.ResidentMemory())/(1<<20)
	t.io, err = p.IO()
	return t, err
}

// busy is the processor time that the machine has spent, and had.
func busy() (spent, had float64) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, 0
	}
	s, err := fs.Stat()
	if err != nil {
		return 0, 0
	}
	c := s.CPUTotal
	spent = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return spent, spent + c.Idle + c.Iowait
}

// measure reads what processes cost over a span, by role; during is what goes on meanwhile.
func (u *run) measure(pt *Point, role func(*process) string, hollows []*process, during func(ctx context.Context)) error {
	if _, err := u.reports(hollows); err != nil {
		return fmt.Errorf("%w: %w", ErrVoid, err)
	}
	u.mu.Lock()
	all := slices.Clone(u.all)
	u.mu.Unlock()
	before := map[*process]taken{}
	for _, p := range all {
		t, err := take(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrVoid, err)
		}
		before[p] = t
	}
	spent, had := busy()
	began := time.Now()
	ctx, stop := context.WithCancel(u.ctx)
	var wait sync.WaitGroup
	if during != nil {
		wait.Go(func() { during(ctx) })
	}
	whole := u.sleep(time.Duration(u.p.MeasureTime * 1e6))
	stop()
	wait.Wait()
	if !whole {
		return u.ctx.Err()
	}
	pt.Seconds = time.Since(began).Seconds()
	spent2, had2 := busy()
	pt.MachineBusy = (spent2 - spent) / max(had2-had, 1e-9)
	pt.Roles = map[string]Usage{}
	for _, p := range all {
		t, err := take(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrVoid, err)
		}
		x, b := pt.Roles[role(p)], before[p]
		x.Processes++
		x.CPU += (t.cpu - b.cpu) / pt.Seconds
		x.ResidentMB += t.mb
		x.Read += float64(t.io.RChar-b.io.RChar) / pt.Seconds
		x.Written += float64(t.io.WChar-b.io.WChar) / pt.Seconds
		x.Reads += float64(t.io.SyscR-b.io.SyscR) / pt.Seconds
		x.Writes += float64(t.io.SyscW-b.io.SyscW) / pt.Seconds
		pt.Roles[role(p)] = x
	}
	for name, x := range pt.Roles {
		n := float64(x.Processes)
		pt.Roles[name] = Usage{x.Processes, x.CPU / n, x.ResidentMB / n, x.Read / n, x.Written / n, x.Reads / n, x.Writes / n}
	}
	pt.TotalMB = u.total()
	reports, err := u.reports(hollows)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVoid, err)
	}
	var delays []int
	count := 0
	for k, r := range reports {
		pt.LateP99 = max(pt.LateP99, r.LateP99)
		delays = append(delays, r.Delays...)
		pt.Unmeasured, pt.Behind = pt.Unmeasured+r.Unknown, pt.Behind+r.Behind
		if hollows[k].role == "hollow" && r.Calls > 0 {
			count += hollows[k].count
			pt.StubLink.Calls += float64(r.Calls) / pt.Seconds
			pt.StubLink.Read += float64(r.Read) / pt.Seconds
			pt.StubLink.Written += float64(r.Written) / pt.Seconds
		}
	}
	if count > 0 {
		n := float64(count)
		pt.StubLink = LinkUsage{pt.StubLink.Calls / n, pt.StubLink.Read / n, pt.StubLink.Written / n}
	}
	slices.Sort(delays)
	pt.InForceP50, pt.InForceP99, pt.InForceMax = quantile(delays, 0.5)/1000, quantile(delays, 0.99)/1000, quantile(delays, 1)/1000
	if pt.LateP99 > float64(u.p.MaxLateness) {
		u.spoil("a hollow process was late by %.0f ms at p99, %.0f are allowed, at %s %d", pt.LateP99, float64(u.p.MaxLateness), pt.Series, pt.Size)
		return ErrVoid
	}
	return nil
}

// dispatcher is a real one's place.
type dispatcher struct {
	name, listen, file string
	p                  *process
}

// base is the deployment that all series have in common.
const base = `
length = "1s"
[dispatchers]
grain = "5ms"
tell = false
[[kind]]
name = "one"
cores = 4
slots = 4
[[category]]
name = "job"
cost = "20ms"
due = "500ms"
expiry = "5s"
[arrivals]
rate = 100
`

// configure writes a real dispatcher's configuration.
func (u *run) configure(name, discovery string, siblings, number, teams, sockets int) (*dispatcher, error) {
	x, err := fleetmodel.ParseExperiment("base", []byte(base))
	if err != nil {
		panic(err) // the text is our own
	}
	x.Dispatchers.Count = siblings
	for k := range teams {
		x.Tenants = append(x.Tenants, fleetmodel.Tenant{Name: fmt.Sprintf("team%03d", k), Share: 1, Allowance: 1e5})
	}
	listen, err := free("127.0.5.1")
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", number+1),
		"settings": x.Settings(number), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}})
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	d := &dispatcher{name: name, listen: listen, file: filepath.Join(u.dir, name+".json")}
	if err := os.WriteFile(d.file, text, 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return d, nil
}

// free is an address of a host that nobody listens at, of ports that the system gives to nobody by itself.
func free(host string) (string, error) {
	for range 1000 {
		at := fmt.Sprintf("%s:%d", host, 20000+(os.Getpid()*64+int(ports.Add(1)))%12000)
		l, err := net.Listen("tcp4", at)
		if err == nil {
			l.Close()
			return at, nil
		}
	}
	return "", fmt.Errorf("scale: no port is free at %s", host)
}

func (u *run) start(d *dispatcher, role, program, fleetFile string) (err error) {
	d.p, err = u.launch(role, []string{"ROUTER_CONFIG=" + d.file, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_OPS=", "ROUTER_DISCOVERY=", "TMPDIR=", "WELDMAST_FILE=" + fleetFile},
		program, "serve")
	return err
}

// ready waits until dispatchers say so.
func (u *run) ready(all []*dispatcher) error {
	for _, d := range all {
		for began := time.Now(); ; {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+d.listen+"/ready", time.Second)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if time.Since(began) > 20*time.Second {
				return fmt.Errorf("%w: %s is not ready: %d %v", ErrVoid, d.name, status, err)
			}
			if !u.sleep(20 * time.Millisecond) {
				return u.ctx.Err()
			}
		}
	}
	return nil
}

// agent is discovery's stand-in: one list, which never changes, told to whoever asks; the last part of its port tells for
// which dispatcher the addresses are.
type agent struct {
	l    net.Listener
	list []byte
}

func newAgent(dispatcher, workers, port int) (*agent, error) {
	var b strings.Builder
	b.WriteString(`{"revision":1,"complete":true,"members":[`)
	for w := range workers {
		if w > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"host_port":%q,"locality":"a","flavor":"one","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}`,
			workerName(w), doorAt(dispatcher, w, port))
	}
	b.WriteString("]}\n")
	l, err := net.Listen("tcp4", "127.0.6.1:0")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	a := &agent{l: l, list: []byte(b.String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return a, nil
}

// serve tells the list, and that it is still there.
func (a *agent) serve(c net.Conn) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(a.list), a.list); err != nil {
		return
	}
	for range time.Tick(2 * time.Second) {
		if _, err := io.WriteString(c, "1\r\n\n\r\n"); err != nil {
			return
		}
	}
}

// traffic sends jobs at a rate, evenly, in turn to all, and counts them.
func (u *run) traffic(ctx context.Context, to []*dispatcher, rate float64, teams int, jobs, served *atomic.Int64) {
	if rate <= 0 {
		return
	}
	client := &fasthttp.Client{MaxConnsPerHost: 512, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	var wait sync.WaitGroup
	defer wait.Wait()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * 1e9))))
		wait.Go(func() {
			q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(q)
			defer fasthttp.ReleaseResponse(r)
			q.SetRequestURI("http://" + to[n%len(to)].listen + "/job/x")
			q.Header.SetMethod(fasthttp.MethodPost)
			q.Header.Set("X-Request-Id", fmt.Sprintf("%x-%x", began.UnixNano(), n))
			q.Header.Set("X-Cost-Hint", "20000")
			if teams > 0 {
				q.Header.Set("X-Tenant", fmt.Sprintf("team%03d", n%teams))
			}
			q.SetBodyString("body")
			if client.DoTimeout(q, r, 5*time.Second) == nil && r.StatusCode() == fasthttp.StatusOK {
				served.Add(1)
			}
			jobs.Add(1)
		})
	}
}

// doors starts the hollow workers of dispatchers.
func (u *run) doors(to []*dispatcher, workers, port int) (all []*process, err error) {
	t := WorkersTask{Port: port, Run: 20}
	for _, d := range to {
		t.Dispatchers = append(t.Dispatchers, d.listen)
	}
	for each := max(doorsEach/len(to), 1); t.First < workers; t.First += t.Count {
		t.Count = min(each, workers-t.First)
		one := t
		p, err := u.hollow(Task{Workers: &one}, t.Count)
		if err != nil {
			return all, err
		}
		all = append(all, p)
	}
	return all, nil
}

const fleetName = "scale"

// members is the series over members of a fleet and versions a second.
func (u *run) members(res *Result) error {
	p := u.p
	if len(p.Members) == 0 {
		return nil
	}
	port, err := freePort()
	if err != nil {
		return err
	}
	var voters []fleet.Voter
	var seats []string
	for v := range p.Voters {
		addr, err := free("127.0.3.1")
		if err != nil {
			return err
		}
		voters = append(voters, fleet.Voter{Name: fmt.Sprintf("v%d", v), Address: addr})
		seats = append(seats, fmt.Sprintf("%q", voters[v].Name+" "+addr))
	}
	file := filepath.Join(u.dir, "fleet.toml")
	text := fmt.Sprintf("[fleet]\nname = %q\nvoters = [%s]\nfolder = %q\nbeat = %g\nlease = %g\n", fleetName, strings.Join(seats, ", "), u.dir, float64(p.Heartbeat), float64(p.Lease))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	var busy, all []*dispatcher
	for k := range p.Voters + p.Dispatchers + idleFollowers {
		name, role, program, sockets := fmt.Sprintf("d%d", k-p.Voters), "dispatcher", u.o.DispatcherProgram, 1024
		switch {
		case k < p.Voters:
			name, role, program, sockets = voters[k].Name, "voter", u.o.VoterProgram, 16384
		case k >= p.Voters+p.Dispatchers:
			role = "follower"
		}
		a, err := newAgent(max(k-p.Voters, 0), p.FleetWorkers, port)
		if err != nil {
			return err
		}
		defer a.l.Close()
		d, err := u.configure(name, a.l.Addr().String(), p.Dispatchers, max(min(k-p.Voters, p.Dispatchers-1), 0), 0, sockets)
		if err != nil {
			return err
		}
		if role == "dispatcher" {
			busy = append(busy, d)
		}
		all = append(all, d)
		if err := u.start(d, role, program, file); err != nil {
			return err
		}
	}
	if err := u.ready(all); err != nil {
		return err
	}
	if _, err := u.doors(busy, p.FleetWorkers, port); err != nil {
		return err
	}
	client := fleetrpc.NewClient(fleetName, nil)
	defer client.Close()
	ctx, stop := context.WithCancel(u.ctx)
	var jobs, served atomic.Int64
	var wait sync.WaitGroup
	wait.Go(func() { u.traffic(ctx, busy, p.JobRate, 0, &jobs, &served) })
	defer func() { stop(); wait.Wait() }()
	var hollows []*process
	count, request := 0, 0
	for _, size := range p.Members {
		for want := size - len(all); count < want; {
			t := MembersTask{Fleet: fleetName, Voters: voters, First: count, Count: min(p.StubsPerProcess, want-count),
				Apart:   1000 / p.StubsPerSecond,
				Figures: fleet.Timing{Beat: float64(p.Heartbeat), Lease: float64(p.Lease), Drift: 0.01}}
			h, err := u.hollow(Task{Members: &t}, t.Count)
			if err != nil {
				return err
			}
			hollows = append(hollows, h)
			count += t.Count
		}
		have, others, err := u.current(client, voters, size)
		if err != nil {
			return err
		}
		if have < size { // a finding, no fault of the run
			res.LimitReached = fmt.Sprintf("members %d: %d of them are current after %v; the others: %s", size, have, currentWithin, others)
			u.tell("%s", res.LimitReached)
			break
		}
		for k, rate := range p.VersionRates {
			if len(p.VersionsUpTo) > 0 && size > p.VersionsUpTo[k] {
				continue
			}
			if !u.sleep(time.Duration(p.SettleTime * 1e6)) {
				return u.ctx.Err()
			}
			leader := u.leader(client, voters)
			pt := Point{Series: "members", Size: size, VersionRate: rate, JobRate: p.JobRate}
			jobs.Store(0)
			served.Store(0)
			var published atomic.Int64
			err := u.measure(&pt, func(x *process) string {
				for k, d := range all {
					if d.p == x && k < p.Voters && voters[k].Name == leader {
						return "leader"
					}
				}
				return x.role
			}, hollows, func(ctx context.Context) {
				if rate == 0 {
					return
				}
				var wait sync.WaitGroup
				defer wait.Wait()
				for began, n := time.Now(), 0; ctx.Err() == nil; n++ {
					request++
					id := fmt.Sprintf("scale %d", request)
					wait.Go(func() {
						at := u.clock.Now()
						x := fleet.Command{Kind: fleet.PublishVersion, RequestID: id, RequestedBy: "scale", IssuedAt: u.clock.UnixTime(), Text: VersionText(at, p.VersionBytes)}
						for _, v := range voters {
							if a, err := client.Admin(v.Address, fleetrpc.AdminRequest{Command: x}, 4*time.Second); err == nil && a.Error == "" && !a.NoLeader {
								published.Add(1)
								return
							}
						}
					})
					select {
					case <-ctx.Done():
					case <-time.After(time.Until(began.Add(time.Duration(float64(n+1) / rate * 1e9)))):
					}
				}
			})
			if err != nil {
				return err
			}
			pt.Published, pt.Jobs, pt.Served = int(published.Load()), int(jobs.Load()), int(served.Load())
			res.Points = append(res.Points, pt)
			u.tell("members %d, %g versions/s: leader %.1f%% of a core, %.1f MB; member reads %.0f, writes %.0f bytes/s; in force p50 %.0f, p99 %.0f, all %.0f ms; machine %.0f%% busy, %.0f MB",
				size, rate, 100*pt.Roles["leader"].CPU, pt.Roles["leader"].ResidentMB, pt.StubLink.Read, pt.StubLink.Written, pt.InForceP50, pt.InForceP99, pt.InForceMax, 100*pt.MachineBusy, pt.TotalMB)
		}
	}
	stop()
	wait.Wait()
	u.endAll()
	return nil
}

// status asks voters how the fleet stands.
func (u *run) status(client *fleetrpc.Client, voters []fleet.Voter) *fleetrpc.FleetStatus {
	for _, v := range voters {
		if a, err := client.Admin(v.Address, fleetrpc.AdminRequest{}, 4*time.Second); err == nil && a.Status != nil {
			return a.Status
		}
	}
	return nil
}

func (u *run) leader(client *fleetrpc.Client, voters []fleet.Voter) string {
	if s := u.status(client, voters); s != nil {
		return s.Leader
	}
	return ""
}

// currentWithin is how long a fleet has until all stand as they should.
const currentWithin = 45 * time.Second

// current waits until so many members stand as they should, and tells how many do, and how the others stand.
func (u *run) current(client *fleetrpc.Client, voters []fleet.Voter, members int) (have int, others string, err error) {
	for began := time.Now(); time.Since(began) < currentWithin; {
		have = 0
		how := map[string]int{}
		if s := u.status(client, voters); s != nil {
			for _, m := range s.Members {
				if m.State == fleet.MemberCurrent {
					have++
				} else {
					how[fmt.Sprintf("%s, %s", m.State, m.Cause)]++
				}
			}
		}
		if have >= members {
			return have, "", nil
		}
		others = fmt.Sprintf("%v", how)
		if !u.sleep(200 * time.Millisecond) {
			return have, others, u.ctx.Err()
		}
	}
	return have, others, nil
}

var ports atomic.Int32

// freePort is one that is free at addresses of workers.
func freePort() (int, error) {
	at, err := free("127.10.0.1")
	if err != nil {
		return 0, err
	}
	_, port, _ := strings.Cut(at, ":")
	return strconv.Atoi(port)
}

// alone measures one real dispatcher outside a fleet, idle and then under traffic.
func (u *run) alone(res *Result, series string, size, workers, teams int) error {
	p := u.p
	port, err := freePort()
	if err != nil {
		return err
	}
	a, err := newAgent(0, workers, port)
	if err != nil {
		return err
	}
	defer a.l.Close()
	d, err := u.configure("alone", a.l.Addr().String(), 1, 0, teams, 1024)
	if err != nil {
		return err
	}
	all := []*dispatcher{d}
	if _, err := u.doors(all, workers, port); err != nil {
		return err
	}
	began := time.Now()
	if err := u.start(d, "dispatcher", u.o.DispatcherProgram, ""); err != nil {
		return err
	}
	if err := u.ready(all); err != nil {
		return err
	}
	up := time.Since(began)
	if p.Watchers > 0 {
		if _, err := u.hollow(Task{Watchers: &WatchersTask{Discovery: a.l.Addr().String(), Count: p.Watchers}}, p.Watchers); err != nil {
			return err
		}
	}
	for _, rate := range []float64{0, p.KnownRate} {
		if !u.sleep(time.Duration(p.SettleTime * 1e6)) {
			return u.ctx.Err()
		}
		var jobs, served atomic.Int64
		pt := Point{Series: series, Size: size, JobRate: rate}
		var hollows []*process
		u.mu.Lock()
		for _, x := range u.all {
			if x.role == "hollow" {
				hollows = append(hollows, x)
			}
		}
		u.mu.Unlock()
		if err := u.measure(&pt, func(x *process) string { return x.role }, hollows, func(ctx context.Context) {
			u.traffic(ctx, all, rate, teams, &jobs, &served)
		}); err != nil {
			return err
		}
		pt.Jobs, pt.Served = int(jobs.Load()), int(served.Load())
		res.Points = append(res.Points, pt)
		x := pt.Roles["dispatcher"]
		u.tell("%s %d, %g jobs/s: dispatcher %.2f%% of a core, %.1f MB, ready after %.2f s; %d of %d served; machine %.0f%% busy, %.0f MB", series, size, rate,
			100*x.CPU, x.ResidentMB, up.Seconds(), pt.Served, pt.Jobs, 100*pt.MachineBusy, pt.TotalMB)
	}
	u.endAll()
	return nil
}

// workers is the series over workers known to a dispatcher.
func (u *run) workers(res *Result) error {
	for _, n := range u.p.Workers {
		if err := u.alone(res, "workers", n, n, 0); err != nil {
			return err
		}
	}
	return nil
}

// teams is the series over tenants in the settings.
func (u *run) teams(res *Result) error {
	for _, n := range u.p.Teams {
		if err := u.alone(res, "teams", n, 200, n); err != nil {
			return err
		}
	}
	return nil
}
