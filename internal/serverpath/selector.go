package serverpath

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	// probeTimeout bounds a direct connection by which a path is checked. It is many times the delay between zones, and
	// more than the time for which a busy VM may get no processor.
	probeTimeout = 200 * time.Millisecond
	// maxProbes is the number of servers that are probed at a time, and maxTunnelProbes the number that are then tried
	// through other daemons.
	maxProbes       = 64
	maxTunnelProbes = 4
	// sweepInterval is the least time between two sweeps, so that servers that are down cost few connections.
	sweepInterval = 300 * time.Millisecond
	// hedgeDelay is the time without a result after which a further daemon is asked for a tunnel: it may have lost its
	// path, too, without knowing yet.
	hedgeDelay = 40 * time.Millisecond
	// maxHedges is the number of daemons that are asked for one tunnel.
	maxHedges = 3
	// peerBackoff is the time for which a daemon that opened no tunnel is asked after the others.
	peerBackoff = time.Second
	// readTimeout is the time since the last byte of a server after which kept connections to it are no longer used while
	// new ones fail.
	readTimeout = 300 * time.Millisecond
)

// Peer is another daemon that may open a tunnel.
type Peer struct {
	Name             string
	AvailabilityZone string
	// Address is the IP:port of its peer listener.
	Address string
}

// Dependencies holds the functions of other components that a Selector calls.
type Dependencies struct {
	// Probe connects to the server at address directly and closes the connection.
	Probe func(ctx context.Context, address string) error
	// Tunnel connects to the server at address through a peer.
	Tunnel func(ctx context.Context, peer Peer, address string) (net.Conn, error)
	// Peers returns the other daemons, and Servers the addresses of the servers that requests are sent to.
	Peers   func() []Peer
	Servers func() []string
	// ReportCut is called with servers that only other daemons reach. What failed there before says nothing about them.
	ReportCut func(addresses []string)
}

// Selector selects the paths of one daemon. It is safe for concurrent use.
type Selector struct {
	zone   string
	deps   Dependencies
	pool   *upstream.Pool
	clock  clockwork.Clock
	log    *zap.Logger
	cutNow metrics.Gauge

	mu sync.Mutex
	// sweeping is set while the paths are being checked, and suspected if that must be done again.
	sweeping  bool
	suspected bool
	sweptAt   time.Time
	// cut holds the addresses of servers that this daemon does not reach although others do.
	cut map[string]bool
	// failedPeers holds when a peer last opened no tunnel.
	failedPeers map[string]time.Time
}

// New returns a selector for a daemon in the availability zone called zone. It connects to all servers directly until
// connections fail.
func New(zone string, deps Dependencies, pool *upstream.Pool, registry metrics.Registry, clock clockwork.Clock, log *zap.Logger) *Selector {
	return &Selector{
		zone:        zone,
		deps:        deps,
		pool:        pool,
		clock:       clock,
		log:         log.Named("paths"),
		cutNow:      metrics.GetOrRegisterGauge("ServersCutOff", registry),
		cut:         map[string]bool{},
		failedPeers: map[string]time.Time{},
	}
}

// Connect returns a connection to the server at address. Errors are upstream.ErrNotSent.
func (sel *Selector) Connect(ctx context.Context, address string) (*upstream.Conn, error) {
	if sel.Reaches(address) {
		con, err := sel.pool.Get(ctx, address)
		if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
			sel.Suspect()
		}
		return con, errors.Trace(err)
	}
	if sel.clock.Since(sel.pool.LastRead(address)) < readTimeout {
		if con, ok := sel.pool.GetIdle(address); ok {
			return con, nil
		}
	}
	raw, err := sel.tunnel(ctx, address)
	if err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "connect to %s through other daemons", address), upstream.ErrNotSent)
	}
	return sel.pool.SingleUse(raw, address), nil
}

// Reaches reports whether this daemon is expected to reach the server at address directly.
func (sel *Selector) Reaches(address string) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return !sel.cut[address]
}

// Suspect checks the paths to all servers in the background, since a server could not be reached or sent nothing.
func (sel *Selector) Suspect() {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.suspected = true
	if !sel.sweeping {
		sel.sweeping = true
		go sel.sweepUntilReached()
	}
}

// sweepUntilReached sweeps all servers while that is requested, and those that are cut off until none is left.
func (sel *Selector) sweepUntilReached() {
	for {
		sel.clock.Sleep(sweepInterval - sel.clock.Since(sel.sweptAt))
		addresses, ok := sel.nextSweep()
		if !ok {
			return
		}
		sel.sweep(addresses)
		sel.sweptAt = sel.clock.Now()
	}
}

// nextSweep returns the servers to probe next, and false if there are none: the sweeps then end.
func (sel *Selector) nextSweep() ([]string, bool) {
	servers := sel.deps.Servers()
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if !sel.suspected {
		servers = slices.DeleteFunc(servers, func(address string) bool { return !sel.cut[address] })
	}
	if len(servers) == 0 {
		clear(sel.cut)
		sel.cutNow.Update(0)
		sel.sweeping = false
		return nil, false
	}
	sel.suspected = false
	rand.Shuffle(len(servers), func(one, two int) { servers[one], servers[two] = servers[two], servers[one] })
	return servers[:min(len(servers), maxProbes)], true
}

// sweep probes servers directly, and records those as cut off that do not respond, if any of them can be reached through
// other daemons. Otherwise they are taken to be down.
func (sel *Selector) sweep(addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	failed := probeAll(addresses, func(address string) error { return sel.deps.Probe(ctx, address) })
	reached := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return slices.Contains(failed, address) })
	if sel.recordReached(reached); len(failed) == 0 || !sel.anyReachedThroughPeers(failed) {
		sel.recordReached(failed)
		return
	}
	sel.recordCut(failed)
}

// recordReached records servers that are not cut off.
func (sel *Selector) recordReached(addresses []string) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	before := len(sel.cut)
	for _, adr := range addresses {
		delete(sel.cut, adr)
	}
	if len(sel.cut) < before {
		sel.cutNow.Update(int64(len(sel.cut)))
		sel.log.Info("backend servers are no longer cut off from this daemon", zap.Int("servers", before-len(sel.cut)), zap.Int("left", len(sel.cut)))
	}
}

// recordCut records servers that are cut off. Kept connections to them are closed, unless bytes still arrive there.
func (sel *Selector) recordCut(addresses []string) {
	sel.mu.Lock()
	var added []string
	for _, adr := range addresses {
		if !sel.cut[adr] {
			sel.cut[adr] = true
			added = append(added, adr)
		}
	}
	left := len(sel.cut)
	sel.cutNow.Update(int64(left))
	sel.mu.Unlock()
	if len(added) == 0 {
		return
	}
	sel.log.Warn("backend servers are cut off from this daemon; connecting to them through other daemons",
		zap.Strings("added", added), zap.Int("servers", left))
	for _, adr := range added {
		if sel.clock.Since(sel.pool.LastRead(adr)) >= readTimeout {
			sel.pool.CloseIdle(adr)
		}
	}
	sel.deps.ReportCut(added)
}

// anyReachedThroughPeers reports whether some of the servers can be reached through other daemons.
func (sel *Selector) anyReachedThroughPeers(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	tried := addresses[:min(len(addresses), maxTunnelProbes)]
	failed := probeAll(tried, func(address string) error {
		con, err := sel.tunnel(ctx, address)
		if err != nil {
			return err
		}
		return con.Close()
	})
	return len(failed) < len(tried)
}

// probeAll calls probe for all addresses at once and returns those for which it fails.
func probeAll(addresses []string, probe func(address string) error) []string {
	errs := make([]error, len(addresses))
	var wgr sync.WaitGroup
	for idx, adr := range addresses {
		wgr.Go(func() { errs[idx] = probe(adr) })
	}
	wgr.Wait()
	var failed []string
	for idx, adr := range addresses {
		if errs[idx] != nil {
			failed = append(failed, adr)
		}
	}
	return failed
}

// tunnelResult is the result of one attempt to open a tunnel.
type tunnelResult struct {
	con net.Conn
	err error
}

// tunnel connects to address through the first of several peers that succeeds.
func (sel *Selector) tunnel(ctx context.Context, address string) (net.Conn, error) {
	peers := sel.orderedPeers()
	if len(peers) == 0 {
		return nil, errors.New("no other daemon is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tunnelResult, len(peers))
	started, ended := 0, 0
	start := func() {
		per := peers[started]
		started++
		go func() {
			con, err := sel.deps.Tunnel(ctx, per, address)
			if err != nil && ctx.Err() == nil {
				sel.recordPeerFailure(per)
			}
			results <- tunnelResult{
				con: con,
				err: err,
			}
		}()
	}
	start()
	for {
		var hedge <-chan time.Time
		if started < len(peers) {
			hedge = sel.clock.After(hedgeDelay)
		}
		select {
		case <-hedge:
			start()
		case res := <-results:
			ended++
			if res.err == nil {
				go closeOthers(results, started-ended)
				return res.con, nil
			}
			if started < len(peers) {
				start()
			} else if ended == started {
				return nil, errors.Trace(res.err)
			}
		}
	}
}

// closeOthers closes the tunnels that are opened by the other attempts.
func closeOthers(results <-chan tunnelResult, num int) {
	for range num {
		if res := <-results; res.err == nil {
			_ = res.con.Close()
		}
	}
}

// orderedPeers returns the peers to ask for a tunnel, in order: those that have not just failed first, then those of the
// own availability zone.
func (sel *Selector) orderedPeers() []Peer {
	peers := sel.deps.Peers()
	rand.Shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	sel.mu.Lock()
	defer sel.mu.Unlock()
	rank := func(per Peer) int {
		num := 0
		if at, ok := sel.failedPeers[per.Name]; ok && sel.clock.Since(at) < peerBackoff {
			num += 2
		}
		if per.AvailabilityZone != sel.zone {
			num++
		}
		return num
	}
	slices.SortStableFunc(peers, func(one, two Peer) int { return rank(one) - rank(two) })
	return peers[:min(len(peers), maxHedges)]
}

func (sel *Selector) recordPeerFailure(per Peer) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.failedPeers[per.Name] = sel.clock.Now()
}
