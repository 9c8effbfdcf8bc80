package trial_test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/trial"
	"github.com/cumintally/cumintally/pkg/document"
)

// TestRun guards against a trial that passes a document whose groups or services cannot be met in production.
func TestRun(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../../examples/hrafnsglja.yaml")
	c.Assert(err, qt.IsNil)
	doc, err := document.Parse("example", data)
	c.Assert(err, qt.IsNil)
	vms := []objects.VM{
		{
			Name:    "jobs-1",
			Role:    objects.RoleService,
			Service: "jobs",
			State:   objects.VMLive,
		},
	}
	for zon := 1; zon <= 3; zon++ {
		for idx := range 8 {
			vms = append(vms, objects.VM{
				Name:             fmt.Sprintf("vm-%d-%d", zon, idx),
				AvailabilityZone: fmt.Sprintf("reykjanes-%d", zon),
				FabricDomain:     fmt.Sprintf("fabric-%d-%d", zon, idx/4),
				Role:             objects.RoleEngine,
				State:            objects.VMLive,
			})
		}
	}
	c.Assert(failures(doc, vms), qt.HasLen, 0)

	c.Assert(failures(doc, vms[1:])["Services/jobs"], qt.Equals, "no VM of the service is listed")

	short := append([]objects.VM(nil), vms[:len(vms)-1]...)
	c.Assert(failures(doc, short)["Groups/recipes-3"], qt.Matches, "recipes-3/.*")

	c.Assert(failures(doc, vms[:9])["Groups/recipes-2"], qt.Equals, "no VM of the availability zone is listed")
}

// failures returns the reasons of the parts that did not pass, by part name.
func failures(doc *document.Document, vms []objects.VM) map[string]string {
	fails := map[string]string{}
	for _, res := range trial.CheckParts(doc, vms) {
		if !res.Passed {
			fails[res.Name] = res.Reason
		}
	}
	return fails
}
