// Command weldmast is one dispatcher on sockets. This file only puts it together and waits for its end; it
// must never decide, read a setting or speak a protocol.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"weldmast/internal/config"
	"weldmast/internal/logs"
	"weldmast/internal/node"
	"weldmast/internal/platform"
)

func main() {
	log.SetFlags(0)
	log.SetOutput(logs.New(os.Stderr, time.Now))
	if err := run(); err != nil {
		log.Fatalf("fatal=%q", err)
	}
}

func run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1) // its own: many of these must not crowd out the order to stop
	signal.Notify(reload, syscall.SIGHUP)
	c, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	runtime.GOMAXPROCS(c.Cores)
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10) // the collector's aim; the operators' limit kills
	var known node.Listing
	if len(c.Known) > 0 && string(c.Known) != "null" {
		if known, err = platform.DecodeListing(c.Known, c.Names); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	o := platform.Options{Listen: c.Listen, PeerListen: c.PeerListen, Peers: c.Peers,
		PeersAll: c.PeersAll, Number: c.Settings.Number, Names: c.Names, Links: c.Links,
		Copies: c.Settings.SecondCopies, Sockets: c.Sockets}
	for _, category := range c.Settings.Categories {
		o.Expiries = append(o.Expiries, category.Expiry)
	}
	n := node.New(c.Settings, c.Links.MaxOpen, c.Discovery.String(), known)
	p, err := platform.Start(o, n)
	if err != nil {
		return err
	}
	log.Printf("name=%s pid=%d", c.Name, os.Getpid())
	go func() {
		for {
			select {
			case <-n.Done():
				return
			case <-stop:
				n.Queue(node.Stop{})
			case <-reload:
				next, kept, err := config.Reload(os.Getenv, c)
				if err != nil {
					log.Printf("reload=refused err=%q", err)
					continue
				}
				log.Printf("reload=taken until_restart=%q", kept)
				n.Queue(node.Moved{Discovery: next.Discovery.String()})
			}
		}
	}()
	n.Run(p)
	p.Close()
	return nil
}
