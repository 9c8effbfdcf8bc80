package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/requestbody"
)

// bodyTimeout is the longest time that a caller may take to send a body.
const bodyTimeout = 15 * time.Second

// readBody reads the body of a request in bounded time and memory. The body counts as memory until the caller of readBody calls
// release. If there is no body, readBody has answered the request.
func (hnd *Handler) readBody(rsw http.ResponseWriter, req *http.Request) (body []byte, release func(), ok bool) {
	bdy, err := hnd.bodies.Read(requestbody.Request{
		Writer:  rsw,
		Request: req,
		Caller:  callerWorkspace(req.Context()).Name,
		MaxSize: int64(hnd.config.MaxBodySize),
		Timeout: bodyTimeout,
	})
	if err == nil {
		if body, err = bdy.Bytes(); err == nil {
			return body, bdy.Close, true
		}
		bdy.Close()
	}
	requestbody.Refuse(rsw, req, func() { writeProblem(rsw, req, newBodyRefusal(err, int64(hnd.config.MaxBodySize))) })
	return nil, nil, false
}

func newBodyRefusal(err error, most int64) *refusal.Refusal {
	switch {
	case errors.Is(err, requestbody.ErrTooLarge):
		return newTooLargeRefusal(most)
	case errors.Is(err, requestbody.ErrTooSlow):
		return refusal.New(refusal.NotRun, http.StatusRequestTimeout, "Body too slow", "the body did not arrive within "+bodyTimeout.String(), retryAfter)
	case errors.Is(err, requestbody.ErrNoMemory):
		return refusal.Unavailable("too many large requests are in progress", retryAfter)
	default:
		return refusal.Invalid("the body cannot be read")
	}
}

func newTooLargeRefusal(most int64) *refusal.Refusal {
	return refusal.New(refusal.NotRun, http.StatusRequestEntityTooLarge, "Body too large",
		"a body may have at most "+strconv.FormatInt(most, 10)+" bytes", 0)
}

// timeoutHeader is the header in which a caller states its timeout in seconds.
const timeoutHeader = "X-Request-Timeout"

// deadline returns the time at which a request times out: after the timeout that the caller states, or
// after the configured one if that is shorter or the caller states none.
func (hnd *Handler) deadline(req *http.Request) (time.Time, *refusal.Refusal) {
	tmo := hnd.config.Timeout
	if text := req.Header.Get(timeoutHeader); text != "" {
		sec, err := strconv.ParseFloat(text, 64)
		// The comparison is written so that it is false for NaN.
		if err != nil || !(sec > 0) {
			return time.Time{}, refusal.Invalid(timeoutHeader + " is not a positive number of seconds")
		}
		if sec < tmo.Seconds() {
			tmo = time.Duration(sec * float64(time.Second))
		}
	}
	return hnd.clock.Now().Add(tmo), nil
}
