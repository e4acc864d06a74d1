package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// newLargePool starts a dispatcher that knows the given number of workers of each kind, listed kind by kind,
// every fourth of them in its own zone.
func newLargePool(t *testing.T, s Settings, counts ...int) *trace {
	t.Helper()
	tr := newTrace(t, s)
	tr.at(1, func(d *Dispatcher) {
		var list []Entry
		for k, n := range counts {
			for w := range n {
				list = append(list, Entry{Worker: fmt.Sprintf("%c%d", 'a'+k, w), Kind: k, Zone: len(list) % 4})
			}
		}
		d.Listed(ListComplete, list)
	})
	return tr
}

// TestLargePoolFindsEligibleWorker: with more workers than a draw examines, work is placed exactly if any of
// all workers may take it, whatever they are busy with, and never at one that may not.
func TestLargePoolFindsEligibleWorker(t *testing.T) {
	found, missed := 0, 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := baseSettings()
		s.Seed, s.Kinds, s.PreferOwnZone = seed, 3, seed%2 == 0
		tr := newLargePool(t, s, 1+r.IntN(1200), 1+r.IntN(1200), scanLimit)
		d := tr.d
		d.meanHint, d.cutoff = 20, 20
		for k := range d.kinds {
			d.kinds[k].lane, d.kinds[k].workerCapacity = k%2, 1+float64(k)
			d.kinds[k].limit[known].likely, d.kinds[k].limit[known].sure = 2, 1
			d.kinds[k].limit[known].nextProbeAt = math.Inf(1)
		}
		// In most cases all workers are busy; in a quarter they are ready but too slow. The exceptions
		// vary.
		for _, w := range d.candidates {
			if w.waiting = 1; seed%4 == 0 {
				w.waiting, w.logSlow, w.logSlowAt = 0, 5, d.now
			}
			if r.IntN(700) > 0 {
				continue
			}
			w.logSlow = 0
			switch w.waiting = 0; r.IntN(6) {
			case 0:
				w.running = 1 + r.IntN(4)
			case 1:
				w.failures = 1
			case 2:
				w.suspectedUntil = d.now + 100
			case 3:
				w.logSlow, w.logSlowAt = 5, d.now
			case 4:
				w.State = Draining
			}
		}
		it := &item{WorkItem: WorkItem{ID: seed, Hint: 40 * r.Float64()}, cat: &s.Categories[r.IntN(2)], expiry: d.now + 5000, dueAt: d.now + 300}
		if r.IntN(3) == 0 {
			cat := *it.cat
			cat.Kind, it.cat = r.IntN(3), &cat
		}
		d.minReadiness = readinessLikely
		var eligible []*worker
		for _, w := range d.candidates {
			if d.mayDraw(it, w) {
				eligible = append(eligible, w)
			}
		}
		d.beginScan()
		if got := d.placeItem(it); got != (len(eligible) > 0) || got && !slices.Contains(eligible, it.handOffs[0].worker) {
			t.Fatalf("seed %d: placed %v with %d eligible workers, hand-offs %v", seed, got, len(eligible), it.handOffs)
		}
		if len(eligible) > 0 {
			found++
		} else {
			missed++
		}
	}
	if found < 50 || missed < 50 {
		t.Errorf("%d cases with an eligible worker and %d without: want at least 50 of each", found, missed)
	}
}

// TestLargePoolDrawsEvenly: with more workers than a draw examines, each is drawn equally often, wherever it
// is in the list and in whichever zone, as if all were examined.
func TestLargePoolDrawsEvenly(t *testing.T) {
	s := baseSettings()
	s.Categories[0].DueTime = 5000
	const items, workers = 30000, 1500
	tr := newLargePool(t, s, workers)
	for id := range uint64(items) {
		tr.runItem(id, 0, 20, 2)
	}
	near, chi := 0, 0.
	for w := range workers {
		n := tr.handOffs[fmt.Sprintf("a%d", w)]
		if w%4 == s.Zone {
			near += n
		}
		chi += (float64(n) - items/workers) * (float64(n) - items/workers) / (items / workers)
	}
	// Own zone and others are two pools. With weights by examined workers alone the share would be 0.5.
	if share := float64(near) / items; share < 0.24 || share > 0.26 {
		t.Errorf("the quarter of the workers in the own zone got %.3f of the work", share)
	}
	if z := (chi - (workers - 1)) / math.Sqrt(2*(workers-1)); z > 4 {
		t.Errorf("distribution is %.1f standard deviations from uniform, want at most 4", z)
	}
}

// TestLargePoolExaminesFewWorkers: while most workers are ready a round examines as many as it needs,
// however many there are. The items of a batch that arrives at once go to different workers.
func TestLargePoolExaminesFewWorkers(t *testing.T) {
	maxExamined := func(n int) (most int) {
		tr := newLargePool(t, baseSettings(), n, n)
		for id := range uint64(20) {
			tr.at(tr.now+5, func(d *Dispatcher) {
				for k := range uint64(10) {
					d.Arrived(WorkItem{ID: 10*id + k, Tenant: -1, TimeLeft: 5000, Hint: 20})
				}
			})
			count := 0
			for k := range tr.d.pools {
				count += tr.d.pools[k].examined
			}
			most = max(most, count)
		}
		if len(tr.handOffs) != 200 {
			t.Errorf("%d workers: 200 work items went to %d of them", 2*n, len(tr.handOffs))
		}
		racks := map[int]bool{} // Twenty groups of neighbours, in list order, of the first kind.
		tr.at(tr.now+5, func(d *Dispatcher) {
			for k := range uint64(100) {
				d.Arrived(WorkItem{ID: 1000 + k, Tenant: -1, TimeLeft: 5000, Hint: 20})
			}
		})
		for _, it := range tr.d.open[len(tr.d.open)-100:] {
			var number int
			fmt.Sscanf(it.handOffs[0].worker.Worker[1:], "%d", &number)
			racks[number*20/n] = true
		}
		if len(racks) < 15 {
			t.Errorf("%d workers: a batch of 100 went to %d of 20 neighbourhoods", 2*n, len(racks))
		}
		return most
	}
	few, lots := maxExamined(1000), maxExamined(9000)
	if bound := 4 * (scanLimit + 200); few > bound || lots > bound {
		t.Errorf("a round examined %d of 2,000 workers, and %d of 18,000; want at most %d", few, lots, bound)
	}
}

// TestNearest: the first workers in a key's order are the same whichever way they are found.
func TestNearest(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{0, 1, 2, 5, 40, 300} {
		of := make([]*worker, 300)
		for k := range of {
			of[k] = &worker{keyDistance: r.Float64()}
		}
		all := slices.Clone(of)
		slices.SortFunc(all, func(a, b *worker) int {
			if a.keyDistance < b.keyDistance {
				return -1
			}
			return 1
		})
		if got := nearest(of, n); !slices.Equal(got, all[:n]) {
			t.Errorf("nearest returned other workers than the first %d of 300 in order", n)
		}
	}
}

// TestLargePoolPrefersOwnZone: where crossing to another zone has a price, workers of the own zone are drawn
// first even among many.
func TestLargePoolPrefersOwnZone(t *testing.T) {
	s := baseSettings()
	s.PreferOwnZone = true
	tr := newLargePool(t, s, 1000)
	for id := range uint64(100) {
		tr.runItem(id, 0, 20, 2)
	}
	for name := range tr.handOffs {
		var number int
		if fmt.Sscanf(name[1:], "%d", &number); number%4 != 0 {
			t.Errorf("worker %s of another zone got work while all workers of the own zone were free", name)
		}
	}
}

// TestNoticeForNewWorker: notices about workers listed after earlier notices are recognised.
func TestNoticeForNewWorker(t *testing.T) {
	s := baseSettings()
	s.Dispatchers, s.MayNotifyPeers = 2, true
	tr := newLargePool(t, s, 300)
	notify := func(id string) int {
		w := tr.d.byID[id]
		tr.at(tr.now+5, func(d *Dispatcher) { d.PeerMessageReceived(1, []byte{byte(w.idHash >> 8), byte(w.idHash), 200}) })
		return len(w.peerLeases)
	}
	if n := notify("a7"); n != 1 {
		t.Errorf("%d peer leases at a worker, want 1", n)
	}
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListChanges, []Entry{{Worker: "new"}}) })
	if n := notify("new"); n != 1 {
		t.Errorf("%d peer leases at a worker listed later, want 1", n)
	}
	tr.at(tr.now+5, func(d *Dispatcher) { d.PeerMessageReceived(1, nil) }) // Names no worker.
}

// TestSomeCandidatesCoverAll: where examining some candidates is enough, they differ each time, and all are
// examined in the end.
func TestSomeCandidatesCoverAll(t *testing.T) {
	tr := newLargePool(t, baseSettings(), 1000)
	met := map[*worker]bool{}
	for range 20000 {
		some := tr.d.someCandidates()
		if len(some) != scanLimit {
			t.Fatalf("someCandidates returned %d workers", len(some))
		}
		for _, w := range some {
			met[w] = true
		}
	}
	if len(met) != 1000 { // The first and the last are in one of 745 samples each.
		t.Errorf("20,000 samples contained %d of 1,000 workers", len(met))
	}
	if few := newLargePool(t, baseSettings(), scanLimit); len(few.d.someCandidates()) != scanLimit {
		t.Error("someCandidates does not return all of a few workers")
	}
}
