package promptload

import (
	"time"

	"github.com/cumintally/cumintally/internal/route"
)

const (
	// These are the blocks of the part that all prompts share, of the document that some share, and of the part that
	// belongs to one request.
	systemBlocks   = 4
	documentBlocks = 32
	ownBlocks      = 4
	promptBlocks   = systemBlocks + documentBlocks + ownBlocks
	// tokensPerBlock converts blocks of the stand-in's cache to tokens.
	tokensPerBlock = 64
	// prefillTime is the time in which an engine reads a whole prompt.
	prefillTime = 120 * time.Millisecond
	stepTime    = 5 * time.Millisecond
	// stepTimePerRequest is added to a step for each further request.
	stepTimePerRequest = 100 * time.Microsecond
	maxBatch           = 16
	outputTokens       = 40
	// announceInterval is the time between two exchanges of loads, about that of a small site.
	announceInterval = 100 * time.Millisecond
	// reportInterval is the time between two reads of the engines' cache events.
	reportInterval = 200 * time.Millisecond
	model          = "m"
	serviceName    = "engines"
)

// Mode says what the daemons know of the engines' caches.
type Mode string

// Modes of a measurement: no estimate, an estimate that only ages, one that is bounded by the engines' memory, and one that
// the engines' reports of evictions correct.
const (
	Off      Mode = "off"
	Aging    Mode = "aging"
	Capacity Mode = "memory known"
	Reports  Mode = "evictions reported"
)

// Config describes one measurement.
type Config struct {
	Mode    Mode
	Engines int
	Daemons int
	// Documents is the number of documents; the first ones are asked about most often.
	Documents int
	// CacheBlocks is the number of blocks that each engine caches.
	CacheBlocks int
	// RequestsPerSecond is the rate over all daemons.
	RequestsPerSecond float64
	Duration          time.Duration
	Seed              uint64
}

// retention exceeds the time between two requests for the same document, except the rarest ones.
const retention = 10 * time.Second

func (cfg *Config) service() *route.Service {
	svc := &route.Service{
		Name: serviceName,
		Engine: &route.Engine{
			Slots:              maxBatch,
			BaseStepTime:       stepTime,
			StepTimePerRequest: stepTimePerRequest,
			PrefillRate:        float64(promptBlocks*tokensPerBlock) / prefillTime.Seconds(),
			StepsPerEvent:      1,
			MeanPromptTokens:   promptBlocks * tokensPerBlock,
			MeanOutputTokens:   outputTokens,
			Models: []route.Model{
				{
					Name:       model,
					VMs:        1,
					TimeFactor: 1,
				},
			},
		},
	}
	if cfg.Mode == Capacity {
		// The stand-in's cache lies beside the memory of its batch.
		svc.Engine.MemoryTokens = cfg.CacheBlocks*tokensPerBlock + maxBatch*(promptBlocks*tokensPerBlock+outputTokens)
	}
	return svc
}
