package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// slowReaders is the number of clients of one machine that read slowly. The daemon admits half of the machine's descriptors, 2,050,
	// as callers' connections.
	slowReaders = 2000
	// reportSize is the size of a report in bytes.
	reportSize = 240_000
	// readPause is the time between two reads of 1 kB by a slow reader.
	readPause = time.Second
	// reportRunners is the number of runners, each with the limits of one of felt-llm.
	reportRunners = 48
	// machines and ends are those of the rule: a tenth of the machines in use, two at least, and three ends in the day on each.
	machines = 2
	ends     = 3
)

// playSlowReaders: many clients ask for a report and read it slowly. The platform ends a process that exceeds the memory of its machine and
// starts it again.
func playSlowReaders(wld *world) (int, error) {
	if err := wld.reportSite(machines); err != nil {
		return failed, err
	}
	counts := make([]int, machines)
	highest := make([]int, machines)
	errs := make([]error, machines)
	var wgr sync.WaitGroup
	for idx, dmn := range wld.daemons {
		wgr.Go(func() {
			for round := 0; round < ends && errs[idx] == nil; round++ {
				var over bool
				over, highest[idx] = wld.crowd(dmn, highest[idx])
				if !over {
					continue
				}
				counts[idx]++
				wld.logf("platform: the process on %s exceeds the %d kB of its machine and is killed, the %d. time", dmn.name, memoryMB*1024, counts[idx])
				dmn.kill()
				time.Sleep(time.Second)
				if round+1 < ends {
					errs[idx] = wld.restart(dmn)
				}
			}
		})
	}
	wgr.Wait()
	if err := errors.Join(errs...); err != nil {
		return failed, err
	}
	wld.logLimits()
	wld.logf("ends for memory: %v; most held: %v kB", counts, highest)
	fmt.Printf("ends for memory %v, most held %v kB, limit %d kB\n", counts, highest, memoryMB*1024)
	if slices.Min(counts) >= ends {
		return broken, nil
	}
	return held, nil
}

func (wld *world) restart(dmn *daemon) error {
	if err := dmn.restarted(); err != nil {
		return err
	}
	if err := dmn.start(); err != nil {
		return err
	}
	return dmn.awaitReady(15 * time.Second)
}

// crowd lets slow readers come to a daemon and watches its memory until it exceeds that of its machine, or until some seconds after the
// last of them has come. It returns whether it did, and the most that was seen or most if that is more.
func (wld *world) crowd(dmn *daemon, most int) (bool, int) {
	stop := make(chan struct{})
	var wgr sync.WaitGroup
	defer wgr.Wait()
	defer close(stop)
	wgr.Go(func() {
		for range slowReaders {
			wgr.Go(func() { wld.readSlowly(dmn, "/reports/today", stop) })
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	for began := time.Now(); time.Since(began) < 16*time.Second; time.Sleep(50 * time.Millisecond) {
		now := dmn.status("VmRSS")
		most = max(most, now)
		if now > memoryMB*1024 {
			return true, most
		}
	}
	return false, most
}

// readSlowly asks for path and reads 1 kB of the answer a second until stop is closed. Without trouble it reads all at once.
func (wld *world) readSlowly(dmn *daemon, path string, stop <-chan struct{}) {
	con, err := net.DialTimeout("tcp", dmn.front, time.Second)
	if err != nil {
		return
	}
	defer con.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			_ = con.Close()
		case <-ended:
		}
	}()
	_ = con.(*net.TCPConn).SetReadBuffer(4096)
	_, _ = io.WriteString(con, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nX-Cumintally-Request-Id: "+fmt.Sprintf("%016x", rand.Uint64())+
		"\r\nX-Cumintally-Deadline-Ms: 60000\r\nApi-Key: "+apiKey+"\r\n\r\n")
	buf := make([]byte, 1024)
	for {
		if !wld.trouble {
			_, _ = io.Copy(io.Discard, con)
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(readPause):
		}
		if _, err := con.Read(buf); err != nil {
			return
		}
	}
}

// reportSite starts daemons and runners, which answer requests for reports with long answers.
func (wld *world) reportSite(daemons int) error {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil || lim.Cur < 4*maxFiles {
		return fmt.Errorf("the stand-ins need %d descriptors, and have %d", 4*maxFiles, lim.Cur)
	}
	wld.putConfig([]map[string]any{{
		"name": "report", "host": host, "path-prefix": "/reports/", "kind": "idempotent", "service": "reports", "timeout-ms": 60000, "slo-ms": 5000,
		"max-attempts": 2, "priority": 2,
	}}, []map[string]any{{"name": "reports", "health-path": "/health", "max-conns": modelLimits.connections}})
	report := make([]byte, reportSize)
	for idx := range report {
		report[idx] = byte('a' + idx%26)
	}
	for num := range reportRunners {
		rnr, err := wld.addRunner(fmt.Sprintf("i-reports-%d", num), "reports", zones[num%len(zones)], modelLimits)
		if err != nil {
			return err
		}
		rnr.work = 5 * time.Millisecond
		rnr.answer = func(_ *http.Request) []byte {
			return report
		}
	}
	for num := range daemons {
		if err := wld.addDaemon(num); err != nil {
			return err
		}
	}
	return wld.awaitReady(20 * time.Second)
}
