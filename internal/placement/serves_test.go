package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/serverregistry"
)

func (fix *fixture) unregister(id string) {
	fix.reg.Apply([]serverregistry.Change{
		{
			Server: serverregistry.Server{
				ID: id,
			},
			Removed: true,
		},
	}, fix.now)
}

// Guards against the loss of groups that serve while the registration of a member has expired, and against requests to
// groups without evidence of all members: one that was silent for two heartbeats when the registration was removed, one
// whose member never was ready or announced its stop, and one whose head is not registered.
func TestGroupsThatSendTokensServeWithoutRegistrations(tst *testing.T) {
	fix := newFixture()
	for _, name := range []string{"alive", "silent", "stopping", "headless"} {
		fix.group(name, "a", serverregistry.Ready)
	}
	fix.group("joining", "a", serverregistry.Joining)
	for _, id := range []string{"alive-1", "silent-1", "stopping-1", "headless", "joining-1"} {
		fix.unregister(id)
	}
	fix.reg.MarkStopping(serverregistry.Process{
		ID: "stopping-1",
	}, fix.now)
	fix.trk.RecordProgress("silent", fix.now.Add(-2400*time.Millisecond))
	fix.trk.RecordProgress("alive", fix.now.Add(-50*time.Millisecond))
	// The first choice comes while the next token is due, the second one after it.
	for range 2 {
		chosen, err := fix.counts(5, 0)
		qt.Assert(tst, err, qt.IsNil)
		qt.Assert(tst, chosen, qt.DeepEquals, map[string]int{"alive": 5})
		for _, id := range []string{"alive", "stopping", "headless", "joining"} {
			fix.trk.RecordProgress(id, fix.now.Add(50*time.Millisecond))
		}
		fix.now = fix.now.Add(100 * time.Millisecond)
	}

	// The last token is too long ago, and when the registration returns it no longer matters.
	fix.now = fix.now.Add(2 * time.Second)
	_, err := fix.counts(1, 0)
	qt.Assert(tst, err, qt.IsNotNil)
	fix.register("alive-1", "alive", "a", 1, serverregistry.Ready)
	_, err = fix.counts(1, 0)
	qt.Assert(tst, err, qt.IsNil)
	qt.Assert(tst, fix.unregistered, qt.Equals, 10)
}
