// This file owns what the council's leader knows of members: their beats and leases, when a fence is complete, and each
// member's state with its cause. Its clock is the leader's own, one that goes on through a suspension.

package fleet

import (
	"fmt"
	"math"
	"slices"
)

// process is one process of a member as the leader knows it.
type process struct {
	beat  Heartbeat
	heard float64 // when its last beat came
	until float64 // until when it may have a lease
	told  uint64  // the newest version that it was told of,
	since float64 // and when
	began float64 // Unix
}

// Book is a leader's, from its election on.
type LeaseManager struct {
	f         Timing
	elected   float64
	processes map[string][]*process  // of each member, oldest first
	fences    map[uint64]float64     // when those that are complete were seen to be, Unix
	probes    map[string]string      // what calling a silent member showed
	runs      map[string][]RunRecord // as last reported
}

// NewBook begins with an election: whoever led before may have granted leases until then.
func NewLeaseManager(f Timing, now float64) *LeaseManager {
	return &LeaseManager{f: f, elected: now, processes: map[string][]*process{}, fences: map[uint64]float64{},
		probes: map[string]string{}, runs: map[string][]RunRecord{}}
}

const mostProcesses = 4 // of one member that are remembered

// Beat takes one that came at the given time; since then it was confirmed that this voter leads. Unknown: the member
// has to be admitted first.
func (b *LeaseManager) Heartbeat(received float64, t Heartbeat, s *State) (r LeaseRenewal, unknown bool) {
	r = LeaseRenewal{NewestVersion: s.NewestVersion(), FencedVersion: s.FencedVersion()}
	m, known := s.Member(t.Member)
	switch {
	case t.Fleet != s.Fleet():
		r.Reason = fmt.Sprintf("this is the fleet %q, not %q", s.Fleet(), t.Fleet)
		return r, false
	case t.Format != FormatVersion:
		r.Reason = fmt.Sprintf("the council speaks format %d, not %d", FormatVersion, t.Format)
		return r, false
	case t.Lease != b.f.Lease || t.Drift != b.f.Drift:
		r.Reason = fmt.Sprintf("the council's lease is %g ms with a drift of %g, not %g with %g", b.f.Lease, b.f.Drift, t.Lease, t.Drift)
		return r, false
	case t.LastSeq > s.LastSeq():
		r.Reason = fmt.Sprintf("it has %d entries, the council %d", t.LastSeq, s.LastSeq())
		return r, false
	case !known:
		return r, true
	}
	all := b.processes[t.Member]
	var p *process
	for _, x := range all {
		if x.beat.RunID == t.RunID {
			p = x
		} else if x.beat.Address != t.Address && received < x.heard+b.f.Lease && !x.beat.Leaving {
			r.Reason = fmt.Sprintf("the name is taken by the process at %s", x.beat.Address)
			return r, false
		}
	}
	if p == nil {
		if !m.HasRun(t.RunID) || m.IsolationPolicy != t.IsolationPolicy || m.Address != t.Address {
			return r, true // what new leaders rest on would not be true any longer
		}
		p = &process{until: math.Inf(-1)}
		if k := len(t.Runs) - 1; k >= 0 {
			p.began = t.Runs[k].StartedAt
		}
		// In the order of their beginnings: a new leader may hear of a newer one first.
		at := slices.IndexFunc(all, func(x *process) bool { return x.began > p.began })
		if at < 0 {
			at = len(all)
		}
		if all = slices.Insert(all, at, p); len(all) > mostProcesses { // the lease of the one forgotten is waited out with the next
			all[1].until = max(all[0].until, all[1].until)
			all = slices.Delete(all, 0, 1)
		}
		b.processes[t.Member] = all
	}
	p.beat, p.heard = t, received
	p.beat.Runs = nil
	delete(b.probes, t.Member)
	b.report(t)
	if p.told < r.NewestVersion {
		p.told, p.since = r.NewestVersion, received
	}
	switch {
	case t.Leaving:
	case m.Removed:
		r.Excluded, r.Reason = true, "removed"
	case m.Excluded:
		r.Excluded, r.Reason = true, "shut out"
	case t.ActiveVersion < r.FencedVersion:
		r.Reason = fmt.Sprintf("version %d is fenced, %d is in force there", r.FencedVersion, t.ActiveVersion)
	default:
		r.Granted = b.f.Lease
		p.until = max(p.until, received+b.f.Lease*(1+b.f.Drift))
	}
	return r, false
}

// report keeps what a member tells of its runs; a later word on a run takes the place of the one before.
func (b *LeaseManager) report(t Heartbeat) {
	runs := b.runs[t.Member]
	for _, run := range t.Runs {
		if k := slices.IndexFunc(runs, func(r RunRecord) bool { return r.ID == run.ID }); k >= 0 {
			if run.KnownUntil >= runs[k].KnownUntil {
				runs[k] = run
			}
			continue
		}
		runs = append(runs, run)
	}
	slices.SortStableFunc(runs, func(x, y RunRecord) int {
		switch {
		case x.StartedAt < y.StartedAt:
			return -1
		case x.StartedAt > y.StartedAt:
			return 1
		}
		return 0
	})
	if over := len(runs) - keepRuns - mostProcesses; over > 0 {
		runs = slices.Delete(runs, 0, over)
	}
	b.runs[t.Member] = runs
}

// Wait is a member that a fence waits for.
type FenceWait struct {
	Member    string  `cbor:"1,keyasint" json:"member"`
	Reason    string  `cbor:"2,keyasint" json:"why"`
	Remaining float64 `cbor:"3,keyasint" json:"ms"` // it ends by itself after so long; below 0: it does not
}

// waits tells whom the fence of a version waits for.
func (b *LeaseManager) waits(now float64, version uint64, s *State) (all []FenceWait) {
	for _, m := range s.Members() {
		if m.Removed {
			continue
		}
		if w, must := b.waitsFor(now, version, m); must {
			w.Member = m.Name
			all = append(all, w)
		}
	}
	return all
}

func (b *LeaseManager) waitsFor(now float64, version uint64, m Member) (FenceWait, bool) {
	lease := func(until float64, why string) (FenceWait, bool) {
		if now > until {
			return FenceWait{}, false
		}
		return FenceWait{Reason: why, Remaining: until - now}, true
	}
	before := b.elected + b.f.Lease*(1+b.f.Drift)
	all := b.processes[m.Name]
	// A process that this leader has not heard of may live, unless one that holds the address is known.
	if !slices.ContainsFunc(all, func(p *process) bool { return p.beat.OwnsAddress }) {
		if m.IsolationPolicy != StopWhenIsolated && len(all) == 0 {
			return FenceWait{Reason: "not heard of since the leader's election, and it serves alone", Remaining: -1}, true
		}
		if w, must := lease(before, "a lease of before the leader's election"); must {
			return w, true
		}
	}
	for k, p := range all {
		switch {
		case p.beat.ActiveVersion >= version || p.beat.Leaving:
			continue
		case slices.ContainsFunc(all[k+1:], func(x *process) bool { return x.beat.OwnsAddress }): // it is dead, or hands off nothing more
			if w, must := lease(p.until, "the lease of a process before"); must {
				return w, true
			}
		case p.beat.IsolationPolicy != StopWhenIsolated:
			return FenceWait{Reason: fmt.Sprintf("version %d is in force there, and it serves alone", p.beat.ActiveVersion), Remaining: -1}, true
		default:
			if w, must := lease(max(p.until, before), fmt.Sprintf("its lease, with version %d in force", p.beat.ActiveVersion)); must {
				return w, true
			}
		}
	}
	return FenceWait{}, false
}

// Fence tells since when nobody acts on versions before the given one, by the Unix time handed in; or whom that waits
// for. What it has told once stays true.
func (b *LeaseManager) FenceStatus(now, unix float64, version uint64, s *State) (complete float64, waits []FenceWait) {
	if at, ok := b.fences[version]; ok {
		return at, nil
	}
	if waits = b.waits(now, version, s); len(waits) > 0 {
		return 0, waits
	}
	b.fences[version] = unix
	return unix, nil
}

// Standing is how a member stands to the newest version.
type MemberState string

// The standings.
const (
	MemberCurrent   MemberState = "current"
	MemberBehind    MemberState = "behind"    // told of the newest less than two beats ago
	MemberStraggler MemberState = "straggler" // longer ago, or silent with a lease; its cause is said
	MemberExcluded  MemberState = "shut out"
	MemberGone      MemberState = "gone" // silent, its lease over
	MemberUnknown   MemberState = "unknown"
)

// Status is a member as the leader sees it.
type MemberStatus struct {
	Member          string          `cbor:"1,keyasint" json:"member"`
	Address         string          `cbor:"2,keyasint" json:"address"`
	State           MemberState     `cbor:"3,keyasint" json:"standing"`
	ActiveVersion   uint64          `cbor:"4,keyasint" json:"in_force"`
	Cause           string          `cbor:"5,keyasint,omitempty" json:"cause,omitempty"`
	SinceContact    float64         `cbor:"6,keyasint" json:"heard_ms_ago"` // below 0: not since the leader's election
	LeaseRemaining  float64         `cbor:"7,keyasint" json:"lease_ms"`     // left; below 0: none
	IsolationPolicy IsolationPolicy `cbor:"8,keyasint" json:"alone"`
	ProgramVersion  string          `cbor:"9,keyasint,omitempty" json:"program,omitempty"`
	PendingRestart  string          `cbor:"10,keyasint,omitempty" json:"waits_for_a_restart,omitempty"`
	RunID           string          `cbor:"11,keyasint,omitempty" json:"run,omitempty"`
	VoterState      string          `cbor:"12,keyasint,omitempty" json:"voter,omitempty"`
}

// Silent lists members to call: they should have been heard of.
func (b *LeaseManager) SilentMembers(now float64, s *State) (all []Member) {
	for _, m := range s.Members() {
		if p := b.newest(m.Name); !m.Removed && (p == nil || !p.beat.Leaving && now > p.heard+2*b.f.Beat) {
			all = append(all, m)
		}
	}
	return all
}

// Seat is the one that a member asks for that has lost its voter's folder; 0: none.
func (b *LeaseManager) RequestedRaftID(member string) (seat uint64, address string) {
	if p := b.newest(member); p != nil {
		return p.beat.RequestedRaftID, p.beat.Address
	}
	return 0, ""
}

// Probed notes what calling a silent member showed.
func (b *LeaseManager) RecordProbe(member, what string) { b.probes[member] = what }

func (b *LeaseManager) newest(member string) *process {
	all := b.processes[member]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

// Members gives all as they stand now.
func (b *LeaseManager) MemberStatuses(now float64, s *State) (list []MemberStatus) {
	for _, m := range s.Members() {
		list = append(list, b.status(now, m, s))
	}
	return list
}

func (b *LeaseManager) status(now float64, m Member, s *State) MemberStatus {
	x := MemberStatus{Member: m.Name, Address: m.Address, IsolationPolicy: m.IsolationPolicy, SinceContact: -1, LeaseRemaining: -1, State: MemberUnknown}
	p := b.newest(m.Name)
	if p != nil {
		x.ActiveVersion, x.ProgramVersion, x.PendingRestart, x.RunID, x.VoterState, x.SinceContact = p.beat.ActiveVersion, p.beat.ProgramVersion, p.beat.PendingRestart, p.beat.RunID, p.beat.VoterState, now-p.heard
		x.LeaseRemaining = max(p.until-now, -1)
	}
	silent := p == nil || now > p.heard+2*b.f.Beat
	switch {
	case m.Removed:
		x.State, x.Cause = MemberGone, "removed"
	case m.Excluded:
		x.State, x.Cause = MemberExcluded, "by an operator"
	case p == nil:
		x.Cause = "not heard of since the leader's election"
	case p.beat.Leaving:
		x.State, x.Cause = MemberGone, "it ended"
	case silent && now > p.until && p.beat.ActiveVersion < s.FencedVersion():
		x.State = MemberExcluded
	case silent && now > p.until:
		x.State = MemberGone
	case silent:
		x.State = MemberStraggler
	case p.beat.ActiveVersion < s.FencedVersion() && now > p.until:
		x.State = MemberExcluded
	case p.beat.ActiveVersion == s.NewestVersion():
		x.State = MemberCurrent
	case p.beat.RefusedVersion == 0 && now < p.since+2*b.f.Beat:
		x.State = MemberBehind
	default:
		x.State = MemberStraggler
	}
	switch {
	case x.Cause != "" || x.State == MemberCurrent || x.State == MemberBehind:
	case silent:
		if x.Cause = b.probes[m.Name]; x.Cause == "" {
			x.Cause = "silent"
		}
	case p.beat.RefusedVersion > 0:
		x.Cause = fmt.Sprintf("refuses version %d: %s", p.beat.RefusedVersion, p.beat.Problem)
	case p.beat.Problem != "":
		x.Cause = p.beat.Problem
	case p.beat.StalledFor > 0:
		x.Cause = fmt.Sprintf("stalled for %.0f ms", p.beat.StalledFor)
	default:
		x.Cause = "catching up"
	}
	if p != nil && p.beat.RefusedVersion == 0 && p.beat.StalledFor > 0 && x.State == MemberCurrent {
		x.Cause = fmt.Sprintf("stalled for %.0f ms before its last beat", p.beat.StalledFor)
	}
	return x
}
