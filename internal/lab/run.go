// This file owns how experiments are read and played in virtual time, alone, in pairs and over a range.

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

// Own is the name of the dispatcher itself among policies.
const OwnPolicy = "weldmast"

// Load reads an experiment's file. Sets are changes such as "arrivals.load=0.8", each as KEY=VALUE in TOML.
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

// change sets values in a file; parts of a key that are numbers are positions in lists.
func applyOverrides(text []byte, overrides []string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("no TOML: %w", err)
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
					return nil, fmt.Errorf("%s: %q is no position in a list of %d", key, part, len(container))
				}
				if last {
					container[n] = v.X
				}
				node = container[n]
			default:
				return nil, fmt.Errorf("%s: nothing stands below %s", key, strings.Join(parts[:k], "."))
			}
		}
	}
	out, err := toml.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("set: %w", err)
	}
	return out, nil
}

// Name is what an experiment's file is called in tables.
func ExperimentName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// decide makes the deciders of a policy's day; nil for the program's own. An error names the policies there are.
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
		return nil, fmt.Errorf("policy %q is none of %s, %s", policy, OwnPolicy, strings.Join(baseline.Names, ", "))
	}
	return func(s dispatch.Settings, w *fleetmodel.Model) dispatch.Decider {
		shared.Oracle = w
		return baseline.New(policy, s, shared)
	}, nil
}

// Virtual plays one day in virtual time.
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

// Sockets plays one day in real time against a program.
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

// day is one of many to play.
type runSpec struct {
	name       string
	experiment *fleetmodel.Experiment
	seed       uint64
	policy     string
}

// playAll plays days side by side, one to a core, and returns their results in order.
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
	if ctx.Err() != nil { // days cut short must not be counted beside whole ones
		return nil, fmt.Errorf("interrupted: figures need whole days: %w", ctx.Err())
	}
	for k, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", specs[k].policy, specs[k].seed, err)
		}
	}
	return results, nil
}
