package edgelimits

import (
	"syscall"

	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/callermemory"
	"github.com/cumintally/cumintally/internal/listening"
	"github.com/cumintally/cumintally/internal/settings"
)

// callersDescriptors is the share of the process's descriptors for callers' connections. The others are the reserve for servers, one
// for each request in progress, for peers and for the store.
const callersDescriptors = 0.5

// NewBudget returns the budget for the memory of callers' requests.
func NewBudget(set *settings.Settings, met metrics.Registry, clk clockwork.Clock, log *zap.Logger) *callermemory.Budget {
	size := set.MemoryBudgetBytes()
	cfg := callermemory.Config{
		Limit:       size,
		CallerShare: size * int64(set.Requests.CallerPercent) / 100,
	}
	return callermemory.New(cfg, met, clk, log)
}

// NewGuard returns the guard of the listener for callers.
func NewGuard(set *settings.Settings, bud *callermemory.Budget, met metrics.Registry, clk clockwork.Clock, log *zap.Logger) *listening.Guard {
	cfg := listening.GuardConfig{
		MaxConnections: maxConnections(set.Requests.MaxConnections),
		SocketBuffer:   set.Requests.SocketBuffer,
		MaxUnread:      set.MaxUnreadBytes(),
		WriteTimeout:   set.Requests.WriteTimeout,
	}
	return listening.NewGuard(cfg, bud, met, clk, log)
}

// maxConnections returns the number that was set, or one derived from the limit of descriptors if that is 0.
func maxConnections(set int) int {
	if set > 0 {
		return set
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil || lim.Cur > 1<<20 {
		return 1 << 19
	}
	return int(float64(lim.Cur) * callersDescriptors)
}
