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
	none credit = iota
	likely
	sure
)

// A pool holds workers that are drawn from together: all of the part, or where these are many those of one kind, near or far.
type pool struct {
	all    []*worker
	kind   int // -1: workers of any kind, near and far
	near   bool
	looked int // how many of all this round has looked at
	from   int // where it began
	stride int
	ready  [sure + 1][]*worker // those found with credit, by it; in a pool of any kind all as sure
}

// pool cuts the part into pools.
func (d *Dispatcher) pool() {
	d.pools, d.names = d.pools[:0], nil
	if len(d.part) <= many {
		d.pools = append(d.pools, pool{all: d.part, kind: -1})
		return
	}
	at := make([]int, 2*len(d.kinds)) // one past its place in pools
	for _, w := range d.part {
		near := w.Zone == d.f.zone
		k := 2 * w.Kind
		if near {
			k++
		}
		if at[k] == 0 {
			d.pools = append(d.pools, pool{kind: w.Kind, near: near})
			at[k] = len(d.pools)
		}
		p := &d.pools[at[k]-1]
		p.all = append(p.all, w)
	}
}

// survey begins a round's look at the workers. It tells whether any may have credit.
func (d *Dispatcher) survey() bool {
	d.suspects, d.wanted = false, likely
	for k := range d.pools {
		p := &d.pools[k]
		p.looked, p.from, p.stride = 0, 0, 1
		for c := range p.ready {
			p.ready[c] = p.ready[c][:0]
		}
		if p.kind >= 0 { // each round sees others first
			p.from, p.stride = int(d.chance()*float64(len(p.all))), d.step(len(p.all))
			continue
		}
		for p.looked < len(p.all) {
			d.look(p)
		}
		return len(p.ready[sure]) > 0
	}
	return len(d.pools) > 0
}

// step draws a stride that leads through all n places: neighbours in the list are often neighbours in the building.
func (d *Dispatcher) step(n int) int {
	for {
		if s := 1 + int(d.chance()*float64(n)); gcd(s, n) == 1 {
			return s
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
func (d *Dispatcher) look(p *pool) {
	w := p.all[(p.from+p.looked*p.stride)%len(p.all)]
	p.looked++
	d.suspects = d.suspects || d.suspected(w)
	c := d.credit(w)
	if c == none {
		return
	}
	if p.kind < 0 {
		c = sure
	}
	p.ready[c] = append(p.ready[c], w)
}

// gather takes workers that fit into the draw, the first of those given, no more than most.
func (d *Dispatcher) gather(from []*worker, most int, fits func(*worker) bool) {
	for _, w := range from {
		if fits(w) {
			w.standsFor = 1
			if d.fit = append(d.fit, w); len(d.fit) == most {
				return
			}
		}
	}
}

// gatherMany takes workers that fit from each pool of the lane, as many as are enough where it has many: each of them stands
// for its part of those that were not looked at. With likely credit wanted, sure credit was looked for before, in vain.
func (d *Dispatcher) gatherMany(it *item, lane int, near bool, fits func(*worker) bool) {
	for k := range d.pools {
		p := &d.pools[k]
		if p.kind < 0 {
			d.gather(p.ready[sure], len(p.ready[sure]), fits)
			continue
		}
		if d.kinds[p.kind].lane != lane || near && !p.near || it.cat.Kind >= 0 && it.cat.Kind != p.kind {
			continue
		}
		first, seen, of := len(d.fit), 0, &p.ready[d.wanted]
		for len(d.fit)-first < many && (seen < len(*of) || p.looked < len(p.all)) {
			if seen == len(*of) {
				d.look(p)
				continue
			}
			if w := (*of)[seen]; fits(w) {
				d.fit = append(d.fit, w)
			}
			seen++
		}
		for _, w := range d.fit[first:] {
			w.standsFor = float64(len(*of)*len(p.all)) / float64(seen*p.looked)
		}
	}
}

// nearest are the first n of them by far, in order. All are sorted only where most are wanted.
func nearest(of []*worker, n int) []*worker {
	order := func(a, b *worker) int { return cmp.Compare(a.far, b.far) }
	if n*n >= len(of) {
		slices.SortFunc(of, order)
		return of[:min(len(of), n)]
	}
	first := of[:n:n]
	slices.SortFunc(first, order)
	for _, w := range of[n:] {
		if at, _ := slices.BinarySearchFunc(first, w, order); at < n {
			copy(first[at+1:], first[at:])
			first[at] = w
		}
	}
	return first
}

// some are workers of the part to look at where it is not worth looking at all: those in reach of one draw.
func (d *Dispatcher) some() []*worker {
	if len(d.part) <= many {
		return d.part
	}
	from := int(d.chance() * float64(len(d.part)-many+1))
	return d.part[from : from+many]
}
