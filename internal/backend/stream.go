package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Stream reads the frames of a generated text from server-sent events.
type Stream struct {
	// OnFrame, if not nil, is called with each frame that Next returns.
	OnFrame func(frm Frame)

	body    io.ReadCloser
	scanner *bufio.Scanner
}

// The space after the colon of a field is optional in server-sent events.
var (
	dataField = []byte("data:")
	space     = []byte(" ")
)

// completeLines splits like bufio.ScanLines but drops a last line without a line end, because it was cut off.
func completeLines(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// Next returns the next frame. ErrBroken means that the stream ended or failed before a frame with Finish was
// read.
func (str *Stream) Next() (Frame, error) {
	for str.scanner.Scan() {
		data, ok := bytes.CutPrefix(str.scanner.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimPrefix(data, space)
		var frm Frame
		if err := json.Unmarshal(data, &frm); err != nil {
			return Frame{}, errors.Annotate(ErrBroken, err.Error())
		}
		if str.OnFrame != nil {
			str.OnFrame(frm)
		}
		return frm, nil
	}
	if err := str.scanner.Err(); err != nil {
		return Frame{}, errors.Annotate(ErrBroken, err.Error())
	}
	return Frame{}, errors.Annotate(ErrBroken, "stream ended early")
}

// Close closes the connection of the stream. The engine keeps the stream, so that it can be resumed.
func (str *Stream) Close() error {
	return errors.Trace(str.body.Close())
}
