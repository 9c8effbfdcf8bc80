package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/engine"
)

// maxLineBytes is the longest accepted line of a response, in bytes.
const maxLineBytes = 1 << 20

// Ways in which a request can end. The ending of a rejected request is its status and outcome instead, such as
// "503 NotRun".
const (
	endingWhole       = "Whole"
	endingWrong       = "Wrong"
	endingBroken      = "Broken"
	endingUnreachable = "Unreachable"
)

// requestResult is the result of one request.
type requestResult struct {
	workspace         Workspace
	due               time.Time
	ending            string
	detail            string
	tokens            int
	resumes           int
	firstTokenLatency time.Duration
	totalLatency      time.Duration
	tokenIntervals    []time.Duration
	tokenDelays       []time.Duration
}

// exchange is one request in progress, with all attempts to resume its stream.
type exchange struct {
	generator      *Generator
	planned        plannedRequest
	result         requestResult
	expectedTokens []string
	lastTokenTime  time.Time
	lastEventID    string
}

// send sends one request, resumes its stream when it breaks, and returns the result once the request has ended.
func (gen *Generator) send(ctx context.Context, req plannedRequest, due time.Time) requestResult {
	ctx, cancel := context.WithTimeout(ctx, gen.config.Timeout)
	defer cancel()
	exc := &exchange{
		generator: gen,
		planned:   req,
		result: requestResult{
			workspace: req.workspace,
			due:       due,
		},
		expectedTokens: engine.GenerateTokens(req.prompt, req.tokens),
	}
	exc.attempt(ctx)
	// Only a stream that broke after its first event has an event id to resume from.
	for exc.result.ending == endingBroken && exc.lastEventID != "" && exc.result.resumes < gen.config.MaxResumes && ctx.Err() == nil {
		exc.result.resumes++
		exc.attempt(ctx)
	}
	exc.result.totalLatency = time.Since(due)
	return exc.result
}

// attempt sends the request, or resumes it after the last event received, and reads the response.
func (exc *exchange) attempt(ctx context.Context) {
	hrq, err := exc.newRequest(ctx)
	if err != nil {
		exc.setEnding(endingUnreachable, err.Error())
		return
	}
	res, err := exc.generator.httpClient.Do(hrq)
	if err != nil {
		exc.setEnding(endingUnreachable, err.Error())
		return
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		var prb struct{ Outcome, Detail string }
		_ = json.NewDecoder(res.Body).Decode(&prb)
		exc.setEnding(strings.TrimSpace(strconv.Itoa(res.StatusCode)+" "+prb.Outcome), prb.Detail)
		return
	}
	exc.readStream(res)
}

func (exc *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	var body any = map[string]any{
		"model":      exc.generator.config.Model,
		"prompt":     exc.planned.prompt,
		"max_tokens": exc.planned.tokens,
		"stream":     true,
	}
	path := "/v1/completions"
	if exc.generator.config.Direct {
		path = "/streams"
		body = backend.StreamRequest{
			RequestID: fmt.Sprintf("load-%d-%d", exc.generator.config.Seed, exc.planned.index),
			Model:     exc.generator.config.Model,
			Prompt:    exc.planned.prompt,
			MaxTokens: exc.planned.tokens,
			Priority:  exc.planned.workspace.Priority,
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+exc.generator.balancer.nextTarget()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	hrq.Header.Set("Content-Type", "application/json")
	hrq.Header.Set("Authorization", "Bearer "+exc.planned.workspace.Key)
	if exc.lastEventID != "" {
		hrq.Header.Set("Last-Event-ID", exc.lastEventID)
	}
	return hrq, nil
}

// streamEvent holds the fields that are read from an event of the callers' interface or of the engine interface.
type streamEvent struct {
	Text    string
	Finish  string
	Outcome string
	Status  int
	Detail  string
	Choices []struct {
		Text         string
		FinishReason string `json:"finish_reason"`
	}
}

// readStream reads the events of a stream until it finishes, breaks, or contains a wrong token.
func (exc *exchange) readStream(res *http.Response) {
	scn := bufio.NewScanner(res.Body)
	scn.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scn.Scan() {
		line := scn.Bytes()
		if idn, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			exc.lastEventID = string(idn)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		var evt streamEvent
		if err := json.Unmarshal(data, &evt); err != nil {
			exc.setEnding(endingWrong, "an event is not valid JSON")
			return
		}
		if len(evt.Choices) > 0 {
			evt.Text = evt.Choices[0].Text
			evt.Finish = evt.Choices[0].FinishReason
		}
		if evt.Outcome != "" {
			exc.setEnding(fmt.Sprintf("%d %s", evt.Status, evt.Outcome), evt.Detail)
			return
		}
		if !exc.checkToken(evt.Text) {
			return
		}
		if evt.Finish != "" {
			exc.complete()
			return
		}
	}
	exc.setEnding(endingBroken, fmt.Sprintf("the stream broke after %d tokens", exc.result.tokens))
}

// checkToken compares one token with the next expected one and records its time. It returns false if they differ.
// An empty text is not a token and is accepted.
func (exc *exchange) checkToken(text string) bool {
	if text == "" {
		return true
	}
	now := time.Now()
	if exc.generator.config.Stamped {
		tok, stamp := engine.SplitStamp(text)
		exc.result.tokenDelays = append(exc.result.tokenDelays, now.Sub(stamp))
		text = tok
	}
	if exc.result.tokens >= len(exc.expectedTokens) || text != exc.expectedTokens[exc.result.tokens] {
		exc.setEnding(endingWrong, fmt.Sprintf("token %d is %q, which is not the expected one", exc.result.tokens, text))
		return false
	}
	if exc.result.tokens == 0 {
		exc.result.firstTokenLatency = now.Sub(exc.result.due)
	} else {
		exc.result.tokenIntervals = append(exc.result.tokenIntervals, now.Sub(exc.lastTokenTime))
	}
	exc.lastTokenTime = now
	exc.result.tokens++
	return true
}

// complete sets the ending of a request whose stream finished.
func (exc *exchange) complete() {
	if exc.result.tokens != len(exc.expectedTokens) {
		exc.setEnding(endingWrong, fmt.Sprintf("the stream finished after %d of %d tokens", exc.result.tokens, len(exc.expectedTokens)))
		return
	}
	exc.setEnding(endingWhole, "")
}

func (exc *exchange) setEnding(ending, detail string) {
	exc.result.ending = ending
	exc.result.detail = detail
}
