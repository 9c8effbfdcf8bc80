package demand

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// averagingTime is the time constant of the moving average: longer than usual bursts, since each change of a group
	// costs seconds of its capacity.
	averagingTime = 5 * time.Second
	// minMeasuredTime bounds the time over which the requests of a daemon that has just started are averaged.
	minMeasuredTime = time.Second
)

// Rate is the work per second that callers ask of a model.
type Rate struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Model   string
	// VMs is the number of VMs that the work would keep busy all the time.
	VMs float64
}

// Meter measures the requests of one daemon.
type Meter struct {
	startedAt time.Time

	mu   sync.Mutex
	work map[key]*decayingSum
}

type key struct {
	service string
	model   string
}

// decayingSum is a sum of VM seconds in which older work counts exponentially less.
type decayingSum struct {
	vmSeconds float64
	updatedAt time.Time
}

// New returns a meter that has measured nothing.
func New(clk clockwork.Clock) *Meter {
	return &Meter{
		startedAt: clk.Now(),
		work:      map[key]*decayingSum{},
	}
}

// Record adds the work of one request, in VM seconds.
func (mtr *Meter) Record(service, model string, vmSeconds float64, now time.Time) {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	id := key{
		service: service,
		model:   model,
	}
	sum, ok := mtr.work[id]
	if !ok {
		sum = &decayingSum{}
		mtr.work[id] = sum
	}
	sum.vmSeconds = sum.at(now) + vmSeconds
	sum.updatedAt = now
}

// Rates returns the rate of each model for which a request arrived.
func (mtr *Meter) Rates(now time.Time) []Rate {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	// The sum covers less than averagingTime as long as the daemon has not run for a multiple of it.
	measured := averagingTime.Seconds() * (1 - decay(max(minMeasuredTime, now.Sub(mtr.startedAt))))
	rates := make([]Rate, 0, len(mtr.work))
	for id, sum := range mtr.work {
		rates = append(rates, Rate{
			Service: id.service,
			Model:   id.model,
			VMs:     sum.at(now) / measured,
		})
	}
	return rates
}

// at returns the sum as of now.
func (sum *decayingSum) at(now time.Time) float64 {
	return sum.vmSeconds * decay(now.Sub(sum.updatedAt))
}

// decay returns the weight of work that is age old.
func decay(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / averagingTime.Seconds())
}

// Sum adds up the rates of several daemons by service and model.
func Sum(all ...[]Rate) []Rate {
	var sum []Rate
	index := map[key]int{}
	for _, rates := range all {
		for _, rat := range rates {
			id := key{
				service: rat.Service,
				model:   rat.Model,
			}
			if pos, ok := index[id]; ok {
				sum[pos].VMs += rat.VMs
				continue
			}
			index[id] = len(sum)
			sum = append(sum, rat)
		}
	}
	return sum
}

// Share returns the share of one daemon, with the rates own, in the work that callers ask of a model of a service at all
// daemons. While no work is known, as for plain services, all daemons have equal shares.
func Share(own, all []Rate, service, model string, daemons int) float64 {
	total := vmsOf(all, service, model)
	if total <= 0 {
		return 1 / float64(max(1, daemons))
	}
	return min(1, vmsOf(own, service, model)/total)
}

func vmsOf(rates []Rate, service, model string) float64 {
	for _, rat := range rates {
		if rat.Service == service && rat.Model == model {
			return rat.VMs
		}
	}
	return 0
}
