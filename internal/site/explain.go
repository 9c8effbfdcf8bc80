package site

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/explanation"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/settings"
)

// explainer answers where a request would go now. It sends nothing and changes nothing.
type explainer struct {
	name          string
	table         func() *route.Table
	registrations func() *serverregistry.View
	explain       func(request placement.Request, now time.Time) ([]explanation.Candidate, error)
	clock         clockwork.Clock
}

func newExplainer(set *settings.Settings, stc *storeCache, plm *placement.Placement, clk clockwork.Clock) *explainer {
	return &explainer{
		name:          set.Entry.Name,
		table:         stc.activeTable,
		registrations: stc.registry.View,
		explain:       plm.Explain,
		clock:         clk,
	}
}

// ServeHTTP responds to a query with an explanation as JSON.
func (exr *explainer) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	qry, err := explanation.ParseValues(req.URL.Query())
	var exp explanation.Explanation
	if err == nil {
		exp, err = exr.answer(qry)
	}
	wrt.Header().Set("Content-Type", "application/json")
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(wrt).Encode(struct{ Error string }{Error: err.Error()})
		return
	}
	_ = json.NewEncoder(wrt).Encode(exp)
}

// answer explains a valid query. It fails if the query names an unknown workspace.
func (exr *explainer) answer(qry explanation.Query) (explanation.Explanation, error) {
	exp := explanation.Explanation{
		Daemon:    exr.name,
		Workspace: qry.Workspace,
		Model:     qry.Model,
	}
	tbl := exr.table()
	if tbl == nil {
		exp.Rejection = "503 Not available now: no configuration is known yet"
		return exp, nil
	}
	rte, ok := tbl.Find(qry.Host, qry.Path)
	if !ok {
		exp.Rejection = "404 No route: no route for " + qry.Host + qry.Path
		return exp, nil
	}
	exp.Route = rte.Name
	exp.Priority = rte.Priority
	known := qry.Workspace == ""
	for idx := range tbl.Config.Workspaces {
		if wsp := &tbl.Config.Workspaces[idx]; wsp.Name == qry.Workspace {
			known = true
			if wsp.HasPriority {
				exp.Priority = wsp.Priority
			}
		}
	}
	if !known {
		return exp, errors.NotFoundf("workspace %q", qry.Workspace)
	}
	if qry.Workspace == "" && tbl.RequiresKey(rte) {
		exp.Rejection = "401 Unknown key: no workspace holds the key"
		return exp, nil
	}
	for _, tgt := range rte.Targets {
		if tgt.Weight > 0 {
			exp.Targets = append(exp.Targets, exr.explainTarget(qry, tbl, rte, exp.Priority, tgt))
		}
	}
	return exp, nil
}

func (exr *explainer) explainTarget(
	qry explanation.Query,
	tbl *route.Table,
	rte *route.Route,
	priority int,
	tgt route.Target,
) explanation.Target {
	out := explanation.Target{
		Service:    tgt.Service,
		Weight:     tgt.Weight,
		Registered: len(exr.registrations().Service(tgt.Service)),
	}
	svc, ok := tbl.Service(tgt.Service)
	if !ok {
		out.Rejection = "503 Not available now: service " + tgt.Service + " is not configured"
		return out
	}
	req := placement.Request{
		Service:        svc,
		Model:          qry.Model,
		PromptTokens:   qry.PromptTokens,
		ExpectedTokens: qry.ExpectedTokens,
		StartWithin:    rte.Timeout,
		Priority:       priority,
		Objective:      rte.Objective,
		Repeatable:     rte.Repeatable(),
	}
	req.SharedParts, req.SharedTokens = qry.SharedParts()
	if rte.Objective > 0 {
		req.MaxUsefulForecast = func(idle time.Duration) time.Duration { return admission.MaxUsefulForecast(rte.Objective, 0, idle) }
	}
	candidates, err := exr.explain(req, exr.clock.Now())
	out.Candidates = candidates
	if err != nil {
		out.Rejection = "503 Not available now: " + err.Error()
	}
	return out
}
