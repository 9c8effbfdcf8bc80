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
func (trk *Tracker) mayTry(prc serverregistry.Process, rec *record, now time.Time) bool {
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
	for _, dmn := range trk.deps.Daemons() {
		if dmn.Name != trk.self.Name && zones[dmn.AvailabilityZone] && trk.turnOf(prc, rec, dmn.Name).precedes(own) {
			ahead++
		}
	}
	return waited >= time.Duration(ahead)*trialStep
}

// turn orders the daemons that may try a process.
type turn struct {
	tried    bool
	reported bool
	weight   uint64
}

// turnOf returns the turn of a daemon. Daemons that have not tried the process come first, so that one whose link is cut
// does not try it again and again. Among these, reporters come first if there are several: they have encountered the
// failure already. A single reporter may itself be what fails, so that another daemon tries the process. The rest is
// decided by rendezvous hashing.
func (trk *Tracker) turnOf(prc serverregistry.Process, rec *record, daemon string) turn {
	_, tried := rec.triedAt[daemon]
	_, reported := rec.reports[daemon]
	hsh := xxhash.New()
	_, _ = hsh.WriteString(prc.ID)
	_, _ = hsh.Write(binary.LittleEndian.AppendUint64(nil, uint64(prc.StartTime)))
	_, _ = hsh.WriteString(daemon)
	return turn{
		tried:    tried,
		reported: reported == (len(rec.reports) > 1),
		weight:   hsh.Sum64(),
	}
}

func (trn turn) precedes(other turn) bool {
	switch {
	case trn.tried != other.tried:
		return !trn.tried
	case trn.reported != other.reported:
		return trn.reported
	default:
		return trn.weight > other.weight
	}
}
