package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap/zaptest"

	"github.com/cumintally/cumintally/internal/peer"
)

type echo struct {
	Text string
}

// newServer starts a mesh that echoes calls of kind Echo, fails calls of kind Fail and streams three replies
// to calls of kind Count.
func newServer(t *testing.T, key string) (*peer.Mesh, string) {
	t.Helper()
	msh := newMesh(t, "server", key)
	msh.Handle("Echo", func(_ context.Context, from peer.Identity, body []byte) (any, error) {
		var ech echo
		if err := peer.Decode(body, &ech); err != nil {
			return nil, err
		}
		return echo{Text: from.Name + " " + ech.Text}, nil
	})
	msh.Handle("Fail", func(context.Context, peer.Identity, []byte) (any, error) {
		return nil, errors.New("no such thing")
	})
	msh.HandleStream("Count", func(_ context.Context, _ peer.Identity, _ []byte, send func(any) error) error {
		for _, txt := range []string{"1", "2", "3"} {
			if err := send(echo{Text: txt}); err != nil {
				return err
			}
		}
		return nil
	})
	srv := httptest.NewServer(msh)
	t.Cleanup(srv.Close)
	t.Cleanup(msh.Close)
	return msh, strings.TrimPrefix(srv.URL, "http://")
}

func newMesh(t *testing.T, name, key string) *peer.Mesh {
	t.Helper()
	ide := peer.Identity{
		Name:             name,
		AvailabilityZone: "zone-1",
	}
	return peer.New(ide, []byte(key), metrics.NewRegistry(), zaptest.NewLogger(t))
}

// TestCall guards against calls, streamed calls and failed calls whose reply or error does not reach the caller.
func TestCall(t *testing.T) {
	c := qt.New(t)
	_, adr := newServer(t, "key")
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var ech echo
	c.Assert(cli.Call(ctx, adr, "Echo", echo{Text: "hello"}, &ech), qt.IsNil)
	c.Assert(ech.Text, qt.Equals, "client hello")
	c.Assert(cli.Call(ctx, adr, "Echo", echo{Text: "again"}, &ech), qt.IsNil)
	c.Assert(ech.Text, qt.Equals, "client again")
	err := cli.Call(ctx, adr, "Fail", nil, nil)
	c.Assert(errors.Is(err, peer.ErrRemote), qt.IsTrue, qt.Commentf("%v", err))
	var got []string
	err = cli.Stream(ctx, adr, "Count", nil, func(data []byte) error {
		var ech echo
		if err := peer.Decode(data, &ech); err != nil {
			return err
		}
		got = append(got, ech.Text)
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, []string{"1", "2", "3"})
}

// TestWrongKey guards against a daemon that accepts calls of a process with a wrong shared key.
func TestWrongKey(t *testing.T) {
	c := qt.New(t)
	_, adr := newServer(t, "key")
	cli := newMesh(t, "stranger", "another key")
	defer cli.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := cli.Call(ctx, adr, "Echo", echo{Text: "hello"}, nil)
	c.Assert(errors.Is(err, peer.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
}

// TestSilentPeer guards against a call that waits until its deadline for a reply over a connection that no
// longer delivers bytes but is not closed.
func TestSilentPeer(t *testing.T) {
	c := qt.New(t)
	msh, target := newServer(t, "key")
	release := make(chan struct{})
	defer close(release)
	msh.Handle("Wait", func(context.Context, peer.Identity, []byte) (any, error) {
		<-release
		return nil, nil
	})
	adr, cut := newRelay(t, target)
	cli := newMesh(t, "client", "key")
	defer cli.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c.Assert(cli.Call(ctx, adr, "Echo", echo{Text: "hello"}, nil), qt.IsNil)
	time.AfterFunc(100*time.Millisecond, cut)
	begin := time.Now()
	err := cli.Call(ctx, adr, "Wait", nil, nil)
	c.Assert(errors.Is(err, peer.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(time.Since(begin) < 10*time.Second, qt.IsTrue)
}

// newRelay returns the address of a TCP relay to adr. After cut is called the relay drops all bytes but keeps
// the connections open.
func newRelay(t *testing.T, adr string) (relay string, cut func()) {
	t.Helper()
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { lst.Close() })
	var stopped atomic.Bool
	forward := func(dst, src net.Conn) {
		buf := make([]byte, 4096)
		for {
			num, err := src.Read(buf)
			if err != nil {
				return
			}
			if !stopped.Load() {
				_, _ = dst.Write(buf[:num])
			}
		}
	}
	go func() {
		for {
			con, err := lst.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", adr)
			if err != nil {
				return
			}
			t.Cleanup(func() {
				con.Close()
				out.Close()
			})
			go forward(out, con)
			go forward(con, out)
		}
	}()
	return lst.Addr().String(), func() { stopped.Store(true) }
}

// TestCloseDeliversReplies guards against a planned stop that loses the last replies of a streamed call: they were written,
// or were about to be, when the daemon closed its connections.
func TestCloseDeliversReplies(t *testing.T) {
	const replies = 500
	for range 20 {
		c := qt.New(t)
		msh := newMesh(t, "server", "key")
		sent := make(chan struct{})
		msh.HandleStream("Many", func(_ context.Context, _ peer.Identity, _ []byte, send func(any) error) error {
			defer close(sent)
			for range replies {
				if err := send(echo{Text: "reply"}); err != nil {
					return err
				}
			}
			return nil
		})
		srv := httptest.NewServer(msh)
		cli := newMesh(t, "client", "key")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		got := 0
		result := make(chan error, 1)
		go func() {
			result <- cli.Stream(ctx, strings.TrimPrefix(srv.URL, "http://"), "Many", nil, func([]byte) error {
				got++
				return nil
			})
		}()
		<-sent
		msh.Close()
		c.Assert(<-result, qt.IsNil)
		c.Assert(got, qt.Equals, replies)
		cancel()
		cli.Close()
		srv.Close()
	}
}
