package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// readyInterval is how often a load balancer asks a target for /readyz.
const readyInterval = 200 * time.Millisecond

// balancer spreads requests over the targets in turn and leaves out those that are not ready.
type balancer struct {
	mu      sync.Mutex
	targets []string
	ready   []string
	next    int
}

func newBalancer(targets []string) *balancer {
	return &balancer{
		targets: targets,
		ready:   targets,
	}
}

// pick returns the next ready target, or any target if none is ready.
func (bal *balancer) pick() string {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	from := bal.ready
	if len(from) == 0 {
		from = bal.targets
	}
	bal.next++
	return from[bal.next%len(from)]
}

func (bal *balancer) watch(ctx context.Context, htc *http.Client) {
	for {
		select {
		case <-time.After(readyInterval):
			bal.poll(ctx, htc)
		case <-ctx.Done():
			return
		}
	}
}

func (bal *balancer) poll(ctx context.Context, htc *http.Client) {
	oks := make([]bool, len(bal.targets))
	var asked sync.WaitGroup
	for idx, tgt := range bal.targets {
		asked.Go(func() { oks[idx] = isReady(ctx, htc, tgt) })
	}
	asked.Wait()
	var ready []string
	for idx, tgt := range bal.targets {
		if oks[idx] {
			ready = append(ready, tgt)
		}
	}
	bal.mu.Lock()
	defer bal.mu.Unlock()
	bal.ready = ready
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
