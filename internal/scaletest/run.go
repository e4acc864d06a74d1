// This file carries out a run. It starts real and stub processes, adds stubs in steps, reads the cost of each
// process from /proc, and ends all processes.

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

// Options are the programs that a run starts and the function that receives its progress lines.
type Options struct {
	DispatcherProgram string // path of bin/weldmast
	VoterProgram      string
	StubCommand       []string // the command that starts a stub process
	Progress          func(string)
}

// Usage is what one role costs: the mean over its processes. All but Processes, CPU and ResidentMB are per
// second.
type Usage struct {
	Processes  int     `json:"processes"`
	CPU        float64 `json:"cpu"` // share of one core
	ResidentMB float64 `json:"resident_mb"`
	// The system calls that read and write, and their bytes: of sockets, and for real members also of files.
	Read    float64 `json:"read_bytes"`
	Written float64 `json:"written_bytes"`
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
}

// Point is the measurement at one size of a series, with one rate of versions or jobs.
type Point struct {
	Series      string           `json:"series"` // members, workers, teams or rounds
	Size        int              `json:"size"`
	VersionRate float64          `json:"versions,omitempty"` // published versions per second, requested
	JobRate     float64          `json:"rate,omitempty"`     // jobs per second, requested
	Seconds     float64          `json:"seconds"`
	Roles       map[string]Usage `json:"roles"`
	Published   int              `json:"published,omitempty"`
	InForceP50  float64          `json:"in_force_p50_ms,omitempty"`
	InForceP99  float64          `json:"in_force_p99_ms,omitempty"`
	InForceMax  float64          `json:"in_force_all_ms,omitempty"`
	// Unmeasured counts versions whose publish time was unknown when a member skipped them. They have no delay.
	Unmeasured  int       `json:"unknown,omitempty"`
	Behind      int       `json:"behind,omitempty"` // stub members without the newest version at the end
	StubLink    LinkUsage `json:"member_link"`      // mean of the stub members
	Rounds                // the series "rounds" only
	Jobs        int       `json:"jobs,omitempty"`
	Served      int       `json:"served,omitempty"`
	LateP99     float64   `json:"late_p99_ms"`
	TotalMB     float64   `json:"total_mb"`
	MachineBusy float64   `json:"machine_busy"` // share of all cores
}

// LinkUsage is the traffic of one member's connection to the voters, per second.
type LinkUsage struct {
	Calls   float64 `json:"calls"`
	Read    float64 `json:"read_bytes"`
	Written float64 `json:"written_bytes"`
}

// Result is the outcome of a run.
type Result struct {
	Plan          string  `json:"plan"`
	StartedAt     string  `json:"when"`
	Machine       Machine `json:"machine"`
	Points        []Point `json:"points"`
	PeakMB        float64 `json:"most_mb"`
	PeakProcesses int     `json:"most_processes"`
	Seconds       float64 `json:"seconds"`
	// LimitReached is the size at which not all members became current in time, with the states of the others.
	LimitReached string `json:"ends,omitempty"`
	Void         string `json:"void,omitempty"`
	Interrupted  bool   `json:"interrupted,omitempty"`
}

// process is a process that the run has started.
type process struct {
	role   string
	cmd    *exec.Cmd
	stdin  io.WriteCloser // stub processes only, as is stdout
	stdout *bufio.Reader
	stubs  int
	ended  chan struct{}
}

// run is the state of one run.
type run struct {
	plan          *Plan
	options       Options
	ctx           context.Context
	stop          context.CancelFunc
	dir           string
	limitMB       float64
	clock         fleetagent.Clock
	mu            sync.Mutex // protects all fields below
	processes     []*process
	peakMB        float64
	peakProcesses int
	void          string
}

// ErrVoid reports that a run is void: its measurements are not valid.
var ErrVoid = errors.New("the run is void")

// Run carries out a plan. However the run ends, no process is left running, and the result holds the points
// measured until then. A run that was interrupted or is void returns a result and no error.
func Run(ctx context.Context, p *Plan, o Options) (r *Result, err error) {
	began := time.Now()
	machine, err := p.CheckMemory()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "weldlab-scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer os.RemoveAll(dir)
	u := &run{plan: p, options: o, dir: dir, limitMB: machine.LimitMB, clock: fleetagent.NewClock()}
	u.ctx, u.stop = context.WithCancel(ctx)
	r = &Result{Plan: p.About, StartedAt: began.UTC().Format(time.RFC3339), Machine: machine}
	var memoryWatch sync.WaitGroup
	memoryWatch.Go(u.limitMemory)
	for _, series := range []func(*Result) error{u.measureMembers, u.measureWorkers, u.measureTeams, u.measureRounds} {
		if err = series(r); err != nil || u.ctx.Err() != nil {
			break
		}
	}
	u.killAll()
	u.stop()
	memoryWatch.Wait()
	r.PeakMB, r.PeakProcesses, r.Seconds, r.Void = u.peakMB, u.peakProcesses, time.Since(began).Seconds(), u.void
	if r.Interrupted = ctx.Err() != nil; r.Interrupted || r.Void != "" {
		err = nil // errors after an interruption or a void result are only its consequences
	}
	return r, err
}

func (u *run) progress(format string, a ...any) {
	if u.options.Progress != nil {
		u.options.Progress(fmt.Sprintf(format, a...))
	}
}

// voidRun marks the run as void, with the first reason given, and stops it.
func (u *run) voidRun(format string, a ...any) {
	u.mu.Lock()
	if u.void == "" {
		u.void = fmt.Sprintf(format, a...)
	}
	u.mu.Unlock()
	u.stop()
}

// limitMemory stops the run as void when its processes together use more memory than the limit.
func (u *run) limitMemory() {
	for u.ctx.Err() == nil {
		total := u.totalMB()
		u.mu.Lock()
		u.peakMB, u.peakProcesses = max(u.peakMB, total), max(u.peakProcesses, len(u.processes)+1)
		u.mu.Unlock()
		if total > u.limitMB {
			u.voidRun("memory: %.0f MB of all processes, %.0f are the bound", total, u.limitMB)
		}
		u.sleep(500 * time.Millisecond)
	}
}

// totalMB is the resident memory of all processes of the run, including the current one.
func (u *run) totalMB() (mb float64) {
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
	for _, p := range u.processes {
		all = append(all, p.cmd.Process.Pid)
	}
	return all
}

func (u *run) sleep(duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-u.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// launch starts a process that the kernel kills when the current one ends. A process that ends without a call
// of kill voids the run.
func (u *run) launch(role string, env []string, args ...string) (*process, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &process{role: role, cmd: cmd, ended: make(chan struct{})}
	var err error
	if role == "hollow" {
		if p.stdin, err = cmd.StdinPipe(); err != nil {
			return nil, fmt.Errorf("scale: %w", err)
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, fmt.Errorf("scale: %w", err)
		}
		p.stdout = bufio.NewReaderSize(out, 1<<20)
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
	u.processes = append(u.processes, p)
	u.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(p.ended)
		u.mu.Lock()
		expected := !slices.Contains(u.processes, p)
		u.mu.Unlock()
		if !expected {
			text, _ := os.ReadFile(log.Name())
			u.voidRun("a %s process ended by itself: %v: %s", role, err, text[max(len(text)-400, 0):])
		}
	}()
	return p, nil
}

// kill ends processes by their process IDs and waits until they have ended.
func (u *run) kill(processes []*process) {
	u.mu.Lock()
	u.processes = slices.DeleteFunc(u.processes, func(p *process) bool { return slices.Contains(processes, p) })
	u.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill() // an error means that the process has already ended
	}
	for _, p := range processes {
		<-p.ended
	}
}

func (u *run) killAll() {
	u.mu.Lock()
	all := slices.Clone(u.processes)
	u.mu.Unlock()
	u.kill(all)
}

// startStub starts a stub process with a task and waits until it reports that it is ready.
func (u *run) startStub(t Task, count int) (*process, error) {
	p, err := u.launch("hollow", []string{"GOMAXPROCS=2"}, u.options.StubCommand...)
	if err != nil {
		return nil, err
	}
	p.stubs = count
	if err := json.NewEncoder(p.stdin).Encode(t); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	line, err := p.stdout.ReadString('\n')
	if err != nil || strings.TrimSpace(line) != "ready" {
		return nil, fmt.Errorf("%w: a stub process did not get ready: answer %q, error %v", ErrVoid, line, err)
	}
	return p, nil
}

// collectReports requests from all given stub processes, in parallel, their report since the previous
// request.
func (u *run) collectReports(stubs []*process) (all []Report, err error) {
	all = make([]Report, len(stubs))
	errs := make([]error, len(stubs))
	var wait sync.WaitGroup
	for k, p := range stubs {
		wait.Go(func() {
			if _, errs[k] = io.WriteString(p.stdin, "report\n"); errs[k] == nil {
				var line []byte
				if line, errs[k] = p.stdout.ReadBytes('\n'); errs[k] == nil {
					errs[k] = json.Unmarshal(line, &all[k])
				}
			}
		})
	}
	wait.Wait()
	return all, errors.Join(errs...)
}

// processSample is the cumulative processor time and I/O of a process, and its resident memory, at one
// instant.
type processSample struct {
	cpu float64
	mb  float64
	io  procfs.ProcIO
}

func readSample(pid int) (t processSample, err error) {
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

// machineTime returns the processor time that the machine has spent busy, and in total, since it started.
func machineTime() (busy, total float64) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, 0
	}
	s, err := fs.Stat()
	if err != nil {
		return 0, 0
	}
	c := s.CPUTotal
	busy = c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return busy, busy + c.Idle + c.Iowait
}

// measure fills in what processes cost over the plan's measuring time, by role, while load runs. It voids the
// run when a stub process's timers were later than the plan allows.
func (u *run) measure(point *Point, roleOf func(*process) string, stubs []*process, load func(ctx context.Context)) error {
	if _, err := u.collectReports(stubs); err != nil {
		return fmt.Errorf("%w: %w", ErrVoid, err)
	}
	u.mu.Lock()
	all := slices.Clone(u.processes)
	u.mu.Unlock()
	before := map[*process]processSample{}
	for _, p := range all {
		t, err := readSample(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrVoid, err)
		}
		before[p] = t
	}
	busy, total := machineTime()
	began := time.Now()
	ctx, stop := context.WithCancel(u.ctx)
	var wait sync.WaitGroup
	if load != nil {
		wait.Go(func() { load(ctx) })
	}
	completed := u.sleep(time.Duration(u.plan.MeasureTime * 1e6))
	stop()
	wait.Wait()
	if !completed {
		return u.ctx.Err()
	}
	point.Seconds = time.Since(began).Seconds()
	busy2, total2 := machineTime()
	point.MachineBusy = (busy2 - busy) / max(total2-total, 1e-9)
	point.Roles = map[string]Usage{}
	for _, p := range all {
		t, err := readSample(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrVoid, err)
		}
		x, b := point.Roles[roleOf(p)], before[p]
		x.Processes++
		x.CPU += (t.cpu - b.cpu) / point.Seconds
		x.ResidentMB += t.mb
		x.Read += float64(t.io.RChar-b.io.RChar) / point.Seconds
		x.Written += float64(t.io.WChar-b.io.WChar) / point.Seconds
		x.Reads += float64(t.io.SyscR-b.io.SyscR) / point.Seconds
		x.Writes += float64(t.io.SyscW-b.io.SyscW) / point.Seconds
		point.Roles[roleOf(p)] = x
	}
	for name, x := range point.Roles {
		n := float64(x.Processes)
		point.Roles[name] = Usage{x.Processes, x.CPU / n, x.ResidentMB / n, x.Read / n, x.Written / n, x.Reads / n, x.Writes / n}
	}
	point.TotalMB = u.totalMB()
	reports, err := u.collectReports(stubs)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVoid, err)
	}
	var delays []int
	count := 0
	for k, r := range reports {
		point.LateP99 = max(point.LateP99, r.LateP99)
		delays = append(delays, r.Delays...)
		point.Unmeasured, point.Behind = point.Unmeasured+r.Unknown, point.Behind+r.Behind
		if stubs[k].role == "hollow" && r.Calls > 0 {
			count += stubs[k].stubs
			point.StubLink.Calls += float64(r.Calls) / point.Seconds
			point.StubLink.Read += float64(r.Read) / point.Seconds
			point.StubLink.Written += float64(r.Written) / point.Seconds
		}
	}
	if count > 0 {
		n := float64(count)
		point.StubLink = LinkUsage{point.StubLink.Calls / n, point.StubLink.Read / n, point.StubLink.Written / n}
	}
	slices.Sort(delays)
	point.InForceP50, point.InForceP99, point.InForceMax = quantile(delays, 0.5)/1000, quantile(delays, 0.99)/1000, quantile(delays, 1)/1000
	if point.LateP99 > float64(u.plan.MaxLateness) {
		u.voidRun("a hollow process was late by %.0f ms at p99, %.0f are allowed, at %s %d", point.LateP99, float64(u.plan.MaxLateness), point.Series, point.Size)
		return ErrVoid
	}
	return nil
}

// dispatcher is a real dispatcher, voter or follower: its address, configuration file and process.
type dispatcher struct {
	name, address, configFile string
	process                   *process
}

// baseExperiment is the configuration that all series have in common.
const baseExperiment = `
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

// configure writes the configuration file of a real dispatcher.
func (u *run) configure(name, discovery string, peers, index, teams, sockets int) (*dispatcher, error) {
	x, err := fleetmodel.ParseExperiment("base", []byte(baseExperiment))
	if err != nil {
		panic(err) // the text is a constant of the package
	}
	x.Dispatchers.Count = peers
	for k := range teams {
		x.Tenants = append(x.Tenants, fleetmodel.Tenant{Name: fmt.Sprintf("team%03d", k), Share: 1, Allowance: 1e5})
	}
	listen, err := freeAddress("127.0.5.1")
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", index+1),
		"settings": x.Settings(index), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}})
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	d := &dispatcher{name: name, address: listen, configFile: filepath.Join(u.dir, name+".json")}
	if err := os.WriteFile(d.configFile, text, 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return d, nil
}

// freeAddress returns an address of a host that no process listens on. Its port is below the range that the
// system assigns by itself.
func freeAddress(host string) (string, error) {
	for range 1000 {
		at := fmt.Sprintf("%s:%d", host, 20000+(os.Getpid()*64+int(portCounter.Add(1)))%12000)
		l, err := net.Listen("tcp4", at)
		if err == nil {
			l.Close()
			return at, nil
		}
	}
	return "", fmt.Errorf("scale: no free port on %s", host)
}

func (u *run) startDispatcher(d *dispatcher, role, program, fleetFile string) (err error) {
	d.process, err = u.launch(role, []string{"ROUTER_CONFIG=" + d.configFile, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_OPS=", "ROUTER_DISCOVERY=", "TMPDIR=", "WELDMAST_FILE=" + fleetFile},
		program, "serve")
	return err
}

// waitReady waits until all given dispatchers report that they are ready, at most 20 s for each.
func (u *run) waitReady(all []*dispatcher) error {
	for _, d := range all {
		for began := time.Now(); ; {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+d.address+"/ready", time.Second)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if time.Since(began) > 20*time.Second {
				return fmt.Errorf("%w: %s is not ready after 20 s: status %d, error %v", ErrVoid, d.name, status, err)
			}
			if !u.sleep(20 * time.Millisecond) {
				return u.ctx.Err()
			}
		}
	}
	return nil
}

// discoveryAgent is a stub of the discovery service. It serves one list of workers that never changes. The
// second number of each worker's address tells for which dispatcher the address is.
type discoveryAgent struct {
	listener net.Listener
	list     []byte
}

func newDiscoveryAgent(dispatcher, workers, port int) (*discoveryAgent, error) {
	var b strings.Builder
	b.WriteString(`{"revision":1,"complete":true,"members":[`)
	for w := range workers {
		if w > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"host_port":%q,"locality":"a","flavor":"one","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}`,
			workerName(w), workerAddress(dispatcher, w, port))
	}
	b.WriteString("]}\n")
	l, err := net.Listen("tcp4", "127.0.6.1:0")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	a := &discoveryAgent{listener: l, list: []byte(b.String())}
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

// serve sends the list, then an empty line every 2 s as a sign that the connection is alive.
func (a *discoveryAgent) serve(c net.Conn) {
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

// traffic sends jobs at an even rate, to the dispatchers in turn, and counts those that have ended and those
// served.
func (u *run) traffic(ctx context.Context, dispatchers []*dispatcher, rate float64, teams int, ended, served *atomic.Int64) {
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
			q.SetRequestURI("http://" + dispatchers[n%len(dispatchers)].address + "/job/x")
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
			ended.Add(1)
		})
	}
}

// startWorkers starts the stub workers of dispatchers.
func (u *run) startWorkers(dispatchers []*dispatcher, workers, port int) (all []*process, err error) {
	t := WorkersTask{Port: port, Run: 20}
	for _, d := range dispatchers {
		t.Dispatchers = append(t.Dispatchers, d.address)
	}
	for each := max(maxAddrs/len(dispatchers), 1); t.First < workers; t.First += t.Count {
		t.Count = min(each, workers-t.First)
		one := t
		p, err := u.startStub(Task{Workers: &one}, t.Count)
		if err != nil {
			return all, err
		}
		all = append(all, p)
	}
	return all, nil
}

const fleetName = "scale"

// measureMembers is the series over the members of a fleet and the versions published per second.
func (u *run) measureMembers(res *Result) error {
	p := u.plan
	if len(p.Members) == 0 {
		return nil
	}
	port, err := freeWorkerPort()
	if err != nil {
		return err
	}
	var voters []fleet.Voter
	var voterLines []string
	for v := range p.Voters {
		addr, err := freeAddress("127.0.3.1")
		if err != nil {
			return err
		}
		voters = append(voters, fleet.Voter{Name: fmt.Sprintf("v%d", v), Address: addr})
		voterLines = append(voterLines, fmt.Sprintf("%q", voters[v].Name+" "+addr))
	}
	file := filepath.Join(u.dir, "fleet.toml")
	text := fmt.Sprintf("[fleet]\nname = %q\nvoters = [%s]\nfolder = %q\nbeat = %g\nlease = %g\n", fleetName, strings.Join(voterLines, ", "), u.dir, float64(p.Heartbeat), float64(p.Lease))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	var loaded, all []*dispatcher
	for k := range p.Voters + p.Dispatchers + idleFollowers {
		name, role, program, sockets := fmt.Sprintf("d%d", k-p.Voters), "dispatcher", u.options.DispatcherProgram, 1024
		switch {
		case k < p.Voters:
			name, role, program, sockets = voters[k].Name, "voter", u.options.VoterProgram, 16384
		case k >= p.Voters+p.Dispatchers:
			role = "follower"
		}
		a, err := newDiscoveryAgent(max(k-p.Voters, 0), p.FleetWorkers, port)
		if err != nil {
			return err
		}
		defer a.listener.Close()
		d, err := u.configure(name, a.listener.Addr().String(), p.Dispatchers, max(min(k-p.Voters, p.Dispatchers-1), 0), 0, sockets)
		if err != nil {
			return err
		}
		if role == "dispatcher" {
			loaded = append(loaded, d)
		}
		all = append(all, d)
		if err := u.startDispatcher(d, role, program, file); err != nil {
			return err
		}
	}
	if err := u.waitReady(all); err != nil {
		return err
	}
	if _, err := u.startWorkers(loaded, p.FleetWorkers, port); err != nil {
		return err
	}
	client := fleetrpc.NewClient(fleetName, nil)
	defer client.Close()
	ctx, stop := context.WithCancel(u.ctx)
	var jobs, served atomic.Int64
	var wait sync.WaitGroup
	wait.Go(func() { u.traffic(ctx, loaded, p.JobRate, 0, &jobs, &served) })
	defer func() { stop(); wait.Wait() }()
	var stubs []*process
	count, request := 0, 0
	for _, size := range p.Members {
		for want := size - len(all); count < want; {
			t := MembersTask{Fleet: fleetName, Voters: voters, First: count, Count: min(p.StubsPerProcess, want-count),
				Apart:   1000 / p.StubsPerSecond,
				Figures: fleet.Timing{Beat: float64(p.Heartbeat), Lease: float64(p.Lease), Drift: 0.01}}
			h, err := u.startStub(Task{Members: &t}, t.Count)
			if err != nil {
				return err
			}
			stubs = append(stubs, h)
			count += t.Count
		}
		current, otherStates, err := u.waitCurrent(client, voters, size)
		if err != nil {
			return err
		}
		if current < size { // this is a result, not an error of the run
			res.LimitReached = fmt.Sprintf("members %d: %d of them are current after %v; the others: %s", size, current, currentTimeout, otherStates)
			u.progress("%s", res.LimitReached)
			break
		}
		for k, rate := range p.VersionRates {
			if len(p.VersionsUpTo) > 0 && size > p.VersionsUpTo[k] {
				continue
			}
			if !u.sleep(time.Duration(p.SettleTime * 1e6)) {
				return u.ctx.Err()
			}
			leader := u.leaderName(client, voters)
			point := Point{Series: "members", Size: size, VersionRate: rate, JobRate: p.JobRate}
			jobs.Store(0)
			served.Store(0)
			var published atomic.Int64
			err := u.measure(&point, func(x *process) string {
				for k, d := range all {
					if d.process == x && k < p.Voters && voters[k].Name == leader {
						return "leader"
					}
				}
				return x.role
			}, stubs, func(ctx context.Context) {
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
			point.Published, point.Jobs, point.Served = int(published.Load()), int(jobs.Load()), int(served.Load())
			res.Points = append(res.Points, point)
			u.progress("members %d, %g versions/s: leader %.1f%% of a core, %.1f MB; member reads %.0f, writes %.0f bytes/s; in force p50 %.0f, p99 %.0f, all %.0f ms; machine %.0f%% busy, %.0f MB",
				size, rate, 100*point.Roles["leader"].CPU, point.Roles["leader"].ResidentMB, point.StubLink.Read, point.StubLink.Written, point.InForceP50, point.InForceP99, point.InForceMax, 100*point.MachineBusy, point.TotalMB)
		}
	}
	stop()
	wait.Wait()
	u.killAll()
	return nil
}

// fleetStatus asks the voters in turn for the fleet's status; nil: none answered.
func (u *run) fleetStatus(client *fleetrpc.Client, voters []fleet.Voter) *fleetrpc.FleetStatus {
	for _, v := range voters {
		if a, err := client.Admin(v.Address, fleetrpc.AdminRequest{}, 4*time.Second); err == nil && a.Status != nil {
			return a.Status
		}
	}
	return nil
}

func (u *run) leaderName(client *fleetrpc.Client, voters []fleet.Voter) string {
	if s := u.fleetStatus(client, voters); s != nil {
		return s.Leader
	}
	return ""
}

// currentTimeout is how long a fleet has until all its members are current.
const currentTimeout = 45 * time.Second

// waitCurrent waits until the given number of members are current. It returns how many are, and the states of
// the others.
func (u *run) waitCurrent(client *fleetrpc.Client, voters []fleet.Voter, members int) (current int, otherStates string, err error) {
	for began := time.Now(); time.Since(began) < currentTimeout; {
		current = 0
		states := map[string]int{}
		if s := u.fleetStatus(client, voters); s != nil {
			for _, m := range s.Members {
				if m.State == fleet.MemberCurrent {
					current++
				} else {
					states[fmt.Sprintf("%s, %s", m.State, m.Cause)]++
				}
			}
		}
		if current >= members {
			return current, "", nil
		}
		otherStates = fmt.Sprintf("%v", states)
		if !u.sleep(200 * time.Millisecond) {
			return current, otherStates, u.ctx.Err()
		}
	}
	return current, otherStates, nil
}

var portCounter atomic.Int32

// freeWorkerPort returns a port that is free at the addresses of workers.
func freeWorkerPort() (int, error) {
	at, err := freeAddress("127.10.0.1")
	if err != nil {
		return 0, err
	}
	_, port, _ := strings.Cut(at, ":")
	return strconv.Atoi(port)
}

// measureDispatcher measures one real dispatcher outside a fleet, first idle and then under traffic.
func (u *run) measureDispatcher(res *Result, series string, size, workers, teams int) error {
	p := u.plan
	port, err := freeWorkerPort()
	if err != nil {
		return err
	}
	a, err := newDiscoveryAgent(0, workers, port)
	if err != nil {
		return err
	}
	defer a.listener.Close()
	d, err := u.configure("alone", a.listener.Addr().String(), 1, 0, teams, 1024)
	if err != nil {
		return err
	}
	all := []*dispatcher{d}
	if _, err := u.startWorkers(all, workers, port); err != nil {
		return err
	}
	began := time.Now()
	if err := u.startDispatcher(d, "dispatcher", u.options.DispatcherProgram, ""); err != nil {
		return err
	}
	if err := u.waitReady(all); err != nil {
		return err
	}
	startTime := time.Since(began)
	if p.Watchers > 0 {
		if _, err := u.startStub(Task{Watchers: &WatchersTask{Discovery: a.listener.Addr().String(), Count: p.Watchers}}, p.Watchers); err != nil {
			return err
		}
	}
	for _, rate := range []float64{0, p.KnownRate} {
		if !u.sleep(time.Duration(p.SettleTime * 1e6)) {
			return u.ctx.Err()
		}
		var jobs, served atomic.Int64
		point := Point{Series: series, Size: size, JobRate: rate}
		var stubs []*process
		u.mu.Lock()
		for _, x := range u.processes {
			if x.role == "hollow" {
				stubs = append(stubs, x)
			}
		}
		u.mu.Unlock()
		if err := u.measure(&point, func(x *process) string { return x.role }, stubs, func(ctx context.Context) {
			u.traffic(ctx, all, rate, teams, &jobs, &served)
		}); err != nil {
			return err
		}
		point.Jobs, point.Served = int(jobs.Load()), int(served.Load())
		res.Points = append(res.Points, point)
		x := point.Roles["dispatcher"]
		u.progress("%s %d, %g jobs/s: dispatcher %.2f%% of a core, %.1f MB, ready after %.2f s; %d of %d served; machine %.0f%% busy, %.0f MB", series, size, rate,
			100*x.CPU, x.ResidentMB, startTime.Seconds(), point.Served, point.Jobs, 100*point.MachineBusy, point.TotalMB)
	}
	u.killAll()
	return nil
}

// measureWorkers is the series over the workers that one dispatcher knows.
func (u *run) measureWorkers(res *Result) error {
	for _, n := range u.plan.Workers {
		if err := u.measureDispatcher(res, "workers", n, n, 0); err != nil {
			return err
		}
	}
	return nil
}

// measureTeams is the series over the tenants in the settings.
func (u *run) measureTeams(res *Result) error {
	for _, n := range u.plan.Teams {
		if err := u.measureDispatcher(res, "teams", n, 200, n); err != nil {
			return err
		}
	}
	return nil
}
