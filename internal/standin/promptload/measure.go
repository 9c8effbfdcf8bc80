package promptload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// Result holds the figures of one measurement.
type Result struct {
	Requests int
	Failed   int
	// CachedShare is the share of the blocks of all prompts that the engines had cached.
	CachedShare float64
	// FirstTokens holds the times to the first token, sorted.
	FirstTokens []time.Duration
	// BusiestShare is the share of the requests that the busiest engine received.
	BusiestShare float64
}

// Percentile returns the time to the first token that the given share of the responses did not exceed.
func (res *Result) Percentile(share float64) time.Duration {
	if len(res.FirstTokens) == 0 {
		return 0
	}
	return res.FirstTokens[min(len(res.FirstTokens)-1, int(share*float64(len(res.FirstTokens))))]
}

// measurement is the state of one measurement.
type measurement struct {
	config  Config
	service *route.Service
	servers []*server
	daemons []*daemon
	// documents holds the text of each document, and prefixes the hash of the prefix that ends with it.
	documents []string
	// prefixOf returns the estimator's prefix to which a block of an engine's cache belongs.
	prefixOf map[uint64]uint64

	mu     sync.Mutex
	counts map[string]int
	result Result
}

// Measure runs one measurement against engines that it starts.
func Measure(ctx context.Context, cfg Config) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	msr := &measurement{
		config:   cfg,
		service:  cfg.service(),
		prefixOf: map[uint64]uint64{},
		counts:   map[string]int{},
	}
	if err := msr.start(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	defer func() {
		for _, srv := range msr.servers {
			srv.close()
		}
	}()
	var loops sync.WaitGroup
	loops.Go(func() { msr.announceLoads(ctx) })
	if cfg.Mode == Reports {
		loops.Go(func() { msr.readReports(ctx) })
	}
	msr.sendRequests(ctx)
	cancel()
	loops.Wait()
	return msr.finish(), nil
}

func (msr *measurement) start(ctx context.Context) error {
	reg := serverregistry.New()
	for num := range msr.config.Engines {
		srv, err := startServer(ctx, fmt.Sprintf("engine-%d", num), &msr.config)
		if err != nil {
			return errors.Trace(err)
		}
		msr.servers = append(msr.servers, srv)
		reg.Apply([]serverregistry.Change{
			{
				Server: srv.registration(),
			},
		}, time.Now())
	}
	for num := range msr.config.Daemons {
		msr.daemons = append(msr.daemons, newDaemon(num, &msr.config, reg))
	}
	system := blocks("system", systemBlocks)
	for num := range msr.config.Documents {
		doc := system + blocks(documentID(num), documentBlocks)
		msr.documents = append(msr.documents, doc)
		pmt := promptcache.NewPrompt(model, sharedParts(num), nil, 0)
		for idx, sum := range backend.PrefixHashes(doc) {
			// An engine that evicted a block can reuse nothing behind it.
			msr.prefixOf[sum] = pmt.Prefixes[1]
			if idx < systemBlocks {
				msr.prefixOf[sum] = pmt.Prefixes[0]
			}
		}
	}
	return nil
}

// blocks returns a text of whole blocks that begins with the name.
func blocks(name string, num int) string {
	return name + strings.Repeat(".", num*backend.PrefixBlockSize-len(name))
}

func documentID(num int) string {
	return fmt.Sprintf("document-%d", num)
}

func sharedParts(document int) []string {
	return []string{"system", documentID(document)}
}

func (msr *measurement) announceLoads(ctx context.Context) {
	for wait(ctx, announceInterval) {
		for _, dmn := range msr.daemons {
			dmn.announce(msr.daemons, time.Now())
		}
	}
}

// readReports passes the evictions that engines report to the estimates of all daemons.
func (msr *measurement) readReports(ctx context.Context) {
	for wait(ctx, reportInterval) {
		for _, srv := range msr.servers {
			gone, err := srv.evictions(ctx)
			if err != nil {
				continue
			}
			for _, sum := range gone {
				pfx, ok := msr.prefixOf[sum]
				for _, dmn := range msr.daemons {
					if ok {
						dmn.estimator.RecordEvicted(srv.id, pfx)
					}
				}
			}
		}
	}
}

// wait waits for a time and returns false if ctx ends before.
func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// sendRequests sends requests with exponentially distributed pauses and waits for the responses.
func (msr *measurement) sendRequests(ctx context.Context) {
	rng := rand.New(rand.NewPCG(msr.config.Seed, 1))
	popular := rand.NewZipf(rng, 1.1, 4, uint64(msr.config.Documents-1))
	var requests sync.WaitGroup
	startedAt := time.Now()
	due := time.Duration(0)
	for num := 0; due < msr.config.Duration; num++ {
		due += time.Duration(rng.ExpFloat64() / msr.config.RequestsPerSecond * float64(time.Second))
		if !wait(ctx, time.Until(startedAt.Add(due))) {
			break
		}
		document := int(popular.Uint64())
		dmn := msr.daemons[rng.IntN(len(msr.daemons))]
		requests.Go(func() { msr.send(ctx, dmn, document, num) })
	}
	requests.Wait()
}

func (msr *measurement) send(ctx context.Context, dmn *daemon, document, number int) {
	pck, err := dmn.placement.Choose(placement.Request{
		Service:        msr.service,
		Model:          model,
		PromptTokens:   promptBlocks * tokensPerBlock,
		ExpectedTokens: outputTokens,
		SharedParts:    sharedParts(document),
		SharedTokens:   []int{systemBlocks * tokensPerBlock, documentBlocks * tokensPerBlock},
	}, time.Now())
	if err != nil {
		msr.record("", 0, err)
		return
	}
	defer pck.Release()
	begun := false
	srv := msr.servers[slices.IndexFunc(msr.servers, func(srv *server) bool { return srv.id == pck.Server.ID })]
	first, err := srv.firstToken(ctx, backend.StreamRequest{
		RequestID: fmt.Sprintf("request-%d", number),
		Model:     model,
		Prompt:    msr.documents[document] + blocks(fmt.Sprintf("question-%d", number), ownBlocks),
		MaxTokens: outputTokens,
	}, func() {
		dmn.outliers.RecordProgress(srv.id, time.Now())
		if !begun {
			begun = true
			pck.ResponseBegan()
		}
	})
	msr.record(srv.id, first, err)
}

func (msr *measurement) record(server string, first time.Duration, err error) {
	msr.mu.Lock()
	defer msr.mu.Unlock()
	msr.result.Requests++
	if err != nil {
		msr.result.Failed++
		return
	}
	msr.counts[server]++
	msr.result.FirstTokens = append(msr.result.FirstTokens, first)
}

func (msr *measurement) finish() Result {
	res := msr.result
	slices.Sort(res.FirstTokens)
	read, cached := 0, 0
	for _, srv := range msr.servers {
		cnt := srv.engine.Counts()
		read += cnt.PromptBlocks
		cached += cnt.CachedBlocks
	}
	res.CachedShare = float64(cached) / float64(max(1, read))
	for _, num := range msr.counts {
		res.BusiestShare = max(res.BusiestShare, float64(num)/float64(max(1, res.Requests)))
	}
	return res
}
