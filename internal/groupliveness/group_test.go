package groupliveness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/groupliveness"
	"github.com/cumintally/cumintally/internal/route"
)

const (
	groups    = 15
	heartbeat = 1200 * time.Millisecond
	// tick is the time between two decisions, eventInterval that between two events of a stream, and known the delay until
	// the daemon knows of a byte or of a removal.
	tick          = 50 * time.Millisecond
	eventInterval = 100 * time.Millisecond
	known         = 300 * time.Millisecond
	partition     = 5 * time.Second
	failInterval  = 3 * time.Second
)

// replayedGroup is a group of the replay, with times since its start; those that are 0 never come.
type replayedGroup struct {
	failedAt, removedAt, returnedAt time.Duration
}

// lastByte returns the last byte that is known at a time. The group sends nothing after the failure of a member.
func (grp *replayedGroup) lastByte(now time.Duration) time.Duration {
	last := now - known
	if grp.failedAt > 0 {
		last = min(last, grp.failedAt)
	}
	return last.Truncate(eventInterval)
}

// Guards against capacity that is lost with registrations, and against lost VMs that are found late. Of 162 VMs in 15
// groups a tenth is unregistered for 5 s, which takes a member from most groups, and two VMs fail every 3 s. Groups
// that send tokens are never lost and almost always count as alive; failed ones are lost at the time of the removal.
func TestUnregisteredMembersUnderLoad(tst *testing.T) {
	start := time.Unix(1000, 0)
	eng := &route.Engine{
		Slots:              48,
		BaseStepTime:       6450 * time.Microsecond,
		StepTimePerRequest: 200 * time.Microsecond,
		StepsPerEvent:      5,
		PrefillRate:        56100,
		MeanPromptTokens:   1000,
	}
	silence := groupliveness.MaxSilence(eng, &route.Model{})
	qt.Assert(tst, silence > 800*time.Millisecond && silence < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", silence))
	all := make([]replayedGroup, groups)
	for idx := range all {
		// Heartbeats of the members are spread over one interval.
		phase := heartbeat * time.Duration(idx) / groups
		if idx%5 == 0 {
			all[idx].failedAt = time.Second + failInterval*time.Duration(idx/5)
			all[idx].removedAt = all[idx].failedAt + 2*heartbeat + phase
			continue
		}
		all[idx].removedAt = 2*heartbeat + phase
		all[idx].returnedAt = partition + phase
	}
	alive, total := 0, 0
	for now := tick; now < 12*time.Second; now += tick {
		for idx := range all {
			cur := &all[idx]
			grp := groupliveness.Group{
				Members:    12,
				Registered: 12,
				HeadOpen:   true,
				LastByte:   func() time.Time { return start.Add(cur.lastByte(now)) },
				MaxSilence: silence,
			}
			if now >= cur.removedAt+known && (cur.returnedAt == 0 || now < cur.returnedAt+known) {
				grp.Registered--
				grp.Unregistered++
				grp.RemovedAt = start.Add(cur.removedAt + known)
			}
			verdict := grp.Verdict(start.Add(now))
			switch {
			case cur.failedAt > 0:
				qt.Assert(tst, verdict == groupliveness.Lost, qt.Equals, grp.Unregistered > 0, qt.Commentf("group %d at %v", idx, now))
			case grp.Unregistered > 0:
				qt.Assert(tst, verdict, qt.Not(qt.Equals), groupliveness.Lost, qt.Commentf("group %d at %v", idx, now))
				total++
				if verdict == groupliveness.Alive {
					alive++
				}
			}
		}
	}
	qt.Assert(tst, float64(alive)/float64(total) > 0.8, qt.IsTrue, qt.Commentf("alive for %d of %d decisions", alive, total))
}

// Guards against evidence that does not concern the missing members: each of the groups sent a byte after the removal.
func TestGroupsThatAreNeverAlive(tst *testing.T) {
	now := time.Unix(1000, 0)
	for name, change := range map[string]func(grp *groupliveness.Group){
		"alive":                       func(*groupliveness.Group) {},
		"the head is not open":        func(grp *groupliveness.Group) { grp.HeadOpen = false },
		"a member is draining":        func(grp *groupliveness.Group) { grp.Draining = true },
		"a member was never ready":    func(grp *groupliveness.Group) { grp.Unregistered-- },
		"no byte for too long":        func(grp *groupliveness.Group) { grp.MaxSilence = 50 * time.Millisecond },
		"no byte after the removal":   func(grp *groupliveness.Group) { grp.RemovedAt = now },
		"no request has been running": func(grp *groupliveness.Group) { grp.LastByte = func() time.Time { return time.Time{} } },
	} {
		grp := groupliveness.Group{
			Members:      4,
			Registered:   2,
			Unregistered: 2,
			RemovedAt:    now.Add(-time.Second),
			HeadOpen:     true,
			LastByte:     func() time.Time { return now.Add(-100 * time.Millisecond) },
			MaxSilence:   time.Second,
		}
		change(&grp)
		qt.Check(tst, grp.Verdict(now) == groupliveness.Alive, qt.Equals, name == "alive", qt.Commentf(name))
	}
}
