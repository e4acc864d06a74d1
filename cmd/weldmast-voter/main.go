// Command weldmast-voter is weldmast with the part linked in that votes in a fleet's council; all else is alike.
package main

import (
	"os"

	"weldmast/internal/council"
	"weldmast/internal/fleetlink"
	"weldmast/internal/program"
)

func main() {
	os.Exit(program.Run(os.Args[1:], os.Stdout, os.Stderr, func(o program.VotingOptions) (fleetlink.Council, error) {
		return council.Start(council.Options{Fleet: o.Fleet, Name: o.Name, Address: o.Address, Voters: o.Voters, Folder: o.Folder,
			Figures: o.Figures, Via: o.Via, Run: o.Run, Seed: o.Seed, Clock: o.Clock.Now, Unix: o.Clock.Unix})
	}))
}
