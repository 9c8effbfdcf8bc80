package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is whether a refused request ran.
type Outcome string

// Outcomes of a refused request.
const (
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Refusal is an error that is sent to the caller as HTTP problem details.
type Refusal struct {
	Outcome Outcome
	// Status is the HTTP status.
	Status int
	Title  string
	Detail string
	// RetryAfter is the time after which the caller may retry; 0 means that a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the title, the detail and the outcome.
func (ref *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", ref.Title, ref.Detail, ref.Outcome)
}

// New returns a refusal.
func New(outcome Outcome, status int, title, detail string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Outcome:    outcome,
		Status:     status,
		Title:      title,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}

// Invalid returns a refusal of a request that can never run unchanged.
func Invalid(detail string) *Refusal {
	return New(NotRun, http.StatusBadRequest, "Invalid request", detail, 0)
}

// Unavailable returns a refusal of a request that did not run because nothing can serve it now.
func Unavailable(detail string, retryAfter time.Duration) *Refusal {
	return New(NotRun, http.StatusServiceUnavailable, "Not available now", detail, retryAfter)
}

// UnknownOutcome returns a refusal of a request that may have run.
func UnknownOutcome(detail string, retryAfter time.Duration) *Refusal {
	return New(Unknown, http.StatusBadGateway, "Outcome unknown", detail, retryAfter)
}
