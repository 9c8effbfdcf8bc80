package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/backend"
)

// maxTokens is the largest number of tokens of a text.
const maxTokens = 1 << 20

// stream is a text that is being generated. Generation continues if its reader disconnects. The engine's lock guards the
// fields above mu.
type stream struct {
	name         string
	req          backend.StreamRequest
	tokens       []string
	nextIndex    int
	firstTokenAt time.Time
	inColdStart  bool

	mu       sync.Mutex
	events   [][]byte
	changed  chan struct{}
	aborted  bool
	finished bool
}

// newStream returns a stream of the tokens that follow the text in req.Continue, which the caller already has.
func newStream(name string, req backend.StreamRequest, cold bool) *stream {
	toks := GenerateTokens(req.Prompt, req.MaxTokens)
	skip := 0
	for got := 0; skip < len(toks) && got < len(req.Continue); skip++ {
		got += len(toks[skip])
	}
	return &stream{
		name:        name,
		req:         req,
		tokens:      toks[skip:],
		inColdStart: cold,
		changed:     make(chan struct{}),
	}
}

// nextToken returns the next token.
func (str *stream) nextToken(stamped bool) string {
	tok := str.tokens[str.nextIndex]
	str.nextIndex++
	if stamped {
		return stamp(tok)
	}
	return tok
}

// appendFrame appends a frame and notifies the readers.
func (str *stream) appendFrame(text, finish string) {
	str.mu.Lock()
	defer str.mu.Unlock()
	// Marshalling a plain struct cannot fail.
	data, _ := json.Marshal(backend.Frame{
		RequestID: str.req.RequestID,
		Attempt:   str.req.Attempt,
		Sequence:  len(str.events),
		Text:      text,
		Finish:    finish,
	})
	str.events = append(str.events, append(append([]byte("data: "), data...), "\n\n"...))
	str.finished = finish != ""
	close(str.changed)
	str.changed = make(chan struct{})
}

func (str *stream) abort() {
	str.mu.Lock()
	defer str.mu.Unlock()
	if !str.aborted {
		str.aborted = true
		close(str.changed)
		str.changed = make(chan struct{})
	}
}

func (str *stream) ended() bool {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.aborted || str.finished
}

// waitFrame waits for the event with a sequence number. It returns the event and whether it is the last one. ok is false if
// the stream ended without this event or ctx is done.
func (str *stream) waitFrame(ctx context.Context, seq int) (evt []byte, last, ok bool) {
	for {
		str.mu.Lock()
		if seq < len(str.events) {
			evt := str.events[seq]
			last := str.finished && seq == len(str.events)-1
			str.mu.Unlock()
			return evt, last, true
		}
		ended := str.aborted || str.finished
		changed := str.changed
		str.mu.Unlock()
		if ended {
			return nil, false, false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, false
		}
	}
}

// GenerateTokens returns the tokens that the stand-in generates for a prompt: the words of the prompt in a loop, each with its
// index and a hash of the whole prompt. A test can thus detect a missing or repeated token and one of another request,
// even if two prompts share a long prefix.
func GenerateTokens(prompt string, maxTokens int) []string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		words = []string{"empty"}
	}
	sum := "." + strconv.FormatUint(xxhash.Sum64String(prompt)>>32, 16) + " "
	toks := make([]string, maxTokens)
	for idx := range toks {
		toks[idx] = words[idx%len(words)] + "#" + strconv.Itoa(idx) + sum
	}
	return toks
}

// stampSeparator separates a token from its send time.
const stampSeparator = "@"

// stamp inserts the current time before the final space of a token.
func stamp(tok string) string {
	return strings.TrimSuffix(tok, " ") + stampSeparator + strconv.FormatInt(time.Now().UnixNano(), 10) + " "
}

// SplitStamp splits a stamped token into the token that GenerateTokens returns and its send time. The time is zero if
// text has no stamp.
func SplitStamp(text string) (string, time.Time) {
	idx := strings.LastIndex(text, stampSeparator)
	if idx < 0 {
		return text, time.Time{}
	}
	nanos, err := strconv.ParseInt(strings.TrimSuffix(text[idx+1:], " "), 10, 64)
	if err != nil {
		return text, time.Time{}
	}
	return text[:idx] + " ", time.Unix(0, nanos)
}
