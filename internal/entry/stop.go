package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/listening"
)

// stop drains the daemon without interrupting a request in progress. The readiness check fails first, but
// new requests are still served during StopNotice: the load balancer sends them until it notices, and
// rejecting them would fail requests at each planned restart. After StopNotice new requests are rejected
// as not run. Connections to peers stay open until the forwarded streams have ended.
func (dmn *Daemon) stop(ctx context.Context, servers []*listening.Server) {
	set := dmn.components.Settings.Requests
	log := dmn.components.Logger.Named("entry")
	log.Info("daemon is stopping", zap.Duration("notice", set.StopNotice))
	dmn.components.Caller.FailReadiness()
	dmn.components.Clock.Sleep(set.StopNotice)
	drain, cancel := context.WithTimeout(ctx, set.DrainTimeout)
	defer cancel()
	dmn.components.Membership.Leave(drain)
	dmn.components.Caller.Drain(drain)
	dmn.components.Dispatcher.Drain(drain)
	dmn.components.Ledger.Drain(drain)
	for _, srv := range servers {
		_ = srv.Shutdown(drain)
	}
}
