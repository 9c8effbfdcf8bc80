package promptload

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/coldlimit"
	"github.com/cumintally/cumintally/internal/firsttoken"
	"github.com/cumintally/cumintally/internal/loadview"
	"github.com/cumintally/cumintally/internal/outlier"
	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/promptcache"
	"github.com/cumintally/cumintally/internal/reservation"
	"github.com/cumintally/cumintally/internal/serverlimit"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
)

// maxPrefixes bounds the prefixes with estimates, far above those of a measurement.
const maxPrefixes = 1 << 14

// daemon places the requests of one entry VM.
type daemon struct {
	name      string
	loadView  *loadview.View
	estimator *promptcache.Estimator
	// outliers holds when each engine last sent something; an engine without progress is ejected.
	outliers  *outlier.Tracker
	placement *placement.Placement
	sequence  uint64
}

func newDaemon(number int, cfg *Config, reg *serverregistry.Registry) *daemon {
	dmn := &daemon{
		name:     fmt.Sprintf("entry-%d", number),
		loadView: loadview.New(),
		outliers: outlier.New(),
	}
	if cfg.Mode != Off {
		dmn.estimator = promptcache.New(promptcache.Config{
			Retention:        retention,
			MaxPrefixes:      maxPrefixes,
			HoldersPerPrefix: 16,
		})
	}
	clk := clockwork.NewRealClock()
	learner := firsttoken.New()
	dps := placement.Dependencies{
		Registrations:      reg.View,
		InService:          func(string) bool { return true },
		OthersLoad:         dmn.loadView.OthersLoad,
		OthersStaleness:    dmn.loadView.Staleness,
		LastByte:           dmn.loadView.LastByte,
		ReportStalled:      func(loadview.Load) {},
		ReportUnregistered: func() {},
		Assess:             func([]*serverregistry.Server, bool, time.Time) []suspicion.Verdict { return nil },
		ReportFailure:      func(*serverregistry.Server, suspicion.Kind, time.Time) {},
		LimitShare:         func(string, string, time.Time) float64 { return 1 / float64(cfg.Daemons) },
		Seed:               func() uint64 { return cfg.Seed + uint64(number) },
		FirstTokenError:    learner.Error,
		RecordFirstToken:   func(obs firsttoken.Observation, now time.Time) { learner.Record(obs, now) },
		Reserve:            reservation.New().Decide,
		Prompts:            dmn.estimator,
		ReportSaved:        func(int) {},
	}
	plc := placement.Config{
		AvailabilityZone: zone,
	}
	cold := coldlimit.New(func() int { return cfg.Daemons }, clk.Now())
	limiter := serverlimit.New(func() float64 { return 0 })
	dmn.placement = placement.New(plc, dps, dmn.outliers, cold, limiter, clk)
	return dmn
}

// announce tells the other daemons the load that this one has in flight.
func (dmn *daemon) announce(others []*daemon, now time.Time) {
	dmn.sequence++
	anc := loadview.Announcement{
		Sequence: dmn.sequence,
		Loads:    dmn.placement.Loads(),
	}
	for _, oth := range others {
		if oth != dmn {
			oth.loadView.ReceiveAnnouncement(dmn.name, anc, now)
		}
	}
}
