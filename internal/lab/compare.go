// This file contains comparisons: each side runs with the same seeds, and the differences per seed give a
// confidence interval.

package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/realtime"
)

const (
	resamples  = 4000 // of the bootstrap
	confidence = 0.95
)

// Interval is a mean with its confidence interval.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// IncludesZero reports whether the interval includes 0: the difference may be noise.
func (i Interval) IncludesZero() bool { return i.Low <= 0 && i.High >= 0 }

// Bootstrap returns the mean of the values and its interval by the percentile bootstrap. The same values
// always give the same interval.
func Bootstrap(values []float64) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	r := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, resamples)
	sample := make([]float64, len(values))
	for k := range means {
		for n := range sample {
			sample[n] = values[r.IntN(len(values))]
		}
		means[k] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	q := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, means, nil) }
	return Interval{stat.Mean(values, nil), q((1 - confidence) / 2), q((1 + confidence) / 2)}
}

// Metric is a value of a result that comparisons show.
type Metric struct {
	Name      string
	Direction int // 1: higher is better, -1: lower is better
	Value     func(*Result) float64
}

// Metrics are the metrics that comparisons show.
var Metrics = []Metric{
	{"service", 1, func(r *Result) float64 { return r.Service }},
	{"p50 ms", -1, func(r *Result) float64 { return r.Latency.P50 }},
	{"p99 ms", -1, func(r *Result) float64 { return r.Latency.P99 }},
	{"mean ms", -1, func(r *Result) float64 { return r.MeanLatency }},
	{"slowdown", -1, func(r *Result) float64 { return r.MeanSlowdown }},
	{"added p99 ms", -1, func(r *Result) float64 { return r.Added.P99 }},
	{"CPU us/job", -1, func(r *Result) float64 { return r.CPUPerJob() }},
	{"broken rules", -1, func(r *Result) float64 { return float64(r.ViolationCount()) }},
}

// Compare runs two policies with the same seeds in virtual time.
func Compare(ctx context.Context, name string, x *fleetmodel.Experiment, a, b string, seeds []uint64, progress func(float64)) (as, bs []*Result, err error) {
	var runs []runSpec
	for _, s := range seeds {
		runs = append(runs, runSpec{name, x, s, a}, runSpec{name, x, s, b})
	}
	all, err := runAll(ctx, runs, progress)
	if err != nil {
		return nil, nil, err
	}
	for k := 0; k < len(all); k += 2 {
		as, bs = append(as, all[k]), append(bs, all[k+1])
	}
	return as, bs, nil
}

// CompareBuilds runs two programs in real time with the same seeds, one run after the other. The program that
// runs first alternates.
func CompareBuilds(ctx context.Context, name string, x *fleetmodel.Experiment, a, b realtime.Options, seeds []uint64) (as, bs []*Result, err error) {
	for k, s := range seeds {
		pair := []realtime.Options{a, b}
		sides := []*[]*Result{&as, &bs}
		for n := range pair {
			side := (n + k) % 2
			r, err := RunRealTime(ctx, name, x, s, pair[side])
			if err != nil {
				return as, bs, err
			}
			if r.Interrupted { // drops an incomplete pair
				pairs := min(len(as), len(bs))
				return as[:pairs], bs[:pairs], nil
			}
			*sides[side] = append(*sides[side], r)
		}
	}
	return as, bs, nil
}

// PrintComparison writes the means of each metric, their difference B - A with its interval, and a verdict.
func PrintComparison(out io.Writer, as, bs []*Result) {
	if len(as) == 0 {
		return
	}
	fmt.Fprintf(out, "%s: A = %s, B = %s, %d paired seeds, %s\n", as[0].Experiment, as[0].Policy, bs[0].Policy, len(as), as[0].Driver)
	fmt.Fprintf(out, "%-14s %12s %12s %12s   95%% interval\n", "", "A", "B", "B - A")
	for _, f := range Metrics {
		var valuesA, valuesB, differences []float64
		for k := range as {
			valuesA, valuesB = append(valuesA, f.Value(as[k])), append(valuesB, f.Value(bs[k]))
			differences = append(differences, valuesB[k]-valuesA[k])
		}
		i := Bootstrap(differences)
		verdict := "within noise"
		switch {
		case i.Mean == 0 && i.Low == 0 && i.High == 0:
			verdict = "the same"
		case !i.IncludesZero() && (i.Mean > 0) == (f.Direction > 0):
			verdict = "B is better"
		case !i.IncludesZero():
			verdict = "A is better"
		}
		fmt.Fprintf(out, "%-14s %12.4f %12.4f %+12.4f   [%+.4f, %+.4f]  %s\n", f.Name, stat.Mean(valuesA, nil), stat.Mean(valuesB, nil), i.Mean, i.Low, i.High, verdict)
	}
	for _, side := range [][]*Result{as, bs} {
		for _, r := range side {
			if r.Void != "" {
				fmt.Fprintf(out, "VOID: seed %d of %s: %s\n", r.Seed, r.Policy, r.Void)
			}
		}
	}
}

// Cell is the result of one policy in one experiment.
type Cell struct {
	Service, Slowdown Interval
	Violations        int
	ServiceDifference Interval // mean difference per seed to the service of the first policy
}

// RunTable runs every policy in every experiment with the same seeds.
func RunTable(ctx context.Context, names []string, xs []*fleetmodel.Experiment, policies []string, seeds []uint64, progress func(float64)) ([][]Cell, error) {
	var runs []runSpec
	for k, x := range xs {
		for _, s := range seeds {
			for _, p := range policies {
				runs = append(runs, runSpec{names[k], x, s, p})
			}
		}
	}
	all, err := runAll(ctx, runs, progress)
	if err != nil {
		return nil, err
	}
	table := make([][]Cell, len(xs))
	for k := range xs {
		table[k] = make([]Cell, len(policies))
		for p := range policies {
			var service, slowdown, against []float64
			for s := range seeds {
				first := all[(k*len(seeds)+s)*len(policies)]
				r := all[(k*len(seeds)+s)*len(policies)+p]
				service = append(service, r.Service)
				slowdown = append(slowdown, r.MeanSlowdown)
				against = append(against, r.Service-first.Service)
				table[k][p].Violations += r.ViolationCount()
			}
			c := &table[k][p]
			c.Service, c.Slowdown, c.ServiceDifference = Bootstrap(service), Bootstrap(slowdown), Bootstrap(against)
		}
	}
	return table, nil
}

// PrintTable writes the services as a Markdown table. It marks differences to the first policy that are
// significant.
func PrintTable(out io.Writer, names, policies []string, table [][]Cell) {
	fmt.Fprint(out, "| experiment |")
	for _, p := range policies {
		fmt.Fprintf(out, " %s |", p)
	}
	fmt.Fprint(out, "\n| --- |")
	for range policies {
		fmt.Fprint(out, " --- |")
	}
	fmt.Fprintln(out)
	for k, name := range names {
		fmt.Fprintf(out, "| %s |", name)
		for p, c := range table[k] {
			marker := ""
			switch {
			case p == 0 || c.ServiceDifference.IncludesZero():
			case c.ServiceDifference.Mean > 0:
				marker = " +"
			default:
				marker = " -"
			}
			violations := ""
			if c.Violations > 0 {
				violations = fmt.Sprintf(" (broken %d)", c.Violations)
			}
			fmt.Fprintf(out, " %.3f ±%.3f%s%s |", c.Service.Mean, (c.Service.High-c.Service.Low)/2, marker, violations)
		}
		fmt.Fprintln(out)
	}
}

// Sweep runs an experiment with each of several values and the same seeds. The results are ordered by value,
// then by seed.
func Sweep(ctx context.Context, name, key string, values []string, xs []*fleetmodel.Experiment, policy string, seeds []uint64, progress func(float64)) ([]*Result, error) {
	var runs []runSpec
	for k, x := range xs {
		for _, s := range seeds {
			runs = append(runs, runSpec{fmt.Sprintf("%s %s=%s", name, key, values[k]), x, s, policy})
		}
	}
	return runAll(ctx, runs, progress)
}

// PrintSweep writes one line for each value.
func PrintSweep(out io.Writer, key string, values []string, seeds int, all []*Result) {
	fmt.Fprintf(out, "%-24s", key)
	for _, f := range Metrics {
		fmt.Fprintf(out, " %20s", f.Name)
	}
	fmt.Fprintln(out)
	for k, v := range values {
		fmt.Fprintf(out, "%-24s", v)
		for _, f := range Metrics {
			var values []float64
			for _, r := range all[k*seeds : (k+1)*seeds] {
				values = append(values, f.Value(r))
			}
			i := Bootstrap(values)
			fmt.Fprintf(out, " %11.3f ±%7.3f", i.Mean, (i.High-i.Low)/2)
		}
		fmt.Fprintln(out)
	}
}
