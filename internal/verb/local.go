package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/entry"
	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/operator"
	"github.com/cumintally/cumintally/internal/settings"
	"github.com/cumintally/cumintally/internal/standin/embedded"
)

const localUsage = "run one entry VM with stand-ins of everything else in one process, for a first look"

const localHelp = `Starts a platform, 9 engines and a service inside this process, promotes a small document,
and prints how to call it. Ends with SIGTERM or SIGINT.`

// Keys of the local environment. They may be public, since it listens on loopback addresses only.
const (
	localOperatorKey = "operators-key-of-the-example"
	localPeerKey     = "peers-key-of-the-example"
)

type localOptions struct {
	client      operatorClient
	environment []string
}

func newLocal() *cli.Command {
	opt := &localOptions{}
	return &cli.Command{
		Name:        "local",
		Usage:       localUsage,
		Description: localHelp,
		Action:      opt.run,
	}
}

func (opt *localOptions) run(ctx context.Context, cmd *cli.Command) error {
	env, err := embedded.New()
	if err != nil {
		return errors.Trace(err)
	}
	defer env.Close()
	opt.environment = []string{
		"CUMINTALLY_ENTRY_NAME=entry-1",
		"CUMINTALLY_ENTRY_AVAILABILITYZONE=" + embedded.Zone,
		"CUMINTALLY_PLATFORM_ADDRESS=" + env.Platform,
		"CUMINTALLY_PEERS_KEY=" + localPeerKey,
		"CUMINTALLY_OPERATORS_KEY=" + localOperatorKey,
		"CUMINTALLY_LOG_LEVEL=warn",
	}
	set, err := settings.New("", opt.environment)
	if err != nil {
		return errors.Trace(err)
	}
	env.AddEntryVM(set.Entry.Name, set.Listen.Peers)
	opt.client = operatorClient{
		address: set.Listen.Operators,
		key:     localOperatorKey,
	}
	log, flush, err := newLogger(set.Log.Level, os.Stderr)
	if err != nil {
		return errors.Trace(err)
	}
	defer flush()
	ent, err := entry.New(set, log)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		if err := opt.promote(ctx); err != nil {
			fmt.Fprintln(cmd.Root().ErrWriter, "cumintally:", err)
			stop()
			return
		}
		printLocalUsage(cmd.Root().Writer, set)
	}()
	return ent.Run(ctx)
}

// promote runs the trial of the embedded document until it passes, then promotes the document.
func (opt *localOptions) promote(ctx context.Context) error {
	var trl generation.Trial
	for {
		rsp, err := opt.client.call(ctx, http.MethodPost, "/config/try", embedded.Document)
		if err == nil {
			err = json.Unmarshal(rsp, &trl)
		}
		if err == nil && trl.Passed {
			break
		}
		// The daemon does not listen yet or has not read the list of VMs yet.
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
	body, err := json.Marshal(operator.Promotion{
		Digest: trl.Digest,
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = opt.client.call(ctx, http.MethodPost, "/config/promote", body)
	return errors.Trace(err)
}

func printLocalUsage(out io.Writer, set *settings.Settings) {
	fmt.Fprintf(out, `The groups load their model and serve in a few seconds. Try:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"lap-recipes","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Draft a lap recipe"}]}'
  curl http://%[1]s/services/jobs/bookings -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: first' -d '{"Reference":"blank-17"}'
  cumintally status --operator %[2]s --operator-key %[4]s
  cumintally report burn --operator %[2]s --operator-key %[4]s
`, set.Listen.Callers, set.Listen.Operators, embedded.CallerKey, localOperatorKey)
}
