package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// tellFor is the time for which news are told: a peer may miss some words while its connection is made anew.
	tellFor = 2 * time.Second
	// maxNews bounds the news of one kind in a word: as many as a daemon has requests in progress at a group or two.
	maxNews = 64
)

// news are facts that are told with each word until they are tellFor old.
type news[T any] struct {
	clk clockwork.Clock

	mu    sync.Mutex
	items []newsItem[T]
}

type newsItem[T any] struct {
	val T
	// since is when the fact came about.
	since time.Time
	// until is the time up to which it is told.
	until time.Time
}

func newNews[T any](clk clockwork.Clock) *news[T] {
	return &news[T]{
		clk: clk,
	}
}

// add makes a fact part of the next words; it reports false when too many are told already.
func (nws *news[T]) add(val T, age time.Duration) bool {
	nws.mu.Lock()
	defer nws.mu.Unlock()
	nws.expire()
	if len(nws.items) >= maxNews {
		return false
	}
	now := nws.clk.Now()
	nws.items = append(nws.items, newsItem[T]{
		val:   val,
		since: now.Add(-age),
		until: now.Add(tellFor),
	})
	return true
}

// fresh returns the facts to tell with their ages.
func (nws *news[T]) fresh(take func(val T, age time.Duration)) {
	nws.mu.Lock()
	defer nws.mu.Unlock()
	nws.expire()
	for _, itm := range nws.items {
		take(itm.val, nws.clk.Since(itm.since))
	}
}

// expire forgets the facts that have been told for long enough; the lock is held.
func (nws *news[T]) expire() {
	now := nws.clk.Now()
	kept := nws.items[:0]
	for _, itm := range nws.items {
		if now.Before(itm.until) {
			kept = append(kept, itm)
		}
	}
	nws.items = kept
}
