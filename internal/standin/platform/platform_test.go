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

// TestCalls guards against call counts that miss a kind of call or count a watch more than once.
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
	plt.flt.Set(Faults{Out: true})
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

// TestVMLag guards against a list of VMs that shows a change at once or never.
func TestVMLag(tst *testing.T) {
	ckr := qt.New(tst)
	plt, srv := serve(tst, Config{VMLag: 100 * time.Millisecond})
	pst := objects.New(srv.URL, srv.Client(), metrics.NewCounter()).Store()
	plt.sto.SetVM(objects.VM{Name: "one"})
	vms, err := pst.VMs(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(vms, qt.HasLen, 0)
	ckr.Assert(plt.sto.addresses(), qt.HasLen, 1)
	time.Sleep(110 * time.Millisecond)
	plt.sto.RemoveVM("one")
	vms, err = pst.VMs(context.Background())
	ckr.Assert(err, qt.IsNil)
	ckr.Assert(vms, qt.HasLen, 1)
}

// input is one call on one object; expected and value are values, each of which is written only once,
// and the empty value stands for no object.
type input struct {
	name     string
	write    bool
	expected string
	value    string
}

type output struct {
	value    string
	conflict bool
	unknown  bool
}

// register is the specification of one object under conditional updates.
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
		holds := state == req.expected
		switch {
		case !req.write:
			if state == res.value {
				return []any{state}
			}
			return nil
		case res.unknown && holds:
			return []any{state, req.value}
		case res.unknown || (res.conflict && !holds):
			return []any{state}
		case !res.conflict && holds:
			return []any{req.value}
		default:
			return nil
		}
	},
}

// historian is one client that calls at random and records its calls.
type historian struct {
	pst  objects.Store
	idn  int
	rng  *rand.Rand
	last map[string]objects.Object
	hist []porcupine.Operation
}

func (hsn *historian) call(start time.Time, idx int) {
	ctx := context.Background()
	name := strconv.Itoa(hsn.rng.IntN(3))
	obj := hsn.last[name]
	inp := input{
		name:     name,
		expected: string(obj.Value),
		write:    hsn.rng.IntN(3) > 0,
	}
	opn := porcupine.Operation{
		ClientId: hsn.idn,
		Call:     time.Since(start).Nanoseconds(),
	}
	var out output
	var err error
	switch {
	case !inp.write:
		obj, err = hsn.pst.Get(ctx, "Lease", name)
		out.value = string(obj.Value)
	case obj.Version > 0 && hsn.rng.IntN(4) == 0:
		err = hsn.pst.Delete(ctx, "Lease", name, obj.Version)
		obj = objects.Object{}
	default:
		inp.value = fmt.Sprintf(`"%d-%d"`, hsn.idn, idx)
		obj.Version, err = hsn.pst.Put(ctx, "Lease", name, obj.Version, []byte(inp.value))
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
	hsn.last[name] = obj
	opn.Input, opn.Output = inp, out
	hsn.hist = append(hsn.hist, opn)
}

// TestLinearizable guards against conditional updates that both succeed, or a lost answer that is told
// as a failure.
func TestLinearizable(tst *testing.T) {
	seed := rand.Uint64()
	tst.Logf("seed %d", seed)
	plt, srv := serve(tst, Config{})
	plt.flt.Set(Faults{LoseShare: 0.05})
	var hist []porcupine.Operation
	var mu sync.Mutex
	var wgr sync.WaitGroup
	start := time.Now()
	for idn := range 6 {
		wgr.Go(func() {
			hsn := &historian{
				pst:  objects.New(srv.URL, &http.Client{Transport: &http.Transport{}}, metrics.NewCounter()).Store(),
				idn:  idn,
				rng:  rand.New(rand.NewPCG(seed, uint64(idn))),
				last: map[string]objects.Object{},
			}
			for idx := range 60 {
				hsn.call(start, idx)
			}
			mu.Lock()
			defer mu.Unlock()
			hist = append(hist, hsn.hist...)
		})
	}
	wgr.Wait()
	mdl := register.ToModel()
	qt.Assert(tst, porcupine.CheckOperationsTimeout(mdl, hist, time.Minute), qt.Equals, porcupine.Ok)

	// A model that accepts everything would prove nothing: a read of a value never written must fail.
	hist = append(hist, porcupine.Operation{
		Input:  input{name: "0"},
		Output: output{value: "never written"},
		Call:   time.Minute.Nanoseconds(),
		Return: time.Minute.Nanoseconds() + 1,
	})
	qt.Assert(tst, porcupine.CheckOperationsTimeout(mdl, hist, time.Minute), qt.Equals, porcupine.Illegal)
}
