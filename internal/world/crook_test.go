package world

import (
	"fmt"
	"math"
	"testing"

	"weldmast/internal/audit"
	"weldmast/internal/dispatch"
)

// crook is a dispatcher made to be wrong in one way. It sends each request to the next worker in turn, and answers when
// one is done.
type crook struct {
	w       *World
	way     string
	list    []string
	turn    int
	clients map[string]*Try
	out     map[string][]*HandOff
	states  map[string]dispatch.WorkerState
}

func (c *crook) send(d int, t *Try, to string) {
	c.out[t.ID] = append(c.out[t.ID], c.w.Send(d, t.ID, to, nil))
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

func (c *crook) Request(d int, t *Try) {
	c.clients[t.ID] = t
	to := c.next()
	switch c.way {
	case "drained worker":
		to = c.list[t.Job.N%len(c.list)]
	case "one cold worker":
		to = c.list[0]
	}
	if to == "" {
		c.answer(d, t.ID, ComeAgain, "")
		return
	}
	if c.send(d, t, to); c.way == "come again at once" {
		c.answer(d, t.ID, ComeAgain, "")
	}
	if c.way == "a second copy" {
		c.send(d, t, c.next())
	}
	if c.way == "too many hand-offs" {
		for range 5 {
			c.w.GiveUp(c.out[t.ID][len(c.out[t.ID])-1])
			c.send(d, t, c.next())
		}
	}
	if c.way == "an id of its own" {
		c.w.Send(d, "made-up", to, nil)
	}
}

func (c *crook) answer(d int, id string, s Status, body string) {
	if c.clients[id] != nil {
		delete(c.clients, id)
		c.w.Answer(d, id, s, body, 0)
	}
}

func (c *crook) Leave(int, *Try) {}
func (c *crook) Ended(d int, h *HandOff, how End) {
	switch how {
	case TurnedAway, NoConnect:
		if t := c.clients[h.ID]; t != nil && len(c.out[h.ID]) < 5 {
			c.send(d, t, c.next())
		} else {
			c.answer(d, h.ID, ComeAgain, "")
		}
	case Reset, Failed:
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
		c.answer(d, id, ComeAgain, "")
	default:
		c.answer(d, id, Erred, "")
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

func (c *crook) List(d int, l Listing) {
	for _, m := range l.Members {
		if _, known := c.states[m.ID]; !known {
			c.list = append(c.list, m.ID)
		}
		c.states[m.ID] = m.State
	}
	c.w.Ready(d)
}
func (c *crook) Broken(int, int)             {}
func (c *crook) Message(int, int, []byte)    {}
func (c *crook) Start(d int, _ []Member)     { c.w.Watch(d, 1, -1) }
func (c *crook) Up(string)                   {}
func (c *crook) Down(string)                 {}
func (c *crook) Kill(int)                    {}
func (c *crook) Stop(int)                    {}
func (c *crook) Reload(int)                  {}
func (c *crook) Upgrade(int)                 {}
func (c *crook) Flood(int, float64, float64) {}
func (c *crook) Freeze(int, bool)            {}
func (c *crook) Trouble(*Fault, []int, bool) {}

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
		rule               audit.Rule
		after              float64 // no conviction before it: on the clock of the world, clients come at 1000
	}{
		{"none", "exclusive", "", false, "", 0},
		{"none", "exclusive", "kill", false, "", 0},
		{"none", "exclusive", "drain", false, "", 0},
		{"no answer", "rerunnable", "", true, audit.Lost, 1000},
		{"two answers", "rerunnable", "", true, audit.Lost, 1000},
		{"made up", "rerunnable", "", true, audit.Lost, 1000},
		{"late answer", "rerunnable", "", true, audit.Lost, 2000},
		{"hand-off after the answer", "rerunnable", "", true, audit.Twice, 1000},
		{"too many hand-offs", "rerunnable", "", true, audit.Twice, 1000},
		{"a second copy", "rerunnable", "", false, audit.Twice, 1000},
		{"a second copy", "exclusive", "", true, audit.Twice, 1000},
		{"an id of its own", "rerunnable", "", true, audit.Twice, 1000},
		{"come again at once", "exclusive", "", true, audit.Twice, 1000},
		{"exclusive again", "exclusive", "kill", true, audit.Twice, 2000},
		{"exclusive again", "ticketed", "vanish", true, audit.Twice, 2000},
		{"come again after a loss", "ticketed", "kill", true, audit.Twice, 2000},
		{"drained worker", "rerunnable", "drain", true, audit.Drain, 2500},
		{"one cold worker", "rerunnable", "cold", true, audit.Pushed, 2000},
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
			x, err := Read("crook", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			w := New(x, 7)
			b := &crook{w: w, way: c.way, clients: map[string]*Try{}, out: map[string][]*HandOff{},
				states: map[string]dispatch.WorkerState{}}
			w.Begin(b, 1000)
			for !w.Over() && !math.IsInf(w.Next(), 1) {
				w.Step()
			}
			w.Advance(w.Now() + 1000)
			w.Audit.Finish(w.Now())
			if c.rule == "" {
				if !w.Audit.Clean() || w.Audit.Answers < 700 {
					t.Errorf("%d answers, convicted: %v", w.Audit.Answers, w.Audit.Verdicts[:min(3, len(w.Audit.Verdicts))])
				}
				return
			}
			if w.Audit.Clean() {
				t.Fatal("not convicted")
			}
			v := w.Audit.Verdicts[0]
			if v.Rule != c.rule || v.At < c.after || v.ID == "" {
				t.Errorf("convicted of %v", v)
			}
		})
	}
}
