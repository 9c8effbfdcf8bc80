package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Guards against work for callers that no longer wait: a request whose deadline is before the forecast must be rejected,
// though its objective is after it.
func TestRequestBeyondItsDeadlineIsRejected(tst *testing.T) {
	fix := newFixture()
	fix.group("one", "a", serverregistry.Ready)
	for _, startWithin := range []time.Duration{30 * time.Millisecond, 200 * time.Millisecond} {
		pck, err := fix.plm.Choose(placement.Request{
			Service:           fix.svc,
			Model:             "recipes",
			PromptTokens:      1000,
			StartWithin:       startWithin,
			MaxUsefulForecast: func(time.Duration) time.Duration { return time.Minute },
		}, fix.now)
		qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.Equals, startWithin < pck.Forecast, qt.Commentf("%v", err))
		qt.Assert(tst, pck.Forecast > 30*time.Millisecond && pck.Forecast < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", pck.Forecast))
	}
}

// Guards against requests with a long objective that take the last capacity in which more urgent ones would be on time,
// and against a size that does not matter: of two requests of the less urgent class only the small one leaves room. Under
// normal load both are sent.
func TestCapacityIsKeptForMoreUrgentRequests(tst *testing.T) {
	urgent := reservation.Class{
		Priority:  1,
		Objective: 350 * time.Millisecond,
	}
	for _, cas := range []struct {
		inFlight int
		priority int
		prompt   int
		sent     bool
	}{
		{5, 2, 2500, true},
		{10, 2, 200, true},
		{10, 2, 2500, false},
		{10, 1, 2500, true},
	} {
		fix := newFixture()
		fix.group("one", "a", serverregistry.Ready)
		fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
			Sequence: 1,
			Loads: []loadview.Load{
				{
					Server:   "one",
					Requests: cas.inFlight,
				},
			},
		}, fix.now)
		request := placement.Request{
			Service:      fix.svc,
			Model:        "recipes",
			PromptTokens: cas.prompt,
			Priority:     cas.priority,
			Objective:    800 * time.Millisecond,
		}
		request.MaxUsefulForecast = func(idle time.Duration) time.Duration {
			return admission.MaxUsefulForecast(request.Objective, 0, idle)
		}
		fix.ldg.Record(request.ReservationKey(), urgent, 500, true, fix.now)
		pck, err := fix.plm.Choose(request, fix.now)
		note := qt.Commentf("%+v: forecast %v, error %v", cas, pck.Forecast, err)
		qt.Check(tst, err == nil, qt.Equals, cas.sent, note)
		qt.Check(tst, errors.Is(err, placement.ErrReserved), qt.Equals, !cas.sent, note)
		// A request that was sent before continues wherever it is accepted.
		request.MaxUsefulForecast = nil
		_, err = fix.plm.Choose(request, fix.now)
		qt.Check(tst, err, qt.IsNil)
	}
}

// Guards against rejections while another group has room: capacity that is kept at the nearest group, which is drawn first,
// says nothing about one with fewer unread tokens in another zone.
func TestRequestGoesWhereNoCapacityIsKept(tst *testing.T) {
	for seed := range uint64(20) {
		fix := newSeededFixture(seed)
		fix.group("near", "a", serverregistry.Ready)
		fix.group("free", "b", serverregistry.Ready)
		fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
			Sequence: 1,
			Loads: []loadview.Load{
				{
					Server:       "near",
					Requests:     4,
					UnreadTokens: 2000,
				},
				{
					Server:       "free",
					Requests:     4,
					UnreadTokens: 1000,
				},
			},
		}, fix.now)
		request := placement.Request{
			Service:           fix.svc,
			Model:             "recipes",
			PromptTokens:      500,
			Priority:          2,
			Objective:         800 * time.Millisecond,
			MaxUsefulForecast: func(time.Duration) time.Duration { return time.Second },
		}
		fix.ldg.Record(request.ReservationKey(), reservation.Class{
			Objective: 110 * time.Millisecond,
		}, 500, true, fix.now)
		pck, err := fix.plm.Choose(request, fix.now)
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, pck.Server.ID, qt.Equals, "free")
	}
}
