// Package takeover replaces one process of a dispatcher by another under load: it implements how the two
// processes find each other and which messages they exchange. docs/design/takeover.md lists the steps. The
// package must not interpret the state that is handed over, and must not delay a start by more than a bounded
// time.
//
// This file makes the decisions and does no I/O; link.go implements the messages, exchange.go performs the
// actions.
package takeover

// ProtocolVersion is the version of the takeover protocol. A process that finds another version starts in the
// ordinary way.
const ProtocolVersion = 1

// Action is a step that Machine requests.
type Action int

// Actions of a Machine.
const (
	StartAccepting Action = iota // accept connections, receive messages of peers, listen for the next process
	// not handled by perform: acceptSuccessor sends the listening sockets to the successor after performing
	// all other actions
	SendSockets
	HandOverState   // stop accepting and hand over the state, then the idle connections
	ResumeAccepting // accept again, because the successor died
	ReportSuccessor // tell the predecessor whether this process has a successor now
	HalveLimits     // use half of the resource limits
	RestoreLimits   // use all of the resource limits again
)

// Refusal is the reason for refusing a process that connects; empty if it is accepted.
type Refusal string

// Reasons for a refusal. They are sent to the refused process.
const (
	RefusedBusy            Refusal = "another process is taking over"
	RefusedOtherDispatcher Refusal = "not the same dispatcher"
	RefusedVersion         Refusal = "another version of the exchange"
)

// Machine holds the state of one process between its start and its end. At any time exactly one process of a
// dispatcher should accept connections.
type Machine struct {
	accepting             bool // this process accepts connections
	predecessor           bool // the link to the predecessor is up
	successor             bool // the link to the successor is up
	handedOver            bool // this process has handed its state over to the successor
	successorHasSuccessor bool // the successor reported a successor of its own
}

// Start begins with a predecessor whose sockets were received, or without one.
func (m *Machine) Start(hasPredecessor bool) []Action {
	if m.predecessor = hasPredecessor; hasPredecessor {
		return []Action{HalveLimits}
	}
	m.accepting = true
	return []Action{StartAccepting}
}

// SuccessorHello handles the greeting of a process that connects.
func (m *Machine) SuccessorHello(version int, sameDispatcher bool) (Refusal, []Action) {
	switch {
	case version != ProtocolVersion:
		return RefusedVersion, nil
	case !sameDispatcher:
		return RefusedOtherDispatcher, nil
	case !m.accepting || m.successor: // a process that doesn't accept yet, or has handed over, has no sockets to give
		return RefusedBusy, nil
	}
	m.successor = true
	return "", append(m.reportSuccessor(), SendSockets, HalveLimits)
}

// reportSuccessor requests the report to the predecessor. The report goes out before anything else: if this
// process then dies, the predecessor must not accept beside the successor.
func (m *Machine) reportSuccessor() (actions []Action) {
	if m.predecessor {
		actions = append(actions, ReportSuccessor)
	}
	return actions
}

// SuccessorReport handles the successor's report of whether it has a successor of its own.
func (m *Machine) SuccessorReport(hasSuccessor bool) { m.successorHasSuccessor = hasSuccessor }

// Stop handles the order to stop: it hands over if this process accepts connections and a successor is
// connected; otherwise it does nothing. It is called again when a successor connects after the order.
func (m *Machine) Stop() []Action {
	if !m.accepting || !m.successor {
		return nil
	}
	m.accepting, m.handedOver = false, true
	return []Action{HandOverState}
}

// PredecessorHandedOver handles the message that the predecessor has sent its whole state.
func (m *Machine) PredecessorHandedOver() []Action {
	if m.accepting || m.handedOver {
		return nil
	}
	m.accepting = true
	return []Action{StartAccepting}
}

// PredecessorGone handles the end of the link to the predecessor. If the predecessor hadn't handed over, it
// died and no process accepts, so this process takes over.
func (m *Machine) PredecessorGone() (actions []Action) {
	m.predecessor = false
	if !m.successor {
		actions = append(actions, RestoreLimits)
	}
	return append(actions, m.PredecessorHandedOver()...)
}

// SuccessorGone handles the end of the link to the successor, which means that the successor died.
func (m *Machine) SuccessorGone() (actions []Action) {
	m.successor = false
	if actions = m.reportSuccessor(); !m.predecessor {
		actions = append(actions, RestoreLimits)
	}
	if m.handedOver && !m.successorHasSuccessor { // otherwise the successor's successor accepts
		m.accepting, m.handedOver = true, false
		actions = append(actions, ResumeAccepting)
	}
	return actions
}
