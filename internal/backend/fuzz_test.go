package backend_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
)

// fixedResponse is a transport that returns a fixed body with status 200.
type fixedResponse string

func (res fixedResponse) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(string(res))),
		Request:    req,
	}, nil
}

// FuzzReport guards against a crash, or an error other than ErrBroken, on a malformed report or list of cache
// events.
func FuzzReport(fzz *testing.F) {
	fzz.Add(`{"VM":"vm-1","Incarnation":7,"Group":"g","Fencing":3,"Members":["vm-1"],"State":"Cold","ColdLimit":2}`)
	fzz.Add(`{"Incarnation":-1}`)
	fzz.Add(`{"Members":{"a":1}}`)
	fzz.Add(`[]`)
	fzz.Add(`null`)
	fzz.Fuzz(func(tst *testing.T, body string) {
		cli := backend.New(&http.Client{Transport: fixedResponse(body)})
		if _, err := cli.Report(context.Background(), "vm-1"); err != nil {
			qt.Check(tst, err, qt.ErrorIs, backend.ErrBroken)
		}
		if _, err := cli.CacheEvents(context.Background(), "vm-1", 0); err != nil {
			qt.Check(tst, err, qt.ErrorIs, backend.ErrBroken)
		}
	})
}

// FuzzFrames guards against a stream of arbitrary bytes on which the reader crashes, does not terminate or
// returns more frames than the stream has lines.
func FuzzFrames(fzz *testing.F) {
	fzz.Add("data: {\"RequestID\":\"a\",\"Attempt\":0,\"Sequence\":0,\"Text\":\"hello \",\"Finish\":\"\"}\n\ndata: {\"Sequence\":1,\"Finish\":\"stop\"}\n\n")
	fzz.Add("data:{}\r\n\r\n: comment\nevent: error\ndata: null\n\n")
	fzz.Add("data: {\"Sequence\":1e9}\n\ndata: {\"Sequence\":0.5}\n")
	fzz.Add("data: {\"Text\":\"\xff\"}\n\n")
	fzz.Fuzz(func(tst *testing.T, body string) {
		cli := backend.New(&http.Client{Transport: fixedResponse(body)})
		str, err := cli.Generate(context.Background(), "vm-1", backend.StreamRequest{})
		qt.Assert(tst, err, qt.IsNil)
		defer str.Close()
		for num := 0; ; num++ {
			qt.Assert(tst, num <= strings.Count(body, "\n"), qt.IsTrue)
			if _, err := str.Next(); err != nil {
				qt.Assert(tst, err, qt.ErrorIs, backend.ErrBroken)
				return
			}
		}
	})
}
