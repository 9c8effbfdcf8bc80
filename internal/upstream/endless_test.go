package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/endless"
	"github.com/cumintally/cumintally/internal/standin/memory"
	"github.com/cumintally/cumintally/internal/upstream"
)

// endlessAnswers holds the ways in which a backend server can send endless bytes that never complete a response. Do reports
// those that never complete the headers, Discard the others.
var endlessAnswers = map[string]func(con net.Conn, id string){
	"status line": func(con net.Conn, _ string) { endless.Pour(con, "", "H") },
	"one header": func(con net.Conn, _ string) {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX: ")
		endless.Pour(con, "", "x")
	},
	"many headers": func(con net.Conn, _ string) {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n")
		endless.Pour(con, "", "Name: value\r\n")
	},
	"interim answers": func(con net.Conn, _ string) { endless.Pour(con, "", "HTTP/1.1 102 Processing\r\n\r\n") },
	"body of another request": func(con net.Conn, _ string) {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nId: another\r\nTransfer-Encoding: chunked\r\n\r\n")
		endless.Pour(con, "", "4\r\nbody\r\n")
	},
	"answers of another request": func(con net.Conn, _ string) {
		endless.Pour(con, "", "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 1\r\n\r\nx")
	},
	"chunk extension": func(con net.Conn, id string) {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4;", id)
		endless.Pour(con, "", "x")
	},
	"trailer": func(con net.Conn, id string) {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", id)
		endless.Pour(con, "", "Name: value\r\n")
	},
	"chunks": func(con net.Conn, id string) {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		endless.Pour(con, "", "4\r\nbody\r\n")
	},
	"body without length": func(con net.Conn, id string) {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", id)
		endless.Pour(con, "", "body")
	},
}

// Guards against a backend server whose bytes never complete a response and keep the connection busy: the connection
// must be closed long before the caller's deadline.
func TestEndlessBytesEndTheConnection(tst *testing.T) {
	for name, send := range endlessAnswers {
		tst.Run(name, func(tst *testing.T) {
			ended := make(chan struct{})
			srv := newServer(tst, func(con net.Conn, req *http.Request, _ int) bool {
				defer close(ended)
				send(con, req.Header.Get("Id"))
				return false
			})
			pol := newPool()
			defer closePool(pol)
			ctx, cancel := context.WithTimeout(tst.Context(), 10*time.Second)
			defer cancel()
			qt.Assert(tst, callAndDiscard(ctx, pol, srv.lst.Addr().String()), qt.IsNotNil)
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				tst.Fatal("the connection is still open")
			}
		})
	}
}

// callAndDiscard sends a call and discards the body of its response.
func callAndDiscard(ctx context.Context, pol *upstream.Pool, adr string) error {
	con, err := pol.Get(ctx, adr)
	if err != nil {
		return err
	}
	rsp, err := con.Do(ctx, call("1"))
	if err != nil {
		return err
	}
	err = rsp.Discard()
	rsp.Finish(err == nil)
	return err
}

// Guards against memory exhaustion of the daemon when many backend servers send endless headers at once: 200 of them
// must fit into a part of the 184 MB of the smallest VM.
func TestManyEndlessHeadsFitIntoMemory(tst *testing.T) {
	const (
		servers = 200
		most    = 64 << 20
	)
	srv := newServer(tst, func(con net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX: ")
		endless.Pour(con, "", "x")
		return false
	})
	pol := newPool()
	defer closePool(pol)
	peak := memory.PeakGrowth(func() {
		var wgr sync.WaitGroup
		for range servers {
			wgr.Go(func() {
				ctx, cancel := context.WithTimeout(tst.Context(), 10*time.Second)
				defer cancel()
				if err := callAndDiscard(ctx, pol, srv.lst.Addr().String()); err == nil {
					tst.Error("endless headers were accepted as a response")
				}
			})
		}
		wgr.Wait()
	})
	tst.Logf("peak heap growth: %d MB", peak>>20)
	qt.Assert(tst, peak < most, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}
