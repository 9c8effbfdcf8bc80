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

const (
	// margin is added to the time after which the machines are in touch again.
	margin = 250 * time.Millisecond
	// serveOn is the time for which the leaving runners go on serving after the time to drain; then they exit.
	serveOn = 3500 * time.Millisecond
	// calm is the time before the connections go silent.
	calm = 6400 * time.Millisecond
	// siteDaemons is the number of daemons: the eight machines of khangai-ger and its three spare ones.
	siteDaemons = 11
	// runnersPerZone is the number of runners of each zone, of which one leaves.
	runnersPerZone = 4
)

// exodus is the leaving of runners after the connections went silent.
type exodus struct {
	silentAt time.Time
	ackedAt  time.Time
	leaving  []*runner
}

// runSilentStore checks that no request reaches runners that have left, though the open connections between the daemons and
// the store go silent, while new ones work.
func runSilentStore(lab *lab, trouble bool) error {
	runners, err := lab.startPlainSite(siteDaemons, runnersPerZone, 200*time.Millisecond,
		route("deposit-post", "/deposits/", "non_idempotent", plainService, 1))
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
	time.Sleep(calm)
	exd := lab.letRunnersLeave(runners[:len(zones)], trouble)
	stop()
	sending.Wait()
	if lab.countLate(exd, clients) > 0 {
		return errBroken
	}
	return nil
}

// letRunnersLeave makes the connections to the store silent and then lets some runners leave.
func (lab *lab) letRunnersLeave(leaving []*runner, trouble bool) exodus {
	exd := exodus{
		silentAt: time.Now(),
		leaving:  leaving,
	}
	if trouble {
		for _, dmn := range lab.daemons {
			lab.rec.printf("%d connections of %s to the store go silent", dmn.storeLink.silence(), dmn.name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, rnr := range leaving {
		exd.ackedAt = rnr.register("draining")
	}
	time.Sleep(drainTime + serveOn)
	for _, rnr := range leaving {
		lab.rec.printf("runner %s exits", rnr.id)
		rnr.exit()
	}
	return exd
}

// countLate returns the number of requests that reached leaving runners too late: clients sent them when the machines were in
// touch again and the time to drain had passed.
func (lab *lab) countLate(exd exodus, clients map[string]*client) int {
	from := exd.silentAt.Add(stableWindow + margin)
	if end := exd.ackedAt.Add(drainTime); end.After(from) {
		from = end
	}
	late, lost := 0, 0
	last := exd.ackedAt
	for _, rnr := range exd.leaving {
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
				if snd.status != http.StatusOK {
					lost++
				}
				lab.rec.printf("request %s, sent at %.3f, reached %s at %.3f; the client got status %d, error %v",
					arr.request, lab.rec.seconds(snd.at), rnr.id, lab.rec.seconds(arr.at), snd.status, snd.err)
			}
		}
	}
	lab.rec.printf("%d requests that clients sent after %.3f reached the runners that left at %.3f, the last one %.1f s later; %d of them got no success",
		late, lab.rec.seconds(from), lab.rec.seconds(exd.ackedAt), last.Sub(exd.ackedAt).Seconds(), lost)
	return late
}
