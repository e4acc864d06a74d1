// Package dispatch decides which worker gets each work item (wi), and when the dispatcher gives an item up.
// It implements size interval task assignment (Turchetta and Gardner): work items fall into bins by cost
// hint, worker kinds into lanes by speed, and a worker is drawn at random within the kind. docs/design.md
// lists what was kept from the paper, what was changed and why, and the condition for each departure.
//
// Call Round(now, in, out) whenever an event has arrived. Round delivers the events by calling the
// EventHandler methods below (Arrived, HandOffEnded, ...), then places the pending work items and writes its
// decisions to out. The interface is in interface.go, the state in state.go and pools.go, and the format of
// messages between peers in peers.go. Peers are the other dispatchers that use the same workers.
package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	cutoffResetInterval = 5000 // Time between recomputations of the cutoff and the lanes, in ms.
	startSmoothing      = 0.1  // Smoothing factor of startsAtOnce, for each start.
	kindSmoothing       = 0.05 // Smoothing factor of a kind's speed, for each answer.
	workerSmoothing     = 0.25 // Smoothing factor of a worker's speed relative to its kind, for each answer.
	queueSmoothing      = 0.2  // Smoothing factor of a kind's queue wait, for each start.
	queueHalfLife       = 2000 // The estimated queue wait halves in this time without a start, in ms.
	spillStep           = 0.02 // Increase of the spill for each refusal by a slow worker.
	spillHalfLife       = 5000 // The spill halves in this time, in ms.
	minReliableAnswers  = 8    // A kind's speed is relied on after this many answers.
	suspicionPeriod     = 1e4  // A suspected worker is drawn last for this time, in ms.
	failureSmoothing    = 0.05 // Smoothing factor of the failure rates, for each answer.
	improbable          = 0.06 // Failures in a row that are less probable than this by chance are the worker's fault.
	refailThreshold     = 0.8  // Refail rate above which any work that fails is assumed to fail on every worker.
	overdueFactor       = 1.25 // An answer is overdue after this multiple of the expected running time.
	// Rate of lost answers from which overdue work is copied while the first hand-off may still run.
	lostAnswerThreshold = 0.1
	// Share of the work assumed to fail anywhere that is retried all the same, to test that assumption.
	retryAnywayShare  = 1. / 8
	goneAfterFailures = 3      // An unlisted worker counts as gone after this many failures in a row.
	minUnlistedFactor = 1. / 8 // Lower bound of the factor applied to an unlisted worker's weight in the draw.
	// Ejection time after a first failure, in ms; it doubles with each further failure in a row.
	firstEjection = 500

	maxSharers = 32 // Upper bound of the dispatchers that share a worker.
	// At most this many sharers may warm a worker; if there are as many dispatchers, at least this many share
	// it.
	maxWarmers    = 8
	wantedWorkers = 10 // Number of workers that a dispatcher wants to draw from.
	// A key's work is drawn among this multiple of the workers that its share of all work would occupy.
	keySpareFactor = 1.5
	peerTimeout    = 3000  // The peers' load is unknown when no peer message was received for this time, in ms.
	tenantWindow   = 5000  // Window over which a tenant's arrivals are counted, in ms.
	trafficWindow  = 60000 // Window over which notices sent and received are compared, in ms.
	slownessDecay  = 1e4   // Time constant, in ms, with which a worker's own speed decays to that of its kind.
	// With more candidates than this, a draw examines some; this many eligible workers of a pool are enough.
	scanLimit = 256
)

// Round delivers the events of the inbox and decides. The dispatcher makes no decision outside Round.
func (d *Dispatcher) Round(now float64, in Inbox, out Executor) {
	d.now, d.out = now, out
	in.Deliver(d)
	if now >= d.nextSweepAt {
		d.nextSweepAt, d.recheckPending = now+d.sweepInterval, true
		out.SetTimer(0, d.sweepInterval)
		d.sweep()
		d.renewRequest()
		// Without messages from peers their load is unknown: workers would look free that are not.
		if d.peerView = known; d.params.dispatchers > 1 && now-d.lastPeerMessage > peerTimeout {
			d.peerView = unknown
		}
	}
	if now >= d.resetAt {
		d.recomputeCutoff()
	}
	d.placePending()
}

// chooseSharers lists the dispatchers that may share the worker with the given hash, in a pseudo-random
// order. It takes one dispatcher from each group, and depends only on the worker's ID and the dispatchers'
// positions. So all dispatchers compute the same list without exchanging messages, and other workers'
// arrivals and departures do not change it. The first d.sharers of the list share the worker. The fewer
// dispatchers share a worker, the more each learns about it, and the less of its load comes from peers that
// this dispatcher has no information about.
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

// updateSharing sets how many dispatchers share a worker, from the ratio of dispatchers to workers that are
// up. Who may warm a cold worker does not depend on that number, as warmers are the first of the worker's
// sharers, even when dispatchers have different lists of workers.
func (d *Dispatcher) updateSharing() {
	up := 0
	for _, w := range d.workers {
		if w.State == Up {
			up++
		}
	}
	d.sharers = min(max((wantedWorkers*d.params.dispatchers+up-1)/max(up, 1), maxWarmers), d.params.groups)
	d.minNoticeShare = float64(d.sharers*d.sharers) / (maxSharers * maxSharers)
	noneShared := true // If so, all workers are candidates; allowed still excludes cold ones.
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

// notifySharers tells the other sharers of a worker that a hand-off will be out for the duration. A duration
// of 0 says that it ended well before the time announced. Short hand-offs are not worth a notice. Each
// arrival adds maxSharers messages to the budget, which limits the message rate.
func (d *Dispatcher) notifySharers(h *handoff, duration float64) {
	h.notifyAt = d.now + duration
	if d.mayNotify() {
		d.noticesSent.add(d.now, trafficWindow, 1)
		d.sendToSharers(h.worker, d.encodeNotice(h.worker, duration))
	}
}

// mayNotify reports whether notices are allowed and the message budget covers one more.
func (d *Dispatcher) mayNotify() bool { return d.params.mayNotifyPeers && d.noticesLeft >= d.sharers-1 }

// sendToSharers sends a message to the other sharers of a worker, at the expense of the message budget.
func (d *Dispatcher) sendToSharers(w *worker, message []byte) {
	d.noticesLeft -= d.sharers - 1
	for _, to := range w.sharers[:d.sharers] {
		if to != d.params.position {
			d.out.SendToPeer(to, message)
		}
	}
}

// release stops counting a hand-off that has ended or is lost as load, here and, where worthwhile, at the
// peers.
func (d *Dispatcher) release(h *handoff) {
	if h.counter != nil && h.notifyAt-d.now > d.minNoticeShare*d.avgRun(h.worker) {
		d.notifySharers(h, 0)
	}
	h.setCounter(nil)
}

// renewRequest keeps a request to discovery open. It makes a new one when a request failed, after a random
// wait whose mean doubles, and when discovery has sent nothing for long. The random wait guards against
// dispatchers whose simultaneous requests keep discovery from answering any of them.
func (d *Dispatcher) renewRequest() {
	wait := d.requestWait
	if d.requestAnswered {
		wait = d.params.silentRequestWait
	}
	if d.params.discoveryOnRequest && (d.requestedAt < 0 || d.now-d.requestedAt >= wait) {
		d.requestedAt, d.requestWait = d.now, d.params.maxRequestWait // The answer may take long.
		d.out.WatchDiscovery(true)
	}
}

// Listed takes a listing from discovery. Entries of ListChanges update the known workers; the entries of any
// other type replace them.
func (d *Dispatcher) Listed(listType ListType, entries []Entry) {
	if listType == ListUnavailable { // The retry guards against sending to workers whose drain was not reported.
		d.requestAnswered, d.requestedAt = false, d.now
		d.requestWait = min(d.meanRequestWait, d.params.maxRequestWait) * (0.5 + d.random())
		d.meanRequestWait = 2 * min(d.meanRequestWait, d.params.maxRequestWait)
		return
	}
	if listType != ListRestored && d.requestedAt >= 0 {
		d.requestAnswered, d.requestedAt, d.meanRequestWait = true, d.now, d.params.firstRequestWait
	}
	workersChanged := listType != ListChanges
	if workersChanged {
		for _, w := range d.workers {
			d.unlist(w)
		}
	}
	for _, e := range entries {
		w := d.byID[e.Worker]
		if e.State == Gone {
			if w != nil {
				d.unlist(w)
				workersChanged = true
			}
			continue
		}
		if w == nil {
			w = d.addWorker(e.Worker)
		} else if e.Since != w.Since {
			// A new process of the worker: what was learned of the previous one does not apply.
			w.failures, w.ejectedUntil, w.suspectedUntil, w.logSlow, w.fullUntil, w.peerLeases = 0, 0, 0, 0, 0, nil
		}
		if e.Kind < 0 || e.Kind >= len(d.kinds) {
			e.Kind = len(d.kinds) - 1
		}
		if k := &d.kinds[e.Kind]; d.params.liveWeights && e.Weight > 0 {
			k.maxWeight = max(k.maxWeight, e.Weight)
			w.listedLoad = k.maxWeight/e.Weight - 1
		}
		w.Weight = e.Weight // A change of weight alone does not count as a change of the workers.
		workersChanged = workersChanged || w.Entry != e || w.unlisted
		w.Entry, w.unlisted = e, false
	}
	if d.recheckPending = true; workersChanged {
		d.resetAt = d.now
		d.updateSharing()
	}
}

// unlist takes a worker off the list. Where only draining binds, a worker that was up stays in the draw, with
// a weight that rises as it answers. This guards against lists that omit live workers; the price is a few
// hand-offs that never ran.
func (d *Dispatcher) unlist(w *worker) {
	switch {
	// A worker last listed as draining stays excluded when a later list omits it.
	case !d.params.onlyDrainingBinds || w.State != Up:
		w.State = Gone
	case !w.unlisted:
		w.unlisted, w.unlistedFactor, w.failures = true, 1, min(w.failures, 1)
	}
}

// Arrived takes a new work item and queues it for placement.
func (d *Dispatcher) Arrived(wi WorkItem) {
	it := &item{WorkItem: wi, cat: &d.params.categories[wi.Category], expiry: d.now + wi.TimeLeft}
	if it.Hint, it.hintGuessed = wi.Hint, wi.Hint <= 0; it.hintGuessed {
		it.Hint = d.guessHint(wi.Category)
	} else if !d.anyHint {
		d.discardGuesses()
	}
	if it.hintGuessed != d.anyHint {
		remember(&d.recentHints, &d.hintsTotal, it.Hint)
		// At first the cutoff is recomputed whenever the number of hints doubles.
		if d.hintsTotal&(d.hintsTotal-1) == 0 {
			d.resetAt = d.now
		}
	}
	if d.params.keyAffinity && wi.Key != "" {
		it.keyHash = hash(wi.Key)
		remember(&d.recentKeys, &d.keysTotal, it.keyHash)
	}
	// The due time of a retry counts from the client's first try. The time spent since then is the time that
	// a first try of the category has, less the time left.
	d.maxTimeLeft[wi.Category] = max(d.maxTimeLeft[wi.Category], wi.TimeLeft)
	elapsed := d.maxTimeLeft[wi.Category] - wi.TimeLeft
	if wi.ShutdownIn > 0 { // The process ends then: whatever it accepts must be answered by that time.
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

// excessShare counts an arrival of the tenant and returns the share of the tenant's traffic beyond its
// allowance. It assumes that traffic at other dispatchers has the same mix of tenants as here, and estimates
// its volume from the ratio of notices received to notices sent.
func (d *Dispatcher) excessShare(tenant int) float64 {
	if tenant < 0 {
		return 0
	}
	d.arrivals[tenant].add(d.now, tenantWindow, 1)
	received := d.noticesReceived.sum(d.now, trafficWindow) / float64(max(d.sharers-1, 1))
	otherTraffic := float64(d.params.dispatchers-1) * (received + 1) / (d.noticesSent.sum(d.now, trafficWindow) + 1)
	arrived, share := d.arrivals[tenant].sum(d.now, tenantWindow), d.params.tenantShares[tenant]/(1+otherTraffic)
	if arrived < share+2*math.Sqrt(share) { // Within two standard deviations: may be chance.
		return 0
	}
	return 1 - share/arrived
}

// enqueue adds an item to the pending ones, ordered by priority, unless it has more than maxOutstanding
// hand-offs outstanding.
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

// HandOffProgressed takes a start notice or a progress notice of a hand-off.
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
	// A progress notice came first: the start notice was lost or is delayed, so this gap says nothing about
	// the worker's queue. The gap to a start notice is the only direct measure of it.
	if !start {
		return
	}
	w, k, gap := h.worker, &d.kinds[h.worker.Kind], d.now-h.sentAt
	if d.recordStartGap(w, gap); gap > d.startAllowance(w) {
		w.fullUntil, w.queueEmptyAt = d.now+min(gap, d.avgRun(w)), d.now+gap
	}
	d.learnConcurrency(k, h, gap <= d.startAllowance(w))
	k.queueWait, k.queueWaitAt = d.expectedQueue(k)+(max(0, gap-d.startAllowance(w))-d.expectedQueue(k))*queueSmoothing, d.now
}

// learnConcurrency learns how many work items run at once on a worker of the kind, from whether the nth
// started at once. It learns this separately with the peers' load known and unknown. While it is unknown, one
// more item must be nearly sure to start before it counts as sure.
func (d *Dispatcher) learnConcurrency(k *kind, h *handoff, atOnce bool) {
	r, n := &k.limit[h.peerView], min(h.load, len(k.limit[0].startsAtOnce)-1)
	if atOnce {
		r.startsAtOnce[n] += startSmoothing * (1 - r.startsAtOnce[n])
	} else if r.startsAtOnce[n] -= startSmoothing * (1 + r.startsAtOnce[n]); n > r.likely+1 {
		r.failedProbes++ // One more does not fit: probe for that ever more rarely.
		r.nextProbeAt = d.now + 1000*math.Exp2(float64(min(r.failedProbes, 4)))
	}
	for r.likely = 0; r.likely+2 < len(r.startsAtOnce) && r.startsAtOnce[r.likely+2] > 0; {
		r.likely++
	}
	for r.sure = 0; r.sure < r.likely && r.startsAtOnce[r.sure+2] > 0.7*float64(h.peerView); {
		r.sure++
	}
}

// HandOffEnded takes the end of a hand-off. Unless that was the final answer, the item is queued again or
// given up.
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
		d.giveUp(it) // No further hand-off is allowed.
	default:
		d.enqueue(it, 0)
	}
}

// learnFromResult learns from the end of a hand-off: a worker's speed from answers, faults from failures in a
// row.
func (d *Dispatcher) learnFromResult(it *item, h *handoff, a HandOffResult) {
	w, k := h.worker, &d.kinds[h.worker.Kind]
	k.free = max(k.free, int(a.Load.FreeSlots))
	switch a.Outcome {
	case Finished:
		d.recordFailure(it, w, 0)
		w.failures, w.workFailures, w.lostAnswers, w.ejectedUntil, w.fullUntil, w.unlistedFactor = 0, 0, 0, 0, 0, min(1, 2*w.unlistedFactor)
		d.lostAnswerRate *= 1 - failureSmoothing
		runTime := a.Elapsed
		if h.startedAt >= 0 {
			runTime = d.now - h.startedAt // The running time; without start notices, the latency.
		}
		if !d.params.startNotices { // Without start notices, a long answer is a sign of queueing.
			d.learnConcurrency(k, h, runTime <= 2*d.expectedTime(it, w))
		} else if h.startedAt < 0 {
			return
		}
		if it.hintGuessed { // Where other work has hints, short work without one would make its kind look fast.
			d.learnWithoutHint(it, w, max(runTime, d.params.twoRounds/4)*d.warmFraction(w))
			return
		}
		// If the time that a fetch adds counted as slowness, small work would be taken to come too late.
		if d.params.keyAffinity {
			k.fetchTime += (max(0, runTime-it.Hint*math.Exp(k.logSlow+d.workerLogSlow(w))) - k.fetchTime) * kindSmoothing
			if k.meanHint += (it.Hint - k.meanHint) * kindSmoothing; it.Hint < k.meanHint/2 {
				return
			}
			runTime = max(runTime-k.fetchTime, runTime/2)
		}
		// Smoothing the logarithm lets work far costlier than its hint change the speed by little. The
		// running time is scaled by warmFraction to what a warm worker would take.
		logSlow := math.Log(max(runTime, d.params.twoRounds/4) * d.warmFraction(w) / it.Hint)
		if k.answers++; !k.speedKnown {
			k.logSlow, k.speedKnown = logSlow, true
			return
		}
		w.logSlow, w.logSlowAt = d.workerLogSlow(w)*(1-workerSmoothing)+(logSlow-k.logSlow)*workerSmoothing, d.now
		// Cold workers say nothing about their kind's speed.
		k.logSlow += (logSlow - k.logSlow) * kindSmoothing * math.Floor(d.warmFraction(w))
	case Full:
		d.eject(w)       // The worker was expected to have room: unknown load fills it, or it refuses everything.
		if k.lane == 1 { // Slow workers refuse work: let some large work into the fast lane.
			d.spill, d.spillAt = min(1, d.spillNow()+spillStep), d.now
		}
	case Failed:
		d.recordFailure(it, w, 1)
		d.attributeFailure(it, w)
	case ConnectFailed, ConnReset:
		d.eject(w)
	}
}

// attributeFailure decides whether the worker or the work is at fault. The worker is, if so many failures in
// a row are improbable at the failure rate of all workers. The work is, if it failed at another worker too,
// or if most work that fails once fails again. This guards against sending work that no worker can do to one
// worker after another.
func (d *Dispatcher) attributeFailure(it *item, w *worker) {
	if it.failedOn != nil && !it.failedOn.same(w) {
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

// suspect makes a worker the last choice for a while, here and at the dispatchers that share it. Each of many
// dispatchers has few answers to learn from, and a worker that fails fast always looks free. A wrong
// suspicion only delays the worker's turn.
func (d *Dispatcher) suspect(w *worker) {
	remaining := w.suspectedUntil - d.now
	if w.suspectedUntil = d.now + suspicionPeriod; remaining > suspicionPeriod/2 || !d.mayNotify() {
		return
	}
	d.sendToSharers(w, append(d.encodeNotice(w, 0), suspicionMarker))
}

// eject takes a worker out of the draw, for longer with each failure in a row.
func (d *Dispatcher) eject(w *worker) {
	if w.failures++; w.unlisted && w.failures >= goneAfterFailures { // The list and the failures agree that it is gone.
		w.State, w.unlisted, d.resetAt = Gone, false, d.now
	}
	w.ejectedUntil = d.now + min(firstEjection*math.Exp2(float64(w.failures-1)), d.params.warmUpTime)
}

// ClientLeft takes a client's departure: the item needs no answer.
func (d *Dispatcher) ClientLeft(wi uint64) {
	if it := d.items[wi]; it != nil && !it.answered {
		d.finish(it)
	}
}

// giveUp gives the final answer without a result: a deferral where trying again is harmless, else a
// write-off. No other function does so.
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

// finish marks an item as answered and cancels its outstanding hand-offs.
func (d *Dispatcher) finish(it *item) {
	it.answered, it.pending = true, false
	for k := range it.handOffs {
		if h := &it.handOffs[k]; d.params.mayCancel && !h.done && !h.cancelled && !it.responding {
			h.cancelled = true
			d.out.Cancel(it.ID, k)
		}
	}
}

// sweep checks all open items for expiry, and their hand-offs for long waits and stalls. A hand-off of an
// answered item stays counted until it ends, as the worker may run it on despite a cancel.
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

// checkHandOff checks a hand-off that has not ended. One that has waited for a fifth of its slack without
// starting is moved to another worker if second copies are allowed. One that has stalled, or has not started
// in twice the time that all work known to be ahead of it takes, is lost and no longer counts as load. This
// guards against hand-offs that disappear without any report.
func (d *Dispatcher) checkHandOff(it *item, ho int, h *handoff) {
	overdue, lost := false, false
	switch waited := d.now - h.sentAt; {
	case !d.params.startNotices || h.startedAt >= 0 && d.params.stallTimeout == 0:
		lost = waited > 4*max(d.expectedTime(it, h.worker), d.avgRun(h.worker))
	case h.startedAt >= 0:
		lost = d.now-h.lastNoticeAt > d.params.stallTimeout
		d.copyOverdue(it, h)
	default:
		// Without second copies a hand-off is not moved, as it may stay queued at the worker after it is
		// cancelled. Where the peers' load is unknown, other workers may only look free: the last hand-off is
		// not spent on such a move.
		slack := it.dueAt - h.sentAt - d.expectedTime(it, h.worker)
		overdue = d.params.secondCopies && len(it.handOffs)+d.peerView < d.params.maxHandOffs && waited > max(d.startAllowance(h.worker), slack/5)
		ahead := h.load
		if d.peerView == unknown { // Peers may have sent as much again.
			ahead += d.kinds[h.worker.Kind].slots()
		}
		lost = waited > max(d.startAllowance(h.worker), 2*float64(ahead)*d.avgRun(h.worker))
	}
	if lost {
		d.markSilent(h)
	}
	// Only rerunnable work is moved: other work may already have had its effect.
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

// copyOverdue stops counting overdue work as load, and sends it a second time while the first hand-off may
// still run, where many answers are lost. It guards against answers lost on the way from healthy workers,
// which would look full and faulty. Where answers are merely delayed it would do work twice.
func (d *Dispatcher) copyOverdue(it *item, h *handoff) {
	if d.lostAnswerRate < lostAnswerThreshold || d.now-h.startedAt < overdueFactor*d.expectedTime(it, h.worker) {
		return
	}
	d.markSilent(h)
	if d.params.secondCopies && it.cat.Repeat == Rerunnable {
		d.enqueue(it, 1)
	}
}

// markSilent stops counting a hand-off that no longer reports as load, and blames the worker, unless the work
// started and so many silent hand-offs in a row are probable from lost answers alone. With key affinity the
// worker is always blamed, as work that fetches reports no progress either.
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

// recomputeCutoff recomputes the lanes and the cutoff, and forgets workers that are gone.
func (d *Dispatcher) recomputeCutoff() {
	clear(d.workersByKey)
	d.resetAt = d.now + cutoffResetInterval
	d.removeGoneWorkers()
	if fastShare := d.assignLanes(); len(d.recentHints) > 0 {
		d.setCutoff(fastShare)
	}
}

// assignLanes splits the kinds by speed into two lanes whose capacities are as equal as possible. It returns
// the fast lane's share of the capacity.
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
	for _, kd := range order { // A kind goes into the lane in which the middle of its capacity lies.
		if cumulative += kd.capacity; 2*cumulative-kd.capacity > total {
			kd.lane = 1
		} else {
			kd.lane, fast = 0, fast+kd.capacity
		}
	}
	return fast / max(total, 1e-9)
}

// setCutoff sets the cutoff such that recent work items below it make up the given share of the total cost.
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

// warmFraction is a lower bound for the share of its capacity that a worker has, assuming the slowest
// warm-up.
func (d *Dispatcher) warmFraction(w *worker) float64 {
	age := d.now - w.Since
	if w.Since <= 0 || age >= d.params.warmUpTime {
		return 1
	}
	return d.params.startCapacity + d.params.warmUpRate*max(age, 0)
}

// expectedTime is the time that an item is expected to take at a worker, including queueing and fetches. A
// cold worker may warm up faster than it must.
func (d *Dispatcher) expectedTime(it *item, w *worker) float64 {
	k, warmth := &d.kinds[w.Kind], d.warmFraction(w)
	return it.Hint*math.Exp(k.logSlow+max(d.workerLogSlow(w), math.Log(warmth)))/warmth + k.fetchTime +
		max(0, w.queueEmptyAt-d.now, (w.listedLoad-1)*d.avgRun(w), 2*d.expectedQueue(k))
}

// placePending hands off the pending items, highest priority first, and gives up those that can no longer end
// in time. An item that was examined before is examined again only when something may have changed for it.
func (d *Dispatcher) placePending() {
	if len(d.pending) == 0 || !d.recheckPending && !d.newArrivals {
		return
	}
	anyCredit := d.beginScan()
	for _, it := range slices.Clone(d.pending) {
		if !it.pending || it.examined && !d.recheckPending || anyCredit && d.placeItem(it) {
			continue
		}
		// Capacity is short. Items beyond a tenant's allowance are given up first, then items that would come
		// too late.
		if it.examined = true; it.outstanding > 0 { // A second copy for which no worker has room.
			it.pending = false
		} else if it.overShare || d.now+d.minExpectedTime(it) > it.dueAt || !d.mayRepeat(it, nil) {
			d.giveUp(it)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(it *item) bool { return !it.pending })
	d.recheckPending, d.newArrivals = false, false
}

// minExpectedTime is the running time on the fastest kind that may take the item.
func (d *Dispatcher) minExpectedTime(it *item) float64 {
	least := math.Inf(1)
	for k := range d.kinds {
		if d.kinds[k].capacity > 0 && (it.cat.Kind < 0 || it.cat.Kind == k) {
			least = min(least, it.Hint*math.Exp(d.kinds[k].logSlow)+d.kinds[k].fetchTime+2*d.expectedQueue(&d.kinds[k]))
		}
	}
	if math.IsInf(least, 1) { // No worker is up at present.
		return 0
	}
	return least
}

// placeItem hands the item off in its bin's lane, or in the other lane when no worker of its own is ready
// enough. Workers of the own zone come first if crossing zones has a price, the peers' load is known and the
// item has no key. Only when no worker is sure to start the item at once does it go to one that is likely to.
// Suspected workers come last. It reports whether it handed the item off.
func (d *Dispatcher) placeItem(it *item) bool {
	lane := 0
	if it.Hint >= d.cutoff && d.random() >= d.spillNow() {
		lane = 1
	}
	for k := range 4 {
		if d.minReadiness = readinessSure - readiness(k/2); k%2 > 0 && !d.anySuspected {
			continue
		}
		for _, l := range [2]int{lane, 1 - lane} {
			for _, ownZone := range [2]bool{true, false} {
				if ownZone && (!d.params.preferOwnZone || it.keyHash != 0 || d.peerView == unknown) {
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

// drawWorker draws a kind of the lane by capacity, then a worker uniformly within the kind; a key narrows the
// draw to its preferred workers. Workers loaded above the mean are left out beforehand, which is equivalent
// to drawing again whenever one is drawn. Of very many workers it examines some until enough are eligible;
// these represent the others, and no eligible worker is missed. It returns nil when none is eligible.
func (d *Dispatcher) drawWorker(it *item, lane int, ownZone, allowSuspected bool) *worker {
	d.eligible = d.eligible[:0]
	fits := func(w *worker) bool {
		return d.kinds[w.Kind].lane == lane && (!ownZone || d.inOwnZone(w)) &&
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

// preferredWorkers returns the workers that a key's work goes to: the first of each lane by rendezvous
// hashing, the same at all dispatchers. The key's share of all work, times keySpareFactor, needs n workers of
// a lane. The list holds the first 2n; work is drawn among the first n of them that are eligible. If none is,
// the work waits: a fetch slows down all other work, and sending the key's work anywhere under load would
// prolong the load by further fetches.
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
		// One standard deviation is subtracted, as that much may be chance.
		share := (keyCount - math.Sqrt(keyCount)) / float64(len(d.recentKeys))
		h.drawLimit[lane] = max(1, int(math.Round(keySpareFactor*share*float64(len(ordered)))))
		h.workers = append(h.workers, nearest(ordered, 2*h.drawLimit[lane])...)
	}
	d.workersByKey[key] = h
	return h
}

// drawWeight is a worker's weight in the draw: its kind's capacity, reduced while the worker is unlisted,
// times the number of workers that it represents.
func (d *Dispatcher) drawWeight(w *worker) float64 {
	if w.unlisted {
		return w.unlistedFactor * d.kinds[w.Kind].workerCapacity * w.standsFor
	}
	return d.kinds[w.Kind].workerCapacity * w.standsFor
}

// readinessOf says how sure a further item is to start at once at a worker. A worker becomes ready by
// starting and answering its work. It is not ready while a hand-off has not started, and after an ejection or
// a stall.
func (d *Dispatcher) readinessOf(w *worker) readiness {
	k := &d.kinds[w.Kind]
	trial := w.failures > 0 // One item at a time.
	if w.State != Up || w.waiting > 0 || trial && w.running > 0 || d.now < w.fullUntil || d.ejected(w) {
		return readinessNone
	}
	switch n, r := d.knownLoad(w), &k.limit[d.peerView]; {
	case n <= r.sure:
		return readinessSure
	case n <= r.likely || n == r.likely+1 && d.now >= r.nextProbeAt:
		return readinessLikely
	}
	return readinessNone
}

// mayDraw reports whether the draw may choose this worker for this item.
func (d *Dispatcher) mayDraw(it *item, w *worker) bool {
	if d.readinessOf(w) < d.minReadiness || it.cat.Kind >= 0 && it.cat.Kind != w.Kind {
		return false
	}
	if n := len(it.handOffs); n > 0 && it.handOffs[n-1].at(w) { // The previous hand-off failed or waited there.
		return false
	}
	trial := w.failures > 0 // A trial may cost exclusive work its one effect.
	return (!trial || it.cat.Repeat != Exclusive) && d.now+d.expectedTime(it, w) <= it.dueAt && d.allowed(it, w)
}

// allowed checks the rules that every hand-off must satisfy.
func (d *Dispatcher) allowed(it *item, w *worker) bool {
	// One final answer, nothing after it, and no more hand-offs than allowed.
	if it.answered || it.responding || d.now >= it.expiry || len(it.handOffs) >= d.params.maxHandOffs {
		return false
	}
	// Nothing goes to a worker that this dispatcher knows to drain or to be gone. No effect happens twice.
	if w.State != Up || it.outstanding > 0 && (!d.params.secondCopies || it.cat.Repeat == Exclusive) ||
		it.mayBeAt(w) || !d.mayRepeat(it, w) {
		return false
	}
	// Only a cold worker's warmers may send to it, each within its part of the worker's overload budget. Of a
	// dispatcher that is being replaced, only the new process may.
	return d.warmFraction(w) == 1 || !d.replaced && w.sharerRank < maxWarmers && d.withinColdBudget(w, max(it.Hint, d.meanHint))
}

// mayRepeat reports whether an item that may already have run may be sent to the worker, or to any worker for
// nil. Exclusive work may not. Ticketed work may while the workers of its scope still recognise it.
func (d *Dispatcher) mayRepeat(it *item, w *worker) bool {
	if it.mayHaveRun == 0 || it.cat.Repeat == Rerunnable {
		return true
	}
	for k := range it.handOffs {
		h := &it.handOffs[k]
		if h.provenNotRun {
			continue
		}
		next := h.place
		if w != nil {
			next = w.Place()
		}
		if it.cat.Repeat == Exclusive || d.now-h.sentAt > it.cat.DedupWindow || !next.recognises(h.place, it.cat.DedupScope) {
			return false
		}
	}
	return true
}

// reliableCapacity is a warm worker's capacity as far as it can be relied on. Without start notices the
// concurrency is a guess, and the first answers of a kind may be far from its hints.
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

// withinColdBudget keeps a cold worker from being overloaded. It allows this dispatcher's part of the budget
// of any overload window, or a single item when nothing was sent there for as long as the budget requires for
// its cost.
func (d *Dispatcher) withinColdBudget(w *worker, cost float64) bool {
	rate := d.params.overloadShare * d.warmFraction(w) * d.reliableCapacity(&d.kinds[w.Kind])
	return cost+w.recentCost.sum(d.now, d.params.overloadWindow) <= rate*d.params.overloadWindow || d.now-max(w.lastHandOff, w.Since) >= cost/rate
}

// handOff hands the item off to the worker if all rules allow it, and reports whether it did. All work leaves
// the dispatcher through this function.
func (d *Dispatcher) handOff(it *item, w *worker) bool {
	if !d.allowed(it, w) {
		return false
	}
	w.recentCost.add(d.now, d.params.overloadWindow, max(it.Hint, d.meanHint))
	w.lastHandOff, w.unlistedFactor = d.now, max(w.unlistedFactor/2, minUnlistedFactor)
	h := handoff{worker: w, place: w.Place(), sentAt: d.now, lastNoticeAt: d.now, startedAt: -1, load: d.knownLoad(w) + 1, peerView: d.peerView}
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
