package coldgate

import (
	"sync"
	"time"
)

// Window is the span in which requests to a cold backend server are counted.
const Window = time.Second

// Gate counts the requests that this daemon sent to cold backend servers.
type Gate struct {
	daemons func() int

	mu   sync.Mutex
	sent map[string][]time.Time
}

// New returns a gate; daemons returns the number of daemons that share the rate.
func New(daemons func() int) *Gate {
	return &Gate{
		daemons: daemons,
		sent:    map[string][]time.Time{},
	}
}

// Open reports whether a backend server may get one more request now, without counting it.
func (gte *Gate) Open(server string, perSecond float64, now time.Time) bool {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	return len(gte.recent(server, now)) < gte.part(perSecond)
}

// Pass counts a request to a cold backend server; it reports false if it must not be sent now.
func (gte *Gate) Pass(server string, perSecond float64, now time.Time) bool {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	sent := gte.recent(server, now)
	if len(sent) >= gte.part(perSecond) {
		return false
	}
	gte.sent[server] = append(sent, now)
	return true
}

// part is this daemon's part of the rate, rounded down so that the parts never exceed it.
func (gte *Gate) part(perSecond float64) int {
	return int(perSecond) / max(1, gte.daemons())
}

func (gte *Gate) recent(server string, now time.Time) []time.Time {
	sent := gte.sent[server]
	idx := 0
	for idx < len(sent) && now.Sub(sent[idx]) >= Window {
		idx++
	}
	if idx == len(sent) {
		delete(gte.sent, server)
		return nil
	}
	gte.sent[server] = sent[idx:]
	return sent[idx:]
}
