package coldlimit

import (
	"sync"
	"time"
)

// Window is the sliding window over which requests to a cold backend server are counted.
const Window = time.Second

// Limiter limits the rate of requests that this daemon sends to each cold backend server.
type Limiter struct {
	daemonCount func() int

	mu     sync.Mutex
	sentAt map[string][]time.Time
}

// New returns a limiter that has counted no requests. The function daemonCount returns the number of daemons that share
// the rate.
func New(daemonCount func() int) *Limiter {
	return &Limiter{
		daemonCount: daemonCount,
		sentAt:      map[string][]time.Time{},
	}
}

// Allowed reports whether one more request may be sent to a cold backend server now, without counting it.
func (lim *Limiter) Allowed(server string, perSecond float64, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return len(lim.recentSends(server, now)) < lim.quota(perSecond)
}

// Take reports whether a request may be sent to a cold backend server now, and counts it if so.
func (lim *Limiter) Take(server string, perSecond float64, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	sent := lim.recentSends(server, now)
	if len(sent) >= lim.quota(perSecond) {
		return false
	}
	lim.sentAt[server] = append(sent, now)
	return true
}

// quota returns this daemon's part of the rate, rounded down so that the parts of all daemons never exceed the rate.
func (lim *Limiter) quota(perSecond float64) int {
	return int(perSecond) / max(1, lim.daemonCount())
}

func (lim *Limiter) recentSends(server string, now time.Time) []time.Time {
	sent := lim.sentAt[server]
	idx := 0
	for idx < len(sent) && now.Sub(sent[idx]) >= Window {
		idx++
	}
	if idx == len(sent) {
		delete(lim.sentAt, server)
		return nil
	}
	lim.sentAt[server] = sent[idx:]
	return sent[idx:]
}
