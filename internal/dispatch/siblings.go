package dispatch

// tell lets siblings know how many hand-offs this dispatcher has out at each worker: what changed
// at each beat, and everything now and then, since messages get lost. A worker takes two bytes, so
// such a message is even; an odd one tells of the tenants' arrivals.
func (d *Dispatcher) tell() {
	if !d.f.mayTell || d.f.siblings < 2 {
		return
	}
	all := d.now >= d.tellAll
	if d.msg = d.msg[:0]; all {
		d.msg = append(d.msg, 0, 0) // what is not named has nothing: a loss must not stay in the books
	}
	for _, w := range d.workers {
		if n := min(w.waiting+w.running, 15); (all && n > 0 || n != w.told) && len(d.msg) < 254 {
			d.msg = append(d.msg, byte(w.tag>>8)|byte(n), byte(w.tag))
			w.told = n
		}
	}
	if len(d.msg) > 0 {
		d.out.Tell(-1, d.msg)
	}
	if !all {
		return
	}
	d.tellAll = d.now + tellEvery
	if d.msg = d.msg[:0]; len(d.tenants) > 0 {
		for k := range d.tenants {
			d.msg = append(d.msg, byte(min(d.tenants[k].count.sum(d.now, tenantSpan), 255)))
		}
		if len(d.msg)%2 == 0 {
			d.msg = append(d.msg, 0)
		}
		d.out.Tell(-1, d.msg)
	}
}

// Heard takes a sibling's message.
func (d *Dispatcher) Heard(from int, data []byte) {
	if from < 0 || from >= d.f.siblings {
		return
	}
	d.heardOf[from] = d.now
	if len(data)%2 == 1 {
		for k := range min(len(data), len(d.tenants)) {
			d.tenants[k].others[from] = data[k]
		}
		return
	}
	for ; len(data) > 0; data = data[2:] {
		tag := uint16(data[0]&^15)<<8 | uint16(data[1])
		for _, w := range d.workers {
			if w.tag == tag || tag == 0 {
				w.others[from] = data[0] & 15
			}
		}
	}
}
