package fleetmodel

import (
	"fmt"
	"math"
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/invariants"
)

// crook is a dispatcher made to be wrong in one way. It sends each request to the next worker in turn, and answers when
// one is done.
type crook struct {
	w       *Model
	way     string
	list    []string
	turn    int
	clients map[string]*Request
	out     map[string][]*HandOff
	states  map[string]dispatch.WorkerState
}

func (c *crook) send(d int, t *Request, to string) {
	c.out[t.ID] = append(c.out[t.ID], c.w.HandOff(d, t.ID, to, nil))
}

func (c *crook) next() string {
	for range c.list {
		c.turn++
		if id := c.list[c.turn%len(c.list)]; c.states[id] == dispatch.Up {
			return id
		}
	}
	return ""
}

func (c *crook) RequestArrived(d int, t *Request) {
	c.clients[t.ID] = t
	to := c.next()
	switch c.way {
	case "drained worker":
		to = c.list[t.Job.Number%len(c.list)]
	case "one cold worker":
		to = c.list[0]
	}
	if to == "" {
		c.answer(d, t.ID, RetryLater, "")
		return
	}
	if c.send(d, t, to); c.way == "come again at once" {
		c.answer(d, t.ID, RetryLater, "")
	}
	if c.way == "a second copy" {
		c.send(d, t, c.next())
	}
	if c.way == "too many hand-offs" {
		for range 5 {
			c.w.CancelHandOff(c.out[t.ID][len(c.out[t.ID])-1])
			c.send(d, t, c.next())
		}
	}
	if c.way == "an id of its own" {
		c.w.HandOff(d, "made-up", to, nil)
	}
}

func (c *crook) answer(d int, id string, s Status, body string) {
	if c.clients[id] != nil {
		delete(c.clients, id)
		c.w.Answer(d, id, s, body, 0)
	}
}

func (c *crook) ClientLeft(int, *Request) {}
func (c *crook) HandOffEnded(d int, h *HandOff, how HandOffResult) {
	switch how {
	case Rejected, ConnectFailed:
		if t := c.clients[h.ID]; t != nil && len(c.out[h.ID]) < 5 {
			c.send(d, t, c.next())
		} else {
			c.answer(d, h.ID, RetryLater, "")
		}
	case ConnectionReset, Failed:
		c.lost(d, h.ID)
	}
}

// lost is a hand-off that may have run.
func (c *crook) lost(d int, id string) {
	t := c.clients[id]
	switch {
	case t == nil:
	case c.way == "exclusive again":
		c.send(d, t, c.next())
	case c.way == "come again after a loss":
		c.answer(d, id, RetryLater, "")
	default:
		c.answer(d, id, OtherStatus, "")
	}
}

func (c *crook) Callback(d int, b Callback) bool {
	switch b.State {
	case "lost":
		c.lost(d, b.ID)
	case "done":
		t := c.clients[b.ID]
		switch {
		case t == nil:
		case c.way == "no answer":
		case c.way == "two answers":
			c.answer(d, b.ID, Served, b.Result)
			c.w.Answer(d, b.ID, Served, b.Result, 0)
		case c.way == "made up":
			c.answer(d, b.ID, Served, "all is well")
		case c.way == "late answer":
			c.w.At(t.Deadline+100, func() { c.answer(d, b.ID, Served, b.Result) })
		case c.way == "hand-off after the answer":
			c.answer(d, b.ID, Served, b.Result)
			c.send(d, t, c.next())
		default:
			c.answer(d, b.ID, Served, b.Result)
		}
	}
	return true
}

func (c *crook) DiscoveryUpdated(d int, l DiscoveryUpdate) {
	for _, m := range l.Workers {
		if _, known := c.states[m.ID]; !known {
			c.list = append(c.list, m.ID)
		}
		c.states[m.ID] = m.State
	}
	c.w.DispatcherReady(d)
}
func (c *crook) WatchEnded(int, int)                    {}
func (c *crook) PeerMessage(int, int, []byte)           {}
func (c *crook) StartDispatcher(d int, _ []WorkerEntry) { c.w.Watch(d, 1, -1) }
func (c *crook) WorkerStarted(string)                   {}
func (c *crook) WorkerStopped(string)                   {}
func (c *crook) KillDispatcher(int)                     {}
func (c *crook) StopDispatcher(int)                     {}
func (c *crook) ReloadDispatcher(int)                   {}
func (c *crook) UpgradeDispatcher(int)                  {}
func (c *crook) FloodConnections(int, float64, float64) {}
func (c *crook) SetPaused(int, bool)                    {}
func (c *crook) SetFleetFault(*Fault, []int, bool)      {}

const crooked = `
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

// TestConvicts: each way of being wrong is convicted by its rule, names a work item and comes when it is done; the
// same dispatcher without the fault is clean.
func TestConvicts(t *testing.T) {
	for _, c := range []struct {
		way, repeat, fault string
		copies             bool
		rule               invariants.Rule
		after              float64 // no conviction before it: on the clock of the world, clients come at 1000
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
		t.Run(c.way+" "+c.repeat+" "+c.fault, func(t *testing.T) {
			text := fmt.Sprintf(crooked, c.copies, c.repeat)
			if c.fault == "cold" {
				text += "[workers]\nfall = \"200ms\"\nstart_share = 0.05\n"
				c.fault = "kill"
			}
			if c.fault != "" {
				text += fmt.Sprintf("[[fault]]\nat = \"1s\"\nfor = \"1s\"\nwhat = %q\ncount = 4\n", c.fault)
			}
			x, err := ParseExperiment("crook", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			w := New(x, 7)
			b := &crook{w: w, way: c.way, clients: map[string]*Request{}, out: map[string][]*HandOff{},
				states: map[string]dispatch.WorkerState{}}
			w.Begin(b, 1000)
			for !w.Done() && !math.IsInf(w.Next(), 1) {
				w.Step()
			}
			w.Advance(w.Now() + 1000)
			w.Checker.Finish(w.Now())
			if c.rule == "" {
				if !w.Checker.Clean() || w.Checker.Answers < 700 {
					t.Errorf("%d answers, convicted: %v", w.Checker.Answers, w.Checker.Violations[:min(3, len(w.Checker.Violations))])
				}
				return
			}
			if w.Checker.Clean() {
				t.Fatal("not convicted")
			}
			v := w.Checker.Violations[0]
			if v.Rule != c.rule || v.At < c.after || v.ID == "" {
				t.Errorf("convicted of %v", v)
			}
		})
	}
}
