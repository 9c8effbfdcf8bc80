package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/vmreport"
)

const (
	// ErrUnreachable means that another daemon could not be reached and did not receive the request.
	ErrUnreachable = errors.ConstError("dispatch: daemon unreachable")
	// ErrConnectionLost means that the connection to another daemon broke; it may still run the request.
	ErrConnectionLost = errors.ConstError("dispatch: connection to daemon broken")
	// ErrUnknownRequest means that the daemon does not have the request, or not that position in its events.
	ErrUnknownRequest = errors.ConstError("dispatch: unknown request")
)

// retryAfter is the Retry-After time of a refusal when no group can take a request.
const retryAfter = time.Second

// Candidate is a group to which a request may be sent now, with its latest report.
type Candidate struct {
	Group  group.Group
	Report backend.Report
}

// Dependencies holds the functions of other components that the dispatcher calls.
type Dependencies struct {
	// Generate opens a new stream at the engine at address.
	Generate func(ctx context.Context, address string, streamRequest backend.StreamRequest) (*backend.Stream, error)
	// Resume reopens a stream at the engine at address from the frame with sequence number from.
	Resume func(ctx context.Context, address, requestID string, attempt, from int) (*backend.Stream, error)
	// Cancel ends a stream at the engine at address.
	Cancel func(ctx context.Context, address, requestID string, attempt int) error
	// FetchReport asks the engine at address for its report.
	FetchReport func(ctx context.Context, address string) (backend.Report, error)
	// Choose picks one of the candidates.
	Choose func(request Request, candidates []Candidate) Candidate
	// Acquire takes a permit to send one more request to a group; on failure the error is a *refusal.Refusal. The
	// context ends at the request's deadline and when the group may get no more work.
	Acquire func(ctx context.Context, request Request, candidate Candidate) (release func(), err error)
	// OtherZones returns the peer addresses of daemons in other availability zones, in the order to try.
	OtherZones func() []string
	// Forward runs a request at a daemon of another availability zone.
	Forward func(ctx context.Context, address string, request Request, emit func(Event) error) error
	// Attach follows, adopts or abandons a request in progress at another daemon.
	Attach func(ctx context.Context, address string, attachment Attachment, emit func(Event) error) error
	// RecordRequest adds to the retry budgets for a send that is no retry; TakeRetry takes a retry from them and reports
	// whether one was left.
	RecordRequest func(workspace, group string)
	TakeRetry     func(workspace, group string) bool
	// Announce reports a crash to the daemons of the zone and returns once they have received it or a timeout has
	// passed.
	Announce func(ctx context.Context, crash quarantine.Crash)
	// PlaceCopy returns the group on which a copy of a request may run, given the chosen one; see quarantine.PlaceCopy.
	PlaceCopy func(ctx context.Context, fingerprint quarantine.Fingerprint, group, from, holder string) string
	// TryAcquireSlot acquires a slot that one holder in the zone has at a time, and keeps it until release is called.
	TryAcquireSlot func(ctx context.Context, key, holder string) (release func(), ok bool)
}

// Config holds the identity and the settings of a dispatcher.
type Config struct {
	AvailabilityZone string
	// Self is the IP:port of this daemon's peer listener.
	Self string
	// TokenKey authenticates resume tokens.
	TokenKey []byte
	// ResumeWindow is how long a stream without readers waits for its caller to reconnect.
	ResumeWindow time.Duration
}

// Dispatcher runs requests on the groups of this daemon's availability zone.
type Dispatcher struct {
	config          Config
	deps            Dependencies
	zoneInventory   *inventory.Inventory
	reportTable     *vmreport.Table
	crashQuarantine *quarantine.Quarantine
	requestCounters counters
	clock           clockwork.Clock
	logger          *zap.Logger

	mu       sync.Mutex
	runs     map[string]*run
	draining bool
	active   sync.WaitGroup
}

// New returns a dispatcher whose counters are registered in registry.
func New(
	config Config,
	deps Dependencies,
	zoneInventory *inventory.Inventory,
	reportTable *vmreport.Table,
	crashQuarantine *quarantine.Quarantine,
	registry metrics.Registry,
	clock clockwork.Clock,
	logger *zap.Logger,
) *Dispatcher {
	return &Dispatcher{
		config:          config,
		deps:            deps,
		zoneInventory:   zoneInventory,
		reportTable:     reportTable,
		crashQuarantine: crashQuarantine,
		requestCounters: newCounters(registry),
		clock:           clock,
		logger:          logger.Named("dispatch"),
		runs:            map[string]*run{},
	}
}

// Generate runs a request and calls emit with each event of the response. It forwards the request to another
// availability zone when none of this zone's groups can take it.
func (dsp *Dispatcher) Generate(ctx context.Context, request Request, emit func(Event) error) error {
	run, err := dsp.start(request, false)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

// GenerateLocal runs a request that another zone has forwarded; it is not forwarded again.
func (dsp *Dispatcher) GenerateLocal(ctx context.Context, request Request, emit func(Event) error) error {
	run, err := dsp.start(request, true)
	if err != nil {
		return errors.Trace(err)
	}
	return dsp.follow(ctx, run, 0, emit)
}

func (dsp *Dispatcher) start(req Request, forwarded bool) (*run, error) {
	run := newRun(dsp, req.RequestID, forwarded)
	run.request = req
	run.forwarded = forwarded
	run.attempt = req.Attempt
	for _, crs := range req.Crashes {
		dsp.crashQuarantine.RecordCrash(crs, dsp.clock.Now())
	}
	if !dsp.register(run) {
		return nil, refusal.Unavailable("this entry VM is stopping", retryAfter)
	}
	run.launch(req.Deadline, run.generate)
	return run, nil
}

// register adds a run to the table and reports whether it did; it does not while the daemon drains.
func (dsp *Dispatcher) register(run *run) bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	if dsp.draining {
		return false
	}
	dsp.runs[run.requestID] = run
	dsp.active.Add(1)
	dsp.requestCounters.inProgress.Update(int64(len(dsp.runs)))
	return true
}

func (dsp *Dispatcher) remove(run *run) {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	if dsp.runs[run.requestID] == run {
		delete(dsp.runs, run.requestID)
		dsp.requestCounters.inProgress.Update(int64(len(dsp.runs)))
	}
	dsp.active.Done()
}

func (dsp *Dispatcher) find(requestID string) *run {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.runs[requestID]
}

// Drain refuses new requests and waits until those in progress have ended or ctx ends. It also waits for requests that
// run for other daemons and for streams whose caller may still reconnect.
func (dsp *Dispatcher) Drain(ctx context.Context) {
	dsp.mu.Lock()
	dsp.draining = true
	dsp.mu.Unlock()
	done := make(chan struct{})
	go func() {
		dsp.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		dsp.logger.Error("requests were still in progress at the end of the drain timeout")
	}
}

// candidates returns the groups of this zone that serve the model of a request, are not draining and have a fresh report
// of every member. It returns none while the zone is out of service. The map lost holds, by name, the fencing tokens of
// the groups that failed the request; such a group is left out until its token changes.
func (dsp *Dispatcher) candidates(req Request, lost map[string]uint64) []Candidate {
	if dsp.zoneInventory.Zone(dsp.config.AvailabilityZone).Out {
		return nil
	}
	now := dsp.clock.Now()
	var cands []Candidate
	for _, alc := range dsp.zoneInventory.Allocations(dsp.config.AvailabilityZone) {
		for _, grp := range alc.Groups {
			// A group that failed this request is a candidate again once its members have changed.
			if fnc, ok := lost[grp.Name]; grp.Model != req.Model || grp.Draining || (ok && fnc == grp.Fencing) {
				continue
			}
			if rep, ok := dsp.reportTable.GroupConfirmed(grp, now); ok {
				cands = append(cands, Candidate{
					Group:  grp,
					Report: rep,
				})
			}
		}
	}
	return cands
}

// acceptsWork reports whether a group may still get work: its zone is in service, it is still allocated and not
// draining, and there is a fresh report of every member. The check is repeated because a choice made seconds ago may
// be outdated.
func (dsp *Dispatcher) acceptsWork(grp group.Group) bool {
	if dsp.zoneInventory.Zone(dsp.config.AvailabilityZone).Out {
		return false
	}
	for _, alc := range dsp.zoneInventory.Allocations(dsp.config.AvailabilityZone) {
		for _, now := range alc.Groups {
			if now.Name == grp.Name && now.Fencing == grp.Fencing && !now.Draining {
				_, ok := dsp.reportTable.GroupConfirmed(now, dsp.clock.Now())
				return ok
			}
		}
	}
	return false
}
