package verb

import (
	"context"
	"io"
	"os"
	"reflect"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cumintally/cumintally/internal/entry"
	"github.com/cumintally/cumintally/internal/logging"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/site"
)

const entryUsage = "run the daemon of an entry VM"

const entryHelp = `Runs until it gets SIGTERM or SIGINT, then refuses new requests, lets those in
progress finish, and exits.`

type entryOptions struct {
	settingsPath string
}

func (opt *entryOptions) flags() []cli.Flag {
	return []cli.Flag{
		settingsFlag(&opt.settingsPath),
	}
}

func newEntry() *cli.Command {
	opt := &entryOptions{}
	return &cli.Command{
		Name:        "entry",
		Usage:       entryUsage,
		Description: entryHelp,
		Flags:       opt.flags(),
		Action:      opt.run,
	}
}

func (opt *entryOptions) run(ctx context.Context, _ *cli.Command) error {
	sgn := catchSignals()
	set, err := settings.New(opt.settingsPath, os.Environ())
	if err != nil {
		return errors.Trace(err)
	}
	log, flush, err := newLogger(set.Log.Level, os.Stdout)
	if err != nil {
		return errors.Trace(err)
	}
	defer flush()
	log = log.With(zap.String("entry", set.Entry.Name))
	run, err := newDaemon(set, log)
	if err != nil {
		return errors.Trace(err)
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended, end := context.WithCancel(ctx)
	defer end()
	go handle(ended, sgn.stops, log, stop)
	go handle(ended, sgn.hangups, log, func() { opt.checkSettings(set, log) })
	return run(running)
}

// newDaemon creates the daemon for the protocol of the platform and returns its Run method.
func newDaemon(set *settings.Settings, log *zap.Logger) (func(ctx context.Context) error, error) {
	if set.Site.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(set.Site.MemoryLimit * memoryLimitShare * (1 << 20)))
	}
	if set.Platform.Protocol == settings.ProtocolMachines {
		ste, err := site.New(set, log, site.Dial)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return ste.Run, nil
	}
	ent, err := entry.New(set, log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return ent.Run, nil
}

// memoryLimitShare is the share of the process's memory limit that is set as the memory limit of the Go runtime.
// Near it the garbage collector runs more often. The rest is left for stacks and for what the kernel holds for
// the process.
const memoryLimitShare = 0.7

// checkSettings reads and validates the settings again and logs whether they differ from set, those in force. It applies none of
// them: a change takes effect at the next restart.
func (opt *entryOptions) checkSettings(set *settings.Settings, log *zap.Logger) {
	next, err := settings.New(opt.settingsPath, os.Environ())
	if err != nil {
		log.Error("the new settings are invalid; the previous settings stay in force", zap.Error(err))
		return
	}
	log.Info("checked the settings again", zap.Bool("needsRestart", !reflect.DeepEqual(next, set)))
}

// newLogger returns a logger that writes JSON lines to out, and a function that writes the buffered lines and
// closes the logger.
func newLogger(level string, out io.Writer) (*zap.Logger, func(), error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	snk := logging.New(out)
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(enc, snk, lvl)), snk.Close, nil
}

func settingsFlag(path *string) cli.Flag {
	return &cli.StringFlag{
		Name:        "settings",
		Usage:       "INI file with the daemon's settings",
		Destination: path,
	}
}
