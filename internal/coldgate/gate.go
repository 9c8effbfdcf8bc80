package coldgate

import (
	"sync"
	"time"
)

// Window is the sliding window over which requests to a cold backend server are counted.
const Window = time.Second

// Gate limits the rate of requests that this daemon sends to each cold backend server.
type Gate struct {
	daemonCount func() int

	mu     sync.Mutex
	sentAt map[string][]time.Time
}

// New returns a gate that has counted no requests. The function daemonCount returns the number of daemons that share
// the rate.
func New(daemonCount func() int) *Gate {
	return &Gate{
		daemonCount: daemonCount,
		sentAt:      map[string][]time.Time{},
	}
}

// Open reports whether one more request may be sent to a cold backend server now, without counting it.
func (gte *Gate) Open(server string, perSecond float64, now time.Time) bool {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	return len(gte.recentSends(server, now)) < gte.quota(perSecond)
}

// Pass reports whether a request may be sent to a cold backend server now, and counts it if so.
func (gte *Gate) Pass(server string, perSecond float64, now time.Time) bool {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	sent := gte.recentSends(server, now)
	if len(sent) >= gte.quota(perSecond) {
		return false
	}
	gte.sentAt[server] = append(sent, now)
	return true
}

// quota returns this daemon's part of the rate, rounded down so that the parts of all daemons never exceed the rate.
func (gte *Gate) quota(perSecond float64) int {
	return int(perSecond) / max(1, gte.daemonCount())
}

func (gte *Gate) recentSends(server string, now time.Time) []time.Time {
	sent := gte.sentAt[server]
	idx := 0
	for idx < len(sent) && now.Sub(sent[idx]) >= Window {
		idx++
	}
	if idx == len(sent) {
		delete(gte.sentAt, server)
		return nil
	}
	gte.sentAt[server] = sent[idx:]
	return sent[idx:]
}
