package relay_test

import (
	"testing"
	"time"
)

// Guards against a stream that ends as if it were complete because the server that was to resume it broke off after its head (ORDER).
func TestStreamIsNotEndedByServerThatBreaksOffBeforeItsRest(tst *testing.T) {
	broken, _ := pausing(tst, 0, openHead+firstEvent+"id: 2\n")
	other, _ := pausing(tst, 0, openHead+secondEvent)
	fix := &fixture{
		tst:         tst,
		addresses:   []string{broken, rawServer(tst, openHead), other},
		retriesLeft: 2,
		attempts:    3,
	}
	fix.checkWholeStream()
}

// Guards against a stream that is cut for lack of retries while its caller waits on: callers wait for four times the objective.
func TestBrokenStreamWaitsAsLongAsItsCaller(tst *testing.T) {
	broken, _ := pausing(tst, 0, openHead+firstEvent+"id: 2\n")
	other, _ := pausing(tst, 0, openHead+secondEvent)
	fix := &fixture{
		tst:       tst,
		addresses: []string{broken, other},
		objective: time.Second,
	}
	time.AfterFunc(3*time.Second, func() {
		fix.mu.Lock()
		defer fix.mu.Unlock()
		fix.retriesLeft = 1
	})
	fix.checkWholeStream()
}

// Guards against a stream that waits for a silent server since its request is suspected of crashes, although it has run soundly before.
func TestSuspicionDoesNotHoldBackStreamInProgress(tst *testing.T) {
	broken, _ := pausing(tst, 0, openHead+firstEvent+"id: 2\n")
	other, _ := pausing(tst, 0, openHead+secondEvent)
	fix := &fixture{
		tst:         tst,
		addresses:   []string{broken, hanging(tst), other},
		retriesLeft: 2,
		attempts:    3,
	}
	time.AfterFunc(stallAfter/2, func() {
		fix.mu.Lock()
		defer fix.mu.Unlock()
		fix.blockedFor = time.Minute
	})
	fix.checkWholeStream()
}
