package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

// writeTimeout bounds the write of one event.
const writeTimeout = 15 * time.Second

// writer answers one completion, as server-sent events or whole.
type writer struct {
	rsw      http.ResponseWriter
	req      *http.Request
	ctl      *http.ResponseController
	id       string
	model    string
	chat     bool
	streamed bool
	started  bool
	text     strings.Builder
}

func newWriter(rsw http.ResponseWriter, req *http.Request, id, model string, chat, streamed bool) *writer {
	return &writer{
		rsw:      rsw,
		req:      req,
		ctl:      http.NewResponseController(rsw),
		id:       id,
		model:    model,
		chat:     chat,
		streamed: streamed,
	}
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// event writes one piece of the answer.
func (out *writer) event(evt dispatch.Event) error {
	if !out.streamed {
		out.text.WriteString(evt.Text)
		if evt.Finish == "" {
			return nil
		}
		out.rsw.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(out.rsw).Encode(out.completion(out.text.String(), evt.Finish))
	}
	out.start()
	// A caller that reads nothing for this long counts as gone; it can resume.
	_ = out.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	data, err := json.Marshal(out.completion(evt.Text, evt.Finish))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out.rsw, "id: %s\ndata: %s\n\n", stream.EventID(evt.Token, evt.Sequence), data); err != nil {
		return err
	}
	if evt.Finish != "" {
		if _, err := out.rsw.Write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return out.ctl.Flush()
}

func (out *writer) start() {
	if out.started {
		return
	}
	out.started = true
	out.rsw.Header().Set("Content-Type", "text/event-stream")
	out.rsw.Header().Set("Cache-Control", "no-store")
}

func (out *writer) completion(text, finish string) completion {
	cho := choice{}
	if finish != "" {
		cho.FinishReason = &finish
	}
	object := "text_completion"
	switch {
	case out.chat && out.streamed:
		object = "chat.completion.chunk"
		cho.Delta = &message{
			Role:    "assistant",
			Content: text,
		}
	case out.chat:
		object = "chat.completion"
		cho.Message = &message{
			Role:    "assistant",
			Content: text,
		}
	default:
		cho.Text = &text
	}
	return completion{
		ID:      out.id,
		Object:  object,
		Model:   out.model,
		Choices: []choice{cho},
	}
}

// fail ends the answer with a refusal: as problem details, or as an event once the stream has started.
func (out *writer) fail(ref *refusal.Refusal) {
	if !out.started {
		writeProblem(out.rsw, out.req, ref)
		return
	}
	data, err := json.Marshal(newProblem(out.req, ref))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(out.rsw, "event: error\ndata: %s\n\n", data)
	_ = out.ctl.Flush()
}
