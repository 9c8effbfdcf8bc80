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
	// bufferSize bounds the bytes that wait for the output: some seconds of lines at a daemon's peak.
	bufferSize = 1 << 20
	// flushInterval is the longest time that a line waits, so that many lines cost one write.
	flushInterval = 250 * time.Millisecond
)

// Sink writes lines to an output from a goroutine of its own.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

var _ zapcore.WriteSyncer = (*Sink)(nil)

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	snk := &Sink{
		out:  out,
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	go snk.run()
	return snk
}

// Write takes a line; it never waits and never fails.
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
		case snk.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing: lines are written within flushInterval.
func (snk *Sink) Sync() error {
	return nil
}

// Close writes what waits and ends the sink.
func (snk *Sink) Close() {
	snk.mu.Lock()
	snk.closed = true
	snk.mu.Unlock()
	select {
	case snk.wake <- struct{}{}:
	default:
	}
	<-snk.done
}

func (snk *Sink) run() {
	defer close(snk.done)
	for range snk.wake {
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
		data = fmt.Appendf(data, `{"level":"warn","logger":"logging","msg":"lines were dropped since the output is too slow","lines":%d}`+"\n", dropped)
	}
	for len(data) > 0 {
		num := chunk(data)
		// An output that fails cannot be told of; the next lines are tried all the same.
		_, _ = snk.out.Write(data[:num])
		data = data[num:]
	}
}

// maxWrite is the size up to which a pipe takes a write whole, so that lines of several processes do not mix.
const maxWrite = 4096

// chunk returns the number of bytes to write next: as many whole lines as fit, at least one.
func chunk(data []byte) int {
	if len(data) <= maxWrite {
		return len(data)
	}
	if end := bytes.LastIndexByte(data[:maxWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}
