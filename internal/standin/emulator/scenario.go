package emulator

import "time"

// Class describes requests of one kind.
type Class struct {
	Name              string
	Model             string
	RequestsPerSecond float64
	// Objective is the time to the first token within which a response is on time.
	Objective time.Duration
	// Deadline is the time after its arrival within which a request must begin. A retry must come within a third of it.
	Deadline time.Duration
	// MeanPromptTokens and MeanOutputTokens are the means of exponentially distributed numbers of tokens.
	MeanPromptTokens int
	MeanOutputTokens int
	// Worth is what a response on time earns.
	Worth float64
}

// Burst multiplies the rate of all classes or of one class between two times since the start.
type Burst struct {
	From   time.Duration
	To     time.Duration
	Factor float64
	// Class is empty for all classes.
	Class string
}

// Scenario is a load pattern.
type Scenario struct {
	Name    string
	Daemons int
	// Groups is the number of groups of each model.
	Groups  map[string]int
	Classes []Class
	Bursts  []Burst
	// MemberLosses are the times since the start at which a group of each model loses a member. Its registration expires some
	// seconds later.
	MemberLosses []time.Duration
	// ArrivalPeriod is the time in which requests arrive.
	ArrivalPeriod time.Duration
}

// Model names of the scenarios.
const (
	large = "large"
	small = "small"
)

// orderDeskClasses returns the request classes of an order desk, long drafts and questions, with their rates per second.
func orderDeskClasses(drafts, questions float64) []Class {
	return []Class{
		{
			Name:              "draft",
			Model:             large,
			RequestsPerSecond: drafts,
			Objective:         500 * time.Millisecond,
			Deadline:          8 * time.Second,
			MeanPromptTokens:  1640,
			MeanOutputTokens:  90,
			Worth:             3,
		},
		{
			Name:              "question",
			Model:             small,
			RequestsPerSecond: questions,
			Objective:         300 * time.Millisecond,
			Deadline:          6 * time.Second,
			MeanPromptTokens:  670,
			MeanOutputTokens:  134,
			Worth:             1.7,
		},
	}
}

// Scenarios are the simulated load patterns: some on a small site, some on a large site whose daemons exchange their loads
// through hubs.
var Scenarios = []Scenario{
	{
		Name:          "calm, 6 daemons",
		Daemons:       6,
		Groups:        map[string]int{large: 8, small: 8},
		Classes:       orderDeskClasses(45, 80),
		ArrivalPeriod: 20 * time.Second,
	},
	{
		Name:          "overload, 6 daemons",
		Daemons:       6,
		Groups:        map[string]int{large: 4, small: 4},
		Classes:       orderDeskClasses(60, 110),
		ArrivalPeriod: 20 * time.Second,
	},
	{
		Name:    "burst, 6 daemons",
		Daemons: 6,
		Groups:  map[string]int{large: 6, small: 6},
		Classes: orderDeskClasses(45, 80),
		Bursts: []Burst{
			{
				From:   6 * time.Second,
				To:     11 * time.Second,
				Factor: 2.5,
			},
		},
		ArrivalPeriod: 20 * time.Second,
	},
	{
		Name:          "calm, 80 daemons",
		Daemons:       80,
		Groups:        map[string]int{large: 14, small: 14},
		Classes:       orderDeskClasses(85, 200),
		ArrivalPeriod: 12 * time.Second,
	},
	{
		Name:    "burst of one kind, 80 daemons",
		Daemons: 80,
		Groups:  map[string]int{large: 12, small: 12},
		Classes: orderDeskClasses(60, 160),
		Bursts: []Burst{
			{
				From:   4 * time.Second,
				To:     8 * time.Second,
				Factor: 2.5,
				Class:  "question",
			},
		},
		ArrivalPeriod: 12 * time.Second,
	},
	{
		Name:          "groups lost, 80 daemons",
		Daemons:       80,
		Groups:        map[string]int{large: 14, small: 14},
		Classes:       orderDeskClasses(70, 160),
		MemberLosses:  []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second},
		ArrivalPeriod: 12 * time.Second,
	},
}
