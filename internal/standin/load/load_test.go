package load

import (
	"bytes"
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

// startEngine starts a simulated engine that is the only member of a replica group, with wrap around its HTTP handler.
// It returns the address of the engine.
func startEngine(tst *testing.T, wrap func(http.Handler) http.Handler) string {
	eng := engine.New(engine.Config{
		VM:           "vm-1",
		BaseStepTime: time.Millisecond,
		WarmAfter:    1,
		ColdLimit:    100,
		Retention:    time.Second,
		StampTokens:  true,
	}, func() { tst.Error("the engine crashed") })
	srv := httptest.NewServer(wrap(eng.Handler()))
	tst.Cleanup(srv.Close)
	adr := strings.TrimPrefix(srv.URL, "http://")
	err := backend.New(srv.Client()).Order(context.Background(), adr, backend.Order{
		Fencing:  1,
		Group:    "group-1",
		Members:  []string{"vm-1"},
		NotAfter: time.Now().Add(time.Second),
	})
	qt.Assert(tst, err, qt.IsNil)
	return adr
}

// directConfig returns a configuration that sends 50 requests of two workspaces directly to an engine.
func directConfig(adr string) Config {
	return Config{
		Targets:     []string{adr},
		Direct:      true,
		Rate:        1000,
		Count:       50,
		MaxTokens:   8,
		Prefixes:    2,
		PrefixWords: 16,
		Stamped:     true,
		Workspaces: []Workspace{
			{Name: "large", Share: 3, Priority: 1},
			{Name: "small", Share: 1, Priority: 5},
		},
		Seed: 7,
	}
}

// TestWholeResponses guards against a generator that loses requests or counts whole responses, their tokens or their
// latencies wrongly.
func TestWholeResponses(tst *testing.T) {
	ckr := qt.New(tst)
	adr := startEngine(tst, func(hnd http.Handler) http.Handler { return hnd })
	gen, err := New(directConfig(adr))
	ckr.Assert(err, qt.IsNil)
	rep, err := gen.Run(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(rep.Endings, qt.DeepEquals, map[string]int{endingWhole: 50}, qt.Commentf("%v", rep.Details))
	ckr.Assert(rep.InTimeShare, qt.Equals, 1.0)
	ckr.Assert(rep.Classes, qt.HasLen, 2)
	ckr.Assert(rep.Shares, qt.HasLen, 2)
	ckr.Assert(rep.Shares[0].Whole+rep.Shares[1].Whole, qt.Equals, 50)
	ckr.Assert(rep.Shares[0].Tokens+rep.Shares[1].Tokens, qt.Equals, rep.Tokens)
	ckr.Assert(rep.Delay.Count, qt.Equals, int64(rep.Tokens))
	ckr.Assert(rep.Classes[0].FirstToken.Count+rep.Classes[1].FirstToken.Count, qt.Equals, int64(50))
	var out bytes.Buffer
	ckr.Assert(rep.WriteText(&out), qt.IsNil)
	ckr.Assert(out.String(), qt.Contains, "50 sent, 0 skipped, 0 resumed\n")
	ckr.Assert(rep.WriteJSON(&out), qt.IsNil)
}

// rewritingWriter applies change to all text that a handler writes to a response.
type rewritingWriter struct {
	http.ResponseWriter
	change func(string) string
}

func (rww rewritingWriter) Write(data []byte) (int, error) {
	_, err := rww.ResponseWriter.Write([]byte(rww.change(string(data))))
	return len(data), err
}

// Unwrap lets http.ResponseController reach the original writer.
func (rww rewritingWriter) Unwrap() http.ResponseWriter { return rww.ResponseWriter }

// TestFaultyResponses guards against a generator that counts a response as whole although a token is missing,
// repeated or from another request, an event is not JSON, or the final event is missing.
func TestFaultyResponses(tst *testing.T) {
	for _, tcs := range []struct {
		name   string
		change func(string) string
		ending string
	}{
		{"missing token", func(txt string) string {
			if strings.Contains(txt, "#3.") {
				return ""
			}
			return txt
		}, endingWrong},
		{"repeated token", func(txt string) string {
			if strings.Contains(txt, "#3.") {
				return txt + txt
			}
			return txt
		}, endingWrong},
		{"foreign token", func(txt string) string { return strings.Replace(txt, "#3.", "#3.0", 1) }, endingWrong},
		{"not JSON", func(txt string) string {
			if strings.Contains(txt, "#3.") {
				return strings.Replace(txt, "{", "", 1)
			}
			return txt
		}, endingWrong},
		{"no final frame", func(txt string) string {
			if strings.Contains(txt, `"Finish":"length"`) {
				return ""
			}
			return txt
		}, endingBroken},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ckr := qt.New(tst)
			adr := startEngine(tst, func(hnd http.Handler) http.Handler {
				return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
					hnd.ServeHTTP(rewritingWriter{rsw, tcs.change}, req)
				})
			})
			cfg := directConfig(adr)
			cfg.Count = 5
			cfg.MinTokens = 8
			gen, err := New(cfg)
			ckr.Assert(err, qt.IsNil)
			rep, err := gen.Run(context.Background())
			ckr.Assert(err, qt.IsNil)
			ckr.Assert(rep.Endings, qt.DeepEquals, map[string]int{tcs.ending: 5}, qt.Commentf("%v", rep.Details))
			ckr.Assert(rep.WastedTokens > 0, qt.IsTrue)
			ckr.Assert(rep.InTime, qt.Equals, 0)
		})
	}
}

// TestRejections guards against rejected requests that are counted under another ending, without their outcome,
// or without the time to their rejection.
func TestRejections(tst *testing.T) {
	ckr := qt.New(tst)
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		rsw.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rsw.Write([]byte(`{"Outcome":"NotRun","detail":"busy"}`))
	}))
	defer srv.Close()
	cfg := directConfig(strings.TrimPrefix(srv.URL, "http://"))
	cfg.Direct = false
	cfg.Count = 5
	gen, err := New(cfg)
	ckr.Assert(err, qt.IsNil)
	rep, err := gen.Run(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(rep.Endings, qt.DeepEquals, map[string]int{"503 NotRun": 5})
	ckr.Assert(rep.Rejection.Count, qt.Equals, int64(5))
}

// TestPlan guards against a plan that differs between two runs with the same seed, and against one that ignores
// the shares of the workspaces.
func TestPlan(tst *testing.T) {
	ckr := qt.New(tst)
	cfg := directConfig("127.0.0.1:1").withDefaults()
	cfg.Count = 4000
	fst, snd := planRequests(cfg), planRequests(cfg)
	ckr.Assert(fst[3999].prompt, qt.Equals, snd[3999].prompt)
	ckr.Assert(fst[3999].offset, qt.Equals, snd[3999].offset)
	large := 0
	for _, req := range fst {
		if req.workspace.Name == "large" {
			large++
		}
	}
	ckr.Assert(large > 2800 && large < 3200, qt.IsTrue, qt.Commentf("%d", large))
}

// TestConfig guards against configurations that are accepted although they plan an unbounded or impossible run.
func TestConfig(tst *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no targets":    func(cfg *Config) { cfg.Targets = nil },
		"no rate":       func(cfg *Config) { cfg.Rate = 0 },
		"too many":      func(cfg *Config) { cfg.Count = maxRequests + 1 },
		"too long":      func(cfg *Config) { cfg.Duration = 2 * maxDuration },
		"unbounded":     func(cfg *Config) { cfg.Count = 0 },
		"share below 0": func(cfg *Config) { cfg.Workspaces[0].Share = -1 },
	} {
		cfg := directConfig("127.0.0.1:1")
		spoil(&cfg)
		_, err := New(cfg)
		qt.Check(tst, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
