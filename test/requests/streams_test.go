package requests_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// TestStreamResumesAtAnotherEntryVM guards against a stream that is lost when the daemon that accepted it is
// killed or paused.
func TestStreamResumesAtAnotherEntryVM(tst *testing.T) {
	vars := []string{"CUMINTALLY_REQUESTS_RESUMEWINDOW=1s"}
	env := start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 4, EntryEnv: vars}, 2, "one")
	zoneOne := []*fleet.Entry{env.Entries[0], env.Entries[2], env.Entries[4]}

	killed := &completion{}
	killed.onEvent = func(num int) {
		if num == 20 {
			_ = zoneOne[0].Kill()
		}
	}
	env.streamToEnd("killed daemon", 80, zoneOne, killed)
	checkCompletion(tst, killed, "killed daemon", 80)
	qt.Assert(tst, killed.resumes, qt.Equals, 1)

	// A daemon that was paused past the resume window must not cancel the stream that another one reads.
	paused := &completion{}
	ctx, cancel := context.WithCancel(env.ctx)
	paused.onEvent = func(num int) {
		switch num {
		case 20:
			_ = zoneOne[1].Signal(syscall.SIGSTOP)
			// The caller abandons the connection without events, as a client with a read timeout does.
			time.AfterFunc(200*time.Millisecond, cancel)
		case 100:
			_ = zoneOne[1].Signal(syscall.SIGCONT)
		}
	}
	qt.Assert(tst, paused.post(ctx, zoneOne[1], body("paused daemon", 600, true), nil), qt.IsNotNil)
	env.streamToEnd("paused daemon", 600, zoneOne[2:], paused)
	checkCompletion(tst, paused, "paused daemon", 600)
}

// TestBrokenConnectionsAtTheEngine guards against a broken connection to an engine that becomes visible to the
// caller.
func TestBrokenConnectionsAtTheEngine(tst *testing.T) {
	tst.Parallel()
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	env.setEngineFaults(engine.Faults{BreakAfter: 3})
	cpl := &completion{}
	env.streamToEnd("breaks often", 50, env.Entries[:1], cpl)
	checkCompletion(tst, cpl, "breaks often", 50)
	qt.Assert(tst, cpl.resumes, qt.Equals, 0)
	qt.Assert(tst, env.metricSum("StreamsResumed") >= 15, qt.IsTrue)
	whole := &completion{}
	qt.Assert(tst, whole.post(env.ctx, env.Entries[0], body("not streamed", 50, false), nil), qt.IsNil)
	checkCompletion(tst, whole, "not streamed", 50)
}

// TestStreamContinuesOnAnotherReplica guards against a stream that is lost with the replica that began it.
func TestStreamContinuesOnAnotherReplica(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	for _, paused := range []bool{false, true} {
		cpl := &completion{}
		cpl.onEvent = func(num int) {
			if num == 20 {
				env.loseBusyEngine(paused)
			}
		}
		prompt := map[bool]string{false: "killed replica", true: "paused replica"}[paused]
		env.streamToEnd(prompt, 200, env.Entries[:1], cpl)
		checkCompletion(tst, cpl, prompt, 200)
		qt.Assert(tst, cpl.resumes, qt.Equals, 0)
		env.restoreEngines()
		qt.Assert(tst, fleet.WaitForServingGroups(env.ctx, env.Entries[0], 2), qt.IsNil)
	}
	qt.Assert(tst, env.metricSum("StreamsContinued"), qt.Equals, 2)
}

// TestForwardedStreamIsResumed guards against a forwarded stream that is lost with the daemon of the other zone, or
// with the connection to it.
func TestForwardedStreamIsResumed(tst *testing.T) {
	env := start(tst, fleet.Config{EntryVMs: 5, VMsPerDomain: 4}, 2, "two")
	cpl := &completion{}
	cpl.onEvent = func(num int) {
		if num == 20 {
			_ = env.forwardTarget().Kill()
		}
	}
	env.streamToEnd("killed forwarder", 100, env.Entries[:1], cpl)
	checkCompletion(tst, cpl, "killed forwarder", 100)
	qt.Assert(tst, cpl.resumes, qt.Equals, 0)
	// The engine still has the rest of the text, so that no other replica generates it again.
	qt.Assert(tst, env.metricSum("StreamsContinued"), qt.Equals, 0)

	// The caller resumes at a remaining entry VM, while one daemon of zone two is left.
	moved := &completion{}
	moved.onEvent = func(num int) {
		if num == 20 {
			_ = env.Entries[0].Kill()
		}
	}
	env.streamToEnd("killed entry", 100, env.Entries[:3:3], moved)
	checkCompletion(tst, moved, "killed entry", 100)
}

// TestAbandonedStreamsAreCancelled guards against an engine that keeps generating tokens for a caller that
// disconnected and does not resume.
func TestAbandonedStreamsAreCancelled(tst *testing.T) {
	tst.Parallel()
	vars := []string{"CUMINTALLY_REQUESTS_RESUMEWINDOW=500ms"}
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4, EntryEnv: vars}, 2, "one")
	for _, streamed := range []bool{true, false} {
		ctx, disconnect := context.WithCancel(env.ctx)
		cpl := &completion{}
		time.AfterFunc(300*time.Millisecond, disconnect)
		qt.Assert(tst, cpl.post(ctx, env.Entries[0], body("gone", 20000, streamed), nil), qt.IsNotNil)
		if streamed {
			qt.Assert(tst, env.runningStreams(), qt.Equals, 1)
			time.Sleep(200 * time.Millisecond)
			qt.Assert(tst, env.runningStreams(), qt.Equals, 1)
		}
		env.eventually("all streams are cancelled", func() bool { return env.runningStreams() == 0 })
	}
}

// TestStreamsThatCannotBeResumedAreCancelledAtOnce guards against tokens that are generated needlessly for a caller
// that disconnected and cannot resume, since it has received no event yet.
func TestStreamsThatCannotBeResumedAreCancelledAtOnce(tst *testing.T) {
	tst.Parallel()
	env := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	for _, ent := range env.Entries {
		ctx, disconnect := context.WithCancel(env.ctx)
		cpl := &completion{}
		time.AfterFunc(300*time.Millisecond, disconnect)
		qt.Assert(tst, cpl.post(ctx, ent, body("gone", 20000, false), nil), qt.IsNotNil)
		time.Sleep(300 * time.Millisecond)
		qt.Assert(tst, env.runningStreams(), qt.Equals, 0)
	}
}
