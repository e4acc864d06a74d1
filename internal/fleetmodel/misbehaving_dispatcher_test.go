package fleetmodel

import (
	"fmt"
	"math"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/invariants"
)

// misbehaving is a dispatcher with one fault. It sends requests to workers in turn, and answers a request
// when its job is done.
type misbehaving struct {
	model    *Model
	defect   string
	workers  []string
	rotation int
	requests map[string]*Request
	handOffs map[string][]*HandOff
	states   map[string]dispatch.WorkerState
}

func (c *misbehaving) send(d int, r *Request, to string) {
	c.handOffs[r.ID] = append(c.handOffs[r.ID], c.model.HandOff(d, r.ID, to, nil))
}

func (c *misbehaving) next() string {
	for range c.workers {
		c.rotation++
		if id := c.workers[c.rotation%len(c.workers)]; c.states[id] == dispatch.Up {
			return id
		}
	}
	return ""
}

func (c *misbehaving) RequestArrived(d int, r *Request) {
	c.requests[r.ID] = r
	to := c.next()
	switch c.defect {
	case "drained worker":
		to = c.workers[r.Job.Number%len(c.workers)]
	case "one cold worker":
		to = c.workers[0]
	}
	if to == "" {
		c.answer(d, r.ID, RetryLater, "")
		return
	}
	if c.send(d, r, to); c.defect == "come again at once" {
		c.answer(d, r.ID, RetryLater, "")
	}
	if c.defect == "a second copy" {
		c.send(d, r, c.next())
	}
	if c.defect == "too many hand-offs" {
		for range 5 {
			c.model.CancelHandOff(c.handOffs[r.ID][len(c.handOffs[r.ID])-1])
			c.send(d, r, c.next())
		}
	}
	if c.defect == "an id of its own" {
		c.model.HandOff(d, "made-up", to, nil)
	}
}

func (c *misbehaving) answer(d int, id string, s Status, body string) {
	if c.requests[id] != nil {
		delete(c.requests, id)
		c.model.Answer(d, id, s, body, 0)
	}
}

func (c *misbehaving) ClientLeft(int, *Request) {}
func (c *misbehaving) HandOffEnded(d int, h *HandOff, result HandOffResult) {
	switch result {
	case Rejected, ConnectFailed:
		if r := c.requests[h.ID]; r != nil && len(c.handOffs[h.ID]) < 5 {
			c.send(d, r, c.next())
		} else {
			c.answer(d, h.ID, RetryLater, "")
		}
	case ConnectionReset, Failed:
		c.handOffLost(d, h.ID)
	}
}

// handOffLost handles a hand-off that may have run.
func (c *misbehaving) handOffLost(d int, id string) {
	r := c.requests[id]
	switch {
	case r == nil:
	case c.defect == "exclusive again":
		c.send(d, r, c.next())
	case c.defect == "come again after a loss":
		c.answer(d, id, RetryLater, "")
	default:
		c.answer(d, id, OtherStatus, "")
	}
}

func (c *misbehaving) Callback(d int, b Callback) bool {
	switch b.State {
	case "lost":
		c.handOffLost(d, b.ID)
	case "done":
		r := c.requests[b.ID]
		switch {
		case r == nil:
		case c.defect == "no answer":
		case c.defect == "two answers":
			c.answer(d, b.ID, Served, b.Result)
			c.model.Answer(d, b.ID, Served, b.Result, 0)
		case c.defect == "made up":
			c.answer(d, b.ID, Served, "all is well")
		case c.defect == "late answer":
			c.model.At(r.Deadline+100, func() { c.answer(d, b.ID, Served, b.Result) })
		case c.defect == "hand-off after the answer":
			c.answer(d, b.ID, Served, b.Result)
			c.send(d, r, c.next())
		default:
			c.answer(d, b.ID, Served, b.Result)
		}
	}
	return true
}

func (c *misbehaving) DiscoveryUpdated(d int, l DiscoveryUpdate) {
	for _, m := range l.Workers {
		if _, known := c.states[m.ID]; !known {
			c.workers = append(c.workers, m.ID)
		}
		c.states[m.ID] = m.State
	}
	c.model.DispatcherReady(d)
}
func (c *misbehaving) WatchEnded(int, int)                    {}
func (c *misbehaving) PeerMessage(int, int, []byte)           {}
func (c *misbehaving) StartDispatcher(d int, _ []WorkerEntry) { c.model.Watch(d, 1, -1) }
func (c *misbehaving) WorkerStarted(string)                   {}
func (c *misbehaving) WorkerStopped(string)                   {}
func (c *misbehaving) KillDispatcher(int)                     {}
func (c *misbehaving) StopDispatcher(int)                     {}
func (c *misbehaving) ReloadDispatcher(int)                   {}
func (c *misbehaving) UpgradeDispatcher(int)                  {}
func (c *misbehaving) FloodConnections(int, float64, float64) {}
func (c *misbehaving) SetPaused(int, bool)                    {}
func (c *misbehaving) SetFleetFault(*Fault, []int, bool)      {}

const misbehavingText = `
length = "4s"
[dispatchers]
second_copies = %v
max_hand_offs = 5
[clients]
retries = 0
[[kind]]
name = "one"
count = 4
cores = 2
slots = 4
[[category]]
name = "order"
repeat = %q
window = "100ms"
group = "zone"
cost = "5ms"
law = "fixed"
expiry = "1s"
[arrivals]
rate = 200
gaps = "even"
`

// TestDetectsEachFault checks that each fault of a dispatcher is reported under its rule, with a work item
// and not before it happens, and that the same dispatcher without a fault gets no violation.
func TestDetectsEachFault(t *testing.T) {
	for _, c := range []struct {
		defect, repeat, fault string
		copies                bool
		rule                  invariants.Rule
		after                 float64 // no violation before this time of the model's clock; clients arrive from 1000 on
	}{
		{"none", "exclusive", "", false, "", 0},
		{"none", "exclusive", "kill", false, "", 0},
		{"none", "exclusive", "drain", false, "", 0},
		{"no answer", "rerunnable", "", true, invariants.NoItemLost, 1000},
		{"two answers", "rerunnable", "", true, invariants.NoItemLost, 1000},
		{"made up", "rerunnable", "", true, invariants.NoItemLost, 1000},
		{"late answer", "rerunnable", "", true, invariants.NoItemLost, 2000},
		{"hand-off after the answer", "rerunnable", "", true, invariants.NoDoubleEffect, 1000},
		{"too many hand-offs", "rerunnable", "", true, invariants.NoDoubleEffect, 1000},
		{"a second copy", "rerunnable", "", false, invariants.NoDoubleEffect, 1000},
		{"a second copy", "exclusive", "", true, invariants.NoDoubleEffect, 1000},
		{"an id of its own", "rerunnable", "", true, invariants.NoDoubleEffect, 1000},
		{"come again at once", "exclusive", "", true, invariants.NoDoubleEffect, 1000},
		{"exclusive again", "exclusive", "kill", true, invariants.NoDoubleEffect, 2000},
		{"exclusive again", "ticketed", "vanish", true, invariants.NoDoubleEffect, 2000},
		{"come again after a loss", "ticketed", "kill", true, invariants.NoDoubleEffect, 2000},
		{"drained worker", "rerunnable", "drain", true, invariants.DrainRespected, 2500},
		{"one cold worker", "rerunnable", "cold", true, invariants.NoColdOverload, 2000},
	} {
		t.Run(c.defect+" "+c.repeat+" "+c.fault, func(t *testing.T) {
			text := fmt.Sprintf(misbehavingText, c.copies, c.repeat)
			if c.fault == "cold" {
				text += "[workers]\nfall = \"200ms\"\nstart_share = 0.05\n"
				c.fault = "kill"
			}
			if c.fault != "" {
				text += fmt.Sprintf("[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = %q\ncount = 4\n", c.fault)
			}
			x, err := ParseExperiment("misbehaving", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			model := New(x, 7)
			dispatcher := &misbehaving{model: model, defect: c.defect, requests: map[string]*Request{}, handOffs: map[string][]*HandOff{},
				states: map[string]dispatch.WorkerState{}}
			model.Begin(dispatcher, 1000)
			for !model.Done() && !math.IsInf(model.Next(), 1) {
				model.Step()
			}
			model.Advance(model.Now() + 1000)
			model.Checker.Finish(model.Now())
			if c.rule == "" {
				if !model.Checker.Clean() || model.Checker.Answers < 700 {
					t.Errorf("%d answers, want at least 700; violations: %v", model.Checker.Answers, model.Checker.Violations[:min(3, len(model.Checker.Violations))])
				}
				return
			}
			if model.Checker.Clean() {
				t.Fatal("no violation reported")
			}
			v := model.Checker.Violations[0]
			if v.Rule != c.rule || v.At < c.after || v.ID == "" {
				t.Errorf("first violation: %v", v)
			}
		})
	}
}
