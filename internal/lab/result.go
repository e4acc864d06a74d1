// Package lab runs experiments, summarizes their results, compares dispatchers and draws reports. It must
// never influence what it measures: it reads a model only after the run has ended.
//
// This file contains the summary of a run.
package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/invariants"
)

// Result is the summary of one run. Times are in milliseconds from the first arrivals.
type Result struct {
	Experiment  string `json:"experiment"`
	About       string `json:"about"`
	Driver      string `json:"driver"` // virtual or sockets
	Policy      string `json:"policy"` // weldmast, the path of a build, or a baseline
	Seed        uint64 `json:"seed"`
	Interrupted bool   `json:"interrupted"`
	// why the lab itself invalidated the run; empty: it is valid
	Void string `json:"void,omitempty"`
	// counted jobs: those that arrive after the warm-up and whose client stays
	Jobs int `json:"jobs"`
	// credit answered by its due time, as a fraction of all credit
	Service  float64        `json:"service"`
	Outcomes map[string]int `json:"outcomes"`
	InTime   int            `json:"in_time"`
	// of finished jobs, from the intended arrival to the answer
	Latency          Percentiles             `json:"latency"`
	Added            Percentiles             `json:"added"`    // Latency less the execution time on the worker
	MeanLatency      float64                 `json:"response"` // of finished jobs, in ms
	MeanSlowdown     float64                 `json:"slowdown"` // mean ratio of latency to cost
	RequestsPerJob   float64                 `json:"tries"`
	Categories       []GroupResult           `json:"categories"`
	Tenants          []GroupResult           `json:"tenants,omitempty"`
	Kinds            []KindResult            `json:"kinds"`
	ViolationsByRule map[invariants.Rule]int `json:"rules"` // number of violations
	Violations       []invariants.Violation  `json:"verdicts,omitempty"`
	Annotations      []fleetmodel.Annotation `json:"marks,omitempty"`
	Seconds          []SecondStats           `json:"seconds"`
	Processes        []ProcessUsage          `json:"processes,omitempty"`
	Lateness         *Percentiles            `json:"late,omitempty"` // of the lab's event loop; real time only
	arrivalStart     float64
}

// Percentiles are those of a time in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	N    int64   `json:"n"`
}

// GroupResult is the result of one category or tenant.
type GroupResult struct {
	Name    string      `json:"name"`
	Jobs    int         `json:"jobs"`
	Service float64     `json:"service"`
	Latency Percentiles `json:"latency"`
}

// KindResult is the result of one kind of worker.
type KindResult struct {
	Name     string  `json:"name"`
	Finished int     `json:"finished"`
	Load     float64 `json:"load"` // mean fraction of its cores that are busy
}

// SecondStats are the counts of one second of the run, by the arrival times of the jobs.
type SecondStats struct {
	At        int       `json:"at"`
	Jobs      int       `json:"jobs"`
	InTime    int       `json:"in_time"`
	Late      int       `json:"late"`
	Deferred  int       `json:"deferred"`
	Failed    int       `json:"failed"`
	P50       float64   `json:"p50"`
	P99       float64   `json:"p99"`
	BusyCores []float64 `json:"busy"` // busy cores of each kind
}

// ProcessUsage is the resource usage of one dispatcher's processes; real time only.
type ProcessUsage struct {
	Dispatcher  int     `json:"dispatcher"`
	CPU         float64 `json:"cpu"`       // seconds
	Uptime      float64 `json:"alive"`     // seconds
	MemoryMB    float64 `json:"memory_mb"` // highest resident memory
	IdleMB      float64 `json:"idle_mb"`   // resident memory when the process became ready
	Descriptors int     `json:"descriptors"`
}

// newLatencyHistogram returns a histogram of microseconds, up to an hour, with three significant digits.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3600e6, 3) }

func record(h *hdrhistogram.Histogram, ms float64) {
	if err := h.RecordValue(int64(math.Round(min(max(ms*1000, 0), 3600e6)))); err != nil {
		panic(fmt.Sprintf("lab: %v ms: %v", ms, err)) // cannot happen: the value is clamped to the histogram's range
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1000, h.TotalCount()}
}

// groupCounts are the counts of one category or tenant.
type groupCounts struct {
	jobs                 int
	credit, creditInTime float64
	hist                 *hdrhistogram.Histogram
}

func (t *groupCounts) result(name string) GroupResult {
	return GroupResult{name, t.jobs, ratio(t.creditInTime, t.credit), percentiles(t.hist)}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Summarize returns the result of a run whose first arrivals were at start.
func Summarize(w *fleetmodel.Model, start float64) *Result {
	x := w.Experiment
	r := &Result{About: x.About, Outcomes: map[string]int{}, ViolationsByRule: map[invariants.Rule]int{}, arrivalStart: start}
	for _, rule := range invariants.DispatcherRules {
		r.ViolationsByRule[rule] = w.Checker.Counts[rule]
	}
	r.Violations = w.Checker.Violations[:min(len(w.Checker.Violations), 50)]
	for _, m := range w.Annotations {
		r.Annotations = append(r.Annotations, fleetmodel.Annotation{At: m.At - start, Text: m.Text})
	}
	all, added := newLatencyHistogram(), newLatencyHistogram()
	newGroups := func(n int) []groupCounts {
		t := make([]groupCounts, n)
		for k := range t {
			t[k].hist = newLatencyHistogram()
		}
		return t
	}
	categories, tenants := newGroups(len(x.Categories)), newGroups(len(x.Tenants))
	finishedByKind := make([]int, len(x.Kinds))
	seconds := make([]SecondStats, int(math.Ceil(float64(x.Length)/1000)))
	latencyBySecond := make([]*hdrhistogram.Histogram, len(seconds))
	credit, creditInTime, latency, slowdown, tries, finished := 0., 0., 0., 0., 0, 0
	for _, j := range w.Jobs {
		inTime := x.InTime(j)
		if at := int((j.Arrival - start) / 1000); at >= 0 && at < len(seconds) {
			s := &seconds[at]
			s.Jobs++
			switch {
			case inTime:
				s.InTime++
			case j.Outcome == fleetmodel.Finished:
				s.Late++
			case j.Outcome == fleetmodel.Deferred:
				s.Deferred++
			case j.Outcome != fleetmodel.ClientLeft:
				s.Failed++
			}
			if j.Outcome == fleetmodel.Finished {
				if latencyBySecond[at] == nil {
					latencyBySecond[at] = newLatencyHistogram()
				}
				record(latencyBySecond[at], j.End-j.Arrival)
			}
		}
		if j.Arrival < start+float64(x.Warmup) || j.Outcome == fleetmodel.ClientLeft {
			continue
		}
		r.Jobs++
		r.Outcomes[j.Outcome.String()]++
		tries += j.Requests
		c := x.Categories[j.Category].Credit
		credit += c
		groups := []*groupCounts{&categories[j.Category]}
		if j.Tenant >= 0 {
			groups = append(groups, &tenants[j.Tenant])
		}
		if inTime {
			r.InTime++
			creditInTime += c
		}
		for _, p := range groups {
			p.jobs++
			p.credit += c
			if inTime {
				p.creditInTime += c
			}
		}
		if j.Outcome == fleetmodel.Finished {
			elapsed := j.End - j.Arrival
			finished++
			latency += elapsed
			slowdown += elapsed / j.Cost
			record(all, elapsed)
			for _, p := range groups {
				record(p.hist, elapsed)
			}
			if j.Kind >= 0 {
				finishedByKind[j.Kind]++
				record(added, elapsed-j.Cost/x.Kinds[j.Kind].Speed)
			}
		}
	}
	r.Service, r.Latency, r.RequestsPerJob = ratio(creditInTime, credit), percentiles(all), ratio(float64(tries), float64(r.Jobs))
	r.Added = percentiles(added)
	r.MeanLatency, r.MeanSlowdown = ratio(latency, float64(finished)), ratio(slowdown, float64(finished))
	for k, c := range x.Categories {
		r.Categories = append(r.Categories, categories[k].result(c.Name))
	}
	for k, t := range x.Tenants {
		r.Tenants = append(r.Tenants, tenants[k].result(t.Name))
	}
	for k, kind := range x.Kinds {
		busy := 0.
		for at := range min(len(seconds), len(w.LoadSamples)) {
			busy += w.LoadSamples[at].BusyCores[k]
		}
		r.Kinds = append(r.Kinds, KindResult{kind.Name, finishedByKind[k],
			ratio(busy, float64(kind.Count*min(kind.Cores, kind.Slots)*len(seconds)))})
	}
	for k := range seconds {
		s := &seconds[k]
		s.At = k
		if h := latencyBySecond[k]; h != nil {
			s.P50, s.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
		}
		if k < len(w.LoadSamples) {
			s.BusyCores = w.LoadSamples[k].BusyCores
		}
	}
	r.Seconds = seconds
	return r
}

// CPUPerJob returns the dispatchers' CPU time per job of the complete run in microseconds; 0 in virtual time.
func (r *Result) CPUPerJob() float64 {
	cpu, jobs := 0., 0
	for _, p := range r.Processes {
		cpu += p.CPU
	}
	for _, s := range r.Seconds {
		jobs += s.Jobs
	}
	return ratio(cpu*1e6, float64(jobs))
}

// ViolationCount returns the number of violations of all rules.
func (r *Result) ViolationCount() (n int) {
	for _, k := range r.ViolationsByRule {
		n += k
	}
	return n
}

// Write appends the result as one line of JSON.
func (r *Result) Write(out io.Writer) error {
	if err := json.NewEncoder(out).Encode(r); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// ReadResults reads lines of JSON that Write has written.
func ReadResults(in io.Reader) (all []*Result, err error) {
	for dec := json.NewDecoder(in); ; {
		r := &Result{}
		if err := dec.Decode(r); err == io.EOF {
			return all, nil
		} else if err != nil {
			return all, fmt.Errorf("line %d: %w", len(all)+1, err)
		}
		all = append(all, r)
	}
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	state := ""
	if r.Interrupted {
		state = ", interrupted"
	}
	fmt.Fprintf(out, "%s, seed %d, %s, %s%s\n", r.Experiment, r.Seed, r.Policy, r.Driver, state)
	if r.Void != "" {
		fmt.Fprintf(out, "VOID: %s\n", r.Void)
	}
	fmt.Fprintf(out, "service %.4f   jobs %d, in time %d", r.Service, r.Jobs, r.InTime)
	for _, o := range fleetmodel.Outcomes {
		if n := r.Outcomes[o.String()]; n > 0 {
			fmt.Fprintf(out, ", %s %d", o, n)
		}
	}
	l := r.Latency
	fmt.Fprintf(out, "\nlatency ms  p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f   mean %.2f  slowdown %.2f  tries %.3f\n",
		l.P50, l.P90, l.P99, l.P999, l.Max, r.MeanLatency, r.MeanSlowdown, r.RequestsPerJob)
	for _, p := range r.Categories {
		fmt.Fprintf(out, "  %-12s service %.4f  p50 %.2f  p99 %.2f  jobs %d\n", p.Name, p.Service, p.Latency.P50, p.Latency.P99, p.Jobs)
	}
	for _, p := range r.Tenants {
		fmt.Fprintf(out, "  %-12s service %.4f  p50 %.2f  p99 %.2f  jobs %d\n", p.Name, p.Service, p.Latency.P50, p.Latency.P99, p.Jobs)
	}
	for _, k := range r.Kinds {
		fmt.Fprintf(out, "  kind %-7s load %.3f  finished %d\n", k.Name, k.Load, k.Finished)
	}
	for _, p := range r.Processes {
		fmt.Fprintf(out, "  process %d  CPU %.2f s of %.1f  memory %.1f MB  descriptors %d\n", p.Dispatcher, p.CPU, p.Uptime, p.MemoryMB, p.Descriptors)
	}
	if r.Lateness != nil {
		fmt.Fprintf(out, "  the lab itself was late by p50 %.2f  p99 %.2f  max %.2f ms\n", r.Lateness.P50, r.Lateness.P99, r.Lateness.Max)
	}
	if r.ViolationCount() == 0 {
		fmt.Fprintln(out, "rules kept")
	}
	for _, rule := range invariants.DispatcherRules {
		if n := r.ViolationsByRule[rule]; n > 0 {
			fmt.Fprintf(out, "BROKEN %s: %d times\n", rule, n)
		}
	}
	for _, v := range r.Violations[:min(len(r.Violations), 5)] {
		fmt.Fprintf(out, "  %v\n", v)
	}
}
