package main

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// connectionFlood is what one client sends on one connection at full speed. It does not wait for answers.
type connectionFlood struct {
	name string
	// next returns the k-th piece of what it sends.
	next func(k int) []byte
	// answers says that each piece gets an answer.
	answers bool
}

// piecesAtOnce is how many small requests go in one write.
const piecesAtOnce = 64

func repeated(piece func(n int) string) func(k int) []byte {
	return func(k int) []byte {
		var b bytes.Buffer
		for n := range piecesAtOnce {
			b.WriteString(piece(k*piecesAtOnce + n))
		}
		return b.Bytes()
	}
}

func smallCallback(body string) string {
	return fmt.Sprintf("POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

var connectionFloods = []connectionFlood{
	{"ready", repeated(func(int) string { return "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" }), true},
	{"callbacks under new names", repeated(func(n int) string {
		return smallCallback(fmt.Sprintf(`{"id":"none-%d","from":"nobody-%d","state":"running","share":0.5}`, n, n))
	}), true},
	{"jobs under new names", repeated(func(n int) string {
		return fmt.Sprintf("POST /plan/%d HTTP/1.1\r\nHost: x\r\nX-Request-Id: tiny-%d\r\nX-Deadline: 0.001\r\nX-Cost-Hint: 9000000\r\nContent-Length: 0\r\n\r\n", n, n)
	}), true},
	{"empty lines", func(int) []byte { return bytes.Repeat([]byte("\r\n"), 2048) }, false},
	{"ahead of an answer", func(k int) []byte {
		if k == 0 {
			return []byte(request("held", "/order/x", "X-Cost-Hint: 10000\r\n"))
		}
		return bytes.Repeat([]byte("x"), 4096)
	}, false},
}

// usualLoad is what usual clients saw of their jobs.
type usualLoad struct {
	times  []time.Duration // of the answers 200
	others map[string]int  // other answers
}

func (u *usualLoad) quantile(q float64) time.Duration {
	if len(u.times) == 0 {
		return 0
	}
	slices.Sort(u.times)
	return u.times[int(q*float64(len(u.times)-1))]
}

func (u *usualLoad) String() string {
	return fmt.Sprintf("%d answers, p99 %s, others %v", len(u.times), u.quantile(0.99), u.others)
}

// usualClients run jobs one after the other on a connection each for the given time.
func (e *testEnv) usualClients(name string, clients int, duration time.Duration) *usualLoad {
	load := &usualLoad{others: map[string]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for k := range clients {
		c := e.dial()
		all.Go(func() {
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				begun := time.Now()
				answer, _, _ := strings.Cut(c.ask(request(fmt.Sprintf("usual-%s-%d-%d", name, k, n), "/plan/x", "X-Cost-Hint: 10000\r\n")), " ")
				took := time.Since(begun)
				mu.Lock()
				if answer == "200" {
					load.times = append(load.times, took)
				} else {
					load.others[answer]++
				}
				mu.Unlock()
				if answer == "no" {
					return
				}
			}
		})
	}
	all.Wait()
	return load
}

// flood sends on one connection at full speed for the given time, and returns how many answers came.
func (e *testEnv) flood(f connectionFlood, duration time.Duration) (answers int) {
	conn, err := net.DialTimeout("tcp", e.listen, waitTimeout)
	e.must(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(duration))
	var count atomic.Int64
	var reader sync.WaitGroup
	reader.Go(func() {
		for b := make([]byte, 64<<10); ; {
			n, err := conn.Read(b)
			count.Add(int64(bytes.Count(b[:n], []byte("HTTP/1.1 "))))
			if err != nil {
				return
			}
		}
	})
	for k := 0; ; k++ {
		if _, err := conn.Write(f.next(k)); err != nil {
			break
		}
	}
	reader.Wait()
	return int(count.Load())
}

// slowJobs is a worker's script that ends each job but "held" after a moment.
func (e *testEnv) slowJobs(name string) func(j job) {
	return func(j job) {
		accept(j)
		if j.id == "held" {
			return
		}
		go func() {
			e.callback(j.id, name, "started", "")
			time.Sleep(10 * time.Millisecond)
			e.callback(j.id, name, "done", "")
		}()
	}
}

// checkBeside fails the test if usual clients get fewer than three quarters of their answers beside the flood, or none
// after it.
func (e *testEnv) checkBeside(flood func(duration time.Duration) (answers int)) (answers int) {
	const clients, duration = 8, time.Second
	var workers []string
	for k := range 4 {
		name := fmt.Sprint("w", k)
		workers = append(workers, memberEntry(name, e.startWorker(name, e.slowJobs(name)), "in_service"))
	}
	e.publish(memberList(1, true, workers...))
	e.start()
	e.usualClients("first", clients, duration/2) // speeds are learned
	quiet := e.usualClients("quiet", clients, duration)
	var ended sync.WaitGroup
	ended.Go(func() { answers = flood(duration) })
	beside := e.usualClients("beside", clients, duration)
	ended.Wait()
	e.mu.Lock()
	attempts := strings.Count(e.seen.String(), ": usual-beside-")
	e.mu.Unlock()
	e.t.Logf("quiet: %s; beside the flood: %s, %d attempts; the flood got %d answers, peak %d KB", quiet, beside, attempts, answers, e.peakMemory())
	if len(beside.times) < len(quiet.times)*3/4 || beside.others["no"] > 0 {
		e.t.Errorf("usual clients got %d answers and %v beside the flood, %d without", len(beside.times), beside.others, len(quiet.times))
	}
	if got := e.usualJob("usual-after"); got != "200" {
		e.t.Errorf("a usual job after the flood: %s", got)
	}
	return answers
}

// TestFloodOnOneConnection guards against one client that sends small requests on one connection at full speed:
// usual clients got few of their answers, late, and their jobs ran twice.
func TestFloodOnOneConnection(t *testing.T) {
	// Answers in a second to one connection that sends at full speed, and those that may come at its start.
	const answersPerSecond, answersAtOnce = 2000, 200
	for _, f := range connectionFloods {
		t.Run(f.name, func(t *testing.T) {
			e := newTakeoverEnv(t)
			var most int
			answers := e.checkBeside(func(duration time.Duration) int {
				most = answersAtOnce + int(duration.Seconds()*answersPerSecond)
				return e.flood(f, duration)
			})
			if f.answers && (answers == 0 || answers > most) {
				t.Errorf("the flood got %d answers, at most %d are due to one connection", answers, most)
			}
		})
	}
}
