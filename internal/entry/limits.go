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
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/permit"
	"github.com/cumintally/cumintally/internal/permit/queue"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/router"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/workspace"
	"github.com/cumintally/cumintally/internal/zone"
)

// limits connects the choice of a replica and the limits over all daemons to the dispatcher.
type limits struct {
	set *settings.Settings
	lim *permit.Limiter
	rtr *router.Router
	mbs *zone.Membership
	msh *peer.Mesh
	inv *inventory.Inventory
	tab *evidence.Table
	bck *backend.Client
	wsp *workspace.Registry
	clk clockwork.Clock
	log *zap.Logger
	met limitMetrics

	// instance differs whenever the daemon starts.
	instance uint64
	kicks    chan string

	mu      sync.Mutex
	queues  map[string]*queue.Queue
	flights map[string]*flight
}

type limitMetrics struct {
	calls    metrics.Counter
	asks     metrics.Counter
	admitted metrics.Counter
	rejected metrics.Counter
	expired  metrics.Counter
	wait     metrics.Histogram
}

// maxKicks bounds the calls to owners that wait for the loop; a lost one is made up for at the next renewal.
const maxKicks = 256

func newLimits(
	set *settings.Settings,
	mbs *zone.Membership,
	msh *peer.Mesh,
	inv *inventory.Inventory,
	tab *evidence.Table,
	bck *backend.Client,
	wsp *workspace.Registry,
	reg metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *limits {
	lms := &limits{
		set:      set,
		lim:      permit.New(set.Entry.Name, permitConfig(set)),
		rtr:      router.New(routerConfig(set), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		mbs:      mbs,
		msh:      msh,
		inv:      inv,
		tab:      tab,
		bck:      bck,
		wsp:      wsp,
		clk:      clk,
		log:      log.Named("limits"),
		instance: rand.Uint64(),
		kicks:    make(chan string, maxKicks),
		queues:   map[string]*queue.Queue{},
		flights:  map[string]*flight{},
		met: limitMetrics{
			calls:    metrics.GetOrRegisterCounter("PermitCalls", reg),
			asks:     metrics.GetOrRegisterCounter("PermitAsks", reg),
			admitted: metrics.GetOrRegisterCounter("PermitAdmitted", reg),
			rejected: metrics.GetOrRegisterCounter("PermitRejected", reg),
			expired:  metrics.GetOrRegisterCounter("PermitExpired", reg),
			wait:     metrics.GetOrRegisterHistogram("PermitWaitMicroseconds", reg, metrics.NewExpDecaySample(1028, 0.015)),
		},
	}
	msh.Handle(kindPermit, lms.answer)
	msh.HandleStream(kindThrough, lms.dispatchFor)
	return lms
}

func permitConfig(set *settings.Settings) permit.Config {
	return permit.Config{
		ValidFor:        set.Limits.ValidFor,
		Settle:          set.Limits.Settle,
		SettlePerDaemon: settlePerDaemon,
		Margin:          set.Limits.ValidFor / 50,
		ReportLag:       set.Limits.ReportLag,
		MaxRequest:      set.Requests.Timeout,
		AdjustInterval:  set.Limits.AdjustInterval,
		Increase:        set.Limits.Increase,
		Decrease:        float64(set.Limits.DecreasePercent) / 100,
		LateShare:       lateShare,
		Spare:           spare(set),
	}
}

// settlePerDaemon follows the time until a killed daemon counted as dead everywhere: 2.5, 3.5 and 6.5 s
// were measured in zones of 12, 30 and 59 daemons.
const settlePerDaemon = 80 * time.Millisecond

// lateShare is the share of late first tokens that the objective at the 95th percentile allows.
const lateShare = 0.05

func spare(set *settings.Settings) int {
	if set.Limits.Policy == policyPerRequest {
		return 0
	}
	return set.Limits.Spare
}

func routerConfig(set *settings.Settings) router.Config {
	return router.Config{
		Policy:      router.Policy(set.Routing.Policy),
		Prefill:     set.Routing.Prefill,
		Step:        set.Routing.Step,
		StepGrowth:  set.Routing.Step / 64,
		AdapterLoad: set.Routing.AdapterLoad,
		Tokens:      64,
		Near:        float64(set.Routing.NearPercent) / 100,
		HalfLife:    set.Routing.HalfLife,
		MaxPrefixes: 1 << 14,
	}
}

// queue returns the queue in front of a group; a group whose members changed gets a new report only.
func (lms *limits) queue(name string) *queue.Queue {
	lms.mu.Lock()
	defer lms.mu.Unlock()
	que, ok := lms.queues[name]
	if !ok {
		que = queue.New(queue.Config{
			MaxWaiting: lms.set.Limits.MaxWaiting,
			Spare:      spare(lms.set),
			SpareFor:   lms.set.Limits.ValidFor,
			Objective:  lms.set.Limits.FirstToken,
		})
		lms.queues[name] = que
	}
	return que
}

// sight returns the youngest report of a group's rank 0.
func (lms *limits) sight(grp group.Group) queue.Sight {
	ent, ok := lms.tab.Lookup(grp.Members[0].VM)
	if !ok || ent.Report.Group != grp.Name {
		return queue.Sight{}
	}
	return queue.Sight{
		Fencing:     ent.Report.Fencing,
		Incarnation: ent.Report.Incarnation,
		Cold:        ent.Report.State != backend.StateReady,
		AsOf:        ent.AsOf,
	}
}

// choose picks a replica for a request.
func (lms *limits) choose(req dispatch.Request, cands []dispatch.Candidate) dispatch.Candidate {
	now := lms.clk.Now()
	views := make([]router.View, len(cands))
	for idx, cnd := range cands {
		views[idx] = lms.view(req, cnd, now)
	}
	return cands[lms.rtr.Choose(router.Request{
		Prefixes:  backend.Prefixes(req.Prompt),
		Adapter:   req.Adapter,
		Priority:  req.Priority,
		MaxTokens: req.MaxTokens,
		Within:    lms.within(req, now),
	}, views, now)]
}

func (lms *limits) view(req dispatch.Request, cnd dispatch.Candidate, now time.Time) router.View {
	lod := lms.queue(cnd.Group.Name).Load(now)
	viw := router.View{
		Group:      cnd.Group.Name,
		HasAdapter: req.Adapter == "",
		Own:        lod.Own + lod.Waiting,
		StepTime:   cnd.Report.StepTime,
		Batch:      cnd.Report.Running,
		Queued:     cnd.Report.Queued,
	}
	for _, adp := range cnd.Report.Adapters {
		viw.HasAdapter = viw.HasAdapter || adp == req.Adapter
	}
	if lod.Fresh {
		viw.Running = max(0, lod.Grant.Running+lod.Own-lod.OwnThen)
		viw.Waiting = max(0, lod.Grant.Queued+lod.Waiting-lod.WaitingThen)
		viw.Limit = lod.Grant.Limit
	} else {
		viw.Running = max(cnd.Report.Running, lod.Own)
		viw.Waiting = cnd.Report.Queued + lod.Waiting
		viw.Limit = cnd.Group.WarmLimit
	}
	if cnd.Report.State == backend.StateCold {
		viw.Limit = min(viw.Limit, cnd.Report.ColdLimit)
	}
	return viw
}

// within returns the time that a request can wait for a slot.
func (lms *limits) within(req dispatch.Request, now time.Time) time.Duration {
	return min(lms.set.Limits.MaxWait, req.Deadline.Sub(now))
}

// acquire waits for a slot at the chosen replica.
func (lms *limits) acquire(ctx context.Context, req dispatch.Request, cand dispatch.Candidate) (func(), error) {
	now := lms.clk.Now()
	que := lms.queue(cand.Group.Name)
	if que.See(lms.sight(cand.Group)) {
		lms.rtr.Lost(cand.Group.Name)
	}
	flt := &flight{
		que: que,
		grp: cand.Group,
		req: req,
		tkt: &queue.Ticket{
			Workspace: req.Workspace,
			Share:     lms.share(req.Workspace),
			Priority:  req.Priority,
			Deadline:  now.Add(lms.within(req, now)),
		},
	}
	if lms.remote(cand.Group.Name) {
		lms.track(req, flt)
		return func() { lms.release(req.RequestID, flt) }, nil
	}
	if wait, err := que.Enter(flt.tkt, now); err != nil {
		lms.met.rejected.Inc(1)
		return nil, busy(cand.Group, err.Error(), wait)
	}
	if err := lms.await(ctx, flt, cand.Group.Name); err != nil {
		que.End(flt.tkt, lms.clk.Now())
		return nil, err
	}
	lms.met.admitted.Inc(1)
	lms.met.wait.Update(lms.clk.Since(now).Microseconds())
	lms.track(req, flt)
	return func() { lms.release(req.RequestID, flt) }, nil
}

func (lms *limits) track(req dispatch.Request, flt *flight) {
	lms.mu.Lock()
	lms.flights[req.RequestID] = flt
	lms.mu.Unlock()
	lms.rtr.Sent(flt.grp.Name, backend.Prefixes(req.Prompt), lms.clk.Now())
}

func (lms *limits) await(ctx context.Context, flt *flight, name string) error {
	select {
	case <-flt.tkt.Ready:
		return nil
	default:
		if lms.set.Limits.Policy == policyPerRequest || !flt.que.Starved(lms.clk.Now()) {
			lms.kick(name)
		}
	}
	tmr := lms.clk.NewTimer(flt.tkt.Deadline.Sub(lms.clk.Now()))
	defer tmr.Stop()
	select {
	case <-flt.tkt.Ready:
		return nil
	case <-tmr.Chan():
		lms.met.rejected.Inc(1)
		return busy(flt.grp, "no slot became free in time", comeBack)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// comeBack is the least time after which a rejected caller is asked to come back.
const comeBack = time.Second

func busy(grp group.Group, detail string, wait time.Duration) error {
	return refusal.New(refusal.NotRun, http.StatusServiceUnavailable, "Busy", "group "+grp.Name+": "+detail, max(wait, comeBack))
}

func (lms *limits) share(name string) int {
	return lms.wsp.Share(name)
}

func (lms *limits) kick(name string) {
	select {
	case lms.kicks <- name:
	default:
	}
}
