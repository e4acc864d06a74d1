// Package dispatch decides where each work item (wi) goes, and when it is given up. It is size interval task
// assignment (Turchetta and Gardner): bins by cost hint, lanes of kinds by speed, a worker at random within
// the kind. docs/design.md says what was kept, changed and why, with the condition of each departure.
//
// Call Round(now, in, out) whenever something came in: it has in call the plain methods below (Arrived,
// Answered, ...), then places what is held; decisions go straight to out. The interface lives in port.go,
// what is remembered in state.go and pools.go, the form of messages between siblings in siblings.go.
package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	resetEvery = 5000   // time between cutoff resets
	fitPace    = 0.1    // smoothing of how many fit, for each start
	kindPace   = 0.05   // smoothing of a kind's speed, for each answer
	workerPace = 0.25   // the same for a worker beside its kind
	queuePace  = 0.2    // smoothing of the wait at a kind, for each start
	queueHalf  = 2000   // it halves in this time without a start
	leakStep   = 0.02   // rise of the leak for each refusal of a slow worker
	leakHalf   = 5000   // the leak halves in this time
	sureAfter  = 8      // answers after which a kind's speed is relied on
	suspectFor = 1e4    // a worker that failed work is drawn last for this time
	failPace   = 0.05   // smoothing of how much work fails, for each answer
	unlikely   = 0.06   // chance below which failures in a row are the worker's
	mostly     = 0.8    // share of failed work that fails again from which all of it is taken to
	overdue    = 1.25   // times the running time expected: an answer is overdue
	often      = 0.1    // share of silent ends from which work is copied while it may still run
	tryAnyway  = 1. / 8 // part of it that goes on all the same, to see whether that still holds
	lostAfter  = 3      // failures in a row after which a worker that the list has dropped counts as gone
	leastStep  = 1. / 8 // least weight in the draw of one that it has dropped
	trialFirst = 500    // first time out of the draw after a failure; doubles with each in a row

	mostShare  = 32    // dispatchers that share a worker, at most
	mostWarm   = 8     // those of them that may send there while it is cold; so many share it at least
	wantPart   = 10    // workers that a dispatcher wants to draw from
	spare      = 1.5   // workers for a key's work, of what its part of all work fills
	unheard    = 3000  // siblings are unseen when none was heard for this time
	tenantSpan = 5000  // time over which a tenant's arrivals are counted
	weighSpan  = 60000 // time over which this dispatcher's traffic is weighed against that of siblings
	fadesIn    = 1e4   // a worker's own speed fades back to its kind's over this time
	many       = 256   // workers beyond which a draw looks at some; of each pool as many that fit are enough
)

// Round takes in what came in and decides. Nothing is decided outside it.
func (d *Dispatcher) Round(now float64, in Inbox, out Executor) {
	d.now, d.out = now, out
	in.Deliver(d)
	if now >= d.beatAt {
		d.beatAt, d.stirred = now+d.beat, true
		out.SetTimer(0, d.beat)
		d.sweep()
		d.ask()
		// While no sibling is heard their work is unseen: the books would show workers free that are not.
		if d.sight = seen; d.f.siblings > 1 && now-d.heard > unheard {
			d.sight = unseen
		}
	}
	if now >= d.resetAt {
		d.reset()
	}
	d.place()
}

// deal lists the dispatchers that may share the worker, in an order drawn for it: one of each part of them,
// by its id and their numbers alone, so that all deal alike without a word and no other worker's coming or
// going changes it. The first d.shares share it: each learns the more of a worker the fewer fill it unseen.
func (d *Dispatcher) deal(hash uint64) (dealt []int) {
	draw := func(part int) uint64 { return mix(hash + uint64(part)) }
	for part := range d.f.parts {
		dealt = append(dealt, part)
	}
	slices.SortFunc(dealt, func(a, b int) int { return cmp.Compare(draw(a), draw(b)) })
	for k, part := range dealt {
		first := part * d.f.siblings / d.f.parts
		dealt[k] = first + int(draw(part)%uint64((part+1)*d.f.siblings/d.f.parts-first))
	}
	return dealt
}

// share cuts how many dispatchers share a worker by how many there are beside how many workers are up. Who
// may warm one does not depend on it: those come first in its deal, whatever list another has.
func (d *Dispatcher) share() {
	up := 0
	for _, w := range d.workers {
		if w.State == Up {
			up++
		}
	}
	d.shares = min(max((wantPart*d.f.siblings+up-1)/max(up, 1), mostWarm), d.f.parts)
	d.untold = float64(d.shares*d.shares) / (mostShare * mostShare)
	stranded := true // then it goes to any, though never to a cold one
	for _, w := range d.workers {
		w.mine = d.f.keyed || w.place < d.shares
		stranded = stranded && !(w.mine && w.State == Up)
	}
	d.part = d.part[:0]
	for _, w := range d.workers {
		if w.mine || stranded {
			d.part = append(d.part, w)
		}
	}
	d.pool()
}

// tell lets those that share the worker know of a hand-off that lasts, and for how long; no span tells that
// it ended well before. What is short is not worth it. Each arrival pays for mostShare of these: no flood.
func (d *Dispatcher) tell(h *handoff, span float64) {
	h.tellAt = d.now + span
	if d.mayTell() {
		d.tolds.add(d.now, weighSpan, 1)
		d.tellSharers(h.w, d.pack(h.w, span))
	}
}

func (d *Dispatcher) mayTell() bool { return d.f.mayTell && d.tellings >= d.shares-1 }

func (d *Dispatcher) tellSharers(w *worker, message []byte) {
	d.tellings -= d.shares - 1
	for _, to := range w.sharers[:d.shares] {
		if to != d.f.number {
			d.out.SendToPeer(to, message)
		}
	}
}

// off takes a hand-off that ended or is lost out of the books, its siblings' too.
func (d *Dispatcher) off(h *handoff) {
	if h.at != nil && h.tellAt-d.now > d.untold*d.span(h.w) {
		d.tell(h, 0)
	}
	h.to(nil)
}

// ask keeps the subscription to discovery alive: again when a call failed, after a drawn, doubling time, and
// when nothing was heard for long. It guards against dispatchers that keep one another from being heard.
func (d *Dispatcher) ask() {
	gap := d.askWait
	if d.watched {
		gap = d.f.askAgain
	}
	if d.f.mustAsk && (d.asked < 0 || d.now-d.asked >= gap) {
		d.asked, d.askWait = d.now, d.f.askMost // its answer may take long
		d.out.WatchDiscovery(true)
	}
}

// Listed takes what discovery says.
func (d *Dispatcher) Listed(form ListType, entries []Entry) {
	if form == ListUnavailable { // guards against sending to workers whose drain nobody told
		d.watched, d.asked = false, d.now
		d.askWait = min(d.askGap, d.f.askMost) * (0.5 + d.chance())
		d.askGap = 2 * min(d.askGap, d.f.askMost)
		return
	}
	if form != ListRestored && d.asked >= 0 {
		d.watched, d.asked, d.askGap = true, d.now, d.f.askFirst
	}
	fleet := form != ListChanges
	if fleet {
		for _, w := range d.workers {
			d.drop(w)
		}
	}
	for _, e := range entries {
		w := d.byID[e.Worker]
		if e.State == Gone {
			if w != nil {
				d.drop(w)
				fleet = true
			}
			continue
		}
		if w == nil {
			w = d.meet(e.Worker)
		} else if e.Since != w.Since { // a new process: what its forerunner did says nothing of it
			w.fails, w.outTill, w.suspectTill, w.slow, w.full, w.theirs = 0, 0, 0, 0, 0, nil
		}
		if e.Kind < 0 || e.Kind >= len(d.kinds) {
			e.Kind = len(d.kinds) - 1
		}
		if k := &d.kinds[e.Kind]; d.f.liveWeights && e.Weight > 0 {
			k.size = max(k.size, e.Weight)
			w.told = k.size/e.Weight - 1
		}
		w.Weight = e.Weight // which alone is no change of the fleet
		fleet = fleet || w.Entry != e || w.dropped
		w.Entry, w.dropped = e, false
	}
	if d.stirred = true; fleet {
		d.resetAt = d.now
		d.share()
	}
}

// drop takes a worker off the list. Where only draining binds one that was up stays in the draw by steps, as
// it answers. It guards against lists that lack live workers; it could cost a few hand-offs that never ran.
func (d *Dispatcher) drop(w *worker) {
	switch {
	case !d.f.onlyDraining || w.State != Up: // one seen as draining stays bound when a later list forgets it
		w.State = Gone
	case !w.dropped:
		w.dropped, w.step, w.fails = true, 1, min(w.fails, 1)
	}
}

// Arrived takes a new work item.
func (d *Dispatcher) Arrived(wi WorkItem) {
	it := &item{WorkItem: wi, cat: &d.f.categories[wi.Category], expiry: d.now + wi.TimeLeft}
	if it.Hint, it.guessed = wi.Hint, wi.Hint <= 0; it.guessed {
		it.Hint = d.guess(wi.Category)
	} else if !d.hinted {
		d.unlearn()
	}
	if it.guessed != d.hinted {
		remember(&d.sample, &d.sampled, it.Hint)
		if d.sampled&(d.sampled-1) == 0 { // early on, reset as the sample doubles
			d.resetAt = d.now
		}
	}
	if d.f.keyed && wi.Key != "" {
		it.key = hash(wi.Key)
		remember(&d.keys, &d.keyed, it.key)
	}
	// A retry counts from its first try: what is gone of the time that a first try has is past.
	d.most[wi.Category] = max(d.most[wi.Category], wi.TimeLeft)
	spent := d.most[wi.Category] - wi.TimeLeft
	if wi.ShutdownIn > 0 { // what is taken must be answered by then
		it.expiry = min(it.expiry, d.now+wi.ShutdownIn)
	}
	it.until = min(d.now-spent+min(it.cat.DueTime+it.cat.DueStretch*it.Hint, it.cat.Expiry), it.expiry)
	it.rank = it.cat.Credit
	if part := d.excess(wi.Tenant); part > 0 && d.chance() < part {
		it.excess, it.rank = true, it.rank*d.f.excessCredit
	}
	d.tellings = min(d.tellings+mostShare, mostShare*mostShare)
	d.items[wi.ID], d.open, d.arrived = it, append(d.open, it), true
	d.hold(it, 0)
}

// excess counts an arrival of the tenant and tells what part of its traffic lies beyond its share, what
// arrives elsewhere taken to be like what arrives here, by the messages heard beside those sent.
func (d *Dispatcher) excess(tenant int) float64 {
	if tenant < 0 {
		return 0
	}
	d.arrivals[tenant].add(d.now, tenantSpan, 1)
	heard := d.heards.sum(d.now, weighSpan) / float64(max(d.shares-1, 1))
	others := float64(d.f.siblings-1) * (heard + 1) / (d.tolds.sum(d.now, weighSpan) + 1)
	n, share := d.arrivals[tenant].sum(d.now, tenantSpan), d.f.shares[tenant]/(1+others)
	if n < share+2*math.Sqrt(share) { // may be chance
		return 0
	}
	return 1 - share/n
}

// hold queues an item, by rank, that has no more than so many hand-offs out.
func (d *Dispatcher) hold(it *item, out int) {
	if it.held || it.ended || it.out > out {
		return
	}
	it.held = true
	at := len(d.held)
	for at > 0 && d.held[at-1].rank < it.rank {
		at--
	}
	d.held = slices.Insert(d.held, at, it)
}

// Noticed takes a start or progress notice.
func (d *Dispatcher) HandOffProgressed(wi uint64, ho int, start bool, _ float64) {
	it := d.items[wi]
	if it == nil || ho < 0 || ho >= len(it.hos) || it.hos[ho].done {
		return
	}
	h := &it.hos[ho]
	h.heard = d.now
	h.to(&h.w.running)
	if h.started >= 0 {
		return
	}
	h.started, d.stirred = d.now, true
	if !start { // the start notice was lost or is late; else its gap is the one direct sight of the queue
		return
	}
	w, k, gap := h.w, &d.kinds[h.w.Kind], d.now-h.sent
	if d.reached(w, gap); gap > d.grace(w) {
		w.full, w.drained = d.now+min(gap, d.span(w)), d.now+gap
	}
	d.fits(k, h, gap <= d.grace(w))
	k.queue, k.queueAt = d.queue(k)+(max(0, gap-d.grace(w))-d.queue(k))*queuePace, d.now
}

// fits learns how many work items run at once on a worker of the kind: did the nth start at once? With
// siblings heard and unheard are learned apart; unheard, one more must be nearly sure to start.
func (d *Dispatcher) fits(k *kind, h *handoff, did bool) {
	r, n := &k.room[h.sight], min(h.load, len(k.room[0].fit)-1)
	if did {
		r.fit[n] += fitPace * (1 - r.fit[n])
	} else if r.fit[n] -= fitPace * (1 + r.fit[n]); n > r.most+1 {
		r.tried++ // one more does not fit: try that ever more rarely
		r.explore = d.now + 1000*math.Exp2(float64(min(r.tried, 4)))
	}
	for r.most = 0; r.most+2 < len(r.fit) && r.fit[r.most+2] > 0; {
		r.most++
	}
	for r.more = 0; r.more < r.most && r.fit[r.more+2] > 0.7*float64(h.sight); {
		r.more++
	}
}

// Answered takes the end of a hand-off.
func (d *Dispatcher) HandOffEnded(a HandOffResult) {
	it := d.items[a.WI]
	if it == nil || a.HO < 0 || a.HO >= len(it.hos) || it.hos[a.HO].done {
		return
	}
	h := &it.hos[a.HO]
	h.done, h.unsure, d.stirred = true, a.Outcome.MayStillRun(), true
	it.out--
	d.off(h)
	d.judge(it, h, a)
	if a.Outcome.ProvesNotRun() {
		h.unrun = true
		it.risk--
	}
	switch {
	case a.Final:
		d.end(it)
	case it.out == 0 && (d.now >= it.expiry || len(it.hos) >= d.f.maxHandOffs || it.bad ||
		!d.mayRepeat(it, nil)):
		d.giveUp(it) // nothing more may be sent for it
	default:
		d.hold(it, 0)
	}
}

// judge learns from the end of a hand-off: speed from answers, sickness from failures in a row.
func (d *Dispatcher) judge(it *item, h *handoff, a HandOffResult) {
	w, k := h.w, &d.kinds[h.w.Kind]
	k.free = max(k.free, int(a.Load.FreeSlots))
	switch a.Outcome {
	case Finished:
		d.tally(it, w, 0)
		w.fails, w.errs, w.mute, w.outTill, w.full, w.step = 0, 0, 0, 0, 0, min(1, 2*w.step)
		d.silent *= 1 - failPace
		run := a.Elapsed
		if h.started >= 0 {
			run = d.now - h.started // its running time; without notices, its latency
		}
		if !d.f.tellsStart { // no notices: a long answer tells of waiting
			d.fits(k, h, run <= 2*d.cost(it, w))
		} else if h.started < 0 {
			return
		}
		if it.guessed { // where others have hints, short work without one would make its kind look fast
			d.teach(it, w, max(run, d.f.twoGrains/4)*d.warmth(w))
			return
		}
		if d.f.keyed { // as speed, what a fetch adds would have small work come late
			k.fetch += (max(0, run-it.Hint*math.Exp(k.slow+d.slowness(w))) - k.fetch) * kindPace
			if k.hint += (it.Hint - k.hint) * kindPace; it.Hint < k.hint/2 {
				return
			}
			run = max(run-k.fetch, run/2)
		}
		// By logarithms, so that work far costlier than its hint moves the speed by little.
		x := math.Log(max(run, d.f.twoGrains/4) * d.warmth(w) / it.Hint) // as if warm
		if k.answers++; !k.known {
			k.slow, k.known = x, true
			return
		}
		w.slow, w.slowAt = d.slowness(w)*(1-workerPace)+(x-k.slow)*workerPace, d.now
		k.slow += (x - k.slow) * kindPace * math.Floor(d.warmth(w)) // cold ones tell nothing of their kind
	case Full:
		d.fail(w)        // it was taken to have room: what fills it is unseen, or it refuses everything
		if k.lane == 1 { // slow workers refuse: let some large work into the fast lane
			d.leak, d.leakAt = min(1, d.leakNow()+leakStep), d.now
		}
	case Failed:
		d.tally(it, w, 1)
		d.blame(it, w)
	case ConnectFailed, ConnReset:
		d.fail(w)
	}
}

// blame finds what failed: the worker if so many in a row are unlikely where as much fails as everywhere; the
// work if it failed elsewhere too, or if what fails mostly does. It guards against work that nobody can do.
func (d *Dispatcher) blame(it *item, w *worker) {
	if it.failed != nil && it.failed != w {
		it.bad = true
		it.failed.fails, it.failed.errs, it.failed.outTill, it.failed.suspectTill = 0, 0, 0, 0
		return
	}
	it.failed = w
	if w.errs++; math.Pow(d.failing, float64(w.errs)) < unlikely {
		d.fail(w)
		d.suspect(w)
	}
	it.bad = d.again > mostly && d.chance() > tryAnyway
}

// suspect has a worker drawn last for a while, here and at those that share it: each of many dispatchers has
// few answers to learn from, and one that fails fast is always free. A wrong word costs it its turn alone.
func (d *Dispatcher) suspect(w *worker) {
	told := w.suspectTill - d.now
	if w.suspectTill = d.now + suspectFor; told > suspectFor/2 || !d.mayTell() {
		return
	}
	d.tellSharers(w, append(d.pack(w, 0), suspicion))
}

// fail takes a worker out of the draw, the longer the more failures it had in a row.
func (d *Dispatcher) fail(w *worker) {
	if w.fails++; w.dropped && w.fails >= lostAfter { // list and worker say the same
		w.State, w.dropped, d.resetAt = Gone, false, d.now
	}
	w.outTill = d.now + min(trialFirst*math.Exp2(float64(w.fails-1)), d.f.cold)
}

// Left takes a client's departure.
func (d *Dispatcher) ClientLeft(wi uint64) {
	if it := d.items[wi]; it != nil && !it.ended {
		d.end(it)
	}
}

// giveUp gives the final answer at once. This is the one place for it: a deferral where trying again is
// harmless, else a write-off.
func (d *Dispatcher) giveUp(it *item) {
	if it.ended {
		return
	}
	if it.risk == 0 || it.cat.Repeat == Rerunnable || it.cat.Repeat == Ticketed && it.cat.DedupScope == DedupAll {
		d.out.Defer(it.ID, min(d.mean, d.f.maxPause))
	} else {
		d.out.WriteOff(it.ID)
	}
	d.end(it)
}

// end marks an item as answered and calls off what is still out for it.
func (d *Dispatcher) end(it *item) {
	it.ended, it.held = true, false
	for k := range it.hos {
		if h := &it.hos[k]; d.f.mayCancel && !h.done && !h.moved && !it.stream {
			h.moved = true
			d.out.Cancel(it.ID, k)
		}
	}
}

// sweep looks at everything open: what has expired, waits too long or stands still. What is answered but
// still out counts on, as a cancel may leave it running.
func (d *Dispatcher) sweep() {
	keep := d.open[:0]
	for _, it := range d.open {
		if !it.ended && !it.stream && d.now >= it.expiry {
			d.giveUp(it)
		}
		if it.ended && it.out == 0 {
			delete(d.items, it.ID)
			continue
		}
		keep = append(keep, it)
		for k := range it.hos {
			h := &it.hos[k]
			if h.at != nil && d.now >= h.tellAt {
				d.tell(h, max((d.now-h.sent)/2, 4*d.beat))
			}
			if !h.done && !h.moved {
				d.doubt(it, k, h)
			}
		}
	}
	clear(d.open[len(keep):])
	d.open = keep
}

// doubt looks at a hand-off that is out. One that has waited away a fifth of what it can spare is moved if
// second copies are allowed. One that stands still, or has not started in twice the time that all known
// before it takes, is lost and no longer counts as load. This guards against hand-offs that vanish without a
// word.
func (d *Dispatcher) doubt(it *item, ho int, h *handoff) {
	late, lost := false, false
	switch waited := d.now - h.sent; {
	case !d.f.tellsStart || h.started >= 0 && d.f.still == 0:
		lost = waited > 4*max(d.cost(it, h.w), d.span(h.w))
	case h.started >= 0:
		lost = d.now-h.heard > d.f.still
		d.copy(it, h)
	default:
		// Not where a cancel may leave it queued; nor, where others only look free, by the last hand-off.
		spare := it.until - h.sent - d.cost(it, h.w)
		late = d.f.copies && len(it.hos)+d.sight < d.f.maxHandOffs && waited > max(d.grace(h.w), spare/5)
		ahead := h.load
		if d.sight == unseen { // as much again may be there
			ahead += d.kinds[h.w.Kind].slots()
		}
		lost = waited > max(d.grace(h.w), 2*float64(ahead)*d.span(h.w))
	}
	if lost {
		d.silence(h)
	}
	// Only rerunnable work is moved: anything else may have had its effect.
	if it.cat.Repeat != Rerunnable || !d.f.mayCancel || it.stream || len(it.hos) >= d.f.maxHandOffs {
		return
	}
	from := d.some()
	if it.key != 0 {
		from = d.home(it.key).workers
	}
	other := func(w *worker) bool { return w != h.w && d.useful(it, w) }
	if lost || late && slices.ContainsFunc(from, other) {
		h.moved = true
		d.out.Cancel(it.ID, ho)
	}
}

// copy takes work that is overdue out of the books and sends it a second time while the first may still run,
// where many answers never come. It guards against answers that are lost on the way from workers that are
// well, which would look full and sick. Where answers are merely late it would do work twice.
func (d *Dispatcher) copy(it *item, h *handoff) {
	if d.silent < often || d.now-h.started < overdue*d.cost(it, h.w) {
		return
	}
	d.silence(h)
	if d.f.copies && it.cat.Repeat == Rerunnable {
		d.hold(it, 1)
	}
}

// silence takes a hand-off that says no more out of the books. It is the worker's failure unless it started
// and so many in a row are likely by lost answers alone; a fetch shows no progress either.
func (d *Dispatcher) silence(h *handoff) {
	if h.at == nil {
		return
	}
	d.off(h)
	d.stirred = true
	if h.started >= 0 && !d.f.keyed {
		h.w.mute, d.silent = h.w.mute+1, d.silent+(1-d.silent)*failPace
		if math.Pow(d.silent, h.w.mute) >= unlikely {
			return
		}
	}
	d.fail(h.w)
}

// reset learns the lanes and the cutoff anew.
func (d *Dispatcher) reset() {
	clear(d.homes)
	d.resetAt = d.now + resetEvery
	d.forget()
	if part := d.lanes(); len(d.sample) > 0 {
		d.cut(part)
	}
}

// lanes splits the kinds by speed where the lanes' capacities are most alike. It returns the fast lane's
// part.
func (d *Dispatcher) lanes() float64 {
	total, count, all, before, fast := 0.0, 0.0, 0.0, 0.0, 0.0
	var order []*kind
	for k := range d.kinds {
		kd := &d.kinds[k]
		if order, kd.weight = append(order, kd), 0; kd.known {
			total, count = total+kd.slow, count+1
		}
	}
	for _, kd := range order {
		if !kd.known && count > 0 {
			kd.slow = total / count
		}
		kd.each = math.Exp(-kd.slow) * float64(kd.slots())
	}
	for _, w := range d.part {
		if w.State == Up && !d.ejected(w) {
			c := d.kinds[w.Kind].each * d.warmth(w)
			d.kinds[w.Kind].weight += c
			all += c
		}
	}
	slices.SortStableFunc(order, func(a, b *kind) int { return cmp.Compare(a.slow, b.slow) })
	for _, kd := range order { // a kind goes to the lane in which the middle of its capacity lies
		if before += kd.weight; 2*before-kd.weight > all {
			kd.lane = 1
		} else {
			kd.lane, fast = 0, fast+kd.weight
		}
	}
	return fast / max(all, 1e-9)
}

// cut sets the cutoff such that the sample's cost below it is the given part.
func (d *Dispatcher) cut(part float64) {
	d.sorted = append(d.sorted[:0], d.sample...)
	slices.Sort(d.sorted)
	d.median, d.cutoff = d.sorted[len(d.sorted)/2], math.Inf(1)
	sum, below := 0.0, 0.0
	for _, x := range d.sorted {
		sum += x
	}
	d.mean = sum / float64(len(d.sorted))
	for _, x := range d.sorted {
		if below += x; below > sum*part {
			d.cutoff = x
			break
		}
	}
}

// warmth is the part of its capacity that a worker has at least, its growth taken as the slowest.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := d.now - w.Since
	if w.Since <= 0 || age >= d.f.cold {
		return 1
	}
	return d.f.startShare + d.f.warming*max(age, 0)
}

// cost is the running time to expect of an item on a worker. A cold one may warm faster than it must.
func (d *Dispatcher) cost(it *item, w *worker) float64 {
	k, warm := &d.kinds[w.Kind], d.warmth(w)
	return it.Hint*math.Exp(k.slow+max(d.slowness(w), math.Log(warm)))/warm + k.fetch +
		max(0, w.drained-d.now, (w.told-1)*d.span(w), 2*d.queue(k))
}

// place hands off what is held, best rank first, and gives up what can no longer end in time. What was held
// before is looked at again only when something may have changed for it.
func (d *Dispatcher) place() {
	if len(d.held) == 0 || !d.stirred && !d.arrived {
		return
	}
	some := d.survey()
	for _, it := range slices.Clone(d.held) {
		if !it.held || it.seen && !d.stirred || some && d.choose(it) {
			continue
		}
		// Capacity is short: what lies beyond a tenant's share gives way first. Then what comes too late.
		if it.seen = true; it.out > 0 { // a copy that finds no room
			it.held = false
		} else if it.excess || d.now+d.least(it) > it.until || !d.mayRepeat(it, nil) {
			d.giveUp(it)
		}
	}
	d.held = slices.DeleteFunc(d.held, func(it *item) bool { return !it.held })
	d.stirred, d.arrived = false, false
}

// least is the running time on the fastest kind that may take the item.
func (d *Dispatcher) least(it *item) float64 {
	least := math.Inf(1)
	for k := range d.kinds {
		if d.kinds[k].weight > 0 && (it.cat.Kind < 0 || it.cat.Kind == k) {
			least = min(least, it.Hint*math.Exp(d.kinds[k].slow)+d.kinds[k].fetch+2*d.queue(&d.kinds[k]))
		}
	}
	if math.IsInf(least, 1) { // no worker is up just now
		return 0
	}
	return least
}

// choose takes the item's lane by its bin, or the other lane when no worker of its own has credit. Near goes
// first where crossing has a price, siblings are seen and no key tells where. Only when none has credit, a
// worker may get one more that is likely, not sure, to start at once. Suspects come last.
func (d *Dispatcher) choose(it *item) bool {
	lane := 0
	if it.Hint >= d.cutoff && d.chance() >= d.leakNow() {
		lane = 1
	}
	for k := range 4 {
		if d.wanted = sure - credit(k/2); k%2 > 0 && !d.suspects {
			continue
		}
		for _, l := range [2]int{lane, 1 - lane} {
			for _, near := range [2]bool{true, false} {
				if near && (!d.f.nearFirst || it.key != 0 || d.sight == unseen) {
					continue
				}
				if w := d.draw(it, l, near, k%2 > 0); w != nil {
					return d.handOff(it, w)
				}
			}
		}
	}
	return false
}

// draw takes a kind of the lane by capacity, then a worker uniformly within the kind; a key narrows the draw
// to its homes. Workers that would be drawn again at once are left out beforehand, which comes to the same.
// Of very many it looks at some, until enough fit: these stand for the others, and none that fits is missed.
func (d *Dispatcher) draw(it *item, lane int, near, suspects bool) *worker {
	d.fit = d.fit[:0]
	fits := func(w *worker) bool {
		return d.kinds[w.Kind].lane == lane && (!near || w.Zone == d.f.zone) &&
			(suspects || !d.suspected(w)) && d.useful(it, w)
	}
	if it.key != 0 {
		d.gather(d.home(it.key).workers, d.home(it.key).most[lane], fits)
	} else {
		d.gatherMany(it, lane, near, fits)
	}
	mean, total := d.meanLoad(), 0.0
	d.fit = slices.DeleteFunc(d.fit, func(w *worker) bool { return float64(d.load(w)) > mean })
	for _, w := range d.fit {
		total += d.weight(w)
	}
	x := d.chance() * total
	for _, w := range d.fit {
		if x -= d.weight(w); x < 0 {
			return w
		}
	}
	return nil
}

// home deals workers to a key: of each lane the first by rendezvous hashing, alike at all dispatchers.
// Work is drawn among the first that are useful, as many as its part of all work fills, out of twice as many;
// else it waits: a fetch slows all others, and work that went anywhere in a rush would keep the rush up.
func (d *Dispatcher) home(key uint64) *home {
	if h := d.homes[key]; h != nil {
		return h
	}
	h, count := &home{}, 0.0
	for _, k := range d.keys {
		if k == key {
			count++
		}
	}
	var order [2][]*worker
	for _, w := range d.part {
		if k := &d.kinds[w.Kind]; w.State == Up {
			w.far = -math.Log(float64(mix(w.hash^key)>>11+1)/(1<<53)) / k.each
			order[k.lane] = append(order[k.lane], w)
		}
	}
	for lane, o := range order {
		part := (count - math.Sqrt(count)) / float64(len(d.keys)) // less what may be chance
		h.most[lane] = max(1, int(math.Round(spare*part*float64(len(o)))))
		h.workers = append(h.workers, nearest(o, 2*h.most[lane])...)
	}
	d.homes[key] = h
	return h
}

// weight is a worker's in the draw: its kind's capacity, and less of it while the list has dropped it; times
// the workers that it stands for.
func (d *Dispatcher) weight(w *worker) float64 {
	if w.dropped {
		return w.step * d.kinds[w.Kind].each * w.standsFor
	}
	return d.kinds[w.Kind].each * w.standsFor
}

// credit: a worker earns it by starting and answering what it was given. One hand-off that has not started
// takes it away, and so do failures in a row and standing still.
func (d *Dispatcher) credit(w *worker) credit {
	k := &d.kinds[w.Kind]
	trial := w.fails > 0 // one at a time
	if w.State != Up || w.waiting > 0 || trial && w.running > 0 || d.now < w.full || d.ejected(w) {
		return none
	}
	switch n, r := d.load(w), &k.room[d.sight]; {
	case n <= r.more:
		return sure
	case n <= r.most || n == r.most+1 && d.now >= r.explore:
		return likely
	}
	return none
}

// useful tells whether the draw may stop at this worker for this item.
func (d *Dispatcher) useful(it *item, w *worker) bool {
	if d.credit(w) < d.wanted || it.cat.Kind >= 0 && it.cat.Kind != w.Kind {
		return false
	}
	if n := len(it.hos); n > 0 && it.hos[n-1].w == w { // it just failed or waited there
		return false
	}
	trial := w.fails > 0 // may cost the effect
	return (!trial || it.cat.Repeat != Exclusive) && d.now+d.cost(it, w) <= it.until && d.allowed(it, w)
}

// allowed holds the rules that a hand-off may not break.
func (d *Dispatcher) allowed(it *item, w *worker) bool {
	// One final answer, nothing after it, and within the limit of hand-offs.
	if it.ended || it.stream || d.now >= it.expiry || len(it.hos) >= d.f.maxHandOffs {
		return false
	}
	// Drains: never to one that this dispatcher was told drains or is gone. No effect twice.
	if w.State != Up || it.out > 0 && (!d.f.copies || it.cat.Repeat == Exclusive) ||
		it.still(w) || !d.mayRepeat(it, w) {
		return false
	}
	// Cold workers: by the few that may warm them, by one process of each, within its part of the budget.
	return d.warmth(w) == 1 || !d.succeeded && w.place < mostWarm && d.coldRoom(w, max(it.Hint, d.mean))
}

// mayRepeat tells whether what may have run already may be sent to the worker, or to any for nil: exclusive
// work never, ticketed work while the workers of its group still know it.
func (d *Dispatcher) mayRepeat(it *item, w *worker) bool {
	if it.risk == 0 || it.cat.Repeat == Rerunnable {
		return true
	}
	for k := range it.hos {
		h := &it.hos[k]
		if h.unrun {
			continue
		}
		if it.cat.Repeat == Exclusive || d.now-h.sent > it.cat.DedupWindow || w != nil &&
			(it.cat.DedupScope == DedupZone && h.w.Zone != w.Zone ||
				it.cat.DedupScope == DedupCell && h.w.Cell != w.Cell) {
			return false
		}
	}
	return true
}

// sure is a warm worker's capacity as far as it can be relied on: where starts are not told, how many fit is
// a guess, and the first answers of a kind may be far from its hints.
func (d *Dispatcher) sure(k *kind) float64 {
	capacity := k.each
	if !d.f.tellsStart {
		capacity = math.Exp(-k.slow)
	}
	if k.answers < sureAfter {
		capacity /= 2
	}
	return capacity
}

// coldRoom keeps a cold worker from being pushed over: this dispatcher's part of the budget of any fall
// window, or one work item when nothing went there for as long as the budget needs for it.
func (d *Dispatcher) coldRoom(w *worker, cost float64) bool {
	pace := d.f.fallPart * d.warmth(w) * d.sure(&d.kinds[w.Kind])
	return cost+w.sent.sum(d.now, d.f.fall) <= pace*d.f.fall || d.now-max(w.last, w.Since) >= cost/pace
}

// handOff is the one way out for work: every send passes here and keeps the rules or does not go.
func (d *Dispatcher) handOff(it *item, w *worker) bool {
	if !d.allowed(it, w) {
		return false
	}
	w.sent.add(d.now, d.f.fall, max(it.Hint, d.mean))
	w.last, w.step = d.now, max(w.step/2, leastStep)
	h := handoff{w: w, sent: d.now, heard: d.now, started: -1, load: d.load(w) + 1, sight: d.sight}
	if h.to(&w.waiting); !d.f.tellsStart {
		h.started = d.now
		h.to(&w.running)
	}
	if h.tellAt = d.now + d.untold*d.span(w); it.Hint > d.untold*d.mean {
		d.tell(&h, 1.25*d.cost(it, w))
	}
	it.hos = append(it.hos, h)
	it.out++
	it.risk++
	it.held = false
	d.out.HandOff(it.ID, w.Worker, 0)
	return true
}
