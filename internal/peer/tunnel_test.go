package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/peer"
)

// target accepts connections and passes each to serve.
func target(t *testing.T, serve func(con *net.TCPConn)) string {
	t.Helper()
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { lst.Close() })
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			go serve(con.(*net.TCPConn))
		}
	}()
	return lst.Addr().String()
}

// tunnelServer starts a daemon that opens tunnels.
func tunnelServer(t *testing.T, key string) (*peer.Mesh, string) {
	t.Helper()
	msh := newMesh(t, "server", key)
	msh.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	srv := httptest.NewServer(msh)
	t.Cleanup(srv.Close)
	t.Cleanup(msh.Close)
	return msh, strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a response that looks complete although the connection to the backend server was reset, or the tunnel broke.
func TestTunnelTellsHowItEnded(t *testing.T) {
	_, adr := tunnelServer(t, "key")
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	cases := map[string]struct {
		end  func(con *net.TCPConn)
		want error
	}{
		"closed": {
			end:  func(con *net.TCPConn) { con.Close() },
			want: io.EOF,
		},
		"reset": {
			end: func(con *net.TCPConn) {
				_ = con.SetLinger(0)
				con.Close()
			},
			want: peer.ErrTargetBroken,
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			tgt := target(t, func(con *net.TCPConn) {
				line, _ := bufio.NewReader(con).ReadString('\n')
				_, _ = con.Write([]byte("got " + line))
				time.Sleep(50 * time.Millisecond)
				cse.end(con)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			con, err := cli.Tunnel(ctx, adr, tgt)
			qt.Assert(t, err, qt.IsNil)
			cancel()
			defer con.Close()
			_, err = con.Write([]byte("hello\n"))
			qt.Assert(t, err, qt.IsNil)
			rdr := bufio.NewReader(con)
			line, err := rdr.ReadString('\n')
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, line, qt.Equals, "got hello\n")
			_, err = rdr.ReadByte()
			qt.Check(t, errors.Is(err, cse.want), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, errors.Is(err, io.EOF), qt.Equals, errors.Is(cse.want, io.EOF), qt.Commentf("%v", err))
		})
	}
}

// Guards against a broken tunnel that reads like a connection that the backend server closed: the daemon in between is killed.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	msh := newMesh(t, "server", "key")
	msh.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	// The connections of the daemon are held so that they can be cut.
	var accepted []net.Conn
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := httptest.NewUnstartedServer(msh)
	srv.Listener = listenerFunc{
		Listener: lst,
		accept: func(con net.Conn) {
			accepted = append(accepted, con)
		},
	}
	srv.Start()
	defer srv.Close()
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	tgt := target(t, func(con *net.TCPConn) { _, _ = con.Write([]byte("part")) })
	con, err := cli.Tunnel(t.Context(), lst.Addr().String(), tgt)
	qt.Assert(t, err, qt.IsNil)
	buf := make([]byte, 4)
	_, err = io.ReadFull(con, buf)
	qt.Assert(t, err, qt.IsNil)
	for _, acc := range accepted {
		acc.Close()
	}
	_, err = con.Read(buf)
	qt.Check(t, errors.Is(err, peer.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, errors.Is(err, io.EOF), qt.IsFalse)
}

type listenerFunc struct {
	net.Listener
	accept func(con net.Conn)
}

func (lfn listenerFunc) Accept() (net.Conn, error) {
	con, err := lfn.Listener.Accept()
	if err == nil {
		lfn.accept(con)
	}
	return con, err
}

// Guards against tunnels for clients that do not have the shared key, and through a daemon that is stopping.
func TestTunnelIsRefused(t *testing.T) {
	msh, adr := tunnelServer(t, "key")
	dialed := 0
	tgt := target(t, func(con *net.TCPConn) {
		dialed++
		con.Close()
	})
	stranger := newMesh(t, "client", "another key")
	defer stranger.Close()
	_, err := stranger.Tunnel(t.Context(), adr, tgt)
	qt.Check(t, errors.Is(err, peer.ErrRejected), qt.IsTrue, qt.Commentf("%v", err))
	msh.StopTunnels(t.Context())
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	_, err = cli.Tunnel(t.Context(), adr, tgt)
	qt.Check(t, errors.Is(err, peer.ErrRemote), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, dialed, qt.Equals, 0)
}

// Guards against a request that waits for a daemon of an earlier version: it takes a tunnel for a connection of frames.
func TestEarlierVersionRefusesTunnelAtOnce(t *testing.T) {
	msh := newMesh(t, "server", "key")
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		req.URL.Path = peer.Path
		msh.ServeHTTP(rsw, req)
	}))
	defer srv.Close()
	defer msh.Close()
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	start := time.Now()
	_, err := cli.Tunnel(t.Context(), strings.TrimPrefix(srv.URL, "http://"), "127.0.0.1:1")
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, time.Since(start) < time.Second, qt.IsTrue)
}
