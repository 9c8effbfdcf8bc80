package placement

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// chooseByHealth calls choose with the candidates of one rank after another, until it picks one: the server that this
// daemon is to try after a failure, then those without known failures, then those that daemons of another availability
// zone report. It fails with the first error that says that servers are busy, else with that of the last rank.
func (plm *Placement) chooseByHealth(
	request Request,
	candidates []*serverregistry.Server,
	loads map[string]knownLoad,
	stalledAfter time.Duration,
	now time.Time,
	choose func(healthy []*serverregistry.Server) (Pick, error),
) (Pick, error) {
	tried, healthy, last := plm.rankByHealth(&request, candidates, loads, stalledAfter, now)
	if len(tried) > 0 {
		if pck, err := choose(tried); err == nil {
			if plm.deps.BeginTrial(pck.Server, now) {
				return pck, nil
			}
			pck.Release()
		}
	}
	// If every candidate fails requests or is stalled, all of them are tried rather than none, but only for a request
	// that no backend server has failed yet.
	if len(healthy)+len(last) == 0 && len(request.Avoid) == 0 {
		healthy = candidates
	}
	pck, err := choose(healthy)
	if err == nil || len(last) == 0 {
		return pck, err
	}
	other, otherErr := choose(last)
	if otherErr != nil && (errors.Is(err, ErrBusy) || errors.Is(err, ErrReserved)) {
		return pck, err
	}
	return other, otherErr
}

// rankByHealth divides the candidates by what is known of their failures. Those that failed the request, are ejected or
// stalled, or are to be avoided are in none of the ranks.
func (plm *Placement) rankByHealth(
	request *Request,
	candidates []*serverregistry.Server,
	loads map[string]knownLoad,
	stalledAfter time.Duration,
	now time.Time,
) (tried, healthy, last []*serverregistry.Server) {
	verdicts := plm.deps.Assess(candidates, request.Repeatable, now)
	for idx, srv := range candidates {
		verdict := suspicion.Trusted
		if verdicts != nil {
			verdict = verdicts[idx]
		}
		switch {
		case slices.Contains(request.Avoid, srv.ID):
		case verdict == suspicion.DueForTrial && len(request.Avoid) == 0:
			tried = append(tried, srv)
		case !plm.outliers.Usable(srv.ID, now) || plm.ejectIfStalled(srv, loads[srv.ID], verdict, stalledAfter, now):
		case verdict == suspicion.Trusted:
			healthy = append(healthy, srv)
		case verdict == suspicion.RankedLast:
			last = append(last, srv)
		}
	}
	return tried, healthy, last
}

// ejectIfStalled reports whether a backend server is stalled, and ejects it if it is. A server is stalled if a response
// has been due for longer than timeout and the server has sent nothing to any daemon for that time, as does a group that
// lost a member: it accepts requests and responds to none. The loads that all daemons announce are examined, so that one
// stalled request suffices and not every daemon loses one of its own. A server that is suspected is not ejected, since an
// ejection does not end when another daemon finds that the server has returned.
func (plm *Placement) ejectIfStalled(srv *serverregistry.Server, knl knownLoad, verdict suspicion.Verdict, timeout time.Duration, now time.Time) bool {
	if !plm.isStalled(srv.ID, knl, timeout, now) {
		return false
	}
	if knl.own.Requests > 0 && knl.own.ResponseDueFor > timeout {
		plm.deps.ReportFailure(srv, suspicion.Stalled, now)
	}
	if verdict != suspicion.Trusted {
		return true
	}
	// The requests that revealed the stall end while the group stays stalled; the ejection keeps new requests away.
	plm.outliers.Eject(srv.ID, now)
	plm.deps.ReportStalled(knl.others.Add(knl.own))
	return true
}

// isStalled reports whether a response has been due from a backend server for longer than timeout and it has sent nothing
// to any daemon for that time.
func (plm *Placement) isStalled(id string, knl knownLoad, timeout time.Duration, now time.Time) bool {
	all := knl.others.Add(knl.own)
	return all.ResponseDueFor > timeout && all.SinceLastByte > timeout && now.Sub(plm.outliers.LastProgress(id)) > timeout
}

// stalledAfter returns the time without a byte after which a backend server with a response due counts as stalled.
func (plm *Placement) stalledAfter(req *Request, usualTime time.Duration) time.Duration {
	if req.Service.Engine == nil {
		return max(stallTimeout, plainStallFactor*usualTime)
	}
	return stallTimeout
}
