package scaletest

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var dispatcherProgram, voterProgram string

// TestMain builds the programs that runs measure. In a process that a run has started as a stub, it runs the
// stub instead.
func TestMain(m *testing.M) {
	if os.Getenv("WELDLAB_HOLLOW") != "" && len(os.Args) > 1 && os.Args[1] == "hollow" {
		if err := RunStub(context.Background(), os.Stdin, os.Stdout); err != nil {
			log.Fatal(err)
		}
		return
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		log.Fatal(err)
	}
	dispatcherProgram, voterProgram = filepath.Join(dir, "weldmast"), filepath.Join(dir, "weldmast-voter")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../../cmd/weldmast", "../../cmd/weldmast-voter").CombinedOutput(); err != nil {
		log.Fatalf("build: %v\n%s", err, out)
	}
	os.Setenv("WELDLAB_HOLLOW", "1")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func testOptions(progress func(string)) Options {
	return Options{DispatcherProgram: dispatcherProgram, VoterProgram: voterProgram, StubCommand: []string{os.Args[0], "hollow"}, Progress: progress}
}

const smallPlan = `
about = "small"
voters = 3
dispatchers = 2
rate = 40
fleet_workers = 4
members = [8, 12, 16]
versions = [2]
grow = 100
each = 4
workers = [20, 40, 60]
known_rate = 40
watchers = 2
teams = [2, 4, 6]
settle = "200ms"
measure = "1s"
late = "2s"
`

// TestTimeRounds checks that each type of round is timed, and that a round with input takes longer than one
// without, and one with a hundred jobs longer than one with a single job. It compares nothing more closely,
// because times vary.
func TestTimeRounds(t *testing.T) {
	r, err := timeRounds(2 * batchSize)
	if err != nil {
		t.Fatal(err)
	}
	if r.Idle <= 0 || r.Start <= r.Idle || r.Batch <= r.Start || r.Change <= r.Idle {
		t.Error(r.text())
	}
}

// TestPairSlopes checks that the slopes of two runs are paired by name, and that a pair tells whether each
// slope lies in the other's interval and whether the intervals overlap.
func TestPairSlopes(t *testing.T) {
	run := func(slope, off float64) *Result {
		r := &Result{}
		for k, n := range []int{200, 1000, 4000, 18000} {
			y := slope*float64(n) + off*float64(1-k%2*2)
			r.Points = append(r.Points, Point{Series: "rounds", Size: n, Rounds: Rounds{Idle: 1, Start: y}})
		}
		return r
	}
	for _, c := range []struct {
		slope           float64
		within, overlap bool
	}{{1, true, true}, {1.02, true, true}, {1.2, false, true}, {1.5, false, false}} {
		all := PairSlopes(run(1, 300), run(c.slope, 300))
		if len(all) != 2 || all[1].Name != "round_start@0" || all[1].EachWithinOther() != c.within || all[1].Overlap() != c.overlap {
			t.Errorf("slope %g paired with slope 1: %+v", c.slope, all)
		}
	}
}

func parsePlan(t *testing.T, overrides ...string) *Plan {
	t.Helper()
	text := smallPlan
	for _, m := range overrides {
		key, _, _ := strings.Cut(m, " ")
		var lines []string
		for _, line := range strings.Split(text, "\n") {
			if !strings.HasPrefix(line, key+" ") {
				lines = append(lines, line)
			}
		}
		text = strings.Join(lines, "\n") + m + "\n"
	}
	p, err := ParsePlan("small.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// leftProcesses returns the processes of a run that are still running.
func leftProcesses(t *testing.T) (all []string) {
	t.Helper()
	out, _ := exec.Command("ps", "-o", "pid=,args=", "--ppid", fmt.Sprint(os.Getpid())).Output()
	for _, line := range strings.Split(string(out), "\n") {
		if strings.Contains(line, filepath.Dir(dispatcherProgram)) || strings.Contains(line, "hollow") {
			all = append(all, line)
		}
	}
	return all
}

// TestRun checks that a small run has each point with its roles, that each version is in force at the stub
// members, that jobs are served, and that no process is left running.
func TestRun(t *testing.T) {
	r, err := Run(t.Context(), parsePlan(t), testOptions(nil))
	if err != nil || r.Void != "" || r.LimitReached != "" {
		t.Fatal(err, r)
	}
	if len(r.Points) != 3+6+6+3 {
		t.Errorf("%d points", len(r.Points))
	}
	for _, p := range r.Points {
		name := fmt.Sprint(p.Series, " ", p.Size, " ", p.JobRate)
		if p.Series == "rounds" && (p.Idle <= 0 || p.Start <= p.Idle || p.Change <= p.Idle) {
			t.Errorf("%s: %s", name, p.text())
		}
		if p.Series == "members" {
			if p.Roles["leader"].Processes != 1 || p.Roles["voter"].Processes != 2 || p.Roles["dispatcher"].Processes != 2 || p.Roles["follower"].Processes != 2 {
				t.Errorf("%s: roles %v", name, p.Roles)
			}
			if p.Published == 0 || p.InForceMax <= 0 || p.InForceMax < p.InForceP50 || p.StubLink.Calls < 3 || p.StubLink.Calls > 20 || p.StubLink.Read < 100 {
				t.Errorf("%s: published %d, in force after p50 %v and max %v ms, stub link %+v", name, p.Published, p.InForceP50, p.InForceMax, p.StubLink)
			}
			if p.Roles["leader"].Reads < p.StubLink.Calls*float64(p.Size-7)/2 {
				t.Errorf("%s: %v reads per second at the leader, %v calls per second of each member", name, p.Roles["leader"].Reads, p.StubLink.Calls)
			}
		}
		if p.JobRate > 0 && (p.Jobs < 20 || p.Served < p.Jobs*9/10) {
			t.Errorf("%s: %d of %d jobs served", name, p.Served, p.Jobs)
		}
	}
	if s, ok := r.Slope("leader_cpu@2"); !ok || s.Fit.Points != 3 || !strings.Contains(r.Text(), "leader_cpu@2") {
		t.Errorf("leader_cpu@2 is missing, in the slopes or in the text, or has not 3 points: %+v", s)
	}
	if err := r.Plot(filepath.Join(t.TempDir(), "p.svg")); err != nil {
		t.Error(err)
	}
	if all := leftProcesses(t); len(all) > 0 {
		t.Errorf("processes left running: %q", all)
	}
}

// TestInterruptedAndVoidRuns checks that an interrupted run keeps the points measured until then, and that a
// run is void, with the reason, when a stub process dies, when its timers are late, or when the run exceeds
// its memory limit. None leaves a process running.
func TestInterruptedAndVoidRuns(t *testing.T) {
	for name, change := range map[string]struct {
		more []string
		do   func(stop func())
		void string
	}{
		"interrupted":           {nil, func(stop func()) { stop() }, ""},
		"stub dies":             {nil, func(func()) { killStub(t) }, "hollow process ended by itself"},
		"memory limit exceeded": {[]string{"memory = 0.003", "real_mb = 0", "member_kb = 0", "worker_kb = 0"}, nil, "are the bound"},
		"stub timers late":      {[]string{`late = 1`, `members = [8, 12, 16]`}, func(func()) { pauseStub(t) }, "was late by"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			progressLines := 0
			r, err := Run(ctx, parsePlan(t, append(change.more, `workers = []`, `teams = []`)...), testOptions(func(string) {
				if progressLines++; progressLines == 2 && change.do != nil {
					change.do(stop)
				}
			}))
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(r.Void, change.void) || (r.Void == "") != (change.void == "") {
				t.Errorf("void reason %q, want %q", r.Void, change.void)
			}
			if change.void == "" && (!r.Interrupted || len(r.Points) != 2) {
				t.Errorf("interrupted %v, %d points", r.Interrupted, len(r.Points))
			}
			if all := leftProcesses(t); len(all) > 0 {
				t.Errorf("processes left running: %q", all)
			}
		})
	}
}

// stubPIDs returns the process IDs of the stub processes.
func stubPIDs(t *testing.T) (all []int) {
	for _, line := range leftProcesses(t) {
		var pid int
		if strings.Contains(line, "hollow") {
			fmt.Sscan(line, &pid)
			all = append(all, pid)
		}
	}
	return all
}

func killStub(t *testing.T) {
	_ = syscall.Kill(stubPIDs(t)[0], syscall.SIGKILL)
	time.Sleep(100 * time.Millisecond)
}

// pauseStub stops a stub process for longer than its timers may be late.
func pauseStub(t *testing.T) {
	pid := stubPIDs(t)[0]
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	time.AfterFunc(700*time.Millisecond, func() { _ = syscall.Kill(pid, syscall.SIGCONT) })
}

// TestParsePlan checks that an error lists all faults of a plan, each with its line and key.
func TestParsePlan(t *testing.T) {
	_, err := ParsePlan("p.toml", []byte("voters = 2\nmembers = [3, 3]\nversions = [-1]\nprocesses = 2\nmeasur = 3\nlate = \"x\"\n"))
	want := []string{"p.toml:3: versions.0: -1 is below 0", "p.toml:5: measur: is not known", "p.toml:6: late: \"x\" is not a time"}
	for _, w := range want {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("the error lacks %q:\n%v", w, err)
		}
	}
	_, err = ParsePlan("p.toml", []byte("voters = 2\nmembers = [3, 3]\nprocesses = 2\n"))
	for _, w := range []string{"p.toml:1: voters:", "p.toml:2: members.1: 3 is not above the size before it", "p.toml:2: members.0: 3 is below the number of real members", "versions: is missing", "p.toml:3: processes: the plan needs"} {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("the error lacks %q:\n%v", w, err)
		}
	}
	p := parsePlan(t, "member_kb = 1000000000")
	if _, err := p.CheckMemory(); err == nil || !strings.Contains(err.Error(), "memory: the plan needs") {
		t.Errorf("plan that exceeds the machine's memory: error %v", err)
	}
	if _, err := Run(t.Context(), p, testOptions(nil)); err == nil || errors.Is(err, ErrVoid) {
		t.Errorf("run of a plan that exceeds the memory: error %v", err)
	}
}

// TestFitLine checks the line, its interval and the prediction of the largest point against values computed
// by hand.
func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 10})
	// Slope 2.3, intercept 0.5; residuals 0.2, -0.1, -0.4, 0.3 with squares that sum to 0.3; squared
	// deviations of x sum to 5; t(0.975, 2) = 4.3027.
	half := 4.302653 * math.Sqrt(0.3/2/5)
	for what, x := range map[string][2]float64{"slope": {f.Slope, 2.3}, "intercept": {f.Intercept, 0.5}, "low": {f.Low, 2.3 - half}, "high": {f.High, 2.3 + half}, "predicted": {f.Predicted, 9}, "relative error": {f.RelativeError, -0.1}} {
		if math.Abs(x[0]-x[1]) > 1e-6 {
			t.Errorf("%s is %v, want %v", what, x[0], x[1])
		}
	}
	if f := FitLine([]float64{1, 2, 4}, []float64{1, 2, 8}); f.IsLinear() {
		t.Errorf("points that are not linear pass as linear: %+v", f)
	}
	if f := FitLine([]float64{1, 2, 3}, []float64{3, 2, 1}); f.Slope != 0 || f.Intercept != 2 {
		t.Errorf("falling points do not give a flat line: %+v", f)
	}
}
