package fleet

import (
	"fmt"
	"testing"
)

// secondProcessCase is a leader, and a member that serves alone and whose process is being replaced. Each process
// listens at an address of its own.
type secondProcessCase struct {
	t      *testing.T
	state  *State
	leases *LeaseManager
	now    float64
	asked  int // commands so far
}

func newSecondProcessCase(t *testing.T) *secondProcessCase {
	c := &secondProcessCase{t: t, state: NewState("f"), now: 10}
	c.leases = NewLeaseManager(modelTiming, 0)
	for _, run := range []string{"older", "newer"} {
		c.admit(run)
	}
	if _, _, err := c.state.Apply(Command{Kind: PublishVersion, Text: []byte("{}"), Fence: true}); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *secondProcessCase) admit(run string) {
	c.asked++
	if _, _, err := c.state.Apply(Command{Kind: AdmitMember, RequestID: fmt.Sprint(c.asked), Member: "m", Address: run, IsolationPolicy: ServeWhenIsolated, RunID: run}); err != nil {
		c.t.Fatal(err)
	}
}

// heartbeat delivers a heartbeat, and admits the process if the leader asks for that.
func (c *secondProcessCase) heartbeat(run string, change func(*Heartbeat)) {
	hb := Heartbeat{Fleet: "f", Format: FormatVersion, Member: "m", Address: run, RunID: run, IsolationPolicy: ServeWhenIsolated, Lease: modelTiming.Lease,
		Runs: []RunRecord{{ID: run, StartedAt: map[string]float64{"older": 1, "newer": 2}[run]}}}
	if change != nil {
		change(&hb)
	}
	if _, notAdmitted := c.leases.HandleHeartbeat(c.now, hb, c.state); notAdmitted {
		c.admit(run)
		c.leases.HandleHeartbeat(c.now, hb, c.state)
	}
}

func (c *secondProcessCase) check(complete bool, when string) {
	c.t.Helper()
	at, waits := c.leases.FenceStatus(c.now, c.now, 1, c.state)
	if at > 0 != complete {
		c.t.Errorf("%s: fence complete %v, want %v, waits %+v", when, at > 0, complete, waits)
	}
}

func hasVersion(hb *Heartbeat) { hb.ActiveVersion, hb.SavedVersion, hb.OwnsAddress = 1, 1, true }

// TestFenceWaitsForRefusedProcess guards against a fence that is complete while a newer process of a member, which
// gets no lease as long as the older one is heard, acts on the older version.
func TestFenceWaitsForRefusedProcess(t *testing.T) {
	for _, ends := range []string{"has the version", "leaves", "takes the name"} {
		c := newSecondProcessCase(t)
		c.heartbeat("older", nil)
		c.heartbeat("newer", nil) // refused: the name is taken
		c.heartbeat("older", hasVersion)
		c.check(false, "the newer process is behind")
		c.now += 100
		c.heartbeat("older", hasVersion)
		c.check(false, "the newer process is silent")
		switch ends {
		case "has the version":
			c.heartbeat("newer", hasVersion)
		case "leaves":
			c.heartbeat("newer", func(hb *Heartbeat) { hb.Leaving = true })
		case "takes the name":
			c.heartbeat("older", func(hb *Heartbeat) { hasVersion(hb); hb.Leaving = true })
			c.check(false, "the older process has ended")
			c.heartbeat("newer", nil)
			c.check(false, "the newer process is heard, and behind")
			c.heartbeat("newer", hasVersion)
		}
		c.check(true, "the newer process "+ends)
	}
}

// TestFenceWaitsForUnheardSuccessor guards against the same where the newer process was never heard of: its link
// swallows, and only the older one tells of it.
func TestFenceWaitsForUnheardSuccessor(t *testing.T) {
	c := newSecondProcessCase(t)
	withSuccessor := func(hb *Heartbeat) { hasVersion(hb); hb.HasSuccessor = true }
	c.heartbeat("older", withSuccessor)
	c.check(false, "a newer process is there")
	c.heartbeat("older", func(hb *Heartbeat) { withSuccessor(hb); hb.Leaving = true })
	c.check(false, "the older process has ended")
	c.now += 100
	c.heartbeat("newer", hasVersion)
	c.check(true, "the newer process has the version")

	c = newSecondProcessCase(t)
	c.heartbeat("older", withSuccessor)
	c.heartbeat("older", hasVersion)
	c.check(true, "the newer process has died")
}
