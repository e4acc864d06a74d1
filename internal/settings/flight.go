// This file says which settings can change while the program runs.

package settings

import (
	"slices"

	"weldmast/internal/dispatch"
)

// InFlight is what a running program makes of other settings: those that can change between two rounds are the new
// ones, all else stays. Waits names, in order, what differs and waits for a restart. Where the lists of names are not the
// same, neither are their positions.
func InFlight(now, next dispatch.Settings, sameNames bool) (s dispatch.Settings, waits []string) {
	s = now
	s.ExcessCredit, s.MaxHandOffs = next.ExcessCredit, next.MaxHandOffs
	s.MayCancel, s.MayPause, s.MaxPause = next.MayCancel, next.MayPause, next.MaxPause
	differ := func(name string, different bool) {
		if different {
			waits = append(waits, name)
		}
	}
	differ("granularity", now.Grain != next.Grain)
	differ("siblings", now.Siblings != next.Siblings)
	differ("position", now.Number != next.Number)
	differ("locality", now.Zone != next.Zone)
	differ("machine_types", now.Kinds != next.Kinds)
	differ("prices", now.NearFirst != next.NearFirst || now.Keyed != next.Keyed)
	differ("weights", now.LiveWeights != next.LiveWeights)
	differ("family_info", now.TellsStart != next.TellsStart || now.Progress != next.Progress)
	differ("discovery", now.MustAsk != next.MustAsk)
	differ("allowed.peers", now.MayTell != next.MayTell)
	differ("allowed.second_copies", now.SecondCopies != next.SecondCopies)
	differ("safety", now.AnswerSlack != next.AnswerSlack || now.AskWithin != next.AskWithin || now.OnlyDraining != next.OnlyDraining ||
		now.StartShare != next.StartShare || now.Cold != next.Cold || now.FallMultiple != next.FallMultiple || now.Fall != next.Fall ||
		now.DrainGrace != next.DrainGrace)
	if sameNames && len(now.Categories) == len(next.Categories) {
		s.Categories = slices.Clone(now.Categories)
		other := false
		for k, c := range next.Categories {
			s.Categories[k].Due, s.Categories[k].Stretch, s.Categories[k].Credit = c.Due, c.Stretch, c.Credit
			other = other || s.Categories[k] != c
		}
		differ("categories", other)
	} else {
		differ("categories", true)
	}
	if sameNames && len(now.Tenants) == len(next.Tenants) {
		s.Tenants = slices.Clone(next.Tenants)
	} else {
		differ("realms", true)
	}
	return s, waits
}

// Same tells whether two sets of names are alike, position by position.
func (n Names) Same(o Names) bool {
	return slices.Equal(n.Categories, o.Categories) && slices.Equal(n.Tenants, o.Tenants) && slices.Equal(n.Zones, o.Zones) && slices.Equal(n.Kinds, o.Kinds)
}
