package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Generator sends the requests of one run and collects their results.
type Generator struct {
	config     Config
	httpClient *http.Client
	results    *tally
	balancer   *balancer
	requests   []plannedRequest
}

// New plans the requests of a run, which Run then sends. It returns a NotValid error for a wrong configuration.
func New(cfg Config) (*Generator, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Generator{
		config: cfg,
		httpClient: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1024,
				DisableCompression:  true,
			},
		},
		balancer: newBalancer(cfg.Targets),
		requests: planRequests(cfg),
	}, nil
}

// Run sends every planned request at its planned time and returns the results once all requests have ended.
// When ctx ends, no further request is sent, requests in flight are aborted, and the results so far are returned
// together with the error of ctx.
func (gen *Generator) Run(ctx context.Context) (*Report, error) {
	start := time.Now()
	gen.results = newTally(start)
	defer gen.httpClient.CloseIdleConnections()
	if gen.config.ReadyOnly {
		gen.balancer.pollReadiness(ctx, gen.httpClient)
		watch, stop := context.WithCancel(ctx)
		defer stop()
		go gen.balancer.pollPeriodically(watch, gen.httpClient)
	}
	var wgr sync.WaitGroup
	slots := make(chan struct{}, gen.config.MaxInFlight)
	for _, req := range gen.requests {
		if !sleepUntil(ctx, start.Add(req.offset)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			gen.results.addSkipped()
			continue
		}
		wgr.Go(func() {
			defer func() { <-slots }()
			gen.results.add(gen.config.Deadline, gen.send(ctx, req, start.Add(req.offset)))
		})
	}
	wgr.Wait()
	rep := gen.results.report(gen.config, time.Since(start))
	return rep, errors.Trace(ctx.Err())
}

// sleepUntil waits until due and reports whether ctx is still active.
func sleepUntil(ctx context.Context, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}
