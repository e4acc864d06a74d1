// Package virtualtime runs a model in virtual time with whole nodes, including their event loops, rounds and
// decisions, hundreds of them in one goroutine. The same experiment and seed give the same history on any
// machine. The package must never draw random numbers of its own, read a clock, or make a decision for a
// dispatcher.
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

// epoch is the nodes' time at the model's time 0. It is far from 0, because 0 stands for long ago.
const epoch = 1e9

// ArrivalStart is when clients begin to arrive, in milliseconds. Dispatchers are up before it.
const ArrivalStart = 1000

// NewDecider makes the decider of one dispatcher. A nil NewDecider selects the program's own decider.
type NewDecider func(s dispatch.Settings, w *fleetmodel.Model) dispatch.Decider

// Run runs an experiment to its end, or until the context ends; then complete is false, and open jobs stay
// open. Progress, if not nil, is called from time to time with the share done.
func Run(ctx context.Context, experiment *fleetmodel.Experiment, seed uint64, newDecider NewDecider, progress func(float64)) (
	model *fleetmodel.Model, complete bool, err error) {
	model = fleetmodel.New(experiment, seed)
	d := &driver{model: model, newDecider: newDecider, seed: seed}
	for index := range experiment.Dispatchers.Count {
		s, err := experiment.DispatchSettings(index, seed)
		if err != nil {
			return nil, false, err
		}
		d.settings = append(d.settings, s)
	}
	d.hosts = make([]*host, experiment.Dispatchers.Count)
	model.Begin(d, ArrivalStart)
	for end, k := ArrivalStart+float64(experiment.Length), 0; !model.Done(); k++ {
		if model.Next() > end+1e7 || math.IsInf(model.Next(), 1) {
			return model, false, fmt.Errorf("the run does not end: clients still wait at %.0f ms", model.Now())
		}
		if model.Step(); k%1000 == 0 {
			if ctx.Err() != nil {
				return model, false, nil
			}
			if progress != nil {
				progress(min(model.Now()/end, 1))
			}
		}
	}
	model.Advance(model.Now() + 1000) // messages that are still on their way are checked too
	model.Checker.Finish(model.Now())
	return model, true, nil
}

// host is one dispatcher's process.
type host struct {
	driver   *driver
	index    int
	node     *node.Node
	wakeSeq  uint64 // number of the present wake-up; older scheduled ones are ignored
	stopped  bool
	paused   bool  // the process is suspended
	pending  []any // events that arrived meanwhile
	requests map[string]*node.Request
}

type driver struct {
	model      *fleetmodel.Model
	hosts      []*host
	settings   []dispatch.Settings
	newDecider NewDecider
	seed       uint64
	startCount uint64
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))

// StartDispatcher starts a node. Each start gets a new seed, which follows from the experiment's seed.
func (d *driver) StartDispatcher(index int, known []fleetmodel.WorkerEntry) {
	s := d.settings[index]
	d.startCount++
	s.Seed = (d.seed+d.startCount)*0x9e3779b97f4a7c15 | 1<<40
	h := &host{driver: d, index: index, requests: map[string]*node.Request{}}
	o := node.Options{Settings: s, MaxOpen: d.model.Experiment.Dispatchers.MaxOpen, Discovery: "discovery", Log: discardLog,
		CachedList: node.DiscoveryUpdate{Members: discoveryMembers(known)}, Clock: func() float64 { return epoch + d.model.Now() }}
	if d.newDecider != nil {
		o.Decider = d.newDecider(s, d.model)
	}
	h.node = node.New(o)
	d.hosts[index] = h
	h.scheduleWake(h.node.Begin(h))
}

// scheduleWake reports changes of the node's phase to the model and schedules the time at which the node
// wants to wake.
func (h *host) scheduleWake(next float64) {
	switch h.node.Phase() {
	case node.Serving:
		h.driver.model.DispatcherReady(h.index)
	case node.Stopped:
		h.stopped = true
		h.driver.model.DispatcherExited(h.index)
		return
	}
	h.wakeSeq++
	turn := h.wakeSeq
	h.driver.model.At(next-epoch, func() {
		if h.wakeSeq == turn && !h.stopped {
			h.step()
		}
	})
}

func (h *host) step(values ...any) {
	if h.paused {
		h.pending = append(h.pending, values...)
		return
	}
	h.scheduleWake(h.node.Step(values...))
}

// SetPaused suspends a node, or resumes it with the events that arrived meanwhile.
func (d *driver) SetPaused(index int, paused bool) {
	h := d.hosts[index]
	if h == nil || h.stopped || h.paused == paused {
		return
	}
	if h.paused = paused; !paused {
		pending := h.pending
		h.pending = nil
		h.step(pending...)
	}
}

// SetFleetFault does nothing: virtual time does not model a fleet's links and folders here yet.
func (d *driver) SetFleetFault(*fleetmodel.Fault, []int, bool) {}

// deliver passes an event to a dispatcher's node and reports whether the node runs.
func (d *driver) deliver(index int, v any) bool {
	h := d.hosts[index]
	if h == nil || h.stopped {
		return false
	}
	h.step(v)
	return true
}

func (d *driver) RequestArrived(index int, r *fleetmodel.Request) {
	h := d.hosts[index]
	if h == nil || h.stopped {
		return
	}
	j := r.Job
	c := &node.Request{ID: r.ID, Category: j.Category, Tenant: j.Tenant, Hint: j.Hint,
		Expiry: epoch + d.model.Now() + min(r.Deadline-d.model.Now(), float64(d.model.Experiment.Categories[j.Category].Expiry))}
	h.requests[r.ID] = c
	c.Respond = func(reply node.Reply) {
		delete(h.requests, r.ID)
		switch reply.Result {
		case node.Served:
			d.model.Answer(index, r.ID, fleetmodel.Served, reply.Body, 0)
		case node.Deferred:
			d.model.Answer(index, r.ID, fleetmodel.RetryLater, "", reply.RetryAfter)
		case node.ClientGone:
		default:
			d.model.Answer(index, r.ID, fleetmodel.OtherStatus, "", 0)
		}
	}
	h.step(node.RequestArrived{Request: c})
}

func (d *driver) ClientLeft(index int, r *fleetmodel.Request) {
	if c := d.hosts[index].requests[r.ID]; c != nil {
		d.deliver(index, node.ClientDisconnected{Request: c})
	}
}

var handOffOutcomes = map[fleetmodel.HandOffResult]dispatch.Outcome{fleetmodel.Rejected: dispatch.Full, fleetmodel.ConnectFailed: dispatch.ConnectFailed,
	fleetmodel.ConnectionReset: dispatch.ConnReset, fleetmodel.Failed: dispatch.Failed, fleetmodel.Cancelled: dispatch.Cancelled}

func (d *driver) HandOffEnded(index int, h *fleetmodel.HandOff, result fleetmodel.HandOffResult) {
	if result != fleetmodel.Accepted {
		s := h.Tag.(node.HandOffRequest)
		d.deliver(index, node.HandOffEnded{WI: s.WI, HO: s.HO, Outcome: handOffOutcomes[result]})
	}
}

var callbackStates = map[string]node.CallbackState{"started": node.Started, "running": node.Running, "done": node.Done,
	"failed": node.Failed, "returned": node.Returned, "lost": node.Lost}

func (d *driver) Callback(index int, c fleetmodel.Callback) bool {
	return d.deliver(index, node.Callback{ID: c.ID, From: c.From, State: callbackStates[c.State], Share: c.Progress, Result: c.Result})
}

func discoveryMembers(all []fleetmodel.WorkerEntry) []node.Member {
	list := make([]node.Member, len(all))
	for k, m := range all {
		since := 0.
		if m.StartTime >= 0 {
			since = epoch + m.StartTime
		}
		list[k] = node.Member{Entry: dispatch.Entry{Worker: m.ID, Zone: m.Site, ZoneName: fleetmodel.SiteName(m.Site), Kind: m.Kind, State: m.State, Since: since},
			Addr: m.ID}
	}
	return list
}

func (d *driver) DiscoveryUpdated(index int, update fleetmodel.DiscoveryUpdate) {
	d.deliver(index, node.DiscoveryUpdate{Watch: update.Watch, Revision: update.Revision, Complete: update.Complete, Members: discoveryMembers(update.Workers)})
}
func (d *driver) WatchEnded(index int, watch int) { d.deliver(index, node.WatchEnded{Watch: watch}) }
func (d *driver) PeerMessage(index, from int, data []byte) {
	d.deliver(index, node.PeerMessage{From: from, Data: data})
}
func (d *driver) KillDispatcher(index int) {
	if h := d.hosts[index]; h != nil {
		h.stopped = true
	}
}

// WorkerStarted does nothing: the model itself knows the state of workers.
func (d *driver) WorkerStarted(string) {}

// WorkerStopped does nothing, like WorkerStarted.
func (d *driver) WorkerStopped(string) {}

func (d *driver) StopDispatcher(index int) { d.deliver(index, node.Stop{}) }

// UpgradeDispatcher and FloodConnections do nothing: there are no processes or connections here.
func (d *driver) UpgradeDispatcher(int)                  {}
func (d *driver) FloodConnections(int, float64, float64) {}

func (d *driver) ReloadDispatcher(index int) {
	d.deliver(index, node.DiscoveryMoved{Discovery: "discovery"})
}

// attempt is a hand-off that the node has sent.
type attempt struct {
	model   *fleetmodel.Model
	handOff *fleetmodel.HandOff
}

// Cancel makes the worker drop the job.
func (a attempt) Cancel() { a.model.CancelHandOff(a.handOff) }

// Accepted returns true: a worker takes each hand-off at once.
func (a attempt) Accepted() bool { return true }

// Written returns true: each hand-off is written at once.
func (a attempt) Written() bool { return true }

// AdoptHandOff sends a new hand-off: there is no other process to adopt one from.
func (h *host) AdoptHandOff(s node.HandOffRequest) node.Attempt { return h.Send(s) }

// Send starts a hand-off.
func (h *host) Send(s node.HandOffRequest) node.Attempt {
	return attempt{h.driver.model, h.driver.model.HandOff(h.index, s.ID, s.Addr, s)}
}

// Watch starts a discovery watch.
func (h *host) Watch(number int, _ string, after int64) { h.driver.model.Watch(h.index, number, after) }

// Unwatch does nothing: the model serves only the newest watch of each dispatcher.
func (h *host) Unwatch(int) {}

// SendToPeer sends a message to other dispatchers.
func (h *host) SendToPeer(to int, data []byte) { h.driver.model.SendToPeers(h.index, to, data) }

// Drain does nothing, like CloseIdle: each request of a client has a connection of its own, so none stays
// open.
func (h *host) Drain(func() node.TakeoverState) bool { return false }

// ForwardCallback answers that the job is unknown: there is no other process to ask.
func (h *host) ShareID(string)                  {}
func (h *host) ForwardCallback(c node.Callback) { c.Respond(node.CallbackUnknown) }

// CloseIdle does nothing, like Drain.
func (h *host) CloseIdle() {}
