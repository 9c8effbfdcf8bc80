package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cumintally/cumintally/internal/burn"
	"github.com/cumintally/cumintally/internal/evidence"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/survey"
	"github.com/cumintally/cumintally/pkg/document"
)

// returnTime is the time for which a zone that is back still counts as returning.
const returnTime = 5 * time.Minute

// sampleInterval is the time between two looks at the groups and VMs of the zone.
const sampleInterval = time.Second

func newRecorder(set *settings.Settings, sto *generation.Store, clk clockwork.Clock) *burn.Recorder {
	return burn.New(set.Entry.AvailabilityZone, documentInForce(sto), clk)
}

func newBurnSurvey(msh *peer.Mesh, inv *inventory.Inventory, rec *burn.Recorder) *survey.Survey[[]burn.Series] {
	return survey.New("Burn", msh, inv.VMs, rec.Series)
}

// burnReport gathers the counts of all daemons.
func burnReport(sur *survey.Survey[[]burn.Series], sto *generation.Store, clk clockwork.Clock) func(ctx context.Context) burn.Report {
	return func(ctx context.Context) burn.Report {
		var series []burn.Series
		var unreachable []string
		for _, ans := range sur.Ask(ctx) {
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

// sampler counts group downtime and stranded VMs of its zone. One daemon of the zone counts at a time;
// while the zone changes hands a second may be counted twice or not at all.
type sampler struct {
	zone string
	fol  *follower
	rec  *burn.Recorder
	sto  *generation.Store
	inv  *inventory.Inventory
	tab  *evidence.Table
	clk  clockwork.Clock
	// lastOut is when a zone of the document was last seen out.
	lastOut time.Time
}

func newSampler(
	set *settings.Settings,
	fol *follower,
	rec *burn.Recorder,
	sto *generation.Store,
	inv *inventory.Inventory,
	tab *evidence.Table,
	clk clockwork.Clock,
) *sampler {
	return &sampler{
		zone: set.Entry.AvailabilityZone,
		fol:  fol,
		rec:  rec,
		sto:  sto,
		inv:  inv,
		tab:  tab,
		clk:  clk,
	}
}

func (smp *sampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		smp.noteZones()
		if smp.fol.place("samples") == 0 {
			smp.sample()
		}
		select {
		case <-ctx.Done():
		case <-smp.clk.After(sampleInterval):
		}
	}
}

// noteZones tells the recorder whether a zone is out or has just returned.
func (smp *sampler) noteZones() {
	doc := smp.sto.InForce().Document
	if doc == nil {
		return
	}
	for _, azn := range doc.AvailabilityZones {
		if smp.inv.Zone(azn.Name).Out {
			smp.lastOut = smp.clk.Now()
		}
	}
	smp.rec.SetChanging(!smp.lastOut.IsZero() && smp.clk.Since(smp.lastOut) < returnTime)
}

func (smp *sampler) sample() {
	doc := smp.sto.InForce().Document
	if doc == nil {
		return
	}
	now := smp.clk.Now()
	serving := map[string]int{}
	members := map[string]bool{}
	for _, alc := range smp.inv.Allocations(smp.zone) {
		for _, grp := range alc.Groups {
			if _, ok := smp.tab.Complete(grp, now); !ok {
				continue
			}
			serving[grp.Model]++
			for _, mem := range grp.Members {
				members[mem.VM] = true
			}
		}
	}
	smp.countGroups(doc, serving)
	for _, vmc := range smp.inv.VMs() {
		if vmc.Role == objects.RoleEngine && vmc.AvailabilityZone == smp.zone {
			smp.rec.Event(document.IndicatorStrandedVMs, "", "", members[vmc.Name])
		}
	}
}

// countGroups counts a second of each replica that the document asks for, as served or not.
func (smp *sampler) countGroups(doc *document.Document, serving map[string]int) {
	wanted := map[string]int{}
	for _, grp := range doc.Groups {
		if grp.AvailabilityZone == smp.zone {
			wanted[grp.Model] += grp.Replicas
		}
	}
	for model, num := range wanted {
		up := min(num, serving[model])
		smp.rec.Events(document.IndicatorGroupDowntime, model, "", true, uint64(up))
		smp.rec.Events(document.IndicatorGroupDowntime, model, "", false, uint64(num-up))
	}
}
