package serverregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Guards against requests to a backend server that drains or has left, because the store was restored from a copy in which it is
// ready. Its entry expires, or the server writes again that it is there.
func TestRestoredEntryIsOlderThanWhatWasKnown(tst *testing.T) {
	entry := func(version uint64, startTime int64, draining bool) serverregistry.Change {
		return serverregistry.Change{
			Server: serverregistry.Server{
				ID:        "vm-1",
				Version:   version,
				StartTime: startTime,
				Draining:  draining,
			},
		}
	}
	removed := func(version uint64) serverregistry.Change {
		chg := entry(version, 0, false)
		chg.Removed = true
		return chg
	}
	const restored = 1
	cases := []struct {
		name    string
		changes []serverregistry.Change
		// usable says whether the server gets requests at once, usableLater whether it does after its entry would have expired.
		usable      bool
		usableLater bool
	}{
		{
			name:        "ready as before",
			changes:     []serverregistry.Change{entry(5, 1, false), entry(objects.VersionIn(restored, 5), 1, false)},
			usable:      true,
			usableLater: true,
		},
		{
			name:    "was draining",
			changes: []serverregistry.Change{entry(5, 1, true), entry(objects.VersionIn(restored, 4), 1, false)},
		},
		{
			name:        "was draining and is another process",
			changes:     []serverregistry.Change{entry(5, 1, true), entry(objects.VersionIn(restored, 4), 2, false)},
			usable:      true,
			usableLater: true,
		},
		{
			name:        "had been removed",
			changes:     []serverregistry.Change{entry(5, 1, false), removed(6), entry(objects.VersionIn(restored, 4), 1, false)},
			usableLater: true,
		},
		{
			name: "had been removed and was back before",
			changes: []serverregistry.Change{
				entry(5, 1, false), removed(6), entry(7, 1, false), entry(objects.VersionIn(restored, 4), 1, false),
			},
			usable:      true,
			usableLater: true,
		},
		{
			name:        "had been removed and is back in the same era",
			changes:     []serverregistry.Change{entry(5, 1, false), removed(6), entry(7, 1, false)},
			usable:      true,
			usableLater: true,
		},
	}
	for _, cse := range cases {
		tst.Run(cse.name, func(tst *testing.T) {
			reg := serverregistry.New()
			now := time.Unix(1000, 0)
			for _, chg := range cse.changes {
				reg.Apply([]serverregistry.Change{chg}, now)
			}
			usable := func() bool {
				srv, ok := reg.View().Server("vm-1")
				return ok && !srv.Draining
			}
			qt.Check(tst, usable(), qt.Equals, cse.usable)
			reg.Expire(now.Add(10 * time.Second))
			qt.Check(tst, usable(), qt.Equals, cse.usableLater)
		})
	}
}
