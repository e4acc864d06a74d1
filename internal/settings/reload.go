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
	s.MayCancel, s.MayAdviseRetryAfter, s.MaxRetryAfter = next.MayCancel, next.MayAdviseRetryAfter, next.MaxRetryAfter
	check := func(name string, different bool) {
		if different {
			needRestart = append(needRestart, name)
		}
	}
	check("granularity", current.RoundInterval != next.RoundInterval)
	check("siblings", current.Dispatchers != next.Dispatchers)
	check("position", current.Position != next.Position)
	check("locality", current.Zone != next.Zone)
	check("machine_types", current.Kinds != next.Kinds)
	check("prices", current.PreferOwnZone != next.PreferOwnZone || current.KeyAffinity != next.KeyAffinity)
	check("weights", current.LiveWeights != next.LiveWeights)
	check("family_info", current.StartNotices != next.StartNotices || current.ProgressInterval != next.ProgressInterval)
	check("discovery", current.DiscoveryOnRequest != next.DiscoveryOnRequest)
	check("allowed.peers", current.MayNotifyPeers != next.MayNotifyPeers)
	check("allowed.second_copies", current.SecondCopies != next.SecondCopies)
	check("safety", current.AnswerSlack != next.AnswerSlack || current.DiscoveryAskWithin != next.DiscoveryAskWithin || current.OnlyDrainingBinds != next.OnlyDrainingBinds ||
		current.StartCapacity != next.StartCapacity || current.WarmUpTime != next.WarmUpTime || current.OverloadMultiple != next.OverloadMultiple || current.OverloadWindow != next.OverloadWindow ||
		current.DrainGrace != next.DrainGrace)
	if sameNames && len(current.Categories) == len(next.Categories) {
		s.Categories = slices.Clone(current.Categories)
		differs := false
		for k, c := range next.Categories {
			s.Categories[k].DueTime, s.Categories[k].DueStretch, s.Categories[k].Credit = c.DueTime, c.DueStretch, c.Credit
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
