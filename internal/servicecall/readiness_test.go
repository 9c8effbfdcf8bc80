package servicecall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestProbeOutlivesCaller guards against a caller that disconnects during a readiness probe and thereby makes the
// backend server count as not ready for every other caller.
func TestProbeOutlivesCaller(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
	}))
	defer srv.Close()
	adr := strings.TrimPrefix(srv.URL, "http://")
	rdy := newReadinessChecker(clockwork.NewRealClock(), (&net.Dialer{}).DialContext)
	ctx, disconnect := context.WithCancel(context.Background())
	time.AfterFunc(5*time.Millisecond, disconnect)
	_ = rdy.ensureReady(ctx, adr)
	c.Assert(rdy.ensureReady(context.Background(), adr), qt.IsNil)
}
