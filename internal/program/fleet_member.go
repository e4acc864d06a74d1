// This file owns a serving program's part in a fleet: it puts the parts together, and has what is in force changed, whoever
// asks for that. It must never decide what is in force.

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

// inForce is the configuration that the reducer has. There are two ways to change it, SIGHUP and a fleet's version, and
// one way of applying.
type activeConfig struct {
	node       *node.Node
	maxClients int // clients that may wait at once, whatever the configuration says: the fleet's link has its part of the descriptors

	mu        sync.Mutex
	own       config.Config // as started and last reloaded: what versions are laid over
	version   fleet.Version // 0: none
	discovery string        // where discovery was last said to be
}

func (f *activeConfig) limitClients(open int) int {
	if f.maxClients > 0 {
		return min(open, f.maxClients)
	}
	return open
}

// reload takes the process's own files anew; a version that is in force is laid over them again.
func (f *activeConfig) reload(next config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	updated := f.own
	updated.Text, updated.Mark, updated.Discovery, updated.Known = next.Text, next.Mark, next.Discovery, next.Known
	s, _ := settings.InFlight(updated.Settings, next.Settings, updated.Names.Same(next.Names))
	changed := !reflect.DeepEqual(s, updated.Settings) || updated.Links.MaxOpen != next.Links.MaxOpen || updated.Mark != f.own.Mark
	updated.Settings, updated.Links.MaxOpen = s, next.Links.MaxOpen
	f.own = updated
	if f.version.Number > 0 {
		_, err := f.overlay(f.version, nil)
		if err == nil {
			return
		}
		// What is in force stays: it is the fleet's word.
		slog.Error("reload", "reload", "the fleet's version cannot be laid over it and stays as it is", "version", f.version.Number, "err", err)
		return
	}
	if changed {
		f.node.Queue(node.Changed{Settings: updated.Settings, MaxOpen: f.limitClients(updated.Links.MaxOpen), Mark: updated.Mark})
	}
	f.node.Queue(node.Moved{Discovery: updated.Discovery.String()}) // the same address is asked anew as well
}

// bring has a version of the fleet's brought into force.
func (f *activeConfig) applyVersion(version fleet.Version, applied func(waits string)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.overlay(version, applied)
	if err == nil {
		f.version = version
	}
	return err
}

// check tells whether a version could be laid over this process's configuration.
func (f *activeConfig) checkVersion(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _, err := config.Overlay(f.own, os.Getenv, text)
	return err
}

// lay has the reducer take a version laid over the process's own configuration. The lock is held.
func (f *activeConfig) overlay(version fleet.Version, applied func(needsRestart string)) (needsRestart []string, err error) {
	c, needsRestart, err := config.Overlay(f.own, os.Getenv, version.Text)
	if err != nil {
		return nil, err
	}
	s, _ := settings.InFlight(f.own.Settings, c.Settings, f.own.Names.Same(c.Names))
	change := node.Changed{Version: version.Number, Settings: s, MaxOpen: f.limitClients(c.Links.MaxOpen), Mark: c.Mark, Discovery: c.Discovery.String()}
	if applied != nil {
		change.Applied = func() { go applied(strings.Join(needsRestart, ", ")) } // the reducer waits for nobody
	}
	f.node.Queue(change)
	return needsRestart, nil
}

// part is a process's part in its fleet; nil: it is of none.
type fleetMember struct {
	membership config.Membership
	ownConfig  config.Config
	active     *activeConfig
	clock      member.Clock
	gate       *member.Gate
	runID      string
	seed       uint64
	startVoter StartVoter
	stop       chan struct{}
	goroutines sync.WaitGroup

	addressBound atomic.Bool // the member's address is this process's
	mu           sync.Mutex
	voter        fleetlink.Council
	member       *member.Member
	server       *fleetlink.Server
}

// join prepares the part.
func joinFleet(f *config.Fleet, own config.Config, active *activeConfig, startVoter StartVoter) (*fleetMember, error) {
	m, err := f.MembershipFor(own.Name)
	if err != nil {
		return nil, err
	}
	if m.IsVoter && startVoter == nil {
		return nil, fmt.Errorf("fleet.voters: %s is to vote, and this build cannot: start weldmast-voter in its place", m.Name)
	}
	if err := m.CreateFolder(); err != nil {
		return nil, err
	}
	signal.Ignore(syscall.SIGXFSZ) // a full disk is an error of one write, no reason to end
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	p := &fleetMember{membership: m, ownConfig: own, active: active, clock: member.NewClock(), runID: hex.EncodeToString(random[:8]), startVoter: startVoter, stop: make(chan struct{}),
		seed: binary.BigEndian.Uint64(random[8:])}
	p.gate = member.NewGate(p.clock, p.runID)
	return p, nil
}

// descriptors are those that the part may use, out of the limit.
func (p *fleetMember) maxDescriptors() int {
	if p.membership.IsVoter {
		return max(fleetlink.Descriptors, p.ownConfig.Sockets/2)
	}
	return fleetrpc.ReservedDescriptors
}

// follow begins, once the reducer is about to run.
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

// listen waits until the member's address is free: an older process of this member may still have it. Until then it
// follows without one.
func (p *fleetMember) listen() net.Listener {
	for first := true; ; first = false {
		l, err := net.Listen("tcp4", p.membership.Listen)
		if err == nil {
			return l
		}
		if first {
			slog.Warn("fleet", "fleet", "waits for its address", "listen", p.membership.Listen, "err", err)
			p.startMember(p.membership.Listen, nil)
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
	var voter fleetlink.Council
	if p.membership.IsVoter {
		var err error
		if voter, err = p.startVoter(VoterOptions{Membership: p.membership, Address: addr, Run: p.runID, Seed: p.seed, Clock: p.clock}); err != nil {
			slog.Error("fleet", "fleet", "no council", "err", err)
		}
	}
	slog.Info("fleet", "fleet", p.membership.Fleet, "member", p.membership.Name, "listen", addr, "run", p.runID)
	p.startMember(addr, voter)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voter = voter
	select {
	case <-p.stop:
		l.Close()
	default:
		p.server = fleetlink.Serve(l, p.membership.Fleet, p.maxDescriptors(), voter, p.member)
	}
}

// start begins to follow, unless it does already.
func (p *fleetMember) startMember(addr string, voter fleetlink.Council) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.member != nil {
		p.member.Vote(voter)
		return
	}
	p.member = member.Start(member.Options{Fleet: p.membership.Fleet, Name: p.membership.Name, Address: addr, Alone: p.membership.WhenIsolated, Voters: p.membership.Voters, Via: p.membership.AddressMap, Folder: p.membership.Folder,
		Figures: p.membership.Timing, Program: release, Run: p.runID, Seed: p.seed, Clock: p.clock, Council: voter, Bound: p.addressBound.Load, Bring: p.active.applyVersion, Check: p.active.checkVersion}, p.gate)
}

// close ends the part, after the dispatcher has ended.
func (p *fleetMember) close() {
	if p == nil {
		return
	}
	close(p.stop)
	p.goroutines.Wait()
	p.mu.Lock()
	m, voter, server := p.member, p.voter, p.server
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

// errNobody: no member said anything.
var errNoAnswer = errors.New("nobody answered")
