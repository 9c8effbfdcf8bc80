package objects_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
)

const kind = objects.KindLease

// serveStore serves a store over HTTP. It returns a client of the store and the server's URL, which setFaults
// takes.
func serveStore(tst *testing.T, cfg standin.Config, sto *standin.Store) (objects.Store, string) {
	srv := httptest.NewServer(standin.New(cfg, sto).Handler())
	tst.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return newClient(srv.URL), srv.URL
}

func newClient(url string) objects.Store {
	return objects.New(url, &http.Client{Transport: &http.Transport{}}, metrics.NewCounter()).Store()
}

func setFaults(tst *testing.T, url, faults string) {
	req, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(faults))
	qt.Assert(tst, err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	qt.Assert(tst, err, qt.IsNil)
	res.Body.Close()
	qt.Assert(tst, res.StatusCode, qt.Equals, http.StatusOK)
}

// TestContract guards against an in-memory store or an HTTP client whose conditional updates, lists or watches differ
// from the contract.
func TestContract(tst *testing.T) {
	for _, tcs := range []struct {
		name string
		run  func(ctx context.Context, ckr *qt.C, pst objects.Store)
	}{
		{"conditions", testConditions},
		{"names", testNames},
		{"watch", testWatch},
	} {
		tst.Run(tcs.name+" in memory", func(tst *testing.T) {
			tcs.run(context.Background(), qt.New(tst), standin.NewStore().ObjectStore())
		})
		tst.Run(tcs.name+" over HTTP", func(tst *testing.T) {
			pst, _ := serveStore(tst, standin.Config{}, standin.NewStore())
			tcs.run(context.Background(), qt.New(tst), pst)
		})
	}
}

func testConditions(ctx context.Context, ckr *qt.C, pst objects.Store) {
	_, err := pst.Get(ctx, kind, "one")
	ckr.Assert(err, qt.ErrorIs, objects.ErrNotFound)
	_, err = pst.Put(ctx, kind, "one", 7, []byte(`1`))
	ckr.Assert(err, qt.ErrorIs, objects.ErrConflict)
	fst, err := pst.Put(ctx, kind, "one", 0, []byte(`1`))
	ckr.Assert(err, qt.IsNil)
	_, err = pst.Put(ctx, kind, "one", 0, []byte(`2`))
	ckr.Assert(err, qt.ErrorIs, objects.ErrConflict)
	other, err := pst.Put(ctx, kind, "two", 0, []byte(`2`))
	ckr.Assert(err, qt.IsNil)
	snd, err := pst.Put(ctx, kind, "one", fst, []byte(`3`))
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(fst < other && other < snd, qt.IsTrue)
	ckr.Assert(pst.Delete(ctx, kind, "one", fst), qt.ErrorIs, objects.ErrConflict)
	obj, err := pst.Get(ctx, kind, "one")
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(obj, qt.DeepEquals, objects.Object{Kind: kind, Name: "one", Version: snd, Value: []byte(`3`)})
	ckr.Assert(pst.Delete(ctx, kind, "one", snd), qt.IsNil)
	_, err = pst.Get(ctx, kind, "one")
	ckr.Assert(err, qt.ErrorIs, objects.ErrNotFound)
	_, err = pst.Put(ctx, kind, "one", snd, []byte(`4`))
	ckr.Assert(err, qt.ErrorIs, objects.ErrConflict)
	objs, rev, err := pst.List(ctx, kind)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(objs, qt.HasLen, 1)
	ckr.Assert(rev > snd, qt.IsTrue)
	again, err := pst.Put(ctx, kind, "one", 0, []byte(`5`))
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(again > rev, qt.IsTrue)
	_, err = pst.Put(ctx, kind, "big", 0, []byte(`"`+strings.Repeat("x", objects.MaxValueSize)+`"`))
	ckr.Assert(err, qt.ErrorIs, objects.ErrTooLarge)
}

func testNames(ctx context.Context, ckr *qt.C, pst objects.Store) {
	names := []string{"a/b", "a%2Fb", "ü ?#&", "..", "x+y"}
	for idx, name := range names {
		_, err := pst.Put(ctx, kind, name, 0, fmt.Append(nil, idx))
		ckr.Assert(err, qt.IsNil, qt.Commentf("%s", name))
	}
	for idx, name := range names {
		obj, err := pst.Get(ctx, kind, name)
		ckr.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		ckr.Assert(string(obj.Value), qt.Equals, fmt.Sprint(idx), qt.Commentf("%s", name))
	}
}

func testWatch(ctx context.Context, ckr *qt.C, pst objects.Store) {
	_, rev, err := pst.List(ctx, kind)
	ckr.Assert(err, qt.IsNil)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = pst.Put(ctx, objects.KindZone, "other kind", 0, []byte(`1`))
		_, _ = pst.Put(ctx, kind, "one", 0, []byte(`1`))
	}()
	objs, rev, err := pst.Watch(ctx, kind, rev)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(objs, qt.HasLen, 1)
	ckr.Assert(pst.Delete(ctx, kind, "one", objs[0].Version), qt.IsNil)
	objs, _, err = pst.Watch(ctx, kind, rev)
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(objs, qt.HasLen, 1)
	ckr.Assert(objs[0].Deleted, qt.IsTrue)
}

// TestFaults guards against an error that reports a write as not written although it may have taken effect, and
// against a write that is sent again after its response was lost.
func TestFaults(tst *testing.T) {
	for _, tcs := range []struct {
		name    string
		faults  string
		read    error
		write   error
		written bool
	}{
		{"none", `{}`, nil, nil, true},
		{"outage", `{"Out":true}`, objects.ErrUnavailable, objects.ErrUnavailable, false},
		{"over the rate", `{"ReadRate":0.001,"WriteRate":0.001}`, objects.ErrUnavailable, objects.ErrUnavailable, false},
		{"lost response", `{"LoseAnswers":1}`, nil, objects.ErrUnknownOutcome, true},
		{"lost write", `{"LoseWrites":1}`, nil, objects.ErrUnknownOutcome, false},
		{"slow", `{"Delay":1000000000}`, objects.ErrUnavailable, objects.ErrUnknownOutcome, false},
		{"slow response", `{"AnswerDelay":1000000000}`, nil, objects.ErrUnknownOutcome, true},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ckr := qt.New(tst)
			sto := standin.NewStore()
			pst, url := serveStore(tst, standin.Config{}, sto)
			setFaults(tst, url, tcs.faults)
			if strings.Contains(tcs.faults, "Rate") {
				// The burst of the rate limit lets the first read and the first write pass.
				_, _, _ = pst.List(context.Background(), kind)
				_, _ = pst.Put(context.Background(), kind, "burst", 0, []byte(`1`))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := pst.Put(ctx, kind, "one", 0, []byte(`1`))
			ckr.Assert(err, qt.ErrorIs, tcs.write)
			_, err = sto.ObjectStore().Get(context.Background(), kind, "one")
			ckr.Assert(err == nil, qt.Equals, tcs.written)
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, _, err = pst.List(ctx, kind)
			ckr.Assert(err, qt.ErrorIs, tcs.read)
			_, err = pst.VMs(ctx)
			ckr.Assert(err, qt.ErrorIs, tcs.read)
		})
	}
}

// TestUnexpectedResponses guards against a response that violates the protocol but is taken as the outcome of a write,
// and against a write that is sent again after such a response.
func TestUnexpectedResponses(tst *testing.T) {
	for _, tcs := range []struct {
		name   string
		status int
		header string
		read   error
		write  error
	}{
		{"server error", 500, "", objects.ErrUnavailable, objects.ErrUnknownOutcome},
		{"bad gateway", 502, "", objects.ErrUnavailable, objects.ErrUnknownOutcome},
		{"success without a version", 200, "", objects.ErrUnavailable, objects.ErrUnknownOutcome},
		{"success with version 0", 200, `"0"`, objects.ErrUnavailable, objects.ErrUnknownOutcome},
		{"redirect", 302, "/elsewhere", objects.ErrUnavailable, objects.ErrUnknownOutcome},
		{"see other", 303, "/elsewhere", objects.ErrUnavailable, objects.ErrUnknownOutcome},
	} {
		tst.Run(tcs.name, func(tst *testing.T) {
			ckr := qt.New(tst)
			writes := 0
			srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodPut {
					writes++
				}
				if req.URL.Path == "/elsewhere" {
					rsw.Header().Set("ETag", `"9"`)
					return
				}
				rsw.Header().Set("Location", tcs.header)
				rsw.Header().Set("ETag", tcs.header)
				rsw.WriteHeader(tcs.status)
			}))
			defer srv.Close()
			pst := newClient(srv.URL)
			_, err := pst.Put(context.Background(), kind, "one", 0, []byte(`1`))
			ckr.Assert(err, qt.ErrorIs, tcs.write)
			ckr.Assert(writes, qt.Equals, 1)
			_, err = pst.Get(context.Background(), kind, "one")
			ckr.Assert(err, qt.ErrorIs, tcs.read)
			_, _, err = pst.List(context.Background(), kind)
			ckr.Assert(err, qt.ErrorIs, tcs.read)
		})
	}
	_, err := newClient("http://127.0.0.1:1").Put(context.Background(), kind, "one", 0, []byte(`1`))
	qt.Assert(tst, err, qt.ErrorIs, objects.ErrUnavailable)
}

// TestOutageEndsWatch guards against a watch that hangs during an outage of the platform or returns without an
// error.
func TestOutageEndsWatch(tst *testing.T) {
	ckr := qt.New(tst)
	pst, url := serveStore(tst, standin.Config{}, standin.NewStore())
	ended := make(chan error, 1)
	go func() {
		_, _, err := pst.Watch(context.Background(), kind, 0)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	setFaults(tst, url, `{"Out":true}`)
	select {
	case err := <-ended:
		ckr.Assert(err, qt.ErrorIs, objects.ErrUnavailable)
	case <-time.After(2 * time.Second):
		ckr.Fatal("the watch does not return during the outage")
	}
}
