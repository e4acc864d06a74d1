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
	ours     bool // this one accepts
	older    bool // the link to the one before is up
	newer    bool // the link to the one after is up
	yielded  bool // what was ours is the newer one's
	followed bool // the newer one has a newer one itself
}

// Start begins: welcomed by an older process, or alone.
func (m *Machine) Start(welcomed bool) []Action {
	if m.older = welcomed; welcomed {
		return []Action{HalveLimits}
	}
	m.ours = true
	return []Action{StartAccepting}
}

// Hello is a newer process that calls.
func (m *Machine) SuccessorHello(version int, same bool) (Refusal, []Action) {
	switch {
	case version != ProtocolVersion:
		return RefusedVersion, nil
	case !same:
		return RefusedOtherDispatcher, nil
	case !m.ours || m.newer: // one that waits, or has handed over, has nothing to give
		return RefusedBusy, nil
	}
	m.newer = true
	return "", append(m.report(), SendSockets, HalveLimits)
}

// report is told first: if this process dies, the one before must not accept beside the one after.
func (m *Machine) report() (do []Action) {
	if m.older {
		do = append(do, ReportSuccessor)
	}
	return do
}

// Followed is the newer process's word that there is one after it, or none any more.
func (m *Machine) SuccessorReport(on bool) { m.followed = on }

// Stop is the order to end, told again when a newer process is there only since.
func (m *Machine) Stop() []Action {
	if !m.ours || !m.newer {
		return nil
	}
	m.ours, m.yielded = false, true
	return []Action{HandOverState}
}

// Yours is the older process's word that it has handed over.
func (m *Machine) PredecessorHandedOver() []Action {
	if m.ours || m.yielded {
		return nil
	}
	m.ours = true
	return []Action{StartAccepting}
}

// OlderGone is the end of the link to the older process. If it had not handed over, it died: nobody accepts.
func (m *Machine) PredecessorGone() (do []Action) {
	m.older = false
	if !m.newer {
		do = append(do, RestoreLimits)
	}
	return append(do, m.PredecessorHandedOver()...)
}

// NewerGone is the end of the link to the newer process: it died.
func (m *Machine) SuccessorGone() (do []Action) {
	m.newer = false
	if do = m.report(); !m.older {
		do = append(do, RestoreLimits)
	}
	if m.yielded && !m.followed { // else that one accepts
		m.ours, m.yielded = true, false
		do = append(do, ResumeAccepting)
	}
	return do
}
