package requests_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// exitWait is the time in which a process that crashed has ended.
const exitWait = 100 * time.Millisecond

// Guards against bad input that gets no clear answer, or one that claims that it may have run.
func TestBadInputIsRefusedAsNotRun(tst *testing.T) {
	tst.Parallel()
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
	big := bytes.Repeat([]byte("x"), 2<<20)
	for _, cas := range []struct {
		name, method, path string
		header             map[string]string
		body               []byte
		status             int
		title              string
	}{
		{"wrong key", "POST", "/v1/completions", map[string]string{"Authorization": "Bearer wrong"}, nil, 401, "Unauthorized"},
		{"no key", "POST", "/v1/completions", map[string]string{"Authorization": ""}, nil, 401, "Unauthorized"},
		{"oversized", "POST", "/v1/completions", nil, big, 413, "Body too large"},
		{"malformed", "POST", "/v1/completions", nil, []byte(`{"model":`), 400, "Invalid request"},
		{"trailing", "POST", "/v1/completions", nil, []byte(body("a", 1, false) + "x"), 400, "Invalid request"},
		{"wrong type", "POST", "/v1/completions", nil, []byte(`{"model":7}`), 400, "Invalid request"},
		{"no prompt", "POST", "/v1/completions", nil, []byte(`{"model":"model"}`), 400, "Invalid request"},
		{"no messages", "POST", "/v1/chat/completions", nil, []byte(`{"model":"model"}`), 400, "Invalid request"},
		{"too long", "POST", "/v1/completions", nil, []byte(body("a", 1<<30, false)), 400, "Invalid request"},
		{"unknown model", "POST", "/v1/completions", nil, []byte(`{"model":"none","prompt":"a"}`), 404, "Unknown model"},
		{"bad timeout", "POST", "/v1/completions", map[string]string{"X-Request-Timeout": "soon"}, []byte(body("a", 1, false)), 400, "Invalid request"},
		{"no timeout", "POST", "/v1/completions", map[string]string{"X-Request-Timeout": "NaN"}, []byte(body("a", 1, false)), 400, "Invalid request"},
		{"bad event id", "POST", "/v1/completions", map[string]string{"Last-Event-ID": "a.1"}, nil, 404, "Unknown stream"},
		{"no event id", "GET", "/v1/streams/abc", nil, nil, 400, "Invalid request"},
		{"wrong path", "POST", "/v2", nil, nil, 404, "Not found"},
		{"wrong method", "DELETE", "/v1/models", nil, nil, 405, "Method not allowed"},
		{"unknown service", "POST", "/services/none/x", nil, nil, 404, "Unknown service"},
	} {
		sta, prb, hdr, err := send(wld.Entries[0], cas.method, cas.path, cas.header, cas.body)
		qt.Check(tst, err, qt.IsNil, qt.Commentf("%s", cas.name))
		qt.Check(tst, sta, qt.Equals, cas.status, qt.Commentf("%s: %+v", cas.name, prb))
		qt.Check(tst, prb.Title, qt.Equals, cas.title, qt.Commentf("%s", cas.name))
		qt.Check(tst, prb.Outcome, qt.Equals, "NotRun", qt.Commentf("%s", cas.name))
		qt.Check(tst, hdr.Get("Content-Type"), qt.Equals, "application/problem+json", qt.Commentf("%s", cas.name))
	}
	// An oversized body of unknown length is cut off too.
	req, _ := http.NewRequest(http.MethodPost, "http://"+wld.Entries[0].Address+"/v1/completions", struct{ *strings.Reader }{strings.NewReader(string(big))})
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(tst, err, qt.IsNil)
	res.Body.Close()
	qt.Assert(tst, res.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// Guards against a deadline that is not kept, and against an answer held back after it.
func TestDeadlineIsKept(tst *testing.T) {
	tst.Parallel()
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
	for _, ent := range wld.Entries {
		for _, streamed := range []bool{true, false} {
			ans := &answer{}
			begun := time.Now()
			err := ans.post(wld.ctx, ent, body("too long for it", 5000, streamed), map[string]string{"X-Request-Timeout": "0.4"})
			qt.Assert(tst, err, qt.IsNil)
			qt.Assert(tst, ans.problem, qt.IsNotNil)
			qt.Check(tst, ans.problem.Title, qt.Equals, "Deadline passed")
			qt.Check(tst, ans.problem.Outcome, qt.Equals, "Unknown")
			took := time.Since(begun)
			qt.Check(tst, took > 350*time.Millisecond && took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
			wld.eventually("cancelled", func() bool { return wld.running() == 0 })
		}
	}
}

// Guards against "not run" said of a request that may have run, and against a refusal that is held back.
func TestRefusalStatesWhatIsKnown(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
	for _, streamed := range []bool{false, true} {
		ans := &answer{}
		time.AfterFunc(300*time.Millisecond, func() { wld.loseBusy(false) })
		qt.Assert(tst, ans.post(wld.ctx, wld.Entries[0], body("only replica", 5000, streamed), nil), qt.IsNil)
		qt.Assert(tst, ans.problem, qt.IsNotNil)
		qt.Check(tst, ans.problem.Outcome, qt.Equals, "Unknown")

		begun := time.Now()
		sta, prb, hdr, err := send(wld.Entries[0], http.MethodPost, "/v1/completions", nil, []byte(body("none left", 5, streamed)))
		qt.Assert(tst, err, qt.IsNil)
		qt.Check(tst, sta, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(tst, prb.Outcome, qt.Equals, "NotRun")
		qt.Check(tst, hdr.Get("Retry-After"), qt.Equals, "1")
		qt.Check(tst, time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		wld.restore()
		qt.Assert(tst, fleet.WaitServing(wld.ctx, wld.Entries[0], 1), qt.IsNil)
	}
	wld.faults(engine.Faults{Leaving: true})
	time.Sleep(600 * time.Millisecond)
	ans := &answer{}
	qt.Assert(tst, ans.post(wld.ctx, wld.Entries[1], body("all leaving", 5, true), nil), qt.IsNil)
	qt.Check(tst, ans.problem.Outcome, qt.Equals, "NotRun")
}
