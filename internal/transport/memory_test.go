package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weldmast/internal/node"
)

// testMemory leaves room for two large jobs, and for the answer to one of them.
const testMemory = 1 << 20

func newMemoryFixture(t *testing.T) (*fixture, *testWorker) {
	w := newTestWorker(t)
	r := newFixture(t, func(o *Options, _ *node.Options) { o.MemoryBytes = testMemory })
	r.serve(w.addr)
	return r, w
}

// largeJob returns an exclusive job with the largest body. It stays at its worker, however long it takes.
func largeJob(id string) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Cost-Hint: 100000\r\nContent-Length: %d\r\n\r\n%s",
		id, maxBody, strings.Repeat("b", maxBody))
}

// smallChunkedJob returns a job whose small body has no length in its head.
func smallChunkedJob(id string) string {
	return fmt.Sprintf("POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Cost-Hint: 100000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", id)
}

// acceptJob sends a job, waits until the worker has it, and accepts it there.
func (r *fixture) acceptJob(w *testWorker, id, text string) net.Conn {
	r.t.Helper()
	c := r.dial()
	r.acceptJobOn(c, w, id, text)
	return c
}

// acceptJobOn does the same on a given connection.
func (r *fixture) acceptJobOn(c net.Conn, w *testWorker, id, text string) {
	r.t.Helper()
	io.WriteString(c, text)
	q := await(r.t, id, w.requests)
	if q.id != id {
		r.t.Fatalf("worker received %s, wanted %s", q.id, id)
	}
	q.respond(acceptedResponse)
	r.sendCallback(id, "started")
}

// awaitReleased waits until no memory is reserved.
func (r *fixture) awaitReleased() {
	r.t.Helper()
	m := &r.transport.clients.memory
	r.waitUntil("all memory to be released", func() bool { return m.waiting.used.Load() == 0 && m.answers.used.Load() == 0 })
}

// TestTurnedAwayForMemory: a large job for which there is no memory is read to its end and deferred at once, on
// a connection that stays open. Small jobs are accepted all the same. Once memory is released, so are large
// ones.
func TestTurnedAwayForMemory(t *testing.T) {
	r, w := newMemoryFixture(t)
	first, second := r.acceptJob(w, "first", largeJob("first")), r.acceptJob(w, "second", largeJob("second"))
	c := r.dial()
	in := bufio.NewReader(c)
	for k := range 2 {
		sent := time.Now()
		io.WriteString(c, largeJob(fmt.Sprint("third-", k)))
		a, err := http.ReadResponse(in, nil)
		if err != nil || a.StatusCode != http.StatusServiceUnavailable || a.Close || time.Since(sent) > time.Second {
			t.Fatalf("without memory: %v %v after %v", a, err, time.Since(sent))
		}
		io.Copy(io.Discard, a.Body)
	}
	for id, text := range map[string]string{"small": jobRequest("small", "plan"), "chunked": smallChunkedJob("chunked")} {
		small := r.acceptJob(w, id, text)
		r.finish(id)
		if got := readStatus(small); got != "200" {
			t.Errorf("%s got %s", id, got)
		}
	}
	for id, waiting := range map[string]net.Conn{"first": first, "second": second} {
		r.finish(id)
		if got := readStatus(waiting); got != "200" {
			t.Errorf("%s got %s", id, got)
		}
	}
	r.acceptJob(w, "fourth", largeJob("fourth"))
	r.finish("fourth")
	r.awaitReleased()
}

// TestMemoryReleased: whatever ends a request, the memory that was reserved for it is released.
func TestMemoryReleased(t *testing.T) {
	r, w := newMemoryFixture(t)
	half := largeJob("half")[:maxBody/2]
	for name, play := range map[string]func(){
		"the client leaves while it sends": func() {
			c := r.dial()
			io.WriteString(c, half)
			r.waitUntil("the head", func() bool { return r.transport.clients.memory.waiting.used.Load() > 0 })
			c.Close()
		},
		"the client leaves while it waits": func() { r.acceptJob(w, "left", largeJob("left")).Close() },
		"the body is invalid": func() {
			c := r.dial()
			io.WriteString(c, strings.Replace(smallChunkedJob("invalid"), "4\r\n", "no\r\n", 1))
			if got := readStatus(c); got != "400" {
				t.Errorf("an invalid body got %s", got)
			}
		},
		"the head is large and has no end": func() {
			c := r.dial()
			io.WriteString(c, largeJob("endless")[:50]+"\r\n"+strings.Repeat("a:b\r\n", 2000))
			r.waitUntil("the head", func() bool { return r.transport.clients.memory.waiting.used.Load() > 0 })
			c.Close()
		},
		"another request is sent ahead, and the client leaves": func() {
			c := r.acceptJob(w, "ahead", jobRequest("ahead", "plan"))
			io.WriteString(c, half)
			r.waitUntil("what is sent ahead", func() bool { return r.transport.clients.memory.waiting.used.Load() > 0 })
			c.Close()
		},
		"a large answer": func() {
			c := r.acceptJob(w, "result", jobRequest("result", "plan"))
			r.sendResult("result", 20<<10)
			if got := readStatus(c); got != "200" {
				t.Errorf("a large answer got %s", got)
			}
		},
		"the id is in use": func() {
			c := r.acceptJob(w, "twice", largeJob("twice"))
			again := r.dial()
			io.WriteString(again, largeJob("twice"))
			if got := readStatus(again); got != "409" {
				t.Errorf("an id in use got %s", got)
			}
			r.finish("twice")
			readStatus(c)
		},
	} {
		play()
		if t.Failed() {
			t.Fatal(name)
		}
		r.awaitReleased()
	}
}

// TestWorkerReadsSlowly: the memory of a request stays reserved while it is written to a worker that does not
// read it, also once its client has left.
func TestWorkerReadsSlowly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := &message{head: []byte(jobRequest("a", "plan")), body: make([]byte, 64<<20)} // more than the sockets hold
	var budget byteBudget
	m.clientWaits = func() bool { return true }
	budget.reserve(1)
	m.memory = newReservation(&budget, 1)
	o, no := options()
	ws := newWorkers(node.New(no), o)
	ws.setLimit(1)
	a := ws.startHandOff(node.HandOffRequest{WI: 1, ID: "a", Addr: l.Addr().String(), Message: m, Timeout: 5000})
	m.memory.release() // the client has left
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if budget.used.Load() != 1 {
		t.Error("released while it is being written")
	}
	a.Cancel()
	ws.running.Wait()
	if budget.used.Load() != 0 {
		t.Error("not released once the hand-off has ended")
	}
}

// sendResult ends a job with a result of a given size and returns the status of the answer to the callback.
func (r *fixture) sendResult(id string, size int) int {
	r.t.Helper()
	a, err := http.Post("http://"+r.transport.clients.Addr().String()+"/callback", "application/json",
		strings.NewReader(fmt.Sprintf(`{"id":%q,"from":"w1","state":"done","result":%q}`, id, strings.Repeat("r", size))))
	r.must(err)
	a.Body.Close()
	return a.StatusCode
}

// TestSlowReaderClosed: a client that does not read its answer is closed once its memory is needed for another
// result.
func TestSlowReaderClosed(t *testing.T) {
	const resultSize = 20 << 10
	r, w := newMemoryFixture(t)
	fewBytes := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	slow, err := fewBytes.Dial("tcp", r.transport.clients.Addr().String())
	r.must(err)
	defer slow.Close()
	r.acceptJobOn(slow, w, "slow", jobRequest("slow", "order"))
	for _, conn := range r.transport.clients.snapshot() {
		conn.Conn.(*net.TCPConn).SetWriteBuffer(1)
	}
	r.sendResult("slow", resultSize)
	r.waitUntil("the answer", func() bool { return r.transport.clients.memory.answers.used.Load() > 0 })
	other := r.acceptJob(w, "other", jobRequest("other", "order"))
	if status := r.sendResult("other", resultSize); status != http.StatusOK {
		t.Errorf("the callback beside a slow reader got %d", status)
	}
	if got := readStatus(other); got != "200" {
		t.Errorf("the other client got %s", got)
	}
	slow.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := io.Copy(io.Discard, slow); n >= resultSize || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the slow reader's connection was not closed: it read %d bytes, %v", n, err)
	}
	r.awaitReleased()
}

// TestSlowSenderEvicted: a client that sends its body slowly is closed once its memory is needed for another
// job.
func TestSlowSenderEvicted(t *testing.T) {
	r, w := newMemoryFixture(t)
	var slow []net.Conn
	for k := range 2 {
		c := r.dial()
		io.WriteString(c, largeJob(fmt.Sprint("slow-", k))[:maxBody/2])
		slow = append(slow, c)
	}
	r.waitUntil("both heads", func() bool { return r.transport.clients.memory.waiting.used.Load() > maxBody })
	time.Sleep(2 * slowClientGrace)
	c := r.acceptJob(w, "whole", largeJob("whole"))
	r.finish("whole")
	if got := readStatus(c); got != "200" {
		t.Errorf("got %s", got)
	}
	closed := 0
	for _, c := range slow {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF || strings.Contains(fmt.Sprint(err), "reset") {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d slow senders were closed, wanted 1", closed)
	}
}

// TestWaitingCallbacksIdle guards against callbacks that take the CPU of usual jobs while they wait for memory:
// each of them searched all connections for a slow reader, again and again.
func TestWaitingCallbacksIdle(t *testing.T) {
	const callbacks, conns, mostCPU = 500, 500, callbackWait / 4
	c := &clientServer{conns: map[*clientConn]bool{}}
	for range conns {
		c.conns[&clientConn{owner: c}] = true
	}
	before := processCPU()
	var waiting sync.WaitGroup
	for range callbacks {
		waiting.Go(func() {
			if c.awaitAnswerMemory(1) {
				t.Error("there was memory")
			}
		})
	}
	waiting.Wait()
	if used := processCPU() - before; used > mostCPU {
		t.Errorf("%v of CPU while %d callbacks waited %v", used, callbacks, callbackWait)
	}
}

// processCPU returns the CPU time that the process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
