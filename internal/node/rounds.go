// This file connects the node to the Dispatcher: the Node is the Inbox whose events a round delivers, and the
// Executor that carries out the round's decisions. This file must never change events, nor make a decision
// itself.

package node

import (
	"weldmast/internal/dispatch"
	"weldmast/internal/fleet"
)

// Events that wait for the next round, besides *workItem (an arrival), dispatch.HandOffResult,
// dispatch.Learned and PeerMessage.
type (
	clientLeft     uint64
	giveUpItem     uint64
	answerDeadline float64 // time by which all open work items must be answered
	progressNotice struct {
		wi    uint64
		ho    int
		start bool
		share float64
	}
	adoptedJob struct {
		item     *workItem
		handOffs []JobHandOff
	}
	listUpdate struct {
		form    dispatch.ListType
		members []Member
	}
)

// round lets the Dispatcher decide. Events that its decisions cause at once wait for the next round.
func (n *Node) round() {
	n.lastRound, n.timerFired = n.now, false
	n.decider.Round(n.now, n, n)
	if d, ok := n.decider.(interface{ WorkerCounts() (listed, avoided int) }); ok && n.metrics != nil && n.now >= n.nextPoolMetrics {
		n.nextPoolMetrics = n.now + poolMetricsInterval
		n.metrics.SetPool(d.WorkerCounts())
	}
}

// Deliver passes the events since the last round to the Dispatcher.
func (n *Node) Deliver(d dispatch.EventHandler) {
	for _, v := range n.inbox {
		switch v := v.(type) {
		case *workItem:
			req := v.request
			d.Arrived(dispatch.WorkItem{ID: v.wi, Category: req.Category, Tenant: req.Tenant,
				TimeLeft: max(req.Expiry-n.now, 0), ShutdownIn: v.processEndsIn, Hint: req.Hint, Key: req.Key})
		case clientLeft:
			d.ClientLeft(uint64(v))
		case giveUpItem:
			if to, ok := d.(interface{ GiveUpQueued(uint64) }); ok {
				to.GiveUpQueued(uint64(v))
			}
		case answerDeadline:
			if to, ok := d.(interface{ AnswerAllWithin(within float64) }); ok {
				to.AnswerAllWithin(max(float64(v)-n.now, 0))
			}
		case dispatch.HandOffResult:
			d.HandOffEnded(v)
		case progressNotice:
			d.HandOffProgressed(v.wi, v.ho, v.start, v.share)
		case PeerMessage:
			d.PeerMessageReceived(v.From, v.Data)
		case adoptedJob:
			if to, ok := d.(takeoverDecider); ok {
				var handOffs []dispatch.Taken
				for _, h := range v.handOffs {
					handOffs = append(handOffs, h.Taken)
				}
				req := v.item.request
				to.Adopt(dispatch.WorkItem{ID: v.item.wi, Category: req.Category, Tenant: req.Tenant,
					TimeLeft: max(req.Expiry-n.now, 0), ShutdownIn: v.item.processEndsIn, Hint: req.Hint, Key: req.Key}, n.categoryOf(req), handOffs)
			}
		case dispatch.Learned:
			if to, ok := d.(takeoverDecider); ok {
				to.ImportLearned(v)
			}
		case listUpdate:
			entries := make([]dispatch.Entry, len(v.members))
			for k, m := range v.members {
				entries[k] = m.Entry
			}
			d.Listed(v.form, entries)
		}
	}
	clear(n.inbox)
	n.inbox = n.inbox[:0]
}

// HandOff sends the work item to the worker, within the client's deadline and the limit of hand-offs. Where
// these or the lease guard forbid it, the hand-off ends at once as NotSent; where the worker's address is
// unknown, as ConnectFailed.
func (n *Node) HandOff(wi uint64, worker string, timeout float64) {
	it := n.items[wi]
	if it == nil { // answered, and all its hand-offs have ended
		return
	}
	ho, remaining := len(it.handOffs), it.deadline()-n.now
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	member, known := n.members[worker]
	it.handOffs = append(it.handOffs, handOff{worker: worker, sentAt: n.now, noCallback: true})
	it.outstanding++
	switch {
	case it.answered || remaining <= 0 || ho >= n.settings.MaxHandOffs:
		n.handOffEnded(it, ho, dispatch.NotSent, "")
	case !known: // the worker has left the list
		n.handOffEnded(it, ho, dispatch.ConnectFailed, "")
	case !n.mayTakeWork(): // queued work is given up in the next round
		n.handOffEnded(it, ho, dispatch.NotSent, "")
	default:
		n.logRepeat(it, worker)
		place := member.Place()
		it.handOffs[ho].noCallback, it.handOffs[ho].addr, it.handOffs[ho].place = false, member.Addr, &place
		it.handOffs[ho].attempt = n.transport.Send(HandOffRequest{WI: wi, HO: ho, ID: it.request.ID, Addr: member.Addr,
			Message: it.request.Message, Timeout: timeout, Mark: n.mark})
		n.recordAction(fleet.HandedOff)
		n.schedule(n.now+timeout, wi, ho)
	}
}

// logRepeat logs that a work item is handed off again, and why it may run twice: what runs at two workers would
// otherwise show only there. The new hand-off is the last one.
func (n *Node) logRepeat(it *workItem, worker string) {
	if len(it.handOffs) < 2 {
		return
	}
	last := it.handOffs[len(it.handOffs)-2]
	n.log.Info("again", "again", len(it.handOffs), "id", it.request.ID, "worker", worker, "earlier", last.worker,
		"after", n.now-last.sentAt, "ended", last.ended, "never_ran", last.provenUnrun)
}

// Cancel cancels a hand-off. It ends when the worker has been told, unless it ends earlier.
func (n *Node) Cancel(wi uint64, ho int) {
	if it := n.items[wi]; it != nil && !it.handedOver && ho >= 0 && ho < len(it.handOffs) && !it.handOffs[ho].ended {
		it.handOffs[ho].attempt.Cancel()
	}
}

// Defer tells the client that it may safely retry.
func (n *Node) Defer(wi uint64, retryAfter float64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: Deferred, RetryAfter: retryAfter})
	}
}

// WriteOff tells the client that the work item failed and may have taken effect.
func (n *Node) WriteOff(wi uint64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: WrittenOff})
	}
}

// SetTimer schedules a round; the handle is not used.
func (n *Node) SetTimer(_ uint64, delay float64) { n.schedule(n.now+delay, 0, 0) }

// WatchDiscovery polls discovery for changes, where discovery only answers requests. It does nothing if on is
// false. Each poll gets one answer: while that is pending, another poll would only delay it.
func (n *Node) WatchDiscovery(on bool) {
	if on && !n.pollPending {
		n.openWatch()
	}
}

// SendToPeer sends a message to one peer, or to all peers if to is -1.
func (n *Node) SendToPeer(to int, data []byte) { n.transport.SendToPeer(to, data) }
