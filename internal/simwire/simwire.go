// Package simwire runs dispatchers on the simulator's text protocol. It turns input lines into calls on each
// dispatcher, and the dispatcher's decisions into output lines. Instances share no state.
package simwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"weldmast/internal/dispatch"
	"weldmast/internal/settings"
)

// event is one line stored until the instance's round. workers is set for discovery events only.
type event struct {
	start, end int // offsets in session.batchText
	line       int
	workers    []listEntry
}

// listEntry is one entry of a numbered worker list. Its zone and kind are not yet resolved to indexes.
type listEntry struct {
	worker, zone, kind string
	entry              dispatch.Entry
}

// instance is one dispatcher, with the names from its settings and its events of the current batch.
type instance struct {
	id         int64
	dispatcher *dispatch.Dispatcher
	names      nameLists
	session    *session
	events     []event
	queued     bool
	err        error
}

// session reads batches from the input and holds all instances.
type session struct {
	in          *bufio.Reader
	out         *bufio.Writer
	lineNumber  int
	batchText   []byte // the lines of the batch, which the events refer to
	workerLists [16][]listEntry
	instances   map[int64]*instance
	active      []*instance // instances with events in this batch, in order of arrival
	msg         message
	longLine    []byte           // buffer of readLine, reused
	entries     []dispatch.Entry // buffer of handleDiscovery, reused
}

// Serve processes batches until the input ends. An error names the line and what is wrong with it.
func Serve(in io.Reader, out io.Writer) error {
	h := &session{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
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

// readLine reads one line and strips its terminator. It returns io.EOF only at the end of a complete line.
func (h *session) readLine() ([]byte, error) {
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

func (h *session) runBatch() (bool, error) {
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
	m := &h.msg
	m.split(line)
	if m.name() != "clock" {
		return false, fmt.Errorf("want clock, got %q", m.name())
	}
	now, seq := m.time("sim_time"), m.int("batch")
	if m.err != nil {
		return false, m.err
	}
	h.batchText = h.batchText[:0]
	for {
		if line, err = h.readLine(); err == io.EOF {
			return false, fmt.Errorf("input ends inside a batch")
		}
		if err != nil {
			return false, err
		}
		m.split(line)
		if m.name() == "commit" {
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

// enqueue stores one line of a batch with its instance. References to worker lists are resolved here, in the
// order of the lines, because a later line of the batch may reuse a list's number.
func (h *session) enqueue(line []byte) error {
	m := &h.msg
	if m.name() == "inventory" {
		return h.readInventory()
	}
	id := m.int("i")
	if m.err != nil {
		return m.err
	}
	n := h.instances[id]
	switch m.name() {
	case "configure":
		n = &instance{id: id, session: h}
		settings, err := n.configure(m)
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
	if m.name() == "discovery" && m.has("set_id") {
		set := m.int("set_id")
		if m.err == nil && (set < 0 || set >= int64(len(h.workerLists))) {
			m.fail("set_id", "is not 0 to 15")
		}
		if m.err != nil {
			return m.err
		}
		ev.workers = h.workerLists[set]
	}
	h.batchText = append(h.batchText, line...)
	ev.end = len(h.batchText)
	n.events = append(n.events, ev)
	n.activate()
	return nil
}

// configure reads the settings, which follow the line's own fields as key=value pairs.
func (n *instance) configure(m *message) (dispatch.Settings, error) {
	seed := m.id("nonce64")
	if m.err != nil {
		return dispatch.Settings{}, m.err
	}
	values, err := settings.ParseFlat(m.fields)
	if err != nil {
		return dispatch.Settings{}, fmt.Errorf("%s: %w", m.rawName, err)
	}
	s, names, _, err := settings.Read(values, seed)
	if err != nil {
		return s, fmt.Errorf("%s: %w", m.rawName, err)
	}
	n.names.Names = names
	return s, nil
}

func (n *instance) activate() {
	if !n.queued {
		n.queued = true
		n.session.active = append(n.session.active, n)
	}
}

// readInventory reads a numbered worker list. It always allocates a new list, so that earlier references to
// the same number keep their content.
func (h *session) readInventory() error {
	m := &h.msg
	set, count := m.int("set_id"), m.int("records")
	if m.err == nil && (set < 0 || set >= int64(len(h.workerLists)) || count < 0) {
		m.fail("set_id", "or records is out of range")
	}
	if m.err != nil {
		return m.err
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
		m.split(line)
		if m.name() != "m" {
			return fmt.Errorf("want a list entry m, got %q", m.name())
		}
		r := listEntry{worker: string(m.required("worker")), zone: string(m.optional("locality")),
			kind: string(m.optional("machine"))}
		r.entry = dispatch.Entry{Worker: r.worker, ZoneName: r.zone, Cell: int(m.intOr("stripe", dispatch.UnknownCell)),
			Since: m.timeOr("up_since", 0), Weight: m.numOr("rating", 0)}
		switch state := string(m.required("state")); state {
		case "up":
		case "draining":
			r.entry.State = dispatch.Draining
		case "removed":
			r.entry.State = dispatch.Gone
		default:
			m.fail("state", "is unknown")
		}
		if m.err != nil {
			return m.err
		}
		list = append(list, r)
	}
	h.workerLists[set] = list
	return nil
}

// runRound runs one dispatcher round. It reports a panic in the dispatcher as a "fault" line with the panic's
// text.
func (n *instance) runRound(now float64) {
	defer func() {
		if p := recover(); p != nil {
			n.beginLine("fault")
			n.session.out.WriteString("\tmsg=")
			for _, c := range []byte(fmt.Sprint(p)) {
				if c < ' ' {
					c = ' '
				}
				n.session.out.WriteByte(c)
			}
			n.endLine()
		}
	}()
	n.dispatcher.Round(now, n, n)
	n.events = n.events[:0]
}

// Deliver calls the event handler for each line received.
func (n *instance) Deliver(d dispatch.EventHandler) {
	m := &n.session.msg
	for _, ev := range n.events {
		n.session.lineNumber = ev.line
		m.split(n.session.batchText[ev.start:ev.end])
		if n.handle(d, m, ev); m.err != nil {
			n.err = m.err
			return
		}
	}
}

func (n *instance) handle(d dispatch.EventHandler, m *message, ev event) {
	switch m.name() {
	case "req":
		wi := dispatch.WorkItem{ID: m.id("job"), Category: n.names.category(m),
			Tenant: indexOf(n.names.Tenants, m.optional("realm")), TimeLeft: m.time("time_left"),
			Hint: m.timeOr("predicted", 0), Key: string(m.optional("partition_key"))}
		if m.err == nil {
			d.Arrived(wi)
		}
	case "reply":
		result := dispatch.HandOffResult{WI: m.id("job"), HO: int(m.int("shot")), Elapsed: m.time("spent"),
			Final: m.intOr("final", 0) == 1, Load: n.names.loadReport(m), Outcome: outcome(m)}
		m.required("worker")
		if m.err == nil {
			d.HandOffEnded(result)
		}
	case "notice":
		wi, ho, what, level := m.id("job"), m.int("shot"), m.int("what"), m.numOr("level", 0)
		m.required("worker")
		// 1 is a start notice, 2 a progress notice; others are ignored
		if m.err == nil && (what == 1 || what == 2) {
			d.HandOffProgressed(wi, int(ho), what == 1, level)
		}
	case "ack_first":
		wi, ho := m.id("job"), m.int("shot")
		m.required("worker")
		if m.err == nil {
			d.ResponseStarted(wi, int(ho))
		}
	case "client_left":
		if wi := m.id("job"); m.err == nil {
			d.ClientLeft(wi)
		}
	case "timeout_fired":
		m.id("handle") // its only effect is the round that it causes
	case "checked":
		// The dispatcher sends no probes; the line is only validated.
		m.required("worker")
		outcome(m)
	case "heard":
		from, data := m.int("src_peer"), m.hex("contents")
		if m.err == nil {
			d.PeerMessageReceived(int(from), data)
		}
	case "discovery":
		n.handleDiscovery(d, m, ev.workers)
	default:
		m.err = fmt.Errorf("unknown message %q", m.name())
	}
}

func (n *instance) handleDiscovery(d dispatch.EventHandler, m *message, list []listEntry) {
	var form dispatch.ListType
	switch kind := string(m.required("form")); kind {
	case "update":
		form = dispatch.ListChanges
	case "replace":
		form = dispatch.ListComplete
	case "restored":
		form = dispatch.ListRestored
	case "unavailable":
		form, list = dispatch.ListUnavailable, nil
	default:
		m.fail("form", "is unknown")
	}
	if form != dispatch.ListUnavailable {
		m.required("set_id")
	}
	if m.err != nil {
		return
	}
	entries := n.session.entries[:0]
	for _, r := range list {
		e := r.entry
		e.Zone, e.Kind = indexOf(n.names.Zones, []byte(r.zone)), indexOf(n.names.Kinds, []byte(r.kind))
		entries = append(entries, e)
	}
	n.session.entries = entries
	d.Listed(form, entries)
}
