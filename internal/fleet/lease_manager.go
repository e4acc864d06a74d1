// This file implements the leader's side of the leases: heartbeats and leases of members, completion of
// fences, and the state of each member with its cause. The clock is the leader's own; it must continue
// through a suspension.

package fleet

import (
	"fmt"
	"math"
	"slices"
)

// process is one process of a member as the leader knows it.
type process struct {
	heartbeat       Heartbeat
	lastContact     float64 // when its last heartbeat arrived
	leaseExpiry     float64 // latest time until which it may hold a lease
	notifiedVersion uint64  // newest version that it was notified of
	notifiedAt      float64 // when it was notified of it
	startedAt       float64 // Unix time
}

// LeaseManager tracks the members for a leader, from its election on. It is not persisted.
type LeaseManager struct {
	timing          Timing
	electedAt       float64
	processes       map[string][]*process  // by member, oldest first
	refused         map[string][]*process  // by member: they get no lease as another process has the name, but may act
	fenceCompleteAt map[uint64]float64     // Unix time at which each complete fence was found to be complete
	probeResults    map[string]string      // results of connecting to silent members
	runs            map[string][]RunRecord // by member, as last reported
}

// isPast reports whether neither the process nor one that is started from its directory acts on versions before
// the given one. A member that stops when isolated gets no lease for an older version, whatever its directory
// holds.
func (p *process) isPast(version uint64) bool {
	hb := &p.heartbeat
	return hb.ActiveVersion >= version && (hb.IsolationPolicy == StopWhenIsolated || hb.SavedVersion >= version)
}

// NewLeaseManager returns the manager of a newly elected leader. The previous leader may have granted leases
// until now.
func NewLeaseManager(timing Timing, now float64) *LeaseManager {
	return &LeaseManager{timing: timing, electedAt: now, processes: map[string][]*process{}, refused: map[string][]*process{}, fenceCompleteAt: map[uint64]float64{},
		probeResults: map[string]string{}, runs: map[string][]RunRecord{}}
}

const (
	maxProcesses = 4  // retained processes of one member
	maxRefused   = 16 // retained processes of one member that another one keeps from its name
)

// HandleHeartbeat handles a heartbeat received at the given time. The caller has confirmed since then that
// this voter is the leader. If notAdmitted is true, the process has to be admitted (AdmitMember) first: the
// member is unknown, or the process is new to this leader and its run, address or isolation policy is not the
// recorded one.
func (lm *LeaseManager) HandleHeartbeat(receivedAt float64, hb Heartbeat, s *State) (r LeaseRenewal, notAdmitted bool) {
	r = LeaseRenewal{NewestVersion: s.NewestVersion(), FencedVersion: s.FencedVersion()}
	m, known := s.Member(hb.Member)
	switch {
	case hb.Fleet != s.Fleet():
		r.Reason = fmt.Sprintf("this is the fleet %q, not %q", s.Fleet(), hb.Fleet)
		return r, false
	case hb.Format != FormatVersion:
		r.Reason = fmt.Sprintf("the council speaks format %d, not %d", FormatVersion, hb.Format)
		return r, false
	case hb.Lease != lm.timing.Lease || hb.Drift != lm.timing.Drift:
		r.Reason = fmt.Sprintf("the council's lease is %g ms with a drift of %g, not %g with %g", lm.timing.Lease, lm.timing.Drift, hb.Lease, hb.Drift)
		return r, false
	case hb.LastSeq > s.LastSeq():
		r.Reason = fmt.Sprintf("it has %d entries, the council %d", hb.LastSeq, s.LastSeq())
		return r, false
	case !known:
		return r, true
	}
	processes := lm.processes[hb.Member]
	var p *process
	for _, x := range processes {
		if x.heartbeat.RunID == hb.RunID {
			p = x
		} else if x.heartbeat.Address != hb.Address && receivedAt < x.lastContact+lm.timing.Lease && !x.heartbeat.Leaving {
			r.Reason = fmt.Sprintf("the name is taken by the process at %s", x.heartbeat.Address)
			lm.recordRefused(receivedAt, hb)
			return r, false
		}
	}
	if p == nil {
		if !m.HasRun(hb.RunID) || m.IsolationPolicy != hb.IsolationPolicy || m.Address != hb.Address {
			return r, true // new leaders rely on the admitted run, address and isolation policy
		}
		p = &process{leaseExpiry: math.Inf(-1), startedAt: hb.startedAt()}
		// Keep the order of process starts: a new leader may hear from a newer process first.
		at := slices.IndexFunc(processes, func(x *process) bool { return x.startedAt > p.startedAt })
		if at < 0 {
			at = len(processes)
		}
		// the next process takes over the lease expiry of the one dropped
		if processes = slices.Insert(processes, at, p); len(processes) > maxProcesses {
			processes[1].leaseExpiry = max(processes[0].leaseExpiry, processes[1].leaseExpiry)
			processes = slices.Delete(processes, 0, 1)
		}
		lm.processes[hb.Member] = processes
	}
	p.heartbeat, p.lastContact = hb, receivedAt
	p.heartbeat.Runs = nil
	lm.forgetRefused(hb.Member, hb.RunID)
	delete(lm.probeResults, hb.Member)
	lm.storeRuns(hb)
	if p.notifiedVersion < r.NewestVersion {
		p.notifiedVersion, p.notifiedAt = r.NewestVersion, receivedAt
	}
	switch {
	case hb.Leaving:
	case m.Removed:
		r.Excluded, r.Reason = true, "removed"
	case m.Excluded:
		r.Excluded, r.Reason = true, "shut out"
	case hb.ActiveVersion < r.FencedVersion:
		r.Reason = fmt.Sprintf("version %d is fenced, %d is in force there", r.FencedVersion, hb.ActiveVersion)
	default:
		r.Granted = lm.timing.Lease
		p.leaseExpiry = max(p.leaseExpiry, receivedAt+lm.timing.Lease*(1+lm.timing.Drift))
	}
	return r, false
}

// startedAt returns the Unix time at which the process started, 0 if it does not say.
func (hb *Heartbeat) startedAt() float64 {
	if k := len(hb.Runs) - 1; k >= 0 {
		return hb.Runs[k].StartedAt
	}
	return 0
}

// recordRefused records a process that gets no lease because another one has the name. It may act alone all the
// same, so fences wait for it.
func (lm *LeaseManager) recordRefused(receivedAt float64, hb Heartbeat) {
	lm.forgetRefused(hb.Member, hb.RunID)
	if hb.Leaving {
		return
	}
	p := &process{heartbeat: hb, lastContact: receivedAt, leaseExpiry: math.Inf(-1), startedAt: hb.startedAt()}
	p.heartbeat.Runs = nil
	refused := append(lm.refused[hb.Member], p)
	if len(refused) > maxRefused {
		refused = refused[1:]
	}
	lm.refused[hb.Member] = refused
}

// forgetRefused removes the record of a process that has ended, or that has the name now.
func (lm *LeaseManager) forgetRefused(member, runID string) {
	lm.refused[member] = slices.DeleteFunc(slices.Clone(lm.refused[member]), func(p *process) bool { return p.heartbeat.RunID == runID })
}

// storeRuns stores the run records that a member reports. A later report on a run replaces the earlier one.
func (lm *LeaseManager) storeRuns(hb Heartbeat) {
	runs := lm.runs[hb.Member]
	for _, run := range hb.Runs {
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
	if over := len(runs) - retainedRuns - maxProcesses; over > 0 {
		runs = slices.Delete(runs, 0, over)
	}
	lm.runs[hb.Member] = runs
}

// FenceWait is a member that a fence waits for.
type FenceWait struct {
	Member    string  `cbor:"1,keyasint" json:"member"`
	Reason    string  `cbor:"2,keyasint" json:"why"`
	Remaining float64 `cbor:"3,keyasint" json:"ms"` // milliseconds until the wait ends by itself; below 0: it does not
}

// fenceWaits returns the members that the fence of a version waits for.
func (lm *LeaseManager) fenceWaits(now float64, version uint64, s *State) (all []FenceWait) {
	for _, m := range s.Members() {
		if m.Removed {
			continue
		}
		if w, waiting := lm.fenceWait(now, version, m); waiting {
			w.Member = m.Name
			all = append(all, w)
		}
	}
	return all
}

func (lm *LeaseManager) fenceWait(now float64, version uint64, m Member) (FenceWait, bool) {
	waitForLease := func(expiry float64, reason string) (FenceWait, bool) {
		if now > expiry {
			return FenceWait{}, false
		}
		return FenceWait{Reason: reason, Remaining: expiry - now}, true
	}
	oldLeaseExpiry := lm.electedAt + lm.timing.Lease*(1+lm.timing.Drift)
	processes := lm.processes[m.Name]
	if w, waiting := lm.refusedWait(version, m); waiting {
		return w, true
	}
	// A process unknown to this leader may be alive, unless a known process owns the address.
	if !slices.ContainsFunc(processes, func(p *process) bool { return p.heartbeat.OwnsAddress }) {
		if m.IsolationPolicy != StopWhenIsolated && len(processes) == 0 {
			return FenceWait{Reason: "not heard of since the leader's election, and it serves alone", Remaining: -1}, true
		}
		if w, waiting := waitForLease(oldLeaseExpiry, "a lease of before the leader's election"); waiting {
			return w, true
		}
	}
	for k, p := range processes {
		switch {
		case p.isPast(version), p.heartbeat.Leaving && (p.heartbeat.IsolationPolicy == StopWhenIsolated || k < len(processes)-1):
			continue
		case p.heartbeat.Leaving: // the next process begins with what is in its directory
			return FenceWait{Reason: fmt.Sprintf("it ended with version %d in its folder, and it serves alone", p.heartbeat.SavedVersion), Remaining: -1}, true
		// a newer process owns the address: p is dead, or hands off no more work
		case slices.ContainsFunc(processes[k+1:], func(x *process) bool { return x.heartbeat.OwnsAddress }):
			if w, waiting := waitForLease(p.leaseExpiry, "the lease of a process before"); waiting {
				return w, true
			}
		case p.heartbeat.ActiveVersion >= version:
			return FenceWait{Reason: fmt.Sprintf("version %d is in its folder, and it serves alone", p.heartbeat.SavedVersion), Remaining: -1}, true
		case p.heartbeat.IsolationPolicy != StopWhenIsolated:
			return FenceWait{Reason: fmt.Sprintf("version %d is in force there, and it serves alone", p.heartbeat.ActiveVersion), Remaining: -1}, true
		default:
			if w, waiting := waitForLease(max(p.leaseExpiry, oldLeaseExpiry), fmt.Sprintf("its lease, with version %d in force", p.heartbeat.ActiveVersion)); waiting {
				return w, true
			}
		}
	}
	return FenceWait{}, false
}

// refusedWait returns whether a fence waits for a process of the member that has no lease and may act alone: one
// that another process keeps from its name, or a newer one that only that process has told of.
func (lm *LeaseManager) refusedWait(version uint64, m Member) (FenceWait, bool) {
	if m.IsolationPolicy == StopWhenIsolated {
		return FenceWait{}, false
	}
	newest := lm.newestProcess(m.Name)
	for _, p := range lm.refused[m.Name] {
		// A later process that owns the address: p is dead.
		dead := newest != nil && newest.heartbeat.OwnsAddress && newest.startedAt > p.startedAt
		if !dead && !p.isPast(version) {
			return FenceWait{Reason: fmt.Sprintf("its process at %s has version %d in force and %d in its folder, and serves alone", p.heartbeat.Address,
				p.heartbeat.ActiveVersion, p.heartbeat.SavedVersion), Remaining: -1}, true
		}
	}
	if newest != nil && newest.heartbeat.HasSuccessor && len(lm.refused[m.Name]) == 0 {
		return FenceWait{Reason: "a newer process of it was not heard of yet, and it serves alone", Remaining: -1}, true
	}
	return FenceWait{}, false
}

// FenceStatus returns the Unix time since which no member acts on versions before the given one, or the
// members that the fence waits for. Once complete, a fence stays complete.
func (lm *LeaseManager) FenceStatus(now, unixNow float64, version uint64, s *State) (completeAt float64, waits []FenceWait) {
	if at, ok := lm.fenceCompleteAt[version]; ok {
		return at, nil
	}
	if waits = lm.fenceWaits(now, version, s); len(waits) > 0 {
		return 0, waits
	}
	lm.fenceCompleteAt[version] = unixNow
	return unixNow, nil
}

// MemberState is the state of a member relative to the newest version.
type MemberState string

// States of members.
const (
	MemberCurrent MemberState = "current"
	MemberBehind  MemberState = "behind" // notified of the newest version less than two heartbeats ago
	// notified longer ago, refusing a version, or silent with an unexpired lease; MemberStatus.Cause says why
	MemberStraggler MemberState = "straggler"
	MemberExcluded  MemberState = "shut out" // by an operator, or behind a fence with its lease expired
	MemberGone      MemberState = "gone"     // silent and its lease expired, or it was removed or its process ended
	MemberUnknown   MemberState = "unknown"  // no heartbeat since the leader's election
)

// MemberStatus is a member's status as the leader sees it.
type MemberStatus struct {
	Member        string      `cbor:"1,keyasint" json:"member"`
	Address       string      `cbor:"2,keyasint" json:"address"`
	State         MemberState `cbor:"3,keyasint" json:"standing"`
	ActiveVersion uint64      `cbor:"4,keyasint" json:"in_force"`
	Cause         string      `cbor:"5,keyasint,omitempty" json:"cause,omitempty"`
	// below 0: no contact since the leader's election
	SinceContact    float64         `cbor:"6,keyasint" json:"heard_ms_ago"`
	LeaseRemaining  float64         `cbor:"7,keyasint" json:"lease_ms"` // below 0: no lease
	IsolationPolicy IsolationPolicy `cbor:"8,keyasint" json:"alone"`
	ProgramVersion  string          `cbor:"9,keyasint,omitempty" json:"program,omitempty"`
	PendingRestart  string          `cbor:"10,keyasint,omitempty" json:"waits_for_a_restart,omitempty"`
	RunID           string          `cbor:"11,keyasint,omitempty" json:"run,omitempty"`
	VoterStatus     string          `cbor:"12,keyasint,omitempty" json:"voter,omitempty"`
}

// SilentMembers returns the members whose heartbeats are overdue, so that the leader probes them.
func (lm *LeaseManager) SilentMembers(now float64, s *State) (all []Member) {
	for _, m := range s.Members() {
		if p := lm.newestProcess(m.Name); !m.Removed && (p == nil || !p.heartbeat.Leaving && now > p.lastContact+2*lm.timing.Beat) {
			all = append(all, m)
		}
	}
	return all
}

// RequestedRaftID returns the raft ID that a member requests because its voter's directory was lost; 0: none.
func (lm *LeaseManager) RequestedRaftID(member string) (raftID uint64, address string) {
	if p := lm.newestProcess(member); p != nil {
		return p.heartbeat.RequestedRaftID, p.heartbeat.Address
	}
	return 0, ""
}

// RecordProbe records the result of probing a silent member.
func (lm *LeaseManager) RecordProbe(member, result string) { lm.probeResults[member] = result }

func (lm *LeaseManager) newestProcess(member string) *process {
	processes := lm.processes[member]
	if len(processes) == 0 {
		return nil
	}
	return processes[len(processes)-1]
}

// MemberStatuses returns the status of every member.
func (lm *LeaseManager) MemberStatuses(now float64, s *State) (list []MemberStatus) {
	for _, m := range s.Members() {
		list = append(list, lm.memberStatus(now, m, s))
	}
	return list
}

func (lm *LeaseManager) memberStatus(now float64, m Member, s *State) MemberStatus {
	st := MemberStatus{Member: m.Name, Address: m.Address, IsolationPolicy: m.IsolationPolicy, SinceContact: -1, LeaseRemaining: -1, State: MemberUnknown}
	p := lm.newestProcess(m.Name)
	if p != nil {
		st.ActiveVersion, st.ProgramVersion, st.PendingRestart, st.RunID, st.VoterStatus, st.SinceContact = p.heartbeat.ActiveVersion, p.heartbeat.ProgramVersion, p.heartbeat.PendingRestart, p.heartbeat.RunID, p.heartbeat.VoterStatus, now-p.lastContact
		st.LeaseRemaining = max(p.leaseExpiry-now, -1)
	}
	silent := p == nil || now > p.lastContact+2*lm.timing.Beat
	switch {
	case m.Removed:
		st.State, st.Cause = MemberGone, "removed"
	case m.Excluded:
		st.State, st.Cause = MemberExcluded, "by an operator"
	case p == nil:
		st.Cause = "not heard of since the leader's election"
	case p.heartbeat.Leaving:
		st.State, st.Cause = MemberGone, "it ended"
	case silent && now > p.leaseExpiry && p.heartbeat.ActiveVersion < s.FencedVersion():
		st.State = MemberExcluded
	case silent && now > p.leaseExpiry:
		st.State = MemberGone
	case silent:
		st.State = MemberStraggler
	case p.heartbeat.ActiveVersion < s.FencedVersion() && now > p.leaseExpiry:
		st.State = MemberExcluded
	case p.heartbeat.ActiveVersion == s.NewestVersion():
		st.State = MemberCurrent
	case p.heartbeat.RefusedVersion == 0 && now < p.notifiedAt+2*lm.timing.Beat:
		st.State = MemberBehind
	default:
		st.State = MemberStraggler
	}
	switch {
	case st.Cause != "" || st.State == MemberCurrent || st.State == MemberBehind:
	case silent:
		if st.Cause = lm.probeResults[m.Name]; st.Cause == "" {
			st.Cause = "silent"
		}
	case p.heartbeat.RefusedVersion > 0:
		st.Cause = fmt.Sprintf("refuses version %d: %s", p.heartbeat.RefusedVersion, p.heartbeat.Problem)
	case p.heartbeat.Problem != "":
		st.Cause = p.heartbeat.Problem
	case p.heartbeat.StalledFor > 0:
		st.Cause = fmt.Sprintf("stalled for %.0f ms", p.heartbeat.StalledFor)
	default:
		st.Cause = "catching up"
	}
	if p != nil && p.heartbeat.RefusedVersion == 0 && p.heartbeat.StalledFor > 0 && st.State == MemberCurrent {
		st.Cause = fmt.Sprintf("stalled for %.0f ms before its last beat", p.heartbeat.StalledFor)
	}
	return st
}
