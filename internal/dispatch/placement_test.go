package dispatch

import (
	"math"
	"strconv"
	"strings"
	"testing"
)

// TestLastHandOffReserved: a delayed start is no failure. Where the peers' load is unknown, another worker
// may only look free, and the last hand-off is reserved for lost work. Otherwise a worker could run what was
// cancelled, with no hand-off left afterwards.
func TestLastHandOffReserved(t *testing.T) {
	for allowed, moves := range map[int]int{2: 0, 3: 1} {
		s := baseSettings()
		s.SecondCopies, s.MaxHandOffs, s.Dispatchers = true, allowed, 2
		tr := newTrace(t, s)
		tr.listUp("f1", "f2")
		for id := uint64(100); id < 110; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		tr.log.Reset()
		tr.arrive(1, 0, 100)
		tr.at(tr.now+150, func(*Dispatcher) {})
		if n := strings.Count(tr.log.String(), "cancel"); n != moves {
			t.Errorf("%d hand-offs allowed: moved %d times, want %d\n%s", allowed, n, moves, tr.log.String())
		}
	}
}

// workersPerKey runs 40 dispatchers that receive nothing from each other, with 40 workers; each key is
// requested in turn at each dispatcher. It returns at how many workers a key's work ran, at most and on
// average.
func workersPerKey(t *testing.T, keyed bool, keys int) (most int, mean float64) {
	at := map[string]map[string]bool{}
	for number := range 40 {
		s := baseSettings()
		s.Seed, s.Dispatchers, s.Position, s.KeyAffinity, s.Categories[0].DueTime = uint64(number+1), 40, number, keyed, 5000
		tr := newTrace(t, s)
		var names []string
		for k := range 40 {
			names = append(names, "f"+strconv.Itoa(k))
		}
		tr.listUp(names...)
		for id := range uint64(keys * 8) {
			key := "key" + strconv.Itoa(int(id)%keys)
			tr.at(tr.now+5, func(d *Dispatcher) {
				d.Arrived(WorkItem{ID: id, Tenant: -1, TimeLeft: 5000, Hint: 20, Key: key})
			})
			if at[key] == nil {
				at[key] = map[string]bool{}
			}
			at[key][tr.d.items[id].handOffs[0].worker.Worker] = true
			tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
			tr.at(tr.now+20, func(*Dispatcher) { tr.end(id, 0, Finished) })
		}
	}
	for _, workers := range at {
		most = max(most, len(workers))
		mean += float64(len(workers)) / float64(keys)
	}
	return most, mean
}

// TestKeyAffinity: all dispatchers send a key's work to the same few workers, which cache its data. Without
// key affinity each draws among the workers that it shares. A key that makes up all of the traffic is not
// limited to a few workers.
func TestKeyAffinity(t *testing.T) {
	if most, mean := workersPerKey(t, true, 40); mean > 4 || most > 8 {
		t.Errorf("40 keys: each ran at %.1f of 40 workers on average, one at %d", mean, most)
	}
	if _, mean := workersPerKey(t, false, 40); mean < 30 {
		t.Errorf("40 keys without key affinity: each ran at %.1f of 40 workers on average", mean)
	}
	if most, _ := workersPerKey(t, true, 1); most < 30 {
		t.Errorf("a single key ran at %d of 40 workers", most)
	}
}

// TestBusyPreferredWorker: while a key's first worker is busy its work goes to the next in the key's order,
// and back when the first is free. While both are busy it waits, though six others are idle: anywhere else it
// would cost another fetch.
func TestBusyPreferredWorker(t *testing.T) {
	s := baseSettings()
	s.KeyAffinity, s.Categories[0].DueTime = true, 5000
	tr := newTrace(t, s)
	tr.listUp("f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8")
	where := map[uint64]string{}
	send := func(id uint64, key string) {
		tr.at(tr.now+5, func(d *Dispatcher) {
			d.Arrived(WorkItem{ID: id, Tenant: -1, TimeLeft: 5000, Hint: 50, Key: key})
		})
		where[id] = tr.d.items[id].handOffs[0].worker.Worker
	}
	end := func(id uint64) {
		tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
		tr.at(tr.now+50, func(*Dispatcher) { tr.end(id, 0, Finished) })
	}
	for id := uint64(100); id < 180; id++ { // Each of the eight keys is one in eight of the traffic.
		send(id, "key"+strconv.Itoa(int(id%8)))
		end(id)
	}
	tr.at(tr.now+6000, func(*Dispatcher) {})
	send(1, "key1")
	send(2, "key1")
	tr.at(tr.now+5, func(d *Dispatcher) { d.Arrived(WorkItem{ID: 4, Tenant: -1, TimeLeft: 5000, Hint: 50, Key: "key1"}) })
	if n := len(tr.d.items[4].handOffs); n != 0 {
		t.Errorf("third item sent to worker %s, want it pending", tr.d.items[4].handOffs[0].worker.Worker)
	}
	end(1)
	end(2)
	end(4)
	send(3, "key1")
	if where[1] == where[2] || where[1] != where[3] {
		t.Errorf("sent to %s, while that worker was busy to %s, then to %s", where[1], where[2], where[3])
	}
}

// TestLostAnswers: work starts and runs, but many answers never come. Overdue work no longer counts as load,
// and rerunnable work is sent once more while the first hand-off may still run; exclusive work never is. Once
// answers come again nothing is copied.
func TestLostAnswers(t *testing.T) {
	s := baseSettings()
	s.SecondCopies, s.MaxHandOffs = true, 2
	tr := newTrace(t, s)
	tr.listUp("f1", "f2", "f3", "f4")
	for id := uint64(100); id < 130; id++ {
		tr.runItem(id, 0, 100, 100)
	}
	runSilent := func(id uint64, category int, span float64) (handOffs, running int) {
		tr.arrive(id, category, 400)
		tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
		w := tr.d.items[id].handOffs[0].worker
		tr.at(tr.now+span, func(d *Dispatcher) { d.HandOffProgressed(id, 1, true, 0) })
		it := tr.d.items[id]
		return len(it.handOffs), w.running
	}
	if n, _ := runSilent(1, 0, 700); n != 1 {
		t.Errorf("before any answer was lost: %d hand-offs, want 1", n)
	}
	tr.at(tr.now+3000, func(*Dispatcher) {}) // The hand-off stalls.
	for id := uint64(2); id < 6; id++ {
		runSilent(id, 0, 2700)
		for k := range tr.d.items[id].handOffs {
			tr.at(tr.now+1, func(*Dispatcher) { tr.end(id, k, Cancelled) })
		}
	}
	if n, running := runSilent(6, 0, 700); n != 2 || running != 0 {
		t.Errorf("while answers are lost: %d hand-offs, %d running at the first worker; want 2 and 0", n, running)
	}
	tr.at(tr.now+1, func(*Dispatcher) { tr.end(6, 1, Finished) })
	if n, running := runSilent(7, 1, 700); n != 1 || running != 0 {
		t.Errorf("exclusive work: %d hand-offs, %d running; want 1 and 0", n, running)
	}
	for id := uint64(200); id < 260; id++ {
		tr.runItem(id, 0, 100, 100)
	}
	if n, running := runSilent(8, 0, 700); n != 1 || running != 1 {
		t.Errorf("once answers come again: %d hand-offs, %d running; want 1 and 1", n, running)
	}
}

// TestOneHandOffPerWorkerAtATime: a worker gets one hand-off of a work item at a time. The first may still be
// there if it is silent, its connection broke, or it was cancelled. If a second one elsewhere is then
// refused, the third never goes to the first's worker, even if no other worker has room. If the first has
// ended for certain, it does.
func TestOneHandOffPerWorkerAtATime(t *testing.T) {
	for _, first := range []Outcome{-1, ConnReset, Cancelled, TimedOut, Failed, Full} {
		s := baseSettings()
		s.SecondCopies, s.MaxHandOffs = true, 5
		tr := newTrace(t, s)
		tr.listUp("f1", "f2")
		for id := uint64(100); id < 130; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		tr.d.lostAnswerRate = 0.9 // Answers are lost, so work is copied.
		tr.arrive(1, 0, 400)
		it := tr.d.items[1]
		w := it.handOffs[0].worker
		tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(1, 0, true, 0) })
		if first >= 0 {
			tr.at(tr.now+1, func(*Dispatcher) { tr.end(1, 0, first) })
		}
		for until := tr.now + 700; len(it.handOffs) < 2 && tr.now < until; {
			tr.at(tr.now+5, func(*Dispatcher) {})
		}
		if len(it.handOffs) < 2 || it.handOffs[1].worker == w {
			t.Fatalf("first outcome %v: no second hand-off at another worker, %d hand-offs", first, len(it.handOffs))
		}
		for range 3 { // Refused, again and again.
			k := len(it.handOffs) - 1
			if it.handOffs[k].done {
				break
			}
			tr.at(tr.now+1, func(*Dispatcher) { tr.end(1, k, Full) })
			for _, x := range tr.d.workers { // All other workers have room at once.
				x.failures, x.ejectedUntil, x.fullUntil, x.suspectedUntil = 0, 0, 0, 0
			}
			tr.at(tr.now+5, func(*Dispatcher) { tr.d.recheckPending = true })
			tr.at(tr.now+300, func(*Dispatcher) { tr.d.recheckPending = true })
		}
		again := false
		for k, h := range it.handOffs {
			again = again || k > 0 && h.worker == w
		}
		if may := first == Failed || first == Full; again != may {
			t.Errorf("first outcome %d: handed off to the same worker again %v, want %v", first, again, may)
		}
	}
}

// TestSilentWorker: a worker that falls silent is detected by the work that it started; otherwise it would
// get all work, one item after another. Where a fifth of all answers are lost, detection takes two in a row,
// as most workers that lose one answer are healthy. Where work may be fetching, silence says nothing about
// lost answers and counts as a failure each time.
func TestSilentWorker(t *testing.T) {
	for _, c := range []struct {
		silent         float64
		keyed          bool
		first, avoided int
	}{{0, false, 1, 1}, {0.2, false, 1, 0}, {0.2, false, 2, 1}, {0.2, true, 1, 1}} {
		s := baseSettings()
		s.KeyAffinity = c.keyed
		tr := newTrace(t, s)
		tr.listUp("f1")
		for id := uint64(100); id < 130; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		avoided := 0
		for id := range uint64(c.first) {
			tr.arrive(id, 1, 100)
			tr.at(tr.now+1, func(d *Dispatcher) { d.HandOffProgressed(id, 0, true, 0) })
			tr.d.lostAnswerRate = c.silent
			for end := tr.now + 2600; tr.now < end; {
				tr.at(tr.now+100, func(*Dispatcher) {})
				_, now := tr.d.WorkerCounts()
				avoided = max(avoided, now)
			}
		}
		if avoided != c.avoided {
			t.Errorf("%d answers lost in a row at a lost-answer rate of %.1f: %d workers avoided, want %d", c.first, c.silent, avoided, c.avoided)
		}
	}
}

// TestLiveWeights: where listed weights fall with a worker's load, a worker that is far behind gets no work
// that would come too late there. A list that changes only weights does not count as a change of the fleet.
func TestLiveWeights(t *testing.T) {
	for _, live := range []bool{true, false} {
		s := baseSettings()
		s.LiveWeights = live
		tr := newTrace(t, s)
		list := func(weights ...float64) {
			tr.at(tr.now+5, func(d *Dispatcher) {
				var list []Entry
				for k, w := range weights {
					list = append(list, Entry{Worker: "f" + strconv.Itoa(k+1), Weight: w})
				}
				d.Listed(ListChanges, list)
			})
		}
		list(8, 8)
		for id := uint64(100); id < 130; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		resetBefore := tr.d.resetAt
		list(0.5, 8) // Fifteen work items for each core.
		if live && tr.d.resetAt != resetBefore {
			t.Error("a change of weights alone triggered a recomputation of the lanes")
		}
		clear(tr.handOffs)
		for id := uint64(200); id < 230; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		if sent := tr.handOffs["f1"] > 0; sent == live {
			t.Errorf("live weights %v: %d of 30 items went to the worker that is far behind", live, tr.handOffs["f1"])
		}
		list(8, 8)
		clear(tr.handOffs)
		for id := uint64(300); id < 330; id++ {
			tr.runItem(id, 0, 100, 100)
		}
		if tr.handOffs["f1"] == 0 {
			t.Errorf("live weights %v: f1 got no work once it was free", live)
		}
	}
}

// TestFetchTimeSeparateFromSpeed: a fetch adds the same time to small and to large work. It must not be taken
// for a slow kind.
func TestFetchTimeSeparateFromSpeed(t *testing.T) {
	s := baseSettings()
	s.KeyAffinity, s.Categories[0].DueTime = true, 5000
	tr := newTrace(t, s)
	tr.listUp("f1", "f2")
	for id := uint64(100); id < 500; id++ {
		hint := 40.0
		if id%4 == 0 {
			hint = 1000
		}
		tr.runItem(id, 0, hint, hint/2+100)
	}
	k := &tr.d.kinds[0]
	if slow := math.Exp(k.logSlow); slow < 0.45 || slow > 0.56 || k.fetchTime < 70 || k.fetchTime > 130 {
		t.Errorf("running time %.2f of the hint and fetch time %.0f ms, want 0.5 and 100", slow, k.fetchTime)
	}
	tr = newTrace(t, s)
	tr.learnSpeeds()
	if !tr.d.kinds[0].speedKnown || !tr.d.kinds[1].speedKnown {
		t.Error("a kind that got only small work learned no speed")
	}
}
