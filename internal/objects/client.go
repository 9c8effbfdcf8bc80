package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
)

// Client calls the platform's object API over HTTP.
type Client struct {
	base  string
	htc   *http.Client
	calls metrics.Counter
}

// New returns a client of the API at base, such as "http://127.0.0.1:7000". calls counts all calls.
func New(base string, htc *http.Client, calls metrics.Counter) *Client {
	// The API does not redirect. net/http would follow a redirect of a write with a GET request, and the success
	// of that read would be taken for the success of the write.
	own := *htc
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		htc:   &own,
		calls: calls,
	}
}

// Store returns the client's calls as function fields.
func (cli *Client) Store() Store {
	return Store{
		Get:       cli.Get,
		List:      cli.List,
		GetStale:  cli.Get,
		ListStale: cli.List,
		Put:       cli.Put,
		Delete:    cli.Delete,
		Watch:     cli.Watch,
		VMs:       cli.VMs,
	}
}

// Get returns an object, or ErrNotFound if it does not exist.
func (cli *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	res, err := cli.do(ctx, http.MethodGet, objectPath(kind, name), nil, nil)
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	ver, err := parseVersion(res.header.Get("ETag"))
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	return Object{
		Kind:    kind,
		Name:    name,
		Version: ver,
		Value:   res.body,
	}, nil
}

type listResponse struct {
	Revision uint64
	Objects  []listedObject
}

type listedObject struct {
	Name    string
	Version uint64
	Deleted bool
	Value   json.RawMessage
}

// List returns all objects of a kind and the store's revision.
func (cli *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	return cli.list(ctx, kind, "/objects/"+url.PathEscape(kind))
}

// Watch waits for changes to objects of a kind after revision since.
func (cli *Client) Watch(ctx context.Context, kind string, since uint64) ([]Object, uint64, error) {
	path := "/objects/" + url.PathEscape(kind) + "?watch=1&since=" + strconv.FormatUint(since, 10)
	return cli.list(ctx, kind, path)
}

func (cli *Client) list(ctx context.Context, kind, path string) ([]Object, uint64, error) {
	res, err := cli.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var lir listResponse
	if err := json.Unmarshal(res.body, &lir); err != nil {
		return nil, 0, errors.Annotate(ErrUnavailable, "list answer is not JSON")
	}
	objs := make([]Object, 0, len(lir.Objects))
	for _, lio := range lir.Objects {
		objs = append(objs, Object{
			Kind:    kind,
			Name:    lio.Name,
			Version: lio.Version,
			Deleted: lio.Deleted,
			Value:   lio.Value,
		})
	}
	return objs, lir.Revision, nil
}

// Put writes value if the object's version equals expected, and returns the new version. With expected 0 it creates
// the object.
func (cli *Client) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, errors.Annotatef(ErrTooLarge, "%s/%s has %d bytes", kind, name, len(value))
	}
	res, err := cli.do(ctx, http.MethodPut, objectPath(kind, name), conditionHeader(expected), value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	ver, err := parseVersion(res.header.Get("ETag"))
	if err != nil {
		// The status says that the write took effect, so it must not be reported as not written.
		return 0, errors.Annotate(ErrUnknownOutcome, err.Error())
	}
	return ver, nil
}

// Delete deletes the object if its version equals expected.
func (cli *Client) Delete(ctx context.Context, kind, name string, expected uint64) error {
	_, err := cli.do(ctx, http.MethodDelete, objectPath(kind, name), conditionHeader(expected), nil)
	return errors.Trace(err)
}

// VMs returns the platform's list of live and leaving VMs, which lags behind.
func (cli *Client) VMs(ctx context.Context) ([]VM, error) {
	res, err := cli.do(ctx, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var vms []VM
	if err := json.Unmarshal(res.body, &vms); err != nil {
		return nil, errors.Annotate(ErrUnavailable, "VM list is not JSON")
	}
	return vms, nil
}

type response struct {
	header http.Header
	body   []byte
}

func (cli *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	cli.calls.Inc(1)
	req, err := http.NewRequestWithContext(ctx, method, cli.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	// Without GetBody, net/http never resends a write on its own.
	req.GetBody = nil
	for key, vals := range header {
		req.Header[key] = vals
	}
	res, err := cli.htc.Do(req)
	if err != nil {
		CloseAfterTimeout(ctx, cli.htc)
		return response{}, errors.Annotate(TransportError(method, err), err.Error())
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
		CloseAfterTimeout(ctx, cli.htc)
		return response{}, errors.Annotate(TransportError(method, err), err.Error())
	}
	if err := StatusError(method, res.StatusCode); err != nil {
		return response{}, errors.Annotatef(err, "%s %s: status %d", method, path, res.StatusCode)
	}
	return response{
		header: res.Header,
		body:   data,
	}, nil
}

// CloseAfterTimeout closes the idle connections of a client if the time for a call has run out, which ctx tells, and reports whether it
// has. The connections may have fallen silent together with that of the call, and the next calls would time out on them.
func CloseAfterTimeout(ctx context.Context, htc *http.Client) bool {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return false
	}
	htc.CloseIdleConnections()
	return true
}

// TransportError returns the error for a call that failed without a response: ErrUnavailable for a read or a call
// whose connection could not be opened, and ErrUnknownOutcome for a write that may have been sent.
func TransportError(method string, err error) error {
	var ope *net.OpError
	if method == http.MethodGet || (errors.As(err, &ope) && ope.Op == "dial") {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// StatusError returns the error for the HTTP status of a response of the object API, nil for success.
func StatusError(method string, status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		// By the API's contract, a call with status 429 or 503 was not processed.
		return ErrUnavailable
	case method == http.MethodGet:
		return ErrUnavailable
	default:
		return ErrUnknownOutcome
	}
}

func conditionHeader(expected uint64) http.Header {
	hdr := http.Header{}
	if expected == 0 {
		hdr.Set("If-None-Match", "*")
		return hdr
	}
	hdr.Set("If-Match", `"`+strconv.FormatUint(expected, 10)+`"`)
	return hdr
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func parseVersion(etag string) (uint64, error) {
	ver, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	// Versions start at 1, because the expected version 0 means that the object does not exist.
	if err != nil || ver == 0 {
		return 0, errors.Annotatef(ErrUnavailable, "ETag %q is not a version", etag)
	}
	return ver, nil
}
