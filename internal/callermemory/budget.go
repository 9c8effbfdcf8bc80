package callermemory

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// ErrExhausted means that the memory is used by requests that may not be dropped.
	ErrExhausted = errors.ConstError("callermemory: the memory for requests is used up")
	// ErrDropped means that the request was dropped for others that make more progress.
	ErrDropped = errors.ConstError("callermemory: the request was dropped, since it made the least progress")
)

const (
	// leastStall is added to the time for which a request made no progress, so that among requests that all do, the largest is
	// dropped.
	leastStall = time.Millisecond
	// logInterval is the least time between two log lines about dropped requests.
	logInterval = time.Second
)

// Config holds the bounds of a budget in bytes.
type Config struct {
	// Limit bounds all claims together.
	Limit int64
	// CallerShare bounds the claims of one caller.
	CallerShare int64
}

// Budget counts the memory of all requests in progress.
type Budget struct {
	config Config
	clock  clockwork.Clock
	logger *zap.Logger

	usedGauge      metrics.Gauge
	droppedCounter metrics.Counter
	fullCounter    metrics.Counter

	mu      sync.Mutex
	used    int64
	callers map[string]int64
	// arriving holds the claims that may be dropped.
	arriving map[*Claim]struct{}
	// droppedSince counts the requests dropped or not admitted since the last log line, which was written at loggedAt.
	droppedSince int
	loggedAt     time.Time
}

// New returns a budget of which nothing is used. Its metrics are registered in registry.
func New(config Config, registry metrics.Registry, clock clockwork.Clock, logger *zap.Logger) *Budget {
	return &Budget{
		config:         config,
		clock:          clock,
		logger:         logger.Named("callermemory"),
		usedGauge:      metrics.GetOrRegisterGauge("CallerMemoryBytes", registry),
		droppedCounter: metrics.GetOrRegisterCounter("CallerRequestsDropped", registry),
		fullCounter:    metrics.GetOrRegisterCounter("CallerMemoryExhausted", registry),
		callers:        map[string]int64{},
		arriving:       map[*Claim]struct{}{},
	}
}

// Open returns a claim of a caller for a request that begins to arrive. drop is called when the request is dropped, while the budget
// is locked: it must not block and not use the budget.
func (bud *Budget) Open(caller string, drop func()) *Claim {
	clm := &Claim{
		budget:     bud,
		caller:     caller,
		drop:       drop,
		progressAt: bud.clock.Now(),
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.arriving[clm] = struct{}{}
	return clm
}

// DropSlowest drops the arriving request that makes the least progress. It reports whether there was one.
func (bud *Budget) DropSlowest() bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	clm := bud.slowest("")
	if clm != nil {
		bud.dropClaim(clm)
	}
	return clm != nil
}

// grow adds num bytes to a claim, and drops others to make room.
func (bud *Budget) grow(clm *Claim, num int64) error {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	for {
		if clm.dropped {
			return ErrDropped
		}
		caller := ""
		switch {
		case bud.callers[clm.caller]+num > bud.config.CallerShare:
			caller = clm.caller
		case bud.used+num <= bud.config.Limit:
			bud.add(clm, num)
			return nil
		}
		vic := bud.slowest(caller)
		if vic == nil {
			bud.fullCounter.Inc(1)
			bud.logDropped()
			return ErrExhausted
		}
		bud.dropClaim(vic)
	}
}

// slowest returns the arriving claim that occupies the most memory for the longest time without progress, of one caller or of all if
// caller is empty. The product is compared: a small request without progress occupies little.
func (bud *Budget) slowest(caller string) *Claim {
	var worst *Claim
	most := -1.0
	now := bud.clock.Now()
	for clm := range bud.arriving {
		if caller != "" && clm.caller != caller {
			continue
		}
		if cost := float64(clm.size+1) * float64(now.Sub(clm.progressAt)+leastStall); cost > most {
			worst, most = clm, cost
		}
	}
	return worst
}

// dropClaim takes back the bytes of a claim at once: its owner frees the memory as soon as its read ends, which drop brings about.
func (bud *Budget) dropClaim(clm *Claim) {
	clm.dropped = true
	delete(bud.arriving, clm)
	bud.add(clm, -clm.size)
	bud.droppedCounter.Inc(1)
	bud.logDropped()
	clm.drop()
}

func (bud *Budget) add(clm *Claim, num int64) {
	clm.size += num
	bud.used += num
	if sum := bud.callers[clm.caller] + num; sum > 0 {
		bud.callers[clm.caller] = sum
	} else {
		delete(bud.callers, clm.caller)
	}
	bud.usedGauge.Update(bud.used)
}

func (bud *Budget) logDropped() {
	bud.droppedSince++
	now := bud.clock.Now()
	if now.Sub(bud.loggedAt) < logInterval {
		return
	}
	bud.logger.Warn("the memory for callers' requests is used up; dropping those that make the least progress",
		zap.Int("requests", bud.droppedSince), zap.Int64("used", bud.used), zap.Int64("limit", bud.config.Limit))
	bud.droppedSince = 0
	bud.loggedAt = now
}
