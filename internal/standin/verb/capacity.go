package verb

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cumintally/cumintally/internal/standin/capacity"
)

const capacityUsage = "measure what control costs a daemon at several sizes of a zone"

// measuredSizes are the zone sizes to measure. The number of daemons and the number of VMs vary
// independently, so that a function of both can be fitted.
var measuredSizes = []capacity.Size{
	{
		Daemons: 2,
		VMs:     16,
	},
	{
		Daemons: 8,
		VMs:     16,
	},
	{
		Daemons: 8,
		VMs:     64,
	},
	{
		Daemons: 8,
		VMs:     192,
	},
	{
		Daemons: 24,
		VMs:     64,
	},
	{
		Daemons: 48,
		VMs:     64,
	},
	{
		Daemons: 24,
		VMs:     192,
	},
}

// targetSizes are the sizes of one zone at the target scale, for which the fitted functions are evaluated:
// 59 daemons in front of 98 VMs or of 394 VMs.
var targetSizes = []capacity.Size{
	{
		Daemons: 59,
		VMs:     98,
	},
	{
		Daemons: 59,
		VMs:     394,
	},
}

// fittedValues are the measured values to which a linear function of the zone size is fitted.
var fittedValues = []struct {
	name  string
	value func(capacity.Point) float64
}{
	{
		name:  "cores a daemon",
		value: func(pnt capacity.Point) float64 { return pnt.MeanCores },
	},
	{
		name:  "resident MB",
		value: func(pnt capacity.Point) float64 { return pnt.MaxResidentBytes / 1e6 },
	},
	{
		name:  "peer B/s a daemon",
		value: func(pnt capacity.Point) float64 { return pnt.MeanPeerBytesPerSecond },
	},
	{
		name:  "platform calls/s",
		value: func(pnt capacity.Point) float64 { return pnt.PlatformCalls },
	},
}

type capacityOptions struct {
	binaries string
	settle   time.Duration
	duration time.Duration
}

func newCapacity() *cli.Command {
	opt := &capacityOptions{}
	return &cli.Command{
		Name:  "capacity",
		Usage: capacityUsage,
		Flags: []cli.Flag{
			binariesFlag(&opt.binaries),
			&cli.DurationFlag{
				Name:        "settle",
				Usage:       "time before each measurement",
				Value:       4 * time.Second,
				Destination: &opt.settle,
			},
			&cli.DurationFlag{
				Name:        "duration",
				Usage:       "time of each measurement",
				Value:       8 * time.Second,
				Destination: &opt.duration,
			},
		},
		Action: opt.run,
	}
}

func (opt *capacityOptions) run(ctx context.Context, cmd *cli.Command) error {
	out := cmd.Root().Writer
	mea := capacity.New(opt.binaries, opt.settle, opt.duration)
	var pnts []capacity.Point
	fmt.Fprintln(out, "daemons   VMs   cores  max cores  resident MB  peer B/s  max peer B/s  platform calls/s")
	for _, siz := range measuredSizes {
		lim, cancel := context.WithTimeout(ctx, 2*time.Minute)
		pnt, err := mea.Measure(lim, siz)
		cancel()
		if err != nil {
			return errors.Annotatef(err, "%d daemons, %d VMs", siz.Daemons, siz.VMs)
		}
		pnts = append(pnts, pnt)
		fmt.Fprintf(out, "%7d %5d %7.4f %10.4f %12.1f %9.0f %13.0f %17.1f\n",
			pnt.Daemons, pnt.VMs, pnt.MeanCores, pnt.MaxCores, pnt.MaxResidentBytes/1e6, pnt.MeanPeerBytesPerSecond, pnt.MaxPeerBytesPerSecond, pnt.PlatformCalls)
	}
	return printFits(out, pnts)
}

// printFits fits a linear function to each measured value and prints it with its values at the target sizes.
func printFits(out io.Writer, pnts []capacity.Point) error {
	for _, val := range fittedValues {
		fit, err := capacity.NewFit(pnts, val.value)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintf(out, "%-18s = %.4g + %.4g x daemons + %.4g x VMs + %.4g x VMs a daemon",
			val.name, fit.Base, fit.PerDaemon, fit.PerVM, fit.PerProbe)
		for _, siz := range targetSizes {
			fmt.Fprintf(out, "; %d daemons, %d VMs: %.4g", siz.Daemons, siz.VMs, fit.At(siz))
		}
		fmt.Fprintln(out)
	}
	return nil
}
