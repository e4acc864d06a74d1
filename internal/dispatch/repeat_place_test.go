package dispatch

import "testing"

// TestRepeatStaysInGroup guards against a worker whose zone or cell is not known being taken for one that
// recognises a repeat: ticketed work that may have run would have its effect in two groups.
func TestRepeatStaysInGroup(t *testing.T) {
	const earlier, other = "earlier", "other"
	place := func(zone string, cell int) Entry { return Entry{Zone: -1, ZoneName: zone, Cell: cell} }
	known := Place{Zone: "here", Cell: 3}
	tests := []struct {
		name          string
		scope         DedupScope
		listed        *Entry // The earlier worker's entry here; nil: it has left the list.
		taken         *Place // Where the other process had it at the hand-off.
		other         Entry
		wantsToRepeat bool
	}{
		{"left the list, another cell", DedupCell, nil, &known, place("here", 0), false},
		{"left the list, the same cell", DedupCell, nil, &known, place("here", 3), true},
		{"left the list, another zone", DedupZone, nil, &known, place("there", 3), false},
		{"left the list, the same zone", DedupZone, nil, &known, place("here", 0), true},
		{"listed in another cell since", DedupCell, &Entry{Cell: 0}, &known, place("here", 0), false},
		{"zones without a position, another", DedupZone, nil, &known, place("elsewhere", 3), false},
		{"neither has a zone", DedupZone, nil, &Place{Cell: 3}, place("", 3), false},
		{"neither has a cell", DedupCell, nil, &Place{Zone: "here", Cell: UnknownCell}, place("here", UnknownCell), false},
		{"not said, left the list", DedupCell, nil, nil, place("", 0), false},
		{"not said, listed since before", DedupCell, &Entry{Cell: 3}, nil, place("", 3), true},
		{"not said, restarted since", DedupCell, &Entry{Cell: 3, Since: 900}, nil, place("", 3), false},
		{"all workers, left the list", DedupAll, nil, nil, place("", UnknownCell), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := baseSettings()
			s.Categories = append(s.Categories, Category{Repeat: Ticketed, DedupScope: test.scope, DedupWindow: 4000, DueTime: 5000, Expiry: 5000, Credit: 1, Kind: -1})
			tr := newTrace(t, s)
			tr.at(1000, func(d *Dispatcher) {
				test.other.Worker = other
				list := []Entry{test.other}
				if test.listed != nil {
					test.listed.Worker, test.listed.State = earlier, Draining
					list = append(list, *test.listed)
				}
				d.Listed(ListComplete, list)
				d.Adopt(WorkItem{ID: 1, Category: 2, Tenant: -1, TimeLeft: 4000, Hint: 100}, d.params.categories[2], []Taken{{Worker: earlier, Place: test.taken, Sent: 800, Started: 810}})
			})
			tr.at(1010, func(*Dispatcher) { tr.end(1, 0, ConnReset) })
			tr.at(1500, func(*Dispatcher) {})
			if repeated := tr.handOffs[other] > 0; repeated != test.wantsToRepeat {
				t.Errorf("repeated %v, want %v; decisions:\n%s", repeated, test.wantsToRepeat, &tr.log)
			}
		})
	}
}

// TestRepeatAfterMove guards against a listing that moves a worker while it has work: the work may have run
// where the worker was.
func TestRepeatAfterMove(t *testing.T) {
	s := baseSettings()
	s.Categories = append(s.Categories, Category{Repeat: Ticketed, DedupScope: DedupCell, DedupWindow: 4000, DueTime: 5000, Expiry: 5000, Credit: 1, Kind: -1})
	tr := newTrace(t, s)
	tr.at(1, func(d *Dispatcher) { d.Listed(ListComplete, []Entry{{Worker: "f1", Cell: 3}}) })
	tr.arrive(1, 2, 100)
	tr.at(20, func(d *Dispatcher) {
		d.Listed(ListComplete, []Entry{{Worker: "f1", Cell: 0}, {Worker: "f2", Cell: 0}})
	})
	tr.at(30, func(*Dispatcher) { tr.end(1, 0, ConnReset) })
	tr.at(500, func(*Dispatcher) {})
	if tr.handOffs["f1"] != 1 || tr.handOffs["f2"] != 0 {
		t.Errorf("hand-offs %v; decisions:\n%s", tr.handOffs, &tr.log)
	}
}
