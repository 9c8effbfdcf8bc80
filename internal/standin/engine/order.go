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
	flt := eng.faults.Get()
	time.Sleep(flt.OrderDelay)
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if ord.Fencing < eng.order.Fencing {
		eng.counts.StaleOrders++
		if !eng.cfg.IgnoreFencing && !flt.IgnoreFencing {
			http.Error(rsw, "the order's fencing number is below that of the present order", http.StatusConflict)
			return
		}
	}
	if ord.Fencing == eng.order.Fencing && ord.Group == eng.order.Group {
		return
	}
	eng.counts.Orders++
	eng.order = ord
	eng.startLoading()
	// A group serves only once rank 0 has received reports of all members.
	eng.memberMissing = eng.peers.watch(ord, eng.cfg, eng.updateMembers)
}

// startLoading starts loading the model of the order and aborts all streams of the previous order.
func (eng *Engine) startLoading() {
	eng.loadStartedAt = time.Now()
	eng.warm = false
	eng.finishedSinceCold = 0
	eng.memberMissing = false
	eng.memberStepTime = 0
	eng.cold = coldStart{}
	eng.counts.ColdMost = 0
	eng.prefixCache.clear()
	eng.abortAll()
}

// updateMembers records the result of a check of the other members by rank 0: whether a member of the order's group is
// missing, and the longest step time. A result for a previous order is ignored.
func (eng *Engine) updateMembers(ord backend.Order, missing bool, step time.Duration) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if ord.Fencing != eng.order.Fencing || ord.Group != eng.order.Group {
		return
	}
	eng.memberStepTime = step
	switch {
	case missing && !eng.memberMissing:
		eng.memberMissing = true
		eng.counts.MembersLost++
		eng.abortAll()
	case !missing && eng.memberMissing:
		// The members form the group again, so the model is loaded again and starts cold.
		eng.startLoading()
	}
}

// coldStart counts the requests in progress that a cold engine has accepted.
type coldStart struct {
	inFlight int
	// graceEnd is the end of ColdGracePeriod after TurnCold.
	graceEnd time.Time
}

// turnCold makes the engine cold. Requests in progress continue and do not count against ColdLimit.
func (eng *Engine) turnCold() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.warm = false
	eng.finishedSinceCold = 0
	eng.prefixCache.clear()
	eng.counts.ColdMost = 0
	eng.cold = coldStart{
		graceEnd: time.Now().Add(eng.cfg.ColdGracePeriod),
	}
	for _, str := range eng.streams {
		str.inColdStart = false
	}
}

// admitCold reports whether a cold engine accepts one more request. Above ColdLimit it rejects the request during
// ColdGracePeriod after TurnCold, and crashes the engine otherwise.
func (eng *Engine) admitCold() bool {
	if eng.cold.inFlight >= eng.cfg.ColdLimit {
		if time.Now().Before(eng.cold.graceEnd) {
			return false
		}
		eng.counts.ColdMost = max(eng.counts.ColdMost, eng.cold.inFlight+1)
		eng.crash()
		return false
	}
	eng.cold.inFlight++
	eng.counts.ColdMost = max(eng.counts.ColdMost, eng.cold.inFlight)
	return true
}

// Close stops monitoring the other members.
func (eng *Engine) Close() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.peers.stop()
}

// members lets rank 0 detect that another member of its group is missing.
type members struct {
	platform string
	client   *http.Client
	stop     context.CancelFunc
}

// memberTimeout is the time after which a member that does not respond counts as missing.
const memberTimeout = time.Second

func newMembers(platform string) *members {
	return &members{
		platform: platform,
		client: &http.Client{
			Timeout: memberTimeout,
		},
		stop: func() {},
	}
}

// watch starts monitoring the members of an order in place of those of the previous order. It reports whether there are
// members to monitor.
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

// check fetches the report of every other member. It returns whether one is unreachable or not in the group, and the
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
		if err := mem.getJSON(ctx, "http://"+adrs[name]+"/report", &rep); err != nil {
			// The member may have restarted at another address.
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

// resolve reads the addresses of all VMs from an endpoint of the platform stand-in that counts no calls and has no
// faults, so that the stand-ins do not distort what is measured of the daemons.
func (mem *members) resolve(ctx context.Context, adrs map[string]string) {
	var found map[string]string
	if err := mem.getJSON(ctx, "http://"+mem.platform+"/addresses", &found); err != nil {
		return
	}
	for name, adr := range found {
		adrs[name] = adr
	}
}

func (mem *members) getJSON(ctx context.Context, url string, val any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := mem.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(val)
}
