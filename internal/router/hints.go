package router

import (
	"math"
	"sync"
	"time"
)

// replicasPerPrefix bounds the replicas that are remembered for one prefix.
const replicasPerPrefix = 4

// hintShards is the number of shards, each with its own lock.
const hintShards = 16

// hints records which replicas have probably cached a prefix. It is sharded by prefix.
type hints struct {
	halfLife    time.Duration
	maxPrefixes int
	shards      [hintShards]hintShard
}

type hintShard struct {
	mu       sync.Mutex
	prefixes map[uint64][replicasPerPrefix]hint
}

type hint struct {
	replicaID string
	cachedAt  time.Time
}

// matches holds the replicas that the hints name for one prompt.
type matches struct {
	replicas [2 * replicasPerPrefix]match
	count    int
}

type match struct {
	replicaID string
	blocks    int
	weight    float64
}

// cachedShare returns the expected share of a prompt, given its number of prefixes, that is cached at a replica.
func (mat *matches) cachedShare(replicaID string, prefixes int) float64 {
	for idx := range mat.count {
		if mat.replicas[idx].replicaID == replicaID {
			return mat.replicas[idx].weight * float64(mat.replicas[idx].blocks) / float64(prefixes+1)
		}
	}
	return 0
}

func newHints(size int, halfLife time.Duration) *hints {
	hnt := &hints{
		halfLife:    halfLife,
		maxPrefixes: size,
	}
	for idx := range hnt.shards {
		hnt.shards[idx].prefixes = map[uint64][replicasPerPrefix]hint{}
	}
	return hnt
}

func (hnt *hints) shard(prefix uint64) *hintShard {
	return &hnt.shards[prefix%hintShards]
}

func (hnt *hints) recordCached(replicaID string, prefixes []uint64, now time.Time) {
	for _, pfx := range prefixes {
		shd := hnt.shard(pfx)
		shd.mu.Lock()
		shd.add(pfx, replicaID, now, hnt.maxPrefixes/hintShards)
		shd.mu.Unlock()
	}
}

func (shd *hintShard) add(prefix uint64, replicaID string, now time.Time, size int) {
	ents, ok := shd.prefixes[prefix]
	if !ok && len(shd.prefixes) >= max(1, size) {
		// Go's map iteration order is random enough to choose the prefix to evict; a lost hint costs one prefill.
		for old := range shd.prefixes {
			delete(shd.prefixes, old)
			break
		}
	}
	oldest := 0
	for idx := range ents {
		if ents[idx].replicaID == replicaID {
			oldest = idx
			break
		}
		if ents[idx].cachedAt.Before(ents[oldest].cachedAt) {
			oldest = idx
		}
	}
	ents[oldest] = hint{
		replicaID: replicaID,
		cachedAt:  now,
	}
	shd.prefixes[prefix] = ents
}

func (hnt *hints) recordEvicted(replicaID string, prefix uint64) {
	shd := hnt.shard(prefix)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	shd.remove(prefix, replicaID)
}

func (shd *hintShard) remove(prefix uint64, replicaID string) {
	ents, ok := shd.prefixes[prefix]
	if !ok {
		return
	}
	for idx := range ents {
		if ents[idx].replicaID == replicaID {
			ents[idx] = hint{}
		}
	}
	shd.prefixes[prefix] = ents
}

func (hnt *hints) forgetReplica(replicaID string) {
	for idx := range hnt.shards {
		shd := &hnt.shards[idx]
		shd.mu.Lock()
		for pfx := range shd.prefixes {
			shd.remove(pfx, replicaID)
		}
		shd.mu.Unlock()
	}
}

// match counts the leading prefixes that each replica has probably cached, weighted by the age of the last one.
func (hnt *hints) match(prefixes []uint64, now time.Time, mat *matches) {
	for pos, pfx := range prefixes {
		shd := hnt.shard(pfx)
		shd.mu.Lock()
		ents, ok := shd.prefixes[pfx]
		shd.mu.Unlock()
		if !ok {
			return
		}
		for idx := range ents {
			if ents[idx].replicaID != "" {
				mat.add(ents[idx].replicaID, pos, hnt.ageWeight(now.Sub(ents[idx].cachedAt)))
			}
		}
	}
}

func (hnt *hints) ageWeight(age time.Duration) float64 {
	if hnt.halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(hnt.halfLife))
}

func (mat *matches) add(replicaID string, pos int, weight float64) {
	for idx := range mat.count {
		if mat.replicas[idx].replicaID == replicaID {
			// An engine can reuse a cached block only if it has cached all blocks before it.
			if mat.replicas[idx].blocks == pos {
				mat.replicas[idx].blocks++
				mat.replicas[idx].weight = weight
			}
			return
		}
	}
	if pos == 0 && mat.count < len(mat.replicas) {
		mat.replicas[mat.count] = match{
			replicaID: replicaID,
			blocks:    1,
			weight:    weight,
		}
		mat.count++
	}
}
