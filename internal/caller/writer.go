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

// writeTimeout bounds the time to write one event.
const writeTimeout = 15 * time.Second

// completionWriter writes the response to one completion request, either as server-sent events or as a
// single JSON document.
type completionWriter struct {
	response   http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	id         string
	model      string
	chat       bool
	streamed   bool
	started    bool
	text       strings.Builder
}

func newCompletionWriter(rsw http.ResponseWriter, req *http.Request, id, model string, chat, streamed bool) *completionWriter {
	return &completionWriter{
		response:   rsw,
		request:    req,
		controller: http.NewResponseController(rsw),
		id:         id,
		model:      model,
		chat:       chat,
		streamed:   streamed,
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

// writeEvent writes one event of a stream. If the response is not streamed, it collects the text and writes
// the response at the last event.
func (out *completionWriter) writeEvent(evt dispatch.Event) error {
	if !out.streamed {
		out.text.WriteString(evt.Text)
		if evt.Finish == "" {
			return nil
		}
		out.response.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(out.response).Encode(out.completion(out.text.String(), evt.Finish))
	}
	out.start()
	// A caller that reads nothing for writeTimeout is treated as disconnected. It can resume the stream.
	_ = out.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	data, err := json.Marshal(out.completion(evt.Text, evt.Finish))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out.response, "id: %s\ndata: %s\n\n", stream.EventID(evt.Token, evt.Sequence), data); err != nil {
		return err
	}
	if evt.Finish != "" {
		if _, err := out.response.Write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	return out.controller.Flush()
}

func (out *completionWriter) start() {
	if out.started {
		return
	}
	out.started = true
	out.response.Header().Set("Content-Type", "text/event-stream")
	out.response.Header().Set("Cache-Control", "no-store")
}

func (out *completionWriter) completion(text, finish string) completion {
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

// writeRefusal ends the response with a refusal: as problem details, or as an error event if the stream has
// started.
func (out *completionWriter) writeRefusal(ref *refusal.Refusal) {
	if !out.started {
		writeProblem(out.response, out.request, ref)
		return
	}
	data, err := json.Marshal(newProblem(out.request, ref))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(out.response, "event: error\ndata: %s\n\n", data)
	_ = out.controller.Flush()
}
