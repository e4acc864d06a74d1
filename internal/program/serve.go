// This file owns the serving program: it puts the parts together and waits for their end.

package program

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"weldmast/internal/admin"
	"weldmast/internal/config"
	"weldmast/internal/logs"
	"weldmast/internal/metrics"
	"weldmast/internal/node"
	"weldmast/internal/takeover"
	"weldmast/internal/transport"
)

// loaded is a checked configuration with its list of workers.
type loaded struct {
	config.Config
	known node.DiscoveryUpdate
}

func load() (l loaded, err error) {
	if l.Config, err = config.Load(os.Getenv); err != nil {
		return l, err
	}
	if len(l.Known) > 0 && string(l.Known) != "null" {
		if l.known, err = transport.DecodeDiscoveryUpdate(l.Known, l.Names); err != nil {
			return l, fmt.Errorf("known: %w", err)
		}
	}
	return l, nil
}

// profileCPU writes where CPU time goes, until done is called.
func profileCPU(path string) (done func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("profile.cpu: %w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, fmt.Errorf("profile.cpu: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// aim sets the collector's aim; the operators' limit kills. Half of it while another process has the other half.
func aim(mb int, half bool) {
	aim := int64(mb) << 20 * 6 / 10
	if half {
		aim /= 2
	}
	debug.SetMemoryLimit(aim)
}

// descriptors is how many the process may use: what its configuration says, or what the system lets it have if that is less.
// Relied on in vain, clients that only connect would leave none for discovery.
func descriptors(said int) int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur >= uint64(said) {
		return said
	}
	return int(l.Cur)
}

// run serves until SIGTERM, then until all that was taken is answered.
func (s *serveCommand) run(errs io.Writer, voting StartVoter) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1) // its own: many of these must not crowd out the order to stop
	signal.Notify(reload, syscall.SIGHUP)
	out, level := logs.New(errs, time.Now), new(slog.LevelVar)
	slog.SetDefault(slog.New(logs.Handler(out, level)))
	log.SetFlags(0) // what libraries log goes the same way
	operator, err := config.LoadOperatorFile(s.File, os.Getenv)
	if err != nil {
		return err
	}
	heed := func(o config.OperatorFile) {
		out.SetLimits(o.Log.Limits())
		level.Set(o.Log.SlogLevel())
	}
	heed(operator)
	c, err := load()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(c.Cores)
	aim(c.MemoryMB, false)
	if system := descriptors(c.Sockets); system < c.Sockets {
		slog.Warn("limits", "sockets", c.Sockets, "system", system)
		c.Sockets = system
	}
	c.Links.MaxOpen = min(c.Links.MaxOpen, c.Sockets/2)
	o := transport.Options{Listen: c.Listen, PeerListen: c.PeerListen, Peers: c.Peers,
		PeersAll: c.PeersAll, PeerIndex: c.Settings.Position, Names: c.Names, Connections: c.Links,
		SecondCopies: c.Settings.SecondCopies, DiscoveryOnRequest: c.Settings.DiscoveryOnRequest, MaxSockets: c.Sockets}
	for _, category := range c.Settings.Categories {
		o.Expiries = append(o.Expiries, category.Expiry)
	}
	if c.Ops.IsValid() {
		o.Metrics = metrics.New(c.Names.Categories)
		o.MaxSockets -= admin.MaxDescriptors
	}
	var exchange *takeover.Exchange
	if c.Temp != "" {
		exchange = takeover.New(takeover.Options{Dir: c.Temp, Name: c.Name, Listen: c.Listen.String()})
		if o.InheritedSockets, err = exchange.Find(); err != nil {
			return err
		}
		o.Exchange, o.OnShare = exchange, func(half bool) { aim(c.MemoryMB, half) }
	}
	no := node.Options{Settings: c.Settings, MaxOpen: c.Links.MaxOpen, Discovery: c.Discovery.String(), CachedList: c.known, Metrics: o.Metrics,
		Mark: c.Mark}
	force := &inForce{running: c.Config}
	var of *part
	if operator.Fleet != nil {
		if of, err = join(operator.Fleet, c.Config, force, voting); err != nil {
			return err
		}
		defer of.close()
		no.Guard, o.Guard = of.gate, of.gate
		o.MaxSockets -= of.descriptors()
		force.most = o.MaxSockets / 2
		no.MaxOpen = force.bound(no.MaxOpen)
	}
	aside := c.Sockets - o.MaxSockets // for other parts, of whatever there is; half at most
	o.SystemSocketLimit = func() int { now := descriptors(c.Sockets); return max(now-aside, now/2) }
	n := node.New(no)
	force.node = n
	p, err := transport.Start(o, n)
	if err != nil {
		return err
	}
	if c.Ops.IsValid() {
		front, err := admin.Start(admin.Options{Listen: c.Ops, Metrics: o.Metrics,
			Ready: func() (string, bool) { return n.Phase().String(), n.Phase() == node.Serving }})
		if err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		defer front.Close()
	}
	slog.Info("name", "name", c.Name, "pid", os.Getpid())
	go func() {
		for {
			select {
			case <-n.Done():
				return
			case <-stop:
				n.Enqueue(node.Stop{})
			case <-reload:
				// A fault in either file leaves both as they were: half of a change may be worse than none.
				operator, err := config.LoadOperatorFile(s.File, os.Getenv)
				if err != nil {
					slog.Error("reload", "reload", "refused", "err", err)
					continue
				}
				next, kept, err := config.Reload(os.Getenv, c.Config)
				if err != nil {
					slog.Error("reload", "reload", "refused", "err", err)
					continue
				}
				heed(operator)
				slog.Info("reload", "reload", "taken", "until_restart", fmt.Sprint(kept))
				force.reload(next)
			}
		}
	}()
	if path := operator.Profile.CPU; path != "" {
		done, err := profileCPU(path)
		if err != nil {
			return err
		}
		defer done()
	}
	if exchange != nil {
		exchange.Run(p)
	}
	of.follow()
	n.Run(p)
	p.Close()
	exchange.Close()
	return nil
}
