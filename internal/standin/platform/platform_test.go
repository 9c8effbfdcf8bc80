package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cumintally/cumintally/internal/objects"
)

func serve(tst *testing.T, cfg Config) (*Platform, *httptest.Server) {
	plt := New(cfg, NewStore())
	srv := httptest.NewServer(plt.Handler())
	tst.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return plt, srv
}

// TestCalls guards against call counts that omit a kind of call or count a watch more than once.
func TestCalls(tst *testing.T) {
	ckr := qt.New(tst)
	plt, srv := serve(tst, Config{WriteRate: 1})
	pst := objects.New(srv.URL, srv.Client(), metrics.NewCounter()).Store()
	ctx := context.Background()
	for range 3 {
		_, _ = pst.Put(ctx, "Lease", "one", 0, []byte(`1`))
	}
	_, _, _ = pst.Watch(ctx, "Lease", 0)
	_, _ = pst.VMs(ctx)
	plt.faults.Set(Faults{Out: true})
	_, _ = pst.Get(ctx, "Zone", "a")
	res, err := srv.Client().Get(srv.URL + "/calls")
	ckr.Assert(err, qt.IsNil)
	defer res.Body.Close()
	var cls Calls
	ckr.Assert(json.NewDecoder(res.Body).Decode(&cls), qt.IsNil)
	ckr.Assert(cls, qt.DeepEquals, Calls{
		Reads:       3,
		Writes:      3,
		Watches:     1,
		RateLimited: 2,
		Unavailable: 1,
		ByKind:      map[string]int64{"PUT Lease": 3, "WATCH Lease": 1, "GET vms": 1, "GET Zone": 1},
	})
}

// TestVMLag guards against a list of VMs that shows a change without the lag, or never.
func TestVMLag(tst *testing.T) {
	ckr := qt.New(tst)
	plt, srv := serve(tst, Config{VMLag: 100 * time.Millisecond})
	pst := objects.New(srv.URL, srv.Client(), metrics.NewCounter()).Store()
	plt.store.SetVM(objects.VM{Name: "one"})
	vms, err := pst.VMs(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(vms, qt.HasLen, 0)
	ckr.Assert(plt.store.addresses(), qt.HasLen, 1)
	time.Sleep(110 * time.Millisecond)
	plt.store.RemoveVM("one")
	vms, err = pst.VMs(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(vms, qt.HasLen, 1)
}

// input is one call on one object. expected and value are object values; each value is written only once, and the empty
// value means that the object does not exist.
type input struct {
	name     string
	write    bool
	expected string
	value    string
}

// output is the result of a call. unknown says that the client does not know whether a write took effect.
type output struct {
	value    string
	conflict bool
	unknown  bool
}

// register is the sequential specification of an object with conditional updates.
var register = porcupine.NondeterministicModel{
	Partition: func(hist []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, opn := range hist {
			name := opn.Input.(input).name
			byName[name] = append(byName[name], opn)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, inp, out any) []any {
		req, res := inp.(input), out.(output)
		matches := state == req.expected
		switch {
		case !req.write:
			if state == res.value {
				return []any{state}
			}
			return nil
		case res.unknown && matches:
			return []any{state, req.value}
		case res.unknown || (res.conflict && !matches):
			return []any{state}
		case !res.conflict && matches:
			return []any{req.value}
		default:
			return nil
		}
	},
}

// randomClient is a client that makes random calls and records them.
type randomClient struct {
	store    objects.Store
	clientID int
	rng      *rand.Rand
	last     map[string]objects.Object
	history  []porcupine.Operation
}

func (rnc *randomClient) call(start time.Time, idx int) {
	ctx := context.Background()
	name := strconv.Itoa(rnc.rng.IntN(3))
	obj := rnc.last[name]
	inp := input{
		name:     name,
		expected: string(obj.Value),
		write:    rnc.rng.IntN(3) > 0,
	}
	opn := porcupine.Operation{
		ClientId: rnc.clientID,
		Call:     time.Since(start).Nanoseconds(),
	}
	var out output
	var err error
	switch {
	case !inp.write:
		obj, err = rnc.store.Get(ctx, "Lease", name)
		out.value = string(obj.Value)
	case obj.Version > 0 && rnc.rng.IntN(4) == 0:
		err = rnc.store.Delete(ctx, "Lease", name, obj.Version)
		obj = objects.Object{}
	default:
		inp.value = fmt.Sprintf(`"%d-%d"`, rnc.clientID, idx)
		obj.Version, err = rnc.store.Put(ctx, "Lease", name, obj.Version, []byte(inp.value))
		obj.Value = []byte(inp.value)
	}
	opn.Return = time.Since(start).Nanoseconds()
	if errors.Is(err, objects.ErrUnknownOutcome) {
		out.unknown = true
		// The write may take effect at any later time.
		opn.Return = time.Hour.Nanoseconds()
	}
	out.conflict = errors.Is(err, objects.ErrConflict)
	if err != nil {
		obj = objects.Object{}
	}
	rnc.last[name] = obj
	opn.Input, opn.Output = inp, out
	rnc.history = append(rnc.history, opn)
}

// TestLinearizable guards against two conditional updates of the same version that both succeed, and against a lost
// response that the client reports as a failed write.
func TestLinearizable(tst *testing.T) {
	seed := rand.Uint64()
	tst.Logf("seed %d", seed)
	plt, srv := serve(tst, Config{})
	plt.faults.Set(Faults{LoseShare: 0.05})
	var hist []porcupine.Operation
	var mu sync.Mutex
	var wgr sync.WaitGroup
	start := time.Now()
	for idn := range 6 {
		wgr.Go(func() {
			rnc := &randomClient{
				store:    objects.New(srv.URL, &http.Client{Transport: &http.Transport{}}, metrics.NewCounter()).Store(),
				clientID: idn,
				rng:      rand.New(rand.NewPCG(seed, uint64(idn))),
				last:     map[string]objects.Object{},
			}
			for idx := range 60 {
				rnc.call(start, idx)
			}
			mu.Lock()
			defer mu.Unlock()
			hist = append(hist, rnc.history...)
		})
	}
	wgr.Wait()
	mdl := register.ToModel()
	qt.Assert(tst, porcupine.CheckOperationsTimeout(mdl, hist, time.Minute), qt.Equals, porcupine.Ok)

	// Checks that the model rejects a read of a value that was never written; one that accepts every history would prove
	// nothing.
	hist = append(hist, porcupine.Operation{
		Input:  input{name: "0"},
		Output: output{value: "never written"},
		Call:   time.Minute.Nanoseconds(),
		Return: time.Minute.Nanoseconds() + 1,
	})
	qt.Assert(tst, porcupine.CheckOperationsTimeout(mdl, hist, time.Minute), qt.Equals, porcupine.Illegal)
}
