package upstream

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxResponsesPerRequest limits the responses that are read for one request, the matching one included. Those before it
// that are interim or belong to another request are skipped.
const maxResponsesPerRequest = 4

// Request is one request to a backend server.
type Request struct {
	// ID is that by which responses name this request.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the content in order, in segments that are not copied.
	Body [][]byte
	// Match tells how a response relates to this request; nil takes any response for the one to this request.
	Match func(res *http.Response) Match
}

// Match is the relation of a response to a request.
type Match int

// Relations of a response to a request.
const (
	// Unnamed means that the response does not name its request. Only on a connection without earlier requests does it
	// certainly belong to this one.
	Unnamed Match = iota
	// Same means that the response names this request, and Other that it names another one.
	Same
	Other
)

// Response is the response to a request. Read its body to the end and call Finish to release the connection.
type Response struct {
	*http.Response
	conn       *Conn
	stopCancel func() bool
	reusable   bool
}

// Do sends a request over the connection and returns the response with its headers read. Cancelling ctx closes the
// connection, also while the body is being read. The response takes over the connection; on an error, ErrNotSent or
// ErrBroken, the connection is closed.
func (con *Conn) Do(ctx context.Context, rqs Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { con.Close() })
	// The relay sends the texts of these errors to callers.
	fail := func(err error) (*Response, error) {
		stop()
		con.Close()
		return nil, errors.WithType(errors.Trace(err), ErrBroken)
	}
	if ctx.Err() != nil {
		stop()
		con.Close()
		return nil, errors.WithType(errors.Trace(ctx.Err()), ErrNotSent)
	}
	con.recordCarried(rqs.ID)
	if err := con.send(&rqs); err != nil {
		return fail(err)
	}
	req := &http.Request{
		Method: rqs.Method,
	}
	con.headLimit.start()
	for range maxResponsesPerRequest {
		res, err := http.ReadResponse(con.reader, req)
		if err != nil {
			return fail(err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		match := rqs.match(res)
		if match == Unnamed && len(con.carried) > 1 {
			return fail(errors.New("the answer does not name its request and may belong to an earlier one"))
		}
		if match != Other {
			con.headLimit.limited = false
			con.applyKeepAlive(res.Header)
			return &Response{
				Response:   res,
				conn:       con,
				stopCancel: stop,
				reusable:   !con.singleUse && !res.Close && !closeDelimited(res),
			}, nil
		}
		// This is a late duplicate response to an earlier request; the response to this request follows it.
		if closeDelimited(res) {
			return fail(errors.New("the answer belongs to another request"))
		}
		con.headLimit.limited = false
		if err := discardBody(res.Body); err != nil {
			return fail(err)
		}
		con.headLimit.start()
	}
	return fail(errors.New("too many answers to other requests"))
}

// carriedRequests is the number of latest requests on a connection whose IDs are kept.
const carriedRequests = 8

// recordCarried records that a request is sent on the connection.
func (con *Conn) recordCarried(id string) {
	con.carried = append(con.carried, id)
	con.carried = con.carried[max(0, len(con.carried)-carriedRequests):]
}

// Distinguishes reports whether the response to the request called id can be told from responses to earlier requests on the connection.
// It cannot if the request has no ID, or was sent on the connection before: a second copy of its first response would be taken for the
// response to the second send.
func (con *Conn) Distinguishes(id string) bool {
	if id == "" {
		return len(con.carried) == 0
	}
	return !slices.Contains(con.carried, id)
}

// HasReceived reports whether anything has arrived on the connection. It must not be called while a response is being read.
func (con *Conn) HasReceived() bool {
	return con.headLimit.received
}

func (rqs *Request) match(res *http.Response) Match {
	if rqs.Match == nil {
		return Same
	}
	return rqs.Match(res)
}

// closeDelimited reports whether the body ends only when the connection closes.
func closeDelimited(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// CloseDelimited reports whether the body ends only when the connection closes.
func (rsp *Response) CloseDelimited() bool {
	return closeDelimited(rsp.Response)
}

// Finish returns the connection to the pool if the whole body was read. Otherwise it closes the connection, which also
// cancels the request at the backend server.
func (rsp *Response) Finish(whole bool) {
	if rsp.stopCancel() && whole && rsp.reusable {
		rsp.conn.pool.putIdle(rsp.conn)
		return
	}
	rsp.conn.Close()
}

// applyKeepAlive sets the idle timeout from the Keep-Alive header of the backend server.
func (con *Conn) applyKeepAlive(hdr http.Header) {
	for part := range strings.SplitSeq(hdr.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if secs, err := strconv.Atoi(val); err == nil && strings.EqualFold(name, "timeout") && secs > 0 {
			con.idleTimeout = time.Duration(float64(secs) * idleTimeoutShare * float64(time.Second))
		}
	}
}

// send writes the whole request, by a single write if its body is small.
func (con *Conn) send(rqs *Request) error {
	parts := rqs.Body
	head := rqs.encodeHead(len(parts) == 1)
	if len(parts) == 1 {
		head = append(head, parts[0]...)
		parts = nil
	}
	if _, err := con.Write(head); err != nil {
		return errors.Trace(err)
	}
	for _, prt := range parts {
		if _, err := con.Write(prt); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// encodeHead returns the bytes of the request up to its body, with capacity for the body if withBody is set.
func (rqs *Request) encodeHead(withBody bool) []byte {
	size := 0
	for _, prt := range rqs.Body {
		size += len(prt)
	}
	var buf bytes.Buffer
	buf.Grow(512)
	if withBody {
		buf.Grow(512 + size)
	}
	buf.WriteString(rqs.Method + " " + rqs.Target + " HTTP/1.1\r\nHost: " + rqs.Host + "\r\n")
	names := make([]string, 0, len(rqs.Header))
	for name := range rqs.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, val := range rqs.Header[name] {
			buf.WriteString(name + ": " + val + "\r\n")
		}
	}
	if size > 0 || rqs.Method == http.MethodPost || rqs.Method == http.MethodPut || rqs.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}
