// This file implements the audit: which member acted on which version, from the members' reports, and the
// intervals for which there is no report.

package fleet

import (
	"cmp"
	"slices"
)

// Evidence is what a line of an audit is based on.
type Evidence string

// Kinds of evidence.
const (
	EvidenceReported     Evidence = "it said so"
	EvidenceLeaseExpired Evidence = "its lease was over"
	EvidenceNone         Evidence = "nothing is known"
)

// Interval is a time interval without a report, in Unix milliseconds. To 0 means until now.
type Interval struct {
	From float64 `cbor:"1,keyasint" json:"from_ms"`
	To   float64 `cbor:"2,keyasint" json:"to_ms"`
}

// AuditLine lists what one process of a member did under a version.
type AuditLine struct {
	Member   string         `cbor:"1,keyasint" json:"member"`
	RunID    string         `cbor:"2,keyasint" json:"run"`
	Actions  VersionActions `cbor:"3,keyasint" json:"acts"`
	Evidence Evidence       `cbor:"4,keyasint" json:"evidence"`
}

// ReportGap is an interval of a member that no report covers. AfterRunID is the run that had begun last before the
// gap; empty: the gap precedes all known runs.
type ReportGap struct {
	Member     string   `cbor:"1,keyasint" json:"member"`
	AfterRunID string   `cbor:"2,keyasint" json:"after_run"`
	Interval   Interval `cbor:"3,keyasint" json:"unknown"`
}

// VersionAudit is the audit of one version.
type VersionAudit struct {
	Version         uint64      `cbor:"1,keyasint" json:"version"`
	TextDigest      string      `cbor:"2,keyasint" json:"sum"`
	PublishedAt     float64     `cbor:"3,keyasint" json:"published_ms"`
	PublishedBy     string      `cbor:"4,keyasint" json:"by"`
	Fence           bool        `cbor:"5,keyasint" json:"fence"`
	FenceCompleteAt float64     `cbor:"6,keyasint" json:"fence_complete_ms"` // 0: not yet
	FenceWaits      []FenceWait `cbor:"7,keyasint" json:"fence_waits_for,omitempty"`
	// by any member, as far as is known; 0: none
	LastOlderAction float64     `cbor:"8,keyasint" json:"last_act_on_an_older_ms"`
	LastOlderMember string      `cbor:"9,keyasint" json:"by_member,omitempty"`
	Lines           []AuditLine `cbor:"10,keyasint" json:"members"`
}

// Audit is the audit of the fleet.
type Audit struct {
	LastSeq       uint64         `cbor:"1,keyasint" json:"entries"`
	Digest        string         `cbor:"2,keyasint" json:"digest"`
	NewestVersion uint64         `cbor:"3,keyasint" json:"newest"`
	Versions      []VersionAudit `cbor:"4,keyasint" json:"versions"`
	Gaps          []ReportGap    `cbor:"5,keyasint" json:"unknown"`
	Members       []MemberStatus `cbor:"6,keyasint" json:"standing"`
}

// Audit reports which member acted on which version: on the given version, or for 0 on all retained versions.
// If since, a Unix time in milliseconds, is above 0, it omits versions published before, also the given one.
// Version 0 is included only if version and since are both 0.
func (lm *LeaseManager) Audit(now, unixNow float64, s *State, version uint64, since float64) Audit {
	a := Audit{LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), Members: lm.MemberStatuses(now, s)}
	versions := append([]Version{{}}, s.Versions()...)
	for k, v := range versions {
		if v.Number == 0 && k > 0 || version != 0 && v.Number != version || v.PublishedAt < since && v.Number > 0 || since > 0 && v.Number == 0 {
			continue
		}
		va := VersionAudit{Version: v.Number, PublishedAt: v.PublishedAt, PublishedBy: v.PublishedBy, Fence: v.Fence}
		if v.Number > 0 {
			va.TextDigest = v.TextDigest.String()
		}
		if v.Fence {
			va.FenceCompleteAt, va.FenceWaits = lm.FenceStatus(now, unixNow, v.Number, s)
		}
		for _, m := range s.Members() {
			linesBefore := len(va.Lines)
			for _, run := range lm.runs[m.Name] {
				for _, acts := range run.Versions {
					switch last := acts.LastAt(); {
					case acts.Version == v.Number:
						va.Lines = append(va.Lines, AuditLine{m.Name, run.ID, acts, EvidenceReported})
					case acts.Version < v.Number && last > va.LastOlderAction:
						va.LastOlderAction, va.LastOlderMember = last, m.Name
					}
				}
			}
			if len(va.Lines) == linesBefore && v.Number > 0 { // the member never reported this version as active
				l := AuditLine{Member: m.Name, Actions: VersionActions{Version: v.Number}, Evidence: EvidenceNone}
				if va.FenceCompleteAt > 0 && !m.Removed { // fences do not wait for removed members
					l.Evidence = EvidenceLeaseExpired
				}
				va.Lines = append(va.Lines, l)
			}
		}
		a.Versions = append(a.Versions, va)
	}
	a.Gaps = lm.gaps(now, s)
	return a
}

// gaps returns the intervals that no report covers: before the oldest version that a run still reports, and after
// a run without a clean exit, until the start of the next run, or until now if the member is silent.
func (lm *LeaseManager) gaps(now float64, s *State) (all []ReportGap) {
	for _, m := range s.Members() {
		starts, reported := slices.Clone(m.Runs), map[string]RunRecord{}
		for _, run := range lm.runs[m.Name] {
			if reported[run.ID] = run; !m.HasRun(run.ID) {
				starts = append(starts, RunStart{run.ID, run.StartedAt})
			}
		}
		slices.SortStableFunc(starts, func(x, y RunStart) int { return cmp.Compare(x.StartedAt, y.StartedAt) })
		switch {
		case len(starts) == 0:
			all = append(all, ReportGap{Member: m.Name, Interval: Interval{From: m.FirstAdmittedAt}})
		case starts[0].StartedAt > m.FirstAdmittedAt: // there were more runs than the state retains
			all = append(all, ReportGap{Member: m.Name, Interval: Interval{From: m.FirstAdmittedAt, To: starts[0].StartedAt}})
		}
		for k, x := range starts {
			run, isReported := reported[x.RunID]
			if run.DroppedUntil > 0 {
				all = append(all, ReportGap{Member: m.Name, AfterRunID: x.RunID, Interval: Interval{From: x.StartedAt, To: run.DroppedUntil}})
			}
			g := ReportGap{Member: m.Name, AfterRunID: x.RunID, Interval: Interval{From: max(run.KnownUntil, x.StartedAt)}}
			p := lm.newestProcess(m.Name)
			switch {
			case isReported && run.CleanExit:
				continue
			case k+1 < len(starts):
				if g.Interval.To = starts[k+1].StartedAt; g.Interval.To <= g.Interval.From { // the two runs overlapped
					continue
				}
			// the process is alive and continues to report
			case isReported && p != nil && p.heartbeat.RunID == x.RunID && now <= p.lastContact+2*lm.timing.Beat:
				continue
			}
			all = append(all, g)
		}
	}
	return all
}
