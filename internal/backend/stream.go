package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Stream reads the frames of one generated text.
type Stream struct {
	// Observe, if set, is called with each frame that Next returns.
	Observe func(frm Frame)

	body io.ReadCloser
	scn  *bufio.Scanner
}

// The space after the colon is optional in server-sent events.
var (
	dataField = []byte("data:")
	space     = []byte(" ")
)

// wholeLines splits like bufio.ScanLines but drops a last line without an end, which was cut off.
func wholeLines(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// Next returns the next frame; ErrBroken says that the stream ended before a frame with Finish.
func (str *Stream) Next() (Frame, error) {
	for str.scn.Scan() {
		data, ok := bytes.CutPrefix(str.scn.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimPrefix(data, space)
		var frm Frame
		if err := json.Unmarshal(data, &frm); err != nil {
			return Frame{}, errors.Annotate(ErrBroken, err.Error())
		}
		if str.Observe != nil {
			str.Observe(frm)
		}
		return frm, nil
	}
	if err := str.scn.Err(); err != nil {
		return Frame{}, errors.Annotate(ErrBroken, err.Error())
	}
	return Frame{}, errors.Annotate(ErrBroken, "stream ended early")
}

// Close ends reading; the engine keeps the stream for a later Resume.
func (str *Stream) Close() error {
	return errors.Trace(str.body.Close())
}
