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

// disturber brings failures on a fleet, one after another and some at the same time.
type disturber struct {
	flt    *fleet.Fleet
	rnd    *rand.Rand
	counts map[string]int
	turns  atomic.Int64
}

// disturbances are the kinds of failures; each happens before any happens again.
var disturbances = []string{"kill", "pause", "lose responses", "platform out", "platform slow", "services"}

// rounds returns how often every kind of failure has happened.
func (dst *disturber) rounds() int {
	return int(dst.turns.Load()) / len(disturbances)
}

// run disturbs the fleet until disturb ends, then heals it under ctx.
func (dst *disturber) run(disturb, ctx context.Context) {
	dst.counts = map[string]int{}
	var wgr sync.WaitGroup
	order := dst.rnd.Perm(len(disturbances))
	for turn := 0; disturb.Err() == nil; turn++ {
		kind := disturbances[order[turn%len(disturbances)]]
		dst.counts[kind]++
		ent := dst.flt.Entries[dst.rnd.IntN(len(dst.flt.Entries))]
		switch kind {
		case "kill":
			_ = ent.Kill()
			pause(disturb, dst.between(50, 400))
			revive(ctx, ent)
		case "pause":
			dur := dst.between(100, 3000)
			_ = ent.Signal(syscall.SIGSTOP)
			wgr.Go(func() {
				time.Sleep(dur)
				_ = ent.Signal(syscall.SIGCONT)
			})
		case "lose responses":
			dst.platform(ctx, platform.Faults{
				LoseAnswers: 5 + dst.rnd.IntN(30),
				LoseWrites:  5 + dst.rnd.IntN(10),
			})
			pause(disturb, dst.between(100, 300))
		case "platform out":
			dst.platform(ctx, platform.Faults{Out: true})
			pause(disturb, dst.between(100, 800))
			dst.platform(ctx, platform.Faults{})
		case "platform slow":
			flt := platform.Faults{Delay: dst.between(20, 1500)}
			if dst.rnd.IntN(2) == 0 {
				flt = platform.Faults{AnswerDelay: flt.Delay}
			}
			dst.platform(ctx, flt)
			pause(disturb, dst.between(100, 600))
			dst.platform(ctx, platform.Faults{})
		case "services":
			dst.services(ctx)
		}
		pause(disturb, dst.between(20, 200))
		dst.turns.Add(1)
	}
	wgr.Wait()
	dst.platform(ctx, platform.Faults{})
	for _, svc := range dst.flt.Services {
		_ = dst.flt.SetFaults(ctx, svc, service.Faults{})
	}
}

// services makes one service break connections before bookings run, one after, and one leave.
func (dst *disturber) services(ctx context.Context) {
	modes := dst.rnd.Perm(len(dst.flt.Services))
	for idx, svc := range dst.flt.Services {
		_ = dst.flt.SetFaults(ctx, svc, service.Faults{
			Delay:       dst.between(0, 60),
			DropCalls:   modes[idx] == 0,
			DropAnswers: modes[idx] == 1,
			Leaving:     modes[idx] == 2,
		})
	}
}

func (dst *disturber) platform(ctx context.Context, flt platform.Faults) {
	_ = dst.flt.SetFaults(ctx, dst.flt.Platform, flt)
}

func (dst *disturber) between(least, most int) time.Duration {
	return time.Duration(least+dst.rnd.IntN(most-least)) * time.Millisecond
}

func (dst *disturber) summary() string {
	var parts []string
	for kind, num := range dst.counts {
		parts = append(parts, fmt.Sprintf("%d %s", num, kind))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// revive starts a killed daemon. It tries again if the daemon ends at once, since an outgoing connection
// of another process may hold its port for a while.
func revive(ctx context.Context, ent *fleet.Entry) {
	for ctx.Err() == nil {
		if err := ent.Restart(); err == nil && !ent.Wait(150*time.Millisecond) {
			return
		}
	}
}

func pause(ctx context.Context, dur time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(dur):
	}
}

// waitReady waits until a daemon takes requests.
func waitReady(ctx context.Context, t *testing.T, ent *fleet.Entry) {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Address+"/readyz", nil)
		qt.Assert(t, err, qt.IsNil)
		res, err := http.DefaultClient.Do(req)
		qt.Assert(t, ent.Wait(0), qt.IsFalse, qt.Commentf("%s has ended by itself", ent.Name))
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusNoContent {
				return
			}
		}
		qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("%s does not get ready", ent.Name))
		time.Sleep(20 * time.Millisecond)
	}
}
