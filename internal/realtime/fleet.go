// This file owns a fleet's part of the rig: its members' files, the relays between each two of them, what is done to their
// links and folders, and an operator who publishes and asks. It judges nothing itself.

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
	statusInterval   = 25 * time.Millisecond // the operator asks how the fleet stands
	statusTimeout    = 1500 * time.Millisecond
	adminTimeout     = 4 * time.Second
	publishAttempts  = 3
)

// fleetRig is the fleet of a day. What the world's goroutine does not own is behind the mutex.
type fleetRun struct {
	r            *run
	config       *fleetmodel.Fleet
	rng          *rand.Rand // the world's goroutine's
	addrs        []string
	relays       map[[2]int]*relay // from one to another
	client       *fleetrpc.Client
	folderFaults map[int]string // what is done to a folder before the next start
	undoFault    map[*fleetmodel.Fault]func()
	publishCount int

	mu         sync.Mutex
	pauses     []Pause
	settled    chan struct{} // closed once all is healed, or was not in time
	checker    invariants.FleetChecker
	unanswered map[string]bool // requests that were published and have no answer
}

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
			if from == to || from >= f.config.Voters && to >= f.config.Voters { // followers do not speak to each other
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
			return fmt.Errorf("fleet: %w", err)
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

// Stall is a process that stood still, as an operator saw it. Times are the lab's, 0 where it did not come to that.
type Pause struct {
	Dispatcher  int
	Start, End  float64
	DetectedAt  float64 // told to be no longer in order
	RecoveredAt float64 // told to be current again, after it went on
	Killed      bool    // killed meanwhile
}

// froze notes that a process stands still, or goes on.
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

// stands holds what an operator was told of members against the stalls that are open. The lock is held.
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

// member tells which program a dispatcher is, and its file.
func (f *fleetRun) program(d int) (program, file string) {
	if d < f.config.Voters {
		return f.r.options.VoterProgram, f.file(d)
	}
	return f.r.options.Program, f.file(d)
}

// starts alters a folder before a start, as a fault had it, and keeps a copy of it as it is.
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
		f.r.failure = fmt.Errorf("folder: %w", err)
		return
	}
	if _, err := os.Stat(dir); err == nil {
		if err = os.RemoveAll(backup); err == nil {
			err = os.CopyFS(backup, os.DirFS(dir))
		}
		if err != nil {
			f.r.failure = fmt.Errorf("folder: %w", err)
		}
	}
}

// flip turns one bit round in each file of a folder.
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

// way gives one direction between two members a manner: what one opens, and what it answers to what the other opens.
func (f *fleetRun) setDirection(from, to int, m linkFault) {
	if l := f.relays[[2]int{from, to}]; l != nil {
		l.setFault(true, m)
	}
	if l := f.relays[[2]int{to, from}]; l != nil {
		l.setFault(false, m)
	}
}

// Trouble is one of links, folders or operators.
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
			_ = os.Rename(f.folder(d), f.folder(d)+".gone") // there may be none yet
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
					_ = unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: n, Max: unix.RLIM_INFINITY}, nil) // it may have ended
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

// links gives all links of those hit with the rest a manner; one-way only what they say themselves.
func (f *fleetRun) setLinks(hit []int, m linkFault) {
	for _, a := range hit {
		for b := range f.r.dispatchers {
			if a == b || slices.Contains(hit, b) {
				continue
			}
			f.setDirection(a, b, m)
			if m.kind != "oneway" {
				f.setDirection(b, a, m)
			}
		}
	}
}

// publish has the operator publish a version by a member that was hit; without an answer again, by others, under the same
// request. Twice: two operators at once, by two members.
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

// tell publishes once; true: it was answered.
func (f *fleetRun) publishOnce(request string, at int, fence bool) bool {
	call := invariants.OperatorCall{Start: f.r.now(), Request: request}
	a, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.PublishVersion, RequestID: request, RequestedBy: "lab", IssuedAt: float64(time.Now().UnixMilli()),
		Text: []byte(`{"mark":"` + request + `"}`), Fence: fence}}, adminTimeout)
	call.End = f.r.now()
	call.Answered = err == nil && !a.NoLeader && a.Error == ""
	call.Version = a.Result.Version
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.Calls = append(f.checker.Calls, call)
	if call.Answered {
		f.checker.VersionByRelease[request] = call.Version
		delete(f.unanswered, request)
	}
	return call.Answered
}

// status asks one member how the fleet stands.
func (f *fleetRun) status(at int, withAudit bool) (fleetrpc.AdminReply, bool) {
	call := invariants.OperatorCall{Start: f.r.now()}
	a, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Audit: withAudit}, statusTimeout)
	call.End = f.r.now()
	if err != nil || a.Status == nil {
		return a, false
	}
	call.Answered, call.Version = true, a.Status.NewestVersion
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.Calls = append(f.checker.Calls, call)
	f.updatePauses(call, a.Status.Members)
	if st := a.Status; st.FenceCompleteAt > 0 {
		if _, told := f.checker.FenceCompleted[st.FencedVersion]; !told {
			f.checker.FenceCompleted[st.FencedVersion] = call.End
		}
	}
	return a, true
}

// look is an operator who watches, by one member after another.
func (f *fleetRun) watchStatus() {
	for at := 0; f.sleep(statusInterval); {
		if _, ok := f.status(at, false); !ok { // the next one, until one answers
			at = (at + 1) % len(f.addrs)
		}
	}
}

func (f *fleetRun) sleep(span time.Duration) bool {
	select {
	case <-f.r.ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// heal is what comes after the last fault: what was published without an answer is asked for once more, voters that lost
// their folders are seated anew, and all members have to be current in time.
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
			a, ok := f.status(at, false)
			if !ok {
				continue
			}
			reason = ""
			for _, m := range a.Status.Members {
				if strings.HasPrefix(m.VoterState, "lost its folder") {
					f.addVoter(m.Member)
				}
				if m.State != fleet.MemberCurrent {
					reason += fmt.Sprintf(" %s is %s (%s)", m.Member, m.State, m.Cause)
				}
			}
			if len(a.Status.Members) < len(f.addrs) {
				reason += fmt.Sprintf(" %d of %d members", len(a.Status.Members), len(f.addrs))
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

// seat gives a voter that lost its folder a new seat.
func (f *fleetRun) addVoter(name string) {
	_, _ = f.client.Admin(f.addrs[0], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.AddVoter, Member: name, RequestID: "seat " + name, RequestedBy: "lab"}}, adminTimeout) // asked again if it fails
}

// saw notes a hand-off that came to a worker, on the world's goroutine.
func (f *fleetRun) recordHandOff(d *endpoint, id, release string, receivedAt float64) {
	_, resumed := f.r.model.DispatcherPaused(d.dispatcher.index)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.HandOffs = append(f.checker.HandOffs, invariants.ObservedHandOff{At: receivedAt, Dispatcher: d.dispatcher.index, ID: id, Worker: d.worker, Release: release, SenderResumed: resumed})
}

// judge asks for the last audit and judges the day. The members go on meanwhile.
func (f *fleetRun) check() *invariants.FleetChecker {
	var audit *fleet.Audit
	<-f.settled
	time.Sleep(2 * time.Duration(f.config.HeartbeatInterval*1e6)) // the last acts come with the next beats
	for k := range 3 * len(f.addrs) {
		if a, ok := f.status(k%len(f.addrs), true); ok && a.Audit != nil {
			audit = a.Audit
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
