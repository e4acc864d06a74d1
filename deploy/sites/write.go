//go:build ignore

// Command write creates variants of the operators' site files for their bench. Each variant is one of their
// files with the changes listed here, so that the program is tested with settings that nobody tuned it for.
// README.md describes how the variants differ.
//
//	go run deploy/sites/write.go KIT
//
// KIT is the directory of the operators' benches. A change that cannot be made because its line no longer
// exists is an error.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// change sets a key of a table, the nth of that name, counted from 0. An empty value deletes the key's line;
// an empty key deletes the whole table.
type change struct {
	table string
	nth   int
	key   string
	value string
}

type variant struct {
	name    string
	from    string // path of the operators' file in KIT
	changes []change
}

var variants = []variant{
	{name: "unlike", from: "sites/suva-main.toml", changes: []change{
		{"", 0, "name", `"unlike"`},
		{"", 0, "stock", ""},
		{"day", 0, "tick_ms", "2"},
		{"day", 0, "in_step", "false"},
		{"day", 0, "start_spread_ms", "[200, 900]"},
		{"load", 0, "hints", `"rough"`},
		{"load", 0, "worth_by", `"request"`},
		{"load", 0, "over_share_worth", "1"},
		{"net", 0, "zones", `["kotka"]`},
		{"front", 0, "entry", `"front"`},
		{"clients", 0, "retries", "[2, 3.99]"},
		{"clients", 0, "marks_retry", "true"},
		{"clients", 0, "impatient", "[0.02, 0.05]"},
		{"allow", 0, "probes", "false"},
		{"allow", 0, "peers", "false"},
		{"allow", 0, "peer_ms", ""},
		{"allow", 0, "cancel", "false"},
		{"allow", 0, "second_copies", "false"},
		{"allow", 0, "retry_after", "false"},
		{"allow", 0, "max_attempts", "3"},
		{"rules", 0, "drain_grace_ms", "2500"},
		{"rules", 0, "fall_multiple", "2.5"},
		{"rules", 0, "fall_ms", "1000"},
		{"prices", 0, "cross_zone", "0"},
		{"prices", 0, "connection", "0.02"},
		{"goal", 0, "worst_tenant", "0"},
		{"tier", 0, "weights", `"none"`},
		{"tier.conn", 0, "idle_s", "5"},
		{"tier.conn", 0, "connect_timeout_ms", "1000"},
		{"tier.kind", 0, "share", "1"},
		{"tier.kind", 0, "name", `"mill"`},
		{"tier.kind", 0, "slots_per_core", "2"},
		{"tier.kind", 0, "cancel", `"none"`},
		{"tier.kind", 0, "drops_expired", "false"},
		{"tier.kind", 1, "", ""},
		// may appear encoded in a path; the bench writes a blank unencoded, which is not valid HTTP
		{"class", 0, "name", `"säge+log"`},
		{"class", 0, "effect", `"keyed"`},
		{"class", 0, "deadline_ms", "9000"},
		{"class", 0, "worth", "7"},
		{"class", 0, "late_worth", "0.5"},
		{"class", 1, "name", `"säge"`}, // the other class's name begins with it
		{"class", 1, "effect", `"safe"`},
		{"class", 1, "deadline_ms", "4000"},
		{"class", 1, "worth", "3"},
		{"class", 1, "work_ms", "[150, 300]"},
		{"class", 1, "aim_ms", "250"},
		{"tenant", 0, "", ""},
		{"tenant", 0, "", ""}, // the second one, now that the first is deleted
		{"fam", 0, "tells_start", "false"},
		{"fam", 0, "progress_s", "0"},
		{"fam", 0, "drain_returns", "false"},
	}},
	{name: "edges", from: "more/mass/other/piedmont-south.toml", changes: []change{
		{"", 0, "name", `"edges"`},
		{"", 0, "stock", ""},
		{"clients", 0, "max_retry_after_ms", "100"},
		{"clients", 0, "honour", "1"},
		{"allow", 0, "retry_after", "true"},
		{"allow", 0, "second_copies", "false"},
		{"allow", 0, "max_attempts", "1"},
		{"allow", 0, "cpu_ms_per_s", "100"},
		{"rules", 0, "drain_grace_ms", "250"},
		{"rules", 0, "fall_multiple", "2.5"},
		{"tier.conn", 0, "idle_s", "1"},
		{"tier.conn", 0, "cap_per_core", "[60, 90]"},
		{"class", 0, "name", `"label"`}, // the next class's name begins with it
		{"class", 0, "work_ms", "[30, 50]"},
		{"class", 0, "aim_ms", "60"},
		{"class", 0, "deadline_ms", "250"}, // shorter than a handshake across zones may take
		{"class", 0, "worth", "1"},
		{"class", 1, "work_ms", "[60, 110]"},
		{"class", 1, "aim_ms", "150"},
		{"class", 1, "deadline_ms", "600"},
		{"class", 1, "worth", "100"}, // nearly all the worth
		{"class", 2, "effect", `"keyed"`},
		{"class", 2, "deadline_ms", "1500"},
		{"class", 2, "worth", "1"},
		{"class", 3, "name", `"label%"`}, // looks percent-encoded but is not
		{"class", 3, "effect", `"safe"`},
		{"class", 3, "deadline_ms", "400"},
		{"class", 3, "worth", "1"},
	}},
}

// apply makes the changes in the text. A table's own lines end before the next line that begins with a
// bracket.
func apply(text string, changes []change) (string, error) {
	lines := strings.Split(text, "\n")
	for _, c := range changes {
		first, last := 0, len(lines)
		if c.table != "" {
			at := -1
			for k, seen := 0, 0; k < len(lines) && at < 0; k++ {
				if head := strings.Trim(lines[k], "[] "); strings.HasPrefix(lines[k], "[") && head == c.table {
					if seen == c.nth {
						at = k
					}
					seen++
				}
			}
			if at < 0 {
				return "", fmt.Errorf("table [%s] number %d not found", c.table, c.nth)
			}
			first = at + 1
		}
		if k := slices.IndexFunc(lines[first:], func(l string) bool { return strings.HasPrefix(l, "[") }); k >= 0 {
			last = first + k
		}
		if c.key == "" {
			lines = slices.Delete(lines, first-1, last)
			continue
		}
		at := slices.IndexFunc(lines[first:last], func(l string) bool {
			key, _, is := strings.Cut(l, "=")
			return is && strings.TrimSpace(key) == c.key
		})
		switch {
		case at < 0:
			return "", fmt.Errorf("table [%s] number %d: key %s not found", c.table, c.nth, c.key)
		case c.value == "":
			lines = slices.Delete(lines, first+at, first+at+1)
		default:
			lines[first+at] = c.key + " = " + c.value
		}
	}
	return strings.Join(lines, "\n"), nil
}

func write(kit, to string) error {
	for _, v := range variants {
		text, err := os.ReadFile(filepath.Join(kit, v.from))
		if err != nil {
			return err
		}
		changed, err := apply(string(text), v.changes)
		if err != nil {
			return fmt.Errorf("%s from %s: %w", v.name, v.from, err)
		}
		if err := os.WriteFile(filepath.Join(to, v.name+".toml"), []byte(changed), 0o644); err != nil {
			return err
		}
	}
	for _, name := range []string{"real.json", "wire.json", "unlock.txt"} {
		text, err := os.ReadFile(filepath.Join(kit, "more/mass/other", name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go run deploy/sites/write.go KIT")
		os.Exit(2)
	}
	if err := write(os.Args[1], "deploy/sites"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
