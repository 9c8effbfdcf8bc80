package steward

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/inventory"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/sizing"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// returnTime is the time within which entries that lapsed while the store was out are back in it.
	returnTime = 2500 * time.Millisecond
	// lostAfter is the time for which an entry must be missing while the store has been well all along: entries
	// are removed only after some heartbeats of silence.
	lostAfter = 100 * time.Millisecond
	// rememberDomain is the time for which a VM that is gone counts for the size of its domain, so that the
	// number of groups does not change with each restart.
	rememberDomain = 30 * time.Second
)

// observer notes since when things are as they are.
type observer struct {
	// settle is the time after which a VM that left a group may be used again.
	settle   time.Duration
	released map[group.ReleasedVM]time.Time
	seen     map[string]seenVM
}

type seenVM struct {
	zone   string
	domain string
	last   time.Time
}

// situation is what one turn plans from.
type situation struct {
	svc      *route.Service
	rst      *roster.View
	inv      *inventory.Inventory
	obs      *observer
	zones    []string
	domains  map[string]map[string]int
	now      time.Time
	mayLose  bool
	settled  map[group.ReleasedVM]bool
	document *document.Document
}

func newObserver(settle time.Duration) *observer {
	return &observer{
		settle:   settle,
		released: map[group.ReleasedVM]time.Time{},
		seen:     map[string]seenVM{},
	}
}

func (obs *observer) observe(
	svc *route.Service,
	rst *roster.View,
	inv *inventory.Inventory,
	now time.Time,
	settled func(time.Duration) bool,
) *situation {
	sit := &situation{
		svc:     svc,
		rst:     rst,
		inv:     inv,
		obs:     obs,
		now:     now,
		domains: map[string]map[string]int{},
		mayLose: settled(returnTime),
		settled: map[group.ReleasedVM]bool{},
	}
	for _, srv := range rst.Service(svc.Name) {
		if srv.Domain == "" {
			continue
		}
		if srv.Draining {
			delete(obs.seen, srv.ID)
			sit.note(srv.Zone, srv.Domain, 0)
			continue
		}
		obs.seen[srv.ID] = seenVM{
			zone:   srv.Zone,
			domain: srv.Domain,
			last:   now,
		}
	}
	for id, vmc := range obs.seen {
		if now.Sub(vmc.last) > rememberDomain {
			delete(obs.seen, id)
			continue
		}
		sit.note(vmc.zone, vmc.domain, 1)
	}
	for zone := range sit.domains {
		sit.zones = append(sit.zones, zone)
	}
	sort.Strings(sit.zones)
	sit.observeReleased()
	sit.document = sit.newDocument()
	return sit
}

func (sit *situation) note(zone, domain string, num int) {
	if sit.domains[zone] == nil {
		sit.domains[zone] = map[string]int{}
	}
	sit.domains[zone][domain] += num
}

// observeReleased notes since when VMs are released.
func (sit *situation) observeReleased() {
	next := map[group.ReleasedVM]time.Time{}
	for _, zone := range sit.zones {
		for _, alc := range sit.inv.Allocations(zone) {
			for _, rel := range alc.Released {
				since, ok := sit.obs.released[rel]
				if !ok {
					since = sit.now
				}
				next[rel] = since
				sit.settled[rel] = sit.now.Sub(since) > sit.obs.settle
			}
		}
	}
	sit.obs.released = next
}

// newDocument returns the groups that the site should run, as the planner takes them.
func (sit *situation) newDocument() *document.Document {
	doc := &document.Document{}
	for _, mod := range sit.svc.Engine.Models {
		doc.Models = append(doc.Models, document.Model{
			Name:        mod.Name,
			VMsPerGroup: mod.VMs,
		})
	}
	for _, zone := range sit.zones {
		var nums []int
		for _, num := range sit.domains[zone] {
			nums = append(nums, num)
		}
		slices.Sort(nums)
		for idx, num := range sizing.Groups(sit.svc.Engine.Models, nums) {
			if num > 0 {
				doc.Groups = append(doc.Groups, document.Group{
					Name:             fmt.Sprintf("%s-%s", sit.svc.Engine.Models[idx].Name, zone),
					Model:            sit.svc.Engine.Models[idx].Name,
					AvailabilityZone: zone,
					Replicas:         num,
				})
			}
		}
	}
	return doc
}

// view returns what the plan of a zone is made from.
func (sit *situation) view(zone string) group.View {
	viw := group.View{
		AvailabilityZone: zone,
		Document:         sit.document,
		Allocations:      sit.inv.Allocations(zone),
		Settled:          sit.settled,
		Serving:          map[group.Place]bool{},
		Drained:          map[group.Place]bool{},
		Broken:           map[group.Place]bool{},
	}
	known := map[string]bool{}
	for _, srv := range sit.rst.Service(sit.svc.Name) {
		if srv.Zone == zone && srv.Domain != "" {
			known[srv.ID] = true
			viw.VMs = append(viw.VMs, vmView(srv))
		}
	}
	for _, alc := range viw.Allocations {
		for _, grp := range alc.Groups {
			sit.groupState(&viw, alc, grp)
			for _, mem := range grp.Members {
				if !known[mem.VM] {
					known[mem.VM] = true
					viw.VMs = append(viw.VMs, sit.missing(alc, mem))
				}
			}
		}
	}
	return viw
}

func vmView(srv *roster.Server) group.VMView {
	return group.VMView{
		Name:         srv.ID,
		FabricDomain: srv.Domain,
		Address:      srv.Address,
		Usable:       srv.Place.State == roster.Alone && !srv.Draining,
		Leaving:      srv.Draining,
		Fencing:      srv.Place.Epoch,
		Staged:       srv.Staged,
	}
}

// missing returns the view of a member that is not registered.
func (sit *situation) missing(alc group.Allocation, mem group.Member) group.VMView {
	since, seen := sit.rst.GoneSince(mem.VM)
	return group.VMView{
		Name:         mem.VM,
		FabricDomain: alc.FabricDomain,
		Address:      mem.Address,
		// An entry that this daemon never saw has been missing since before it started.
		Lost: sit.mayLose && (!seen || sit.now.Sub(since) > lostAfter),
	}
}

// groupState notes what the VMs of a group report.
func (sit *situation) groupState(viw *group.View, alc group.Allocation, grp group.Group) {
	plc := group.Place{
		FabricDomain: alc.FabricDomain,
		Group:        grp.Name,
	}
	own := roster.Place{
		Group: grp.Name,
		Epoch: grp.Fencing,
	}
	head, ok := sit.rst.Server(grp.Members[0].VM)
	if !ok || !head.Place.Same(own) {
		viw.Drained[plc] = true
		return
	}
	whole := sit.rst.Members(own) >= len(grp.Members)
	switch head.Place.State {
	case roster.Open:
		viw.Serving[plc] = whole
		viw.Broken[plc] = !whole
	case roster.Closing:
	case roster.Broken:
		viw.Broken[plc] = true
		viw.Drained[plc] = true
	default:
		viw.Drained[plc] = true
	}
}

// stage returns the models whose weights the spare VMs should hold: in each domain that of its largest groups
// first, since they are the hardest to make whole.
func (sit *situation) stage() map[string]string {
	stages := map[string]string{}
	for _, zone := range sit.zones {
		for _, alc := range sit.inv.Allocations(zone) {
			models := modelsBySize(alc)
			if len(models) == 0 {
				continue
			}
			num := 0
			for _, srv := range sit.rst.Service(sit.svc.Name) {
				if srv.Domain == alc.FabricDomain && srv.Place.State == roster.Alone {
					stages[srv.ID] = models[num%len(models)]
					num++
				}
			}
		}
	}
	return stages
}

func modelsBySize(alc group.Allocation) []string {
	sizes := map[string]int{}
	var models []string
	for _, grp := range alc.Groups {
		if _, ok := sizes[grp.Model]; !ok {
			models = append(models, grp.Model)
		}
		sizes[grp.Model] = len(grp.Members)
	}
	sort.SliceStable(models, func(fst, snd int) bool { return sizes[models[fst]] > sizes[models[snd]] })
	return models
}
