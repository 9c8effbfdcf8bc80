package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// maxEvent is the size of one event in bytes beyond which a stream counts as broken: hundreds of times that of some
	// tokens, while hundreds of such events fit into the memory of a small VM.
	maxEvent = 64 << 10
	// eventBuffer holds a usual event.
	eventBuffer = 1 << 10
)

func isEventStream(ans *upstream.Answer) bool {
	return strings.HasPrefix(ans.Header.Get("Content-Type"), "text/event-stream")
}

// passEvents passes whole events on as they come. Nothing is sent to the caller before the first event, so that
// a stream that breaks before it can begin anew elsewhere.
func (run *run) passEvents(ctx context.Context, watch *stallWatch, pick placement.Pick, ans *upstream.Answer, ver Verdict) (outcome, error) {
	server := pick.Server.ID
	if fault := foreign(ans, ver); fault != "" {
		ans.Finish(false)
		run.rly.brd.Failed(server, run.rly.clk.Now())
		return unknown, errors.Errorf("backend server %s: %s", server, fault)
	}
	rdr := bufio.NewReaderSize(ans.Body, eventBuffer)
	for {
		evt, err := readEvent(rdr)
		if err != nil && !errors.Is(err, io.EOF) {
			ans.Finish(false)
			return unknown, run.broken(ctx, watch, pick.Server, err)
		}
		if len(evt) > 0 {
			pick.Began()
			watch.progress(run.rly.clk.Now())
			if perr := run.passEvent(ans.Header, evt); perr != nil {
				ans.Finish(false)
				run.gone(perr)
				return answered, nil
			}
		}
		if err == nil {
			continue
		}
		ans.Finish(true)
		if !run.committed {
			run.rly.brd.Failed(server, run.rly.clk.Now())
			return unknown, errors.New("the stream ended before its first event")
		}
		run.rly.brd.Succeeded(server, run.rly.clk.Now())
		run.finished(server, http.StatusOK)
		return answered, nil
	}
}

// passEvent sends one event to the caller, unless it had it before the stream went on elsewhere.
func (run *run) passEvent(hdr http.Header, evt []byte) error {
	id, ok := eventID(evt)
	if ok && run.committed && !follows(id, run.lastEvent) {
		return nil
	}
	if !run.committed {
		run.commit(hdr)
		run.wrt.WriteHeader(http.StatusOK)
		run.rly.met.first.Update(run.firstAt.Sub(run.start).Milliseconds())
	}
	if _, err := run.wrt.Write(evt); err != nil {
		return err
	}
	run.lastAt = run.rly.clk.Now()
	if ok {
		run.lastEvent = id
	}
	return http.NewResponseController(run.wrt).Flush()
}

// follows reports whether an event comes after another one; IDs that are no numbers are taken to follow.
func follows(id, last string) bool {
	num, err := strconv.ParseUint(id, 10, 64)
	before, errLast := strconv.ParseUint(last, 10, 64)
	return err != nil || errLast != nil || num > before
}

// readEvent returns the bytes up to and with the blank line that ends an event. At the end of the stream it
// returns what is left with io.EOF.
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
		if len(evt) > maxEvent {
			return nil, errors.Errorf("an event exceeds %d bytes", maxEvent)
		}
	}
}

// eventID returns the ID of an event.
func eventID(evt []byte) (string, bool) {
	for line := range bytes.Lines(evt) {
		if val, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(val)), true
		}
	}
	return "", false
}
