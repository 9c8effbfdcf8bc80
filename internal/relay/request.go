package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/roster"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/upstream"
)

// Facts holds the values read from the headers of a request.
type Facts struct {
	// RequestID identifies one attempt of a caller; each attempt has its own.
	RequestID string
	// Deadline is how long the caller waits for the response, 0 if the request does not state it.
	Deadline time.Duration
	// Key is the API key by which the workspace is found.
	Key string
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the number of tokens in the prompt, MaxTokens the limit for the generated text.
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the caller's estimate of the number of generated tokens, 0 if there is none.
	AnswerTokens int
	// LastEventID is the ID of the event after which the caller resumes its stream, empty for a new one.
	LastEventID string
}

// Send holds the values that the relay adds to a request for the backend server.
type Send struct {
	// Left is the time until the deadline.
	Left time.Duration
	// Server is the ID of the only backend server that may run the request.
	Server    string
	Workspace string
	// LastEventID is the ID of the event after which the stream must resume.
	LastEventID string
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Verdict holds the values read from the headers of a backend server's response.
type Verdict struct {
	RequestID string
	// NotRun means that the backend server did not run the request.
	NotRun bool
	// Elsewhere means that the address now belongs to another backend server, or to one that is not the head of
	// its group.
	Elsewhere bool
	// Sealed means that the response carries the seal of the backend server that produced it.
	Sealed bool
	// AtFault is the ID of the backend server that caused a failure, empty if the response names none.
	AtFault string
	// Leaving means that the backend server is about to stop.
	Leaving bool
	// Pause is the time for which this daemon must send the backend server no requests, 0 for none.
	Pause time.Duration
	// Unreadable is a malformed header that was ignored, with its value; empty if there is none.
	Unreadable string
}

// Format translates between HTTP headers and the values that the relay works with.
type Format struct {
	// ReadRequest parses the headers of a request; an error says what is malformed.
	ReadRequest func(header http.Header) (Facts, error)
	// WriteRequest changes the caller's headers in place into those for a backend server.
	WriteRequest func(header http.Header, send Send)
	// ReadAnswer parses the headers of a backend server's response.
	ReadAnswer func(response *http.Response) Verdict
}

// Seams holds the functions of other components that the relay calls.
type Seams struct {
	// Table returns the current configuration, nil while none has been loaded.
	Table func() *route.Table
	// Choose picks a backend server; it fails with placement.ErrNone, or with placement.ErrBusy and a pick that holds
	// the best forecast.
	Choose func(want placement.Want, now time.Time) (placement.Pick, error)
	// Connect returns a connection to the backend server at address.
	Connect func(ctx context.Context, address string) (*upstream.Conn, error)
	// CountRequest adds a request to the retry budget of a service; TakeRepeat takes a retry from it and reports
	// whether one was left.
	CountRequest func(service string, now time.Time)
	TakeRepeat   func(service string, now time.Time) bool
	// Quarantined reports whether a request must not run; ReportCrash records that a connection broke while it ran.
	Quarantined func(fingerprint quarantine.Fingerprint, now time.Time) bool
	ReportCrash func(crash quarantine.Crash, now time.Time)
	// TurnedAway records the rejection of a request that first arrived at arrivedAt; Waited returns the time since that
	// first arrival, 0 for a request that was not rejected before.
	TurnedAway func(fingerprint quarantine.Fingerprint, arrivedAt time.Time)
	Waited     func(fingerprint quarantine.Fingerprint, now time.Time) time.Duration
	// ReportLeaving records that a backend server has stated in a response that it is about to stop.
	ReportLeaving func(server *roster.Server)
}
