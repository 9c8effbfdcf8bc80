package relay

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// maxEventSize is the size of one event in bytes beyond which a stream counts as broken. It is hundreds of times
	// the size of an event with a few tokens, and hundreds of such events fit into the memory of a small VM.
	maxEventSize = 64 << 10
	// eventBufferSize is the read buffer in bytes; a usual event fits into it.
	eventBufferSize = 1 << 10
)

func isEventStream(rsp *upstream.Response) bool {
	return strings.HasPrefix(rsp.Header.Get("Content-Type"), "text/event-stream")
}

// forwardEvents forwards whole events as they arrive. Nothing is sent to the caller before the first event, so that a
// stream that breaks earlier can restart at another backend server.
func (run *run) forwardEvents(watch *stallWatch, snd *send) (outcome, error) {
	server := snd.pick.Server.ID
	for {
		if len(snd.part) > 0 {
			if !watch.recordProgress(run.relay.clock.Now()) {
				return unknown, errGivenUp
			}
			if err := watch.deliver(func() error { return run.forwardEvent(snd.response.Header, snd.part) }); err != nil {
				run.endDisconnected(err)
				return answered, nil
			}
		}
		if snd.ended {
			watch.stop()
			now := run.relay.clock.Now()
			run.relay.outliers.RecordSuccess(server, now)
			snd.recordWriting(now, true)
			run.recordCompletion(server, http.StatusOK)
			return answered, nil
		}
		if err := snd.readPart(); err != nil {
			return unknown, err
		}
	}
}

// forwardEvent sends one event to the caller, unless the caller received it before the stream resumed elsewhere.
func (run *run) forwardEvent(hdr http.Header, evt []byte) error {
	id, ok := eventID(evt)
	if ok && run.committed && !isAfter(id, run.lastEventID) {
		return nil
	}
	if !run.committed {
		run.commitHeaders(hdr)
		run.writer.WriteHeader(http.StatusOK)
		run.relay.requestMetrics.firstByteLatency.Update(run.firstByteAt.Sub(run.startedAt).Milliseconds())
	}
	if _, err := run.writer.Write(evt); err != nil {
		return err
	}
	run.lastEventAt = run.relay.clock.Now()
	if ok {
		run.lastEventID = id
	}
	return http.NewResponseController(run.writer).Flush()
}

// isAfter reports whether the event id follows the event last; IDs that are not numeric are assumed to follow.
func isAfter(id, last string) bool {
	num, err := strconv.ParseUint(id, 10, 64)
	before, errLast := strconv.ParseUint(last, 10, 64)
	return err != nil || errLast != nil || num > before
}

// readEvent returns the bytes up to and including the blank line that ends an event. At the end of the stream it
// returns the remaining bytes and io.EOF.
func readEvent(rdr *bufio.Reader) ([]byte, error) {
	var evt []byte
	for {
		line, err := rdr.ReadSlice('\n')
		evt = append(evt, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return evt, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return evt, nil
		}
		if len(evt) > maxEventSize {
			return nil, errors.Errorf("an event exceeds %d bytes", maxEventSize)
		}
	}
}

// eventID returns the ID of an event and whether it has one.
func eventID(evt []byte) (string, bool) {
	for line := range bytes.Lines(evt) {
		if val, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(val)), true
		}
	}
	return "", false
}
