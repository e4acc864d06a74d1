package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
)

// A message names one worker, by 16 bits of its id's hash, and tells for how long its sender has a further
// hand-off out there: a byte, on a scale of sixteenths of doublings; 0 for one that ended. Workers whose
// names collide are told apart by the deal, unless the two dispatchers share both: then both count as
// loaded until the time told.

// suspicion as a fourth byte: the message tells of the worker itself, that it failed work.
const suspicion = 1

func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads its bits over all others (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (d *Dispatcher) pack(w *worker, span float64) []byte {
	step := 0.
	if span > 0 {
		step = min(max(16*math.Log2(span), 1), 255)
	}
	d.msg = append(d.msg[:0], byte(w.hash>>8), byte(w.hash), byte(step))
	return d.msg
}

func unpack(w *worker, data []byte) (span float64, ok bool) {
	if len(data) != 3 || data[0] != byte(w.hash>>8) || data[1] != byte(w.hash) {
		return 0, false
	}
	if data[2] == 0 {
		return 0, true
	}
	return math.Exp2(float64(data[2]) / 16), true
}

// named are the workers of the part that a message may name.
func (d *Dispatcher) named(data []byte) []*worker {
	if len(data) < 2 {
		return nil
	}
	if d.names == nil {
		d.names = map[uint16][]*worker{}
		for _, w := range d.part {
			d.names[uint16(w.hash)] = append(d.names[uint16(w.hash)], w)
		}
	}
	return d.names[uint16(data[0])<<8|uint16(data[1])]
}

// Heard takes a sibling's message.
func (d *Dispatcher) PeerMessageReceived(from int, data []byte) {
	if from < 0 || from >= d.f.siblings || from == d.f.number {
		return
	}
	d.heard = d.now
	if len(data) == 4 && data[3] == suspicion {
		for _, w := range d.named(data) {
			if _, ok := unpack(w, data[:3]); ok && slices.Contains(w.sharers, from) {
				w.suspectTill = d.now + suspectFor
			}
		}
		return
	}
	d.heards.add(d.now, weighSpan, 1)
	for _, w := range d.named(data) {
		if span, ok := unpack(w, data); ok && slices.Contains(w.sharers, from) {
			if span > 0 {
				w.theirs = append(w.theirs, lease{from, d.now + span})
			} else if k := slices.IndexFunc(w.theirs, func(l lease) bool { return l.from == from }); k >= 0 {
				w.theirs = slices.Delete(w.theirs, k, k+1)
			}
		}
	}
}
