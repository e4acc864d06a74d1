// This file contains the commands that run in virtual time, run and compare, and those that read results.

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/lab"
	"weldmast/internal/realtime"
)

// outputFlags are the flags for output other than text on the terminal. Kong makes flags of the field names.
type outputFlags struct {
	JSON   string `placeholder:"PATH" help:"Add each result to this file as a line of JSON; - for standard output instead of text."`
	Report string `placeholder:"PATH" help:"Draw a page of plots into this file (HTML)."`
}

func (o *outputFlags) write(s *streams, results []*lab.Result) error {
	if o.JSON != "" {
		w := s.out
		if o.JSON != "-" {
			f, err := os.OpenFile(o.JSON, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
			if err != nil {
				return fmt.Errorf("results: %w", err)
			}
			defer f.Close()
			w = f
		}
		for _, r := range results {
			if err := r.Write(w); err != nil {
				return err
			}
		}
	}
	if o.Report != "" {
		if err := writeReport(o.Report, results); err != nil {
			return err
		}
		fmt.Fprintf(s.errs, "report written to %s\n", o.Report)
	}
	return nil
}

func writeReport(path string, results []*lab.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := lab.Report(f, results); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// realTimeFlags are the flags for runs in real time. Kong makes flags of the field names.
type realTimeFlags struct {
	Program     string  `default:"bin/weldmast" help:"On sockets: the dispatcher's program."`
	File        string  `placeholder:"PATH" name:"operator-file" help:"On sockets: its operator's file."`
	Logs        string  `placeholder:"DIR" help:"On sockets: folder for its logs."`
	MemoryMB    int     `default:"192" help:"On sockets: limits.memory_mb."`
	Descriptors int     `default:"1024" help:"On sockets: limits.sockets."`
	Cores       float64 `default:"1" help:"On sockets: limits.cores."`
	LateP99     float64 `name:"late-p99" default:"5" help:"On sockets: the day is void if the lab itself was later than so many ms at p99."`
	LateMost    float64 `default:"100" help:"On sockets: the same at most."`
}

func (p *realTimeFlags) options() realtime.Options {
	return realtime.Options{Program: p.Program, OperatorFile: p.File, LogDir: p.Logs, MemoryMB: p.MemoryMB, Descriptors: p.Descriptors,
		Cores: p.Cores, MaxLatenessP99: p.LateP99, MaxLateness: p.LateMost}
}

// resultError returns the error with which a command ends after it has written its results.
func resultError(results []*lab.Result) error {
	for _, r := range results {
		if r.ViolationCount() > 0 {
			return errRuleBroken
		}
		if r.Void != "" {
			return fmt.Errorf("void: %s", r.Void)
		}
	}
	return nil
}

// runCommand runs one experiment once.
type runCommand struct {
	Path    string `arg:"" name:"file" help:"The experiment."`
	Seed    uint64 `default:"1" help:"What all is drawn from."`
	Policy  string `default:"weldmast" help:"weldmast, or a baseline (virtual time only)."`
	Virtual bool   `help:"In virtual time with whole nodes (the default)." xor:"driver"`
	Sockets bool   `help:"In real time, against the built program on loopback." xor:"driver"`
	realTimeFlags
	Set []string `sep:"none" placeholder:"KEY=VALUE" help:"Change a value of the experiment, as arrivals.load=0.8 or fault.0.at=\"5s\"."`
	outputFlags
}

func (c *runCommand) Run(ctx context.Context, s *streams) error {
	x, err := lab.LoadExperiment(c.Path, c.Set...)
	if err != nil {
		return err
	}
	if c.Sockets && c.Policy != lab.OwnPolicy {
		return fmt.Errorf("baselines run in virtual time only")
	}
	progress, done := s.progressBar(lab.ExperimentName(c.Path))
	var r *lab.Result
	if c.Sockets {
		o := c.options()
		o.Progress = progress
		r, err = lab.RunRealTime(ctx, lab.ExperimentName(c.Path), x, c.Seed, o)
	} else {
		r, err = lab.RunVirtual(ctx, lab.ExperimentName(c.Path), x, c.Seed, c.Policy, progress)
	}
	done()
	if err != nil {
		return err
	}
	if c.JSON != "-" {
		r.Print(s.out)
	}
	if err := c.write(s, []*lab.Result{r}); err != nil {
		return err
	}
	return resultError([]*lab.Result{r})
}

// seedRange returns n consecutive seeds.
func seedRange(first uint64, n int) (all []uint64) {
	for k := range n {
		all = append(all, first+uint64(k))
	}
	return all
}

// compareCommand compares two policies, or two programs, with the same seeds.
type compareCommand struct {
	Path    string   `arg:"" name:"file" help:"The experiment."`
	A       string   `arg:"" help:"weldmast or a baseline; with --sockets a program."`
	B       string   `arg:"" help:"The other."`
	Sockets bool     `help:"Two programs in real time, one day after the other."`
	Seeds   int      `default:"10" help:"How many pairs."`
	Seed    uint64   `default:"1" help:"The first."`
	Set     []string `sep:"none" placeholder:"KEY=VALUE" help:"Change a value of the experiment."`
	realTimeFlags
	outputFlags
}

func (c *compareCommand) Run(ctx context.Context, s *streams) error {
	x, err := lab.LoadExperiment(c.Path, c.Set...)
	if err != nil {
		return err
	}
	progress, done := s.progressBar(lab.ExperimentName(c.Path))
	var as, bs []*lab.Result
	if c.Sockets {
		a, b := c.options(), c.options()
		a.Program, b.Program = c.A, c.B
		as, bs, err = lab.CompareBuilds(ctx, lab.ExperimentName(c.Path), x, a, b, seedRange(c.Seed, c.Seeds))
	} else {
		as, bs, err = lab.Compare(ctx, lab.ExperimentName(c.Path), x, c.A, c.B, seedRange(c.Seed, c.Seeds), progress)
	}
	done()
	if err != nil {
		return err
	}
	lab.PrintComparison(s.out, as, bs)
	return c.write(s, append(as, bs...))
}

// sweepCommand runs an experiment with each of several values of one setting.
type sweepCommand struct {
	File   string   `arg:"" help:"The experiment."`
	Key    string   `arg:"" help:"The value to change, as arrivals.load."`
	Values []string `arg:"" help:"What it is set to, in turn, as TOML."`
	Seeds  int      `default:"5" help:"Seeds for each value."`
	Seed   uint64   `default:"1" help:"The first."`
	Policy string   `default:"weldmast" help:"weldmast or a baseline."`
	outputFlags
}

func (c *sweepCommand) Run(ctx context.Context, s *streams) error {
	var xs []*fleetmodel.Experiment
	for _, v := range c.Values {
		x, err := lab.LoadExperiment(c.File, c.Key+"="+v)
		if err != nil {
			return err
		}
		xs = append(xs, x)
	}
	progress, done := s.progressBar(c.Key)
	all, err := lab.Sweep(ctx, lab.ExperimentName(c.File), c.Key, c.Values, xs, c.Policy, seedRange(c.Seed, c.Seeds), progress)
	done()
	if err != nil {
		return err
	}
	lab.PrintSweep(s.out, c.Key, c.Values, c.Seeds, all)
	if err := c.write(s, all); err != nil {
		return err
	}
	return resultError(all)
}

// tableCommand runs all policies in several experiments.
type tableCommand struct {
	Files    []string `arg:"" help:"The experiments."`
	Seeds    int      `default:"10" help:"How many, the same for all."`
	Seed     uint64   `default:"1" help:"The first."`
	Policies []string `default:"weldmast,random,round-robin,least,two-choices,sita,omniscient" help:"What is played; others are set beside the first."`
}

func (c *tableCommand) Run(ctx context.Context, s *streams) error {
	var names []string
	var xs []*fleetmodel.Experiment
	for _, f := range c.Files {
		x, err := lab.LoadExperiment(f)
		if err != nil {
			return err
		}
		names, xs = append(names, lab.ExperimentName(f)), append(xs, x)
	}
	progress, done := s.progressBar("table")
	table, err := lab.RunTable(ctx, names, xs, c.Policies, seedRange(c.Seed, c.Seeds), progress)
	done()
	if err != nil {
		return err
	}
	lab.PrintTable(s.out, names, c.Policies, table)
	return nil
}

// theoryCommand compares the model with queueing theory.
type theoryCommand struct {
	Repeats int `default:"48" help:"Repetitions of each law."`
	Jobs    int `default:"100000" help:"Jobs of each."`
}

func (c *theoryCommand) Run(ctx context.Context, s *streams) error {
	progress, done := s.progressBar("theory")
	laws, err := lab.CheckTheory(ctx, c.Repeats, c.Jobs, progress)
	done()
	if err != nil {
		return err
	}
	lab.PrintTheory(s.out, laws)
	return nil
}

// worldsCommand runs small random scenarios and checks the rules in each.
type worldsCommand struct {
	Count   int    `default:"1000" help:"How many."`
	First   uint64 `default:"1" help:"Number of the first; the same number is the same world."`
	Crowded bool   `help:"Also kinds of worker that take more at once than they have cores for."`
}

func (c *worldsCommand) Run(ctx context.Context, s *streams) error {
	progress, done := s.progressBar("worlds")
	began := time.Now()
	t, err := lab.RunScenarios(ctx, c.First, c.Count, c.Crowded, progress)
	done()
	fmt.Fprintf(s.out, "%d worlds, %d jobs, %d faults in %.1f s: %d worlds with a broken rule\n", t.Scenarios, t.Jobs, t.Faults,
		time.Since(began).Seconds(), len(t.Failed))
	for _, b := range t.Failed[:min(len(t.Failed), 60)] {
		fmt.Fprintf(s.out, "world %d: %v\n", b.Number, b.Violation)
	}
	if err == nil && len(t.Failed) > 0 {
		return errRuleBroken
	}
	return err
}

// reportCommand draws a report of stored results.
type reportCommand struct {
	Results []string `arg:"" help:"Files with lines of JSON, as --json writes them."`
	Out     string   `short:"o" default:"report.html" help:"The page."`
}

func (c *reportCommand) Run(s *streams) error {
	var all []*lab.Result
	for _, path := range c.Results {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("results: %w", err)
		}
		some, err := lab.ReadResults(io.Reader(f))
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, some...)
	}
	if len(all) == 0 {
		return fmt.Errorf("no result in %s", strings.Join(c.Results, ", "))
	}
	if err := writeReport(c.Out, all); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "report written to %s\n", c.Out)
	return nil
}
