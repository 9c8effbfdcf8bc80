package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
)

// maxCacheEvents is the maximum number of events that are kept for readers; the oldest are dropped first.
const maxCacheEvents = 10_000

// cache is an LRU cache of prefix blocks. It publishes its changes late and with gaps.
type cache struct {
	mu           sync.Mutex
	capacity     int
	recency      *list.List
	blocks       map[uint64]*list.Element
	lastSequence uint64
	events       []delayedEvent
}

// delayedEvent is an event that readers see only after a time.
type delayedEvent struct {
	event     backend.CacheEvent
	visibleAt time.Time
}

func newCache(size int) *cache {
	return &cache{
		capacity: size,
		recency:  list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// insert caches the blocks of a prompt and returns how many of its leading blocks were cached before. Every gap-th event is
// lost; the others are visible after the given time.
func (cch *cache) insert(sums []uint64, after time.Time, gap int) int {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	hit := 0
	for idx, sum := range sums {
		if elm, ok := cch.blocks[sum]; ok {
			cch.recency.MoveToFront(elm)
			if hit == idx {
				hit++
			}
			continue
		}
		cch.blocks[sum] = cch.recency.PushFront(sum)
		cch.publish(sum, false, after, gap)
		if cch.recency.Len() > cch.capacity {
			old := cch.recency.Back()
			cch.recency.Remove(old)
			evicted, _ := old.Value.(uint64)
			delete(cch.blocks, evicted)
			cch.publish(evicted, true, after, gap)
		}
	}
	return hit
}

func (cch *cache) publish(sum uint64, evicted bool, after time.Time, gap int) {
	cch.lastSequence++
	if gap > 0 && cch.lastSequence%uint64(gap) == 0 {
		return
	}
	if len(cch.events) == maxCacheEvents {
		cch.events = cch.events[1:]
	}
	cch.events = append(cch.events, delayedEvent{
		event: backend.CacheEvent{
			Sequence: cch.lastSequence,
			Prefix:   sum,
			Evicted:  evicted,
		},
		visibleAt: after,
	})
}

// clear removes all blocks without publishing events, as an engine does that restarts or turns cold.
func (cch *cache) clear() {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	cch.recency.Init()
	clear(cch.blocks)
}

// eventsSince returns the events after a sequence number that are visible now.
func (cch *cache) eventsSince(seq uint64, now time.Time) []backend.CacheEvent {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	evts := []backend.CacheEvent{}
	for _, lat := range cch.events {
		if lat.event.Sequence > seq && !now.Before(lat.visibleAt) {
			evts = append(evts, lat.event)
		}
	}
	return evts
}

func (eng *Engine) cacheEvents(rsw http.ResponseWriter, req *http.Request) {
	var seq uint64
	if text := req.URL.Query().Get("since"); text != "" {
		num, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(rsw, "since is not a sequence number", http.StatusBadRequest)
			return
		}
		seq = num
	}
	respondJSON(rsw, eng.prefixCache.eventsSince(seq, time.Now()))
}
