package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// rebroadcastTime is how long each fact is kept for peers that have not been sent it: a peer may be unreachable for a
	// moment.
	rebroadcastTime = 2 * time.Second
	// maxBroadcastItems bounds the facts of one kind in a message. It equals the number of requests that a daemon has in
	// progress at one or two groups.
	maxBroadcastItems = 64
)

// broadcastBuffer holds the facts of the last rebroadcastTime for the other daemons. Facts are numbered from 1, so that each
// peer is sent each fact once over one connection.
type broadcastBuffer[T any] struct {
	clk clockwork.Clock

	mu    sync.Mutex
	items []broadcastItem[T]
	// latest is the number of the latest fact, 0 if there was none yet.
	latest uint64
}

type broadcastItem[T any] struct {
	val    T
	number uint64
	// observedAt is when the fact was first observed, on this daemon's clock.
	observedAt time.Time
	// expiresAt is when the fact is no longer sent.
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
	buf.latest++
	buf.items = append(buf.items, broadcastItem[T]{
		val:        val,
		number:     buf.latest,
		observedAt: now.Add(-age),
		expiresAt:  now.Add(rebroadcastTime),
	})
	return true
}

// forEachAfter calls visit for each fact with a number above sent, with the age of the fact. It returns the number of the
// latest fact.
func (buf *broadcastBuffer[T]) forEachAfter(sent uint64, visit func(val T, age time.Duration)) uint64 {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	buf.dropExpired()
	for _, itm := range buf.items {
		if itm.number > sent {
			visit(itm.val, buf.clk.Since(itm.observedAt))
		}
	}
	return buf.latest
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
