// This file owns storms: days with faults that are drawn by number, each judged, and a broken one cut down to the fewest
// faults that still break it.

package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/invariants"
	"weldmast/internal/realtime"
)

// Drawn is the experiment with the faults of a number in place of its storm.
func WithSampledFaults(x *fleetmodel.Experiment, seed uint64) *fleetmodel.Experiment {
	y := *x
	y.Faults = slices.Clone(x.Faults)
	s := x.Chaos
	if s == nil {
		return &y
	}
	r := rand.New(rand.NewPCG(seed, 0x73746f726d))
	damagedVoters := map[int]bool{} // voters whose promise is gone
	for range s.Count/2 + r.IntN(s.Count-s.Count/2+1) {
		f := fleetmodel.Fault{Type: s.Types[r.IntN(len(s.Types))]}
		f.Defaults()
		f.Duration = fleetmodel.Millis(50 + r.Float64()*(float64(s.MaxTime)-50))
		f.At = s.From + fleetmodel.Millis(r.Float64()*float64(max(s.Until-f.Duration-s.From, 0)))
		all := r.Perm(x.Dispatchers.Count)
		if len(s.Dispatchers) > 0 {
			all = slices.DeleteFunc(all, func(d int) bool { return !slices.Contains(s.Dispatchers, d) })
		}
		f.Dispatchers = all[:1+r.IntN(min(s.MaxHit, len(all)))]
		switch f.Type {
		case "publish", "publish_twice":
			f.Duration = 0
			f.Amount = float64(r.IntN(2)) // half of them fence
		case "link_late":
			f.Amount = 20 + r.Float64()*400
		case "dispatcher_kill", "dispatcher_stop":
			f.Duration = 0
		case "folder_empty", "folder_older", "folder_flipped":
			f.Duration, f.Dispatchers = 0, f.Dispatchers[:1]
			// So many voters may lose what they promised that the rest still has a majority.
			if d := f.Dispatchers[0]; x.Fleet != nil && d < x.Fleet.Voters && !damagedVoters[d] {
				if len(damagedVoters) >= (x.Fleet.Voters-1)/2 {
					f.Type = "dispatcher_kill"
				} else {
					damagedVoters[d] = true
				}
			}
		}
		y.Faults = append(y.Faults, f)
	}
	slices.SortStableFunc(y.Faults, func(a, b fleetmodel.Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return &y
}

// Stormed is what became of one storm.
type ChaosResult struct {
	Seed                  uint64
	Faults                int
	Jobs                  int
	Answers               int
	Versions              int
	CompletedFences       int // told to be complete
	LateActions           int // hand-offs of processes that stood still between look and write
	UnansweredWhilePaused int // work items that only a standstill kept from their answer
	Violations            []invariants.Violation
	Void                  string
	Pauses                []realtime.Pause
	experiment            *fleetmodel.Experiment
}

// StallFigures are of stalls of more than two beats: how many, how long until one was found and, from its going on, until
// its process was current again. Sorted.
func PauseDelays(all []ChaosResult, heartbeatInterval float64) (detection, recovery []float64) {
	for _, s := range all {
		for _, x := range s.Pauses {
			if x.End-x.Start > 2*heartbeatInterval+100 && x.DetectedAt > 0 {
				detection = append(detection, x.DetectedAt-x.Start)
			}
			if x.End > 0 && x.RecoveredAt > 0 {
				recovery = append(recovery, x.RecoveredAt-x.End)
			}
		}
	}
	slices.Sort(detection)
	slices.Sort(recovery)
	return detection, recovery
}

// Storm plays one number on sockets.
func RunChaos(ctx context.Context, x *fleetmodel.Experiment, seed uint64, o realtime.Options) (ChaosResult, error) {
	y := WithSampledFaults(x, seed)
	if o.LogDir != "" { // one folder for each number
		o.LogDir = filepath.Join(o.LogDir, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
			return ChaosResult{Seed: seed}, fmt.Errorf("logs: %w", err)
		}
	}
	p, err := realtime.Run(ctx, y, seed, o)
	if err != nil {
		return ChaosResult{Seed: seed}, err
	}
	s := ChaosResult{Seed: seed, Faults: len(y.Faults), Jobs: len(p.Model.Jobs), Answers: p.Model.Checker.Answers, UnansweredWhilePaused: p.Model.Checker.UnansweredWhilePaused, Void: p.Void, Pauses: p.Pauses, experiment: y}
	s.Violations = append(s.Violations, p.Model.Checker.Violations...)
	if f := p.Fleet; f != nil {
		s.Violations = append(s.Violations, f.Violations...)
		s.LateActions, s.CompletedFences, s.Versions = f.LateAfterResume, len(f.FenceCompleted), len(f.VersionByRelease)-1
	}
	if !p.Complete {
		return s, ctx.Err()
	}
	return s, nil
}

// Line says it in one.
func (s ChaosResult) Summary() string {
	head := fmt.Sprintf("seed %d: faults %d, jobs %d, answers %d, versions %d, fences complete %d, late acts %d, stalled %d", s.Seed, s.Faults, s.Jobs, s.Answers,
		s.Versions, s.CompletedFences, s.LateActions, s.UnansweredWhilePaused)
	switch {
	case len(s.Violations) > 0:
		return fmt.Sprintf("%s: broken %d: %s", head, len(s.Violations), s.Violations[0])
	case s.Void != "":
		return head + ": void: " + s.Void
	}
	return head + ": kept"
}

const startInterval = 3 * time.Second

// Storms plays so many, some side by side, and prints a line for each. One on which the lab itself was late is void and
// played once more.
func RunChaosSeries(ctx context.Context, x *fleetmodel.Experiment, first uint64, count, parallel int, o realtime.Options, out io.Writer) (all []ChaosResult, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	seeds := make(chan uint64)
	for k := range max(parallel, 1) {
		wait.Go(func() {
			time.Sleep(time.Duration(k) * startInterval) // so many processes started at once would keep one another waiting
			for seed := range seeds {
				s, e := RunChaos(ctx, x, seed, o)
				for retries := 0; retries < 2 && ctx.Err() == nil && (e != nil || s.Void != "" && len(s.Violations) == 0); retries++ {
					s, e = RunChaos(ctx, x, seed, o)
				}
				mu.Lock()
				switch {
				case e != nil:
					err = fmt.Errorf("seed %d: %w", seed, e)
				default:
					fmt.Fprintln(out, s.Summary())
				}
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	for k := range count {
		if ctx.Err() == nil {
			seeds <- first + uint64(k)
		}
	}
	close(seeds)
	wait.Wait()
	return all, err
}

// Cut leaves out one fault after another for as long as the day still breaks without it. On sockets a day does not repeat
// exactly; what is left broke it at least twice.
func MinimizeFaults(ctx context.Context, s ChaosResult, o realtime.Options, out io.Writer) ([]fleetmodel.Fault, error) {
	y := *s.experiment
	for k := len(y.Faults) - 1; k >= 0 && ctx.Err() == nil; k-- {
		candidate := y
		candidate.Faults = slices.Delete(slices.Clone(y.Faults), k, k+1)
		p, err := realtime.Run(ctx, &candidate, s.Seed, o)
		if err != nil {
			return y.Faults, err
		}
		if !p.Model.Checker.Clean() || p.Fleet != nil && len(p.Fleet.Violations) > 0 {
			y.Faults = candidate.Faults
		}
		fmt.Fprintf(out, "cut: %d faults left\n", len(y.Faults))
	}
	return y.Faults, nil
}
