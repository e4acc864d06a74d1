// This file searches for the ceiling: the highest rate at which one dispatcher process adds no more latency
// than allowed.

package lab

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/google/pprof/profile"

	"weldmast/internal/realtime"
)

// Step is the result of one rate.
type Step struct {
	Rate        float64     `json:"rate"` // requested work items per second
	Completed   float64     `json:"done"` // work items finished in time, per second
	Service     float64     `json:"service"`
	Added       Percentiles `json:"added"` // latency less the execution time
	CPUPerItem  float64     `json:"cpu"`   // CPU time per work item in microseconds
	CPUsUsed    float64     `json:"busy"`  // CPU seconds per second
	MemoryMB    float64     `json:"memory_mb"`
	IdleMB      float64     `json:"idle_mb"`
	Descriptors int         `json:"descriptors"`
	Void        string      `json:"void,omitempty"`
}

// WithinBound reports whether the added latency at p99 is within the bound in ms, at least 99 % of the
// credit was answered in time, and the run is valid.
func (s *Step) WithinBound(bound float64) bool {
	return s.Added.P99 <= bound && s.Service >= 0.99 && s.Void == ""
}

// maxAttempts is the number of attempts per rate: a disturbance of the machine or of the lab can spoil one of
// them.
const maxAttempts = 3

// FindCeiling multiplies the open-loop rate by the factor until the added latency at p99 exceeds the bound in
// milliseconds.
func FindCeiling(ctx context.Context, path string, overrides []string, o realtime.Options, from, factor, bound float64, report func(Step)) ([]Step, error) {
	var steps []Step
	attempts := 0
	for rate := from; ctx.Err() == nil; {
		x, err := LoadExperiment(path, append(slices.Clone(overrides), fmt.Sprintf("arrivals.rate=%.1f", rate))...)
		if err != nil {
			return steps, err
		}
		r, err := RunRealTime(ctx, ExperimentName(path), x, 1, o)
		if err != nil {
			return steps, err
		}
		if r.Interrupted {
			break
		}
		p := r.Processes[0]
		jobs := 0
		for _, s := range r.Seconds {
			jobs += s.Jobs
		}
		s := Step{Rate: rate, Service: r.Service, Added: r.Added, MemoryMB: p.MemoryMB, IdleMB: p.IdleMB, Descriptors: p.Descriptors,
			Completed: float64(r.InTime) / (float64(x.Length-x.Warmup) / 1000), CPUPerItem: p.CPU * 1e6 / float64(max(jobs, 1)),
			CPUsUsed: p.CPU / (float64(x.Length) / 1000), Void: r.Void}
		steps = append(steps, s)
		report(s)
		if s.WithinBound(bound) {
			attempts, rate = 0, rate*factor
		} else if attempts++; attempts == maxAttempts { // a random disturbance hardly occurs in all attempts
			break
		}
	}
	return steps, nil
}

// StepHeader is the table header for the lines that Step.Print writes.
const StepHeader = "   rate/s   done/s  service  added p50    p99 ms  CPU us/item  busy  memory MB  idle MB  descriptors"

// Print writes the step as a line of the table.
func (s *Step) Print(out io.Writer) {
	void := ""
	if s.Void != "" {
		void = "  VOID: " + s.Void
	}
	fmt.Fprintf(out, "%9.0f %8.0f  %.4f  %9.2f %9.2f  %11.1f  %4.2f  %9.1f  %7.1f  %11d%s\n", s.Rate, s.Completed, s.Service, s.Added.P50, s.Added.P99,
		s.CPUPerItem, s.CPUsUsed, s.MemoryMB, s.IdleMB, s.Descriptors, void)
}

// TopCPU reads a CPU profile and writes the functions with the most CPU time, both their own and including
// the functions they call.
func TopCPU(out io.Writer, path string, limit int) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	defer f.Close()
	p, err := profile.Parse(f)
	if err != nil {
		return fmt.Errorf("profile %s: %w", path, err)
	}
	flat, cum, total := map[string]int64{}, map[string]int64{}, int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		total += v
		seen := map[string]bool{}
		for k, l := range s.Location {
			for n, line := range l.Line {
				name := line.Function.Name
				if k == 0 && n == 0 {
					flat[name] += v
				}
				if !seen[name] {
					seen[name] = true
					cum[name] += v
				}
			}
		}
	}
	if total == 0 {
		return fmt.Errorf("profile %s: it has no samples", path)
	}
	for _, by := range []struct {
		title string
		of    map[string]int64
	}{{"in itself", flat}, {"with all it calls", cum}} {
		names := make([]string, 0, len(by.of))
		for n := range by.of {
			names = append(names, n)
		}
		slices.SortFunc(names, func(a, b string) int {
			if by.of[a] != by.of[b] {
				return int(by.of[b]/1000 - by.of[a]/1000)
			}
			if a < b {
				return -1
			}
			return 1
		})
		fmt.Fprintf(out, "CPU, %s:\n", by.title)
		for _, n := range names[:min(limit, len(names))] {
			fmt.Fprintf(out, "  %5.1f%%  %s\n", 100*float64(by.of[n])/float64(total), n)
		}
	}
	return nil
}
