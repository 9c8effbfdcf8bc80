package backend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/engine"
)

func serve(tst *testing.T, hnd http.Handler) string {
	srv := httptest.NewServer(hnd)
	tst.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://")
}

func newClient() *backend.Client {
	return backend.New(&http.Client{Transport: &http.Transport{}})
}

// rawResponse writes fixed bytes to the connection and closes it.
func rawResponse(text string) http.HandlerFunc {
	return func(rsw http.ResponseWriter, _ *http.Request) {
		con, _, err := http.NewResponseController(rsw).Hijack()
		if err == nil {
			_, _ = con.Write([]byte(text))
			con.Close()
		}
	}
}

// statusResponse responds with a status and a redirect to a path that responds with 200.
func statusResponse(code int) http.HandlerFunc {
	return func(rsw http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/elsewhere" {
			rsw.Header().Set("Location", "/elsewhere")
			rsw.WriteHeader(code)
		}
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9000000\r\n\r\n"

// TestRequestFaults guards against ErrNotSent for a request that may have reached a backend server, against
// wrong errors for a status or a broken reply, and against a request that is sent twice.
func TestRequestFaults(tst *testing.T) {
	for _, tcs := range []struct {
		name string
		hnd  http.Handler
		err  error
	}{
		{"not listening", nil, backend.ErrNotSent},
		{"no answer", rawResponse(""), backend.ErrBroken},
		{"not HTTP", rawResponse("hello\r\n\r\n"), backend.ErrBroken},
		{"invalid", statusResponse(400), backend.ErrInvalidRequest},
		{"not found", statusResponse(404), backend.ErrStreamNotFound},
		{"stale order", statusResponse(409), backend.ErrStaleOrder},
		{"too many requests", statusResponse(429), backend.ErrRejected},
		{"server error", statusResponse(500), backend.ErrBroken},
		{"bad gateway", statusResponse(502), backend.ErrBroken},
		{"unavailable", statusResponse(503), backend.ErrRejected},
		{"redirect", statusResponse(302), backend.ErrBroken},
		{"see other", statusResponse(303), backend.ErrBroken},
		{"temporary redirect", statusResponse(307), backend.ErrBroken},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ckr := qt.New(tst)
			adr := "127.0.0.1:1"
			posts := 0
			if tcs.hnd != nil {
				adr = serve(tst, http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
					posts++
					tcs.hnd.ServeHTTP(rsw, req)
				}))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := newClient().Generate(ctx, adr, backend.StreamRequest{})
			ckr.Assert(err, qt.ErrorIs, tcs.err)
			ckr.Assert(posts <= 1, qt.IsTrue)
			err = newClient().Order(ctx, adr, backend.Order{NotAfter: time.Now().Add(time.Second)})
			ckr.Assert(err, qt.ErrorIs, tcs.err)
			_, err = newClient().Report(ctx, adr)
			ckr.Assert(err, qt.IsNotNil)
		})
	}
}

// TestStreamFaults guards against a stream that is cut off or malformed but is read as complete.
func TestStreamFaults(tst *testing.T) {
	for _, tcs := range []struct {
		name   string
		body   string
		frames int
	}{
		{"nothing", "", 0},
		{"cut after a frame", "data: {\"Sequence\":0}\n\n", 1},
		{"cut within a frame", "data: {\"Sequence\":0}\n\ndata: {\"Sequ", 1},
		{"cut before the end of a line", "data: {\"Sequence\":0}\n\ndata: {\"Sequence\":1,\"Finish\":\"stop\"}", 1},
		{"not JSON", "data: {\"Sequence\":0}\n\ndata: hello\n\n", 1},
		{"wrong type", "data: {\"Sequence\":\"0\"}\n\n", 0},
		{"line too long", "data: \"" + strings.Repeat("x", 2<<20) + "\"\n\n", 0},
		{"no space", "data:{\"Sequence\":0}\n\n", 1},
		{"comments and other fields", ": hello\nid: 4\nevent: x\ndata: {\"Sequence\":0}\n\n", 1},
		{"carriage returns", "data: {\"Sequence\":0}\r\n\r\n", 1},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ckr := qt.New(tst)
			str, err := newClient().Generate(context.Background(), serve(tst, rawResponse(responseHead+tcs.body)), backend.StreamRequest{})
			ckr.Assert(err, qt.IsNil)
			defer str.Close()
			for idx := range tcs.frames {
				frm, err := str.Next()
				ckr.Assert(err, qt.IsNil)
				ckr.Assert(frm.Sequence, qt.Equals, idx)
			}
			_, err = str.Next()
			ckr.Assert(err, qt.ErrorIs, backend.ErrBroken)
			_, err = str.Next()
			ckr.Assert(err, qt.ErrorIs, backend.ErrBroken)
		})
	}
}

// TestEngineContract guards against differences between the client and the engine in how they handle resumed
// streams, repeated requests, cancellation, abandoned streams and cache events.
func TestEngineContract(tst *testing.T) {
	ckr := qt.New(tst)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	eng := engine.New(engine.Config{
		VM:           "vm-0",
		BaseStepTime: time.Millisecond,
		ColdLimit:    10,
		Retention:    time.Minute,
	}, func() { tst.Error("the engine crashed") })
	adr := serve(tst, eng.Handler())
	cli := newClient()
	srq := backend.StreamRequest{
		RequestID: "one",
		Prompt:    "a prompt",
		MaxTokens: 20,
	}
	_, err := cli.Generate(ctx, adr, srq)
	ckr.Assert(err, qt.ErrorIs, backend.ErrRejected)
	ckr.Assert(cli.Order(ctx, adr, backend.Order{Fencing: 3, Group: "group-1", NotAfter: time.Now().Add(time.Second)}), qt.IsNil)
	rep, err := cli.Report(ctx, adr)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(rep.Fencing, qt.Equals, uint64(3))
	ckr.Assert(rep.State, qt.Equals, backend.StateCold)

	str, err := cli.Generate(ctx, adr, srq)
	ckr.Assert(err, qt.IsNil)
	frm, err := str.Next()
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(frm.RequestID, qt.Equals, "one")
	str.Close()
	again, err := cli.Generate(ctx, adr, srq)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(read(ckr, again, 0), qt.Equals, strings.Join(engine.GenerateTokens("a prompt", 20), ""))
	ckr.Assert(eng.Counts().Started, qt.Equals, 1)
	rest, err := cli.Resume(ctx, adr, "one", 0, 5)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(read(ckr, rest, 5), qt.Equals, strings.Join(engine.GenerateTokens("a prompt", 20)[5:], ""))
	srq.Attempt, srq.Continue = 1, strings.Join(engine.GenerateTokens("a prompt", 20)[:7], "")
	other, err := cli.Generate(ctx, adr, srq)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(read(ckr, other, 0), qt.Equals, strings.Join(engine.GenerateTokens("a prompt", 20)[7:], ""))

	_, err = cli.Resume(ctx, adr, "two", 0, 0)
	ckr.Assert(err, qt.ErrorIs, backend.ErrStreamNotFound)
	ckr.Assert(cli.Cancel(ctx, adr, "two", 0), qt.IsNil)
	srq.RequestID, srq.MaxTokens, srq.Continue = "long", 10_000, ""
	long, err := cli.Generate(ctx, adr, srq)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(cli.Cancel(ctx, adr, "long", 1), qt.IsNil)
	for err == nil {
		frm, err = long.Next()
		ckr.Assert(frm.Finish, qt.Equals, "")
	}
	ckr.Assert(err, qt.ErrorIs, backend.ErrBroken)

	prompt := strings.Repeat("x", 3*backend.PrefixBlockSize+1)
	str, err = cli.Generate(ctx, adr, backend.StreamRequest{RequestID: "cached", Prompt: prompt})
	ckr.Assert(err, qt.IsNil)
	read(ckr, str, 0)
	evts, err := cli.CacheEvents(ctx, adr, 1)
	ckr.Assert(err, qt.IsNil)
	sums := backend.PrefixHashes(prompt)
	ckr.Assert(evts, qt.DeepEquals, []backend.CacheEvent{{Sequence: 2, Prefix: sums[1]}, {Sequence: 3, Prefix: sums[2]}})
}

// read returns the text of the rest of a stream and checks the sequence numbers of its frames.
func read(ckr *qt.C, str *backend.Stream, from int) string {
	defer str.Close()
	text := ""
	for seq := from; ; seq++ {
		frm, err := str.Next()
		ckr.Assert(err, qt.IsNil)
		ckr.Assert(frm.Sequence, qt.Equals, seq)
		text += frm.Text
		if frm.Finish != "" {
			return text
		}
	}
}

// TestPrefixes guards against different hashes for a shared prefix and equal hashes for different prefixes.
func TestPrefixes(tst *testing.T) {
	ckr := qt.New(tst)
	shared := strings.Repeat("a", 2*backend.PrefixBlockSize)
	fst, snd := backend.PrefixHashes(shared+strings.Repeat("b", 200)), backend.PrefixHashes(shared+strings.Repeat("c", 200))
	ckr.Assert(fst, qt.HasLen, 3)
	ckr.Assert(fst[:2], qt.DeepEquals, snd[:2])
	ckr.Assert(fst[2] == snd[2], qt.IsFalse)
	ckr.Assert(fst[0] == fst[1], qt.IsFalse)
	ckr.Assert(backend.PrefixHashes(shared[1:]), qt.HasLen, 1)
}
