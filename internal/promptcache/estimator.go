package promptcache

import (
	"math"
	"slices"
	"sync"
	"time"
)

// maxHolders bounds the holders that are remembered for one prefix.
const maxHolders = 16

// shardCount is the number of shards, each with its own lock.
const shardCount = 16

// Config holds the parameters of the estimates.
type Config struct {
	// Retention is the time for which a server is assumed to retain a prefix after its last use; the weight of an
	// estimate decreases evenly to 0 within it. If it is 0, HalfLife applies.
	Retention time.Duration
	// HalfLife is the time in which the weight of an estimate halves; 0 keeps the weight.
	HalfLife time.Duration
	// MaxPrefixes bounds the number of prefixes with estimates, and HoldersPerPrefix the holders that are remembered for
	// each, up to 16. Of a part that all prompts begin with, only as many holders are known.
	MaxPrefixes      int
	HoldersPerPrefix int
}

// Holder is a process of a server, in one epoch of its group, that may hold cached prefixes. Another process, and the
// same process in another epoch, has an empty cache.
type Holder struct {
	ServerID  string
	StartTime int64
	Group     string
	Epoch     uint64
}

// Estimator holds the estimates, sharded by prefix.
type Estimator struct {
	config   Config
	shards   [shardCount]shard
	memories memories
}

type shard struct {
	mu       sync.Mutex
	prefixes map[uint64][]estimate
}

type estimate struct {
	holder   Holder
	cachedAt time.Time
}

// New returns an estimator without estimates.
func New(cfg Config) *Estimator {
	est := &Estimator{
		config: cfg,
		memories: memories{
			servers: map[string]*memory{},
		},
	}
	for idx := range est.shards {
		est.shards[idx].prefixes = map[uint64][]estimate{}
	}
	return est
}

func (est *Estimator) shard(prefix uint64) *shard {
	return &est.shards[prefix%shardCount]
}

// RecordCached records that a holder has just read or reused the prefixes with the given hashes.
func (est *Estimator) RecordCached(hld Holder, prefixes []uint64, now time.Time) {
	for _, pfx := range prefixes {
		shd := est.shard(pfx)
		shd.mu.Lock()
		shd.add(pfx, hld, now, &est.config)
		shd.mu.Unlock()
	}
}

func (shd *shard) add(prefix uint64, hld Holder, now time.Time, cfg *Config) {
	ents, ok := shd.prefixes[prefix]
	if !ok && len(shd.prefixes) >= max(1, cfg.MaxPrefixes/shardCount) {
		// Go's map iteration order is random enough to choose the prefix to drop; a lost estimate costs one prefill.
		for old := range shd.prefixes {
			delete(shd.prefixes, old)
			break
		}
	}
	ent := estimate{
		holder:   hld,
		cachedAt: now,
	}
	oldest := 0
	for idx := range ents {
		if ents[idx].holder.ServerID == hld.ServerID {
			ents[idx] = ent
			return
		}
		if ents[idx].cachedAt.Before(ents[oldest].cachedAt) {
			oldest = idx
		}
	}
	if len(ents) < min(max(1, cfg.HoldersPerPrefix), maxHolders) {
		shd.prefixes[prefix] = append(ents, ent)
		return
	}
	ents[oldest] = ent
}

// RecordEvicted records a report that a server evicted a prefix.
func (est *Estimator) RecordEvicted(serverID string, prefix uint64) {
	est.memories.remove(serverID, prefix)
	est.remove(serverID, prefix)
}

func (est *Estimator) remove(serverID string, prefix uint64) {
	shd := est.shard(prefix)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	shd.remove(prefix, serverID)
}

func (shd *shard) remove(prefix uint64, serverID string) {
	ents := slices.DeleteFunc(shd.prefixes[prefix], func(ent estimate) bool { return ent.holder.ServerID == serverID })
	if len(ents) == 0 {
		delete(shd.prefixes, prefix)
		return
	}
	shd.prefixes[prefix] = ents
}

// Forget drops the estimates of a server that has lost its cache.
func (est *Estimator) Forget(serverID string) {
	est.memories.forget(serverID)
	for idx := range est.shards {
		shd := &est.shards[idx]
		shd.mu.Lock()
		for pfx := range shd.prefixes {
			shd.remove(pfx, serverID)
		}
		shd.mu.Unlock()
	}
}

// Prefixes returns the number of prefixes with estimates.
func (est *Estimator) Prefixes() int {
	num := 0
	for idx := range est.shards {
		est.shards[idx].mu.Lock()
		num += len(est.shards[idx].prefixes)
		est.shards[idx].mu.Unlock()
	}
	return num
}

// Match fills mat with the number of leading prefixes that each holder has probably cached, weighted by the age of the
// last one. The prefixes are those of one prompt, shortest first.
func (est *Estimator) Match(prefixes []uint64, now time.Time, mat *Matches) {
	for pos, pfx := range prefixes {
		if !est.matchOne(pfx, pos, now, mat) {
			return
		}
	}
}

// matchOne adds the holders of the prefix at a position. It returns false if there is none.
func (est *Estimator) matchOne(prefix uint64, pos int, now time.Time, mat *Matches) bool {
	shd := est.shard(prefix)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	ents := shd.prefixes[prefix]
	for idx := range ents {
		if wgt := est.ageWeight(now.Sub(ents[idx].cachedAt)); wgt > 0 {
			mat.add(ents[idx].holder, pos, wgt)
		}
	}
	return len(ents) > 0
}

func (est *Estimator) ageWeight(age time.Duration) float64 {
	switch {
	case est.config.Retention > 0:
		return max(0, 1-float64(age)/float64(est.config.Retention))
	case est.config.HalfLife > 0:
		return math.Exp2(-float64(age) / float64(est.config.HalfLife))
	default:
		return 1
	}
}
