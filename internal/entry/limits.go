package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/permit"
	"github.com/cumintally/cumintally/internal/permit/queue"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/router"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/internal/zone"
)

// limits implements for the dispatcher the choice of a replica and the limits that all daemons of the zone
// share. Requests wait in a queue for each group until the group's owner grants slots.
type limits struct {
	settings   *settings.Settings
	limiter    *permit.Limiter
	router     *router.Router
	membership *zone.Membership
	mesh       *peer.Mesh
	inventory  *inventory.Inventory
	reports    *vmreport.Table
	backend    *backend.Client
	workspaces *workspace.Registry
	clock      clockwork.Clock
	logger     *zap.Logger
	metrics    limitMetrics

	// instance identifies this run of the daemon; each start draws a new random value.
	instance uint64
	// renewals contains the names of the groups whose slots are to be renewed before the next periodic renewal.
	renewals chan string

	mu sync.Mutex
	// queues contains the queue of each group by the group's name.
	queues map[string]*queue.Queue
	// inFlight contains the requests in flight by request ID.
	inFlight map[string]*inFlightRequest
}

// limitMetrics are the metrics of calls to owners and of requests that wait for a slot.
type limitMetrics struct {
	calls           metrics.Counter
	requestedGroups metrics.Counter
	admitted        metrics.Counter
	rejected        metrics.Counter
	expired         metrics.Counter
	waitTime        metrics.Histogram
}

// maxPendingRenewals bounds the requested renewals that wait for the loop. Beyond it a request is dropped,
// and the next periodic renewal covers it.
const maxPendingRenewals = 256

func newLimits(
	set *settings.Settings,
	mbs *zone.Membership,
	msh *peer.Mesh,
	inv *inventory.Inventory,
	tab *vmreport.Table,
	bck *backend.Client,
	wsp *workspace.Registry,
	reg metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *limits {
	lms := &limits{
		settings:   set,
		limiter:    permit.New(set.Entry.Name, permitConfig(set)),
		router:     router.New(routerConfig(set), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		membership: mbs,
		mesh:       msh,
		inventory:  inv,
		reports:    tab,
		backend:    bck,
		workspaces: wsp,
		clock:      clk,
		logger:     log.Named("limits"),
		instance:   rand.Uint64(),
		renewals:   make(chan string, maxPendingRenewals),
		queues:     map[string]*queue.Queue{},
		inFlight:   map[string]*inFlightRequest{},
		metrics: limitMetrics{
			calls:           metrics.GetOrRegisterCounter("PermitCalls", reg),
			requestedGroups: metrics.GetOrRegisterCounter("PermitAsks", reg),
			admitted:        metrics.GetOrRegisterCounter("PermitAdmitted", reg),
			rejected:        metrics.GetOrRegisterCounter("PermitRejected", reg),
			expired:         metrics.GetOrRegisterCounter("PermitExpired", reg),
			waitTime:        metrics.GetOrRegisterHistogram("PermitWaitMicroseconds", reg, metrics.NewExpDecaySample(1028, 0.015)),
		},
	}
	msh.Handle(kindPermit, lms.handlePermit)
	msh.HandleStream(kindThrough, lms.handleThrough)
	return lms
}

func permitConfig(set *settings.Settings) permit.Config {
	return permit.Config{
		ValidFor:        set.Limits.ValidFor,
		Settle:          set.Limits.Settle,
		SettlePerDaemon: settlePerDaemon,
		ClockMargin:     set.Limits.ValidFor / 50,
		ReportLag:       set.Limits.ReportLag,
		MaxRequest:      set.Requests.Timeout,
		AdjustInterval:  set.Limits.AdjustInterval,
		Increase:        set.Limits.Increase,
		DecreaseFactor:  float64(set.Limits.DecreasePercent) / 100,
		LateShare:       maxLateShare,
		SpareSlots:      spareSlots(set),
	}
}

// settlePerDaemon is added to Settle for each daemon of the zone, because a larger zone takes longer until all
// daemons know of a failure. The value follows from a measurement: a killed daemon counted as dead at all others
// after 2.5, 3.5 and 6.5 s in zones of 12, 30 and 59 daemons.
const settlePerDaemon = 80 * time.Millisecond

// maxLateShare is the share of late first tokens that an objective at the 95th percentile allows.
const maxLateShare = 0.05

func spareSlots(set *settings.Settings) int {
	if set.Limits.Policy == policyPerRequest {
		return 0
	}
	return set.Limits.Spare
}

func routerConfig(set *settings.Settings) router.Config {
	return router.Config{
		Policy:             router.Policy(set.Routing.Policy),
		Prefill:            set.Routing.Prefill,
		Step:               set.Routing.Step,
		StepTimePerRequest: set.Routing.Step / 64,
		AdapterLoad:        set.Routing.AdapterLoad,
		MaxScoredTokens:    64,
		ScoreTolerance:     float64(set.Routing.NearPercent) / 100,
		HalfLife:           set.Routing.HalfLife,
		MaxPrefixes:        1 << 14,
	}
}

// queue returns the queue of a group. A group whose members change keeps its queue, and the queue then
// receives the report of the new rank 0.
func (lms *limits) queue(name string) *queue.Queue {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	que, ok := lms.queues[name]
	if !ok {
		que = queue.New(queue.Config{
			MaxWaiting:          lms.settings.Limits.MaxWaiting,
			SpareSlots:          spareSlots(lms.settings),
			KeepSpareFor:        lms.settings.Limits.ValidFor,
			FirstTokenObjective: lms.settings.Limits.FirstToken,
		})
		lms.queues[name] = que
	}
	return que
}

// latestReport returns the latest report of a group's rank 0, or an empty Report if there is none.
func (lms *limits) latestReport(grp group.Group) queue.Report {
	ent, ok := lms.reports.Lookup(grp.Members[0].VM)
	if !ok || ent.Report.Group != grp.Name {
		return queue.Report{}
	}
	return queue.Report{
		Fencing:     ent.Report.Fencing,
		Incarnation: ent.Report.Incarnation,
		Cold:        ent.Report.State != backend.StateReady,
		AsOf:        ent.AsOf,
	}
}

// chooseReplica chooses the replica that serves a request.
func (lms *limits) chooseReplica(req dispatch.Request, cands []dispatch.Candidate) dispatch.Candidate {
	now := lms.clock.Now()
	views := make([]router.ReplicaView, len(cands))
	for idx, cnd := range cands {
		views[idx] = lms.replicaView(req, cnd, now)
	}
	return cands[lms.router.Choose(router.Request{
		Prefixes:    backend.PrefixHashes(req.Prompt),
		Adapter:     req.Adapter,
		Priority:    req.Priority,
		MaxTokens:   req.MaxTokens,
		StartWithin: lms.maxQueueTime(req, now),
	}, views, now)]
}

// replicaView returns the load of a replica for the router: from the last grant of the group's owner if it is
// still valid, else from the report of the engine.
func (lms *limits) replicaView(req dispatch.Request, cnd dispatch.Candidate, now time.Time) router.ReplicaView {
	lod := lms.queue(cnd.Group.Name).Load(now)
	rvw := router.ReplicaView{
		ReplicaID:     cnd.Group.Name,
		HasAdapter:    req.Adapter == "",
		OwnRequests:   lod.OwnAdmitted + lod.OwnWaiting,
		StepTime:      cnd.Report.StepTime,
		EngineRunning: cnd.Report.Running,
		EngineQueued:  cnd.Report.Queued,
	}
	for _, adp := range cnd.Report.Adapters {
		rvw.HasAdapter = rvw.HasAdapter || adp == req.Adapter
	}
	if lod.GrantValid {
		rvw.Running = max(0, lod.Grant.Running+lod.OwnAdmitted-lod.ReportedRunning)
		rvw.Waiting = max(0, lod.Grant.Queued+lod.OwnWaiting-lod.ReportedWaiting)
		rvw.Limit = lod.Grant.Limit
	} else {
		rvw.Running = max(cnd.Report.Running, lod.OwnAdmitted)
		rvw.Waiting = cnd.Report.Queued + lod.OwnWaiting
		rvw.Limit = cnd.Group.WarmLimit
	}
	if cnd.Report.State == backend.StateCold {
		rvw.Limit = min(rvw.Limit, cnd.Report.ColdLimit)
	}
	return rvw
}

// maxQueueTime returns the longest time that a request may wait for a slot: MaxWait, or less if its
// deadline is earlier.
func (lms *limits) maxQueueTime(req dispatch.Request, now time.Time) time.Duration {
	return min(lms.settings.Limits.MaxWait, req.Deadline.Sub(now))
}

// acquireSlot waits for a slot at the chosen replica. It returns a function that releases the slot. If the
// requests of the group go through its owner, it does not wait, since the owner queues the request.
func (lms *limits) acquireSlot(ctx context.Context, req dispatch.Request, cand dispatch.Candidate) (func(), error) {
	now := lms.clock.Now()
	que := lms.queue(cand.Group.Name)
	if que.RecordReport(lms.latestReport(cand.Group)) {
		lms.router.ForgetReplica(cand.Group.Name)
	}
	ifr := &inFlightRequest{
		queue:   que,
		group:   cand.Group,
		request: req,
		ticket: &queue.Ticket{
			Workspace: req.Workspace,
			Share:     lms.workspaceShare(req.Workspace),
			Priority:  req.Priority,
			Deadline:  now.Add(lms.maxQueueTime(req, now)),
		},
	}
	if lms.ownedByPeer(cand.Group.Name) {
		lms.track(req, ifr)
		return func() { lms.release(req.RequestID, ifr) }, nil
	}
	if wait, err := que.Enqueue(ifr.ticket, now); err != nil {
		lms.metrics.rejected.Inc(1)
		return nil, newBusyRefusal(cand.Group, err.Error(), wait)
	}
	if err := lms.awaitSlot(ctx, ifr, cand.Group.Name); err != nil {
		que.Release(ifr.ticket, lms.clock.Now())
		return nil, err
	}
	lms.metrics.admitted.Inc(1)
	lms.metrics.waitTime.Update(lms.clock.Since(now).Microseconds())
	lms.track(req, ifr)
	return func() { lms.release(req.RequestID, ifr) }, nil
}

func (lms *limits) track(req dispatch.Request, ifr *inFlightRequest) {
	lms.mu.Lock()
	lms.inFlight[req.RequestID] = ifr
	lms.mu.Unlock()
	lms.router.RecordSent(ifr.group.Name, backend.PrefixHashes(req.Prompt), lms.clock.Now())
}

// awaitSlot waits until a queued request has a slot, its queue deadline passes, or ctx ends.
func (lms *limits) awaitSlot(ctx context.Context, ifr *inFlightRequest, name string) error {
	select {
	case <-ifr.ticket.Ready:
		return nil
	default:
		if lms.settings.Limits.Policy == policyPerRequest || !ifr.queue.Starved(lms.clock.Now()) {
			lms.requestRenewal(name)
		}
	}
	tmr := lms.clock.NewTimer(ifr.ticket.Deadline.Sub(lms.clock.Now()))
	defer tmr.Stop()
	select {
	case <-ifr.ticket.Ready:
		return nil
	case <-tmr.Chan():
		lms.metrics.rejected.Inc(1)
		return newBusyRefusal(ifr.group, "no slot became free in time", minRetryAfter)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// minRetryAfter is the shortest time after which a rejected caller is asked to retry.
const minRetryAfter = time.Second

func newBusyRefusal(grp group.Group, detail string, wait time.Duration) error {
	return refusal.New(refusal.NotRun, http.StatusServiceUnavailable, "Busy", "group "+grp.Name+": "+detail, max(wait, minRetryAfter))
}

func (lms *limits) workspaceShare(name string) int {
	return lms.workspaces.Share(name)
}

// requestRenewal requests an early renewal of the slots of a group. It does not block.
func (lms *limits) requestRenewal(name string) {
	select {
	case lms.renewals <- name:
	default:
	}
}
