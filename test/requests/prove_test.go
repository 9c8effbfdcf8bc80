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
	// silence is the time without an event after which a caller gives a connection up.
	silence = 700 * time.Millisecond
)

// tally is what the proof of one invariant has seen.
type tally struct {
	cases, violations atomic.Int64
}

type proof struct {
	*world
	whole, refusals, stops tally
	resumes, errors        atomic.Int64

	mu       sync.Mutex
	stopping map[*fleet.Entry]bool
	ready    []*fleet.Entry
}

// balance keeps the list of ready entry VMs, as the platform's load balancer does.
func (prf *proof) balance(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		ready := make([]bool, len(prf.Entries))
		var wgr sync.WaitGroup
		for idx, ent := range prf.Entries {
			wgr.Go(func() { ready[idx] = prf.isReady(ent) })
		}
		wgr.Wait()
		prf.mu.Lock()
		prf.ready = nil
		for idx, ent := range prf.Entries {
			if ready[idx] {
				prf.ready = append(prf.ready, ent)
			}
		}
		prf.mu.Unlock()
	}
}

func (prf *proof) isReady(ent *fleet.Entry) bool {
	cli := http.Client{Timeout: 300 * time.Millisecond}
	res, err := cli.Get("http://" + ent.Address + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusNoContent
}

// pick returns an entry VM for a connection.
func (prf *proof) pick(rnd *rand.Rand) *fleet.Entry {
	prf.mu.Lock()
	defer prf.mu.Unlock()
	if len(prf.ready) == 0 {
		return prf.Entries[rnd.IntN(len(prf.Entries))]
	}
	return prf.ready[rnd.IntN(len(prf.ready))]
}

// TestProveStreams runs streams while daemons are killed, paused and stopped, connections to engines
// break, and VMs of replicas are killed and paused. It guards against an answer that is not whole or not
// its own, a refusal that is not true, and a planned stop that interrupts a stream.
func TestProveStreams(tst *testing.T) {
	if *seed == 0 {
		*seed = rand.Uint64() >> 1
	}
	prf := &proof{
		world:    start(tst, fleet.Config{EntryVMs: 6, VMsPerDomain: 8}, 3, "one", "two"),
		stopping: map[*fleet.Entry]bool{},
	}
	tst.Logf("seed %d", *seed)
	faults, stop := context.WithCancel(prf.ctx)
	var background, wgr sync.WaitGroup
	background.Go(func() { prf.injectFaults(faults, rand.New(rand.NewPCG(*seed, 0))) })
	background.Go(func() { prf.balance(faults) })
	next := make(chan int)
	for wrk := range workers {
		wgr.Go(func() {
			rnd := rand.New(rand.NewPCG(*seed, uint64(wrk)+1))
			for idx := range next {
				prf.stream(rnd, idx)
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
	prf.print("5 whole answers", &prf.whole, fmt.Sprintf("%d resumed, %d ended with a stated error and were sent again", prf.resumes.Load(), prf.errors.Load()))
	prf.print("6 true refusals", &prf.refusals, "each checked at every engine")
	prf.print("9 graceful stops", &prf.stops, "")
}

func (prf *proof) print(name string, tal *tally, note string) {
	fmt.Printf("invariant %s: %d cases, seed %d, %d violations; %s\n", name, tal.cases.Load(), *seed, tal.violations.Load(), note)
	qt.Check(prf.tst, tal.violations.Load(), qt.Equals, int64(0), qt.Commentf("invariant %s", name))
}

func (prf *proof) violate(tal *tally, format string, args ...any) {
	tal.violations.Add(1)
	prf.tst.Errorf(format, args...)
}

// stream asks for one answer until it has it, as a caller does.
func (prf *proof) stream(rnd *rand.Rand, idx int) {
	prf.whole.cases.Add(1)
	prompt := "stream " + strconv.Itoa(idx) + " of seed " + strconv.FormatUint(*seed, 10)
	tokens := 20 + rnd.IntN(80)
	ans := &answer{}
	for end := time.Now().Add(40 * time.Second); ans.ends == 0 && time.Now().Before(end) && prf.ctx.Err() == nil; {
		ent := prf.pick(rnd)
		ans.problem = nil
		err := prf.try(ent, ans, body(prompt, tokens, true))
		switch {
		case ans.ends > 0:
		case ans.problem != nil:
			prf.refused(ans)
			if ans.last != "" && ans.problem.Outcome == "Unknown" {
				prf.errors.Add(1)
				ans.text, ans.last = "", ""
			}
			time.Sleep(100 * time.Millisecond)
		default:
			prf.broke(ent, err)
			prf.resumes.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
		if !strings.HasPrefix(expected(prompt, tokens), ans.text) {
			break
		}
	}
	if ans.ends != 1 || ans.text != expected(prompt, tokens) {
		prf.violate(&prf.whole, "%s: %d ends, %+v, %q", prompt, ans.ends, ans.problem, ans.text)
	}
}

// try makes one connection, which it gives up when nothing arrives for a while.
func (prf *proof) try(ent *fleet.Entry, ans *answer, text string) error {
	ctx, giveUp := context.WithCancel(prf.ctx)
	defer giveUp()
	timer := time.AfterFunc(4*silence, giveUp)
	defer timer.Stop()
	ans.onEvent = func(int) { timer.Reset(silence) }
	return ans.post(ctx, ent, text, nil)
}

// broke checks that the daemon of a broken connection was not being stopped gracefully.
func (prf *proof) broke(ent *fleet.Entry, err error) {
	prf.mu.Lock()
	defer prf.mu.Unlock()
	if prf.stopping[ent] && err != nil && !strings.Contains(err.Error(), "canceled") {
		prf.violate(&prf.stops, "%s broke a connection while it stopped: %v", ent.Name, err)
	}
}

// refused checks that a refusal states one outcome, and that a request that was not run is at no engine.
func (prf *proof) refused(ans *answer) {
	prf.refusals.cases.Add(1)
	out := ans.problem.Outcome
	if out != "NotRun" && out != "Unknown" {
		prf.violate(&prf.refusals, "a refusal states the outcome %q", out)
	}
	if ans.status == http.StatusServiceUnavailable && ans.retryAfter == "" {
		prf.violate(&prf.refusals, "a refusal has no Retry-After: %+v", *ans.problem)
	}
	if out != "NotRun" {
		return
	}
	for _, eng := range prf.Engines {
		for attempt := range 3 {
			url := fmt.Sprintf("http://%s/streams/%s.%d?from=0", eng.Address, ans.header.Get("X-Request-Id"), attempt)
			if status(url) == http.StatusOK {
				prf.violate(&prf.refusals, "%+v, but it is at %s", *ans.problem, eng.Name)
			}
		}
	}
}

func (prf *proof) injectFaults(ctx context.Context, rnd *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){prf.killEntry, prf.pauseEntry, prf.stopEntry, prf.breakConnections, prf.killVM, prf.pauseVM}
	for num := 0; ctx.Err() == nil; num++ {
		kinds[num%len(kinds)](ctx, rnd)
		pause(ctx, time.Duration(100+rnd.IntN(200))*time.Millisecond)
	}
}

func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

func (prf *proof) anyEntry(rnd *rand.Rand) *fleet.Entry {
	return prf.Entries[rnd.IntN(len(prf.Entries))]
}

func (prf *proof) killEntry(_ context.Context, rnd *rand.Rand) {
	ent := prf.anyEntry(rnd)
	_ = ent.Kill()
	qt.Check(prf.tst, ent.Restart(), qt.IsNil)
	prf.waitReady(ent)
}

func (prf *proof) pauseEntry(ctx context.Context, rnd *rand.Rand) {
	ent := prf.anyEntry(rnd)
	_ = ent.Signal(syscall.SIGSTOP)
	pause(ctx, time.Duration(500+rnd.IntN(1500))*time.Millisecond)
	_ = ent.Signal(syscall.SIGCONT)
}

func (prf *proof) stopEntry(_ context.Context, rnd *rand.Rand) {
	ent := prf.anyEntry(rnd)
	mark := func(on bool) {
		prf.mu.Lock()
		defer prf.mu.Unlock()
		prf.stopping[ent] = on
	}
	prf.stops.cases.Add(1)
	mark(true)
	if code := ent.Terminate(40 * time.Second); code != 0 {
		prf.violate(&prf.stops, "%s exited with status %d", ent.Name, code)
		_ = ent.Kill()
	}
	mark(false)
	qt.Check(prf.tst, ent.Restart(), qt.IsNil)
	prf.waitReady(ent)
}

func (prf *proof) breakConnections(ctx context.Context, rnd *rand.Rand) {
	for _, eng := range prf.Engines {
		_ = prf.SetFaults(ctx, eng.Process, engine.Faults{BreakAfter: 1 + rnd.IntN(6)})
	}
	pause(ctx, 500*time.Millisecond)
	for _, eng := range prf.Engines {
		_ = prf.SetFaults(context.WithoutCancel(ctx), eng.Process, engine.Faults{})
	}
}

func (prf *proof) killVM(ctx context.Context, rnd *rand.Rand) {
	eng := prf.Engines[rnd.IntN(len(prf.Engines))]
	_ = eng.Kill()
	pause(ctx, 500*time.Millisecond)
	qt.Check(prf.tst, eng.Restart(), qt.IsNil)
}

func (prf *proof) pauseVM(ctx context.Context, rnd *rand.Rand) {
	eng := prf.Engines[rnd.IntN(len(prf.Engines))]
	_ = eng.Signal(syscall.SIGSTOP)
	pause(ctx, time.Duration(500+rnd.IntN(2000))*time.Millisecond)
	_ = eng.Signal(syscall.SIGCONT)
}
