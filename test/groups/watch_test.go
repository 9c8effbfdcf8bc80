package groups_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

const (
	zoneName = "zone-1"
	// evidenceBound is the age above which a report never counts; a sample is taken a little later.
	evidenceBound = 2 * time.Second
	sampleMargin  = 300 * time.Millisecond
	sampleEvery   = 50 * time.Millisecond
)

// watch samples what the daemons would dispatch to, and adds up what is lost.
type watch struct {
	tst    *testing.T
	flt    *fleet.Fleet
	groups int
	stop   context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	dead   map[string]time.Time
	paused map[string]bool

	samples  int
	broken   []string
	shared   []string
	down     map[string]time.Duration
	stranded time.Duration
}

func start(tst *testing.T, vms, replicas int, args ...string) (context.Context, *fleet.Fleet) {
	tst.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	tst.Cleanup(cancel)
	bin, err := fleet.Build()
	qt.Assert(tst, err, qt.IsNil)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       bin,
		Folder:         tst.TempDir(),
		Zones:          []string{zoneName},
		EntryVMs:       3,
		DomainsPerZone: 1,
		VMsPerDomain:   vms,
		EngineArgs:     args,
	})
	qt.Assert(tst, err, qt.IsNil)
	tst.Cleanup(flt.Kill)
	_, err = fleet.Promote(ctx, flt.Entries[0], newDocument(replicas, 1), 0)
	qt.Assert(tst, err, qt.IsNil)
	for _, ent := range flt.Entries {
		qt.Assert(tst, fleet.WaitServing(ctx, ent, replicas), qt.IsNil)
	}
	return ctx, flt
}

func newDocument(replicas, version int) []byte {
	return fmt.Appendf(nil, `
AvailabilityZones:
  - {Name: %s, Region: region-1}
Models:
  - {Name: model, Version: "%d", VMsPerGroup: 2, ColdLimit: 2, WarmLimit: 8}
Groups:
  - {Name: a, Model: model, AvailabilityZone: %s, Replicas: %d}
Workspaces:
  - {Name: workspace, KeyHashes: ["064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba"], Share: 1}
`, zoneName, version, zoneName, replicas)
}

func newWatch(ctx context.Context, tst *testing.T, flt *fleet.Fleet, replicas int) *watch {
	ctx, cancel := context.WithCancel(ctx)
	wat := &watch{
		tst:    tst,
		flt:    flt,
		groups: replicas,
		stop:   cancel,
		done:   make(chan struct{}),
		dead:   map[string]time.Time{},
		paused: map[string]bool{},
		down:   map[string]time.Duration{},
	}
	go wat.run(ctx)
	return wat
}

func (wat *watch) run(ctx context.Context) {
	defer close(wat.done)
	last := time.Now()
	for ctx.Err() == nil {
		at := time.Now()
		wat.sample(ctx, at, at.Sub(last))
		last = at
		time.Sleep(sampleEvery)
	}
}

func (wat *watch) isPaused(name string) bool {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	return wat.paused[name]
}

// sample asks each daemon and adds the time since the sample before to what is down.
func (wat *watch) sample(ctx context.Context, at time.Time, passed time.Duration) {
	serving := map[string]bool{}
	members := map[string]string{}
	var unanswered []string
	for _, ent := range wat.flt.Entries {
		if wat.isPaused(ent.Name) {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		sta, err := fleet.Status(asked, ent)
		cancel()
		if err != nil {
			unanswered = append(unanswered, fmt.Sprintf("%s: %v", ent.Name, err))
			continue
		}
		wat.check(at, ent, sta, serving, members)
	}
	if ctx.Err() != nil {
		// The end of the watch interrupted the questions.
		return
	}
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.samples++
	up := 0
	for idx := range wat.groups {
		name := fmt.Sprintf("a/%d", idx)
		if serving[name] {
			up++
		} else {
			wat.down[name] += passed
			wat.tst.Logf("%s is down at %s for %v; daemons without an answer: %q", name, at.Format("05.000"), passed, unanswered)
		}
	}
	if up < wat.groups {
		idle := len(wat.flt.Engines) - len(wat.dead) - len(members)
		wat.stranded += time.Duration(max(0, idle)) * passed
	}
}

// check looks for a group that is served without a member, and for a VM that two groups are served with.
func (wat *watch) check(at time.Time, ent *fleet.Entry, sta operator.Status, serving map[string]bool, members map[string]string) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	for _, grp := range sta.Groups {
		if !grp.Serving {
			continue
		}
		serving[grp.Name] = true
		for _, vm := range grp.Members {
			if died, ok := wat.dead[vm]; ok && at.Sub(died) > evidenceBound+sampleMargin {
				wat.broken = append(wat.broken, fmt.Sprintf("%s serves %s without %s", ent.Name, grp.Name, vm))
			}
			if oth, ok := members[vm]; ok && oth != grp.Name {
				wat.shared = append(wat.shared, fmt.Sprintf("%s is in %s and %s", vm, oth, grp.Name))
			}
			members[vm] = grp.Name
		}
	}
}

func (wat *watch) kill(vm string) {
	wat.tst.Helper()
	qt.Assert(wat.tst, wat.engine(vm).Kill(), qt.IsNil)
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.dead[vm] = time.Now()
}

func (wat *watch) restart(vm string) {
	wat.tst.Helper()
	wat.mu.Lock()
	delete(wat.dead, vm)
	wat.mu.Unlock()
	qt.Assert(wat.tst, wat.engine(vm).Restart(), qt.IsNil)
}

func (wat *watch) pause(name string, paused bool) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.paused[name] = paused
}

func (wat *watch) engine(vm string) *fleet.Engine {
	for _, eng := range wat.flt.Engines {
		if eng.Name == vm {
			return eng
		}
	}
	wat.tst.Fatalf("no engine %s", vm)
	return nil
}

// finish ends the sampling, prints the figures and fails on a violation.
func (wat *watch) finish(name string) time.Duration {
	wat.tst.Helper()
	wat.stop()
	<-wat.done
	var most time.Duration
	for _, dur := range wat.down {
		most = max(most, dur)
	}
	fmt.Printf("invariant=no-group-serves-without-a-member test=%s cases=%d violations=%d\n", name, wat.samples, len(wat.broken))
	fmt.Printf("invariant=no-vm-in-two-groups test=%s cases=%d violations=%d\n", name, wat.samples, len(wat.shared))
	fmt.Printf("figure test=%s group-downtime=%.1fs stranded=%.1f VM-seconds\n", name, most.Seconds(), wat.stranded.Seconds())
	qt.Check(wat.tst, wat.broken, qt.HasLen, 0)
	qt.Check(wat.tst, wat.shared, qt.HasLen, 0)
	return most
}

// members returns the members of a group as a daemon sees them.
func members(ctx context.Context, tst *testing.T, ent *fleet.Entry, name string) []string {
	tst.Helper()
	sta, err := fleet.Status(ctx, ent)
	qt.Assert(tst, err, qt.IsNil)
	for _, grp := range sta.Groups {
		if grp.Name == name {
			return grp.Members
		}
	}
	return nil
}

// object reads an object of the platform.
func object(ctx context.Context, tst *testing.T, flt *fleet.Fleet, kind, name string, val any) {
	tst.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+flt.Platform.Address+"/objects/"+kind+"/"+name, nil)
	qt.Assert(tst, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(tst, err, qt.IsNil)
	defer res.Body.Close()
	qt.Assert(tst, json.NewDecoder(res.Body).Decode(val), qt.IsNil)
}

// holder returns the daemon that holds the lease.
func holder(ctx context.Context, tst *testing.T, flt *fleet.Fleet) *fleet.Entry {
	tst.Helper()
	var rec lease.Record
	object(ctx, tst, flt, objects.KindLease, zoneName, &rec)
	for _, ent := range flt.Entries {
		if ent.Name == rec.Holder {
			return ent
		}
	}
	tst.Fatalf("no daemon is the holder %q", rec.Holder)
	return nil
}

// others returns a daemon other than the one given.
func others(flt *fleet.Fleet, not *fleet.Entry) *fleet.Entry {
	for _, ent := range flt.Entries {
		if ent != not {
			return ent
		}
	}
	return nil
}

// until waits for a condition.
func until(ctx context.Context, tst *testing.T, what string, cond func() bool) time.Duration {
	tst.Helper()
	began := time.Now()
	for !cond() {
		if ctx.Err() != nil {
			tst.Fatalf("%s: not after %v", what, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}
