// This file checks a fleet from outside, by three sources: the release that workers saw on each hand-off, the
// answers that operators got from the fleet, and the fleet's final audit. A release is the text by which a
// hand-off names the version that it was sent under.

package invariants

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"weldmast/internal/fleet"
)

// The rules of a fleet, in addition to those of each dispatcher.
const (
	FenceRespected Rule = "nobody acts on an older version after a fence"
	AuditComplete  Rule = "every act stands in the audit or in an unknown span"
	SingleHistory  Rule = "one history of versions"
	FleetRecovered Rule = "all are current soon after the last fault"
)

// FleetRules lists the rules of a fleet in the order of reports.
var FleetRules = []Rule{FenceRespected, AuditComplete, SingleHistory, FleetRecovered}

// ObservedHandOff is a hand-off as a worker saw it.
type ObservedHandOff struct {
	At            float64
	Dispatcher    int
	ID            string
	Worker        string
	Release       string
	SenderResumed float64 // when its sender's process was last resumed; 0: it was never suspended
}

// OperatorCall is an operator's call and its answer. Times are on the operator's clock.
type OperatorCall struct {
	Start, End float64 // End is the time of the answer
	Request    string  // ID of the request that published; empty: the call only read
	Answered   bool    // an answer arrived
	Version    uint64  // the version in the answer
}

// FleetChecker receives what was observed of a fleet and records violations.
type FleetChecker struct {
	HandOffs []ObservedHandOff
	Calls    []OperatorCall
	// FenceCompleted has, by version, when an operator was first told that the version's fence is complete.
	FenceCompleted map[uint64]float64
	// VersionByRelease has the version of each release that hand-offs carry; the empty release is version 0.
	VersionByRelease map[string]uint64
	// LateAfterResume counts hand-offs shortly after their sender was resumed: its process was suspended
	// between the check and the write.
	LateAfterResume int
	Violations      []Violation
}

// resumeSlack is how long after its resumption, in milliseconds, a process may still send a hand-off that it
// checked before it was suspended. It allows for a machine that runs many such processes and is busy.
const resumeSlack = 150

func (f *FleetChecker) report(at float64, rule Rule, s ObservedHandOff, format string, a ...any) {
	f.Violations = append(f.Violations, Violation{At: at, Rule: rule, ID: s.ID, Dispatcher: s.Dispatcher, Worker: s.Worker, Detail: fmt.Sprintf(format, a...)})
}

// NotRecovered records that a member did not become current in time.
func (f *FleetChecker) NotRecovered(at float64, detail string) {
	f.report(at, FleetRecovered, ObservedHandOff{Dispatcher: -1}, "%s", detail)
}

// Check records the violations. Final is the fleet's audit after the run, members has the fleet's names of
// the dispatchers by index, and unix converts the checker's time to Unix time.
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

// checkHistory checks that the operators' calls fit one history: there must be an order of the calls, each at
// a time between its start and its end, in which each publish creates the next version once and each read
// sees the newest.
func (f *FleetChecker) checkHistory() {
	type state struct {
		newest   uint64
		versions string // requests with their versions, as text
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
			continue // a read without an answer shows nothing
		}
		returned := c.End
		if !c.Answered { // it may take effect at any later time, or never
			returned = end + 1e6
		}
		history = append(history, porcupine.Operation{ClientId: k, Input: input{c.Request}, Call: int64(c.Start * 1000), Output: output{c.Answered, c.Version}, Return: int64(returned * 1000)})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(prev, in, out any) []any {
			s, call, reply := prev.(state), in.(input), out.(output)
			if call.request == "" {
				if reply.version == s.newest {
					return []any{s}
				}
				return nil
			}
			if v, ok := versionOf(s.versions, call.request); ok {
				if !reply.known || reply.version == v {
					return []any{s}
				}
				return nil
			}
			next := state{s.newest + 1, fmt.Sprintf("%s%s=%d;", s.versions, call.request, s.newest+1)}
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

// versionOf finds the version of a request in the text that the model keeps as its state.
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

// checkAudit looks up each hand-off that a worker saw in the audit. It must be covered by a line of its
// sender for its version, between the first and the last action of the line, or by an interval that the audit
// calls unknown.
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
		unknown := slices.ContainsFunc(gaps[k.member], func(g fleet.ReportGap) bool {
			return at >= g.Interval.From-messageSlack && (g.Interval.To == 0 || at <= g.Interval.To+messageSlack)
		})
		if unknown {
			continue
		}
		observed[k]++
		if !slices.ContainsFunc(lines[k], func(l fleet.AuditLine) bool {
			handedOff := l.Actions.Counts[fleet.HandedOff]
			return handedOff.Count > 0 && at >= handedOff.First-messageSlack && at <= handedOff.Last+maxConnectTime
		}) {
			f.report(s.At, AuditComplete, s, "handed off under version %d, which the audit of %s has not", k.version, k.member)
		}
	}
	for k, n := range observed {
		recorded := uint64(0)
		for _, l := range lines[k] {
			recorded += l.Actions.Counts[fleet.HandedOff].Count
		}
		if n > recorded {
			f.report(0, AuditComplete, ObservedHandOff{Dispatcher: slices.Index(members, k.member)}, "%d hand-offs under version %d were seen, the audit has %d", n, k.version, recorded)
		}
	}
}

// maxConnectTime is how much later than recorded a hand-off may reach a worker, at most, in milliseconds: its
// connection has to be established first.
const maxConnectTime = 1000
