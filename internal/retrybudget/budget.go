package retrybudget

import (
	"sync"
	"time"
)

const (
	// usedShare is the share of the bound that is used. The rest is for retries that arrive up to a quarter of a window
	// after they were taken, and for daemons that do not know of a new one yet.
	usedShare = 0.8
	// burstShare is the share of a window's retries that may be sent at once, as when a backend server with many streams is
	// lost. The others are spread over the window.
	burstShare = 0.5
	// slotsPerWindow is the number of parts of a window for which requests are counted.
	slotsPerWindow = 10
)

// Config is the bound on the retries of all daemons together.
type Config struct {
	// Ratio is the number of retries allowed for each request in the window.
	Ratio float64
	// Reserve is the number of retries allowed in the window beyond the ratio.
	Reserve float64
	Window  time.Duration
}

// Budget holds the retries that this process may send, for each service.
type Budget struct {
	config       Config
	reserveShare func() float64
	startedAt    time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is a token bucket of which each retry takes one token. Requests and time refill it.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	slots      [slotsPerWindow]slot
	// retries are counted since the start of the process.
	retries int
}

// slot counts the requests in a part of a window.
type slot struct {
	index    int64
	requests int
}

// New returns the budget of a process that starts at startedAt. The function reserveShare returns the share of this daemon in
// the reserve, 0 while it is unknown.
func New(config Config, reserveShare func() float64, startedAt time.Time) *Budget {
	return &Budget{
		config:       config,
		reserveShare: reserveShare,
		startedAt:    startedAt,
		buckets:      map[string]*bucket{},
	}
}

// RecordRequest records a request for a service.
func (bud *Budget) RecordRequest(service string, now time.Time) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bkt := bud.refill(service, now)
	index := bud.slotIndex(now)
	slt := &bkt.slots[index%slotsPerWindow]
	if slt.index != index {
		*slt = slot{
			index: index,
		}
	}
	slt.requests++
	bkt.tokens += (1 - burstShare) * usedShare * bud.config.Ratio
}

// TakeRetry takes one retry from the budget of a service. It reports whether one was left.
func (bud *Budget) TakeRetry(service string, now time.Time) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bkt := bud.refill(service, now)
	if bkt.tokens < 1 {
		return false
	}
	bkt.tokens--
	bkt.retries++
	return true
}

// ReturnRetry returns a retry that was taken and not sent.
func (bud *Budget) ReturnRetry(service string, now time.Time) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bkt := bud.refill(service, now)
	bkt.tokens++
	bkt.retries--
}

// Usage is what this process has counted for a service.
type Usage struct {
	// Requests are those in the last window, and Retries those since the process started.
	Requests int
	Retries  int
	// Tokens is the number of retries that are left, and Capacity the number that may be saved up.
	Tokens   float64
	Capacity float64
}

// Usage returns the usage of the budget of a service.
func (bud *Budget) Usage(service string, now time.Time) Usage {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bkt := bud.refill(service, now)
	return Usage{
		Requests: bud.requests(bkt, now),
		Retries:  bkt.retries,
		Tokens:   bkt.tokens,
		Capacity: bud.capacity(bkt, now),
	}
}

// refill returns the bucket of a service with the part of the reserve for the time until now. A bucket starts empty, since an
// earlier process of this daemon may have just spent a full one.
func (bud *Budget) refill(service string, now time.Time) *bucket {
	bkt, ok := bud.buckets[service]
	if !ok {
		bkt = &bucket{
			refilledAt: bud.startedAt,
		}
		bud.buckets[service] = bkt
	}
	if elapsed := now.Sub(bkt.refilledAt); elapsed > 0 {
		bkt.refilledAt = now
		bkt.tokens += (1 - burstShare) * bud.reserve() * float64(elapsed) / float64(max(1, bud.config.Window))
	}
	bkt.tokens = min(bkt.tokens, bud.capacity(bkt, now))
	return bkt
}

// capacity returns the number of retries that may be sent at once. It is at least 1, so that requests can earn retries whatever
// the share in the reserve is.
func (bud *Budget) capacity(bkt *bucket, now time.Time) float64 {
	return max(1, burstShare*(usedShare*bud.config.Ratio*float64(bud.requests(bkt, now))+bud.reserve()))
}

// reserve returns the part of the reserve that this daemon uses in a window.
func (bud *Budget) reserve() float64 {
	return usedShare * bud.config.Reserve * bud.reserveShare()
}

// requests returns the number of requests in the last window, without those of its incomplete first slot.
func (bud *Budget) requests(bkt *bucket, now time.Time) int {
	index, num := bud.slotIndex(now), 0
	for _, slt := range bkt.slots {
		if index-slt.index < slotsPerWindow {
			num += slt.requests
		}
	}
	return num
}

func (bud *Budget) slotIndex(now time.Time) int64 {
	return int64(max(0, now.Sub(bud.startedAt)) / max(1, bud.config.Window/slotsPerWindow))
}
