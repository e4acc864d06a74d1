// This file implements the command that migrates a configuration. It must never change the old configuration.

package program

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"weldmast/internal/config"
	"weldmast/internal/migrate"
)

type migrateCommand struct {
	Old     string `arg:"positional,required" placeholder:"OLD" help:"configuration of the old shape (JSON)"`
	To      string `arg:"--to,required" placeholder:"NEW" help:"file to write; it must not exist"`
	DryRun  bool   `arg:"--dry-run" help:"change nothing, print what would be written"`
	Weights string `arg:"--weights" placeholder:"WORD" help:"what the new list's weights are: nominal, rough, none, live"`
	Load    string `arg:"--load" placeholder:"WORD" help:"how the new workers report load: answers, probe, none"`
	Origin  string `arg:"--origin" placeholder:"PRICE" help:"price of a fetch for each work item; 0 where keys cost nothing"`
}

func (c *migrateCommand) run(out, errs io.Writer) int {
	for _, f := range []struct {
		flag, value string
		words       []string
	}{{"--weights", c.Weights, []string{"nominal", "rough", "none", "live"}}, {"--load", c.Load, []string{"answers", "probe", "none"}}} {
		if f.value != "" && !slices.Contains(f.words, f.value) {
			fmt.Fprintf(errs, "weldmast: %s: %q is none of %v\n", f.flag, f.value, f.words)
			return exitUsage
		}
	}
	price, err := strconv.ParseFloat(c.Origin, 64)
	if c.Origin != "" && (err != nil || !(price >= 0) || price > 1e9 || strings.Trim(c.Origin, "0123456789.") != "") {
		fmt.Fprintf(errs, "weldmast: --origin: %q is not a plain number of 0 or more\n", c.Origin)
		return exitUsage
	} else if c.Origin != "" {
		c.Origin = strconv.FormatFloat(price, 'f', -1, 64)
	}
	r, fault, err := config.PlanMigration(c.Old, migrate.OperatorValues{Weights: c.Weights, Load: c.Load, Origin: c.Origin})
	if err == nil && !c.DryRun {
		err = config.WriteNewFile(c.To, c.Old, r.Text)
	}
	if err != nil {
		fmt.Fprintf(errs, "weldmast: %v\n", err)
		return exitFailure
	}
	for _, l := range []struct {
		title string
		lines []string
	}{{"not carried over", r.Dropped}, {"carried over unchanged, not read by this program", r.CarriedUnread},
		{"carried over from the old deployment, to be reviewed", r.ToReview}, {"to be filled in", r.ToFillIn}} {
		fmt.Fprintf(out, "%s: %d\n", l.title, len(l.lines))
		for _, line := range l.lines {
			fmt.Fprintln(out, "  "+line)
		}
	}
	if fault != nil {
		fmt.Fprintf(out, "the check says: %v\n", fault)
	} else {
		fmt.Fprintln(out, "the check says: no faults")
	}
	if c.DryRun {
		fmt.Fprintf(out, "nothing is written; %s would be:\n%s", c.To, r.Text)
		return 0
	}
	fmt.Fprintf(out, "written: %s\n", c.To)
	return 0
}
