package relay

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// maxBufferedSize is the size in bytes up to which a response is read whole before any of it is sent to the
	// caller, so that the request can be retried if the response breaks off. Several hundred such responses fit into
	// the memory of a small VM.
	maxBufferedSize = 64 << 10
	// maxResponseSize limits a response in bytes; a longer one is taken to be endless and is aborted.
	maxResponseSize = 64 << 20
)

// bufferedResponse is a response of a backend server that was read to its end.
type bufferedResponse struct {
	server string
	status int
	header http.Header
	body   []byte
}

// readBuffered reads the body of a response. For a body over maxBufferedSize it returns errTooLargeToBuffer and the
// bytes read so far.
func readBuffered(res *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedSize+1))
	if err == nil && len(body) > maxBufferedSize {
		return body, errTooLargeToBuffer
	}
	return body, err
}

const errTooLargeToBuffer = errors.ConstError("relay: response too large to buffer")

// forwardBuffered forwards a response that is no event stream.
func (run *run) forwardBuffered(watch *stallWatch, snd *send) (outcome, error) {
	if snd.tooLarge {
		return run.forwardUnbuffered(watch, snd)
	}
	watch.stop()
	run.sendBuffered(&bufferedResponse{
		server: snd.pick.Server.ID,
		status: snd.response.StatusCode,
		header: snd.response.Header,
		body:   snd.part,
	})
	return answered, nil
}

// responseFault returns why a response must not be forwarded, or an empty string if it may be. Either the response cannot
// come from the backend server itself, or its status implies that the request was not run, which the backend server did
// not state. The text is sent to the caller if the request is not retried.
func responseFault(res *upstream.Response, rhd ResponseHeaders) string {
	switch {
	case res.Header.Get("Content-Encoding") != "":
		return "the answer is encoded, which no caller asked for"
	case res.StatusCode < http.StatusMultipleChoices && !rhd.Sealed:
		return "the answer carries no seal"
	case impliesNotRun(res.StatusCode):
		// Without a statement of the backend server the request may have run, and the caller must not take it for not
		// run.
		return "status " + strconv.Itoa(res.StatusCode) + " without a statement that the request was not run"
	default:
		return ""
	}
}

// impliesNotRun reports whether callers take a status as a guarantee that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (run *run) sendBuffered(rsp *bufferedResponse) {
	run.commitHeaders(rsp.header)
	run.writer.Header().Set("Content-Length", strconv.Itoa(len(rsp.body)))
	run.writer.WriteHeader(rsp.status)
	if _, err := run.writer.Write(rsp.body); err != nil {
		run.endDisconnected(err)
		return
	}
	run.recordCompletion(rsp.server, rsp.status)
}

// forwardUnbuffered forwards a response to the caller while reading it. From then on only the server itself can complete it.
func (run *run) forwardUnbuffered(watch *stallWatch, snd *send) (outcome, error) {
	if !watch.stop() {
		return unknown, errGivenUp
	}
	res, head := snd.response, snd.part
	run.commitHeaders(res.Header)
	if res.ContentLength >= 0 {
		run.writer.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	}
	run.writer.WriteHeader(res.StatusCode)
	_, err := run.writer.Write(head)
	if err == nil {
		var num int64
		num, err = io.CopyN(run.writer, res.Body, maxResponseSize-int64(len(head)))
		switch {
		case errors.Is(err, io.EOF):
			err = nil
		case err == nil:
			err = errors.Errorf("the response exceeds %d bytes", num+int64(len(head)))
		}
	}
	snd.finish(err == nil)
	if err != nil {
		run.abortResponse(err)
		return answered, nil
	}
	run.recordCompletion(snd.pick.Server.ID, res.StatusCode)
	return answered, nil
}

// commitHeaders sets the headers of a response for the caller. After that no other response can replace this one: an
// event stream can only be resumed, and any other response can only be completed or aborted.
func (run *run) commitHeaders(hdr http.Header) {
	run.committed = true
	run.firstByteAt = run.relay.clock.Now()
	out := run.writer.Header()
	for name, vals := range forwardedHeader(hdr) {
		out[name] = vals
	}
}

// connectionHeaders apply to a single connection and are not forwarded.
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

// forwardedHeader returns a copy of hdr without the headers that apply to a single connection.
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
