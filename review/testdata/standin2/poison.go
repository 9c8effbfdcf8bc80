package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	poison = "a prompt that crashes the runners"
	// streamEvents and eventPause are those of herder-chat: 27 events, five steps of about 10 ms each.
	streamEvents = 27
	eventPause   = 50 * time.Millisecond
	// downTime is the time after which a runner that has crashed is back.
	downTime = 3 * time.Second
)

// poisonLog holds what the poisonous request did to runners.
type poisonLog struct {
	mu      sync.Mutex
	arrived []arrival
	crashes []time.Time
}

// arrival is a send of the poisonous request that reached a runner.
type arrival struct {
	id string
	at time.Time
}

var poisoned poisonLog

// stream answers a request of a streaming route that may be resumed. It reports whether the connection stays open.
func (rnr *runner) stream(con net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Cumintally-Request-Id")
	head := "X-Cumintally-Instance-Id: " + rnr.id + "\r\nKeep-Alive: timeout=20\r\nX-Cumintally-Request-Id: " + id + "\r\n"
	if want := req.Header.Get("X-Cumintally-Expect-Instance"); want != rnr.id {
		return write(con, 421, head, nil)
	}
	if !rnr.enter() {
		return write(con, 503, head+"X-Cumintally-Not-Executed: 1\r\n", nil)
	}
	defer rnr.leave()
	rnr.mu.Lock()
	rnr.runs[id]++
	rnr.mu.Unlock()
	next := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	if body == poison {
		poisoned.mu.Lock()
		poisoned.arrived = append(poisoned.arrived, arrival{id: id, at: time.Now()})
		poisoned.mu.Unlock()
	}
	rnr.wld.logf("runner %s: runs stream %s from event %d, poisonous %t", rnr.id, id, next, body == poison)
	if _, err := con.Write([]byte("HTTP/1.1 200 OK\r\n" + head + "X-Cumintally-Server-Seal: seal-" + rnr.id +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	for sent := 0; next <= streamEvents; next++ {
		time.Sleep(eventPause)
		evt := fmt.Sprintf("id: %d\ndata: five words of the answer\n\n", next)
		if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(evt), evt); err != nil {
			return false
		}
		if sent++; body == poison && sent == rnr.crashAfter {
			go rnr.crash()
			return false
		}
	}
	_, err := con.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// crash ends the runner, whose connections are reset, and starts it again under its ID after some seconds.
func (rnr *runner) crash() {
	poisoned.mu.Lock()
	poisoned.crashes = append(poisoned.crashes, time.Now())
	num := len(poisoned.crashes)
	poisoned.mu.Unlock()
	rnr.wld.logf("runner %s: crashes, crash %d by the poisonous request", rnr.id, num)
	_ = rnr.lst.Close()
	rnr.mu.Lock()
	for con := range rnr.conns {
		_ = con.(*net.TCPConn).SetLinger(0)
		_ = con.Close()
	}
	rnr.mu.Unlock()
	time.Sleep(downTime)
	lst, err := net.Listen("tcp", rnr.lst.Addr().String())
	if err != nil {
		rnr.wld.logf("runner %s: can't start again: %v", rnr.id, err)
		return
	}
	rnr.lst = lst
	go rnr.accept()
	rnr.register()
	rnr.wld.logf("runner %s: is back", rnr.id)
}

// playPoison: a request crashes each runner that runs it, some events after it has begun, and its client sends it again and again.
func playPoison(wld *world) (int, error) {
	wld.putConfig([]map[string]any{
		{
			"name": "chat", "host": host, "path-prefix": "/chat/", "kind": "streaming", "stream-resume": true, "service": "model", "timeout-ms": 6000,
			"slo-ms": 300, "gap-target-ms": 200, "max-attempts": 2, "priority": 1,
		},
		{
			"name": "deposit", "host": host, "path-prefix": "/deposits/", "kind": "non_idempotent", "service": "model", "timeout-ms": 1200, "slo-ms": 150,
			"max-attempts": 1, "priority": 2,
		},
	}, []map[string]any{{"name": "model", "health-path": "/health", "max-conns": modelLimits.connections}})
	for num := range 9 {
		rnr, err := wld.addRunner(fmt.Sprintf("i-model-%d", num), "model", zones[num%len(zones)], modelLimits)
		if err != nil {
			return failed, err
		}
		rnr.work = 200 * time.Millisecond
		rnr.crashAfter = crashAfter
	}
	for num := range 8 {
		if err := wld.addDaemon(num); err != nil {
			return failed, err
		}
	}
	if err := wld.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wld.balance(stop)
	time.Sleep(1500 * time.Millisecond)
	var ldg ledger
	began := time.Now()
	waits := []*sync.WaitGroup{
		wld.traffic(stop, 10, func() { wld.ask(&ldg, "chat", "POST", "/chat/", fmt.Sprintf("prompt %x", rand.Uint64()), true) }),
		wld.traffic(stop, 10, func() {
			wld.ask(&ldg, "deposit", "POST", "/deposits/", fmt.Sprintf("deposit %x", rand.Uint64()), false)
		}),
	}
	time.Sleep(5 * time.Second)
	for wld.trouble && time.Since(began) < 60*time.Second {
		dmns := wld.inRotation()
		id := fmt.Sprintf("%016x", rand.Uint64())
		att := wld.send(dmns[rand.IntN(len(dmns))], "POST", "/chat/", poison, id, 6*time.Second)
		wld.logf("client: poisonous %s: status %d, Retry-After %.2f, %q", id, att.status, att.retryAfter, att.detail)
		time.Sleep(2 * time.Second)
	}
	if !wld.trouble {
		time.Sleep(30 * time.Second)
	}
	close(stop)
	for _, wgr := range waits {
		wgr.Wait()
	}
	wld.logLimits()
	num, served := ldg.share(began, time.Now(), "deposit")
	poisoned.mu.Lock()
	defer poisoned.mu.Unlock()
	retries := map[string]bool{}
	if len(poisoned.crashes) >= 3 {
		for _, arr := range poisoned.arrived {
			if arr.at.After(poisoned.crashes[2].Add(stable)) {
				retries[arr.id] = true
			}
		}
	}
	wld.logf("%d crashes; later than stable-window-ms after the third, the request reached runners in %d retries; deposits served: %d of %d",
		len(poisoned.crashes), len(retries), served, num)
	fmt.Printf("crashes %d, retries later than stable-window-ms after the third %d, deposits %d/%d\n", len(poisoned.crashes), len(retries), served, num)
	if len(retries) > 3 {
		return broken, nil
	}
	return held, nil
}

// crashAfter is the number of events after which the poisonous request crashes a runner.
const crashAfter = 8
