// Package simwire hosts dispatchers on the simulator's text wire. It turns lines into calls on
// each dispatcher and its decisions into lines, and keeps the instances apart: they share nothing.
package simwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// event is one line kept for the round; list is set for discovery only.
type event struct {
	start, end int // in the batch's text
	line       int
	list       []record
}

// record is one entry of a numbered list, its names not yet resolved.
type record struct {
	worker, zone, kind string
	entry              dispatch.Entry
}

// instance is one dispatcher with the names its settings gave and its part of the batch.
type instance struct {
	num    int64
	d      *dispatch.Dispatcher
	names  names
	host   *host
	events []event
	queued bool
	err    error
}

type host struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int
	text    []byte // the lines of the batch that instances will read
	lists   [16][]record
	insts   map[int64]*instance
	turn    []*instance // those with something in this batch, in order of arrival
	f       fields
	scratch []byte
	entries []dispatch.Entry
}

// Serve answers batches until the input ends. An error names the line and what is wrong with it.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		insts: map[int64]*instance{}}
	for {
		more, err := h.batch()
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if !more {
			return nil
		}
	}
}

// next reads one line without its end; io.EOF only at a clean end.
func (h *host) next() ([]byte, error) {
	line, err := h.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		h.scratch = append(h.scratch[:0], line...)
		for err == bufio.ErrBufferFull {
			line, err = h.in.ReadSlice('\n')
			h.scratch = append(h.scratch, line...)
		}
		line = h.scratch
	}
	if err == io.EOF && len(line) == 0 {
		return nil, io.EOF
	}
	h.line++
	if err == io.EOF {
		return nil, fmt.Errorf("input ends inside a line")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

func (h *host) batch() (bool, error) {
	line, err := h.next()
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(line) == 0 {
		return true, nil
	}
	f := &h.f
	f.split(line)
	if f.name() != "clock" {
		return false, fmt.Errorf("want clock, got %q", f.name())
	}
	now, seq := f.time("sim_time"), f.int("batch")
	if f.err != nil {
		return false, f.err
	}
	h.text = h.text[:0]
	for {
		if line, err = h.next(); err == io.EOF {
			return false, fmt.Errorf("input ends inside a batch")
		}
		if err != nil {
			return false, err
		}
		f.split(line)
		if f.name() == "commit" {
			break
		}
		if err = h.sort(line); err != nil {
			return false, err
		}
	}
	for _, n := range h.turn {
		n.queued = false
		if n.d == nil {
			continue
		}
		n.round(now)
		if n.err != nil {
			return false, n.err
		}
	}
	h.turn = h.turn[:0]
	h.out.WriteString("done\tbatch=")
	h.int(seq)
	h.out.WriteByte('\n')
	return true, h.out.Flush()
}

// sort files one line of a batch under its instance. Lists are resolved here, in event order: a
// number may be given anew later in the same batch.
func (h *host) sort(line []byte) error {
	f := &h.f
	if f.name() == "inventory" {
		return h.inventory()
	}
	num := f.int("i")
	if f.err != nil {
		return f.err
	}
	n := h.insts[num]
	switch f.name() {
	case "configure":
		n = &instance{num: num, host: h}
		settings, err := n.configure(f)
		if err != nil {
			return err
		}
		n.d = dispatch.New(settings)
		if old := h.insts[num]; old != nil && old.queued {
			old.d = nil
		}
		h.insts[num] = n
		n.wake()
		return nil
	case "power_off":
		if n == nil {
			return fmt.Errorf("instance %d was never configured", num)
		}
		n.d, n.events = nil, n.events[:0]
		return nil
	}
	if n == nil || n.d == nil {
		return fmt.Errorf("instance %d is not configured", num)
	}
	ev := event{start: len(h.text), line: h.line}
	if f.name() == "discovery" && f.has("set_id") {
		set := f.int("set_id")
		if f.err == nil && (set < 0 || set >= int64(len(h.lists))) {
			f.fail("set_id", "is not 0 to 15")
		}
		if f.err != nil {
			return f.err
		}
		ev.list = h.lists[set]
	}
	h.text = append(h.text, line...)
	ev.end = len(h.text)
	n.events = append(n.events, ev)
	n.wake()
	return nil
}

// configure reads the pairs that follow the line's own fields.
func (n *instance) configure(f *fields) (dispatch.Settings, error) {
	seed := f.id("nonce64")
	if f.err != nil {
		return dispatch.Settings{}, f.err
	}
	values, err := settings.ParseFlat(f.parts)
	if err != nil {
		return dispatch.Settings{}, fmt.Errorf("%s: %w", f.head, err)
	}
	s, names, _, err := settings.Read(values, seed)
	if err != nil {
		return s, fmt.Errorf("%s: %w", f.head, err)
	}
	n.names.Names = names
	return s, nil
}

func (n *instance) wake() {
	if !n.queued {
		n.queued = true
		n.host.turn = append(n.host.turn, n)
	}
}

// inventory reads a numbered list; each new one is a list of its own, so that earlier
// references to the number keep what they meant.
func (h *host) inventory() error {
	f := &h.f
	set, count := f.int("set_id"), f.int("records")
	if f.err == nil && (set < 0 || set >= int64(len(h.lists)) || count < 0) {
		f.fail("set_id", "or records is out of range")
	}
	if f.err != nil {
		return f.err
	}
	var list []record
	for range count {
		line, err := h.next()
		if err == io.EOF {
			return fmt.Errorf("input ends inside a list")
		}
		if err != nil {
			return err
		}
		f.split(line)
		if f.name() != "m" {
			return fmt.Errorf("want a list entry m, got %q", f.name())
		}
		r := record{worker: string(f.text("worker")), zone: string(f.opt("locality")),
			kind: string(f.opt("machine"))}
		r.entry = dispatch.Entry{Worker: r.worker, Cell: int(f.intOr("stripe", 0)),
			Since: f.timeOr("up_since", 0), Weight: f.numOr("rating", 0)}
		switch state := string(f.text("state")); state {
		case "up":
		case "draining":
			r.entry.State = dispatch.Draining
		case "removed":
			r.entry.State = dispatch.Gone
		default:
			f.fail("state", "is unknown")
		}
		if f.err != nil {
			return f.err
		}
		list = append(list, r)
	}
	h.lists[set] = list
	return nil
}

// round runs one round; a failure inside the module becomes a fault with its text.
func (n *instance) round(now float64) {
	defer func() {
		if p := recover(); p != nil {
			n.begin("fault")
			n.host.out.WriteString("\tmsg=")
			for _, c := range []byte(fmt.Sprint(p)) {
				if c < ' ' {
					c = ' '
				}
				n.host.out.WriteByte(c)
			}
			n.end()
		}
	}()
	n.d.Round(now, n, n)
	n.events = n.events[:0]
}

// Deliver calls the dispatcher for each line that came in.
func (n *instance) Deliver(d dispatch.EventHandler) {
	f := &n.host.f
	for _, ev := range n.events {
		n.host.line = ev.line
		f.split(n.host.text[ev.start:ev.end])
		if n.one(d, f, ev); f.err != nil {
			n.err = f.err
			return
		}
	}
}

func (n *instance) one(d dispatch.EventHandler, f *fields, ev event) {
	switch f.name() {
	case "req":
		wi := dispatch.WorkItem{ID: f.id("job"), Category: n.names.category(f),
			Tenant: find(n.names.Tenants, f.opt("realm")), TimeLeft: f.time("time_left"),
			Hint: f.timeOr("predicted", 0), Key: string(f.opt("partition_key"))}
		if f.err == nil {
			d.Arrived(wi)
		}
	case "reply":
		a := dispatch.HandOffResult{WI: f.id("job"), HO: int(f.int("shot")), Elapsed: f.time("spent"),
			Final: f.intOr("final", 0) == 1, Load: n.names.load(f), Outcome: outcome(f)}
		f.text("worker")
		if f.err == nil {
			d.HandOffEnded(a)
		}
	case "notice":
		wi, ho, what, level := f.id("job"), f.int("shot"), f.int("what"), f.numOr("level", 0)
		f.text("worker")
		if f.err == nil && (what == 1 || what == 2) {
			d.HandOffProgressed(wi, int(ho), what == 1, level)
		}
	case "ack_first":
		wi, ho := f.id("job"), f.int("shot")
		f.text("worker")
		if f.err == nil {
			d.ResponseStarted(wi, int(ho))
		}
	case "client_left":
		if wi := f.id("job"); f.err == nil {
			d.ClientLeft(wi)
		}
	case "timeout_fired":
		f.id("handle") // the round that it causes is all it is for
	case "checked":
		// No probe is ever sent; what would answer one is only read.
		f.text("worker")
		outcome(f)
	case "heard":
		from, data := f.int("src_peer"), f.hex("contents")
		if f.err == nil {
			d.PeerMessageReceived(int(from), data)
		}
	case "discovery":
		n.listed(d, f, ev.list)
	default:
		f.err = fmt.Errorf("unknown message %q", f.name())
	}
}

func (n *instance) listed(d dispatch.EventHandler, f *fields, list []record) {
	var form dispatch.ListType
	switch kind := string(f.text("form")); kind {
	case "update":
		form = dispatch.ListChanges
	case "replace":
		form = dispatch.ListComplete
	case "restored":
		form = dispatch.ListRestored
	case "unavailable":
		form, list = dispatch.ListUnavailable, nil
	default:
		f.fail("form", "is unknown")
	}
	if form != dispatch.ListUnavailable {
		f.text("set_id")
	}
	if f.err != nil {
		return
	}
	entries := n.host.entries[:0]
	for _, r := range list {
		e := r.entry
		e.Zone, e.Kind = find(n.names.Zones, []byte(r.zone)), find(n.names.Kinds, []byte(r.kind))
		entries = append(entries, e)
	}
	n.host.entries = entries
	d.Listed(form, entries)
}
