package dispatch

import "testing"

// TestAdoptFromUnlistedWorker guards against a crash when a hand-off ends that another process made at a worker
// which is not listed here: its end is told to the peers that share the worker.
func TestAdoptFromUnlistedWorker(t *testing.T) {
	for _, outcome := range []Outcome{ConnReset, Failed, Full, Finished} {
		s := baseSettings()
		s.Dispatchers, s.MayNotifyPeers = 2, true
		tr := newTrace(t, s)
		tr.at(1000, func(d *Dispatcher) {
			d.Listed(ListComplete, []Entry{{Worker: "f1"}})
			d.Arrived(WorkItem{ID: 2, Tenant: -1, TimeLeft: 5000, Hint: 100}) // An arrival allows notices.
			d.Adopt(WorkItem{ID: 1, Tenant: -1, TimeLeft: 5000, Hint: 100}, d.params.categories[0], []Taken{{Worker: "gone", Sent: 800, Started: 810}})
		})
		tr.at(1010, func(*Dispatcher) { tr.end(1, 0, outcome) })
		tr.at(1500, func(*Dispatcher) {})
		if sent := tr.handOffs["gone"]; sent > 0 {
			t.Errorf("%d hand-offs to a worker that is not listed", sent)
		}
	}
}

// TestWorkerListedAgain guards against a worker that left the list with work and came back being taken for
// another one, which may get the same work a second time.
func TestWorkerListedAgain(t *testing.T) {
	tr := newTrace(t, baseSettings())
	tr.at(1000, func(d *Dispatcher) {
		d.Listed(ListComplete, nil)
		d.Adopt(WorkItem{ID: 1, Tenant: -1, TimeLeft: 5000, Hint: 100}, d.params.categories[0],
			[]Taken{{Worker: "f1", Sent: 800, Done: true, MayStillRun: true}, {Worker: "gone", Sent: 900, Started: 910}})
	})
	tr.at(1005, func(d *Dispatcher) { d.Listed(ListComplete, []Entry{{Worker: "f1"}}) })
	tr.at(1010, func(*Dispatcher) { tr.end(1, 1, ConnReset) })
	tr.at(1500, func(*Dispatcher) {})
	if tr.handOffs["f1"] > 0 {
		t.Errorf("the worker may still run the work, and got it again; decisions:\n%s", &tr.log)
	}
}
