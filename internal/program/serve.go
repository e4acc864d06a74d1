// This file implements the serve command: it assembles the components and waits until they end.

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

// loaded is a checked configuration with its decoded list of workers.
type loaded struct {
	config.Config
	workers node.DiscoveryUpdate
}

func load() (l loaded, err error) {
	if l.Config, err = config.Load(os.Getenv); err != nil {
		return l, err
	}
	if len(l.Known) > 0 && string(l.Known) != "null" {
		if l.workers, err = transport.DecodeDiscoveryUpdate(l.Known, l.Names); err != nil {
			return l, fmt.Errorf("known: %w", err)
		}
	}
	return l, nil
}

// profileCPU writes a CPU profile to path until done is called.
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

// setMemoryLimit sets the memory target of the garbage collector to 60% of mb, below the memory limit at
// which the platform kills the process. With half set it is half of that, as another process of the
// dispatcher uses the rest.
func setMemoryLimit(mb int, half bool) {
	limit := int64(mb) << 20 * 6 / 10
	if half {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// descriptorLimit returns how many file descriptors the process may use: the configured number, or the
// system's limit if that is lower. Relying on more would let clients that only connect use up the descriptors
// that discovery needs.
func descriptorLimit(configured int) int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur >= uint64(configured) {
		return configured
	}
	return int(l.Cur)
}

// run serves until SIGTERM, then until all accepted jobs are answered.
func (s *serveCommand) run(errs io.Writer, startVoter StartVoter) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1) // a channel of its own, so that many SIGHUPs cannot displace the signal to stop
	signal.Notify(reload, syscall.SIGHUP)
	out, level := logs.New(errs, time.Now), new(slog.LevelVar)
	slog.SetDefault(slog.New(logs.Handler(out, level)))
	log.SetFlags(0) // libraries that use package log write to the same handler
	operator, err := config.LoadOperatorFile(s.File, os.Getenv)
	if err != nil {
		return err
	}
	applyLogging := func(options config.OperatorFile) {
		out.SetLimits(options.Log.Limits())
		level.Set(options.Log.SlogLevel())
	}
	applyLogging(operator)
	c, err := load()
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(c.Cores)
	setMemoryLimit(c.MemoryMB, false)
	if system := descriptorLimit(c.Sockets); system < c.Sockets {
		slog.Warn("limits", "sockets", c.Sockets, "system", system)
		c.Sockets = system
	}
	c.Links.MaxOpen = min(c.Links.MaxOpen, c.Sockets/2)
	options := transport.Options{Listen: c.Listen, PeerListen: c.PeerListen, Peers: c.Peers,
		PeersAll: c.PeersAll, PeerIndex: c.Settings.Position, Names: c.Names, Connections: c.Links,
		SecondCopies: c.Settings.SecondCopies, DiscoveryOnRequest: c.Settings.DiscoveryOnRequest, MaxSockets: c.Sockets, MemoryBytes: int64(c.MemoryMB) << 20}
	for _, category := range c.Settings.Categories {
		options.Expiries = append(options.Expiries, category.Expiry)
	}
	if c.Ops.IsValid() {
		options.Metrics = metrics.New(c.Names.Categories)
		options.MaxSockets -= admin.MaxDescriptors
	}
	var exchange *takeover.Exchange
	if c.Temp != "" {
		exchange = takeover.New(takeover.Options{Dir: c.Temp, Name: c.Name, Listen: c.Listen.String()})
		if options.InheritedSockets, err = exchange.Find(); err != nil {
			return err
		}
		options.Exchange, options.OnHalfLimits = exchange, func(half bool) { setMemoryLimit(c.MemoryMB, half) }
	}
	nodeOptions := node.Options{Settings: c.Settings, MaxOpen: c.Links.MaxOpen, Discovery: c.Discovery.String(), CachedList: c.workers, Metrics: options.Metrics,
		Mark: c.Mark}
	active := &activeConfig{own: c.Config}
	var fleetMember *fleetMember
	if operator.Fleet != nil {
		if fleetMember, err = newFleetMember(operator.Fleet, c.Config, active, startVoter); err != nil {
			return err
		}
		if exchange != nil {
			fleetMember.hasSuccessor = exchange.HasSuccessor
		}
		defer fleetMember.close()
		nodeOptions.Guard, options.Guard = fleetMember.guard, fleetMember.guard
		options.MaxSockets -= fleetMember.maxDescriptors()
		active.maxClients = options.MaxSockets / 2
		nodeOptions.MaxOpen = active.limitClients(nodeOptions.MaxOpen)
	}
	// file descriptors reserved for components other than the transport
	reserved := c.Sockets - options.MaxSockets
	// If the system's limit falls, the reservation takes at most half of what is available.
	options.SystemSocketLimit = func() int { limit := descriptorLimit(c.Sockets); return max(limit-reserved, limit/2) }
	n := node.New(nodeOptions)
	active.node = n
	p, err := transport.Start(options, n)
	if err != nil {
		return err
	}
	if c.Ops.IsValid() {
		adminServer, err := admin.Start(admin.Options{Listen: c.Ops, Metrics: options.Metrics,
			Ready: func() (string, bool) { return n.Phase().String(), n.Phase() == node.Serving }})
		if err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		defer adminServer.Close()
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
				// A fault in either file leaves both as they were: applying half of a change may be worse
				// than applying none.
				operator, err := config.LoadOperatorFile(s.File, os.Getenv)
				if err != nil {
					slog.Error("reload", "reload", "refused", "err", err)
					continue
				}
				next, needsRestart, err := config.Reload(os.Getenv, c.Config)
				if err != nil {
					slog.Error("reload", "reload", "refused", "err", err)
					continue
				}
				applyLogging(operator)
				slog.Info("reload", "reload", "taken", "until_restart", fmt.Sprint(needsRestart))
				active.reload(next)
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
	fleetMember.start()
	n.Run(p)
	p.Close()
	exchange.Close()
	return nil
}
