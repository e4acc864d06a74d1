// This file turns an experiment into the settings of its dispatchers, under the names that operators use.
// Both drivers use it.

package fleetmodel

import (
	"encoding/json"
	"fmt"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// micros converts a time to the microseconds that the settings use.
func micros(s Millis) int64 { return int64(s * 1000) }

type object = map[string]any

// Settings returns the `settings` object of one dispatcher's configuration.
func (x *Experiment) Settings(index int) map[string]any {
	d, n, k := &x.Dispatchers, &x.Network, &x.Workers
	var sites, kinds []string
	for s := range k.Sites {
		sites = append(sites, SiteName(s))
	}
	for _, kind := range x.Kinds {
		kinds = append(kinds, kind.Name)
	}
	var categories, tenants []any
	stretches, classKinds := []float64{}, []int{}
	for _, c := range x.Categories {
		categories = append(categories, object{"name": c.Name, "expiry": micros(c.Expiry), "due_time": micros(c.DueTime),
			"semantics": map[string]string{"rerunnable": "repeatable", "ticketed": "by_key", "exclusive": "once"}[c.RepeatPolicy],
			"group":     c.DedupScope, "window": micros(c.DedupWindow), "credit": c.Credit})
		stretches = append(stretches, c.DueStretch)
		classKinds = append(classKinds, -1)
	}
	shares := 0.
	for _, t := range x.Tenants {
		shares += t.Share
	}
	for _, t := range x.Tenants {
		allowance := t.Allowance
		if allowance == 0 {
			allowance = 1.5 * x.ArrivalRate() * t.Share / shares
		}
		tenants = append(tenants, object{"name": t.Name, "allowance_per_s": allowance})
	}
	discovery := "push"
	if d.DiscoveryOnRequest {
		discovery = "ask"
	}
	return object{"siblings": d.Count, "position": index, "granularity": micros(d.RoundInterval), "discovery": discovery,
		"localities": sites, "locality": SiteName(index % k.Sites), "machine_types": kinds, "excess_credit": d.ExcessCredit,
		"allowed": object{"max_hand_offs": d.MaxHandOffs, "may_cancel": d.MayCancel, "second_copies": d.SecondCopies,
			"peers": d.PeerMessages && d.Count > 1, "retry_after": d.HonorRetryAfter, "max_retry_after": micros(d.MaxRetryAfter),
			"conn_idle": micros(n.IdleTimeout), "connect_timeout": micros(n.ConnectTimeout), "open_cap": d.MaxOpen},
		"safety": object{"answer_slack": micros(d.AnswerSlack), "ask_within": micros(d.DiscoveryAskWithin), "start_capacity": k.StartCapacity,
			"cold": micros(k.WarmUpTime), "fall": micros(k.OverloadWindow), "fall_multiple": k.OverloadMultiple, "drain_grace": micros(k.DrainGrace), "only_draining_binds": k.OnlyDrainingBinds},
		"family_info": object{"tells_start": k.ReportStart, "progress": micros(k.ProgressInterval), "class_stretch": stretches,
			"class_kind": classKinds},
		"realms": tenants, "categories": categories}
}

// DispatchSettings returns the same settings as the dispatch package takes them.
func (x *Experiment) DispatchSettings(index int, seed uint64) (dispatch.Settings, error) {
	text, err := json.Marshal(x.Settings(index))
	if err != nil {
		return dispatch.Settings{}, fmt.Errorf("settings: %w", err)
	}
	values, err := settings.ParseJSON(text)
	if err != nil {
		return dispatch.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, _, _, err := settings.Read(values, seed)
	if err != nil {
		return s, fmt.Errorf("settings.%w", err)
	}
	return s, nil
}
