package upstream

import (
	"bytes"
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxStray is the number of answers to other requests that are skipped on one connection.
const maxStray = 4

// Call is one request to a backend server.
type Call struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether an answer belongs to this call.
	Owns func(res *http.Response) bool
}

// Answer is the answer to a call. Its body must be read to its end and the answer be finished.
type Answer struct {
	*http.Response
	con  *Conn
	stop func() bool
	keep bool
}

// Do sends a call over a connection and returns the answer's headers. Cancelling ctx closes the connection,
// also while the answer is being read. The connection belongs to the answer, or is closed on an error.
func (con *Conn) Do(ctx context.Context, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { con.Close() })
	fail := func(err error) (*Answer, error) {
		stop()
		con.Close()
		return nil, errors.WithType(errors.Trace(err), ErrBroken)
	}
	if ctx.Err() != nil {
		stop()
		con.Close()
		return nil, errors.WithType(errors.Trace(ctx.Err()), ErrNotSent)
	}
	if _, err := con.Write(call.encode()); err != nil {
		return fail(err)
	}
	req := &http.Request{
		Method: call.Method,
	}
	con.lmt.set()
	for range maxStray {
		res, err := http.ReadResponse(con.rdr, req)
		if err != nil {
			return fail(err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if call.Owns == nil || call.Owns(res) {
			con.lmt.limited = false
			con.keepAlive(res.Header)
			return &Answer{
				Response: res,
				con:      con,
				stop:     stop,
				keep:     !res.Close && !closeDelimited(res),
			}, nil
		}
		// A late second answer to an earlier request; the answer to this call follows it.
		if closeDelimited(res) {
			return fail(errors.New("the answer belongs to another request"))
		}
		con.lmt.limited = false
		if err := skip(res.Body); err != nil {
			return fail(err)
		}
		con.lmt.set()
	}
	return fail(errors.New("too many answers to other requests"))
}

// closeDelimited reports whether only the end of the connection ends the body.
func closeDelimited(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// CloseDelimited reports whether only the end of the connection ends the body.
func (ans *Answer) CloseDelimited() bool {
	return closeDelimited(ans.Response)
}

// Finish returns the connection to the pool if the whole body was read, else closes it, which also cancels
// the request at the backend server.
func (ans *Answer) Finish(whole bool) {
	if ans.stop() && whole && ans.keep {
		ans.con.pool.put(ans.con)
		return
	}
	ans.con.Close()
}

// keepAlive takes the idle time that the backend server states.
func (con *Conn) keepAlive(hdr http.Header) {
	for part := range strings.SplitSeq(hdr.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(val); err == nil && strings.EqualFold(name, "timeout") && secs > 0 {
			con.keepFor = time.Duration(float64(secs) * idleShare * float64(time.Second))
		}
	}
}

// encode returns the bytes of the request in one piece, so that one write sends it.
func (call *Call) encode() []byte {
	var buf bytes.Buffer
	buf.Grow(512 + len(call.Body))
	buf.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	names := make([]string, 0, len(call.Header))
	for name := range call.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, val := range call.Header[name] {
			buf.WriteString(name + ": " + val + "\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(call.Body)
	return buf.Bytes()
}
