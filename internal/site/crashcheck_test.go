package site

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// checkedServer is a registered backend server under check.
type checkedServer struct {
	clk     *clockwork.FakeClock
	reg     *serverregistry.Registry
	chk     *crashChecks
	started time.Time
	// probe replaces the connection to the server.
	probe  func() error
	probes atomic.Int64

	mu sync.Mutex
	// counted holds how long ago each crash that counts happened.
	counted []time.Duration
}

func newCheckedServer() *checkedServer {
	csv := &checkedServer{
		clk:   clockwork.NewFakeClock(),
		reg:   serverregistry.New(),
		probe: func() error { return nil },
	}
	csv.started = csv.clk.Now()
	csv.register(1)
	probe := func(context.Context, string) error {
		csv.probes.Add(1)
		return csv.probe()
	}
	csv.chk = newCrashChecks(csv.reg.View, probe, func(_ relay.Crash, at time.Time) {
		csv.mu.Lock()
		defer csv.mu.Unlock()
		csv.counted = append(csv.counted, csv.clk.Since(at))
	}, csv.clk, zap.NewNop())
	return csv
}

// register registers the server as a process with the given start time.
func (csv *checkedServer) register(startTime int64) {
	csv.reg.Replace([]serverregistry.Server{
		{
			ID:        "vm-1",
			Address:   "10.0.0.1:80",
			StartTime: startTime,
		},
	}, csv.clk.Now())
}

// recordBroken records a connection to the server's first process that broke under a request.
func (csv *checkedServer) recordBroken(unanswered bool) {
	csv.chk.record(relay.Crash{
		Request: relay.Identity{
			Fingerprint: quarantine.FingerprintOf("", "a request"),
		},
		Server: &serverregistry.Server{
			ID:        "vm-1",
			Address:   "10.0.0.1:80",
			StartTime: 1,
		},
		Event:      "vm-1/1",
		Unanswered: unanswered,
		SentAt:     csv.clk.Now(),
	}, csv.clk.Now())
}

// pass lets time pass in small steps, after each of which the crashes are reviewed, and returns when those that count happened.
func (csv *checkedServer) pass(span time.Duration) []time.Duration {
	for end := csv.clk.Now().Add(span); csv.clk.Now().Before(end); {
		csv.clk.Advance(100 * time.Millisecond)
		csv.chk.review(csv.clk.Now())
	}
	csv.mu.Lock()
	defer csv.mu.Unlock()
	return csv.counted
}

// Guards against resets at a server's limit of connections that count as crashes (issue 51): the server accepts connections and its
// process goes on.
func TestResetOfLivingServerCountsAsNoCrash(tst *testing.T) {
	csv := newCheckedServer()
	csv.recordBroken(true)
	qt.Assert(tst, csv.pass(serverregistry.ExpiryTime), qt.HasLen, 0)
	// What happens to the process later has other causes.
	csv.register(2)
	qt.Assert(tst, csv.pass(time.Second), qt.HasLen, 0)
}

// Guards against crashes that are noticed later than the rule BUDGET allows, as they look like resets at the limit.
func TestCrashesAreNoticedWithoutDelay(tst *testing.T) {
	for name, act := range map[string]func(csv *checkedServer){
		"the connection had been answered": func(csv *checkedServer) { csv.recordBroken(false) },
		"the server refuses connections": func(csv *checkedServer) {
			csv.probe = func() error { return errors.New("connection refused") }
			csv.recordBroken(true)
		},
		"the process is gone from the registry": func(csv *checkedServer) {
			csv.reg.Replace(nil, csv.clk.Now())
			csv.recordBroken(true)
		},
		"another process is registered": func(csv *checkedServer) {
			csv.register(2)
			csv.recordBroken(true)
		},
	} {
		tst.Run(name, func(tst *testing.T) {
			csv := newCheckedServer()
			act(csv)
			qt.Assert(tst, csv.pass(0), qt.DeepEquals, []time.Duration{0})
			qt.Assert(tst, csv.pass(2*serverregistry.ExpiryTime), qt.HasLen, 1)
		})
	}
}

// Guards against crashes that are missed because the next process, or what listens for it, accepts connections at once.
func TestCrashCountsOnceRegistryShowsIt(tst *testing.T) {
	for name, change := range map[string]func(csv *checkedServer){
		"restart": func(csv *checkedServer) { csv.register(2) },
		"removal": func(csv *checkedServer) { csv.reg.Replace(nil, csv.clk.Now()) },
	} {
		tst.Run(name, func(tst *testing.T) {
			csv := newCheckedServer()
			csv.recordBroken(true)
			qt.Assert(tst, csv.pass(3*time.Second), qt.HasLen, 0)
			change(csv)
			qt.Assert(tst, csv.pass(100*time.Millisecond), qt.DeepEquals, []time.Duration{3100 * time.Millisecond})
		})
	}
}

// Guards against checks that take the connections of a server at its limit, and against requests that wait long for a check.
func TestChecksOfOneServerShareConnections(tst *testing.T) {
	const requests = 100
	csv := newCheckedServer()
	respond := make(chan struct{})
	csv.probe = func() error {
		<-respond
		return errors.New("timed out")
	}
	var wgr sync.WaitGroup
	for range requests {
		wgr.Go(func() { csv.recordBroken(true) })
	}
	// The first check waits for its response, and the next one for the interval.
	qt.Assert(tst, csv.clk.BlockUntilContext(tst.Context(), requests+1), qt.IsNil)
	csv.clk.Advance(maxCrashWait)
	wgr.Wait()
	close(respond)
	// A check that was late to ask waits for the connection after the next one.
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		if len(csv.pass(0)) == requests {
			break
		}
		csv.clk.Advance(crashProbeInterval)
	}
	qt.Assert(tst, csv.pass(0), qt.HasLen, requests)
	most := 1 + int64(csv.clk.Since(csv.started)/crashProbeInterval)
	qt.Assert(tst, csv.probes.Load() <= most, qt.IsTrue, qt.Commentf("%d connections, %d allowed", csv.probes.Load(), most))
}
