// This file contains fault-injection runs in real time: runs with random faults by seed, each checked, and
// the reduction of a run with a violation to the fewest faults that still cause one.

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

// WithSampledFaults returns a copy of the experiment that has the random faults of a seed added.
func WithSampledFaults(x *fleetmodel.Experiment, seed uint64) *fleetmodel.Experiment {
	experiment := *x
	experiment.Faults = slices.Clone(x.Faults)
	s := x.Chaos
	if s == nil {
		return &experiment
	}
	r := rand.New(rand.NewPCG(seed, 0x73746f726d))
	damagedVoters := map[int]bool{} // voters that lose persisted state
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
			f.Amount = float64(r.IntN(2)) // half of them have a fence
		case "link_late":
			f.Amount = 20 + r.Float64()*400
		case "dispatcher_kill", "dispatcher_stop":
			f.Duration = 0
		case "folder_empty", "folder_older", "folder_flipped":
			f.Duration, f.Dispatchers = 0, f.Dispatchers[:1]
			// Only so many voters may lose what they have persisted that the rest is still a majority.
			if d := f.Dispatchers[0]; x.Fleet != nil && d < x.Fleet.Voters && !damagedVoters[d] {
				if len(damagedVoters) >= (x.Fleet.Voters-1)/2 {
					f.Type = "dispatcher_kill"
				} else {
					damagedVoters[d] = true
				}
			}
		}
		experiment.Faults = append(experiment.Faults, f)
	}
	slices.SortStableFunc(experiment.Faults, func(a, b fleetmodel.Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return &experiment
}

// ChaosResult is the result of one fault-injection run.
type ChaosResult struct {
	Seed                  uint64
	Faults                int
	Jobs                  int
	Answers               int
	Versions              int
	CompletedFences       int // fences reported complete
	LateActions           int // hand-offs of processes that were paused between the lease check and the write
	UnansweredWhilePaused int // work items that have no answer only because of a pause
	Violations            []invariants.Violation
	Void                  string
	Pauses                []realtime.Pause
	experiment            *fleetmodel.Experiment
}

// PauseDelays returns, for pauses longer than two heartbeat intervals and 100 ms, the times from the pause to
// its detection; and for all pauses, the times from their end until the process was current again. Both are
// sorted, in ms.
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

// RunChaos runs the faults of one seed in real time.
func RunChaos(ctx context.Context, x *fleetmodel.Experiment, seed uint64, o realtime.Options) (ChaosResult, error) {
	experiment := WithSampledFaults(x, seed)
	if o.LogDir != "" { // one directory for each seed
		o.LogDir = filepath.Join(o.LogDir, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(o.LogDir, 0o755); err != nil {
			return ChaosResult{Seed: seed}, fmt.Errorf("logs: %w", err)
		}
	}
	p, err := realtime.Run(ctx, experiment, seed, o)
	if err != nil {
		return ChaosResult{Seed: seed}, err
	}
	s := ChaosResult{Seed: seed, Faults: len(experiment.Faults), Jobs: len(p.Model.Jobs), Answers: p.Model.Checker.Answers, UnansweredWhilePaused: p.Model.Checker.UnansweredWhilePaused, Void: p.Void, Pauses: p.Pauses, experiment: experiment}
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

// Summary returns a line of text about the run.
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

// startInterval is the delay between the starts of runs in parallel.
const startInterval = 3 * time.Second

// RunChaosSeries runs consecutive seeds, some of them in parallel, and prints a line for each. A run that
// returned an error, or is void without a violation, is repeated up to two times.
func RunChaosSeries(ctx context.Context, x *fleetmodel.Experiment, first uint64, count, parallel int, o realtime.Options, out io.Writer) (all []ChaosResult, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	seeds := make(chan uint64)
	for k := range max(parallel, 1) {
		wait.Go(func() {
			time.Sleep(time.Duration(k) * startInterval) // processes that all start at once would delay one another
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

// MinimizeFaults removes one fault after another as long as the run still violates a rule without it. A
// run in real time does not repeat exactly; once a fault is removed, the remaining ones have been part of at
// least two runs with a violation.
func MinimizeFaults(ctx context.Context, s ChaosResult, o realtime.Options, out io.Writer) ([]fleetmodel.Fault, error) {
	experiment := *s.experiment
	for k := len(experiment.Faults) - 1; k >= 0 && ctx.Err() == nil; k-- {
		candidate := experiment
		candidate.Faults = slices.Delete(slices.Clone(experiment.Faults), k, k+1)
		p, err := realtime.Run(ctx, &candidate, s.Seed, o)
		if err != nil {
			return experiment.Faults, err
		}
		if !p.Model.Checker.Clean() || p.Fleet != nil && len(p.Fleet.Violations) > 0 {
			experiment.Faults = candidate.Faults
		}
		fmt.Fprintf(out, "cut: %d faults left\n", len(experiment.Faults))
	}
	return experiment.Faults, nil
}
