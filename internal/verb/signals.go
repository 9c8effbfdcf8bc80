package verb

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signals are the signals that a daemon receives. They are caught until the process has exited, since the default action of each
// would end it with requests in progress.
type signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// catchSignals must be called before anything that takes time: until then a signal ends the process.
func catchSignals() *signals {
	sgn := &signals{
		stops:   make(chan os.Signal, 1),
		hangups: make(chan os.Signal, 1),
	}
	signal.Notify(sgn.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(sgn.hangups, syscall.SIGHUP)
	return sgn
}

// handle calls act for each signal received, until ctx ends.
func handle(ctx context.Context, received <-chan os.Signal, log *zap.Logger, act func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-received:
			log.Info("received a signal", zap.Stringer("signal", sig))
			act()
		}
	}
}
