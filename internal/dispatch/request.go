package dispatch

import (
	"time"

	"github.com/cumintally/cumintally/internal/quarantine"
	"github.com/cumintally/cumintally/internal/refusal"
)

// Request asks for a generated text.
type Request struct {
	RequestID string
	Workspace string
	Priority  int
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	// Chat says that the caller asked over the chat interface; it is kept in the resume token.
	Chat bool
	// Streamed says that the caller gets events, and so can resume after it lost its connection.
	Streamed bool
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// Attempt is the number of the first attempt; a forwarded request gets numbers of its own.
	Attempt int
	// Continue is the text that earlier attempts generated.
	Continue string
	// Crashes are the crashes that this request was in progress at in another availability zone.
	Crashes []quarantine.Crash
}

// Event is a piece of the answer as a caller gets it.
type Event struct {
	// Token and Sequence make the event's id, from which the stream can be resumed.
	Token    string
	Attempt  int
	Sequence int
	Text     string
	// Finish is empty, or the reason for which the text ended.
	Finish string
}

// Reply is one message by which a daemon answers a forwarded request or an attachment: an event, a
// refusal, that the request is unknown, or nothing to say that it is known.
type Reply struct {
	Event   *Event
	Refusal *refusal.Refusal
	Unknown bool
}

// Action says what an attachment does to a request in progress.
type Action string

// Actions of an attachment.
const (
	// Follow asks for the events after a position.
	Follow Action = "Follow"
	// Adopt says that another daemon reads the stream at the engine, so it must not be cancelled.
	Adopt Action = "Adopt"
	// Abandon says that nobody will ask for the answer.
	Abandon Action = "Abandon"
)

// Attachment names a position in a request in progress at another daemon; the events after it are wanted.
type Attachment struct {
	RequestID string
	Attempt   int
	// Sequence is -1 for the start of the attempt.
	Sequence int
	Action   Action
}
