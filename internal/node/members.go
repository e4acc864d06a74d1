// This file keeps the list of workers: the watches on discovery and what they bring. It must never read or write a
// connection itself.

package node

import (
	"math"
	"slices"

	"weldmast/internal/dispatch"
)

func (n *Node) updateMembers(members []Member) {
	for _, m := range members {
		switch {
		case m.State != dispatch.Gone:
			n.members[m.Worker] = m
		case !n.settings.OnlyDrainingBinds: // otherwise the worker may still get work at its last address
			delete(n.members, m.Worker)
		}
	}
}

func (n *Node) discoveryUpdate(l DiscoveryUpdate) {
	if !slices.Contains(n.openWatches, l.Watch) {
		return
	}
	if !n.watchAnswered {
		n.closeWatches(l.Watch)
		n.watchAnswered, n.nextWatchAt = true, math.Inf(1)
	}
	form := dispatch.ListChanges
	if l.Complete {
		if form = dispatch.ListComplete; !n.settings.OnlyDrainingBinds {
			clear(n.members)
		}
	}
	// Guards against updates out of order: an outdated one must not put a worker back into service that a
	// newer one drains. The drains of an outdated update are applied, and the complete list is requested.
	outdated := !l.Complete && l.Revision < n.revision
	if outdated {
		n.log.Warn("list", "older", l.Revision, "known", n.revision)
		l.Revision, l.Members = FullList, slices.DeleteFunc(slices.Clone(l.Members), func(m Member) bool { return m.State != dispatch.Draining })
	}
	n.updateMembers(l.Members)
	n.revision = l.Revision
	n.discoveryAnswered = true
	hasNews := l.Complete || len(l.Members) > 0
	if hasNews {
		n.log.Info("list", "list", l.Revision, "complete", l.Complete, "members", len(l.Members))
	}
	if hasNews || n.pollPending {
		n.inbox = append(n.inbox, listUpdate{form, l.Members})
	}
	n.pollPending = false
	if outdated {
		n.openWatch()
	}
}

// openWatch opens a watch in place of one that has answered, or in addition to those that have not answered
// yet. A change at discovery must be known some seconds later, whatever became of the earlier watches. This
// guards against a watch that hangs, or is silent from its start, while a new one would be answered.
func (n *Node) openWatch() {
	switch {
	case n.watchAnswered:
		n.closeWatches(0)
	case len(n.openWatches) >= maxWatches:
		n.transport.Unwatch(n.openWatches[0])
		n.openWatches = n.openWatches[1:]
	}
	n.newestWatch++
	n.openWatches = append(n.openWatches, n.newestWatch)
	n.pollPending = n.settings.DiscoveryOnRequest
	interval := float64(watchInterval)
	if n.settings.DiscoveryOnRequest {
		interval = n.capByAskWithin(pollInterval)
	}
	n.nextWatchAt = n.now + interval*(0.8+0.4*n.random())
	n.transport.Watch(n.newestWatch, n.discoveryAddr, n.revision)
}

// capByAskWithin limits an interval between polls to a fraction of the setting DiscoveryAskWithin.
func (n *Node) capByAskWithin(interval float64) float64 {
	if n.settings.DiscoveryAskWithin > 0 {
		interval = min(interval, askWithinShare*n.settings.DiscoveryAskWithin)
	}
	return interval
}

// closeWatches closes all watches except the given one, or all of them if except is 0.
func (n *Node) closeWatches(except int) {
	for _, k := range n.openWatches {
		if k != except {
			n.transport.Unwatch(k)
		}
	}
	n.openWatches = slices.DeleteFunc(n.openWatches, func(k int) bool { return k != except })
	n.watchAnswered = n.watchAnswered && len(n.openWatches) > 0
}

// watchEnded handles the end of a watch. It schedules another one after a short delay, unless the Dispatcher
// asks earlier.
func (n *Node) watchEnded(watch int) {
	if !slices.Contains(n.openWatches, watch) {
		return
	}
	n.openWatches = slices.DeleteFunc(n.openWatches, func(k int) bool { return k == watch })
	delay := float64(watchRetryMean)
	switch {
	case n.settings.DiscoveryOnRequest && n.watchAnswered:
		delay = n.capByAskWithin(pollRetryMean)
	case n.settings.DiscoveryOnRequest: // a failed poll: if many polls fail, retries must not follow each other at once
		delay = n.capByAskWithin(pollInterval)
	case n.settings.DrainGrace > 0:
		delay = min(delay, n.settings.DrainGrace/drainGraceDivisor)
	}
	if n.watchAnswered = false; len(n.openWatches) == 0 {
		n.nextWatchAt = min(n.nextWatchAt, n.now+delay*(0.5+n.random()))
	}
	if n.pollPending = n.pollPending && len(n.openWatches) > 0; n.settings.DiscoveryOnRequest && !n.pollPending {
		n.inbox = append(n.inbox, listUpdate{dispatch.ListUnavailable, nil})
	}
}
