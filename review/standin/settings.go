package main

// suvaSettings are those of a small deployment with the figures of suva-main: lists are pushed, second copies and five
// hand-offs are allowed.
func suvaSettings() object {
	return object{"siblings": 3, "position": 0, "granularity": 5000, "discovery": "push",
		"localities": []string{"here"}, "locality": "here", "machine_types": []string{"fast"},
		"allowed": object{"max_hand_offs": 5, "may_cancel": true, "second_copies": true, "peers": false, "retry_after": true, "max_retry_after": 2000000,
			"conn_idle": 15000000, "connect_timeout": 250000, "open_cap": 20000},
		"safety":      object{"answer_slack": 20000, "ask_within": 10000000, "start_capacity": 0.12, "cold": 23000000, "fall": 2000000, "fall_multiple": 3.0, "drain_grace": 500000},
		"family_info": object{"tells_start": true, "progress": 2000000, "class_stretch": []float64{2.0, 2.5}, "class_kind": []int{-1, -1}},
		"realms":      []object{{"name": "acme", "allowance_per_s": 1000.0}},
		"categories": []object{
			{"name": "thumb", "semantics": "repeatable", "due_time": 4000000, "expiry": 10000000, "credit": 2.0},
			{"name": "order", "semantics": "once", "due_time": 4000000, "expiry": 10000000, "credit": 10.0}}}
}
