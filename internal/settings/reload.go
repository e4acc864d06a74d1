// This file decides which settings can change while the program runs.

package settings

import (
	"slices"

	"weldmast/internal/dispatch"
)

// MergeReloadable returns the settings that a running program uses after a reload: those that can change
// between two rounds are taken from next, all others from current. needRestart names, in order, the settings
// that differ and take effect only after a restart. If sameNames is false, the positions in the lists of
// categories and tenants do not match, so these lists are not merged.
func MergeReloadable(current, next dispatch.Settings, sameNames bool) (s dispatch.Settings, needRestart []string) {
	s = current
	s.ExcessCredit, s.MaxHandOffs = next.ExcessCredit, next.MaxHandOffs
	s.MayCancel, s.MayPause, s.MaxPause = next.MayCancel, next.MayPause, next.MaxPause
	check := func(name string, different bool) {
		if different {
			needRestart = append(needRestart, name)
		}
	}
	check("granularity", current.Grain != next.Grain)
	check("siblings", current.Siblings != next.Siblings)
	check("position", current.Number != next.Number)
	check("locality", current.Zone != next.Zone)
	check("machine_types", current.Kinds != next.Kinds)
	check("prices", current.NearFirst != next.NearFirst || current.Keyed != next.Keyed)
	check("weights", current.LiveWeights != next.LiveWeights)
	check("family_info", current.TellsStart != next.TellsStart || current.Progress != next.Progress)
	check("discovery", current.MustAsk != next.MustAsk)
	check("allowed.peers", current.MayTell != next.MayTell)
	check("allowed.second_copies", current.SecondCopies != next.SecondCopies)
	check("safety", current.AnswerSlack != next.AnswerSlack || current.AskWithin != next.AskWithin || current.OnlyDraining != next.OnlyDraining ||
		current.StartShare != next.StartShare || current.Cold != next.Cold || current.FallMultiple != next.FallMultiple || current.Fall != next.Fall ||
		current.DrainGrace != next.DrainGrace)
	if sameNames && len(current.Categories) == len(next.Categories) {
		s.Categories = slices.Clone(current.Categories)
		differs := false
		for k, c := range next.Categories {
			s.Categories[k].Due, s.Categories[k].Stretch, s.Categories[k].Credit = c.Due, c.Stretch, c.Credit
			differs = differs || s.Categories[k] != c
		}
		check("categories", differs)
	} else {
		check("categories", true)
	}
	if sameNames && len(current.Tenants) == len(next.Tenants) {
		s.Tenants = slices.Clone(next.Tenants)
	} else {
		check("realms", true)
	}
	return s, needRestart
}

// Equal reports whether both sets of names are the same, in the same order.
func (n Names) Equal(o Names) bool {
	return slices.Equal(n.Categories, o.Categories) && slices.Equal(n.Tenants, o.Tenants) && slices.Equal(n.Zones, o.Zones) && slices.Equal(n.Kinds, o.Kinds)
}
