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
	cutoffResetInterval = 5000   // time between cutoff resets
	startSmoothing      = 0.1    // smoothing of how many fit, for each start
	kindSmoothing       = 0.05   // smoothing of a kind's speed, for each answer
	workerSmoothing     = 0.25   // the same for a worker beside its kind
	queueSmoothing      = 0.2    // smoothing of the wait at a kind, for each start
	queueHalfLife       = 2000   // it halves in this time without a start
	leakStep            = 0.02   // rise of the leak for each refusal of a slow worker
	leakHalfLife        = 5000   // the leak halves in this time
	minReliableAnswers  = 8      // answers after which a kind's speed is relied on
	suspicionPeriod     = 1e4    // a worker that failed work is drawn last for this time
	failureSmoothing    = 0.05   // smoothing of how much work fails, for each answer
	improbable          = 0.06   // chance below which failures in a row are the worker's
	refailThreshold     = 0.8    // share of failed work that fails again from which all of it is taken to
	overdueFactor       = 1.25   // times the running time expected: an answer is overdue
	lostAnswerThreshold = 0.1    // share of silent ends from which work is copied while it may still run
	retryAnywayShare    = 1. / 8 // part of it that goes on all the same, to see whether that still holds
	goneAfterFailures   = 3      // failures in a row after which a worker that the list has dropped counts as gone
	minUnlistedWeight   = 1. / 8 // least weight in the draw of one that it has dropped
	firstEjection       = 500    // first time out of the draw after a failure; doubles with each in a row

	maxSharers     = 32    // dispatchers that share a worker, at most
	maxWarmers     = 8     // those of them that may send there while it is cold; so many share it at least
	wantedWorkers  = 10    // workers that a dispatcher wants to draw from
	keySpareFactor = 1.5   // workers for a key's work, of what its part of all work fills
	peerTimeout    = 3000  // siblings are unseen when none was heard for this time
	tenantWindow   = 5000  // time over which a tenant's arrivals are counted
	trafficWindow  = 60000 // time over which this dispatcher's traffic is weighed against that of siblings
	slownessDecay  = 1e4   // a worker's own speed fades back to its kind's over this time
	scanLimit      = 256   // workers beyond which a draw looks at some; of each pool as many that fit are enough
)

// Round takes in what came in and decides. Nothing is decided outside it.
func (d *Dispatcher) Round(now float64, in Inbox, out Executor) {
	d.now, d.out = now, out
	in.Deliver(d)
	if now >= d.nextSweepAt {
		d.nextSweepAt, d.recheckPending = now+d.sweepInterval, true
		out.SetTimer(0, d.sweepInterval)
		d.sweep()
		d.renewSubscription()
		// While no sibling is heard their work is unseen: the books would show workers free that are not.
		if d.peerView = informed; d.params.dispatchers > 1 && now-d.lastPeerMessage > peerTimeout {
			d.peerView = blind
		}
	}
	if now >= d.resetAt {
		d.recomputeCutoff()
	}
	d.placePending()
}

// deal lists the dispatchers that may share the worker, in an order drawn for it: one of each part of them,
// by its id and their numbers alone, so that all deal alike without a word and no other worker's coming or
// going changes it. The first d.shares share it: each learns the more of a worker the fewer fill it unseen.
func (d *Dispatcher) chooseSharers(hash uint64) (sharers []int) {
	groupHash := func(group int) uint64 { return mix(hash + uint64(group)) }
	for group := range d.params.groups {
		sharers = append(sharers, group)
	}
	slices.SortFunc(sharers, func(a, b int) int { return cmp.Compare(groupHash(a), groupHash(b)) })
	for k, group := range sharers {
		first := group * d.params.dispatchers / d.params.groups
		sharers[k] = first + int(groupHash(group)%uint64((group+1)*d.params.dispatchers/d.params.groups-first))
	}
	return sharers
}

// share cuts how many dispatchers share a worker by how many there are beside how many workers are up. Who
// may warm one does not depend on it: those come first in its deal, whatever list another has.
func (d *Dispatcher) updateSharing() {
	up := 0
	for _, w := range d.workers {
		if w.State == Up {
			up++
		}
	}
	d.sharers = min(max((wantedWorkers*d.params.dispatchers+up-1)/max(up, 1), maxWarmers), d.params.groups)
	d.minNoticeShare = float64(d.sharers*d.sharers) / (maxSharers * maxSharers)
	noneShared := true // then it goes to any, though never to a cold one
	for _, w := range d.workers {
		w.shared = d.params.keyAffinity || w.sharerRank < d.sharers
		noneShared = noneShared && !(w.shared && w.State == Up)
	}
	d.candidates = d.candidates[:0]
	for _, w := range d.workers {
		if w.shared || noneShared {
			d.candidates = append(d.candidates, w)
		}
	}
	d.rebuildPools()
}

// tell lets those that share the worker know of a hand-off that lasts, and for how long; no span tells that
// it ended well before. What is short is not worth it. Each arrival pays for mostShare of these: no flood.
func (d *Dispatcher) notifySharers(h *handoff, duration float64) {
	h.notifyAt = d.now + duration
	if d.mayNotify() {
		d.noticesSent.add(d.now, trafficWindow, 1)
		d.sendToSharers(h.worker, d.encodeNotice(h.worker, duration))
	}
}

func (d *Dispatcher) mayNotify() bool { return d.params.mayNotifyPeers && d.noticesLeft >= d.sharers-1 }

func (d *Dispatcher) sendToSharers(w *worker, message []byte) {
	d.noticesLeft -= d.sharers - 1
	for _, to := range w.sharers[:d.sharers] {
		if to != d.params.position {
			d.out.SendToPeer(to, message)
		}
	}
}

// off takes a hand-off that ended or is lost out of the books, its siblings' too.
func (d *Dispatcher) release(h *handoff) {
	if h.counter != nil && h.notifyAt-d.now > d.minNoticeShare*d.avgRun(h.worker) {
		d.notifySharers(h, 0)
	}
	h.setCounter(nil)
}

// ask keeps the subscription to discovery alive: again when a call failed, after a drawn, doubling time, and
// when nothing was heard for long. It guards against dispatchers that keep one another from being heard.
func (d *Dispatcher) renewSubscription() {
	wait := d.askWait
	if d.subscribed {
		wait = d.params.silentAskWait
	}
	if d.params.discoveryOnRequest && (d.askedAt < 0 || d.now-d.askedAt >= wait) {
		d.askedAt, d.askWait = d.now, d.params.maxAskWait // its answer may take long
		d.out.WatchDiscovery(true)
	}
}

// Listed takes what discovery says.
func (d *Dispatcher) Listed(listType ListType, entries []Entry) {
	if listType == ListUnavailable { // guards against sending to workers whose drain nobody told
		d.subscribed, d.askedAt = false, d.now
		d.askWait = min(d.meanAskWait, d.params.maxAskWait) * (0.5 + d.random())
		d.meanAskWait = 2 * min(d.meanAskWait, d.params.maxAskWait)
		return
	}
	if listType != ListRestored && d.askedAt >= 0 {
		d.subscribed, d.askedAt, d.meanAskWait = true, d.now, d.params.firstAskWait
	}
	fleetChanged := listType != ListChanges
	if fleetChanged {
		for _, w := range d.workers {
			d.unlist(w)
		}
	}
	for _, e := range entries {
		w := d.byID[e.Worker]
		if e.State == Gone {
			if w != nil {
				d.unlist(w)
				fleetChanged = true
			}
			continue
		}
		if w == nil {
			w = d.addWorker(e.Worker)
		} else if e.Since != w.Since { // a new process: what its forerunner did says nothing of it
			w.failures, w.ejectedUntil, w.suspectedUntil, w.logSlow, w.fullUntil, w.peerLeases = 0, 0, 0, 0, 0, nil
		}
		if e.Kind < 0 || e.Kind >= len(d.kinds) {
			e.Kind = len(d.kinds) - 1
		}
		if k := &d.kinds[e.Kind]; d.params.liveWeights && e.Weight > 0 {
			k.maxWeight = max(k.maxWeight, e.Weight)
			w.listedLoad = k.maxWeight/e.Weight - 1
		}
		w.Weight = e.Weight // which alone is no change of the fleet
		fleetChanged = fleetChanged || w.Entry != e || w.unlisted
		w.Entry, w.unlisted = e, false
	}
	if d.recheckPending = true; fleetChanged {
		d.resetAt = d.now
		d.updateSharing()
	}
}

// drop takes a worker off the list. Where only draining binds one that was up stays in the draw by steps, as
// it answers. It guards against lists that lack live workers; it could cost a few hand-offs that never ran.
func (d *Dispatcher) unlist(w *worker) {
	switch {
	case !d.params.onlyDrainingBinds || w.State != Up: // one seen as draining stays bound when a later list forgets it
		w.State = Gone
	case !w.unlisted:
		w.unlisted, w.unlistedWeight, w.failures = true, 1, min(w.failures, 1)
	}
}

// Arrived takes a new work item.
func (d *Dispatcher) Arrived(wi WorkItem) {
	it := &item{WorkItem: wi, cat: &d.params.categories[wi.Category], expiry: d.now + wi.TimeLeft}
	if it.Hint, it.hintGuessed = wi.Hint, wi.Hint <= 0; it.hintGuessed {
		it.Hint = d.guessHint(wi.Category)
	} else if !d.anyHint {
		d.discardGuesses()
	}
	if it.hintGuessed != d.anyHint {
		remember(&d.recentHints, &d.hintsTotal, it.Hint)
		if d.hintsTotal&(d.hintsTotal-1) == 0 { // early on, reset as the sample doubles
			d.resetAt = d.now
		}
	}
	if d.params.keyAffinity && wi.Key != "" {
		it.keyHash = hash(wi.Key)
		remember(&d.recentKeys, &d.keysTotal, it.keyHash)
	}
	// A retry counts from its first try: what is gone of the time that a first try has is past.
	d.maxTimeLeft[wi.Category] = max(d.maxTimeLeft[wi.Category], wi.TimeLeft)
	elapsed := d.maxTimeLeft[wi.Category] - wi.TimeLeft
	if wi.ShutdownIn > 0 { // what is taken must be answered by then
		it.expiry = min(it.expiry, d.now+wi.ShutdownIn)
	}
	it.dueAt = min(d.now-elapsed+min(it.cat.DueTime+it.cat.DueStretch*it.Hint, it.cat.Expiry), it.expiry)
	it.priority = it.cat.Credit
	if excess := d.excessShare(wi.Tenant); excess > 0 && d.random() < excess {
		it.overShare, it.priority = true, it.priority*d.params.excessCredit
	}
	d.noticesLeft = min(d.noticesLeft+maxSharers, maxSharers*maxSharers)
	d.items[wi.ID], d.open, d.newArrivals = it, append(d.open, it), true
	d.enqueue(it, 0)
}

// excess counts an arrival of the tenant and tells what part of its traffic lies beyond its share, what
// arrives elsewhere taken to be like what arrives here, by the messages heard beside those sent.
func (d *Dispatcher) excessShare(tenant int) float64 {
	if tenant < 0 {
		return 0
	}
	d.arrivals[tenant].add(d.now, tenantWindow, 1)
	received := d.noticesReceived.sum(d.now, trafficWindow) / float64(max(d.sharers-1, 1))
	otherTraffic := float64(d.params.dispatchers-1) * (received + 1) / (d.noticesSent.sum(d.now, trafficWindow) + 1)
	arrived, share := d.arrivals[tenant].sum(d.now, tenantWindow), d.params.tenantShares[tenant]/(1+otherTraffic)
	if arrived < share+2*math.Sqrt(share) { // may be chance
		return 0
	}
	return 1 - share/arrived
}

// hold queues an item, by rank, that has no more than so many hand-offs out.
func (d *Dispatcher) enqueue(it *item, maxOutstanding int) {
	if it.pending || it.answered || it.outstanding > maxOutstanding {
		return
	}
	it.pending = true
	at := len(d.pending)
	for at > 0 && d.pending[at-1].priority < it.priority {
		at--
	}
	d.pending = slices.Insert(d.pending, at, it)
}

// Noticed takes a start or progress notice.
func (d *Dispatcher) HandOffProgressed(wi uint64, ho int, start bool, _ float64) {
	it := d.items[wi]
	if it == nil || ho < 0 || ho >= len(it.handOffs) || it.handOffs[ho].done {
		return
	}
	h := &it.handOffs[ho]
	h.lastNoticeAt = d.now
	h.setCounter(&h.worker.running)
	if h.startedAt >= 0 {
		return
	}
	h.startedAt, d.recheckPending = d.now, true
	if !start { // the start notice was lost or is late; else its gap is the one direct sight of the queue
		return
	}
	w, k, gap := h.worker, &d.kinds[h.worker.Kind], d.now-h.sentAt
	if d.recordStartGap(w, gap); gap > d.startAllowance(w) {
		w.fullUntil, w.queueDrainedAt = d.now+min(gap, d.avgRun(w)), d.now+gap
	}
	d.learnConcurrency(k, h, gap <= d.startAllowance(w))
	k.queueWait, k.queueWaitAt = d.expectedQueue(k)+(max(0, gap-d.startAllowance(w))-d.expectedQueue(k))*queueSmoothing, d.now
}

// fits learns how many work items run at once on a worker of the kind: did the nth start at once? With
// siblings heard and unheard are learned apart; unheard, one more must be nearly sure to start.
func (d *Dispatcher) learnConcurrency(k *kind, h *handoff, atOnce bool) {
	r, n := &k.limit[h.peerView], min(h.load, len(k.limit[0].startsAtOnce)-1)
	if atOnce {
		r.startsAtOnce[n] += startSmoothing * (1 - r.startsAtOnce[n])
	} else if r.startsAtOnce[n] -= startSmoothing * (1 + r.startsAtOnce[n]); n > r.likely+1 {
		r.failedProbes++ // one more does not fit: try that ever more rarely
		r.nextProbeAt = d.now + 1000*math.Exp2(float64(min(r.failedProbes, 4)))
	}
	for r.likely = 0; r.likely+2 < len(r.startsAtOnce) && r.startsAtOnce[r.likely+2] > 0; {
		r.likely++
	}
	for r.sure = 0; r.sure < r.likely && r.startsAtOnce[r.sure+2] > 0.7*float64(h.peerView); {
		r.sure++
	}
}

// Answered takes the end of a hand-off.
func (d *Dispatcher) HandOffEnded(a HandOffResult) {
	it := d.items[a.WI]
	if it == nil || a.HO < 0 || a.HO >= len(it.handOffs) || it.handOffs[a.HO].done {
		return
	}
	h := &it.handOffs[a.HO]
	h.done, h.mayStillRun, d.recheckPending = true, a.Outcome.MayStillRun(), true
	it.outstanding--
	d.release(h)
	d.learnFromResult(it, h, a)
	if a.Outcome.ProvesNotRun() {
		h.provenNotRun = true
		it.mayHaveRun--
	}
	switch {
	case a.Final:
		d.finish(it)
	case it.outstanding == 0 && (d.now >= it.expiry || len(it.handOffs) >= d.params.maxHandOffs || it.failsAnywhere ||
		!d.mayRepeat(it, nil)):
		d.giveUp(it) // nothing more may be sent for it
	default:
		d.enqueue(it, 0)
	}
}

// judge learns from the end of a hand-off: speed from answers, sickness from failures in a row.
func (d *Dispatcher) learnFromResult(it *item, h *handoff, a HandOffResult) {
	w, k := h.worker, &d.kinds[h.worker.Kind]
	k.free = max(k.free, int(a.Load.FreeSlots))
	switch a.Outcome {
	case Finished:
		d.recordFailure(it, w, 0)
		w.failures, w.workFailures, w.lostAnswers, w.ejectedUntil, w.fullUntil, w.unlistedWeight = 0, 0, 0, 0, 0, min(1, 2*w.unlistedWeight)
		d.lostAnswerRate *= 1 - failureSmoothing
		runTime := a.Elapsed
		if h.startedAt >= 0 {
			runTime = d.now - h.startedAt // its running time; without notices, its latency
		}
		if !d.params.startNotices { // no notices: a long answer tells of waiting
			d.learnConcurrency(k, h, runTime <= 2*d.expectedTime(it, w))
		} else if h.startedAt < 0 {
			return
		}
		if it.hintGuessed { // where others have hints, short work without one would make its kind look fast
			d.learnWithoutHint(it, w, max(runTime, d.params.twoRounds/4)*d.warmFraction(w))
			return
		}
		if d.params.keyAffinity { // as speed, what a fetch adds would have small work come late
			k.fetchTime += (max(0, runTime-it.Hint*math.Exp(k.logSlow+d.workerLogSlow(w))) - k.fetchTime) * kindSmoothing
			if k.meanHint += (it.Hint - k.meanHint) * kindSmoothing; it.Hint < k.meanHint/2 {
				return
			}
			runTime = max(runTime-k.fetchTime, runTime/2)
		}
		// By logarithms, so that work far costlier than its hint moves the speed by little.
		logSlow := math.Log(max(runTime, d.params.twoRounds/4) * d.warmFraction(w) / it.Hint) // as if warm
		if k.answers++; !k.speedKnown {
			k.logSlow, k.speedKnown = logSlow, true
			return
		}
		w.logSlow, w.logSlowAt = d.workerLogSlow(w)*(1-workerSmoothing)+(logSlow-k.logSlow)*workerSmoothing, d.now
		k.logSlow += (logSlow - k.logSlow) * kindSmoothing * math.Floor(d.warmFraction(w)) // cold ones tell nothing of their kind
	case Full:
		d.eject(w)       // it was taken to have room: what fills it is unseen, or it refuses everything
		if k.lane == 1 { // slow workers refuse: let some large work into the fast lane
			d.leak, d.leakAt = min(1, d.currentLeak()+leakStep), d.now
		}
	case Failed:
		d.recordFailure(it, w, 1)
		d.attributeFailure(it, w)
	case ConnectFailed, ConnReset:
		d.eject(w)
	}
}

// blame finds what failed: the worker if so many in a row are unlikely where as much fails as everywhere; the
// work if it failed elsewhere too, or if what fails mostly does. It guards against work that nobody can do.
func (d *Dispatcher) attributeFailure(it *item, w *worker) {
	if it.failedOn != nil && it.failedOn != w {
		it.failsAnywhere = true
		it.failedOn.failures, it.failedOn.workFailures, it.failedOn.ejectedUntil, it.failedOn.suspectedUntil = 0, 0, 0, 0
		return
	}
	it.failedOn = w
	if w.workFailures++; math.Pow(d.failureRate, float64(w.workFailures)) < improbable {
		d.eject(w)
		d.suspect(w)
	}
	it.failsAnywhere = d.refailRate > refailThreshold && d.random() > retryAnywayShare
}

// suspect has a worker drawn last for a while, here and at those that share it: each of many dispatchers has
// few answers to learn from, and one that fails fast is always free. A wrong word costs it its turn alone.
func (d *Dispatcher) suspect(w *worker) {
	remaining := w.suspectedUntil - d.now
	if w.suspectedUntil = d.now + suspicionPeriod; remaining > suspicionPeriod/2 || !d.mayNotify() {
		return
	}
	d.sendToSharers(w, append(d.encodeNotice(w, 0), suspicionMarker))
}

// fail takes a worker out of the draw, the longer the more failures it had in a row.
func (d *Dispatcher) eject(w *worker) {
	if w.failures++; w.unlisted && w.failures >= goneAfterFailures { // list and worker say the same
		w.State, w.unlisted, d.resetAt = Gone, false, d.now
	}
	w.ejectedUntil = d.now + min(firstEjection*math.Exp2(float64(w.failures-1)), d.params.warmUpTime)
}

// Left takes a client's departure.
func (d *Dispatcher) ClientLeft(wi uint64) {
	if it := d.items[wi]; it != nil && !it.answered {
		d.finish(it)
	}
}

// giveUp gives the final answer at once. This is the one place for it: a deferral where trying again is
// harmless, else a write-off.
func (d *Dispatcher) giveUp(it *item) {
	if it.answered {
		return
	}
	if it.mayHaveRun == 0 || it.cat.Repeat == Rerunnable || it.cat.Repeat == Ticketed && it.cat.DedupScope == DedupAll {
		d.out.Defer(it.ID, min(d.meanHint, d.params.maxRetryAfter))
	} else {
		d.out.WriteOff(it.ID)
	}
	d.finish(it)
}

// end marks an item as answered and calls off what is still out for it.
func (d *Dispatcher) finish(it *item) {
	it.answered, it.pending = true, false
	for k := range it.handOffs {
		if h := &it.handOffs[k]; d.params.mayCancel && !h.done && !h.cancelled && !it.responding {
			h.cancelled = true
			d.out.Cancel(it.ID, k)
		}
	}
}

// sweep looks at everything open: what has expired, waits too long or stands still. What is answered but
// still out counts on, as a cancel may leave it running.
func (d *Dispatcher) sweep() {
	keep := d.open[:0]
	for _, it := range d.open {
		if !it.answered && !it.responding && d.now >= it.expiry {
			d.giveUp(it)
		}
		if it.answered && it.outstanding == 0 {
			delete(d.items, it.ID)
			continue
		}
		keep = append(keep, it)
		for k := range it.handOffs {
			h := &it.handOffs[k]
			if h.counter != nil && d.now >= h.notifyAt {
				d.notifySharers(h, max((d.now-h.sentAt)/2, 4*d.sweepInterval))
			}
			if !h.done && !h.cancelled {
				d.checkHandOff(it, k, h)
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
func (d *Dispatcher) checkHandOff(it *item, ho int, h *handoff) {
	overdue, lost := false, false
	switch waited := d.now - h.sentAt; {
	case !d.params.startNotices || h.startedAt >= 0 && d.params.stallTimeout == 0:
		lost = waited > 4*max(d.expectedTime(it, h.worker), d.avgRun(h.worker))
	case h.startedAt >= 0:
		lost = d.now-h.lastNoticeAt > d.params.stallTimeout
		d.copyOverdue(it, h)
	default:
		// Not where a cancel may leave it queued; nor, where others only look free, by the last hand-off.
		slack := it.dueAt - h.sentAt - d.expectedTime(it, h.worker)
		overdue = d.params.secondCopies && len(it.handOffs)+d.peerView < d.params.maxHandOffs && waited > max(d.startAllowance(h.worker), slack/5)
		ahead := h.load
		if d.peerView == blind { // as much again may be there
			ahead += d.kinds[h.worker.Kind].slots()
		}
		lost = waited > max(d.startAllowance(h.worker), 2*float64(ahead)*d.avgRun(h.worker))
	}
	if lost {
		d.markSilent(h)
	}
	// Only rerunnable work is moved: anything else may have had its effect.
	if it.cat.Repeat != Rerunnable || !d.params.mayCancel || it.responding || len(it.handOffs) >= d.params.maxHandOffs {
		return
	}
	alternatives := d.someCandidates()
	if it.keyHash != 0 {
		alternatives = d.preferredWorkers(it.keyHash).workers
	}
	usable := func(w *worker) bool { return w != h.worker && d.mayDraw(it, w) }
	if lost || overdue && slices.ContainsFunc(alternatives, usable) {
		h.cancelled = true
		d.out.Cancel(it.ID, ho)
	}
}

// copy takes work that is overdue out of the books and sends it a second time while the first may still run,
// where many answers never come. It guards against answers that are lost on the way from workers that are
// well, which would look full and sick. Where answers are merely late it would do work twice.
func (d *Dispatcher) copyOverdue(it *item, h *handoff) {
	if d.lostAnswerRate < lostAnswerThreshold || d.now-h.startedAt < overdueFactor*d.expectedTime(it, h.worker) {
		return
	}
	d.markSilent(h)
	if d.params.secondCopies && it.cat.Repeat == Rerunnable {
		d.enqueue(it, 1)
	}
}

// silence takes a hand-off that says no more out of the books. It is the worker's failure unless it started
// and so many in a row are likely by lost answers alone; a fetch shows no progress either.
func (d *Dispatcher) markSilent(h *handoff) {
	if h.counter == nil {
		return
	}
	d.release(h)
	d.recheckPending = true
	if h.startedAt >= 0 && !d.params.keyAffinity {
		h.worker.lostAnswers, d.lostAnswerRate = h.worker.lostAnswers+1, d.lostAnswerRate+(1-d.lostAnswerRate)*failureSmoothing
		if math.Pow(d.lostAnswerRate, h.worker.lostAnswers) >= improbable {
			return
		}
	}
	d.eject(h.worker)
}

// reset learns the lanes and the cutoff anew.
func (d *Dispatcher) recomputeCutoff() {
	clear(d.workersByKey)
	d.resetAt = d.now + cutoffResetInterval
	d.removeGoneWorkers()
	if fastShare := d.assignLanes(); len(d.recentHints) > 0 {
		d.setCutoff(fastShare)
	}
}

// lanes splits the kinds by speed where the lanes' capacities are most alike. It returns the fast lane's
// part.
func (d *Dispatcher) assignLanes() float64 {
	sumLogSlow, speedsKnown, total, cumulative, fast := 0.0, 0.0, 0.0, 0.0, 0.0
	var order []*kind
	for k := range d.kinds {
		kd := &d.kinds[k]
		if order, kd.capacity = append(order, kd), 0; kd.speedKnown {
			sumLogSlow, speedsKnown = sumLogSlow+kd.logSlow, speedsKnown+1
		}
	}
	for _, kd := range order {
		if !kd.speedKnown && speedsKnown > 0 {
			kd.logSlow = sumLogSlow / speedsKnown
		}
		kd.workerCapacity = math.Exp(-kd.logSlow) * float64(kd.slots())
	}
	for _, w := range d.candidates {
		if w.State == Up && !d.ejected(w) {
			capacity := d.kinds[w.Kind].workerCapacity * d.warmFraction(w)
			d.kinds[w.Kind].capacity += capacity
			total += capacity
		}
	}
	slices.SortStableFunc(order, func(a, b *kind) int { return cmp.Compare(a.logSlow, b.logSlow) })
	for _, kd := range order { // a kind goes to the lane in which the middle of its capacity lies
		if cumulative += kd.capacity; 2*cumulative-kd.capacity > total {
			kd.lane = 1
		} else {
			kd.lane, fast = 0, fast+kd.capacity
		}
	}
	return fast / max(total, 1e-9)
}

// cut sets the cutoff such that the sample's cost below it is the given part.
func (d *Dispatcher) setCutoff(share float64) {
	d.sortedHints = append(d.sortedHints[:0], d.recentHints...)
	slices.Sort(d.sortedHints)
	d.medianHint, d.cutoff = d.sortedHints[len(d.sortedHints)/2], math.Inf(1)
	sum, below := 0.0, 0.0
	for _, x := range d.sortedHints {
		sum += x
	}
	d.meanHint = sum / float64(len(d.sortedHints))
	for _, x := range d.sortedHints {
		if below += x; below > sum*share {
			d.cutoff = x
			break
		}
	}
}

// warmth is the part of its capacity that a worker has at least, its growth taken as the slowest.
func (d *Dispatcher) warmFraction(w *worker) float64 {
	age := d.now - w.Since
	if w.Since <= 0 || age >= d.params.warmUpTime {
		return 1
	}
	return d.params.startCapacity + d.params.warmUpRate*max(age, 0)
}

// cost is the running time to expect of an item on a worker. A cold one may warm faster than it must.
func (d *Dispatcher) expectedTime(it *item, w *worker) float64 {
	k, warmth := &d.kinds[w.Kind], d.warmFraction(w)
	return it.Hint*math.Exp(k.logSlow+max(d.workerLogSlow(w), math.Log(warmth)))/warmth + k.fetchTime +
		max(0, w.queueDrainedAt-d.now, (w.listedLoad-1)*d.avgRun(w), 2*d.expectedQueue(k))
}

// place hands off what is held, best rank first, and gives up what can no longer end in time. What was held
// before is looked at again only when something may have changed for it.
func (d *Dispatcher) placePending() {
	if len(d.pending) == 0 || !d.recheckPending && !d.newArrivals {
		return
	}
	anyCredit := d.beginScan()
	for _, it := range slices.Clone(d.pending) {
		if !it.pending || it.examined && !d.recheckPending || anyCredit && d.placeItem(it) {
			continue
		}
		// Capacity is short: what lies beyond a tenant's share gives way first. Then what comes too late.
		if it.examined = true; it.outstanding > 0 { // a copy that finds no room
			it.pending = false
		} else if it.overShare || d.now+d.minExpectedTime(it) > it.dueAt || !d.mayRepeat(it, nil) {
			d.giveUp(it)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(it *item) bool { return !it.pending })
	d.recheckPending, d.newArrivals = false, false
}

// least is the running time on the fastest kind that may take the item.
func (d *Dispatcher) minExpectedTime(it *item) float64 {
	least := math.Inf(1)
	for k := range d.kinds {
		if d.kinds[k].capacity > 0 && (it.cat.Kind < 0 || it.cat.Kind == k) {
			least = min(least, it.Hint*math.Exp(d.kinds[k].logSlow)+d.kinds[k].fetchTime+2*d.expectedQueue(&d.kinds[k]))
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
func (d *Dispatcher) placeItem(it *item) bool {
	lane := 0
	if it.Hint >= d.cutoff && d.random() >= d.currentLeak() {
		lane = 1
	}
	for k := range 4 {
		if d.minCredit = creditSure - credit(k/2); k%2 > 0 && !d.anySuspected {
			continue
		}
		for _, l := range [2]int{lane, 1 - lane} {
			for _, ownZone := range [2]bool{true, false} {
				if ownZone && (!d.params.preferOwnZone || it.keyHash != 0 || d.peerView == blind) {
					continue
				}
				if w := d.drawWorker(it, l, ownZone, k%2 > 0); w != nil {
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
func (d *Dispatcher) drawWorker(it *item, lane int, ownZone, allowSuspected bool) *worker {
	d.eligible = d.eligible[:0]
	fits := func(w *worker) bool {
		return d.kinds[w.Kind].lane == lane && (!ownZone || w.Zone == d.params.zone) &&
			(allowSuspected || !d.suspected(w)) && d.mayDraw(it, w)
	}
	if it.keyHash != 0 {
		d.collect(d.preferredWorkers(it.keyHash).workers, d.preferredWorkers(it.keyHash).drawLimit[lane], fits)
	} else {
		d.collectFromPools(it, lane, ownZone, fits)
	}
	mean, total := d.meanLoad(), 0.0
	d.eligible = slices.DeleteFunc(d.eligible, func(w *worker) bool { return float64(d.knownLoad(w)) > mean })
	for _, w := range d.eligible {
		total += d.drawWeight(w)
	}
	x := d.random() * total
	for _, w := range d.eligible {
		if x -= d.drawWeight(w); x < 0 {
			return w
		}
	}
	return nil
}

// home deals workers to a key: of each lane the first by rendezvous hashing, alike at all dispatchers.
// Work is drawn among the first that are useful, as many as its part of all work fills, out of twice as many;
// else it waits: a fetch slows all others, and work that went anywhere in a rush would keep the rush up.
func (d *Dispatcher) preferredWorkers(key uint64) *keyWorkers {
	if h := d.workersByKey[key]; h != nil {
		return h
	}
	h, keyCount := &keyWorkers{}, 0.0
	for _, k := range d.recentKeys {
		if k == key {
			keyCount++
		}
	}
	var order [2][]*worker
	for _, w := range d.candidates {
		if k := &d.kinds[w.Kind]; w.State == Up {
			w.keyDistance = -math.Log(float64(mix(w.idHash^key)>>11+1)/(1<<53)) / k.workerCapacity
			order[k.lane] = append(order[k.lane], w)
		}
	}
	for lane, ordered := range order {
		share := (keyCount - math.Sqrt(keyCount)) / float64(len(d.recentKeys)) // less what may be chance
		h.drawLimit[lane] = max(1, int(math.Round(keySpareFactor*share*float64(len(ordered)))))
		h.workers = append(h.workers, nearest(ordered, 2*h.drawLimit[lane])...)
	}
	d.workersByKey[key] = h
	return h
}

// weight is a worker's in the draw: its kind's capacity, and less of it while the list has dropped it; times
// the workers that it stands for.
func (d *Dispatcher) drawWeight(w *worker) float64 {
	if w.unlisted {
		return w.unlistedWeight * d.kinds[w.Kind].workerCapacity * w.standsFor
	}
	return d.kinds[w.Kind].workerCapacity * w.standsFor
}

// credit: a worker earns it by starting and answering what it was given. One hand-off that has not started
// takes it away, and so do failures in a row and standing still.
func (d *Dispatcher) creditOf(w *worker) credit {
	k := &d.kinds[w.Kind]
	trial := w.failures > 0 // one at a time
	if w.State != Up || w.waiting > 0 || trial && w.running > 0 || d.now < w.fullUntil || d.ejected(w) {
		return creditNone
	}
	switch n, r := d.knownLoad(w), &k.limit[d.peerView]; {
	case n <= r.sure:
		return creditSure
	case n <= r.likely || n == r.likely+1 && d.now >= r.nextProbeAt:
		return creditLikely
	}
	return creditNone
}

// useful tells whether the draw may stop at this worker for this item.
func (d *Dispatcher) mayDraw(it *item, w *worker) bool {
	if d.creditOf(w) < d.minCredit || it.cat.Kind >= 0 && it.cat.Kind != w.Kind {
		return false
	}
	if n := len(it.handOffs); n > 0 && it.handOffs[n-1].worker == w { // it just failed or waited there
		return false
	}
	trial := w.failures > 0 // may cost the effect
	return (!trial || it.cat.Repeat != Exclusive) && d.now+d.expectedTime(it, w) <= it.dueAt && d.allowed(it, w)
}

// allowed holds the rules that a hand-off may not break.
func (d *Dispatcher) allowed(it *item, w *worker) bool {
	// One final answer, nothing after it, and within the limit of hand-offs.
	if it.answered || it.responding || d.now >= it.expiry || len(it.handOffs) >= d.params.maxHandOffs {
		return false
	}
	// Drains: never to one that this dispatcher was told drains or is gone. No effect twice.
	if w.State != Up || it.outstanding > 0 && (!d.params.secondCopies || it.cat.Repeat == Exclusive) ||
		it.mayBeAt(w) || !d.mayRepeat(it, w) {
		return false
	}
	// Cold workers: by the few that may warm them, by one process of each, within its part of the budget.
	return d.warmFraction(w) == 1 || !d.replaced && w.sharerRank < maxWarmers && d.withinColdBudget(w, max(it.Hint, d.meanHint))
}

// mayRepeat tells whether what may have run already may be sent to the worker, or to any for nil: exclusive
// work never, ticketed work while the workers of its group still know it.
func (d *Dispatcher) mayRepeat(it *item, w *worker) bool {
	if it.mayHaveRun == 0 || it.cat.Repeat == Rerunnable {
		return true
	}
	for k := range it.handOffs {
		h := &it.handOffs[k]
		if h.provenNotRun {
			continue
		}
		if it.cat.Repeat == Exclusive || d.now-h.sentAt > it.cat.DedupWindow || w != nil &&
			(it.cat.DedupScope == DedupZone && h.worker.Zone != w.Zone ||
				it.cat.DedupScope == DedupCell && h.worker.Cell != w.Cell) {
			return false
		}
	}
	return true
}

// sure is a warm worker's capacity as far as it can be relied on: where starts are not told, how many fit is
// a guess, and the first answers of a kind may be far from its hints.
func (d *Dispatcher) reliableCapacity(k *kind) float64 {
	capacity := k.workerCapacity
	if !d.params.startNotices {
		capacity = math.Exp(-k.logSlow)
	}
	if k.answers < minReliableAnswers {
		capacity /= 2
	}
	return capacity
}

// coldRoom keeps a cold worker from being pushed over: this dispatcher's part of the budget of any fall
// window, or one work item when nothing went there for as long as the budget needs for it.
func (d *Dispatcher) withinColdBudget(w *worker, cost float64) bool {
	rate := d.params.overloadShare * d.warmFraction(w) * d.reliableCapacity(&d.kinds[w.Kind])
	return cost+w.recentCost.sum(d.now, d.params.overloadWindow) <= rate*d.params.overloadWindow || d.now-max(w.lastHandOff, w.Since) >= cost/rate
}

// handOff is the one way out for work: every send passes here and keeps the rules or does not go.
func (d *Dispatcher) handOff(it *item, w *worker) bool {
	if !d.allowed(it, w) {
		return false
	}
	w.recentCost.add(d.now, d.params.overloadWindow, max(it.Hint, d.meanHint))
	w.lastHandOff, w.unlistedWeight = d.now, max(w.unlistedWeight/2, minUnlistedWeight)
	h := handoff{worker: w, sentAt: d.now, lastNoticeAt: d.now, startedAt: -1, load: d.knownLoad(w) + 1, peerView: d.peerView}
	if h.setCounter(&w.waiting); !d.params.startNotices {
		h.startedAt = d.now
		h.setCounter(&w.running)
	}
	if h.notifyAt = d.now + d.minNoticeShare*d.avgRun(w); it.Hint > d.minNoticeShare*d.meanHint {
		d.notifySharers(&h, 1.25*d.expectedTime(it, w))
	}
	it.handOffs = append(it.handOffs, h)
	it.outstanding++
	it.mayHaveRun++
	it.pending = false
	d.out.HandOff(it.ID, w.Worker, 0)
	return true
}
