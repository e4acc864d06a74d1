// This file contains the commands that measure how the program's resource usage grows, and that compute the
// needs of a planned deployment size from those measurements.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"weldmast/internal/capacity"
	"weldmast/internal/scaletest"
)

// scaleCommand runs a scale plan and prints the fits.
type scaleCommand struct {
	Path    string `arg:"" name:"file" help:"The plan, as lab/capacity.toml."`
	Program string `default:"bin/weldmast" help:"The dispatcher's program."`
	Voter   string `default:"bin/weldmast-voter" help:"The program of voters."`
	JSON    string `name:"json" placeholder:"PATH" help:"Write the result to this file; - for standard output instead of text."`
	Plot    string `placeholder:"PATH" help:"Draw the fits into this file (SVG)."`
}

func (c *scaleCommand) Run(ctx context.Context, s *streams) error {
	text, err := os.ReadFile(c.Path)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	p, err := scaletest.ParsePlan(c.Path, text)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	report := func(line string) { fmt.Fprintln(s.errs, line) }
	r, err := scaletest.Run(ctx, p, scaletest.Options{DispatcherProgram: c.Program, VoterProgram: c.Voter, StubCommand: []string{self, "hollow"}, Progress: report})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		out, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return fmt.Errorf("scale: %w", err)
		}
		if c.JSON == "-" {
			fmt.Fprintf(s.out, "%s\n", out)
		} else if err := os.WriteFile(c.JSON, append(out, '\n'), 0o644); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
	}
	if c.JSON != "-" {
		fmt.Fprint(s.out, r.Text())
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	switch {
	case r.Void != "":
		return fmt.Errorf("%w: %s", scaletest.ErrVoid, r.Void)
	case r.Interrupted:
		fmt.Fprintln(s.out, "interrupted: measurements up to the interruption")
	}
	return nil
}

// hollowCommand is a stub process of a scale run. It reads its task from standard input.
type hollowCommand struct{}

func (hollowCommand) Run(ctx context.Context, s *streams) error {
	return scaletest.RunStub(ctx, os.Stdin, s.out)
}

// capacityCommand prints the tables of a deployment size, or the slopes of scale runs.
type capacityCommand struct {
	Path string `arg:"" optional:"" name:"file" default:"docs/capacity/size.toml" help:"The size, what is assumed, and the slopes with their runs."`
	JSON bool   `name:"json" help:"Print the tables as JSON."`
	From string `placeholder:"RUN" help:"In place of the tables: the slopes of this run (JSON, beside the file), as the file has them."`
	With string `placeholder:"RUN" help:"Beside --from: a second run of the same plan, and which slopes lie in each other's intervals."`
}

func (c *capacityCommand) Run(s *streams) error {
	switch {
	case c.With != "":
		return c.compareRuns(s)
	case c.From != "":
		return c.printSlopes(s)
	}
	sheet, err := capacity.LoadInputs(c.Path, os.ReadFile)
	if err != nil {
		return err
	}
	t, err := sheet.Tables()
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprint(s.out, t.Text())
		return nil
	}
	text, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	fmt.Fprintf(s.out, "%s\n", text)
	return nil
}

// readRun reads the result of a scale run.
func readRun(path string) (*scaletest.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	r := &scaletest.Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", path, err)
	}
	return r, nil
}

// compareRuns prints the slopes of two runs of the same plan side by side.
func (c *capacityCommand) compareRuns(s *streams) error {
	if c.From == "" {
		return errors.New("capacity: --with needs --from, the other run")
	}
	a, err := readRun(c.From)
	if err != nil {
		return err
	}
	b, err := readRun(c.With)
	if err != nil {
		return err
	}
	all := scaletest.PairSlopes(a, b)
	if a.Plan != b.Plan || len(all) == 0 {
		return fmt.Errorf("capacity: %s and %s are not runs of one plan", c.From, c.With)
	}
	within, overlap := 0, 0
	fmt.Fprintf(s.out, "| slope | unit | %s | 95%% | %s | 95%% | in each other's interval |\n| --- | --- | --- | --- | --- | --- | --- |\n", filepath.Base(c.From), filepath.Base(c.With))
	for _, p := range all {
		verdict := "no, apart"
		if p.Overlap() {
			overlap++
			verdict = "no, but the intervals overlap"
		}
		if p.EachWithinOther() {
			within++
			verdict = "yes"
		}
		fmt.Fprintf(s.out, "| %s | %s | %s | %s to %s | %s | %s to %s | %s |\n", p.Name, p.Unit, scaletest.FormatNumber(p.A.Slope), scaletest.FormatNumber(p.A.Low), scaletest.FormatNumber(p.A.High),
			scaletest.FormatNumber(p.B.Slope), scaletest.FormatNumber(p.B.Low), scaletest.FormatNumber(p.B.High), verdict)
	}
	fmt.Fprintf(s.out, "\n%d slopes: %d in each other's interval, %d with intervals that overlap\n", len(all), within, overlap)
	return nil
}

// printSlopes prints the slopes of a run in the format of the capacity file.
func (c *capacityCommand) printSlopes(s *streams) error {
	r, err := readRun(c.From)
	if err != nil {
		return err
	}
	for _, x := range r.Slopes() {
		f := x.Fit
		if f.Points < 3 {
			continue
		}
		fmt.Fprintf(s.out, "[[slope]]\nname = %q\nunit = %q\nrun = %q\nat = %s\neach = %s\nlow = %s\nhigh = %s\noff = %.3f\nto = %g\n\n", x.Name, x.Unit, filepath.Base(c.From), scaletest.FormatNumber(f.Intercept),
			scaletest.FormatNumber(f.Slope), scaletest.FormatNumber(f.Low), scaletest.FormatNumber(f.High), f.RelativeError, f.LargestX)
	}
	return nil
}
