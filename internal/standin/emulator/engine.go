package emulator

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

// job is a request at an engine.
type job struct {
	unread int
	left   int
	// began and ended are told when the first token and the last one come.
	began func(at time.Time)
	ended func(at time.Time)
}

// engine is one group, which works in passes: it reads a piece of the prompts, then takes some steps for all that
// write.
type engine struct {
	eng     *route.Engine
	mod     *route.Model
	running []*job
	queue   []*job
	// busyUntil is the end of the pass under way, zero while the engine idles.
	busyUntil time.Time
	// lost says that the group has lost a member: it takes requests and does nothing.
	lost bool
}

// pieceSize is the number of prompt tokens that an engine reads in a step, as the deployments' engines do.
const pieceSize = 2048

func (egn *engine) add(jobs ...*job) {
	egn.queue = append(egn.queue, jobs...)
}

// start begins a pass at a time and returns its end, zero if there is nothing to do.
func (egn *engine) start(now time.Time) time.Time {
	for len(egn.queue) > 0 && len(egn.running) < egn.eng.Slots {
		egn.running = append(egn.running, egn.queue[0])
		egn.queue = egn.queue[1:]
	}
	if len(egn.running) == 0 || egn.lost {
		egn.busyUntil = time.Time{}
		return egn.busyUntil
	}
	read, writers := 0, 0
	budget := pieceSize * max(1, egn.eng.StepsPerEvent)
	for _, jbb := range egn.running {
		if jbb.unread == 0 {
			writers++
			continue
		}
		part := min(jbb.unread, budget)
		jbb.unread -= part
		budget -= part
		read += part
	}
	span := time.Duration(float64(read) / egn.eng.PrefillRate * float64(time.Second))
	steps := max(1, egn.eng.StepsPerEvent)
	if writers == 0 {
		steps = 1
	}
	span += time.Duration(steps) * (egn.eng.BaseStepTime + time.Duration(writers)*egn.eng.StepTimePerRequest)
	egn.busyUntil = now.Add(time.Duration(float64(span) * egn.mod.TimeFactor))
	return egn.busyUntil
}

// finish ends the pass under way.
func (egn *engine) finish(now time.Time) {
	var rest []*job
	for _, jbb := range egn.running {
		if jbb.unread == 0 {
			if jbb.began != nil {
				jbb.began(now)
				jbb.began = nil
			}
			jbb.left -= max(1, egn.eng.StepsPerEvent)
		}
		if jbb.left <= 0 {
			jbb.ended(now)
			continue
		}
		rest = append(rest, jbb)
	}
	egn.running = rest
}
