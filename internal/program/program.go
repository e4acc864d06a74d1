// Package program implements the command line of a dispatcher and assembles its components, for both builds
// (with and without a voter). It must never make dispatching decisions, interpret a setting or implement a
// protocol.
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

// Exit codes.
const (
	exitFailure = 1 // a fault in the configuration, or a failed start
	exitUsage   = 2 // unknown arguments
)

// arguments are the command line. Without any, the program serves: the platform starts it that way. Kong,
// which parses weldlab's command line, is not used here: it looks up methods by name, so the linker keeps all
// methods, which costs 3 MB of resident memory.
type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run one dispatcher until SIGTERM (this is what no command means)"`
	Check   *checkCommand   `arg:"subcommand:check" help:"read all that serve would read, tell every fault by line and key, start nothing"`
	Migrate *migrateCommand `arg:"subcommand:migrate" help:"write the counterpart of a configuration for a pool of dispatchers, tell what could not be carried over"`
	Fleet   *fleetCommand   `arg:"subcommand:fleet" help:"ask a fleet how it stands, publish a version to it, shut a member out or admit it"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version and what it was built with"`
}

// Description is the introduction of the help text.
func (arguments) Description() string { return description }

// files are the flags that serve and check share.
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

// StartVoter starts a voter of the fleet in this process. It is nil in a build that cannot vote.
type StartVoter func(o VoterOptions) (fleetrpc.VoterService, error)

// VoterOptions identify the voter and its fleet.
type VoterOptions struct {
	config.Membership
	Address string
	Run     string
	Seed    uint64
	Clock   fleetagent.Clock
}

// Run executes a command line and returns the exit code. startVoter may be nil.
func Run(args []string, out, errs io.Writer, startVoter StartVoter) int {
	// the platform starts the program this way; parsing is skipped so that the sockets open as soon as
	// possible
	if len(args) == 0 {
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

// reportExit logs the fault that ended serving, if any, and returns the exit code.
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

// run prints each fault on a line of its own.
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

// printVersion prints the release and the build information.
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

// release is the version of this program, as in CHANGELOG.md.
const release = "0.2.0"
