// This file generates small random scenarios with random faults. Every rule must hold in each of them.

package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/invariants"
	"weldmast/internal/virtualtime"
)

// Sampler returns a random number from 0 to n-1. A property test samples from its own source, a command from
// a seeded one.
type Sampler func(n int) int

// SeededSampler returns the sampler of a scenario's number.
func SeededSampler(number uint64) Sampler {
	r := rand.New(rand.NewPCG(number, 0x77656c64))
	return func(n int) int { return r.IntN(n) }
}

// RandomScenario returns a random deployment of up to four dispatchers and a dozen workers with up to six
// faults. If crowded, workers may run more items at once than they have cores.
func RandomScenario(sample Sampler, crowded bool) *fleetmodel.Experiment {
	x, err := fleetmodel.ParseExperiment("small", []byte("[[kind]]\nname = \"a\"\n[[category]]\nname = \"a\"\n[arrivals]\nload = 0.5\n"))
	if err != nil {
		panic(err) // cannot happen: the text is constant
	}
	coin := func() bool { return sample(2) == 1 }
	oneOf := func(values ...float64) float64 { return values[sample(len(values))] }
	oneMillis := func(values ...float64) fleetmodel.Millis { return fleetmodel.Millis(oneOf(values...)) }
	x.Length = oneMillis(1000, 3000, 6000)
	d := &x.Dispatchers
	d.Count, d.PeerMessages, d.SecondCopies, d.MayCancel, d.HonorRetryAfter = 1+sample(4), coin(), coin(), coin(), coin()
	d.DiscoveryOnRequest, d.MaxHandOffs, d.MaxOpen = sample(4) == 0, 1+sample(5), int(oneOf(5, 50, 20000))
	d.RestartDelay, d.StopTimeout = oneMillis(100, 1000), oneMillis(500, 3700)
	x.Network.CrossSite, x.Network.Jitter = oneMillis(1, 20), oneMillis(0, 0.05, 2)
	x.Network.DiscoveryDelay, x.Network.DetectionDelay, x.Network.IdleTimeout = oneMillis(1, 100, 400), oneMillis(100, 2000), oneMillis(50, 15000)
	x.Workers.Sites = 1 + sample(3)
	x.Workers.WarmUpTime, x.Workers.OverloadWindow, x.Workers.StartCapacity = oneMillis(500, 3000, 10000), oneMillis(500, 2000), oneOf(0.05, 0.1, 0.5)
	x.Workers.ReportStart, x.Workers.ProgressInterval = coin(), oneMillis(0, 100, 1000)
	x.Kinds = nil
	for k := range 1 + sample(3) {
		kind := fleetmodel.Kind{Name: string(rune('a' + k)), Count: 1 + sample(4), Speed: oneOf(0.5, 1, 3), Cores: 1 + sample(3),
			Slots: 1 + sample(4), QueueLimit: sample(6)}
		if !crowded {
			kind.Slots = min(kind.Slots, kind.Cores)
		}
		x.Kinds = append(x.Kinds, kind)
	}
	x.Categories = nil
	for k := range 1 + sample(3) {
		c := fleetmodel.Category{Name: string(rune('a' + k))}
		c.Defaults()
		c.RepeatPolicy = []string{"rerunnable", "ticketed", "exclusive"}[sample(3)]
		c.DedupScope = []string{"all", "zone"}[sample(2)]
		c.DedupWindow, c.DueTime, c.Expiry = oneMillis(0, 200, 2000), oneMillis(50, 500), oneMillis(100, 1000, 3000)
		c.MeanCost, c.Distribution, c.HintSigma = oneMillis(2, 20, 100), []string{"fixed", "exponential", "pareto"}[sample(3)], oneOf(0, 0.5)
		c.NoHintShare, c.MaxCostFactor = oneOf(0, 0.2, 1), 50
		x.Categories = append(x.Categories, c)
	}
	if coin() {
		x.Tenants = []fleetmodel.Tenant{{Name: "a", Share: 1}, {Name: "b", Share: 3}}
	}
	x.Arrivals.Load = oneOf(0.2, 0.6, 0.9, 1.5)
	if maxRate := 600.; x.ArrivalRate() > maxRate { // keeps the scenario small
		x.Arrivals.Rate, x.Arrivals.Load = maxRate, 0
	}
	x.Clients.MaxRetries, x.Clients.LeaveShare = sample(3), oneOf(0, 0, 0.1)
	kinds := []string{"kill", "vanish", "site_loss", "cut", "drain", "deploy", "slow", "neighbour", "fail", "tail", "burst",
		"discovery_silent", "discovery_late", "messages_lost", "messages_late", "callbacks_repeat", "callbacks_late",
		"dispatcher_kill", "dispatcher_stop", "dispatcher_reload", "clock_jump"}
	for range sample(7) {
		f := fleetmodel.Fault{At: fleetmodel.Millis(sample(int(x.Length))), Duration: oneMillis(50, 300, 1000, 2000), Type: kinds[sample(len(kinds))]}
		f.Defaults()
		f.Share, f.Count = oneOf(0.2, 0.5, 1), sample(3)
		f.Path = []string{"workers", "clients", "siblings", "discovery"}[sample(4)]
		if f.Type == "site_loss" || f.Type == "cut" && coin() {
			f.Site = fleetmodel.SiteName(sample(x.Workers.Sites))
		}
		if f.Type == "clock_jump" {
			f.Amount = oneOf(-5000, 100, 5000)
		}
		x.Faults = append(x.Faults, f)
	}
	return x
}

// ScenarioCounts are the totals of many scenarios.
type ScenarioCounts struct {
	Scenarios, Jobs, Faults int
	Failed                  []FailedScenario
}

// FailedScenario is a scenario with its first violation.
type FailedScenario struct {
	Number    uint64
	Violation invariants.Violation
}

// RunScenario runs a scenario and returns its first violation, if any.
func RunScenario(ctx context.Context, x *fleetmodel.Experiment, seed uint64) (jobs int, v *invariants.Violation, err error) {
	w, _, err := virtualtime.Run(ctx, x, seed, nil, nil)
	if err != nil {
		return 0, nil, err
	}
	if len(w.Checker.Violations) > 0 {
		v = &w.Checker.Violations[0]
	}
	return len(w.Jobs), v, nil
}

// RunScenarios runs numbered scenarios in parallel, one per core.
func RunScenarios(ctx context.Context, first uint64, count int, crowded bool, progress func(float64)) (ScenarioCounts, error) {
	var t ScenarioCounts
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failure error
	numbers := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for n := range numbers {
				x := RandomScenario(SeededSampler(n), crowded)
				jobs, v, err := RunScenario(ctx, x, n)
				mu.Lock()
				t.Scenarios++
				t.Jobs += jobs
				t.Faults += len(x.Faults)
				if v != nil {
					t.Failed = append(t.Failed, FailedScenario{n, *v})
				}
				if err != nil {
					failure = fmt.Errorf("scenario %d: %w", n, err)
				}
				if progress != nil {
					progress(float64(t.Scenarios) / float64(count))
				}
				mu.Unlock()
			}
		})
	}
	for k := range count {
		if ctx.Err() == nil {
			numbers <- first + uint64(k)
		}
	}
	close(numbers)
	wait.Wait()
	return t, failure
}
