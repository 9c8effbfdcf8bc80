package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
)

func (eng *Engine) takeOrder(rsw http.ResponseWriter, req *http.Request) {
	var ord backend.Order
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	flt := eng.flt.Get()
	time.Sleep(flt.OrderDelay)
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if ord.Fencing < eng.order.Fencing {
		eng.counts.StaleOrders++
		if !eng.cfg.IgnoreFencing && !flt.IgnoreFencing {
			http.Error(rsw, "the fencing number is old", http.StatusConflict)
			return
		}
	}
	if ord.Fencing == eng.order.Fencing && ord.Group == eng.order.Group {
		return
	}
	eng.counts.Orders++
	eng.order = ord
	eng.load()
	// A group forms once rank 0 has seen all of its members.
	eng.missing = eng.mem.watch(ord, eng.cfg, eng.setMembers)
}

// load starts loading the model of the order; all streams of the former order end.
func (eng *Engine) load() {
	eng.loadedAt = time.Now()
	eng.warm = false
	eng.finished = 0
	eng.missing = false
	eng.memberStep = 0
	eng.cold = coldStart{}
	eng.counts.ColdMost = 0
	eng.cch.clear()
	eng.dropAll()
}

// setMembers takes what rank 0 found out about the other members of the order's group.
func (eng *Engine) setMembers(ord backend.Order, missing bool, step time.Duration) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if ord.Fencing != eng.order.Fencing || ord.Group != eng.order.Group {
		return
	}
	eng.memberStep = step
	switch {
	case missing && !eng.missing:
		eng.missing = true
		eng.counts.MembersLost++
		eng.dropAll()
	case !missing && eng.missing:
		// The members form the group anew, so the model is loaded again and starts cold.
		eng.load()
	}
}

// coldStart counts the requests that a cold engine has in progress.
type coldStart struct {
	open int
	// until is the end of the notice after TurnCold.
	until time.Time
}

// turnCold makes the engine cold; requests in progress go on and do not count against ColdLimit.
func (eng *Engine) turnCold() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.warm = false
	eng.finished = 0
	eng.cch.clear()
	eng.counts.ColdMost = 0
	eng.cold = coldStart{
		until: time.Now().Add(eng.cfg.ColdGracePeriod),
	}
	for _, str := range eng.streams {
		str.cold = false
	}
}

// admitCold takes one more request of a cold engine, refuses it in the notice after TurnCold, or makes
// the engine fall over.
func (eng *Engine) admitCold() bool {
	if eng.cold.open >= eng.cfg.ColdLimit {
		if time.Now().Before(eng.cold.until) {
			return false
		}
		eng.counts.ColdMost = max(eng.counts.ColdMost, eng.cold.open+1)
		eng.crash()
		return false
	}
	eng.cold.open++
	eng.counts.ColdMost = max(eng.counts.ColdMost, eng.cold.open)
	return true
}

// Close ends the watch of the other members.
func (eng *Engine) Close() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.mem.stop()
}

// members lets rank 0 notice when another member of its group is gone.
type members struct {
	platform string
	htc      *http.Client
	stop     context.CancelFunc
}

// memberTimeout is the time after which a member that does not answer counts as gone.
const memberTimeout = time.Second

func newMembers(platform string) *members {
	return &members{
		platform: platform,
		htc: &http.Client{
			Timeout: memberTimeout,
		},
		stop: func() {},
	}
}

// watch replaces the watch of the former order's members; it reports whether there is any to watch.
func (mem *members) watch(ord backend.Order, cfg Config, set func(backend.Order, bool, time.Duration)) bool {
	mem.stop()
	mem.stop = func() {}
	if ord.Group == "" || ord.Rank != 0 || mem.platform == "" || len(ord.Members) < 2 {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	mem.stop = cancel
	go func() {
		adrs := map[string]string{}
		for ctx.Err() == nil {
			missing, step := mem.check(ctx, ord, cfg.VM, adrs)
			if ctx.Err() == nil {
				set(ord, missing, step)
			}
			select {
			case <-time.After(cfg.MemberCheckInterval):
			case <-ctx.Done():
			}
		}
	}()
	return true
}

// check asks every other member for its report; it returns whether one is not in the group and the
// longest step time of the members.
func (mem *members) check(ctx context.Context, ord backend.Order, self string, adrs map[string]string) (bool, time.Duration) {
	var step time.Duration
	for _, name := range ord.Members {
		if name == self {
			continue
		}
		if adrs[name] == "" {
			mem.resolve(ctx, adrs)
		}
		var rep backend.Report
		if err := mem.get(ctx, "http://"+adrs[name]+"/report", &rep); err != nil {
			// The member may have come back at another address.
			delete(adrs, name)
			return true, 0
		}
		if rep.Group != ord.Group || rep.Fencing != ord.Fencing {
			return true, 0
		}
		step = max(step, rep.StepTime)
	}
	return false, step
}

// resolve reads the addresses of all VMs at an endpoint of the platform stand-in that counts no calls
// and knows no faults, so that stand-ins do not distort what is measured of the daemons.
func (mem *members) resolve(ctx context.Context, adrs map[string]string) {
	var found map[string]string
	if err := mem.get(ctx, "http://"+mem.platform+"/addresses", &found); err != nil {
		return
	}
	for name, adr := range found {
		adrs[name] = adr
	}
}

func (mem *members) get(ctx context.Context, url string, val any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := mem.htc.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(val)
}
