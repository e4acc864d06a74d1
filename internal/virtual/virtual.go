// Package virtual plays a world in virtual time with whole nodes, reducer, rounds and decisions, hundreds of them in one
// goroutine. The same experiment and seed give the same history, on any machine. It must never draw by chance, read a
// clock, or decide anything itself.
package virtual

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"

	"weldmast/internal/dispatch"
	"weldmast/internal/node"
	"weldmast/internal/world"
)

// epoch is the nodes' time at the model's time 0: far from 0, which stands for long ago.
const epoch = 1e9

// Start is when clients come: dispatchers are up before them.
const Start = 1000

// Decide makes the decider of one dispatcher; nil in its place: the program's own.
type Decide func(s dispatch.Settings, w *world.World) dispatch.Decider

// Play plays an experiment to its end, or until the context ends it: then whole is false, and what is open stays so.
// Progress, if not nil, is called now and then with the part done.
func Play(ctx context.Context, x *world.Experiment, seed uint64, decide Decide, progress func(float64)) (
	w *world.World, whole bool, err error) {
	w = world.New(x, seed)
	p := &port{w: w, decide: decide, seed: seed}
	for d := range x.Dispatchers.Count {
		s, err := x.Dispatch(d, seed)
		if err != nil {
			return nil, false, err
		}
		p.settings = append(p.settings, s)
	}
	p.hosts = make([]*host, x.Dispatchers.Count)
	w.Begin(p, Start)
	for end, k := Start+float64(x.Length), 0; !w.Over(); k++ {
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
	w.Audit.Finish(w.Now())
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
	w        *world.World
	hosts    []*host
	settings []dispatch.Settings
	decide   Decide
	seed     uint64
	starts   uint64
}

var silent = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))

// Start brings a node up. Its seed is new with each start, and follows from the experiment's.
func (p *port) Start(d int, known []world.Member) {
	s := p.settings[d]
	p.starts++
	s.Seed = (p.seed+p.starts)*0x9e3779b97f4a7c15 | 1<<40
	h := &host{p: p, n: d, open: map[string]*node.Request{}}
	o := node.Options{Settings: s, MaxOpen: p.w.X.Dispatchers.MaxOpen, Discovery: "discovery", Log: silent,
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
		h.p.w.Ready(h.n)
	case node.Stopped:
		h.gone = true
		h.p.w.Exited(h.n)
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
func (p *port) Freeze(d int, on bool) {
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
func (p *port) Trouble(*world.Fault, []int, bool) {}

// to gives a value to a dispatcher's node, if it lives.
func (p *port) to(d int, v any) bool {
	h := p.hosts[d]
	if h == nil || h.gone {
		return false
	}
	h.step(v)
	return true
}

func (p *port) Request(d int, t *world.Try) {
	h := p.hosts[d]
	if h == nil || h.gone {
		return
	}
	j := t.Job
	c := &node.Request{ID: t.ID, Category: j.Category, Tenant: j.Tenant, Hint: j.Hint,
		Expiry: epoch + p.w.Now() + min(t.Deadline-p.w.Now(), float64(p.w.X.Categories[j.Category].Expiry))}
	h.open[t.ID] = c
	c.Respond = func(r node.Reply) {
		delete(h.open, t.ID)
		switch r.Result {
		case node.Served:
			p.w.Answer(d, t.ID, world.Served, r.Body, 0)
		case node.Deferred:
			p.w.Answer(d, t.ID, world.ComeAgain, "", r.RetryAfter)
		case node.ClientGone:
		default:
			p.w.Answer(d, t.ID, world.Erred, "", 0)
		}
	}
	h.step(node.RequestArrived{Request: c})
}

func (p *port) Leave(d int, t *world.Try) {
	if c := p.hosts[d].open[t.ID]; c != nil {
		p.to(d, node.ClientDisconnected{Request: c})
	}
}

var ends = map[world.End]dispatch.Outcome{world.TurnedAway: dispatch.Full, world.NoConnect: dispatch.ConnectFailed,
	world.Reset: dispatch.ConnReset, world.Failed: dispatch.Failed, world.Dropped: dispatch.Cancelled}

func (p *port) Ended(d int, h *world.HandOff, how world.End) {
	if how != world.Accepted {
		s := h.Tag.(node.HandOffRequest)
		p.to(d, node.HandOffEnded{WI: s.WI, HO: s.HO, Outcome: ends[how]})
	}
}

var states = map[string]node.CallbackState{"started": node.Started, "running": node.Running, "done": node.Done,
	"failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

func (p *port) Callback(d int, c world.Callback) bool {
	return p.to(d, node.Callback{ID: c.ID, From: c.From, State: states[c.State], Share: c.Share, Result: c.Result})
}

func members(all []world.Member) []node.Member {
	list := make([]node.Member, len(all))
	for k, m := range all {
		since := 0.
		if m.Since >= 0 {
			since = epoch + m.Since
		}
		list[k] = node.Member{Entry: dispatch.Entry{Worker: m.ID, Zone: m.Site, Kind: m.Kind, State: m.State, Since: since},
			Addr: m.ID}
	}
	return list
}

func (p *port) List(d int, l world.Listing) {
	p.to(d, node.DiscoveryUpdate{Watch: l.Watch, Revision: l.Revision, Complete: l.Complete, Members: members(l.Members)})
}
func (p *port) Broken(d int, watch int) { p.to(d, node.WatchEnded{Watch: watch}) }
func (p *port) Message(d, from int, data []byte) {
	p.to(d, node.PeerMessage{From: from, Data: data})
}
func (p *port) Kill(d int) {
	if h := p.hosts[d]; h != nil {
		h.gone = true
	}
}

// Up and Down: the world knows.
func (p *port) Up(string) {}

// Down as Up.
func (p *port) Down(string) {}

func (p *port) Stop(d int) { p.to(d, node.Stop{}) }

// Upgrade and Flood are of processes and connections, which there are none of here.
func (p *port) Upgrade(int)                 {}
func (p *port) Flood(int, float64, float64) {}

func (p *port) Reload(d int) { p.to(d, node.DiscoveryMoved{Discovery: "discovery"}) }

// attempt is a hand-off that the node has out.
type attempt struct {
	w *world.World
	h *world.HandOff
}

// GiveUp has the worker drop it.
func (a attempt) Cancel() { a.w.GiveUp(a.h) }

// Taken: each is at once.
func (a attempt) Accepted() bool { return true }

// Written: each is at once.
func (a attempt) Written() bool { return true }

// Continue has nobody to take one over from.
func (h *host) AdoptHandOff(s node.HandOffRequest) node.Attempt { return h.Send(s) }

// Send starts a hand-off.
func (h *host) Send(s node.HandOffRequest) node.Attempt {
	return attempt{h.p.w, h.p.w.Send(h.n, s.ID, s.Addr, s)}
}

// Watch asks discovery.
func (h *host) Watch(number int, _ string, after int64) { h.p.w.Watch(h.n, number, after) }

// Unwatch ends a watch; the world has each dispatcher's newest one alone.
func (h *host) Unwatch(int) {}

// Tell sends a message to siblings.
func (h *host) SendToPeer(to int, data []byte) { h.p.w.Tell(h.n, to, data) }

// Drain and Dismiss close connections of clients; here each request has its own.
func (h *host) Drain(func() node.TakeoverState) bool { return false }

// Pass has nobody to ask.
func (h *host) ForwardCallback(c node.Callback) { c.Respond(node.CallbackUnknown) }

// Dismiss as Drain.
func (h *host) CloseIdle() {}
