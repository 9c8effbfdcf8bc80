package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// promptFixture has two groups, one and two, of engines that read 10,000 tokens a second, and requests with 6,000 shared
// tokens of 7,000.
type promptFixture struct {
	*fixture
	req placement.Request
}

func newPromptFixture(retention time.Duration) *promptFixture {
	fix := &promptFixture{
		fixture: newFixture(),
	}
	dps := placement.Dependencies{
		Registrations:      fix.reg.View,
		InService:          func(string) bool { return true },
		OthersLoad:         fix.viw.OthersLoad,
		OthersStaleness:    fix.viw.Staleness,
		LastByte:           func(server string, _ time.Time) time.Time { return fix.trk.LastProgress(server) },
		FirstTokenError:    fix.lrn.Error,
		RecordFirstToken:   func(obs firsttoken.Observation, now time.Time) { fix.lrn.Record(obs, now) },
		Reserve:            fix.ldg.Decide,
		ReportStalled:      func(loadview.Load) {},
		ReportUnregistered: func() {},
		Assess:             func([]*serverregistry.Server, bool, time.Time) []suspicion.Verdict { return nil },
		ReportFailure:      func(*serverregistry.Server, suspicion.Kind, time.Time) {},
		LimitShare:         func(string, string, time.Time) float64 { return 1 },
		Seed:               func() uint64 { return 1 },
		ReportSaved:        func(int) {},
	}
	if retention > 0 {
		dps.Prompts = promptcache.New(promptcache.Config{
			Retention:        retention,
			MaxPrefixes:      1024,
			HoldersPerPrefix: 16,
		})
	}
	cfg := placement.Config{
		AvailabilityZone: "a",
	}
	fix.plm = placement.New(cfg, dps, fix.trk, coldlimit.New(func() int { return 1 }, fix.now), fix.lim, fix.clk)
	fix.svc.Engine.PrefillRate = 10_000
	fix.svc.Engine.MeanPromptTokens = 7000
	fix.group("one", "a", serverregistry.Ready)
	fix.group("two", "a", serverregistry.Ready)
	fix.req = placement.Request{
		Service:        fix.svc,
		Model:          "recipes",
		PromptTokens:   7000,
		ExpectedTokens: 20,
		SharedParts:    []string{"system", "document"},
		SharedTokens:   []int{2000, 4000},
	}
	return fix
}

// read makes a group read the prompt and returns it. Choices before it decide nothing.
func (fix *promptFixture) read(tst *testing.T) string {
	pck, err := fix.plm.Choose(fix.req, fix.clk.Now())
	qt.Assert(tst, err, qt.IsNil)
	fix.clk.Advance(500 * time.Millisecond)
	pck.ResponseBegan()
	pck.Release()
	return pck.Server.ID
}

// share returns the share of 100 requests, one at a time, that go to a group.
func (fix *promptFixture) share(tst *testing.T, group string) float64 {
	num := 0
	for range 100 {
		pck, err := fix.plm.Choose(fix.req, fix.clk.Now())
		qt.Assert(tst, err, qt.IsNil)
		if pck.Server.ID == group {
			num++
		}
		// Without a response nothing is recorded as cached.
		pck.Release()
	}
	return float64(num) / 100
}

// announce sets the load that another daemon has in flight at a group.
func (fix *promptFixture) announce(group string, requests, unread int) {
	fix.clk.Advance(time.Millisecond)
	fix.viw.ReceiveAnnouncement("entry-2", loadview.Announcement{
		Sequence: uint64(fix.clk.Now().UnixNano()),
		Loads: []loadview.Load{
			{
				Server:       group,
				Requests:     requests,
				UnreadTokens: unread,
			},
		},
	}, fix.clk.Now())
}

// Guards against both former policies: reading a shared prefix of 600 ms at every group, and queueing at the group that
// has it cached though another one is idle and responds sooner. The estimate must not outlive a restart, a new epoch or
// the retention. The requests that the view lacks must not hide the saving, since they find their prefixes too.
func TestBusyHolderLosesWhenTheWaitExceedsTheSaving(tst *testing.T) {
	for name, row := range map[string]struct {
		change func(fix *promptFixture, holder string)
		// least and most bound the share of the requests that the holder receives.
		least, most float64
	}{
		"idle holder":       {change: func(*promptFixture, string) {}, least: 1, most: 1},
		"wait below saving": {change: func(fix *promptFixture, holder string) { fix.announce(holder, 2, 2000) }, least: 1, most: 1},
		"requests unseen": {change: func(fix *promptFixture, holder string) {
			fix.announce(holder, 2, 2000)
			fix.clk.Advance(400 * time.Millisecond)
		}, least: 1, most: 1},
		"wait above saving":    {change: func(fix *promptFixture, holder string) { fix.announce(holder, 2, 9000) }},
		"full batch at holder": {change: func(fix *promptFixture, holder string) { fix.announce(holder, 26, 0) }},
		"memory full at holder": {change: func(fix *promptFixture, holder string) {
			fix.svc.Engine.MemoryTokens = 9000
			fix.announce(holder, 2, 0)
		}, most: 0.6},
	} {
		tst.Run(name, func(tst *testing.T) {
			fix := newPromptFixture(time.Minute)
			holder := fix.read(tst)
			row.change(fix, holder)
			share := fix.share(tst, holder)
			qt.Assert(tst, share >= row.least && share <= row.most, qt.IsTrue, qt.Commentf("%v", share))
		})
	}
}

// Guards against a forecast that ignores what is cached, by which a request is rejected that would be on time, and
// against one that counts on the cache of a process or a group that is gone.
func TestForecastCountsOnlyWhatIsCachedNow(tst *testing.T) {
	for name, row := range map[string]struct {
		change func(fix *promptFixture)
		busy   bool
	}{
		"cached":      {change: func(*promptFixture) {}},
		"aged":        {change: func(fix *promptFixture) { fix.clk.Advance(time.Minute) }, busy: true},
		"new process": {change: func(fix *promptFixture) { fix.reregister(2, 1) }, busy: true},
		"new epoch":   {change: func(fix *promptFixture) { fix.reregister(0, 2) }, busy: true},
	} {
		tst.Run(name, func(tst *testing.T) {
			fix := newPromptFixture(time.Minute)
			fix.read(tst)
			row.change(fix)
			fix.req.MaxUsefulForecast = func(time.Duration) time.Duration { return 300 * time.Millisecond }
			pck, err := fix.plm.Choose(fix.req, fix.clk.Now())
			qt.Assert(tst, errors.Is(err, placement.ErrBusy), qt.Equals, row.busy, qt.Commentf("%v %v", pck.Forecast, err))
			if !row.busy {
				qt.Assert(tst, pck.PrefillSaved, qt.Equals, 600*time.Millisecond)
				qt.Assert(tst, fix.plm.Loads()[0].UnreadTokens, qt.Equals, 1000)
			}
		})
	}
}

// reregister registers the members of both groups with another start time or epoch.
func (fix *promptFixture) reregister(startTime int64, epoch uint64) {
	for _, srv := range fix.reg.View().Service("engines") {
		next := *srv
		next.StartTime = startTime
		next.Membership.Epoch = epoch
		fix.apply(next)
	}
}

// Guards against changes of deployments whose engines retain no prompts: without a retention, and for requests that name
// no shared part, the same groups are drawn as without the estimates.
func TestWithoutRetentionTheSameGroupsAreDrawn(tst *testing.T) {
	draw := func(retention time.Duration, named bool) []string {
		fix := newPromptFixture(retention)
		if !named {
			fix.req.SharedParts = nil
		}
		var ids []string
		for range 200 {
			ids = append(ids, fix.read(tst))
		}
		return ids
	}
	former := draw(0, false)
	qt.Assert(tst, draw(0, true), qt.DeepEquals, former)
	qt.Assert(tst, draw(time.Minute, false), qt.DeepEquals, former)
	qt.Assert(tst, draw(time.Minute, true), qt.Not(qt.DeepEquals), former)
}
