package engine

import (
	"sort"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
)

// enqueue adds a stream to the queue, behind those of the same or a higher priority.
func (eng *Engine) enqueue(str *stream) {
	idx := sort.Search(len(eng.queue), func(idx int) bool { return eng.queue[idx].req.Priority < str.req.Priority })
	eng.queue = append(eng.queue, nil)
	copy(eng.queue[idx+1:], eng.queue[idx:])
	eng.queue[idx] = str
	eng.sample()
	if !eng.stepping {
		eng.stepping = true
		go eng.steps()
	}
}

// steps decodes until no stream is left.
func (eng *Engine) steps() {
	due := time.Now()
	for {
		dur, ok := eng.step()
		if !ok {
			return
		}
		// Steps are timed from each other, so that the work of a step does not slow the rate of tokens.
		due = due.Add(dur)
		if late := time.Since(due); late > dur {
			due = time.Now()
		}
		time.Sleep(time.Until(due))
	}
}

// step fills the batch from the queue and adds one token to each stream whose prefill is done.
func (eng *Engine) step() (time.Duration, bool) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	flt := eng.flt.Get()
	now := time.Now()
	for len(eng.queue) > 0 && len(eng.batch) < eng.cfg.MaxBatch {
		str := eng.queue[0]
		eng.queue = eng.queue[1:]
		str.firstAt = now.Add(eng.prefillTime(flt, str.req.Prompt))
		eng.batch = append(eng.batch, str)
	}
	rest := eng.batch[:0]
	for _, str := range eng.batch {
		if now.Before(str.firstAt) {
			rest = append(rest, str)
			continue
		}
		if str.next < len(str.tokens) {
			eng.counts.Tokens++
			str.add(str.token(eng.cfg.StampTokens), "")
			rest = append(rest, str)
			continue
		}
		// The place is free before the last frame says so.
		eng.leave(str)
		eng.counts.Finished++
		str.add("", "length")
	}
	clear(eng.batch[len(rest):])
	eng.batch = rest
	eng.sample()
	if len(eng.batch) == 0 && len(eng.queue) == 0 {
		eng.stepping = false
		return 0, false
	}
	return eng.stepTime(flt) + time.Duration(max(0, len(eng.batch)-1))*eng.cfg.StepTimePerRequest, true
}

// stepTime is the time of a step with one request; a straggling member slows the whole group.
func (eng *Engine) stepTime(flt Faults) time.Duration {
	return max(stretched(flt, eng.cfg.BaseStepTime), eng.memberStep)
}

func stretched(flt Faults, dur time.Duration) time.Duration {
	return dur * time.Duration(max(1, flt.Stretch))
}

// prefillTime shrinks with the share of the prompt's blocks that are cached.
func (eng *Engine) prefillTime(flt Faults, prompt string) time.Duration {
	lag, gap := eng.cfg.CacheLag, eng.cfg.CacheGap
	if flt.CacheLag > 0 {
		lag = flt.CacheLag
	}
	if flt.CacheGap > 0 {
		gap = flt.CacheGap
	}
	sums := backend.PrefixHashes(prompt)
	hit := eng.cch.use(sums, time.Now().Add(lag), gap)
	eng.counts.PromptBlocks += len(sums)
	eng.counts.CachedBlocks += hit
	// The rest of the prompt after its last whole block is never cached.
	all := len(sums) + 1
	return stretched(flt, eng.cfg.PrefillTime) * time.Duration(all-hit) / time.Duration(all)
}

// leave takes a finished stream off the counts of a cold start and forgets it after the retention.
func (eng *Engine) leave(str *stream) {
	eng.release(str)
	eng.finished++
	if eng.finished >= eng.cfg.WarmAfter {
		eng.warm = true
	}
	eng.forgetLater(str)
}

func (eng *Engine) release(str *stream) {
	if str.cold {
		str.cold = false
		eng.cold.open--
	}
}

func (eng *Engine) forgetLater(str *stream) {
	time.AfterFunc(eng.cfg.Retention, func() {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		if eng.streams[str.name] == str {
			delete(eng.streams, str.name)
		}
	})
}

// drop ends a stream early.
func (eng *Engine) drop(str *stream) {
	if str.ended() {
		return
	}
	str.abort()
	eng.counts.Aborted++
	eng.release(str)
	eng.queue = without(eng.queue, str)
	eng.batch = without(eng.batch, str)
	eng.sample()
	eng.forgetLater(str)
}

func (eng *Engine) dropAll() {
	for _, str := range eng.streams {
		eng.drop(str)
	}
	eng.streams = map[string]*stream{}
}

func without(strs []*stream, gone *stream) []*stream {
	for idx, str := range strs {
		if str == gone {
			return append(strs[:idx], strs[idx+1:]...)
		}
	}
	return strs
}

func (eng *Engine) sample() {
	eng.lag.add(time.Now(), len(eng.batch), len(eng.queue))
}

// lagged keeps load figures of the last seconds.
type lagged struct {
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// maxLag is the time for which load figures are kept.
const maxLag = 10 * time.Second

func (lag *lagged) add(at time.Time, running, queued int) {
	if num := len(lag.samples); num > 0 && lag.samples[num-1].running == running && lag.samples[num-1].queued == queued {
		return
	}
	old := sort.Search(len(lag.samples), func(idx int) bool { return at.Sub(lag.samples[idx].at) <= maxLag })
	// The last of the old samples still holds at the start of the time kept.
	lag.samples = append(lag.samples[max(0, old-1):], loadSample{
		at:      at,
		running: running,
		queued:  queued,
	})
}

// at returns the figures that held at a time.
func (lag *lagged) at(when time.Time) (running, queued int) {
	idx := sort.Search(len(lag.samples), func(idx int) bool { return lag.samples[idx].at.After(when) })
	if idx == 0 {
		return 0, 0
	}
	return lag.samples[idx-1].running, lag.samples[idx-1].queued
}
