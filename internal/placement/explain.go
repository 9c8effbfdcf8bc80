package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/explanation"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// explainedDraws is the number of random draws by which the share of each candidate is estimated, to a few hundredths.
const explainedDraws = 400

// Explain returns what Choose would consider for a request: each candidate, what excludes it, and the share of such
// requests that it would get. The error is the one with which Choose would fail. It counts no request, takes nothing
// from a limiter and ejects no server.
func (plm *Placement) Explain(req Request, now time.Time) ([]explanation.Candidate, error) {
	limitShare := sync.OnceValue(func() float64 { return plm.deps.LimitShare(req.Service.Name, req.Model, now) })
	var srvs, usable, failing []*serverregistry.Server
	for _, srv := range plm.deps.Registrations().Service(req.Service.Name) {
		if req.Service.Engine == nil || srv.Membership.Group != "" && srv.Membership.Rank == 0 {
			srvs = append(srvs, srv)
		}
	}
	loads := plm.knownLoads(srvs, now)
	avoided := plm.avoided(req, srvs, limitShare, now)
	explained := make([]explanation.Candidate, 0, len(srvs))
	for _, srv := range srvs {
		cnd, exp := plm.explainServer(req, srv, loads, now)
		cnd.Excluded = plm.excludedBy(req, srv, limitShare, now)
		if cnd.Excluded == "" {
			cnd.Excluded = plm.failure(req, srv, avoided[srv.ID], loads[srv.ID], now)
			if cnd.Excluded == "" {
				usable = append(usable, srv)
			} else {
				failing = append(failing, srv)
			}
		}
		switch {
		case cnd.Excluded != "":
		case plm.tooLate(&req, exp, now):
			cnd.Excluded = "its first token is expected too late"
		case plm.reserve(&req, exp.load, now) == reservation.Reserved:
			cnd.Excluded = "its capacity is kept for more urgent requests"
		}
		explained = append(explained, cnd)
	}
	// Choose tries servers that fail rather than none.
	if len(usable) == 0 {
		usable = failing
	}
	if len(usable) == 0 {
		return explained, errors.Annotatef(ErrNoServer, "service %s, model %q: %d considered", req.Service.Name, req.Model, len(srvs))
	}
	return explained, plm.drawShares(req, usable, loads, explained, now)
}

// drawShares sets the share of each candidate. It fails with ErrBusy if no draw would be sent.
func (plm *Placement) drawShares(
	req Request,
	usable []*serverregistry.Server,
	loads map[string]knownLoad,
	explained []explanation.Candidate,
	now time.Time,
) error {
	sent := 0
	for range explainedDraws {
		idx, exp := plm.drawCandidate(req, usable, loads, now)
		if plm.tooLate(&req, exp, now) || plm.reserve(&req, exp.load, now) == reservation.Reserved {
			continue
		}
		sent++
		pos := slices.IndexFunc(explained, func(cnd explanation.Candidate) bool { return cnd.Server == usable[idx].ID })
		explained[pos].Share += 1.0 / explainedDraws
	}
	if sent == 0 {
		return errors.Annotatef(ErrBusy, "service %s, model %q: first token expected too late, or capacity kept, at all %d", req.Service.Name, req.Model, len(usable))
	}
	return nil
}

// explainServer returns the load and the forecast at a backend server.
func (plm *Placement) explainServer(
	req Request,
	srv *serverregistry.Server,
	loads map[string]knownLoad,
	now time.Time,
) (explanation.Candidate, expectation) {
	lod := loads[srv.ID].total()
	cnd := explanation.Candidate{
		Server:       srv.ID,
		Zone:         srv.Zone,
		Requests:     lod.Requests,
		UnreadTokens: lod.UnreadTokens,
	}
	if req.RequestedModel() == nil {
		return cnd, expectation{}
	}
	only := []*serverregistry.Server{srv}
	_, exp := plm.drawCandidate(req, only, loads, now)
	cnd.Forecast = exp.firstToken()
	if savings := plm.promptSavings(&req, only, []admission.Load{lod}, now); savings != nil {
		cnd.PrefillSaved = req.savedTime(savings[0].tokens)
	}
	idle := plm.expect(&req, admission.Load{}, now).firstToken()
	cnd.Wait = max(0, cnd.Forecast+cnd.PrefillSaved-idle)
	return cnd, exp
}

// excludedBy returns why a backend server is no candidate for a request now, empty if it is one.
func (plm *Placement) excludedBy(req Request, srv *serverregistry.Server, limitShare func() float64, now time.Time) string {
	switch {
	case srv.Draining:
		return "it is draining"
	case !plm.deps.InService(srv.Zone):
		return "its zone is out of service"
	case req.Service.Engine != nil && !plm.serves(plm.deps.Registrations(), req, srv, now):
		return "its group serves another model, is not open, or lacks a member"
	case srv.Cold(now) && req.Service.ColdRate > 0 && !plm.coldLimiter.Allowed(srv.ID, plm.coldRate(req.Service), now):
		return "it is cold, and its rate is used up"
	case !plm.outliers.PausedUntil(srv.ID, srv.StartTime, now).IsZero():
		return "it asked for a pause"
	case plm.limiter.WaitTime(srv.ID, srv.StartTime, limitShare, now) > 0:
		return "this daemon's share of its limit is used up"
	default:
		return ""
	}
}

// failure returns how a candidate fails requests, empty if it does not.
func (plm *Placement) failure(req Request, srv *serverregistry.Server, avoided bool, knl knownLoad, now time.Time) string {
	switch {
	case avoided:
		return "daemons report that it fails"
	case !plm.outliers.Usable(srv.ID, now):
		return "it is ejected after failures or a stall"
	case plm.isStalled(srv.ID, knl, plm.stalledAfter(&req, plm.usualTime(&req)), now):
		return "it sends nothing though responses are due"
	default:
		return ""
	}
}

// avoided returns the IDs of the candidates among srvs that are avoided because of reported failures.
func (plm *Placement) avoided(req Request, srvs []*serverregistry.Server, limitShare func() float64, now time.Time) map[string]bool {
	candidates := slices.DeleteFunc(slices.Clone(srvs), func(srv *serverregistry.Server) bool {
		return plm.excludedBy(req, srv, limitShare, now) != ""
	})
	ids := map[string]bool{}
	for idx, vrd := range plm.deps.Assess(candidates, req.Repeatable, now) {
		if vrd == suspicion.Avoided {
			ids[candidates[idx].ID] = true
		}
	}
	return ids
}
