package engine

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 10_000

// cache holds the least recently used prefix blocks and publishes its changes late and with gaps.
type cache struct {
	mu     sync.Mutex
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	seq    uint64
	events []lateEvent
}

type lateEvent struct {
	event backend.CacheEvent
	after time.Time
}

func newCache(size int) *cache {
	return &cache{
		size:   size,
		order:  list.New(),
		blocks: map[uint64]*list.Element{},
	}
}

// use caches the blocks of a prompt and returns how many of its first blocks were cached before.
func (cch *cache) use(sums []uint64, after time.Time, gap int) int {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	hit := 0
	for idx, sum := range sums {
		if elm, ok := cch.blocks[sum]; ok {
			cch.order.MoveToFront(elm)
			if hit == idx {
				hit++
			}
			continue
		}
		cch.blocks[sum] = cch.order.PushFront(sum)
		cch.publish(sum, false, after, gap)
		if cch.order.Len() > cch.size {
			old := cch.order.Back()
			cch.order.Remove(old)
			evicted, _ := old.Value.(uint64)
			delete(cch.blocks, evicted)
			cch.publish(evicted, true, after, gap)
		}
	}
	return hit
}

func (cch *cache) publish(sum uint64, evicted bool, after time.Time, gap int) {
	cch.seq++
	if gap > 0 && cch.seq%uint64(gap) == 0 {
		return
	}
	if len(cch.events) == maxCacheEvents {
		cch.events = cch.events[1:]
	}
	cch.events = append(cch.events, lateEvent{
		event: backend.CacheEvent{
			Sequence: cch.seq,
			Prefix:   sum,
			Evicted:  evicted,
		},
		after: after,
	})
}

// clear forgets all blocks without events, as an engine that restarts or turns cold does.
func (cch *cache) clear() {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	cch.order.Init()
	clear(cch.blocks)
}

// since returns the events after a sequence number that are due.
func (cch *cache) since(seq uint64, now time.Time) []backend.CacheEvent {
	cch.mu.Lock()
	defer cch.mu.Unlock()
	evts := []backend.CacheEvent{}
	for _, lat := range cch.events {
		if lat.event.Sequence > seq && !now.Before(lat.after) {
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
	answer(rsw, eng.cch.since(seq, time.Now()))
}
