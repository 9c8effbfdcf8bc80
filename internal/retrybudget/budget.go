package retrybudget

import (
	"sync"
	"time"
)

// bucketsPerWindow is the number of buckets in a window. One more bucket is kept, so that the buckets cover a whole
// window at any time.
const bucketsPerWindow = 10

// Config is the bound on the retries of all daemons together.
type Config struct {
	// Ratio is the number of retries allowed for each request in the window.
	Ratio float64
	// Reserve is the number of retries allowed in the window beyond the ratio.
	Reserve float64
	Window  time.Duration
}

// Budget counts the requests and retries of each service.
type Budget struct {
	config      Config
	daemonCount func() int
	startedAt   time.Time

	mu      sync.Mutex
	windows map[string]*window
}

type window struct {
	buckets [bucketsPerWindow + 1]bucket
}

type bucket struct {
	index    int64
	requests int
	retries  int
}

// New returns a budget without requests for a process that starts at startedAt. The function daemonCount returns the number
// of daemons that share the reserve.
func New(config Config, daemonCount func() int, startedAt time.Time) *Budget {
	return &Budget{
		config:      config,
		daemonCount: daemonCount,
		startedAt:   startedAt,
		windows:     map[string]*window{},
	}
}

// usedShare is the share of the bound that is used. Requests are counted when they are accepted and retries when they
// are sent, so that a retry can fall into a window that its request has just left.
const usedShare = 0.8

// RecordRequest records a request for a service.
func (bud *Budget) RecordRequest(service string, now time.Time) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.bucket(service, now).requests++
}

// TakeRetry takes one retry from the budget of a service. It reports whether one was left.
func (bud *Budget) TakeRetry(service string, now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	usg := bud.usage(service, now)
	if float64(usg.Retries+1) > usg.Allowed {
		return false
	}
	bud.bucket(service, now).retries++
	return true
}

// Usage is what this daemon has counted for a service in the window, and the number of retries allowed in it.
type Usage struct {
	Requests int
	Retries  int
	Allowed  float64
}

// Usage returns the usage of the budget of a service.
func (bud *Budget) Usage(service string, now time.Time) Usage {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.usage(service, now)
}

func (bud *Budget) usage(service string, now time.Time) Usage {
	cur := bud.bucket(service, now)
	var usg Usage
	for idx := range bud.windows[service].buckets {
		bkt := &bud.windows[service].buckets[idx]
		if cur.index-bkt.index <= bucketsPerWindow {
			usg.Requests += bkt.requests
			usg.Retries += bkt.retries
		}
	}
	usg.Allowed = usedShare * (bud.config.Ratio*float64(usg.Requests) + bud.config.Reserve/float64(max(1, bud.daemonCount())))
	return usg
}

func (bud *Budget) bucket(service string, now time.Time) *bucket {
	win, ok := bud.windows[service]
	if !ok {
		win = &window{}
		bud.windows[service] = win
	}
	index := int64(now.Sub(bud.startedAt) / max(1, bud.config.Window/bucketsPerWindow))
	bkt := &win.buckets[index%int64(len(win.buckets))]
	if bkt.index != index {
		*bkt = bucket{
			index: index,
		}
	}
	return bkt
}
