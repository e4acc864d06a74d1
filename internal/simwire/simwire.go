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
	workers    []listEntry
}

// record is one entry of a numbered list, its names not yet resolved.
type listEntry struct {
	worker, zone, kind string
	entry              dispatch.Entry
}

// instance is one dispatcher with the names its settings gave and its part of the batch.
type instance struct {
	id         int64
	dispatcher *dispatch.Dispatcher
	names      nameLists
	host       *host
	events     []event
	queued     bool
	err        error
}

type host struct {
	in          *bufio.Reader
	out         *bufio.Writer
	lineNumber  int
	batchText   []byte // the lines of the batch that instances will read
	workerLists [16][]listEntry
	instances   map[int64]*instance
	active      []*instance // those with something in this batch, in order of arrival
	msg         message
	longLine    []byte
	entries     []dispatch.Entry
}

// Serve answers batches until the input ends. An error names the line and what is wrong with it.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		instances: map[int64]*instance{}}
	for {
		more, err := h.runBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", h.lineNumber, err)
		}
		if !more {
			return nil
		}
	}
}

// next reads one line without its end; io.EOF only at a clean end.
func (h *host) readLine() ([]byte, error) {
	line, err := h.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		h.longLine = append(h.longLine[:0], line...)
		for err == bufio.ErrBufferFull {
			line, err = h.in.ReadSlice('\n')
			h.longLine = append(h.longLine, line...)
		}
		line = h.longLine
	}
	if err == io.EOF && len(line) == 0 {
		return nil, io.EOF
	}
	h.lineNumber++
	if err == io.EOF {
		return nil, fmt.Errorf("input ends inside a line")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

func (h *host) runBatch() (bool, error) {
	line, err := h.readLine()
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(line) == 0 {
		return true, nil
	}
	f := &h.msg
	f.split(line)
	if f.name() != "clock" {
		return false, fmt.Errorf("want clock, got %q", f.name())
	}
	now, seq := f.time("sim_time"), f.int("batch")
	if f.err != nil {
		return false, f.err
	}
	h.batchText = h.batchText[:0]
	for {
		if line, err = h.readLine(); err == io.EOF {
			return false, fmt.Errorf("input ends inside a batch")
		}
		if err != nil {
			return false, err
		}
		f.split(line)
		if f.name() == "commit" {
			break
		}
		if err = h.enqueue(line); err != nil {
			return false, err
		}
	}
	for _, n := range h.active {
		n.queued = false
		if n.dispatcher == nil {
			continue
		}
		n.runRound(now)
		if n.err != nil {
			return false, n.err
		}
	}
	h.active = h.active[:0]
	h.out.WriteString("done\tbatch=")
	h.putInt(seq)
	h.out.WriteByte('\n')
	return true, h.out.Flush()
}

// sort files one line of a batch under its instance. Lists are resolved here, in event order: a
// number may be given anew later in the same batch.
func (h *host) enqueue(line []byte) error {
	f := &h.msg
	if f.name() == "inventory" {
		return h.readInventory()
	}
	id := f.int("i")
	if f.err != nil {
		return f.err
	}
	n := h.instances[id]
	switch f.name() {
	case "configure":
		n = &instance{id: id, host: h}
		settings, err := n.configure(f)
		if err != nil {
			return err
		}
		n.dispatcher = dispatch.New(settings)
		if old := h.instances[id]; old != nil && old.queued {
			old.dispatcher = nil
		}
		h.instances[id] = n
		n.activate()
		return nil
	case "power_off":
		if n == nil {
			return fmt.Errorf("instance %d was never configured", id)
		}
		n.dispatcher, n.events = nil, n.events[:0]
		return nil
	}
	if n == nil || n.dispatcher == nil {
		return fmt.Errorf("instance %d is not configured", id)
	}
	ev := event{start: len(h.batchText), line: h.lineNumber}
	if f.name() == "discovery" && f.has("set_id") {
		set := f.int("set_id")
		if f.err == nil && (set < 0 || set >= int64(len(h.workerLists))) {
			f.fail("set_id", "is not 0 to 15")
		}
		if f.err != nil {
			return f.err
		}
		ev.workers = h.workerLists[set]
	}
	h.batchText = append(h.batchText, line...)
	ev.end = len(h.batchText)
	n.events = append(n.events, ev)
	n.activate()
	return nil
}

// configure reads the pairs that follow the line's own fields.
func (n *instance) configure(f *message) (dispatch.Settings, error) {
	seed := f.id("nonce64")
	if f.err != nil {
		return dispatch.Settings{}, f.err
	}
	values, err := settings.ParseFlat(f.fields)
	if err != nil {
		return dispatch.Settings{}, fmt.Errorf("%s: %w", f.rawName, err)
	}
	s, names, _, err := settings.Read(values, seed)
	if err != nil {
		return s, fmt.Errorf("%s: %w", f.rawName, err)
	}
	n.names.Names = names
	return s, nil
}

func (n *instance) activate() {
	if !n.queued {
		n.queued = true
		n.host.active = append(n.host.active, n)
	}
}

// inventory reads a numbered list; each new one is a list of its own, so that earlier
// references to the number keep what they meant.
func (h *host) readInventory() error {
	f := &h.msg
	set, count := f.int("set_id"), f.int("records")
	if f.err == nil && (set < 0 || set >= int64(len(h.workerLists)) || count < 0) {
		f.fail("set_id", "or records is out of range")
	}
	if f.err != nil {
		return f.err
	}
	var list []listEntry
	for range count {
		line, err := h.readLine()
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
		r := listEntry{worker: string(f.required("worker")), zone: string(f.optional("locality")),
			kind: string(f.optional("machine"))}
		r.entry = dispatch.Entry{Worker: r.worker, Cell: int(f.intOr("stripe", 0)),
			Since: f.timeOr("up_since", 0), Weight: f.numOr("rating", 0)}
		switch state := string(f.required("state")); state {
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
	h.workerLists[set] = list
	return nil
}

// round runs one round; a failure inside the module becomes a fault with its text.
func (n *instance) runRound(now float64) {
	defer func() {
		if p := recover(); p != nil {
			n.beginLine("fault")
			n.host.out.WriteString("\tmsg=")
			for _, c := range []byte(fmt.Sprint(p)) {
				if c < ' ' {
					c = ' '
				}
				n.host.out.WriteByte(c)
			}
			n.endLine()
		}
	}()
	n.dispatcher.Round(now, n, n)
	n.events = n.events[:0]
}

// Deliver calls the dispatcher for each line that came in.
func (n *instance) Deliver(d dispatch.EventHandler) {
	f := &n.host.msg
	for _, ev := range n.events {
		n.host.lineNumber = ev.line
		f.split(n.host.batchText[ev.start:ev.end])
		if n.handle(d, f, ev); f.err != nil {
			n.err = f.err
			return
		}
	}
}

func (n *instance) handle(d dispatch.EventHandler, f *message, ev event) {
	switch f.name() {
	case "req":
		wi := dispatch.WorkItem{ID: f.id("job"), Category: n.names.category(f),
			Tenant: indexOf(n.names.Tenants, f.optional("realm")), TimeLeft: f.time("time_left"),
			Hint: f.timeOr("predicted", 0), Key: string(f.optional("partition_key"))}
		if f.err == nil {
			d.Arrived(wi)
		}
	case "reply":
		a := dispatch.HandOffResult{WI: f.id("job"), HO: int(f.int("shot")), Elapsed: f.time("spent"),
			Final: f.intOr("final", 0) == 1, Load: n.names.loadReport(f), Outcome: outcome(f)}
		f.required("worker")
		if f.err == nil {
			d.HandOffEnded(a)
		}
	case "notice":
		wi, ho, what, level := f.id("job"), f.int("shot"), f.int("what"), f.numOr("level", 0)
		f.required("worker")
		if f.err == nil && (what == 1 || what == 2) {
			d.HandOffProgressed(wi, int(ho), what == 1, level)
		}
	case "ack_first":
		wi, ho := f.id("job"), f.int("shot")
		f.required("worker")
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
		f.required("worker")
		outcome(f)
	case "heard":
		from, data := f.int("src_peer"), f.hex("contents")
		if f.err == nil {
			d.PeerMessageReceived(int(from), data)
		}
	case "discovery":
		n.handleDiscovery(d, f, ev.workers)
	default:
		f.err = fmt.Errorf("unknown message %q", f.name())
	}
}

func (n *instance) handleDiscovery(d dispatch.EventHandler, f *message, list []listEntry) {
	var form dispatch.ListType
	switch kind := string(f.required("form")); kind {
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
		f.required("set_id")
	}
	if f.err != nil {
		return
	}
	entries := n.host.entries[:0]
	for _, r := range list {
		e := r.entry
		e.Zone, e.Kind = indexOf(n.names.Zones, []byte(r.zone)), indexOf(n.names.Kinds, []byte(r.kind))
		entries = append(entries, e)
	}
	n.host.entries = entries
	d.Listed(form, entries)
}
