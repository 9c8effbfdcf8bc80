package requests_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/engine"
	"github.com/cumintally/cumintally/internal/standin/fleet"
)

var binaries string

func TestMain(mtx *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "cumintally-requests-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(folder)
		cmd := exec.Command("go", "build", "-o", folder, "../../cmd/...")
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			panic(err)
		}
		binaries = folder
		return mtx.Run()
	}())
}

// newDocument returns a document with the given number of replicas, of two VMs each, in each of the given zones.
func newDocument(replicas int, zones ...string) []byte {
	var bld strings.Builder
	bld.WriteString("AvailabilityZones:\n")
	for _, zon := range []string{"one", "two"} {
		fmt.Fprintf(&bld, "  - {Name: %s, Region: region}\n", zon)
	}
	bld.WriteString("Models:\n  - {Name: model, Version: \"1\", VMsPerGroup: 2, ColdLimit: 64, WarmLimit: 64}\nGroups:\n")
	for _, zon := range zones {
		fmt.Fprintf(&bld, "  - {Name: group-%s, Model: model, AvailabilityZone: %s, Replicas: %d}\n", zon, zon, replicas)
	}
	bld.WriteString("Workspaces:\n  - {Name: polishing, KeyHashes: [064f736ded26ef7daea0f8913982c3dceded5a1dc4854caa1a3fa86042670bba], Share: 1, Priority: 5}\n")
	return []byte(bld.String())
}

// environment is a fleet with the test that uses it.
type environment struct {
	*fleet.Fleet
	tst *testing.T
	ctx context.Context
	// losses are the losses of engines in progress.
	losses sync.WaitGroup
}

// start starts a fleet of two zones. The entry VMs alternate between the zones, the first one in zone one. When it
// returns, the groups of the document serve and every daemon has completed a request.
func start(tst *testing.T, cfg fleet.Config, replicas int, zones ...string) *environment {
	tst.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	tst.Cleanup(cancel)
	cfg.Binaries = binaries
	cfg.Folder = tst.TempDir()
	cfg.Zones = []string{"one", "two"}
	cfg.DomainsPerZone = 1
	cfg.EngineArgs = append([]string{"--cold-limit", "64", "--warm-after", "1", "--load-time", "100ms", "--report-lag", "1ms"}, cfg.EngineArgs...)
	// Permits of short validity let a fleet serve sooner after its start; limits are not tested here.
	cfg.EntryEnv = append([]string{
		"CUMINTALLY_REQUESTS_STOPNOTICE=1s",
		"CUMINTALLY_LIMITS_VALIDFOR=1s",
		"CUMINTALLY_LIMITS_RENEW=300ms",
		"CUMINTALLY_LIMITS_SETTLE=200ms",
	}, cfg.EntryEnv...)
	flt, err := fleet.Start(ctx, cfg)
	qt.Assert(tst, err, qt.IsNil)
	tst.Cleanup(flt.Kill)
	tst.Cleanup(func() {
		if tst.Failed() {
			printLogs(tst, cfg.Folder)
		}
	})
	_, err = fleet.Promote(ctx, flt.Entries[0], newDocument(replicas, zones...), 0)
	qt.Assert(tst, err, qt.IsNil)
	env := &environment{
		Fleet: flt,
		tst:   tst,
		ctx:   ctx,
	}
	for _, ent := range flt.Entries {
		groups := 0
		for _, zon := range zones {
			if zon == ent.Zone {
				groups = replicas
			}
		}
		qt.Assert(tst, fleet.WaitForServingGroups(ctx, ent, groups), qt.IsNil)
		env.waitReady(ent)
	}
	for _, ent := range flt.Entries {
		env.waitPermits(ent)
	}
	return env
}

// waitPermits waits until a daemon completes a request. At first it receives no permits for requests, because
// the owners of groups grant none right after their start.
func (env *environment) waitPermits(ent *fleet.Entry) {
	env.tst.Helper()
	env.eventually("the daemon completes a request", func() bool {
		cpl := &completion{}
		return cpl.post(env.ctx, ent, body("warm "+uuid.NewString(), 1, false), nil) == nil && cpl.finishes == 1
	})
}

func printLogs(tst *testing.T, folder string) {
	files, _ := os.ReadDir(folder)
	for _, fil := range files {
		if !strings.HasPrefix(fil.Name(), "entry-") || !strings.HasSuffix(fil.Name(), ".log") {
			continue
		}
		data, _ := os.ReadFile(folder + "/" + fil.Name())
		if limit := 6000; len(data) > limit {
			data = data[len(data)-limit:]
		}
		tst.Logf("--- %s\n%s", fil.Name(), data)
	}
}

func (env *environment) waitReady(ent *fleet.Entry) {
	env.tst.Helper()
	env.eventually("the daemon is ready", func() bool { return statusCode("http://"+ent.Address+"/readyz") == http.StatusNoContent })
}

func (env *environment) eventually(what string, cond func() bool) {
	env.tst.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	env.tst.Fatalf("not within 20 s: %s", what)
}

func statusCode(url string) int {
	res, err := shortTimeoutClient.Get(url)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

func (env *environment) setEngineFaults(flt engine.Faults) {
	for _, eng := range env.Engines {
		qt.Assert(env.tst, env.SetFaults(env.ctx, eng.Process, flt), qt.IsNil)
	}
}

// metricSum returns the sum of a counter over the entry VMs that respond.
func (env *environment) metricSum(name string) int {
	sum := 0
	for _, ent := range env.Entries {
		sum += env.metricValue(ent, name)
	}
	return sum
}

// metricValue returns a metric of an entry VM, or 0 if the VM does not respond.
func (env *environment) metricValue(ent *fleet.Entry, name string) int {
	req, _ := http.NewRequest(http.MethodGet, "http://"+ent.Operators+"/metrics", nil)
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	res, err := shortTimeoutClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	for scn := bufio.NewScanner(res.Body); scn.Scan(); {
		var val float64
		if key, text, ok := strings.Cut(scn.Text(), " "); ok && key == "cumintally_"+name {
			_, _ = fmt.Sscan(text, &val)
			return int(val)
		}
	}
	return 0
}

type problem struct {
	Title   string
	Status  int
	Detail  string
	Outcome string
}

// completion is what a caller has received of one completion, over all connections of its stream.
type completion struct {
	text        string
	lastEventID string
	// finishes counts the events with a finish reason.
	finishes int
	resumes  int
	problem  *problem
	// retryAfter is the Retry-After header of the response with the problem.
	retryAfter string
	header     http.Header
	status     int
	// onEvent is called after each event.
	onEvent func(events int)
	events  int
}

func body(prompt string, tokens int, streamed bool) string {
	data, _ := json.Marshal(map[string]any{"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": streamed})
	return string(data)
}

func expected(prompt string, tokens int) string {
	return strings.Join(engine.GenerateTokens(prompt, tokens), "")
}

// post sends a completion request, or resumes the stream if an event was received before, and reads until the
// connection ends.
func (cpl *completion) post(ctx context.Context, ent *fleet.Entry, text string, header map[string]string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+"/v1/completions", strings.NewReader(text))
	if err != nil {
		return err
	}
	if cpl.lastEventID != "" {
		token, _, _ := strings.Cut(cpl.lastEventID, ".")
		req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Address+"/v1/streams/"+token, nil)
		req.Header.Set("Last-Event-ID", cpl.lastEventID)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	for key, val := range header {
		req.Header.Set(key, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	cpl.header = res.Header
	cpl.status = res.StatusCode
	if res.StatusCode >= http.StatusBadRequest {
		return cpl.decodeProblem(res)
	}
	if res.Header.Get("Content-Type") == "application/json" {
		return cpl.decodeCompletion(res.Body)
	}
	return cpl.readEvents(res.Body)
}

func (cpl *completion) decodeProblem(res *http.Response) error {
	cpl.problem = &problem{}
	cpl.retryAfter = res.Header.Get("Retry-After")
	return json.NewDecoder(res.Body).Decode(cpl.problem)
}

type chunk struct {
	Choices []struct {
		Text         string
		FinishReason *string `json:"finish_reason"`
	}
}

func (cpl *completion) decodeCompletion(rdr io.Reader) error {
	var chk chunk
	if err := json.NewDecoder(rdr).Decode(&chk); err != nil {
		return err
	}
	cpl.text = chk.Choices[0].Text
	cpl.finishes++
	return nil
}

func (cpl *completion) readEvents(rdr io.Reader) error {
	scn := bufio.NewScanner(rdr)
	scn.Buffer(nil, 1<<20)
	failed := false
	id := ""
	for scn.Scan() {
		line := scn.Text()
		if val, ok := strings.CutPrefix(line, "id: "); ok {
			id = val
		}
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		if failed {
			cpl.problem = &problem{}
			return json.Unmarshal([]byte(data), cpl.problem)
		}
		var chk chunk
		if err := json.Unmarshal([]byte(data), &chk); err != nil {
			return err
		}
		cpl.lastEventID = id
		cpl.text += chk.Choices[0].Text
		if chk.Choices[0].FinishReason != nil {
			cpl.finishes++
		}
		cpl.events++
		if cpl.onEvent != nil {
			cpl.onEvent(cpl.events)
		}
	}
	return scn.Err()
}

// streamToEnd streams a completion as a caller does, and resumes it at the next entry VM when the connection
// breaks.
func (env *environment) streamToEnd(prompt string, tokens int, entries []*fleet.Entry, cpl *completion) {
	text := body(prompt, tokens, true)
	for attempt := 0; attempt < 40 && env.ctx.Err() == nil; attempt++ {
		ent := entries[attempt%len(entries)]
		err := cpl.post(env.ctx, ent, text, nil)
		if cpl.finishes > 0 || cpl.problem != nil {
			return
		}
		_ = err
		cpl.resumes++
		time.Sleep(20 * time.Millisecond)
	}
}

func checkCompletion(tst *testing.T, cpl *completion, prompt string, tokens int) {
	tst.Helper()
	if cpl.problem != nil {
		tst.Fatalf("%s: rejected: %+v", prompt, *cpl.problem)
	}
	qt.Assert(tst, cpl.text, qt.Equals, expected(prompt, tokens))
	qt.Assert(tst, cpl.finishes, qt.Equals, 1)
}

func sendRequest(ent *fleet.Entry, method, path string, header map[string]string, body []byte) (int, problem, http.Header, error) {
	var prb problem
	req, err := http.NewRequest(method, "http://"+ent.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, prb, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	for key, val := range header {
		req.Header.Set(key, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, prb, nil, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&prb)
	return res.StatusCode, prb, res.Header, err
}

func (env *environment) engineReport(eng *fleet.Engine) (rep backend.Report, ok bool) {
	res, err := shortTimeoutClient.Get("http://" + eng.Address + "/report")
	if err != nil {
		return rep, false
	}
	defer res.Body.Close()
	return rep, json.NewDecoder(res.Body).Decode(&rep) == nil
}

// shortTimeoutClient bounds the wait for a response of a paused process.
var shortTimeoutClient = &http.Client{Timeout: time.Second}

// runningStreams returns the number of streams that the engines generate, summed over all engines.
func (env *environment) runningStreams() int {
	sum := 0
	for _, eng := range env.Engines {
		if rep, ok := env.engineReport(eng); ok {
			sum += rep.Running
		}
	}
	return sum
}

// loseBusyEngine kills or pauses one engine that generates a stream.
func (env *environment) loseBusyEngine(pause bool) {
	env.losses.Add(1)
	defer env.losses.Done()
	for _, eng := range env.Engines {
		if rep, ok := env.engineReport(eng); ok && rep.Running > 0 {
			if pause {
				_ = eng.Signal(syscall.SIGSTOP)
			} else {
				_ = eng.Kill()
			}
			return
		}
	}
	env.tst.Error("no engine is busy")
}

// restoreEngines restarts killed engines and continues paused ones. A request fails as soon as its engine is killed, but
// the process counts as exited only once it has been reaped.
func (env *environment) restoreEngines() {
	env.losses.Wait()
	for _, eng := range env.Engines {
		if eng.ExitedWithin(50 * time.Millisecond) {
			qt.Check(env.tst, eng.Restart(), qt.IsNil)
			continue
		}
		_ = eng.Signal(syscall.SIGCONT)
	}
}

// forwardTarget returns the daemon of zone two that has a request in progress according to its metrics.
func (env *environment) forwardTarget() *fleet.Entry {
	for _, ent := range env.Entries {
		if ent.Zone == "two" && env.metricValue(ent, "RequestsInProgress") > 0 {
			return ent
		}
	}
	env.tst.Error("no daemon of zone two has a request in progress")
	return env.Entries[1]
}
