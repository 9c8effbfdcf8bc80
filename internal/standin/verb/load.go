package verb

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/load"
)

const loadUsage = "send open-loop load to entry VMs or engines and check every answer"

type loadOptions struct {
	cfg        load.Config
	workspaces []string
	json       bool
	report     string
}

func newLoad() *cli.Command {
	opt := &loadOptions{}
	return &cli.Command{
		Name:   "load",
		Usage:  loadUsage,
		Flags:  append(opt.loadFlags(), opt.requestFlags()...),
		Action: opt.run,
	}
}

func (opt *loadOptions) loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:        "target",
			Usage:       "IP:port of an entry VM's callers listener; repeat for several",
			Required:    true,
			Destination: &opt.cfg.Targets,
		},
		&cli.BoolFlag{
			Name:        "direct",
			Usage:       "the targets are engines of rank 0",
			Destination: &opt.cfg.Direct,
		},
		&cli.Float64Flag{
			Name:        "rate",
			Usage:       "mean requests a second",
			Value:       10,
			Destination: &opt.cfg.Rate,
		},
		&cli.DurationFlag{
			Name:        "duration",
			Usage:       "time over which requests are sent",
			Value:       10 * time.Second,
			Destination: &opt.cfg.Duration,
		},
		&cli.IntFlag{
			Name:        "count",
			Usage:       "most requests to send; 0 is unlimited",
			Destination: &opt.cfg.Count,
		},
		&cli.IntFlag{
			Name:        "max-in-flight",
			Usage:       "most requests open at once",
			Value:       2000,
			Destination: &opt.cfg.MaxInFlight,
		},
		&cli.IntFlag{
			Name:        "resumes",
			Usage:       "times that a broken stream is resumed",
			Destination: &opt.cfg.MaxResumes,
		},
		&cli.BoolFlag{
			Name:        "ready",
			Usage:       "send only to targets whose /readyz succeeds",
			Destination: &opt.cfg.ReadyOnly,
		},
		&cli.Uint64Flag{
			Name:        "seed",
			Usage:       "seed of the plan; 0 draws one",
			Destination: &opt.cfg.Seed,
		},
		&cli.BoolFlag{
			Name:        "json",
			Usage:       "print the report as JSON",
			Destination: &opt.json,
		},
		&cli.StringFlag{
			Name:        "report",
			Usage:       "file to write the JSON report to as well",
			Destination: &opt.report,
		},
	}
}

func (opt *loadOptions) requestFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "model",
			Usage:       "model that the requests name",
			Value:       "lap-recipes",
			Destination: &opt.cfg.Model,
		},
		&cli.StringSliceFlag{
			Name:        "workspace",
			Usage:       "NAME=KEY:SHARE:PRIORITY of a workspace; repeat for several",
			Value:       []string{"polishing=" + fleet.CallerKey + ":1:5"},
			Destination: &opt.workspaces,
		},
		&cli.IntFlag{
			Name:        "min-tokens",
			Usage:       "shortest answer",
			Value:       16,
			Destination: &opt.cfg.MinTokens,
		},
		&cli.IntFlag{
			Name:        "max-tokens",
			Usage:       "longest answer",
			Value:       64,
			Destination: &opt.cfg.MaxTokens,
		},
		&cli.IntFlag{
			Name:        "prefixes",
			Usage:       "number of shared prompt prefixes",
			Value:       8,
			Destination: &opt.cfg.Prefixes,
		},
		&cli.IntFlag{
			Name:        "prefix-words",
			Usage:       "words of a shared prefix",
			Value:       64,
			Destination: &opt.cfg.PrefixWords,
		},
		&cli.IntFlag{
			Name:        "prompt-words",
			Usage:       "words of a prompt after its prefix",
			Value:       8,
			Destination: &opt.cfg.PromptWords,
		},
		&cli.DurationFlag{
			Name:        "deadline",
			Usage:       "time within which an answer must be complete",
			Value:       10 * time.Second,
			Destination: &opt.cfg.Deadline,
		},
		&cli.BoolFlag{
			Name:        "stamped",
			Usage:       "read the send times of engines that run with --stamp",
			Destination: &opt.cfg.Stamped,
		},
	}
}

func (opt *loadOptions) run(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, text := range opt.workspaces {
		wsp, err := parseWorkspace(text)
		if err != nil {
			return errors.Trace(err)
		}
		opt.cfg.Workspaces = append(opt.cfg.Workspaces, wsp)
	}
	if opt.cfg.Seed == 0 {
		opt.cfg.Seed = rand.Uint64() >> 1
	}
	fmt.Fprintf(cmd.Root().ErrWriter, "seed %d\n", opt.cfg.Seed)
	gen, err := load.New(opt.cfg)
	if err != nil {
		return errors.Trace(err)
	}
	rep, runErr := gen.Run(ctx)
	if opt.report != "" {
		if err := writeReport(opt.report, rep); err != nil {
			return errors.Trace(err)
		}
	}
	write := rep.WriteText
	if opt.json {
		write = rep.WriteJSON
	}
	if err := write(cmd.Root().Writer); err != nil {
		return errors.Trace(err)
	}
	if rep.Wrong > 0 {
		return errors.Errorf("%d responses were wrong (seed %d)", rep.Wrong, rep.Seed)
	}
	return errors.Trace(runErr)
}

func writeReport(path string, rep *load.Report) error {
	out, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()
	return errors.Trace(rep.WriteJSON(out))
}

// parseWorkspace parses a workspace in the form NAME=KEY:SHARE:PRIORITY.
func parseWorkspace(text string) (load.Workspace, error) {
	name, rest, _ := strings.Cut(text, "=")
	flds := strings.Split(rest, ":")
	if name == "" || len(flds) != 3 {
		return load.Workspace{}, errors.NotValidf("workspace %q", text)
	}
	share, err := strconv.Atoi(flds[1])
	if err != nil {
		return load.Workspace{}, errors.NotValidf("share of workspace %q", text)
	}
	prio, err := strconv.Atoi(flds[2])
	if err != nil {
		return load.Workspace{}, errors.NotValidf("priority of workspace %q", text)
	}
	return load.Workspace{
		Name:     name,
		Key:      flds[0],
		Share:    share,
		Priority: prio,
	}, nil
}
