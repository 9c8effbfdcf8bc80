package capacity

import (
	"fmt"
	"strings"
)

const (
	vmsPerGroup  = 4
	vmsPerDomain = 32
)

// newDocument returns a configuration document for a number of groups in one zone.
func newDocument(groups int) []byte {
	text := `AvailabilityZones:
  - {Name: zone-1, Region: region-1}
Models:
  - {Name: model-1, Version: "1", VMsPerGroup: %d, ColdLimit: 2, WarmLimit: 32}
Groups:
  - {Name: groups, Model: model-1, AvailabilityZone: zone-1, Replicas: %d}
Workspaces:
  - {Name: workspace-1, KeyHashes: ["%s"], Share: 1}
`
	return []byte(fmt.Sprintf(text, vmsPerGroup, groups, strings.Repeat("a", 64)))
}
