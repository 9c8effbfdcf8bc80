package emulator

import "time"

// Class is a kind of request.
type Class struct {
	Name      string
	Model     string
	Rate      float64
	Objective time.Duration
	Deadline  time.Duration
	Prompt    int
	Answer    int
	Worth     float64
}

// Burst multiplies the rate of all classes, or of one, for some time.
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
	// Groups is the number of groups by model.
	Groups  map[string]int
	Classes []Class
	Bursts  []Burst
	// Lost is when a group of each model loses a member; its entry lapses some seconds later.
	Lost []time.Duration
	Span time.Duration
}

// Model names of the scenarios.
const (
	large = "large"
	small = "small"
)

// classes returns the kinds of requests of an order desk: long drafts and questions, at rates a second.
func classes(drafts, questions float64) []Class {
	return []Class{
		{
			Name:      "draft",
			Model:     large,
			Rate:      drafts,
			Objective: 500 * time.Millisecond,
			Deadline:  8 * time.Second,
			Prompt:    1640,
			Answer:    90,
			Worth:     3,
		},
		{
			Name:      "question",
			Model:     small,
			Rate:      questions,
			Objective: 300 * time.Millisecond,
			Deadline:  6 * time.Second,
			Prompt:    670,
			Answer:    134,
			Worth:     1.7,
		},
	}
}

// Scenarios are the load patterns that are played, by name: a small site, and a large one whose daemons hear of each
// other over hubs.
var Scenarios = []Scenario{
	{
		Name:    "calm, 6 daemons",
		Daemons: 6,
		Groups:  map[string]int{large: 8, small: 8},
		Classes: classes(45, 80),
		Span:    20 * time.Second,
	},
	{
		Name:    "overload, 6 daemons",
		Daemons: 6,
		Groups:  map[string]int{large: 4, small: 4},
		Classes: classes(60, 110),
		Span:    20 * time.Second,
	},
	{
		Name:    "burst, 6 daemons",
		Daemons: 6,
		Groups:  map[string]int{large: 6, small: 6},
		Classes: classes(45, 80),
		Bursts: []Burst{
			{
				From:   6 * time.Second,
				To:     11 * time.Second,
				Factor: 2.5,
			},
		},
		Span: 20 * time.Second,
	},
	{
		Name:    "calm, 80 daemons",
		Daemons: 80,
		Groups:  map[string]int{large: 14, small: 14},
		Classes: classes(85, 200),
		Span:    12 * time.Second,
	},
	{
		Name:    "burst of one kind, 80 daemons",
		Daemons: 80,
		Groups:  map[string]int{large: 12, small: 12},
		Classes: classes(60, 160),
		Bursts: []Burst{
			{
				From:   4 * time.Second,
				To:     8 * time.Second,
				Factor: 2.5,
				Class:  "question",
			},
		},
		Span: 12 * time.Second,
	},
	{
		Name:    "groups lost, 80 daemons",
		Daemons: 80,
		Groups:  map[string]int{large: 14, small: 14},
		Classes: classes(70, 160),
		Lost:    []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second},
		Span:    12 * time.Second,
	},
}
