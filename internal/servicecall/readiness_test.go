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

// TestAskedByCallerThatLeft guards against a caller that goes away during the question whether a backend
// server takes calls, and by that makes the server count as not ready for every other caller.
func TestAskedByCallerThatLeft(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
	}))
	defer srv.Close()
	adr := strings.TrimPrefix(srv.URL, "http://")
	rdy := newReadiness(clockwork.NewRealClock(), (&net.Dialer{}).DialContext)
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(5*time.Millisecond, leave)
	_ = rdy.ask(ctx, adr)
	c.Assert(rdy.ask(context.Background(), adr), qt.IsNil)
}
