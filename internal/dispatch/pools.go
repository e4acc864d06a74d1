// This file keeps track of which candidates a round has examined, so that the cost of a draw does not grow
// with the number of known workers. It makes no decision about a worker: whether one may be drawn is decided
// in dispatch.go, for each worker by itself.

package dispatch

import (
	"cmp"
	"slices"
)

// readiness says how sure a further work item is to start at once at a worker.
type readiness int

const (
	readinessNone readiness = iota
	readinessLikely
	readinessSure
)

// pool holds workers that are drawn from together: all candidates, or where there are many, those of one kind
// that are in the dispatcher's own zone, or outside it.
type pool struct {
	workers  []*worker
	kind     int // -1: workers of any kind and zone.
	ownZone  bool
	examined int // Number of workers that this round has examined.
	start    int // Index of the first one.
	stride   int
	// Examined workers that may get work, by readiness. The single pool of all candidates lists them all
	// under readinessSure, as mayDraw checks each worker's readiness anyway.
	ready [readinessSure + 1][]*worker
}

// rebuildPools divides the candidates into pools.
func (d *Dispatcher) rebuildPools() {
	d.pools, d.candidatesByTag = d.pools[:0], nil
	if len(d.candidates) <= scanLimit {
		d.pools = append(d.pools, pool{workers: d.candidates, kind: -1})
		return
	}
	at := make([]int, 2*len(d.kinds)) // Index in d.pools plus one; 0: no pool yet.
	for _, w := range d.candidates {
		near := d.inOwnZone(w)
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

// beginScan starts a round's examination of the workers. It reports whether any worker may be ready for work.
func (d *Dispatcher) beginScan() bool {
	d.anySuspected, d.minReadiness = false, readinessLikely
	for k := range d.pools {
		p := &d.pools[k]
		p.examined, p.start, p.stride = 0, 0, 1
		for c := range p.ready {
			p.ready[c] = p.ready[c][:0]
		}
		if p.kind >= 0 { // Each round starts with other workers.
			p.start, p.stride = int(d.random()*float64(len(p.workers))), d.randomStride(len(p.workers))
			continue
		}
		for p.examined < len(p.workers) {
			d.examineNext(p)
		}
		return len(p.ready[readinessSure]) > 0
	}
	return len(d.pools) > 0
}

// randomStride returns a random stride that visits all n positions. Workers listed next to each other often
// stand close together, for example in one rack, so a draw should not take them together.
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

// examineNext examines the next worker of the pool and adds it to the ready ones, unless its readiness is
// none.
func (d *Dispatcher) examineNext(p *pool) {
	w := p.workers[(p.start+p.examined*p.stride)%len(p.workers)]
	p.examined++
	d.anySuspected = d.anySuspected || d.suspected(w)
	c := d.readinessOf(w)
	if c == readinessNone {
		return
	}
	if p.kind < 0 {
		c = readinessSure
	}
	p.ready[c] = append(p.ready[c], w)
}

// collect adds to the draw the first of the given workers that fit, at most limit.
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

// collectFromPools adds to the draw workers that fit from each pool of the lane, up to scanLimit from each;
// each of them represents its part of the workers that were not examined. When minReadiness is
// readinessLikely, an earlier pass has found no worker with readinessSure.
func (d *Dispatcher) collectFromPools(it *item, lane int, ownZone bool, fits func(*worker) bool) {
	for k := range d.pools {
		p := &d.pools[k]
		if p.kind < 0 {
			d.collect(p.ready[readinessSure], len(p.ready[readinessSure]), fits)
			continue
		}
		if d.kinds[p.kind].lane != lane || ownZone && !p.ownZone || it.cat.Kind >= 0 && it.cat.Kind != p.kind {
			continue
		}
		first, taken, ready := len(d.eligible), 0, &p.ready[d.minReadiness]
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

// nearest returns the first n workers by key distance, in order. It sorts all of them only if most are
// wanted.
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

// someCandidates returns all candidates or, if there are more than scanLimit, that many adjacent ones from a
// random position.
func (d *Dispatcher) someCandidates() []*worker {
	if len(d.candidates) <= scanLimit {
		return d.candidates
	}
	start := int(d.random() * float64(len(d.candidates)-scanLimit+1))
	return d.candidates[start : start+scanLimit]
}
