// Command weldlab runs experiments against the dispatcher and summarizes their results. This file contains
// its command line; the experiments are implemented in internal/lab.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// Exit codes.
const (
	exitFault = 1 // a rule was violated, a file is faulty, or weldlab itself failed
	exitUsage = 2
)

type arguments struct {
	Run      runCommand        `cmd:"" help:"Play one experiment and say what came of it."`
	Compare  compareCommand    `cmd:"" help:"Play two dispatchers over the same seeds: baselines in virtual time, or two builds on sockets."`
	Sweep    sweepCommand      `cmd:"" help:"Play one experiment over a range of one value."`
	Table    tableCommand      `cmd:"" help:"Play the dispatcher and all baselines on experiments over the same seeds."`
	Theory   theoryCommand     `cmd:"" help:"Hold the model beside queueing theory."`
	Storm    stormCommand      `cmd:"" help:"Play days with drawn faults between several processes, judged from outside."`
	Fleet    fleetTableCommand `cmd:"" help:"Play a fleet's council and members in virtual time: how it grows, or many small ones with faults."`
	Scale    scaleCommand      `cmd:"" help:"Measure how the program grows: real processes beside hollow ones, and the lines through what they cost."`
	Capacity capacityCommand   `cmd:"" help:"What the size that is coming comes to, from slopes that runs have measured: the tables of docs/CAPACITY.md."`
	Hollow   hollowCommand     `cmd:"" hidden:"" help:"A process of a scale run's: its task comes on standard input."`
	Worlds   worldsCommand     `cmd:"" help:"Draw small worlds and troubles at random and hold the rules on each."`
	Ceiling  ceilingCommand    `cmd:"" help:"Raise the rate until one dispatcher adds too much of its own."`
	Demo     demoCommand       `cmd:"" help:"A dispatcher among stand-ins on loopback, shown live; troubles by key."`
	Report   reportCommand     `cmd:"" help:"Draw a page of plots from results."`
}

const about = `Runs experiments (lab/*.toml) against the dispatcher: complete nodes in virtual time, or bin/weldmast on loopback
sockets with stubs for its environment. Checks the rules from the messages on the wire.

Exit status: 0 on success; 1 for a broken rule, a faulty file or a failure of weldlab; 2 for unknown arguments.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := runCommandLine(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// errRuleBroken is the error of a command that completed and found a violated rule, which it has printed.
var errRuleBroken = errors.New("a rule was broken")

func runCommandLine(ctx context.Context, args []string, out, errs io.Writer) int {
	var a arguments
	kongExit := -1
	p, err := kong.New(&a, kong.Name("weldlab"), kong.Description(about), kong.Writers(out, errs),
		kong.Exit(func(code int) { kongExit = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&streams{out, errs}))
	if err != nil {
		fmt.Fprintf(errs, "weldlab: %v\n", err)
		return exitFault
	}
	c, err := p.Parse(args)
	switch {
	case kongExit >= 0:
		return kongExit
	case err != nil:
		fmt.Fprintf(errs, "weldlab: %v\nRun weldlab --help for usage.\n", err)
		return exitUsage
	}
	if err := c.Run(); err != nil {
		fmt.Fprintf(errs, "weldlab: %v\n", err)
		return exitFault
	}
	return 0
}

// streams are the outputs of a command: its results, and messages about its progress.
type streams struct{ out, errs io.Writer }

// progressBar shows the progress of a command if standard error is a terminal.
func (s *streams) progressBar(what string) (progress func(float64), done func()) {
	f, ok := s.errs.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil, func() {}
	}
	b := progressbar.NewOptions(1000, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription(what),
		progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionShowElapsedTimeOnFinish())
	return func(part float64) { _ = b.Set(int(part * 1000)) }, func() { _ = b.Finish() }
}
