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
	// maxReportAge is the age above which daemons must ignore a report.
	maxReportAge = 2 * time.Second
	// sampleMargin is the tolerance that is added to maxReportAge when a sample is checked, since samples are not taken at
	// the exact moment at which a daemon judges a report.
	sampleMargin   = 300 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
)

// sampler polls the daemons for the groups that they would dispatch to, and adds up downtime and violations.
type sampler struct {
	tst      *testing.T
	flt      *fleet.Fleet
	replicas int
	stop     context.CancelFunc
	done     chan struct{}

	mu sync.Mutex
	// lost holds the time at which each VM was lost, until it is restarted: killed, or paused for good. The pauses of
	// TestFaultScript are not recorded.
	lost map[string]time.Time
	// paused holds the daemons that are not polled.
	paused map[string]bool

	samples int
	// incomplete and inTwoGroups describe the violations.
	incomplete  []string
	inTwoGroups []string
	// downtime is the time without service of each group.
	downtime map[string]time.Duration
	// stranded is the time for which VMs that were not lost were in no serving group while a group was down, summed over
	// these VMs.
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
		qt.Assert(tst, fleet.WaitForServingGroups(ctx, ent, replicas), qt.IsNil)
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

func newSampler(ctx context.Context, tst *testing.T, flt *fleet.Fleet, replicas int) *sampler {
	ctx, cancel := context.WithCancel(ctx)
	smp := &sampler{
		tst:      tst,
		flt:      flt,
		replicas: replicas,
		stop:     cancel,
		done:     make(chan struct{}),
		lost:     map[string]time.Time{},
		paused:   map[string]bool{},
		downtime: map[string]time.Duration{},
	}
	go smp.run(ctx)
	return smp
}

func (smp *sampler) run(ctx context.Context) {
	defer close(smp.done)
	last := time.Now()
	for ctx.Err() == nil {
		at := time.Now()
		smp.sample(ctx, at, at.Sub(last))
		last = at
		time.Sleep(sampleInterval)
	}
}

func (smp *sampler) isPaused(name string) bool {
	smp.mu.Lock()
	defer smp.mu.Unlock()
	return smp.paused[name]
}

// sample polls each daemon that is not paused, and adds the time since the previous sample to the downtime of
// each group that no daemon serves.
func (smp *sampler) sample(ctx context.Context, at time.Time, passed time.Duration) {
	serving := map[string]bool{}
	members := map[string]string{}
	var withoutResponse []string
	for _, ent := range smp.flt.Entries {
		if smp.isPaused(ent.Name) {
			continue
		}
		polled, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		sta, err := fleet.Status(polled, ent)
		cancel()
		if err != nil {
			withoutResponse = append(withoutResponse, fmt.Sprintf("%s: %v", ent.Name, err))
			continue
		}
		smp.check(at, ent, sta, serving, members)
	}
	if ctx.Err() != nil {
		// finish interrupted the requests.
		return
	}
	smp.mu.Lock()
	defer smp.mu.Unlock()
	smp.samples++
	up := 0
	for idx := range smp.replicas {
		name := fmt.Sprintf("a/%d", idx)
		if serving[name] {
			up++
		} else {
			smp.downtime[name] += passed
			smp.tst.Logf("%s is down at %s for %v; daemons without a response: %q", name, at.Format("05.000"), passed, withoutResponse)
		}
	}
	if up < smp.replicas {
		idle := len(smp.flt.Engines) - len(smp.lost) - len(members)
		smp.stranded += time.Duration(max(0, idle)) * passed
	}
}

// check records each group that is served without one of its members, and each VM with which two groups are
// served.
func (smp *sampler) check(at time.Time, ent *fleet.Entry, sta operator.Status, serving map[string]bool, members map[string]string) {
	smp.mu.Lock()
	defer smp.mu.Unlock()
	for _, grp := range sta.Groups {
		if !grp.Serving {
			continue
		}
		serving[grp.Name] = true
		for _, vm := range grp.Members {
			if lostAt, ok := smp.lost[vm]; ok && at.Sub(lostAt) > maxReportAge+sampleMargin {
				smp.incomplete = append(smp.incomplete, fmt.Sprintf("%s serves %s without %s", ent.Name, grp.Name, vm))
			}
			if oth, ok := members[vm]; ok && oth != grp.Name {
				smp.inTwoGroups = append(smp.inTwoGroups, fmt.Sprintf("%s is in %s and %s", vm, oth, grp.Name))
			}
			members[vm] = grp.Name
		}
	}
}

func (smp *sampler) kill(vm string) {
	smp.tst.Helper()
	qt.Assert(smp.tst, smp.engine(vm).Kill(), qt.IsNil)
	smp.mu.Lock()
	defer smp.mu.Unlock()
	smp.lost[vm] = time.Now()
}

func (smp *sampler) restart(vm string) {
	smp.tst.Helper()
	smp.mu.Lock()
	delete(smp.lost, vm)
	smp.mu.Unlock()
	qt.Assert(smp.tst, smp.engine(vm).Restart(), qt.IsNil)
}

func (smp *sampler) setPaused(name string, paused bool) {
	smp.mu.Lock()
	defer smp.mu.Unlock()
	smp.paused[name] = paused
}

func (smp *sampler) engine(vm string) *fleet.Engine {
	for _, eng := range smp.flt.Engines {
		if eng.Name == vm {
			return eng
		}
	}
	smp.tst.Fatalf("no engine %s", vm)
	return nil
}

// finish stops the sampling, prints the results, fails the test on a violation, and returns the downtime of the
// group that was down longest.
func (smp *sampler) finish(name string) time.Duration {
	smp.tst.Helper()
	smp.stop()
	<-smp.done
	var most time.Duration
	for _, dur := range smp.downtime {
		most = max(most, dur)
	}
	fmt.Printf("invariant=no-group-serves-without-a-member test=%s cases=%d violations=%d\n", name, smp.samples, len(smp.incomplete))
	fmt.Printf("invariant=no-vm-in-two-groups test=%s cases=%d violations=%d\n", name, smp.samples, len(smp.inTwoGroups))
	fmt.Printf("figure test=%s group-downtime=%.1fs stranded=%.1f VM-seconds\n", name, most.Seconds(), smp.stranded.Seconds())
	qt.Check(smp.tst, smp.incomplete, qt.HasLen, 0)
	qt.Check(smp.tst, smp.inTwoGroups, qt.HasLen, 0)
	return most
}

// members returns the members of a group in the status of a daemon.
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

// readObject reads an object from the store of the platform into val.
func readObject(ctx context.Context, tst *testing.T, flt *fleet.Fleet, kind, name string, val any) {
	tst.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+flt.Platform.Address+"/objects/"+kind+"/"+name, nil)
	qt.Assert(tst, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(tst, err, qt.IsNil)
	defer res.Body.Close()
	qt.Assert(tst, json.NewDecoder(res.Body).Decode(val), qt.IsNil)
}

// leaseHolder returns the daemon that holds the lease of the zone.
func leaseHolder(ctx context.Context, tst *testing.T, flt *fleet.Fleet) *fleet.Entry {
	tst.Helper()
	var rec lease.Record
	readObject(ctx, tst, flt, objects.KindLease, zoneName, &rec)
	for _, ent := range flt.Entries {
		if ent.Name == rec.Holder {
			return ent
		}
	}
	tst.Fatalf("the lease holder %q is not a daemon of the fleet", rec.Holder)
	return nil
}

// otherEntry returns a daemon other than excluded.
func otherEntry(flt *fleet.Fleet, excluded *fleet.Entry) *fleet.Entry {
	for _, ent := range flt.Entries {
		if ent != excluded {
			return ent
		}
	}
	return nil
}

// waitUntil waits for a condition and returns the time it took. It fails the test when ctx is done.
func waitUntil(ctx context.Context, tst *testing.T, what string, cond func() bool) time.Duration {
	tst.Helper()
	began := time.Now()
	for !cond() {
		if ctx.Err() != nil {
			tst.Fatalf("%s: not within %v", what, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}
