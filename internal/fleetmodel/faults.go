// This file owns the timeline of troubles and the record of how busy workers are.

package fleetmodel

import (
	"fmt"
	"math"

	"weldmast/internal/dispatch"
)

func (w *Model) mark(format string, a ...any) {
	w.Annotations = append(w.Annotations, Annotation{w.now, fmt.Sprintf(format, a...)})
}

// hit draws the workers that a fault hits: of those up of its site and kind, a count or a share, at least one.
func (w *Model) hit(f *Fault) []*worker {
	var all []*worker
	for _, x := range w.workers {
		if x.up && x.state == dispatch.Up && (f.Site == "" || SiteName(x.site) == f.Site) && (f.WorkerKind == "" || x.k.Name == f.WorkerKind) {
			all = append(all, x)
		}
	}
	n := f.Count
	if n == 0 {
		n = int(math.Ceil(f.Share * float64(len(all))))
	}
	w.faultRnd.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(n, len(all))]
}

// among draws dispatchers: a count, or a share if none is given.
func (w *Model) among(f *Fault) []*dispatcher {
	if len(f.Dispatchers) > 0 {
		var all []*dispatcher
		for _, d := range f.Dispatchers {
			if d >= 0 && d < len(w.dispatchers) {
				all = append(all, w.dispatchers[d])
			}
		}
		return all
	}
	n := f.Count
	if n == 0 {
		n = int(math.Ceil(f.Share * float64(len(w.dispatchers))))
	}
	var all []*dispatcher
	for _, k := range w.faultRnd.Perm(len(w.dispatchers))[:min(n, len(w.dispatchers))] {
		all = append(all, w.dispatchers[k])
	}
	return all
}

// Strike lets a fault begin now, whatever its time.
func (w *Model) InjectFault(f Fault) { w.strike(&f) }

// View is a worker as it is now.
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

// Look shows all workers but those that were replaced.
func (w *Model) WorkerViews() (all []WorkerView) {
	for _, x := range w.workers {
		v := WorkerView{ID: x.id, Kind: x.kind, Site: x.site, State: "up", Running: len(x.running), Queued: len(x.queue), Finished: x.done}
		switch {
		case x.silent:
			v.State = "silent"
		case !x.up && x.retired:
			continue
		case !x.up:
			v.State = "down"
		case x.state == dispatch.Draining:
			v.State = "draining"
		}
		if x.up {
			v.Warmth = w.warmth(x, w.now)
		}
		all = append(all, v)
	}
	return all
}

// strike lets a fault begin; what lasts ends after its time, 0: never.
func (w *Model) strike(f *Fault) {
	span := float64(f.Duration)
	until := func(undo func()) {
		if span > 0 {
			w.After(span, undo)
		}
	}
	amount := func(absent float64) float64 {
		if f.Amount == 0 {
			return absent
		}
		return f.Amount
	}
	each := func(do, undo func(*worker)) int {
		hit := w.hit(f)
		for _, x := range hit {
			w.change(x, func() { do(x) })
		}
		until(func() {
			for _, x := range hit {
				w.change(x, func() { undo(x) })
			}
		})
		return len(hit)
	}
	n := -1
	switch f.Type {
	case "kill":
		hit := w.hit(f)
		for _, x := range hit {
			w.kill(x, span)
		}
		n = len(hit)
	case "vanish", "site_loss":
		hit := w.hit(f)
		for _, x := range hit {
			w.vanish(x, span)
		}
		n = len(hit)
	case "cut":
		w.cuts = append(w.cuts, f)
		until(func() { w.heal(f) })
	case "drain":
		hit := w.hit(f)
		for _, x := range hit {
			w.drain(x, span, false)
		}
		n = len(hit)
	case "deploy":
		hit := w.hit(f)
		batch := int(max(amount(1), 1))
		for k, x := range hit {
			w.After(span*float64(k/batch), func() { w.drain(x, 0, true) })
		}
		n = len(hit)
	case "slow":
		a := amount(0.25)
		n = each(func(x *worker) { x.slow *= a }, func(x *worker) { x.slow /= a })
	case "neighbour":
		a := min(amount(0.5), 0.99)
		n = each(func(x *worker) { x.taken = a }, func(x *worker) { x.taken = 0 })
	case "fail":
		a := amount(1)
		n = each(func(x *worker) { x.fails = a }, func(x *worker) { x.fails = 0 })
	case "tail":
		w.tail = amount(10)
		until(func() { w.tail = 1 })
	case "burst":
		for k, t := range w.Experiment.Tenants {
			if f.Tenant == "" || t.Name == f.Tenant {
				w.bursts[k] *= amount(4)
				until(func() { w.bursts[k] /= amount(4) })
			}
		}
	case "discovery_silent":
		w.hush(span)
	case "discovery_late":
		w.listLate = amount(2000)
		until(func() { w.listLate = 0 })
	case "list_wrong": // it calls workers gone that run and serve
		hit := w.hit(f)
		deny := func(on bool) {
			for _, x := range hit {
				x.denied = on
			}
			w.changed(hit...)
		}
		deny(true)
		until(func() { deny(false) })
		n = len(hit)
	case "messages_lost":
		w.lost = amount(1)
		until(func() { w.lost = 0 })
	case "messages_late":
		w.late = amount(200)
		until(func() { w.late = 0 })
	case "callbacks_repeat":
		w.repeat = amount(1)
		until(func() { w.repeat = 0 })
	case "callbacks_late":
		w.backLate = amount(100)
		until(func() { w.backLate = 0 })
	case "dispatcher_kill":
		for _, d := range w.among(f) {
			w.killDispatcher(d, true)
		}
	case "dispatcher_stop":
		for k, d := range w.among(f) {
			w.After(span*float64(k), func() { w.stopDispatcher(d) })
		}
	case "dispatcher_reload":
		for _, d := range w.among(f) {
			if d.up {
				w.port.ReloadDispatcher(d.n)
			}
		}
	case "dispatcher_upgrade":
		for k, d := range w.among(f) {
			w.After(span*float64(k), func() {
				if d.up && !d.frozen { // beside one that hangs a newer process shares its address: another trouble
					w.port.UpgradeDispatcher(d.n)
				}
			})
		}
	case "dispatcher_freeze":
		for _, d := range w.among(f) {
			w.freeze(d, span)
		}
	case "link_cut", "link_oneway", "link_late", "link_held", "link_reset", "link_trickle", "link_half", "folder_full", "folder_gone",
		"folder_empty", "folder_older", "folder_flipped", "publish", "publish_twice":
		var hit []int
		for _, d := range w.among(f) {
			hit = append(hit, d.n)
		}
		w.port.SetFleetFault(f, hit, true)
		until(func() { w.port.SetFleetFault(f, hit, false) })
		if f.Type == "folder_empty" || f.Type == "folder_older" || f.Type == "folder_flipped" { // found so at the next start
			for _, d := range hit {
				w.killDispatcher(w.dispatchers[d], true)
			}
		}
	case "clients_flood":
		for _, d := range w.among(f) {
			w.port.FloodConnections(d.n, amount(200), max(span, 1000))
		}
	case "clock_jump": // workers' machines: what they say of their start is off by so much
		hit := w.hit(f)
		for _, x := range hit {
			x.clock += f.Amount
		}
		w.changed(hit...)
		n = len(hit)
	}
	if n >= 0 {
		w.mark("%s of %d workers", f.Type, n)
	} else {
		w.mark("%s", f.Type)
	}
	switch f.Type {
	case "publish", "publish_twice", "deploy", "dispatcher_stop", "dispatcher_kill", "dispatcher_reload", "dispatcher_upgrade", "clock_jump":
	default:
		if span > 0 {
			w.After(span, func() { w.mark("%s ends", f.Type) })
		}
	}
}

// heal ends a cut: what was written into it arrives now.
func (w *Model) heal(f *Fault) {
	for k, c := range w.cuts {
		if c == f {
			w.cuts = append(w.cuts[:k], w.cuts[k+1:]...)
			break
		}
	}
	for _, x := range w.workers {
		if x.silent {
			continue
		}
		held := x.limbo
		x.limbo = nil
		for _, h := range held {
			d := w.dispatchers[h.Dispatcher]
			switch {
			case w.cut(withWorkers, d, x.site):
				x.limbo = append(x.limbo, h)
			case h.off: // its connection was closed: nothing is sent again
			case d.life != h.life:
			default:
				h.arrives = w.now + w.delay(d.site, x.site)
				w.At(h.arrives, func() { w.arrive(h) })
			}
		}
	}
	if f.Path == "discovery" {
		for _, d := range w.dispatchers {
			if d.up && d.watching {
				w.Watch(d.n, d.watch, -1)
			}
		}
	}
}

// sample notes each second how busy each kind was.
func (w *Model) sample(start float64) {
	before := make([]float64, len(w.Experiment.Kinds))
	var next func()
	next = func() {
		s := LoadSample{BusyCores: make([]float64, len(w.Experiment.Kinds))}
		for _, x := range w.workers {
			w.work(x)
			s.BusyCores[x.kind] += x.busy
		}
		for k := range s.BusyCores {
			s.BusyCores[k], before[k] = (s.BusyCores[k]-before[k])/1000, s.BusyCores[k]
		}
		w.LoadSamples = append(w.LoadSamples, s)
		if !w.Done() {
			w.After(1000, next)
		}
	}
	w.At(start+1000, next)
}
