package dispatch

import (
	"time"

	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
)

// Request is a request to generate a text.
type Request struct {
	RequestID string
	Workspace string
	Priority  int
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Chat means that the caller used the chat interface; the resume token keeps it.
	Chat bool
	// Streamed means that the caller receives events and so can resume after a lost connection.
	Streamed bool
	// Deadline is the time after which the response is useless to the caller.
	Deadline time.Time
	// Attempt is the number of the first attempt; a forwarded request has its own range of numbers.
	Attempt int
	// Continue is the text that earlier attempts generated.
	Continue string
	// Crashes are the crashes in other availability zones during which this request was in progress.
	Crashes []quarantine.Crash
}

// Event is a piece of the generated text as a caller receives it.
type Event struct {
	// Token and Sequence form the event's ID, by which the stream can be resumed.
	Token    string
	Attempt  int
	Sequence int
	Text     string
	// Finish is the reason for which the text ended; it is empty for all but the last event.
	Finish string
}

// Reply is one message of a daemon in response to a forwarded request or an attachment: an event, a refusal or the
// statement that the request is unknown. An empty reply states that the request is known.
type Reply struct {
	Event   *Event
	Refusal *refusal.Refusal
	Unknown bool
}

// Action says what an attachment does to a request in progress.
type Action string

// Actions of an attachment.
const (
	// Follow requests the events after a position.
	Follow Action = "Follow"
	// Adopt states that another daemon reads the stream at the engine, so that the stream must not be cancelled.
	Adopt Action = "Adopt"
	// Abandon states that no caller waits for the response.
	Abandon Action = "Abandon"
)

// Attachment refers to a request in progress at another daemon and to the position after which events are requested.
type Attachment struct {
	RequestID string
	Attempt   int
	// Sequence is the number of the last event received, -1 for the start of the attempt.
	Sequence int
	Action   Action
}
