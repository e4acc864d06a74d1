package dispatch

import "testing"

// TestListWithoutLiveWorkers: where only draining binds, workers that the list omits stay in use with a
// changing weight. One that is really gone costs a few hand-offs that never ran. One last listed as draining
// stays excluded, and one that was only ever listed as gone never gets work.
func TestListWithoutLiveWorkers(t *testing.T) {
	s := baseSettings()
	s.OnlyDrainingBinds, s.Categories[0].DueTime = true, 5000
	tr := newTrace(t, s)
	tr.listUp("f1", "f2", "f3")
	runOne := func(id uint64, end Outcome) {
		tr.arrive(id, 0, 100)
		tr.at(tr.now+1, func(d *Dispatcher) {
			if it := d.items[id]; it != nil && it.outstanding > 0 && end == Finished {
				d.HandOffProgressed(id, len(it.handOffs)-1, true, 0)
			}
		})
		tr.at(tr.now+60, func(d *Dispatcher) {
			if it := d.items[id]; it != nil && it.outstanding > 0 {
				tr.end(id, len(it.handOffs)-1, end)
				if end != Finished {
					d.ClientLeft(id)
				}
			}
		})
	}
	for id := uint64(1); id < 4; id++ {
		runOne(id, Finished)
	}
	tr.comment("f3 drains; then an empty list: f1 and f2 go on, f3 does not, nor does one that was never in service")
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListChanges, []Entry{{Worker: "f3", State: Draining}}) })
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListComplete, nil) })
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListChanges, []Entry{{Worker: "f4", State: Gone}}) })
	for id := uint64(10); id < 16; id++ {
		runOne(id, Finished)
	}
	tr.comment("f2 is listed again, f1 is not: with work out there its weight halves, and doubles as it answers")
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListChanges, []Entry{{Worker: "f2"}}) })
	for id := uint64(20); id < 26; id++ {
		runOne(id, Finished)
	}
	f1 := workerOrStub(tr.d, "f1")
	tr.note("weight of f1 %.3f, listed workers %v", tr.d.drawWeight(f1)/tr.d.kinds[0].workerCapacity, firstOf(tr.d.WorkerCounts()))
	tr.comment("f1 is gone indeed: three that cannot connect, then nothing more")
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListChanges, []Entry{{Worker: "f2", State: Draining}}) })
	for id := uint64(30); id < 40; id++ {
		runOne(id, ConnectFailed)
		tr.at(tr.now+4000, func(*Dispatcher) {})
	}
	tr.comment("listed again")
	tr.at(tr.now+5, func(d *Dispatcher) { d.Listed(ListComplete, []Entry{{Worker: "f1"}}) })
	tr.at(tr.now+20000, func(*Dispatcher) {})
	runOne(50, Finished)
	tr.checkGolden("wronglist")
}

func firstOf(a, _ int) int { return a }
