// This file applies the faults of the timeline and records how busy the workers are.

package fleetmodel

import (
	"fmt"
	"math"

	"weldmast/internal/dispatch"
)

func (m *Model) annotate(format string, a ...any) {
	m.Annotations = append(m.Annotations, Annotation{m.now, fmt.Sprintf(format, a...)})
}

// pickWorkers draws the workers that a fault hits, by count or by share (rounded up), from those of its site
// and kind that are up and not draining.
func (m *Model) pickWorkers(f *Fault) []*worker {
	var candidates []*worker
	for _, w := range m.workers {
		if w.up && w.state == dispatch.Up && (f.Site == "" || SiteName(w.site) == f.Site) && (f.WorkerKind == "" || w.spec.Name == f.WorkerKind) {
			candidates = append(candidates, w)
		}
	}
	count := f.Count
	if count == 0 {
		count = int(math.Ceil(f.Share * float64(len(candidates))))
	}
	m.faultRand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:min(count, len(candidates))]
}

// pickDispatchers draws the dispatchers that a fault hits, by count, or by share if it has no count. A fault
// that lists dispatchers hits exactly these.
func (m *Model) pickDispatchers(f *Fault) []*dispatcher {
	if len(f.Dispatchers) > 0 {
		var selected []*dispatcher
		for _, d := range f.Dispatchers {
			if d >= 0 && d < len(m.dispatchers) {
				selected = append(selected, m.dispatchers[d])
			}
		}
		return selected
	}
	count := f.Count
	if count == 0 {
		count = int(math.Ceil(f.Share * float64(len(m.dispatchers))))
	}
	var selected []*dispatcher
	for _, k := range m.faultRand.Perm(len(m.dispatchers))[:min(count, len(m.dispatchers))] {
		selected = append(selected, m.dispatchers[k])
	}
	return selected
}

// InjectFault begins a fault now, whatever start time it has.
func (m *Model) InjectFault(f Fault) { m.applyFault(&f) }

// WorkerView is the present state of a worker.
type WorkerView struct {
	ID       string
	Kind     int
	Site     int
	State    string
	Warmth   float64
	Running  int
	Queued   int
	Finished int
}

// WorkerViews returns the state of all workers except those that were replaced.
func (m *Model) WorkerViews() (all []WorkerView) {
	for _, w := range m.workers {
		v := WorkerView{ID: w.id, Kind: w.kind, Site: w.site, State: "up", Running: len(w.running), Queued: len(w.queue), Finished: w.finished}
		switch {
		case w.unreachable:
			v.State = "silent"
		case !w.up && w.replaced:
			continue
		case !w.up:
			v.State = "down"
		case w.state == dispatch.Draining:
			v.State = "draining"
		}
		if w.up {
			v.Warmth = m.warmth(w, m.now)
		}
		all = append(all, v)
	}
	return all
}

// applyFault begins a fault. A fault that lasts ends after its duration; with a duration of 0 it never ends.
func (m *Model) applyFault(f *Fault) {
	duration := float64(f.Duration)
	afterDuration := func(undo func()) {
		if duration > 0 {
			m.After(duration, undo)
		}
	}
	amountOr := func(fallback float64) float64 {
		if f.Amount == 0 {
			return fallback
		}
		return f.Amount
	}
	changeEach := func(apply, undo func(*worker)) int {
		affected := m.pickWorkers(f)
		for _, w := range affected {
			m.changeRate(w, func() { apply(w) })
		}
		afterDuration(func() {
			for _, w := range affected {
				m.changeRate(w, func() { undo(w) })
			}
		})
		return len(affected)
	}
	count := -1
	switch f.Type {
	case "kill":
		affected := m.pickWorkers(f)
		for _, w := range affected {
			m.killWorker(w, duration)
		}
		count = len(affected)
	case "vanish", "site_loss":
		affected := m.pickWorkers(f)
		for _, w := range affected {
			m.loseMachine(w, duration)
		}
		count = len(affected)
	case "cut":
		m.activeCuts = append(m.activeCuts, f)
		afterDuration(func() { m.endCut(f) })
	case "drain":
		affected := m.pickWorkers(f)
		for _, w := range affected {
			m.drainWorker(w, duration, false)
		}
		count = len(affected)
	case "deploy":
		affected := m.pickWorkers(f)
		batch := int(max(amountOr(1), 1))
		for k, w := range affected {
			m.After(duration*float64(k/batch), func() { m.drainWorker(w, 0, true) })
		}
		count = len(affected)
	case "slow":
		value := amountOr(0.25)
		count = changeEach(func(w *worker) { w.speedFactor *= value }, func(w *worker) { w.speedFactor /= value })
	case "neighbour":
		value := min(amountOr(0.5), 0.99)
		count = changeEach(func(w *worker) { w.stolenShare = value }, func(w *worker) { w.stolenShare = 0 })
	case "fail":
		value := amountOr(1)
		count = changeEach(func(w *worker) { w.failureRate = value }, func(w *worker) { w.failureRate = 0 })
	case "tail":
		m.tailCostFactor = amountOr(10)
		afterDuration(func() { m.tailCostFactor = 1 })
	case "burst":
		for k, t := range m.Experiment.Tenants {
			if f.Tenant == "" || t.Name == f.Tenant {
				m.tenantRateFactors[k] *= amountOr(4)
				afterDuration(func() { m.tenantRateFactors[k] /= amountOr(4) })
			}
		}
	case "discovery_silent":
		m.silenceDiscovery(duration)
	case "discovery_late":
		m.discoveryExtraDelay = amountOr(2000)
		afterDuration(func() { m.discoveryExtraDelay = 0 })
	case "list_wrong": // discovery lists running workers as gone
		affected := m.pickWorkers(f)
		setFalselyGone := func(on bool) {
			for _, w := range affected {
				w.falselyGone = on
			}
			m.publishChange(affected...)
		}
		setFalselyGone(true)
		afterDuration(func() { setFalselyGone(false) })
		count = len(affected)
	case "messages_lost":
		m.peerLossRate = amountOr(1)
		afterDuration(func() { m.peerLossRate = 0 })
	case "messages_late":
		m.peerExtraDelay = amountOr(200)
		afterDuration(func() { m.peerExtraDelay = 0 })
	case "callbacks_repeat":
		m.callbackRepeatRate = amountOr(1)
		afterDuration(func() { m.callbackRepeatRate = 0 })
	case "callbacks_late":
		m.callbackMaxExtraDelay = amountOr(100)
		afterDuration(func() { m.callbackMaxExtraDelay = 0 })
	case "dispatcher_kill":
		for _, d := range m.pickDispatchers(f) {
			m.killDispatcher(d, true)
		}
	case "dispatcher_stop":
		for k, d := range m.pickDispatchers(f) {
			m.After(duration*float64(k), func() { m.stopDispatcher(d) })
		}
	case "dispatcher_reload":
		for _, d := range m.pickDispatchers(f) {
			if d.up {
				m.driver.ReloadDispatcher(d.index)
			}
		}
	case "dispatcher_upgrade":
		for k, d := range m.pickDispatchers(f) {
			m.After(duration*float64(k), func() {
				// a new process beside a hung one would share its address, which is another fault
				if d.up && !d.paused {
					m.driver.UpgradeDispatcher(d.index)
				}
			})
		}
	case "dispatcher_freeze":
		for _, d := range m.pickDispatchers(f) {
			m.pauseDispatcher(d, duration)
		}
	case "link_cut", "link_oneway", "link_late", "link_held", "link_reset", "link_trickle", "link_half", "folder_full", "folder_gone",
		"folder_empty", "folder_older", "folder_flipped", "publish", "publish_twice":
		var affected []int
		for _, d := range m.pickDispatchers(f) {
			affected = append(affected, d.index)
		}
		m.driver.SetFleetFault(f, affected, true)
		afterDuration(func() { m.driver.SetFleetFault(f, affected, false) })
		// the next start finds the folder in this state
		if f.Type == "folder_empty" || f.Type == "folder_older" || f.Type == "folder_flipped" {
			for _, d := range affected {
				m.killDispatcher(m.dispatchers[d], true)
			}
		}
	case "clients_flood":
		for _, d := range m.pickDispatchers(f) {
			m.driver.FloodConnections(d.index, amountOr(200), max(duration, 1000))
		}
	case "clock_jump": // the start times that workers report are off by this much
		affected := m.pickWorkers(f)
		for _, w := range affected {
			w.clockOffset += f.Amount
		}
		m.publishChange(affected...)
		count = len(affected)
	}
	if count >= 0 {
		m.annotate("%s of %d workers", f.Type, count)
	} else {
		m.annotate("%s", f.Type)
	}
	switch f.Type {
	case "publish", "publish_twice", "deploy", "dispatcher_stop", "dispatcher_kill", "dispatcher_reload", "dispatcher_upgrade", "clock_jump":
	default:
		if duration > 0 {
			m.After(duration, func() { m.annotate("%s ends", f.Type) })
		}
	}
}

// endCut ends a cut. What was written to cut connections arrives now.
func (m *Model) endCut(f *Fault) {
	for k, c := range m.activeCuts {
		if c == f {
			m.activeCuts = append(m.activeCuts[:k], m.activeCuts[k+1:]...)
			break
		}
	}
	for _, w := range m.workers {
		if w.unreachable {
			continue
		}
		undelivered := w.undelivered
		w.undelivered = nil
		for _, h := range undelivered {
			d := m.dispatchers[h.Dispatcher]
			switch {
			case m.isCut(workerPath, d, w.site):
				w.undelivered = append(w.undelivered, h)
			case h.cancelled: // its connection was closed: nothing is sent again
			case d.incarnation != h.dispatcherIncarnation:
			default:
				h.arrival = m.now + m.networkDelay(d.site, w.site)
				m.At(h.arrival, func() { m.handOffArrived(h) })
			}
		}
	}
	if f.Path == "discovery" {
		for _, d := range m.dispatchers {
			if d.up && d.watching {
				m.Watch(d.index, d.watchNumber, -1)
			}
		}
	}
}

// sampleLoad records every second how busy each kind of worker was.
func (m *Model) sampleLoad(start float64) {
	before := make([]float64, len(m.Experiment.Kinds))
	var next func()
	next = func() {
		s := LoadSample{BusyCores: make([]float64, len(m.Experiment.Kinds))}
		for _, w := range m.workers {
			m.advanceWorker(w)
			s.BusyCores[w.kind] += w.busyCoreMs
		}
		for k := range s.BusyCores {
			s.BusyCores[k], before[k] = (s.BusyCores[k]-before[k])/1000, s.BusyCores[k]
		}
		m.LoadSamples = append(m.LoadSamples, s)
		if !m.Done() {
			m.After(1000, next)
		}
	}
	m.At(start+1000, next)
}
