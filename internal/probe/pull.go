package probe

import (
	"context"
	"time"

	"github.com/cumintally/cumintally/internal/peer"
)

// pullInterval returns the time between two pulls. In a large zone a report passes two relays on its
// way; probing and three pulls together must stay below the bound on its age, 1.5 s by default.
func (prb *Prober) pullInterval(daemons int) time.Duration {
	if daemons <= meshLimit {
		return prb.interval
	}
	return prb.interval * 3 / 4
}

// usualAge returns an age that reports do not reach while the daemon that probes the VM does so in time:
// one interval of probing, one for each pull on the way, and a margin.
func (prb *Prober) usualAge(daemons int) time.Duration {
	if daemons <= meshLimit {
		return prb.interval * 5 / 2
	}
	return prb.interval * 7 / 2
}

// pullAll asks each source for what it has.
func (prb *Prober) pullAll(ctx context.Context, alive []peer.Identity) {
	srcs := sources(prb.msh.Self().Name, alive)
	for _, src := range srcs {
		go prb.pull(ctx, src, prb.subscribe(src))
	}
	prb.dropOthers(srcs)
}

func (src source) key() string {
	return src.address + " " + src.feed
}

func (prb *Prober) subscribe(src source) *subscription {
	prb.mu.Lock()
	defer prb.mu.Unlock()
	sub, ok := prb.subs[src.key()]
	if !ok {
		sub = newSubscription()
		prb.subs[src.key()] = sub
	}
	return sub
}

// dropOthers forgets what came from daemons that are no longer asked.
func (prb *Prober) dropOthers(srcs []source) {
	asked := map[string]bool{}
	for _, src := range srcs {
		asked[src.key()] = true
	}
	prb.mu.Lock()
	defer prb.mu.Unlock()
	for key := range prb.subs {
		if !asked[key] {
			delete(prb.subs, key)
		}
	}
}

// pull asks a source what changed and records what it confirms.
func (prb *Prober) pull(ctx context.Context, src source, sub *subscription) {
	ctx, cancel := context.WithTimeout(ctx, 2*prb.interval)
	defer cancel()
	que := sub.question(src.feed)
	asked := prb.clk.Now()
	var ans news
	if err := prb.msh.Call(ctx, src.address, kindEvidence, que, &ans); err != nil {
		return
	}
	for _, ent := range sub.take(que, ans, asked) {
		prb.tab.Record(ent)
		for _, name := range src.into {
			prb.feeds[name].put(ent)
		}
	}
}

// answer gives another daemon what it lacks of one of this daemon's feeds.
func (prb *Prober) answer(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var que question
	if err := peer.Decode(body, &que); err != nil {
		return nil, err
	}
	fed, ok := prb.feeds[que.Feed]
	if !ok {
		return nil, peer.ErrRejected
	}
	return fed.answer(que, prb.clk.Now(), prb.interval*lateAfter[que.Feed]/100), nil
}
