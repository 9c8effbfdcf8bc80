package load

import (
	"time"

	"github.com/juju/errors"
)

// Upper limits of one run, so that a wrong flag cannot occupy the machine.
const (
	maxRequests = 1_000_000
	maxDuration = time.Hour
)

// Workspace describes the requests that are sent in the name of one workspace.
type Workspace struct {
	Name string
	// Key is the bearer key; engines that are called directly ignore it.
	Key string
	// Share is the weight with which a request is drawn for the workspace.
	Share int
	// Priority groups the results and is sent to engines that are called directly. An entry VM takes the
	// priority from its configuration document instead.
	Priority int
}

// Config describes one run.
type Config struct {
	// Targets are the IP:port addresses of entry VMs, or of engines of rank 0 if Direct is set.
	Targets []string
	// Direct sends to the engine interface instead of the callers' interface.
	Direct bool
	Model  string
	// Rate is the mean number of requests a second; arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	// Count is the maximum number of requests; 0 leaves Duration as the only limit.
	Count int
	// MinTokens and MaxTokens bound the length of a response, which is drawn from a uniform distribution.
	MinTokens int
	MaxTokens int
	// Prefixes is the number of different prompt prefixes, of which each request gets one at random; 0 adds none.
	Prefixes    int
	PrefixWords int
	PromptWords int
	Workspaces  []Workspace
	// Deadline is the time within which a response must be complete to count as in time.
	Deadline time.Duration
	// Timeout aborts a request, all its resumed streams included.
	Timeout time.Duration
	// MaxInFlight is the maximum number of requests in flight; a request above it is not sent but counted as skipped.
	MaxInFlight int
	// MaxResumes is the maximum number of times that a broken stream is resumed at the next target.
	MaxResumes int
	// ReadyOnly polls /readyz of the targets and sends requests only to ready ones, as a load balancer does.
	ReadyOnly bool
	// Stamped reads the send time that an engine started with --stamp adds to each token.
	Stamped bool
	Seed    uint64
}

// withDefaults returns the configuration with defaults in the optional fields that are zero.
func (cfg Config) withDefaults() Config {
	if len(cfg.Workspaces) == 0 {
		cfg.Workspaces = []Workspace{{Name: "default", Share: 1}}
	}
	for _, fld := range []struct {
		val      *int
		fallback int
	}{
		{&cfg.MaxTokens, 32},
		{&cfg.MinTokens, 1},
		{&cfg.PromptWords, 8},
		{&cfg.MaxInFlight, 10_000},
	} {
		if *fld.val == 0 {
			*fld.val = fld.fallback
		}
	}
	cfg.MinTokens = min(cfg.MinTokens, cfg.MaxTokens)
	if cfg.Deadline == 0 {
		cfg.Deadline = 10 * time.Second
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = max(time.Minute, cfg.Deadline)
	}
	if cfg.Duration == 0 {
		cfg.Duration = maxDuration
	}
	return cfg
}

// check returns a NotValid error if the configuration is incomplete or exceeds a limit.
func (cfg Config) check() error {
	shares := 0
	for _, wsp := range cfg.Workspaces {
		if wsp.Share < 0 {
			return errors.NotValidf("share %d of workspace %s", wsp.Share, wsp.Name)
		}
		shares += wsp.Share
	}
	switch {
	case len(cfg.Targets) == 0:
		return errors.NotValidf("empty list of targets")
	case shares == 0:
		return errors.NotValidf("total workspace share 0")
	case cfg.Rate <= 0:
		return errors.NotValidf("rate %v", cfg.Rate)
	case cfg.Count < 0 || cfg.Count > maxRequests:
		return errors.NotValidf("count %d", cfg.Count)
	case cfg.Duration < 0 || cfg.Duration > maxDuration:
		return errors.NotValidf("duration %v", cfg.Duration)
	case cfg.Count == 0 && cfg.Rate*cfg.Duration.Seconds() > maxRequests:
		return errors.NotValidf("rate and duration that plan more than %d requests", maxRequests)
	case cfg.MinTokens < 1 || cfg.MaxInFlight < 1 || cfg.PromptWords < 0 || cfg.PrefixWords < 0 || cfg.Prefixes < 0:
		return errors.NotValidf("MinTokens or MaxInFlight below 1, or PromptWords, PrefixWords or Prefixes below 0")
	}
	return nil
}
