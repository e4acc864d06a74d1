package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// startWith starts the program with the given configuration file, unchanged, and waits until it is ready.
func (e *testEnv) startWith(file string) {
	e.t.Helper()
	e.cmd = exec.Command(binary)
	e.cmd.Env, e.cmd.Stderr = append(os.Environ(), "ROUTER_CONFIG="+file, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=",
		"ROUTER_OPS=", "WELDMAST_FILE="), &e.output
	e.must(e.cmd.Start())
	e.until("ready", func() bool { return e.status("/ready") == 200 })
}

func (e *testEnv) interrupt() {
	e.must(e.cmd.Process.Signal(os.Interrupt))
	e.cmd.Wait()
}

// runMigrate runs the migrate command and returns its exit code and output.
func runMigrate(args ...string) (code int, text string) {
	var out strings.Builder
	code = run(append([]string{"migrate"}, args...), &out, &out)
	return code, out.String()
}

// readFolder returns the content of each file in a folder.
func readFolder(t *testing.T, dir string) map[string]string {
	all := map[string]string{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all[e.Name()] = string(text)
	}
	return all
}

// TestMigrate checks that the program starts with a migrated configuration, serves, and sends the work of a
// key to that key's preferred workers. A dry run leaves the folder unchanged. The old configuration is
// unchanged and still works.
func TestMigrate(t *testing.T) {
	e := newTestEnv(t)
	e.writeConfig("", "")
	dir := filepath.Dir(e.configPath)
	before := readFolder(t, dir)
	to := filepath.Join(dir, "new.json")
	args := []string{e.configPath, "--to", to, "--weights", "live", "--load", "probe", "--origin", "0.05"}
	code, dry := runMigrate(append(args, "--dry-run")...)
	if diff := cmp.Diff(before, readFolder(t, dir)); code != 0 || diff != "" {
		t.Errorf("dry run: exit %d, the folder differs:\n%s", code, diff)
	}
	code, text := runMigrate(args...)
	if code != 0 || !strings.Contains(text, "no faults") || !strings.Contains(text, "peers: ") {
		t.Fatalf("exit %d:\n%s", code, text)
	}
	after := readFolder(t, dir)
	if !strings.HasSuffix(dry, after["new.json"]) || len(after["new.json"]) < 100 {
		t.Errorf("the dry run printed another text:\n%s\nwritten:\n%s", dry, after["new.json"])
	}
	delete(after, "new.json")
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("other files changed:\n%s", diff)
	}

	t.Setenv("ROUTER_CONFIG", to)
	t.Setenv("WELDMAST_FILE", "")
	var out strings.Builder
	if code := run([]string{"check"}, &out, &out); code != 0 || !strings.Contains(out.String(), "not served: load_info.how: load is told to probes only") {
		t.Errorf("check: exit %d\n%s", code, out.String())
	}

	var workers []string
	for k := range 8 {
		name := fmt.Sprint("w", k+1)
		workers = append(workers, memberEntry(name, e.finishingWorker(name), "in_service"))
	}
	e.publish(memberList(5, true, workers...))
	e.startWith(to)
	ask := func(id, path string) string {
		t.Helper()
		got := e.dial().ask(request(id, path, ""))
		if !strings.HasPrefix(got, "200 from w") {
			t.Errorf("%s: %s", id, got)
		}
		return got
	}
	used, workersOf := map[string]bool{}, map[int]map[string]bool{}
	for n := range 6 {
		for k := range 12 { // the path is category, anything, key
			if workersOf[k] == nil {
				workersOf[k] = map[string]bool{}
			}
			a := ask(fmt.Sprintf("k%d-%d", k, n), fmt.Sprintf("/plan/x%d/key%d", n, k))
			used[a], workersOf[k][a] = true, true
		}
	}
	for k, workers := range workersOf {
		if len(workers) > 2 {
			t.Errorf("key%d ran at %d of 8 workers", k, len(workers))
		}
	}
	if len(used) < 3 {
		t.Errorf("all keys ran at %d of 8 workers", len(used))
	}
	e.interrupt()

	e.startWith(e.configPath) // back to the old configuration
	ask("back", "/plan/x")
}

// TestMigrateFaults checks that each fault gives a clear error and an exit code and writes no file, and that
// the program doesn't start while a key is still to be filled in.
func TestMigrateFaults(t *testing.T) {
	e := newTestEnv(t)
	e.writeConfig("", "")
	dir := filepath.Dir(e.configPath)
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		e.must(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	there, bad, unlike := put("there.json", "precious"), put("bad.json", `{"settings":`), put("new-shape.json", `{"shape":2,"settings":{"a":1}}`)
	link := filepath.Join(dir, "link.json")
	e.must(os.Symlink(e.configPath, link))
	before := readFolder(t, dir)
	to := filepath.Join(dir, "to.json")
	for _, x := range []struct {
		code int
		want string
		args []string
	}{
		{2, "OLD is required", nil},
		{2, "NEW is required", []string{e.configPath}},
		{2, `--weights: "heavy" is none of`, []string{e.configPath, "--to", to, "--weights", "heavy"}},
		{2, `--load: "often" is none of`, []string{e.configPath, "--to", to, "--load", "often"}},
		{2, `--origin: "-1" is not a plain number`, []string{e.configPath, "--to", to, "--origin=-1"}},
		{2, `--origin: "NaN" is not a plain number`, []string{e.configPath, "--to", to, "--origin", "NaN"}},
		{1, "no such file", []string{filepath.Join(dir, "none.json"), "--to", to}},
		{1, "is a directory", []string{dir, "--to", to}},
		{1, "no JSON at byte", []string{bad, "--to", to}},
		{1, "shape: is 2, the new one, already", []string{unlike, "--to", to}},
		{1, "exists already", []string{e.configPath, "--to", there}},
		{1, "is the old configuration itself", []string{e.configPath, "--to", e.configPath}},
		{1, "is the old configuration itself", []string{e.configPath, "--to", link}},
		{1, "no such file", []string{e.configPath, "--to", filepath.Join(dir, "none", "to.json")}},
	} {
		if code, text := runMigrate(x.args...); code != x.code || !strings.Contains(text, x.want) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s", x.args, code, x.code, x.want, text)
		}
		if diff := cmp.Diff(before, readFolder(t, dir)); diff != "" {
			t.Fatalf("%v: the folder differs:\n%s", x.args, diff)
		}
	}

	code, text := runMigrate(e.configPath, "--to", to)
	if code != 0 || !strings.Contains(text, "to be filled in: 3") || !strings.Contains(text, "settings.weights is missing") {
		t.Errorf("without values for the missing keys: exit %d\n%s", code, text)
	}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+to)
	if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "settings.weights is missing") {
		t.Errorf("started with missing keys: %v\n%s", err, out)
	}
	if os.Getuid() != 0 { // root may write to any folder
		e.must(os.Chmod(dir, 0o500))
		if code, text := runMigrate(e.configPath, "--to", filepath.Join(dir, "x.json")); code != 1 || !strings.Contains(text, "permission denied") {
			t.Errorf("a folder that cannot be written: exit %d\n%s", code, text)
		}
		e.must(os.Chmod(dir, 0o700))
	}
}
