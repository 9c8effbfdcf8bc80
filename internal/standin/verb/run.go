package verb

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

const runUsage = "start a whole environment, stream one chat answer, make one booking, and stop it"

type runOptions struct {
	binaries     string
	document     string
	loadDuration time.Duration
}

func newRun() *cli.Command {
	opt := &runOptions{}
	return &cli.Command{
		Name:  "run",
		Usage: runUsage,
		Flags: []cli.Flag{
			binariesFlag(&opt.binaries),
			&cli.StringFlag{
				Name:        "document",
				Usage:       "document to promote",
				Value:       "examples/hrafnsglja.yaml",
				Destination: &opt.document,
			},
			&cli.DurationFlag{
				Name:        "load",
				Usage:       "time for which to send load to all entry VMs before the stop",
				Destination: &opt.loadDuration,
			},
		},
		Action: opt.run,
	}
}

func (opt *runOptions) run(ctx context.Context, _ *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	folder, err := os.MkdirTemp("", "cumintally-run-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	flt, err := fleet.Start(ctx, fleet.Config{
		Binaries:       opt.binaries,
		Folder:         folder,
		Zones:          []string{"reykjanes-1", "reykjanes-2", "reykjanes-3"},
		EntryVMs:       8,
		DomainsPerZone: 2,
		VMsPerDomain:   5,
		Service:        "jobs",
		ServicesByZone: 1,
		RestartCrashed: time.Second,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer flt.Kill()
	fmt.Printf("started %d entry VMs, %d engines, %d service VMs and the platform\n", len(flt.Entries), len(flt.Engines), len(flt.Services))
	if err := opt.exercise(ctx, flt); err != nil {
		printLogs(folder)
		return errors.Trace(err)
	}
	if err := flt.Stop(30 * time.Second); err != nil {
		return errors.Trace(err)
	}
	fmt.Println("all entry VMs stopped gracefully")
	return nil
}

// exercise promotes the document, waits until every daemon reports two serving replica groups, and then sends a chat
// request, a booking and, if asked for, load.
func (opt *runOptions) exercise(ctx context.Context, flt *fleet.Fleet) error {
	doc, err := os.ReadFile(opt.document)
	if err != nil {
		return errors.Trace(err)
	}
	hed, err := fleet.Promote(ctx, flt.Entries[0], doc, 0)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("promoted generation %d\n", hed.Generation)
	for _, ent := range flt.Entries {
		if err := fleet.WaitForServingGroups(ctx, ent, 2); err != nil {
			return errors.Trace(err)
		}
	}
	fmt.Println("all replica groups are serving")
	chat := `{"model":"lap-recipes","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Draft a lap recipe for BK7"}]}`
	if err := callAndPrint(ctx, flt.Entries[1], "/v1/chat/completions", "", chat); err != nil {
		return errors.Trace(err)
	}
	if err := callAndPrint(ctx, flt.Entries[2], "/services/jobs/bookings", "booking-of-the-example", `{"Reference":"blank-17"}`); err != nil {
		return errors.Trace(err)
	}
	return opt.sendLoad(ctx, flt)
}

// sendLoad sends requests with short responses to all entry VMs and returns an error if a response was wrong.
func (opt *runOptions) sendLoad(ctx context.Context, flt *fleet.Fleet) error {
	if opt.loadDuration == 0 {
		return nil
	}
	cfg := load.Config{
		Model:       "lap-recipes",
		Rate:        50,
		Duration:    opt.loadDuration,
		MaxTokens:   32,
		Prefixes:    8,
		PrefixWords: 64,
		Workspaces: []load.Workspace{{
			Name:     "polishing",
			Key:      fleet.CallerKey,
			Share:    1,
			Priority: 5,
		}},
		Seed: rand.Uint64() >> 1,
	}
	for _, ent := range flt.Entries {
		cfg.Targets = append(cfg.Targets, ent.Address)
	}
	fmt.Printf("sending load with seed %d\n", cfg.Seed)
	gen, err := load.New(cfg)
	if err != nil {
		return errors.Trace(err)
	}
	rep, err := gen.Run(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := rep.WriteText(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	if rep.Wrong > 0 {
		return errors.Errorf("%d responses were wrong", rep.Wrong)
	}
	return nil
}

// callAndPrint sends a caller's request to an entry VM and prints the response.
func callAndPrint(ctx context.Context, ent *fleet.Entry, path, key, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.Address+path, strings.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	fmt.Printf("POST %s at %s: %s\n", path, ent.Name, res.Status)
	scn := bufio.NewScanner(res.Body)
	scn.Buffer(nil, 1<<20)
	for scn.Scan() {
		if line := scn.Text(); line != "" && !strings.HasPrefix(line, "id: ") {
			fmt.Println("  " + line)
		}
	}
	if err := scn.Err(); err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s returned status %s", ent.Name, res.Status)
	}
	return nil
}

// printLogs prints the logs of all daemons after a failure.
func printLogs(folder string) {
	paths, _ := filepath.Glob(filepath.Join(folder, "entry-*.log"))
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		fmt.Println("--- " + filepath.Base(path))
		_, _ = io.Copy(os.Stdout, file)
		file.Close()
	}
}
