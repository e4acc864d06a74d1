// This file contains the commands storm, for fault-injection runs, and fleet, for fleets in virtual time.

package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"weldmast/internal/lab"
	"weldmast/internal/virtualtime"
)

// stormCommand runs an experiment with random faults, one run per seed, against real processes.
type stormCommand struct {
	Path    string `arg:"" name:"file" help:"The experiment, with a [storm] that says what is drawn."`
	Seed    uint64 `default:"1" help:"The first number."`
	Count   int    `default:"1" help:"How many."`
	Sockets bool   `help:"With real processes (virtual time knows no fleet yet)."`
	Side    int    `default:"1" help:"So many side by side."`
	Cut     bool   `help:"Cut the first broken one down to the fewest faults that still break it."`
	Voter   string `default:"bin/weldmast-voter" help:"The program of voters."`
	realTimeFlags
	Set []string `sep:"none" placeholder:"KEY=VALUE" help:"Change a value of the experiment."`
}

func (c *stormCommand) Run(ctx context.Context, s *streams) error {
	x, err := lab.LoadExperiment(c.Path, c.Set...)
	if err != nil {
		return err
	}
	if !c.Sockets {
		return fmt.Errorf("fault-injection runs need real processes: use --sockets")
	}
	o := c.options()
	o.VoterProgram = c.Voter
	all, err := lab.RunChaosSeries(ctx, x, c.Seed, c.Count, c.Side, o, s.out)
	if err != nil {
		return err
	}
	var broken []lab.ChaosResult
	void, late := 0, 0
	for _, b := range all {
		late += b.LateActions
		if len(b.Violations) > 0 {
			broken = append(broken, b)
		} else if b.Void != "" {
			void++
		}
	}
	for _, b := range broken {
		for k, v := range b.Violations {
			if k == 10 {
				fmt.Fprintf(s.out, "seed %d: and %d more\n", b.Seed, len(b.Violations)-k)
				break
			}
			fmt.Fprintf(s.out, "seed %d: %s\n", b.Seed, v)
		}
	}
	if c.Cut && len(broken) > 0 {
		faults, err := lab.MinimizeFaults(ctx, broken[0], o, s.out)
		if err != nil {
			return err
		}
		for _, f := range faults {
			fmt.Fprintf(s.out, "at %.0f ms for %.0f ms: %s of %v, amount %g\n", float64(f.At), float64(f.Duration), f.Type, f.Dispatchers, f.Amount)
		}
	}
	if x.Fleet != nil {
		detection, recovery := lab.PauseDelays(all, float64(x.Fleet.HeartbeatInterval))
		fmt.Fprintf(s.out, "stalls: found %s; current again after going on %s; late acts %d\n", quantiles(detection), quantiles(recovery), late)
	}
	fmt.Fprintf(s.out, "void %d\nstorms %d, broken %d\n", void, c.Count, len(broken))
	if len(broken) > 0 {
		return errRuleBroken
	}
	return nil
}

// quantiles returns the number of values, their median, 99th percentile and maximum as text.
func quantiles(sorted []float64) string {
	n := len(sorted)
	if n == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (ms: median %.0f, 99%% %.0f, most %.0f)", n, sorted[n/2], sorted[n*99/100], sorted[n-1])
}

// fleetTableCommand runs fleets in virtual time: a table over the number of members, or many small fleets with
// random faults.
type fleetTableCommand struct {
	Members []int   `default:"10,100,300,1000" help:"How many members, a line each."`
	Loss    float64 `default:"0.1" help:"Share of messages that are lost, one way."`
	Cut     float64 `default:"0.1" help:"Share of members cut off for 3 s in every second publish."`
	Seconds float64 `default:"30" help:"Length of the day."`
	Seeds   int     `default:"0" help:"In place of the table: so many small days of 7 members with drawn faults, each judged."`
	First   uint64  `default:"1" help:"The first number."`
}

func (c *fleetTableCommand) Run(ctx context.Context, s *streams) error {
	if c.Seeds > 0 {
		return c.runSmallFleets(ctx, s)
	}
	fmt.Fprintln(s.out, "members  versions  to 99% ms (median)  to all ms (median)  at the leader, messages/s  a member, bytes/s")
	for _, n := range c.Members {
		r := virtualtime.RunFleet(virtualtime.FleetScenario{Members: n, Voters: 5, Seed: c.First, MessageLoss: c.Loss, CutShare: c.Cut, Length: c.Seconds * 1000})
		if r.Violation != "" {
			return fmt.Errorf("%d members: %s", n, r.Violation)
		}
		slices.Sort(r.TimeTo99)
		slices.Sort(r.TimeToAll)
		fmt.Fprintf(s.out, "%7d  %8d  %18.0f  %18.0f  %25.0f  %17.0f\n", n, r.Published, median(r.TimeTo99), median(r.TimeToAll), r.LeaderMessageRate, r.MemberByteRate)
	}
	return nil
}

// median returns the upper median of sorted values; -1 if there are none.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[len(sorted)/2]
}

// runSmallFleets runs one fleet of 7 members per seed, with random faults, and prints each violation.
func (c *fleetTableCommand) runSmallFleets(ctx context.Context, s *streams) error {
	var mu sync.Mutex
	var wait sync.WaitGroup
	broken, published, fences := 0, 0, 0
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed := range seeds {
				r := virtualtime.RunFleet(virtualtime.FleetScenario{Members: 7, Voters: []int{1, 3, 5}[seed%3], Seed: seed, MessageLoss: c.Loss, CutShare: 0.3, Faults: 8, Length: c.Seconds * 1000})
				mu.Lock()
				published += r.Published
				fences += r.FencesCompleted
				if r.Violation != "" {
					broken++
					fmt.Fprintf(s.out, "seed %d: %s\n", seed, r.Violation)
				}
				mu.Unlock()
			}
		})
	}
	for k := range c.Seeds {
		if ctx.Err() == nil {
			seeds <- c.First + uint64(k)
		}
	}
	close(seeds)
	wait.Wait()
	fmt.Fprintf(s.out, "fleets %d, versions %d, fences complete %d, broken %d\n", c.Seeds, published, fences, broken)
	if broken > 0 {
		return errRuleBroken
	}
	return nil
}
