// This file prints a run: its points, the lines fitted to them, and a plot.

package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Slope is a line through the points of one series: how one cost of one role grows with the size.
type Slope struct {
	Name string `json:"name"` // as in the files of package capacity
	Unit string `json:"unit"` // unit of y, which grows per member, worker or team
	Fit  Fit    `json:"fit"`
}

// metric is a value taken from a point of a series; value returns false when the point has none.
type metric struct {
	name, unit, series string
	value              func(p Point) (float64, bool)
}

func usageOf(role string, of func(Usage) float64) func(Point) (float64, bool) {
	return func(p Point) (float64, bool) {
		x, ok := p.Roles[role]
		return of(x), ok
	}
}

// metrics are the values that lines are fitted to. The bytes and reads of a role are those of its system calls.
// For a role that does no other I/O, they are the traffic of its connections.
var metrics = []metric{
	{"leader_cpu", "cores", "members", usageOf("leader", func(u Usage) float64 { return u.CPU })},
	{"leader_mb", "MB", "members", usageOf("leader", func(u Usage) float64 { return u.ResidentMB })},
	{"leader_bytes", "bytes/s", "members", usageOf("leader", func(u Usage) float64 { return u.Read + u.Written })},
	{"leader_reads", "1/s", "members", usageOf("leader", func(u Usage) float64 { return u.Reads })},
	{"voter_cpu", "cores", "members", usageOf("voter", func(u Usage) float64 { return u.CPU })},
	{"voter_mb", "MB", "members", usageOf("voter", func(u Usage) float64 { return u.ResidentMB })},
	{"voter_bytes", "bytes/s", "members", usageOf("voter", func(u Usage) float64 { return u.Read + u.Written })},
	{"follower_cpu", "cores", "members", usageOf("follower", func(u Usage) float64 { return u.CPU })},
	{"follower_mb", "MB", "members", usageOf("follower", func(u Usage) float64 { return u.ResidentMB })},
	{"dispatcher_cpu", "cores", "members", usageOf("dispatcher", func(u Usage) float64 { return u.CPU })},
	{"member_bytes", "bytes/s", "members", func(p Point) (float64, bool) { return p.StubLink.Read + p.StubLink.Written, p.StubLink.Calls > 0 }},
	{"member_calls", "1/s", "members", func(p Point) (float64, bool) { return p.StubLink.Calls, p.StubLink.Calls > 0 }},
	{"in_force_p50", "ms", "members", func(p Point) (float64, bool) { return p.InForceP50, p.Published > 0 }},
	{"in_force_p99", "ms", "members", func(p Point) (float64, bool) { return p.InForceP99, p.Published > 0 }},
	{"in_force_all", "ms", "members", func(p Point) (float64, bool) { return p.InForceMax, p.Published > 0 }},
	{"round_idle", "ms", "rounds", func(p Point) (float64, bool) { return p.Idle, true }},
	{"round_start", "ms", "rounds", func(p Point) (float64, bool) { return p.Start, true }},
	{"round_batch", "ms", "rounds", func(p Point) (float64, bool) { return p.Batch, p.Batch > 0 }},
	{"round_change", "ms", "rounds", func(p Point) (float64, bool) { return p.Change, p.Change > 0 }},
	{"known_cpu", "cores", "workers", usageOf("dispatcher", func(u Usage) float64 { return u.CPU })},
	{"known_mb", "MB", "workers", usageOf("dispatcher", func(u Usage) float64 { return u.ResidentMB })},
	{"team_cpu", "cores", "teams", usageOf("dispatcher", func(u Usage) float64 { return u.CPU })},
	{"team_mb", "MB", "teams", usageOf("dispatcher", func(u Usage) float64 { return u.ResidentMB })},
}

// Slopes returns the lines through a run's points: one for each metric and each rate of versions or jobs that
// was measured. The name contains the rate, as in leader_cpu@1.1.
func (r *Result) Slopes() (all []Slope) {
	for _, f := range metrics {
		x, y := map[float64][]float64{}, map[float64][]float64{}
		var rates []float64
		for _, p := range r.Points {
			rate := p.JobRate
			if p.Series == "members" {
				rate = p.VersionRate
			}
			v, ok := f.value(p)
			if p.Series != f.series || !ok {
				continue
			}
			if !slices.Contains(rates, rate) {
				rates = append(rates, rate)
			}
			x[rate], y[rate] = append(x[rate], float64(p.Size)), append(y[rate], v)
		}
		slices.Sort(rates)
		for _, rate := range rates {
			if len(x[rate]) >= 2 {
				all = append(all, Slope{fmt.Sprintf("%s@%g", f.name, rate), f.unit, FitLine(x[rate], y[rate])})
			}
		}
	}
	return all
}

// Slope returns the slope with the given name.
func (r *Result) Slope(name string) (s Slope, ok bool) {
	all := r.Slopes()
	k := slices.IndexFunc(all, func(s Slope) bool { return s.Name == name })
	if k < 0 {
		return s, false
	}
	return all[k], true
}

// SlopePair is the slope of one metric in two runs of the same plan.
type SlopePair struct {
	Name, Unit string
	A, B       Fit
}

// EachWithinOther tells whether each of the two slopes lies in the other's interval.
func (p SlopePair) EachWithinOther() bool {
	return p.A.Low <= p.B.Slope && p.B.Slope <= p.A.High && p.B.Low <= p.A.Slope && p.A.Slope <= p.B.High
}

// Overlap tells whether the two intervals overlap.
func (p SlopePair) Overlap() bool { return p.A.Low <= p.B.High && p.B.Low <= p.A.High }

// PairSlopes pairs the slopes for which both runs have an interval.
func PairSlopes(a, b *Result) (all []SlopePair) {
	for _, x := range a.Slopes() {
		if y, ok := b.Slope(x.Name); ok && x.Fit.Points >= 3 && y.Fit.Points >= 3 {
			all = append(all, SlopePair{x.Name, x.Unit, x.Fit, y.Fit})
		}
	}
	return all
}

// FormatNumber formats a number with four digits.
func FormatNumber(x float64) string {
	switch a := math.Abs(x); {
	case math.IsInf(x, 0) || math.IsNaN(x):
		return "none"
	case a == 0:
		return "0"
	case a >= 1000:
		return fmt.Sprintf("%.0f", x)
	case a < 0.001:
		return fmt.Sprintf("%.3e", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// Text formats a run as text for the terminal.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d cores, %.0f MB; %d processes and %.0f MB at most of %.0f allowed; %.0f s\n", r.Plan, r.Machine.Cores, r.Machine.MemoryMB, r.PeakProcesses, r.PeakMB, r.Machine.LimitMB, r.Seconds)
	if r.Void != "" {
		fmt.Fprintf(&b, "VOID: %s\n", r.Void)
	}
	if r.LimitReached != "" {
		fmt.Fprintf(&b, "ends at %s\n", r.LimitReached)
	}
	b.WriteString("\nseries   size  per s  role         n  cores    MB     read B/s  written B/s  reads/s  writes/s\n")
	for _, p := range r.Points {
		if p.Series == "rounds" {
			fmt.Fprintf(&b, "rounds  %5d  a round of the decisions alone: %s\n", p.Size, p.text())
			continue
		}
		var roles []string
		for name := range p.Roles {
			roles = append(roles, name)
		}
		slices.Sort(roles)
		for _, name := range roles {
			u := p.Roles[name]
			fmt.Fprintf(&b, "%-7s %5d  %5g  %-10s %3d  %.4f  %6.1f  %9.0f  %9.0f  %7.0f  %7.0f\n", p.Series, p.Size, max(p.VersionRate, b2f(p.Series != "members")*p.JobRate), name, u.Processes, u.CPU, u.ResidentMB,
				u.Read, u.Written, u.Reads, u.Writes)
		}
		if p.StubLink.Calls > 0 {
			fmt.Fprintf(&b, "        a hollow member: %.2f calls, %.0f bytes read, %.0f written a second; published %d, in force p50 %.0f p99 %.0f all %.0f ms, unknown %d, behind at the end %d\n",
				p.StubLink.Calls, p.StubLink.Read, p.StubLink.Written, p.Published, p.InForceP50, p.InForceP99, p.InForceMax, p.Unmeasured, p.Behind)
		}
		fmt.Fprintf(&b, "        jobs %d, served %d; hollow timers late by %.1f ms at p99; machine %.0f%% busy, %.0f MB\n", p.Jobs, p.Served, p.LateP99, 100*p.MachineBusy, p.TotalMB)
	}
	b.WriteString("\nslope                 unit      at 0       each       95% interval             largest  predicted  measured  off\n")
	for _, s := range r.Slopes() {
		f := s.Fit
		fmt.Fprintf(&b, "%-21s %-8s %9s  %9s  %9s to %9s  %7.0f  %9s  %9s  %+.0f%%\n", s.Name, s.Unit, FormatNumber(f.Intercept), FormatNumber(f.Slope), FormatNumber(f.Low), FormatNumber(f.High), f.LargestX,
			FormatNumber(f.Predicted), FormatNumber(f.Measured), 100*f.RelativeError)
	}
	return b.String()
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Plot draws each metric of all series, as a share of its largest value, into an SVG file.
func (r *Result) Plot(path string) error {
	pl := plot.New()
	pl.Title.Text = "How it grows: each figure as part of its largest"
	pl.X.Label.Text = "size, as part of the largest"
	pl.Legend.Top, pl.Legend.Left = true, true
	var lines []any
	for _, f := range metrics {
		var pts plotter.XYs
		for _, p := range r.Points {
			if v, ok := f.value(p); ok && p.Series == f.series && (p.Series != "members" || p.VersionRate > 0) {
				pts = append(pts, plotter.XY{X: float64(p.Size), Y: v})
			}
		}
		slices.SortStableFunc(pts, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
		mx, my := 0., 0.
		for _, p := range pts {
			mx, my = max(mx, p.X), max(my, p.Y)
		}
		if len(pts) < 2 || my == 0 {
			continue
		}
		for k := range pts {
			pts[k].X, pts[k].Y = pts[k].X/mx, pts[k].Y/my
		}
		lines = append(lines, f.name, pts)
	}
	if err := plotutil.AddLinePoints(pl, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := pl.Save(24*vg.Centimeter, 16*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
