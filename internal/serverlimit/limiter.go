package serverlimit

import (
	"sync"
	"time"
)

// Lifetime is the time after which a send that a daemon may make, and does not make, lapses.
const Lifetime = 1500 * time.Millisecond

// Limiter holds the limits that backend servers named to this daemon, and its sends.
type Limiter struct {
	random func() float64

	mu     sync.Mutex
	limits map[string]*limit
}

// limit is the limit of one process of a backend server.
type limit struct {
	startTime int64
	// rate is in requests a second, of all daemons together.
	rate float64
	// interval is the time between two sends of this daemon, 0 before the first question for its share, and nextAt the time
	// from which the next one may be made.
	interval time.Duration
	nextAt   time.Time
}

// New returns a limiter that knows no limits. The function random returns numbers from 0 to below 1.
func New(random func() float64) *Limiter {
	return &Limiter{
		random: random,
		limits: map[string]*limit{},
	}
}

// Observe records the rate that a process of a server, which started at startTime, named in a response, 0 if it named none.
// It reports whether the limit was set or lifted.
func (lim *Limiter) Observe(server string, startTime int64, rate float64) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	old, ok := lim.limits[server]
	known := ok && old.startTime == startTime
	switch {
	case rate <= 0:
		delete(lim.limits, server)
		return known
	case known:
		old.rate = rate
		return false
	default:
		lim.limits[server] = &limit{
			startTime: startTime,
			rate:      rate,
		}
		return true
	}
}

// WaitTime returns the time until this daemon may send the next request to a process of a server, 0 if it may now. The
// function share, which returns the share of this daemon in the rate, is called only if the process has named a limit.
func (lim *Limiter) WaitTime(server string, startTime int64, share func() float64, now time.Time) time.Duration {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lmt, ok := lim.limits[server]
	if !ok || lmt.startTime != startTime {
		return 0
	}
	lmt.update(share(), lim.random, now)
	return max(0, lmt.nextAt.Sub(now))
}

// Take counts a request that is sent now to a process of a server. It reports false, and counts nothing, if the request must
// wait. The function share is that of WaitTime.
func (lim *Limiter) Take(server string, startTime int64, share func() float64, now time.Time) bool {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lmt, ok := lim.limits[server]
	if !ok || lmt.startTime != startTime {
		return true
	}
	lmt.update(share(), lim.random, now)
	if now.Before(lmt.nextAt) {
		return false
	}
	lmt.nextAt = lmt.nextAt.Add(lmt.interval)
	return true
}

// update applies the share of this daemon and drops the sends that have lapsed.
func (lmt *limit) update(share float64, random func() float64, now time.Time) {
	interval := time.Duration(float64(time.Second) / (lmt.rate * max(share, minShare)))
	if lmt.interval == 0 {
		// Daemons that learn of a limit at the same time do not all send at the same time.
		lmt.nextAt = now.Add(time.Duration(random() * float64(interval)))
	} else if left := lmt.nextAt.Sub(now); left > 0 && interval != lmt.interval {
		lmt.nextAt = now.Add(time.Duration(float64(left) * float64(interval) / float64(lmt.interval)))
	}
	lmt.interval = interval
	if late := now.Sub(lmt.nextAt) - Lifetime; late > 0 {
		lapsed := (late + interval - 1) / interval
		lmt.nextAt = lmt.nextAt.Add(lapsed * interval)
	}
}

// minShare bounds the interval of a daemon without a share.
const minShare = 1e-4

// Prune removes the limits of the servers for which known returns false.
func (lim *Limiter) Prune(known func(server string) bool) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for id := range lim.limits {
		if !known(id) {
			delete(lim.limits, id)
		}
	}
}
