package site

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/allocationwriter"
	"github.com/cumintally/cumintally/internal/bootclock"
	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/demand"
	"github.com/cumintally/cumintally/internal/edgelimits"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/lease"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/orderplan"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/promptcrash"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/rejections"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/retrybudget"
	"github.com/cumintally/cumintally/internal/serverlimit"
	"github.com/cumintally/cumintally/internal/serverpath"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/sitecontrol"
	"github.com/cumintally/cumintally/internal/socket"
	"github.com/cumintally/cumintally/internal/suspicion"
	"github.com/cumintally/cumintally/internal/upstream"
	"github.com/cumintally/cumintally/platform"
)

// providers lists the constructors of all components of the daemon; dig calls them in the order of their dependencies.
var providers = []any{
	bootclock.New,
	metrics.NewRegistry,
	newStore,
	inventory.New,
	outlier.New,
	quarantine.New,
	newPromptCrashes,
	rejections.New,
	newStoreCache,
	newPool,
	newColdLimiter,
	newServerLimiter,
	firsttoken.New,
	reservation.New,
	newBudget,
	newRetryAccount,
	loadview.New,
	demand.New,
	newMesh,
	newServerPaths,
	newPromptCache,
	newCrashExchange,
	newSuspicions,
	newSuspicionExchange,
	newGossip,
	newPlacement,
	edgelimits.NewBudget,
	requestbody.New,
	edgelimits.NewGuard,
	newRelay,
	newLease,
	newAllocationWriter,
	newSiteController,
	newExplainer,
}

// storeDialTimeout bounds the dialing of the store, which responds within milliseconds.
const storeDialTimeout = 500 * time.Millisecond

// unackedTimeout is the time after which the kernel aborts a connection whose sent bytes are not acknowledged. It is
// about the time after which callers abandon a stream without events.
const unackedTimeout = 2 * time.Second

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection that the kernel aborts when sent bytes stay unacknowledged for two seconds.
func Dial(ctx context.Context, network, adr string) (net.Conn, error) {
	dlr := net.Dialer{
		KeepAlive: -1,
		Control:   socket.UserTimeout(unackedTimeout),
	}
	return dlr.DialContext(ctx, network, adr)
}

func newStore(set *settings.Settings, met metrics.Registry, log *zap.Logger) objects.Store {
	htc := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, adr string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, storeDialTimeout)
				defer cancel()
				return Dial(ctx, network, adr)
			},
			MaxIdleConnsPerHost: 8,
			DisableCompression:  true,
		},
	}
	storeMetrics := platform.StoreMetrics{
		Calls:    metrics.GetOrRegisterCounter("PlatformCalls", met),
		Timeouts: metrics.GetOrRegisterCounter("PlatformTimeouts", met),
		Era:      metrics.GetOrRegisterGauge("PlatformStoreEra", met),
	}
	return platform.NewStore(set.Platform.Address, htc, set.Platform.Timeout, storeMetrics, log).Objects()
}

func newPool(dialServer DialFunc, clk clockwork.Clock, met metrics.Registry) *upstream.Pool {
	return upstream.New(dialServer, clk, metrics.GetOrRegisterCounter("UpstreamConnections", met))
}

func newColdLimiter(stc *storeCache, clk clockwork.Clock) *coldlimit.Limiter {
	return coldlimit.New(stc.knownDaemons, clk.Now())
}

func newServerLimiter() *serverlimit.Limiter {
	return serverlimit.New(rand.Float64)
}

func newPromptCrashes() *promptcrash.Tracker {
	return promptcrash.New(rand.Float64)
}

func newBudget(set *settings.Settings, stc *storeCache, clk clockwork.Clock) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Config{
		Ratio:   set.Site.RetryRatio,
		Reserve: set.Site.RetryReserve,
		Window:  set.Site.RetryWindow,
	}, stc.reserveShare, clk.Now())
}

func newPlacement(
	set *settings.Settings,
	stc *storeCache,
	inv *inventory.Inventory,
	viw *loadview.View,
	mtr *demand.Meter,
	trk *outlier.Tracker,
	cold *coldlimit.Limiter,
	lim *serverlimit.Limiter,
	sel *serverpath.Selector,
	lrn *firsttoken.Learner,
	ldg *reservation.Ledger,
	prc *promptCache,
	met metrics.Registry,
	sus *suspicion.Tracker,
	sux *suspicionExchange,
	clk clockwork.Clock,
	log *zap.Logger,
) *placement.Placement {
	unregistered := metrics.GetOrRegisterCounter("UnregisteredGroupsChosen", met)
	cfg := placement.Config{
		AvailabilityZone: set.Entry.AvailabilityZone,
		ColdExcess:       set.Site.ColdExcess,
		ColdReserve:      set.Site.ColdReserve,
	}
	dps := placement.Dependencies{
		Registrations:      stc.registry.View,
		InService:          func(zone string) bool { return !inv.Zone(zone).Out },
		OthersLoad:         viw.OthersLoad,
		OthersStaleness:    viw.Staleness,
		LastByte:           lastByte(trk, viw),
		ReportUnregistered: func() { unregistered.Inc(1) },
		LimitShare: func(service, model string, now time.Time) float64 {
			own := mtr.Rates(now)
			return demand.Share(own, viw.SiteDemand(own, now), service, model, stc.daemonCount())
		},
		FirstTokenError:  lrn.Error,
		RecordFirstToken: newFirstTokenRecorder(lrn, met, log),
		Reserve:          ldg.Decide,
		Seed:             rand.Uint64,
		Prompts:          prc.estimator,
		ReportSaved:      prc.reportSaved,
		Assess:           sus.Assess,
		BeginTrial:       sux.beginTrial,
		ReportFailure:    sux.reportFailure,
		ReportStalled: func(all loadview.Load) {
			log.Named("placement").Info("an engine sends nothing although responses are due; ejecting it for a while",
				zap.String("server", all.Server), zap.Int("requests", all.Requests),
				zap.Duration("quiet", all.SinceLastByte), zap.Duration("waiting", all.ResponseDueFor))
			if srv, ok := stc.registry.View().Server(all.Server); ok {
				sel.Suspect(srv.Address)
			}
		},
	}
	return placement.New(cfg, dps, trk, cold, lim, clk)
}

// lastByte returns a function for when a backend server last sent a byte of a response to this daemon or, as far as
// announced, to another one.
func lastByte(trk *outlier.Tracker, viw *loadview.View) func(server string, now time.Time) time.Time {
	return func(server string, now time.Time) time.Time {
		own, others := trk.LastProgress(server), viw.LastByte(server, now)
		if own.After(others) {
			return own
		}
		return others
	}
}

func newRelay(
	stc *storeCache,
	plm *placement.Placement,
	sel *serverpath.Selector,
	acc *retryAccount,
	cex *crashExchange,
	sux *suspicionExchange,
	rej *rejections.Tracker,
	gsp *gossip,
	mtr *demand.Meter,
	trk *outlier.Tracker,
	lim *serverlimit.Limiter,
	bdr *requestbody.Reader,
	ldg *reservation.Ledger,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *relay.Relay {
	dps := relay.Dependencies{
		Table:                  stc.activeTable,
		ConfigurationAge:       stc.followers[platform.KindConfig].Age,
		IsConfigurationCurrent: stc.followers[platform.KindConfig].IsCurrent,
		ReadBody:               bdr.Read,
		Choose:                 plm.Choose,
		Connect:                sel.Connect,
		SuspectPath:            sel.Suspect,
		ReportFailure:          sux.reportFailure,
		RecordRequest:          acc.recordRequest,
		TakeRetry:              acc.takeRetry,
		ReturnRetry:            acc.bud.ReturnRetry,
		RecordDemand: func(req placement.Request, now time.Time) {
			if mod := req.RequestedModel(); mod != nil {
				work := admission.Work(req.Service.Engine, mod, req.PromptTokens, req.ExpectedTokens)
				mtr.Record(req.Service.Name, mod.Name, work, now)
			}
		},
		RecordAdmission: func(req placement.Request, sent bool, now time.Time) {
			if req.RequestedModel() != nil && req.Objective > 0 {
				ldg.Record(req.ReservationKey(), req.Class(), req.PromptTokens, sent, now)
			}
		},
		BlockedFor:     cex.blockedFor,
		ReportCrash:    cex.recordCrash,
		ReportSurvival: cex.recordSurvival,
		ReportRejection: func(fpr quarantine.Fingerprint, arrived time.Time) {
			rej.RecordRejection(rejections.MarkOf(string(fpr)), arrived, clk.Now())
		},
		SinceFirstArrival: func(fpr quarantine.Fingerprint, now time.Time) time.Duration {
			return rej.SinceFirstArrival(rejections.MarkOf(string(fpr)), now)
		},
		ObserveLimit: func(srv *serverregistry.Server, rate float64) bool {
			return lim.Observe(srv.ID, srv.StartTime, rate)
		},
		ReportStopping: func(srv *serverregistry.Server) { gsp.broadcastStopping(srv.Process()) },
	}
	return relay.New(platform.HeaderFormat(), dps, trk, met, clk, log)
}

func newLease(set *settings.Settings, pst objects.Store, clk clockwork.Clock) *lease.Lease {
	return lease.New(sitecontrol.LeaseName, set.Entry.Name, set.Control.LeaseDuration, pst, clk)
}

func newAllocationWriter(pst objects.Store, inv *inventory.Inventory, les *lease.Lease) *allocationwriter.Writer {
	return allocationwriter.New(pst, inv, les.Held)
}

func newSiteController(
	set *settings.Settings,
	stc *storeCache,
	sel *serverpath.Selector,
	rly *relay.Relay,
	gsp *gossip,
	mtr *demand.Meter,
	viw *loadview.View,
	trk *outlier.Tracker,
	les *lease.Lease,
	inv *inventory.Inventory,
	wrt *allocationwriter.Writer,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *sitecontrol.Controller {
	cfg := sitecontrol.Config{
		StallTime: set.Site.StallTime,
	}
	held := metrics.GetOrRegisterGauge("UnregisteredGroupsHeld", met)
	lost := metrics.GetOrRegisterCounter("UnregisteredGroupsLost", met)
	dps := sitecontrol.Dependencies{
		Table:            stc.activeTable,
		Registrations:    func() *serverregistry.View { return stc.registry.View() },
		ChecksLeaseOften: stc.isLeaseCandidate,
		CurrentFor:       stc.currentFor,
		Demand: func(service string) map[string]float64 {
			now := clk.Now()
			dem := map[string]float64{}
			for _, rat := range viw.SiteDemand(mtr.Rates(now), now) {
				if rat.Service == service {
					dem[rat.Model] = rat.VMs
				}
			}
			return dem
		},
		LastByte:           lastByte(trk, viw),
		ReportHeld:         func(groups int) { held.Update(int64(groups)) },
		ReportHeldLost:     func() { lost.Inc(1) },
		BeforeFirstRequest: func() bool { return set.Site.FirstStart && !rly.HasServedRequests() },
		SendOrder: func(ctx context.Context, ord orderplan.Order, fence uint64) error {
			ver, err := sendOrder(ctx, sel, ord, fence)
			if srv, ok := stc.registry.View().Server(ord.Server); ok && ver.Stopping {
				gsp.broadcastStopping(srv.Process())
			}
			return err
		},
	}
	return sitecontrol.New(cfg, dps, les, inv, wrt, clk, log)
}

// crashesToQuarantine is the number of backend servers whose connections a request must have broken before it is
// rejected. A request whose stream is resumed can be part of two breaks that it did not cause, for example when a zone
// is lost.
const crashesToQuarantine = 3

// leaseCandidates is the number of daemons that frequently check a lease that another daemon holds. It is more than one
// so that one of them may fail.
const leaseCandidates = 3

// orderConnectTimeout bounds the time to connect to an engine for an order.
const orderConnectTimeout = 600 * time.Millisecond

// sendOrder sends an order to an engine. It returns the engine's state as read from its response, and an error if the
// order was not accepted.
func sendOrder(ctx context.Context, sel *serverpath.Selector, ord orderplan.Order, fence uint64) (relay.ResponseHeaders, error) {
	call, err := platform.EncodeOrder(ord, fence)
	if err != nil {
		return relay.ResponseHeaders{}, errors.Trace(err)
	}
	con, err := sel.Connect(ctx, ord.Address, orderConnectTimeout)
	if err != nil {
		return relay.ResponseHeaders{}, errors.Trace(err)
	}
	ans, err := con.Do(ctx, call)
	if err != nil {
		return relay.ResponseHeaders{}, errors.Trace(err)
	}
	ans.Finish(ans.Discard() == nil)
	return platform.HeaderFormat().ParseResponse(ans.Response), errors.Trace(platform.OrderStatusError(ans.StatusCode))
}
