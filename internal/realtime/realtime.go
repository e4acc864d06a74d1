// Package realtime runs an experiment in real time against the built program: one process per dispatcher, and
// stubs for discovery, the workers, the clients and the network between peers on loopback. The fleet model is
// the same as in virtual time and determines everything that happens; this package only carries messages. It
// must never make a decision of its own, nor contact an address that is not loopback.
//
// This file contains the event loop, which follows the wall clock, and the dispatchers' processes.
package realtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"
	"github.com/valyala/fasthttp"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/invariants"
)

// Options are the settings of a run.
type Options struct {
	Program        string // path of bin/weldmast
	VoterProgram   string // path of bin/weldmast-voter, for the voters of a fleet
	OperatorFile   string // the operator's file for each dispatcher; empty: none
	LogDir         string // directory for the dispatchers' logs; empty: logs are discarded
	MemoryMB       int    // limits in each dispatcher's configuration
	Descriptors    int
	Cores          float64
	MaxLatenessP99 float64 // ms; a run in which the event loop itself was later than this is void
	MaxLateness    float64
	Progress       func(part float64)
	// Watch, if not nil, is called about ten times a second by the event loop.
	Watch func(w *fleetmodel.Model)
	// Inject delivers functions that the event loop is to execute, sent from any goroutine. It may be nil.
	Inject <-chan func(w *fleetmodel.Model)
	// Endless lets the run continue until the context ends.
	Endless bool
	// GracefulStop sends SIGTERM to the dispatchers at the end and gives them up to 5 s, for what they write
	// on exit.
	GracefulStop bool
}

// Usage is the resource usage of all processes of one dispatcher.
type Usage struct {
	CPUSeconds  float64
	Uptime      float64
	MemoryMB    float64 // highest resident memory
	IdleMB      float64 // resident memory when the process became ready
	Descriptors int     // highest number of open descriptors
}

// Result is the outcome of a run.
type Result struct {
	Model        *fleetmodel.Model
	ArrivalStart float64 // first arrivals, in ms of the model's time
	Complete     bool    // the run reached its end
	Usage        []Usage
	Pauses       []Pause
	Fleet        *invariants.FleetChecker // nil: the dispatchers form no fleet
	Lateness     *hdrhistogram.Histogram  // of the event loop, in microseconds
	Void         string                   // why the lab itself invalidated the run; empty: it is valid
}

const (
	arrivalDelay = 1500             // ms until clients arrive; all dispatchers must be ready by then
	readyTimeout = 15 * time.Second // a process that is not ready by then is given up
)

// run is the state of one run.
type run struct {
	options          Options
	experiment       *fleetmodel.Experiment
	model            *fleetmodel.Model
	dir              string
	startTime        time.Time
	tasks            chan func()
	ctx              context.Context
	stop             context.CancelFunc
	goroutines       sync.WaitGroup
	lateness         *hdrhistogram.Histogram
	dispatchers      []*dispatcher
	workers          map[string]*stubWorker
	httpClient       *http.Client
	workerServer     *fasthttp.Server
	callbackClient   *fasthttp.Client
	endpoints        sync.Map // endpoint by the port on which it listens
	failure          error
	fleet            *fleetRun // nil: the dispatchers form no fleet
	discoverySilent  atomic.Bool
	outOfDescriptors atomic.Bool // this process has reached its descriptor limit
}

// dispatcher is one dispatcher of the run. Its addresses stay the same; its processes are replaced.
type dispatcher struct {
	index           int
	listen          string
	discoveryServer *http.Server
	discoveryAddr   string
	peerAddr        *net.UDPAddr
	// by peer: the address at which this dispatcher finds it; at its own index: the address for all
	peerRelays     []*net.UDPConn
	cmd            *exec.Cmd
	paused         *exec.Cmd   // the process that SetPaused has stopped
	processes      []*exec.Cmd // all processes so far, the current one included
	running        bool
	startedAt      time.Time
	usage          Usage
	watches        map[int]chan []byte
	lastWatch      int
	endpoints      map[string]*endpoint // by worker
	cancelRequest  map[string]context.CancelFunc
	configPath     string
	startCount     int
	callbackQueues map[string]chan fleetmodel.Callback // by worker
}

// Run runs an experiment. It returns an error if the lab itself fails, for example if a process cannot be
// started.
func Run(ctx context.Context, x *fleetmodel.Experiment, seed uint64, o Options) (result *Result, err error) {
	if o.MemoryMB == 0 {
		o.MemoryMB = 192
	}
	if o.Descriptors == 0 {
		o.Descriptors = 1024
	}
	if o.Cores == 0 {
		o.Cores = 1
	}
	if o.MaxLatenessP99 == 0 {
		o.MaxLatenessP99, o.MaxLateness = 5, 100
	}
	dir, err := os.MkdirTemp("", "weldlab")
	if err != nil {
		return nil, fmt.Errorf("run directory: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &run{options: o, experiment: x, model: fleetmodel.New(x, seed), dir: dir, startTime: time.Now(), tasks: make(chan func(), 65536),
		lateness: hdrhistogram.New(1, 60e6, 3), workers: map[string]*stubWorker{}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.httpClient = &http.Client{Transport: newClientTransport()}
	r.callbackClient = &fasthttp.Client{MaxConnsPerHost: 1024, MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second,
		NoDefaultUserAgentHeader: true}
	r.workerServer = &fasthttp.Server{Handler: r.serveHandOff, NoDefaultServerHeader: true, IdleTimeout: time.Duration(x.Network.IdleTimeout) * time.Millisecond,
		Logger: discardLogger{}}
	defer func() {
		r.close()
		if err == nil && r.failure != nil {
			err = r.failure
		}
	}()
	for d := range x.Dispatchers.Count {
		h, err := r.newDispatcher(d)
		if err != nil {
			return nil, err
		}
		r.dispatchers = append(r.dispatchers, h)
	}
	for _, m := range r.model.Workers() {
		if err := r.newWorker(m); err != nil {
			return nil, err
		}
	}
	if x.Fleet != nil {
		if err := r.newFleet(seed); err != nil {
			return nil, err
		}
	}
	result = &Result{Model: r.model, Lateness: r.lateness}
	result.ArrivalStart = arrivalDelay
	r.model.Begin(r, result.ArrivalStart)
	result.Complete = r.eventLoop(ctx, result.ArrivalStart)
	if r.failure != nil {
		return nil, r.failure
	}
	if result.Complete && !o.Endless {
		r.advance(r.now() + 300)
		r.model.Checker.Finish(r.model.Now())
		if r.fleet != nil {
			result.Fleet = r.fleet.check()
			result.Pauses = r.fleet.pauses
		}
	}
	for _, h := range r.dispatchers {
		r.addRunningUsage(h)
		result.Usage = append(result.Usage, h.usage)
	}
	if late, most := float64(r.lateness.ValueAtQuantile(99))/1000, float64(r.lateness.Max())/1000; late > o.MaxLatenessP99 || most > o.MaxLateness {
		result.Void = fmt.Sprintf("the lab itself was late by %.1f ms at p99 (%.1f allowed), %.1f at most (%.1f)", late, o.MaxLatenessP99, most, o.MaxLateness)
	}
	return result, nil
}

// now returns the model's time: milliseconds since the start of the run.
func (r *run) now() float64 { return float64(time.Since(r.startTime)) / 1e6 }

// unixMillis converts a time of the model to Unix time in milliseconds.
func (r *run) unixMillis(at float64) float64 { return float64(r.startTime.UnixMicro())/1000 + at }

// modelTime converts a time of the system's clock to the model's; a zero time stands for now.
func (r *run) modelTime(at time.Time) float64 {
	if at.IsZero() {
		return r.now()
	}
	return float64(at.Round(0).Sub(r.startTime.Round(0))) / 1e6
}

// enqueue passes a function to the event loop, which executes it at the current time. It is dropped once the
// run has ended.
func (r *run) enqueue(f func()) {
	select {
	case r.tasks <- f:
	case <-r.ctx.Done():
	}
}

// eventLoop is the only goroutine that uses the model. It returns whether the run reached its end.
func (r *run) eventLoop(ctx context.Context, arrivalStart float64) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	end := arrivalStart + float64(r.experiment.Length)
	sampledAt, readyChecked := 0., false
	for !r.model.Done() || r.options.Endless {
		if r.outOfDescriptors.Load() && r.failure == nil {
			r.failure = errors.New("weldlab's own descriptors ran out: use fewer workers, dispatchers or waiting clients, or raise the limit (ulimit -n)")
		}
		if r.failure != nil {
			return false
		}
		if !readyChecked && r.model.Now() >= arrivalStart {
			if readyChecked = true; !r.model.AllDispatchersReady() {
				r.failure = fmt.Errorf("dispatchers not ready after %.0f ms; --logs DIR keeps their logs", r.now())
				return false
			}
		}
		wait := min(r.model.Next()-r.now(), 100)
		if wait > 0 {
			timer.Reset(time.Duration(wait * 1e6))
			select {
			case <-ctx.Done():
				return false
			case f := <-r.tasks:
				r.advance(r.now())
				f()
			case f := <-r.options.Inject:
				r.advance(r.now())
				f(r.model)
			case <-timer.C:
			}
		} else if ctx.Err() != nil {
			return false
		}
		r.advance(r.now())
		for more := true; more; {
			select {
			case f := <-r.tasks:
				f()
			default:
				more = false
			}
		}
		if now := r.now(); now > sampledAt+100 {
			sampledAt = now
			r.sampleUsage()
			if r.options.Progress != nil {
				r.options.Progress(min(now/end, 1))
			}
			if r.options.Watch != nil {
				r.options.Watch(r.model)
			}
		}
	}
	return true
}

// advance executes all events that are due and records how late they are.
func (r *run) advance(to float64) {
	for r.model.Next() <= to {
		if late := r.now() - r.model.Next(); late < 60e3 {
			// the value lies within the histogram's range
			_ = r.lateness.RecordValue(int64(math.Round(max(late*1000, 1))))
		}
		r.model.Step()
	}
	r.model.Advance(to)
	r.discoverySilent.Store(r.model.DiscoverySilent())
}

// sampleUsage records the memory and the descriptors that the processes use.
func (r *run) sampleUsage() {
	for _, h := range r.dispatchers {
		if h.cmd == nil || !h.running {
			continue
		}
		p, err := procfs.NewProc(h.cmd.Process.Pid)
		if err != nil {
			continue // the process has just ended
		}
		if n, err := p.FileDescriptorsLen(); err == nil {
			h.usage.Descriptors = max(h.usage.Descriptors, n)
		}
		if s, err := p.Stat(); err == nil {
			h.usage.MemoryMB = max(h.usage.MemoryMB, float64(s.ResidentMemory())/(1<<20))
		}
	}
}

// addRunningUsage adds the CPU time and the uptime of a process that still runs.
func (r *run) addRunningUsage(h *dispatcher) {
	if h.cmd == nil || !h.running {
		return
	}
	if p, err := procfs.NewProc(h.cmd.Process.Pid); err == nil {
		if s, err := p.Stat(); err == nil {
			h.usage.CPUSeconds += s.CPUTime()
		}
	}
	h.usage.Uptime += time.Since(h.startedAt).Seconds()
}

// Addresses that are closed and opened again are not on 127.0.0.1: the kernel assigns ports of 127.0.0.1 to
// outgoing connections in the meantime.
const (
	dispatcherListenAddr = "127.0.1.1:0"
	workerListenAddr     = "127.0.2.1:0"
)

// freeDispatcherAddr returns an address for a dispatcher on which nothing listens.
func freeDispatcherAddr() (string, error) { return freeAddrAt(dispatcherListenAddr) }

func freeAddrAt(at string) (string, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *run) newDispatcher(d int) (*dispatcher, error) {
	h := &dispatcher{index: d, watches: map[int]chan []byte{}, endpoints: map[string]*endpoint{}, cancelRequest: map[string]context.CancelFunc{},
		callbackQueues: map[string]chan fleetmodel.Callback{}}
	var err error
	if h.listen, err = freeDispatcherAddr(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	h.discoveryAddr = l.Addr().String()
	h.discoveryServer = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serveDiscovery(h, w, q) })}
	r.goroutines.Go(func() { _ = h.discoveryServer.Serve(l) }) // returns when the server is closed
	if r.experiment.Dispatchers.PeerMessages && r.experiment.Dispatchers.Count > 1 {
		if err := r.openPeerRelays(h); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// openPeerRelays opens the addresses at which a dispatcher finds its peers.
func (r *run) openPeerRelays(h *dispatcher) error {
	// not 127.0.0.1, whose ports are assigned to other sockets
	mine, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 1, 1)})
	if err != nil {
		return fmt.Errorf("peer relay: %w", err)
	}
	h.peerAddr = mine.LocalAddr().(*net.UDPAddr)
	mine.Close() // the dispatcher binds it
	for to := range r.experiment.Dispatchers.Count {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return fmt.Errorf("peer relay: %w", err)
		}
		h.peerRelays = append(h.peerRelays, c)
		if to == h.index {
			to = -1
		}
		r.goroutines.Go(func() {
			buf := make([]byte, 512)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				data := append([]byte(nil), buf[:n]...)
				r.enqueue(func() { r.model.SendToPeers(h.index, to, data) })
			}
		})
	}
	return nil
}

// writeConfig writes a dispatcher's configuration file.
func (r *run) writeConfig(h *dispatcher, seed uint64, known []fleetmodel.WorkerEntry) error {
	c := map[string]any{"name": "n" + strconv.Itoa(h.index), "listen": h.listen, "discovery": h.discoveryAddr,
		"seed": fmt.Sprintf("%016x", seed), "settings": r.experiment.Settings(h.index),
		"limits": map[string]any{"cores": r.options.Cores, "memory_mb": r.options.MemoryMB, "sockets": r.options.Descriptors}}
	if len(known) > 0 {
		c["known"] = r.discoveryListing(h, fleetmodel.DiscoveryUpdate{Complete: true, Workers: known})
	}
	if len(h.peerRelays) > 0 {
		var peers []string
		for _, p := range h.peerRelays {
			peers = append(peers, p.LocalAddr().String())
		}
		c["peer_listen"], c["peers"], c["peers_all"] = h.peerAddr.String(), peers, peers[h.index]
	}
	text, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	h.configPath = filepath.Join(r.dir, fmt.Sprintf("n%d.json", h.index))
	if err := os.WriteFile(h.configPath, text, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// StartDispatcher starts a dispatcher's process and reports to the model when it is ready.
func (r *run) StartDispatcher(d int, known []fleetmodel.WorkerEntry) {
	h := r.dispatchers[d]
	if h.startCount++; r.fleet != nil {
		r.fleet.prepareFolder(d)
	}
	if err := r.writeConfig(h, uint64(h.startCount)<<32|uint64(d+1), known); err != nil {
		r.failure = err
		return
	}
	cmd, _ := r.startProcess(h)
	if cmd == nil {
		return
	}
	h.cmd, h.running, h.startedAt = cmd, true, time.Now()
	r.goroutines.Go(func() {
		r.onceReady("http://"+h.listen+"/ready", func() {
			if h.cmd == cmd && h.running {
				r.model.DispatcherReady(d)
				if p, err := procfs.NewProc(cmd.Process.Pid); err == nil {
					if s, err := p.Stat(); err == nil {
						h.usage.IdleMB = float64(s.ResidentMemory()) / (1 << 20)
					}
				}
			}
		})
	})
}

// startProcess starts another process of a dispatcher. It returns nil if the lab failed. Only in experiments
// with upgrades do the processes get an address for operators and a shared temporary directory, in which the
// old and the new process find each other.
func (r *run) startProcess(h *dispatcher) (cmd *exec.Cmd, ops string) {
	program, file := r.options.Program, r.options.OperatorFile
	if r.fleet != nil {
		program, file = r.fleet.program(h.index)
	}
	cmd = exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.configPath, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_OPS=", "ROUTER_DISCOVERY=", "WELDMAST_FILE="+file)
	if slices.ContainsFunc(r.experiment.Faults, func(f fleetmodel.Fault) bool { return f.Type == "dispatcher_upgrade" }) {
		temp := filepath.Join(r.dir, strconv.Itoa(h.index))
		var err error
		if ops, err = freeDispatcherAddr(); err == nil {
			err = os.MkdirAll(temp, 0o700)
		}
		if err != nil {
			r.failure = fmt.Errorf("dispatcher: %w", err)
			return nil, ""
		}
		cmd.Env = append(cmd.Env, "ROUTER_OPS="+ops, "TMPDIR="+temp)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills it when this process ends
	if r.options.LogDir != "" {
		f, err := os.OpenFile(filepath.Join(r.options.LogDir, fmt.Sprintf("n%d.log", h.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			r.failure = fmt.Errorf("logs: %w", err)
			return nil, ""
		}
		defer f.Close()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		r.failure = fmt.Errorf("dispatcher: %w", err)
		return nil, ""
	}
	r.goroutines.Go(func() {
		_ = cmd.Wait() // processExited reads how it ended from its state
		r.enqueue(func() { r.processExited(h, cmd) })
	})
	h.processes = append(h.processes, cmd)
	return cmd, ops
}

// onceReady executes a function in the event loop once a process answers that it is ready.
func (r *run) onceReady(url string, action func()) {
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout && r.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := r.httpClient.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.enqueue(action)
			return
		}
	}
}

// UpgradeDispatcher starts a process beside the running one. Once it is ready, the predecessor gets SIGTERM,
// and SIGKILL after stopTimeout.
func (r *run) UpgradeDispatcher(d int) {
	h := r.dispatchers[d]
	if !h.running {
		return
	}
	cmd, ops := r.startProcess(h)
	if cmd == nil {
		return
	}
	r.goroutines.Go(func() {
		r.onceReady("http://"+ops+"/control/ready", func() {
			if !h.running {
				return
			}
			predecessor := h.cmd
			h.cmd = cmd
			_ = predecessor.Process.Signal(syscall.SIGTERM)
			// fails if it has ended, which is fine
			time.AfterFunc(stopTimeout, func() { _ = predecessor.Process.Kill() })
		})
	})
}

const stopTimeout = 3700 * time.Millisecond // after SIGTERM: the longest deadline, at most 3 s, and a margin

// FloodConnections opens connections that never send a complete request: half of them send nothing, half send
// the beginning of a request.
func (r *run) FloodConnections(d int, rate, duration float64) {
	h := r.dispatchers[d]
	for k := range int(rate * duration / 1000) {
		time.AfterFunc(time.Duration(float64(k)/rate*1e9), func() {
			c, err := net.Dial("tcp4", h.listen)
			if err != nil {
				r.noteDescriptorError(err)
				return
			}
			defer c.Close()
			if k%2 == 0 {
				_, _ = c.Write([]byte("POST /flood HTTP/1.1\r\nHost: x\r\n")) // fails if the dispatcher has closed it
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = c.Read(make([]byte, 1))
		})
	}
}

// processExited records the end of a process, whether it was killed or not.
func (r *run) processExited(h *dispatcher, cmd *exec.Cmd) {
	if s := cmd.ProcessState; s != nil {
		h.usage.CPUSeconds += (s.UserTime() + s.SystemTime()).Seconds()
	}
	if h.cmd == cmd {
		if h.running {
			h.running = false
			r.model.DispatcherExited(h.index)
		}
		h.usage.Uptime += time.Since(h.startedAt).Seconds()
	}
}

// KillDispatcher kills a dispatcher's processes.
func (r *run) KillDispatcher(d int) {
	if h := r.dispatchers[d]; h.running {
		h.kill()
	}
}

// kill kills all processes of a dispatcher.
func (h *dispatcher) kill() {
	h.running = false
	for _, c := range h.processes {
		_ = c.Process.Kill() // fails if it has ended, which is fine
	}
}

// StopDispatcher sends SIGTERM.
func (r *run) StopDispatcher(d int) { r.signal(d, syscall.SIGTERM) }

// ReloadDispatcher sends SIGHUP.
func (r *run) ReloadDispatcher(d int) { r.signal(d, syscall.SIGHUP) }

// SetPaused stops a dispatcher's process with SIGSTOP or resumes it with SIGCONT.
func (r *run) SetPaused(d int, on bool) {
	if r.fleet != nil {
		r.fleet.recordPause(d, on)
	}
	h := r.dispatchers[d]
	switch {
	case on && h.running:
		h.paused = h.cmd
		_ = h.paused.Process.Signal(syscall.SIGSTOP) // fails if it has just ended, which is fine
	case !on && h.paused != nil: // the process that was stopped, even if another one serves by now
		_ = h.paused.Process.Signal(syscall.SIGCONT)
		h.paused = nil
	}
}

func (r *run) signal(d int, s syscall.Signal) {
	if h := r.dispatchers[d]; h.running {
		_ = h.cmd.Process.Signal(s) // fails if it has just ended, which is fine
	}
}

// close ends all processes, servers and goroutines of the run.
func (r *run) close() {
	if r.options.GracefulStop {
		r.stopGracefully()
	}
	for _, h := range r.dispatchers {
		if h.running {
			h.kill()
		}
	}
	r.stop()
	if r.fleet != nil {
		r.fleet.close()
	}
	for _, h := range r.dispatchers {
		_ = h.discoveryServer.Close()
		for _, c := range h.peerRelays {
			c.Close()
		}
	}
	for _, s := range r.workers {
		s.close()
		for _, d := range s.endpoints {
			d.releasePort()
		}
	}
	done := make(chan struct{})
	go func() {
		r.goroutines.Wait()
		close(done)
	}()
	for {
		select {
		case <-r.tasks: // unblocks goroutines that still enqueue functions
		case <-done:
			r.httpClient.CloseIdleConnections()
			return
		}
	}
}

// stopGracefully sends SIGTERM to the dispatchers and waits until they have ended, 5 s at most.
func (r *run) stopGracefully() {
	for _, h := range r.dispatchers {
		if h.running {
			h.running = false
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		running := 0
		for _, h := range r.dispatchers {
			if h.cmd != nil && h.cmd.Process.Signal(syscall.Signal(0)) == nil {
				running++
			}
		}
		if running == 0 {
			return
		}
		select {
		case <-r.tasks:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// noteDescriptorError ends the run if this process has reached its descriptor limit: the failures that follow
// are not the dispatchers'.
func (r *run) noteDescriptorError(err error) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		r.outOfDescriptors.Store(true)
	}
}

// discardLogger discards the log of the stub workers' server: broken connections are part of a run.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
