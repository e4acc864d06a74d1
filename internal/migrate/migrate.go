// Package migrate converts a configuration of shape 1 to one of shape 2, from text to text. It must never
// read or write a file, and each part of the input that is lost must be reported in a line of the result.
//
// In shape 1 each client has a dispatcher of its own, and the dispatchers may exchange messages as peers. In
// shape 2 a pool of dispatchers runs behind a load balancer and shares nothing, so the settings must say how
// load is reported and whether a fetch (a worker loading the data of a work item's key) has a price.
package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"weldmast/internal/settings"
)

// Shape is the value of the key "shape" in a configuration of shape 2, for a pool of dispatchers.
const Shape = 2

// OperatorValues are what only the operator knows of the new deployment. An empty value is left to be filled
// in.
type OperatorValues struct {
	Weights string // what the weights in the list of workers mean
	Load    string // how workers report their load
	Origin  string // price of a fetch for each work item, a number; 0 where keys cost nothing
}

// Result is a migrated configuration and the report about it. Each line of the report starts with the key
// that it is about.
type Result struct {
	Text          []byte
	Dropped       []string // not carried over, with the reason
	CarriedUnread []string // carried over unchanged, though this program doesn't read it
	ToReview      []string // carried over from the old deployment, for the operator to review
	ToFillIn      []string // missing values; the program doesn't start without them
}

// How the top-level keys, the limits and the settings are treated.
var (
	carriedKeys = []string{"name", "listen", "discovery", "ops", "seed", "limits", "settings", "shape"}
	droppedKeys = map[string]string{
		"peer_listen": "dispatchers of a pool do not speak to each other",
		"peers":       "dispatchers of a pool do not speak to each other",
		"peers_all":   "dispatchers of a pool do not speak to each other",
		"known":       "names workers of the old deployment; discovery tells the new ones",
	}
	limitKeys  = []string{"cores", "memory_mb", "sockets"}
	reviewKeys = []string{"siblings", "position", "localities", "locality", "machine_types", "categories", "realms", "allowed", "safety"}
)

// Plan converts a configuration of shape 1. The same input gives the same bytes.
func Plan(old []byte, given OperatorValues) (r Result, err error) {
	tree, err := decodeObject(old)
	if err != nil {
		return r, err
	}
	switch shape := tree["shape"]; shape {
	case nil, json.Number("1"):
	case json.Number(fmt.Sprint(Shape)):
		return r, fmt.Errorf("shape: is %d, the new one, already", Shape)
	default:
		return r, fmt.Errorf("shape: %v is none that this program knows", shape)
	}
	values, err := child(tree, "settings")
	if err != nil {
		return r, err
	}
	if len(values) == 0 {
		return r, errors.New("settings: is missing")
	}
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		reason, known := droppedKeys[key]
		if slices.Contains(carriedKeys, key) {
			continue
		} else if !known {
			reason = "not known to this program"
		}
		if tree[key] != nil || !known {
			r.Dropped = append(r.Dropped, key+": "+reason)
		}
		delete(tree, key)
	}
	if tree["limits"] != nil {
		l, err := child(tree, "limits")
		if err != nil {
			return r, err
		}
		for _, key := range slices.Sorted(maps.Keys(l)) {
			if !slices.Contains(limitKeys, key) {
				r.Dropped = append(r.Dropped, "limits."+key+": not known to this program")
				delete(l, key)
			}
		}
	}
	tree["shape"] = Shape
	objects := map[string]map[string]any{"": values}
	for _, key := range []string{"allowed", "prices", "load_info"} {
		if objects[key], err = child(values, key); err != nil {
			return r, fmt.Errorf("settings.%w", err)
		}
	}
	if objects["allowed"]["peers"] == true {
		r.Dropped = append(r.Dropped, "settings.allowed.peers: was true, is false: dispatchers of a pool do not speak to each other")
		objects["allowed"]["peers"] = false
	}
	for _, x := range []struct{ path, key, given, want string }{
		{"", "weights", given.Weights, "what the list's weights are: nominal, rough, none, live (--weights)"},
		{"load_info", "how", given.Load, "how workers report load: answers, probe, none (--load)"},
		{"prices", "origin", given.Origin, "price of a fetch for each work item, 0 where keys cost nothing (--origin)"},
	} {
		at := "settings." + x.key
		if x.path != "" {
			at = "settings." + x.path + "." + x.key
		}
		existing, value := objects[x.path][x.key], any(x.given)
		if x.key == "origin" {
			value = json.Number(x.given)
		}
		switch {
		case x.given != "" && existing != nil && fmt.Sprint(existing) != x.given:
			r.Dropped = append(r.Dropped, fmt.Sprintf("%s: was %v, is %v as told", at, existing, x.given))
			objects[x.path][x.key] = value
		case x.given != "":
			objects[x.path][x.key] = value
		case existing != nil:
			r.ToReview = append(r.ToReview, at)
		// null makes the program refuse to start until the value is filled in: a guess could be taken for a
		// known value
		default:
			objects[x.path][x.key] = nil
			r.ToFillIn = append(r.ToFillIn, at+": "+x.want)
		}
	}
	for _, key := range reviewKeys {
		if values[key] != nil {
			r.ToReview = append(r.ToReview, "settings."+key)
		}
	}
	r.Text, err = encode(tree)
	if err != nil {
		return r, err
	}
	text, err := json.Marshal(values)
	if err != nil {
		return r, fmt.Errorf("settings: %w", err)
	}
	flat, err := settings.ParseJSON(text)
	if err != nil {
		return r, fmt.Errorf("settings: %w", err)
	}
	for _, key := range settings.UnknownKeys(flat) {
		r.CarriedUnread = append(r.CarriedUnread, "settings."+key)
	}
	return r, nil
}

// decodeObject decodes one JSON object and keeps numbers as they are written. A duplicate key is an error, as
// one of its two values would be lost.
func decodeObject(text []byte) (map[string]any, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	tree, err := decodeValue(dec, "")
	if err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more text after the JSON object")
	}
	m, ok := tree.(map[string]any)
	if !ok {
		return nil, errors.New("is not a JSON object")
	}
	return m, nil
}

func decodeValue(dec *json.Decoder, path string) (any, error) {
	t, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("no JSON at byte %d: %w", dec.InputOffset(), err)
	}
	switch t {
	case json.Delim('{'):
		m := map[string]any{}
		for dec.More() {
			k, err := dec.Token()
			if err != nil {
				return nil, fmt.Errorf("no JSON at byte %d: %w", dec.InputOffset(), err)
			}
			at := path + fmt.Sprint(k)
			if _, twice := m[fmt.Sprint(k)]; twice {
				return nil, fmt.Errorf("%s: stands twice", at)
			}
			if m[fmt.Sprint(k)], err = decodeValue(dec, at+"."); err != nil {
				return nil, err
			}
		}
		t = m
	case json.Delim('['):
		l := []any{}
		for k := 0; dec.More(); k++ {
			x, err := decodeValue(dec, fmt.Sprintf("%s%d.", path, k))
			if err != nil {
				return nil, err
			}
			l = append(l, x)
		}
		t = l
	default:
		return t, nil
	}
	if _, err := dec.Token(); err != nil { // closing delimiter
		return nil, fmt.Errorf("no JSON at byte %d: %w", dec.InputOffset(), err)
	}
	return t, nil
}

// child returns the object at the key, and creates it if there is none.
func child(in map[string]any, key string) (map[string]any, error) {
	switch x := in[key].(type) {
	case nil:
		m := map[string]any{}
		in[key] = m
		return m, nil
	case map[string]any:
		return x, nil
	}
	return nil, fmt.Errorf("%s: is not an object", key)
}

func encode(tree map[string]any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(tree); err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	return b.Bytes(), nil
}
