package router

import (
	"math"
	"sync"
	"time"
)

// replicasPerPrefix bounds the replicas that are kept for one prefix.
const replicasPerPrefix = 4

const hintShards = 16

// hints remember which replicas are likely to have a prefix cached.
type hints struct {
	halfLife time.Duration
	size     int
	shards   [hintShards]hintShard
}

type hintShard struct {
	mu       sync.Mutex
	prefixes map[uint64][replicasPerPrefix]hint
}

type hint struct {
	group string
	at    time.Time
}

// found holds what the hints say of one prompt.
type found struct {
	groups [2 * replicasPerPrefix]foundGroup
	num    int
}

type foundGroup struct {
	group  string
	blocks int
	weight float64
}

// share returns the part of a prompt of so many prefixes that is likely to be cached at a group.
func (fnd *found) share(group string, prefixes int) float64 {
	for idx := range fnd.num {
		if fnd.groups[idx].group == group {
			return fnd.groups[idx].weight * float64(fnd.groups[idx].blocks) / float64(prefixes+1)
		}
	}
	return 0
}

func newHints(size int, halfLife time.Duration) *hints {
	hnt := &hints{
		halfLife: halfLife,
		size:     size,
	}
	for idx := range hnt.shards {
		hnt.shards[idx].prefixes = map[uint64][replicasPerPrefix]hint{}
	}
	return hnt
}

func (hnt *hints) shard(prefix uint64) *hintShard {
	return &hnt.shards[prefix%hintShards]
}

func (hnt *hints) cached(group string, prefixes []uint64, now time.Time) {
	for _, pfx := range prefixes {
		shd := hnt.shard(pfx)
		shd.mu.Lock()
		shd.add(pfx, group, now, hnt.size/hintShards)
		shd.mu.Unlock()
	}
}

func (shd *hintShard) add(prefix uint64, group string, now time.Time, size int) {
	ents, ok := shd.prefixes[prefix]
	if !ok && len(shd.prefixes) >= max(1, size) {
		// Go's map order is random enough to choose which hint to drop; a lost hint costs one prefill.
		for old := range shd.prefixes {
			delete(shd.prefixes, old)
			break
		}
	}
	oldest := 0
	for idx := range ents {
		if ents[idx].group == group {
			oldest = idx
			break
		}
		if ents[idx].at.Before(ents[oldest].at) {
			oldest = idx
		}
	}
	ents[oldest] = hint{
		group: group,
		at:    now,
	}
	shd.prefixes[prefix] = ents
}

func (hnt *hints) evicted(group string, prefix uint64) {
	shd := hnt.shard(prefix)
	shd.mu.Lock()
	defer shd.mu.Unlock()
	shd.remove(prefix, group)
}

func (shd *hintShard) remove(prefix uint64, group string) {
	ents, ok := shd.prefixes[prefix]
	if !ok {
		return
	}
	for idx := range ents {
		if ents[idx].group == group {
			ents[idx] = hint{}
		}
	}
	shd.prefixes[prefix] = ents
}

func (hnt *hints) lost(group string) {
	for idx := range hnt.shards {
		shd := &hnt.shards[idx]
		shd.mu.Lock()
		for pfx := range shd.prefixes {
			shd.remove(pfx, group)
		}
		shd.mu.Unlock()
	}
}

// find counts the leading prefixes that each replica is likely to have, weighted by the age of the last.
func (hnt *hints) find(prefixes []uint64, now time.Time, fnd *found) {
	for pos, pfx := range prefixes {
		shd := hnt.shard(pfx)
		shd.mu.Lock()
		ents, ok := shd.prefixes[pfx]
		shd.mu.Unlock()
		if !ok {
			return
		}
		for idx := range ents {
			if ents[idx].group != "" {
				fnd.add(ents[idx].group, pos, hnt.weight(now.Sub(ents[idx].at)))
			}
		}
	}
}

func (hnt *hints) weight(age time.Duration) float64 {
	if hnt.halfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(hnt.halfLife))
}

func (fnd *found) add(group string, pos int, weight float64) {
	for idx := range fnd.num {
		if fnd.groups[idx].group == group {
			// A block after one that is missing is of no use.
			if fnd.groups[idx].blocks == pos {
				fnd.groups[idx].blocks++
				fnd.groups[idx].weight = weight
			}
			return
		}
	}
	if pos == 0 && fnd.num < len(fnd.groups) {
		fnd.groups[fnd.num] = foundGroup{
			group:  group,
			blocks: 1,
			weight: weight,
		}
		fnd.num++
	}
}
