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
	fleetName    = "lab"
	membersAt    = "127.0.3.1:0"
	lookEvery    = 25 * time.Millisecond // the operator asks how the fleet stands
	lookWithin   = 1500 * time.Millisecond
	askWithin    = 4 * time.Second
	publishTries = 3
)

// fleetRig is the fleet of a day. What the world's goroutine does not own is behind the mutex.
type fleetRig struct {
	r       *rig
	x       *fleetmodel.Fleet
	rnd     *rand.Rand // the world's goroutine's
	addrs   []string
	relays  map[[2]int]*relay // from one to another
	client  *fleetrpc.Client
	alter   map[int]string // what is done to a folder before the next start
	manners map[*fleetmodel.Fault]func()
	asked   int

	mu     sync.Mutex
	stalls []Pause
	done   chan struct{} // closed once all is healed, or was not in time
	j      invariants.FleetChecker
	open   map[string]bool // requests that were published and have no answer
}

func (r *rig) newFleet(seed uint64) error {
	f := &fleetRig{r: r, x: r.x.Fleet, rnd: rand.New(rand.NewPCG(seed, 0x666c)), relays: map[[2]int]*relay{}, client: fleetrpc.NewClient(fleetName, nil),
		alter: map[int]string{}, manners: map[*fleetmodel.Fault]func(){}, open: map[string]bool{}, done: make(chan struct{}),
		j: invariants.FleetChecker{FenceCompleted: map[uint64]float64{}, VersionByRelease: map[string]uint64{"": 0}}}
	r.fleet = f
	for range r.hosts {
		addr, err := freeAddrAt(membersAt)
		if err != nil {
			return err
		}
		f.addrs = append(f.addrs, addr)
	}
	for from := range r.hosts {
		var via []string
		for to := range r.hosts {
			if from == to || from >= f.x.Voters && to >= f.x.Voters { // followers do not speak to each other
				continue
			}
			l, err := newRelay(f.addrs[to])
			if err != nil {
				return err
			}
			f.relays[[2]int{from, to}] = l
			via = append(via, fmt.Sprintf("%q", f.addrs[to]+" "+l.addr()))
		}
		var voters []string
		for v := range f.x.Voters {
			voters = append(voters, fmt.Sprintf("%q", f.name(v)+" "+f.addrs[v]))
		}
		text := fmt.Sprintf("[fleet]\nname = %q\nlisten = %q\nvoters = [%s]\nvia = [%s]\nfolder = %q\nalone = %q\nbeat = %g\nlease = %g\ndrift = %g\n", fleetName,
			f.addrs[from], strings.Join(voters, ", "), strings.Join(via, ", "), r.dir, f.x.WhenIsolated, float64(f.x.HeartbeatInterval), float64(f.x.LeaseDuration), f.x.MaxClockDrift)
		if err := os.WriteFile(f.file(from), []byte(text), 0o600); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	last := 0.
	for _, x := range r.x.Faults {
		end := float64(x.At + x.Duration)
		if strings.HasPrefix(x.Type, "folder_") || strings.HasPrefix(x.Type, "dispatcher_") {
			end += float64(r.x.Dispatchers.RestartDelay + r.x.Dispatchers.StopTimeout)
		}
		last = max(last, end)
	}
	r.w.At(startAfter+last, func() { r.running.Go(f.heal) })
	r.running.Go(f.look)
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
func (f *fleetRig) froze(d int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.stalls = append(f.stalls, Pause{Dispatcher: d, Start: f.r.now()})
		return
	}
	for k := len(f.stalls) - 1; k >= 0; k-- {
		if f.stalls[k].Dispatcher == d {
			f.stalls[k].End = f.r.now()
			return
		}
	}
}

// stands holds what an operator was told of members against the stalls that are open. The lock is held.
func (f *fleetRig) stands(call invariants.OperatorCall, members []fleet.MemberStatus) {
	for k := range f.stalls {
		s := &f.stalls[k]
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

func (f *fleetRig) name(d int) string   { return "n" + strconv.Itoa(d) }
func (f *fleetRig) file(d int) string   { return filepath.Join(f.r.dir, fmt.Sprintf("fleet%d.toml", d)) }
func (f *fleetRig) folder(d int) string { return filepath.Join(f.r.dir, f.name(d)) }

// member tells which program a dispatcher is, and its file.
func (f *fleetRig) member(d int) (program, file string) {
	if d < f.x.Voters {
		return f.r.o.VoterProgram, f.file(d)
	}
	return f.r.o.Program, f.file(d)
}

// starts alters a folder before a start, as a fault had it, and keeps a copy of it as it is.
func (f *fleetRig) starts(d int) {
	dir, old := f.folder(d), f.folder(d)+".before"
	var err error
	switch f.alter[d] {
	case "folder_empty":
		err = os.RemoveAll(dir)
	case "folder_older":
		if _, err = os.Stat(old); err == nil {
			if err = os.RemoveAll(dir); err == nil {
				err = os.CopyFS(dir, os.DirFS(old))
			}
		}
	case "folder_flipped":
		err = f.flip(d)
	}
	delete(f.alter, d)
	if err != nil && !os.IsNotExist(err) {
		f.r.failed = fmt.Errorf("folder: %w", err)
		return
	}
	if _, err := os.Stat(dir); err == nil {
		if err = os.RemoveAll(old); err == nil {
			err = os.CopyFS(old, os.DirFS(dir))
		}
		if err != nil {
			f.r.failed = fmt.Errorf("folder: %w", err)
		}
	}
}

// flip turns one bit round in each file of a folder.
func (f *fleetRig) flip(d int) error {
	return filepath.WalkDir(f.folder(d), func(path string, x fs.DirEntry, err error) error {
		if err != nil || x.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil || len(text) == 0 {
			return err
		}
		text[f.rnd.IntN(len(text))] ^= 1 << f.rnd.IntN(8)
		return os.WriteFile(path, text, 0o600)
	})
}

// way gives one direction between two members a manner: what one opens, and what it answers to what the other opens.
func (f *fleetRig) way(from, to int, m manner) {
	if l := f.relays[[2]int{from, to}]; l != nil {
		l.set(true, m)
	}
	if l := f.relays[[2]int{to, from}]; l != nil {
		l.set(false, m)
	}
}

// Trouble is one of links, folders or operators.
func (r *rig) SetFleetFault(x *fleetmodel.Fault, hit []int, on bool) {
	f := r.fleet
	if f == nil {
		return
	}
	if !on {
		if undo := f.manners[x]; undo != nil {
			undo()
			delete(f.manners, x)
		}
		return
	}
	switch x.Type {
	case "publish", "publish_twice":
		f.publish(x, hit)
	case "folder_empty", "folder_older", "folder_flipped":
		for _, d := range hit {
			f.alter[d] = x.Type
		}
	case "folder_gone":
		for _, d := range hit {
			_ = os.Rename(f.folder(d), f.folder(d)+".gone") // there may be none yet
		}
		f.manners[x] = func() {
			for _, d := range hit {
				if _, err := os.Stat(f.folder(d) + ".gone"); err == nil {
					_ = os.RemoveAll(f.folder(d))
					_ = os.Rename(f.folder(d)+".gone", f.folder(d))
				}
			}
		}
	case "folder_full":
		limit := func(n uint64) {
			for _, d := range hit {
				if h := r.hosts[d]; h.up {
					_ = unix.Prlimit(h.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: n, Max: unix.RLIM_INFINITY}, nil) // it may have ended
				}
			}
		}
		limit(1)
		f.manners[x] = func() { limit(unix.RLIM_INFINITY) }
	default:
		m := manner{what: strings.TrimPrefix(x.Type, "link_"), late: time.Duration(x.Amount * 1e6)}
		if m.what == "late" && m.late == 0 {
			m.late = 200 * time.Millisecond
		}
		f.links(hit, m)
		f.manners[x] = func() { f.links(hit, manner{}) }
	}
}

// links gives all links of those hit with the rest a manner; one-way only what they say themselves.
func (f *fleetRig) links(hit []int, m manner) {
	for _, a := range hit {
		for b := range f.r.hosts {
			if a == b || slices.Contains(hit, b) {
				continue
			}
			f.way(a, b, m)
			if m.what != "oneway" {
				f.way(b, a, m)
			}
		}
	}
}

// publish has the operator publish a version by a member that was hit; without an answer again, by others, under the same
// request. Twice: two operators at once, by two members.
func (f *fleetRig) publish(x *fleetmodel.Fault, hit []int) {
	n := 1
	if x.Type == "publish_twice" {
		n = 2
	}
	for k := range n {
		f.asked++
		request := fmt.Sprintf("r%d", f.asked)
		at := hit[k%len(hit)]
		f.mu.Lock()
		f.open[request] = true
		f.mu.Unlock()
		f.r.running.Go(func() {
			for try := range publishTries {
				if f.tell(request, (at+try)%len(f.addrs), x.Amount > 0) || f.r.ctx.Err() != nil {
					return
				}
			}
		})
	}
}

// tell publishes once; true: it was answered.
func (f *fleetRig) tell(request string, at int, fence bool) bool {
	call := invariants.OperatorCall{Start: f.r.now(), Request: request}
	a, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.PublishVersion, RequestID: request, RequestedBy: "lab", IssuedAt: float64(time.Now().UnixMilli()),
		Text: []byte(`{"mark":"` + request + `"}`), Fence: fence}}, askWithin)
	call.End = f.r.now()
	call.Answered = err == nil && !a.NoLeader && a.Error == ""
	call.Version = a.Result.Version
	f.mu.Lock()
	defer f.mu.Unlock()
	f.j.Calls = append(f.j.Calls, call)
	if call.Answered {
		f.j.VersionByRelease[request] = call.Version
		delete(f.open, request)
	}
	return call.Answered
}

// status asks one member how the fleet stands.
func (f *fleetRig) status(at int, audited bool) (fleetrpc.AdminReply, bool) {
	call := invariants.OperatorCall{Start: f.r.now()}
	a, err := f.client.Admin(f.addrs[at], fleetrpc.AdminRequest{Audit: audited}, lookWithin)
	call.End = f.r.now()
	if err != nil || a.Status == nil {
		return a, false
	}
	call.Answered, call.Version = true, a.Status.NewestVersion
	f.mu.Lock()
	defer f.mu.Unlock()
	f.j.Calls = append(f.j.Calls, call)
	f.stands(call, a.Status.Members)
	if st := a.Status; st.FenceCompleteAt > 0 {
		if _, told := f.j.FenceCompleted[st.FencedVersion]; !told {
			f.j.FenceCompleted[st.FencedVersion] = call.End
		}
	}
	return a, true
}

// look is an operator who watches, by one member after another.
func (f *fleetRig) look() {
	for at := 0; f.wait(lookEvery); {
		if _, ok := f.status(at, false); !ok { // the next one, until one answers
			at = (at + 1) % len(f.addrs)
		}
	}
}

func (f *fleetRig) wait(span time.Duration) bool {
	select {
	case <-f.r.ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// heal is what comes after the last fault: what was published without an answer is asked for once more, voters that lost
// their folders are seated anew, and all members have to be current in time.
func (f *fleetRig) heal() {
	defer close(f.done)
	began := f.r.now()
	by := began + float64(f.x.RecoveryTime)
	what := "no leader"
	for f.r.now() < by && f.wait(50*time.Millisecond) {
		f.mu.Lock()
		var open []string
		for request := range f.open {
			open = append(open, request)
		}
		f.mu.Unlock()
		slices.Sort(open)
		for k, request := range open {
			f.tell(request, k%len(f.addrs), false)
		}
		for at := range f.addrs {
			a, ok := f.status(at, false)
			if !ok {
				continue
			}
			what = ""
			for _, m := range a.Status.Members {
				if strings.HasPrefix(m.VoterState, "lost its folder") {
					f.seat(m.Member)
				}
				if m.State != fleet.MemberCurrent {
					what += fmt.Sprintf(" %s is %s (%s)", m.Member, m.State, m.Cause)
				}
			}
			if len(a.Status.Members) < len(f.addrs) {
				what += fmt.Sprintf(" %d of %d members", len(a.Status.Members), len(f.addrs))
			}
			break
		}
		if what == "" && len(open) == 0 {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.j.NotRecovered(f.r.now(), fmt.Sprintf("%.0f ms after the last fault:%s", f.r.now()-began, what))
}

// seat gives a voter that lost its folder a new seat.
func (f *fleetRig) seat(name string) {
	_, _ = f.client.Admin(f.addrs[0], fleetrpc.AdminRequest{Command: fleet.Command{Kind: fleet.AddVoter, Member: name, RequestID: "seat " + name, RequestedBy: "lab"}}, askWithin) // asked again if it fails
}

// saw notes a hand-off that came to a worker, on the world's goroutine.
func (f *fleetRig) saw(d *door, id, release string, came float64) {
	_, thawed := f.r.w.DispatcherPaused(d.h.n)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.j.HandOffs = append(f.j.HandOffs, invariants.ObservedHandOff{At: came, Dispatcher: d.h.n, ID: id, Worker: d.worker, Release: release, SenderResumed: thawed})
}

// judge asks for the last audit and judges the day. The members go on meanwhile.
func (f *fleetRig) judge() *invariants.FleetChecker {
	var final *fleet.Audit
	<-f.done
	time.Sleep(2 * time.Duration(f.x.HeartbeatInterval*1e6)) // the last acts come with the next beats
	for k := range 3 * len(f.addrs) {
		if a, ok := f.status(k%len(f.addrs), true); ok && a.Audit != nil {
			final = a.Audit
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for d := range f.addrs {
		names = append(names, f.name(d))
	}
	f.j.Check(final, names, f.r.unix)
	return &f.j
}

func (f *fleetRig) close() {
	f.client.Close()
	for _, l := range f.relays {
		l.close()
	}
}
