package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"weldmast/internal/golden"
)

// TestCommands compares the output and exit code of each command line with the recorded ones. All faults of a
// file are printed.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Setenv("ROUTER_CONFIG", "")
	t.Setenv("WELDMAST_FILE", "")
	bad := write("bad.toml", "[log]\nlevel = \"loud\"\nlines_per_second = 0\nlien_bytes = 7\n[ledgre]\n")
	var all strings.Builder
	stamp := regexp.MustCompile(`time=\S+ `)
	runCommand := func(title string, args ...string) {
		var out, errs strings.Builder
		code := run(args, &out, &errs)
		text := strings.ReplaceAll(out.String()+errs.String(), dir+"/", "")
		if title == "version" { // the rest depends on the build
			text = strings.Join(strings.Fields(text)[:2], " ") + "\n"
		}
		fmt.Fprintf(&all, "== %s: %d\n%s", title, code, stamp.ReplaceAllString(text, ""))
	}
	runCommand("version", "version")
	runCommand("help", "--help")
	runCommand("unknown command", "srve")
	runCommand("unknown flag", "check", "--flie", "x")
	runCommand("check of nothing", "check")
	runCommand("check, a good file", "check", "--file", write("good.toml", "[log]\nlevel = \"warn\"\n"))
	runCommand("check, every fault", "check", "--file", bad)
	runCommand("check, no such file", "check", "--file", filepath.Join(dir, "none.toml"))
	runCommand("check, no TOML", "check", "--file", write("no.toml", "[log\n"))
	runCommand("serve, a faulty file", "serve", "--file", bad)
	t.Setenv("WELDMAST_FILE", bad)
	runCommand("the variable names it as well", "check")
	runCommand("no argument at all")
	t.Setenv("ROUTER_CONFIG", write("config.json", `{"listen":"here"}`))
	runCommand("faults in both", "check")
	golden.Check(t, "commands", all.String())
}

// TestExample checks that the example operator's file has no faults.
func TestExample(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "../../example/config.json")
	var out, errs strings.Builder
	if code := run([]string{"check", "-f", "../../deploy/weldmast.toml"}, &out, &errs); code != 0 {
		t.Errorf("exit %d\n%s", code, errs.String())
	}
}
