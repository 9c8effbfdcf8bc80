package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/requestbody"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
	"github.com/cumintally/cumintally/internal/suspicion"
	"github.com/cumintally/cumintally/internal/upstream"
)

// RequestHeaders holds the values read from the headers of a request.
type RequestHeaders struct {
	// RequestID identifies one attempt of a caller; each attempt has its own.
	RequestID string
	// Timeout is how long the caller waits for the response, 0 if the request does not state it.
	Timeout time.Duration
	// APIKey is the API key by which the workspace is found.
	APIKey string
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the number of tokens in the prompt, MaxTokens the limit for the generated text.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the number of generated tokens, 0 if there is none.
	ExpectedTokens int
	// LastEventID is the ID of the event after which the caller resumes its stream, empty for a new one.
	LastEventID string
	// SharedParts holds the IDs of the parts of the prompt that other requests may share, in the order of the prompt.
	// SharedTokens holds the number of tokens of each of them, 0 if the request states none.
	SharedParts  []string
	SharedTokens []int
}

// Identity is what requests that crash backend servers may have in common.
type Identity struct {
	// Fingerprint is the same for requests with the same content.
	Fingerprint quarantine.Fingerprint
	Model       string
	// SharedParts are those of RequestHeaders.
	SharedParts []string
}

// Crash is a connection to a backend server that broke under a request.
type Crash struct {
	Request Identity
	// Server is the backend server as it was registered when the request was sent.
	Server *serverregistry.Server
	// Event identifies the process of the backend server.
	Event string
	// Unanswered is set if nothing had arrived on the connection, neither of this response nor of an earlier one. A backend server also
	// resets connections beyond the number that it accepts.
	Unanswered bool
	// SentAt is when the request was sent to it.
	SentAt time.Time
}

// ForwardHeaders holds the values that the relay adds to a request for the backend server.
type ForwardHeaders struct {
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// ServerID is the ID of the only backend server that may run the request.
	ServerID  string
	Workspace string
	// LastEventID is the ID of the event after which the stream must resume.
	LastEventID string
	// Priority is 0 for the most urgent requests.
	Priority int
}

// ResponseHeaders holds the values read from the headers of a backend server's response.
type ResponseHeaders struct {
	RequestID string
	// NotRun means that the backend server did not run the request.
	NotRun bool
	// Misdirected means that the address now belongs to another backend server, or to one that is not the head of
	// its group.
	Misdirected bool
	// Sealed means that the response carries the seal of the backend server that produced it.
	Sealed bool
	// FaultyServerID is the ID of the backend server that caused a failure, empty if the response names none.
	FaultyServerID string
	// Stopping means that the backend server is about to stop.
	Stopping bool
	// Backoff is the time for which this daemon must send the backend server no requests, 0 for none.
	Backoff time.Duration
	// RateLimit is the number of requests a second that the backend server takes from all daemons together, 0 if it names no
	// limit.
	RateLimit float64
	// MalformedHeader is a malformed header that was ignored, with its value; empty if there is none.
	MalformedHeader string
}

// HeaderFormat translates between HTTP headers and the values that the relay works with.
type HeaderFormat struct {
	// ParseRequest parses the headers of a request; an error says what is malformed.
	ParseRequest func(header http.Header) (RequestHeaders, error)
	// RewriteRequest changes the caller's headers in place into those for a backend server.
	RewriteRequest func(header http.Header, forward ForwardHeaders)
	// ParseResponse parses the headers of a backend server's response.
	ParseResponse func(response *http.Response) ResponseHeaders
}

// Dependencies holds the functions of other components that the relay calls.
type Dependencies struct {
	// Table returns the current configuration, nil while none has been loaded.
	Table func() *route.Table
	// ConfigurationAge returns the time since the store last confirmed that configuration to be the newest.
	// IsConfigurationCurrent reports whether it holds all changes that must be in force.
	ConfigurationAge       func() time.Duration
	IsConfigurationCurrent func() bool
	// ReadBody reads the body of a request; its errors are those of requestbody.
	ReadBody func(request requestbody.Request) (*requestbody.Body, error)
	// Choose picks a backend server; it fails with placement.ErrNoServer, or with placement.ErrBusy or placement.ErrReserved
	// and a pick that holds a forecast.
	Choose func(request placement.Request, now time.Time) (placement.Pick, error)
	// Connect returns a connection to the backend server at address, which must open within timeout if it is direct.
	Connect func(ctx context.Context, address string, timeout time.Duration) (*upstream.Conn, error)
	// SuspectPath reports that the backend server at address sent nothing though a response was due.
	SuspectPath func(address string)
	// ReportFailure records that a backend server stalled, could not be reached, or broke so many connections that it is
	// ejected.
	ReportFailure func(server *serverregistry.Server, kind suspicion.Kind, now time.Time)
	// RecordRequest adds a request to the retry budget of a service; TakeRetry takes a retry from it and reports
	// whether one was left; ReturnRetry returns one that was not sent.
	RecordRequest func(service string, now time.Time)
	TakeRetry     func(service string, now time.Time) bool
	ReturnRetry   func(service string, now time.Time)
	// RecordDemand records the work of a request that arrived for the first time, whether or not it will be served.
	RecordDemand func(request placement.Request, now time.Time)
	// RecordAdmission records whether a request that arrived for the first time is sent to a backend server.
	RecordAdmission func(request placement.Request, sent bool, now time.Time)
	// BlockedFor returns the time for which a request must not run, 0 if it may. ReportCrash records that a connection
	// broke before the response had begun to arrive, or soon afterwards, and may take some time to find out whether the
	// backend server crashed; ReportSurvival records that the response went on arriving.
	BlockedFor     func(request Identity, now time.Time) time.Duration
	ReportCrash    func(crash Crash, now time.Time)
	ReportSurvival func(request Identity, now time.Time)
	// ReportRejection records the rejection of a request that first arrived at arrivedAt; SinceFirstArrival returns the
	// time since that first arrival, 0 for a request that was not rejected before.
	ReportRejection   func(fingerprint quarantine.Fingerprint, arrivedAt time.Time)
	SinceFirstArrival func(fingerprint quarantine.Fingerprint, now time.Time) time.Duration
	// ObserveLimit records the limit in requests a second that a backend server named in a response, 0 if it named none, and
	// reports whether the limit was set or lifted.
	ObserveLimit func(server *serverregistry.Server, rate float64) bool
	// ReportStopping records that a backend server has stated in a response that it is about to stop.
	ReportStopping func(server *serverregistry.Server)
}
