package group

import (
	"fmt"
	"testing"

	"github.com/cumintally/cumintally/pkg/document"
)

// BenchmarkPlan measures a plan in which nothing changes, by the number of VMs in the zone.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{48, 96, 192, 394} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			viw := benchmarkView(vms)
			for _, chg := range Plan(viw) {
				viw.Allocations = append(viw.Allocations, chg.Allocation)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(viw)
			}
		})
	}
}

func benchmarkView(vms int) View {
	viw := View{
		AvailabilityZone: "zone-1",
		Document: &document.Document{
			Models: []document.Model{
				{
					Name:        "model-1",
					VMsPerGroup: 4,
				},
			},
			Groups: []document.Group{
				{
					Name:             "groups",
					Model:            "model-1",
					AvailabilityZone: "zone-1",
					Replicas:         vms/4 - 2,
				},
			},
		},
	}
	for idx := range vms {
		viw.VMs = append(viw.VMs, VMView{
			Name:         fmt.Sprintf("vm-%d", idx),
			FabricDomain: fmt.Sprintf("fabric-%d", idx/32),
			Usable:       true,
		})
	}
	return viw
}
