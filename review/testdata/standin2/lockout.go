package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lockoutReaders is a little more than the number of callers' connections that the daemon admits.
const lockoutReaders = 2100

// playLockout: slow readers hold all connections that the daemon admits. It says that it is ready and must take new connections.
func playLockout(wld *world) (int, error) {
	dmn, err := wld.reportSite()
	if err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wld.balance(stop)
	time.Sleep(1500 * time.Millisecond)
	var wgr sync.WaitGroup
	for range lockoutReaders {
		wgr.Go(func() { wld.readSlowly(dmn, "/streams/today", stop) })
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var tries, answers, ready atomic.Int64
	var clients sync.WaitGroup
	for num := range 10 {
		clients.Go(func() {
			for time.Since(began) < 10*time.Second {
				att := wld.send(dmn, "GET", "/short/today", "", fmt.Sprintf("ordinary-%d-%d", num, time.Now().UnixNano()), 2500*time.Millisecond)
				tries.Add(1)
				if att.status > 0 {
					answers.Add(1)
				}
				wld.logf("ordinary client %d: status %d %s; ready %t", num, att.status, att.detail, dmn.inRound.Load())
				if dmn.inRound.Load() {
					ready.Add(1)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	fmt.Printf("tries %d, answers %d, ready %d, VmHWM %d kB\n", tries.Load(), answers.Load(), ready.Load(), dmn.status("VmHWM"))
	close(stop)
	wgr.Wait()
	if answers.Load() == 0 && ready.Load() == tries.Load() {
		return broken, nil
	}
	return held, nil
}
