package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// buildVoter builds weldmast-voter once and returns its path.
var buildVoter = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "weldmast-voter")
	args := []string{"build", "-buildvcs=false", "-o", path}
	if raceEnabled() {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "../weldmast-voter")...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w\n%s", err, out)
	}
	return path, err
})

// fleetEnv is the environment of one member, with a worker that records the X-Release of each job.
type fleetEnv struct {
	*testEnv
	name string
	addr string // the member's address
}

func newFleetEnv(t *testing.T, name, voterAt, alone, more string) *fleetEnv {
	f := &fleetEnv{testEnv: newTestEnv(t), name: name, addr: voterAt}
	if name != "v" {
		l := f.listenPort()
		f.addr = l.Addr().String()
		l.Close()
	}
	f.operatorPath = filepath.Join(t.TempDir(), "fleet.toml")
	f.must(os.WriteFile(f.operatorPath, []byte(fmt.Sprintf("[fleet]\nname = \"test\"\nmember = %q\nlisten = %q\nvoters = [\"v %s\"]\nfolder = %q\nalone = %q\nbeat = 50\nlease = 400\n%s",
		name, f.addr, voterAt, t.TempDir(), alone, more)), 0o600))
	l := f.listenPort()
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		f.record("%s under %q", id, r.Header.Get("X-Release"))
		accept(job{out: out})
		f.callback(id, "w1", "done", "")
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	f.publish(memberList(1, true, memberEntry("w1", l.Addr().String(), "in_service")))
	return f
}

// newFleet returns a voter and a follower, not yet started, and the path of weldmast-voter and the voter's
// address.
func newFleet(t *testing.T) (path, at string, v, m *fleetEnv) {
	path, err := buildVoter()
	if err != nil {
		t.Fatal(err)
	}
	l := newTestEnv(t).listenPort()
	at = l.Addr().String()
	l.Close()
	return path, at, newFleetEnv(t, "v", at, "serve", ""), newFleetEnv(t, "m", at, "stop", "")
}

// job sends one job on a new connection and returns the status and what the worker recorded.
func (f *fleetEnv) job(id string) string {
	answer := f.dial().ask(request(id, "/plan/x", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range strings.Split(f.seen.String(), "\n") {
		if rest, ok := strings.CutPrefix(line, id+" "); ok {
			return answer + " " + rest
		}
	}
	return answer
}

// awaitJob sends jobs until one is answered as wanted.
func (f *fleetEnv) awaitJob(want string) {
	f.t.Helper()
	last := ""
	for k, end := 0, time.Now().Add(waitTimeout); time.Now().Before(end); k++ {
		if last = f.job(fmt.Sprintf("%s-%d-%d", f.name, time.Now().UnixNano(), k)); strings.TrimSpace(last) == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Errorf("%s: last answer to a job is %q, want %q", f.name, last, want)
}

// TestFleet runs one voter and a follower and checks what operators and clients see.
func TestFleet(t *testing.T) {
	path, at, v, m := newFleet(t)
	cli := func(want int, args ...string) string {
		t.Helper()
		cmd := exec.Command(binary, append([]string{"fleet"}, append(args, "--at", m.addr, "--fleet", "test")...)...)
		out, err := cmd.CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != want {
			t.Errorf("%v: exit code %d\n%s", args, code, out)
		}
		return string(out)
	}
	says := func(text, want string) {
		t.Helper()
		if !strings.Contains(text, want) {
			t.Errorf("%q does not contain %q", text, want)
		}
	}
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "version.json")
		v.must(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	was := binary
	binary = path
	v.start()
	binary = was
	m.start()
	m.awaitJob(`200 under ""`)
	one := cli(0, "publish", file(`{"mark":"one"}`), "--fence", "--wait", "--request", "r1")
	says(one, "version 1, entry ")
	says(one, "fence complete since ")
	if got := m.job("after-the-fence"); got != `200 under "one"` {
		t.Errorf("after the fence: %s", got)
	}
	says(cli(0, "publish", file(`{"mark":"one"}`), "--fence", "--request", "r1"), "as before")
	says(cli(1, "publish", file(`{"settings":{"allowed":{"max_handoffs":1}}}`), "--fence"), "settings.allowed.max_handoffs is not known to this program")
	says(cli(1, "publish", file(`{"mark":"x"}`), "--after", "0"), "the newest version is 1, not 0")
	says(cli(1, "publish", file(`[]`)), "not a JSON object")
	cli(0, "publish", file(`{"mark":"two"}`), "--least", "99.0.0")
	m.until("the refusal in the status", func() bool {
		return strings.Contains(cli(0, "status"), "refuses version 2: program too old: it is "+release()+", version 2 asks for 99.0.0")
	})
	if got := m.job("older"); got != `200 under "one"` {
		t.Errorf("after a refused version: %s", got)
	}
	cli(0, "publish", file(`{"mark":"three"}`), "--wait")
	m.awaitJob(`200 under "three"`)
	cli(0, "shut-out", "m")
	m.awaitJob("503 Retry-After")
	v.awaitJob(`200 under "three"`)
	cli(0, "admit", "m")
	m.awaitJob(`200 under "three"`)
	says(cli(1, "shut-out", "nobody"), "no member is called nobody")

	// Of two processes with the same member name, the second gets no lease and accepts no work.
	twin := newFleetEnv(t, "m", at, "stop", "")
	twin.launch()
	twin.until("no lease", func() bool {
		return strings.Contains(twin.output.String(), "the name is taken by the process at "+m.addr)
	})
	twin.until("ready", func() bool { return twin.status("/ready") == 200 })
	if got := twin.job("twin"); got != "503 Retry-After" {
		t.Errorf("second process with the same name: %s", got)
	}
	twin.must(twin.cmd.Process.Kill())
	twin.cmd.Wait()

	// The follower is paused for longer than its lease while a version with a fence is published. After it
	// resumes, it must not apply an older version.
	m.must(m.cmd.Process.Signal(syscall.SIGSTOP))
	says(mustRun(t, binary, "fleet", "publish", file(`{"mark":"four"}`), "--fence", "--wait", "--at", at, "--fleet", "test"), "fence complete since ")
	m.must(m.cmd.Process.Signal(syscall.SIGCONT))
	for k := range 20 {
		if got := m.job(fmt.Sprint("woken", k)); !strings.HasPrefix(got, "503") && got != `200 under "four"` {
			t.Errorf("after the pause: %s", got)
		}
	}
	m.awaitJob(`200 under "four"`)

	// After a kill and a restart the follower has the same state, and the audit lists both of its processes.
	m.must(m.cmd.Process.Kill())
	m.cmd.Wait()
	m.start()
	m.awaitJob(`200 under "four"`)
	var audit struct {
		Versions []struct {
			Lines []struct{ Member, Run string } `json:"members"`
		} `json:"versions"`
		Unknown []struct{ Member string } `json:"unknown"`
	}
	v.must(json.Unmarshal([]byte(cli(0, "audit", "--version", "4", "--json")), &audit))
	runs := map[string]bool{}
	for _, l := range audit.Versions[0].Lines {
		if l.Member == "m" {
			runs[l.Run] = true
		}
	}
	if len(runs) != 2 || len(audit.Unknown) == 0 || audit.Unknown[0].Member != "m" {
		t.Errorf("%+v", audit)
	}

	// Without a voter the follower stops taking work when its lease expires, as its file says alone = "stop".
	// It serves again once the voter is back.
	v.must(v.cmd.Process.Kill())
	v.cmd.Wait()
	m.awaitJob("503 Retry-After")
	says(cli(1, "status"), "no leader can be reached; this is what the member itself knows")
	binary = path
	v.start()
	binary = was
	m.awaitJob(`200 under "four"`)
	m.must(m.cmd.Process.Signal(syscall.SIGTERM))
	if err := m.cmd.Wait(); err != nil {
		t.Error(err)
	}
	v.until("it ended", func() bool {
		return strings.Contains(mustRun(t, binary, "fleet", "status", "--at", at, "--fleet", "test"), "it ended")
	})
}

// TestRefusedBySome publishes a version that one member accepts and that conflicts with another member's own
// configuration. The first applies it. The other keeps its old version, serves on, and reports the key and
// the fault. Both apply a later version that both accept.
func TestRefusedBySome(t *testing.T) {
	path, _, v, m := newFleet(t)
	// sends nothing to peers, whereas the follower has two of them
	v.swap = [2]string{fmt.Sprintf(`"peer_listen":%q,`, v.peerAddr), ""}
	v.wrap = func(c *exec.Cmd) { c.Path = path }
	v.start()
	m.start()
	m.awaitJob(`200 under ""`)
	publish := func(text string) {
		t.Helper()
		file := filepath.Join(t.TempDir(), "version.json")
		v.must(os.WriteFile(file, []byte(text), 0o600))
		mustRun(t, binary, "fleet", "publish", file, "--at", v.addr, "--fleet", "test")
	}
	publish(`{"mark":"one"}`)
	m.awaitJob(`200 under "one"`)
	publish(`{"mark":"two","settings":{"siblings":1}}`)
	v.awaitJob(`200 under "two"`)
	m.until("the refusal in the status", func() bool {
		return strings.Contains(mustRun(t, binary, "fleet", "status", "--at", v.addr, "--fleet", "test"), "refuses version 2: peers: 2 addresses for 1 siblings")
	})
	if got := m.job("older"); got != `200 under "one"` {
		t.Errorf("member that refuses the version: %s", got)
	}
	publish(`{"mark":"three"}`)
	v.awaitJob(`200 under "three"`)
	m.awaitJob(`200 under "three"`)
}

// mustRun runs a command that must succeed.
func mustRun(t *testing.T, name string, args ...string) string {
	t.Helper()
	out, err := exec.Command(name, args...).CombinedOutput()
	if err != nil {
		t.Errorf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

// release returns the program's version.
func release() string {
	out, _ := exec.Command(binary, "version").Output()
	return strings.Fields(string(out))[1]
}

// TestNoVoter checks that the build without a voter refuses to start as a voter, with a clear error.
func TestNoVoter(t *testing.T) {
	f := newFleetEnv(t, "v", "127.0.0.1:7100", "serve", "")
	f.launch()
	if err := f.cmd.Wait(); err == nil {
		t.Error("a build without a voter started as a voter")
	}
	if !strings.Contains(f.output.String(), "fleet.voters: v is a voter, but this build cannot vote: start weldmast-voter instead") {
		t.Error(f.output.String())
	}
}

// TestRequestDuringPause checks that a request that arrives while the process is paused, on a connection
// without an earlier request, is answered after the process resumes, however long the pause was. Whether the
// timer or the socket fires first after the pause depends on the machine: without the guard this test failed
// in one of three runs, while transport's TestReadAfterDeadline failed each time.
func TestRequestDuringPause(t *testing.T) {
	e := newTestEnv(t)
	e.publish(memberList(1, true, memberEntry("w1", e.finishingWorker("w1"), "in_service")))
	e.start()
	var all []*client
	for range 30 {
		all = append(all, e.dial())
	}
	time.Sleep(200 * time.Millisecond) // by then the program waits for their requests
	e.must(e.cmd.Process.Signal(syscall.SIGSTOP))
	for k, c := range all {
		if _, err := c.Write([]byte(request(fmt.Sprint("a", k), "/plan/x", ""))); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2500 * time.Millisecond) // longer than the timeout of a silent connection
	e.must(e.cmd.Process.Signal(syscall.SIGCONT))
	for k, c := range all {
		if got := c.answer(); got == "no answer" {
			t.Errorf("request %d: %s", k, got)
		}
	}
}
