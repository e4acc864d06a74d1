// This file is the node's side of the Dispatcher: the Inbox that a round delivers and the Writer that takes
// its decisions. It must never change what came in, nor choose anything itself.

package node

import (
	"weldmast/internal/dispatch"
	"weldmast/internal/fleet"
)

// What waits for the next round besides *item (an arrival), dispatch.Answer and Heard.
type (
	left    uint64
	shutOut uint64
	ending  float64 // all that is open must be answered by then
	noticed struct {
		wi    uint64
		ho    int
		start bool
		share float64
	}
	adopted struct {
		it  *item
		hos []JobHandOff
	}
	listed struct {
		form    dispatch.ListType
		members []Member
	}
)

// round lets the Dispatcher decide. What its decisions bring in at once waits for the next round.
func (n *Node) round() {
	n.lastAt, n.wake = n.now, false
	n.d.Round(n.now, n, n)
	if d, ok := n.d.(interface{ Pool() (listed, avoided int) }); ok && n.figures != nil && n.now >= n.poolAt {
		n.poolAt = n.now + poolEvery
		n.figures.SetPool(d.Pool())
	}
}

// Deliver hands over what came in.
func (n *Node) Deliver(d dispatch.EventHandler) {
	for _, v := range n.inbox {
		switch v := v.(type) {
		case *item:
			c := v.client
			d.Arrived(dispatch.WorkItem{ID: v.wi, Category: c.Category, Tenant: c.Tenant,
				TimeLeft: max(c.Expiry-n.now, 0), ShutdownIn: v.within, Hint: c.Hint, Key: c.Key})
		case left:
			d.ClientLeft(uint64(v))
		case shutOut:
			if to, ok := d.(interface{ GiveUp(uint64) }); ok {
				to.GiveUp(uint64(v))
			}
		case ending:
			if to, ok := d.(interface{ End(within float64) }); ok {
				to.End(max(float64(v)-n.now, 0))
			}
		case dispatch.HandOffResult:
			d.HandOffEnded(v)
		case noticed:
			d.HandOffProgressed(v.wi, v.ho, v.start, v.share)
		case PeerMessage:
			d.PeerMessageReceived(v.From, v.Data)
		case adopted:
			if to, ok := d.(learner); ok {
				var hos []dispatch.Taken
				for _, h := range v.hos {
					hos = append(hos, h.Taken)
				}
				c := v.it.client
				to.Adopt(dispatch.WorkItem{ID: v.it.wi, Category: c.Category, Tenant: c.Tenant,
					TimeLeft: max(c.Expiry-n.now, 0), Hint: c.Hint, Key: c.Key}, hos)
			}
		case dispatch.Learned:
			if to, ok := d.(learner); ok {
				to.Recall(v)
			}
		case listed:
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
func (n *Node) HandOff(wi uint64, worker string, patience float64) {
	it := n.items[wi]
	if it == nil { // answered, and all its hand-offs have ended
		return
	}
	ho, rest := len(it.hos), it.expiry()-n.now
	if patience <= 0 || patience > rest {
		patience = rest
	}
	it.hos = append(it.hos, handoff{worker: worker, sent: n.now, never: true})
	it.out++
	addr, known := n.addrs[worker]
	switch {
	case it.done || rest <= 0 || ho >= n.s.MaxHandOffs:
		n.ended(it, ho, dispatch.NotSent, "")
	case !known: // it left the list
		n.ended(it, ho, dispatch.ConnectFailed, "")
	case !n.allowed(): // what waits is given up with the next round
		n.ended(it, ho, dispatch.NotSent, "")
	default:
		it.hos[ho].never, it.hos[ho].addr = false, addr
		it.hos[ho].attempt = n.front.Send(HandOffRequest{WI: wi, HO: ho, ID: it.client.ID, Addr: addr,
			Message: it.client.Message, Timeout: patience, Mark: n.mark})
		n.book(fleet.HandedOff)
		n.at(n.now+patience, wi, ho)
	}
}

// Cancel gives a hand-off up; its end comes when the worker has been told, unless another comes first.
func (n *Node) Cancel(wi uint64, ho int) {
	if it := n.items[wi]; it != nil && !it.handed && ho >= 0 && ho < len(it.hos) && !it.hos[ho].ended {
		it.hos[ho].attempt.Cancel()
	}
}

// Defer answers that trying again is harmless.
func (n *Node) Defer(wi uint64, pause float64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: Deferred, RetryAfter: pause})
	}
}

// WriteOff answers that the work item failed, perhaps with its effect.
func (n *Node) WriteOff(wi uint64) {
	if it := n.items[wi]; it != nil {
		n.answer(it, Reply{Result: WrittenOff})
	}
}

// Timer brings on a round; the handle has no use beyond that.
func (n *Node) SetTimer(_ uint64, span float64) { n.at(n.now+span, 0, 0) }

// Watch asks discovery for changes, where it tells nothing unasked. Each call has one answer: while that is
// owed, asking again would only put it off.
func (n *Node) WatchDiscovery(on bool) {
	if on && !n.asked {
		n.ask()
	}
}

// Tell sends a message to siblings.
func (n *Node) SendToPeer(to int, data []byte) { n.front.SendToPeer(to, data) }
