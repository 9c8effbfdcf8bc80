package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumintally/cumintally/internal/promptcache"
)

// holdersPerPrefix bounds the replicas that are remembered for one prefix.
const holdersPerPrefix = 4

// Policy names a load-balancing policy. All but PolicyScore are baselines for comparison.
type Policy string

// Policies of a router.
const (
	PolicyScore            Policy = "Score"
	PolicyRoundRobin       Policy = "RoundRobin"
	PolicyLeastOutstanding Policy = "LeastOutstanding"
	PolicyPowerOfTwo       Policy = "PowerOfTwo"
)

// Config holds the policy and the parameters of the score.
type Config struct {
	Policy Policy
	// Prefill is the time to the first token of a prompt that is not cached, on a replica of normal speed.
	Prefill time.Duration
	// Step is the time of a decoding step of a replica of normal speed.
	Step time.Duration
	// StepTimePerRequest is added to a step for each request in the batch.
	StepTimePerRequest time.Duration
	// AdapterLoad is the time to load an adapter that a replica lacks.
	AdapterLoad time.Duration
	// MaxScoredTokens bounds the number of output tokens whose time counts in the score.
	MaxScoredTokens int
	// ScoreTolerance is the share of the best score by which another replica may be worse and still be drawn.
	ScoreTolerance float64
	// ScorePerRequest is the time that one more request adds to the score of a replica. Requests with UnseenRequests need
	// it.
	ScorePerRequest time.Duration
	// HalfLife is the time in which the weight of an estimate halves, since engines report evictions late or never.
	HalfLife time.Duration
	// MaxPrefixes bounds the number of prefixes with estimates.
	MaxPrefixes int
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes  []uint64
	Adapter   string
	Priority  int
	MaxTokens int
	// Prefill overrides Config.Prefill if it is set, since prompts differ in length.
	Prefill time.Duration
	// StartWithin is the time within which the request must start; 0 sets no bound.
	StartWithin time.Duration
	// UnseenRequests is the expected number of requests that other daemons have sent to the replicas since the views
	// were made.
	UnseenRequests float64
}

// ReplicaView is what the daemon knows of one replica. Every field may be stale.
type ReplicaView struct {
	ReplicaID string
	// HasAdapter is true if the replica has the request's adapter, or if the request needs none.
	HasAdapter bool
	// Running, Waiting and Limit are numbers of requests over all daemons, including those that this daemon has sent
	// since the other daemons reported.
	Running int
	Waiting int
	Limit   int
	// EngineRunning and EngineQueued are the engine's own counts of running and queued requests, as old as its report.
	EngineRunning int
	EngineQueued  int
	// OwnRequests is the number of the daemon's own requests at the replica.
	OwnRequests int
	// StepTime is the reported time of a decoding step, which is long for a straggler.
	StepTime time.Duration
	// ExtraTime is the extra time of a request to the replica beyond its time there, such as the transfer to another
	// availability zone.
	ExtraTime time.Duration
	// PrefillSaved is the time saved by prefixes that are cached there, for callers that keep their own estimate of them and
	// pass no Prefixes.
	PrefillSaved time.Duration
}

// Router chooses among replicas.
type Router struct {
	config     Config
	estimator  *promptcache.Estimator
	roundRobin atomic.Uint64

	mu     sync.Mutex
	random *rand.Rand
	// scores and sortedScores are buffers that are reused, so that a choice allocates nothing.
	scores       []float64
	sortedScores []float64
}

// New returns a router that draws random numbers from rng.
func New(cfg Config, rng *rand.Rand) *Router {
	return &Router{
		config: cfg,
		estimator: promptcache.New(promptcache.Config{
			HalfLife:         cfg.HalfLife,
			MaxPrefixes:      cfg.MaxPrefixes,
			HoldersPerPrefix: holdersPerPrefix,
		}),
		random: rng,
	}
}

// RecordSent records that a request was sent to a replica, which computes and caches its prefixes.
func (rtr *Router) RecordSent(replicaID string, prefixes []uint64, now time.Time) {
	rtr.estimator.RecordCached(holder(replicaID), prefixes, now)
}

// ForgetReplica drops the estimates of a replica that has lost its cache.
func (rtr *Router) ForgetReplica(replicaID string) {
	rtr.estimator.Forget(replicaID)
}

// RecordCacheEvent records an engine's report that it cached or evicted a prefix.
func (rtr *Router) RecordCacheEvent(replicaID string, prefix uint64, evicted bool, now time.Time) {
	if evicted {
		rtr.estimator.RecordEvicted(replicaID, prefix)
		return
	}
	rtr.estimator.RecordCached(holder(replicaID), []uint64{prefix}, now)
}

// Choose returns the index of the view of the chosen replica. There must be at least one view.
func (rtr *Router) Choose(req Request, views []ReplicaView, now time.Time) int {
	switch rtr.config.Policy {
	case PolicyRoundRobin:
		return int(rtr.roundRobin.Add(1) % uint64(len(views)))
	case PolicyLeastOutstanding:
		return rtr.leastOutstanding(views)
	case PolicyPowerOfTwo:
		return rtr.powerOfTwo(views)
	default:
		return rtr.drawByScore(req, views, now)
	}
}

// drawByScore draws a replica at random, weighted by its score. If all daemons with the same stale view chose the
// replica with the best score, they would overload it. The requests that the view lacks are therefore assumed to raise
// the lowest scores to a common level, and the weight of a replica is the distance of its score below that level.
func (rtr *Router) drawByScore(req Request, views []ReplicaView, now time.Time) int {
	var mat promptcache.Matches
	rtr.estimator.Match(req.Prefixes, now, &mat)
	home := -1
	if len(req.Prefixes) > 0 {
		home = promptcache.Home(req.Prefixes[0], len(views), func(idx int) string { return views[idx].ReplicaID })
	}
	rtr.mu.Lock()
	defer rtr.mu.Unlock()
	scores := rtr.scores[:0]
	for idx := range views {
		scores = append(scores, float64(rtr.score(req, &views[idx], &mat, idx == home)))
	}
	rtr.scores = scores
	least := slices.Min(scores)
	rtr.sortedScores = append(rtr.sortedScores[:0], scores...)
	slices.Sort(rtr.sortedScores)
	bound := max(least*(1+rtr.config.ScoreTolerance), commonLevel(rtr.sortedScores, req.UnseenRequests*float64(rtr.config.ScorePerRequest)))
	total := 0.0
	for _, scr := range scores {
		total += drawWeight(scr, bound)
	}
	draw := rtr.random.Float64() * total
	for idx, scr := range scores {
		wgt := drawWeight(scr, bound)
		if wgt > 0 && draw < wgt {
			return idx
		}
		draw -= wgt
	}
	return slices.Index(scores, least)
}

// drawWeight returns the weight of a score in the random draw.
func drawWeight(score, bound float64) float64 {
	return max(0, bound-score)
}

// commonLevel returns the common score that the lowest of the sorted scores reach when the given amount of work is
// spread over them.
func commonLevel(sorted []float64, work float64) float64 {
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

// holder returns a replica as a holder of prefixes. ForgetReplica is called when its process or its group changes.
func holder(replicaID string) promptcache.Holder {
	return promptcache.Holder{
		ServerID: replicaID,
	}
}

// cachedShare returns the expected share of a prompt, given its number of prefixes, that is cached at a replica.
func cachedShare(mat *promptcache.Matches, replicaID string, prefixes int) float64 {
	cached, weight := mat.Leading(holder(replicaID))
	return weight * float64(cached) / float64(prefixes+1)
}

// missedDeadlinePenalty is added to the score of a replica at which the request would miss its deadline.
const missedDeadlinePenalty = time.Minute

// score returns the expected time to the first token plus that of the tokens that follow.
func (rtr *Router) score(req Request, viw *ReplicaView, mat *promptcache.Matches, home bool) time.Duration {
	slow := 1.0
	if rtr.config.Step > 0 && viw.StepTime > rtr.config.Step {
		slow = float64(viw.StepTime) / float64(rtr.config.Step)
	}
	hit := cachedShare(mat, viw.ReplicaID, len(req.Prefixes))
	if home {
		hit = max(hit, promptcache.HomeShare)
	}
	tokens := min(req.MaxTokens, rtr.config.MaxScoredTokens)
	step := time.Duration(slow*float64(rtr.config.Step)) + time.Duration(viw.Running)*rtr.config.StepTimePerRequest
	prefill := cmp.Or(req.Prefill, rtr.config.Prefill)
	first := viw.ExtraTime - viw.PrefillSaved + time.Duration(slow*float64(prefill)*(1-hit))
	// Requests of higher priority overtake lower ones in both queues.
	first += rtr.queueTime(viw, step) * time.Duration(10-min(9, max(0, req.Priority))) / 10
	if !viw.HasAdapter {
		first += rtr.config.AdapterLoad
	}
	if req.StartWithin > 0 && first > req.StartWithin {
		first += missedDeadlinePenalty
	}
	return first + time.Duration(tokens)*step
}

// queueTime returns the expected time in the daemons' queue for the replica and in the engine's own queue. A slot
// becomes free whenever one of Limit requests ends, and a place in the batch whenever one of EngineRunning requests
// ends.
func (rtr *Router) queueTime(viw *ReplicaView, step time.Duration) time.Duration {
	whole := time.Duration(rtr.config.MaxScoredTokens) * step
	wait := time.Duration(0)
	if ahead := viw.Running + viw.Waiting + 1 - viw.Limit; ahead > 0 {
		wait = time.Duration(ahead) * whole / time.Duration(max(1, viw.Limit))
	}
	if viw.EngineQueued > 0 {
		wait += time.Duration(viw.EngineQueued) * whole / time.Duration(max(1, viw.EngineRunning))
	}
	return wait
}
