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

const (
	// MaxHeadSize is the limit in bytes that HTTP clients for backend servers set on the headers of a response. Hundreds of such
	// heads fit into the memory of a small VM.
	MaxHeadSize = 64 << 10
	// maxLineSize is the maximum size in bytes of a line of a stream, which holds a frame with a few tokens.
	maxLineSize = 64 << 10
	// maxReplySize is the maximum size in bytes of the body of any other reply.
	maxReplySize = 1 << 20
)

// Client sends requests to model engines at their IP:port addresses.
type Client struct {
	httpClient *http.Client
}

// New returns a client that sends requests with a copy of client, but does not follow redirects.
func New(client *http.Client) *Client {
	// Backend servers do not redirect. If net/http followed a redirect it could send a GET in place of the
	// request, and the success of the GET would be taken for that of the request.
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		httpClient: &own,
	}
}

// Report requests the report of the engine at address.
func (cli *Client) Report(ctx context.Context, address string) (Report, error) {
	var rep Report
	err := cli.call(ctx, http.MethodGet, "http://"+address+"/report", nil, &rep)
	return rep, errors.Trace(err)
}

// Order sends an order to the engine at address. ErrStaleOrder means that the engine has a newer order.
func (cli *Client) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithDeadline(ctx, order.NotAfter)
	defer cancel()
	return errors.Trace(cli.call(ctx, http.MethodPost, "http://"+address+"/orders", order, nil))
}

// Cancel cancels a stream at the engine at address. It returns nil if the engine has no such stream.
func (cli *Client) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	err := cli.call(ctx, http.MethodDelete, "http://"+address+streamPath(requestID, attempt), nil, nil)
	if errors.Is(err, ErrStreamNotFound) {
		return nil
	}
	return errors.Trace(err)
}

// Generate starts a stream at the engine at address.
func (cli *Client) Generate(ctx context.Context, address string, request StreamRequest) (*Stream, error) {
	return cli.openStream(ctx, http.MethodPost, "http://"+address+"/streams", request)
}

// Resume reopens a stream at the engine at address, beginning with the frame of sequence number from.
func (cli *Client) Resume(ctx context.Context, address, requestID string, attempt, from int) (*Stream, error) {
	url := "http://" + address + streamPath(requestID, attempt) + "?from=" + strconv.Itoa(from)
	return cli.openStream(ctx, http.MethodGet, url, nil)
}

// CacheEvents returns the cache events of the engine at address after sequence number since.
func (cli *Client) CacheEvents(ctx context.Context, address string, since uint64) ([]CacheEvent, error) {
	var evs []CacheEvent
	url := "http://" + address + "/cache-events?since=" + strconv.FormatUint(since, 10)
	err := cli.call(ctx, http.MethodGet, url, nil, &evs)
	return evs, errors.Trace(err)
}

// openStream sends a request whose reply is a stream.
func (cli *Client) openStream(ctx context.Context, method, url string, body any) (*Stream, error) {
	res, err := cli.send(ctx, method, url, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewStream(res.Body), nil
}

// NewStream returns a stream that reads server-sent events from body. Closing the stream closes body.
func NewStream(body io.ReadCloser) *Stream {
	scn := bufio.NewScanner(body)
	scn.Buffer(make([]byte, 0, 4096), maxLineSize)
	scn.Split(completeLines)
	return &Stream{
		body:    body,
		scanner: scn,
	}
}

// call sends a request and decodes the JSON body of the reply into answer, unless answer is nil.
func (cli *Client) call(ctx context.Context, method, url string, body, answer any) error {
	res, err := cli.send(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if answer == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxReplySize))
	} else {
		err = json.NewDecoder(io.LimitReader(res.Body, maxReplySize)).Decode(answer)
	}
	if err != nil {
		return errors.Annotate(ErrBroken, err.Error())
	}
	return nil
}

// send sends a request and returns the reply if its status is 2xx.
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
	// Without GetBody, net/http cannot resend a request with a body on its own.
	req.GetBody = nil
	res, err := cli.httpClient.Do(req)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ClassifySendError(err))
	}
	if err := statusError(res.StatusCode); err != nil {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		res.Body.Close()
		return nil, errors.Annotatef(err, "status %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	}
	return res, nil
}

// ClassifySendError classifies an error of http.Client.Do: ErrNotSent if no connection was established, else ErrBroken.
func ClassifySendError(err error) errors.ConstError {
	var ope *net.OpError
	if errors.As(err, &ope) && ope.Op == "dial" {
		return ErrNotSent
	}
	return ErrBroken
}

// statusError returns the error for an HTTP status, or nil for success.
func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrStaleOrder
	case status == http.StatusNotFound:
		return ErrStreamNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return ErrRejected
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrInvalidRequest
	default:
		return ErrBroken
	}
}

func streamPath(requestID string, attempt int) string {
	return "/streams/" + requestID + "." + strconv.Itoa(attempt)
}
