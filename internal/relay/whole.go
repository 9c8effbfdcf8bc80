package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// maxHeld is the size in bytes of an answer up to which it is read whole before the caller gets any of it, so that a
	// broken one can be asked for again. Some hundred of them fit into the memory of a small VM.
	maxHeld = 64 << 10
	// maxPassed bounds an answer in bytes; a longer one is cut off as one that does not end.
	maxPassed = 64 << 20
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readWhole reads the body of an answer; an answer over maxHeld gives errLarge with what was read.
func readWhole(ans *upstream.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxHeld+1))
	if err == nil && len(body) > maxHeld {
		return body, errLarge
	}
	return body, err
}

const errLarge = errors.ConstError("relay: answer too large to hold")

// passWhole passes an answer on that is no stream of events.
func (run *run) passWhole(ctx context.Context, watch *stallWatch, srv *roster.Server, ans *upstream.Answer, ver Verdict) (outcome, error) {
	server := srv.ID
	body, err := readWhole(ans)
	if errors.Is(err, errLarge) {
		return run.passLarge(server, ans, ver, body)
	}
	if err != nil {
		ans.Finish(false)
		return unknown, run.broken(ctx, watch, srv, err)
	}
	ans.Finish(true)
	whl := &wholeAnswer{
		status: ans.StatusCode,
		header: ans.Header,
		body:   body,
	}
	now := run.rly.clk.Now()
	if fault := foreign(ans, ver); fault != "" {
		run.rly.brd.Failed(server, now)
		return unknown, errors.Errorf("backend server %s: %s", server, fault)
	}
	if whl.status >= http.StatusInternalServerError {
		run.rly.brd.Failed(server, now)
		if run.mayRepeat() && ctx.Err() == nil {
			run.kept = whl
			return unknown, errors.Errorf("backend server %s answered with status %d", server, whl.status)
		}
	} else {
		run.rly.brd.Succeeded(server, now)
	}
	run.deliver(whl, server)
	return answered, nil
}

// foreign says why an answer cannot be the backend server's own, empty if it can.
func foreign(ans *upstream.Answer, ver Verdict) string {
	switch {
	case ans.Header.Get("Content-Encoding") != "":
		return "the answer is encoded, which no caller asked for"
	case ans.StatusCode < http.StatusMultipleChoices && !ver.Sealed:
		return "the answer carries no seal"
	case promisesNotRun(ans.StatusCode):
		// Without a statement of the backend server the request may have run, so that the caller must not be told
		// otherwise.
		return "status " + strconv.Itoa(ans.StatusCode) + " without a statement that the request was not run"
	default:
		return ""
	}
}

// promisesNotRun reports whether callers take a status for the promise that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (run *run) deliver(whl *wholeAnswer, server string) {
	if run.committed {
		// The caller has part of a stream, which cannot turn into another answer.
		run.cutOff(errors.Errorf("status %d in place of the rest of the stream", whl.status))
		return
	}
	run.commit(whl.header)
	run.wrt.Header().Set("Content-Length", strconv.Itoa(len(whl.body)))
	run.wrt.WriteHeader(whl.status)
	if _, err := run.wrt.Write(whl.body); err != nil {
		run.gone(err)
		return
	}
	run.finished(server, whl.status)
}

// passLarge passes an answer on while it is being read.
func (run *run) passLarge(server string, ans *upstream.Answer, ver Verdict, head []byte) (outcome, error) {
	if fault := foreign(ans, ver); fault != "" || run.committed {
		ans.Finish(false)
		return unknown, errors.Errorf("backend server %s: %s", server, fault)
	}
	run.commit(ans.Header)
	if ans.ContentLength >= 0 {
		run.wrt.Header().Set("Content-Length", strconv.FormatInt(ans.ContentLength, 10))
	}
	run.wrt.WriteHeader(ans.StatusCode)
	_, err := run.wrt.Write(head)
	if err == nil {
		var num int64
		num, err = io.CopyN(run.wrt, ans.Body, maxPassed-int64(len(head)))
		switch {
		case errors.Is(err, io.EOF):
			err = nil
		case err == nil:
			err = errors.Errorf("the answer exceeds %d bytes", num+int64(len(head)))
		}
	}
	ans.Finish(err == nil)
	if err != nil {
		run.cutOff(err)
		return answered, nil
	}
	run.finished(server, ans.StatusCode)
	return answered, nil
}

// commit copies the headers of an answer for the caller.
func (run *run) commit(hdr http.Header) {
	run.committed = true
	run.firstAt = run.rly.clk.Now()
	out := run.wrt.Header()
	for name, vals := range forwardedHeader(hdr) {
		out[name] = vals
	}
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
	"Host",
}

// forwardedHeader returns a copy without the headers of a single connection.
func forwardedHeader(hdr http.Header) http.Header {
	out := make(http.Header, len(hdr))
	for name, vals := range hdr {
		out[name] = vals
	}
	for _, val := range hdr["Connection"] {
		for name := range strings.SplitSeq(val, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
