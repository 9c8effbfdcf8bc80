package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/survey"
	"github.com/cumintally/cumintally/internal/vmreport"
	"github.com/cumintally/cumintally/pkg/document"
)

// zoneReturnTime is the time for which a zone still counts as changing after it is back in service.
const zoneReturnTime = 5 * time.Minute

// sampleInterval is the time between two samples of the groups and VMs of the zone.
const sampleInterval = time.Second

func newRecorder(set *settings.Settings, sto *generation.Store, clk clockwork.Clock) *burn.Recorder {
	return burn.New(set.Entry.AvailabilityZone, documentInForce(sto), clk)
}

func newBurnSurvey(msh *peer.Mesh, inv *inventory.Inventory, rec *burn.Recorder) *survey.Survey[[]burn.Series] {
	return survey.New("Burn", msh, inv.VMs, rec.Series)
}

// burnReport returns a function that collects the counts of all daemons and builds a burn report from them.
func burnReport(sur *survey.Survey[[]burn.Series], sto *generation.Store, clk clockwork.Clock) func(ctx context.Context) burn.Report {
	return func(ctx context.Context) burn.Report {
		var series []burn.Series
		var unreachable []string
		for _, ans := range sur.Collect(ctx) {
			if ans.Err != nil {
				unreachable = append(unreachable, ans.VM.Name)
				continue
			}
			series = append(series, ans.Value...)
		}
		snp := sto.InForce()
		return burn.NewReport(clk.Now(), snp.Generation, snp.Document, series, unreachable)
	}
}

// sampler counts the group downtime and the stranded VMs of its zone. One daemon of the zone counts at a
// time. While this role moves to another daemon, a second may be counted twice or not at all.
type sampler struct {
	zone      string
	follower  *follower
	recorder  *burn.Recorder
	store     *generation.Store
	inventory *inventory.Inventory
	reports   *vmreport.Table
	clock     clockwork.Clock
	// lastZoneOut is the last time at which any zone of the document was out of service.
	lastZoneOut time.Time
}

func newSampler(
	set *settings.Settings,
	fol *follower,
	rec *burn.Recorder,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *vmreport.Table,
	clk clockwork.Clock,
) *sampler {
	return &sampler{
		zone:      set.Entry.AvailabilityZone,
		follower:  fol,
		recorder:  rec,
		store:     sto,
		inventory: inv,
		reports:   tab,
		clock:     clk,
	}
}

func (smp *sampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		smp.updateZoneChange()
		if smp.follower.rendezvousRank("samples") == 0 {
			smp.sample()
		}
		select {
		case <-ctx.Done():
		case <-smp.clock.After(sampleInterval):
		}
	}
}

// updateZoneChange sets on the recorder whether a zone is out of service or came back less than
// zoneReturnTime ago.
func (smp *sampler) updateZoneChange() {
	doc := smp.store.InForce().Document
	if doc == nil {
		return
	}
	for _, azn := range doc.AvailabilityZones {
		if smp.inventory.Zone(azn.Name).Out {
			smp.lastZoneOut = smp.clock.Now()
		}
	}
	smp.recorder.SetZoneChanging(!smp.lastZoneOut.IsZero() && smp.clock.Since(smp.lastZoneOut) < zoneReturnTime)
}

func (smp *sampler) sample() {
	doc := smp.store.InForce().Document
	if doc == nil {
		return
	}
	now := smp.clock.Now()
	serving := map[string]int{}
	members := map[string]bool{}
	for _, alc := range smp.inventory.Allocations(smp.zone) {
		for _, grp := range alc.Groups {
			if _, ok := smp.reports.GroupConfirmed(grp, now); !ok {
				continue
			}
			serving[grp.Model]++
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
		}
	}
	smp.countReplicas(doc, serving)
	for _, vmc := range smp.inventory.VMs() {
		if vmc.Role == objects.RoleEngine && vmc.AvailabilityZone == smp.zone {
			smp.recorder.RecordEvent(document.IndicatorStrandedVMs, "", "", members[vmc.Name])
		}
	}
}

// countReplicas counts one second for each replica of the document in this zone, as served or not served.
func (smp *sampler) countReplicas(doc *document.Document, serving map[string]int) {
	replicas := map[string]int{}
	for _, grp := range doc.Groups {
		if grp.AvailabilityZone == smp.zone {
			replicas[grp.Model] += grp.Replicas
		}
	}
	for model, num := range replicas {
		up := min(num, serving[model])
		smp.recorder.RecordEvents(document.IndicatorGroupDowntime, model, "", true, uint64(up))
		smp.recorder.RecordEvents(document.IndicatorGroupDowntime, model, "", false, uint64(num-up))
	}
}
