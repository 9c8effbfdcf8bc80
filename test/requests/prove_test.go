package requests_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

var (
	streamCount = flag.Int("streams", 60, "number of streams of TestProveStreams")
	seed        = flag.Uint64("seed", 0, "seed of TestProveStreams, 0 for a new one")
)

const (
	workers = 32
	// eventTimeout is the time without an event after which a caller abandons a connection.
	eventTimeout = 700 * time.Millisecond
)

// invariantCounts counts the cases and violations of one invariant.
type invariantCounts struct {
	cases, violations atomic.Int64
}

// streamRun is one run of streams while faults are injected.
type streamRun struct {
	*environment
	completions, rejections, stops invariantCounts
	resumes, errors                atomic.Int64

	mu sync.Mutex
	// stopping holds the entry VMs in a planned stop.
	stopping map[*fleet.Entry]bool
	ready    []*fleet.Entry
}

// pollReadiness keeps the list of ready entry VMs up to date, as the platform's load balancer does.
func (run *streamRun) pollReadiness(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		ready := make([]bool, len(run.Entries))
		var wgr sync.WaitGroup
		for idx, ent := range run.Entries {
			wgr.Go(func() { ready[idx] = run.isReady(ent) })
		}
		wgr.Wait()
		run.mu.Lock()
		run.ready = nil
		for idx, ent := range run.Entries {
			if ready[idx] {
				run.ready = append(run.ready, ent)
			}
		}
		run.mu.Unlock()
	}
}

func (run *streamRun) isReady(ent *fleet.Entry) bool {
	cli := http.Client{Timeout: 300 * time.Millisecond}
	res, err := cli.Get("http://" + ent.Address + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusNoContent
}

// pickEntry returns a random ready entry VM for a connection, or any entry VM if none is ready.
func (run *streamRun) pickEntry(rnd *rand.Rand) *fleet.Entry {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.ready) == 0 {
		return run.Entries[rnd.IntN(len(run.Entries))]
	}
	return run.ready[rnd.IntN(len(run.ready))]
}

// TestProveStreams runs streams while daemons are killed, paused and stopped, connections to engines
// break, and VMs of replicas are killed and paused. It guards against a stream that is incomplete or has the text
// of another request, a rejection with a wrong outcome, and a planned stop that interrupts a stream.
func TestProveStreams(tst *testing.T) {
	if *seed == 0 {
		*seed = rand.Uint64() >> 1
	}
	run := &streamRun{
		environment: start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 8}, 3, "one", "two"),
		stopping:    map[*fleet.Entry]bool{},
	}
	tst.Logf("seed %d", *seed)
	injecting, stop := context.WithCancel(run.ctx)
	var background, wgr sync.WaitGroup
	background.Go(func() { run.injectFaults(injecting, rand.New(rand.NewPCG(*seed, 0))) })
	background.Go(func() { run.pollReadiness(injecting) })
	next := make(chan int)
	for wrk := range workers {
		wgr.Go(func() {
			rnd := rand.New(rand.NewPCG(*seed, uint64(wrk)+1))
			for idx := range next {
				run.stream(rnd, idx)
			}
		})
	}
	for idx := range *streamCount {
		next <- idx
	}
	close(next)
	wgr.Wait()
	stop()
	background.Wait()
	run.printResult("5 complete streams", &run.completions, fmt.Sprintf("%d resumed, %d ended with an error event and were sent again", run.resumes.Load(), run.errors.Load()))
	run.printResult("6 true rejections", &run.rejections, "each checked at every engine")
	run.printResult("9 graceful stops", &run.stops, "")
}

func (run *streamRun) printResult(name string, cnt *invariantCounts, note string) {
	fmt.Printf("invariant %s: %d cases, seed %d, %d violations; %s\n", name, cnt.cases.Load(), *seed, cnt.violations.Load(), note)
	qt.Check(run.tst, cnt.violations.Load(), qt.Equals, int64(0), qt.Commentf("invariant %s", name))
}

func (run *streamRun) addViolation(cnt *invariantCounts, format string, args ...any) {
	cnt.violations.Add(1)
	run.tst.Errorf(format, args...)
}

// stream requests one completion and resumes or repeats it until it is complete, as a caller does.
func (run *streamRun) stream(rnd *rand.Rand, idx int) {
	run.completions.cases.Add(1)
	prompt := "stream " + strconv.Itoa(idx) + " of seed " + strconv.FormatUint(*seed, 10)
	tokens := 20 + rnd.IntN(80)
	cpl := &completion{}
	for end := time.Now().Add(40 * time.Second); cpl.finishes == 0 && time.Now().Before(end) && run.ctx.Err() == nil; {
		ent := run.pickEntry(rnd)
		cpl.problem = nil
		err := run.connect(ent, cpl, body(prompt, tokens, true))
		switch {
		case cpl.finishes > 0:
		case cpl.problem != nil:
			run.checkRejection(cpl)
			if cpl.lastEventID != "" && cpl.problem.Outcome == "Unknown" {
				run.errors.Add(1)
				cpl.text, cpl.lastEventID = "", ""
			}
			time.Sleep(100 * time.Millisecond)
		default:
			run.checkDisconnect(ent, err)
			run.resumes.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
		if !strings.HasPrefix(expected(prompt, tokens), cpl.text) {
			break
		}
	}
	if cpl.finishes != 1 || cpl.text != expected(prompt, tokens) {
		run.addViolation(&run.completions, "%s: %d finish reasons, %+v, %q", prompt, cpl.finishes, cpl.problem, cpl.text)
	}
}

// connect opens one connection, and abandons it when no event arrives for eventTimeout, or for four times that
// before the first event.
func (run *streamRun) connect(ent *fleet.Entry, cpl *completion, text string) error {
	ctx, cancel := context.WithCancel(run.ctx)
	defer cancel()
	timer := time.AfterFunc(4*eventTimeout, cancel)
	defer timer.Stop()
	cpl.onEvent = func(int) { timer.Reset(eventTimeout) }
	return cpl.post(ctx, ent, text, nil)
}

// checkDisconnect checks that the daemon that broke a connection was not in a planned stop.
func (run *streamRun) checkDisconnect(ent *fleet.Entry, err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.stopping[ent] && err != nil && !strings.Contains(err.Error(), "canceled") {
		run.addViolation(&run.stops, "%s broke a connection while it stopped: %v", ent.Name, err)
	}
}

// checkRejection checks that a rejection has the outcome NotRun or Unknown, that one with status 503 has a Retry-After
// header, and that no engine has a stream of a request that was rejected as NotRun.
func (run *streamRun) checkRejection(cpl *completion) {
	run.rejections.cases.Add(1)
	out := cpl.problem.Outcome
	if out != "NotRun" && out != "Unknown" {
		run.addViolation(&run.rejections, "a rejection has the outcome %q", out)
	}
	if cpl.status == http.StatusServiceUnavailable && cpl.retryAfter == "" {
		run.addViolation(&run.rejections, "a rejection has no Retry-After: %+v", *cpl.problem)
	}
	if out != "NotRun" {
		return
	}
	for _, eng := range run.Engines {
		for attempt := range 3 {
			url := fmt.Sprintf("http://%s/streams/%s.%d?from=0", eng.Address, cpl.header.Get("X-Request-Id"), attempt)
			if statusCode(url) == http.StatusOK {
				run.addViolation(&run.rejections, "a request was rejected as NotRun with %+v, but its stream is at engine %s", *cpl.problem, eng.Name)
			}
		}
	}
}

func (run *streamRun) injectFaults(ctx context.Context, rnd *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){run.killEntry, run.pauseEntry, run.stopEntry, run.breakConnections, run.killVM, run.pauseVM}
	for num := 0; ctx.Err() == nil; num++ {
		kinds[num%len(kinds)](ctx, rnd)
		sleep(ctx, time.Duration(100+rnd.IntN(200))*time.Millisecond)
	}
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

func (run *streamRun) randomEntry(rnd *rand.Rand) *fleet.Entry {
	return run.Entries[rnd.IntN(len(run.Entries))]
}

func (run *streamRun) killEntry(_ context.Context, rnd *rand.Rand) {
	ent := run.randomEntry(rnd)
	_ = ent.Kill()
	qt.Check(run.tst, ent.Restart(), qt.IsNil)
	run.waitReady(ent)
}

func (run *streamRun) pauseEntry(ctx context.Context, rnd *rand.Rand) {
	ent := run.randomEntry(rnd)
	_ = ent.Signal(syscall.SIGSTOP)
	sleep(ctx, time.Duration(500+rnd.IntN(1500))*time.Millisecond)
	_ = ent.Signal(syscall.SIGCONT)
}

func (run *streamRun) stopEntry(_ context.Context, rnd *rand.Rand) {
	ent := run.randomEntry(rnd)
	mark := func(on bool) {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.stopping[ent] = on
	}
	run.stops.cases.Add(1)
	mark(true)
	if code := ent.Terminate(40 * time.Second); code != 0 {
		run.addViolation(&run.stops, "%s: exit status %d after SIGTERM (-1: ended by a signal, or not within 40 s)", ent.Name, code)
		_ = ent.Kill()
	}
	mark(false)
	qt.Check(run.tst, ent.Restart(), qt.IsNil)
	run.waitReady(ent)
}

func (run *streamRun) breakConnections(ctx context.Context, rnd *rand.Rand) {
	for _, eng := range run.Engines {
		_ = run.SetFaults(ctx, eng.Process, engine.Faults{BreakAfter: 1 + rnd.IntN(6)})
	}
	sleep(ctx, 500*time.Millisecond)
	for _, eng := range run.Engines {
		_ = run.SetFaults(context.WithoutCancel(ctx), eng.Process, engine.Faults{})
	}
}

func (run *streamRun) killVM(ctx context.Context, rnd *rand.Rand) {
	eng := run.Engines[rnd.IntN(len(run.Engines))]
	_ = eng.Kill()
	sleep(ctx, 500*time.Millisecond)
	qt.Check(run.tst, eng.Restart(), qt.IsNil)
}

func (run *streamRun) pauseVM(ctx context.Context, rnd *rand.Rand) {
	eng := run.Engines[rnd.IntN(len(run.Engines))]
	_ = eng.Signal(syscall.SIGSTOP)
	sleep(ctx, time.Duration(500+rnd.IntN(2000))*time.Millisecond)
	_ = eng.Signal(syscall.SIGCONT)
}
