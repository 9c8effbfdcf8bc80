package groupliveness

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

const (
	// eventsPerSilence is the number of pauses between two events without a byte after which a group counts as silent.
	// Prompts that the group reads meanwhile make single pauses up to twice as long as the mean.
	eventsPerSilence = 4
	// announcementDelay is the time until a daemon knows of a byte that another one received: three hops over hubs, each
	// of up to one interval of announcements, and one lost frame.
	announcementDelay = 600 * time.Millisecond
	// silenceLimit bounds MaxSilence below the two heartbeats of 1.2 s for which a group with a failed member has been silent
	// at least when the registration of the member is removed.
	silenceLimit = 2 * time.Second
)

// Verdict says whether a group has all its members.
type Verdict int

// Verdicts on a group. Lost is that on a group with a missing member and without evidence that the member works.
// Unconfirmed is that on a group that sent bytes until just before the last removal: a byte after it is still due, and a
// group with a failed member has been silent for much longer. Alive is that on a group that sent a byte after the last
// removal, or whose members are all registered.
const (
	Lost Verdict = iota
	Unconfirmed
	Alive
)

// Group describes a group and what is known of its members.
type Group struct {
	// Members is the number of VMs that the group needs, and Registered that of its members that are registered as ready in
	// its epoch.
	Members    int
	Registered int
	// Unregistered is the number of members, other than the head, whose registrations were removed while they were ready in
	// the group's epoch and not draining. This daemon learned of the last of these removals at RemovedAt.
	Unregistered int
	RemovedAt    time.Time
	// HeadOpen says that the head is registered as open, and Draining that a registered member is draining.
	HeadOpen bool
	Draining bool
	// LastByte returns when the group last sent a byte of a response to any daemon, the zero time if that is not known. It
	// is called only if it matters.
	LastByte func() time.Time
	// MaxSilence is the time without a byte after which the group is no longer known to be alive.
	MaxSilence time.Duration
}

// Verdict returns whether the group has all its members.
func (grp *Group) Verdict(now time.Time) Verdict {
	if !grp.HeadOpen || grp.Draining || grp.Registered+grp.Unregistered < grp.Members {
		return Lost
	}
	if grp.Registered >= grp.Members {
		return Alive
	}
	last := grp.LastByte()
	switch {
	case now.Sub(last) > grp.MaxSilence:
		return Lost
	case last.After(grp.RemovedAt):
		return Alive
	default:
		return Unconfirmed
	}
}

// MaxSilence returns the value of Group.MaxSilence for a model: several pauses between two events of a full batch that
// also reads a prompt, and the time until a byte is known to all daemons; at most silenceLimit.
func MaxSilence(eng *route.Engine, mod *route.Model) time.Duration {
	step := eng.BaseStepTime + time.Duration(eng.Slots)*eng.StepTimePerRequest
	pause := time.Duration(max(1, eng.StepsPerEvent)) * step
	if eng.PrefillRate > 0 {
		pause += time.Duration(float64(eng.MeanPromptTokens) / eng.PrefillRate * float64(time.Second))
	}
	if mod.TimeFactor > 0 {
		pause = time.Duration(float64(pause) * mod.TimeFactor)
	}
	return min(eventsPerSilence*pause+announcementDelay, silenceLimit)
}
