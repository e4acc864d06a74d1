// Package sockets plays a world in real time against the built program: one process for each dispatcher, stand-ins for
// discovery, workers, clients and the paths between siblings on loopback. The world is the same as in virtual time and
// owns all that happens; this package carries messages. It must never decide anything, nor speak to an address that is
// not loopback.
//
// This file owns the clock and the dispatchers' processes.
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

// Options say what is played.
type Options struct {
	Program        string // bin/weldmast
	VoterProgram   string // bin/weldmast-voter, of a fleet's voters
	OperatorFile   string // the operator's file for each dispatcher; empty: none
	LogDir         string // folder for the dispatchers' logs; empty: they are dropped
	MemoryMB       int    // limits, as the configuration has them
	Descriptors    int
	Cores          float64
	MaxLatenessP99 float64 // ms; a day on which the lab itself was later than this is void
	MaxLateness    float64
	Progress       func(part float64)
	// Watch, if not nil, is called about ten times a second on the world's goroutine.
	Watch func(w *fleetmodel.Model)
	// Inject brings in what to do on the world's goroutine, from anywhere; nil: nothing comes.
	Inject <-chan func(w *fleetmodel.Model)
	// Endless: the day goes on until the context ends.
	Endless bool
	// Gentle: at the end the dispatchers are told to stop and given some seconds, as for what they write then.
	GracefulStop bool
}

// Usage is what one dispatcher's processes used.
type Usage struct {
	CPUSeconds  float64 // seconds
	Uptime      float64
	MemoryMB    float64 // most resident at once
	IdleMB      float64 // resident as it became ready
	Descriptors int     // most open at once
}

// Played is a day.
type Result struct {
	Model        *fleetmodel.Model
	ArrivalStart float64 // when clients came, on the world's clock
	Complete     bool    // it was not ended before its time
	Usage        []Usage
	Pauses       []Pause
	Fleet        *invariants.FleetChecker // judged; nil: the dispatchers are of none
	Lateness     *hdrhistogram.Histogram  // microseconds
	Void         string                   // why the lab spoilt the day; empty: it did not
}

const (
	startAfter  = 1500             // ms: clients come then; by then all dispatchers must be ready
	readyWithin = 15 * time.Second // a process that is not ready by then never will be
)

// rig is one day under way.
type rig struct {
	o       Options
	x       *fleetmodel.Experiment
	w       *fleetmodel.Model
	dir     string
	t0      time.Time
	in      chan func()
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	late    *hdrhistogram.Histogram
	hosts   []*host
	workers map[string]*standIn
	client  *http.Client
	server  *fasthttp.Server
	calls   *fasthttp.Client
	at      sync.Map // port of a listener to its door
	failed  error
	fleet   *fleetRig // nil: the dispatchers are of none
	hushed  atomic.Bool
	spent   atomic.Bool // the lab has no descriptor left
}

// host is one dispatcher's place: its addresses stay, its processes come and go.
type host struct {
	n         int
	listen    string
	disc      *http.Server
	discAt    string
	peerAt    *net.UDPAddr
	relays    []*net.UDPConn // by sibling: where this dispatcher finds it; its own: to all
	cmd       *exec.Cmd
	still     *exec.Cmd   // that was stopped
	all       []*exec.Cmd // those before it as well
	up        bool
	began     time.Time
	usage     Usage
	watches   map[int]chan []byte
	numbers   int
	doors     map[string]*door // by worker
	open      map[string]context.CancelFunc
	config    string
	starts    int
	callQueue map[string]chan fleetmodel.Callback // by worker
}

// Play plays an experiment.
func Run(ctx context.Context, x *fleetmodel.Experiment, seed uint64, o Options) (p *Result, err error) {
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
		return nil, fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &rig{o: o, x: x, w: fleetmodel.New(x, seed), dir: dir, t0: time.Now(), in: make(chan func(), 65536),
		late: hdrhistogram.New(1, 60e6, 3), workers: map[string]*standIn{}}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}}
	r.calls = &fasthttp.Client{MaxConnsPerHost: 1024, MaxIdemponentCallAttempts: 1, ReadTimeout: 5 * time.Second,
		NoDefaultUserAgentHeader: true}
	r.server = &fasthttp.Server{Handler: r.handOff, NoDefaultServerHeader: true, IdleTimeout: time.Duration(x.Network.IdleTimeout) * time.Millisecond,
		Logger: quiet{}}
	defer func() {
		r.close()
		if err == nil && r.failed != nil {
			err = r.failed
		}
	}()
	for d := range x.Dispatchers.Count {
		h, err := r.newHost(d)
		if err != nil {
			return nil, err
		}
		r.hosts = append(r.hosts, h)
	}
	for _, m := range r.w.Workers() {
		if err := r.newWorker(m); err != nil {
			return nil, err
		}
	}
	if x.Fleet != nil {
		if err := r.newFleet(seed); err != nil {
			return nil, err
		}
	}
	p = &Result{Model: r.w, Lateness: r.late}
	p.ArrivalStart = startAfter
	r.w.Begin(r, p.ArrivalStart)
	p.Complete = r.loop(ctx, p.ArrivalStart)
	if r.failed != nil {
		return nil, r.failed
	}
	if p.Complete && !o.Endless {
		r.advance(r.now() + 300)
		r.w.Checker.Finish(r.w.Now())
		if r.fleet != nil {
			p.Fleet = r.fleet.judge()
			p.Pauses = r.fleet.stalls
		}
	}
	for _, h := range r.hosts {
		r.collect(h)
		p.Usage = append(p.Usage, h.usage)
	}
	if late, most := float64(r.late.ValueAtQuantile(99))/1000, float64(r.late.Max())/1000; late > o.MaxLatenessP99 || most > o.MaxLateness {
		p.Void = fmt.Sprintf("the lab itself was late by %.1f ms at p99 (%.1f allowed), %.1f at most (%.1f)", late, o.MaxLatenessP99, most, o.MaxLateness)
	}
	return p, nil
}

// now is the world's clock: milliseconds since the beginning.
func (r *rig) now() float64 { return float64(time.Since(r.t0)) / 1e6 }

// unix is a time of the world as Unix time.
func (r *rig) unix(at float64) float64 { return float64(r.t0.UnixMicro())/1000 + at }

// do has something done on the world's goroutine, at the world's time of now.
func (r *rig) do(f func()) {
	select {
	case r.in <- f:
	case <-r.ctx.Done():
	}
}

// loop is the world's goroutine. It tells whether the day came to its end.
func (r *rig) loop(ctx context.Context, start float64) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	end := start + float64(r.x.Length)
	shown, checked := 0., false
	for !r.w.Done() || r.o.Endless {
		if r.spent.Load() && r.failed == nil {
			r.failed = errors.New("the lab's own descriptors ran out: fewer workers, dispatchers or waiting clients, or a higher limit (ulimit -n)")
		}
		if r.failed != nil {
			return false
		}
		if !checked && r.w.Now() >= start {
			if checked = true; !r.w.AllDispatchersReady() {
				r.failed = fmt.Errorf("the dispatchers are not ready after %.0f ms; --logs DIR keeps what they say", r.now())
				return false
			}
		}
		wait := min(r.w.Next()-r.now(), 100)
		if wait > 0 {
			timer.Reset(time.Duration(wait * 1e6))
			select {
			case <-ctx.Done():
				return false
			case f := <-r.in:
				r.advance(r.now())
				f()
			case f := <-r.o.Inject:
				r.advance(r.now())
				f(r.w)
			case <-timer.C:
			}
		} else if ctx.Err() != nil {
			return false
		}
		r.advance(r.now())
		for more := true; more; {
			select {
			case f := <-r.in:
				f()
			default:
				more = false
			}
		}
		if now := r.now(); now > shown+100 {
			shown = now
			r.look()
			if r.o.Progress != nil {
				r.o.Progress(min(now/end, 1))
			}
			if r.o.Watch != nil {
				r.o.Watch(r.w)
			}
		}
	}
	return true
}

// advance does what is due, and notes by how much the lab was late for it.
func (r *rig) advance(to float64) {
	for r.w.Next() <= to {
		if late := r.now() - r.w.Next(); late < 60e3 {
			_ = r.late.RecordValue(int64(math.Round(max(late*1000, 1)))) // within the histogram's range
		}
		r.w.Step()
	}
	r.w.Advance(to)
	r.hushed.Store(r.w.DiscoverySilent())
}

// look notes what the processes use.
func (r *rig) look() {
	for _, h := range r.hosts {
		if h.cmd == nil || !h.up {
			continue
		}
		p, err := procfs.NewProc(h.cmd.Process.Pid)
		if err != nil {
			continue // it has just ended
		}
		if n, err := p.FileDescriptorsLen(); err == nil {
			h.usage.Descriptors = max(h.usage.Descriptors, n)
		}
		if s, err := p.Stat(); err == nil {
			h.usage.MemoryMB = max(h.usage.MemoryMB, float64(s.ResidentMemory())/(1<<20))
		}
	}
}

// collect adds up what a living process has used.
func (r *rig) collect(h *host) {
	if h.cmd == nil || !h.up {
		return
	}
	if p, err := procfs.NewProc(h.cmd.Process.Pid); err == nil {
		if s, err := p.Stat(); err == nil {
			h.usage.CPUSeconds += s.CPUTime()
		}
	}
	h.usage.Uptime += time.Since(h.began).Seconds()
}

// Addresses that are closed and opened again are not on 127.0.0.1: its ports go to whoever connects meanwhile.
const (
	dispatchersAt = "127.0.1.1:0"
	workersAt     = "127.0.2.1:0"
)

// freeAddr is an address for a dispatcher that nobody listens at.
func freeAddr() (string, error) { return freeAddrAt(dispatchersAt) }

func freeAddrAt(at string) (string, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *rig) newHost(d int) (*host, error) {
	h := &host{n: d, watches: map[int]chan []byte{}, doors: map[string]*door{}, open: map[string]context.CancelFunc{},
		callQueue: map[string]chan fleetmodel.Callback{}}
	var err error
	if h.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	h.discAt = l.Addr().String()
	h.disc = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.discovery(h, w, q) })}
	r.running.Go(func() { _ = h.disc.Serve(l) }) // ends when it is closed
	if r.x.Dispatchers.PeerMessages && r.x.Dispatchers.Count > 1 {
		if err := r.newRelays(h); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// newRelays opens the addresses at which a dispatcher finds its siblings.
func (r *rig) newRelays(h *host) error {
	mine, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 1, 1)}) // not among the ports that others draw from
	if err != nil {
		return fmt.Errorf("siblings: %w", err)
	}
	h.peerAt = mine.LocalAddr().(*net.UDPAddr)
	mine.Close() // free for the dispatcher
	for to := range r.x.Dispatchers.Count {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return fmt.Errorf("siblings: %w", err)
		}
		h.relays = append(h.relays, c)
		if to == h.n {
			to = -1
		}
		r.running.Go(func() {
			buf := make([]byte, 512)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				data := append([]byte(nil), buf[:n]...)
				r.do(func() { r.w.SendToPeers(h.n, to, data) })
			}
		})
	}
	return nil
}

// configure writes a dispatcher's configuration.
func (r *rig) configure(h *host, seed uint64, known []fleetmodel.WorkerEntry) error {
	c := map[string]any{"name": "n" + strconv.Itoa(h.n), "listen": h.listen, "discovery": h.discAt,
		"seed": fmt.Sprintf("%016x", seed), "settings": r.x.Settings(h.n),
		"limits": map[string]any{"cores": r.o.Cores, "memory_mb": r.o.MemoryMB, "sockets": r.o.Descriptors}}
	if len(known) > 0 {
		c["known"] = r.list(h, fleetmodel.DiscoveryUpdate{Complete: true, Workers: known})
	}
	if len(h.relays) > 0 {
		var peers []string
		for _, p := range h.relays {
			peers = append(peers, p.LocalAddr().String())
		}
		c["peer_listen"], c["peers"], c["peers_all"] = h.peerAt.String(), peers, peers[h.n]
	}
	text, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	h.config = filepath.Join(r.dir, fmt.Sprintf("n%d.json", h.n))
	if err := os.WriteFile(h.config, text, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// Start runs a dispatcher's process.
func (r *rig) StartDispatcher(d int, known []fleetmodel.WorkerEntry) {
	h := r.hosts[d]
	if h.starts++; r.fleet != nil {
		r.fleet.starts(d)
	}
	if err := r.configure(h, uint64(h.starts)<<32|uint64(d+1), known); err != nil {
		r.failed = err
		return
	}
	cmd, _ := r.launch(h)
	if cmd == nil {
		return
	}
	h.cmd, h.up, h.began = cmd, true, time.Now()
	r.running.Go(func() {
		r.whenReady("http://"+h.listen+"/ready", func() {
			if h.cmd == cmd && h.up {
				r.w.DispatcherReady(d)
				if p, err := procfs.NewProc(cmd.Process.Pid); err == nil {
					if s, err := p.Stat(); err == nil {
						h.usage.IdleMB = float64(s.ResidentMemory()) / (1 << 20)
					}
				}
			}
		})
	})
}

// launch runs one more process of a dispatcher; nil: the lab failed. Only where processes take each other's place do they
// have an address for operators and a folder to meet in.
func (r *rig) launch(h *host) (cmd *exec.Cmd, ops string) {
	program, file := r.o.Program, r.o.OperatorFile
	if r.fleet != nil {
		program, file = r.fleet.member(h.n)
	}
	cmd = exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.config, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_OPS=", "ROUTER_DISCOVERY=", "WELDMAST_FILE="+file)
	if slices.ContainsFunc(r.x.Faults, func(f fleetmodel.Fault) bool { return f.Type == "dispatcher_upgrade" }) {
		temp := filepath.Join(r.dir, strconv.Itoa(h.n))
		var err error
		if ops, err = freeAddr(); err == nil {
			err = os.MkdirAll(temp, 0o700)
		}
		if err != nil {
			r.failed = fmt.Errorf("dispatcher: %w", err)
			return nil, ""
		}
		cmd.Env = append(cmd.Env, "ROUTER_OPS="+ops, "TMPDIR="+temp)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the lab
	if r.o.LogDir != "" {
		f, err := os.OpenFile(filepath.Join(r.o.LogDir, fmt.Sprintf("n%d.log", h.n)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			r.failed = fmt.Errorf("logs: %w", err)
			return nil, ""
		}
		defer f.Close()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		r.failed = fmt.Errorf("dispatcher: %w", err)
		return nil, ""
	}
	r.running.Go(func() {
		_ = cmd.Wait() // how it ended shows in its state
		r.do(func() { r.exited(h, cmd) })
	})
	h.all = append(h.all, cmd)
	return cmd, ops
}

// whenReady has something done on the world's goroutine once a process says that it is ready.
func (r *rig) whenReady(url string, then func()) {
	for began := time.Now(); time.Since(began) < readyWithin && r.ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := r.client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.do(then)
			return
		}
	}
}

// Upgrade starts a process beside the one that serves. Once it is ready the older one is told to stop, and is killed
// when the time that it has is over.
func (r *rig) UpgradeDispatcher(d int) {
	h := r.hosts[d]
	if !h.up {
		return
	}
	cmd, ops := r.launch(h)
	if cmd == nil {
		return
	}
	r.running.Go(func() {
		r.whenReady("http://"+ops+"/control/ready", func() {
			if !h.up {
				return
			}
			older := h.cmd
			h.cmd = cmd
			_ = older.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(killAfter, func() { _ = older.Process.Kill() }) // one that has ended needs none
		})
	})
}

const killAfter = 3700 * time.Millisecond // after SIGTERM: the longest deadline, 3 s at most, and a grace

// Flood opens connections that never say a whole request: half of them say nothing, half the beginning of one.
func (r *rig) FloodConnections(d int, rate, span float64) {
	h := r.hosts[d]
	for k := range int(rate * span / 1000) {
		time.AfterFunc(time.Duration(float64(k)/rate*1e9), func() {
			c, err := net.Dial("tcp4", h.listen)
			if err != nil {
				r.ranOut(err)
				return
			}
			defer c.Close()
			if k%2 == 0 {
				_, _ = c.Write([]byte("POST /flood HTTP/1.1\r\nHost: x\r\n")) // the dispatcher may have closed it
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = c.Read(make([]byte, 1))
		})
	}
}

// exited notes the end of a process, whether or not it was killed.
func (r *rig) exited(h *host, cmd *exec.Cmd) {
	if s := cmd.ProcessState; s != nil {
		h.usage.CPUSeconds += (s.UserTime() + s.SystemTime()).Seconds()
	}
	if h.cmd == cmd {
		if h.up {
			h.up = false
			r.w.DispatcherExited(h.n)
		}
		h.usage.Uptime += time.Since(h.began).Seconds()
	}
}

// Kill ends a process at once.
func (r *rig) KillDispatcher(d int) {
	if h := r.hosts[d]; h.up {
		h.kill()
	}
}

// kill ends all processes of a dispatcher.
func (h *host) kill() {
	h.up = false
	for _, c := range h.all {
		_ = c.Process.Kill() // one that has ended needs none
	}
}

// Stop and Reload send their signals.
func (r *rig) StopDispatcher(d int) { r.signal(d, syscall.SIGTERM) }

// Reload as Stop.
func (r *rig) ReloadDispatcher(d int) { r.signal(d, syscall.SIGHUP) }

// Freeze stops a process or has it go on.
func (r *rig) SetPaused(d int, on bool) {
	if r.fleet != nil {
		r.fleet.froze(d, on)
	}
	h := r.hosts[d]
	switch {
	case on && h.up:
		h.still = h.cmd
		_ = h.still.Process.Signal(syscall.SIGSTOP) // one that has just ended needs none
	case !on && h.still != nil: // the same one, whoever serves by now
		_ = h.still.Process.Signal(syscall.SIGCONT)
		h.still = nil
	}
}

func (r *rig) signal(d int, s syscall.Signal) {
	if h := r.hosts[d]; h.up {
		_ = h.cmd.Process.Signal(s) // one that has just ended needs none
	}
}

// close ends whatever was started.
func (r *rig) close() {
	if r.o.GracefulStop {
		r.gentle()
	}
	for _, h := range r.hosts {
		if h.up {
			h.kill()
		}
	}
	r.stop()
	if r.fleet != nil {
		r.fleet.close()
	}
	for _, h := range r.hosts {
		_ = h.disc.Close()
		for _, c := range h.relays {
			c.Close()
		}
	}
	for _, s := range r.workers {
		s.close()
		for _, d := range s.doors {
			d.release()
		}
	}
	done := make(chan struct{})
	go func() {
		r.running.Wait()
		close(done)
	}()
	for {
		select {
		case <-r.in: // let go of those that still hand something in
		case <-done:
			r.client.CloseIdleConnections()
			return
		}
	}
}

// gentle waits for the dispatchers to end by themselves.
func (r *rig) gentle() {
	for _, h := range r.hosts {
		if h.up {
			h.up = false
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		living := 0
		for _, h := range r.hosts {
			if h.cmd != nil && h.cmd.Process.Signal(syscall.Signal(0)) == nil {
				living++
			}
		}
		if living == 0 {
			return
		}
		select {
		case <-r.in:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// ranOut ends the day when the lab's own descriptors have run out: what breaks then is no dispatcher's fault.
func (r *rig) ranOut(err error) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		r.spent.Store(true)
	}
}

// quiet drops what the stand-ins' server would log: broken connections are part of the day.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
