package peer_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/peer"
)

// FuzzHandshake guards against a daemon that crashes on malformed handshake messages, or that executes a
// call of a process that has not authenticated with the shared key.
func FuzzHandshake(fzz *testing.F) {
	encode := func(val any) []byte {
		data, err := cbor.Marshal(val)
		qt.Assert(fzz, err, qt.IsNil)
		return data
	}
	hello := map[string]any{
		"Identity": map[string]string{"Name": "stranger"},
		"Nonce":    make([]byte, 32),
		"Proof":    make([]byte, 32),
	}
	fzz.Add(encode(hello), encode(hello))
	fzz.Add(encode(peer.Frame{Kind: "Touch", ID: 1}), encode(peer.Frame{Kind: "Touch", ID: 2}))
	fzz.Add(encode(map[string]any{"Nonce": "text"}), []byte{0xf6})
	fzz.Add([]byte{0x9f}, []byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	fzz.Add([]byte{}, []byte{})

	var touched atomic.Bool
	ide := peer.Identity{
		Name: "server",
	}
	msh := peer.New(ide, []byte("key"), metrics.NewRegistry(), zap.NewNop())
	msh.Handle("Touch", func(context.Context, peer.Identity, []byte) (any, error) {
		touched.Store(true)
		return nil, nil
	})
	srv := httptest.NewServer(msh)
	fzz.Cleanup(srv.Close)
	fzz.Cleanup(msh.Close)
	touch := encode(peer.Frame{Kind: "Touch", ID: 1})
	fzz.Fuzz(func(tst *testing.T, first, second []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		con, res, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(srv.URL, "http")+peer.Path, nil)
		qt.Assert(tst, err, qt.IsNil)
		if res.Body != nil {
			defer res.Body.Close()
		}
		defer con.CloseNow()
		// The daemon may close the connection after any of these messages, and must close it after the last.
		_ = con.Write(ctx, websocket.MessageBinary, first)
		_, _, _ = con.Read(ctx)
		_ = con.Write(ctx, websocket.MessageBinary, second)
		_ = con.Write(ctx, websocket.MessageBinary, touch)
		_, _, err = con.Read(ctx)
		qt.Check(tst, err, qt.IsNotNil)
		qt.Check(tst, ctx.Err(), qt.IsNil, qt.Commentf("the daemon did not close the connection"))
		qt.Check(tst, touched.Load(), qt.IsFalse)
	})
}
