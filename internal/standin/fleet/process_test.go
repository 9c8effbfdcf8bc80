package fleet

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestart guards against a crashed process that is not restarted, and against one that is restarted after a
// test has killed it, which would leave it running.
func TestRestart(tst *testing.T) {
	ckr := qt.New(tst)
	prc := &Process{
		program:      "/bin/sleep",
		args:         []string{"0.02"},
		logPath:      filepath.Join(tst.TempDir(), "log"),
		restartDelay: 20 * time.Millisecond,
	}
	ckr.Assert(prc.start(), qt.IsNil)
	pid := func() int {
		prc.mu.Lock()
		defer prc.mu.Unlock()
		return prc.command.Process.Pid
	}
	first := pid()
	for due := time.Now().Add(5 * time.Second); pid() == first; time.Sleep(time.Millisecond) {
		ckr.Assert(time.Now().Before(due), qt.IsTrue)
	}
	ckr.Assert(prc.Kill(), qt.IsNil)
	last := pid()
	time.Sleep(100 * time.Millisecond)
	ckr.Assert(pid(), qt.Equals, last)
}
