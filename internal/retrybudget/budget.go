package retrybudget

import (
	"sync"
	"time"
)

// bucketsPerWindow divides the window; one more bucket is kept, so that any span of a window is covered.
const bucketsPerWindow = 10

// Config is the bound on all daemons together.
type Config struct {
	// Ratio is the number of repeats allowed for each request in the window.
	Ratio float64
	// Reserve is the number of repeats allowed beyond the ratio.
	Reserve float64
	Window  time.Duration
}

// Budget counts requests and repeats of services.
type Budget struct {
	cfg     Config
	daemons func() int

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	buckets [bucketsPerWindow + 1]bucket
}

type bucket struct {
	slot     int64
	requests int
	repeats  int
}

// New returns a budget; daemons returns the number of daemons that share the reserve.
func New(cfg Config, daemons func() int) *Budget {
	return &Budget{
		cfg:      cfg,
		daemons:  daemons,
		services: map[string]*window{},
	}
}

// safety is the part of the bound that is used. Requests are counted when they are taken and repeats when they
// are sent, so that a repeat can fall into a window that its request has just left.
const safety = 0.8

// Request counts a request for a service.
func (bud *Budget) Request(service string, now time.Time) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.bucket(service, now).requests++
}

// Repeat takes one repeat from the budget of a service; it reports whether one was left.
func (bud *Budget) Repeat(service string, now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	cur := bud.bucket(service, now)
	requests, repeats := 0, 0
	for idx := range bud.services[service].buckets {
		bkt := &bud.services[service].buckets[idx]
		if cur.slot-bkt.slot <= bucketsPerWindow {
			requests += bkt.requests
			repeats += bkt.repeats
		}
	}
	allowed := safety * (bud.cfg.Ratio*float64(requests) + bud.cfg.Reserve/float64(max(1, bud.daemons())))
	if float64(repeats+1) > allowed {
		return false
	}
	cur.repeats++
	return true
}

func (bud *Budget) bucket(service string, now time.Time) *bucket {
	win, ok := bud.services[service]
	if !ok {
		win = &window{}
		bud.services[service] = win
	}
	slot := now.UnixNano() / int64(max(1, bud.cfg.Window/bucketsPerWindow))
	bkt := &win.buckets[slot%int64(len(win.buckets))]
	if bkt.slot != slot {
		*bkt = bucket{
			slot: slot,
		}
	}
	return bkt
}
