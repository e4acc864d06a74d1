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
	pollWait     = 2 * time.Second // a voter is asked to wait so long for news
	pollGrace    = time.Second     // and has so long more for its answer
	maxPause     = 300 * time.Millisecond
	saveInterval = time.Second
	adminTimeout = 4 * time.Second
)

// Member is one at work.
type Agent struct {
	opts       Options
	ctx        context.Context
	cancel     context.CancelFunc
	client     *fleetrpc.Client
	pollClient *fleetrpc.Client // its end ends the poll that is under way
	guard      *LeaseGuard
	dir        *stateDir
	wg         sync.WaitGroup

	mu              sync.Mutex // of all below
	holder          *fleet.LeaseHolder
	rng             *rand.Rand
	leaderAddr      string // address of the voter that last led
	notifiedVersion uint64 // the newest version, by the last beat's answer
	runs            []fleet.RunRecord
	pendingRestart  string
	followError     string // why it cannot follow
	leaseRefusal    string // why the council does not renew the lease
	loggedRefusal   string // of a version that it refuses
	snapshotPart    []byte // of a snapshot that is being fetched
	snapshotSeq     uint64
}

// Start takes up the folder and begins to follow. The first version that the folder knows is brought into force at once.
func Start(opts Options, guard *LeaseGuard) *Agent {
	a := &Agent{opts: opts, client: fleetrpc.NewClient(opts.Fleet, opts.AddressMap), pollClient: fleetrpc.NewClient(opts.Fleet, opts.AddressMap), guard: guard, rng: rand.New(rand.NewPCG(opts.Seed, 0x666c6565))}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.dir = openStateDir(opts.Dir)
	state, runs := a.dir.read(opts.Fleet)
	a.runs = runs
	a.holder = fleet.NewLeaseHolder(opts.Timing, opts.Name, opts.ProgramVersion, opts.IsolationPolicy, state, opts.Clock.Now())
	a.mu.Lock()
	a.applyNewest()
	a.updateGuard()
	a.mu.Unlock()
	a.wg.Go(a.heartbeatLoop)
	a.wg.Go(a.followLoop)
	a.wg.Go(a.saveLoop)
	return a
}

// Close ends it, once the dispatcher has ended: the council is told that nothing more will be done.
func (a *Agent) Close() {
	a.cancel()
	a.pollClient.Close()
	a.wg.Wait()
	a.guard.close()
	a.sendHeartbeat(true)
	a.save()
	a.dir.close()
	a.client.Close()
}

// Vote tells of the council of this process, which came up later.
func (a *Agent) SetVoter(voter fleetrpc.VoterService) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opts.Voter = voter
}

// Traffic counts its calls and the bytes of them.
func (a *Agent) Traffic() (calls, read, written uint64) {
	for _, c := range []*fleetrpc.Client{a.client, a.pollClient} {
		n, r, w := c.Traffic()
		calls, read, written = calls+n, read+r, written+w
	}
	return calls, read, written
}

// council is that of this process; nil: none.
func (a *Agent) voter() fleetrpc.VoterService {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opts.Voter
}

// open sets the gate anew. The lock is held.
func (a *Agent) updateGuard() { a.guard.setOpenUntil(a.holder.AcceptUntil(a.opts.Clock.Now())) }

// bring has the newest version brought into force. The lock is held.
func (a *Agent) applyNewest() {
	v, ok := a.holder.NextVersion()
	if !ok {
		if refused, reason := a.holder.RefusedVersion(); refused > 0 && reason != a.loggedRefusal {
			a.loggedRefusal = reason
			slog.Error("fleet", "fleet", "refuses", "version", refused, "err", reason)
		}
		return
	}
	err := a.opts.ApplyVersion(v, func(pendingRestart string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holder.VersionApplied(v.Number)
		a.pendingRestart = pendingRestart
		a.applyNewest() // a newer one may have come meanwhile
		a.updateGuard()
		slog.Info("fleet", "fleet", "in force", "version", v.Number, "waits_for_a_restart", pendingRestart)
	})
	if err != nil {
		a.holder.RefuseVersion(v.Number, err)
		slog.Error("fleet", "fleet", "refuses", "version", v.Number, "err", err)
	}
}

// voters are the addresses at which the council may be found, drawn. The lock is held.
func (a *Agent) voterAddresses() (addrs []string) {
	voters := a.holder.State().Voters()
	if len(voters) == 0 {
		voters = a.opts.Voters
	}
	for _, v := range voters {
		addrs = append(addrs, v.Address)
	}
	a.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// sleep waits a span; false: it is over.
func (a *Agent) sleep(duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-a.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// pause is drawn, so that a fleet does not ask again in step.
func (a *Agent) randomPause() bool {
	a.mu.Lock()
	duration := time.Duration((0.2 + 0.8*a.rng.Float64()) * float64(maxPause))
	a.mu.Unlock()
	return a.sleep(duration)
}

// beats renews the lease.
func (a *Agent) heartbeatLoop() {
	interval := a.opts.Timing.Beat
	next := a.opts.Clock.Now()
	for {
		if retryAfter := a.sendHeartbeat(false); retryAfter > 0 {
			next = a.opts.Clock.Now() + retryAfter - interval
		}
		next = max(next+interval, a.opts.Clock.Now())
		if !a.sleep(time.Duration((next - a.opts.Clock.Now()) * 1e6)) {
			return
		}
		// A process that was stopped or suspended says so.
		if delay := a.opts.Clock.Now() - next; delay > 2*interval {
			a.mu.Lock()
			a.guard.stalledFor = delay
			a.updateGuard()
			a.mu.Unlock()
			slog.Warn("fleet", "fleet", "stalled", "ms", delay)
		}
	}
}

// message is the beat as it is now. The lock is held.
func (a *Agent) heartbeat(leaving bool) fleet.Heartbeat {
	s := a.holder.State()
	b := fleet.Heartbeat{Fleet: a.opts.Fleet, Format: fleet.FormatVersion, Member: a.opts.Name, Address: a.opts.Address, RunID: a.opts.RunID, OwnsAddress: a.opts.OwnsAddress(),
		IsolationPolicy: a.opts.IsolationPolicy, ProgramVersion: a.opts.ProgramVersion, LastSeq: s.LastSeq(), Digest: s.Digest(), ActiveVersion: a.holder.ActiveVersion(), Leaving: leaving,
		StalledFor: a.guard.stalledFor, PendingRestart: a.pendingRestart, Lease: a.opts.Timing.Lease, Drift: a.opts.Timing.Drift}
	b.RefusedVersion, b.Problem = a.holder.RefusedVersion()
	if a.followError != "" && b.RefusedVersion == 0 {
		b.Problem = a.followError
	}
	b.Runs = append(slices.Clone(a.runs), a.guard.runRecord())
	if a.opts.Voter != nil {
		b.VoterState, b.RequestedRaftID = a.opts.Voter.Status()
	}
	return b
}

// beat tells the council once and takes its answer; it gives the time after which to do so again, if that is said.
func (a *Agent) sendHeartbeat(leaving bool) (retryAfter float64) {
	timeout := time.Duration(2 * a.opts.Timing.Beat * 1e6)
	a.mu.Lock()
	hb, addrs := a.heartbeat(leaving), a.voterAddresses()
	pollMayHang := a.leaderAddr == "" || hb.StalledFor > 0 // the beat before failed, or this process stood still: its poll may hang
	if a.leaderAddr != "" {
		addrs = append([]string{a.leaderAddr}, slices.DeleteFunc(addrs, func(reply string) bool { return reply == a.leaderAddr })...)
	}
	a.mu.Unlock()
	began := time.Now()
	for _, addr := range addrs {
		if time.Since(began) > timeout || a.ctx.Err() != nil && !leaving {
			break
		}
		sent := a.opts.Clock.Now()
		reply, err := a.client.Heartbeat(addr, hb, false, timeout)
		if errors.Is(err, fleetrpc.ErrFleetMismatch) {
			a.setLeaseRefusal(err.Error())
		}
		if err != nil || reply.NotLeader {
			continue
		}
		a.mu.Lock()
		a.leaderAddr = addr
		if reply.LeaderAddress != "" {
			a.leaderAddr = reply.LeaderAddress
		}
		a.holder.HandleRenewal(sent, reply.Renewal)
		a.guard.stalledFor = 0
		a.updateGuard()
		newest := a.notifiedVersion
		if a.notifiedVersion = reply.Renewal.NewestVersion; pollMayHang {
			newest = a.notifiedVersion
		}
		behind := newest > a.holder.State().NewestVersion()
		a.mu.Unlock()
		if reply.Renewal.Granted == 0 && reply.Renewal.Reason != "" && reply.Renewal.RetryAfter == 0 {
			a.setLeaseRefusal(reply.Renewal.Reason)
		} else {
			a.setLeaseRefusal("")
		}
		// For a beat already, or after trouble: the poll that is under way may hang in a link that is cut, but else it is about to
		// bring what a lot was gathered for.
		if behind && !leaving {
			a.fetchEntries(addr, 0)
		}
		return reply.Renewal.RetryAfter
	}
	a.mu.Lock()
	a.leaderAddr = ""
	a.updateGuard()
	a.mu.Unlock()
	return 0
}

// cannot notes why the council does not renew the lease.
func (a *Agent) setLeaseRefusal(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason != a.leaseRefusal && reason != "" {
		slog.Warn("fleet", "fleet", "no lease", "why", reason)
	}
	a.leaseRefusal = reason
}

// follow keeps up with the history at any voter.
func (a *Agent) followLoop() {
	for a.ctx.Err() == nil {
		a.mu.Lock()
		addrs := a.voterAddresses()
		a.mu.Unlock()
		for _, addr := range addrs {
			for a.fetchEntries(addr, pollWait) {
				if a.ctx.Err() != nil {
					return
				}
			}
			if !a.randomPause() {
				return
			}
		}
	}
}

// fetch asks a voter once for what comes after; false: another one is to be asked.
func (a *Agent) fetchEntries(addr string, wait time.Duration) bool {
	a.mu.Lock()
	s := a.holder.State()
	req := fleetrpc.EntriesRequest{AfterSeq: s.LastSeq(), Digest: s.Digest(), Wait: float64(wait) / 1e6, SnapshotOffset: len(a.snapshotPart), SnapshotSeq: a.snapshotSeq}
	a.mu.Unlock()
	reply, err := a.pollClient.Entries(addr, req, wait+pollGrace)
	if err != nil || reply.Error != "" || reply.Busy {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case reply.Diverged:
		err = fmt.Errorf("%w at entry %d, by the word of %s", fleet.ErrDiverged, req.AfterSeq, addr)
	case reply.SnapshotSize > 0:
		err = a.addSnapshotPart(reply)
	default:
		err = a.holder.ApplyEntries(reply.Entries)
	}
	if err != nil {
		if a.followError != err.Error() {
			slog.Error("fleet", "fleet", "cannot follow", "err", err)
		}
		a.followError = err.Error()
		return false
	}
	a.followError = ""
	if len(reply.Entries) > 0 || reply.SnapshotSize > 0 && a.snapshotPart == nil {
		a.applyNewest()
		a.updateGuard()
	}
	return true
}

// snapshot takes a part of one; what is there already is kept where the link broke. The lock is held.
func (a *Agent) addSnapshotPart(reply fleetrpc.EntriesReply) error {
	if reply.SnapshotOffset == 0 || reply.SnapshotSeq != a.snapshotSeq || reply.SnapshotOffset != len(a.snapshotPart) {
		if reply.SnapshotOffset != 0 {
			a.snapshotPart, a.snapshotSeq = nil, 0
			return nil
		}
		a.snapshotPart = nil
	}
	a.snapshotPart, a.snapshotSeq = append(a.snapshotPart, reply.SnapshotPart...), reply.SnapshotSeq
	if len(a.snapshotPart) < reply.SnapshotSize {
		return nil
	}
	text := a.snapshotPart
	a.snapshotPart, a.snapshotSeq = nil, 0
	s, err := fleet.Restore(text)
	if err != nil {
		return err
	}
	return a.holder.ReplaceState(s)
}

// saves keeps the record and the history in the folder.
func (a *Agent) saveLoop() {
	for a.sleep(saveInterval) {
		a.save()
	}
}

func (a *Agent) save() {
	a.mu.Lock()
	s, runs := a.holder.State(), append(slices.Clone(a.runs), a.guard.runRecord())
	a.updateGuard() // what ends by time alone
	a.mu.Unlock()
	a.dir.write(s, runs)
}

// Ask answers an operator: by the council, at any voter that leads, or from what this member knows itself.
func (a *Agent) HandleAdmin(ctx context.Context, req fleetrpc.AdminRequest) (reply fleetrpc.AdminReply) {
	a.mu.Lock()
	addrs := a.voterAddresses()
	a.mu.Unlock()
	if req.Command.Kind == fleet.PublishVersion {
		// This guards against a version that nobody can read: fenced, it would shut out the whole fleet.
		if err := a.opts.CheckVersion(req.Command.Text); err != nil {
			reply.Error, reply.Local = fmt.Sprintf("%s cannot bring it into force: %v", a.opts.Name, err), a.LocalStatus()
			return reply
		}
	}
	reply.NoLeader = true
	voter := a.voter()
	if voter != nil {
		reply = voter.HandleAdmin(ctx, req)
	}
	for began := time.Now(); reply.NoLeader && !req.NoForward && time.Since(began) < adminTimeout && a.ctx.Err() == nil; {
		for _, addr := range addrs {
			if addr == a.opts.Address {
				if voter != nil {
					reply = voter.HandleAdmin(ctx, req)
				}
			} else if remote, err := a.client.Admin(addr, fleetrpc.AdminRequest{Command: req.Command, Audit: req.Audit, AuditVersion: req.AuditVersion, AuditSince: req.AuditSince, NoForward: true}, adminTimeout); err == nil {
				reply = remote
			}
			if !reply.NoLeader {
				break
			}
		}
		if reply.NoLeader && !a.randomPause() {
			break
		}
	}
	reply.Local = a.LocalStatus()
	return reply
}

// Local is what this member knows itself.
func (a *Agent) LocalStatus() *fleetrpc.LocalStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.holder.State(), a.opts.Clock.Now()
	l := &fleetrpc.LocalStatus{Member: a.opts.Name, LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), ActiveVersion: a.holder.ActiveVersion(),
		LeaseRemaining: max(a.holder.LeaseExpiry()-now, -1), AcceptsWork: a.guard.Open(), Problem: cmp.Or(a.followError, a.leaseRefusal), PendingRestart: a.pendingRestart}
	if n, reason := a.holder.RefusedVersion(); n > 0 {
		l.RefusedVersion = fmt.Sprintf("version %d: %s", n, reason)
	}
	if a.opts.Voter != nil {
		l.VoterState, _ = a.opts.Voter.Status()
	}
	return l
}
