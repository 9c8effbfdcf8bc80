package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is what became of one client attempt.
type attempt struct {
	sentAt time.Time
	// status is 0 if there was no whole answer.
	status     int
	sealed     bool
	retryAfter float64
	detail     string
}

// request is a request of a client, with its retry.
type request struct {
	sentAt time.Time
	kind   string
	served bool
	last   attempt
}

// ledger holds the requests that have ended.
type ledger struct {
	mu   sync.Mutex
	list []request
}

func (ldg *ledger) add(req request) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	ldg.list = append(ldg.list, req)
}

// share returns how many requests were sent in a span of time, and how many of them were served.
func (ldg *ledger) share(from, till time.Time, kind string) (num, served int) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	for _, req := range ldg.list {
		if req.sentAt.Before(from) || !req.sentAt.Before(till) || (kind != "" && req.kind != kind) {
			continue
		}
		num++
		if req.served {
			served++
		}
	}
	return num, served
}

// send makes one attempt on a new connection to a daemon.
func (wld *world) send(dmn *daemon, method, path, body, id string, deadline time.Duration) attempt {
	return wld.sendWith(dmn, method, path, body, "", id, deadline)
}

// sendWith is send with further header lines, each with its end.
func (wld *world) sendWith(dmn *daemon, method, path, body, lines, id string, deadline time.Duration) attempt {
	att := attempt{sentAt: time.Now()}
	con, err := net.DialTimeout("tcp", dmn.front, time.Second)
	if err != nil {
		att.detail = err.Error()
		return att
	}
	defer con.Close()
	_ = con.SetDeadline(att.sentAt.Add(deadline))
	text := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cumintally-Request-Id: " + id +
		"\r\nX-Cumintally-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\nApi-Key: " + apiKey + "\r\n" + lines
	if body != "" {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(con, text+"\r\n"+body); err != nil {
		att.detail = err.Error()
		return att
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: method})
	if err != nil {
		att.detail = err.Error()
		return att
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		att.detail = err.Error()
		return att
	}
	att.status = res.StatusCode
	att.sealed = res.Header.Get("X-Cumintally-Server-Seal") != ""
	att.retryAfter, _ = strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	att.detail = strings.TrimSpace(string(data[:min(len(data), 160)]))
	return att
}

// ask sends a request to daemons in rotation and retries it once as the pages say: an idempotent one after any failure, any other one
// after a promise, each within the deadline and after Retry-After, of which a client honours up to a third of its time left.
func (wld *world) ask(ldg *ledger, kind, method, path, body string, idempotent bool) {
	wld.askWith(ldg, kind, method, path, body, "", idempotent, 2500*time.Millisecond)
}

// askWith is ask with further header lines, each with its end, and a deadline.
func (wld *world) askWith(ldg *ledger, kind, method, path, body, lines string, idempotent bool, deadline time.Duration) {
	req := request{sentAt: time.Now(), kind: kind}
	for try := range 2 {
		left := deadline - time.Since(req.sentAt)
		dmns := wld.inRotation()
		if left < 50*time.Millisecond || len(dmns) == 0 {
			break
		}
		dmn := dmns[rand.IntN(len(dmns))]
		id := fmt.Sprintf("%016x", rand.Uint64())
		req.last = wld.sendWith(dmn, method, path, body, lines, id, left)
		wld.logf("client: %s %s %s try %d at %s: status %d, Retry-After %.2f, seal %t, %q", id, method, path, try+1, dmn.name,
			req.last.status, req.last.retryAfter, req.last.sealed, req.last.detail)
		if req.last.status == 200 && req.last.sealed {
			req.served = true
			break
		}
		promise := req.last.status == 503 || req.last.status == 429 || req.last.status == 408 || req.last.status == 421
		if !idempotent && !promise {
			break
		}
		left = deadline - time.Since(req.sentAt)
		time.Sleep(min(time.Duration(req.last.retryAfter*float64(time.Second)), left/3))
	}
	ldg.add(req)
}

// traffic sends requests at a rate until stop is closed.
func (wld *world) traffic(stop <-chan struct{}, perSecond float64, send func()) *sync.WaitGroup {
	var wgr sync.WaitGroup
	wgr.Add(1)
	go func() {
		defer wgr.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(float64(time.Second) / perSecond)):
			}
			wgr.Add(1)
			go func() {
				defer wgr.Done()
				send()
			}()
		}
	}()
	return &wgr
}
