package objects_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/objects"
)

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (rtf roundTripperFunc) RoundTrip(req *http.Request) (*http.Response, error) { return rtf(req) }

// FuzzAnswers guards against a crash or a wrong kind of error after a response of the platform that violates the
// protocol.
func FuzzAnswers(fzz *testing.F) {
	fzz.Add(200, `"7"`, `{"Revision":9,"Objects":[{"Name":"a","Version":7,"Value":{"X":1}},{"Name":"b","Version":8,"Deleted":true}]}`)
	fzz.Add(200, `"0"`, `[{"Name":"vm-1","Role":"Engine","State":"Live","Address":"127.0.0.1:1"}]`)
	fzz.Add(200, ``, `{"Revision":-1,"Objects":null}`)
	fzz.Add(200, `W/"7"`, `null`)
	fzz.Add(304, `"7"`, ``)
	fzz.Add(412, ``, `conflict`)
	fzz.Fuzz(func(tst *testing.T, status int, etag, body string) {
		if status < 200 || status > 599 {
			tst.Skip()
		}
		rtf := roundTripperFunc(func(req *http.Request) (*http.Response, error) {
			return &http.Response{
				StatusCode: status,
				Header:     http.Header{"Etag": {etag}},
				Body:       io.NopCloser(strings.NewReader(body)),
				Request:    req,
			}, nil
		})
		pst := objects.New("http://platform", &http.Client{Transport: rtf}, metrics.NewCounter()).Store()
		ctx := context.Background()
		if objs, _, err := pst.List(ctx, kind); err == nil {
			for _, obj := range objs {
				qt.Check(tst, len(obj.Value) == 0 || json.Valid(obj.Value), qt.IsTrue)
			}
		} else {
			checkKnownError(tst, err, objects.ErrUnavailable, objects.ErrNotFound, objects.ErrConflict, objects.ErrTooLarge)
		}
		if _, err := pst.VMs(ctx); err != nil {
			checkKnownError(tst, err, objects.ErrUnavailable, objects.ErrNotFound, objects.ErrConflict, objects.ErrTooLarge)
		}
		if ver, err := pst.Put(ctx, kind, "one", 0, []byte(`1`)); err == nil {
			qt.Check(tst, ver > 0 && status < 300, qt.IsTrue)
		} else if status < 300 {
			checkKnownError(tst, err, objects.ErrUnknownOutcome)
		}
	})
}

func checkKnownError(tst *testing.T, err error, expected ...error) {
	for _, exp := range expected {
		if errors.Is(err, exp) {
			return
		}
	}
	tst.Errorf("unexpected error %v", err)
}
