package engine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cumintally/cumintally/internal/backend"
)

// stream is a text in generation; it goes on when its reader is gone.
type stream struct {
	mu      sync.Mutex
	frames  []backend.Frame
	changed chan struct{}
	aborted bool
}

func newStream() *stream {
	return &stream{
		changed: make(chan struct{}),
	}
}

func (str *stream) add(frm backend.Frame) {
	str.mu.Lock()
	defer str.mu.Unlock()
	str.frames = append(str.frames, frm)
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

func (str *stream) isAborted() bool {
	str.mu.Lock()
	defer str.mu.Unlock()
	return str.aborted
}

// wait returns the frame with a sequence number once it is there, or false if it never will be.
func (str *stream) wait(ctx context.Context, seq int) (backend.Frame, bool) {
	for {
		str.mu.Lock()
		if seq < len(str.frames) {
			frm := str.frames[seq]
			str.mu.Unlock()
			return frm, true
		}
		ended := str.aborted || (len(str.frames) > 0 && str.frames[len(str.frames)-1].Finish != "")
		changed := str.changed
		str.mu.Unlock()
		if ended {
			return backend.Frame{}, false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return backend.Frame{}, false
		}
	}
}

// Text returns the tokens that the stand-in generates for a prompt: its words, again and again, each
// with its number and a hash of the whole prompt, so that a test can tell a missing, repeated or foreign
// token even when two prompts share a long prefix.
func Text(prompt string, maxTokens int) []string {
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

// SplitStamp returns a stamped token as Text gives it, and the time at which it was sent.
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

// run generates the text of a request; it skips what the caller already has.
func (eng *Engine) run(idn string, str *stream, srq backend.StreamRequest) {
	defer eng.finish(idn)
	time.Sleep(eng.stretched(eng.cfg.PrefillTime))
	toks := Text(srq.Prompt, srq.MaxTokens)
	skip := 0
	for got := 0; skip < len(toks) && got < len(srq.Continue); skip++ {
		got += len(toks[skip])
	}
	toks = toks[skip:]
	for idx := 0; idx <= len(toks); idx++ {
		if str.isAborted() {
			return
		}
		frm := backend.Frame{
			RequestID: srq.RequestID,
			Attempt:   srq.Attempt,
			Sequence:  idx,
		}
		if idx == len(toks) {
			frm.Finish = "length"
			str.add(frm)
			return
		}
		frm.Text = toks[idx]
		if eng.cfg.Stamp {
			frm.Text = stamp(frm.Text)
		}
		str.add(frm)
		time.Sleep(eng.stretched(eng.cfg.TokenTime))
	}
}

func (eng *Engine) finish(idn string) {
	eng.mu.Lock()
	eng.running--
	eng.finished++
	if eng.finished >= eng.cfg.WarmAfter {
		eng.warm = true
	}
	eng.mu.Unlock()
	time.AfterFunc(eng.cfg.Retention, func() {
		eng.mu.Lock()
		defer eng.mu.Unlock()
		delete(eng.streams, idn)
	})
}
