package caller

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/refusal"
)

const (
	// bodyTimeout is the longest time that a caller may take to send a body.
	bodyTimeout = 15 * time.Second
	// maxBodyBytes bounds the total size in bytes of the bodies of all requests in progress. It is a quarter
	// of the 256 MB of memory of a daemon.
	maxBodyBytes = 64 << 20
)

// readBody reads the body of a request in bounded time and memory. The body counts towards maxBodyBytes
// until the caller of readBody calls release.
func (hnd *Handler) readBody(rsw http.ResponseWriter, req *http.Request) (body []byte, release func(), ref *refusal.Refusal) {
	most := int64(hnd.config.MaxBodySize)
	if req.ContentLength > most {
		return nil, nil, newTooLargeRefusal(most)
	}
	size := req.ContentLength
	if size < 0 {
		size = most
	}
	if hnd.bodyBytes.Add(size) > maxBodyBytes {
		hnd.bodyBytes.Add(-size)
		return nil, nil, refusal.Unavailable("too many large requests are in progress", retryAfter)
	}
	release = func() { hnd.bodyBytes.Add(-size) }
	ctl := http.NewResponseController(rsw)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, most))
	// The deadline is reset, else it would end the response too: the server keeps reading to detect that the
	// caller has disconnected.
	_ = ctl.SetReadDeadline(time.Time{})
	if err != nil {
		release()
		return nil, nil, newBodyRefusal(err, most)
	}
	hnd.bodyBytes.Add(int64(len(body)) - size)
	size = int64(len(body))
	return body, release, nil
}

func newBodyRefusal(err error, most int64) *refusal.Refusal {
	var mbe *http.MaxBytesError
	switch {
	case errors.As(err, &mbe):
		return newTooLargeRefusal(most)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.NotRun, http.StatusRequestTimeout, "Body too slow", "the body did not arrive within "+bodyTimeout.String(), retryAfter)
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
