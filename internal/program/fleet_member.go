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
type inForce struct {
	node *node.Node
	most int // clients that may wait at once, whatever the configuration says: the fleet's link has its part of the descriptors

	mu      sync.Mutex
	running config.Config // as started and last reloaded: what versions are laid over
	version fleet.Version // 0: none
	moved   string        // where discovery was last said to be
}

func (f *inForce) bound(open int) int {
	if f.most > 0 {
		return min(open, f.most)
	}
	return open
}

// reload takes the process's own files anew; a version that is in force is laid over them again.
func (f *inForce) reload(next config.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.running
	now.Text, now.Mark, now.Discovery, now.Known = next.Text, next.Mark, next.Discovery, next.Known
	s, _ := settings.MergeReloadable(now.Settings, next.Settings, now.Names.Equal(next.Names))
	other := !reflect.DeepEqual(s, now.Settings) || now.Links.MaxOpen != next.Links.MaxOpen || now.Mark != f.running.Mark
	now.Settings, now.Links.MaxOpen = s, next.Links.MaxOpen
	f.running = now
	if f.version.Number > 0 {
		_, err := f.lay(f.version, nil)
		if err == nil {
			return
		}
		// What is in force stays: it is the fleet's word.
		slog.Error("reload", "reload", "the fleet's version cannot be laid over it and stays as it is", "version", f.version.Number, "err", err)
		return
	}
	if other {
		f.node.Enqueue(node.ConfigChanged{Settings: now.Settings, MaxOpen: f.bound(now.Links.MaxOpen), Mark: now.Mark})
	}
	f.node.Enqueue(node.DiscoveryMoved{Discovery: now.Discovery.String()}) // the same address is asked anew as well
}

// bring has a version of the fleet's brought into force.
func (f *inForce) bring(v fleet.Version, applied func(waits string)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.lay(v, applied)
	if err == nil {
		f.version = v
	}
	return err
}

// check tells whether a version could be laid over this process's configuration.
func (f *inForce) check(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _, err := config.Overlay(f.running, os.Getenv, text)
	return err
}

// lay has the reducer take a version laid over the process's own configuration. The lock is held.
func (f *inForce) lay(v fleet.Version, applied func(waits string)) (waits []string, err error) {
	c, waits, err := config.Overlay(f.running, os.Getenv, v.Text)
	if err != nil {
		return nil, err
	}
	s, _ := settings.MergeReloadable(f.running.Settings, c.Settings, f.running.Names.Equal(c.Names))
	change := node.ConfigChanged{Version: v.Number, Settings: s, MaxOpen: f.bound(c.Links.MaxOpen), Mark: c.Mark, Discovery: c.Discovery.String()}
	if applied != nil {
		change.OnApplied = func() { go applied(strings.Join(waits, ", ")) } // the reducer waits for nobody
	}
	f.node.Enqueue(change)
	return waits, nil
}

// part is a process's part in its fleet; nil: it is of none.
type part struct {
	m       config.Membership
	own     config.Config
	force   *inForce
	clock   fleetagent.Clock
	gate    *fleetagent.LeaseGuard
	run     string
	seed    uint64
	voting  StartVoter
	stop    chan struct{}
	running sync.WaitGroup

	bound   atomic.Bool // the member's address is this process's
	mu      sync.Mutex
	council fleetrpc.VoterService
	member  *fleetagent.Agent
	server  *fleetrpc.Server
}

// join prepares the part.
func join(f *config.Fleet, own config.Config, force *inForce, voting StartVoter) (*part, error) {
	m, err := f.MembershipFor(own.Name)
	if err != nil {
		return nil, err
	}
	if m.IsVoter && voting == nil {
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
	p := &part{m: m, own: own, force: force, clock: fleetagent.NewClock(), run: hex.EncodeToString(random[:8]), voting: voting, stop: make(chan struct{}),
		seed: binary.BigEndian.Uint64(random[8:])}
	p.gate = fleetagent.NewLeaseGuard(p.clock, p.run)
	return p, nil
}

// descriptors are those that the part may use, out of the limit.
func (p *part) descriptors() int {
	if p.m.IsVoter {
		return max(fleetrpc.ReservedDescriptors, p.own.Sockets/2)
	}
	return fleetrpc.ReservedDescriptors
}

// follow begins, once the reducer is about to run.
func (p *part) follow() {
	if p == nil {
		return
	}
	p.running.Go(func() {
		l := p.listen()
		if l == nil {
			return
		}
		p.begin(l)
	})
}

// listen waits until the member's address is free: an older process of this member may still have it. Until then it
// follows without one.
func (p *part) listen() net.Listener {
	for first := true; ; first = false {
		l, err := net.Listen("tcp4", p.m.Listen)
		if err == nil {
			return l
		}
		if first {
			slog.Warn("fleet", "fleet", "waits for its address", "listen", p.m.Listen, "err", err)
			p.start(p.m.Listen, nil)
		}
		select {
		case <-p.stop:
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (p *part) begin(l net.Listener) {
	p.bound.Store(true)
	addr := l.Addr().String()
	var council fleetrpc.VoterService
	if p.m.IsVoter {
		var err error
		if council, err = p.voting(VoterOptions{Membership: p.m, Address: addr, Run: p.run, Seed: p.seed, Clock: p.clock}); err != nil {
			slog.Error("fleet", "fleet", "no council", "err", err)
		}
	}
	slog.Info("fleet", "fleet", p.m.Fleet, "member", p.m.Name, "listen", addr, "run", p.run)
	p.start(addr, council)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.council = council
	select {
	case <-p.stop:
		l.Close()
	default:
		p.server = fleetrpc.Serve(l, p.m.Fleet, p.descriptors(), council, p.member)
	}
}

// start begins to follow, unless it does already.
func (p *part) start(addr string, council fleetrpc.VoterService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.member != nil {
		p.member.SetVoter(council)
		return
	}
	p.member = fleetagent.Start(fleetagent.Options{Fleet: p.m.Fleet, Name: p.m.Name, Address: addr, IsolationPolicy: p.m.WhenIsolated, Voters: p.m.Voters, AddressMap: p.m.AddressMap, Dir: p.m.Folder,
		Timing: p.m.Timing, ProgramVersion: release, RunID: p.run, Seed: p.seed, Clock: p.clock, Voter: council, OwnsAddress: p.bound.Load, ApplyVersion: p.force.bring, CheckVersion: p.force.check}, p.gate)
}

// close ends the part, after the dispatcher has ended.
func (p *part) close() {
	if p == nil {
		return
	}
	close(p.stop)
	p.running.Wait()
	p.mu.Lock()
	m, council, server := p.member, p.council, p.server
	p.mu.Unlock()
	if m != nil {
		m.Close()
	}
	if council != nil {
		council.Close()
	}
	if server != nil {
		server.Close()
	}
}

// errNobody: no member said anything.
var errNobody = errors.New("nobody answered")
