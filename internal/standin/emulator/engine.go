package emulator

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

// job is a request that an engine has queued or runs.
type job struct {
	// unreadTokens is the number of prompt tokens that still need prefill, remainingTokens that of output tokens to
	// generate.
	unreadTokens    int
	remainingTokens int
	// onFirstToken and onLastToken are called with the times of the first and the last token.
	onFirstToken func(at time.Time)
	onLastToken  func(at time.Time)
}

// engine simulates one group. It works in passes: each does prefill for a chunk of the prompts, then some decoding steps for
// all requests whose prefill is done.
type engine struct {
	config  *route.Engine
	model   *route.Model
	running []*job
	queue   []*job
	// busyUntil is the end of the current pass, zero while the engine is idle.
	busyUntil time.Time
	// memberLost says that the group has lost a member: it accepts requests but makes no progress.
	memberLost bool
}

// prefillChunk is the number of prompt tokens that an engine prefills in a step, the same as in the deployed engines.
const prefillChunk = 2048

func (egn *engine) enqueue(jobs ...*job) {
	egn.queue = append(egn.queue, jobs...)
}

// startPass begins a pass and returns its end, or zero if no request is running or the group has lost a member.
func (egn *engine) startPass(now time.Time) time.Time {
	for len(egn.queue) > 0 && len(egn.running) < egn.config.Slots {
		egn.running = append(egn.running, egn.queue[0])
		egn.queue = egn.queue[1:]
	}
	if len(egn.running) == 0 || egn.memberLost {
		egn.busyUntil = time.Time{}
		return egn.busyUntil
	}
	read, writers := 0, 0
	budget := prefillChunk * max(1, egn.config.StepsPerEvent)
	for _, jbb := range egn.running {
		if jbb.unreadTokens == 0 {
			writers++
			continue
		}
		part := min(jbb.unreadTokens, budget)
		jbb.unreadTokens -= part
		budget -= part
		read += part
	}
	span := time.Duration(float64(read) / egn.config.PrefillRate * float64(time.Second))
	steps := max(1, egn.config.StepsPerEvent)
	if writers == 0 {
		steps = 1
	}
	span += time.Duration(steps) * (egn.config.BaseStepTime + time.Duration(writers)*egn.config.StepTimePerRequest)
	egn.busyUntil = now.Add(time.Duration(float64(span) * egn.model.TimeFactor))
	return egn.busyUntil
}

// finishPass ends the current pass: it generates its tokens and removes the finished requests.
func (egn *engine) finishPass(now time.Time) {
	var rest []*job
	for _, jbb := range egn.running {
		if jbb.unreadTokens == 0 {
			if jbb.onFirstToken != nil {
				jbb.onFirstToken(now)
				jbb.onFirstToken = nil
			}
			jbb.remainingTokens -= max(1, egn.config.StepsPerEvent)
		}
		if jbb.remainingTokens <= 0 {
			jbb.onLastToken(now)
			continue
		}
		rest = append(rest, jbb)
	}
	egn.running = rest
}
