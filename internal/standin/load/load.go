package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Load sends the requests of one run.
type Load struct {
	cfg  Config
	htc  *http.Client
	tly  *tally
	bal  *balancer
	reqs []planned
}

// New returns a run that is planned but not started.
func New(cfg Config) (*Load, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Load{
		cfg: cfg,
		htc: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1024,
				DisableCompression:  true,
			},
		},
		bal:  newBalancer(cfg.Targets),
		reqs: plan(cfg),
	}, nil
}

// Run sends every planned request at its time and returns the results once all have ended. When ctx
// ends, no further request is sent and those in progress are aborted.
func (lod *Load) Run(ctx context.Context) (*Report, error) {
	start := time.Now()
	lod.tly = newTally(start)
	defer lod.htc.CloseIdleConnections()
	if lod.cfg.Ready {
		lod.bal.poll(ctx, lod.htc)
		watch, stop := context.WithCancel(ctx)
		defer stop()
		go lod.bal.watch(watch, lod.htc)
	}
	var open sync.WaitGroup
	slots := make(chan struct{}, lod.cfg.MaxInFlight)
	for _, req := range lod.reqs {
		if !sleepUntil(ctx, start.Add(req.at)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			lod.tly.skip()
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			lod.tly.add(lod.cfg.Deadline, lod.send(ctx, req, start.Add(req.at)))
		})
	}
	open.Wait()
	rep := lod.tly.report(lod.cfg, time.Since(start))
	return rep, errors.Trace(ctx.Err())
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}
