package dispatch

import "testing"

// TestWorkThatFailsAnywhere: on three workers every third work item fails wherever it goes. After a few
// hand-offs this is known, and then each such item costs one hand-off, no worker is ejected for long, and
// good work goes on. A worker that fails everything is ejected all the same.
func TestWorkThatFailsAnywhere(t *testing.T) {
	s := baseSettings()
	s.Categories[0].DueTime = 5000
	tr := newTrace(t, s)
	tr.listUp("f1", "f2", "f3")
	sent := map[bool]int{}
	runOne := func(id uint64, fails func(worker string) bool) {
		tr.arrive(id, 0, 50)
		for range 4 {
			it := tr.d.items[id]
			// Pending: all workers are ejected.
			for n := 0; n < 200 && it != nil && !it.answered && it.outstanding == 0; n++ {
				tr.at(tr.now+20, func(*Dispatcher) {})
			}
			if it == nil || it.answered || it.outstanding == 0 {
				return
			}
			ho := len(it.handOffs) - 1
			o := Finished
			if fails(it.handOffs[ho].worker.Worker) {
				o = Failed
			}
			sent[o == Failed]++
			tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, ho, true, 0) })
			tr.at(tr.now+40, func(d *Dispatcher) { tr.end(id, ho, o) })
			if o == Finished {
				return
			}
		}
	}
	run90 := func(from uint64, fails func(id uint64, worker string) bool) (handOffs, good, bad int) {
		clear(sent)
		for id := from; id < from+90; id++ {
			if fails(id, "") {
				bad++
			}
			runOne(id, func(w string) bool { return fails(id, w) })
		}
		return sent[true], sent[false], bad
	}
	everyThird := func(id uint64, _ string) bool { return id%3 == 0 }
	if n, good, bad := run90(100, everyThird); n > 2*bad || good < 60 {
		t.Errorf("at first: %d failed hand-offs for %d failing items, %d items finished", n, bad, good)
	}
	if n, good, bad := run90(200, everyThird); n > bad*13/10 || good < 60 {
		t.Errorf("once the failure rate is known: %d failed hand-offs for %d failing items, %d items finished", n, bad, good)
	}
	run90(300, func(uint64, string) bool { return false })
	tr.at(tr.now+20000, func(*Dispatcher) {})
	if n, good, _ := run90(400, func(_ uint64, w string) bool { return w == "f1" }); n < 1 || n > 8 || good < 85 {
		t.Errorf("one failing worker: %d items failed there, %d finished elsewhere", n, good)
	}
}
