package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintally/cumintally/platform/standin"
)

// runner is a runner of a plain service.
type runner struct {
	id      string
	service string
	zone    string
	store   *standin.Store
	rec     *record
	srv     *http.Server
	address string
	// work is the time that a request runs, and slowdown multiplies it.
	work     time.Duration
	slowdown atomic.Int64
	state    atomic.Value
	// answerSize is the size of answers in bytes, which are made in answerParts parts over the time of work; 0 for short
	// answers at its end.
	answerSize atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached a runner.
type arrival struct {
	at      time.Time
	request string
	runner  string
	path    string
}

// addRunner starts a runner and registers it.
func (lab *lab) addRunner(id, service, zone string, work time.Duration) (*runner, error) {
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rnr := &runner{
		id:      id,
		service: service,
		zone:    zone,
		store:   lab.store,
		rec:     lab.rec,
		address: lst.Addr().String(),
		work:    work,
	}
	rnr.state.Store("ready")
	rnr.slowdown.Store(1)
	rnr.srv = &http.Server{
		Handler:           http.HandlerFunc(rnr.serve),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = rnr.srv.Serve(lst) }()
	lab.closers = append(lab.closers, func() { _ = rnr.srv.Close() })
	rnr.register("ready")
	return rnr, nil
}

// register writes the runner's entry and returns when the store has acknowledged it.
func (rnr *runner) register(state string) time.Time {
	rnr.state.Store(state)
	rnr.store.Put("servers", rnr.id, map[string]any{
		"service":      rnr.service,
		"address":      rnr.address,
		"zone":         rnr.zone,
		"version":      1,
		"slots":        6,
		"state":        state,
		"cold-left-ms": 0,
		"seq":          1,
		"born":         rnr.rec.start.UnixMilli(),
	})
	at := time.Now()
	rnr.rec.printfAt(at, "store: runner %s is registered as %s", rnr.id, state)
	return at
}

func (rnr *runner) serve(wrt http.ResponseWriter, req *http.Request) {
	at := time.Now()
	wrt.Header().Set("X-Cumintally-Instance-Id", rnr.id)
	id := req.Header.Get("X-Cumintally-Request-Id")
	wrt.Header().Set("X-Cumintally-Request-Id", id)
	if want := req.Header.Get("X-Cumintally-Expect-Instance"); want != "" && want != rnr.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	rnr.mu.Lock()
	rnr.arrivals = append(rnr.arrivals, arrival{
		at:      at,
		request: id,
		runner:  rnr.id,
		path:    req.URL.Path,
	})
	rnr.mu.Unlock()
	rnr.rec.printfAt(at, "runner %s (%s) runs %s %s", rnr.id, rnr.state.Load(), id, req.URL.Path)
	work := rnr.work * time.Duration(rnr.slowdown.Load())
	size := int(rnr.answerSize.Load())
	if size == 0 {
		time.Sleep(work)
	}
	if rnr.state.Load() == "draining" {
		wrt.Header().Set("Connection", "close")
	}
	wrt.Header().Set("X-Cumintally-Server-Seal", rnr.id+"."+id)
	if size > 0 {
		err := writeInParts(wrt, size, work)
		rnr.rec.printf("runner %s has written the answer to %s, error %v", rnr.id, id, err)
		return
	}
	body, _ := json.Marshal(map[string]string{
		"done": id,
	})
	_, _ = wrt.Write(body)
}

// answerParts is the number of parts of a long answer.
const answerParts = 32

// writeInParts writes an answer of size bytes evenly over the time of work.
func writeInParts(wrt http.ResponseWriter, size int, work time.Duration) error {
	wrt.Header().Set("Content-Length", strconv.Itoa(size))
	part := bytes.Repeat([]byte("x"), size/answerParts)
	for range answerParts {
		time.Sleep(work / answerParts)
		if _, err := wrt.Write(part); err != nil {
			return err
		}
		if err := http.NewResponseController(wrt).Flush(); err != nil {
			return err
		}
	}
	return nil
}

// reached returns the requests that reached the runner.
func (rnr *runner) reached() []arrival {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	return append([]arrival(nil), rnr.arrivals...)
}
