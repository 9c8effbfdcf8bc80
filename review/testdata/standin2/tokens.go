package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cumintally/cumintally/platform/standin"
)

const (
	// usualCount is the token count of most requests for quotes, as on the sheet: 1,460 tokens in, 27 events of 5 tokens out.
	usualCount = "1460,135"
	// largeCount is that of a client that leaves the most tokens of its answer at what the memory of a runner holds.
	largeCount = "1460,1390000"
)

func (wld *world) putModels(withChat bool) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": "streaming", "timeout-ms": 6000, "slo-ms": 500, "priority": 1,
			"service": "llm", "max-attempts": 2, "stream-resume": true, "gap-target-ms": 300, "session-affinity": true,
		}
	}
	model := func(name string, size int, pace, share float64) map[string]any {
		return map[string]any{"name": name, "size": size, "share": share, "pace": pace, "load-s": 1.0, "warm-s": 0.1}
	}
	routes := []map[string]any{route("quote", "/quote/")}
	if withChat {
		routes = append(routes, route("chat", "/chat/"))
	}
	wld.putConfig(routes, []map[string]any{{
		"name": "llm", "health-path": "/health", "max-conns": 474, "cold-per-s": 36.0,
		"engine": map[string]any{
			"slots": 26, "kv-capacity": 1400000, "step_ms": 6.07, "per_seq_ms": 0.241, "read_per_s": 46000.0, "stride": 5, "form-ms": 300,
			"loads-per-s": 4.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 1460, "answer": 135},
			"models": []any{model("m0", 4, 1.0, 0.67), model("m1", 2, 0.6, 0.33)},
		},
	}})
}

// playTokens: one in ten requests for quotes states as the most tokens of its answer what the memory of a runner holds. Requests for chats
// come on a route that was added later, for the other model.
func playTokens(wld *world) (int, error) {
	wld.putModels(false)
	flt := standin.NewFleet(wld.store, "llm", 27)
	for num := range 48 {
		zone := zones[num%len(zones)]
		eng := flt.Add(fmt.Sprintf("i-llm-%02d", num), zone, fmt.Sprintf("%s-d%d", zone, num/24))
		eng.EventInterval.Store(int64(40 * time.Millisecond))
	}
	for num := range 8 {
		if err := wld.addDaemon(num); err != nil {
			return failed, err
		}
	}
	if err := wld.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	wld.balance(stop)
	time.Sleep(8 * time.Second)
	var ldg ledger
	ask := func(kind, model, count string) {
		head := fmt.Sprintf("X-Cumintally-Model: %s\r\nX-Cumintally-Token-Count: %s\r\nX-Cumintally-Prompt-Prefix: %x:40,%x:600\r\n",
			model, count, rand.IntN(60), rand.Uint64())
		wld.askWith(&ldg, kind, "POST", "/"+kind+"/", fmt.Sprintf("prompt %x", rand.Uint64()), head, true, 6*time.Second)
	}
	waits := []*sync.WaitGroup{wld.traffic(stop, 10, func() { ask("quote", "m0", usualCount) })}
	time.Sleep(3 * time.Second)
	wld.putModels(true)
	time.Sleep(3 * time.Second)
	waits = append(waits, wld.traffic(stop, 20, func() { ask("chat", "m1", "714,135") }))
	time.Sleep(10 * time.Second)
	wld.logf("open groups: %v", flt.OpenGroups())
	count := usualCount
	if wld.trouble {
		count = largeCount
	}
	waits = append(waits, wld.traffic(stop, 1, func() { ask("quote", "m0", count) }))
	wld.logf("one more request for a quote a second, token count %s", count)
	time.Sleep(10 * time.Second)
	from := time.Now()
	for range 6 {
		time.Sleep(5 * time.Second)
		wld.logf("open groups: %v", flt.OpenGroups())
	}
	till := time.Now()
	close(stop)
	for _, wgr := range waits {
		wgr.Wait()
	}
	quotes, quotesServed := ldg.share(from, till, "quote")
	chats, chatsServed := ldg.share(from, till, "chat")
	wld.logf("in steady state: %d of %d requests on the first route served, %d of %d on the route that was added later", quotesServed, quotes, chatsServed, chats)
	fmt.Printf("first route %d/%d, route added later %d/%d\n", quotesServed, quotes, chatsServed, chats)
	switch {
	case quotes == 0 || chats < 20:
		return failed, fmt.Errorf("too few requests: %d and %d", quotes, chats)
	case 4*chatsServed*quotes < quotesServed*chats:
		return broken, nil
	default:
		return held, nil
	}
}
