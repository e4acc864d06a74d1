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
	beat  Beat
	heard float64 // when its last beat came
	until float64 // until when it may have a lease
	told  uint64  // the newest version that it was told of,
	since float64 // and when
	began float64 // Unix
}

// Book is a leader's, from its election on.
type Book struct {
	f         Figures
	elected   float64
	processes map[string][]*process // of each member, oldest first
	fences    map[uint64]float64    // when those that are complete were seen to be, Unix
	probes    map[string]string     // what calling a silent member showed
	runs      map[string][]Run      // as last reported
}

// NewBook begins with an election: whoever led before may have granted leases until then.
func NewBook(f Figures, now float64) *Book {
	return &Book{f: f, elected: now, processes: map[string][]*process{}, fences: map[uint64]float64{},
		probes: map[string]string{}, runs: map[string][]Run{}}
}

const mostProcesses = 4 // of one member that are remembered

// Beat takes one that came at the given time; since then it was confirmed that this voter leads. Unknown: the member
// has to be admitted first.
func (b *Book) Beat(received float64, t Beat, s *State) (r Renewal, unknown bool) {
	r = Renewal{Newest: s.Newest(), Fenced: s.Fenced()}
	m, known := s.Member(t.Member)
	switch {
	case t.Fleet != s.Fleet():
		r.Why = fmt.Sprintf("this is the fleet %q, not %q", s.Fleet(), t.Fleet)
		return r, false
	case t.Format != Format:
		r.Why = fmt.Sprintf("the council speaks format %d, not %d", Format, t.Format)
		return r, false
	case t.Lease != b.f.Lease || t.Drift != b.f.Drift:
		r.Why = fmt.Sprintf("the council's lease is %g ms with a drift of %g, not %g with %g", b.f.Lease, b.f.Drift, t.Lease, t.Drift)
		return r, false
	case t.N > s.N():
		r.Why = fmt.Sprintf("it has %d entries, the council %d", t.N, s.N())
		return r, false
	case !known:
		return r, true
	}
	all := b.processes[t.Member]
	var p *process
	for _, x := range all {
		if x.beat.Run == t.Run {
			p = x
		} else if x.beat.Address != t.Address && received < x.heard+b.f.Lease && !x.beat.Leaving {
			r.Why = fmt.Sprintf("the name is taken by the process at %s", x.beat.Address)
			return r, false
		}
	}
	if p == nil {
		if !m.Has(t.Run) || m.Alone != t.Alone || m.Address != t.Address {
			return r, true // what new leaders rest on would not be true any longer
		}
		p = &process{until: math.Inf(-1)}
		if k := len(t.Runs) - 1; k >= 0 {
			p.began = t.Runs[k].Began
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
	if p.told < r.Newest {
		p.told, p.since = r.Newest, received
	}
	switch {
	case t.Leaving:
	case m.Removed:
		r.Shut, r.Why = true, "removed"
	case m.Shut:
		r.Shut, r.Why = true, "shut out"
	case t.InForce < r.Fenced:
		r.Why = fmt.Sprintf("version %d is fenced, %d is in force there", r.Fenced, t.InForce)
	default:
		r.Granted = b.f.Lease
		p.until = max(p.until, received+b.f.Lease*(1+b.f.Drift))
	}
	return r, false
}

// report keeps what a member tells of its runs; a later word on a run takes the place of the one before.
func (b *Book) report(t Beat) {
	runs := b.runs[t.Member]
	for _, run := range t.Runs {
		if k := slices.IndexFunc(runs, func(r Run) bool { return r.ID == run.ID }); k >= 0 {
			if run.Saved >= runs[k].Saved {
				runs[k] = run
			}
			continue
		}
		runs = append(runs, run)
	}
	slices.SortStableFunc(runs, func(x, y Run) int {
		switch {
		case x.Began < y.Began:
			return -1
		case x.Began > y.Began:
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
type Wait struct {
	Member string  `cbor:"1,keyasint" json:"member"`
	Why    string  `cbor:"2,keyasint" json:"why"`
	Until  float64 `cbor:"3,keyasint" json:"ms"` // it ends by itself after so long; below 0: it does not
}

// waits tells whom the fence of a version waits for.
func (b *Book) waits(now float64, version uint64, s *State) (all []Wait) {
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

func (b *Book) waitsFor(now float64, version uint64, m Member) (Wait, bool) {
	lease := func(until float64, why string) (Wait, bool) {
		if now > until {
			return Wait{}, false
		}
		return Wait{Why: why, Until: until - now}, true
	}
	before := b.elected + b.f.Lease*(1+b.f.Drift)
	all := b.processes[m.Name]
	// A process that this leader has not heard of may live, unless one that holds the address is known.
	if !slices.ContainsFunc(all, func(p *process) bool { return p.beat.Bound }) {
		if m.Alone != Stop && len(all) == 0 {
			return Wait{Why: "not heard of since the leader's election, and it serves alone", Until: -1}, true
		}
		if w, must := lease(before, "a lease of before the leader's election"); must {
			return w, true
		}
	}
	for k, p := range all {
		switch {
		case p.beat.InForce >= version || p.beat.Leaving:
			continue
		case slices.ContainsFunc(all[k+1:], func(x *process) bool { return x.beat.Bound }): // it is dead, or hands off nothing more
			if w, must := lease(p.until, "the lease of a process before"); must {
				return w, true
			}
		case p.beat.Alone != Stop:
			return Wait{Why: fmt.Sprintf("version %d is in force there, and it serves alone", p.beat.InForce), Until: -1}, true
		default:
			if w, must := lease(max(p.until, before), fmt.Sprintf("its lease, with version %d in force", p.beat.InForce)); must {
				return w, true
			}
		}
	}
	return Wait{}, false
}

// Fence tells since when nobody acts on versions before the given one, by the Unix time handed in; or whom that waits
// for. What it has told once stays true.
func (b *Book) Fence(now, unix float64, version uint64, s *State) (complete float64, waits []Wait) {
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
type Standing string

// The standings.
const (
	Current   Standing = "current"
	Behind    Standing = "behind"    // told of the newest less than two beats ago
	Straggler Standing = "straggler" // longer ago, or silent with a lease; its cause is said
	Shut      Standing = "shut out"
	Gone      Standing = "gone" // silent, its lease over
	Unknown   Standing = "unknown"
)

// Status is a member as the leader sees it.
type Status struct {
	Member   string   `cbor:"1,keyasint" json:"member"`
	Address  string   `cbor:"2,keyasint" json:"address"`
	Standing Standing `cbor:"3,keyasint" json:"standing"`
	InForce  uint64   `cbor:"4,keyasint" json:"in_force"`
	Cause    string   `cbor:"5,keyasint,omitempty" json:"cause,omitempty"`
	Heard    float64  `cbor:"6,keyasint" json:"heard_ms_ago"` // below 0: not since the leader's election
	Lease    float64  `cbor:"7,keyasint" json:"lease_ms"`     // left; below 0: none
	Alone    Alone    `cbor:"8,keyasint" json:"alone"`
	Program  string   `cbor:"9,keyasint,omitempty" json:"program,omitempty"`
	Waits    string   `cbor:"10,keyasint,omitempty" json:"waits_for_a_restart,omitempty"`
	Run      string   `cbor:"11,keyasint,omitempty" json:"run,omitempty"`
	Voter    string   `cbor:"12,keyasint,omitempty" json:"voter,omitempty"`
}

// Silent lists members to call: they should have been heard of.
func (b *Book) Silent(now float64, s *State) (all []Member) {
	for _, m := range s.Members() {
		if p := b.newest(m.Name); !m.Removed && (p == nil || !p.beat.Leaving && now > p.heard+2*b.f.Beat) {
			all = append(all, m)
		}
	}
	return all
}

// Seat is the one that a member asks for that has lost its voter's folder; 0: none.
func (b *Book) Seat(member string) (seat uint64, address string) {
	if p := b.newest(member); p != nil {
		return p.beat.Seat, p.beat.Address
	}
	return 0, ""
}

// Probed notes what calling a silent member showed.
func (b *Book) Probed(member, what string) { b.probes[member] = what }

func (b *Book) newest(member string) *process {
	all := b.processes[member]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

// Members gives all as they stand now.
func (b *Book) Members(now float64, s *State) (list []Status) {
	for _, m := range s.Members() {
		list = append(list, b.status(now, m, s))
	}
	return list
}

func (b *Book) status(now float64, m Member, s *State) Status {
	x := Status{Member: m.Name, Address: m.Address, Alone: m.Alone, Heard: -1, Lease: -1, Standing: Unknown}
	p := b.newest(m.Name)
	if p != nil {
		x.InForce, x.Program, x.Waits, x.Run, x.Voter, x.Heard = p.beat.InForce, p.beat.Program, p.beat.Waits, p.beat.Run, p.beat.Voter, now-p.heard
		x.Lease = max(p.until-now, -1)
	}
	silent := p == nil || now > p.heard+2*b.f.Beat
	switch {
	case m.Removed:
		x.Standing, x.Cause = Gone, "removed"
	case m.Shut:
		x.Standing, x.Cause = Shut, "by an operator"
	case p == nil:
		x.Cause = "not heard of since the leader's election"
	case p.beat.Leaving:
		x.Standing, x.Cause = Gone, "it ended"
	case silent && now > p.until && p.beat.InForce < s.Fenced():
		x.Standing = Shut
	case silent && now > p.until:
		x.Standing = Gone
	case silent:
		x.Standing = Straggler
	case p.beat.InForce < s.Fenced() && now > p.until:
		x.Standing = Shut
	case p.beat.InForce == s.Newest():
		x.Standing = Current
	case p.beat.Refuses == 0 && now < p.since+2*b.f.Beat:
		x.Standing = Behind
	default:
		x.Standing = Straggler
	}
	switch {
	case x.Cause != "" || x.Standing == Current || x.Standing == Behind:
	case silent:
		if x.Cause = b.probes[m.Name]; x.Cause == "" {
			x.Cause = "silent"
		}
	case p.beat.Refuses > 0:
		x.Cause = fmt.Sprintf("refuses version %d: %s", p.beat.Refuses, p.beat.Why)
	case p.beat.Why != "":
		x.Cause = p.beat.Why
	case p.beat.Stalled > 0:
		x.Cause = fmt.Sprintf("stalled for %.0f ms", p.beat.Stalled)
	default:
		x.Cause = "catching up"
	}
	if p != nil && p.beat.Refuses == 0 && p.beat.Stalled > 0 && x.Standing == Current {
		x.Cause = fmt.Sprintf("stalled for %.0f ms before its last beat", p.beat.Stalled)
	}
	return x
}
