package probe

import (
	"context"
	"time"

	"github.com/cumintally/cumintally/internal/peer"
)

// pullInterval returns the time between two pulls. In a large zone a report passes through two relays, so
// one probe and three pulls together must take less than the limit on the age of a report, 1.5 s by default.
func (prb *Prober) pullInterval(daemons int) time.Duration {
	if daemons <= fullMeshLimit {
		return prb.interval
	}
	return prb.interval * 3 / 4
}

// staleAge returns the age above which a report is stale. It is the sum of the probe interval, the interval
// of each pull on the way and a margin, so that a report stays below it while the owner probes the VM in time.
func (prb *Prober) staleAge(daemons int) time.Duration {
	if daemons <= fullMeshLimit {
		return prb.interval * 5 / 2
	}
	return prb.interval * 7 / 2
}

// pullAll starts a pull from each source.
func (prb *Prober) pullAll(ctx context.Context, alive []peer.Identity) {
	srcs := sources(prb.mesh.Self().Name, alive)
	for _, src := range srcs {
		go prb.pull(ctx, src, prb.subscriptionTo(src))
	}
	prb.dropUnusedSubscriptions(srcs)
}

// key returns the key of the subscription to the source.
func (src source) key() string {
	return src.address + " " + src.feed
}

// subscriptionTo returns the subscription to a source and creates it if there is none.
func (prb *Prober) subscriptionTo(src source) *subscription {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	sub, ok := prb.subscriptions[src.key()]
	if !ok {
		sub = newSubscription()
		prb.subscriptions[src.key()] = sub
	}
	return sub
}

// dropUnusedSubscriptions removes the subscriptions to feeds that are no longer sources.
func (prb *Prober) dropUnusedSubscriptions(srcs []source) {
	asked := map[string]bool{}
	for _, src := range srcs {
		asked[src.key()] = true
	}
	prb.mu.Lock()
	defer prb.mu.Unlock()
	for key := range prb.subscriptions {
		if !asked[key] {
			delete(prb.subscriptions, key)
		}
	}
}

// pull requests the changes from a source and records the reports that the reply confirms.
func (prb *Prober) pull(ctx context.Context, src source, sub *subscription) {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	req := sub.request(src.feed)
	asked := prb.clock.Now()
	var rpl pullReply
	if err := prb.mesh.Call(ctx, src.address, kindEvidence, req, &rpl); err != nil {
		return
	}
	for _, ent := range sub.apply(req, rpl, asked) {
		prb.table.Record(ent)
		for _, name := range src.republish {
			prb.feeds[name].put(ent)
		}
	}
}

// handlePull replies to another daemon with the changes of one of this daemon's feeds.
func (prb *Prober) handlePull(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var req pullRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	fed, ok := prb.feeds[req.Feed]
	if !ok {
		return nil, peer.ErrRejected
	}
	return fed.reply(req, prb.clock.Now(), prb.interval*lateAgePercent[req.Feed]/100), nil
}
