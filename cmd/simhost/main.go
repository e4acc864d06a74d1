// Command simhost runs dispatchers on the simulator's text protocol, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"weldmast/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
