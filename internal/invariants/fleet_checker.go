// This file judges a fleet from outside: by the release that workers saw on each hand-off, by what the council told its
// operators, and by the audit that it gave at the end.

package invariants

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"weldmast/internal/fleet"
)

// The rules of a fleet, beside those of each dispatcher.
const (
	FenceRespected Rule = "nobody acts on an older version after a fence"
	AuditComplete  Rule = "every act stands in the audit or in an unknown span"
	SingleHistory  Rule = "one history of versions"
	FleetRecovered Rule = "all are current soon after the last fault"
)

// FleetRules in their order.
var FleetRules = []Rule{FenceRespected, AuditComplete, SingleHistory, FleetRecovered}

// Seen is a hand-off as a worker saw it.
type ObservedHandOff struct {
	At            float64
	Dispatcher    int
	ID            string
	Worker        string
	Release       string
	SenderResumed float64 // its sender's process had last gone on then, 0: never stood still
}

// Call is one of an operator's, and what it was told; times are the operator's.
type OperatorCall struct {
	Start, End float64 // To: when the answer came
	Request    string  // published under it; empty: a reading
	Answered   bool    // an answer came
	Version    uint64  // that it was told
}

// Fleet takes what crossed the wire of one.
type FleetChecker struct {
	HandOffs []ObservedHandOff
	Calls    []OperatorCall
	// Complete is when an operator was first told that a version's fence is complete.
	FenceCompleted map[uint64]float64
	// Releases are the versions by what hand-offs bear; the empty one is 0.
	VersionByRelease map[string]uint64
	// Late counts hand-offs that came within a moment of their sender's going on: it stood still between look and write.
	LateAfterResume int
	Violations      []Violation
}

// moment is how long after its going on a process's hand-off may still be one that it looked for before; on a machine that
// is busy with many of them.
const resumeSlack = 150

func (f *FleetChecker) report(at float64, rule Rule, s ObservedHandOff, format string, a ...any) {
	f.Violations = append(f.Violations, Violation{At: at, Rule: rule, ID: s.ID, Dispatcher: s.Dispatcher, Worker: s.Worker, Detail: fmt.Sprintf(format, a...)})
}

// Unhealed: a member was not current in time.
func (f *FleetChecker) NotRecovered(at float64, detail string) {
	f.report(at, FleetRecovered, ObservedHandOff{Dispatcher: -1}, "%s", detail)
}

// Judge gives the verdicts. Final is the audit as the fleet told it once all was over, members its names by dispatcher;
// unix turns the judge's time into Unix time.
func (f *FleetChecker) Check(final *fleet.Audit, members []string, unix func(float64) float64) {
	f.checkFences()
	f.checkHistory()
	if final == nil {
		f.report(0, AuditComplete, ObservedHandOff{Dispatcher: -1}, "no audit was to be had")
		return
	}
	f.checkAudit(final, members, unix)
}

func (f *FleetChecker) checkFences() {
	for _, s := range f.HandOffs {
		version, known := f.VersionByRelease[s.Release]
		if !known {
			f.report(s.At, SingleHistory, s, "handed off under release %q, which nobody published", s.Release)
			continue
		}
		for fence, at := range f.FenceCompleted {
			if version >= fence || s.At <= at+messageSlack {
				continue
			}
			if s.SenderResumed > 0 && s.At < s.SenderResumed+resumeSlack {
				f.LateAfterResume++
				continue
			}
			f.report(s.At, FenceRespected, s, "handed off under version %d, %.1f ms after the fence of version %d was told to be complete", version, s.At-at, fence)
		}
	}
	slices.SortFunc(f.Violations, func(a, b Violation) int {
		if a.At < b.At {
			return -1
		}
		return 1
	})
}

// order holds the operators' calls against one history: there has to be an order of them, each between its beginning and
// its end, in which each publish is the next version once, and each reading sees the newest.
func (f *FleetChecker) checkHistory() {
	type state struct {
		newest uint64
		made   string // requests with their versions
	}
	type input struct{ request string }
	type output struct {
		known   bool
		version uint64
	}
	var history []porcupine.Operation
	end := 0.
	for _, c := range f.Calls {
		end = max(end, c.Start, c.End)
	}
	for k, c := range f.Calls {
		if !c.Answered && c.Request == "" {
			continue // a reading without an answer says nothing
		}
		to := c.End
		if !c.Answered { // it may be carried out at any time later, or never
			to = end + 1e6
		}
		history = append(history, porcupine.Operation{ClientId: k, Input: input{c.Request}, Call: int64(c.Start * 1000), Output: output{c.Answered, c.Version}, Return: int64(to * 1000)})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(prev, in, out any) []any {
			s, request, reply := prev.(state), in.(input), out.(output)
			if request.request == "" {
				if reply.version == s.newest {
					return []any{s}
				}
				return nil
			}
			if v, ok := versionOf(s.made, request.request); ok {
				if !reply.known || reply.version == v {
					return []any{s}
				}
				return nil
			}
			next := state{s.newest + 1, fmt.Sprintf("%s%s=%d;", s.made, request.request, s.newest+1)}
			if !reply.known {
				return []any{s, next}
			}
			if reply.version == next.newest {
				return []any{next}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	if !porcupine.CheckOperations(model.ToModel(), history) {
		f.report(end, SingleHistory, ObservedHandOff{Dispatcher: -1}, "what %d operators' calls were told fits no one order", len(history))
	}
}

// find reads a version from the texts above.
func versionOf(versions, request string) (v uint64, ok bool) {
	for start := 0; start < len(versions); {
		end := start
		for versions[end] != ';' {
			end++
		}
		var name string
		equals := start
		for versions[equals] != '=' {
			equals++
		}
		if name = versions[start:equals]; name == request {
			fmt.Sscan(versions[equals+1:end], &v)
			return v, true
		}
		start = end + 1
	}
	return 0, false
}

// booked looks for each hand-off that a worker saw in the audit: in a line of its sender under its version whose first and
// last act enclose it, or in a span of its sender called unknown.
func (f *FleetChecker) checkAudit(final *fleet.Audit, members []string, unix func(float64) float64) {
	type key struct {
		member  string
		version uint64
	}
	lines, gaps := map[key][]fleet.AuditLine{}, map[string][]fleet.ReportGap{}
	for _, v := range final.Versions {
		for _, l := range v.Lines {
			k := key{l.Member, v.Version}
			lines[k] = append(lines[k], l)
		}
	}
	for _, g := range final.Gaps {
		gaps[g.Member] = append(gaps[g.Member], g)
	}
	observed := map[key]uint64{}
	for _, s := range f.HandOffs {
		k := key{members[s.Dispatcher], f.VersionByRelease[s.Release]}
		at := unix(s.At)
		unknown := slices.ContainsFunc(gaps[k.member], func(g fleet.Gap) bool {
			return at >= g.Span.From-messageSlack && (g.Span.To == 0 || at <= g.Span.To+messageSlack)
		})
		if unknown {
			continue
		}
		observed[k]++
		if !slices.ContainsFunc(lines[k], func(l fleet.Line) bool {
			handedOff := l.Acts.Kinds[fleet.HandedOff]
			return handedOff.Count > 0 && at >= handedOff.First-messageSlack && at <= handedOff.Last+maxConnectTime
		}) {
			f.report(s.At, AuditComplete, s, "handed off under version %d, which the audit of %s has not", k.version, k.member)
		}
	}
	for k, n := range observed {
		recorded := uint64(0)
		for _, l := range lines[k] {
			recorded += l.Acts.Kinds[fleet.HandedOff].Count
		}
		if n > recorded {
			f.report(0, AuditComplete, ObservedHandOff{Dispatcher: slices.Index(members, k.member)}, "%d hand-offs under version %d were seen, the audit has %d", n, k.version, recorded)
		}
	}
}

// connectMost is how much later than it is booked a hand-off may reach a worker, at most: its connection has to come up.
const maxConnectTime = 1000
