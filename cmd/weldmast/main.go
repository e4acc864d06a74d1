// Command weldmast is one dispatcher on sockets. It can follow a fleet; to vote in one takes weldmast-voter, as what that
// links would cost every dispatcher memory.
package main

import (
	"io"
	"os"

	"weldmast/internal/program"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int { return program.Run(args, out, errs, nil) }
