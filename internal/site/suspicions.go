package site

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/serverpath"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/suspicion"
)

const (
	// frameKindSuspicions is the kind of the frames that carry a suspicionMessage. Daemons of versions without it ignore them.
	frameKindSuspicions = "Suspicions"
	// silenceCheckInterval is the time between two checks for engines that have fallen silent, a fraction of the least time
	// after which one counts as stalled.
	silenceCheckInterval = 25 * time.Millisecond
	// maxCheckDelay is the delay of such a check beyond which it is passed over: this daemon had no processor meanwhile, and
	// events may have arrived that it has not read.
	maxCheckDelay = 50 * time.Millisecond
)

// suspicionMessage is what daemons tell each other about failures of backend servers. It is encoded with field names, so
// that fields can be added.
type suspicionMessage struct {
	Reports []suspicion.Report
}

// suspicionExchange exchanges reports of failures with the other daemons.
type suspicionExchange struct {
	// enabled is set by Site.ShareSuspicions. Otherwise nothing is reported, and what others report is ignored.
	enabled bool
	stc     *storeCache
	trk     *suspicion.Tracker
	out     *outlier.Tracker
	sel     *serverpath.Selector
	// sendSoon makes the next message to the other daemons leave at once.
	sendSoon func()
	clk      clockwork.Clock
	log      *zap.Logger

	reported  metrics.Counter
	received  metrics.Counter
	trials    metrics.Counter
	suspected metrics.Gauge
}

func newSuspicions(
	set *settings.Settings,
	stc *storeCache,
	out *outlier.Tracker,
	sel *serverpath.Selector,
) *suspicion.Tracker {
	self := suspicion.Daemon{
		Name:             set.Entry.Name,
		AvailabilityZone: set.Entry.AvailabilityZone,
	}
	return suspicion.New(self, suspicion.Dependencies{
		Daemons: func() []suspicion.Daemon {
			var dmns []suspicion.Daemon
			for _, dmn := range stc.registeredDaemons() {
				dmns = append(dmns, suspicion.Daemon{
					Name:             dmn.Name,
					AvailabilityZone: dmn.AvailabilityZone,
				})
			}
			return dmns
		},
		Registrations:   stc.registry.View,
		LastProgress:    out.LastProgress,
		ReachesDirectly: sel.Reaches,
	})
}

func newSuspicionExchange(
	set *settings.Settings,
	stc *storeCache,
	trk *suspicion.Tracker,
	out *outlier.Tracker,
	sel *serverpath.Selector,
	cex *crashExchange,
	msh *peer.Mesh,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *suspicionExchange {
	sux := &suspicionExchange{
		enabled:  set.Site.ShareSuspicions,
		stc:      stc,
		trk:      trk,
		out:      out,
		sel:      sel,
		sendSoon: cex.sendSoon,
		clk:      clk,
		log:      log.Named("suspicions"),

		reported:  metrics.GetOrRegisterCounter("SuspicionsReported", met),
		received:  metrics.GetOrRegisterCounter("SuspicionsReceived", met),
		trials:    metrics.GetOrRegisterCounter("SuspicionTrials", met),
		suspected: metrics.GetOrRegisterGauge("ServersSuspected", met),
	}
	msh.Handle(frameKindSuspicions, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var msg suspicionMessage
		if err := peer.Decode(body, &msg); err != nil {
			return nil, errors.Trace(err)
		}
		sux.receive(msg)
		return nil, nil
	})
	return sux
}

// reportFailure records that a backend server failed this daemon, and tells the others.
func (sux *suspicionExchange) reportFailure(srv *serverregistry.Server, kind suspicion.Kind, now time.Time) {
	if !sux.enabled || !sux.trk.ReportFailure(srv.Process(), kind, now) {
		return
	}
	sux.reported.Inc(1)
	sux.log.Info("a backend server fails; reporting it to the other daemons", zap.String("server", srv.ID), zap.String("kind", string(kind)))
	sux.sendSoon()
}

// beginTrial reports whether this daemon may try a suspected server, and tells the others.
func (sux *suspicionExchange) beginTrial(srv *serverregistry.Server, now time.Time) bool {
	if !sux.trk.BeginTrial(srv, now) {
		return false
	}
	sux.trials.Inc(1)
	sux.log.Info("trying a suspected backend server", zap.String("server", srv.ID))
	sux.sendSoon()
	return true
}

// receive processes the message of another daemon. A daemon that forwards passes on what is new to it.
func (sux *suspicionExchange) receive(msg suspicionMessage) {
	if !sux.enabled {
		return
	}
	now := sux.clk.Now()
	forwards := sux.stc.forwards.Load()
	for _, rep := range msg.Reports {
		if !sux.trk.Receive(rep, forwards, now) {
			continue
		}
		if forwards {
			sux.sendSoon()
		}
		sux.apply(rep)
	}
}

// apply does what news of another daemon requires beside the verdicts on servers. It logs at the level debug, since each report
// reaches all daemons; the daemon that makes it logs it, too.
func (sux *suspicionExchange) apply(rep suspicion.Report) {
	switch rep.Kind {
	case suspicion.Trial:
		return
	case suspicion.Progress:
		sux.out.EndOutage(rep.Server)
		sux.log.Debug("another daemon reports that a backend server works again", zap.String("server", rep.Server), zap.String("peer", rep.Daemon))
		return
	case suspicion.Unreachable:
		// If a link between zones failed, this daemon's requests can take another path before any of them fails.
		if srv, ok := sux.stc.registry.View().Server(rep.Server); ok && rep.Zone == sux.trk.Zone() {
			sux.sel.Suspect(srv.Address)
		}
	case suspicion.Stalled, suspicion.Reset:
	}
	sux.received.Inc(1)
	sux.log.Debug("another daemon reports that a backend server fails", zap.String("server", rep.Server), zap.String("kind", string(rep.Kind)),
		zap.String("peer", rep.Daemon), zap.Duration("age", rep.Age))
}

// run reports engines that fall silent and ends suspicions by progress, until ctx ends.
func (sux *suspicionExchange) run(ctx context.Context, plm *placement.Placement) {
	if !sux.enabled {
		return
	}
	for last := sux.clk.Now(); ctx.Err() == nil; {
		sleep(ctx, sux.clk, silenceCheckInterval)
		now := sux.clk.Now()
		late := now.Sub(last) > silenceCheckInterval+maxCheckDelay
		last = now
		if late {
			continue
		}
		for _, sil := range plm.ReportSilent(now) {
			sux.log.Debug("an engine sends no events", zap.String("server", sil.Server.ID), zap.Duration("silentFor", sil.For), zap.Duration("limit", sil.Limit))
		}
		sux.endSuspicions(now)
	}
}

// endSuspicions ends the suspicions of servers that made progress, and tells the others.
func (sux *suspicionExchange) endSuspicions(now time.Time) {
	ended := sux.trk.EndSuspicions(now)
	sux.suspected.Update(int64(sux.trk.Suspected()))
	if len(ended) == 0 {
		return
	}
	for _, id := range ended {
		sux.out.EndOutage(id)
	}
	sux.log.Info("suspected backend servers work", zap.Strings("servers", ended))
	sux.sendSoon()
}
