package promptcrash

import "time"

// Crash is the crash of a backend server at which a request had not written any of its response yet, or had just begun to.
// It is encoded with field names, so that daemons of other versions ignore fields that they do not know.
type Crash struct {
	// Model and Parts are the model and the shared parts of the prompt of the request.
	Model string
	Parts []string
	// Request identifies requests with the same content.
	Request string
	// Event identifies the crash, so that a crash that several daemons observed counts once.
	Event string
	// SentAge is the time since the request was sent to the backend server, Age the time since the crash. Daemons exchange
	// ages because their clocks differ.
	SentAge time.Duration
	Age     time.Duration
}

// Survival is a request with the given model and parts whose response went on after it had begun.
type Survival struct {
	Model string
	Parts []string
	// Age is the time since the survival was observed.
	Age time.Duration
}

// Combination is a set of parts that crash backend servers of a model. A request is blocked if its prompt has all of them.
type Combination struct {
	Model string
	// Parts are in ascending order.
	Parts []string
	// Age is the time since the combination was found.
	Age time.Duration
}
