// This file owns the command that plays storms.

package main

import (
	"context"
	"fmt"

	"weldmast/internal/lab"
)

type stormCommand struct {
	Path    string `arg:"" name:"file" help:"The experiment, with a [storm] that says what is drawn."`
	Seed    uint64 `default:"1" help:"The first number."`
	Count   int    `default:"1" help:"How many."`
	Sockets bool   `help:"With real processes (virtual time knows no fleet yet)."`
	Side    int    `default:"1" help:"So many side by side."`
	Cut     bool   `help:"Cut the first broken one down to the fewest faults that still break it."`
	Voter   string `default:"bin/weldmast-voter" help:"The program of voters."`
	program
	Set []string `sep:"none" placeholder:"KEY=VALUE" help:"Change a value of the experiment."`
}

func (c *stormCommand) Run(ctx context.Context, s *streams) error {
	x, err := lab.Load(c.Path, c.Set...)
	if err != nil {
		return err
	}
	if !c.Sockets {
		return fmt.Errorf("a fleet is played on sockets only: say --sockets")
	}
	o := c.options()
	o.Voter = c.Voter
	broken, void, err := lab.Storms(ctx, x, c.Seed, c.Count, c.Side, o, s.out)
	if err != nil {
		return err
	}
	for _, b := range broken {
		for k, v := range b.Verdicts {
			if k == 10 {
				fmt.Fprintf(s.out, "seed %d: and %d more\n", b.Seed, len(b.Verdicts)-k)
				break
			}
			fmt.Fprintf(s.out, "seed %d: %s\n", b.Seed, v)
		}
	}
	if c.Cut && len(broken) > 0 {
		faults, err := lab.Cut(ctx, broken[0], o, s.out)
		if err != nil {
			return err
		}
		for _, f := range faults {
			fmt.Fprintf(s.out, "at %.0f ms for %.0f ms: %s of %v, amount %g\n", float64(f.At), float64(f.For), f.What, f.Hits, f.Amount)
		}
	}
	fmt.Fprintf(s.out, "void %d\nstorms %d, broken %d\n", len(void), c.Count, len(broken))
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}
