package serverpath_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/serverpath"
	"github.com/cumintally/cumintally/internal/standin/link"
	"github.com/cumintally/cumintally/internal/upstream"
)

// Guards against requests that wait one after another on kept connections to a server that have fallen silent, while new ones work.
func TestSilentConnectionsOfSuspectedServerAreNotUsedAgain(tst *testing.T) {
	const connections = 4
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		rsw.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	lks := link.New()
	defer lks.Close()
	rel := link.Relay{
		Listen: netip.MustParseAddrPort("127.0.3.2:20001"),
		Target: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")),
	}
	qt.Assert(tst, lks.Open(rel), qt.IsNil)
	adr := rel.Listen.String()
	clk := clockwork.NewRealClock()
	pol := upstream.New((&net.Dialer{}).DialContext, clk, metrics.NewCounter())
	defer pol.CloseIdle(adr)
	deps := serverpath.Dependencies{
		Probe:     func(context.Context, string) error { return nil },
		Peers:     func() []serverpath.Peer { return nil },
		Servers:   func() []string { return []string{adr} },
		ReportCut: func([]string) {},
	}
	sel := serverpath.New("zone-1", deps, pol, metrics.NewRegistry(), clk, zap.NewNop())
	call := func() error {
		ctx, cancel := context.WithTimeout(tst.Context(), time.Second)
		defer cancel()
		con, err := sel.Connect(ctx, adr, time.Second)
		if err != nil {
			return err
		}
		rsp, err := con.Do(ctx, upstream.Request{
			Method: http.MethodGet,
			Target: "/",
			Host:   adr,
		})
		if err != nil {
			return err
		}
		rsp.Finish(rsp.Discard() == nil)
		return nil
	}
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { qt.Check(tst, call(), qt.IsNil) })
	}
	calls.Wait()
	lks.SilenceOpen(netip.PrefixFrom(rel.Listen.Addr(), 32))
	qt.Assert(tst, call(), qt.IsNotNil)
	sel.Suspect(adr)
	qt.Assert(tst, call(), qt.IsNil)
}
