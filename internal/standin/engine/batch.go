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
	eng.recordLoad()
	if !eng.decoding {
		eng.decoding = true
		go eng.decodeLoop()
	}
}

// decodeLoop runs decoding steps until no stream is left.
func (eng *Engine) decodeLoop() {
	due := time.Now()
	for {
		dur, ok := eng.decodeStep()
		if !ok {
			return
		}
		// Each step is due relative to the previous due time, so that the work of a step does not reduce the token rate.
		due = due.Add(dur)
		if late := time.Since(due); late > dur {
			due = time.Now()
		}
		time.Sleep(time.Until(due))
	}
}

// decodeStep fills the batch from the queue and adds one token to each stream whose prefill is done. It returns the
// duration of the step, and false if no stream is left.
func (eng *Engine) decodeStep() (time.Duration, bool) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	flt := eng.faults.Get()
	now := time.Now()
	for len(eng.queue) > 0 && len(eng.batch) < eng.cfg.MaxBatch {
		str := eng.queue[0]
		eng.queue = eng.queue[1:]
		str.firstTokenAt = eng.prefillStart(now).Add(eng.prefillTime(flt, str.req.Prompt))
		eng.prefillUntil = str.firstTokenAt
		eng.batch = append(eng.batch, str)
	}
	rest := eng.batch[:0]
	for _, str := range eng.batch {
		if now.Before(str.firstTokenAt) {
			rest = append(rest, str)
			continue
		}
		if str.nextIndex < len(str.tokens) {
			eng.counts.Tokens++
			str.appendFrame(str.nextToken(eng.cfg.StampTokens), "")
			rest = append(rest, str)
			continue
		}
		// The place in the batch is free before the last frame is sent.
		eng.finish(str)
		eng.counts.Finished++
		str.appendFrame("", "length")
	}
	clear(eng.batch[len(rest):])
	eng.batch = rest
	eng.recordLoad()
	if len(eng.batch) == 0 && len(eng.queue) == 0 {
		eng.decoding = false
		return 0, false
	}
	return eng.stepTime(flt) + time.Duration(max(0, len(eng.batch)-1))*eng.cfg.StepTimePerRequest, true
}

// prefillStart returns the time at which the engine begins to read the next prompt.
func (eng *Engine) prefillStart(now time.Time) time.Time {
	if eng.cfg.SerialPrefill && eng.prefillUntil.After(now) {
		return eng.prefillUntil
	}
	return now
}

// stepTime returns the time of a step with one request. A straggling member slows the whole group.
func (eng *Engine) stepTime(flt Faults) time.Duration {
	return max(stretched(flt, eng.cfg.BaseStepTime), eng.memberStepTime)
}

// stretched multiplies a duration by the Stretch fault.
func stretched(flt Faults, dur time.Duration) time.Duration {
	return dur * time.Duration(max(1, flt.Stretch))
}

// prefillTime returns the time to the first token of a prompt and caches its blocks. The time decreases with the share
// of blocks that were cached before.
func (eng *Engine) prefillTime(flt Faults, prompt string) time.Duration {
	lag, gap := eng.cfg.CacheLag, eng.cfg.CacheGap
	if flt.CacheLag > 0 {
		lag = flt.CacheLag
	}
	if flt.CacheGap > 0 {
		gap = flt.CacheGap
	}
	sums := backend.PrefixHashes(prompt)
	hit := eng.prefixCache.insert(sums, time.Now().Add(lag), gap)
	eng.counts.PromptBlocks += len(sums)
	eng.counts.CachedBlocks += hit
	// The rest of the prompt after its last whole block is never cached.
	all := len(sums) + 1
	return stretched(flt, eng.cfg.PrefillTime) * time.Duration(all-hit) / time.Duration(all)
}

// finish removes a finished stream from the cold-start count and deletes it after the retention. The engine is warm
// after WarmAfter finished streams.
func (eng *Engine) finish(str *stream) {
	eng.releaseCold(str)
	eng.finishedSinceCold++
	if eng.finishedSinceCold >= eng.cfg.WarmAfter {
		eng.warm = true
	}
	eng.deleteAfterRetention(str)
}

func (eng *Engine) releaseCold(str *stream) {
	if str.inColdStart {
		str.inColdStart = false
		eng.cold.inFlight--
	}
}

func (eng *Engine) deleteAfterRetention(str *stream) {
	time.AfterFunc(eng.cfg.Retention, func() {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		if eng.streams[str.name] == str {
			delete(eng.streams, str.name)
		}
	})
}

// abort ends a stream that is not finished.
func (eng *Engine) abort(str *stream) {
	if str.ended() {
		return
	}
	str.abort()
	eng.counts.Aborted++
	eng.releaseCold(str)
	eng.queue = removeStream(eng.queue, str)
	eng.batch = removeStream(eng.batch, str)
	eng.recordLoad()
	eng.deleteAfterRetention(str)
}

func (eng *Engine) abortAll() {
	for _, str := range eng.streams {
		eng.abort(str)
	}
	eng.streams = map[string]*stream{}
}

func removeStream(strs []*stream, gone *stream) []*stream {
	for idx, str := range strs {
		if str == gone {
			return append(strs[:idx], strs[idx+1:]...)
		}
	}
	return strs
}

func (eng *Engine) recordLoad() {
	eng.pastLoad.add(time.Now(), len(eng.batch), len(eng.queue))
}

// loadHistory keeps the load figures of the last maxLag, so that reports can be stale.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// maxLag is how long load figures are kept.
const maxLag = 10 * time.Second

func (hst *loadHistory) add(at time.Time, running, queued int) {
	if num := len(hst.samples); num > 0 && hst.samples[num-1].running == running && hst.samples[num-1].queued == queued {
		return
	}
	old := sort.Search(len(hst.samples), func(idx int) bool { return at.Sub(hst.samples[idx].at) <= maxLag })
	// The newest of the old samples is kept, since it is still valid at the start of the period.
	hst.samples = append(hst.samples[max(0, old-1):], loadSample{
		at:      at,
		running: running,
		queued:  queued,
	})
}

// at returns the figures that were valid at a time.
func (hst *loadHistory) at(when time.Time) (running, queued int) {
	idx := sort.Search(len(hst.samples), func(idx int) bool { return hst.samples[idx].at.After(when) })
	if idx == 0 {
		return 0, 0
	}
	return hst.samples[idx-1].running, hst.samples[idx-1].queued
}
