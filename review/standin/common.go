// Command standin plays one case of the review: clients, workers, discovery and, where a case needs it, the way
// between two processes. The dispatchers are the project's own programs, started as separate processes with the
// command of the deploy file.
//
// This file holds what the cases share: the record, processes, discovery, and clients.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// env is what a case runs in.
type env struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	start   time.Time
	given   map[string]bool // addresses that freeAddr has returned

	interrupted atomic.Bool // the case is told to stop: its result counts no more
	ending      sync.Once

	mu     sync.Mutex
	out    *os.File
	procs  []*proc
	closed bool // no further process is started
}

// say writes a line to the record and to standard output.
func (e *env) say(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, a...))
	if e.out != nil {
		e.out.WriteString(line)
	}
	os.Stdout.WriteString(line)
}

// fatal ends the case: it could not run.
func (e *env) fatal(format string, a ...any) {
	e.say("COULD NOT RUN: "+format, a...)
	e.stop()
	os.Exit(cannot)
}

// deployRun returns the run command of the deploy file.
func (e *env) deployRun() string {
	text, err := os.ReadFile(filepath.Join(e.root, "deploy", "balancer.toml"))
	if err != nil {
		e.fatal("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	e.fatal("deploy/balancer.toml has no run")
	return ""
}

// proc is a process that the case started.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// spawn starts a command by /bin/sh -c from the root, as the deploy file's commands are. It must be called on the
// main goroutine, which is locked to its thread: the process is killed when that thread ends.
func (e *env) spawn(name, command string, vars ...string) *proc {
	p := &proc{name: name, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = e.root
	for _, v := range os.Environ() {
		if k, _, _ := strings.Cut(v, "="); !strings.HasPrefix(k, "ROUTER_") && k != "WELDMAST_FILE" && k != "TMPDIR" {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	p.cmd.Env = append(p.cmd.Env, vars...)
	log, err := os.OpenFile(filepath.Join(e.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.fatal("%v", err)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		select {} // the process ends
	}
	if err = p.cmd.Start(); err == nil {
		e.procs = append(e.procs, p)
		go func() {
			p.err = p.cmd.Wait()
			close(p.done)
		}()
	}
	e.mu.Unlock()
	if err != nil {
		e.fatal("%s: %v", name, err)
	}
	e.say("started %s, pid %d: %s", name, p.cmd.Process.Pid, command)
	return p
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to a process that has not ended.
func (e *env) signal(p *proc, s syscall.Signal) {
	if !p.ended() {
		e.say("%v to %s, pid %d", s, p.name, p.cmd.Process.Pid)
		p.cmd.Process.Signal(s)
	}
}

// stop ends all processes and removes the temporary folder. A second caller waits for the first.
func (e *env) stop() {
	e.ending.Do(func() {
		e.mu.Lock()
		procs := e.procs
		e.closed = true
		e.mu.Unlock()
		for _, p := range procs {
			if !p.ended() {
				p.cmd.Process.Signal(syscall.SIGCONT)
				p.cmd.Process.Kill()
				<-p.done
			}
		}
		os.RemoveAll(e.dir)
	})
}

// tail copies the last lines of a process's log to the record.
func (e *env) tail(name string, lines int) {
	text, err := os.ReadFile(filepath.Join(e.dir, name+".log"))
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, l := range all[max(0, len(all)-lines):] {
		e.say("log of %s: %s", name, l)
	}
}

// freeAddr returns a loopback address whose port is free, below those that the system gives to outgoing connections.
func (e *env) freeAddr() string {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			if !e.given[addr] {
				e.given[addr] = true
				return addr
			}
		}
	}
	e.fatal("no free port")
	return ""
}

// listen opens a listener on a free loopback port.
func (e *env) listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		e.fatal("%v", err)
	}
	return l
}

// writeFile writes a file into the temporary folder and returns its path.
func (e *env) writeFile(name string, content []byte) string {
	path := filepath.Join(e.dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		e.fatal("%v", err)
	}
	return path
}

type object = map[string]any

func (e *env) writeJSON(name string, v any) string {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		e.fatal("%v", err)
	}
	return e.writeFile(name, text)
}

// discovery answers with one list that does not change: at once, and with an empty line every 2 s.
type discovery struct {
	addr    string
	members []object
}

func (e *env) startDiscovery(members ...object) *discovery {
	l := e.listen()
	d := &discovery{addr: l.Addr().String(), members: members}
	go http.Serve(l, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" {
			http.NotFound(out, r)
			return
		}
		json.NewEncoder(out).Encode(object{"revision": 1, "complete": true, "members": d.members})
		for r.FormValue("watch") != "" && r.Context().Err() == nil {
			out.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			io.WriteString(out, "\n")
		}
	}))
	return d
}

func member(id, addr string) object {
	return object{"id": id, "host_port": addr, "locality": "here", "flavor": "fast", "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
}

// awaitReady waits until a dispatcher answers 200 to GET /ready.
func (e *env) awaitReady(addr string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/ready", nil)
		q.Close = true
		r, err := http.DefaultClient.Do(q)
		if err == nil {
			r.Body.Close()
		}
		cancel()
		if err == nil && r.StatusCode == 200 {
			return
		}
	}
	e.fatal("%s is not ready after %v", addr, within)
}

// answer is what a client got.
type answer struct {
	status int // 0: none
	body   string
	err    error
	took   time.Duration
}

// ask hands in one job on a connection of its own and waits for the answer for as long as the deadline and a second.
func ask(addr, path, id string, deadline time.Duration, hintMicros int, body []byte) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := c.Write(requestBytes(addr, path, id, deadline, hintMicros, body)); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, body: string(text), err: err}
}

func requestBytes(addr, path, id string, deadline time.Duration, hintMicros int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Tenant: acme\r\nX-Deadline: %.3f\r\nX-Cost-Hint: %d\r\nContent-Length: %d\r\n\r\n", path, addr, id, deadline.Seconds(), hintMicros, len(body))
	b.Write(body)
	return b.Bytes()
}

// callback tells a dispatcher what became of a job, until it is answered 200 or 204, ten times at most.
func callback(addr string, v object) error {
	text, _ := json.Marshal(v)
	var last error
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/callback", bytes.NewReader(text))
		r, err := http.DefaultClient.Do(q)
		if last = err; err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				cancel()
				return nil
			}
			last = errors.New(r.Status)
		}
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

var cases = map[string]func(e *env) int{}

func main() {
	runtime.LockOSThread()
	if len(os.Args) < 3 {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(cannot)
	}
	play := cases[os.Args[1]]
	root, err := os.Getwd()
	if play == nil || err != nil {
		fmt.Println("no such case", err)
		os.Exit(cannot)
	}
	dir, err := os.MkdirTemp("", "weldmast-review")
	if err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	e := &env{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), given: map[string]bool{}}
	if e.out, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stopped:
		case <-time.After(110 * time.Second):
		}
		e.interrupted.Store(true)
		e.fatal("stopped, or not done after 110 s")
	}()
	e.say("case %s, trouble %v", os.Args[1], e.trouble)
	result := play(e)
	if e.interrupted.Load() {
		select {} // the goroutine above ends the process
	}
	e.say("%s", map[int]string{held: "RULE HELD", broken: "RULE BROKEN", cannot: "COULD NOT RUN"}[result])
	e.stop()
	os.Exit(result)
}
