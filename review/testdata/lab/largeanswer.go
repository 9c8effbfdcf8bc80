package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// slowFactor is the factor by which a runner turns slow, and slowTime the time for which it does.
	slowFactor = 12
	slowTime   = 9 * time.Second
	// largeAnswer is the size of an answer that the daemons do not hold until it is whole.
	largeAnswer = 512 << 10
	// mostLost is the number of kept connections that the daemons may close without an answer.
	mostLost = 3
)

// runLargeAnswer checks that long answers of sound runners reach the clients whole, though one of three runners turns slow.
func runLargeAnswer(lab *lab, trouble bool) error {
	runners, err := lab.startPlainSite(8, 30*time.Millisecond, route("order-list", "/lists/", "idempotent", plainService, 2))
	if err != nil {
		return err
	}
	for _, rnr := range runners {
		rnr.answerSize.Store(largeAnswer)
	}
	var clients []*client
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	for _, dmn := range lab.daemons {
		cli := newClient(lab.rec, dmn)
		clients = append(clients, cli)
		sending.Go(func() {
			cli.sendSteadily(ctx, 50*time.Millisecond, func() {
				_, _ = cli.send(http.MethodGet, "/lists/2f", "", 2500*time.Millisecond, "")
			})
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		lab.rec.printf("runner %s turns slow", runners[0].id)
		runners[0].slowdown.Store(slowFactor)
	}
	time.Sleep(slowTime)
	lab.rec.printf("runner %s is as fast as before", runners[0].id)
	runners[0].slowdown.Store(1)
	time.Sleep(time.Second)
	stop()
	sending.Wait()
	total := 0
	for _, cli := range clients {
		lost := 0
		for _, rnr := range runners {
			for _, arr := range rnr.reached() {
				if snd, ok := cli.sending(arr.request); ok && snd.kept && snd.brokeOff() {
					lost++
					lab.rec.printf("request %s was passed on to %s and its kept connection was closed without a whole answer: %v", arr.request, rnr.id, snd.err)
				}
			}
		}
		lab.rec.printf("%s closed %d kept connections without a whole answer", cli.dmn.name, lost)
		total += lost
	}
	lab.rec.printf("%d kept connections were closed without a whole answer, %d may be", total, mostLost)
	if total > mostLost {
		return errBroken
	}
	return nil
}
