// Package member is the part of a fleet's process that follows: it keeps up with the history, renews its lease, brings
// versions into force and tells what was done under each. Its decisions are those of internal/fleet. It must never decide
// where work goes, vote, or hold up the reducer: what that asks it answers from values that are there.
//
// This file owns its goroutines; the others the folder and the gate.
package fleetagent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetrpc"
)

// Options say which member this is.
type Options struct {
	Fleet           string
	Name            string
	Address         string
	IsolationPolicy fleet.IsolationPolicy
	Voters          []fleet.Voter     // as the operator's file has them; the history's go before
	Dir             string            // empty: it keeps nothing
	AddressMap      map[string]string // where addresses are found from here
	Timing          fleet.Timing
	ProgramVersion  string // its version
	RunID           string
	Seed            uint64
	Clock           Clock
	Voter           fleetrpc.VoterService // of this process; nil: none
	OwnsAddress     func() bool           // the member's address is this process's
	// Bring has a version brought into force. Applied is called once, from any goroutine, when nothing begun under an
	// older one is still to be written; what waits for a restart is said. An error: it cannot be.
	ApplyVersion func(v fleet.Version, applied func(waits string)) error
	// Check tells whether a version's text could be brought into force here.
	CheckVersion func(text []byte) error
}

// Times of a member.
const (
	pollWait  = 2 * time.Second // a voter is asked to wait so long for news
	pollMore  = time.Second     // and has so long more for its answer
	pauseMost = 300 * time.Millisecond
	saveEvery = time.Second
	askWithin = 4 * time.Second
)

// Member is one at work.
type Agent struct {
	o       Options
	ctx     context.Context
	stop    context.CancelFunc
	client  *fleetrpc.Client
	polls   *fleetrpc.Client // its end ends the poll that is under way
	gate    *LeaseGuard
	folder  *folder
	running sync.WaitGroup

	mu     sync.Mutex // of all below
	self   *fleet.LeaseHolder
	rnd    *rand.Rand
	leader string // address of the voter that last led
	told   uint64 // the newest version, by the last beat's answer
	runs   []fleet.RunRecord
	waits  string
	fault  string // why it cannot follow
	lease  string // why the council does not renew the lease
	said   string // of a version that it refuses
	part   []byte // of a snapshot that is being fetched
	upto   uint64
}

// Start takes up the folder and begins to follow. The first version that the folder knows is brought into force at once.
func Start(o Options, g *LeaseGuard) *Agent {
	m := &Agent{o: o, client: fleetrpc.NewClient(o.Fleet, o.AddressMap), polls: fleetrpc.NewClient(o.Fleet, o.AddressMap), gate: g, rnd: rand.New(rand.NewPCG(o.Seed, 0x666c6565))}
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.folder = openFolder(o.Dir)
	state, runs := m.folder.read(o.Fleet)
	m.runs = runs
	m.self = fleet.NewLeaseHolder(o.Timing, o.Name, o.ProgramVersion, o.IsolationPolicy, state, o.Clock.Now())
	m.mu.Lock()
	m.bring()
	m.open()
	m.mu.Unlock()
	m.running.Go(m.beats)
	m.running.Go(m.follow)
	m.running.Go(m.saves)
	return m
}

// Close ends it, once the dispatcher has ended: the council is told that nothing more will be done.
func (m *Agent) Close() {
	m.stop()
	m.polls.Close()
	m.running.Wait()
	m.gate.end()
	m.beat(true)
	m.save()
	m.folder.close()
	m.client.Close()
}

// Vote tells of the council of this process, which came up later.
func (m *Agent) SetVoter(c fleetrpc.VoterService) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.o.Voter = c
}

// Traffic counts its calls and the bytes of them.
func (m *Agent) Traffic() (calls, read, written uint64) {
	for _, c := range []*fleetrpc.Client{m.client, m.polls} {
		n, r, w := c.Traffic()
		calls, read, written = calls+n, read+r, written+w
	}
	return calls, read, written
}

// council is that of this process; nil: none.
func (m *Agent) council() fleetrpc.VoterService {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.o.Voter
}

// open sets the gate anew. The lock is held.
func (m *Agent) open() { m.gate.set(m.self.AcceptUntil(m.o.Clock.Now())) }

// bring has the newest version brought into force. The lock is held.
func (m *Agent) bring() {
	v, ok := m.self.NextVersion()
	if !ok {
		if n, why := m.self.RefusedVersion(); n > 0 && why != m.said {
			m.said = why
			slog.Error("fleet", "fleet", "refuses", "version", n, "err", why)
		}
		return
	}
	err := m.o.ApplyVersion(v, func(waits string) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.self.VersionApplied(v.Number)
		m.waits = waits
		m.bring() // a newer one may have come meanwhile
		m.open()
		slog.Info("fleet", "fleet", "in force", "version", v.Number, "waits_for_a_restart", waits)
	})
	if err != nil {
		m.self.RefuseVersion(v.Number, err)
		slog.Error("fleet", "fleet", "refuses", "version", v.Number, "err", err)
	}
}

// voters are the addresses at which the council may be found, drawn. The lock is held.
func (m *Agent) voters() (all []string) {
	seated := m.self.State().Voters()
	if len(seated) == 0 {
		seated = m.o.Voters
	}
	for _, v := range seated {
		all = append(all, v.Address)
	}
	m.rnd.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}

// sleep waits a span; false: it is over.
func (m *Agent) sleep(span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-m.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// pause is drawn, so that a fleet does not ask again in step.
func (m *Agent) pause() bool {
	m.mu.Lock()
	span := time.Duration((0.2 + 0.8*m.rnd.Float64()) * float64(pauseMost))
	m.mu.Unlock()
	return m.sleep(span)
}

// beats renews the lease.
func (m *Agent) beats() {
	every := m.o.Timing.Beat
	next := m.o.Clock.Now()
	for {
		if again := m.beat(false); again > 0 {
			next = m.o.Clock.Now() + again - every
		}
		next = max(next+every, m.o.Clock.Now())
		if !m.sleep(time.Duration((next - m.o.Clock.Now()) * 1e6)) {
			return
		}
		// A process that was stopped or suspended says so.
		if late := m.o.Clock.Now() - next; late > 2*every {
			m.mu.Lock()
			m.gate.stalled = late
			m.open()
			m.mu.Unlock()
			slog.Warn("fleet", "fleet", "stalled", "ms", late)
		}
	}
}

// message is the beat as it is now. The lock is held.
func (m *Agent) message(leaving bool) fleet.Heartbeat {
	s := m.self.State()
	b := fleet.Heartbeat{Fleet: m.o.Fleet, Format: fleet.FormatVersion, Member: m.o.Name, Address: m.o.Address, RunID: m.o.RunID, OwnsAddress: m.o.OwnsAddress(),
		IsolationPolicy: m.o.IsolationPolicy, ProgramVersion: m.o.ProgramVersion, LastSeq: s.LastSeq(), Digest: s.Digest(), ActiveVersion: m.self.ActiveVersion(), Leaving: leaving,
		StalledFor: m.gate.stalled, PendingRestart: m.waits, Lease: m.o.Timing.Lease, Drift: m.o.Timing.Drift}
	b.RefusedVersion, b.Problem = m.self.RefusedVersion()
	if m.fault != "" && b.RefusedVersion == 0 {
		b.Problem = m.fault
	}
	b.Runs = append(slices.Clone(m.runs), m.gate.record())
	if m.o.Voter != nil {
		b.VoterState, b.RequestedRaftID = m.o.Voter.Status()
	}
	return b
}

// beat tells the council once and takes its answer; it gives the time after which to do so again, if that is said.
func (m *Agent) beat(leaving bool) (again float64) {
	within := time.Duration(2 * m.o.Timing.Beat * 1e6)
	m.mu.Lock()
	b, tries := m.message(leaving), m.voters()
	trouble := m.leader == "" || b.StalledFor > 0 // the beat before failed, or this process stood still: its poll may hang
	if m.leader != "" {
		tries = append([]string{m.leader}, slices.DeleteFunc(tries, func(a string) bool { return a == m.leader })...)
	}
	m.mu.Unlock()
	began := time.Now()
	for _, addr := range tries {
		if time.Since(began) > within || m.ctx.Err() != nil && !leaving {
			break
		}
		sent := m.o.Clock.Now()
		a, err := m.client.Heartbeat(addr, b, false, within)
		if errors.Is(err, fleetrpc.ErrFleetMismatch) {
			m.cannot(err.Error())
		}
		if err != nil || a.NotLeader {
			continue
		}
		m.mu.Lock()
		m.leader = addr
		if a.LeaderAddress != "" {
			m.leader = a.LeaderAddress
		}
		m.self.HandleRenewal(sent, a.Renewal)
		m.gate.stalled = 0
		m.open()
		newest := m.told
		if m.told = a.Renewal.NewestVersion; trouble {
			newest = m.told
		}
		behind := newest > m.self.State().NewestVersion()
		m.mu.Unlock()
		if a.Renewal.Granted == 0 && a.Renewal.Reason != "" && a.Renewal.RetryAfter == 0 {
			m.cannot(a.Renewal.Reason)
		} else {
			m.cannot("")
		}
		// For a beat already, or after trouble: the poll that is under way may hang in a link that is cut, but else it is about to
		// bring what a lot was gathered for.
		if behind && !leaving {
			m.fetch(addr, 0)
		}
		return a.Renewal.RetryAfter
	}
	m.mu.Lock()
	m.leader = ""
	m.open()
	m.mu.Unlock()
	return 0
}

// cannot notes why the council does not renew the lease.
func (m *Agent) cannot(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if why != m.lease && why != "" {
		slog.Warn("fleet", "fleet", "no lease", "why", why)
	}
	m.lease = why
}

// follow keeps up with the history at any voter.
func (m *Agent) follow() {
	for m.ctx.Err() == nil {
		m.mu.Lock()
		all := m.voters()
		m.mu.Unlock()
		for _, addr := range all {
			for m.fetch(addr, pollWait) {
				if m.ctx.Err() != nil {
					return
				}
			}
			if !m.pause() {
				return
			}
		}
	}
}

// fetch asks a voter once for what comes after; false: another one is to be asked.
func (m *Agent) fetch(addr string, wait time.Duration) bool {
	m.mu.Lock()
	s := m.self.State()
	q := fleetrpc.EntriesRequest{AfterSeq: s.LastSeq(), Digest: s.Digest(), Wait: float64(wait) / 1e6, SnapshotOffset: len(m.part), SnapshotSeq: m.upto}
	m.mu.Unlock()
	b, err := m.polls.Entries(addr, q, wait+pollMore)
	if err != nil || b.Error != "" || b.Busy {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case b.Diverged:
		err = fmt.Errorf("%w at entry %d, by the word of %s", fleet.ErrDiverged, q.AfterSeq, addr)
	case b.SnapshotSize > 0:
		err = m.snapshot(b)
	default:
		err = m.self.ApplyEntries(b.Entries)
	}
	if err != nil {
		if m.fault != err.Error() {
			slog.Error("fleet", "fleet", "cannot follow", "err", err)
		}
		m.fault = err.Error()
		return false
	}
	m.fault = ""
	if len(b.Entries) > 0 || b.SnapshotSize > 0 && m.part == nil {
		m.bring()
		m.open()
	}
	return true
}

// snapshot takes a part of one; what is there already is kept where the link broke. The lock is held.
func (m *Agent) snapshot(b fleetrpc.EntriesReply) error {
	if b.SnapshotOffset == 0 || b.SnapshotSeq != m.upto || b.SnapshotOffset != len(m.part) {
		if b.SnapshotOffset != 0 {
			m.part, m.upto = nil, 0
			return nil
		}
		m.part = nil
	}
	m.part, m.upto = append(m.part, b.SnapshotPart...), b.SnapshotSeq
	if len(m.part) < b.SnapshotSize {
		return nil
	}
	text := m.part
	m.part, m.upto = nil, 0
	s, err := fleet.Restore(text)
	if err != nil {
		return err
	}
	return m.self.ReplaceState(s)
}

// saves keeps the record and the history in the folder.
func (m *Agent) saves() {
	for m.sleep(saveEvery) {
		m.save()
	}
}

func (m *Agent) save() {
	m.mu.Lock()
	s, runs := m.self.State(), append(slices.Clone(m.runs), m.gate.record())
	m.open() // what ends by time alone
	m.mu.Unlock()
	m.folder.write(s, runs)
}

// Ask answers an operator: by the council, at any voter that leads, or from what this member knows itself.
func (m *Agent) HandleAdmin(ctx context.Context, q fleetrpc.AdminRequest) (a fleetrpc.AdminReply) {
	m.mu.Lock()
	all := m.voters()
	m.mu.Unlock()
	if q.Command.Kind == fleet.PublishVersion {
		// This guards against a version that nobody can read: fenced, it would shut out the whole fleet.
		if err := m.o.CheckVersion(q.Command.Text); err != nil {
			a.Error, a.Local = fmt.Sprintf("%s cannot bring it into force: %v", m.o.Name, err), m.LocalStatus()
			return a
		}
	}
	a.NoLeader = true
	council := m.council()
	if council != nil {
		a = council.HandleAdmin(ctx, q)
	}
	for began := time.Now(); a.NoLeader && !q.NoForward && time.Since(began) < askWithin && m.ctx.Err() == nil; {
		for _, addr := range all {
			if addr == m.o.Address {
				if council != nil {
					a = council.HandleAdmin(ctx, q)
				}
			} else if at, err := m.client.Admin(addr, fleetrpc.AdminRequest{Command: q.Command, Audit: q.Audit, AuditVersion: q.AuditVersion, AuditSince: q.AuditSince, NoForward: true}, askWithin); err == nil {
				a = at
			}
			if !a.NoLeader {
				break
			}
		}
		if a.NoLeader && !m.pause() {
			break
		}
	}
	a.Local = m.LocalStatus()
	return a
}

// Local is what this member knows itself.
func (m *Agent) LocalStatus() *fleetrpc.LocalStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, now := m.self.State(), m.o.Clock.Now()
	l := &fleetrpc.LocalStatus{Member: m.o.Name, LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), ActiveVersion: m.self.ActiveVersion(),
		LeaseRemaining: max(m.self.LeaseExpiry()-now, -1), AcceptsWork: m.gate.Allowed(), Problem: cmp.Or(m.fault, m.lease), PendingRestart: m.waits}
	if n, why := m.self.RefusedVersion(); n > 0 {
		l.RefusedVersion = fmt.Sprintf("version %d: %s", n, why)
	}
	if m.o.Voter != nil {
		l.VoterState, _ = m.o.Voter.Status()
	}
	return l
}
