// Command weldmast runs one dispatcher. It can follow a fleet; a voter needs weldmast-voter, as the code that
// is linked in for voting would cost every dispatcher memory.
package main

import (
	"io"
	"os"

	"weldmast/internal/program"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int { return program.Run(args, out, errs, nil) }
