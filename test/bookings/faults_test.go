package bookings_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/platform"
	"github.com/cumintally/cumintally/internal/standin/service"
)

// faultInjector injects faults into a fleet one after another. Some last while the next ones begin: a pause of a daemon,
// service faults until they are replaced, and lost platform responses until they are used up or replaced.
type faultInjector struct {
	flt      *fleet.Fleet
	rnd      *rand.Rand
	counts   map[string]int
	injected atomic.Int64
}

// faultKinds are the kinds of faults; every kind is injected once before any is injected again.
var faultKinds = []string{"kill", "pause", "lose responses", "platform out", "platform slow", "services"}

// rounds returns how often every kind of fault was injected.
func (inj *faultInjector) rounds() int {
	return int(inj.injected.Load()) / len(faultKinds)
}

// run injects faults until injecting is done, then clears them under ctx.
func (inj *faultInjector) run(injecting, ctx context.Context) {
	inj.counts = map[string]int{}
	var wgr sync.WaitGroup
	order := inj.rnd.Perm(len(faultKinds))
	for num := 0; injecting.Err() == nil; num++ {
		kind := faultKinds[order[num%len(faultKinds)]]
		inj.counts[kind]++
		ent := inj.flt.Entries[inj.rnd.IntN(len(inj.flt.Entries))]
		switch kind {
		case "kill":
			_ = ent.Kill()
			sleep(injecting, inj.randomDuration(50, 400))
			restartEntry(ctx, ent)
		case "pause":
			dur := inj.randomDuration(100, 3000)
			_ = ent.Signal(syscall.SIGSTOP)
			wgr.Go(func() {
				time.Sleep(dur)
				_ = ent.Signal(syscall.SIGCONT)
			})
		case "lose responses":
			inj.setPlatformFaults(ctx, platform.Faults{
				LoseAnswers: 5 + inj.rnd.IntN(30),
				LoseWrites:  5 + inj.rnd.IntN(10),
			})
			sleep(injecting, inj.randomDuration(100, 300))
		case "platform out":
			inj.setPlatformFaults(ctx, platform.Faults{Out: true})
			sleep(injecting, inj.randomDuration(100, 800))
			inj.setPlatformFaults(ctx, platform.Faults{})
		case "platform slow":
			flt := platform.Faults{Delay: inj.randomDuration(20, 1500)}
			if inj.rnd.IntN(2) == 0 {
				flt = platform.Faults{AnswerDelay: flt.Delay}
			}
			inj.setPlatformFaults(ctx, flt)
			sleep(injecting, inj.randomDuration(100, 600))
			inj.setPlatformFaults(ctx, platform.Faults{})
		case "services":
			inj.setServiceFaults(ctx)
		}
		sleep(injecting, inj.randomDuration(20, 200))
		inj.injected.Add(1)
	}
	wgr.Wait()
	inj.setPlatformFaults(ctx, platform.Faults{})
	for _, svc := range inj.flt.Services {
		_ = inj.flt.SetFaults(ctx, svc, service.Faults{})
	}
}

// setServiceFaults makes one service break connections before it runs a booking, one break them after the run
// and one report that it is leaving. Every service also delays its bookings by less than 60 ms.
func (inj *faultInjector) setServiceFaults(ctx context.Context) {
	modes := inj.rnd.Perm(len(inj.flt.Services))
	for idx, svc := range inj.flt.Services {
		_ = inj.flt.SetFaults(ctx, svc, service.Faults{
			Delay:       inj.randomDuration(0, 60),
			DropCalls:   modes[idx] == 0,
			DropAnswers: modes[idx] == 1,
			Leaving:     modes[idx] == 2,
		})
	}
}

func (inj *faultInjector) setPlatformFaults(ctx context.Context, flt platform.Faults) {
	_ = inj.flt.SetFaults(ctx, inj.flt.Platform, flt)
}

func (inj *faultInjector) randomDuration(least, most int) time.Duration {
	return time.Duration(least+inj.rnd.IntN(most-least)) * time.Millisecond
}

func (inj *faultInjector) summary() string {
	var parts []string
	for kind, num := range inj.counts {
		parts = append(parts, fmt.Sprintf("%d %s", num, kind))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// restartEntry restarts a killed daemon. It retries if the daemon exits at once, since an outgoing connection
// of another process may use its port for a while.
func restartEntry(ctx context.Context, ent *fleet.Entry) {
	for ctx.Err() == nil {
		if err := ent.Restart(); err == nil && !ent.ExitedWithin(150*time.Millisecond) {
			return
		}
	}
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

// waitReady waits until a daemon accepts requests.
func waitReady(ctx context.Context, t *testing.T, ent *fleet.Entry) {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Address+"/readyz", nil)
		qt.Assert(t, err, qt.IsNil)
		res, err := http.DefaultClient.Do(req)
		qt.Assert(t, ent.ExitedWithin(0), qt.IsFalse, qt.Commentf("%s exited unexpectedly", ent.Name))
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusNoContent {
				return
			}
		}
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("%s does not become ready", ent.Name))
		time.Sleep(20 * time.Millisecond)
	}
}
