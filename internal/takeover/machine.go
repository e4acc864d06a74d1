// Package takeover owns how two processes of one dispatcher find and speak to each other, so that the newer takes the
// place of the older under load. docs/design/takeover.md has the steps. It must never look into what is handed over,
// nor delay a start by more than a bounded time.
//
// This file decides, free of I/O; link.go speaks, exchange.go does what is decided.
package takeover

// Version is that of the exchange. Another one is not understood, and leads to an ordinary start.
const ProtocolVersion = 1

// Action is what a Machine wants done.
type Action int

// The actions.
const (
	StartAccepting  Action = iota // accept, hear siblings, listen for the next process
	SendSockets                   // give the newer process the sockets, once what stands before is done
	HandOverState                 // stop accepting and hand over what is known, then the idle connections
	ResumeAccepting               // accept again: the newer process died
	ReportSuccessor               // tell the older process whether there is a newer one now
	HalveLimits                   // keep to half of the bounds
	RestoreLimits                 // all of them are its own again
)

// Refusal is why a process that calls is not welcome; empty: it is.
type Refusal string

// The refusals.
const (
	RefusedBusy            Refusal = "another process is taking over"
	RefusedOtherDispatcher Refusal = "not the same dispatcher"
	RefusedVersion         Refusal = "another version of the exchange"
)

// Machine is one process between its start and its end. Of all processes of a dispatcher one is to accept at any time.
type Machine struct {
	accepting             bool // this one accepts
	predecessor           bool // the link to the one before is up
	successor             bool // the link to the one after is up
	handedOver            bool // what was ours is the newer one's
	successorHasSuccessor bool // the newer one has a newer one itself
}

// Start begins: welcomed by an older process, or alone.
func (m *Machine) Start(hasPredecessor bool) []Action {
	if m.predecessor = hasPredecessor; hasPredecessor {
		return []Action{HalveLimits}
	}
	m.accepting = true
	return []Action{StartAccepting}
}

// Hello is a newer process that calls.
func (m *Machine) SuccessorHello(version int, sameDispatcher bool) (Refusal, []Action) {
	switch {
	case version != ProtocolVersion:
		return RefusedVersion, nil
	case !sameDispatcher:
		return RefusedOtherDispatcher, nil
	case !m.accepting || m.successor: // one that waits, or has handed over, has nothing to give
		return RefusedBusy, nil
	}
	m.successor = true
	return "", append(m.reportSuccessor(), SendSockets, HalveLimits)
}

// report is told first: if this process dies, the one before must not accept beside the one after.
func (m *Machine) reportSuccessor() (actions []Action) {
	if m.predecessor {
		actions = append(actions, ReportSuccessor)
	}
	return actions
}

// Followed is the newer process's word that there is one after it, or none any more.
func (m *Machine) SuccessorReport(hasSuccessor bool) { m.successorHasSuccessor = hasSuccessor }

// Stop is the order to end, told again when a newer process is there only since.
func (m *Machine) Stop() []Action {
	if !m.accepting || !m.successor {
		return nil
	}
	m.accepting, m.handedOver = false, true
	return []Action{HandOverState}
}

// Yours is the older process's word that it has handed over.
func (m *Machine) PredecessorHandedOver() []Action {
	if m.accepting || m.handedOver {
		return nil
	}
	m.accepting = true
	return []Action{StartAccepting}
}

// OlderGone is the end of the link to the older process. If it had not handed over, it died: nobody accepts.
func (m *Machine) PredecessorGone() (actions []Action) {
	m.predecessor = false
	if !m.successor {
		actions = append(actions, RestoreLimits)
	}
	return append(actions, m.PredecessorHandedOver()...)
}

// NewerGone is the end of the link to the newer process: it died.
func (m *Machine) SuccessorGone() (actions []Action) {
	m.successor = false
	if actions = m.reportSuccessor(); !m.predecessor {
		actions = append(actions, RestoreLimits)
	}
	if m.handedOver && !m.successorHasSuccessor { // else that one accepts
		m.accepting, m.handedOver = true, false
		actions = append(actions, ResumeAccepting)
	}
	return actions
}
