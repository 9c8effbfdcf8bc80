package operator

import (
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/group"
)

// Status is the status of a daemon and of its zone as operators see it.
type Status struct {
	Generation       uint64
	Digest           string
	AvailabilityZone string
	ZoneOut          bool
	Daemons          []string
	Groups           []GroupStatus
	Unmet            []group.UnmetGroup
}

// GroupStatus is the status of a group. Serving reports whether the group can receive requests.
type GroupStatus struct {
	Name         string
	FabricDomain string
	Fencing      uint64
	Members      []string
	Serving      bool
	State        string
}

func (hnd *Handler) status(rsw http.ResponseWriter, _ *http.Request) {
	snp := hnd.store.InForce()
	sta := Status{
		Generation:       snp.Generation,
		Digest:           snp.Digest,
		AvailabilityZone: hnd.config.AvailabilityZone,
		ZoneOut:          hnd.inventory.Zone(hnd.config.AvailabilityZone).Out,
	}
	for _, ide := range hnd.dependencies.Daemons() {
		sta.Daemons = append(sta.Daemons, ide.Name)
	}
	now := time.Now()
	for _, alc := range hnd.inventory.Allocations(hnd.config.AvailabilityZone) {
		sta.Unmet = append(sta.Unmet, alc.Unmet...)
		for _, grp := range alc.Groups {
			rep, ok := hnd.reports.GroupConfirmed(grp, now)
			gst := GroupStatus{
				Name:         grp.Name,
				FabricDomain: alc.FabricDomain,
				Fencing:      grp.Fencing,
				Serving:      ok && !grp.Draining,
				State:        string(rep.State),
			}
			for _, mem := range grp.Members {
				gst.Members = append(gst.Members, mem.VM)
			}
			sta.Groups = append(sta.Groups, gst)
		}
	}
	hnd.respond(rsw, sta, nil)
}
