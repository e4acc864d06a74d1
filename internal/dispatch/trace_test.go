package dispatch

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew")

// trace drives one dispatcher and prints what it decides. Timers are left out.
type trace struct {
	t   *testing.T
	d   *Dispatcher
	now float64
	in  func(d *Dispatcher)
	log strings.Builder
	sum map[string]int // hand-offs of each worker
}

func start(t *testing.T, s Settings) *trace {
	return &trace{t: t, d: New(s), sum: map[string]int{}}
}

// plain are settings with nothing special: two kinds, a rerunnable and an exclusive category.
func plain() Settings {
	return Settings{Seed: 7, Grain: 1, Siblings: 1, Kinds: 2, TellsStart: true, Progress: 1000,
		MayCancel: true, MayPause: true, MaxPause: 2000, MaxHandOffs: 3, AnswerSlack: 20, AskWithin: 10000,
		StartShare: 0.1, Cold: 20000, FallMultiple: 3, Fall: 2000, Categories: []Category{
			{Due: 300, Stretch: 3, Expiry: 5000, Credit: 1, Kind: -1},
			{Repeat: Exclusive, Due: 300, Stretch: 3, Expiry: 5000, Credit: 1, Kind: -1}}}
}

func (tr *trace) note(format string, a ...any) {
	fmt.Fprintf(&tr.log, "%6.0f  "+format+"\n", append([]any{tr.now}, a...)...)
}

// say puts a line of explanation into the trace.
func (tr *trace) say(text string) { fmt.Fprintf(&tr.log, "%s\n", text) }

// at runs a round at a time with what comes in then; beats before it run on their own.
func (tr *trace) at(now float64, in func(d *Dispatcher)) {
	for tr.now+5 < now && tr.now > 0 {
		tr.now += 5
		tr.in = func(*Dispatcher) {}
		tr.d.Round(tr.now, tr, tr)
	}
	tr.now, tr.in = now, in
	tr.d.Round(now, tr, tr)
}

// up lists workers that have been up for long, named by kind and number: f1 is of kind 0, s1 of kind 1.
func (tr *trace) up(names ...string) {
	tr.at(tr.now+1, func(d *Dispatcher) {
		var list []Entry
		for _, n := range names {
			list = append(list, Entry{Worker: n, Kind: strings.Index("fs", n[:1])})
		}
		d.Listed(Complete, list)
	})
}

// run hands in an item of the category, lets it start at once and end after the given running time.
func (tr *trace) run(id uint64, category int, hint, running float64) {
	tr.at(tr.now+5, func(d *Dispatcher) {
		d.Arrived(WorkItem{ID: id, Category: category, Tenant: -1, Left: 5000, Hint: hint})
	})
	tr.at(tr.now+1, func(d *Dispatcher) { d.Noticed(id, 0, true, 0) })
	tr.at(tr.now+running, func(d *Dispatcher) { tr.end(id, 0, Finished) })
}

func (tr *trace) end(id uint64, ho int, o Outcome) {
	tr.d.Answered(Answer{WI: id, HO: ho, Outcome: o, Final: o == Finished, Load: NoLoad})
}

func (tr *trace) arrive(id uint64, category int, hint float64) {
	tr.at(tr.now+5, func(d *Dispatcher) {
		d.Arrived(WorkItem{ID: id, Category: category, Tenant: -1, Left: 5000, Hint: hint})
	})
}

// check compares the trace with the one kept in testdata.
func (tr *trace) check(name string) {
	tr.t.Helper()
	file := "testdata/" + name + ".txt"
	if *update {
		if err := os.WriteFile(file, []byte(tr.log.String()), 0o644); err != nil {
			tr.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		tr.t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), tr.log.String()); diff != "" {
		tr.t.Errorf("%s differs (-kept +now):\n%s", file, diff)
	}
}

func (tr *trace) Deliver(d *Dispatcher) { tr.in(d) }

func (tr *trace) HandOff(wi uint64, worker string, _ float64) {
	tr.sum[worker]++
	tr.note("hand off %d to %s", wi, worker)
}
func (tr *trace) Cancel(wi uint64, ho int)       { tr.note("cancel %d hand-off %d", wi, ho) }
func (tr *trace) Defer(wi uint64, pause float64) { tr.note("defer %d, come back in %.0f", wi, pause) }
func (tr *trace) WriteOff(wi uint64)             { tr.note("write off %d", wi) }
func (tr *trace) Timer(uint64, float64)          {}
func (tr *trace) Watch(on bool)                  { tr.note("watch %v", on) }
func (tr *trace) Tell(to int, data []byte)       { tr.note("tell %d: %x", to, data) }
