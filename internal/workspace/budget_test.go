package workspace_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/workspace"
)

// Guards against retries that amplify an overload: in the long run they are a fifth of the requests.
func TestRetryIsAShareOfRequests(tst *testing.T) {
	reg := workspace.New(nil)
	retries := 0
	for range 10000 {
		reg.Sent("polishing", "group")
		for range 3 {
			if reg.Retry("polishing", "group") {
				retries++
			}
		}
	}
	qt.Assert(tst, retries >= 1900 && retries <= 2000+32, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// Guards against a budget spent by one workspace that keeps another from retrying, and against a lost
// replica whose streams exhaust the budget of a workspace for other groups.
func TestRetryBudgetsAreSeparate(tst *testing.T) {
	reg := workspace.New(nil)
	for reg.Retry("one", "first") {
	}
	qt.Assert(tst, reg.Retry("one", "second"), qt.IsTrue)
	qt.Assert(tst, reg.Retry("two", "first"), qt.IsFalse)
	qt.Assert(tst, reg.Retry("two", "second"), qt.IsTrue)
}
