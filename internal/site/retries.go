package site

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/retrybudget"
)

// budgetLogInterval is the time between two log lines on the retry budget of one service.
const budgetLogInterval = time.Second

// retryAccount takes retries from the budget of this process and logs when the budget is used up.
type retryAccount struct {
	bud *retrybudget.Budget
	stc *storeCache
	log *zap.Logger

	startedAt time.Time

	mu sync.Mutex
	// loggedAt is when the last line on each service was logged.
	loggedAt map[string]time.Time
}

func newRetryAccount(bud *retrybudget.Budget, stc *storeCache, clk clockwork.Clock, log *zap.Logger) *retryAccount {
	return &retryAccount{
		bud:       bud,
		stc:       stc,
		log:       log.Named("retries"),
		startedAt: clk.Now(),
		loggedAt:  map[string]time.Time{},
	}
}

// recordRequest records a request for a service.
func (acc *retryAccount) recordRequest(service string, now time.Time) {
	acc.bud.RecordRequest(service, now)
}

// takeRetry takes one retry from the budget of a service. It reports whether one was left.
func (acc *retryAccount) takeRetry(service string, now time.Time) bool {
	if acc.bud.TakeRetry(service, now) {
		return true
	}
	acc.logUsedUp(service, now)
	return false
}

// logUsedUp logs what the budget of a service has counted, and what it is counted by.
func (acc *retryAccount) logUsedUp(service string, now time.Time) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if last, ok := acc.loggedAt[service]; ok && now.Sub(last) < budgetLogInterval {
		return
	}
	acc.loggedAt[service] = now
	usg := acc.bud.Usage(service, now)
	countingFor := now.Sub(acc.startedAt)
	acc.log.Info("the retry budget of a service is used up",
		zap.String("service", service),
		zap.Int("requests", usg.Requests),
		zap.Int("retries", usg.Retries),
		zap.Float64("tokens", usg.Tokens),
		zap.Float64("capacity", usg.Capacity),
		zap.Int("daemons", acc.stc.knownDaemons()),
		zap.Duration("countingFor", countingFor),
		// Round strips the monotonic reading, so that the difference is that of the times of day.
		zap.Duration("clockStep", now.Round(0).Sub(acc.startedAt.Round(0))-countingFor),
	)
}
