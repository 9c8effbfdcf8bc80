package exposition

import (
	"net/http"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "cumintally_"

// Exposition serves the metrics of a daemon.
type Exposition struct {
	met metrics.Registry
}

// New returns a handler that writes the metrics of a registry.
func New(met metrics.Registry) *Exposition {
	return &Exposition{
		met: met,
	}
}

// ServeHTTP writes the registry in the text format that monitoring systems scrape.
func (exp *Exposition) ServeHTTP(rsw http.ResponseWriter, _ *http.Request) {
	var fams []*dto.MetricFamily
	exp.met.Each(func(name string, val any) {
		if fam := family(metricPrefix+metricName(name), val); fam != nil {
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

// metricName drops what the text format does not allow in a name.
func metricName(name string) string {
	return strings.ReplaceAll(name, " ", "")
}

func family(name string, val any) *dto.MetricFamily {
	switch met := val.(type) {
	case metrics.Counter:
		return single(name, dto.MetricType_COUNTER, &dto.Metric{
			Counter: &dto.Counter{
				Value: pointer(float64(met.Count())),
			},
		})
	case metrics.Gauge:
		return single(name, dto.MetricType_GAUGE, gauge(float64(met.Value())))
	case metrics.GaugeFloat64:
		return single(name, dto.MetricType_GAUGE, gauge(met.Value()))
	case metrics.Histogram:
		return single(name, dto.MetricType_SUMMARY, summary(met))
	default:
		return nil
	}
}

func single(name string, typ dto.MetricType, met *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{
		Name:   &name,
		Type:   &typ,
		Metric: []*dto.Metric{met},
	}
}

func gauge(val float64) *dto.Metric {
	return &dto.Metric{
		Gauge: &dto.Gauge{
			Value: &val,
		},
	}
}

func summary(met metrics.Histogram) *dto.Metric {
	snp := met.Snapshot()
	sum := &dto.Summary{
		SampleCount: pointer(uint64(snp.Count())),
		SampleSum:   pointer(float64(snp.Sum())),
	}
	for _, qnt := range []float64{0.5, 0.95, 0.99} {
		sum.Quantile = append(sum.Quantile, &dto.Quantile{
			Quantile: pointer(qnt),
			Value:    pointer(snp.Percentile(qnt)),
		})
	}
	return &dto.Metric{
		Summary: sum,
	}
}

func pointer[T any](val T) *T {
	return &val
}
