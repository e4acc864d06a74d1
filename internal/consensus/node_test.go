package consensus

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetrpc"
)

// TestEntriesInBatches guards against calls that grow with the entries: while hundreds of members are
// admitted, a follower must get the entries in batches, and miss none. It must get a single entry at once.
func TestEntriesInBatches(t *testing.T) {
	began := time.Now()
	now := func() float64 { return float64(time.Since(began))/1e6 + 1000 }
	n, err := Start(Options{Fleet: "f", Name: "v", Address: "v", Voters: []fleet.Voter{{Name: "v", Address: "v"}}, Dir: t.TempDir(), Timing: timing, RunID: "r",
		Seed: 1, Clock: now, UnixTime: now})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	admin := func(x fleet.Command) fleetrpc.AdminReply {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a := n.HandleAdmin(t.Context(), fleetrpc.AdminRequest{Command: x}); !a.NoLeader {
				return a
			}
		}
		t.Fatalf("no answer to %+v", x)
		return fleetrpc.AdminReply{}
	}
	admin(fleet.Command{Kind: fleet.PublishVersion, RequestID: "first", Text: []byte("{}")})
	b := n.HandleEntries(t.Context(), fleetrpc.EntriesRequest{})
	s, err := fleet.Restore(b.SnapshotPart)
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	follow := func(until uint64) {
		t.Helper()
		for s.LastSeq() < until {
			b := n.HandleEntries(t.Context(), fleetrpc.EntriesRequest{AfterSeq: s.LastSeq(), Digest: s.Digest(), Wait: 2000})
			calls++
			for _, e := range b.Entries {
				if err := s.ApplyEntry(e); err != nil {
					t.Fatal(err)
				}
			}
			if len(b.Entries) == 0 {
				t.Fatalf("no entries after %d: %+v", s.LastSeq(), b)
			}
		}
	}
	time.Sleep(2 * burstInterval) // the burst is over
	const many = 120
	from := time.Now()
	go func() {
		for k := range many {
			name := fmt.Sprint("m", k)
			n.HandleHeartbeat(context.Background(), fleet.Heartbeat{Fleet: "f", Format: fleet.FormatVersion, Member: name, Address: name, RunID: name, IsolationPolicy: fleet.ServeWhenIsolated, Lease: timing.Lease, Drift: timing.Drift}, false)
		}
	}()
	follow(1 + many)
	most := int(time.Since(from)/(batchInterval/2)) + 5
	if t.Logf("%d entries in %d calls within %v", many, calls, time.Since(from)); calls > most {
		t.Errorf("%d entries took %d calls in %v, want at most %d", many, calls, time.Since(from), most)
	}
	time.Sleep(2 * burstInterval)
	from = time.Now()
	go n.HandleAdmin(context.Background(), fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.PublishVersion, RequestID: "alone", Text: []byte("{}")}})
	follow(2 + many)
	if took := time.Since(from); took > batchInterval/2 {
		t.Errorf("a single entry arrived only after %v", took)
	}
}

// reserveVoters returns so many voters with free addresses, and their directories.
func reserveVoters(t *testing.T, count int) (voters []fleet.Voter, dirs []string) {
	t.Helper()
	for k := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		voters = append(voters, fleet.Voter{Name: fmt.Sprint("v", k), Address: l.Addr().String()})
		dirs = append(dirs, t.TempDir())
	}
	return voters, dirs
}

// testVoter is one voter of a fleet on sockets.
type testVoter struct {
	node   *Node
	server *fleetrpc.Server
}

func startVoter(t *testing.T, name string, voters []fleet.Voter, dir string) testVoter {
	t.Helper()
	var addr string
	for _, v := range voters {
		if v.Name == name {
			addr = v.Address
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() float64 { return float64(time.Since(began))/1e6 + 1000 }
	n, err := Start(Options{Fleet: "f", Name: name, Address: addr, Voters: slices.Clone(voters), Dir: dir, Timing: timing,
		RunID: fmt.Sprint(name, began.UnixNano()), Seed: uint64(began.UnixNano()), Clock: now, UnixTime: now})
	if err != nil {
		t.Fatal(err)
	}
	return testVoter{n, fleetrpc.Serve(l, "f", 64, n, nil)}
}

func (v testVoter) stop() {
	v.node.Close()
	v.server.Close()
}

// awaitStatus waits until a voter has one of the statuses.
func (v testVoter) awaitStatus(t *testing.T, any ...string) string {
	t.Helper()
	status := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ = v.node.Status(); slices.Contains(any, status) {
			return status
		}
	}
	t.Fatalf("the status is %q, wanted one of %q", status, any)
	return ""
}

// TestLostFolderAtFirstStart guards against a voter that lost its folder and votes as the one it was: the other
// voters remember it from the first start of the fleet on, whichever of them was started last.
func TestLostFolderAtFirstStart(t *testing.T) {
	for _, count := range []int{3, 5} {
		for lost := range count {
			t.Run(fmt.Sprint(count, " voters, loses ", lost), func(t *testing.T) {
				t.Parallel()
				voters, dirs := reserveVoters(t, count)
				all := make([]testVoter, count)
				for k := range count {
					all[k] = startVoter(t, voters[k].Name, voters, dirs[k])
					if k == count-2 {
						time.Sleep(300 * time.Millisecond) // the others wait for the last one's reply
					}
				}
				for _, v := range all {
					v.awaitStatus(t, "leads", "follows a leader")
				}
				for _, v := range all {
					v.stop()
				}
				dirs[lost] = t.TempDir()
				for k := range count {
					all[k] = startVoter(t, voters[k].Name, voters, dirs[k])
					defer all[k].stop()
				}
				const asks = "lost its folder: asks for a new seat"
				for k, v := range all {
					want := []string{"leads", "follows a leader"}
					if k == lost {
						want = []string{asks, "votes, no leader", "leads", "follows a leader"}
					}
					status := v.awaitStatus(t, want...)
					if _, raftID := v.node.Status(); k == lost && raftID == 0 {
						t.Errorf("a voter that lost its folder has the status %q and asks for no seat", status)
					}
				}
			})
		}
	}
}

// TestLostFolderAfterReplace guards against a voter that lost its folder after a seat was given anew, and votes as
// the one it was: the voter with the new seat, or another one.
func TestLostFolderAfterReplace(t *testing.T) {
	const replaced = 2
	serving := []string{"leads", "follows a leader"}
	for lost := range 3 {
		t.Run(fmt.Sprint("loses ", lost), func(t *testing.T) {
			t.Parallel()
			voters, dirs := reserveVoters(t, 3)
			all := make([]testVoter, len(voters))
			start := func() {
				for k := range all {
					all[k] = startVoter(t, voters[k].Name, voters, dirs[k])
				}
			}
			stop := func() {
				for _, v := range all {
					v.stop()
				}
			}
			start()
			for _, v := range all {
				v.awaitStatus(t, serving...)
			}
			stop()
			dirs[replaced] = t.TempDir()
			start()
			seat := all[replaced].awaitSeatRequest(t)
			replaceVoter(t, all, voters[replaced], seat)
			for _, v := range all {
				v.awaitSeats(t, len(voters))
			}
			stop()
			dirs[lost] = t.TempDir()
			start()
			defer stop()
			if again := all[lost].awaitSeatRequest(t); lost == replaced && again == seat {
				t.Error("it asks for the seat that it had")
			}
			for k, v := range all {
				if k != lost {
					v.awaitStatus(t, serving...)
				}
			}
		})
	}
}

// awaitSeatRequest waits until a voter asks for a new seat.
func (v testVoter) awaitSeatRequest(t *testing.T) (raftID uint64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, raftID = v.node.Status(); raftID != 0 {
			return raftID
		}
	}
	status, _ := v.node.Status()
	t.Fatalf("a voter with the status %q asks for no seat", status)
	return 0
}

// awaitSeats waits until a voter's raft group has so many members: during a replacement it has one more, and a
// larger majority.
func (v testVoter) awaitSeats(t *testing.T, count int) {
	t.Helper()
	seats := make(chan int, 1)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		v.node.post(func() { seats <- len(v.node.core.rawNode.Status().Config.Voters.IDs()) })
		if <-seats == count {
			return
		}
	}
	t.Fatalf("the raft group does not have %d members", count)
}

// replaceVoter gives a voter a new seat, at whichever voter leads.
func replaceVoter(t *testing.T, all []testVoter, voter fleet.Voter, raftID uint64) {
	t.Helper()
	command := fleet.Command{Kind: fleet.AddVoter, RequestID: "seat", Member: voter.Name, Address: voter.Address, RaftID: raftID}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range all {
			if reply := v.node.HandleAdmin(context.Background(), fleetrpc.AdminRequest{Command: command}); !reply.NoLeader && reply.Error == "" {
				return
			}
		}
	}
	t.Fatal("no leader gave the seat")
}
