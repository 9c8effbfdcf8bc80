package site

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/reservation"
)

// newReserve returns a function that decides by the ledger whether a request may take capacity, and counts the requests
// that were rejected in favour of more urgent classes and those that were exempt.
func newReserve(
	ldg *reservation.Ledger,
	met metrics.Registry,
) func(reservation.Key, reservation.Class, reservation.OnTime, time.Time) reservation.Verdict {
	counters := map[reservation.Verdict]metrics.Counter{
		reservation.Allowed:  metrics.NilCounter{},
		reservation.Reserved: metrics.GetOrRegisterCounter("RejectedForMoreUrgent", met),
		reservation.Exempt:   metrics.GetOrRegisterCounter("ExemptFromReservation", met),
	}
	return func(key reservation.Key, cls reservation.Class, onTime reservation.OnTime, now time.Time) reservation.Verdict {
		vrd := ldg.Decide(key, cls, onTime, now)
		counters[vrd].Inc(1)
		return vrd
	}
}
