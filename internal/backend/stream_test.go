package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
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

// BenchmarkNext measures the time to read one frame, without network I/O.
func BenchmarkNext(bnc *testing.B) {
	data, _ := json.Marshal(Frame{
		RequestID: "17a937c9-4c40-4d11-9f5c-b58a2737a35f",
		Sequence:  1234,
		Text:      "interferometer ",
	})
	body := strings.Repeat("data: "+string(data)+"\n\n", 1000)
	bnc.ReportAllocs()
	for num := 0; num < bnc.N; num += 1000 {
		str, err := New(&http.Client{Transport: fixedResponse(body)}).Generate(bnc.Context(), "vm-1", StreamRequest{})
		if err != nil {
			bnc.Fatal(err)
		}
		for range 1000 {
			if _, err := str.Next(); err != nil {
				bnc.Fatal(err)
			}
		}
	}
}
