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
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 15 * time.Second
	// maxBodies bounds the bytes of all bodies in progress, a quarter of a daemon's 256 MB.
	maxBodies = 64 << 20
)

// readBody reads the body of a request in bounded time and memory. The memory counts until release.
func (hnd *Handler) readBody(rsw http.ResponseWriter, req *http.Request) (body []byte, release func(), ref *refusal.Refusal) {
	most := int64(hnd.cfg.MaxBodySize)
	if req.ContentLength > most {
		return nil, nil, tooLarge(most)
	}
	size := req.ContentLength
	if size < 0 {
		size = most
	}
	if hnd.bodies.Add(size) > maxBodies {
		hnd.bodies.Add(-size)
		return nil, nil, refusal.Unavailable("too many large requests are in progress", drainComeBack)
	}
	release = func() { hnd.bodies.Add(-size) }
	ctl := http.NewResponseController(rsw)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, most))
	// Without the reset the deadline would end the response too: the server reads on to notice a caller that leaves.
	_ = ctl.SetReadDeadline(time.Time{})
	if err != nil {
		release()
		return nil, nil, bodyRefusal(err, most)
	}
	hnd.bodies.Add(int64(len(body)) - size)
	size = int64(len(body))
	return body, release, nil
}

func bodyRefusal(err error, most int64) *refusal.Refusal {
	var mbe *http.MaxBytesError
	switch {
	case errors.As(err, &mbe):
		return tooLarge(most)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.NotRun, http.StatusRequestTimeout, "Body too slow", "the body did not arrive within "+bodyTimeout.String(), drainComeBack)
	default:
		return refusal.Invalid("the body cannot be read")
	}
}

func tooLarge(most int64) *refusal.Refusal {
	return refusal.New(refusal.NotRun, http.StatusRequestEntityTooLarge, "Body too large",
		"a body may have at most "+strconv.FormatInt(most, 10)+" bytes", 0)
}

// timeoutHeader is the header by which a caller states for how many seconds the answer is of use to it.
const timeoutHeader = "X-Request-Timeout"

// deadline returns the time after which a request is given up: the caller's own, at most the configured one.
func (hnd *Handler) deadline(req *http.Request) (time.Time, *refusal.Refusal) {
	tmo := hnd.cfg.Timeout
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
	return hnd.clk.Now().Add(tmo), nil
}
