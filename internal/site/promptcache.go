package site

import (
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/settings"
)

// maxPromptPrefixes and maxPromptHolders bound the estimates to about 5 MB (72 bytes each), which fits beside everything
// else into the 184 MB of the smallest entry VM.
const (
	maxPromptPrefixes = 1 << 12
	maxPromptHolders  = 16
)

// promptCache holds the estimates of cached prompts and their metrics.
type promptCache struct {
	// estimator is nil if engines retain no prompts.
	estimator   *promptcache.Estimator
	reused      metrics.Counter
	savedTokens metrics.Counter
}

func newPromptCache(set *settings.Settings, met metrics.Registry, log *zap.Logger) *promptCache {
	if set.Routing.PromptRetention <= 0 {
		return &promptCache{}
	}
	prc := &promptCache{
		estimator: promptcache.New(promptcache.Config{
			Retention:        set.Routing.PromptRetention,
			MaxPrefixes:      maxPromptPrefixes,
			HoldersPerPrefix: maxPromptHolders,
		}),
		reused:      metrics.GetOrRegisterCounter("PromptCacheRequests", met),
		savedTokens: metrics.GetOrRegisterCounter("PromptCacheSavedTokens", met),
	}
	met.GetOrRegister("PromptCachePrefixes", metrics.NewFunctionalGauge(func() int64 { return int64(prc.estimator.Prefixes()) }))
	log.Named("placement").Info("engines are assumed to retain prompts; requests prefer those that have cached their prefix",
		zap.Duration("retention", set.Routing.PromptRetention))
	return prc
}

// reportSaved counts a request whose backend server need not read the given number of tokens.
func (prc *promptCache) reportSaved(tokens int) {
	prc.reused.Inc(1)
	prc.savedTokens.Inc(int64(tokens))
}
