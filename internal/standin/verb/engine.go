package verb

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/engine"
)

const engineUsage = "run a model engine on one VM"

// crashExitStatus is the exit status of an engine process that a request crashes: one with engine.CrashMarker in its
// prompt, or one above the cold limit.
const crashExitStatus = 70

type engineOptions struct {
	listen string
	cfg    engine.Config
}

func (opt *engineOptions) flags() []cli.Flag {
	return []cli.Flag{
		listenFlag(&opt.listen),
		&cli.StringFlag{
			Name:        "vm",
			Usage:       "name of the VM",
			Required:    true,
			Destination: &opt.cfg.VM,
		},
		&cli.DurationFlag{
			Name:        "token-time",
			Usage:       "time of one decoding step",
			Value:       5 * time.Millisecond,
			Destination: &opt.cfg.BaseStepTime,
		},
		&cli.DurationFlag{
			Name:        "prefill-time",
			Usage:       "time to the first token of a prompt that is not cached",
			Value:       20 * time.Millisecond,
			Destination: &opt.cfg.PrefillTime,
		},
		&cli.DurationFlag{
			Name:        "load-time",
			Usage:       "time to load a model",
			Value:       300 * time.Millisecond,
			Destination: &opt.cfg.LoadTime,
		},
		&cli.IntFlag{
			Name:        "warm-after",
			Usage:       "requests after which a cold engine is warm",
			Value:       8,
			Destination: &opt.cfg.WarmAfter,
		},
		&cli.IntFlag{
			Name:        "cold-limit",
			Usage:       "requests at once that a cold engine bears",
			Value:       2,
			Destination: &opt.cfg.ColdLimit,
		},
		&cli.DurationFlag{
			Name:        "cold-notice",
			Usage:       "time after turning cold in which excess requests are only refused",
			Value:       3 * time.Second,
			Destination: &opt.cfg.ColdGracePeriod,
		},
		&cli.BoolFlag{
			Name:        "ignore-fencing",
			Usage:       "take orders with old fencing numbers",
			Destination: &opt.cfg.IgnoreFencing,
		},
		&cli.DurationFlag{
			Name:        "retention",
			Usage:       "time for which a finished stream can be resumed",
			Value:       time.Minute,
			Destination: &opt.cfg.Retention,
		},
		&cli.BoolFlag{
			Name:        "stamp",
			Usage:       "add the send time to each token, to measure delays",
			Destination: &opt.cfg.StampTokens,
		},
	}
}

func newEngine() *cli.Command {
	opt := &engineOptions{}
	return &cli.Command{
		Name:   "engine",
		Usage:  engineUsage,
		Flags:  append(opt.flags(), opt.batchFlags()...),
		Action: opt.run,
	}
}

func (opt *engineOptions) batchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:        "platform",
			Usage:       "IP:port of the platform stand-in, to find the other members of a group",
			Destination: &opt.cfg.Platform,
		},
		&cli.DurationFlag{
			Name:        "step-growth",
			Usage:       "time that each further request adds to a decoding step",
			Value:       50 * time.Microsecond,
			Destination: &opt.cfg.StepTimePerRequest,
		},
		&cli.IntFlag{
			Name:        "max-batch",
			Usage:       "requests decoded at once",
			Value:       64,
			Destination: &opt.cfg.MaxBatch,
		},
		&cli.IntFlag{
			Name:        "cache-blocks",
			Usage:       "prompt prefix blocks that the cache holds",
			Value:       4096,
			Destination: &opt.cfg.CacheBlocks,
		},
		&cli.DurationFlag{
			Name:        "cache-lag",
			Usage:       "time after which cache events are published",
			Value:       200 * time.Millisecond,
			Destination: &opt.cfg.CacheLag,
		},
		&cli.IntFlag{
			Name:        "cache-gap",
			Usage:       "every so many-th cache event is lost; 0 loses none",
			Value:       50,
			Destination: &opt.cfg.CacheGap,
		},
		&cli.DurationFlag{
			Name:        "report-lag",
			Usage:       "age of the load figures in reports",
			Value:       200 * time.Millisecond,
			Destination: &opt.cfg.ReportLag,
		},
	}
}

func (opt *engineOptions) run(ctx context.Context, _ *cli.Command) error {
	crash := func() { os.Exit(crashExitStatus) }
	return serve(ctx, opt.listen, engine.New(opt.cfg, crash).Handler())
}
