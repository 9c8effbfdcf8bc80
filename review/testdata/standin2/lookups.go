package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playLookups: clients ask for the state of one order again and again. Each of the three runners in turn loses every third answer
// for 1.5 s, three at most. Later all daemons are killed and started again, and must serve as before.
func playLookups(wld *world) (int, error) {
	wld.putConfig([]map[string]any{
		{
			"name": "lookup", "host": host, "path-prefix": "/orders/", "kind": "idempotent", "service": "orders", "timeout-ms": 1200, "slo-ms": 150,
			"max-attempts": 2, "priority": 2,
		},
		{
			"name": "deposit", "host": host, "path-prefix": "/deposits/", "kind": "non_idempotent", "service": "orders", "timeout-ms": 1200, "slo-ms": 150,
			"max-attempts": 1, "priority": 2,
		},
	}, []map[string]any{{"name": "orders", "health-path": "/health", "max-conns": orderLimits.connections}})
	for idx, zone := range zones {
		if _, err := wld.addRunner(fmt.Sprintf("i-orders-%d", idx), "orders", zone, orderLimits); err != nil {
			return failed, err
		}
	}
	for num := range 8 {
		if err := wld.addDaemon(num); err != nil {
			return failed, err
		}
	}
	if err := wld.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wld.balance(stop)
	time.Sleep(1500 * time.Millisecond)
	var ldg ledger
	began := time.Now()
	waits := []*sync.WaitGroup{
		wld.traffic(stop, 40, func() { wld.ask(&ldg, "lookup", "GET", "/orders/4711", "", true) }),
		wld.traffic(stop, 4, func() {
			wld.ask(&ldg, "deposit", "POST", "/deposits/", fmt.Sprintf("deposit %x", rand.Uint64()), false)
		}),
	}
	time.Sleep(15 * time.Second)
	if wld.trouble {
		for _, rnr := range wld.runners {
			rnr.loseAnswers.Store(3)
			time.Sleep(1500 * time.Millisecond)
			rnr.loseAnswers.Store(0)
		}
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	fault := time.Now()
	wld.logf("final fault: all processes of the system are killed")
	for _, dmn := range wld.daemons {
		if err := dmn.restarted(); err != nil {
			return failed, err
		}
		dmn.kill()
	}
	time.Sleep(600 * time.Millisecond)
	for _, dmn := range wld.daemons {
		if err := dmn.start(); err != nil {
			return failed, err
		}
	}
	back := time.Now()
	wld.logf("all processes are started again")
	time.Sleep(recovery + 20*time.Second)
	close(stop)
	for _, wgr := range waits {
		wgr.Wait()
	}
	wld.logLimits()
	sentBefore, servedBefore := ldg.share(began, fault, "")
	sentAfter, servedAfter := ldg.share(back.Add(recovery), time.Now(), "")
	lookups, servedLookups := ldg.share(back.Add(recovery), time.Now(), "lookup")
	wld.logf("before the final fault: %d of %d requests served", servedBefore, sentBefore)
	wld.logf("later than recovery-s after it: %d of %d requests served, of them lookups %d of %d", servedAfter, sentAfter, servedLookups, lookups)
	fmt.Printf("before %d/%d, after %d/%d, lookups after %d/%d\n", servedBefore, sentBefore, servedAfter, sentAfter, servedLookups, lookups)
	if sentBefore == 0 || sentAfter == 0 || 4*servedBefore < sentBefore {
		return failed, fmt.Errorf("too little was served before the final fault: %d of %d", servedBefore, sentBefore)
	}
	if 4*servedAfter < sentAfter {
		return broken, nil
	}
	return held, nil
}
