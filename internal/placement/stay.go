package placement

import "time"

// staysAveraged is the number of latest requests that a mean stay is made from, about: enough for a mean of answers of
// very different length, few enough to follow a load that changes within seconds.
const staysAveraged = 16

// stay is how long requests stay at a backend server.
type stay struct {
	mean time.Duration
}

func (sty *stay) add(span time.Duration) {
	if sty.mean == 0 {
		sty.mean = span
		return
	}
	sty.mean += (span - sty.mean) / staysAveraged
}

// stayKey names the requests that are averaged together.
type stayKey struct {
	service string
	model   string
}

func (wnt *Want) stayKey() stayKey {
	return stayKey{
		service: wnt.Service.Name,
		model:   wnt.Model,
	}
}

// stayed notes how long a request stayed at a backend server; the lock is held.
func (plm *Placement) stayed(want *Want, span time.Duration) {
	sty, ok := plm.stays[want.stayKey()]
	if !ok {
		sty = &stay{}
		plm.stays[want.stayKey()] = sty
	}
	sty.add(span)
}

// unseen returns the number of requests that the other daemons are expected to have sent since their last word, by those
// that they have in progress and the time that one stays; the lock is held.
func (plm *Placement) unseen(want *Want, others int, now time.Time) float64 {
	sty, ok := plm.stays[want.stayKey()]
	if !ok || sty.mean <= 0 {
		return 0
	}
	return float64(others) * float64(plm.sea.OthersAge(now)) / float64(sty.mean)
}
