package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// rebroadcastTime is how long each fact is repeated: a peer may miss some messages while it reconnects.
	rebroadcastTime = 2 * time.Second
	// maxBroadcastItems bounds the facts of one kind in a message. It equals the number of requests that a daemon has in
	// progress at one or two groups.
	maxBroadcastItems = 64
)

// broadcastBuffer holds facts that each gossip message repeats for rebroadcastTime.
type broadcastBuffer[T any] struct {
	clk clockwork.Clock

	mu    sync.Mutex
	items []broadcastItem[T]
}

type broadcastItem[T any] struct {
	val T
	// observedAt is when the fact was first observed, on this daemon's clock.
	observedAt time.Time
	// expiresAt is when the fact is no longer repeated.
	expiresAt time.Time
}

func newBroadcastBuffer[T any](clk clockwork.Clock) *broadcastBuffer[T] {
	return &broadcastBuffer[T]{
		clk: clk,
	}
}

// add includes a fact that is age old in the next messages. It returns false if the buffer already holds
// maxBroadcastItems facts.
func (buf *broadcastBuffer[T]) add(val T, age time.Duration) bool {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	buf.dropExpired()
	if len(buf.items) >= maxBroadcastItems {
		return false
	}
	now := buf.clk.Now()
	buf.items = append(buf.items, broadcastItem[T]{
		val:        val,
		observedAt: now.Add(-age),
		expiresAt:  now.Add(rebroadcastTime),
	})
	return true
}

// forEach calls visit for each fact that is still to be repeated, with the age of the fact.
func (buf *broadcastBuffer[T]) forEach(visit func(val T, age time.Duration)) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	buf.dropExpired()
	for _, itm := range buf.items {
		visit(itm.val, buf.clk.Since(itm.observedAt))
	}
}

// dropExpired removes the facts whose rebroadcastTime has passed. The caller holds the lock.
func (buf *broadcastBuffer[T]) dropExpired() {
	now := buf.clk.Now()
	kept := buf.items[:0]
	for _, itm := range buf.items {
		if now.Before(itm.expiresAt) {
			kept = append(kept, itm)
		}
	}
	buf.items = kept
}
