package document

// Document describes what one environment runs.
type Document struct {
	AvailabilityZones []AvailabilityZone `yaml:"AvailabilityZones" validate:"required,min=1,unique=Name,dive"`
	Models            []Model            `yaml:"Models" validate:"unique=Name,dive"`
	Groups            []Group            `yaml:"Groups" validate:"unique=Name,dive"`
	Services          []Service          `yaml:"Services" validate:"unique=Name,dive"`
	Workspaces        []Workspace        `yaml:"Workspaces" validate:"required,min=1,unique=Name,dive"`
	ServiceLevels     []ServiceLevel     `yaml:"ServiceLevels" validate:"unique=Name,dive"`
}

// AvailabilityZone names a zone and the region that it lies in.
type AvailabilityZone struct {
	Name   string `yaml:"Name" validate:"required,hostname_rfc1123"`
	Region string `yaml:"Region" validate:"required,hostname_rfc1123"`
}

// Model is a model in one version with the adapters that its groups load.
type Model struct {
	Name     string   `yaml:"Name" validate:"required,hostname_rfc1123"`
	Version  string   `yaml:"Version" validate:"required"`
	Adapters []string `yaml:"Adapters" validate:"unique"`
	// VMsPerGroup is the number of VMs that one replica spans.
	VMsPerGroup int `yaml:"VMsPerGroup" validate:"min=1,max=64"`
	// ColdLimit is the number of requests at once that a cold replica bears.
	ColdLimit int `yaml:"ColdLimit" validate:"min=1"`
	// WarmLimit is the number of requests at once that a warm replica bears.
	WarmLimit int `yaml:"WarmLimit" validate:"gtefield=ColdLimit"`
}

// Group asks for a number of replicas of a model in an availability zone.
type Group struct {
	Name             string `yaml:"Name" validate:"required,hostname_rfc1123"`
	Model            string `yaml:"Model" validate:"required"`
	AvailabilityZone string `yaml:"AvailabilityZone" validate:"required"`
	Replicas         int    `yaml:"Replicas" validate:"min=0"`
}

// Service is a plain service beside the model engines; its VMs come from the platform's list.
type Service struct {
	Name string `yaml:"Name" validate:"required,hostname_rfc1123"`
	// Calls are matched in order; a call that matches none may not be repeated.
	Calls []Call `yaml:"Calls" validate:"dive"`
}

// Call says whether calls with a method and a path may be repeated; Path may end in "*".
type Call struct {
	Method     string `yaml:"Method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `yaml:"Path" validate:"required,startswith=/"`
	Repeatable bool   `yaml:"Repeatable"`
}

// Workspace is a customer with its bearer keys and its share of the capacity.
type Workspace struct {
	Name string `yaml:"Name" validate:"required,hostname_rfc1123"`
	// KeyHashes are hexadecimal SHA-256 hashes of the workspace's bearer keys.
	KeyHashes []string `yaml:"KeyHashes" validate:"required,min=1,unique,dive,len=64,hexadecimal"`
	// Share is the workspace's weight when capacity is short.
	Share int `yaml:"Share" validate:"min=1,max=1000"`
	// Priority orders requests in front of a replica; higher goes first.
	Priority int `yaml:"Priority" validate:"min=0,max=9"`
}

// Indicator is what a service level measures.
type Indicator string

// Indicators.
const (
	// IndicatorFirstToken compares the time to the first token of each request with the threshold.
	IndicatorFirstToken Indicator = "FirstToken"
	// IndicatorBetweenTokens compares the time between tokens with the threshold.
	IndicatorBetweenTokens Indicator = "BetweenTokens"
	// IndicatorAnswered counts requests with a whole answer.
	IndicatorAnswered Indicator = "Answered"
	// IndicatorGroupDowntime counts the seconds in which a group that the document asks for could get
	// requests.
	IndicatorGroupDowntime Indicator = "GroupDowntime"
	// IndicatorStrandedVMs counts the seconds in which a VM with accelerators was in a serving group.
	IndicatorStrandedVMs Indicator = "StrandedVMs"
	// IndicatorZoneChange counts requests with a whole answer while a zone is out or has just returned.
	IndicatorZoneChange Indicator = "ZoneChange"
)

// ServiceLevel is an objective that the burn report is measured against.
type ServiceLevel struct {
	Name      string    `yaml:"Name" validate:"required,hostname_rfc1123"`
	Indicator Indicator `yaml:"Indicator" validate:"required,oneof=FirstToken BetweenTokens Answered GroupDowntime StrandedVMs ZoneChange"`
	// Threshold is a duration such as 1.2s for the indicators that compare times.
	Threshold string `yaml:"Threshold"`
	// Objective is the share of good events, such as 0.95.
	Objective float64 `yaml:"Objective" validate:"gt=0,lt=1"`
}
