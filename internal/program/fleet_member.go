// This file connects a serving process to its fleet: it starts the fleet's components and applies
// configuration changes, whether they come from a reload or from the fleet. It must never decide which
// version is in force.

package program

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weldmast/internal/config"
	"weldmast/internal/fleet"
	"weldmast/internal/fleetagent"
	"weldmast/internal/fleetrpc"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

// activeConfig is the configuration that the event loop uses. It changes in two ways, by SIGHUP and by a
// version of the fleet, and both are applied by the same code.
type activeConfig struct {
	node *node.Node
	// upper bound on clients that wait at once, whatever the configuration says: the fleet's connections need
	// some of the descriptors; 0: no bound
	maxClients int

	mu        sync.Mutex
	own       config.Config // own configuration, as started or last reloaded; versions are merged over it
	version   fleet.Version // version in force; number 0: none
	discovery string        // not used
}

func (f *activeConfig) limitClients(open int) int {
	if f.maxClients > 0 {
		return min(open, f.maxClients)
	}
	return open
}

// reload applies the process's own files again. If a version is in force, it is merged over them again.
func (f *activeConfig) reload(next config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	updated := f.own
	updated.Text, updated.Mark, updated.Discovery, updated.Known = next.Text, next.Mark, next.Discovery, next.Known
	s, _ := settings.MergeReloadable(updated.Settings, next.Settings, updated.Names.Equal(next.Names))
	changed := !reflect.DeepEqual(s, updated.Settings) || updated.Links.MaxOpen != next.Links.MaxOpen || updated.Mark != f.own.Mark
	updated.Settings, updated.Links.MaxOpen = s, next.Links.MaxOpen
	f.own = updated
	if f.version.Number > 0 {
		_, err := f.overlay(f.version, nil)
		if err == nil {
			return
		}
		// The version stays in force: the fleet decides about it, not this process.
		slog.Error("reload", "reload", "the fleet's version cannot be merged over the new files; the configuration in force stays", "version", f.version.Number, "err", err)
		return
	}
	if changed {
		f.node.Enqueue(node.ConfigChanged{Settings: updated.Settings, MaxOpen: f.limitClients(updated.Links.MaxOpen), Mark: updated.Mark})
	}
	f.node.Enqueue(node.DiscoveryMoved{Discovery: updated.Discovery.String()}) // at an unchanged address an open watch goes on
}

// applyVersion brings a version of the fleet into force. applied is called in a goroutine of its own, once
// the event loop uses the version and no hand-off that began under an earlier version remains to be written.
// Its argument lists the settings that take effect only after a restart, separated by commas.
func (f *activeConfig) applyVersion(version fleet.Version, applied func(needsRestart string)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.overlay(version, applied)
	if err == nil {
		f.version = version
	}
	return err
}

// checkVersion returns an error if a version cannot be merged over this process's configuration.
func (f *activeConfig) checkVersion(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _, err := config.Overlay(f.own, os.Getenv, text)
	return err
}

// overlay merges a version over the process's own configuration and queues the result for the event loop. It
// calls applied as applyVersion describes, if it isn't nil, and returns the settings that take effect only
// after a restart. The caller holds the lock.
func (f *activeConfig) overlay(version fleet.Version, applied func(needsRestart string)) (needsRestart []string, err error) {
	c, needsRestart, err := config.Overlay(f.own, os.Getenv, version.Text)
	if err != nil {
		return nil, err
	}
	s, _ := settings.MergeReloadable(f.own.Settings, c.Settings, f.own.Names.Equal(c.Names))
	change := node.ConfigChanged{Version: version.Number, Settings: s, MaxOpen: f.limitClients(c.Links.MaxOpen), Mark: c.Mark, Discovery: c.Discovery.String()}
	if applied != nil {
		// in a goroutine, as the event loop must not block
		change.OnApplied = func() { go applied(strings.Join(needsRestart, ", ")) }
	}
	f.node.Enqueue(change)
	return needsRestart, nil
}

// fleetMember is this process as a member of its fleet; nil if it belongs to none.
type fleetMember struct {
	membership config.Membership
	ownConfig  config.Config
	active     *activeConfig
	clock      fleetagent.Clock
	guard      *fleetagent.LeaseGuard
	runID      string
	seed       uint64
	startVoter StartVoter
	// reports whether a newer process of this dispatcher is there; nil: none can be
	hasSuccessor func() bool
	stop         chan struct{}
	goroutines   sync.WaitGroup

	addressBound atomic.Bool // whether this process listens at the member's address
	mu           sync.Mutex
	voter        fleetrpc.VoterService
	agent        *fleetagent.Agent
	server       *fleetrpc.Server
}

// newFleetMember prepares this process's membership: it checks it, creates the member's folder and chooses
// the run ID. start then starts it.
func newFleetMember(f *config.Fleet, own config.Config, active *activeConfig, startVoter StartVoter) (*fleetMember, error) {
	m, err := f.MembershipFor(own.Name)
	if err != nil {
		return nil, err
	}
	if m.IsVoter && startVoter == nil {
		return nil, fmt.Errorf("fleet.voters: %s is a voter, but this build cannot vote: start weldmast-voter instead", m.Name)
	}
	if err := m.CreateFolder(); err != nil {
		return nil, err
	}
	signal.Ignore(syscall.SIGXFSZ) // a write to a full disk is then an error of that write and doesn't end the process
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	p := &fleetMember{membership: m, ownConfig: own, active: active, clock: fleetagent.NewClock(), runID: hex.EncodeToString(random[:8]), startVoter: startVoter, stop: make(chan struct{}),
		seed: binary.BigEndian.Uint64(random[8:])}
	p.guard = fleetagent.NewLeaseGuard(p.clock, p.runID)
	return p, nil
}

// maxDescriptors is how many file descriptors the fleet's components may use, out of the process's limit.
func (p *fleetMember) maxDescriptors() int {
	if p.membership.IsVoter {
		return max(fleetrpc.ReservedDescriptors, p.ownConfig.Sockets/2)
	}
	return fleetrpc.ReservedDescriptors
}

// start starts the membership in the background. It is called right before the event loop runs.
func (p *fleetMember) start() {
	if p == nil {
		return
	}
	p.goroutines.Go(func() {
		l := p.listen()
		if l == nil {
			return
		}
		p.serve(l)
	})
}

// listen waits until the member's address is free, as an older process of this member may still use it. Until
// then the member follows the fleet without listening.
func (p *fleetMember) listen() net.Listener {
	for first := true; ; first = false {
		l, err := net.Listen("tcp4", p.membership.Listen)
		if err == nil {
			return l
		}
		if first {
			slog.Warn("fleet", "fleet", "waiting until its address is free", "listen", p.membership.Listen, "err", err)
			p.startAgent(p.membership.Listen, nil)
		}
		select {
		case <-p.stop:
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (p *fleetMember) serve(l net.Listener) {
	p.addressBound.Store(true)
	addr := l.Addr().String()
	var voter fleetrpc.VoterService
	if p.membership.IsVoter {
		var err error
		if voter, err = p.startVoter(VoterOptions{Membership: p.membership, Address: addr, Run: p.runID, Seed: p.seed, Clock: p.clock}); err != nil {
			slog.Error("fleet", "fleet", "no council", "err", err)
		}
	}
	slog.Info("fleet", "fleet", p.membership.Fleet, "member", p.membership.Name, "listen", addr, "run", p.runID)
	p.startAgent(addr, voter)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voter = voter
	select {
	case <-p.stop:
		l.Close()
	default:
		p.server = fleetrpc.Serve(l, p.membership.Fleet, p.maxDescriptors(), voter, p.agent)
	}
}

// startAgent starts the agent, which follows the fleet. If the agent already runs, it only sets the agent's
// voter.
func (p *fleetMember) startAgent(addr string, voter fleetrpc.VoterService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agent != nil {
		p.agent.SetVoter(voter)
		return
	}
	p.agent = fleetagent.Start(fleetagent.Options{Fleet: p.membership.Fleet, Name: p.membership.Name, Address: addr, IsolationPolicy: p.membership.WhenIsolated, Voters: p.membership.Voters, AddressMap: p.membership.AddressMap, Dir: p.membership.Folder,
		Timing: p.membership.Timing, ProgramVersion: release, RunID: p.runID, Seed: p.seed, Clock: p.clock, Voter: voter, OwnsAddress: p.addressBound.Load, OwnAddress: p.membership.AnyPort(), HasSuccessor: p.hasSuccessor, ApplyVersion: p.active.applyVersion, CheckVersion: p.active.checkVersion}, p.guard)
}

// close stops the fleet's components, after the dispatcher has ended.
func (p *fleetMember) close() {
	if p == nil {
		return
	}
	close(p.stop)
	p.goroutines.Wait()
	p.mu.Lock()
	m, voter, server := p.agent, p.voter, p.server
	p.mu.Unlock()
	if m != nil {
		m.Close()
	}
	if voter != nil {
		voter.Close()
	}
	if server != nil {
		server.Close()
	}
}

// errNoAnswer is returned if no member answered.
var errNoAnswer = errors.New("no member answered")
