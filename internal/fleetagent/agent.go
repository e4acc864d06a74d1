// Package fleetagent keeps a process in its fleet: it follows the history, renews the lease, activates
// versions and reports what was done under each. internal/fleet makes its decisions. The package must never
// decide where work goes, vote, or delay the dispatcher's event loop, whose queries it answers from values in
// memory.
//
// This file implements its goroutines; the other files implement the directory and the lease guard.
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

// Options configure an agent.
type Options struct {
	Fleet           string
	Name            string
	Address         string
	IsolationPolicy fleet.IsolationPolicy
	Voters          []fleet.Voter     // from the operator's file; those of the history take precedence
	Dir             string            // empty: nothing is persisted
	AddressMap      map[string]string // addresses to dial in place of those configured
	Timing          fleet.Timing
	ProgramVersion  string // version of this program
	RunID           string
	Seed            uint64
	Clock           Clock
	Voter           fleetrpc.VoterService // the voter of this process; nil: none
	OwnsAddress     func() bool           // reports whether this process listens on the member's address
	OwnAddress      bool                  // each process of the member has an address of its own
	HasSuccessor    func() bool           // reports whether a newer process of the member is there; nil: there is none
	// ApplyVersion starts to activate a version. It calls applied once, from any goroutine, when no writes
	// begun under an older version are outstanding; pendingRestart names the settings that need a restart. An error
	// means that the version cannot be activated.
	ApplyVersion func(v fleet.Version, applied func(pendingRestart string)) error
	// CheckVersion reports whether a version's text could be activated here.
	CheckVersion func(text []byte) error
}

// Timing of an agent.
const (
	pollWait     = 2 * time.Second // long poll at a voter
	pollGrace    = time.Second     // added to pollWait for the reply
	maxPause     = 300 * time.Millisecond
	saveInterval = time.Second
	adminTimeout = 4 * time.Second
)

// Agent represents this process in its fleet.
type Agent struct {
	opts       Options
	ctx        context.Context
	cancel     context.CancelFunc
	client     *fleetrpc.Client
	pollClient *fleetrpc.Client // closing it ends the poll in progress
	guard      *LeaseGuard
	dir        *stateDir
	wg         sync.WaitGroup
	unsaved    chan struct{} // holds a value when there is a version to be saved at once

	mu               sync.Mutex // guards the fields below
	savedVersion     uint64     // newest version in the directory
	ownsDir          bool       // this process has locked the directory: earlier ones have ended
	holder           *fleet.LeaseHolder
	rng              *rand.Rand
	leaderAddr       string // address of the last known leader
	notifiedVersion  uint64 // newest version, from the last heartbeat's reply
	runs             []fleet.RunRecord
	pendingRestart   string
	followError      string // why it cannot follow the history
	leaseRefusal     string // why the leader does not renew the lease
	loggedRefusal    string // reason of the refused version that was logged
	receivedSnapshot []byte // parts of a snapshot received so far
	snapshotSeq      uint64
}

// Start opens the directory and begins to follow the history. It activates the newest version in the
// directory at once.
func Start(opts Options, guard *LeaseGuard) *Agent {
	a := &Agent{opts: opts, client: fleetrpc.NewClient(opts.Fleet, opts.AddressMap), pollClient: fleetrpc.NewClient(opts.Fleet, opts.AddressMap), guard: guard,
		unsaved: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(opts.Seed, 0x666c6565))}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.dir = openStateDir(opts.Dir)
	state, runs := a.dir.read(opts.Fleet)
	a.runs, a.savedVersion = runs, state.NewestVersion()
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

// Close stops the agent and reports to the leader that this process acts no more. Call it after the
// dispatcher has stopped.
func (a *Agent) Close() {
	a.cancel()
	a.pollClient.Close()
	a.wg.Wait()
	a.guard.close()
	a.save() // the last heartbeat tells what is saved
	a.sendHeartbeat(true)
	a.dir.close()
	a.client.Close()
}

// SetVoter sets the voter of this process, which may start later than the agent.
func (a *Agent) SetVoter(voter fleetrpc.VoterService) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.opts.Voter = voter
}

// Traffic returns the number of calls and their bytes.
func (a *Agent) Traffic() (calls, read, written uint64) {
	for _, c := range []*fleetrpc.Client{a.client, a.pollClient} {
		n, r, w := c.Traffic()
		calls, read, written = calls+n, read+r, written+w
	}
	return calls, read, written
}

// voter returns the voter of this process; nil: none.
func (a *Agent) voter() fleetrpc.VoterService {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opts.Voter
}

// updateGuard updates the lease guard. The caller holds the lock.
func (a *Agent) updateGuard() { a.guard.setOpenUntil(a.holder.AcceptUntil(a.opts.Clock.Now())) }

// applyNewest starts to activate the newest version. The caller holds the lock.
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
		a.applyNewest() // a newer version may have arrived meanwhile
		a.updateGuard()
		slog.Info("fleet", "fleet", "in force", "version", v.Number, "waits_for_a_restart", pendingRestart)
	})
	if err != nil {
		a.holder.RefuseVersion(v.Number, err)
		slog.Error("fleet", "fleet", "refuses", "version", v.Number, "err", err)
	}
}

// voterAddresses returns the addresses of the voters in random order. The caller holds the lock.
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

// sleep returns false if the agent stops.
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

// randomPause pauses for a random time, so that members do not retry in step. It returns false if the agent
// stops.
func (a *Agent) randomPause() bool {
	a.mu.Lock()
	duration := time.Duration((0.2 + 0.8*a.rng.Float64()) * float64(maxPause))
	a.mu.Unlock()
	return a.sleep(duration)
}

// heartbeatLoop renews the lease.
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
		// The process was paused or suspended: the next heartbeat reports it.
		if delay := a.opts.Clock.Now() - next; delay > 2*interval {
			a.mu.Lock()
			a.guard.stalledFor = delay
			a.updateGuard()
			a.mu.Unlock()
			slog.Warn("fleet", "fleet", "stalled", "ms", delay)
		}
	}
}

// newHeartbeat returns the current heartbeat. The caller holds the lock.
func (a *Agent) newHeartbeat(leaving bool) fleet.Heartbeat {
	s := a.holder.State()
	b := fleet.Heartbeat{Fleet: a.opts.Fleet, Format: fleet.FormatVersion, Member: a.opts.Name, Address: a.opts.Address, RunID: a.opts.RunID, OwnsAddress: a.opts.OwnsAddress() && (!a.opts.OwnAddress || a.ownsDir), HasSuccessor: a.opts.HasSuccessor != nil && a.opts.HasSuccessor(),
		IsolationPolicy: a.opts.IsolationPolicy, ProgramVersion: a.opts.ProgramVersion, LastSeq: s.LastSeq(), Digest: s.Digest(), ActiveVersion: a.holder.ActiveVersion(), SavedVersion: a.savedVersion, Leaving: leaving,
		StalledFor: a.guard.stalledFor, PendingRestart: a.pendingRestart, Lease: a.opts.Timing.Lease, Drift: a.opts.Timing.Drift}
	b.RefusedVersion, b.Problem = a.holder.RefusedVersion()
	if a.followError != "" && b.RefusedVersion == 0 {
		b.Problem = a.followError
	}
	b.Runs = append(slices.Clone(a.runs), a.guard.runRecord())
	if a.opts.Voter != nil {
		b.VoterStatus, b.RequestedRaftID = a.opts.Voter.Status()
	}
	return b
}

// sendHeartbeat sends one heartbeat and handles the reply. It returns the time after which to send the next
// one, 0 for the usual interval.
func (a *Agent) sendHeartbeat(leaving bool) (retryAfter float64) {
	timeout := time.Duration(2 * a.opts.Timing.Beat * 1e6)
	a.mu.Lock()
	hb, addrs := a.newHeartbeat(leaving), a.voterAddresses()
	// The last heartbeat failed, or this process was paused: its poll may hang.
	pollMayHang := a.leaderAddr == "" || hb.StalledFor > 0
	if a.leaderAddr != "" {
		addrs = append([]string{a.leaderAddr}, slices.DeleteFunc(addrs, func(addr string) bool { return addr == a.leaderAddr })...)
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
		// Normally the long poll in progress brings new entries, in the batch that the voter collects. Fetch
		// them here only if the poll did not bring a version announced by an earlier heartbeat's reply, or if
		// the poll may hang on a broken link.
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

// setLeaseRefusal records why the leader does not renew the lease.
func (a *Agent) setLeaseRefusal(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason != a.leaseRefusal && reason != "" {
		slog.Warn("fleet", "fleet", "no lease", "why", reason)
	}
	a.leaseRefusal = reason
}

// followLoop follows the history at any voter.
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

// fetchEntries requests the next entries from a voter once. It returns false if another voter should be
// tried.
func (a *Agent) fetchEntries(addr string, wait time.Duration) bool {
	a.mu.Lock()
	s := a.holder.State()
	req := fleetrpc.EntriesRequest{AfterSeq: s.LastSeq(), Digest: s.Digest(), Wait: float64(wait) / 1e6, SnapshotOffset: len(a.receivedSnapshot), SnapshotSeq: a.snapshotSeq}
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
	if len(reply.Entries) > 0 || reply.SnapshotSize > 0 && a.receivedSnapshot == nil {
		a.requestSave()
		a.applyNewest()
		a.updateGuard()
	}
	return true
}

// addSnapshotPart adds a part of a snapshot. Parts received before a connection failed are retained. The
// caller holds the lock.
func (a *Agent) addSnapshotPart(reply fleetrpc.EntriesReply) error {
	if reply.SnapshotOffset == 0 || reply.SnapshotSeq != a.snapshotSeq || reply.SnapshotOffset != len(a.receivedSnapshot) {
		if reply.SnapshotOffset != 0 {
			a.receivedSnapshot, a.snapshotSeq = nil, 0
			return nil
		}
		a.receivedSnapshot = nil
	}
	a.receivedSnapshot, a.snapshotSeq = append(a.receivedSnapshot, reply.SnapshotPart...), reply.SnapshotSeq
	if len(a.receivedSnapshot) < reply.SnapshotSize {
		return nil
	}
	text := a.receivedSnapshot
	a.receivedSnapshot, a.snapshotSeq = nil, 0
	s, err := fleet.Restore(text)
	if err != nil {
		return err
	}
	return a.holder.ReplaceState(s)
}

// saveLoop saves the run records and the history to the directory: at intervals, and at once when a version
// arrives. A fence counts this member only when the version is saved.
func (a *Agent) saveLoop() {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
			a.save()
		case <-a.unsaved:
			a.mu.Lock()
			s := a.holder.State()
			a.mu.Unlock()
			a.recordSaved(s, a.dir.writeState(s))
		}
	}
}

// requestSave makes saveLoop save at once if there is a version that is not saved. The caller holds the lock.
func (a *Agent) requestSave() {
	if a.holder.State().NewestVersion() == a.savedVersion {
		return
	}
	select {
	case a.unsaved <- struct{}{}:
	default: // a request is pending
	}
}

func (a *Agent) save() {
	a.mu.Lock()
	s, runs := a.holder.State(), append(slices.Clone(a.runs), a.guard.runRecord())
	a.updateGuard() // leases also end by time alone
	a.mu.Unlock()
	a.recordSaved(s, a.dir.write(s, runs))
}

// recordSaved records whether a state is saved, and that this process has the directory. It is called by the
// goroutine that writes it.
func (a *Agent) recordSaved(s *fleet.State, saved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownsDir = a.dir.locked; !saved {
		return
	}
	a.savedVersion = max(a.savedVersion, s.NewestVersion())
}

// HandleAdmin answers an operator's request: through the leader, or from what this member knows itself.
func (a *Agent) HandleAdmin(ctx context.Context, req fleetrpc.AdminRequest) (reply fleetrpc.AdminReply) {
	a.mu.Lock()
	addrs := a.voterAddresses()
	a.mu.Unlock()
	if req.Command.Kind == fleet.PublishVersion {
		// This guards against a version that no member can read: with a fence it would exclude the whole
		// fleet.
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

// LocalStatus returns what this member knows itself.
func (a *Agent) LocalStatus() *fleetrpc.LocalStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.holder.State(), a.opts.Clock.Now()
	l := &fleetrpc.LocalStatus{Member: a.opts.Name, LastSeq: s.LastSeq(), Digest: s.Digest().String(), NewestVersion: s.NewestVersion(), ActiveVersion: a.holder.ActiveVersion(),
		LeaseRemaining: max(a.holder.LeaseExpiry()-now, -1), AcceptsWork: a.guard.Allowed(), Problem: cmp.Or(a.followError, a.leaseRefusal), PendingRestart: a.pendingRestart}
	if n, reason := a.holder.RefusedVersion(); n > 0 {
		l.Refusal = fmt.Sprintf("version %d: %s", n, reason)
	}
	if a.opts.Voter != nil {
		l.VoterStatus, _ = a.opts.Voter.Status()
	}
	return l
}
