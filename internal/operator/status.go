package operator

import (
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/group"
)

// Status is what a daemon tells operators of itself and its zone.
type Status struct {
	Generation       uint64
	Digest           string
	AvailabilityZone string
	ZoneOut          bool
	Daemons          []string
	Groups           []GroupStatus
	Unmet            []group.UnmetGroup
}

// GroupStatus says whether a group can get requests now.
type GroupStatus struct {
	Name         string
	FabricDomain string
	Fencing      uint64
	Members      []string
	Serving      bool
	State        string
}

func (hnd *Handler) status(rsw http.ResponseWriter, _ *http.Request) {
	snp := hnd.sto.InForce()
	sta := Status{
		Generation:       snp.Generation,
		Digest:           snp.Digest,
		AvailabilityZone: hnd.cfg.AvailabilityZone,
		ZoneOut:          hnd.inv.Zone(hnd.cfg.AvailabilityZone).Out,
	}
	for _, ide := range hnd.sea.Daemons() {
		sta.Daemons = append(sta.Daemons, ide.Name)
	}
	now := time.Now()
	for _, alc := range hnd.inv.Allocations(hnd.cfg.AvailabilityZone) {
		sta.Unmet = append(sta.Unmet, alc.Unmet...)
		for _, grp := range alc.Groups {
			rep, ok := hnd.tab.Complete(grp, now)
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
	hnd.answer(rsw, sta, nil)
}
