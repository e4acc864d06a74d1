// Command weldmast-voter is weldmast with the code of a fleet's voter linked in. It is otherwise identical.
package main

import (
	"os"

	"weldmast/internal/consensus"
	"weldmast/internal/fleetrpc"
	"weldmast/internal/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:], os.Stdout, os.Stderr, func(o program.VoterOptions) (fleetrpc.VoterService, error) {
		return consensus.Start(consensus.Options{Fleet: o.Fleet, Name: o.Name, Address: o.Address, Voters: o.Voters, Dir: o.Folder,
			Timing: o.Timing, AddressMap: o.AddressMap, RunID: o.Run, Seed: o.Seed, Clock: o.Clock.Now, UnixTime: o.Clock.UnixTime})
	}))
}
