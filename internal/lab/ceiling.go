// This file owns the search for the ceiling: how much one dispatcher's process carries before it adds too much of its own.

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

// Step is one rate that was played.
type Step struct {
	Rate        float64     `json:"rate"` // work items a second that were wanted
	Completed   float64     `json:"done"` // that were finished in time
	Service     float64     `json:"service"`
	Added       Percentiles `json:"added"` // latency beyond the work itself
	CPUPerItem  float64     `json:"cpu"`   // microseconds of CPU for each work item
	CPUsUsed    float64     `json:"busy"`  // CPU seconds in a second
	MemoryMB    float64     `json:"memory_mb"`
	IdleMB      float64     `json:"idle_mb"`
	Descriptors int         `json:"descriptors"`
	Void        string      `json:"void,omitempty"`
}

// Within tells whether the step kept the bound on what is added at p99, and served nearly all in time.
func (s *Step) WithinBound(bound float64) bool {
	return s.Added.P99 <= bound && s.Service >= 0.99 && s.Void == ""
}

// tries of a rate, each of which the machine or the lab may spoil.
const maxAttempts = 3

// Ceiling raises the open-loop rate by a factor until the added p99 passes the bound in milliseconds.
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
		} else if attempts++; attempts == maxAttempts { // a machine's hiccup does not come three times
			break
		}
	}
	return steps, nil
}

// StepHead and Print write steps as lines.
const StepHeader = "   rate/s   done/s  service  added p50    p99 ms  CPU us/item  busy  memory MB  idle MB  descriptors"

// Print writes the step.
func (s *Step) Print(out io.Writer) {
	void := ""
	if s.Void != "" {
		void = "  VOID: " + s.Void
	}
	fmt.Fprintf(out, "%9.0f %8.0f  %.4f  %9.2f %9.2f  %11.1f  %4.2f  %9.1f  %7.1f  %11d%s\n", s.Rate, s.Completed, s.Service, s.Added.P50, s.Added.P99,
		s.CPUPerItem, s.CPUsUsed, s.MemoryMB, s.IdleMB, s.Descriptors, void)
}

// TopCPU reads a CPU profile and writes the functions that most time was spent in, themselves and with all they called.
func TopCPU(out io.Writer, path string, most int) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	defer f.Close()
	p, err := profile.Parse(f)
	if err != nil {
		return fmt.Errorf("profile %s: %w", path, err)
	}
	flat, cum, all := map[string]int64{}, map[string]int64{}, int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		all += v
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
	if all == 0 {
		return fmt.Errorf("profile %s: it is empty", path)
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
		for _, n := range names[:min(most, len(names))] {
			fmt.Fprintf(out, "  %5.1f%%  %s\n", 100*float64(by.of[n])/float64(all), n)
		}
	}
	return nil
}
