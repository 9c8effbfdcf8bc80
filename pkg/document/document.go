package document

// Document is the configuration of one environment.
type Document struct {
	AvailabilityZones []AvailabilityZone `yaml:"AvailabilityZones" validate:"required,min=1,unique=Name,dive"`
	Models            []Model            `yaml:"Models" validate:"unique=Name,dive"`
	Groups            []Group            `yaml:"Groups" validate:"unique=Name,dive"`
	Services          []Service          `yaml:"Services" validate:"unique=Name,dive"`
	Workspaces        []Workspace        `yaml:"Workspaces" validate:"required,min=1,unique=Name,dive"`
	ServiceLevels     []ServiceLevel     `yaml:"ServiceLevels" validate:"unique=Name,dive"`
}

// AvailabilityZone is an availability zone and its region.
type AvailabilityZone struct {
	Name   string `yaml:"Name" validate:"required,hostname_rfc1123"`
	Region string `yaml:"Region" validate:"required,hostname_rfc1123"`
}

// Model is one version of a model and the adapters that its groups load.
type Model struct {
	Name     string   `yaml:"Name" validate:"required,hostname_rfc1123"`
	Version  string   `yaml:"Version" validate:"required"`
	Adapters []string `yaml:"Adapters" validate:"unique"`
	// VMsPerGroup is the number of VMs of one replica.
	VMsPerGroup int `yaml:"VMsPerGroup" validate:"min=1,max=64"`
	// ColdLimit is the maximum number of concurrent requests of a cold replica.
	ColdLimit int `yaml:"ColdLimit" validate:"min=1"`
	// WarmLimit is the maximum number of concurrent requests of a warm replica.
	WarmLimit int `yaml:"WarmLimit" validate:"gtefield=ColdLimit"`
}

// Group requests a number of replicas of a model in an availability zone.
type Group struct {
	Name             string `yaml:"Name" validate:"required,hostname_rfc1123"`
	Model            string `yaml:"Model" validate:"required"`
	AvailabilityZone string `yaml:"AvailabilityZone" validate:"required"`
	Replicas         int    `yaml:"Replicas" validate:"min=0"`
}

// Service is a service that is not a model engine; its VMs come from the platform's list.
type Service struct {
	Name string `yaml:"Name" validate:"required,hostname_rfc1123"`
	// Calls are matched in order; a call that matches no entry must not be repeated.
	Calls []Call `yaml:"Calls" validate:"dive"`
}

// Call states whether calls with a method and a path may be repeated. A "*" at the end of Path matches any suffix.
type Call struct {
	Method     string `yaml:"Method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string `yaml:"Path" validate:"required,startswith=/"`
	Repeatable bool   `yaml:"Repeatable"`
}

// Workspace is a customer with its bearer keys, its share of the capacity and its priority.
type Workspace struct {
	Name string `yaml:"Name" validate:"required,hostname_rfc1123"`
	// KeyHashes are hexadecimal SHA-256 hashes of the workspace's bearer keys.
	KeyHashes []string `yaml:"KeyHashes" validate:"required,min=1,unique,dive,len=64,hexadecimal"`
	// Share is the workspace's weight when the capacity does not suffice for all workspaces.
	Share int `yaml:"Share" validate:"min=1,max=1000"`
	// Priority orders the requests that wait for a replica; higher values go first.
	Priority int `yaml:"Priority" validate:"min=0,max=9"`
}

// Indicator is the measure of a service level.
type Indicator string

// Indicators of service levels.
const (
	// IndicatorFirstToken compares the time to the first token of each request with the threshold.
	IndicatorFirstToken Indicator = "FirstToken"
	// IndicatorBetweenTokens compares the time between tokens with the threshold.
	IndicatorBetweenTokens Indicator = "BetweenTokens"
	// IndicatorAnswered counts requests; a request with a complete response is good.
	IndicatorAnswered Indicator = "Answered"
	// IndicatorGroupDowntime counts the seconds of each replica that the document requests; a second in which the
	// replica could receive requests is good.
	IndicatorGroupDowntime Indicator = "GroupDowntime"
	// IndicatorStrandedVMs counts the seconds of each VM with accelerators; a second in which the VM was a member of a
	// serving group is good.
	IndicatorStrandedVMs Indicator = "StrandedVMs"
	// IndicatorZoneChange counts requests while a zone is out of service or was until recently; a request with a
	// complete response is good.
	IndicatorZoneChange Indicator = "ZoneChange"
)

// ServiceLevel is a service level objective; the burn report shows how fast its error budget is used up.
type ServiceLevel struct {
	Name      string    `yaml:"Name" validate:"required,hostname_rfc1123"`
	Indicator Indicator `yaml:"Indicator" validate:"required,oneof=FirstToken BetweenTokens Answered GroupDowntime StrandedVMs ZoneChange"`
	// Threshold is a duration such as 1.2s, for the indicators that compare times with it.
	Threshold string `yaml:"Threshold"`
	// Objective is the required share of good events, such as 0.95.
	Objective float64 `yaml:"Objective" validate:"gt=0,lt=1"`
}
