package relay_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/reservation"
)

// Guards against shares of classes that do not tell what callers experience: each request counts once, by the priority of
// its workspace rather than that of the route, whether it was rejected, or sent more than once.
func TestEachRequestCountsOnceForItsClass(tst *testing.T) {
	fix := &fixture{
		tst:               tst,
		addresses:         []string{unreachable(tst), answering(tst, http.StatusOK)},
		objective:         400 * time.Millisecond,
		workspacePriority: 3,
		format: &relay.HeaderFormat{
			ParseRequest: func(http.Header) (relay.RequestHeaders, error) {
				return relay.RequestHeaders{
					APIKey: "valid",
				}, nil
			},
			RewriteRequest: func(http.Header, relay.ForwardHeaders) {},
			ParseResponse: func(*http.Response) relay.ResponseHeaders {
				return relay.ResponseHeaders{
					Sealed: true,
				}
			},
		},
	}
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusOK)
	fix.choose = func(req placement.Request) (placement.Pick, error) {
		qt.Check(tst, req.FirstSend, qt.IsTrue)
		return placement.Pick{}, placement.ErrReserved
	}
	qt.Assert(tst, fix.get(), qt.Equals, http.StatusServiceUnavailable)
	cls := reservation.Class{
		Priority:  3,
		Objective: 400 * time.Millisecond,
	}
	qt.Assert(tst, fix.admissions[0], qt.Equals, admission{
		class: cls,
		sent:  true,
	})
	qt.Assert(tst, fix.admissions[1:], qt.HasLen, 1)
	qt.Assert(tst, fix.admissions[1], qt.Equals, admission{
		class: cls,
	})
}
