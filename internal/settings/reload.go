// This file says which settings can change while the program runs.

package settings

import (
	"slices"

	"weldmast/internal/dispatch"
)

// InFlight is what a running program makes of other settings: those that can change between two rounds are the new
// ones, all else stays. Waits names, in order, what differs and waits for a restart. Where the lists of names are not the
// same, neither are their positions.
func MergeReloadable(now, next dispatch.Settings, sameNames bool) (s dispatch.Settings, waits []string) {
	s = now
	s.ExcessCredit, s.MaxHandOffs = next.ExcessCredit, next.MaxHandOffs
	s.MayCancel, s.MayAdviseRetryAfter, s.MaxRetryAfter = next.MayCancel, next.MayAdviseRetryAfter, next.MaxRetryAfter
	differ := func(name string, different bool) {
		if different {
			waits = append(waits, name)
		}
	}
	differ("granularity", now.RoundInterval != next.RoundInterval)
	differ("siblings", now.Dispatchers != next.Dispatchers)
	differ("position", now.Position != next.Position)
	differ("locality", now.Zone != next.Zone)
	differ("machine_types", now.Kinds != next.Kinds)
	differ("prices", now.PreferOwnZone != next.PreferOwnZone || now.KeyAffinity != next.KeyAffinity)
	differ("weights", now.LiveWeights != next.LiveWeights)
	differ("family_info", now.StartNotices != next.StartNotices || now.ProgressInterval != next.ProgressInterval)
	differ("discovery", now.DiscoveryOnRequest != next.DiscoveryOnRequest)
	differ("allowed.peers", now.MayNotifyPeers != next.MayNotifyPeers)
	differ("allowed.second_copies", now.SecondCopies != next.SecondCopies)
	differ("safety", now.AnswerSlack != next.AnswerSlack || now.DiscoveryAskWithin != next.DiscoveryAskWithin || now.OnlyDrainingBinds != next.OnlyDrainingBinds ||
		now.StartCapacity != next.StartCapacity || now.WarmUpTime != next.WarmUpTime || now.OverloadMultiple != next.OverloadMultiple || now.OverloadWindow != next.OverloadWindow ||
		now.DrainGrace != next.DrainGrace)
	if sameNames && len(now.Categories) == len(next.Categories) {
		s.Categories = slices.Clone(now.Categories)
		other := false
		for k, c := range next.Categories {
			s.Categories[k].DueTime, s.Categories[k].DueStretch, s.Categories[k].Credit = c.DueTime, c.DueStretch, c.Credit
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
func (n Names) Equal(o Names) bool {
	return slices.Equal(n.Categories, o.Categories) && slices.Equal(n.Tenants, o.Tenants) && slices.Equal(n.Zones, o.Zones) && slices.Equal(n.Kinds, o.Kinds)
}
