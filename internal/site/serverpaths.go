package site

import (
	"context"
	"net"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/serverpath"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/upstream"
)

// newServerPaths returns the selector of the paths to backend servers, and lets peers connect to them through this daemon.
func newServerPaths(
	set *settings.Settings,
	dialServer DialFunc,
	stc *storeCache,
	pol *upstream.Pool,
	msh *peer.Mesh,
	trk *outlier.Tracker,
	met metrics.Registry,
	clk clockwork.Clock,
	log *zap.Logger,
) *serverpath.Selector {
	deps := serverpath.Dependencies{
		Probe: func(ctx context.Context, address string) error { return probeServer(ctx, dialServer, address) },
		Tunnel: func(ctx context.Context, per serverpath.Peer, address string) (net.Conn, error) {
			con, err := msh.Tunnel(ctx, per.Address, address)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return &tunnelConn{
				Conn: con,
			}, nil
		},
		Peers: func() []serverpath.Peer {
			var peers []serverpath.Peer
			for _, dmn := range stc.registeredDaemons() {
				if dmn.Name != set.Entry.Name {
					peers = append(peers, serverpath.Peer(dmn))
				}
			}
			return peers
		},
		Servers: func() []string {
			var adrs []string
			for _, srv := range stc.registry.View().Serving() {
				adrs = append(adrs, srv.Address)
			}
			return adrs
		},
		ReportCut: func(addresses []string) {
			for _, adr := range addresses {
				if srv, ok := stc.registry.View().ServerAt(adr); ok {
					trk.EndEjection(srv.ID)
				}
			}
		},
	}
	sel := serverpath.New(set.Entry.AvailabilityZone, deps, pol, met, clk, log)
	msh.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
		if _, ok := stc.registry.View().ServerAt(address); !ok {
			return nil, errors.Errorf("%s is no backend server", address)
		}
		if !sel.Reaches(address) {
			return nil, errors.Errorf("%s is cut off from this daemon, too", address)
		}
		return dialServer(ctx, "tcp", address)
	}
	return sel
}

// probeServer connects to the backend server at address and closes the connection. A server that resets it at its limit of connections
// is reached: it had accepted the connection.
func probeServer(ctx context.Context, dialServer DialFunc, address string) error {
	con, err := dialServer(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	return con.Close()
}

// tunnelConn is a connection to a backend server through another daemon. Its errors tell a broken path from a backend
// server that broke the connection.
type tunnelConn struct {
	net.Conn
}

// Read fails with upstream.ErrPathBroken if the tunnel broke.
func (tnc *tunnelConn) Read(buf []byte) (int, error) {
	num, err := tnc.Conn.Read(buf)
	if errors.Is(err, peer.ErrBroken) {
		err = errors.WithType(err, upstream.ErrPathBroken)
	}
	return num, err
}

// Write fails with upstream.ErrPathBroken.
func (tnc *tunnelConn) Write(buf []byte) (int, error) {
	num, err := tnc.Conn.Write(buf)
	if err != nil {
		err = errors.WithType(errors.Trace(err), upstream.ErrPathBroken)
	}
	return num, err
}
