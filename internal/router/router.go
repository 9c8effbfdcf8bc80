package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy names a way of choosing; all but PolicyScore are baselines to measure against.
type Policy string

// Policies of a router.
const (
	PolicyScore            Policy = "Score"
	PolicyRoundRobin       Policy = "RoundRobin"
	PolicyLeastOutstanding Policy = "LeastOutstanding"
	PolicyPowerOfTwo       Policy = "PowerOfTwo"
)

// Config holds the named numbers of the score.
type Config struct {
	Policy Policy
	// Prefill is the time to the first token of a prompt that is not cached, on a replica that is not slow.
	Prefill time.Duration
	// Step is the time of a decoding step of a replica that is not slow.
	Step time.Duration
	// StepGrowth is added to a step for each request in the batch.
	StepGrowth time.Duration
	// AdapterLoad is the time to load an adapter that a replica lacks.
	AdapterLoad time.Duration
	// Tokens is the number of tokens over which the time between tokens counts, at most.
	Tokens int
	// Near is the part of the best score within which another replica is as good.
	Near float64
	// Growth is what one more request adds to the score of a replica; it is needed for requests with Unseen.
	Growth time.Duration
	// HalfLife is the time after which a hint counts half, since evictions are learnt late or never.
	HalfLife time.Duration
	// MaxPrefixes bounds the prefixes that hints are kept of.
	MaxPrefixes int
}

// Request is what the choice depends on.
type Request struct {
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes  []uint64
	Adapter   string
	Priority  int
	MaxTokens int
	// Prefill takes the place of Config.Prefill if it is set: prompts differ in length.
	Prefill time.Duration
	// Within is the time in which the request must start.
	Within time.Duration
	// Unseen is the expected number of requests that other daemons have sent to the replicas since the views.
	Unseen float64
}

// View is what the daemon knows of one replica; all of it may be late.
type View struct {
	Group string
	// HasAdapter says that the replica has the request's adapter, or that the request needs none.
	HasAdapter bool
	// Running, Waiting and Limit are counts over all daemons, the daemon's own since then included.
	Running int
	Waiting int
	Limit   int
	// Batch and Queued are the engine's own counts, as old as its report.
	Batch  int
	Queued int
	// Own is the number of the daemon's own requests at the replica.
	Own int
	// StepTime is the reported time of a decoding step; a straggler reports a long one.
	StepTime time.Duration
	// Distance is what a request to the replica costs beyond its time there, as the way to another zone.
	Distance time.Duration
}

// Router chooses among replicas.
type Router struct {
	cfg  Config
	hnt  *hints
	turn atomic.Uint64

	mu  sync.Mutex
	rng *rand.Rand
	// scores and sorted are the memory of one choice.
	scores []float64
	sorted []float64
}

// New returns a router that draws from rng.
func New(cfg Config, rng *rand.Rand) *Router {
	return &Router{
		cfg: cfg,
		hnt: newHints(cfg.MaxPrefixes, cfg.HalfLife),
		rng: rng,
	}
}

// Sent records that a replica computes, and so caches, the prefixes of a request.
func (rtr *Router) Sent(group string, prefixes []uint64, now time.Time) {
	rtr.hnt.cached(group, prefixes, now)
}

// Lost drops the hints of a replica whose cache is gone.
func (rtr *Router) Lost(group string) {
	rtr.hnt.lost(group)
}

// Event takes an engine's event that it cached or evicted a prefix.
func (rtr *Router) Event(group string, prefix uint64, evicted bool, now time.Time) {
	if evicted {
		rtr.hnt.evicted(group, prefix)
		return
	}
	rtr.hnt.cached(group, []uint64{prefix}, now)
}

// Choose returns the index of a view; there must be at least one.
func (rtr *Router) Choose(req Request, views []View, now time.Time) int {
	switch rtr.cfg.Policy {
	case PolicyRoundRobin:
		return int(rtr.turn.Add(1) % uint64(len(views)))
	case PolicyLeastOutstanding:
		return rtr.leastOutstanding(views)
	case PolicyPowerOfTwo:
		return rtr.powerOfTwo(views)
	default:
		return rtr.best(req, views, now)
	}
}

// best draws a replica. Daemons with the same late view that all chose its best replica would fill that one, so that
// the requests which the view lacks count as spread evenly: they raise the lowest scores to a common level, and each
// replica is drawn by what it lies below that level.
func (rtr *Router) best(req Request, views []View, now time.Time) int {
	var fnd found
	rtr.hnt.find(req.Prefixes, now, &fnd)
	home := rtr.home(req, views)
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	scores := rtr.scores[:0]
	for idx := range views {
		scores = append(scores, float64(rtr.score(req, &views[idx], &fnd, idx == home)))
	}
	rtr.scores = scores
	least := slices.Min(scores)
	rtr.sorted = append(rtr.sorted[:0], scores...)
	slices.Sort(rtr.sorted)
	bound := max(least*(1+rtr.cfg.Near), level(rtr.sorted, req.Unseen*float64(rtr.cfg.Growth)))
	total := 0.0
	for _, scr := range scores {
		total += weight(scr, bound)
	}
	draw := rtr.rng.Float64() * total
	for idx, scr := range scores {
		wgt := weight(scr, bound)
		if wgt > 0 && draw < wgt {
			return idx
		}
		draw -= wgt
	}
	return slices.Index(scores, least)
}

// weight is the part of the draw that a score gets.
func weight(score, bound float64) float64 {
	return max(0, bound-score)
}

// level returns the score that the lowest of the sorted scores reach when work is added to them so that they become equal.
func level(sorted []float64, work float64) float64 {
	sum := 0.0
	for idx, scr := range sorted {
		sum += scr
		high := (sum + work) / float64(idx+1)
		if idx+1 == len(sorted) || high <= sorted[idx+1] {
			return high
		}
	}
	return 0
}

// home returns the replica that daemons without a hint agree on for a prompt's first prefix, so that it
// becomes cached at one replica rather than at all of them; -1 if the prompt has none.
func (rtr *Router) home(req Request, views []View) int {
	if len(req.Prefixes) == 0 {
		return -1
	}
	home := -1
	var most uint64
	for idx := range views {
		sum := xxhash.Sum64String(views[idx].Group) ^ req.Prefixes[0]
		// Mixes the exclusive or, whose order would otherwise depend on its high bits only.
		sum *= 0x9e3779b97f4a7c15
		sum ^= sum >> 29
		if home < 0 || sum > most {
			home = idx
			most = sum
		}
	}
	return home
}

// homeHint is the share of a prompt that counts as cached at its home before any hint is known.
const homeHint = 0.5

// latePenalty is added to the score of a replica that would miss the deadline.
const latePenalty = time.Minute

// score is the expected time to the first token and to the tokens that follow.
func (rtr *Router) score(req Request, viw *View, fnd *found, home bool) time.Duration {
	slow := 1.0
	if rtr.cfg.Step > 0 && viw.StepTime > rtr.cfg.Step {
		slow = float64(viw.StepTime) / float64(rtr.cfg.Step)
	}
	hit := fnd.share(viw.Group, len(req.Prefixes))
	if home {
		hit = max(hit, homeHint)
	}
	tokens := min(req.MaxTokens, rtr.cfg.Tokens)
	step := time.Duration(slow*float64(rtr.cfg.Step)) + time.Duration(viw.Running)*rtr.cfg.StepGrowth
	prefill := cmp.Or(req.Prefill, rtr.cfg.Prefill)
	first := viw.Distance + time.Duration(slow*float64(prefill)*(1-hit))
	// A higher priority passes the lower ones in both queues.
	first += rtr.wait(viw, step) * time.Duration(10-min(9, max(0, req.Priority))) / 10
	if !viw.HasAdapter {
		first += rtr.cfg.AdapterLoad
	}
	if req.Within > 0 && first > req.Within {
		first += latePenalty
	}
	return first + time.Duration(tokens)*step
}

// wait is the expected time in the queue in front of the replica and in the engine's own. A slot becomes
// free each time that one of Limit requests ends, a place in the batch when one of Batch requests does.
func (rtr *Router) wait(viw *View, step time.Duration) time.Duration {
	whole := time.Duration(rtr.cfg.Tokens) * step
	wait := time.Duration(0)
	if ahead := viw.Running + viw.Waiting + 1 - viw.Limit; ahead > 0 {
		wait = time.Duration(ahead) * whole / time.Duration(max(1, viw.Limit))
	}
	if viw.Queued > 0 {
		wait += time.Duration(viw.Queued) * whole / time.Duration(max(1, viw.Batch))
	}
	return wait
}
