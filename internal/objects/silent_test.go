package objects_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/standin/link"
)

// Guards against calls that time out one after another on idle connections that have fallen silent, while new connections work.
func TestSilentConnectionsAreNotUsedAgain(tst *testing.T) {
	const connections = 4
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(rsw, "[]")
	}))
	defer srv.Close()
	lks := link.New()
	defer lks.Close()
	rel := link.Relay{
		Listen: netip.MustParseAddrPort("127.0.3.1:20001"),
		Target: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")),
	}
	qt.Assert(tst, lks.Open(rel), qt.IsNil)
	htc := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: connections,
		},
	}
	defer htc.CloseIdleConnections()
	cli := objects.New("http://"+rel.Listen.String(), htc, metrics.NewCounter())
	list := func() error {
		ctx, cancel := context.WithTimeout(tst.Context(), time.Second)
		defer cancel()
		_, err := cli.VMs(ctx)
		return err
	}
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { qt.Check(tst, list(), qt.IsNil) })
	}
	calls.Wait()
	lks.SilenceOpen(netip.PrefixFrom(rel.Listen.Addr(), 32))
	qt.Assert(tst, list(), qt.IsNotNil)
	qt.Assert(tst, list(), qt.IsNil)
}
