package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/logging"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (blk *blockedOutput) Write(data []byte) (int, error) {
	<-blk.release
	blk.mu.Lock()
	defer blk.mu.Unlock()
	return blk.buf.Write(data)
}

// TestSlowOutputDropsAndCountsLines guards against requests that wait for a blocked log output, and against lines that
// are dropped without a log line that says so.
func TestSlowOutputDropsAndCountsLines(tst *testing.T) {
	out := &blockedOutput{
		release: make(chan struct{}),
	}
	snk := logging.New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 4096 {
		num, err := snk.Write(line)
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, num, qt.Equals, len(line))
	}
	qt.Assert(tst, time.Since(start) < 5*time.Second, qt.IsTrue)
	close(out.release)
	snk.Close()
	qt.Assert(tst, strings.Contains(out.buf.String(), "lines were dropped"), qt.IsTrue)
	qt.Assert(tst, out.buf.Len() < 3<<20, qt.IsTrue)
}

// TestCloseWritesBufferedLines guards against lines that are lost when the sink is closed.
func TestCloseWritesBufferedLines(tst *testing.T) {
	var buf bytes.Buffer
	snk := logging.New(&buf)
	_, _ = snk.Write([]byte("last line\n"))
	snk.Close()
	qt.Assert(tst, buf.String(), qt.Equals, "last line\n")
}
