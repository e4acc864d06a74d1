// This file contains the fleet of a run: the members' files, the relays between each two members, the faults
// of their links and state folders, and an operator who publishes versions and requests the status. It only
// records; invariants.FleetChecker judges the records.

package realtime

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"weldmast/internal/fleet"
	"weldmast/internal/fleetmodel"
	"weldmast/internal/fleetrpc"
	"weldmast/internal/invariants"
)

const (
	fleetName        = "lab"
	memberListenAddr = "127.0.3.1:0"
	statusInterval   = 25 * time.Millisecond // interval of the operator's status requests
	statusTimeout    = 1500 * time.Millisecond
	adminTimeout     = 4 * time.Second
	publishAttempts  = 3
)

// fleetRun is the fleet of a run. The fields below the mutex are shared; the others belong to the event loop.
type fleetRun struct {
	r            *run
	config       *fleetmodel.Fleet
	rng          *rand.Rand // used by the event loop only
	addrs        []string
	relays       map[[2]int]*relay // by sender and target
	client       *fleetrpc.Client
	folderFaults map[int]string // fault to apply to a folder before the next start
	undoFault    map[*fleetmodel.Fault]func()
	publishCount int

	mu         sync.Mutex
	pauses     []Pause
	settled    chan struct{} // closed when the fleet has recovered or its time for that is over
	checker    invariants.FleetChecker
	unanswered map[string]bool // IDs of publish requests without an answer
}

// newFleet writes the members' files, opens the relays and starts the operator.
func (r *run) newFleet(seed uint64) error {
	f := &fleetRun{r: r, config: r.experiment.Fleet, rng: rand.New(rand.NewPCG(seed, 0x666c)), relays: map[[2]int]*relay{}, client: fleetrpc.NewClient(fleetName, nil),
		folderFaults: map[int]string{}, undoFault: map[*fleetmodel.Fault]func(){}, unanswered: map[string]bool{}, settled: make(chan struct{}),
		checker: invariants.FleetChecker{FenceCompleted: map[uint64]float64{}, VersionByRelease: map[string]uint64{"": 0}}}
	r.fleet = f
	for range r.dispatchers {
		addr, err := freeAddrAt(memberListenAddr)
		if err != nil {
			return err
		}
		f.addrs = append(f.addrs, addr)
	}
	for from := range r.dispatchers {
		var via []string
		for to := range r.dispatchers {
			// followers do not connect to each other
			if from == to || from >= f.config.Voters && to >= f.config.Voters {
				continue
			}
			link, err := newRelay(f.addrs[to])
			if err != nil {
				return err
			}
			f.relays[[2]int{from, to}] = link
			via = append(via, fmt.Sprintf("%q", f.addrs[to]+" "+link.addr()))
		}
		var voters []string
		for v := range f.config.Voters {
			voters = append(voters, fmt.Sprintf("%q", f.name(v)+" "+f.addrs[v]))
		}
		text := fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\nvoters = [%s]\nvia = [%s]\nfolder = %q\nalone = %q\nbeat = %g\nlease = %g\ndrift = %g\n", fleetName,
			f.addrs[from], strings.Join(voters, ", "), strings.Join(via, ", "), r.dir, f.config.WhenIsolated, float64(f.config.HeartbeatInterval), float64(f.config.LeaseDuration), f.config.MaxClockDrift)
		if err := os.WriteFile(f.file(from), []byte(text), 0o600); err != nil {
			return fmt.Errorf("fleet configuration: %w", err)
		}
	}
	lastFaultEnd := 0.
	for _, x := range r.experiment.Faults {
		end := float64(x.At + x.Duration)
		if strings.HasPrefix(x.Type, "folder_") || strings.HasPrefix(x.Type, "dispatcher_") {
			end += float64(r.experiment.Dispatchers.RestartDelay + r.experiment.Dispatchers.StopTimeout)
		}
		lastFaultEnd = max(lastFaultEnd, end)
	}
	r.model.At(arrivalDelay+lastFaultEnd, func() { r.goroutines.Go(f.awaitRecovery) })
	r.goroutines.Go(f.watchStatus)
	return nil
}

// Pause is an interval in which a process was paused, as an operator observes it. Times are in ms of the
// model's time; 0: the event did not occur.
type Pause struct {
	Dispatcher  int
	Start, End  float64
	DetectedAt  float64 // first status that no longer shows the member as current or behind
	RecoveredAt float64 // first status after the end that shows it as current again
	Killed      bool    // killed during the pause
}

// recordPause records the start or the end of a pause.
func (f *fleetRun) recordPause(d int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.pauses = append(f.pauses, Pause{Dispatcher: d, Start: f.r.now()})
		return
	}
	for k := len(f.pauses) - 1; k >= 0; k-- {
		if f.pauses[k].Dispatcher == d {
			f.pauses[k].End = f.r.now()
			return
		}
	}
}

// updatePauses compares a status with the open pauses. The caller holds the lock.
func (f *fleetRun) updatePauses(call invariants.OperatorCall, members []fleet.MemberStatus) {
	for k := range f.pauses {
		s := &f.pauses[k]
		if s.RecoveredAt > 0 || s.Killed {
			continue
		}
		for _, m := range members {
			switch {
			case m.Member != f.name(s.Dispatcher):
			case s.DetectedAt == 0 && s.End == 0 && call.Start > s.Start && m.State != fleet.MemberCurrent && m.State != fleet.MemberBehind:
				s.DetectedAt = call.End
			case s.End > 0 && call.Start > s.End && m.State == fleet.MemberCurrent && m.SinceContact < call.End-s.End:
				s.RecoveredAt = call.End
			}
		}
	}
}

func (f *fleetRun) name(d int) string   { return "n" + strconv.Itoa(d) }
func (f *fleetRun) file(d int) string   { return filepath.Join(f.r.dir, fmt.Sprintf("fleet%d.toml", d)) }
func (f *fleetRun) folder(d int) string { return filepath.Join(f.r.dir, f.name(d)) }

// program returns the program that a dispatcher runs and its file.
func (f *fleetRun) program(d int) (program, file string) {
	if d < f.config.Voters {
		return f.r.options.VoterProgram, f.file(d)
	}
	return f.r.options.Program, f.file(d)
}

// prepareFolder applies a pending fault to a folder before a start, and then keeps a copy of the folder.
func (f *fleetRun) prepareFolder(d int) {
	dir, backup := f.folder(d), f.folder(d)+".before"
	var err error
	switch f.folderFaults[d] {
	case "folder_empty":
		err = os.RemoveAll(dir)
	case "folder_older":
		if _, err = os.Stat(backup); err == nil {
			if err = os.RemoveAll(dir); err == nil {
				err = os.CopyFS(dir, os.DirFS(backup))
			}
		}
	case "folder_flipped":
		err = f.flipBits(d)
	}
	delete(f.folderFaults, d)
	if err != nil && !os.IsNotExist(err) {
		f.r.failure = fmt.Errorf("state folder: %w", err)
		return
	}
	if _, err := os.Stat(dir); err == nil {
		if err = os.RemoveAll(backup); err == nil {
			err = os.CopyFS(backup, os.DirFS(dir))
		}
		if err != nil {
			f.r.failure = fmt.Errorf("state folder: %w", err)
		}
	}
}

// flipBits inverts one bit in each file of a folder.
func (f *fleetRun) flipBits(d int) error {
	return filepath.WalkDir(f.folder(d), func(path string, x fs.DirEntry, err error) error {
		if err != nil || x.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) == 0 {
			return err
		}
		text[f.rng.IntN(len(text))] ^= 1 << f.rng.IntN(8)
		return os.WriteFile(path, text, 0o600)
	})
}

// setDirection sets the fault of all that one member sends to another, on the connections that either of them
// opened.
func (f *fleetRun) setDirection(from, to int, fault linkFault) {
	if l := f.relays[[2]int{from, to}]; l != nil {
		l.setFault(true, fault)
	}
	if l := f.relays[[2]int{to, from}]; l != nil {
		l.setFault(false, fault)
	}
}

// SetFleetFault starts or ends a fault of links, folders or operators.
func (r *run) SetFleetFault(x *fleetmodel.Fault, hit []int, on bool) {
	f := r.fleet
	if f == nil {
		return
	}
	if !on {
		if undo := f.undoFault[x]; undo != nil {
			undo()
			delete(f.undoFault, x)
		}
		return
	}
	switch x.Type {
	case "publish", "publish_twice":
		f.publish(x, hit)
	case "folder_empty", "folder_older", "folder_flipped":
		for _, d := range hit {
			f.folderFaults[d] = x.Type
		}
	case "folder_gone":
		for _, d := range hit {
			_ = os.Rename(f.folder(d), f.folder(d)+".gone") // fails if the folder does not exist yet, which is fine
		}
		f.undoFault[x] = func() {
			for _, d := range hit {
				if _, err := os.Stat(f.folder(d) + ".gone"); err == nil {
					_ = os.RemoveAll(f.folder(d))
					_ = os.Rename(f.folder(d)+".gone", f.folder(d))
				}
			}
		}
	case "folder_full":
		setFileSizeLimit := func(n uint64) {
			for _, d := range hit {
				if h := r.dispatchers[d]; h.running {
					// fails if the process has ended, which is fine
					_ = unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: n, Max: unix.RLIM_INFINITY}, nil)
				}
			}
		}
		setFileSizeLimit(1)
		f.undoFault[x] = func() { setFileSizeLimit(unix.RLIM_INFINITY) }
	default:
		m := linkFault{kind: strings.TrimPrefix(x.Type, "link_"), delay: time.Duration(x.Amount * 1e6)}
		if m.kind == "late" && m.delay == 0 {
			m.delay = 200 * time.Millisecond
		}
		f.setLinks(hit, m)
		f.undoFault[x] = func() { f.setLinks(hit, linkFault{}) }
	}
}

// setLinks sets the fault of all links between the given members and the rest. A one-way fault affects only
// what the given members send.
func (f *fleetRun) setLinks(hit []int, fault linkFault) {
	for _, a := range hit {
		for b := range f.r.dispatchers {
			if a == b || slices.Contains(hit, b) {
				continue
			}
			f.setDirection(a, b, fault)
			if fault.kind != "oneway" {
				f.setDirection(b, a, fault)
			}
		}
	}
}

// publish lets the operator publish a version through one of the given members. Without an answer the
// operator tries other members with the same request ID. For publish_twice, two operators publish at once
// through two members.
func (f *fleetRun) publish(x *fleetmodel.Fault, hit []int) {
	operators := 1
	if x.Type == "publish_twice" {
		operators = 2
	}
	for k := range operators {
		f.publishCount++
		request := fmt.Sprintf("r%d", f.publishCount)
		at := hit[k%len(hit)]
		f.mu.Lock()
		f.unanswered[request] = true
		f.mu.Unlock()
		f.r.goroutines.Go(func() {
			for attempt := range publishAttempts {
				if f.publishOnce(request, (at+attempt)%len(f.addrs), x.Amount > 0) || f.r.ctx.Err() != nil {
					return
				}
			}
		})
	}
}

// publishOnce sends one publish request and returns whether it was answered.
func (f *fleetRun) publishOnce(request string, at int, fence bool) bool {
	call := invariants.OperatorCall{Start: f.r.now(), Request: request}
	reply, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.PublishVersion, RequestID: request, RequestedBy: "lab", IssuedAt: float64(time.Now().UnixMilli()),
		Text: []byte(`{"mark":"` + request + `"}`), Fence: fence}}, adminTimeout)
	call.End = f.r.now()
	call.Answered = err == nil && !reply.NoLeader && reply.Error == ""
	call.Version = reply.Result.Version
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.Calls = append(f.checker.Calls, call)
	if call.Answered {
		f.checker.VersionByRelease[request] = call.Version
		delete(f.unanswered, request)
	}
	return call.Answered
}

// status requests the fleet's status from one member.
func (f *fleetRun) status(at int, withAudit bool) (fleetrpc.AdminReply, bool) {
	call := invariants.OperatorCall{Start: f.r.now()}
	reply, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Audit: withAudit}, statusTimeout)
	call.End = f.r.now()
	if err != nil || reply.Status == nil {
		return reply, false
	}
	call.Answered, call.Version = true, reply.Status.NewestVersion
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.Calls = append(f.checker.Calls, call)
	f.updatePauses(call, reply.Status.Members)
	if st := reply.Status; st.FenceCompleteAt > 0 {
		if _, known := f.checker.FenceCompleted[st.FencedVersion]; !known {
			f.checker.FenceCompleted[st.FencedVersion] = call.End
		}
	}
	return reply, true
}

// watchStatus is an operator who requests the status repeatedly.
func (f *fleetRun) watchStatus() {
	for at := 0; f.sleep(statusInterval); {
		if _, ok := f.status(at, false); !ok { // continues with the next member until one answers
			at = (at + 1) % len(f.addrs)
		}
	}
}

// sleep returns false if the run ends first.
func (f *fleetRun) sleep(duration time.Duration) bool {
	select {
	case <-f.r.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// awaitRecovery runs after the last fault. It repeats the publish requests without an answer and re-adds
// voters that lost their state folder. All members must become current in time.
func (f *fleetRun) awaitRecovery() {
	defer close(f.settled)
	startedAt := f.r.now()
	deadline := startedAt + float64(f.config.RecoveryTime)
	reason := "no leader"
	for f.r.now() < deadline && f.sleep(50*time.Millisecond) {
		f.mu.Lock()
		var open []string
		for request := range f.unanswered {
			open = append(open, request)
		}
		f.mu.Unlock()
		slices.Sort(open)
		for k, request := range open {
			f.publishOnce(request, k%len(f.addrs), false)
		}
		for at := range f.addrs {
			reply, ok := f.status(at, false)
			if !ok {
				continue
			}
			reason = ""
			for _, m := range reply.Status.Members {
				if strings.HasPrefix(m.VoterStatus, "lost its folder") {
					f.addVoter(m.Member)
				}
				if m.State != fleet.MemberCurrent {
					reason += fmt.Sprintf(" %s is %s (%s)", m.Member, m.State, m.Cause)
				}
			}
			if len(reply.Status.Members) < len(f.addrs) {
				reason += fmt.Sprintf(" %d of %d members", len(reply.Status.Members), len(f.addrs))
			}
			break
		}
		if reason == "" && len(open) == 0 {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.NotRecovered(f.r.now(), fmt.Sprintf("%.0f ms after the last fault:%s", f.r.now()-startedAt, reason))
}

// addVoter re-adds a voter that lost its state folder, under a new raft ID.
func (f *fleetRun) addVoter(name string) {
	// awaitRecovery repeats it if it fails
	_, _ = f.client.Admin(f.addrs[0], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.AddVoter, Member: name, RequestID: "seat " + name, RequestedBy: "lab"}}, adminTimeout)
}

// recordHandOff records a hand-off that reached a worker. The event loop calls it.
func (f *fleetRun) recordHandOff(d *endpoint, id, release string, receivedAt float64) {
	_, resumed := f.r.model.DispatcherPaused(d.dispatcher.index)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.HandOffs = append(f.checker.HandOffs, invariants.ObservedHandOff{At: receivedAt, Dispatcher: d.dispatcher.index, ID: id, Worker: d.worker, Release: release, SenderResumed: resumed})
}

// check requests the final audit and checks the run. The members continue to run meanwhile.
func (f *fleetRun) check() *invariants.FleetChecker {
	var audit *fleet.Audit
	<-f.settled
	time.Sleep(2 * time.Duration(f.config.HeartbeatInterval*1e6)) // the last actions arrive with the next heartbeats
	for k := range 3 * len(f.addrs) {
		if reply, ok := f.status(k%len(f.addrs), true); ok && reply.Audit != nil {
			audit = reply.Audit
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for d := range f.addrs {
		names = append(names, f.name(d))
	}
	f.checker.Check(audit, names, f.r.unixMillis)
	return &f.checker
}

func (f *fleetRun) close() {
	f.client.Close()
	for _, l := range f.relays {
		l.close()
	}
}
