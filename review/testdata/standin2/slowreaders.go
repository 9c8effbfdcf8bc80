package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// slowReaders is the number of clients that read slowly. The daemon admits half of the machine's descriptors, 2,050, as callers'
	// connections.
	slowReaders = 2000
	// reportSize is the size of a report in bytes.
	reportSize = 400_000
	// readPause is the time between two reads of 1 kB by a slow reader.
	readPause = time.Second
)

// playSlowReaders: many clients ask for a report of 400 kB and read it slowly. The process must stay within the memory of its machine.
func playSlowReaders(wld *world) (int, error) {
	dmn, err := wld.reportSite()
	if err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wld.balance(stop)
	time.Sleep(1500 * time.Millisecond)
	wld.logf("before: VmRSS %d kB", dmn.status("VmRSS"))
	var wgr sync.WaitGroup
	for range slowReaders {
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			wld.readSlowly(dmn, "/reports/today", stop)
		}()
		time.Sleep(5 * time.Millisecond)
	}
	most := 0
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		if !dmn.running() {
			wld.logf("the process ended")
			return broken, nil
		}
		most = max(most, dmn.status("VmRSS"))
	}
	high := dmn.status("VmHWM")
	over := high > memoryMB*1024
	wld.logf("the process held %d kB at most, VmHWM %d kB; its machine has %d kB", most, high, memoryMB*1024)
	fmt.Printf("VmRSS at most %d kB, VmHWM %d kB, limit %d kB\n", most, high, memoryMB*1024)
	close(stop)
	wgr.Wait()
	if over {
		return broken, nil
	}
	return held, nil
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

// reportSite starts one daemon and three runners, which answer requests for reports with long answers.
func (wld *world) reportSite() (*daemon, error) {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil || lim.Cur < 3*maxFiles {
		return nil, fmt.Errorf("the stand-ins need %d descriptors, and have %d", 3*maxFiles, lim.Cur)
	}
	wld.putConfig([]map[string]any{{
		"name": "report", "host": host, "path-prefix": "/reports/", "kind": "idempotent", "service": "orders", "timeout-ms": 60000, "slo-ms": 5000,
		"max-attempts": 2, "priority": 2,
	}, {
		"name": "stream", "host": host, "path-prefix": "/streams/", "kind": "streaming", "service": "orders", "timeout-ms": 60000, "slo-ms": 500,
		"max-attempts": 1, "priority": 2,
	}, {
		"name": "short", "host": host, "path-prefix": "/short/", "kind": "idempotent", "service": "orders", "timeout-ms": 2000, "slo-ms": 500,
		"max-attempts": 2, "priority": 2,
	}}, []map[string]any{{"name": "orders", "health-path": "/health"}})
	report := make([]byte, reportSize)
	for idx := range report {
		report[idx] = byte('a' + idx%26)
	}
	var stream []byte
	for num := range 600 {
		stream = fmt.Appendf(stream, "id: %d\ndata: %s\n\n", num+1, strings.Repeat("word ", 80))
	}
	for idx, zone := range zones {
		rnr, err := wld.addRunner(fmt.Sprintf("i-orders-%d", idx), "orders", zone)
		if err != nil {
			return nil, err
		}
		rnr.work = 5 * time.Millisecond
		rnr.answer = func(req *http.Request) []byte {
			switch req.URL.Path {
			case "/reports/today":
				return report
			case "/streams/today":
				return stream
			default:
				return []byte("short")
			}
		}
	}
	if err := wld.addDaemon(0); err != nil {
		return nil, err
	}
	if err := wld.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	return wld.daemons[0], nil
}
