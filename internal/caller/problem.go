package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/refusal"
)

// problem is the problem details body of an error response (RFC 9457). Its standard members have the names
// of the RFC; Outcome is an extension member.
type problem struct {
	Type     string          `json:"type"`
	Title    string          `json:"title"`
	Status   int             `json:"status"`
	Detail   string          `json:"detail"`
	Instance string          `json:"instance,omitempty"`
	Outcome  refusal.Outcome `json:"Outcome"`
}

func newProblem(req *http.Request, ref *refusal.Refusal) problem {
	prb := problem{
		Type:    "about:blank",
		Title:   ref.Title,
		Status:  ref.Status,
		Detail:  ref.Detail,
		Outcome: ref.Outcome,
	}
	if idn := requestID(req.Context()); idn != "" {
		prb.Instance = "urn:uuid:" + idn
	}
	return prb
}

// writeProblem writes a refusal as the response. Nothing may have been written before.
func writeProblem(rsw http.ResponseWriter, req *http.Request, ref *refusal.Refusal) {
	if ref.RetryAfter > 0 {
		rsw.Header().Set("Retry-After", retryAfterSeconds(ref.RetryAfter))
	}
	rsw.Header().Set("Content-Type", "application/problem+json")
	rsw.WriteHeader(ref.Status)
	_ = json.NewEncoder(rsw).Encode(newProblem(req, ref))
}

// retryAfterSeconds returns a duration as the value of the Retry-After header, rounded up to whole seconds.
func retryAfterSeconds(dur time.Duration) string {
	return strconv.Itoa(int(math.Ceil(dur.Seconds())))
}

// asRefusal returns the refusal that an error wraps. Any other error becomes a refusal with an unknown
// outcome.
func asRefusal(err error) *refusal.Refusal {
	var ref *refusal.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return refusal.UnknownOutcome("the request failed inside the system", time.Second)
}
