package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// late is how long after its client's departure nothing of a work item may be sent on any more, be it a first attempt or a
// further one.
const late = 100 * time.Millisecond

// arrivals is a worker that notes when each request had come whole, and what is called off.
type arrivals struct {
	w     *world
	addr  string
	at    map[string]time.Time
	drops map[string]bool
}

// arrivals answers by the script; none: it takes all.
func (w *world) arrivals(script func(j job)) *arrivals {
	a := &arrivals{w: w, at: map[string]time.Time{}, drops: map[string]bool{}}
	l := w.port()
	a.addr = l.Addr().String()
	a.serve(l, script)
	return a
}

func (a *arrivals) serve(l net.Listener, script func(j job)) {
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		j := job{id: r.Header.Get("X-Request-Id"), out: out}
		a.w.mu.Lock()
		if r.Method == "DELETE" {
			a.drops[r.RequestURI[strings.LastIndexByte(r.RequestURI, '/')+1:]] = true
			a.w.mu.Unlock()
			return
		}
		a.at[j.id] = time.Now()
		a.w.mu.Unlock()
		if script != nil {
			script(j)
			return
		}
		out.WriteHeader(http.StatusAccepted)
	})}
	go s.Serve(l)
	a.w.t.Cleanup(func() { s.Close() })
}

func (a *arrivals) got(id string) (time.Time, bool) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	at, is := a.at[id]
	return at, is
}

func (a *arrivals) await(id string) {
	a.w.t.Helper()
	a.w.until(id, func() bool { _, is := a.got(id); return is })
}

// never checks that nothing of it came later than it may, once the last one, of a client that stays, has.
func (a *arrivals) never(id string, left time.Time) {
	a.w.t.Helper()
	if at, is := a.got(id); is && at.Sub(left) > late {
		a.w.t.Errorf("%s reached the worker %v after its client had left", id, at.Sub(left))
	}
}

// leave is the client's departure: by FIN, by RST, or by closing.
func (c *client) leave(how int) time.Time {
	t := c.Conn.(*net.TCPConn)
	switch how % 3 {
	case 0:
		t.CloseWrite()
	case 1:
		t.SetLinger(0)
		t.Close()
	default:
		t.Close()
	}
	return time.Now()
}

// TestLeft: a work item whose client has left while it waited is not sent on later than 0.1 s after, in whatever place it
// waits, for its first attempt or a further one; judged by what the worker received.
func TestLeft(t *testing.T) {
	const order = "/order/x"
	start := func(t *testing.T, script func(j job)) (*world, *arrivals) {
		w := operated(t)
		a := w.arrivals(script)
		w.tell(list(1, true, line("w1", a.addr, "in_service")))
		w.start()
		return w, a
	}
	// last has one more job done, of a client that stays: what was to be sent before has been. It comes again while it is deferred.
	last := func(w *world, a *arrivals, from string) {
		w.t.Helper()
		for k := range 10 {
			c, id := w.dial(), fmt.Sprint("last-", k)
			io.WriteString(c, request(id, "/plan/x", "")) // which a worker gets that seemed to fail
			answer := make(chan string, 1)
			go func() { answer <- c.answer() }()
			for {
				select {
				case got := <-answer:
					if got == "200" {
						return
					}
				case <-time.After(2 * time.Millisecond):
					if _, is := a.got(id); is {
						w.back(id, from, "done", "")
					}
					continue
				}
				break
			}
		}
		w.t.Error("no last one was served")
	}
	t.Run("for a worker", func(t *testing.T) {
		w, a := start(t, nil)
		busy := w.dial()
		io.WriteString(busy, request("busy", order, ""))
		a.await("busy") // not started: nothing more goes there
		var left [6]time.Time
		for k := range left {
			c := w.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			w.until("its arrival", func() bool { return w.open(2) })
			left[k] = c.leave(k)
			w.until("its departure", func() bool { return w.open(1) })
		}
		w.back("busy", "w1", "done", "")
		last(w, a, "w1")
		for k := range left {
			a.never(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("for a connection that comes up", func(t *testing.T) {
		for _, cancel := range []bool{true, false} {
			w := operated(t)
			w.swap = [2]string{`"connect_timeout":250000`, fmt.Sprintf(`"connect_timeout":5000000,"may_cancel":%v`, cancel)}
			l, full := w.full()
			w.tell(list(1, true, line("w1", l.Addr().String(), "in_service")))
			w.start()
			c := w.dial()
			io.WriteString(c, request("left", order, ""))
			w.until("its hand-off", func() bool { return w.dialling(l) })
			left := c.leave(2)
			w.until("its departure", func() bool { return w.open(0) })
			a := &arrivals{w: w, at: map[string]time.Time{}, drops: map[string]bool{}}
			full()
			a.serve(l, nil)
			last(w, a, "w1")
			a.never("left", left)
		}
	})
	t.Run("for the next try", func(t *testing.T) {
		hold := make(chan struct{})
		t.Cleanup(func() { close(hold) })
		for name, script := range map[string]func(*world, job){
			"refused": func(_ *world, j job) {
				j.out.Header().Set("X-Not-Run", "1")
				j.out.WriteHeader(http.StatusServiceUnavailable)
			},
			"reset":  func(*world, job) { panic(http.ErrAbortHandler) },
			"no 202": func(*world, job) { <-hold },
		} {
			w := operated(t)
			first := w.arrivals(func(j job) { script(w, j) })
			w.tell(list(1, true, line("w1", first.addr, "in_service")))
			w.start()
			c := w.dial()
			io.WriteString(c, request("left", "/plan/x", ""))
			first.await("left")
			if name != "no 202" {
				w.until("its end", func() bool { return w.figure("pool_ejected:1|g") })
			}
			left := c.leave(len(name))
			w.until("its departure", func() bool { return w.open(0) })
			second := w.arrivals(nil)
			w.tell(list(2, true, line("w2", second.addr, "in_service")))
			last(w, second, "w2")
			second.never("left", left)
			first.never("left", left)
		}
	})
	// A further attempt, whose worker turned the first one away.
	refuse := func(j job) {
		j.out.Header().Set("X-Not-Run", "1")
		j.out.WriteHeader(http.StatusServiceUnavailable)
	}
	t.Run("for the connection of a further attempt", func(t *testing.T) {
		for how, cancel := range []bool{true, false, true} {
			w := operated(t)
			w.swap = [2]string{`"connect_timeout":250000`, fmt.Sprintf(`"connect_timeout":5000000,"may_cancel":%v`, cancel)}
			l, full := w.full()
			first := w.arrivals(refuse)
			w.tell(list(1, true, line("w1", first.addr, "in_service")))
			w.start()
			c := w.dial()
			io.WriteString(c, request("left", order, ""))
			first.await("left")
			w.tell(list(2, false, line("w1", first.addr, "terminating"), line("w2", l.Addr().String(), "in_service")))
			w.until("its second hand-off", func() bool { return w.dialling(l) })
			left := c.leave(how)
			w.until("its departure", func() bool { return w.open(0) })
			second := &arrivals{w: w, at: map[string]time.Time{}, drops: map[string]bool{}}
			full()
			second.serve(l, nil)
			last(w, second, "w2")
			second.never("left", left)
		}
	})
	t.Run("for a further attempt, at a worker that is busy", func(t *testing.T) {
		w := operated(t)
		first, second := w.arrivals(refuse), w.arrivals(nil)
		w.tell(list(1, true, line("w1", first.addr, "in_service")))
		w.start()
		var clients []*client
		var left []time.Time
		for k := range 6 {
			c := w.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		w.until("their arrival", func() bool { return w.open(6) })
		some := func(a *arrivals) func() bool {
			return func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(a.at) > 0 }
		}
		w.until("a first attempt", some(first))
		w.tell(list(2, false, line("w1", first.addr, "terminating"), line("w2", second.addr, "in_service")))
		w.until("one at the second worker", some(second))
		for k, c := range clients { // the one that is there is called off, the others wait behind it
			left = append(left, c.leave(k))
		}
		w.until("their departure", func() bool { return w.open(0) })
		last(w, second, "w2")
		for k := range left {
			second.never(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("for a further attempt, in a process that stands still", func(t *testing.T) {
		const many = 12
		hold := make(chan struct{})
		w := operated(t)
		first := w.arrivals(func(j job) { // turned away all at once, while the process stands still
			<-hold
			refuse(j)
		})
		var firsts []string
		for k := range many { // one work item goes to a worker that has not started the one before
			firsts = append(firsts, line(fmt.Sprint("w", k), first.addr, "in_service"))
		}
		second := w.arrivals(nil)
		w.tell(list(1, true, append(firsts, line("second", second.addr, "in_service"))...))
		w.start()
		var clients []*client
		for k := range many {
			c := w.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		held := func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(first.at)
		}
		w.until("their first attempts", func() bool { return held() >= many-1 })
		w.must(w.cmd.Process.Signal(syscall.SIGSTOP))
		close(hold)
		var left []time.Time
		for k, c := range clients {
			left = append(left, c.leave(k))
		}
		time.Sleep(2 * late) // what goes out from now on is late
		w.must(w.cmd.Process.Signal(syscall.SIGCONT))
		w.until("their departure", func() bool { return w.open(0) })
		last(w, second, "second")
		for k := range left {
			second.never(fmt.Sprint("left-", k), left[k])
			first.never(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("in a process that stands still", func(t *testing.T) {
		w, a := start(t, nil)
		busy := w.dial()
		io.WriteString(busy, request("busy", order, ""))
		a.await("busy")
		var clients []*client
		const many = 40
		for k := range many { // half of them wait already, half lie unread
			if k == many/2 {
				w.until("the first half", func() bool { return w.open(many/2 + 1) })
				w.must(w.cmd.Process.Signal(syscall.SIGSTOP))
			}
			c := w.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		var left []time.Time
		for k, c := range clients {
			left = append(left, c.leave(k))
		}
		done := make(chan int)
		go func() { done <- w.back("busy", "w1", "done", "") }() // room for one more, read together with what left
		time.Sleep(2 * late)                                     // what goes out from now on is late
		w.must(w.cmd.Process.Signal(syscall.SIGCONT))
		<-done
		last(w, a, "w1")
		for k := range left {
			a.never(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("before its body is whole", func(t *testing.T) {
		w, a := start(t, nil)
		c := w.dial()
		text := request("left", order, "")
		io.WriteString(c, text[:len(text)-2])
		left := c.leave(0)
		last(w, a, "w1")
		a.never("left", left)
	})
	t.Run("behind an earlier request", func(t *testing.T) {
		w, a := start(t, nil)
		c := w.dial()
		io.WriteString(c, request("first", order, "")+request("behind", order, ""))
		a.await("first")
		left := c.leave(2)
		w.until("its giving up", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return a.drops["first"] })
		last(w, a, "w1")
		a.never("behind", left)
	})
	t.Run("at the limit of descriptors", func(t *testing.T) {
		w, a := start(t, nil)
		w.starve(20)
		var idle []*client
		for range 60 {
			idle = append(idle, w.dial())
		}
		w.until("the limit", func() bool { return strings.Contains(w.output.String(), "msg=accept") })
		var left []time.Time
		for k := range 10 {
			c := w.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			left = append(left, c.leave(k))
		}
		for _, c := range idle {
			c.Close()
		}
		last(w, a, "w1")
		for k := range left {
			a.never(fmt.Sprint("left-", k), left[k])
		}
	})
}

// open tells whether so many clients wait.
func (w *world) open(many int) bool { return w.figure(fmt.Sprintf("active:%d|g", many)) }

func (w *world) figure(line string) bool {
	_, body := w.control("counters")
	return strings.Contains(body, "edge_router."+line+"\n")
}

// starve leaves the program so many descriptors beyond those that it has.
func (w *world) starve(more int) {
	w.t.Helper()
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	w.must(err)
	most := uint64(len(fds) + more)
	w.must(unix.Prlimit(w.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil))
}

// full is a listener whose queue is full: connections to it come up once it is let go.
func (w *world) full() (l net.Listener, release func()) {
	w.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	w.must(err)
	w.must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	w.must(syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "full")
	l, err = net.FileListener(f)
	f.Close()
	w.must(err)
	var fill []net.Conn
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	return l, func() {
		for _, c := range fill {
			c.Close()
		}
	}
}

// dialling tells whether a connection to the listener is coming up.
func (w *world) dialling(l net.Listener) bool {
	text, err := os.ReadFile("/proc/self/net/tcp")
	w.must(err)
	return strings.Contains(string(text), fmt.Sprintf(":%04X 02 ", l.Addr().(*net.TCPAddr).Port)) // SYN_SENT
}
