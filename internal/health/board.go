package health

import (
	"sync"
	"time"
)

const (
	// weight is the part that the latest outcome has in the share of failures; about the last ten count.
	weight = 0.15
	// tolerated is the share of failures above which a server is left out. A sound server's own failures
	// stay well below it.
	tolerated = 0.4
	// outAtLeast and outAtMost bound the time for which a server is left out: at least about as long as a
	// registry entry takes to show a change, at most as long as a restart takes.
	outAtLeast = 700 * time.Millisecond
	outAtMost  = 6 * time.Second
)

// Board holds what this daemon saw of each server.
type Board struct {
	mu      sync.Mutex
	servers map[string]*record
}

type record struct {
	failures float64
	// out is until when the server is left out, and span for how long that was.
	out  time.Time
	span time.Duration
	// progress is when the server last sent bytes to this daemon.
	progress time.Time
	// pausedUntil is until when the server's process that was born at pausedBorn wants no requests.
	pausedUntil time.Time
	pausedBorn  int64
}

// New returns an empty board.
func New() *Board {
	return &Board{
		servers: map[string]*record{},
	}
}

func (brd *Board) record(server string) *record {
	rec, ok := brd.servers[server]
	if !ok {
		rec = &record{}
		brd.servers[server] = rec
	}
	return rec
}

// Succeeded notes a request that a server completed.
func (brd *Board) Succeeded(server string, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec := brd.record(server)
	rec.failures *= 1 - weight
	rec.progress = now
	if rec.failures < tolerated/2 {
		rec.span = 0
	}
}

// Failed notes a request that a server failed; it reports whether the server is left out from now on.
func (brd *Board) Failed(server string, now time.Time) bool {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec := brd.record(server)
	rec.failures = rec.failures*(1-weight) + weight
	if rec.failures < tolerated || now.Before(rec.out) {
		return false
	}
	rec.exclude(now)
	return true
}

// Exclude leaves a server out at once: it refused a connection, or stopped sending in the midst of all streams.
func (brd *Board) Exclude(server string, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec := brd.record(server)
	if !now.Before(rec.out) {
		rec.exclude(now)
	}
}

func (rec *record) exclude(now time.Time) {
	rec.span = min(max(2*rec.span, outAtLeast), outAtMost)
	rec.out = now.Add(rec.span)
	// The next outcomes decide anew.
	rec.failures = tolerated / 2
}

// Usable reports whether a server is not left out.
func (brd *Board) Usable(server string, now time.Time) bool {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec, ok := brd.servers[server]
	return !ok || !now.Before(rec.out)
}

// Progress notes that a server sent bytes.
func (brd *Board) Progress(server string, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	brd.record(server).progress = now
}

// LastProgress returns when a server last sent bytes to this daemon, zero if it never did.
func (brd *Board) LastProgress(server string) time.Time {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	if rec, ok := brd.servers[server]; ok {
		return rec.progress
	}
	return time.Time{}
}

// Pause notes that the process of a server that was born at born wants no requests before until.
func (brd *Board) Pause(server string, born int64, until time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec := brd.record(server)
	if rec.pausedBorn == born && rec.pausedUntil.After(until) {
		return
	}
	rec.pausedBorn = born
	rec.pausedUntil = until
}

// PausedUntil returns until when the process of a server that was born at born wants no requests, zero if it takes them.
func (brd *Board) PausedUntil(server string, born int64, now time.Time) time.Time {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	rec, ok := brd.servers[server]
	if !ok || rec.pausedBorn != born || !now.Before(rec.pausedUntil) {
		return time.Time{}
	}
	return rec.pausedUntil
}

// Keep forgets the servers that are not registered any more. One that wants no requests is remembered until then,
// since its entry may come back.
func (brd *Board) Keep(known func(server string) bool, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	for id, rec := range brd.servers {
		if !known(id) && !now.Before(rec.pausedUntil) {
			delete(brd.servers, id)
		}
	}
}
