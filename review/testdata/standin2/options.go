package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// playOptions: among ordinary requests, a client asks for the options of the server as a whole. No route matches, and no runner answers.
func playOptions(wld *world) (int, error) {
	dmn, err := wld.reportSite()
	if err != nil {
		return failed, err
	}
	unsealed := 0
	for num := range 20 {
		att := wld.send(dmn, "GET", "/short/today", "", fmt.Sprintf("%016x", rand.Uint64()), 2500*time.Millisecond)
		wld.logf("client: GET /short/today: status %d, seal %t", att.status, att.sealed)
		if att.status >= 200 && att.status < 300 && !att.sealed {
			unsealed++
		}
		if att.status != 200 {
			return failed, fmt.Errorf("request %d was answered %d %s", num, att.status, att.detail)
		}
	}
	if wld.trouble {
		status, sealed, err := options(dmn)
		if err != nil {
			return failed, err
		}
		wld.logf("client: OPTIONS *: status %d, seal %t", status, sealed)
		if status >= 200 && status < 300 && !sealed {
			unsealed++
		}
	}
	if unsealed > 0 {
		return broken, nil
	}
	return held, nil
}

func options(dmn *daemon) (int, bool, error) {
	con, err := net.DialTimeout("tcp", dmn.front, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(con, "OPTIONS * HTTP/1.1\r\nHost: "+host+"\r\nX-Cumintally-Request-Id: "+fmt.Sprintf("%016x", rand.Uint64())+
		"\r\nX-Cumintally-Deadline-Ms: 2500\r\n\r\n")
	if err != nil {
		return 0, false, err
	}
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	return res.StatusCode, res.Header.Get("X-Cumintally-Server-Seal") != "", nil
}
