package callermemory

import "time"

// Claim is the memory that one request occupies. Grow, Complete and Close may be called on a nil claim, which counts nothing.
type Claim struct {
	budget *Budget
	caller string
	drop   func()

	// The budget's lock guards what follows.
	size       int64
	progressAt time.Time
	dropped    bool
}

// Grow adds bytes. On an error, ErrExhausted or ErrDropped, nothing is added.
func (clm *Claim) Grow(num int64) error {
	if clm == nil || num <= 0 {
		return nil
	}
	return clm.budget.grow(clm, num)
}

// RecordProgress records that a part of the request has arrived.
func (clm *Claim) RecordProgress() {
	clm.budget.mu.Lock()
	defer clm.budget.mu.Unlock()
	clm.progressAt = clm.budget.clock.Now()
}

// Complete records that the request has arrived, so that it is not dropped any more. It reports whether it was not dropped before.
func (clm *Claim) Complete() bool {
	if clm == nil {
		return true
	}
	bud := clm.budget
	bud.mu.Lock()
	defer bud.mu.Unlock()
	delete(bud.arriving, clm)
	return !clm.dropped
}

// Close gives the memory back. It may be called twice.
func (clm *Claim) Close() {
	if clm == nil {
		return
	}
	bud := clm.budget
	bud.mu.Lock()
	defer bud.mu.Unlock()
	delete(bud.arriving, clm)
	bud.add(clm, -clm.size)
}
