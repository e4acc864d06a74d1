// This file computes the rows of the tables. A ratio is the estimated value over its bound; above 1 the bound
// is broken.

package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"weldmast/internal/dispatch"
	"weldmast/internal/scaletest"
)

// Row is a requirement of the deployment's size, the load of a role, or the consequence of a failure.
type Row struct {
	Name       string     `json:"line"`
	Component  string     `json:"carrier"`         // the package that does the work, or Missing with the reason
	Bound      string     `json:"bound,omitempty"` // as text, with its number
	Unit       string     `json:"unit,omitempty"`
	Values     [3]float64 `json:"comes"` // at half, once and double the assumed number of schedulers
	Ratios     [3]float64 `json:"ratio"` // value over bound; 0 without a bound
	Basis      string     `json:"basis"`
	limitValue float64
}

// Tables are the tables of the capacity page.
type Tables struct {
	Schedulers   [3]float64 `json:"schedulers"`
	Requirements []Row      `json:"lines"`
	Roles        []Row      `json:"roles"`
	Failures     []Row      `json:"failures"`
	Slopes       []Slope    `json:"-"`
	Quantities   []Quantity `json:"-"`
}

// Missing is the component of a row whose feature does not exist yet.
const Missing = "**missing**"

// Tables computes the tables; an error names the inputs that the file lacks.
func (s *Inputs) Tables() (*Tables, error) {
	t := &Tables{Slopes: s.Slopes, Quantities: append(slices.Clone(s.Quantities), s.Assumptions...)}
	n := s.value("schedulers")
	t.Schedulers = [3]float64{n / 2, n, 2 * n}
	// row computes a row at the three numbers of schedulers.
	row := func(name, component, unit, bound string, limit float64, value func(schedulers float64) (float64, string)) Row {
		r := Row{Name: name, Component: component, Unit: unit, Bound: bound, limitValue: limit}
		for k, size := range t.Schedulers {
			var basis string
			if r.Values[k], basis = value(size); k == 0 || strings.HasPrefix(basis, "fitted") {
				r.Basis = basis // the least certain basis of the three
			}
			if limit > 0 {
				r.Ratios[k] = r.Values[k] / limit
			}
		}
		return r
	}
	constant := func(x float64, basis string) func(float64) (float64, string) {
		return func(float64) (float64, string) { return x, basis }
	}
	missingRow := func(name, why string) Row { return Row{Name: name, Component: Missing + ": " + why, Basis: "none"} }
	slope := func(name string) func(float64) (float64, string) {
		return func(size float64) (float64, string) { return s.estimate(name, size) }
	}
	controlCPU, controlMB, controlBytes := s.value("control_cpu"), s.value("control_memory"), s.value("control_bytes")
	workers, starts, running, teams := s.value("workers"), s.value("starts"), s.value("running"), s.value("teams")
	startCost := func() (float64, string) { // CPU seconds per start of a job, with all workers known
		idle, _ := s.estimate("known_cpu@0", workers)
		at, basis := s.estimate("known_cpu@100", workers)
		return (at - idle) / 100, basis
	}
	idleCPU, idleBasis := s.estimate("known_cpu@0", workers)
	knownMB, knownBasis := s.estimate("known_mb@100", workers)
	cpuPerStart, costBasis := startCost()
	teamMB0, _ := s.estimate("team_mb@100", 0)
	teamMB, teamBasis := s.estimate("team_mb@100", teams)

	t.Requirements = []Row{
		row(fmt.Sprintf("%g workers known to each dispatcher: memory", workers), "internal/dispatch, internal/transport", "MB", fmt.Sprintf("%g MB", controlMB), controlMB, constant(knownMB, knownBasis)),
		row("the same: processor time with no job", "internal/dispatch, internal/transport", "cores", fmt.Sprintf("%g of a core", controlCPU), controlCPU, constant(idleCPU, idleBasis)),
		missingRow(fmt.Sprintf("%g accelerators", s.value("accelerators")), "a worker has a kind and slots, and no accelerators of which a job takes some"),
		row(fmt.Sprintf("%g jobs a day", s.value("jobs_day")), "internal/dispatch", "starts/s a dispatcher", "what one core starts a second with all workers known", 1/cpuPerStart,
			func(n float64) (float64, string) { return s.value("jobs_day") / 86400 / n, costBasis }),
		row(fmt.Sprintf("%g task starts a second at the peak", starts), "internal/dispatch", "cores a dispatcher", "1 core", 1,
			func(n float64) (float64, string) { return idleCPU + cpuPerStart*starts/n, costBasis }),
		row(fmt.Sprintf("%g tasks running: clients that wait at a dispatcher", running), "internal/transport", "connections", "half of limits.sockets 1024", 512,
			func(n float64) (float64, string) { return running / n, "arithmetic" }),
		row("the same: tasks on one worker", fmt.Sprintf("internal/dispatch (what fits is learned up to %d)", dispatch.MaxConcurrency), "tasks", fmt.Sprint(dispatch.MaxConcurrency), dispatch.MaxConcurrency, constant(running/workers, "arithmetic")),
		missingRow(fmt.Sprintf("gangs of up to %g", s.value("gang")), "work items start one by one; nothing holds workers for others"),
		missingRow(fmt.Sprintf("%g teams: quotas", teams), "a tenant has an allowance a second, counted by each dispatcher alone; nobody holds its running tasks to a quota"),
		row(fmt.Sprintf("%g teams: memory for their allowances", teams), "internal/dispatch", "MB", fmt.Sprintf("%g MB", controlMB), controlMB, constant(teamMB-teamMB0, teamBasis)),
		missingRow(fmt.Sprintf("urgent work starts within %g s", s.value("urgent")), "credit orders what waits; nothing that runs gives way"),
		missingRow(fmt.Sprintf("%g regions with %g zones: a council over regions", s.value("regions"), s.value("zones")), "zones are known to dispatch and the council's times are of one site; no run over far links"),
		row(fmt.Sprintf("%.3g changes of configuration a second, in force everywhere", s.value("changes_day")/86400), "internal/consensus, internal/fleetagent", "ms to all", fmt.Sprintf("%g s", s.value("in_force")/1000),
			s.value("in_force"), slope("in_force_all@1.1")),
		row("control at a scheduler: processor time", "internal/fleetagent", "cores", fmt.Sprintf("%g of a core", controlCPU), controlCPU, slope("follower_cpu@1.1")),
		row("control at a scheduler: memory", "internal/fleetagent", "MB", fmt.Sprintf("%g MB", controlMB), controlMB, slope("follower_mb@1.1")),
		row("control at a scheduler: link", "internal/fleetrpc, internal/fleetagent", "bytes/s", fmt.Sprintf("%g bytes/s", controlBytes), controlBytes, slope("member_bytes@1.1")),
		row(fmt.Sprintf("%g machines for control: the leader's processor", s.value("control_machines")), "internal/consensus", "cores", "1 core: one goroutine leads", 1, slope("leader_cpu@1.1")),
	}
	t.Roles = []Row{
		row("dispatcher, all workers known: processor time at the peak", "internal/dispatch, internal/node, internal/transport", "cores", "1 core", 1,
			func(n float64) (float64, string) { return idleCPU + cpuPerStart*starts/n, costBasis }),
		row("dispatcher, all workers known: a round that starts a job", "internal/dispatch", "ms", "5 ms (settings.granularity)", 5, func(float64) (float64, string) { return s.estimate("round_start@0", workers) }),
		row("dispatcher, all workers known: the same while the list changes", "internal/dispatch", "ms", "5 ms (settings.granularity)", 5, func(float64) (float64, string) { return s.estimate("round_change@0", workers) }),
		row("dispatcher: memory", "the same", "MB", fmt.Sprintf("%g MB", controlMB), controlMB, constant(knownMB, knownBasis)),
		row("leader: processor time", "internal/consensus", "cores", "1 core", 1, slope("leader_cpu@1.1")),
		row("leader: memory", "internal/consensus, internal/fleet", "MB", "192 MB (limits.memory_mb)", 192, slope("leader_mb@1.1")),
		row("leader: messages", "internal/fleetrpc", "reads/s", "", 0, slope("leader_reads@1.1")),
		row("leader: bytes", "internal/fleetrpc", "bytes/s", "", 0, slope("leader_bytes@1.1")),
		row("voter: processor time", "internal/consensus", "cores", "1 core", 1, slope("voter_cpu@1.1")),
		row("voter: memory", "internal/consensus, internal/fleet", "MB", "192 MB", 192, slope("voter_mb@1.1")),
		row("voter: bytes", "internal/fleetrpc", "bytes/s", "", 0, slope("voter_bytes@1.1")),
		row("follower: processor time", "internal/fleetagent", "cores", fmt.Sprintf("%g of a core", controlCPU), controlCPU, slope("follower_cpu@1.1")),
		row("follower: memory", "internal/fleetagent", "MB", fmt.Sprintf("%g MB", controlMB), controlMB, slope("follower_mb@1.1")),
		row("follower: calls", "internal/fleetrpc", "1/s", "", 0, slope("member_calls@1.1")),
		row("discovery's agent: the list that a dispatcher's start asks for", "outside; stand-in in internal/scaletest", "bytes", "", 0, constant(workers*s.value("entry_bytes"), "assumed (entry_bytes)")),
		row("worker's side: hand-offs and callbacks of one worker", "internal/transport", "1/s", "", 0, constant(starts/workers*4, "arithmetic: a request, its 202, two callbacks")),
		missingRow("gangs, quotas, accelerators: who holds capacity for them", "a reservation over dispatchers"),
		missingRow("region: who carries history between regions", "a relay; all members call the voters themselves"),
	}
	restarts := s.value("restarts_day") + s.value("failures_day")
	admissionBytes := s.value("admission_bytes")
	t.Failures = []Row{
		row(fmt.Sprintf("%g machines fail and %g are restarted a day: admissions told to all", s.value("failures_day"), s.value("restarts_day")), "internal/consensus, internal/fleetagent", "bytes/s a member",
			fmt.Sprintf("%g bytes/s", controlBytes), controlBytes, func(n float64) (float64, string) {
				return restarts / 86400 * admissionBytes * min(n/(workers+n)*s.value("spread"), 1), "assumed (admission_bytes, spread)"
			}),
		row("a rack or switch: schedulers that start at once", "internal/consensus", "admissions", "", 0, func(n float64) (float64, string) { return math.Ceil(n / s.value("racks")), "assumed (racks)" }),
		row("a zone: schedulers that start at once", "internal/consensus", "admissions", "", 0, func(n float64) (float64, string) { return n / s.value("zones"), "arithmetic" }),
		row("the same: workers that come back cold", "internal/dispatch", "workers", "", 0, constant(workers/s.value("zones"), "arithmetic")),
		row("an hour between regions: entries that the cut part is behind", "internal/consensus (1024 entries are kept, then a snapshot)", "entries", "", 0,
			constant(s.value("changes_day")/24, "arithmetic")),
		row("the same: members that catch up by a snapshot, 16 at once", "internal/consensus", "members", "", 0, func(n float64) (float64, string) { return n / s.value("regions"), "arithmetic" }),
	}
	if len(s.missing) > 0 {
		slices.Sort(s.missing)
		return nil, fmt.Errorf("capacity: the file has no %s", strings.Join(slices.Compact(s.missing), ", "))
	}
	return t, nil
}

// WorstFirst returns the rows that have a bound, without repeated ones, sorted by their ratio at the assumed
// number of schedulers, highest first.
func (t *Tables) WorstFirst() (all []Row) {
	for _, r := range slices.Concat(t.Requirements, t.Roles, t.Failures) {
		if r.limitValue > 0 && !slices.ContainsFunc(all, func(x Row) bool { return x.Values == r.Values && x.Bound == r.Bound }) {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int { return cmp.Compare(b.Ratios[1], a.Ratios[1]) })
	return all
}

// Text formats the tables as they stand on the capacity page.
func (t *Tables) Text() string {
	var b strings.Builder
	formatThree := func(x [3]float64) string {
		if x[0] == x[2] {
			return scaletest.FormatNumber(x[1])
		}
		return scaletest.FormatNumber(x[0]) + ", " + scaletest.FormatNumber(x[1]) + ", " + scaletest.FormatNumber(x[2])
	}
	writeRows := func(header string, all []Row) {
		fmt.Fprintf(&b, "| %s | carried by | bound | comes to | ratio | basis |\n| --- | --- | --- | --- | --- | --- |\n", header)
		for _, r := range all {
			comes, ratio := formatThree(r.Values)+" "+r.Unit, formatThree(r.Ratios)
			if strings.HasPrefix(r.Component, Missing) {
				comes = ""
			}
			if r.limitValue == 0 {
				ratio = ""
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", r.Name, r.Component, r.Bound, comes, ratio, r.Basis)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "Three figures: with %s, %s and %s schedulers. One: the same with each.\n\n", scaletest.FormatNumber(t.Schedulers[0]), scaletest.FormatNumber(t.Schedulers[1]), scaletest.FormatNumber(t.Schedulers[2]))
	b.WriteString("### Lines of the size\n\n")
	writeRows("line", t.Requirements)
	b.WriteString("### Roles\n\n")
	writeRows("role", t.Roles)
	b.WriteString("### Failures\n\n")
	writeRows("failure", t.Failures)
	b.WriteString("### Worst first, of what exists\n\n| row | ratio |\n| --- | --- |\n")
	for _, r := range t.WorstFirst() {
		fmt.Fprintf(&b, "| %s | %s |\n", r.Name, formatThree(r.Ratios))
	}
	b.WriteString("\n### Slopes\n\n| slope | unit | at 0 | each | 95% of each | largest point | foretold from the others, off by | run |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, x := range t.Slopes {
		errorText := fmt.Sprintf("%+.0f%%", 100*x.RelativeError)
		if math.Abs(x.RelativeError) > maxRelativeError {
			errorText += ", no line"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s to %s | %g | %s | %s |\n", x.Name, x.Unit, scaletest.FormatNumber(x.Intercept), scaletest.FormatNumber(x.PerUnit), scaletest.FormatNumber(x.Low), scaletest.FormatNumber(x.High), x.LargestSize, errorText, x.Run)
	}
	b.WriteString("\n### Given and assumed\n\n| name | value | unit | |\n| --- | --- | --- | --- |\n")
	for _, q := range t.Quantities {
		why := q.Why
		if why == "" {
			why = "the size"
		} else {
			why = "assumed: " + why
		}
		fmt.Fprintf(&b, "| %s | %g | %s | %s |\n", q.Name, q.Value, q.Unit, why)
	}
	return b.String()
}
