package servicecall

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
)

const (
	// errResponseTooLarge reports that the call ran and its response exceeds maxResponseSize.
	errResponseTooLarge = errors.ConstError("servicecall: response too large")
	// dialTimeout bounds the wait for a backend server that is gone and does not even reject the connection.
	dialTimeout = 500 * time.Millisecond
)

// send opens a connection before startCtx ends and runs one call over it until runCtx ends. ErrNotSent means that the
// gate never opened, so that no byte of the call was sent or will be sent.
func send(startCtx, runCtx context.Context, gat *gate, rdr bodyReader, adr string, req Request) (Response, error) {
	hrq, err := newHTTPRequest(runCtx, adr, req)
	if err != nil {
		return Response{}, errors.Annotate(backend.ErrNotSent, err.Error())
	}
	con, err := connect(startCtx, gat.dial, adr)
	if err != nil {
		return Response{}, errors.Annotate(backend.ErrNotSent, err.Error())
	}
	defer func() { _ = con.Close() }()
	res, err := transport(gatedConn{
		Conn: con,
		gat:  gat,
	}).RoundTrip(hrq)
	if err != nil {
		if gat.close(err) {
			return Response{}, errors.Annotate(backend.ErrNotSent, err.Error())
		}
		return Response{}, errors.Annotate(backend.ErrBroken, err.Error())
	}
	defer res.Body.Close()
	body, err := rdr.read(runCtx, res.Body)
	if errors.Is(err, errResponseTooLarge) {
		return Response{}, errors.Trace(err)
	}
	if err != nil {
		return Response{}, errors.Annotate(backend.ErrBroken, err.Error())
	}
	return Response{
		Status:      res.StatusCode,
		ContentType: res.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, adr string) (net.Conn, error)

func connect(ctx context.Context, dial dialFunc, adr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return dial(ctx, "tcp", adr)
}

// transport returns a transport that has only the given connection. With reused connections net/http would send a call
// a second time by itself if the connection breaks and the call has an Idempotency-Key or no body.
func transport(con net.Conn) *http.Transport {
	used := false
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: backend.MaxHeadSize,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used {
				return nil, errors.Annotate(backend.ErrBroken, "the connection of this call was used already")
			}
			used = true
			return con, nil
		},
	}
}

func newHTTPRequest(ctx context.Context, adr string, req Request) (*http.Request, error) {
	url := "http://" + adr + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	hrq, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	hrq.GetBody = nil
	if req.ContentType != "" {
		hrq.Header.Set("Content-Type", req.ContentType)
	}
	if req.IdempotencyKey != "" {
		hrq.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	hrq.Header.Set("X-Request-Id", req.RequestID)
	return hrq, nil
}
