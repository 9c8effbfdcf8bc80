package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// client sends requests to one daemon over kept connections.
type client struct {
	rec *record
	dmn *daemon
	htc *http.Client

	mu   sync.Mutex
	next int
	sent map[string]sending
}

// sending is one request of a client.
type sending struct {
	at     time.Time
	daemon string
	// kept states that the request was sent on a connection that had carried another one before.
	kept   bool
	path   string
	status int
	err    error
	// endedAt is when the answer was whole or the connection had ended.
	endedAt time.Time
}

// brokeOff reports whether the connection ended without a whole answer before the route's timeout, which excuses it.
func (snd *sending) brokeOff() bool {
	return snd.err != nil && snd.endedAt.Sub(snd.at) < routeTimeout
}

func newClient(rec *record, dmn *daemon) *client {
	return &client{
		rec: rec,
		dmn: dmn,
		htc: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 16,
				IdleConnTimeout:     10 * time.Second,
			},
		},
		sent: map[string]sending{},
	}
}

// send sends one request and waits for its answer.
func (cli *client) send(method, path, key string, deadline time.Duration, body string) (int, error) {
	cli.mu.Lock()
	cli.next++
	id := fmt.Sprintf("%s-%04d", cli.dmn.name, cli.next)
	cli.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cli.dmn.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	// Without GetBody, net/http sends a request once only.
	req.GetBody = nil
	req.Host = callerHost
	req.Header.Set("X-Cumintally-Request-Id", id)
	req.Header.Set("X-Cumintally-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	snd := sending{
		at:     time.Now(),
		daemon: cli.dmn.name,
		path:   path,
	}
	cli.rec.printfAt(snd.at, "client sends %s %s %s to %s", id, method, path, cli.dmn.name)
	res, err := cli.htc.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		snd.status = res.StatusCode
	}
	snd.err = err
	snd.endedAt = time.Now()
	snd.kept = kept
	cli.rec.printf("client gets for %s: status %d, error %v", id, snd.status, err)
	cli.mu.Lock()
	cli.sent[id] = snd
	cli.mu.Unlock()
	return snd.status, err
}

// sendSteadily sends a request after each interval until ctx ends, and waits for all answers.
func (cli *client) sendSteadily(ctx context.Context, interval time.Duration, send func()) {
	var wgr sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		wgr.Go(send)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	wgr.Wait()
}

func (cli *client) sending(id string) (sending, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	snd, ok := cli.sent[id]
	return snd, ok
}
