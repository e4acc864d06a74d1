// Package tomlfile reads TOML files that people write: the operator's file and the lab's experiments. It
// reports all faults of a file at once, each with its line and key. It must never know what a key means, nor
// read a file itself: it is given the text.
//
// A struct describes the file by field tags: toml (the key), min and max (inclusive bounds of a number or
// Millis), oneof (allowed texts, separated by blanks) and need ("true": required). Keys that the file leaves
// out keep the values that the struct had. List elements and optional tables (pointers) are created when the
// file has them; they start with the values that their Defaults method sets, if they have one.
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

// Millis is a time in milliseconds. In a file it is a number of milliseconds or a text such as "1.5s" or
// "2m".
type Millis float64

// Fault is one error in a file.
type Fault struct {
	Line    int    // from 1
	Key     string // parts separated by dots, list indexes from 0; empty if the text is not valid TOML
	Message string
}

// Faults are all faults of one file, by line. It implements error.
type Faults struct {
	File string
	All  []Fault
}

// Error returns one line for each fault: file, line, key and message.
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

// Doc is a parsed file together with the faults found so far.
type Doc struct {
	file   string
	tree   map[string]any
	lines  map[string]int
	faults []Fault
}

// Defaulter is implemented by list elements and optional tables (pointers) whose defaults are not the zero
// values. Decode doesn't call Defaults for a table that is a plain struct.
type Defaulter interface{ Defaults() }

// Parse parses the text of the named file. If it is not valid TOML, Err returns the fault.
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

// findLines records the line of each key.
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

// listPath returns the path of a table, with the index of the latest element after each list on the path.
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

// AddFault adds a fault that only the caller can detect; key is as in Fault.Key. The line is that of the key,
// or of the nearest enclosing table that the file has.
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

// Has reports whether the file has the top-level key, as a table or a value.
func (d *Doc) Has(key string) bool { _, ok := d.tree[key]; return ok }

// Err returns nil, or a *Faults with all faults found so far.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Faults{d.file, d.faults}
}

// Decode fills the struct that into points at. It adds the faults that it finds to those that Err returns. If
// there are faults already, as after a failed Parse, it does nothing.
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
				d.AddFault(path, `%q is not a time such as "1.5s" or "200ms"`, x)
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
	case reflect.Pointer: // an optional table
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
		panic("tomlfile: unsupported type " + to.Type().String())
	}
}

func (d *Doc) checkBounds(path string, x float64, tag reflect.StructTag) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		d.AddFault(path, "%v is not a finite number", x)
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
