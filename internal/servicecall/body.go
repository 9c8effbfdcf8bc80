package servicecall

import (
	"bytes"
	"context"
	"io"

	"github.com/juju/errors"
)

const (
	// maxShortBody is the size in bytes up to which any number of responses are read at once.
	maxShortBody = 64 << 10
	// maxLongBodies is the number of longer responses that are read at once. A faulty backend server may send each of them
	// up to maxResponseSize, and all must fit into the memory of a small VM.
	maxLongBodies = 4
	// pieceSize is the size in bytes of the pieces in which a longer body is read. A single growing buffer would be copied again and again.
	pieceSize = 256 << 10
)

// bodyReader reads the bodies of responses. It holds an element for each body over maxShortBody that is being read.
type bodyReader chan struct{}

func newBodyReader() bodyReader {
	return make(bodyReader, maxLongBodies)
}

// read returns a whole body. A body over maxResponseSize is errResponseTooLarge.
func (rdr bodyReader) read(ctx context.Context, src io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(src, maxShortBody+1))
	if err != nil || len(body) <= maxShortBody {
		return body, errors.Trace(err)
	}
	select {
	case rdr <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	defer func() { <-rdr }()
	pieces := [][]byte{body}
	for size := len(body); ; {
		piece := bytes.NewBuffer(make([]byte, 0, pieceSize+bytes.MinRead))
		num, err := io.CopyN(piece, src, pieceSize)
		pieces = append(pieces, piece.Bytes())
		size += int(num)
		switch {
		case size > maxResponseSize:
			return nil, errors.Trace(errResponseTooLarge)
		case errors.Is(err, io.EOF):
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}
