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

// maxDelay is how long after its client's disconnect a work item may still be sent to a worker, in a first
// attempt or a further one.
const maxDelay = 100 * time.Millisecond

// recorder is a worker that records when each complete request arrived and which jobs were cancelled.
type recorder struct {
	w       *testEnv
	addr    string
	at      map[string]time.Time
	deletes map[string]bool
}

// newRecorder starts a worker that answers by the script; without a script it accepts all jobs.
func (e *testEnv) newRecorder(script func(j job)) *recorder {
	a := &recorder{w: e, at: map[string]time.Time{}, deletes: map[string]bool{}}
	l := e.listenPort()
	a.addr = l.Addr().String()
	a.serve(l, script)
	return a
}

func (a *recorder) serve(l net.Listener, script func(j job)) {
	s := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		j := job{id: r.Header.Get("X-Request-Id"), out: out}
		a.w.mu.Lock()
		if r.Method == "DELETE" {
			a.deletes[r.RequestURI[strings.LastIndexByte(r.RequestURI, '/')+1:]] = true
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

func (a *recorder) received(id string) (time.Time, bool) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	at, is := a.at[id]
	return at, is
}

func (a *recorder) await(id string) {
	a.w.t.Helper()
	a.w.until(id, func() bool { _, is := a.received(id); return is })
}

// neverLate checks that the job didn't arrive too long after its client left. It is called after serveLast,
// when no earlier job can arrive any more.
func (a *recorder) neverLate(id string, left time.Time) {
	a.w.t.Helper()
	if at, is := a.received(id); is && at.Sub(left) > maxDelay {
		a.w.t.Errorf("%s reached the worker %v after its client had left", id, at.Sub(left))
	}
}

// disconnect ends the client's connection: with a FIN, an RST, or a close.
func (c *client) disconnect(how int) time.Time {
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

// TestClientDisconnects checks that a work item whose client disconnects while it waits is not sent to a
// worker more than 0.1 s later. It covers all places where an item waits, for its first attempt or a further
// one, and judges by what the worker received.
func TestClientDisconnects(t *testing.T) {
	const order = "/order/x"
	start := func(t *testing.T, script func(j job)) (*testEnv, *recorder) {
		e := newAdminEnv(t)
		a := e.newRecorder(script)
		e.publish(memberList(1, true, memberEntry("w1", a.addr, "in_service")))
		e.start()
		return e, a
	}
	// serveLast has one more job served, for a client that stays, so that everything queued before it has
	// been sent. It sends the job again while it is deferred.
	serveLast := func(e *testEnv, a *recorder, from string) {
		e.t.Helper()
		for k := range 10 {
			c, id := e.dial(), fmt.Sprint("last-", k)
			io.WriteString(c, request(id, "/plan/x", "")) // rerunnable work also goes to a worker that seemed to fail
			answer := make(chan string, 1)
			go func() { answer <- c.answer() }()
			for {
				select {
				case got := <-answer:
					if got == "200" {
						return
					}
				case <-time.After(2 * time.Millisecond):
					if _, is := a.received(id); is {
						e.callback(id, from, "done", "")
					}
					continue
				}
				break
			}
		}
		e.t.Error("no job of a client that stays was served")
	}
	t.Run("for a worker", func(t *testing.T) {
		e, a := start(t, nil)
		busy := e.dial()
		io.WriteString(busy, request("busy", order, ""))
		a.await("busy") // accepted but not started, so the worker gets nothing more
		var left [6]time.Time
		for k := range left {
			c := e.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			e.until("the job is active", func() bool { return e.active(2) })
			left[k] = c.disconnect(k)
			e.until("the disconnect", func() bool { return e.active(1) })
		}
		e.callback("busy", "w1", "done", "")
		serveLast(e, a, "w1")
		for k := range left {
			a.neverLate(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("for a connection that comes up", func(t *testing.T) {
		for _, cancel := range []bool{true, false} {
			e := newAdminEnv(t)
			e.swap = [2]string{`"connect_timeout":250000`, fmt.Sprintf(`"connect_timeout":5000000,"may_cancel":%v`, cancel)}
			l, full := e.fullListener()
			e.publish(memberList(1, true, memberEntry("w1", l.Addr().String(), "in_service")))
			e.start()
			c := e.dial()
			io.WriteString(c, request("left", order, ""))
			e.until("the hand-off", func() bool { return e.connecting(l) })
			left := c.disconnect(2)
			e.until("the disconnect", func() bool { return e.active(0) })
			a := &recorder{w: e, at: map[string]time.Time{}, deletes: map[string]bool{}}
			full()
			a.serve(l, nil)
			serveLast(e, a, "w1")
			a.neverLate("left", left)
		}
	})
	t.Run("for the next try", func(t *testing.T) {
		hold := make(chan struct{})
		t.Cleanup(func() { close(hold) })
		for name, script := range map[string]func(*testEnv, job){
			"refused": func(_ *testEnv, j job) {
				j.out.Header().Set("X-Not-Run", "1")
				j.out.WriteHeader(http.StatusServiceUnavailable)
			},
			"reset":  func(*testEnv, job) { panic(http.ErrAbortHandler) },
			"no 202": func(*testEnv, job) { <-hold },
		} {
			e := newAdminEnv(t)
			first := e.newRecorder(func(j job) { script(e, j) })
			e.publish(memberList(1, true, memberEntry("w1", first.addr, "in_service")))
			e.start()
			c := e.dial()
			io.WriteString(c, request("left", "/plan/x", ""))
			first.await("left")
			if name != "no 202" {
				e.until("the end of the first attempt", func() bool { return e.counter("pool_ejected:1|g") })
			}
			left := c.disconnect(len(name))
			e.until("the disconnect", func() bool { return e.active(0) })
			second := e.newRecorder(nil)
			e.publish(memberList(2, true, memberEntry("w2", second.addr, "in_service")))
			serveLast(e, second, "w2")
			second.neverLate("left", left)
			first.neverLate("left", left)
		}
	})
	// Further attempts, after the first worker refused the item.
	refuse := func(j job) {
		j.out.Header().Set("X-Not-Run", "1")
		j.out.WriteHeader(http.StatusServiceUnavailable)
	}
	t.Run("for the connection of a further attempt", func(t *testing.T) {
		for how, cancel := range []bool{true, false, true} {
			e := newAdminEnv(t)
			e.swap = [2]string{`"connect_timeout":250000`, fmt.Sprintf(`"connect_timeout":5000000,"may_cancel":%v`, cancel)}
			l, full := e.fullListener()
			first := e.newRecorder(refuse)
			e.publish(memberList(1, true, memberEntry("w1", first.addr, "in_service")))
			e.start()
			c := e.dial()
			io.WriteString(c, request("left", order, ""))
			first.await("left")
			e.publish(memberList(2, false, memberEntry("w1", first.addr, "terminating"), memberEntry("w2", l.Addr().String(), "in_service")))
			e.until("the second hand-off", func() bool { return e.connecting(l) })
			left := c.disconnect(how)
			e.until("the disconnect", func() bool { return e.active(0) })
			second := &recorder{w: e, at: map[string]time.Time{}, deletes: map[string]bool{}}
			full()
			second.serve(l, nil)
			serveLast(e, second, "w2")
			second.neverLate("left", left)
		}
	})
	t.Run("for a further attempt, at a worker that is busy", func(t *testing.T) {
		e := newAdminEnv(t)
		first, second := e.newRecorder(refuse), e.newRecorder(nil)
		e.publish(memberList(1, true, memberEntry("w1", first.addr, "in_service")))
		e.start()
		var clients []*client
		var left []time.Time
		for k := range 6 {
			c := e.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		e.until("the jobs are active", func() bool { return e.active(6) })
		some := func(a *recorder) func() bool {
			return func() bool { e.mu.Lock(); defer e.mu.Unlock(); return len(a.at) > 0 }
		}
		e.until("a first attempt", some(first))
		e.publish(memberList(2, false, memberEntry("w1", first.addr, "terminating"), memberEntry("w2", second.addr, "in_service")))
		e.until("an attempt at the second worker", some(second))
		for k, c := range clients { // the item at the worker is cancelled, the others are queued behind it
			left = append(left, c.disconnect(k))
		}
		e.until("the disconnects", func() bool { return e.active(0) })
		serveLast(e, second, "w2")
		for k := range left {
			second.neverLate(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("for a further attempt, in a process that stands still", func(t *testing.T) {
		const many = 12
		hold := make(chan struct{})
		e := newAdminEnv(t)
		first := e.newRecorder(func(j job) { // refuses all items at once, while the process is paused
			<-hold
			refuse(j)
		})
		var firsts []string
		for k := range many { // a worker gets one item until it starts the item before
			firsts = append(firsts, memberEntry(fmt.Sprint("w", k), first.addr, "in_service"))
		}
		second := e.newRecorder(nil)
		e.publish(memberList(1, true, append(firsts, memberEntry("second", second.addr, "in_service"))...))
		e.start()
		var clients []*client
		for k := range many {
			c := e.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		held := func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(first.at)
		}
		e.until("the first attempts", func() bool { return held() >= many-1 })
		e.must(e.cmd.Process.Signal(syscall.SIGSTOP))
		close(hold)
		var left []time.Time
		for k, c := range clients {
			left = append(left, c.disconnect(k))
		}
		time.Sleep(2 * maxDelay) // whatever is sent from now on is too late
		e.must(e.cmd.Process.Signal(syscall.SIGCONT))
		e.until("the disconnects", func() bool { return e.active(0) })
		serveLast(e, second, "second")
		for k := range left {
			second.neverLate(fmt.Sprint("left-", k), left[k])
			first.neverLate(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("in a process that stands still", func(t *testing.T) {
		e, a := start(t, nil)
		busy := e.dial()
		io.WriteString(busy, request("busy", order, ""))
		a.await("busy")
		var clients []*client
		const many = 40
		for k := range many { // half of the items are queued already, half are unread
			if k == many/2 {
				e.until("the first half of the jobs", func() bool { return e.active(many/2 + 1) })
				e.must(e.cmd.Process.Signal(syscall.SIGSTOP))
			}
			c := e.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			clients = append(clients, c)
		}
		var left []time.Time
		for k, c := range clients {
			left = append(left, c.disconnect(k))
		}
		done := make(chan int)
		// allows one more hand-off; read together with the disconnects
		go func() { done <- e.callback("busy", "w1", "done", "") }()
		time.Sleep(2 * maxDelay) // whatever is sent from now on is too late
		e.must(e.cmd.Process.Signal(syscall.SIGCONT))
		<-done
		serveLast(e, a, "w1")
		for k := range left {
			a.neverLate(fmt.Sprint("left-", k), left[k])
		}
	})
	t.Run("before its body is whole", func(t *testing.T) {
		e, a := start(t, nil)
		c := e.dial()
		text := request("left", order, "")
		io.WriteString(c, text[:len(text)-2])
		left := c.disconnect(0)
		serveLast(e, a, "w1")
		a.neverLate("left", left)
	})
	t.Run("behind an earlier request", func(t *testing.T) {
		e, a := start(t, nil)
		c := e.dial()
		io.WriteString(c, request("first", order, "")+request("behind", order, ""))
		a.await("first")
		left := c.disconnect(2)
		e.until("the cancellation of the first job", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return a.deletes["first"] })
		serveLast(e, a, "w1")
		a.neverLate("behind", left)
	})
	t.Run("with much still unread", func(t *testing.T) {
		// A job and many behind it; the latter size is more than what is kept of requests that are sent ahead.
		for _, many := range []int{60, 4000, 40000} {
			for how := range 3 {
				e, a := start(t, nil)
				c := e.dial()
				var text strings.Builder
				for k := range many {
					text.WriteString(request(fmt.Sprintf("left-%d", k), order, ""))
				}
				e.must(e.cmd.Process.Signal(syscall.SIGSTOP))
				c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)) // the buffers may be full
				io.WriteString(c, text.String())
				left := c.disconnect(how)
				time.Sleep(2 * maxDelay) // whatever is sent from now on is too late
				e.must(e.cmd.Process.Signal(syscall.SIGCONT))
				serveLast(e, a, "w1")
				for k := range many {
					a.neverLate(fmt.Sprintf("left-%d", k), left)
				}
			}
		}
	})
	t.Run("and its id comes again", func(t *testing.T) {
		for how := range 3 {
			e, a := start(t, accept)
			c := e.dial()
			io.WriteString(c, request("left", order, ""))
			a.await("left")
			c.disconnect(how)
			e.until("the disconnect", func() bool { return e.active(0) })
			e.until("the cancellation", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return a.deletes["left"] })
			time.Sleep(2 * maxDelay) // the DELETE is answered
			if got := e.dial().ask(request("left", order, "")); !strings.HasPrefix(got, "409") {
				t.Errorf("a job that may have run, and whose id came again: %s", got)
			}
		}
	})
	t.Run("at the limit of descriptors", func(t *testing.T) {
		e, a := start(t, nil)
		e.limitDescriptors(20)
		var idle []*client
		for range 60 {
			idle = append(idle, e.dial())
		}
		e.until("the limit", func() bool { return strings.Contains(e.output.String(), "msg=accept") })
		var left []time.Time
		for k := range 10 {
			c := e.dial()
			io.WriteString(c, request(fmt.Sprint("left-", k), order, ""))
			left = append(left, c.disconnect(k))
		}
		for _, c := range idle {
			c.Close()
		}
		serveLast(e, a, "w1")
		for k := range left {
			a.neverLate(fmt.Sprint("left-", k), left[k])
		}
	})
}

// active reports whether exactly that many jobs are active.
func (e *testEnv) active(many int) bool { return e.counter(fmt.Sprintf("active:%d|g", many)) }

func (e *testEnv) counter(line string) bool {
	_, body := e.control("counters")
	return strings.Contains(body, "edge_router."+line+"\n")
}

// limitDescriptors sets the program's limit to so many descriptors more than it uses now.
func (e *testEnv) limitDescriptors(more int) {
	e.t.Helper()
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	e.must(err)
	most := uint64(len(fds) + more)
	e.must(unix.Prlimit(e.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil))
}

// fullListener returns a listener with a full backlog. Connections to it are established only after release.
func (e *testEnv) fullListener() (l net.Listener, release func()) {
	e.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	e.must(err)
	e.must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	e.must(syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "full")
	l, err = net.FileListener(f)
	f.Close()
	e.must(err)
	var fill []net.Conn
	for { // until a connection is not established
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

// connecting reports whether a connection to the listener is being established.
func (e *testEnv) connecting(l net.Listener) bool {
	text, err := os.ReadFile("/proc/self/net/tcp")
	e.must(err)
	return strings.Contains(string(text), fmt.Sprintf(":%04X 02 ", l.Addr().(*net.TCPAddr).Port)) // state SYN_SENT
}
