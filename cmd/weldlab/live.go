// This file contains two commands that run in real time only: ceiling, and the demo for newcomers.

package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/term"

	"weldmast/internal/fleetmodel"
	"weldmast/internal/lab"
	"weldmast/internal/realtime"
)

// ceilingCommand raises the rate until a dispatcher adds more latency than the bound.
type ceilingCommand struct {
	Path    string   `arg:"" name:"file" default:"lab/ceiling.toml" help:"The experiment; its rate is raised."`
	From    float64  `default:"1000" help:"The first rate, work items a second."`
	Factor  float64  `default:"1.3" help:"By which it is raised."`
	Bound   float64  `default:"50" help:"ms that the dispatcher may add at p99."`
	Profile string   `placeholder:"PATH" help:"Write a CPU profile of the last rate's dispatcher, and print its top."`
	Set     []string `sep:"none" placeholder:"KEY=VALUE" help:"Change a value of the experiment."`
	realTimeFlags
}

func (c *ceilingCommand) Run(ctx context.Context, s *streams) error {
	if c.Factor <= 1 || c.From <= 0 {
		return fmt.Errorf("--from must be above 0 and --factor above 1")
	}
	o := c.options()
	if c.Profile != "" {
		dir, err := os.MkdirTemp("", "weldlab")
		if err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		defer os.RemoveAll(dir)
		path, err := filepath.Abs(c.Profile)
		if err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		o.OperatorFile = filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(o.OperatorFile, fmt.Appendf(nil, "[profile]\ncpu = %q\n", path), 0o600); err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		o.GracefulStop = true
	}
	fmt.Fprintln(s.out, lab.StepHeader)
	steps, err := lab.FindCeiling(ctx, c.Path, c.Set, o, c.From, c.Factor, c.Bound, func(x lab.Step) { x.Print(s.out) })
	if err != nil {
		return err
	}
	var best *lab.Step
	for k := range steps {
		if steps[k].WithinBound(c.Bound) {
			best = &steps[k]
		}
	}
	if best == nil {
		fmt.Fprintln(s.out, "not even the first rate was carried")
	} else {
		fmt.Fprintf(s.out, "ceiling: %.0f work items a second with %.2f CPUs, %.1f us each, added p99 %.2f ms; the next rate passed the bound\n",
			best.Rate, best.CPUsUsed, best.CPUPerItem, best.Added.P99)
	}
	if c.Profile != "" {
		return lab.TopCPU(s.out, c.Profile, 15)
	}
	return nil
}

//go:embed demo.toml
var demoExperiment []byte

// demoCommand shows a dispatcher among stubs live; keys inject faults.
type demoCommand struct {
	Fault   string `placeholder:"WHAT" help:"A trouble to begin with after five seconds: kill, vanish, site_loss, drain, slow, dispatcher_kill."`
	Seconds int    `default:"0" help:"End by itself after so long; 0: at Ctrl-C."`
	realTimeFlags
}

// faultKeys are the faults that the demo injects when a key is pressed.
var faultKeys = []struct {
	key   byte
	fault fleetmodel.Fault
	help  string
}{
	{'k', fleetmodel.Fault{Type: "kill", Count: 1, Duration: 5000}, "kill a worker"},
	{'v', fleetmodel.Fault{Type: "vanish", Count: 1, Duration: 5000}, "a worker falls silent"},
	{'d', fleetmodel.Fault{Type: "drain", Count: 1, Duration: 8000}, "drain a worker"},
	{'z', fleetmodel.Fault{Type: "site_loss", Site: "b", Share: 1, Duration: 5000}, "lose site b"},
	{'s', fleetmodel.Fault{Type: "slow", Count: 2, Amount: 0.25, Duration: 8000}, "slow two workers"},
	{'x', fleetmodel.Fault{Type: "dispatcher_kill", Count: 1}, "kill the dispatcher"},
	{'b', fleetmodel.Fault{Type: "burst", Amount: 4, Share: 1, Duration: 5000}, "a burst of work"},
}

func (c *demoCommand) Run(ctx context.Context, s *streams) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x, err := fleetmodel.ParseExperiment("demo.toml", demoExperiment)
	if err != nil {
		return err
	}
	if c.Seconds > 0 {
		x.Length = fleetmodel.Millis(c.Seconds) * 1000
	}
	inject := make(chan func(*fleetmodel.Model), 16)
	o := c.options()
	o.Inject, o.Endless, o.MaxLatenessP99, o.MaxLateness = inject, c.Seconds == 0, 1e6, 1e6
	injectFault := func(f fleetmodel.Fault) { inject <- func(w *fleetmodel.Model) { w.InjectFault(f) } }
	if c.Fault != "" {
		found := false
		for _, k := range faultKeys {
			if k.fault.Type == c.Fault {
				f := k.fault
				f.At = 5000
				x.Faults, found = append(x.Faults, f), true
			}
		}
		if !found {
			return fmt.Errorf("--fault %q is unknown: see weldlab demo --help", c.Fault)
		}
	}
	terminal := false
	if f, ok := s.out.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		terminal = true
	}
	newline := "\n"
	if in := int(os.Stdin.Fd()); terminal && term.IsTerminal(in) {
		if state, err := term.MakeRaw(in); err == nil {
			newline = "\r\n"
			defer func() { _ = term.Restore(in, state) }()
			go func() { // runs until the program ends: nothing else reads standard input
				for buf := make([]byte, 1); ; {
					if n, err := os.Stdin.Read(buf); err != nil || n == 0 {
						return
					}
					if buf[0] == 3 || buf[0] == 'q' {
						cancel()
						return
					}
					for _, k := range faultKeys {
						if k.key == buf[0] {
							injectFault(k.fault)
						}
					}
				}
			}()
		}
	}
	lastShown := -1000.
	o.Watch = func(w *fleetmodel.Model) {
		every := 1000.
		if terminal {
			every = 250
		}
		if w.Now() < lastShown+every {
			return
		}
		lastShown = w.Now()
		if terminal {
			fmt.Fprint(s.out, "\x1b[H\x1b[2J", strings.ReplaceAll(renderScreen(x, w), "\n", newline))
		} else {
			fmt.Fprintln(s.out, statusLine(x, w))
		}
	}
	p, err := realtime.Run(ctx, x, 1, o)
	if err != nil {
		return err
	}
	r := lab.Summarize(p.Model, p.ArrivalStart)
	r.Experiment, r.Driver, r.Policy, r.Interrupted = "demo", "sockets", o.Program, c.Seconds > 0 && !p.Complete
	var text strings.Builder
	r.Print(&text)
	fmt.Fprint(s.out, newline+strings.ReplaceAll(text.String(), "\n", newline))
	return resultError([]*lab.Result{r})
}

// statusLine returns the counts of all jobs so far as a line of text.
func statusLine(x *fleetmodel.Experiment, w *fleetmodel.Model) string {
	n, inTime := map[fleetmodel.Outcome]int{}, 0
	for _, j := range w.Jobs {
		n[j.Outcome]++
		if x.InTime(j) {
			inTime++
		}
	}
	line := fmt.Sprintf("%6.1f s  taken %d  in time %d  waiting %d", w.Now()/1000, len(w.Jobs), inTime, n[fleetmodel.Waiting])
	for _, o := range fleetmodel.Outcomes {
		if n[o] > 0 {
			line += fmt.Sprintf("  %s %d", o, n[o])
		}
	}
	return line
}

// renderScreen returns the text of the complete screen.
func renderScreen(x *fleetmodel.Experiment, w *fleetmodel.Model) string {
	var b strings.Builder
	fmt.Fprintf(&b, "weldlab demo: one dispatcher, stand-in workers, clients and discovery on loopback\n\n%s\n\n", statusLine(x, w))
	fmt.Fprintf(&b, "%-6s %-6s %-5s %-9s %-6s %8s %8s\n", "worker", "kind", "site", "state", "warm", "at work", "finished")
	for _, v := range w.WorkerViews() {
		fmt.Fprintf(&b, "%-6s %-6s %-5s %-9s %5.0f%% %-8s %8d\n", v.ID, x.Kinds[v.Kind].Name, fleetmodel.SiteName(v.Site), v.State, 100*v.Warmth,
			strings.Repeat("#", v.Running)+strings.Repeat(".", v.Queued), v.Finished)
	}
	b.WriteString("\n")
	for _, m := range w.Annotations[max(0, len(w.Annotations)-4):] {
		fmt.Fprintf(&b, "%6.1f s  %s\n", m.At/1000, m.Text)
	}
	b.WriteString("\n")
	for _, k := range faultKeys {
		fmt.Fprintf(&b, "%c %s   ", k.key, k.help)
	}
	b.WriteString("q quit\n")
	return b.String()
}
