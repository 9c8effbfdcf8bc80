package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteText writes the report as plain text for a terminal.
func (rep Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "burn report of %s, generation %d\n", rep.Time.UTC().Format(time.RFC3339), rep.Generation)
	for _, name := range rep.Unreachable {
		fmt.Fprintf(out, "no answer from %s: its counts are missing\n", name)
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "level\tmodel\tworkspace\tzone\tobjective\tburn 5m\tburn 1h\tgood 1h\tbad 1h")
	for _, lin := range rep.Lines {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%.4g\t%.2f\t%.2f\t%d\t%d\n",
			lin.Key.Level, lin.Key.Model, lin.Key.Workspace, lin.Key.AvailabilityZone,
			lin.Objective, lin.Short.Rate, lin.Long.Rate, lin.Long.Good, lin.Long.Bad)
	}
	return errors.Trace(tab.Flush())
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// chart is one line of the report with its plot.
type chart struct {
	Line Line
	SVG  template.HTML
}

// WritePage writes the report as one HTML page with a plot for each line.
func (rep Report) WritePage(out io.Writer) error {
	var chts []chart
	for _, lin := range rep.Lines {
		svg, err := lin.plot(rep.Time)
		if err != nil {
			return errors.Trace(err)
		}
		chts = append(chts, chart{
			Line: lin,
			// The plotting library generates the SVG from numbers only, so it contains no text of a caller.
			SVG: template.HTML(svg), //nolint:gosec // See above.
		})
	}
	return errors.Trace(pageTemplate.Execute(out, struct {
		Report Report
		Charts []chart
	}{
		Report: rep,
		Charts: chts,
	}))
}

// plot returns an SVG plot of the burn rate in each minute of the last hour.
func (lin Line) plot(now time.Time) (string, error) {
	var pts plotter.XYs
	for idx, rate := range lin.Minutes {
		if rate >= 0 {
			pts = append(pts, plotter.XY{
				X: float64(idx - len(lin.Minutes) + 1),
				Y: rate,
			})
		}
	}
	plt := plot.New()
	plt.X.Label.Text = "minutes before " + now.UTC().Format("15:04")
	plt.Y.Label.Text = "burn rate"
	plt.X.Min = float64(1 - len(lin.Minutes))
	plt.X.Max = 0
	plt.Y.Min = 0
	plt.Y.Max = 2
	grd := plotter.NewGrid()
	plt.Add(grd)
	lns, dots, err := plotter.NewLinePoints(pts)
	if err != nil {
		return "", errors.Trace(err)
	}
	plt.Add(lns, dots)
	wrt, err := plt.WriterTo(14*vg.Centimeter, 5*vg.Centimeter, "svg")
	if err != nil {
		return "", errors.Trace(err)
	}
	var buf bytes.Buffer
	if _, err := wrt.WriteTo(&buf); err != nil {
		return "", errors.Trace(err)
	}
	// An HTML page must not contain the XML declaration.
	_, svg, _ := bytes.Cut(buf.Bytes(), []byte("<svg"))
	return "<svg" + string(svg), nil
}
