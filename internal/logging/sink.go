package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// bufferSize bounds the buffered bytes. It holds the lines of a few seconds at a daemon's peak rate.
	bufferSize = 1 << 20
	// flushInterval is the maximum time for which lines are collected into one write.
	flushInterval = 250 * time.Millisecond
)

// Sink buffers lines and writes them to an output in its own goroutine.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	closed  bool
	notify  chan struct{}
	done    chan struct{}
}

var _ zapcore.WriteSyncer = (*Sink)(nil)

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	snk := &Sink{
		out:    out,
		notify: make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	go snk.run()
	return snk
}

// Write buffers a line, or drops and counts it if the buffer is full. It never blocks on the output and never fails.
func (snk *Sink) Write(line []byte) (int, error) {
	snk.mu.Lock()
	defer snk.mu.Unlock()
	if snk.closed || len(snk.buffer)+len(line) > bufferSize {
		snk.dropped++
		return len(line), nil
	}
	first := len(snk.buffer) == 0
	snk.buffer = append(snk.buffer, line...)
	if first {
		select {
		case snk.notify <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing, because the sink flushes itself after flushInterval.
func (snk *Sink) Sync() error {
	return nil
}

// Close writes the buffered lines and stops the sink. Lines written afterwards are dropped.
func (snk *Sink) Close() {
	snk.mu.Lock()
	snk.closed = true
	snk.mu.Unlock()
	select {
	case snk.notify <- struct{}{}:
	default:
	}
	<-snk.done
}

func (snk *Sink) run() {
	defer close(snk.done)
	for range snk.notify {
		snk.mu.Lock()
		closed := snk.closed
		snk.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		snk.flush()
		if closed {
			return
		}
	}
}

func (snk *Sink) flush() {
	snk.mu.Lock()
	data, dropped := snk.buffer, snk.dropped
	snk.buffer, snk.dropped = nil, 0
	snk.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, `{"level":"warn","logger":"logging","msg":"lines were dropped because the output is too slow","lines":%d}`+"\n", dropped)
	}
	for len(data) > 0 {
		num := nextWriteSize(data)
		// There is no place to report an error of the log output. The next lines are written nevertheless.
		_, _ = snk.out.Write(data[:num])
		data = data[num:]
	}
}

// maxWriteSize is the size in bytes up to which a write to a pipe is atomic, so that lines of several processes do not
// interleave.
const maxWriteSize = 4096

// nextWriteSize returns the number of bytes to write next: as many whole lines as fit into maxWriteSize, but at least
// one line.
func nextWriteSize(data []byte) int {
	if len(data) <= maxWriteSize {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWriteSize], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}
