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

// Guards against a stream that is lost with the daemon that accepted it, killed or paused.
func TestStreamResumesAtAnotherEntryVM(tst *testing.T) {
	env := []string{"CUMINTALLY_REQUESTS_RESUMEWINDOW=1s"}
	wld := start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 4, EntryEnv: env}, 2, "one")
	one := []*fleet.Entry{wld.Entries[0], wld.Entries[2], wld.Entries[4]}

	killed := &answer{}
	killed.onEvent = func(num int) {
		if num == 20 {
			_ = one[0].Kill()
		}
	}
	wld.whole("killed daemon", 80, one, killed)
	check(tst, killed, "killed daemon", 80)
	qt.Assert(tst, killed.resumes, qt.Equals, 1)

	// A daemon that was paused past the resume window must not cancel the stream that another one reads.
	paused := &answer{}
	ctx, giveUp := context.WithCancel(wld.ctx)
	paused.onEvent = func(num int) {
		switch num {
		case 20:
			_ = one[1].Signal(syscall.SIGSTOP)
			// The caller gives up on the silent connection as a client with a read timeout does.
			time.AfterFunc(200*time.Millisecond, giveUp)
		case 100:
			_ = one[1].Signal(syscall.SIGCONT)
		}
	}
	qt.Assert(tst, paused.post(ctx, one[1], body("paused daemon", 600, true), nil), qt.IsNotNil)
	wld.whole("paused daemon", 600, one[2:], paused)
	check(tst, paused, "paused daemon", 600)
}

// Guards against a broken connection to an engine that shows in the answer.
func TestBrokenConnectionsAtTheEngine(tst *testing.T) {
	tst.Parallel()
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	wld.faults(engine.Faults{BreakAfter: 3})
	ans := &answer{}
	wld.whole("breaks often", 50, wld.Entries[:1], ans)
	check(tst, ans, "breaks often", 50)
	qt.Assert(tst, ans.resumes, qt.Equals, 0)
	qt.Assert(tst, wld.metric("StreamsResumed") >= 15, qt.IsTrue)
	whole := &answer{}
	qt.Assert(tst, whole.post(wld.ctx, wld.Entries[0], body("not streamed", 50, false), nil), qt.IsNil)
	check(tst, whole, "not streamed", 50)
}

// Guards against a stream that ends with the replica that began it.
func TestStreamContinuesOnAnotherReplica(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	for _, paused := range []bool{false, true} {
		ans := &answer{}
		ans.onEvent = func(num int) {
			if num == 20 {
				wld.loseBusy(paused)
			}
		}
		prompt := map[bool]string{false: "killed replica", true: "paused replica"}[paused]
		wld.whole(prompt, 200, wld.Entries[:1], ans)
		check(tst, ans, prompt, 200)
		qt.Assert(tst, ans.resumes, qt.Equals, 0)
		wld.restore()
		qt.Assert(tst, fleet.WaitServing(wld.ctx, wld.Entries[0], 2), qt.IsNil)
	}
	qt.Assert(tst, wld.metric("StreamsContinued"), qt.Equals, 2)
}

// Guards against a forwarded stream that is lost with the daemon of the other zone, or with the link to it.
func TestForwardedStreamIsResumed(tst *testing.T) {
	wld := start(tst, fleet.Config{EntryVMs: 5, VMsPerDomain: 4}, 2, "two")
	ans := &answer{}
	ans.onEvent = func(num int) {
		if num == 20 {
			_ = wld.forwarder().Kill()
		}
	}
	wld.whole("killed forwarder", 100, wld.Entries[:1], ans)
	check(tst, ans, "killed forwarder", 100)
	qt.Assert(tst, ans.resumes, qt.Equals, 0)
	// The engine has the rest of the text, so no replica generates it again.
	qt.Assert(tst, wld.metric("StreamsContinued"), qt.Equals, 0)

	// The caller resumes at the daemon of the other zone that is left.
	moved := &answer{}
	moved.onEvent = func(num int) {
		if num == 20 {
			_ = wld.Entries[0].Kill()
		}
	}
	wld.whole("killed entry", 100, wld.Entries[:3:3], moved)
	check(tst, moved, "killed entry", 100)
}

// Guards against tokens generated for a caller that is gone.
func TestAbandonedStreamsAreCancelled(tst *testing.T) {
	tst.Parallel()
	env := []string{"CUMINTALLY_REQUESTS_RESUMEWINDOW=500ms"}
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4, EntryEnv: env}, 2, "one")
	for _, streamed := range []bool{true, false} {
		ctx, leave := context.WithCancel(wld.ctx)
		ans := &answer{}
		time.AfterFunc(300*time.Millisecond, leave)
		qt.Assert(tst, ans.post(ctx, wld.Entries[0], body("gone", 20000, streamed), nil), qt.IsNotNil)
		if streamed {
			qt.Assert(tst, wld.running(), qt.Equals, 1)
			time.Sleep(200 * time.Millisecond)
			qt.Assert(tst, wld.running(), qt.Equals, 1)
		}
		wld.eventually("cancelled", func() bool { return wld.running() == 0 })
	}
}

// Guards against tokens generated in vain for a caller that cannot come back, since it has no event yet.
func TestStreamsThatCannotBeResumedAreCancelledAtOnce(tst *testing.T) {
	tst.Parallel()
	wld := start(tst, fleet.Config{EntryVMs: 2, VMsPerDomain: 4}, 2, "one")
	for _, ent := range wld.Entries {
		ctx, leave := context.WithCancel(wld.ctx)
		ans := &answer{}
		time.AfterFunc(300*time.Millisecond, leave)
		qt.Assert(tst, ans.post(ctx, ent, body("gone", 20000, false), nil), qt.IsNotNil)
		time.Sleep(300 * time.Millisecond)
		qt.Assert(tst, wld.running(), qt.Equals, 0)
	}
}
