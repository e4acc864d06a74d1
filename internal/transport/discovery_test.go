package transport

import (
	"testing"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// TestMemberPlace guards against a zone that the settings do not name, or a cell that is not listed, being
// read as a known one.
func TestMemberPlace(t *testing.T) {
	for fields, want := range map[string]dispatch.Place{
		`"locality":"here","cell":0`:  {Zone: "here", Cell: 0},
		`"locality":"there","cell":3`: {Zone: "there", Cell: 3},
		`"locality":"here"`:           {Zone: "here", Cell: dispatch.UnknownCell},
		`"cell":null`:                 dispatch.UnknownPlace,
		`"cell":-7`:                   dispatch.UnknownPlace,
	} {
		text := `{"revision":1,"complete":true,"members":[{"id":"w1","host_port":"127.0.0.1:1","flavor":"twin","phase":"in_service",` + fields + `}]}`
		list, err := DecodeDiscoveryUpdate([]byte(text), settings.Names{Zones: []string{"here"}, Kinds: []string{"twin"}})
		if err != nil || len(list.Members) != 1 {
			t.Fatalf("%s: %v, %d members", fields, err, len(list.Members))
		}
		if got := list.Members[0].Place(); got != want {
			t.Errorf("%s: %+v, want %+v", fields, got, want)
		}
	}
}
