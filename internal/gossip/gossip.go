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
	// fanout is the number of peers that a daemon notifies of a change. With 3, a change reaches 59 daemons in
	// about 4 hops, and each daemon sends 3 small frames per change regardless of the size of the zone.
	fanout = 3
	// pullInterval is the time between two pulls from random peers. A daemon that no notice has reached may need
	// a few intervals to receive a change, so the interval must be well below the 5 s within which a
	// configuration must reach all daemons.
	pullInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
)

// Topic is a unit of replicated state.
type Topic struct {
	Name string
	// Position returns the position of this daemon's copy, which only increases.
	Position func() uint64
	// ChangesSince returns the encoded changes after a position, or nil if there are none.
	ChangesSince func(position uint64) ([]byte, error)
	// Apply applies the changes that a peer has sent to this daemon's copy.
	Apply func(ctx context.Context, data []byte) error
}

// Gossip exchanges the changes of topics with the other daemons.
type Gossip struct {
	mesh  *peer.Mesh
	peers func() []peer.Identity
	clock clockwork.Clock
	log   *zap.Logger

	mu     sync.Mutex
	topics map[string]Topic
}

// notice notifies a peer of the position of a topic.
type notice struct {
	_ struct{} `cbor:",toarray"`

	Topic    string
	Position uint64
}

// pull requests the changes after the positions of the sender, by topic.
type pull struct {
	_ struct{} `cbor:",toarray"`

	Positions map[string]uint64
}

// pullReply is the reply to a pull.
type pullReply struct {
	_ struct{} `cbor:",toarray"`

	// Changes holds the encoded changes by topic.
	Changes map[string]cbor.RawMessage
	// Positions are those of the topics in which the replying daemon is behind, so that the other daemon can
	// notify it and it pulls in turn.
	Positions map[string]uint64
}

// New returns a Gossip between the daemons that peers returns. That list may include this daemon.
func New(mesh *peer.Mesh, peers func() []peer.Identity, clock clockwork.Clock, log *zap.Logger) *Gossip {
	gsp := &Gossip{
		mesh:   mesh,
		peers:  peers,
		clock:  clock,
		log:    log.Named("gossip"),
		topics: map[string]Topic{},
	}
	mesh.Handle(kindNotice, gsp.handleNotice)
	mesh.Handle(kindPull, gsp.handlePull)
	return gsp
}

// Add registers a topic.
func (gsp *Gossip) Add(topic Topic) {
	gsp.mu.Lock()
	defer gsp.mu.Unlock()
	gsp.topics[topic.Name] = topic
}

// Run pulls from a random peer every interval until ctx is done.
func (gsp *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if ids := gsp.shuffledPeers(); len(ids) > 0 {
			_ = gsp.Pull(ctx, ids[0].Address)
		}
		select {
		case <-ctx.Done():
		case <-gsp.clock.After(pullInterval):
		}
	}
}

// Announce notifies a few random peers that the position of a topic has increased.
func (gsp *Gossip) Announce(ctx context.Context, topic string) {
	top, ok := gsp.topic(topic)
	if !ok {
		return
	}
	ntc := notice{
		Topic:    topic,
		Position: top.Position(),
	}
	ids := gsp.shuffledPeers()
	for _, ide := range ids[:min(fanout, len(ids))] {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			_ = gsp.mesh.Send(ctx, ide.Address, kindNotice, ntc)
		}()
	}
}

// Pull requests missing changes of all topics from the daemon at address and applies them. If that daemon is
// behind in a topic, Pull notifies it, so that it pulls in turn.
func (gsp *Gossip) Pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rep pullReply
	if err := gsp.mesh.Call(ctx, address, kindPull, pull{Positions: gsp.positions()}, &rep); err != nil {
		return err
	}
	for name, data := range rep.Changes {
		gsp.apply(ctx, name, data)
	}
	for name, pos := range rep.Positions {
		top, ok := gsp.topic(name)
		if ok && top.Position() > pos {
			_ = gsp.mesh.Send(ctx, address, kindNotice, notice{
				Topic:    name,
				Position: top.Position(),
			})
		}
	}
	return nil
}

// apply applies the changes of a peer to a topic and announces them if the position has increased.
func (gsp *Gossip) apply(ctx context.Context, name string, data []byte) {
	top, ok := gsp.topic(name)
	if !ok {
		return
	}
	before := top.Position()
	if err := top.Apply(ctx, data); err != nil {
		gsp.log.Warn("cannot apply changes from a peer", zap.String("topic", name), zap.Error(err))
		return
	}
	if top.Position() > before {
		gsp.Announce(ctx, name)
	}
}

// handleNotice pulls from the sender of a notice if this daemon is behind in the topic.
func (gsp *Gossip) handleNotice(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var ntc notice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err
	}
	if top, ok := gsp.topic(ntc.Topic); ok && top.Position() < ntc.Position {
		return nil, gsp.Pull(ctx, from.Address)
	}
	return nil, nil
}

// handlePull replies with the changes that the sender of a pull does not have.
func (gsp *Gossip) handlePull(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var pll pull
	if err := peer.Decode(body, &pll); err != nil {
		return nil, err
	}
	rep := pullReply{
		Changes:   map[string]cbor.RawMessage{},
		Positions: map[string]uint64{},
	}
	for name, pos := range pll.Positions {
		top, ok := gsp.topic(name)
		if !ok {
			continue
		}
		if own := top.Position(); own <= pos {
			if own < pos {
				rep.Positions[name] = own
			}
			continue
		}
		data, err := top.ChangesSince(pos)
		if err != nil {
			return nil, err
		}
		if data != nil {
			rep.Changes[name] = data
		}
	}
	return rep, nil
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

// shuffledPeers returns the other daemons in random order.
func (gsp *Gossip) shuffledPeers() []peer.Identity {
	self := gsp.mesh.Self().Name
	var ids []peer.Identity
	for _, ide := range gsp.peers() {
		if ide.Name != self {
			ids = append(ids, ide)
		}
	}
	rand.Shuffle(len(ids), func(fst, snd int) { ids[fst], ids[snd] = ids[snd], ids[fst] })
	return ids
}
