package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/endless"
	"github.com/cumintally/cumintally/internal/standin/memory"
)

// Guards against memory exhaustion by streams of a faulty engine, and by orders to it, when it sends bytes without end (report of
// another operator): many of them at once must fit into a part of the 184 MB of the smallest VM.
func TestEndlessAnswersOfEnginesFitIntoMemory(tst *testing.T) {
	const (
		requests = 100
		most     = 64 << 20
	)
	clients := map[string]*backend.Client{
		"streams": newBackend((&net.Dialer{}).DialContext),
		"orders":  newOrderClient(time.Second),
	}
	for name, texts := range map[string][2]string{
		"head":  {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"line":  {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x"},
		"error": {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	} {
		srv := httptest.NewServer(endless.Handler(texts[0], texts[1]))
		tst.Cleanup(srv.Close)
		for client, cli := range clients {
			tst.Run(client+", "+name, func(tst *testing.T) {
				peak := memory.PeakGrowth(func() {
					var wgr sync.WaitGroup
					for range requests {
						wgr.Go(func() {
							ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
							defer cancel()
							stm, err := cli.Generate(ctx, strings.TrimPrefix(srv.URL, "http://"), backend.StreamRequest{})
							if err != nil {
								return
							}
							defer stm.Close()
							if _, err := stm.Next(); err == nil {
								tst.Error("an endless line was accepted")
							}
						})
					}
					wgr.Wait()
				})
				tst.Logf("peak heap growth: %d MB", peak>>20)
				qt.Check(tst, peak < most, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
			})
		}
	}
}
