package placement

import "time"

// residenceWindow is the approximate number of latest requests that the moving average covers: enough to average
// responses of very different length, few enough to follow a load that changes within seconds.
const residenceWindow = 16

// residence is the moving average of the time that requests of one service and model are in flight.
type residence struct {
	mean time.Duration
}

func (rsd *residence) observe(span time.Duration) {
	if rsd.mean == 0 {
		rsd.mean = span
		return
	}
	rsd.mean += (span - rsd.mean) / residenceWindow
}

// residenceKey identifies the requests that are averaged together.
type residenceKey struct {
	service string
	model   string
}

func (req *Request) residenceKey() residenceKey {
	return residenceKey{
		service: req.Service.Name,
		model:   req.Model,
	}
}

// recordResidence records the time that a request was in flight at a backend server. The caller holds the lock.
func (plm *Placement) recordResidence(req *Request, span time.Duration) {
	rsd, ok := plm.residences[req.residenceKey()]
	if !ok {
		rsd = &residence{}
		plm.residences[req.residenceKey()] = rsd
	}
	rsd.observe(span)
}

// usualTime returns the mean time that requests of the same service and model are in flight, 0 if none has ended yet.
func (plm *Placement) usualTime(req *Request) time.Duration {
	plm.mu.Lock()
	defer plm.mu.Unlock()
	if rsd, ok := plm.residences[req.residenceKey()]; ok {
		return rsd.mean
	}
	return 0
}

// estimateUnseen estimates the number of requests that the other daemons have sent since their last reports. It is the
// number that they have in flight, times the staleness of the reports, divided by the mean time of a request in flight.
// The caller holds the lock.
func (plm *Placement) estimateUnseen(req *Request, others int, now time.Time) float64 {
	rsd, ok := plm.residences[req.residenceKey()]
	if !ok || rsd.mean <= 0 {
		return 0
	}
	return float64(others) * float64(plm.deps.OthersStaleness(now)) / float64(rsd.mean)
}
