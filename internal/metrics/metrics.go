// Package figures owns what a dispatcher reports of itself: plain counts, kept as atomic values so that whoever sees an
// event counts it and whoever asks reads without waiting. It must never decide anything, and nothing may rest on it. A
// nil *Figures counts nothing.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Figures are one dispatcher's, from the start of its process.
type Metrics struct {
	categories []string
	answered   [][outcomes]atomic.Int64 // of each class
	active     atomic.Int64
	handOffs   atomic.Int64
	listed     atomic.Int64
	ejected    atomic.Int64
}

// Ending is how a job ended for its client.
type Outcome int

// The endings that are counted.
const (
	OK Outcome = iota
	Shed
	Error
	outcomes = iota
)

var outcomeNames = [outcomes]string{"ok", "shed", "errors"}

const prefix = "edge_router." // as the operators' page has it

// New makes figures that are all 0, for classes as they are named on the wire.
func New(categories []string) *Metrics {
	return &Metrics{categories: categories, answered: make([][outcomes]atomic.Int64, len(categories))}
}

// Taken counts a job that now has to be answered.
func (m *Metrics) JobAccepted() {
	if m != nil {
		m.active.Add(1)
	}
}

// Ended counts the answer to a job that was taken.
func (m *Metrics) JobAnswered(category int, outcome Outcome) {
	if m != nil {
		m.answered[category][outcome].Add(1)
		m.active.Add(-1)
	}
}

// Left counts a job off whose client went away.
func (m *Metrics) ClientLeft() {
	if m != nil {
		m.active.Add(-1)
	}
}

// Tried counts a hand-off that was written whole to a worker.
func (m *Metrics) HandOffSent() {
	if m != nil {
		m.handOffs.Add(1)
	}
}

// Pool takes how many workers are listed, and how many of these are avoided now.
func (m *Metrics) SetPool(listed, ejected int) {
	if m != nil {
		m.listed.Store(int64(listed))
		m.ejected.Store(int64(ejected))
	}
}

// Append writes all figures, a line each.
func (m *Metrics) Append(b []byte) []byte {
	line := func(name string, n int64, suffix string) {
		b = append(append(b, prefix...), name...)
		b = strconv.AppendInt(append(b, ':'), n, 10)
		b = append(append(b, suffix...), '\n')
	}
	for outcome, name := range outcomeNames {
		for k, category := range m.categories {
			line(name+"."+category, m.answered[k][outcome].Load(), "|c")
		}
	}
	line("tries", m.handOffs.Load(), "|c")
	line("active", m.active.Load(), "|g")
	line("pool_size", m.listed.Load(), "|g")
	line("pool_ejected", m.ejected.Load(), "|g")
	return b
}
