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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (blk *blocked) Write(data []byte) (int, error) {
	<-blk.release
	blk.mu.Lock()
	defer blk.mu.Unlock()
	return blk.buf.Write(data)
}

// Guards against requests that wait for a log output that is full, and against lines that vanish unseen.
func TestSlowOutputDropsLinesAndSaysSo(tst *testing.T) {
	out := &blocked{
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

func TestCloseWritesWhatWaits(tst *testing.T) {
	var buf bytes.Buffer
	snk := logging.New(&buf)
	_, _ = snk.Write([]byte("last line\n"))
	snk.Close()
	qt.Assert(tst, buf.String(), qt.Equals, "last line\n")
}
