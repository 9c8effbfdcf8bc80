package loadview_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/demand"
	"github.com/cumintally/cumintally/internal/loadview"
)

func announcement(instance, sequence uint64, requests int) loadview.Announcement {
	return loadview.Announcement{
		Instance: instance,
		Sequence: sequence,
		Loads: []loadview.Load{
			{
				Server:       "vm-1",
				Requests:     requests,
				UnreadTokens: 100 * requests,
			},
		},
	}
}

func TestOthersAddUp(tst *testing.T) {
	now := time.Unix(1000, 0)
	viw := loadview.New()
	viw.ReceiveAnnouncement("entry-1", announcement(1, 1, 2), now)
	viw.ReceiveAnnouncement("entry-2", announcement(7, 1, 3), now)
	qt.Assert(tst, viw.OthersLoad("vm-1", now).Requests, qt.Equals, 5)
	qt.Assert(tst, viw.OthersLoad("vm-1", now).UnreadTokens, qt.Equals, 500)
	qt.Assert(tst, viw.OthersLoad("vm-2", now).Requests, qt.Equals, 0)
}

// Guards against counting the load of a daemon that has failed, and against announcements that arrive out of order.
func TestAnnouncementsExpireAndStayInOrder(tst *testing.T) {
	now := time.Unix(1000, 0)
	viw := loadview.New()
	viw.ReceiveAnnouncement("entry-1", announcement(1, 5, 4), now)
	viw.ReceiveAnnouncement("entry-1", announcement(1, 4, 9), now)
	qt.Assert(tst, viw.OthersLoad("vm-1", now).Requests, qt.Equals, 4)
	viw.ReceiveAnnouncement("entry-1", announcement(2, 1, 1), now)
	qt.Assert(tst, viw.OthersLoad("vm-1", now).Requests, qt.Equals, 1)
	qt.Assert(tst, viw.OthersLoad("vm-1", now.Add(2*time.Second)).Requests, qt.Equals, 0)
}

// Guards against counting load twice on a site with hubs. A daemon that receives the sum of the site must subtract its
// own load as of the announcement that the hub included, and a hub must count each daemon once although two other hubs
// send it the sum of the same zone.
func TestSumsExcludeTheOwnLoad(tst *testing.T) {
	now := time.Unix(1000, 0)
	hub, member := loadview.New(), loadview.New()
	member.RecordOwn(announcement(1, 1, 2))
	hub.ReceiveAnnouncement("member", announcement(1, 1, 2), now)
	hub.ReceiveAnnouncement("other", announcement(2, 1, 5), now)
	for _, name := range []string{"abroad-1", "abroad-2"} {
		hub.ReceiveZoneSum(name, "zone-b", loadview.Sum{
			Daemons: 2,
			Loads:   announcement(0, 0, 7).Loads,
		}, now)
	}
	all := hub.SiteSum(announcement(0, 0, 1), now)
	qt.Assert(tst, all.Daemons, qt.Equals, 5)
	qt.Assert(tst, all.Loads[0].Requests, qt.Equals, 1+2+5+7)
	qt.Assert(tst, hub.ZoneSum(loadview.Announcement{}, now).Loads[0].Requests, qt.Equals, 2+5)
	qt.Assert(tst, hub.OthersLoad("vm-1", now).Requests, qt.Equals, 2+5+7)

	// The hub has the first announcement of the member, which has since sent another one.
	member.RecordOwn(announcement(1, 2, 4))
	member.ReceiveSiteSum("hub", all, hub.Sequence("member"), now)
	qt.Assert(tst, member.OthersLoad("vm-1", now).Requests, qt.Equals, 1+5+7)
	qt.Assert(tst, member.OthersLoad("vm-1", now.Add(2*time.Second)).Requests, qt.Equals, 0)
}

// Guards against the sum of a hub that has just started, and knows only a part of the site, replacing a complete sum.
func TestWidestSumCounts(tst *testing.T) {
	now := time.Unix(1000, 0)
	viw := loadview.New()
	viw.ReceiveSiteSum("old", loadview.Sum{
		Daemons: 20,
		Loads:   announcement(0, 0, 30).Loads,
	}, 0, now)
	viw.ReceiveSiteSum("new", loadview.Sum{
		Daemons: 3,
		Loads:   announcement(0, 0, 4).Loads,
	}, 0, now.Add(time.Millisecond))
	qt.Assert(tst, viw.OthersLoad("vm-1", now).Requests, qt.Equals, 30)
}

// Guards against underestimating the staleness of a view.
func TestAgeIsThatOfTheLoadsInUse(tst *testing.T) {
	now := time.Unix(1000, 0)
	viw := loadview.New()
	qt.Assert(tst, viw.Staleness(now), qt.Equals, time.Duration(0))
	viw.ReceiveAnnouncement("entry-1", announcement(1, 1, 2), now)
	viw.ReceiveAnnouncement("entry-2", announcement(1, 1, 2), now.Add(100*time.Millisecond))
	qt.Assert(tst, viw.Staleness(now.Add(200*time.Millisecond)), qt.Equals, 150*time.Millisecond)
	viw.ReceiveSiteSum("hub", loadview.Sum{
		Daemons: 80,
		Loads:   announcement(0, 0, 7).Loads,
	}, 1, now.Add(200*time.Millisecond))
	qt.Assert(tst, viw.Staleness(now.Add(250*time.Millisecond)), qt.Equals, 50*time.Millisecond+loadview.Interval(80))
}

func rates(vms float64) []demand.Rate {
	return []demand.Rate{
		{
			Service: "engines",
			Model:   "large",
			VMs:     vms,
		},
	}
}

// Guards against a plan of the groups by the requests of one zone or one daemon: both a hub and a member of its zone must
// know the demand of the whole site, and each daemon must count once.
func TestDemandOfTheSiteAddsUp(tst *testing.T) {
	now := time.Unix(1000, 0)
	hub, member := loadview.New(), loadview.New()
	hub.ReceiveAnnouncement("member", loadview.Announcement{
		Sequence: 1,
		Demand:   rates(2),
	}, now)
	for _, name := range []string{"abroad-1", "abroad-2"} {
		hub.ReceiveZoneSum(name, "zone-b", loadview.Sum{
			Daemons: 3,
			Demand:  rates(4),
		}, now)
	}
	qt.Assert(tst, hub.SiteDemand(rates(1), now), qt.DeepEquals, rates(7))
	own := loadview.Announcement{
		Demand: rates(1),
	}
	member.ReceiveSiteSum("hub", hub.SiteSum(own, now), 1, now)
	qt.Assert(tst, member.SiteDemand(rates(2), now), qt.DeepEquals, rates(7))
	qt.Assert(tst, member.SiteDemand(rates(2), now.Add(2*time.Second)), qt.DeepEquals, rates(2))
}

// Guards against a byte that counts as later than it was: an announcement ages from its receipt, and a sum was made one
// or two intervals before.
func TestLastByteIsNeverTooLate(tst *testing.T) {
	viw, now := loadview.New(), time.Unix(1000, 0)
	loads := func(since time.Duration) []loadview.Load {
		return []loadview.Load{
			{
				Server:        "srv",
				Requests:      1,
				SinceLastByte: since,
			},
			{
				Server: "idle",
			},
		}
	}
	sum := loadview.Sum{
		Daemons: 2,
		Loads:   loads(0),
	}
	at := func(after time.Duration) time.Duration { return viw.LastByte("srv", now.Add(after)).Sub(now) }
	viw.ReceiveAnnouncement("one", loadview.Announcement{
		Loads: loads(350 * time.Millisecond),
	}, now)
	qt.Assert(tst, at(500*time.Millisecond), qt.Equals, -350*time.Millisecond)
	viw.ReceiveSiteSum("hub", sum, 0, now)
	qt.Assert(tst, at(500*time.Millisecond), qt.Equals, -200*time.Millisecond)
	viw.ReceiveZoneSum("hub", "b", sum, now)
	qt.Assert(tst, at(500*time.Millisecond), qt.Equals, -100*time.Millisecond)
	qt.Assert(tst, viw.LastByte("idle", now).IsZero(), qt.IsTrue)
	qt.Assert(tst, viw.LastByte("srv", now.Add(2*time.Second)).IsZero(), qt.IsTrue)
}
