// Package tomlfile reads TOML files that people write: the operator's file and the lab's experiments. It reports all
// that is wrong with a file at once, each fault with its line and key. It must never know what a key is for, nor read
// a file itself: it is given the text.
//
// A struct says what a file may hold, by field tags: toml (the key), min and max (bounds of a number or Span, both
// allowed values), oneof (allowed texts, parted by blanks) and need ("true": must be there). What the file leaves out
// keeps the value that the struct had; elements of a list are made with their Defaults, if they have that method.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Span is a time in milliseconds. In a file it is a number of milliseconds or a text such as "1.5s" or "2m".
type Millis float64

// Fault is one thing wrong in a file.
type Fault struct {
	Line    int    // from 1
	Key     string // with dots, positions in lists from 0; empty where the text is no TOML
	Message string
}

// Faults are all the faults of one file, by line.
type Faults struct {
	File string
	All  []Fault
}

// Error gives one line for each fault: file, line, key and what is wrong.
func (f *Faults) Error() string {
	var b strings.Builder
	for k, x := range f.All {
		if k > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: ", f.File, x.Line)
		if x.Key != "" {
			b.WriteString(x.Key + ": ")
		}
		b.WriteString(x.Message)
	}
	return b.String()
}

// Doc is one file being read.
type Doc struct {
	file   string
	tree   map[string]any
	lines  map[string]int
	faults []Fault
}

// Defaulter is an element of a list that has other defaults than zero.
type Defaulter interface{ Defaults() }

// Parse reads the text of the named file. What is no TOML at all shows in Err.
func Parse(file string, text []byte) *Doc {
	d := &Doc{file: file, lines: map[string]int{}}
	if err := toml.Unmarshal(text, &d.tree); err != nil {
		var at *toml.DecodeError
		line := 1
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		d.faults = append(d.faults, Fault{Line: line, Message: strings.TrimPrefix(err.Error(), "toml: ")})
		return d
	}
	d.findLines(text)
	return d
}

// findLines notes in which line each key stands.
func (d *Doc) findLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table, count := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		line := 0
		for k := e.Key(); k.Next(); {
			n := k.Node()
			path = append(path, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
		at := strings.Join(path, ".")
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = d.listPath(path, count)
			if e.Kind == unstable.ArrayTable {
				table = at + "." + strconv.Itoa(count[at])
				count[at]++
			}
			d.lines[table] = line
		case unstable.KeyValue:
			d.lines[joinKey(table, at)] = line
		}
	}
}

// inLists names a table below the newest element of each list on its way.
func (d *Doc) listPath(path []string, count map[string]int) string {
	plain, full := "", ""
	for _, part := range path {
		plain, full = joinKey(plain, part), joinKey(full, part)
		if n := count[plain]; n > 0 {
			full += "." + strconv.Itoa(n-1)
		}
	}
	return full
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Fault adds one that only the caller can see; key as in Fault.Key. Its line is the key's, or that of what holds it.
func (d *Doc) AddFault(key, format string, a ...any) {
	line, at := 1, key
	for at != "" {
		if l, ok := d.lines[at]; ok {
			line = l
			break
		}
		at = at[:max(strings.LastIndexByte(at, '.'), 0)]
	}
	d.faults = append(d.faults, Fault{line, key, fmt.Sprintf(format, a...)})
}

// Has tells whether the file says something under the key, a table or a value.
func (d *Doc) Has(key string) bool { _, ok := d.tree[key]; return ok }

// Err is nil, or a *Faults with all that was found so far.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Faults{d.file, d.faults}
}

// Decode fills the struct that into points at. Faults are kept for Err.
func (d *Doc) Decode(into any) {
	if len(d.faults) == 0 {
		d.decodeTable("", d.tree, reflect.ValueOf(into).Elem())
	}
}

func (d *Doc) decodeTable(path string, tree map[string]any, to reflect.Value) {
	known := map[string]bool{}
	for k := range to.NumField() {
		f := to.Type().Field(k)
		key := f.Tag.Get("toml")
		if key == "" {
			continue
		}
		known[key] = true
		switch x, present := tree[key]; {
		case present:
			d.decodeValue(joinKey(path, key), x, to.Field(k), f.Tag)
		case f.Tag.Get("need") == "true":
			d.AddFault(joinKey(path, key), "is missing")
		}
	}
	var unknown []string
	for key := range tree {
		if !known[key] {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		names := make([]string, 0, len(known))
		for name := range known {
			names = append(names, name)
		}
		slices.Sort(names)
		d.AddFault(joinKey(path, key), "is not known here; known are %s", strings.Join(names, ", "))
	}
}

var millisType = reflect.TypeFor[Millis]()

func (d *Doc) decodeValue(path string, x any, to reflect.Value, tag reflect.StructTag) {
	wrongType := func(want string) { d.AddFault(path, "is %s, wanted %s", typeName(x), want) }
	if to.Type() == millisType {
		switch x := x.(type) {
		case string:
			t, err := time.ParseDuration(x)
			if err != nil {
				d.AddFault(path, `%q is no time such as "1.5s" or "200ms"`, x)
				return
			}
			to.SetFloat(float64(t) / 1e6)
		case int64:
			to.SetFloat(float64(x))
		case float64:
			to.SetFloat(x)
		default:
			wrongType("a time")
			return
		}
		d.checkBounds(path, to.Float(), tag)
		return
	}
	switch to.Kind() {
	case reflect.Pointer: // a table that may be left out
		if tree, ok := x.(map[string]any); ok {
			to.Set(reflect.New(to.Type().Elem()))
			if v, ok := to.Interface().(Defaulter); ok {
				v.Defaults()
			}
			d.decodeTable(path, tree, to.Elem())
		} else {
			wrongType("a table")
		}
	case reflect.Struct:
		if tree, ok := x.(map[string]any); ok {
			d.decodeTable(path, tree, to)
		} else {
			wrongType("a table")
		}
	case reflect.Slice:
		list, ok := x.([]any)
		if !ok {
			wrongType("a list")
			return
		}
		to.Set(reflect.MakeSlice(to.Type(), len(list), len(list)))
		for k, y := range list {
			if v, ok := to.Index(k).Addr().Interface().(Defaulter); ok {
				v.Defaults()
			}
			d.decodeValue(path+"."+strconv.Itoa(k), y, to.Index(k), tag)
		}
	case reflect.String:
		text, ok := x.(string)
		if !ok {
			wrongType("a text")
			return
		}
		if allowed := strings.Fields(tag.Get("oneof")); len(allowed) > 0 && !slices.Contains(allowed, text) {
			d.AddFault(path, "%q is none of %s", text, strings.Join(allowed, ", "))
			return
		}
		to.SetString(text)
	case reflect.Bool:
		if b, ok := x.(bool); ok {
			to.SetBool(b)
		} else {
			wrongType("true or false")
		}
	case reflect.Int:
		if n, ok := x.(int64); ok {
			to.SetInt(n)
			d.checkBounds(path, float64(n), tag)
		} else {
			wrongType("a whole number")
		}
	case reflect.Float64:
		switch x := x.(type) {
		case int64:
			to.SetFloat(float64(x))
		case float64:
			to.SetFloat(x)
		default:
			wrongType("a number")
			return
		}
		d.checkBounds(path, to.Float(), tag)
	default:
		panic("tomlfile: no way to read a " + to.Type().String())
	}
}

func (d *Doc) checkBounds(path string, x float64, tag reflect.StructTag) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		d.AddFault(path, "%v is no number to work with", x)
		return
	}
	for _, b := range []struct{ name, than string }{{"min", "below"}, {"max", "above"}} {
		text := tag.Get(b.name)
		if text == "" {
			continue
		}
		bound, err := strconv.ParseFloat(text, 64)
		if err != nil {
			panic("tomlfile: " + path + ": " + err.Error())
		}
		if b.name == "min" && x < bound || b.name == "max" && x > bound {
			d.AddFault(path, "%v is %s %s", x, b.than, text)
		}
	}
}

func typeName(x any) string {
	switch x.(type) {
	case string:
		return "a text"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	}
	return fmt.Sprintf("a %T", x)
}
