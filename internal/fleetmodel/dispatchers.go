// This file owns what dispatchers meet of one another, of discovery and of their own ends.

package fleetmodel

import (
	"cmp"
	"slices"

	"weldmast/internal/dispatch"
)

// Times of the stand-in for a dispatcher's own machine.
const (
	watchSilent = 3000 // a watch that says nothing for so long has ended
	askSilent   = 1000 // one that was never answered
	callGap     = 200  // between tries of a callback
	callTries   = 10
)

func (w *Model) startDispatcher(d *dispatcher) {
	d.up, d.ready, d.watching = true, false, false
	d.life++
	d.order = d.order[:0]
	clear(d.open)
	known := make([]WorkerEntry, 0, len(d.told))
	for _, m := range d.told {
		known = append(known, m)
	}
	slices.SortFunc(known, func(a, b WorkerEntry) int { return cmp.Compare(a.ID, b.ID) })
	w.Checker.DispatcherStarted(w.now, d.n)
	w.port.StartDispatcher(d.n, known)
}

// Ready is called by the driver when a dispatcher takes work.
func (w *Model) DispatcherReady(d int) {
	x := w.dispatchers[d]
	if x.ready {
		return
	}
	x.ready, x.noticed = true, true
}

// AllReady tells whether every dispatcher takes work.
func (w *Model) AllDispatchersReady() bool {
	for _, d := range w.dispatchers {
		if !d.ready {
			return false
		}
	}
	return true
}

// Exited is called by the driver when a dispatcher's process has ended by itself. What it had not answered is lost.
func (w *Model) DispatcherExited(d int) {
	if x := w.dispatchers[d]; x.up {
		w.end(x)
		w.After(float64(w.Experiment.Dispatchers.RestartDelay), func() { w.startDispatcher(x) })
	}
}

// end is a process's: its connections are reset, what was out at workers goes on there.
func (w *Model) end(d *dispatcher) {
	d.up, d.ready, d.watching, d.frozen = false, false, false, false
	life := d.life
	w.Checker.DispatcherDied(w.now, d.n)
	for _, id := range d.order {
		if t := d.open[id]; t != nil {
			delete(d.open, id)
			w.After(w.delay(d.site, t.Job.Site), func() { w.failed(t) })
		}
	}
	w.After(float64(w.Experiment.Network.DetectionDelay), func() {
		if !d.ready || d.life == life {
			d.noticed = d.ready
		}
	})
}

func (w *Model) killDispatcher(d *dispatcher, again bool) {
	if !d.up {
		return
	}
	w.end(d)
	w.port.KillDispatcher(d.n)
	if again {
		w.After(float64(w.Experiment.Dispatchers.RestartDelay), func() { w.startDispatcher(d) })
	}
}

// freeze has a process stand still: its connections stay, nothing is read or written. The clients' front sees that as it
// sees a death.
func (w *Model) freeze(d *dispatcher, span float64) {
	if !d.up || d.frozen {
		return
	}
	life := d.life
	d.frozen = true
	w.Checker.DispatcherPaused(w.now, d.n)
	w.port.SetPaused(d.n, true)
	w.After(float64(w.Experiment.Network.DetectionDelay), func() {
		if d.life == life && d.frozen {
			d.noticed = false
		}
	})
	w.After(span, func() {
		if d.life != life || !d.up {
			return
		}
		d.frozen, d.noticed, d.thawed = false, d.ready, w.now
		w.Checker.DispatcherResumed(w.now, d.n)
		w.port.SetPaused(d.n, false)
	})
}

// Frozen tells whether a dispatcher stands still, and when it last went on.
func (w *Model) DispatcherPaused(d int) (frozen bool, thawed float64) {
	return w.dispatchers[d].frozen, w.dispatchers[d].thawed
}

func (w *Model) stopDispatcher(d *dispatcher) {
	if !d.up {
		return
	}
	life := d.life
	w.port.StopDispatcher(d.n)
	// The front deals out no more connections, clients go on with those that they have for as long as they last.
	w.After(300, func() {
		if d.life == life {
			d.noticed = false
		}
	})
	w.After(float64(w.Experiment.Dispatchers.StopTimeout), func() {
		if d.up && d.life == life {
			w.killDispatcher(d, true)
		}
	})
}

// Watch is a dispatcher's wish to be told of the fleet.
func (w *Model) Watch(n, number int, after int64) {
	d := w.dispatchers[n]
	life := d.life
	d.watch, d.watching = number, true
	if w.silent > 0 || w.cut(withDiscovery, d, d.site) {
		w.After(askSilent, func() { w.breakWatch(d, life, number) })
		return
	}
	w.After(w.delay(d.site, d.site), func() {
		if d.life != life || d.watch != number || !d.up {
			return
		}
		l := DiscoveryUpdate{Watch: number, Revision: w.revision, Complete: true}
		for _, x := range w.workers {
			if x.listed && x.state != dispatch.Gone && !x.denied {
				l.Workers = append(l.Workers, x.member())
			}
		}
		w.tell(d, l)
	})
}

func (w *Model) breakWatch(d *dispatcher, life, number int) {
	if d.up && d.life == life && d.watch == number && d.watching {
		d.watching = false
		w.port.WatchEnded(d.n, number)
	}
}

// tell gives a list to a dispatcher; from now on it knows.
func (w *Model) tell(d *dispatcher, l DiscoveryUpdate) {
	if l.Complete {
		for id := range d.told {
			w.Checker.WorkerListed(w.now, d.n, id, dispatch.Gone, 0)
		}
		clear(d.told)
	}
	for _, m := range l.Workers {
		w.Checker.WorkerListed(w.now, d.n, m.ID, m.State, m.told)
		if m.State == dispatch.Gone {
			delete(d.told, m.ID)
		} else {
			d.told[m.ID] = m
		}
	}
	w.port.DiscoveryUpdated(d.n, l)
}

// changed has discovery tell of workers, after the time that it needs.
func (w *Model) changed(changed ...*worker) {
	w.revision++
	revision := w.revision
	members := make([]WorkerEntry, len(changed))
	for k, x := range changed {
		members[k] = x.member()
	}
	for _, d := range w.dispatchers {
		w.After(float64(w.Experiment.Network.DiscoveryDelay)*(0.5+w.netRnd.Float64())+w.listLate, func() {
			if d.up && d.watching && w.silent == 0 && !w.cut(withDiscovery, d, d.site) {
				w.tell(d, DiscoveryUpdate{Watch: d.watch, Revision: revision, Workers: members})
			}
		})
	}
}

// hush makes discovery silent for a time; watches end once they have noticed, and what changed meanwhile is told by
// the next ones.
func (w *Model) hush(span float64) {
	w.silent++
	for _, d := range w.dispatchers {
		number, life := d.watch, d.life
		w.After(watchSilent, func() {
			if w.silent > 0 {
				w.breakWatch(d, life, number)
			}
		})
	}
	w.After(span, func() {
		if w.silent--; w.silent > 0 {
			return
		}
		for _, d := range w.dispatchers { // a short silence: the watch goes on with the whole list, nothing is left out
			if d.up && d.watching {
				w.Watch(d.n, d.watch, -1)
			}
		}
	})
}

// Tell carries a message to siblings; to -1: all.
func (w *Model) SendToPeers(from, to int, data []byte) {
	data = slices.Clone(data)
	all := w.dispatchers
	if to >= 0 {
		all = all[to:min(to+1, len(all))]
	}
	for _, d := range all {
		if d.n == from || !w.Experiment.Dispatchers.PeerMessages {
			continue
		}
		if w.lost > 0 && w.netRnd.Float64() < w.lost || w.cut(withSiblings, d, d.site) {
			continue
		}
		w.After(w.delay(w.dispatchers[from].site, d.site)+w.late, func() {
			if d.up {
				w.port.PeerMessage(d.n, from, data)
			}
		})
	}
}
