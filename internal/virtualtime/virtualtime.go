// Package virtual plays a world in virtual time with whole nodes, reducer, rounds and decisions, hundreds of them in one
// goroutine. The same experiment and seed give the same history, on any machine. It must never draw by chance, read a
// clock, or decide anything itself.
package virtualtime

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"

	"weldmast/internal/dispatch"
	"weldmast/internal/fleetmodel"
	"weldmast/internal/node"
)

// epoch is the nodes' time at the model's time 0: far from 0, which stands for long ago.
const epoch = 1e9

// Start is when clients come: dispatchers are up before them.
const ArrivalStart = 1000

// Decide makes the decider of one dispatcher; nil in its place: the program's own.
type NewDecider func(s dispatch.Settings, w *fleetmodel.Model) dispatch.Decider

// Play plays an experiment to its end, or until the context ends it: then whole is false, and what is open stays so.
// Progress, if not nil, is called now and then with the part done.
func Run(ctx context.Context, x *fleetmodel.Experiment, seed uint64, decide NewDecider, progress func(float64)) (
	w *fleetmodel.Model, whole bool, err error) {
	w = fleetmodel.New(x, seed)
	p := &port{w: w, decide: decide, seed: seed}
	for d := range x.Dispatchers.Count {
		s, err := x.DispatchSettings(d, seed)
		if err != nil {
			return nil, false, err
		}
		p.settings = append(p.settings, s)
	}
	p.hosts = make([]*host, x.Dispatchers.Count)
	w.Begin(p, ArrivalStart)
	for end, k := ArrivalStart+float64(x.Length), 0; !w.Done(); k++ {
		if w.Next() > end+1e7 || math.IsInf(w.Next(), 1) {
			return w, false, fmt.Errorf("the day does not end: %.0f ms", w.Now())
		}
		if w.Step(); k%1000 == 0 {
			if ctx.Err() != nil {
				return w, false, nil
			}
			if progress != nil {
				progress(min(w.Now()/end, 1))
			}
		}
	}
	w.Advance(w.Now() + 1000) // what is still under way is judged too
	w.Checker.Finish(w.Now())
	return w, true, nil
}

// host is one dispatcher's process.
type host struct {
	p     *port
	n     int
	node  *node.Node
	turn  uint64 // number of the present plan to wake it
	gone  bool
	still bool  // it stands still
	held  []any // what came meanwhile
	open  map[string]*node.Request
}

type port struct {
	w        *fleetmodel.Model
	hosts    []*host
	settings []dispatch.Settings
	decide   NewDecider
	seed     uint64
	starts   uint64
}

var silent = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))

// Start brings a node up. Its seed is new with each start, and follows from the experiment's.
func (p *port) StartDispatcher(d int, known []fleetmodel.WorkerEntry) {
	s := p.settings[d]
	p.starts++
	s.Seed = (p.seed+p.starts)*0x9e3779b97f4a7c15 | 1<<40
	h := &host{p: p, n: d, open: map[string]*node.Request{}}
	o := node.Options{Settings: s, MaxOpen: p.w.Experiment.Dispatchers.MaxOpen, Discovery: "discovery", Log: silent,
		CachedList: node.DiscoveryUpdate{Members: members(known)}, Clock: func() float64 { return epoch + p.w.Now() }}
	if p.decide != nil {
		o.Decider = p.decide(s, p.w)
	}
	h.node = node.New(o)
	p.hosts[d] = h
	h.planned(h.node.Begin(h))
}

// planned sees what a step brought about, and has the node woken when it wants to.
func (h *host) planned(next float64) {
	switch h.node.Phase() {
	case node.Serving:
		h.p.w.DispatcherReady(h.n)
	case node.Stopped:
		h.gone = true
		h.p.w.DispatcherExited(h.n)
		return
	}
	h.turn++
	turn := h.turn
	h.p.w.At(next-epoch, func() {
		if h.turn == turn && !h.gone {
			h.step()
		}
	})
}

func (h *host) step(values ...any) {
	if h.still {
		h.held = append(h.held, values...)
		return
	}
	h.planned(h.node.Step(values...))
}

// Freeze has a node stand still, or go on with what came meanwhile.
func (p *port) SetPaused(d int, on bool) {
	h := p.hosts[d]
	if h == nil || h.gone || h.still == on {
		return
	}
	if h.still = on; !on {
		held := h.held
		h.held = nil
		h.step(held...)
	}
}

// Trouble is of a fleet's links and folders, which there are none of here yet.
func (p *port) SetFleetFault(*fleetmodel.Fault, []int, bool) {}

// to gives a value to a dispatcher's node, if it lives.
func (p *port) to(d int, v any) bool {
	h := p.hosts[d]
	if h == nil || h.gone {
		return false
	}
	h.step(v)
	return true
}

func (p *port) RequestArrived(d int, t *fleetmodel.Request) {
	h := p.hosts[d]
	if h == nil || h.gone {
		return
	}
	j := t.Job
	c := &node.Request{ID: t.ID, Category: j.Category, Tenant: j.Tenant, Hint: j.Hint,
		Expiry: epoch + p.w.Now() + min(t.Deadline-p.w.Now(), float64(p.w.Experiment.Categories[j.Category].Expiry))}
	h.open[t.ID] = c
	c.Respond = func(r node.Reply) {
		delete(h.open, t.ID)
		switch r.Result {
		case node.Served:
			p.w.Answer(d, t.ID, fleetmodel.Served, r.Body, 0)
		case node.Deferred:
			p.w.Answer(d, t.ID, fleetmodel.RetryLater, "", r.RetryAfter)
		case node.ClientGone:
		default:
			p.w.Answer(d, t.ID, fleetmodel.OtherStatus, "", 0)
		}
	}
	h.step(node.RequestArrived{Request: c})
}

func (p *port) ClientLeft(d int, t *fleetmodel.Request) {
	if c := p.hosts[d].open[t.ID]; c != nil {
		p.to(d, node.ClientDisconnected{Request: c})
	}
}

var ends = map[fleetmodel.HandOffResult]dispatch.Outcome{fleetmodel.Rejected: dispatch.Full, fleetmodel.ConnectFailed: dispatch.ConnectFailed,
	fleetmodel.ConnectionReset: dispatch.ConnReset, fleetmodel.Failed: dispatch.Failed, fleetmodel.Cancelled: dispatch.Cancelled}

func (p *port) HandOffEnded(d int, h *fleetmodel.HandOff, how fleetmodel.HandOffResult) {
	if how != fleetmodel.Accepted {
		s := h.Tag.(node.HandOffRequest)
		p.to(d, node.HandOffEnded{WI: s.WI, HO: s.HO, Outcome: ends[how]})
	}
}

var states = map[string]node.CallbackState{"started": node.Started, "running": node.Running, "done": node.Done,
	"failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

func (p *port) Callback(d int, c fleetmodel.Callback) bool {
	return p.to(d, node.Callback{ID: c.ID, From: c.From, State: states[c.State], Share: c.Progress, Result: c.Result})
}

func members(all []fleetmodel.WorkerEntry) []node.Member {
	list := make([]node.Member, len(all))
	for k, m := range all {
		since := 0.
		if m.StartTime >= 0 {
			since = epoch + m.StartTime
		}
		list[k] = node.Member{Entry: dispatch.Entry{Worker: m.ID, Zone: m.Site, Kind: m.Kind, State: m.State, Since: since},
			Addr: m.ID}
	}
	return list
}

func (p *port) DiscoveryUpdated(d int, l fleetmodel.DiscoveryUpdate) {
	p.to(d, node.DiscoveryUpdate{Watch: l.Watch, Revision: l.Revision, Complete: l.Complete, Members: members(l.Workers)})
}
func (p *port) WatchEnded(d int, watch int) { p.to(d, node.WatchEnded{Watch: watch}) }
func (p *port) PeerMessage(d, from int, data []byte) {
	p.to(d, node.PeerMessage{From: from, Data: data})
}
func (p *port) KillDispatcher(d int) {
	if h := p.hosts[d]; h != nil {
		h.gone = true
	}
}

// Up and Down: the world knows.
func (p *port) WorkerStarted(string) {}

// Down as Up.
func (p *port) WorkerStopped(string) {}

func (p *port) StopDispatcher(d int) { p.to(d, node.Stop{}) }

// Upgrade and Flood are of processes and connections, which there are none of here.
func (p *port) UpgradeDispatcher(int)                  {}
func (p *port) FloodConnections(int, float64, float64) {}

func (p *port) ReloadDispatcher(d int) { p.to(d, node.DiscoveryMoved{Discovery: "discovery"}) }

// attempt is a hand-off that the node has out.
type attempt struct {
	w *fleetmodel.Model
	h *fleetmodel.HandOff
}

// GiveUp has the worker drop it.
func (a attempt) Cancel() { a.w.CancelHandOff(a.h) }

// Taken: each is at once.
func (a attempt) Accepted() bool { return true }

// Written: each is at once.
func (a attempt) Written() bool { return true }

// Continue has nobody to take one over from.
func (h *host) AdoptHandOff(s node.HandOffRequest) node.Attempt { return h.Send(s) }

// Send starts a hand-off.
func (h *host) Send(s node.HandOffRequest) node.Attempt {
	return attempt{h.p.w, h.p.w.HandOff(h.n, s.ID, s.Addr, s)}
}

// Watch asks discovery.
func (h *host) Watch(number int, _ string, after int64) { h.p.w.Watch(h.n, number, after) }

// Unwatch ends a watch; the world has each dispatcher's newest one alone.
func (h *host) Unwatch(int) {}

// Tell sends a message to siblings.
func (h *host) SendToPeer(to int, data []byte) { h.p.w.SendToPeers(h.n, to, data) }

// Drain and Dismiss close connections of clients; here each request has its own.
func (h *host) Drain(func() node.TakeoverState) bool { return false }

// Pass has nobody to ask.
func (h *host) ForwardCallback(c node.Callback) { c.Respond(node.CallbackUnknown) }

// Dismiss as Drain.
func (h *host) CloseIdle() {}
