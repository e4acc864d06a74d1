// Package program is the command line of a dispatcher and how its parts are put together, for the two builds of it. It must
// never decide, read a setting or speak a protocol.
package program

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"

	"weldmast/internal/config"
	"weldmast/internal/fleetagent"
	"weldmast/internal/fleetrpc"
	"weldmast/internal/logs"
)

// What the program ends with.
const (
	exitFailure = 1 // a fault of the configuration, or a start that failed
	exitUsage   = 2 // arguments that are none of ours
)

// arguments are the command line. Without any, it serves: the platform starts it so. Kong, which reads weldlab's, is not
// used here: it finds methods by their names, so the linker keeps all there are, and 3 MB more stay resident.
type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run one dispatcher until SIGTERM (this is what no command means)"`
	Check   *checkCommand   `arg:"subcommand:check" help:"read all that serve would read, tell every fault by line and key, start nothing"`
	Migrate *migrateCommand `arg:"subcommand:migrate" help:"write the counterpart of a configuration for a pool of dispatchers, tell what could not be carried over"`
	Fleet   *fleetCommand   `arg:"subcommand:fleet" help:"ask a fleet how it stands, publish a version to it, shut a member out or admit it"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version and what it was built with"`
}

// Description stands at the head of the help.
func (arguments) Description() string { return description }

// files is what serve and check read.
type files struct {
	File string `arg:"-f,--file" placeholder:"PATH" help:"the operator's own file (TOML); WELDMAST_FILE names it as well. None: everything beyond plain dispatching is off"`
}

type (
	serveCommand   struct{ files }
	checkCommand   struct{ files }
	versionCommand struct{}
)

const description = `A dispatcher beside each submitter: it takes jobs from clients and pushes them to workers.

ROUTER_CONFIG names its configuration (JSON); ROUTER_NAME, ROUTER_LISTEN, ROUTER_OPS and ROUTER_DISCOVERY go before what
that says.
Ends with 0 when all is well, 1 for a fault, 2 for arguments that it does not know.`

// Voting starts the part of a process that votes; nil in its place: this build has none.
type StartVoter func(o VoterOptions) (fleetrpc.VoterService, error)

// VotingOptions say which voter it is.
type VoterOptions struct {
	config.Membership
	Address string
	Run     string
	Seed    uint64
	Clock   fleetagent.Clock
}

// Run carries out a command line and tells what to end with.
func Run(args []string, out, errs io.Writer, startVoter StartVoter) int {
	if len(args) == 0 { // the platform's way: as little as can be stands between it and its sockets
		return reportExit((&serveCommand{}).run(errs, startVoter), errs)
	}
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "weldmast", Out: errs}, &a)
	if err != nil {
		return reportExit(fmt.Errorf("command line: %w", err), errs)
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := p.WriteHelpForSubcommand(out, p.SubcommandNames()...); err != nil {
			return reportExit(fmt.Errorf("help: %w", err), errs)
		}
		return 0
	case err != nil:
		fmt.Fprintf(errs, "weldmast: %v\nweldmast --help tells what there is.\n", err)
		return exitUsage
	}
	switch {
	case a.Check != nil:
		return a.Check.run(out, errs)
	case a.Migrate != nil:
		return a.Migrate.run(out, errs)
	case a.Fleet != nil:
		return a.Fleet.run(p, out, errs)
	case a.Version != nil:
		printVersion(out)
		return 0
	}
	return reportExit(a.Serve.run(errs, startVoter), errs)
}

// ended logs why serving ended, if for a fault.
func reportExit(err error, errs io.Writer) int {
	if err == nil {
		return 0
	}
	l := slog.New(logs.Handler(logs.New(errs, time.Now), slog.LevelInfo))
	for _, line := range config.ErrorLines(err) {
		l.Error("fatal", "fatal", line)
	}
	return exitFailure
}

// run of check prints each fault on a line of its own.
func (c *checkCommand) run(out, errs io.Writer) int {
	_, operatorErr := config.LoadOperatorFile(c.File, os.Getenv)
	var configErr error
	var unserved []string
	configSet := os.Getenv("ROUTER_CONFIG") != ""
	if configSet {
		var l loaded
		if l, configErr = load(); configErr != nil {
			configErr = fmt.Errorf("ROUTER_CONFIG: %w", configErr)
		}
		unserved = l.Unserved
	}
	faults := 0
	for _, err := range []error{operatorErr, configErr} {
		if err != nil {
			for _, line := range config.ErrorLines(err) {
				fmt.Fprintln(errs, line)
				faults++
			}
		}
	}
	if faults > 0 {
		fmt.Fprintf(errs, "faults: %d\n", faults)
		return exitFailure
	}
	if !configSet {
		fmt.Fprintln(out, "ROUTER_CONFIG is not set: only the operator's file was looked at")
	}
	for _, note := range unserved {
		fmt.Fprintln(out, "not served: "+note)
	}
	fmt.Fprintln(out, "no faults")
	return 0
}

// version prints what is known of the build.
func printVersion(out io.Writer) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{GoVersion: "unknown"}
	}
	fmt.Fprintf(out, "weldmast %s %s\n", release, info.GoVersion)
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
			fmt.Fprintf(out, "%s %s\n", s.Key, s.Value)
		}
	}
}

// release is that of CHANGELOG.md.
const release = "0.2.0"
