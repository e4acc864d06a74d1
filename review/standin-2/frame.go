// Command review-2 plays the cases 6 to 10 of the review: it starts the project's programs, stands in for
// clients, workers and discovery on loopback addresses, and judges what these have seen.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetup marks a case that could not run.
var errSetup = errors.New("the case could not run")

// stage is one play of a case.
type stage struct {
	root    string // of the repository
	tmp     string
	trouble bool
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*process
	broken  []string
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// note writes a line to record.txt.
func (s *stage) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, a...))
}

// breaks records that the rule was broken.
func (s *stage) breaks(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	s.note("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, text)
}

// starts takes what starts a process. It runs on a thread that lasts as long as this program: the system kills the
// processes when that thread ends, also if this program is killed.
var starts = make(chan func())

func runStarts() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

// start starts a program by a shell from the root, as the platform does.
func (s *stage) start(name, command string, env ...string) (*process, error) {
	p := &process{name: name, done: make(chan struct{}), log: filepath.Join(s.tmp, name+".log")}
	out, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = s.root, out, out
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "ROUTER_") && !strings.HasPrefix(e, "WELDMAST_") && !strings.HasPrefix(e, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, e)
		}
	}
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.done) }()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	s.note("%s started: %s", name, command)
	return p, nil
}

// signal sends a signal to a process, unless it has ended.
func (s *stage) signal(p *process, sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		s.note("%s gets %v", p.name, sig)
		p.cmd.Process.Signal(sig)
	}
}

// endAll ends all processes, and appends their logs to the record.
func (s *stage) endAll() {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		select {
		case <-p.done:
		default:
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.done
		}
	}
	for _, p := range procs {
		text, _ := os.ReadFile(p.log)
		fmt.Fprintf(s.record, "\n--- log of %s\n%s", p.name, strings.ReplaceAll(string(text), s.tmp, "TMP"))
	}
}

// waitFor polls until is returns true. It returns an error after the time.
func waitFor(what string, within time.Duration, is func() bool) error {
	for end := time.Now().Add(within); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: waited %v for %s", errSetup, within, what)
		}
	}
	return nil
}

// until sleeps until so many seconds after an instant.
func until(from time.Time, seconds float64) {
	time.Sleep(time.Until(from.Add(time.Duration(seconds * float64(time.Second)))))
}

var (
	portMu sync.Mutex
	ports  = map[int]bool{}
)

// freeAddr returns a loopback address with a free port, each once. It is below the ports that the system gives to
// outgoing connections, so that none of these takes it before the program listens there.
func freeAddr() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		port := 16000 + rand.IntN(16000)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ports[port] {
			continue
		}
		ports[port] = true
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// deployRun returns the command by which the operators start a dispatcher.
func (s *stage) deployRun() (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", fmt.Errorf("%w: %w", errSetup, err)
	}
	found := runLine.FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("%w: deploy/balancer.toml has no run", errSetup)
	}
	return string(found[1]), nil
}

// startRun starts a dispatcher by that command.
func (s *stage) startRun(name string, env ...string) (*process, error) {
	command, err := s.deployRun()
	if err != nil {
		return nil, err
	}
	return s.start(name, command, env...)
}

// says200 reports whether a GET of the URL is answered by 200.
func says200(url string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// obj is a JSON object.
type obj = map[string]any

// writeJSON writes a file in the temporary folder and returns its path.
func (s *stage) writeJSON(name string, v any) string {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(s.tmp, name)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		panic(err)
	}
	return path
}

// category returns a category of work.
func category(name, semantics string, expiry float64, more obj) obj {
	c := obj{"name": name, "semantics": semantics, "due_time": expiry * 0.9e6, "expiry": expiry * 1e6, "credit": 1.0}
	for k, v := range more {
		c[k] = v
	}
	return c
}

// config returns a configuration like that of a small deployment.
func config(name, listen, discovery string, localities []string, categories ...obj) obj {
	return obj{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": obj{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": obj{
			"siblings": 1, "position": 0, "granularity": 5000, "discovery": "push",
			"localities": localities, "locality": localities[0], "machine_types": []string{"m2"},
			"allowed": obj{"max_hand_offs": 4, "may_cancel": true, "second_copies": false, "peers": false,
				"retry_after": true, "max_retry_after": 2000000, "conn_idle": 15000000, "connect_timeout": 250000, "open_cap": 1000},
			"safety": obj{"answer_slack": 20000, "ask_within": 10000000, "drain_grace": 500000,
				"start_capacity": 0.12, "cold": 10000000, "fall": 2000000, "fall_multiple": 3.0},
			"family_info": obj{"tells_start": true, "progress": 1000000},
			"categories":  categories,
		}}
}

func main() {
	cases := map[string]func(*stage) error{
		"upgrade-categories": upgradeCategories,
		"upgrade-pod":        upgradePod,
		"publish-discovery":  publishDiscovery,
		"fence-successor":    fenceSuccessor,
		"new-zones":          newZones,
		"pipelined":          pipelined,
		"reload-slow":        reloadSlow,
		"upgrade-stop":       upgradeStop,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(*stage) error, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &stage{root: root, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.record.Close()
	if s.tmp, err = os.MkdirTemp("", "review2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(s.tmp)
	defer s.endAll()
	s.note("trouble: %v", s.trouble)
	ended, stop := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go runStarts()
	go func() { ended <- run(s) }()
	select {
	case err = <-ended:
	case <-stop:
		err = fmt.Errorf("%w: interrupted", errSetup)
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("%w: not over after 110 s", errSetup)
	}
	switch {
	case err != nil:
		s.note("%v", err)
		fmt.Println(err)
		return 2
	case len(s.broken) > 0:
		fmt.Println("broken:", strings.Join(s.broken, "; "))
		return 1
	}
	s.note("the rule held")
	fmt.Println("held")
	return 0
}
