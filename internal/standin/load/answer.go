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

// maxEventSize is the longest line of an answer in bytes.
const maxEventSize = 1 << 20

// Endings of a request. A rejection is counted under its status and outcome instead, such as "503 NotRun".
const (
	endWhole       = "Whole"
	endWrong       = "Wrong"
	endBroken      = "Broken"
	endUnreachable = "Unreachable"
)

// result is what came of one request.
type result struct {
	workspace Workspace
	due       time.Time
	ending    string
	detail    string
	tokens    int
	resumes   int
	first     time.Duration
	total     time.Duration
	gaps      []time.Duration
	delays    []time.Duration
}

// exchange is one request in progress.
type exchange struct {
	lod    *Load
	req    planned
	res    result
	want   []string
	last   time.Time
	lastID string
}

// send runs one request to its end.
func (lod *Load) send(ctx context.Context, req planned, due time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, lod.cfg.Timeout)
	defer cancel()
	exc := &exchange{
		lod: lod,
		req: req,
		res: result{
			workspace: req.workspace,
			due:       due,
		},
		want: engine.GenerateTokens(req.prompt, req.tokens),
	}
	exc.try(ctx)
	// Only an answer that broke after its first token has an event id to go on from.
	for exc.res.ending == endBroken && exc.lastID != "" && exc.res.resumes < lod.cfg.Resumes && ctx.Err() == nil {
		exc.res.resumes++
		exc.try(ctx)
	}
	exc.res.total = time.Since(due)
	return exc.res
}

func (exc *exchange) try(ctx context.Context) {
	hrq, err := exc.request(ctx)
	if err != nil {
		exc.end(endUnreachable, err.Error())
		return
	}
	res, err := exc.lod.htc.Do(hrq)
	if err != nil {
		exc.end(endUnreachable, err.Error())
		return
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		var prb struct{ Outcome, Detail string }
		_ = json.NewDecoder(res.Body).Decode(&prb)
		exc.end(strings.TrimSpace(strconv.Itoa(res.StatusCode)+" "+prb.Outcome), prb.Detail)
		return
	}
	exc.read(res)
}

func (exc *exchange) request(ctx context.Context) (*http.Request, error) {
	var body any = map[string]any{
		"model":      exc.lod.cfg.Model,
		"prompt":     exc.req.prompt,
		"max_tokens": exc.req.tokens,
		"stream":     true,
	}
	path := "/v1/completions"
	if exc.lod.cfg.Direct {
		path = "/streams"
		body = backend.StreamRequest{
			RequestID: fmt.Sprintf("load-%d-%d", exc.lod.cfg.Seed, exc.req.index),
			Model:     exc.lod.cfg.Model,
			Prompt:    exc.req.prompt,
			MaxTokens: exc.req.tokens,
			Priority:  exc.req.workspace.Priority,
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+exc.lod.bal.pick()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	hrq.Header.Set("Content-Type", "application/json")
	hrq.Header.Set("Authorization", "Bearer "+exc.req.workspace.Key)
	if exc.lastID != "" {
		hrq.Header.Set("Last-Event-ID", exc.lastID)
	}
	return hrq, nil
}

// piece holds the members of an event of either interface that matter here.
type piece struct {
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

func (exc *exchange) read(res *http.Response) {
	scn := bufio.NewScanner(res.Body)
	scn.Buffer(make([]byte, 0, 4096), maxEventSize)
	for scn.Scan() {
		line := scn.Bytes()
		if idn, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			exc.lastID = string(idn)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		var pce piece
		if err := json.Unmarshal(data, &pce); err != nil {
			exc.end(endWrong, "an event is not JSON")
			return
		}
		if len(pce.Choices) > 0 {
			pce.Text = pce.Choices[0].Text
			pce.Finish = pce.Choices[0].FinishReason
		}
		if pce.Outcome != "" {
			exc.end(fmt.Sprintf("%d %s", pce.Status, pce.Outcome), pce.Detail)
			return
		}
		if !exc.take(pce.Text) {
			return
		}
		if pce.Finish != "" {
			exc.finish()
			return
		}
	}
	exc.end(endBroken, fmt.Sprintf("the stream ended after %d tokens", exc.res.tokens))
}

// take checks one token and records its time; it returns false for a token that is not the next one.
func (exc *exchange) take(text string) bool {
	if text == "" {
		return true
	}
	now := time.Now()
	if exc.lod.cfg.Stamped {
		tok, stamp := engine.SplitStamp(text)
		exc.res.delays = append(exc.res.delays, now.Sub(stamp))
		text = tok
	}
	if exc.res.tokens >= len(exc.want) || text != exc.want[exc.res.tokens] {
		exc.end(endWrong, fmt.Sprintf("token %d is %q", exc.res.tokens, text))
		return false
	}
	if exc.res.tokens == 0 {
		exc.res.first = now.Sub(exc.res.due)
	} else {
		exc.res.gaps = append(exc.res.gaps, now.Sub(exc.last))
	}
	exc.last = now
	exc.res.tokens++
	return true
}

func (exc *exchange) finish() {
	if exc.res.tokens != len(exc.want) {
		exc.end(endWrong, fmt.Sprintf("%d of %d tokens", exc.res.tokens, len(exc.want)))
		return
	}
	exc.end(endWhole, "")
}

func (exc *exchange) end(ending, detail string) {
	exc.res.ending = ending
	exc.res.detail = detail
}
