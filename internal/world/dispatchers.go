// This file owns what dispatchers meet of one another, of discovery and of their own ends.

package world

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

func (w *World) startDispatcher(d *dispatcher) {
	d.up, d.ready, d.watching = true, false, false
	d.life++
	d.order = d.order[:0]
	clear(d.open)
	known := make([]Member, 0, len(d.told))
	for _, m := range d.told {
		known = append(known, m)
	}
	slices.SortFunc(known, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	w.Audit.Started(w.now, d.n)
	w.port.Start(d.n, known)
}

// Ready is called by the driver when a dispatcher takes work.
func (w *World) Ready(d int) {
	x := w.dispatchers[d]
	if x.ready {
		return
	}
	x.ready, x.noticed = true, true
}

// AllReady tells whether every dispatcher takes work.
func (w *World) AllReady() bool {
	for _, d := range w.dispatchers {
		if !d.ready {
			return false
		}
	}
	return true
}

// Exited is called by the driver when a dispatcher's process has ended by itself. What it had not answered is lost.
func (w *World) Exited(d int) {
	if x := w.dispatchers[d]; x.up {
		w.end(x)
		w.After(float64(w.X.Dispatchers.Restart), func() { w.startDispatcher(x) })
	}
}

// end is a process's: its connections are reset, what was out at workers goes on there.
func (w *World) end(d *dispatcher) {
	d.up, d.ready, d.watching, d.frozen = false, false, false, false
	life := d.life
	w.Audit.Died(w.now, d.n)
	for _, id := range d.order {
		if t := d.open[id]; t != nil {
			delete(d.open, id)
			w.After(w.delay(d.site, t.Job.Site), func() { w.failed(t) })
		}
	}
	w.After(float64(w.X.Network.Notice), func() {
		if !d.ready || d.life == life {
			d.noticed = d.ready
		}
	})
}

func (w *World) killDispatcher(d *dispatcher, again bool) {
	if !d.up {
		return
	}
	w.end(d)
	w.port.Kill(d.n)
	if again {
		w.After(float64(w.X.Dispatchers.Restart), func() { w.startDispatcher(d) })
	}
}

// freeze has a process stand still: its connections stay, nothing is read or written. The clients' front sees that as it
// sees a death.
func (w *World) freeze(d *dispatcher, span float64) {
	if !d.up || d.frozen {
		return
	}
	life := d.life
	d.frozen = true
	w.Audit.Frozen(w.now, d.n)
	w.port.Freeze(d.n, true)
	w.After(float64(w.X.Network.Notice), func() {
		if d.life == life && d.frozen {
			d.noticed = false
		}
	})
	w.After(span, func() {
		if d.life != life || !d.up {
			return
		}
		d.frozen, d.noticed, d.thawed = false, d.ready, w.now
		w.Audit.Thawed(w.now, d.n)
		w.port.Freeze(d.n, false)
	})
}

// Frozen tells whether a dispatcher stands still, and when it last went on.
func (w *World) Frozen(d int) (frozen bool, thawed float64) {
	return w.dispatchers[d].frozen, w.dispatchers[d].thawed
}

func (w *World) stopDispatcher(d *dispatcher) {
	if !d.up {
		return
	}
	life := d.life
	w.port.Stop(d.n)
	// The front deals out no more connections, clients go on with those that they have for as long as they last.
	w.After(300, func() {
		if d.life == life {
			d.noticed = false
		}
	})
	w.After(float64(w.X.Dispatchers.Kill), func() {
		if d.up && d.life == life {
			w.killDispatcher(d, true)
		}
	})
}

// Watch is a dispatcher's wish to be told of the fleet.
func (w *World) Watch(n, number int, after int64) {
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
		l := Listing{Watch: number, Revision: w.revision, Complete: true}
		for _, x := range w.workers {
			if x.listed && x.state != dispatch.Gone && !x.denied {
				l.Members = append(l.Members, x.member())
			}
		}
		w.tell(d, l)
	})
}

func (w *World) breakWatch(d *dispatcher, life, number int) {
	if d.up && d.life == life && d.watch == number && d.watching {
		d.watching = false
		w.port.Broken(d.n, number)
	}
}

// tell gives a list to a dispatcher; from now on it knows.
func (w *World) tell(d *dispatcher, l Listing) {
	if l.Complete {
		for id := range d.told {
			w.Audit.Told(w.now, d.n, id, dispatch.Gone, 0)
		}
		clear(d.told)
	}
	for _, m := range l.Members {
		w.Audit.Told(w.now, d.n, m.ID, m.State, m.told)
		if m.State == dispatch.Gone {
			delete(d.told, m.ID)
		} else {
			d.told[m.ID] = m
		}
	}
	w.port.List(d.n, l)
}

// changed has discovery tell of workers, after the time that it needs.
func (w *World) changed(changed ...*worker) {
	w.revision++
	revision := w.revision
	members := make([]Member, len(changed))
	for k, x := range changed {
		members[k] = x.member()
	}
	for _, d := range w.dispatchers {
		w.After(float64(w.X.Network.List)*(0.5+w.netRnd.Float64())+w.listLate, func() {
			if d.up && d.watching && w.silent == 0 && !w.cut(withDiscovery, d, d.site) {
				w.tell(d, Listing{Watch: d.watch, Revision: revision, Members: members})
			}
		})
	}
}

// hush makes discovery silent for a time; watches end once they have noticed, and what changed meanwhile is told by
// the next ones.
func (w *World) hush(span float64) {
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
func (w *World) Tell(from, to int, data []byte) {
	data = slices.Clone(data)
	all := w.dispatchers
	if to >= 0 {
		all = all[to:min(to+1, len(all))]
	}
	for _, d := range all {
		if d.n == from || !w.X.Dispatchers.Tell {
			continue
		}
		if w.lost > 0 && w.netRnd.Float64() < w.lost || w.cut(withSiblings, d, d.site) {
			continue
		}
		w.After(w.delay(w.dispatchers[from].site, d.site)+w.late, func() {
			if d.up {
				w.port.Message(d.n, from, data)
			}
		})
	}
}
