// This file hands work items and state over to another process of this dispatcher, and takes them over. It must
// never decide when: the transport and the phase do.

package node

import (
	"maps"
	"slices"

	"weldmast/internal/dispatch"
)

// Job is a work item that moves, with its client's connection, to the process that takes over from this one.
type Job struct {
	ID       string
	Category int
	Tenant   int
	Hint     float64
	Key      string
	Expiry   float64
	HandOffs []JobHandOff
	// Its category as configured where the job was accepted; nil: an older version did not say.
	AcceptedAs *dispatch.Category `json:",omitempty"`
}

// JobHandOff is one of the hand-offs of a Job. At most one is in progress, and its worker has accepted it.
type JobHandOff struct {
	dispatch.Taken
	Addr  string // address of its worker
	Never bool   // no callback will come for it
}

// TakeoverState is everything that a process passes on to its successor.
type TakeoverState struct {
	Discovery string // address of the discovery that the list came from
	Revision  int64
	Members   []Member
	Used      []string // IDs of work items that are open, or that ran or may have run
	Learned   dispatch.Learned
}

// takeoverDecider is a Decider that can pass its state on to a successor.
type takeoverDecider interface {
	Learned() dispatch.Learned
	ImportLearned(dispatch.Learned)
	MarkReplaced()
	Adopt(dispatch.WorkItem, dispatch.Category, []dispatch.Taken)
}

// handOverJobs passes work that would be lost at the kill to the successor: queued work items, and those with
// a hand-off in progress at one worker that has accepted it.
func (n *Node) handOverJobs() {
	for _, wi := range slices.Sorted(maps.Keys(n.items)) {
		it := n.items[wi]
		if it.answered || it.outstanding > 1 || slices.ContainsFunc(it.handOffs, func(h handOff) bool { return !h.ended && !h.attempt.Accepted() }) {
			continue
		}
		req := it.request
		category := n.categoryOf(req)
		j := &Job{ID: req.ID, Category: req.Category, Tenant: req.Tenant, Hint: req.Hint, Key: req.Key, Expiry: req.Expiry, AcceptedAs: &category}
		for _, h := range it.handOffs {
			j.HandOffs = append(j.HandOffs, JobHandOff{Addr: h.addr, Never: h.noCallback, Taken: dispatch.Taken{Worker: h.worker, Place: h.place,
				Sent: h.sentAt, Started: h.startedAt, Done: h.ended, Unrun: h.provenUnrun, MayStillRun: h.mayStillRun}})
		}
		n.log.Info("takeover", "takeover", "job handed over", "id", req.ID, "out", it.outstanding)
		it.handedOver = true
		n.answer(it, Reply{Result: HandedOver, Job: j})
	}
}

// categoryOf returns the category whose promises bind for a request.
func (n *Node) categoryOf(req *Request) dispatch.Category {
	if req.AcceptedAs != nil {
		return *req.AcceptedAs
	}
	return n.settings.Categories[req.Category]
}

// adoptJob takes over a work item that another process handed over. If this process is to end as well, the work
// item is answered before that.
func (n *Node) adoptJob(req *Request, j Job) {
	if n.byID[req.ID] != nil {
		req.Respond(Reply{Result: DuplicateID})
		return
	}
	n.lastWI++
	it := &workItem{wi: n.lastWI, request: req, arrivedAt: n.now}
	req.item = it
	n.items[it.wi], n.byID[req.ID] = it, it
	n.open++
	if n.Phase() == Draining {
		it.processEndsIn = max(n.answerBy-n.now, n.settings.RoundInterval)
	}
	n.schedule(it.deadline()+n.settings.AnswerSlack, it.wi, -1)
	for k, t := range j.HandOffs {
		h := handOff{worker: t.Worker, place: t.Place, sentAt: t.Sent, ended: t.Done, noCallback: t.Never, provenUnrun: t.Unrun, mayStillRun: t.MayStillRun, startedAt: t.Started, addr: t.Addr}
		if !h.ended {
			it.outstanding++
			h.attempt = n.transport.AdoptHandOff(HandOffRequest{WI: it.wi, HO: k, ID: req.ID, Addr: t.Addr, Message: req.Message,
				Timeout: max(it.deadline()-n.now, 0)})
			n.schedule(it.deadline(), it.wi, k)
		}
		it.handOffs = append(it.handOffs, h)
	}
	n.inbox = append(n.inbox, adoptedJob{it, j.HandOffs})
}

// takeoverState returns the state for the successor. From then on only the successor sends work to cold
// workers.
func (n *Node) takeoverState() TakeoverState {
	state := TakeoverState{Discovery: n.discoveryAddr, Revision: n.revision}
	for id := range n.byID {
		state.Used = append(state.Used, id)
	}
	for _, used := range n.usedIDs {
		for id := range used {
			state.Used = append(state.Used, id)
		}
	}
	slices.Sort(state.Used)
	if d, ok := n.decider.(takeoverDecider); ok {
		state.Learned = d.Learned()
		d.MarkReplaced()
	}
	for _, w := range state.Learned.Workers {
		state.Members = append(state.Members, Member{w.Entry, n.members[w.Worker].Addr})
	}
	return state
}

// inheritState takes over the state of the predecessor. Its list of workers is used only if it is newer than
// this process's own, which follows discovery as well.
func (n *Node) inheritState(state TakeoverState) {
	for _, id := range state.Used {
		n.rememberID(id)
	}
	if len(state.Members) > 0 && (!n.discoveryAnswered || state.Discovery == n.discoveryAddr && state.Revision > n.revision) {
		if !n.settings.OnlyDrainingBinds {
			clear(n.members)
		}
		n.updateMembers(state.Members)
		n.inbox = append(n.inbox, listUpdate{dispatch.ListRestored, state.Members})
	}
	n.inbox = append(n.inbox, state.Learned)
	n.log.Info("takeover", "takeover", "inherited", "list", state.Revision, "own", n.revision, "members", len(state.Members),
		"ids", len(state.Used))
}
