package verb_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/explanation"
)

// Guards against a query that loses values on its way to the daemon, and against an exit status of 0 for a request that
// would be rejected.
func TestExplainPrintsTheAnswerOfTheDaemon(tst *testing.T) {
	var asked explanation.Query
	answer := explanation.Explanation{
		Daemon: "entry-1",
		Route:  "ask",
		Model:  "m1",
		Targets: []explanation.Target{
			{
				Service: "engines",
				Weight:  1,
				Candidates: []explanation.Candidate{
					{
						Server:   "vm-1",
						Zone:     "a",
						Forecast: 123 * time.Millisecond,
						Share:    1,
					},
				},
			},
		},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		var err error
		asked, err = explanation.ParseValues(req.URL.Query())
		qt.Check(tst, err, qt.IsNil)
		_ = json.NewEncoder(wrt).Encode(answer)
	}))
	defer srv.Close()
	args := []string{
		"explain", "--operator", strings.TrimPrefix(srv.URL, "http://"), "--host", "api.example", "--path", "/ask", "--workspace", "harbour",
		"--model", "m1", "--prompt-tokens", "674", "--expected-tokens", "150", "--part", "AB:400", "--part", "cd:20",
	}
	out := run(args)
	qt.Assert(tst, asked, qt.DeepEquals, explanation.Query{
		Host:           "api.example",
		Path:           "/ask",
		Workspace:      "harbour",
		Model:          "m1",
		PromptTokens:   674,
		ExpectedTokens: 150,
		Parts:          []string{"AB:400", "cd:20"},
	})
	qt.Assert(tst, out, qt.Contains, "vm-1")
	qt.Assert(tst, out, qt.Contains, "123ms")
	qt.Assert(tst, out, qt.Not(qt.Contains), "error")
	answer.Targets[0].Rejection = "503 Not available now"
	qt.Assert(tst, run(append(args, "--json")), qt.Contains, "error: the request would be rejected: 503 Not available now")
}
