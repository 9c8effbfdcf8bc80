package trial

import (
	"strings"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/group"
	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/pkg/document"
)

// CheckParts returns a result for each part of a document, in the order of the parts.
func CheckParts(doc *document.Document, vms []objects.VM) []generation.PartResult {
	reasons := map[string]string{}
	for _, azn := range doc.AvailabilityZones {
		planZone(doc, azn.Name, vms, reasons)
	}
	for _, svc := range doc.Services {
		if !hasService(svc.Name, vms) {
			reasons["Services/"+svc.Name] = "no VM of the service is listed"
		}
	}
	var ress []generation.PartResult
	for _, prt := range doc.Parts() {
		ress = append(ress, generation.PartResult{
			Name:   prt.Name,
			Passed: reasons[prt.Name] == "",
			Reason: reasons[prt.Name],
		})
	}
	return ress
}

// planZone plans a zone without existing allocations and records in reasons why groups cannot be allocated.
func planZone(doc *document.Document, zone string, vms []objects.VM, reasons map[string]string) {
	viw := group.View{
		AvailabilityZone: zone,
		Document:         doc,
	}
	for _, vmc := range vms {
		if vmc.Role != objects.RoleEngine || vmc.AvailabilityZone != zone || vmc.State != objects.VMLive {
			continue
		}
		viw.VMs = append(viw.VMs, group.VMView{
			Name:         vmc.Name,
			FabricDomain: vmc.FabricDomain,
			Address:      vmc.Address,
			Usable:       true,
		})
	}
	for _, chg := range group.Plan(viw) {
		for _, unm := range chg.Allocation.Unmet {
			name, _, _ := strings.Cut(unm.Group, "/")
			reasons["Groups/"+name] = unm.Group + ": " + unm.Reason
		}
	}
	// A zone without VMs has no fabric domain whose allocation could report unmet groups.
	for _, grp := range doc.Groups {
		if grp.AvailabilityZone == zone && grp.Replicas > 0 && len(viw.VMs) == 0 {
			reasons["Groups/"+grp.Name] = "no VM of the availability zone is listed"
		}
	}
}

// hasService reports whether a live VM of a service is listed.
func hasService(name string, vms []objects.VM) bool {
	for _, vmc := range vms {
		if vmc.Role == objects.RoleService && vmc.Service == name && vmc.State == objects.VMLive {
			return true
		}
	}
	return false
}
