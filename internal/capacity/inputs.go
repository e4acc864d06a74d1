// Package capacity estimates the load and the memory of a deployment of a given size, from slopes that runs
// of package scaletest have measured. A file gives the size, the assumptions, and which slope comes from
// which run. The tables show the value of each requirement and each role beside its bound. The package does
// no I/O except in LoadInputs. It must never contain a parameter of its own: every value in the tables comes
// from the file or from a run.
//
// This file defines the input file, and checks that its slopes are those of their runs.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"path/filepath"

	"weldmast/internal/scaletest"
	"weldmast/internal/tomlfile"
)

// Quantity is a parameter of the deployment's size, or an assumption.
type Quantity struct {
	Name  string  `toml:"name" need:"true"`
	Value float64 `toml:"value" need:"true" min:"0"`
	Unit  string  `toml:"unit" need:"true"`
	Why   string  `toml:"why"`
}

// Slope is a line through the points of a run: y = Intercept + PerUnit x.
type Slope struct {
	Name      string  `toml:"name" need:"true"`
	Unit      string  `toml:"unit" need:"true"`
	Run       string  `toml:"run" need:"true"` // path of the run's result, relative to the file
	Intercept float64 `toml:"at" need:"true"`  // value at size 0
	PerUnit   float64 `toml:"each" need:"true" min:"0"`
	Low       float64 `toml:"low"` // 95% interval of PerUnit, as is High
	High      float64 `toml:"high"`
	// RelativeError is the error of a line through the other points at the largest one, as a share of the
	// measured value.
	RelativeError float64 `toml:"off"`
	// LargestSize is the largest size that was measured; values beyond it are extrapolated.
	LargestSize float64 `toml:"to" need:"true" min:"1"`
}

// Inputs is the input file.
type Inputs struct {
	About       string     `toml:"about"`
	Quantities  []Quantity `toml:"size"`
	Assumptions []Quantity `toml:"assumption"`
	Slopes      []Slope    `toml:"slope"`

	missing []string // names that were requested and are not in the file
}

// matches tells whether a number in the file is that of the run, to the four digits that such files are
// written with.
func matches(a, b float64) bool {
	return math.Abs(a-b) <= 6e-4*max(math.Abs(a), math.Abs(b))+1e-12 || math.IsInf(a, 0) && math.IsInf(b, 0)
}

// ParseInputs parses the text of an input file; open returns the text of a run that the file names. An error
// lists every fault with its line and key.
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
			d.AddFault(key+".name", "%q is empty or is defined twice", name)
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
			d.AddFault(fmt.Sprintf("assumption.%d", k), "%s: an assumption needs its reason (why)", q.Name)
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
			d.AddFault(key+".unit", "%s has the unit %s, in its run %s", x.Name, x.Unit, measured.Unit)
		case !matches(x.Intercept, measured.Fit.Intercept) || !matches(x.PerUnit, measured.Fit.Slope) || !matches(x.Low, measured.Fit.Low) || !matches(x.High, measured.Fit.High) || math.Abs(x.RelativeError-measured.Fit.RelativeError) > 0.006 || x.LargestSize != measured.Fit.LargestX:
			d.AddFault(key, "%s is not what its run %s gives: at %s, each %s, low %s, high %s, off %.2f, to %g", x.Name, x.Run, scaletest.FormatNumber(measured.Fit.Intercept),
				scaletest.FormatNumber(measured.Fit.Slope), scaletest.FormatNumber(measured.Fit.Low), scaletest.FormatNumber(measured.Fit.High), measured.Fit.RelativeError, measured.Fit.LargestX)
		}
	}
	return s, d.Err()
}

// LoadInputs reads an input file and the runs that it names.
func LoadInputs(path string, read func(string) ([]byte, error)) (*Inputs, error) {
	text, err := read(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return ParseInputs(path, text, func(run string) ([]byte, error) { return read(filepath.Join(filepath.Dir(path), run)) })
}

// value returns a quantity or an assumption. A name that the file lacks gives NaN and is added to missing.
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

// estimate returns the value of a slope at a size, and whether that size was measured or is extrapolated. A
// name that the file lacks gives NaN and is added to missing.
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

// maxRelativeError is the largest RelativeError with which a slope may be extrapolated; above it the basis
// says "not held".
const maxRelativeError = 0.15
