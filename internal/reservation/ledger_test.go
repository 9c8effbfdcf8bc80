package reservation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/admission"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/route"
)

var (
	start  = time.Unix(1000, 0)
	engine = &route.Engine{
		Slots:            48,
		BaseStepTime:     6450 * time.Microsecond,
		PrefillRate:      56100,
		StepsPerEvent:    5,
		MeanPromptTokens: 1600,
		MeanOutputTokens: 120,
	}
	model = &route.Model{
		TimeFactor: 1,
	}
	key = reservation.Key{
		Service: "engines",
		Model:   "m0",
	}
	urgent = &kind{
		class: reservation.Class{
			Priority:  1,
			Objective: 400 * time.Millisecond,
		},
		prompt: 1420,
	}
	patient = &kind{
		class: reservation.Class{
			Priority:  2,
			Objective: 800 * time.Millisecond,
		},
		prompt: 1960,
	}
)

// kind is a kind of request.
type kind struct {
	class  reservation.Class
	prompt int
}

// group is a group that starts with 40 requests in flight, of which one ends in each interval of completions.
type group struct {
	ldg      *reservation.Ledger
	inFlight int
	nextEnd  time.Time
	sent     map[*kind]int
	arrived  map[*kind]int
}

// arrive lets a request of a kind arrive, which is sent if both its own limit and the reservation allow it.
func (grp *group) arrive(knd *kind, now time.Time) {
	for ; !grp.nextEnd.After(now); grp.nextEnd = grp.nextEnd.Add(admission.CompletionInterval(engine, model)) {
		grp.inFlight = max(0, grp.inFlight-1)
	}
	onTime := func(cls reservation.Class, tokens, more int) bool {
		lod := admission.Load{
			Requests: grp.inFlight + more,
		}
		idle := admission.Forecast(engine, model, admission.Load{}, tokens)
		return admission.Forecast(engine, model, lod, tokens) <= admission.MaxUsefulForecast(cls.Objective, 0, idle)
	}
	vrd := grp.ldg.Decide(key, knd.class, func(cls reservation.Class, tokens int, placed bool) bool {
		if placed {
			return onTime(cls, tokens, 1)
		}
		return onTime(cls, tokens, 0)
	}, now)
	sent := onTime(knd.class, knd.prompt, 0) && vrd != reservation.Reserved
	grp.ldg.Record(key, knd.class, knd.prompt, sent, now)
	grp.arrived[knd]++
	if sent {
		grp.sent[knd]++
		grp.inFlight++
	}
}

// replay lets both kinds arrive at random at their mean rates per second for a time, and returns the shares of the urgent
// kind, of the other one and of both that were sent. The group completes 22 requests a second.
func (grp *group) replay(urgentRate, patientRate float64, from, span time.Duration) (urgentShare, patientShare, share float64) {
	grp.sent, grp.arrived = map[*kind]int{}, map[*kind]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for at := from; at < from+span; at += time.Millisecond {
		if rng.Float64() < urgentRate/1000 {
			grp.arrive(urgent, start.Add(at))
		}
		if rng.Float64() < patientRate/1000 {
			grp.arrive(patient, start.Add(at))
		}
	}
	div := func(num, all int) float64 { return float64(num) / float64(max(1, all)) }
	return div(grp.sent[urgent], grp.arrived[urgent]), div(grp.sent[patient], grp.arrived[patient]),
		div(grp.sent[urgent]+grp.sent[patient], grp.arrived[urgent]+grp.arrived[patient])
}

// Guards against urgent requests that are rejected while less urgent ones with a longer objective fill the group. A burst
// of the least urgent kind meets a nearly full group, urgent requests arrive at a low rate during it and after it, and
// then two kinds of overload last for minutes. No kind may be served less than a quarter as often as all requests.
func TestBurstOfTheLeastUrgentKind(tst *testing.T) {
	grp := &group{
		ldg:      reservation.New(),
		inFlight: 40,
		nextEnd:  start,
	}
	elapsed := time.Duration(0)
	for _, phs := range []struct {
		name        string
		urgentRate  float64
		patientRate float64
		span        time.Duration
		minUrgent   float64
		minPatient  float64
	}{
		{"normal load", 8, 4, 20 * time.Second, 1, 1},
		{"burst", 8, 40, 10 * time.Second, 0.9, 0.2},
		{"low rate after the burst", 8, 4, 20 * time.Second, 1, 0.95},
		{"lasting overload", 20, 40, 5 * time.Minute, 0.5, 0.2},
		{"lasting overload of urgent requests", 50, 4, 5 * time.Minute, 0.35, 0.1},
		{"normal load again", 8, 4, 20 * time.Second, 0.98, 0.95},
	} {
		urgentShare, patientShare, share := grp.replay(phs.urgentRate, phs.patientRate, elapsed, phs.span)
		elapsed += phs.span
		note := qt.Commentf("%s: %.2f of the urgent requests and %.2f of the others were sent", phs.name, urgentShare, patientShare)
		tst.Log(note)
		qt.Check(tst, urgentShare >= max(phs.minUrgent, patientShare), qt.IsTrue, note)
		qt.Check(tst, patientShare >= max(phs.minPatient, share/4), qt.IsTrue, note)
	}
}
