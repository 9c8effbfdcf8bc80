package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// readinessPollInterval is the time between two requests for /readyz to the same target.
const readinessPollInterval = 200 * time.Millisecond

// balancer distributes requests over the ready targets by round robin.
type balancer struct {
	mu           sync.Mutex
	targets      []string
	readyTargets []string
	nextIndex    int
}

func newBalancer(targets []string) *balancer {
	return &balancer{
		targets:      targets,
		readyTargets: targets,
	}
}

// nextTarget returns the next ready target in round-robin order, or the next of all targets if none is ready.
func (bal *balancer) nextTarget() string {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	from := bal.readyTargets
	if len(from) == 0 {
		from = bal.targets
	}
	bal.nextIndex++
	return from[bal.nextIndex%len(from)]
}

// pollPeriodically polls the readiness of all targets until ctx ends.
func (bal *balancer) pollPeriodically(ctx context.Context, htc *http.Client) {
	for {
		select {
		case <-time.After(readinessPollInterval):
			bal.pollReadiness(ctx, htc)
		case <-ctx.Done():
			return
		}
	}
}

// pollReadiness requests /readyz of all targets in parallel and replaces the list of ready targets.
func (bal *balancer) pollReadiness(ctx context.Context, htc *http.Client) {
	succeeded := make([]bool, len(bal.targets))
	var wgr sync.WaitGroup
	for idx, tgt := range bal.targets {
		wgr.Go(func() { succeeded[idx] = isReady(ctx, htc, tgt) })
	}
	wgr.Wait()
	var ready []string
	for idx, tgt := range bal.targets {
		if succeeded[idx] {
			ready = append(ready, tgt)
		}
	}
	bal.mu.Lock()
	defer bal.mu.Unlock()
	bal.readyTargets = ready
}

func isReady(ctx context.Context, htc *http.Client, tgt string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tgt+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := htc.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode < http.StatusMultipleChoices
}
