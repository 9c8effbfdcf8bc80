package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Bounds of the sheet of khangai-ger.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
)

// margin is added to the time after which the machines are in touch again.
const margin = 250 * time.Millisecond

// serveOn is the time for which the leaving runner goes on serving after the time to drain; then it exits.
const serveOn = 2500 * time.Millisecond

// runSilentStore checks that no request reaches a runner that has left, while the open connections between the daemons and
// the store go silent once and new ones work.
func runSilentStore(lab *lab, trouble bool) error {
	runners, err := lab.startPlainSite(8, 200*time.Millisecond, route("deposit-post", "/deposits/", "non_idempotent", plainService, 1))
	if err != nil {
		return err
	}
	clients := map[string]*client{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	for _, dmn := range lab.daemons {
		cli := newClient(lab.rec, dmn)
		clients[dmn.name] = cli
		sending.Go(func() {
			cli.sendSteadily(ctx, 100*time.Millisecond, func() {
				_, _ = cli.send(http.MethodPost, "/deposits/2f", "", 2500*time.Millisecond, "deposit")
			})
		})
	}
	time.Sleep(10 * time.Second)
	silentAt := time.Now()
	if trouble {
		for _, dmn := range lab.daemons {
			lab.rec.printf("%d connections of %s to the store go silent", dmn.storeLink.silence(), dmn.name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	left := runners[0]
	acked := left.register("draining")
	time.Sleep(drainTime + serveOn)
	lab.rec.printf("runner %s exits", left.id)
	_ = left.srv.Close()
	time.Sleep(4 * time.Second)
	stop()
	sending.Wait()
	// The machines are in touch again, and the time to drain has passed.
	from := silentAt.Add(stableWindow + margin)
	if end := acked.Add(drainTime); end.After(from) {
		from = end
	}
	broken, lost := 0, 0
	last := acked
	for _, arr := range left.reached() {
		for _, cli := range clients {
			if snd, ok := cli.sending(arr.request); ok && snd.at.After(from) && arr.at.After(from) {
				broken++
				if arr.at.After(last) {
					last = arr.at
				}
				lab.rec.printf("request %s, sent at %.3f, reached %s at %.3f; the client got status %d, error %v",
					arr.request, lab.rec.seconds(snd.at), left.id, lab.rec.seconds(arr.at), snd.status, snd.err)
				if snd.status != http.StatusOK {
					lost++
				}
			}
		}
	}
	lab.rec.printf("%d requests that clients sent after %.3f reached runner %s, which left at %.3f; the last one %.1f s later; %d of them got no success",
		broken, lab.rec.seconds(from), left.id, lab.rec.seconds(acked), last.Sub(acked).Seconds(), lost)
	if broken > 0 {
		return errBroken
	}
	return nil
}
