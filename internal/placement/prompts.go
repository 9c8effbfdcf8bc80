package placement

import (
	"time"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/router"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

// promptSaving is the part of a request's prompt that a backend server need not read.
type promptSaving struct {
	// tokens is the expected number of cached tokens, by this daemon's estimates.
	tokens int
	// scoredTokens also counts what other daemons have probably sent to the prompt's home server. It affects only the
	// order of the candidates, not the forecast.
	scoredTokens int
}

// promptSavings returns the saving at each backend server, whose loads are given. It returns nil if engines retain no
// prompts or the request names no shared part.
func (plm *Placement) promptSavings(req *Request, srvs []*serverregistry.Server, loads []admission.Load, now time.Time) []promptSaving {
	pmt, ok := plm.prompt(req)
	if !ok {
		return nil
	}
	savings := make([]promptSaving, len(srvs))
	for idx, srv := range srvs {
		plm.deps.Prompts.Shrink(holder(srv), occupancy(req, loads[idx]), now)
	}
	var mat promptcache.Matches
	plm.deps.Prompts.Match(pmt.Prefixes, now, &mat)
	home := promptcache.Home(pmt.HomePrefix, len(srvs), func(idx int) string { return srvs[idx].ID })
	for idx, srv := range srvs {
		if !fitsMemory(req, occupancy(req, loads[idx])) {
			continue
		}
		savings[idx].tokens = pmt.CachedTokens(holder(srv), &mat)
		savings[idx].scoredTokens = savings[idx].tokens
		if idx == home {
			savings[idx].scoredTokens = max(savings[idx].tokens, int(promptcache.HomeShare*float64(pmt.SharedTokens())))
		}
	}
	return savings
}

// prompt returns the shared prefixes of a request's prompt. It returns false if engines retain no prompts or the request
// names no shared part.
func (plm *Placement) prompt(req *Request) (promptcache.Prompt, bool) {
	if plm.deps.Prompts == nil || len(req.SharedParts) == 0 || req.RequestedModel() == nil {
		return promptcache.Prompt{}, false
	}
	return promptcache.NewPrompt(req.Model, req.SharedParts, req.SharedTokens, req.PromptTokens), true
}

// holder returns the process and group epoch of a backend server, to which its estimates belong.
func holder(srv *serverregistry.Server) promptcache.Holder {
	return promptcache.Holder{
		ServerID:  srv.ID,
		StartTime: srv.StartTime,
		Group:     srv.Membership.Group,
		Epoch:     srv.Membership.Epoch,
	}
}

// occupancy returns the load on the memory of a backend server with the given load. The daemons announce numbers of
// requests, which are taken to have the mean size.
func occupancy(req *Request, lod admission.Load) promptcache.Occupancy {
	eng := req.Service.Engine
	return promptcache.Occupancy{
		Capacity: eng.MemoryTokens,
		InFlight: lod.Requests * (eng.MeanPromptTokens + eng.MeanOutputTokens),
	}
}

// fitsMemory reports whether the request fits into an engine's memory beside those in flight. Otherwise the engine
// evicts what it has cached, or the request waits until others end.
func fitsMemory(req *Request, occ promptcache.Occupancy) bool {
	return occ.Capacity <= 0 || occ.InFlight+req.PromptTokens+req.ExpectedTokens <= occ.Capacity
}

// applySavings subtracts the prefill that is saved at each backend server from its score.
func (req *Request) applySavings(views []router.ReplicaView, savings []promptSaving) {
	for idx := range savings {
		views[idx].PrefillSaved = req.savedTime(savings[idx].scoredTokens)
	}
}

// uncachedShare returns the share of the usual work of a request that is left where its prefix is cached. The requests that
// the view lacks are taken to find as much of their prompts as this one: they would otherwise seem to fill each holder of
// a prefix within the staleness of the view, and the prefix would be read at every server.
func (req *Request) uncachedShare(savings []promptSaving) float64 {
	most := 0
	for idx := range savings {
		most = max(most, savings[idx].scoredTokens)
	}
	if most == 0 {
		return 1
	}
	usual := routerConfig(req.Service.Engine, req.Model).ScorePerRequest
	return max(0, 1-float64(req.savedTime(most))/float64(max(1, usual)))
}

// uncachedTokens returns the number of tokens of the prompt that the backend server with the given index has to read.
func (req *Request) uncachedTokens(savings []promptSaving, idx int) int {
	if savings == nil {
		return req.PromptTokens
	}
	return req.PromptTokens - savings[idx].tokens
}

func (req *Request) savedTime(tokens int) time.Duration {
	return admission.PrefillTime(req.Service.Engine, req.RequestedModel(), tokens)
}

// countPrompt counts a request like countRequest, but only the tokens that the backend server has to read as unread.
// When the response begins, the prompt is recorded as cached there, and once more when the request ends. It also returns
// the time saved.
func (plm *Placement) countPrompt(
	req Request,
	srv *serverregistry.Server,
	lod admission.Load,
	now time.Time,
) (began func(), setReading func(reading bool), release func(), saved time.Duration) {
	savings := plm.promptSavings(&req, []*serverregistry.Server{srv}, []admission.Load{lod}, now)
	if savings == nil {
		began, setReading, release = plm.countRequest(req, srv.ID, now)
		return began, setReading, release, 0
	}
	counted := req
	counted.PromptTokens = req.uncachedTokens(savings, 0)
	countBegan, setReading, countReleased := plm.countRequest(counted, srv.ID, now)
	if savings[0].tokens > 0 {
		saved = req.savedTime(savings[0].tokens)
		plm.deps.ReportSaved(savings[0].tokens)
	}
	pmt, _ := plm.prompt(&req)
	recordRead := func() {
		plm.deps.Prompts.RecordRead(holder(srv), pmt.Prefixes, pmt.Tokens, occupancy(&req, lod), plm.clock.Now())
	}
	read := false
	began = func() {
		countBegan()
		plm.mu.Lock()
		read = true
		plm.mu.Unlock()
		recordRead()
	}
	release = func() {
		countReleased()
		plm.mu.Lock()
		again := read
		plm.mu.Unlock()
		if again {
			recordRead()
		}
	}
	return began, setReading, release, saved
}
