package entry

import (
	"context"
	"net/http"

	"go.uber.org/zap"
)

// stop ends the daemon's work without interrupting a request in progress. Readiness fails first, and new
// requests are still served during the notice: the balancer sends them until it has noticed, and
// refusing them would fail requests at each planned restart. After the notice they are refused as not
// run. Connections to peers stay up until the forwarded streams have ended.
func (ent *Entry) stop(ctx context.Context, servers []*http.Server) {
	set := ent.dep.Settings.Requests
	log := ent.dep.Log.Named("entry")
	log.Info("entry VM is stopping", zap.Duration("notice", set.StopNotice))
	ent.dep.Caller.FailReadiness()
	ent.dep.Clock.Sleep(set.StopNotice)
	drain, cancel := context.WithTimeout(ctx, set.DrainTimeout)
	defer cancel()
	ent.dep.Membership.Leave(drain)
	ent.dep.Caller.Drain(drain)
	ent.dep.Dispatcher.Drain(drain)
	ent.dep.Ledger.Drain(drain)
	for _, srv := range servers {
		_ = srv.Shutdown(drain)
	}
}
