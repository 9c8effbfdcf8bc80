package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
)

const (
	kindNotice = "Notice"
	kindPull   = "Pull"
	// fanout is the number of peers told of news: with 3, a notice reaches 59 daemons in about 4 steps,
	// and each daemon sends 3 small frames for a change, whatever the size of the zone.
	fanout = 3
	// interval is the time between two comparisons of positions with a random peer. The few daemons that
	// no notice reached need a few intervals, so it must stay well below the 5 s for a configuration.
	interval = time.Second
	// callTimeout bounds one exchange with a peer.
	callTimeout = time.Second
)

// Topic is one piece of state that is spread.
type Topic struct {
	Name string
	// Position is how far this daemon's copy has come; it only grows.
	Position func() uint64
	// Since returns what a daemon at a position lacks, encoded, or nil if nothing.
	Since func(position uint64) ([]byte, error)
	// Take adds what a peer sent to this daemon's copy.
	Take func(ctx context.Context, data []byte) error
}

// Gossip spreads the topics of one daemon.
type Gossip struct {
	msh   *peer.Mesh
	peers func() []peer.Identity
	clk   clockwork.Clock
	log   *zap.Logger

	mu     sync.Mutex
	topics map[string]Topic
}

type notice struct {
	_ struct{} `cbor:",toarray"`

	Topic    string
	Position uint64
}

type pull struct {
	_ struct{} `cbor:",toarray"`

	Positions map[string]uint64
}

type answer struct {
	_ struct{} `cbor:",toarray"`

	News map[string]cbor.RawMessage
	// Positions are the answering daemon's, so that the asking one learns of what it should be pulled for.
	Positions map[string]uint64
}

// New returns a gossip between the daemons that peers returns, which may include this one.
func New(msh *peer.Mesh, peers func() []peer.Identity, clk clockwork.Clock, log *zap.Logger) *Gossip {
	gsp := &Gossip{
		msh:    msh,
		peers:  peers,
		clk:    clk,
		log:    log.Named("gossip"),
		topics: map[string]Topic{},
	}
	msh.Handle(kindNotice, gsp.takeNotice)
	msh.Handle(kindPull, gsp.answerPull)
	return gsp
}

// Add starts to spread a topic.
func (gsp *Gossip) Add(top Topic) {
	gsp.mu.Lock()
	defer gsp.mu.Unlock()
	gsp.topics[top.Name] = top
}

// Run compares positions with a random peer every interval until ctx ends.
func (gsp *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if ids := gsp.others(); len(ids) > 0 {
			_ = gsp.Pull(ctx, ids[0].Address)
		}
		select {
		case <-ctx.Done():
		case <-gsp.clk.After(interval):
		}
	}
}

// Announce tells a few peers that this daemon's copy of a topic has grown.
func (gsp *Gossip) Announce(ctx context.Context, topic string) {
	top, ok := gsp.topic(topic)
	if !ok {
		return
	}
	ntc := notice{
		Topic:    topic,
		Position: top.Position(),
	}
	ids := gsp.others()
	for _, ide := range ids[:min(fanout, len(ids))] {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			_ = gsp.msh.Send(ctx, ide.Address, kindNotice, ntc)
		}()
	}
}

// Pull takes from the daemon at adr what this one lacks; the peer then pulls in turn if it lacks something.
func (gsp *Gossip) Pull(ctx context.Context, adr string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var ans answer
	if err := gsp.msh.Call(ctx, adr, kindPull, pull{Positions: gsp.positions()}, &ans); err != nil {
		return err
	}
	for name, data := range ans.News {
		gsp.take(ctx, name, data)
	}
	for name, pos := range ans.Positions {
		top, ok := gsp.topic(name)
		if ok && top.Position() > pos {
			_ = gsp.msh.Send(ctx, adr, kindNotice, notice{
				Topic:    name,
				Position: top.Position(),
			})
		}
	}
	return nil
}

// take adds news to a topic and passes them on if they were news.
func (gsp *Gossip) take(ctx context.Context, name string, data []byte) {
	top, ok := gsp.topic(name)
	if !ok {
		return
	}
	before := top.Position()
	if err := top.Take(ctx, data); err != nil {
		gsp.log.Warn("cannot take news from a peer", zap.String("topic", name), zap.Error(err))
		return
	}
	if top.Position() > before {
		gsp.Announce(ctx, name)
	}
}

func (gsp *Gossip) takeNotice(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var ntc notice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err
	}
	if top, ok := gsp.topic(ntc.Topic); ok && top.Position() < ntc.Position {
		return nil, gsp.Pull(ctx, from.Address)
	}
	return nil, nil
}

func (gsp *Gossip) answerPull(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var pll pull
	if err := peer.Decode(body, &pll); err != nil {
		return nil, err
	}
	ans := answer{
		News:      map[string]cbor.RawMessage{},
		Positions: map[string]uint64{},
	}
	for name, pos := range pll.Positions {
		top, ok := gsp.topic(name)
		if !ok {
			continue
		}
		if own := top.Position(); own <= pos {
			if own < pos {
				ans.Positions[name] = own
			}
			continue
		}
		data, err := top.Since(pos)
		if err != nil {
			return nil, err
		}
		if data != nil {
			ans.News[name] = data
		}
	}
	return ans, nil
}

func (gsp *Gossip) positions() map[string]uint64 {
	gsp.mu.Lock()
	tops := make([]Topic, 0, len(gsp.topics))
	for _, top := range gsp.topics {
		tops = append(tops, top)
	}
	gsp.mu.Unlock()
	poss := map[string]uint64{}
	for _, top := range tops {
		poss[top.Name] = top.Position()
	}
	return poss
}

func (gsp *Gossip) topic(name string) (Topic, bool) {
	gsp.mu.Lock()
	defer gsp.mu.Unlock()
	top, ok := gsp.topics[name]
	return top, ok
}

// others returns the other daemons in random order.
func (gsp *Gossip) others() []peer.Identity {
	self := gsp.msh.Self().Name
	var ids []peer.Identity
	for _, ide := range gsp.peers() {
		if ide.Name != self {
			ids = append(ids, ide)
		}
	}
	rand.Shuffle(len(ids), func(fst, snd int) { ids[fst], ids[snd] = ids[snd], ids[fst] })
	return ids
}
