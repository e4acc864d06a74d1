// This file owns which workers of this dispatcher's part a round has looked at, so that what a draw costs does not grow with
// all that are known. It decides nothing of a worker: whether one may be drawn is asked of dispatch.go, of each alone.

package dispatch

import (
	"cmp"
	"slices"
)

// credit is how sure a further work item is to start at once at a worker.
type credit int

const (
	creditNone credit = iota
	creditLikely
	creditSure
)

// A pool holds workers that are drawn from together: all of the part, or where these are many those of one kind, near or far.
type pool struct {
	workers  []*worker
	kind     int // -1: workers of any kind, near and far
	ownZone  bool
	examined int // how many of all this round has looked at
	start    int // where it began
	stride   int
	ready    [creditSure + 1][]*worker // those found with credit, by it; in a pool of any kind all as sure
}

// pool cuts the part into pools.
func (d *Dispatcher) rebuildPools() {
	d.pools, d.candidatesByTag = d.pools[:0], nil
	if len(d.candidates) <= scanLimit {
		d.pools = append(d.pools, pool{workers: d.candidates, kind: -1})
		return
	}
	at := make([]int, 2*len(d.kinds)) // one past its place in pools
	for _, w := range d.candidates {
		near := w.Zone == d.params.zone
		k := 2 * w.Kind
		if near {
			k++
		}
		if at[k] == 0 {
			d.pools = append(d.pools, pool{kind: w.Kind, ownZone: near})
			at[k] = len(d.pools)
		}
		p := &d.pools[at[k]-1]
		p.workers = append(p.workers, w)
	}
}

// survey begins a round's look at the workers. It tells whether any may have credit.
func (d *Dispatcher) beginScan() bool {
	d.anySuspected, d.minCredit = false, creditLikely
	for k := range d.pools {
		p := &d.pools[k]
		p.examined, p.start, p.stride = 0, 0, 1
		for c := range p.ready {
			p.ready[c] = p.ready[c][:0]
		}
		if p.kind >= 0 { // each round sees others first
			p.start, p.stride = int(d.random()*float64(len(p.workers))), d.randomStride(len(p.workers))
			continue
		}
		for p.examined < len(p.workers) {
			d.examineNext(p)
		}
		return len(p.ready[creditSure]) > 0
	}
	return len(d.pools) > 0
}

// step draws a stride that leads through all n places: neighbours in the list are often neighbours in the building.
func (d *Dispatcher) randomStride(n int) int {
	for {
		if stride := 1 + int(d.random()*float64(n)); gcd(stride, n) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// look takes the next worker of the pool into those that are ready, if it has credit.
func (d *Dispatcher) examineNext(p *pool) {
	w := p.workers[(p.start+p.examined*p.stride)%len(p.workers)]
	p.examined++
	d.anySuspected = d.anySuspected || d.suspected(w)
	c := d.creditOf(w)
	if c == creditNone {
		return
	}
	if p.kind < 0 {
		c = creditSure
	}
	p.ready[c] = append(p.ready[c], w)
}

// gather takes workers that fit into the draw, the first of those given, no more than most.
func (d *Dispatcher) collect(workers []*worker, limit int, fits func(*worker) bool) {
	for _, w := range workers {
		if fits(w) {
			w.standsFor = 1
			if d.eligible = append(d.eligible, w); len(d.eligible) == limit {
				return
			}
		}
	}
}

// gatherMany takes workers that fit from each pool of the lane, as many as are enough where it has many: each of them stands
// for its part of those that were not looked at. With likely credit wanted, sure credit was looked for before, in vain.
func (d *Dispatcher) collectFromPools(it *item, lane int, ownZone bool, fits func(*worker) bool) {
	for k := range d.pools {
		p := &d.pools[k]
		if p.kind < 0 {
			d.collect(p.ready[creditSure], len(p.ready[creditSure]), fits)
			continue
		}
		if d.kinds[p.kind].lane != lane || ownZone && !p.ownZone || it.cat.Kind >= 0 && it.cat.Kind != p.kind {
			continue
		}
		first, taken, ready := len(d.eligible), 0, &p.ready[d.minCredit]
		for len(d.eligible)-first < scanLimit && (taken < len(*ready) || p.examined < len(p.workers)) {
			if taken == len(*ready) {
				d.examineNext(p)
				continue
			}
			if w := (*ready)[taken]; fits(w) {
				d.eligible = append(d.eligible, w)
			}
			taken++
		}
		for _, w := range d.eligible[first:] {
			w.standsFor = float64(len(*ready)*len(p.workers)) / float64(taken*p.examined)
		}
	}
}

// nearest are the first n of them by far, in order. All are sorted only where most are wanted.
func nearest(workers []*worker, n int) []*worker {
	order := func(a, b *worker) int { return cmp.Compare(a.keyDistance, b.keyDistance) }
	if n*n >= len(workers) {
		slices.SortFunc(workers, order)
		return workers[:min(len(workers), n)]
	}
	first := workers[:n:n]
	slices.SortFunc(first, order)
	for _, w := range workers[n:] {
		if at, _ := slices.BinarySearchFunc(first, w, order); at < n {
			copy(first[at+1:], first[at:])
			first[at] = w
		}
	}
	return first
}

// some are workers of the part to look at where it is not worth looking at all: those in reach of one draw.
func (d *Dispatcher) someCandidates() []*worker {
	if len(d.candidates) <= scanLimit {
		return d.candidates
	}
	start := int(d.random() * float64(len(d.candidates)-scanLimit+1))
	return d.candidates[start : start+scanLimit]
}
