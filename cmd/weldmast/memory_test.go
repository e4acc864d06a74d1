package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// These tests send far more than limits.memory_mb at once. The platform kills a process that exceeds it, and
// all that it has accepted is lost.

const (
	floodClients = 600      // "hundreds of requests at once"
	floodBody    = 64 << 10 // the largest body that the protocol allows
	floodLines   = 2900     // of 5 bytes: the head stays below 16 KiB, and is far larger once it is parsed
	floodResult  = 60 << 10 // the largest result that fits into a callback
	floodExpiry  = 5 * time.Second
	heldExpiry   = 30 * time.Second // a busy machine takes seconds to send all jobs, and a replacement takes 3.7 s
)

// floodHead returns the head of a job with many short lines.
func floodHead(id string, lines, length int) []byte {
	return fmt.Appendf(nil, "POST /plan/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Tenant: acme\r\nX-Deadline: 3.000\r\nX-Cost-Hint: 20000\r\n%sContent-Length: %d\r\n\r\n",
		id, strings.Repeat("a:b\r\n", lines), length)
}

// exclusiveJob returns a job that stays at its worker, with a body of the given length.
func exclusiveJob(id string, length int) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Tenant: acme\r\nX-Cost-Hint: 200000\r\nContent-Length: %d\r\n\r\n%s",
		id, length, strings.Repeat("b", length))
}

// flood is many clients that misbehave at once.
type flood struct {
	name string
	// misbehave is called for each client with its number; the connection is closed at the end of the flood.
	misbehave func(c net.Conn, k int)
	waits     bool // each client waits for an answer or the end of its connection
}

var floods = []flood{
	{"large jobs", func(c net.Conn, k int) {
		c.Write(floodHead(fmt.Sprint("large-", k), floodLines, floodBody))
		c.Write(make([]byte, floodBody))
	}, true},
	{"large chunked jobs", func(c net.Conn, k int) {
		head := floodHead(fmt.Sprint("chunked-", k), floodLines, 0)
		c.Write(bytes.Replace(head, []byte("Content-Length: 0"), []byte("Transfer-Encoding: chunked"), 1))
		for range 16 {
			fmt.Fprintf(c, "%x\r\n%s\r\n", floodBody/16, make([]byte, floodBody/16))
		}
		io.WriteString(c, "0\r\n\r\n")
	}, true},
	{"heads without end", func(c net.Conn, k int) {
		head := floodHead(fmt.Sprint("endless-", k), floodLines, floodBody)
		c.Write(head[:len(head)-2])
	}, false},
	{"half a body", func(c net.Conn, k int) {
		c.Write(floodHead(fmt.Sprint("half-", k), floodLines, floodBody))
		c.Write(make([]byte, floodBody/2))
	}, false},
	{"sent ahead", func(c net.Conn, k int) {
		c.Write(append(floodHead(fmt.Sprint("first-", k), 0, 4), "body"...))
		c.Write(floodHead(fmt.Sprint("ahead-", k), floodLines, floodBody))
		c.Write(make([]byte, floodBody))
	}, false},
	{"a head sent ahead", func(c net.Conn, k int) {
		text := append(floodHead(fmt.Sprint("one-", k), 0, 4), "body"...)
		c.Write(append(text, floodHead(fmt.Sprint("two-", k), floodLines, floodBody)...))
	}, false},
	{"answers that are not read", func(c net.Conn, k int) {
		c.(*net.TCPConn).SetReadBuffer(1)
		c.Write(append(floodHead(fmt.Sprint("result-", k), 0, 4), "body"...))
	}, false},
	{"small jobs that wait", func(c net.Conn, k int) {
		c.Write(floodHead(fmt.Sprint("wait-", k), 0, 3<<10))
		c.Write(make([]byte, 3<<10))
		c.Write(floodHead(fmt.Sprint("behind-", k), 0, 3<<10))
		c.Write(make([]byte, 3<<10))
	}, false},
	{"long answers of workers", func(c net.Conn, k int) {
		c.Write(append(floodHead(fmt.Sprint("stall-", k), 0, 4), "body"...))
	}, false},
	{"sent and gone", func(c net.Conn, k int) {
		c.Write(floodHead(fmt.Sprint("gone-", k), floodLines, floodBody))
		c.Write(make([]byte, floodBody))
		c.Close()
	}, false},
	{"large callbacks", func(c net.Conn, k int) {
		body := fmt.Appendf(nil, `{"id":"none-%d","from":"w1","state":"done","result":"%s"}`, k, strings.Repeat("r", floodResult))
		for range 4 {
			fmt.Fprintf(c, "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}, false},
	{"silent", func(net.Conn, int) {}, false},
}

// memoryLimits are the least and the most that the platform gives, and one between them, in MB.
var memoryLimits = []int{32, 64, 192}

// newMemoryEnv returns an environment whose settings do not limit how many clients wait. Exclusive jobs are not
// given up before they expire.
func newMemoryEnv(t *testing.T, memoryMB int, expiry time.Duration) *testEnv {
	e := newTakeoverEnv(t)
	e.memoryMB, e.openCap = memoryMB, 20000
	e.swap = [2]string{`"once","due_time":2000000,"expiry":5000000`, fmt.Sprintf(`"once","due_time":%d,"expiry":%[1]d`, expiry.Microseconds())}
	var workers []string
	for k := range 40 {
		name := fmt.Sprint("w", k)
		workers = append(workers, memberEntry(name, e.floodWorker(name), "in_service"))
	}
	e.publish(memberList(1, true, workers...))
	e.start()
	return e
}

// TestMemoryLimit guards against clients that make the process exceed limits.memory_mb, by what it keeps for
// them: parsed heads, bodies, bytes sent ahead, answers that are not read, callbacks. Usual jobs go on, and a
// client that waits for its answer gets one, or its connection is closed.
func TestMemoryLimit(t *testing.T) {
	for _, memoryMB := range memoryLimits {
		t.Run(fmt.Sprint(memoryMB, "MB"), func(t *testing.T) {
			t.Parallel()
			e := newMemoryEnv(t, memoryMB, floodExpiry)
			for _, f := range floods {
				e.playFlood(f)
				e.checkPeak(f.name)
			}
			e.resetPeak()
			e.floodDatagrams(time.Second)
			e.checkPeak("a peer's datagrams")
		})
	}
}

// TestMemoryLimitUpgrade guards against two processes that together exceed limits.memory_mb while as many large
// jobs as there is room for are handed over.
func TestMemoryLimitUpgrade(t *testing.T) {
	for _, memoryMB := range memoryLimits {
		t.Run(fmt.Sprint(memoryMB, "MB"), func(t *testing.T) {
			t.Parallel()
			e := newMemoryEnv(t, memoryMB, heldExpiry)
			var clients sync.WaitGroup
			var served, unanswered atomic.Int64
			for k := range floodClients {
				c := e.dial()
				clients.Go(func() {
					defer c.Close()
					io.WriteString(c, exclusiveJob(fmt.Sprint("hold-", k), floodBody))
					switch answer := c.answer(); {
					case strings.HasPrefix(answer, "200"):
						served.Add(1)
					case answer == "no answer":
						unanswered.Add(1)
					}
				})
			}
			e.until("waiting jobs", func() bool { return strings.Count(e.output.String(), "request not kept") > 0 })
			older := e.startSuccessor()
			e.must(older.Process.Signal(syscall.SIGTERM))
			var ended atomic.Bool
			go func() {
				older.Wait()
				ended.Store(true)
			}()
			peak := 0
			for !ended.Load() {
				peak = max(peak, statusKB(older.Process.Pid, "RssAnon:")+statusKB(e.cmd.Process.Pid, "RssAnon:")+statusKB(e.cmd.Process.Pid, "RssFile:"))
				time.Sleep(2 * time.Millisecond)
			}
			e.finishHeld()
			clients.Wait()
			t.Logf("%d MB: peak of both %d KB, %d jobs served, %d unanswered", memoryMB, peak, served.Load(), unanswered.Load())
			if peak > memoryMB<<10 && !raceEnabled() {
				t.Errorf("peak memory of both processes %d KB", peak)
			}
			if served.Load() == 0 || unanswered.Load() > 0 {
				t.Errorf("%d jobs that were handed over were served, %d clients got no answer", served.Load(), unanswered.Load())
			}
		})
	}
}

// finishHeld ends the jobs that workers hold, and those that they get from now on.
func (e *testEnv) finishHeld() {
	e.finishing.Store(true)
	e.mu.Lock()
	lines := strings.Split(e.seen.String(), "\n")
	e.mu.Unlock()
	for _, line := range lines {
		if worker, id, _ := strings.Cut(line, ": "); strings.HasPrefix(id, "hold-") {
			e.callback(id, worker, "done", "")
		}
	}
}

// floodWorker starts a worker that ends usual jobs at once and others after a moment.
func (e *testEnv) floodWorker(name string) string {
	return e.startWorker(name, func(j job) {
		if strings.HasPrefix(j.id, "stall-") {
			stallAnswer(j)
			return
		}
		accept(j)
		if strings.HasPrefix(j.id, "wait-") {
			return
		}
		if strings.HasPrefix(j.id, "hold-") {
			e.callback(j.id, name, "started", "")
			if !e.finishing.Load() {
				return
			}
		}
		result := ""
		if strings.HasPrefix(j.id, "result-") {
			result = strings.Repeat("r", floodResult)
		}
		if !strings.HasPrefix(j.id, "usual-") {
			time.Sleep(20 * time.Millisecond)
		}
		e.callback(j.id, name, "done", result)
	})
}

// stallAnswer sends a part of a long answer and stalls.
func stallAnswer(j job) {
	j.out.Header().Set("Content-Length", fmt.Sprint(floodBody))
	j.out.WriteHeader(http.StatusAccepted)
	j.out.Write(make([]byte, floodResult))
	j.out.(http.Flusher).Flush()
	time.Sleep(time.Second)
}

// peakMemory returns the highest resident memory of the program so far, in KB, with pages of files.
func (e *testEnv) peakMemory() int { return statusKB(e.cmd.Process.Pid, "VmHWM:") }

// resetPeak makes peakMemory begin anew.
func (e *testEnv) resetPeak() {
	e.must(os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", e.cmd.Process.Pid), []byte("5"), 0o600))
}

// checkPeak compares the peak with limits.memory_mb.
func (e *testEnv) checkPeak(after string) {
	e.t.Helper()
	if peak := e.peakMemory(); peak > e.memoryMB<<10 && !raceEnabled() {
		e.t.Errorf("%s: peak memory %d KB", after, peak)
	}
}

// floodDatagrams sends datagrams of the peer at full speed.
func (e *testEnv) floodDatagrams(duration time.Duration) {
	to, err := net.ResolveUDPAddr("udp", e.peerAddr)
	e.must(err)
	data, sent := make([]byte, 256), 0
	for end := time.Now().Add(duration); time.Now().Before(end); sent++ {
		e.peer.WriteTo(data, to)
	}
	e.t.Logf("%d MB, %d datagrams: peak %d KB", e.memoryMB, sent, e.peakMemory())
	if got := e.usualJob("usual-after-datagrams"); got != "200" {
		e.t.Errorf("after %d datagrams a usual job got %s", sent, got)
	}
}

// statusKB returns a figure of a process's status, in KB; 0 if the process has ended.
func statusKB(pid int, figure string) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, after, _ := strings.Cut(string(text), figure)
	fmt.Sscan(after, &kb)
	return kb
}

// playFlood plays a flood beside usual jobs.
func (e *testEnv) playFlood(f flood) {
	e.resetPeak()
	const usualJobs, interval = 30, 50 * time.Millisecond
	var conns []net.Conn
	var clients sync.WaitGroup
	var unended atomic.Int64
	for k := range floodClients {
		c, err := net.DialTimeout("tcp", e.listen, waitTimeout)
		if err != nil {
			e.t.Fatalf("%s: %v", f.name, err)
		}
		conns = append(conns, c)
		clients.Go(func() {
			c.SetDeadline(time.Now().Add(waitTimeout))
			f.misbehave(c, k)
			if !f.waits {
				return
			}
			if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				unended.Add(1)
			}
		})
	}
	var usual sync.WaitGroup
	var served, refused atomic.Int64
	var mu sync.Mutex
	others := map[string]int{}
	for k := range usualJobs {
		usual.Go(func() {
			switch answer := e.usualJob(fmt.Sprintf("usual-%s-%d", strings.ReplaceAll(f.name, " ", "-"), k)); answer {
			case "200":
				served.Add(1)
			case "503":
				refused.Add(1)
			default:
				mu.Lock()
				others[answer]++
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	usual.Wait()
	if f.waits {
		clients.Wait()
	}
	for _, c := range conns {
		c.Close()
	}
	clients.Wait()
	e.until("a usual job to be served after the flood", func() bool {
		return e.usualJob(fmt.Sprint("usual-after-", time.Now().UnixNano())) == "200"
	})
	e.t.Logf("%d MB, %s: peak %d KB, of %d usual jobs %d served, %d refused", e.memoryMB, f.name, e.peakMemory(), usualJobs, served.Load(), refused.Load())
	if served.Load() < usualJobs/2 || served.Load()+refused.Load() < usualJobs {
		e.t.Errorf("%s: of %d usual jobs %d were served, %d refused, others %v", f.name, usualJobs, served.Load(), refused.Load(), others)
	}
	if unended.Load() > 0 {
		e.t.Errorf("%s: %d clients got neither an answer nor a close", f.name, unended.Load())
	}
}

// usualJob hands in a small job and returns the status of its answer. If its connection was closed unread to
// make room, it sends the job once more, as the protocol has it.
func (e *testEnv) usualJob(id string) string {
	answer := ""
	for try := range 2 {
		c := e.dial()
		answer, _, _ = strings.Cut(c.ask(request(fmt.Sprint(id, "-", try), "/plan/x", "X-Cost-Hint: 10000\r\n")), " ")
		c.Close()
		if answer != "no" {
			break
		}
	}
	return answer
}
