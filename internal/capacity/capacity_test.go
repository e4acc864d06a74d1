package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"weldmast/internal/scaletest"
)

// leaderRun returns a run whose leader uses 0.002 of a core per member, and a function that opens it as JSON
// under the name run.json.
func leaderRun(t *testing.T) (*scaletest.Result, func(string) ([]byte, error)) {
	t.Helper()
	r := &scaletest.Result{}
	for _, n := range []int{100, 200, 400} {
		r.Points = append(r.Points, scaletest.Point{Series: "members", Size: n, VersionRate: 1.1, Published: 5, InForceMax: float64(n), StubLink: scaletest.LinkUsage{Calls: 4, Read: 600, Written: 400},
			Roles: map[string]scaletest.Usage{"leader": {CPU: 0.002 * float64(n), ResidentMB: 20}}})
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return r, func(name string) ([]byte, error) {
		if name != "run.json" {
			return nil, fmt.Errorf("no file %s", name)
		}
		return text, nil
	}
}

const leaderSlope = "[[slope]]\nname = \"leader_cpu@1.1\"\nunit = \"cores\"\nrun = \"run.json\"\nat = 0\neach = 0.002\nlow = 0.002\nhigh = 0.002\noff = 0\nto = 400\n"

// TestParseInputs checks that an error lists all faults, each with file, line and key, and that a slope must
// match its run.
func TestParseInputs(t *testing.T) {
	_, open := leaderRun(t)
	if _, err := ParseInputs("s.toml", []byte(leaderSlope), open); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"wrong types and values": {"[[size]]\nname = \"a\"\nvalue = \"many\"\n[[size]]\nname = \"b\"\nvalue = -1\nunit = \"x\"\n",
			[]string{"s.toml:3: size.0.value: is a text, wanted a number", "s.toml:1: size.0.unit: is missing", "s.toml:6: size.1.value: -1 is below 0"}},
		"no unit, duplicate name, no reason": {"[[size]]\nname = \"a\"\nvalue = 1\nunit = \"\"\n[[assumption]]\nname = \"a\"\nvalue = 1\nunit = \"x\"\n",
			[]string{"s.toml:4: size.0.unit: a has no unit", "s.toml:6: assumption.0.name: \"a\" is empty or is defined twice", "s.toml:5: assumption.0: a: an assumption needs its reason (why)"}},
		"negative slope":             {strings.Replace(leaderSlope, "each = 0.002", "each = -0.002", 1), []string{"s.toml:6: slope.0.each: -0.002 is below 0"}},
		"missing run":                {strings.Replace(leaderSlope, "run.json", "other.json", 1), []string{"s.toml:4: slope.0.run: the slope leader_cpu@1.1 misses its run: no file other.json"}},
		"slope missing in its run":   {strings.Replace(leaderSlope, "leader_cpu@1.1", "leader_cpu@7", 1), []string{"s.toml:2: slope.0.name: the run run.json has no slope leader_cpu@7"}},
		"value differs from the run": {strings.Replace(leaderSlope, "each = 0.002\n", "each = 0.001\n", 1), []string{"s.toml:1: slope.0: leader_cpu@1.1 is not what its run run.json gives"}},
		"unit differs from the run":  {strings.Replace(leaderSlope, "cores", "MB", 1), []string{"s.toml:3: slope.0.unit: leader_cpu@1.1 has the unit MB, in its run cores"}},
	} {
		_, err := ParseInputs("s.toml", []byte(c.text), open)
		for _, w := range c.want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("%s: the error lacks %q:\n%v", name, w, err)
			}
		}
	}
}

// TestMissingInputs checks that the error names each input that the tables need and the file lacks, and that
// no tables are returned.
func TestMissingInputs(t *testing.T) {
	_, open := leaderRun(t)
	s, err := ParseInputs("s.toml", []byte(leaderSlope), open)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Tables(); err == nil || !strings.Contains(err.Error(), "schedulers") || !strings.Contains(err.Error(), "known_mb@100") {
		t.Errorf("the error does not name the missing inputs: %v", err)
	}
}

const inputsFile, pageFile = "../../docs/capacity/size.toml", "../../docs/CAPACITY.md"

// TestPage checks that the tables of the page are exactly what the command prints.
func TestPage(t *testing.T) {
	s, err := LoadInputs(inputsFile, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	tables, err := s.Tables()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), tables.Text()) {
		t.Errorf("%s does not contain the tables that bin/weldlab capacity prints:\n%s", pageFile, tables.Text())
	}
}

// TestArithmetic checks rows against values computed from the file's own slopes: a ratio is the value over
// its bound, at half, once and double the schedulers, and a value beyond the sizes of the run is called
// fitted.
func TestArithmetic(t *testing.T) {
	s, err := LoadInputs(inputsFile, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	tables, err := s.Tables()
	if err != nil {
		t.Fatal(err)
	}
	n := s.value("schedulers")
	for k, size := range []float64{n / 2, n, 2 * n} {
		if tables.Schedulers[k] != size {
			t.Errorf("numbers of schedulers: %v", tables.Schedulers)
		}
		for _, r := range tables.Requirements {
			if !strings.Contains(r.Name, "control at a scheduler: link") {
				continue
			}
			for _, x := range s.Slopes {
				if x.Name == "member_bytes@1.1" {
					if want := x.Intercept + x.PerUnit*size; r.Values[k] != want || r.Ratios[k] != want/s.value("control_bytes") {
						t.Errorf("%s: values %v and ratios %v at %v schedulers, want value %v", r.Name, r.Values, r.Ratios, size, want)
					}
				}
			}
		}
	}
	last := 1e300
	for _, r := range tables.WorstFirst() {
		if r.Ratios[1] > last {
			t.Errorf("%s comes after a smaller ratio", r.Name)
		}
		last = r.Ratios[1]
	}
	s.Slopes = append([]Slope{{Name: "x", Intercept: 1, PerUnit: 1, LargestSize: 10, RelativeError: 0.3}, {Name: "y", Intercept: 1, PerUnit: 1, LargestSize: 10}}, s.Slopes...)
	for name, want := range map[string]string{"x 5": "measured (x)", "x 20": "fitted, not held (x)", "y 20": "fitted (y)"} {
		var slope string
		var at float64
		fmt.Sscan(name, &slope, &at)
		if y, basis := s.estimate(slope, at); basis != want || y != 1+at {
			t.Errorf("%s: value %v, basis %q", name, y, basis)
		}
	}
}
