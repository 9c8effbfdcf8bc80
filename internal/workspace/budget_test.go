package workspace_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/workspace"
)

// TestRetryIsAShareOfRequests guards against retries that amplify an overload: in the long run there is one retry for
// five requests.
func TestRetryIsAShareOfRequests(t *testing.T) {
	reg := workspace.New(nil)
	retries := 0
	for range 10000 {
		reg.RecordRequest("polishing", "group")
		for range 3 {
			if reg.TakeRetry("polishing", "group") {
				retries++
			}
		}
	}
	qt.Assert(t, retries >= 1900 && retries <= 2000+32, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// TestRetryBudgetsAreSeparate guards against a workspace whose retries exhaust the budget of another workspace, and
// against a lost replica whose streams exhaust the budget of a workspace for other groups.
func TestRetryBudgetsAreSeparate(t *testing.T) {
	reg := workspace.New(nil)
	for reg.TakeRetry("one", "first") {
	}
	qt.Assert(t, reg.TakeRetry("one", "second"), qt.IsTrue)
	qt.Assert(t, reg.TakeRetry("two", "first"), qt.IsFalse)
	qt.Assert(t, reg.TakeRetry("two", "second"), qt.IsTrue)
}

// TestRestartsGrantNoFurtherRetries guards against a daemon that restarts often and each time has whole retry budgets.
func TestRestartsGrantNoFurtherRetries(t *testing.T) {
	const lives, requests = 10, 1000
	retries := 0
	for range lives {
		reg := workspace.New(nil)
		for range requests {
			reg.RecordRequest("polishing", "group")
			if reg.TakeRetry("polishing", "group") {
				retries++
			}
		}
	}
	qt.Assert(t, retries <= lives*requests/5+32, qt.IsTrue, qt.Commentf("%d retries", retries))
}
