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
	startedAt   time.Time

	mu     sync.Mutex
	sentAt map[string][]time.Time
}

// New returns the limiter of a process that starts at startedAt. The function daemonCount returns the number of daemons that
// share the rate, 0 while it is unknown.
func New(daemonCount func() int, startedAt time.Time) *Limiter {
	return &Limiter{
		daemonCount: daemonCount,
		startedAt:   startedAt,
		sentAt:      map[string][]time.Time{},
	}
}

// Allowed reports whether one more request may be sent to a cold backend server now, without counting it.
func (lim *Limiter) Allowed(server string, perSecond float64, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return len(lim.recentSends(server, now)) < lim.quota(perSecond, now)
}

// Take reports whether a request may be sent to a cold backend server now, and counts it if so.
func (lim *Limiter) Take(server string, perSecond float64, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	sent := lim.recentSends(server, now)
	if len(sent) >= lim.quota(perSecond, now) {
		return false
	}
	lim.sentAt[server] = append(sent, now)
	return true
}

// quota returns this daemon's part of the rate, rounded down so that the parts of all daemons never exceed the rate. It is 0
// in the first window of a process, since an earlier process of this daemon may have just used its part.
func (lim *Limiter) quota(perSecond float64, now time.Time) int {
	daemons := lim.daemonCount()
	if daemons <= 0 || now.Sub(lim.startedAt) < Window {
		return 0
	}
	return int(perSecond) / daemons
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
