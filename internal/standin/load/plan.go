package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// planned is one request of the plan.
type planned struct {
	index     int
	at        time.Duration
	workspace Workspace
	prompt    string
	tokens    int
}

// plan draws all requests of a run; the same configuration and seed give the same plan.
func plan(cfg Config) []planned {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	prefixes := make([]string, cfg.Prefixes)
	for idx := range prefixes {
		prefixes[idx] = words(rng, fmt.Sprintf("prefix-%d", idx), cfg.PrefixWords)
	}
	shares := 0
	for _, wsp := range cfg.Workspaces {
		shares += wsp.Share
	}
	var reqs []planned
	at := 0.0
	for idx := 0; cfg.Count == 0 || idx < cfg.Count; idx++ {
		at += rng.ExpFloat64() / cfg.Rate
		due := time.Duration(at * float64(time.Second))
		if due > cfg.Duration {
			break
		}
		req := planned{
			index:     idx,
			at:        due,
			workspace: pick(cfg.Workspaces, rng.IntN(shares)),
			// The index makes each prompt, and so each expected answer, unique.
			prompt: words(rng, fmt.Sprintf("request-%d-%d", cfg.Seed, idx), cfg.PromptWords),
			tokens: cfg.MinTokens + rng.IntN(cfg.MaxTokens-cfg.MinTokens+1),
		}
		if len(prefixes) > 0 {
			req.prompt = prefixes[rng.IntN(len(prefixes))] + " " + req.prompt
		}
		reqs = append(reqs, req)
	}
	return reqs
}

func pick(wsps []Workspace, num int) Workspace {
	for _, wsp := range wsps {
		if num -= wsp.Share; num < 0 {
			return wsp
		}
	}
	return wsps[len(wsps)-1]
}

func words(rng *rand.Rand, first string, num int) string {
	wds := []string{first}
	for range num {
		wds = append(wds, fmt.Sprintf("w%d", rng.IntN(10_000)))
	}
	return strings.Join(wds, " ")
}
