package route

import "time"

// Kind says whether a request may be retried when its outcome is unknown.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "Idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "NonIdempotent"
	// Streaming requests are answered by a stream of events; they may run more than once only if the stream is resumable.
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

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the final response to a request.
	Timeout time.Duration
	// Objective is the longest time to the response, or to the first event of a stream, that counts as fully on time.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that counts as on time.
	GapObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Targets are the services among which the route's requests are divided by weight.
	Targets []Target
	// MaxAttempts is the maximum number of backend servers that may run one request. Sends that are certain not to have
	// run do not count.
	MaxAttempts int
	// Public says that requests need no key.
	Public bool
	// Resumable says that a stream can continue at another backend server after its last event.
	Resumable bool
}

// Target is one service of a route, with its weight.
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
	// ColdRate is the number of requests per second that a cold backend server can handle.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service: their models and their performance.
type Engine struct {
	// Slots is the number of requests that a group runs in one batch.
	Slots  int
	Models []Model
	// BaseStepTime is the duration of a decoding step of an empty batch; each request in the batch adds
	// StepTimePerRequest.
	BaseStepTime       time.Duration
	StepTimePerRequest time.Duration
	// PrefillRate is the number of prompt tokens that the engine processes per second.
	PrefillRate float64
	// StepsPerEvent is the number of steps between two events of a stream.
	StepsPerEvent int
	// ModelLoadRate is the number of model loads per second that the weight store can handle, and MaxFastLoads the number
	// of concurrent loads above which each one takes longer.
	ModelLoadRate float64
	MaxFastLoads  int
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of requests.
	MeanPromptTokens int
	MeanOutputTokens int
	// MemoryTokens is the number of tokens of prompts and responses that the memory of a group holds, 0 if it is not known.
	MemoryTokens int
}

// HasStepModel reports whether the times of the engine are known, so that the first token can be forecast.
func (eng *Engine) HasStepModel() bool {
	return eng.BaseStepTime > 0 && eng.PrefillRate > 0
}

// Model is a model that groups of VMs serve.
type Model struct {
	Name string
	// VMs is the number of VMs in a group.
	VMs int
	// InitialShare is the model's share of the load when the site starts, from 0 to 1.
	InitialShare float64
	// TimeFactor is the factor by which all times of the engine are multiplied.
	TimeFactor float64
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the sizes in bytes of what a caller may send, and the time that it may take. A zero value sets no limit.
type Limits struct {
	MaxHeaderSize int
	MaxBodySize   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
