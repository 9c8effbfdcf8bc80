package suspicion

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/serverregistry"
)

// mayTry reports whether this daemon may now send a request to a suspected process. Of the daemons in the zones that
// suspect it, the first may try it trialInterval after the suspicion began or another one tried it, and one more after
// each trialStep. The caller holds the lock.
func (trk *Tracker) mayTry(prc serverregistry.Process, rec *record, daemons func() []Daemon, now time.Time) bool {
	last := rec.since
	for _, at := range rec.triedAt {
		if at.After(last) {
			last = at
		}
	}
	waited := now.Sub(last) - trialInterval
	if waited < 0 {
		return false
	}
	zones := map[string]bool{}
	for _, obs := range rec.reports {
		zones[obs.zone] = true
	}
	if !zones[trk.self.AvailabilityZone] {
		return false
	}
	own := trk.turnOf(prc, rec, trk.self.Name)
	ahead := 0
	for _, dmn := range daemons() {
		if dmn.Name != trk.self.Name && zones[dmn.AvailabilityZone] && trk.turnOf(prc, rec, dmn.Name).precedes(own) {
			ahead++
		}
	}
	return waited >= time.Duration(ahead)*trialStep
}

// turn orders the daemons that may try a process: by class, then the one that tried it earliest, then by weight.
type turn struct {
	class   int
	triedAt time.Time
	weight  uint64
}

// Classes of turns.
const (
	preferred = iota
	others
	deferred
)

// turnOf returns the turn of a daemon. Reporters come first if there are several: they have encountered the failure
// already. A single reporter may itself be what fails, so that another daemon tries the process. So may a daemon whose
// trial failed, so that maxTriers daemons try the process before one does it again. The rest is decided by rendezvous
// hashing.
func (trk *Tracker) turnOf(prc serverregistry.Process, rec *record, daemon string) turn {
	triedAt, tried := rec.triedAt[daemon]
	_, reported := rec.reports[daemon]
	trn := turn{
		class:   others,
		triedAt: triedAt,
	}
	switch {
	case tried && len(rec.triedAt) < maxTriers:
		trn.class = deferred
	case tried || (len(rec.triedAt) < maxTriers && reported == (len(rec.reports) > 1)):
		trn.class = preferred
	}
	hsh := xxhash.New()
	_, _ = hsh.WriteString(prc.ID)
	_, _ = hsh.Write(binary.LittleEndian.AppendUint64(nil, uint64(prc.StartTime)))
	_, _ = hsh.WriteString(daemon)
	trn.weight = hsh.Sum64()
	return trn
}

func (trn turn) precedes(other turn) bool {
	switch {
	case trn.class != other.class:
		return trn.class < other.class
	case !trn.triedAt.Equal(other.triedAt):
		return trn.triedAt.Before(other.triedAt)
	default:
		return trn.weight > other.weight
	}
}
