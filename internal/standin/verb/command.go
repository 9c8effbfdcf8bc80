package verb

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// subcommands holds the constructors of all subcommands; a new subcommand is added here.
var subcommands = []func() *cli.Command{
	newPlatform,
	newEngine,
	newService,
	newLink,
	newRun,
	newCapacity,
	newLoad,
	newBenchRelay,
	newBenchPolicy,
	newEmulate,
	newBenchPrompts,
}

// New returns the cumintally-standin command with all of its subcommands.
func New() *cli.Command {
	cmd := &cli.Command{
		Name:  "cumintally-standin",
		Usage: "stand-ins of the outside systems, for tests and measurement only",
	}
	for _, sub := range subcommands {
		cmd.Commands = append(cmd.Commands, sub())
	}
	return cmd
}

// serve serves HTTP on adr until ctx ends or the process receives SIGTERM or SIGINT.
func serve(ctx context.Context, adr string, hnd http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lst, err := net.Listen("tcp", adr)
	if err != nil {
		return errors.Trace(err)
	}
	srv := &http.Server{
		Handler:           hnd,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(lst); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

func listenFlag(dst *string) cli.Flag {
	return &cli.StringFlag{
		Name:        "listen",
		Usage:       "IP:port to listen on",
		Required:    true,
		Destination: dst,
	}
}

func binariesFlag(dst *string) cli.Flag {
	return &cli.StringFlag{
		Name:        "binaries",
		Usage:       "folder of the programs",
		Value:       "bin",
		Destination: dst,
	}
}
