// This file owns what the dispatchers of an experiment are told: the settings in the operators' names, for both drivers.

package fleetmodel

import (
	"encoding/json"
	"fmt"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// us is a time as the settings have it.
func us(s Millis) int64 { return int64(s * 1000) }

type object = map[string]any

// Settings is the `settings` of one dispatcher's configuration.
func (x *Experiment) Settings(number int) map[string]any {
	d, n, k := &x.Dispatchers, &x.Network, &x.Workers
	var sites, kinds []string
	for s := range k.Sites {
		sites = append(sites, SiteName(s))
	}
	for _, kind := range x.Kinds {
		kinds = append(kinds, kind.Name)
	}
	var categories, tenants []any
	stretch, only := []float64{}, []int{}
	for _, c := range x.Categories {
		categories = append(categories, object{"name": c.Name, "expiry": us(c.Expiry), "due_time": us(c.DueTime),
			"semantics": map[string]string{"rerunnable": "repeatable", "ticketed": "by_key", "exclusive": "once"}[c.Repeat],
			"group":     c.Group, "window": us(c.TicketWindow), "credit": c.Credit})
		stretch = append(stretch, c.DuePerHint)
		only = append(only, -1)
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
	return object{"siblings": d.Count, "position": number, "granularity": us(d.RoundInterval), "discovery": discovery,
		"localities": sites, "locality": SiteName(number % k.Sites), "machine_types": kinds, "excess_credit": d.ExcessCredit,
		"allowed": object{"max_hand_offs": d.MaxHandOffs, "may_cancel": d.MayCancel, "second_copies": d.SecondCopies,
			"peers": d.PeerMessages && d.Count > 1, "retry_after": d.HonorPauses, "max_retry_after": us(d.MaxPause),
			"conn_idle": us(n.IdleTimeout), "connect_timeout": us(n.ConnectTimeout), "open_cap": d.MaxOpen},
		"safety": object{"answer_slack": us(d.AnswerSlack), "ask_within": us(d.AskWithin), "start_capacity": k.StartShare,
			"cold": us(k.WarmUp), "fall": us(k.OverloadWindow), "fall_multiple": k.OverloadFactor, "drain_grace": us(k.DrainGrace), "only_draining_binds": k.OnlyDrainingBinds},
		"family_info": object{"tells_start": k.ReportStart, "progress": us(k.ProgressInterval), "class_stretch": stretch,
			"class_kind": only},
		"realms": tenants, "categories": categories}
}

// Dispatch is the same as the decisions take it.
func (x *Experiment) DispatchSettings(number int, seed uint64) (dispatch.Settings, error) {
	text, err := json.Marshal(x.Settings(number))
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
