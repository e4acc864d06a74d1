// Package metrics holds the metrics that a dispatcher reports: counters and gauges as atomic values, so that
// the code that observes an event counts it itself and a reader never waits. They must never influence a
// decision. A nil *Metrics counts nothing.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Metrics are the metrics of one dispatcher since the start of its process.
type Metrics struct {
	categories []string
	answered   [][outcomes]atomic.Int64 // by category and outcome
	active     atomic.Int64
	handOffs   atomic.Int64
	listed     atomic.Int64
	ejected    atomic.Int64
}

// Outcome is how a job ended for its client.
type Outcome int

// The outcomes that are counted.
const (
	OK Outcome = iota
	Shed
	Error
	outcomes = iota
)

var outcomeNames = [outcomes]string{"ok", "shed", "errors"}

const prefix = "edge_router." // as the operators' page defines it

// New returns metrics that are all 0. categories are the names of the job categories as they appear on the
// wire.
func New(categories []string) *Metrics {
	return &Metrics{categories: categories, answered: make([][outcomes]atomic.Int64, len(categories))}
}

// JobAccepted counts a job that has to be answered.
func (m *Metrics) JobAccepted() {
	if m != nil {
		m.active.Add(1)
	}
}

// JobAnswered counts the answer to an accepted job. One of a category without metrics (below 0) only leaves the
// active ones.
func (m *Metrics) JobAnswered(category int, outcome Outcome) {
	if m != nil {
		if category >= 0 {
			m.answered[category][outcome].Add(1)
		}
		m.active.Add(-1)
	}
}

// ClientLeft removes a job whose client has disconnected from the active ones.
func (m *Metrics) ClientLeft() {
	if m != nil {
		m.active.Add(-1)
	}
}

// HandOffSent counts a hand-off that was completely written to a worker.
func (m *Metrics) HandOffSent() {
	if m != nil {
		m.handOffs.Add(1)
	}
}

// SetPool sets how many workers are listed, and how many of these are avoided at present.
func (m *Metrics) SetPool(listed, ejected int) {
	if m != nil {
		m.listed.Store(int64(listed))
		m.ejected.Store(int64(ejected))
	}
}

// Append appends all metrics to b, one per line.
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
