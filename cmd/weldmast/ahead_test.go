package main

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"
)

// aheadCase is a client that sends requests ahead of the answer to its first one, while the process is replaced.
type aheadCase struct {
	name  string
	first int // length of the first request's body
	// send sends what follows the first request. over is closed when the older process has ended.
	send func(c *client, over <-chan struct{})
	want []string // the answers after the first one
}

// aheadJob returns a job with a body that holds the text of a request that nobody sends, and the answer to it.
func aheadJob(id string, length int, headers string) (text, answer string) {
	hidden := request("nobody-"+id, "/plan/x", "")
	body := strings.Repeat(hidden, length/len(hidden)+1)[:length]
	head := fmt.Sprintf("POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Tenant: acme\r\nX-Cost-Hint: 10000\r\n%sContent-Length: %d\r\n\r\n", id, headers, length)
	return head + body, "200 " + id + " " + bodySum([]byte(body))
}

func aheadCases() (all []aheadCase) {
	// Around the sizes of the read buffers, of what is read at once, and of a message to the newer process.
	for _, length := range []int{0, 4, 3600, 4096, 4600, 16 << 10, 17 << 10, 40000, 64 << 10} {
		text, answer := aheadJob(fmt.Sprint("length-", length), length, "")
		all = append(all, aheadCase{fmt.Sprint(length), 4, func(c *client, _ <-chan struct{}) { io.WriteString(c, text) }, []string{answer}})
	}
	one, first := aheadJob("three-1", 10, "")
	two, second := aheadJob("three-2", 3000, "")
	three, third := aheadJob("three-3", 20, "")
	all = append(all, aheadCase{"three", 4, func(c *client, _ <-chan struct{}) { io.WriteString(c, one+two+three) }, []string{first, second, third}})
	halves, answer := aheadJob("halves", 9000, "")
	all = append(all, aheadCase{"halves", 4, func(c *client, over <-chan struct{}) {
		io.WriteString(c, halves[:5000])
		<-over
		io.WriteString(c, halves[5000:])
	}, []string{answer}})
	slow, slowAnswer := aheadJob("slow", 12000, "")
	all = append(all, aheadCase{"slow", 4, func(c *client, over <-chan struct{}) {
		for text, ended := slow, false; len(text) > 0; { // so that some of it comes during the hand-over itself
			n := min(len(text), 100)
			if ended {
				n = len(text)
			}
			io.WriteString(c, text[:n])
			text = text[n:]
			select {
			case <-over:
				ended = true
			case <-time.After(40 * time.Millisecond):
			}
		}
	}, []string{slowAnswer}})
	expects, expectsAnswer := aheadJob("expects", 50, "Expect: 100-continue\r\n")
	end := strings.Index(expects, "\r\n\r\n") + 4
	all = append(all, aheadCase{"expects", 4, func(c *client, over <-chan struct{}) {
		io.WriteString(c, expects[:end])
		<-over
		io.WriteString(c, expects[end:])
	}, []string{"100", expectsAnswer}})
	large, largeAnswer := aheadJob("large", 64<<10, "")
	all = append(all, aheadCase{"both-large", 64 << 10, func(c *client, _ <-chan struct{}) { io.WriteString(c, large) }, []string{largeAnswer}})
	return all
}

// TestUpgradeRequestsAhead guards against a replacement of the process that loses requests which clients sent
// ahead, or reads them from their middle: each is served once, in order, and no worker gets what nobody sent.
func TestUpgradeRequestsAhead(t *testing.T) {
	t.Parallel()
	e := newTakeoverEnv(t)
	var workers []string
	for k := range 40 {
		name := fmt.Sprint("w", k)
		workers = append(workers, memberEntry(name, e.startWorker(name, func(j job) {
			accept(j)
			if strings.HasPrefix(j.id, "hold-") {
				e.callback(j.id, name, "started", "")
				return
			}
			e.callback(j.id, name, "done", j.id+" "+j.body)
		}), "in_service"))
	}
	e.swap = [2]string{`"once","due_time":2000000`, `"once","due_time":5000000`}
	e.publish(memberList(1, true, workers...))
	e.start()
	over := make(chan struct{})
	clients := map[string]*client{}
	cases := aheadCases()
	for _, a := range cases {
		c := e.dial()
		clients[a.name] = c
		io.WriteString(c, exclusiveJob("hold-"+a.name, a.first))
		go a.send(c, over)
	}
	for _, a := range cases {
		e.awaitLine(": hold-"+a.name+"\n", 1)
	}
	older := e.startSuccessor()
	e.must(older.Process.Signal(syscall.SIGTERM))
	older.Wait()
	close(over)
	e.finishHeld()
	for _, a := range cases {
		for k, want := range append([]string{"200"}, a.want...) {
			if got := clients[a.name].answer(); got != want {
				t.Errorf("%s: answer %d is %q, wanted %q", a.name, k, got, want)
				break
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.Contains(e.seen.String(), "nobody") {
		t.Error("a worker received a job that no client sent")
	}
}

// TestRequestsAheadExpire guards against a request whose time counts from when the one ahead of it was answered:
// its client gets its answer long after its time, and a worker is told a time that is over.
func TestRequestsAheadExpire(t *testing.T) {
	const jobs, running, deadline = 8, 300 * time.Millisecond, 700 * time.Millisecond
	e := newTestEnv(t)
	var addr string
	addr = e.startWorker("w1", func(j job) {
		accept(j)
		go func() {
			e.callback(j.id, "w1", "started", "")
			time.Sleep(running)
			e.callback(j.id, "w1", "done", "")
		}()
	})
	e.publish(memberList(1, true, memberEntry("w1", addr, "in_service")))
	e.start()
	c := e.dial()
	var text strings.Builder
	for k := range jobs {
		text.WriteString(request(fmt.Sprint("job-", k), "/plan/x", fmt.Sprintf("X-Deadline: %.1f\r\n", deadline.Seconds())))
	}
	begun := time.Now()
	io.WriteString(c, text.String())
	const slack = 250 * time.Millisecond // the answer's own, and the machine's
	for k := range jobs {
		answer := c.answer()
		if took := time.Since(begun); took > deadline+slack || answer == "no answer" {
			t.Errorf("job %d: %s after %s", k, answer, took)
		} else if k == 0 && answer != "200" {
			t.Errorf("the first job: %s", answer)
		}
	}
}
