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
	configTime   = 2 * time.Second
)

const (
	// margin is added to the time after which the machines are in touch again.
	margin = 250 * time.Millisecond
	// calm is the time before the connections go silent.
	calm = 6400 * time.Millisecond
	// changeDelay is the time from then until the configuration changes, and watchTime the time from then until the clients stop.
	changeDelay = 300 * time.Millisecond
	watchTime   = 6 * time.Second
)

// runSilentStore checks that no request runs at the service from which its route was moved, though the open connections between
// the daemons and the store go silent, while new ones work.
func runSilentStore(lab *lab, trouble bool) error {
	moved := func(service string) map[string]any {
		return route("deposit-post", "/deposits/", "non_idempotent", service, 1)
	}
	former, err := lab.startPlainSite(8, 30*time.Millisecond, moved(plainService))
	if err != nil {
		return err
	}
	if _, err := lab.addRunners("i-new-", movedService, 30*time.Millisecond); err != nil {
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
			cli.sendSteadily(ctx, 50*time.Millisecond, func() {
				_, _ = cli.send(http.MethodPost, "/deposits/2f", "", 2500*time.Millisecond, "deposit")
			})
		})
	}
	time.Sleep(calm)
	from := time.Now().Add(stableWindow + margin)
	if trouble {
		for _, dmn := range lab.daemons {
			lab.rec.printf("%d connections of %s to the store go silent", dmn.storeLink.silence(), dmn.name)
		}
	}
	time.Sleep(changeDelay)
	ackedAt := lab.putConfig(7, moved(movedService))
	time.Sleep(watchTime)
	stop()
	sending.Wait()
	if end := ackedAt.Add(configTime); end.After(from) {
		from = end
	}
	late := 0
	last := ackedAt
	for _, rnr := range former {
		for _, arr := range rnr.reached() {
			for _, cli := range clients {
				snd, ok := cli.sending(arr.request)
				if !ok || snd.at.Before(from) {
					continue
				}
				late++
				if arr.at.After(last) {
					last = arr.at
				}
				lab.rec.printf("request %s, sent at %.3f, ran at %s of the former service at %.3f; the client got status %d, error %v",
					arr.request, lab.rec.seconds(snd.at), rnr.id, lab.rec.seconds(arr.at), snd.status, snd.err)
			}
		}
	}
	lab.rec.printf("%d requests that clients sent after %.3f ran at the service from which their route was moved at %.3f, the last one %.1f s later",
		late, lab.rec.seconds(from), lab.rec.seconds(ackedAt), last.Sub(ackedAt).Seconds())
	if late > 0 {
		return errBroken
	}
	return nil
}
