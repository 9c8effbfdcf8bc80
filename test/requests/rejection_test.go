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

// exitWait is the time within which a crashed process has exited.
const exitWait = 100 * time.Millisecond

// TestBadInputIsRejectedAsNotRun guards against bad input that is not rejected with a clear status and title, or
// that is rejected with an outcome other than NotRun.
func TestBadInputIsRejectedAsNotRun(tst *testing.T) {
	tst.Parallel()
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
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
		sta, prb, hdr, err := sendRequest(env.Entries[0], cas.method, cas.path, cas.header, cas.body)
		qt.Check(tst, err, qt.IsNil, qt.Commentf("%s", cas.name))
		qt.Check(tst, sta, qt.Equals, cas.status, qt.Commentf("%s: %+v", cas.name, prb))
		qt.Check(tst, prb.Title, qt.Equals, cas.title, qt.Commentf("%s", cas.name))
		qt.Check(tst, prb.Outcome, qt.Equals, "NotRun", qt.Commentf("%s", cas.name))
		qt.Check(tst, hdr.Get("Content-Type"), qt.Equals, "application/problem+json", qt.Commentf("%s", cas.name))
	}
	// An oversized body without a Content-Length is rejected too.
	req, _ := http.NewRequest(http.MethodPost, "http://"+env.Entries[0].Address+"/v1/completions", struct{ *strings.Reader }{strings.NewReader(string(big))})
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(tst, err, qt.IsNil)
	res.Body.Close()
	qt.Assert(tst, res.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestDeadlineIsKept guards against a request that does not end at its deadline, and against a response that is
// delayed after it.
func TestDeadlineIsKept(tst *testing.T) {
	tst.Parallel()
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
	for _, ent := range env.Entries {
		for _, streamed := range []bool{true, false} {
			cpl := &completion{}
			begun := time.Now()
			err := cpl.post(env.ctx, ent, body("too long for it", 5000, streamed), map[string]string{"X-Request-Timeout": "0.4"})
			qt.Assert(tst, err, qt.IsNil)
			qt.Assert(tst, cpl.problem, qt.IsNotNil)
			qt.Check(tst, cpl.problem.Title, qt.Equals, "Deadline passed")
			qt.Check(tst, cpl.problem.Outcome, qt.Equals, "Unknown")
			took := time.Since(begun)
			qt.Check(tst, took > 350*time.Millisecond && took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
			env.eventually("all streams are cancelled", func() bool { return env.runningStreams() == 0 })
		}
	}
}

// TestRejectionStatesWhatIsKnown guards against the outcome NotRun for a request that may have run, and against a
// delayed rejection.
func TestRejectionStatesWhatIsKnown(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 2}, 1, "one")
	for _, streamed := range []bool{false, true} {
		cpl := &completion{}
		time.AfterFunc(300*time.Millisecond, func() { env.loseBusyEngine(false) })
		qt.Assert(tst, cpl.post(env.ctx, env.Entries[0], body("only replica", 5000, streamed), nil), qt.IsNil)
		qt.Assert(tst, cpl.problem, qt.IsNotNil)
		qt.Check(tst, cpl.problem.Outcome, qt.Equals, "Unknown")

		begun := time.Now()
		sta, prb, hdr, err := sendRequest(env.Entries[0], http.MethodPost, "/v1/completions", nil, []byte(body("none left", 5, streamed)))
		qt.Assert(tst, err, qt.IsNil)
		qt.Check(tst, sta, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(tst, prb.Outcome, qt.Equals, "NotRun")
		qt.Check(tst, hdr.Get("Retry-After"), qt.Equals, "1")
		qt.Check(tst, time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
		env.restoreEngines()
		qt.Assert(tst, fleet.WaitForServingGroups(env.ctx, env.Entries[0], 1), qt.IsNil)
	}
	env.setEngineFaults(engine.Faults{Leaving: true})
	time.Sleep(600 * time.Millisecond)
	cpl := &completion{}
	qt.Assert(tst, cpl.post(env.ctx, env.Entries[1], body("all leaving", 5, true), nil), qt.IsNil)
	qt.Check(tst, cpl.problem.Outcome, qt.Equals, "NotRun")
}
