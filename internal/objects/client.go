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

// New returns a client of the API at base, such as "http://127.0.0.1:7000"; calls counts every call made.
func New(base string, htc *http.Client, calls metrics.Counter) *Client {
	// The API does not redirect. net/http would turn a redirected write into a read, whose success would
	// pass for that of the write.
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

// Get returns one object, or ErrNotFound.
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

type listAnswer struct {
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

// Watch waits for changes of a kind after revision since.
func (cli *Client) Watch(ctx context.Context, kind string, since uint64) ([]Object, uint64, error) {
	path := "/objects/" + url.PathEscape(kind) + "?watch=1&since=" + strconv.FormatUint(since, 10)
	return cli.list(ctx, kind, path)
}

func (cli *Client) list(ctx context.Context, kind, path string) ([]Object, uint64, error) {
	res, err := cli.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	var ans listAnswer
	if err := json.Unmarshal(res.body, &ans); err != nil {
		return nil, 0, errors.Annotate(ErrUnavailable, "list answer is not JSON")
	}
	objs := make([]Object, 0, len(ans.Objects))
	for _, lio := range ans.Objects {
		objs = append(objs, Object{
			Kind:    kind,
			Name:    lio.Name,
			Version: lio.Version,
			Deleted: lio.Deleted,
			Value:   lio.Value,
		})
	}
	return objs, ans.Revision, nil
}

// Put writes value if the object's version is still expected; expected 0 creates the object.
func (cli *Client) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, errors.Annotatef(ErrTooLarge, "%s/%s has %d bytes", kind, name, len(value))
	}
	res, err := cli.do(ctx, http.MethodPut, objectPath(kind, name), condition(expected), value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	ver, err := parseVersion(res.header.Get("ETag"))
	if err != nil {
		// The write took effect as far as its status says, so that it must not pass for one not made.
		return 0, errors.Annotate(ErrUnknownOutcome, err.Error())
	}
	return ver, nil
}

// Delete removes the object if its version is still expected.
func (cli *Client) Delete(ctx context.Context, kind, name string, expected uint64) error {
	_, err := cli.do(ctx, http.MethodDelete, objectPath(kind, name), condition(expected), nil)
	return errors.Trace(err)
}

// VMs returns the platform's lagging list of live and leaving VMs.
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
	// Without GetBody net/http never sends a write a second time by itself.
	req.GetBody = nil
	for key, vals := range header {
		req.Header[key] = vals
	}
	res, err := cli.htc.Do(req)
	if err != nil {
		return response{}, errors.Annotate(TransportError(method, err), err.Error())
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
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

// TransportError tells a call that never left from one whose answer was lost.
func TransportError(method string, err error) error {
	var ope *net.OpError
	if method == http.MethodGet || (errors.As(err, &ope) && ope.Op == "dial") {
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// StatusError returns the error that an HTTP status of an object store stands for, nil for success.
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
		// The platform states that it did not take a call that it answers with 429 or 503.
		return ErrUnavailable
	case method == http.MethodGet:
		return ErrUnavailable
	default:
		return ErrUnknownOutcome
	}
}

func condition(expected uint64) http.Header {
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
	// Versions start at 1, since 0 as an expected version stands for no object.
	if err != nil || ver == 0 {
		return 0, errors.Annotatef(ErrUnavailable, "ETag %q is not a version", etag)
	}
	return ver, nil
}
