package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/dispatch"
	"github.com/cumintally/cumintally/internal/refusal"
	"github.com/cumintally/cumintally/internal/stream"
)

const (
	// defaultMaxTokens is the longest completion in tokens if the caller states no max_tokens.
	defaultMaxTokens = 256
	// maxTokensLimit is the highest max_tokens that a caller may state.
	maxTokensLimit = 32768
)

// completionRequest is the body of both completion endpoints. Its JSON names are those of the API that
// callers' clients use.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (hnd *Handler) chatCompletions(rsw http.ResponseWriter, req *http.Request) {
	hnd.complete(rsw, req, true)
}

func (hnd *Handler) completions(rsw http.ResponseWriter, req *http.Request) {
	hnd.complete(rsw, req, false)
}

func (hnd *Handler) complete(rsw http.ResponseWriter, req *http.Request, chat bool) {
	if last := req.Header.Get("Last-Event-ID"); last != "" {
		hnd.resumeFrom(rsw, req, last)
		return
	}
	body, release, ok := hnd.readBody(rsw, req)
	if !ok {
		return
	}
	defer release()
	crq, ref := decodeCompletion(body, chat)
	if ref != nil {
		writeProblem(rsw, req, ref)
		return
	}
	ddl, ref := hnd.deadline(req)
	if ref != nil {
		writeProblem(rsw, req, ref)
		return
	}
	drq := hnd.newDispatchRequest(req, crq, chat, ddl)
	if !hnd.isKnownModel(drq.Model) {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusNotFound, "Unknown model", "no model "+crq.Model+" is in service", 0))
		return
	}
	out := newCompletionWriter(rsw, req, requestID(req.Context()), crq.Model, chat, crq.Stream)
	obs := newObserver(hnd.recorder, hnd.clock, drq.Model, drq.Workspace)
	err := hnd.dispatcher.Generate(req.Context(), drq, obs.observe(out.writeEvent))
	obs.finish(err, req.Context().Err() != nil)
	hnd.finish(req, out, err)
}

func (hnd *Handler) newDispatchRequest(req *http.Request, crq completionRequest, chat bool, ddl time.Time) dispatch.Request {
	wsp := callerWorkspace(req.Context())
	model, adapter, _ := strings.Cut(crq.Model, ":")
	return dispatch.Request{
		RequestID: requestID(req.Context()),
		Workspace: wsp.Name,
		Priority:  wsp.Priority,
		Model:     model,
		Adapter:   adapter,
		Prompt:    crq.prompt(chat),
		MaxTokens: crq.MaxTokens,
		Chat:      chat,
		Streamed:  crq.Stream,
		Deadline:  ddl,
	}
}

func (hnd *Handler) finish(req *http.Request, out *completionWriter, err error) {
	if err == nil {
		return
	}
	hnd.logger.Info("request failed",
		zap.String("request", requestID(req.Context())),
		zap.String("workspace", callerWorkspace(req.Context()).Name),
		zap.Error(err),
	)
	if req.Context().Err() == nil {
		out.writeRefusal(asRefusal(err))
	}
}

func decodeCompletion(body []byte, chat bool) (completionRequest, *refusal.Refusal) {
	var crq completionRequest
	if err := json.Unmarshal(body, &crq); err != nil {
		return crq, refusal.Invalid("the body is not valid JSON: " + err.Error())
	}
	switch {
	case crq.Model == "":
		return crq, refusal.Invalid("model is missing")
	case chat && len(crq.Messages) == 0:
		return crq, refusal.Invalid("messages is empty")
	case !chat && crq.Prompt == "":
		return crq, refusal.Invalid("prompt is empty")
	case crq.MaxTokens < 0 || crq.MaxTokens > maxTokensLimit:
		return crq, refusal.Invalid("max_tokens is out of range")
	case crq.MaxTokens == 0:
		crq.MaxTokens = defaultMaxTokens
	}
	return crq, nil
}

func (crq completionRequest) prompt(chat bool) string {
	if !chat {
		return crq.Prompt
	}
	var bld strings.Builder
	for _, msg := range crq.Messages {
		bld.WriteString(msg.Role)
		bld.WriteString(": ")
		bld.WriteString(msg.Content)
		bld.WriteString("\n")
	}
	return bld.String()
}

func (hnd *Handler) isKnownModel(name string) bool {
	for _, mod := range hnd.store.InForce().Document.Models {
		if mod.Name == name {
			return true
		}
	}
	return false
}

// resume continues a stream whose token is in the path.
func (hnd *Handler) resume(rsw http.ResponseWriter, req *http.Request) {
	last := req.Header.Get("Last-Event-ID")
	if last == "" {
		writeProblem(rsw, req, refusal.Invalid("Last-Event-ID is missing"))
		return
	}
	if tok, _, err := stream.ParseEventID(last); err != nil || tok != chi.URLParam(req, "token") {
		writeProblem(rsw, req, refusal.Invalid("Last-Event-ID does not belong to the stream"))
		return
	}
	hnd.resumeFrom(rsw, req, last)
}

func (hnd *Handler) resumeFrom(rsw http.ResponseWriter, req *http.Request, lastEventID string) {
	text, seq, err := stream.ParseEventID(lastEventID)
	if err != nil {
		writeProblem(rsw, req, refusal.Invalid("Last-Event-ID is malformed"))
		return
	}
	tok, err := stream.DecodeToken(hnd.config.TokenKey, text)
	if err != nil || tok.Workspace != callerWorkspace(req.Context()).Name {
		writeProblem(rsw, req, refusal.New(refusal.NotRun, http.StatusNotFound, "Unknown stream", "the workspace has no such stream", 0))
		return
	}
	out := newCompletionWriter(rsw, req, tok.RequestID, tok.Model, tok.Chat, true)
	ddl, ref := hnd.deadline(req)
	if ref != nil {
		writeProblem(rsw, req, ref)
		return
	}
	hnd.finish(req, out, hnd.dispatcher.Resume(req.Context(), tok, seq, ddl, out.writeEvent))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (hnd *Handler) listModels(rsw http.ResponseWriter, _ *http.Request) {
	lst := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	add := func(idn string) {
		lst.Data = append(lst.Data, modelItem{
			ID:      idn,
			Object:  "model",
			OwnedBy: "cumintally",
		})
	}
	for _, mod := range hnd.store.InForce().Document.Models {
		add(mod.Name)
		for _, adp := range mod.Adapters {
			add(mod.Name + ":" + adp)
		}
	}
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(lst)
}
