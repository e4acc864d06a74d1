package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programDir contains weldlab and weldmast, built from the current source.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "weldlab")
	if err != nil {
		panic(err)
	}
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", dir+"/", "../weldmast", ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	programDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const calmPath = "../../lab/calm.toml"

// runArgs runs a command line in this process.
func runArgs(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = runCommandLine(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

// TestExitCodes checks the exit code of each command line, and that its output gives the reason.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("length = \"soon\"\nlenght = 1\n[[kind]]\nspeed = 0\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		says []string
	}{
		{"", 2, []string{"expected one of"}},
		{"ruin x", 2, []string{"unexpected argument"}},
		{"run " + bad, 1, []string{"bad.toml:1: length", "bad.toml:2: lenght", "bad.toml:3: kind.0.name", "bad.toml:4: kind.0.speed"}},
		{"run " + filepath.Join(dir, "none.toml"), 1, []string{"no such file"}},
		{"run " + calmPath + " --policy best", 1, []string{"omniscient"}},
		{"run " + calmPath + " --sockets --policy sita", 1, []string{"virtual time only"}},
		{"run " + calmPath + " --sockets --program " + filepath.Join(dir, "none"), 1, []string{"dispatcher:"}},
		{"run " + calmPath + " --set length=\"2s\" --set warmup=0", 0, []string{"rules kept"}},
		{"compare " + calmPath + " weldmast random --seeds 2 --set length=\"2s\" --set warmup=0", 0, []string{"2 paired seeds", "service"}},
		{"sweep " + calmPath + " arrivals.load 0.1 0.2 --seeds 1", 0, []string{"0.1", "0.2"}},
		{"worlds --count 20", 0, []string{"20 worlds", "0 worlds with a broken rule"}},
		{"report " + bad, 1, []string{"line 1"}},
		{"ceiling --factor 1", 1, []string{"above 1"}},
		{"capacity " + bad, 1, []string{"bad.toml:1: length"}},
		{"capacity --with " + bad, 1, []string{"--with needs --from"}},
		{"capacity --from " + bad + " --with " + bad, 1, []string{"bad.toml: invalid character"}},
		{"capacity --from ../../docs/capacity/run-1.json --with ../../docs/capacity/before.json", 1, []string{"are not runs of one plan"}},
		{"capacity --from ../../docs/capacity/run-1.json --with ../../docs/capacity/run-1.json", 0, []string{"| round_start@0 | ms |", "52 slopes: 52 in each other's interval"}},
		{"demo --fault flood", 1, []string{"flood"}},
	} {
		code, out, errs := runArgs(strings.Fields(c.args)...)
		for _, s := range c.says {
			if code != c.code || !strings.Contains(out+errs, s) {
				t.Errorf("%s: ended with %d, wanted %d and %q:\n%s%s", c.args, code, c.code, s, out, errs)
			}
		}
	}
}

// TestSameBytes checks that two runs of a command with one seed write the same bytes.
func TestSameBytes(t *testing.T) {
	_, first, _ := runArgs("run", calmPath, "--set", `length="3s"`, "--seed", "7", "--json", "-")
	_, again, _ := runArgs("run", calmPath, "--set", `length="3s"`, "--seed", "7", "--json", "-")
	_, other, _ := runArgs("run", calmPath, "--set", `length="3s"`, "--seed", "8", "--json", "-")
	if first != again || first == other || !json.Valid([]byte(first)) {
		t.Errorf("one seed: same bytes %v; another seed: different bytes %v", first == again, first != other)
	}
}

// TestInterruptKeepsResults sends an interrupt in the middle of a run in real time. It must leave a complete
// result and report, and no process.
func TestInterruptKeepsResults(t *testing.T) {
	dir := t.TempDir()
	results, page := filepath.Join(dir, "r.jsonl"), filepath.Join(dir, "r.html")
	cmd := exec.Command(filepath.Join(programDir, "weldlab"), "run", calmPath, "--sockets", "--program", filepath.Join(programDir, "weldmast"),
		"--json", results, "--report", page, "--logs", dir, "--late-p99", "1000", "--late-most", "10000")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%v\n%s", err, out.String())
		}
	case <-time.After(10 * time.Second):
		_ = cmd.Process.Kill()
		t.Fatal("weldlab does not end after the interrupt")
	}
	var r struct {
		Interrupted bool
		Jobs        int
	}
	text, err := os.ReadFile(results)
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil || !r.Interrupted || r.Jobs < 100 {
		t.Errorf("%v, %+v", err, r)
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.HasSuffix(bytes.TrimSpace(text), []byte("</pre>")) {
		t.Errorf("the report is incomplete: %v", err)
	}
	logs, err := filepath.Glob(filepath.Join(dir, "n*.log"))
	if err != nil || len(logs) != 3 {
		t.Fatalf("%v %v", logs, err)
	}
	for _, l := range logs {
		text, err := os.ReadFile(l)
		if err != nil {
			t.Fatal(err)
		}
		var pid int
		_, after, _ := strings.Cut(string(text), "pid=")
		if _, err := fmt.Sscan(after, &pid); err != nil || syscall.Kill(pid, 0) == nil {
			t.Errorf("%s: process %d is still running (%v)", l, pid, err)
		}
	}
}

// TestDemo checks that the demo starts, injects a fault, ends by itself and violates no rule.
func TestDemo(t *testing.T) {
	code, out, errs := runArgs("demo", "--seconds", "7", "--fault", "kill", "--program", filepath.Join(programDir, "weldmast"))
	for _, want := range []string{"taken", "demo, seed", "rules kept"} {
		if code != 0 || !strings.Contains(out, want) {
			t.Errorf("ended with %d, no %q:\n%s%s", code, want, out, errs)
		}
	}
}

// TestOutOfDescriptors checks that weldlab reports it when its own descriptors run out, and reports no
// violation.
func TestOutOfDescriptors(t *testing.T) {
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n 90 && exec %s run %s --sockets --program %s --set 'length=\"4s\"' --set warmup=0",
		filepath.Join(programDir, "weldlab"), calmPath, filepath.Join(programDir, "weldmast")))
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "descriptors ran out") && !strings.Contains(string(out), "too many open files") ||
		strings.Contains(string(out), "BROKEN") {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestUpgradeAndFlood upgrades each dispatcher under load, and floods each while one stops, in real time. The
// rules must hold over the old and the new process together; no job of the upgrade run meets a connection
// that is refused, reset or left unread, and in spite of the flood every job is answered.
func TestUpgradeAndFlood(t *testing.T) {
	for _, experiment := range []string{"upgrade", "flood"} {
		logs, resultPath := t.TempDir(), filepath.Join(t.TempDir(), "r.jsonl")
		code, out, errs := runArgs("run", "../../lab/"+experiment+".toml", "--sockets", "--set", `length="8s"`, "--logs", logs, "--json", resultPath,
			"--program", filepath.Join(programDir, "weldmast"), "--late-p99", "1000", "--late-most", "10000")
		var r struct {
			Jobs     int
			Outcomes struct{ Finished, Refused int }
		}
		text, err := os.ReadFile(resultPath)
		if err == nil {
			err = json.Unmarshal(text, &r)
		}
		if code != 0 || err != nil || !strings.Contains(out, "rules kept") || r.Jobs < 1000 {
			t.Fatalf("%s ended with %d, %v, %+v:\n%s%s", experiment, code, err, r, out, errs)
		}
		upgraded := 0
		for k := range 3 {
			text, _ := os.ReadFile(filepath.Join(logs, fmt.Sprintf("n%d.log", k)))
			upgraded += strings.Count(string(text), `takeover="handed over"`)
		}
		if experiment == "upgrade" && (upgraded != 3 || r.Outcomes.Finished != r.Jobs || !strings.Contains(out, "tries 1.00")) {
			t.Errorf("%d upgraded, %+v:\n%s", upgraded, r, out)
		}
		if experiment == "flood" && r.Outcomes.Finished+r.Outcomes.Refused != r.Jobs {
			t.Errorf("jobs without an answer during the flood: %+v\n%s", r, out)
		}
	}
}
