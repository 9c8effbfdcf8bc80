package serverpath

import (
	"context"
	"maps"
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
	// probeTimeout bounds a connection by which a path is checked. It is many times the delay between zones, and more than
	// the time for which a busy VM may get no processor.
	probeTimeout = 120 * time.Millisecond
	// sampledServers is the number of other servers that are probed beside those that are suspected. If more than one server
	// does not respond, all are probed, maxProbes at most.
	sampledServers = 2
	maxProbes      = 64
	// maxTunnelProbes is the number of other daemons through which servers that do not respond are tried.
	maxTunnelProbes = 8
	// minCheckInterval is the least time between two checks. It doubles up to maxCheckInterval with each check that finds
	// nothing, so that servers that are down or overloaded cost few connections.
	minCheckInterval = 300 * time.Millisecond
	maxCheckInterval = 600 * time.Millisecond
	// hedgeDelay is the time without a result after which a further daemon is asked for a tunnel: it may have lost its
	// path, too, without knowing yet.
	hedgeDelay = 100 * time.Millisecond
	// tunnelTimeFactor multiplies the time to connect for a tunnel, which takes several round trips and the work of two daemons.
	tunnelTimeFactor = 4
	// maxHedges is the number of daemons that are asked for one tunnel.
	maxHedges = 3
	// peerBackoff is the time for which a daemon that opened no tunnel is asked after the others.
	peerBackoff = time.Second
	// readTimeout is the time since the last byte of a server after which kept connections to it are no longer used while
	// new ones fail, or while it is suspected.
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

	// checkedAt is the end of the last check, and checkInterval the least time until the next one; only the goroutine of
	// checkUntilReached uses them.
	checkedAt     time.Time
	checkInterval time.Duration

	mu sync.Mutex
	// checking is set while checkUntilReached runs.
	checking bool
	// suspects holds the addresses of servers to check next.
	suspects map[string]bool
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
		suspects:    map[string]bool{},
		cut:         map[string]bool{},
		failedPeers: map[string]time.Time{},
	}
}

// Connect returns a connection to the server at address. A direct connection must open within timeout, one through another
// daemon within a multiple of it. If no tunnel opens to a server that is cut off, it is tried directly: it may only be slow.
// Errors are upstream.ErrNotSent, and upstream.ErrPathBroken as well if they say nothing about the server.
func (sel *Selector) Connect(ctx context.Context, address string, timeout time.Duration) (*upstream.Conn, error) {
	if sel.Reaches(address) {
		direct, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		con, err := sel.pool.Get(direct, address)
		if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
			sel.Suspect(address)
		}
		return con, errors.Trace(err)
	}
	if sel.clock.Since(sel.pool.LastRead(address)) < readTimeout {
		if con, ok := sel.pool.GetIdle(address); ok {
			return con, nil
		}
	}
	through, cancel := context.WithTimeout(ctx, tunnelTimeFactor*timeout)
	defer cancel()
	raw, err := sel.tunnel(through, address)
	if err != nil {
		direct, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if con, derr := sel.pool.Dial(direct, address); derr == nil {
			return con, nil
		}
		err = errors.WithType(errors.Annotatef(err, "connect to %s through other daemons", address), upstream.ErrNotSent)
		return nil, errors.WithType(err, upstream.ErrPathBroken)
	}
	return sel.pool.SingleUse(raw, address), nil
}

// Probe connects to the server at address, directly or through another daemon, and closes the connection.
func (sel *Selector) Probe(ctx context.Context, address string) error {
	if sel.Reaches(address) {
		return errors.Trace(sel.deps.Probe(ctx, address))
	}
	con, err := sel.tunnel(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(con.Close())
}

// Reaches reports whether this daemon is expected to reach the server at address directly.
func (sel *Selector) Reaches(address string) bool {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return !sel.cut[address]
}

// Suspect checks in the background whether the server at address, which could not be reached or sent nothing, and others are
// cut off from this daemon. If nothing has arrived from the server for a time, its kept connections may be silent while new ones work,
// and are closed.
func (sel *Selector) Suspect(address string) {
	if sel.clock.Since(sel.pool.LastRead(address)) >= readTimeout {
		sel.pool.CloseIdle(address)
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.suspects[address] = true
	if !sel.checking {
		sel.checking = true
		go sel.checkUntilReached()
	}
}

// checkUntilReached checks servers while some are suspected or cut off.
func (sel *Selector) checkUntilReached() {
	for {
		sel.clock.Sleep(sel.checkInterval - sel.clock.Since(sel.checkedAt))
		suspects, ok := sel.nextCheck()
		if !ok {
			return
		}
		switch idle := sel.clock.Since(sel.checkedAt); {
		case sel.check(suspects) || idle > 2*maxCheckInterval:
			sel.checkInterval = minCheckInterval
		default:
			sel.checkInterval = min(max(2*sel.checkInterval, minCheckInterval), maxCheckInterval)
		}
		sel.checkedAt = sel.clock.Now()
	}
}

// nextCheck returns the servers to check next, those that are suspected and those that are cut off, and false if there are
// none: the checks then end.
func (sel *Selector) nextCheck() ([]string, bool) {
	servers := sel.deps.Servers()
	sel.mu.Lock()
	defer sel.mu.Unlock()
	maps.DeleteFunc(sel.cut, func(address string, _ bool) bool { return !slices.Contains(servers, address) })
	sel.cutNow.Update(int64(len(sel.cut)))
	suspects := slices.DeleteFunc(servers, func(address string) bool { return !sel.suspects[address] && !sel.cut[address] })
	clear(sel.suspects)
	sel.checking = len(suspects) > 0
	return suspects[:min(len(suspects), maxProbes)], sel.checking
}

// check probes the suspects and a few other servers directly. If several do not respond that were reached before, it probes
// all, and records as cut off those that do not respond, if any of them can be reached through other daemons. Otherwise they
// are taken to be down. It reports whether any server is cut off.
func (sel *Selector) check(suspects []string) bool {
	others := without(sel.deps.Servers(), suspects)
	shuffle(others)
	sampled := min(len(others), sampledServers)
	probed := slices.Concat(suspects, others[:sampled])
	failed := sel.probe(probed)
	sel.recordReached(without(probed, failed))
	failed = slices.DeleteFunc(failed, func(address string) bool { return !sel.Reaches(address) })
	if len(failed) > 1 {
		failed = append(failed, sel.probe(others[sampled:min(len(others), maxProbes)])...)
	}
	if len(failed) > 0 && sel.anyReachedThroughPeers(failed) {
		sel.recordCut(failed)
	}
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return len(sel.cut) > 0
}

func shuffle[T any](list []T) {
	rand.Shuffle(len(list), func(one, two int) { list[one], list[two] = list[two], list[one] })
}

// without returns the elements of all that are not in some.
func without(all, some []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(address string) bool { return slices.Contains(some, address) })
}

// probe connects to servers directly, all at once, and returns those that do not respond.
func (sel *Selector) probe(addresses []string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	errs := make([]error, len(addresses))
	var wgr sync.WaitGroup
	for idx, adr := range addresses {
		wgr.Go(func() { errs[idx] = sel.deps.Probe(ctx, adr) })
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

// anyReachedThroughPeers reports whether some of the servers can be reached through other daemons. Each of several daemons is
// asked for one server, since most daemons may be cut off, too.
func (sel *Selector) anyReachedThroughPeers(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	peers := sel.deps.Peers()
	shuffle(peers)
	peers = peers[:min(len(peers), maxTunnelProbes)]
	reached := make([]bool, len(peers))
	var wgr sync.WaitGroup
	for idx, per := range peers {
		wgr.Go(func() {
			con, err := sel.deps.Tunnel(ctx, per, addresses[rand.IntN(len(addresses))])
			if err != nil {
				sel.recordPeerFailure(per)
				return
			}
			reached[idx] = true
			_ = con.Close()
		})
	}
	wgr.Wait()
	return slices.Contains(reached, true)
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
	shuffle(peers)
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
