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
	classes []string
	ended   [][endings]atomic.Int64 // of each class
	active  atomic.Int64
	tries   atomic.Int64
	listed  atomic.Int64
	avoided atomic.Int64
}

// Ending is how a job ended for its client.
type Outcome int

// The endings that are counted.
const (
	OK Outcome = iota
	Shed
	Error
	endings = iota
)

var names = [endings]string{"ok", "shed", "errors"}

const prefix = "edge_router." // as the operators' page has it

// New makes figures that are all 0, for classes as they are named on the wire.
func New(classes []string) *Metrics {
	return &Metrics{classes: classes, ended: make([][endings]atomic.Int64, len(classes))}
}

// Taken counts a job that now has to be answered.
func (f *Metrics) JobAccepted() {
	if f != nil {
		f.active.Add(1)
	}
}

// Ended counts the answer to a job that was taken.
func (f *Metrics) JobAnswered(class int, e Outcome) {
	if f != nil {
		f.ended[class][e].Add(1)
		f.active.Add(-1)
	}
}

// Left counts a job off whose client went away.
func (f *Metrics) ClientLeft() {
	if f != nil {
		f.active.Add(-1)
	}
}

// Tried counts a hand-off that was written whole to a worker.
func (f *Metrics) HandOffSent() {
	if f != nil {
		f.tries.Add(1)
	}
}

// Pool takes how many workers are listed, and how many of these are avoided now.
func (f *Metrics) SetPool(listed, avoided int) {
	if f != nil {
		f.listed.Store(int64(listed))
		f.avoided.Store(int64(avoided))
	}
}

// Append writes all figures, a line each.
func (f *Metrics) Append(b []byte) []byte {
	line := func(name string, n int64, form string) {
		b = append(append(b, prefix...), name...)
		b = strconv.AppendInt(append(b, ':'), n, 10)
		b = append(append(b, form...), '\n')
	}
	for e, name := range names {
		for k, class := range f.classes {
			line(name+"."+class, f.ended[k][e].Load(), "|c")
		}
	}
	line("tries", f.tries.Load(), "|c")
	line("active", f.active.Load(), "|g")
	line("pool_size", f.listed.Load(), "|g")
	line("pool_ejected", f.avoided.Load(), "|g")
	return b
}
