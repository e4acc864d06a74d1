// Package capacity works out what a size comes to, from slopes that runs have measured: a file says the size, what is assumed
// and which slope comes from which run; the tables say what each line and each role come to, beside its bound. It is pure but
// for Load, and must never hold a figure of its own: what is not in the file or in a run cannot come out.
//
// This file owns the file: what it may say, and whether its slopes are those of their runs.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"path/filepath"

	"weldmast/internal/scaletest"
	"weldmast/internal/tomlfile"
)

// Quantity is a figure of the size, or an assumption.
type Quantity struct {
	Name  string  `toml:"name" need:"true"`
	Value float64 `toml:"value" need:"true" min:"0"`
	Unit  string  `toml:"unit" need:"true"`
	Why   string  `toml:"why"`
}

// Slope is a line through points of a run.
type Slope struct {
	Name      string  `toml:"name" need:"true"`
	Unit      string  `toml:"unit" need:"true"`
	Run       string  `toml:"run" need:"true"` // beside the file
	Intercept float64 `toml:"at" need:"true"`  // at size 0
	PerUnit   float64 `toml:"each" need:"true" min:"0"`
	Low       float64 `toml:"low"` // of the slope, 95%
	High      float64 `toml:"high"`
	// Off is by which part the line through the other points misses the largest one.
	RelativeError float64 `toml:"off"`
	// To is the largest size that was measured; beyond it the line is carried on.
	LargestSize float64 `toml:"to" need:"true" min:"1"`
}

// Sheet is the file.
type Inputs struct {
	About       string     `toml:"about"`
	Quantities  []Quantity `toml:"size"`
	Assumptions []Quantity `toml:"assumption"`
	Slopes      []Slope    `toml:"slope"`

	missing []string // names that were asked for and are not there
}

// near tells whether a figure of the file is the run's, to the four digits that files are written with.
func matches(a, b float64) bool {
	return math.Abs(a-b) <= 6e-4*max(math.Abs(a), math.Abs(b))+1e-12 || math.IsInf(a, 0) && math.IsInf(b, 0)
}

// Read makes a sheet of a file's text; open gives the text of a run that it names. An error lists every fault with its line and
// key.
func ParseInputs(file string, text []byte, open func(run string) ([]byte, error)) (*Inputs, error) {
	s := &Inputs{}
	d := tomlfile.Parse(file, text)
	d.Decode(s)
	if d.Err() != nil {
		return nil, d.Err()
	}
	seen := map[string]bool{}
	checkName := func(key, name, unit string) {
		if name == "" || seen[name] {
			d.AddFault(key+".name", "%q is there twice, or is no name", name)
		}
		if seen[name] = true; unit == "" {
			d.AddFault(key+".unit", "%s has no unit", name)
		}
	}
	for k, q := range s.Quantities {
		checkName(fmt.Sprintf("size.%d", k), q.Name, q.Unit)
	}
	for k, q := range s.Assumptions {
		checkName(fmt.Sprintf("assumption.%d", k), q.Name, q.Unit)
		if q.Why == "" {
			d.AddFault(fmt.Sprintf("assumption.%d", k), "%s: why it is assumed is missing", q.Name)
		}
	}
	runs := map[string]*scaletest.Result{}
	for k, x := range s.Slopes {
		key := fmt.Sprintf("slope.%d", k)
		checkName(key, x.Name, x.Unit)
		r := runs[x.Run]
		if r == nil {
			r = &scaletest.Result{}
			text, err := open(x.Run)
			if err == nil {
				err = json.Unmarshal(text, r)
			}
			if err != nil {
				d.AddFault(key+".run", "the slope %s misses its run: %v", x.Name, err)
				continue
			}
			runs[x.Run] = r
		}
		measured, ok := r.Slope(x.Name)
		switch {
		case !ok:
			d.AddFault(key+".name", "the run %s has no slope %s", x.Run, x.Name)
		case r.Void != "":
			d.AddFault(key+".run", "the run %s is void: %s", x.Run, r.Void)
		case measured.Unit != x.Unit:
			d.AddFault(key+".unit", "%s is in %s, the run has it in %s", x.Name, x.Unit, measured.Unit)
		case !matches(x.Intercept, measured.Fit.Intercept) || !matches(x.PerUnit, measured.Fit.Slope) || !matches(x.Low, measured.Fit.Low) || !matches(x.High, measured.Fit.High) || math.Abs(x.RelativeError-measured.Fit.RelativeError) > 0.006 || x.LargestSize != measured.Fit.LargestX:
			d.AddFault(key, "%s is not what its run %s gives: at %s, each %s, low %s, high %s, off %.2f, to %g", x.Name, x.Run, scaletest.FormatNumber(measured.Fit.Intercept),
				scaletest.FormatNumber(measured.Fit.Slope), scaletest.FormatNumber(measured.Fit.Low), scaletest.FormatNumber(measured.Fit.High), measured.Fit.RelativeError, measured.Fit.LargestX)
		}
	}
	return s, d.Err()
}

// Load reads a file and the runs beside it.
func LoadInputs(path string, read func(string) ([]byte, error)) (*Inputs, error) {
	text, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return ParseInputs(path, text, func(run string) ([]byte, error) { return read(filepath.Join(filepath.Dir(path), run)) })
}

// value is a figure of the size or an assumption.
func (s *Inputs) value(name string) float64 {
	for _, all := range [][]Quantity{s.Quantities, s.Assumptions} {
		for _, q := range all {
			if q.Name == name {
				return q.Value
			}
		}
	}
	s.missing = append(s.missing, name)
	return math.NaN()
}

// line is what a slope comes to at a size, and how that is known.
func (s *Inputs) estimate(name string, size float64) (y float64, basis string) {
	for _, x := range s.Slopes {
		if x.Name != name {
			continue
		}
		basis = "measured"
		switch {
		case size > x.LargestSize && math.Abs(x.RelativeError) > maxRelativeError:
			basis = "fitted, not held"
		case size > x.LargestSize:
			basis = "fitted"
		}
		return x.Intercept + x.PerUnit*size, basis + " (" + name + ")"
	}
	s.missing = append(s.missing, name)
	return math.NaN(), "missing"
}

// offMost is by how much the largest point may be off before its line may not be multiplied up.
const maxRelativeError = 0.15
