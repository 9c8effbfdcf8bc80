package zones_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

// result classifies the response to a call.
type result string

const (
	correct    result = "correct"
	wrong      result = "wrong"
	notRun     result = "NotRun"
	unknown    result = "Unknown"
	noResponse result = "no response"
)

// call is one request and its response.
type call struct {
	entry  string
	zone   string
	id     string
	began  time.Time
	took   time.Duration
	result result
	detail string
}

// callTimeout is the time after which a caller abandons a request.
const callTimeout = 10 * time.Second

var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
	},
}

// post sends a request as a caller does. The function checkBody classifies the body of a successful response.
func post(ctx context.Context, ent *fleet.Entry, path, key, body string, checkBody func(body []byte) result) call {
	cal := call{
		entry:  ent.Name,
		zone:   ent.Zone,
		began:  time.Now(),
		result: noResponse,
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() { cal.took = time.Since(cal.began) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+path, strings.NewReader(body))
	if err != nil {
		cal.detail = err.Error()
		return cal
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := client.Do(req)
	if err != nil {
		cal.detail = err.Error()
		cal.took = time.Since(cal.began)
		return cal
	}
	defer res.Body.Close()
	cal.id = res.Header.Get("X-Request-Id")
	data, err := io.ReadAll(res.Body)
	cal.took = time.Since(cal.began)
	if err != nil {
		cal.detail = err.Error()
		return cal
	}
	if res.StatusCode < http.StatusMultipleChoices {
		cal.result = checkBody(data)
		return cal
	}
	var prb struct {
		Detail  string
		Outcome result
	}
	cal.result = wrong
	if json.Unmarshal(data, &prb) == nil && (prb.Outcome == notRun || prb.Outcome == unknown) {
		cal.result = prb.Outcome
	}
	cal.detail = fmt.Sprintf("%d %s", res.StatusCode, data)
	return cal
}

// requestCompletion sends a completion request and compares the response with the text that the engine stand-in generates for
// the prompt.
func requestCompletion(ctx context.Context, ent *fleet.Entry, prompt string, tokens int) call {
	body, _ := json.Marshal(map[string]any{
		"model":      "recipes",
		"prompt":     prompt,
		"max_tokens": tokens,
	})
	return post(ctx, ent, "/v1/completions", "", string(body), func(data []byte) result {
		var cpl struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal(data, &cpl) != nil || len(cpl.Choices) != 1 || cpl.Choices[0].Text != strings.Join(engine.GenerateTokens(prompt, tokens), "") {
			return wrong
		}
		return correct
	})
}

// requestBooking requests a booking, with its reference as idempotency key.
func requestBooking(ctx context.Context, ent *fleet.Entry, reference string) call {
	return post(ctx, ent, "/services/jobs/bookings", reference, fmt.Sprintf(`{"Reference":%q}`, reference), func(data []byte) result {
		var rct struct{ Reference string }
		if json.Unmarshal(data, &rct) != nil || rct.Reference != reference {
			return wrong
		}
		return correct
	})
}

// callers send completion requests to entry VMs until they are stopped.
type callers struct {
	cancel context.CancelFunc
	wgr    sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

// startCallers starts num callers at each entry VM. Each of them pauses between its requests.
func startCallers(ctx context.Context, ents []*fleet.Entry, num int, pause time.Duration) *callers {
	ctx, cancel := context.WithCancel(ctx)
	cls := &callers{
		cancel: cancel,
	}
	for _, ent := range ents {
		for idx := range num {
			cls.wgr.Go(func() {
				for turn := 0; ctx.Err() == nil; turn++ {
					// WithoutCancel lets the request in progress finish when the callers are stopped.
					cal := requestCompletion(context.WithoutCancel(ctx), ent, fmt.Sprintf("%s caller %d turn %d", ent.Name, idx, turn), 10)
					cls.mu.Lock()
					cls.calls = append(cls.calls, cal)
					cls.mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	return cls
}

// stop stops the callers and returns all calls in the order in which they ended.
func (cls *callers) stop() []call {
	cls.cancel()
	cls.wgr.Wait()
	return cls.calls
}

// callsBetween returns the calls at the entry VMs of a zone that began after from and before to.
func callsBetween(calls []call, zon string, from, to time.Time) []call {
	var selected []call
	for _, cal := range calls {
		if cal.zone == zon && cal.began.After(from) && cal.began.Before(to) {
			selected = append(selected, cal)
		}
	}
	return selected
}

// startLongRequests starts a request of about 4 s at each of the entry VMs and returns a function that waits for
// the responses.
func startLongRequests(ctx context.Context, ents []*fleet.Entry) func() []call {
	const tokens = 800
	calls := make([]call, len(ents))
	var wgr sync.WaitGroup
	for idx, ent := range ents {
		wgr.Go(func() { calls[idx] = requestCompletion(ctx, ent, "long request at "+ent.Name, tokens) })
	}
	return func() []call {
		wgr.Wait()
		return calls
	}
}

// runsByReference returns the number of runs of each booking by its reference, summed over all services.
func (env *environment) runsByReference(ctx context.Context, t *testing.T) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for _, svc := range env.Services {
		var cnt map[string]int
		getJSON(ctx, t, "http://"+svc.Address+"/runs", &cnt)
		for ref, num := range cnt {
			sum[ref] += num
		}
	}
	return sum
}
