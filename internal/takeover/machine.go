// Package takeover owns how two processes of one dispatcher find and speak to each other, so that the newer takes the
// place of the older under load. docs/design/takeover.md has the steps. It must never look into what is handed over,
// nor delay a start by more than a bounded time.
//
// This file decides, free of I/O; link.go speaks, exchange.go does what is decided.
package takeover

// Version is that of the exchange. Another one is not understood, and leads to an ordinary start.
const Version = 1

// Action is what a Machine wants done.
type Action int

// The actions.
const (
	Take    Action = iota // accept, hear siblings, listen for the next process
	Welcome               // give the newer process the sockets, once what stands before is done
	Yield                 // stop accepting and hand over what is known, then the idle connections
	Resume                // accept again: the newer process died
	Report                // tell the older process whether there is a newer one now
	Halve                 // keep to half of the bounds
	Whole                 // all of them are its own again
)

// Refusal is why a process that calls is not welcome; empty: it is.
type Refusal string

// The refusals.
const (
	Taken   Refusal = "another process is taking over"
	Foreign Refusal = "not the same dispatcher"
	Unknown Refusal = "another version of the exchange"
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
		return []Action{Halve}
	}
	m.ours = true
	return []Action{Take}
}

// Hello is a newer process that calls.
func (m *Machine) Hello(version int, same bool) (Refusal, []Action) {
	switch {
	case version != Version:
		return Unknown, nil
	case !same:
		return Foreign, nil
	case !m.ours || m.newer: // one that waits, or has handed over, has nothing to give
		return Taken, nil
	}
	m.newer = true
	return "", append(m.report(), Welcome, Halve)
}

// report is told first: if this process dies, the one before must not accept beside the one after.
func (m *Machine) report() (do []Action) {
	if m.older {
		do = append(do, Report)
	}
	return do
}

// Followed is the newer process's word that there is one after it, or none any more.
func (m *Machine) Followed(on bool) { m.followed = on }

// Stop is the order to end, told again when a newer process is there only since.
func (m *Machine) Stop() []Action {
	if !m.ours || !m.newer {
		return nil
	}
	m.ours, m.yielded = false, true
	return []Action{Yield}
}

// Yours is the older process's word that it has handed over.
func (m *Machine) Yours() []Action {
	if m.ours || m.yielded {
		return nil
	}
	m.ours = true
	return []Action{Take}
}

// OlderGone is the end of the link to the older process. If it had not handed over, it died: nobody accepts.
func (m *Machine) OlderGone() (do []Action) {
	m.older = false
	if !m.newer {
		do = append(do, Whole)
	}
	return append(do, m.Yours()...)
}

// NewerGone is the end of the link to the newer process: it died.
func (m *Machine) NewerGone() (do []Action) {
	m.newer = false
	if do = m.report(); !m.older {
		do = append(do, Whole)
	}
	if m.yielded && !m.followed { // else that one accepts
		m.ours, m.yielded = true, false
		do = append(do, Resume)
	}
	return do
}
