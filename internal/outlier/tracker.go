package outlier

import (
	"sync"
	"time"
)

const (
	// outcomeWeight is the weight of the latest outcome in the moving share of failures; about the last ten outcomes
	// count.
	outcomeWeight = 0.15
	// ejectionThreshold is the share of failures at which a server is ejected. The usual failures of a healthy server
	// stay well below it.
	ejectionThreshold = 0.4
	// minEjection and maxEjection bound the time of an ejection: at least about the time until a registration shows a
	// change, at most the time of a restart.
	minEjection = 700 * time.Millisecond
	maxEjection = 6 * time.Second
)

// Tracker holds the outcomes of this daemon's requests at each backend server, and the ejections and pauses.
type Tracker struct {
	mu      sync.Mutex
	servers map[string]*record
}

// record holds what this daemon knows of one server.
type record struct {
	failureShare float64
	// ejectedUntil is the end of the latest ejection, and ejectionTime its duration.
	ejectedUntil time.Time
	ejectionTime time.Duration
	// outage is set if the latest ejection is due to an outage and not to the share of failures.
	outage bool
	// lastProgress is the time at which the server last sent bytes to this daemon.
	lastProgress time.Time
	// pausedUntil is the time until which the server asked for no requests. It applies only to the process whose start
	// time is pausedProcess.
	pausedUntil   time.Time
	pausedProcess int64
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		servers: map[string]*record{},
	}
}

func (trk *Tracker) record(server string) *record {
	rec, ok := trk.servers[server]
	if !ok {
		rec = &record{}
		trk.servers[server] = rec
	}
	return rec
}

// RecordSuccess records a request that a server completed. Once the share of failures is below half the threshold, the
// next ejection has the minimum duration again.
func (trk *Tracker) RecordSuccess(server string, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec := trk.record(server)
	rec.failureShare *= 1 - outcomeWeight
	rec.lastProgress = now
	if rec.failureShare < ejectionThreshold/2 {
		rec.ejectionTime = 0
	}
}

// RecordFailure records a request that a server failed. It reports whether this failure ejects the server.
func (trk *Tracker) RecordFailure(server string, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec := trk.record(server)
	rec.failureShare = rec.failureShare*(1-outcomeWeight) + outcomeWeight
	if rec.failureShare < ejectionThreshold || now.Before(rec.ejectedUntil) {
		return false
	}
	rec.eject(now)
	return true
}

// Eject ejects a server at once, because it refused a connection or stalled in all streams.
func (trk *Tracker) Eject(server string, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec := trk.record(server)
	if !now.Before(rec.ejectedUntil) {
		rec.eject(now)
		rec.outage = true
	}
}

// EndOutage ends the ejection of a server by Eject, because another daemon found that the server has returned. An ejection
// for the share of failures goes on.
func (trk *Tracker) EndOutage(server string) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if rec, ok := trk.servers[server]; ok && rec.outage {
		rec.ejectedUntil = time.Time{}
	}
}

// EndEjection ends the ejection of a server and forgets its failures.
func (trk *Tracker) EndEjection(server string) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec := trk.record(server)
	rec.failureShare = 0
	rec.ejectedUntil = time.Time{}
	rec.ejectionTime = 0
}

func (rec *record) eject(now time.Time) {
	rec.ejectionTime = min(max(2*rec.ejectionTime, minEjection), maxEjection)
	rec.ejectedUntil = now.Add(rec.ejectionTime)
	rec.outage = false
	// The share restarts at half the threshold, so that the next outcomes decide anew: two failures in a row suffice
	// for the next ejection.
	rec.failureShare = ejectionThreshold / 2
}

// Usable reports whether a server is not ejected.
func (trk *Tracker) Usable(server string, now time.Time) bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec, ok := trk.servers[server]
	return !ok || !now.Before(rec.ejectedUntil)
}

// RecordProgress records that a server sent bytes.
func (trk *Tracker) RecordProgress(server string, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.record(server).lastProgress = now
}

// LastProgress returns the time at which a server last sent bytes to this daemon, the zero time if it never did.
func (trk *Tracker) LastProgress(server string) time.Time {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if rec, ok := trk.servers[server]; ok {
		return rec.lastProgress
	}
	return time.Time{}
}

// Pause records that a server asks for no requests before until. The pause applies only to its process that started at
// startedAt.
func (trk *Tracker) Pause(server string, startedAt int64, until time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec := trk.record(server)
	if rec.pausedProcess == startedAt && rec.pausedUntil.After(until) {
		return
	}
	rec.pausedProcess = startedAt
	rec.pausedUntil = until
}

// PausedUntil returns the time until which the process of a server that started at startedAt asks for no requests, the
// zero time if it is not paused.
func (trk *Tracker) PausedUntil(server string, startedAt int64, now time.Time) time.Time {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rec, ok := trk.servers[server]
	if !ok || rec.pausedProcess != startedAt || !now.Before(rec.pausedUntil) {
		return time.Time{}
	}
	return rec.pausedUntil
}

// Prune removes the servers for which known returns false. A paused server is kept until its pause ends, since its
// registration may come back.
func (trk *Tracker) Prune(known func(server string) bool, now time.Time) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for id, rec := range trk.servers {
		if !known(id) && !now.Before(rec.pausedUntil) {
			delete(trk.servers, id)
		}
	}
}
