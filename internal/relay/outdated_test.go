package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/route"
)

// Guards against callers that are refused for good, with a status that nobody retries, by a configuration that may have been
// replaced: the route or key may have been added since, the limit raised. What the configuration allows is still served.
func TestOutdatedConfigurationRefusesNothingForGood(tst *testing.T) {
	tests := map[string]struct {
		url    string
		limits route.Limits
		secret bool
		// current is the status while the configuration is current, outdated the one while it may have been replaced.
		current  int
		outdated int
	}{
		"unknown route": {url: "http://other/status", current: http.StatusNotFound, outdated: http.StatusServiceUnavailable},
		"unknown key":   {url: "http://shop/status", secret: true, current: http.StatusUnauthorized, outdated: http.StatusServiceUnavailable},
		"large headers": {
			url:      "http://shop/status",
			limits:   route.Limits{MaxHeaderSize: 10},
			current:  http.StatusRequestHeaderFieldsTooLarge,
			outdated: http.StatusServiceUnavailable,
		},
		"large body": {
			url:      "http://shop/status",
			limits:   route.Limits{MaxBodySize: 2},
			current:  http.StatusRequestEntityTooLarge,
			outdated: http.StatusServiceUnavailable,
		},
		"known route": {url: "http://shop/status", current: http.StatusOK, outdated: http.StatusOK},
	}
	for title, tcs := range tests {
		tst.Run(title, func(tst *testing.T) {
			for _, isOutdated := range []bool{false, true} {
				fix := &fixture{
					tst:        tst,
					addresses:  []string{answering(tst, http.StatusOK)},
					isOutdated: isOutdated,
					limits:     tcs.limits,
					secret:     tcs.secret,
				}
				req := httptest.NewRequest(http.MethodGet, tcs.url, strings.NewReader("body"))
				req.Header.Set("Trace", "0123456789")
				rsp := httptest.NewRecorder()
				fix.handler().ServeHTTP(rsp, req)
				want := tcs.current
				if isOutdated {
					want = tcs.outdated
				}
				qt.Check(tst, rsp.Code, qt.Equals, want)
				qt.Check(tst, rsp.Header().Get("Retry-After") != "", qt.Equals, want == http.StatusServiceUnavailable)
			}
		})
	}
}
