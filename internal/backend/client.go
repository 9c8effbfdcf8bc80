package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxEventSize is the longest line of a stream in bytes that the client takes.
const maxEventSize = 1 << 20

// Client calls model engines at their IP:port addresses.
type Client struct {
	htc *http.Client
}

// New returns a client that sends over htc.
func New(htc *http.Client) *Client {
	// Backend servers do not redirect. net/http would turn a redirected request into a read, whose success
	// would pass for that of the request.
	own := *htc
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		htc: &own,
	}
}

// Report asks the engine at adr for its report.
func (cli *Client) Report(ctx context.Context, adr string) (Report, error) {
	var rep Report
	err := cli.call(ctx, http.MethodGet, "http://"+adr+"/report", nil, &rep)
	return rep, errors.Trace(err)
}

// Order gives the engine at adr an order; ErrStaleOrder says that the engine holds a newer one.
func (cli *Client) Order(ctx context.Context, adr string, ord Order) error {
	ctx, cancel := context.WithDeadline(ctx, ord.NotAfter)
	defer cancel()
	return errors.Trace(cli.call(ctx, http.MethodPost, "http://"+adr+"/orders", ord, nil))
}

// Cancel ends a stream at the engine; an unknown stream is no error.
func (cli *Client) Cancel(ctx context.Context, adr, requestID string, attempt int) error {
	err := cli.call(ctx, http.MethodDelete, "http://"+adr+streamPath(requestID, attempt), nil, nil)
	if errors.Is(err, ErrNoStream) {
		return nil
	}
	return errors.Trace(err)
}

// Generate starts a stream at the engine at adr.
func (cli *Client) Generate(ctx context.Context, adr string, srq StreamRequest) (*Stream, error) {
	return cli.open(ctx, http.MethodPost, "http://"+adr+"/streams", srq)
}

// Resume opens a started stream again from sequence number from.
func (cli *Client) Resume(ctx context.Context, adr, requestID string, attempt, from int) (*Stream, error) {
	url := "http://" + adr + streamPath(requestID, attempt) + "?from=" + strconv.Itoa(from)
	return cli.open(ctx, http.MethodGet, url, nil)
}

// CacheEvents returns the cache events of the engine at adr after sequence number since.
func (cli *Client) CacheEvents(ctx context.Context, adr string, since uint64) ([]CacheEvent, error) {
	var evs []CacheEvent
	url := "http://" + adr + "/cache-events?since=" + strconv.FormatUint(since, 10)
	err := cli.call(ctx, http.MethodGet, url, nil, &evs)
	return evs, errors.Trace(err)
}

func (cli *Client) open(ctx context.Context, method, url string, body any) (*Stream, error) {
	res, err := cli.send(ctx, method, url, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewStream(res.Body), nil
}

// NewStream returns a stream that reads server-sent events from body.
func NewStream(body io.ReadCloser) *Stream {
	scn := bufio.NewScanner(body)
	scn.Buffer(make([]byte, 0, 4096), maxEventSize)
	scn.Split(wholeLines)
	return &Stream{
		body: body,
		scn:  scn,
	}
}

func (cli *Client) call(ctx context.Context, method, url string, body, answer any) error {
	res, err := cli.send(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if answer == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxEventSize))
	} else {
		err = json.NewDecoder(io.LimitReader(res.Body, maxEventSize)).Decode(answer)
	}
	if err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	return nil
}

func (cli *Client) send(ctx context.Context, method, url string, body any) (*http.Response, error) {
	var rdr io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Annotate(ErrNotSent, err.Error())
		}
		rdr = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rdr)
	if err != nil {
		return nil, errors.Annotate(ErrNotSent, err.Error())
	}
	// Without GetBody net/http never sends a request with a body a second time by itself.
	req.GetBody = nil
	res, err := cli.htc.Do(req)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), SendError(err))
	}
	if err := statusError(res.StatusCode); err != nil {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		res.Body.Close()
		return nil, errors.Annotatef(err, "status %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	}
	return res, nil
}

// SendError turns an error of net/http into ErrNotSent if no connection was made, else into ErrBroken.
func SendError(err error) errors.ConstError {
	var ope *net.OpError
	if errors.As(err, &ope) && ope.Op == "dial" {
		return ErrNotSent
	}
	return ErrBroken
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrStaleOrder
	case status == http.StatusNotFound:
		return ErrNoStream
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return ErrRefused
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrInvalid
	default:
		return ErrBroken
	}
}

func streamPath(requestID string, attempt int) string {
	return "/streams/" + requestID + "." + strconv.Itoa(attempt)
}
