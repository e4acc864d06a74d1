// Command toy simulates a discovery service and a few workers, so that a newcomer can try one dispatcher.
// Each worker runs one job at a time, for as long as the job's cost hint says divided by the worker's speed.
// It is only an example and must never be used as a real worker.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is a job queued at a worker.
type job struct {
	id, path string
	duration time.Duration
}

type worker struct {
	name        string
	speed       float64
	callbackURL string
	jobs        chan job
	mu          sync.Mutex
	cancelled   map[string]bool // IDs of jobs to skip because the dispatcher cancelled them
}

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address on which discovery listens")
	dispatcher := flag.String("dispatcher", "127.0.0.1:8000", "address on which the dispatcher accepts callbacks")
	flag.Parse()
	var workers []string
	for name, speed := range map[string]float64{"fast-1": 2, "fast-2": 2, "slow-1": 1, "slow-2": 1} {
		w := &worker{name: name, speed: speed, callbackURL: "http://" + *dispatcher + "/callback",
			jobs: make(chan job, 8), cancelled: map[string]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			log.Fatal(err)
		}
		go w.run()
		go func() { log.Fatal(http.Serve(l, w)) }()
		kind, _, _ := strings.Cut(name, "-")
		workers = append(workers, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","flavor":%q,"cell":0,`+
			`"phase":"in_service","size":1.0,"up_since_ms":0}`, name, l.Addr(), kind))
		log.Printf("worker=%s addr=%s", name, l.Addr())
	}
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(workers, ","))
	http.HandleFunc("GET /v1/endpoints", func(out http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(out, list)
		for r.FormValue("watch") != "" && r.Context().Err() == nil {
			out.(http.Flusher).Flush()
			time.Sleep(2 * time.Second)
			fmt.Fprintln(out)
		}
	})
	log.Fatal(http.ListenAndServe(*discovery, nil))
}

// ServeHTTP accepts a job, rejects it when the worker's queue is full, or cancels one.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/jobs/"); ok && r.Method == http.MethodDelete {
		w.mu.Lock()
		w.cancelled[id] = true
		w.mu.Unlock()
		return
	}
	duration := 100 * time.Millisecond
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil {
		duration = time.Duration(hint) * time.Microsecond
	}
	j := job{r.Header.Get("X-Request-Id"), r.URL.Path, time.Duration(float64(duration) / w.speed)}
	select {
	case w.jobs <- j:
		out.WriteHeader(http.StatusAccepted)
	default:
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *worker) run() {
	for j := range w.jobs {
		w.mu.Lock()
		cancelled := w.cancelled[j.id]
		delete(w.cancelled, j.id)
		w.mu.Unlock()
		if cancelled {
			continue
		}
		w.sendCallback(map[string]any{"id": j.id, "from": w.name, "state": "started"})
		time.Sleep(j.duration)
		w.sendCallback(map[string]any{"id": j.id, "from": w.name, "state": "done", "result": j.path + " done by " + w.name + "\n"})
	}
}

// sendCallback posts an update to the dispatcher until it is accepted, at most ten times.
func (w *worker) sendCallback(update map[string]any) {
	body, _ := json.Marshal(update)
	for range 10 {
		if r, err := http.Post(w.callbackURL, "application/json", bytes.NewReader(body)); err == nil {
			r.Body.Close()
			if r.StatusCode < 300 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	log.Printf("worker=%s undelivered=%v", w.name, update)
}
