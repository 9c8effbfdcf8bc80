package promptload

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
)

// Compare measures each mode at two loads, with engines that retain every prompt and with engines that evict, and writes
// the figures as a table.
func Compare(ctx context.Context, duration time.Duration, seed uint64, out io.Writer) error {
	const format = "%-10s %8s  %-20s %9s %7s %8s %12s %12s %12s\n"
	if _, err := fmt.Fprintf(out, format, "cache", "rate/s", "estimate", "requests", "failed", "cached", "first p50", "first p95", "busiest"); err != nil {
		return errors.Trace(err)
	}
	for _, cache := range []struct {
		name   string
		blocks int
	}{
		// All 64 documents of 32 blocks need 2,048 blocks, an even share of them 256.
		{name: "retains", blocks: 1 << 14},
		{name: "evicts", blocks: 512},
	} {
		for _, rate := range []float64{15, 40} {
			for _, mode := range []Mode{Off, Aging, Capacity, Reports} {
				res, err := Measure(ctx, Config{
					Mode:              mode,
					Engines:           8,
					Daemons:           4,
					Documents:         64,
					CacheBlocks:       cache.blocks,
					RequestsPerSecond: rate,
					Duration:          duration,
					Seed:              seed,
				})
				if err != nil {
					return errors.Trace(err)
				}
				_, err = fmt.Fprintf(out, format, cache.name, fmt.Sprintf("%.0f", rate), mode, fmt.Sprint(res.Requests), fmt.Sprint(res.Failed),
					fmt.Sprintf("%.3f", res.CachedShare), res.Percentile(0.5).Round(time.Millisecond), res.Percentile(0.95).Round(time.Millisecond),
					fmt.Sprintf("%.3f", res.BusiestShare))
				if err != nil {
					return errors.Trace(err)
				}
			}
		}
	}
	return nil
}
