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

// documentOf asks for replicas of two VMs in the zones given.
func documentOf(replicas int, zones ...string) []byte {
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

type world struct {
	*fleet.Fleet
	tst *testing.T
	ctx context.Context
}

// start starts a fleet of two zones; the odd entry VMs are in zone one. Groups of the document serve
// when it returns.
func start(tst *testing.T, cfg fleet.Config, replicas int, zones ...string) *world {
	tst.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	tst.Cleanup(cancel)
	cfg.Binaries = binaries
	cfg.Folder = tst.TempDir()
	cfg.Zones = []string{"one", "two"}
	cfg.DomainsPerZone = 1
	cfg.EngineArgs = append([]string{"--cold-limit", "64", "--warm-after", "1", "--load-time", "100ms", "--report-lag", "1ms"}, cfg.EngineArgs...)
	// Short times of permits let a fleet answer sooner after its start; limits are not tested here.
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
	_, err = fleet.Promote(ctx, flt.Entries[0], documentOf(replicas, zones...), 0)
	qt.Assert(tst, err, qt.IsNil)
	wld := &world{
		Fleet: flt,
		tst:   tst,
		ctx:   ctx,
	}
	for _, ent := range flt.Entries {
		want := 0
		for _, zon := range zones {
			if zon == ent.Zone {
				want = replicas
			}
		}
		qt.Assert(tst, fleet.WaitServing(ctx, ent, want), qt.IsNil)
		wld.waitReady(ent)
	}
	for _, ent := range flt.Entries {
		wld.waitAnswering(ent)
	}
	return wld
}

// waitAnswering waits until a daemon gets permits, which the owners of groups do not give out at first.
func (wld *world) waitAnswering(ent *fleet.Entry) {
	wld.tst.Helper()
	wld.eventually("answering", func() bool {
		ans := &answer{}
		return ans.post(wld.ctx, ent, body("warm "+uuid.NewString(), 1, false), nil) == nil && ans.ends == 1
	})
}

func printLogs(tst *testing.T, folder string) {
	files, _ := os.ReadDir(folder)
	for _, fil := range files {
		if !strings.HasPrefix(fil.Name(), "entry-") || !strings.HasSuffix(fil.Name(), ".log") {
			continue
		}
		data, _ := os.ReadFile(folder + "/" + fil.Name())
		if most := 6000; len(data) > most {
			data = data[len(data)-most:]
		}
		tst.Logf("--- %s\n%s", fil.Name(), data)
	}
}

func (wld *world) waitReady(ent *fleet.Entry) {
	wld.tst.Helper()
	wld.eventually("ready", func() bool { return status("http://"+ent.Address+"/readyz") == http.StatusNoContent })
}

func (wld *world) eventually(what string, cond func() bool) {
	wld.tst.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	wld.tst.Fatalf("not within 20 s: %s", what)
}

func status(url string) int {
	res, err := quick.Get(url)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

func (wld *world) faults(flt engine.Faults) {
	for _, eng := range wld.Engines {
		qt.Assert(wld.tst, wld.SetFaults(wld.ctx, eng.Process, flt), qt.IsNil)
	}
}

// metric returns the sum of a counter over the entry VMs that answer.
func (wld *world) metric(name string) int {
	sum := 0
	for _, ent := range wld.Entries {
		sum += wld.value(ent, name)
	}
	return sum
}

// value returns a metric of an entry VM, 0 if it does not answer.
func (wld *world) value(ent *fleet.Entry, name string) int {
	req, _ := http.NewRequest(http.MethodGet, "http://"+ent.Operators+"/metrics", nil)
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	res, err := quick.Do(req)
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

// answer is what a caller has of one stream.
type answer struct {
	text    string
	last    string
	ends    int
	resumes int
	problem *problem
	// retryAfter is the header of a problem.
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

// post sends a completion or, with a last event, a resume, and reads until the connection ends.
func (ans *answer) post(ctx context.Context, ent *fleet.Entry, text string, header map[string]string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+"/v1/completions", strings.NewReader(text))
	if err != nil {
		return err
	}
	if ans.last != "" {
		token, _, _ := strings.Cut(ans.last, ".")
		req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Address+"/v1/streams/"+token, nil)
		req.Header.Set("Last-Event-ID", ans.last)
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
	ans.header = res.Header
	ans.status = res.StatusCode
	if res.StatusCode >= http.StatusBadRequest {
		return ans.takeProblem(res)
	}
	if res.Header.Get("Content-Type") == "application/json" {
		return ans.takeWhole(res.Body)
	}
	return ans.read(res.Body)
}

func (ans *answer) takeProblem(res *http.Response) error {
	ans.problem = &problem{}
	ans.retryAfter = res.Header.Get("Retry-After")
	return json.NewDecoder(res.Body).Decode(ans.problem)
}

type chunk struct {
	Choices []struct {
		Text         string
		FinishReason *string `json:"finish_reason"`
	}
}

func (ans *answer) takeWhole(rdr io.Reader) error {
	var chk chunk
	if err := json.NewDecoder(rdr).Decode(&chk); err != nil {
		return err
	}
	ans.text = chk.Choices[0].Text
	ans.ends++
	return nil
}

func (ans *answer) read(rdr io.Reader) error {
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
			ans.problem = &problem{}
			return json.Unmarshal([]byte(data), ans.problem)
		}
		var chk chunk
		if err := json.Unmarshal([]byte(data), &chk); err != nil {
			return err
		}
		ans.last = id
		ans.text += chk.Choices[0].Text
		if chk.Choices[0].FinishReason != nil {
			ans.ends++
		}
		ans.events++
		if ans.onEvent != nil {
			ans.onEvent(ans.events)
		}
	}
	return scn.Err()
}

// whole streams an answer as a caller does, resuming at the next entry VM when the connection breaks.
func (wld *world) whole(prompt string, tokens int, entries []*fleet.Entry, ans *answer) {
	text := body(prompt, tokens, true)
	for try := 0; try < 40 && wld.ctx.Err() == nil; try++ {
		ent := entries[try%len(entries)]
		err := ans.post(wld.ctx, ent, text, nil)
		if ans.ends > 0 || ans.problem != nil {
			return
		}
		_ = err
		ans.resumes++
		time.Sleep(20 * time.Millisecond)
	}
}

func check(tst *testing.T, ans *answer, prompt string, tokens int) {
	tst.Helper()
	if ans.problem != nil {
		tst.Fatalf("%s: refused: %+v", prompt, *ans.problem)
	}
	qt.Assert(tst, ans.text, qt.Equals, expected(prompt, tokens))
	qt.Assert(tst, ans.ends, qt.Equals, 1)
}

func send(ent *fleet.Entry, method, path string, header map[string]string, body []byte) (int, problem, http.Header, error) {
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

func (wld *world) report(eng *fleet.Engine) (rep backend.Report, ok bool) {
	res, err := quick.Get("http://" + eng.Address + "/report")
	if err != nil {
		return rep, false
	}
	defer res.Body.Close()
	return rep, json.NewDecoder(res.Body).Decode(&rep) == nil
}

// quick gives up on paused processes.
var quick = &http.Client{Timeout: time.Second}

// running returns the number of streams in generation at all engines.
func (wld *world) running() int {
	sum := 0
	for _, eng := range wld.Engines {
		if rep, ok := wld.report(eng); ok {
			sum += rep.Running
		}
	}
	return sum
}

// loseBusy kills or pauses the VM that generates a stream.
func (wld *world) loseBusy(pause bool) {
	for _, eng := range wld.Engines {
		if rep, ok := wld.report(eng); ok && rep.Running > 0 {
			if pause {
				_ = eng.Signal(syscall.SIGSTOP)
			} else {
				_ = eng.Kill()
			}
			return
		}
	}
	wld.tst.Error("no engine is busy")
}

// restore starts killed engines and continues paused ones.
func (wld *world) restore() {
	for _, eng := range wld.Engines {
		if eng.Wait(50 * time.Millisecond) {
			qt.Check(wld.tst, eng.Restart(), qt.IsNil)
			continue
		}
		_ = eng.Signal(syscall.SIGCONT)
	}
}

// forwarder returns the daemon of zone two whose open stream shows in its metrics.
func (wld *world) forwarder() *fleet.Entry {
	for _, ent := range wld.Entries {
		if ent.Zone == "two" && wld.value(ent, "RequestsInProgress") > 0 {
			return ent
		}
	}
	wld.tst.Error("no daemon of zone two has a request")
	return wld.Entries[1]
}
