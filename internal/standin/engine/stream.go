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

// maxTokens bounds the length of a text.
const maxTokens = 1 << 20

// stream is a text in generation; it goes on when its reader is gone. Its engine's lock guards the
// fields up to cold.
type stream struct {
	name    string
	req     backend.StreamRequest
	tokens  []string
	next    int
	firstAt time.Time
	cold    bool

	mu       sync.Mutex
	events   [][]byte
	changed  chan struct{}
	aborted  bool
	finished bool
}

// newStream returns a stream of the tokens that the caller does not have yet.
func newStream(name string, req backend.StreamRequest, cold bool) *stream {
	toks := GenerateTokens(req.Prompt, req.MaxTokens)
	skip := 0
	for got := 0; skip < len(toks) && got < len(req.Continue); skip++ {
		got += len(toks[skip])
	}
	return &stream{
		name:    name,
		req:     req,
		tokens:  toks[skip:],
		cold:    cold,
		changed: make(chan struct{}),
	}
}

// token returns the next token.
func (str *stream) token(stamped bool) string {
	tok := str.tokens[str.next]
	str.next++
	if stamped {
		return stamp(tok)
	}
	return tok
}

// add appends a frame and wakes the readers.
func (str *stream) add(text, finish string) {
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

// wait returns the event with a sequence number once it is there, and whether it is the last one, or
// false if it never will be there.
func (str *stream) wait(ctx context.Context, seq int) (evt []byte, last, ok bool) {
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

// GenerateTokens returns the tokens that the stand-in generates for a prompt: its words, again and again, each
// with its number and a hash of the whole prompt, so that a test can tell a missing, repeated or foreign
// token even when two prompts share a long prefix.
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

// stampMark separates a token from the time at which it was sent.
const stampMark = "@"

// stamp adds the present time to a token; the time goes before the token's final space.
func stamp(tok string) string {
	return strings.TrimSuffix(tok, " ") + stampMark + strconv.FormatInt(time.Now().UnixNano(), 10) + " "
}

// SplitStamp returns a stamped token as GenerateTokens returns it, and the time at which it was sent.
func SplitStamp(text string) (string, time.Time) {
	idx := strings.LastIndex(text, stampMark)
	if idx < 0 {
		return text, time.Time{}
	}
	nanos, err := strconv.ParseInt(strings.TrimSuffix(text[idx+1:], " "), 10, 64)
	if err != nil {
		return text, time.Time{}
	}
	return text[:idx] + " ", time.Unix(0, nanos)
}
