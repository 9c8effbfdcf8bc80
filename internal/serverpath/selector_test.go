package serverpath_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/serverpath"
	"github.com/cumintally/cumintally/internal/upstream"
)

const (
	waitLimit      = 5 * time.Second
	connectTimeout = 120 * time.Millisecond
)

// network says which servers a daemon and its peers reach.
type network struct {
	mu sync.Mutex
	// direct and peers hold the servers that the daemon reaches directly and that each peer reaches.
	direct map[string]bool
	peers  map[string]map[string]bool
	// hanging holds the peers that do not respond.
	hanging map[string]bool
	// slow holds the time that a direct connection to a server takes.
	slow map[string]time.Duration
	cut  []string
}

func (ntw *network) setDirect(address string, reached bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.direct[address] = reached
}

func (ntw *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	delay := ntw.slow[address]
	if end, ok := ctx.Deadline(); ok && time.Until(end) < delay {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	if !ntw.direct[address] {
		return nil, errors.New("refused")
	}
	con, _ := net.Pipe()
	return con, nil
}

func (ntw *network) tunnel(ctx context.Context, per serverpath.Peer, address string) (net.Conn, error) {
	ntw.mu.Lock()
	hangs, reached := ntw.hanging[per.Name], ntw.peers[per.Name][address]
	ntw.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !reached {
		return nil, errors.New("refused")
	}
	con, _ := net.Pipe()
	return con, nil
}

func (ntw *network) selector() *serverpath.Selector {
	clk := clockwork.NewRealClock()
	pol := upstream.New(ntw.dial, clk, metrics.NewCounter())
	deps := serverpath.Dependencies{
		Probe: func(ctx context.Context, address string) error {
			con, err := ntw.dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return con.Close()
		},
		Tunnel: ntw.tunnel,
		Peers: func() []serverpath.Peer {
			var peers []serverpath.Peer
			for name := range ntw.peers {
				peers = append(peers, serverpath.Peer{
					Name:             name,
					AvailabilityZone: "zone-1",
				})
			}
			return peers
		},
		Servers: func() []string { return []string{"one", "two", "three"} },
		ReportCut: func(addresses []string) {
			ntw.mu.Lock()
			defer ntw.mu.Unlock()
			ntw.cut = append(ntw.cut, addresses...)
		},
	}
	return serverpath.New("zone-1", deps, pol, metrics.NewRegistry(), clk, zap.NewNop())
}

func all() map[string]bool {
	return map[string]bool{
		"one":   true,
		"two":   true,
		"three": true,
	}
}

func withoutOne() map[string]bool {
	return map[string]bool{
		"two":   true,
		"three": true,
	}
}

func eventually(tst *testing.T, condition func() bool) {
	tst.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tst.Fatal("the condition did not become true in time")
		}
	}
}

// Guards against a daemon that takes servers for dead because it has lost its own path, or for cut off because they are dead.
func TestCutAndDeadServersAreToldApart(tst *testing.T) {
	cases := map[string]struct {
		direct map[string]bool
		peers  map[string]map[string]bool
		// cut says whether server one counts as cut off.
		cut bool
	}{
		"all are cut off": {
			direct: map[string]bool{},
			peers: map[string]map[string]bool{
				"a": all(),
			},
			cut: true,
		},
		"one is cut off": {
			direct: withoutOne(),
			peers: map[string]map[string]bool{
				"a": all(),
			},
			cut: true,
		},
		"one is dead": {
			direct: withoutOne(),
			peers: map[string]map[string]bool{
				"a": withoutOne(),
			},
		},
		"all are dead": {
			direct: map[string]bool{},
			peers: map[string]map[string]bool{
				"a": {},
				"b": {},
			},
		},
		"there is no other daemon": {
			direct: map[string]bool{},
		},
	}
	for name, cse := range cases {
		tst.Run(name, func(tst *testing.T) {
			ntw := &network{
				direct: cse.direct,
				peers:  cse.peers,
			}
			sel := ntw.selector()
			_, err := sel.Connect(tst.Context(), "one", connectTimeout)
			qt.Assert(tst, errors.Is(err, upstream.ErrNotSent), qt.IsTrue)
			if !cse.cut {
				time.Sleep(100 * time.Millisecond)
				qt.Check(tst, sel.Reaches("one"), qt.IsTrue)
				return
			}
			eventually(tst, func() bool { return !sel.Reaches("one") })
			qt.Check(tst, sel.Reaches("two"), qt.Equals, cse.direct["two"])
			_, err = sel.Connect(tst.Context(), "one", connectTimeout)
			qt.Check(tst, err, qt.IsNil)
			ntw.setDirect("one", true)
			eventually(tst, func() bool { return sel.Reaches("one") })
		})
	}
}

// Guards against a request that waits for a daemon that has lost its path, too, and does not know yet.
func TestHangingPeerIsPassedOver(tst *testing.T) {
	for range 10 {
		ntw := &network{
			direct: map[string]bool{},
			peers: map[string]map[string]bool{
				"a": all(),
				"b": {},
				"c": {},
			},
			hanging: map[string]bool{
				"b": true,
				"c": true,
			},
		}
		sel := ntw.selector()
		sel.Suspect("one")
		eventually(tst, func() bool { return !sel.Reaches("one") })
		_, err := sel.Connect(tst.Context(), "one", connectTimeout)
		qt.Assert(tst, err, qt.IsNil)
	}
}

// Guards against a slow path to a server that is given up for tunnels which do not reach the server.
func TestSlowPathOutlastsUselessTunnels(tst *testing.T) {
	for name, hanging := range map[string]bool{
		"tunnels are refused": false,
		"tunnels hang":        true,
	} {
		tst.Run(name, func(tst *testing.T) {
			tst.Parallel()
			ntw := &network{
				direct: withoutOne(),
				peers: map[string]map[string]bool{
					"a": {
						"one":   true,
						"three": true,
					},
				},
				hanging: map[string]bool{},
				slow: map[string]time.Duration{
					"two": 2 * connectTimeout,
				},
			}
			sel := ntw.selector()
			sel.Suspect("one")
			sel.Suspect("two")
			eventually(tst, func() bool {
				sel.Suspect("two")
				return !sel.Reaches("two")
			})
			ntw.mu.Lock()
			ntw.hanging["a"] = hanging
			ntw.mu.Unlock()
			_, err := sel.Connect(tst.Context(), "two", 8*connectTimeout)
			qt.Assert(tst, err, qt.IsNil)
		})
	}
}
