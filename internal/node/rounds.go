// This file is the node's side of the Dispatcher: the Inbox that a round delivers and the Writer that takes
// its decisions. It must never change what came in, nor choose anything itself.

package node

import (
	"weldmast/internal/dispatch"
	"weldmast/internal/fleet"
)

// What waits for the next round besides *item (an arrival), dispatch.Answer and Heard.
type (
	clientLeft     uint64
	giveUpItem     uint64
	answerDeadline float64 // all that is open must be answered by then
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
		form    dispatch.Form
		members []Member
	}
)

// round lets the Dispatcher decide. What its decisions bring in at once waits for the next round.
func (n *Node) round() {
	n.lastRound, n.timerFired = n.now, false
	n.decider.Round(n.now, n, n)
	if d, ok := n.decider.(interface{ Pool() (listed, avoided int) }); ok && n.metrics != nil && n.now >= n.nextPoolMetrics {
		n.nextPoolMetrics = n.now + poolMetricsInterval
		n.metrics.Pool(d.Pool())
	}
}

// Deliver hands over what came in.
func (n *Node) Deliver(d dispatch.EventHandler) {
	for _, v := range n.inbox {
		switch v := v.(type) {
		case *workItem:
			c := v.request
			d.Arrived(dispatch.WorkItem{ID: v.wi, Category: c.Category, Tenant: c.Tenant,
				Left: max(c.Expiry-n.now, 0), Within: v.processEndsIn, Hint: c.Hint, Key: c.Key})
		case clientLeft:
			d.Left(uint64(v))
		case giveUpItem:
			if to, ok := d.(interface{ GiveUp(uint64) }); ok {
				to.GiveUp(uint64(v))
			}
		case answerDeadline:
			if to, ok := d.(interface{ End(within float64) }); ok {
				to.End(max(float64(v)-n.now, 0))
			}
		case dispatch.Answer:
			d.Answered(v)
		case progressNotice:
			d.Noticed(v.wi, v.ho, v.start, v.share)
		case PeerMessage:
			d.Heard(v.From, v.Data)
		case adoptedJob:
			if to, ok := d.(takeoverDecider); ok {
				var handOffs []dispatch.Taken
				for _, h := range v.handOffs {
					handOffs = append(handOffs, h.Taken)
				}
				c := v.item.request
				to.Adopt(dispatch.WorkItem{ID: v.item.wi, Category: c.Category, Tenant: c.Tenant,
					Left: max(c.Expiry-n.now, 0), Hint: c.Hint, Key: c.Key}, handOffs)
			}
		case dispatch.Learned:
			if to, ok := d.(takeoverDecider); ok {
				to.Recall(v)
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

// HandOff sends the work item, within the client's time and the limit of hand-offs; else it is moot.
func (n *Node) HandOff(wi uint64, worker string, timeout float64) {
	it := n.items[wi]
	if it == nil { // answered, and all its hand-offs have ended
		return
	}
	ho, remaining := len(it.handOffs), it.deadline()-n.now
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	it.handOffs = append(it.handOffs, handOff{worker: worker, sentAt: n.now, noCallback: true})
	it.outstanding++
	addr, known := n.addrs[worker]
	switch {
	case it.answered || remaining <= 0 || ho >= n.settings.MaxHandOffs:
		n.handOffEnded(it, ho, dispatch.Moot, "")
	case !known: // it left the list
		n.handOffEnded(it, ho, dispatch.ConnectFailed, "")
	case !n.mayTakeWork(): // what waits is given up with the next round
		n.handOffEnded(it, ho, dispatch.Moot, "")
	default:
		it.handOffs[ho].noCallback, it.handOffs[ho].addr = false, addr
		it.handOffs[ho].attempt = n.transport.Send(HandOffRequest{WI: wi, HO: ho, ID: it.request.ID, Addr: addr,
			Message: it.request.Message, Timeout: timeout, Mark: n.mark})
		n.recordAction(fleet.HandedOff)
		n.schedule(n.now+timeout, wi, ho)
	}
}

// Cancel gives a hand-off up; its end comes when the worker has been told, unless another comes first.
func (n *Node) Cancel(wi uint64, ho int) {
	if it := n.items[wi]; it != nil && !it.handedOver && ho >= 0 && ho < len(it.handOffs) && !it.handOffs[ho].ended {
		it.handOffs[ho].attempt.Cancel()
	}
}

// Defer answers that trying again is harmless.
func (n *Node) Defer(wi uint64, retryAfter float64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: Deferred, RetryAfter: retryAfter})
	}
}

// WriteOff answers that the work item failed, perhaps with its effect.
func (n *Node) WriteOff(wi uint64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: WrittenOff})
	}
}

// Timer brings on a round; the handle has no use beyond that.
func (n *Node) Timer(_ uint64, delay float64) { n.schedule(n.now+delay, 0, 0) }

// Watch asks discovery for changes, where it tells nothing unasked. Each call has one answer: while that is
// owed, asking again would only put it off.
func (n *Node) Watch(on bool) {
	if on && !n.pollPending {
		n.openWatch()
	}
}

// Tell sends a message to siblings.
func (n *Node) Tell(to int, data []byte) { n.transport.SendToPeer(to, data) }
