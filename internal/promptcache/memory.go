package promptcache

import (
	"container/list"
	"sync"
	"time"
)

// maxMemories bounds the servers whose memory is estimated, and maxRetained the prefixes of each, together to about 9 MB
// (130 bytes for each prefix). Only heads of groups receive prompts; a server beyond the bound loses its estimate of the
// memory, and its prefixes only age.
const (
	maxMemories = 128
	maxRetained = 512
)

// Occupancy is the load on the memory of an engine in tokens.
type Occupancy struct {
	// Capacity is the number of tokens that the memory holds, 0 if it is not known.
	Capacity int
	// InFlight is the number of tokens of the requests that run or wait there.
	InFlight int
}

// memories holds the estimated contents of the memory of each server.
type memories struct {
	mu      sync.Mutex
	servers map[string]*memory
}

// memory is the estimated content of a holder's memory. The prefixes used last are at the front.
type memory struct {
	holder   Holder
	recency  *list.List
	elements map[uint64]*list.Element
	tokens   int
}

// retained is a cached prefix with the number of tokens that it adds to the prefix before it.
type retained struct {
	prefix uint64
	tokens int
	usedAt time.Time
}

// RecordRead records that a holder has just read a prompt with the given prefixes. The number of tokens of each prefix
// is in tokens. Where the memory is known and full, the prefixes used least recently are dropped from the estimate, as
// engines evict them.
func (est *Estimator) RecordRead(hld Holder, prefixes []uint64, tokens []int, occ Occupancy, now time.Time) {
	est.RecordCached(hld, prefixes, now)
	if occ.Capacity <= 0 {
		return
	}
	est.memories.record(hld, prefixes, tokens, now)
	est.Shrink(hld, occ, now)
}

// Shrink drops the estimates of a holder that no longer fit into its memory beside the requests in flight.
func (est *Estimator) Shrink(hld Holder, occ Occupancy, now time.Time) {
	if occ.Capacity <= 0 {
		return
	}
	var oldest time.Time
	if est.config.Retention > 0 {
		oldest = now.Add(-est.config.Retention)
	}
	for _, pfx := range est.memories.shrink(hld, occ.Capacity-occ.InFlight, oldest) {
		est.remove(hld.ServerID, pfx)
	}
}

func (mms *memories) record(hld Holder, prefixes []uint64, tokens []int, now time.Time) {
	mms.mu.Lock()
	defer mms.mu.Unlock()
	mem, ok := mms.servers[hld.ServerID]
	if !ok || mem.holder != hld {
		mms.makeRoom()
		mem = &memory{
			holder:   hld,
			recency:  list.New(),
			elements: map[uint64]*list.Element{},
		}
		mms.servers[hld.ServerID] = mem
	}
	// The longest prefix is recorded first, so that it is dropped before those that it contains.
	for idx := len(prefixes) - 1; idx >= 0; idx-- {
		own := tokens[idx]
		if idx > 0 {
			own -= tokens[idx-1]
		}
		mem.use(prefixes[idx], own, now)
	}
}

// makeRoom drops the estimate of the server that was used least recently if there are too many.
func (mms *memories) makeRoom() {
	if len(mms.servers) < maxMemories {
		return
	}
	oldest := ""
	for id, mem := range mms.servers {
		if oldest == "" || mem.lastUse().Before(mms.servers[oldest].lastUse()) {
			oldest = id
		}
	}
	delete(mms.servers, oldest)
}

// lastUse returns the time of the last use of any prefix, the zero time if there is none.
func (mem *memory) lastUse() time.Time {
	if elm := mem.recency.Front(); elm != nil {
		ret, _ := elm.Value.(retained)
		return ret.usedAt
	}
	return time.Time{}
}

func (mem *memory) use(prefix uint64, tokens int, now time.Time) {
	ret := retained{
		prefix: prefix,
		tokens: max(0, tokens),
		usedAt: now,
	}
	if elm, ok := mem.elements[prefix]; ok {
		mem.drop(elm)
	}
	mem.elements[prefix] = mem.recency.PushFront(ret)
	mem.tokens += ret.tokens
}

// drop removes a prefix and returns it.
func (mem *memory) drop(elm *list.Element) uint64 {
	ret, _ := mem.recency.Remove(elm).(retained)
	delete(mem.elements, ret.prefix)
	mem.tokens -= ret.tokens
	return ret.prefix
}

// shrink drops the prefixes used least recently until at most limit tokens are left, and those last used before oldest.
// It returns the dropped ones.
func (mms *memories) shrink(hld Holder, limit int, oldest time.Time) []uint64 {
	mms.mu.Lock()
	defer mms.mu.Unlock()
	mem, ok := mms.servers[hld.ServerID]
	if !ok || mem.holder != hld {
		return nil
	}
	var dropped []uint64
	for elm := mem.recency.Back(); elm != nil; elm = mem.recency.Back() {
		ret, _ := elm.Value.(retained)
		if mem.tokens <= max(0, limit) && mem.recency.Len() <= maxRetained && !ret.usedAt.Before(oldest) {
			break
		}
		dropped = append(dropped, mem.drop(elm))
	}
	if mem.recency.Len() == 0 {
		delete(mms.servers, hld.ServerID)
	}
	return dropped
}

func (mms *memories) remove(serverID string, prefix uint64) {
	mms.mu.Lock()
	defer mms.mu.Unlock()
	mem, ok := mms.servers[serverID]
	if !ok {
		return
	}
	if elm, ok := mem.elements[prefix]; ok {
		mem.drop(elm)
	}
}

func (mms *memories) forget(serverID string) {
	mms.mu.Lock()
	defer mms.mu.Unlock()
	delete(mms.servers, serverID)
}
