package dispatch

import "testing"

// TestCategoryCosts: where no work has hints, work that takes far longer than its due time is not rejected as
// too late. The category's cost is learned, and the time allowed grows with it. Each category has its own
// cost.
func TestCategoryCosts(t *testing.T) {
	s := baseSettings()
	s.Categories = []Category{{DueTime: 100, DueStretch: 2.5, Expiry: 5000, Credit: 5, Kind: -1},
		{DueTime: 600, DueStretch: 2, Expiry: 8000, Credit: 5, Kind: -1}}
	tr := newTrace(t, s)
	tr.listUp("f1", "f2", "s1")
	takes := [2]float64{365, 90}
	var took, expected [2]float64 // Of the last item of each category.
	for id := uint64(1); id <= 60; id++ {
		c := int(id % 2)
		tr.at(tr.now+5, func(d *Dispatcher) { d.Arrived(WorkItem{ID: id, Category: c, Tenant: -1, TimeLeft: 5000}) })
		it := tr.d.items[id]
		if it == nil || len(it.handOffs) == 0 {
			t.Fatalf("work item %d of category %d was given up although all workers were free", id, c)
		}
		run := takes[c]
		if it.handOffs[0].worker.Kind == 1 {
			run *= 1.5
		}
		took[c], expected[c] = run, tr.d.expectedTime(it, it.handOffs[0].worker)
		tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
		tr.at(tr.now+run, func(d *Dispatcher) { tr.end(id, 0, Finished) })
	}
	for c, want := range took {
		if got := expected[c]; got < want*0.8 || got > want*1.25 {
			t.Errorf("category %d: expected time %.0f ms, running time %.0f ms", c, got, want)
		}
	}
}

// TestLearnedCostDecays: work that once took far too long is tried again. Otherwise nothing could show that
// it has become faster.
func TestLearnedCostDecays(t *testing.T) {
	s := baseSettings()
	s.Categories[0] = Category{DueTime: 100, Expiry: 5000, Credit: 1, Kind: -1}
	tr := newTrace(t, s)
	tr.listUp("f1")
	tr.runItem(1, 0, 0, 900)
	tr.arrive(2, 0, 0)
	if it := tr.d.items[2]; it != nil && len(it.handOffs) > 0 {
		t.Fatal("work that cannot end by its due time was handed off")
	}
	tr.at(tr.now+40000, func(*Dispatcher) {})
	tr.arrive(3, 0, 0)
	if it := tr.d.items[3]; it == nil || len(it.handOffs) == 0 {
		t.Error("work of the category was not tried again after 40 s")
	}
}

// TestFirstHintDiscardsGuesses: the first hint discards what was learned without hints.
func TestFirstHintDiscardsGuesses(t *testing.T) {
	tr := newTrace(t, baseSettings())
	tr.listUp("f1")
	for id := uint64(1); id < 10; id++ {
		tr.runItem(id, 0, 0, 700)
	}
	tr.runItem(10, 0, 100, 100)
	if d := tr.d; !d.anyHint || d.guessHint(0) != 100 || d.hintsTotal != 1 {
		t.Errorf("after the first hint: anyHint %v, guess %.0f, %d hints", d.anyHint, d.guessHint(0), d.hintsTotal)
	}
}

// TestSlowStartInFarZone: where even the fastest start notice of a zone takes longer than the sweep interval,
// a start that takes as long as opening a connection to that zone is not overdue. The work is not cancelled
// and sent over yet another new connection. In a near zone nothing changes.
func TestSlowStartInFarZone(t *testing.T) {
	for zone, gap := range []float64{2, 35} {
		s := baseSettings()
		s.SecondCopies, s.MaxHandOffs = true, 6
		tr := newTrace(t, s)
		tr.at(tr.now+1, func(d *Dispatcher) {
			d.Listed(ListComplete, []Entry{{Worker: "f1", Zone: zone}, {Worker: "f2", Zone: zone}})
		})
		for id := uint64(1); id <= 10; id++ {
			tr.at(tr.now+5, func(d *Dispatcher) { d.Arrived(WorkItem{ID: id, Tenant: -1, TimeLeft: 5000, Hint: 100}) })
			tr.at(tr.now+gap, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
			tr.at(tr.now+100, func(d *Dispatcher) { tr.end(id, 0, Finished) })
		}
		tr.at(tr.now+5, func(d *Dispatcher) { d.Arrived(WorkItem{ID: 20, Tenant: -1, TimeLeft: 5000, Hint: 100}) })
		tr.at(tr.now+gap+3*gap, func(*Dispatcher) {}) // A new connection takes three more round trips.
		tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(20, 0, true, 0) })
		if n := len(tr.d.items[20].handOffs); n != 1 {
			t.Errorf("zone %d: %d hand-offs, want 1", zone, n)
		}
		w := tr.d.byID["f1"]
		if far := tr.d.startAllowance(w) > 4*gap; far != (zone == 1) {
			t.Errorf("zone %d: start allowance %.0f ms", zone, tr.d.startAllowance(w))
		}
	}
}
