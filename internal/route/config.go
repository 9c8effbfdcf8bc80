package route

import "time"

// Kind says what may be done with a request whose outcome is unknown.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "NonIdempotent"
	// Streaming requests are answered by a stream of events; they may run again only where the stream can be resumed.
	Streaming Kind = "Streaming"
)

// Config is one version of the routing configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept without a final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that earns full credit.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is still on time.
	GapObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// MaxAttempts is the number of backend servers that one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server after their last event.
	Resumable bool
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (rte *Route) Repeatable() bool {
	return rte.Kind == Idempotent || (rte.Kind == Streaming && rte.Resumable)
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold backend server tolerates.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service: what they run and how long it takes.
type Engine struct {
	// Slots is the number of requests that a group runs in one batch.
	Slots  int
	Models []Model
	// Step is the time of a step of an empty batch; StepPerRequest is added for each request of the batch.
	Step           time.Duration
	StepPerRequest time.Duration
	// ReadRate is the number of prompt tokens read per second.
	ReadRate float64
	// Stride is the number of steps between two events of a stream.
	Stride int
	// LoadRate is the number of loads per second that the weight store tolerates, LoadsAtOnce the number of loads in
	// progress beyond which each takes longer.
	LoadRate    float64
	LoadsAtOnce int
	// UsualPrompt and UsualAnswer are the mean token counts of requests.
	UsualPrompt int
	UsualAnswer int
}

// Model is a model that groups of VMs serve.
type Model struct {
	Name string
	// VMs is the number of VMs of a group.
	VMs int
	// Share is the model's part of the work when the site starts, between 0 and 1.
	Share float64
	// Pace multiplies all times of the engine.
	Pace float64
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes the place of the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take; zero values set no limit.
type Limits struct {
	MaxHeaderSize int
	MaxBodySize   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
