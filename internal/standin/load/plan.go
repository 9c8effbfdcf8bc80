package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// plannedRequest is one request of the plan; offset is the time from the start of the run at which it is sent.
type plannedRequest struct {
	index     int
	offset    time.Duration
	workspace Workspace
	prompt    string
	tokens    int
}

// planRequests draws all requests of a run from the seed. The same configuration and seed give the same plan.
func planRequests(cfg Config) []plannedRequest {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	prefixes := make([]string, cfg.Prefixes)
	for idx := range prefixes {
		prefixes[idx] = randomWords(rng, fmt.Sprintf("prefix-%d", idx), cfg.PrefixWords)
	}
	shares := 0
	for _, wsp := range cfg.Workspaces {
		shares += wsp.Share
	}
	var reqs []plannedRequest
	at := 0.0
	for idx := 0; cfg.Count == 0 || idx < cfg.Count; idx++ {
		at += rng.ExpFloat64() / cfg.Rate
		due := time.Duration(at * float64(time.Second))
		if due > cfg.Duration {
			break
		}
		req := plannedRequest{
			index:     idx,
			offset:    due,
			workspace: chooseWorkspace(cfg.Workspaces, rng.IntN(shares)),
			// The index makes each prompt unique, and therefore each expected response.
			prompt: randomWords(rng, fmt.Sprintf("request-%d-%d", cfg.Seed, idx), cfg.PromptWords),
			tokens: cfg.MinTokens + rng.IntN(cfg.MaxTokens-cfg.MinTokens+1),
		}
		if len(prefixes) > 0 {
			req.prompt = prefixes[rng.IntN(len(prefixes))] + " " + req.prompt
		}
		reqs = append(reqs, req)
	}
	return reqs
}

// chooseWorkspace selects a workspace with a probability proportional to its share: num is a random number from 0 to the
// sum of the shares, exclusive.
func chooseWorkspace(wsps []Workspace, num int) Workspace {
	for _, wsp := range wsps {
		if num -= wsp.Share; num < 0 {
			return wsp
		}
	}
	return wsps[len(wsps)-1]
}

// randomWords returns first and num random words, separated by spaces.
func randomWords(rng *rand.Rand, first string, num int) string {
	wds := []string{first}
	for range num {
		wds = append(wds, fmt.Sprintf("w%d", rng.IntN(10_000)))
	}
	return strings.Join(wds, " ")
}
