package exposition

import (
	"net/http"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "cumintally_"

// Handler serves the metrics of a registry.
type Handler struct {
	met metrics.Registry
}

// New returns a handler that serves the metrics of a registry.
func New(met metrics.Registry) *Handler {
	return &Handler{
		met: met,
	}
}

// ServeHTTP writes the metrics in the Prometheus text format, ordered by name.
func (hnd *Handler) ServeHTTP(rsw http.ResponseWriter, _ *http.Request) {
	var fams []*dto.MetricFamily
	hnd.met.Each(func(name string, val any) {
		if fam := metricFamily(metricPrefix+metricName(name), val); fam != nil {
			fams = append(fams, fam)
		}
	})
	sort.Slice(fams, func(fst, snd int) bool { return fams[fst].GetName() < fams[snd].GetName() })
	rsw.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	for _, fam := range fams {
		if _, err := expfmt.MetricFamilyToText(rsw, fam); err != nil {
			return
		}
	}
}

// metricName removes spaces, which the text format does not allow in a name.
func metricName(name string) string {
	return strings.ReplaceAll(name, " ", "")
}

// metricFamily converts a metric of the registry; it returns nil for types that are not exposed.
func metricFamily(name string, val any) *dto.MetricFamily {
	switch met := val.(type) {
	case metrics.Counter:
		return singleFamily(name, dto.MetricType_COUNTER, &dto.Metric{
			Counter: &dto.Counter{
				Value: pointerTo(float64(met.Count())),
			},
		})
	case metrics.Gauge:
		return singleFamily(name, dto.MetricType_GAUGE, gaugeMetric(float64(met.Value())))
	case metrics.GaugeFloat64:
		return singleFamily(name, dto.MetricType_GAUGE, gaugeMetric(met.Value()))
	case metrics.Histogram:
		return singleFamily(name, dto.MetricType_SUMMARY, summaryMetric(met))
	default:
		return nil
	}
}

func singleFamily(name string, typ dto.MetricType, met *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{
		Name:   &name,
		Type:   &typ,
		Metric: []*dto.Metric{met},
	}
}

func gaugeMetric(val float64) *dto.Metric {
	return &dto.Metric{
		Gauge: &dto.Gauge{
			Value: &val,
		},
	}
}

func summaryMetric(met metrics.Histogram) *dto.Metric {
	snp := met.Snapshot()
	sum := &dto.Summary{
		SampleCount: pointerTo(uint64(snp.Count())),
		SampleSum:   pointerTo(float64(snp.Sum())),
	}
	for _, qnt := range []float64{0.5, 0.95, 0.99} {
		sum.Quantile = append(sum.Quantile, &dto.Quantile{
			Quantile: pointerTo(qnt),
			Value:    pointerTo(snp.Percentile(qnt)),
		})
	}
	return &dto.Metric{
		Summary: sum,
	}
}

func pointerTo[T any](val T) *T {
	return &val
}
