package dispatch

import (
	"context"
	"strings"
	"sync"
)

// history holds the events that a request has produced so far; any number of readers follow it.
type history struct {
	mu      sync.Mutex
	events  []Event
	text    strings.Builder
	ended   bool
	err     error
	changed chan struct{}
}

func newHistory() *history {
	return &history{
		changed: make(chan struct{}),
	}
}

// add appends the next event and reports whether it did; a repeated or outdated event is dropped.
func (his *history) add(evt Event) bool {
	his.mu.Lock()
	defer his.mu.Unlock()
	if num := len(his.events); num > 0 {
		last := his.events[num-1]
		if last.Finish != "" || evt.Attempt < last.Attempt || (evt.Attempt == last.Attempt && evt.Sequence <= last.Sequence) {
			return false
		}
		if evt.Token == last.Token {
			// Each decoded event has its own copy of the token; sharing one saves most of the memory.
			evt.Token = last.Token
		}
	}
	his.events = append(his.events, evt)
	his.text.WriteString(evt.Text)
	his.notifyReaders()
	return true
}

func (his *history) end(err error) {
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ended = true
	his.err = err
	his.notifyReaders()
}

// notifyReaders unblocks all waiting readers; his.mu must be held.
func (his *history) notifyReaders() {
	close(his.changed)
	his.changed = make(chan struct{})
}

// next waits for the event at idx and returns it. After the last event it returns false and the request's error.
func (his *history) next(ctx context.Context, idx int) (Event, bool, error) {
	for {
		his.mu.Lock()
		if idx < len(his.events) {
			evt := his.events[idx]
			his.mu.Unlock()
			return evt, true, nil
		}
		ended, err, changed := his.ended, his.err, his.changed
		his.mu.Unlock()
		if ended {
			return Event{}, false, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, false, ctx.Err()
		}
	}
}

// after returns the index of the event that follows a position, or false if the position is not in the history.
func (his *history) after(attempt, sequence int) (int, bool) {
	his.mu.Lock()
	defer his.mu.Unlock()
	if sequence < 0 {
		return 0, true
	}
	for idx, evt := range his.events {
		if evt.Attempt == attempt && evt.Sequence == sequence {
			return idx + 1, true
		}
		if evt.Attempt == attempt && evt.Sequence == sequence+1 {
			return idx, true
		}
	}
	return 0, false
}

// last returns the latest event, or false if there is none.
func (his *history) last() (Event, bool) {
	his.mu.Lock()
	defer his.mu.Unlock()
	if len(his.events) == 0 {
		return Event{}, false
	}
	return his.events[len(his.events)-1], true
}

func (his *history) receivedText() string {
	his.mu.Lock()
	defer his.mu.Unlock()
	return his.text.String()
}
