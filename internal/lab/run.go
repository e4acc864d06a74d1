// This file loads experiments and runs them, one by one or many in parallel.

package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"weldmast/internal/baseline"
	"weldmast/internal/dispatch"
	"weldmast/internal/fleetmodel"
	"weldmast/internal/realtime"
	"weldmast/internal/virtualtime"
)

// OwnPolicy is the policy name of the dispatcher itself.
const OwnPolicy = "weldmast"

// LoadExperiment reads an experiment's file. Each override has the form KEY=VALUE with a TOML value, as in
// "arrivals.load=0.8".
func LoadExperiment(path string, overrides ...string) (*fleetmodel.Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	if len(overrides) > 0 {
		if text, err = applyOverrides(text, overrides); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return fleetmodel.ParseExperiment(path, text)
}

// applyOverrides sets values in the text of an experiment. The parts of a key that are numbers are positions
// in lists.
func applyOverrides(text []byte, overrides []string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("invalid TOML: %w", err)
	}
	for _, override := range overrides {
		key, value, ok := strings.Cut(override, "=")
		var v struct{ X any }
		if err := toml.Unmarshal([]byte("X = "+value), &v); err != nil || !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE with a TOML value", override)
		}
		parts := strings.Split(key, ".")
		node := any(tree)
		for k, part := range parts {
			last := k == len(parts)-1
			switch container := node.(type) {
			case map[string]any:
				if last {
					container[part] = v.X
				} else if container[part] == nil {
					container[part] = map[string]any{}
				}
				node = container[part]
			case []any:
				n, err := strconv.Atoi(part)
				if err != nil || n < 0 || n >= len(container) {
					return nil, fmt.Errorf("%s: %q is not a position in a list of %d items", key, part, len(container))
				}
				if last {
					container[n] = v.X
				}
				node = container[n]
			default:
				return nil, fmt.Errorf("%s: %s is neither a table nor a list", key, strings.Join(parts[:k], "."))
			}
		}
	}
	out, err := toml.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("override: %w", err)
	}
	return out, nil
}

// ExperimentName returns the name of an experiment's file as tables show it.
func ExperimentName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// newDecider returns the constructor of a policy's deciders; nil for the dispatcher's own policy. For an
// unknown policy the error lists the known ones.
func newDecider(policy string, x *fleetmodel.Experiment) (virtualtime.NewDecider, error) {
	if policy == OwnPolicy {
		return nil, nil
	}
	shared := &baseline.SharedState{}
	for _, k := range x.Kinds {
		shared.Speeds = append(shared.Speeds, k.Speed)
		shared.Parallelism = append(shared.Parallelism, float64(min(k.Slots, k.Cores)))
	}
	if baseline.New(policy, dispatch.Settings{}, shared) == nil {
		return nil, fmt.Errorf("unknown policy %q; known are %s, %s", policy, OwnPolicy, strings.Join(baseline.Names, ", "))
	}
	return func(s dispatch.Settings, w *fleetmodel.Model) dispatch.Decider {
		shared.Oracle = w
		return baseline.New(policy, s, shared)
	}, nil
}

// RunVirtual runs an experiment once in virtual time.
func RunVirtual(ctx context.Context, name string, x *fleetmodel.Experiment, seed uint64, policy string, progress func(float64)) (*Result, error) {
	d, err := newDecider(policy, x)
	if err != nil {
		return nil, err
	}
	w, complete, err := virtualtime.Run(ctx, x, seed, d, progress)
	if err != nil {
		return nil, err
	}
	r := Summarize(w, virtualtime.ArrivalStart)
	r.Experiment, r.Driver, r.Policy, r.Seed, r.Interrupted = name, "virtual", policy, seed, !complete
	return r, nil
}

// RunRealTime runs an experiment once in real time against a program.
func RunRealTime(ctx context.Context, name string, x *fleetmodel.Experiment, seed uint64, o realtime.Options) (*Result, error) {
	p, err := realtime.Run(ctx, x, seed, o)
	if err != nil {
		return nil, err
	}
	r := Summarize(p.Model, p.ArrivalStart)
	r.Experiment, r.Driver, r.Policy, r.Seed, r.Interrupted, r.Void = name, "sockets", o.Program, seed, !p.Complete, p.Void
	late := percentiles(p.Lateness)
	r.Lateness = &late
	for d, u := range p.Usage {
		r.Processes = append(r.Processes, ProcessUsage{Dispatcher: d, CPU: u.CPUSeconds, Uptime: u.Uptime, MemoryMB: u.MemoryMB, IdleMB: u.IdleMB,
			Descriptors: u.Descriptors})
	}
	return r, nil
}

// runSpec is one of many runs.
type runSpec struct {
	name       string
	experiment *fleetmodel.Experiment
	seed       uint64
	policy     string
}

// runAll executes runs in parallel, one per core, and returns their results in order.
func runAll(ctx context.Context, specs []runSpec, progress func(float64)) ([]*Result, error) {
	results, errs := make([]*Result, len(specs)), make([]error, len(specs))
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	next := make(chan int)
	for range min(runtime.GOMAXPROCS(0), len(specs)) {
		wait.Go(func() {
			for k := range next {
				d := specs[k]
				results[k], errs[k] = RunVirtual(ctx, d.name, d.experiment, d.seed, d.policy, nil)
				mu.Lock()
				if done++; progress != nil {
					progress(float64(done) / float64(len(specs)))
				}
				mu.Unlock()
			}
		})
	}
	for k := range specs {
		next <- k
	}
	close(next)
	wait.Wait()
	if ctx.Err() != nil { // interrupted runs must not be compared with complete ones
		return nil, fmt.Errorf("interrupted: results need complete runs: %w", ctx.Err())
	}
	for k, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", specs[k].policy, specs[k].seed, err)
		}
	}
	return results, nil
}
