package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// clockTick is the unit of CPU times in /proc, which is the same on every Linux that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is the CPU time that a process has used since it started, and the memory and descriptors that it uses now.
type Usage struct {
	// CPUTime is the CPU time in user and kernel mode.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Usage reads the resource usage of the process from /proc.
func (prc *Process) Usage() (Usage, error) {
	prc.mu.Lock()
	pid := prc.command.Process.Pid
	prc.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	// The fields after the command name in parentheses begin with the third field of the line.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 22 {
		return Usage{}, errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	pages, errPages := strconv.ParseInt(fields[21], 10, 64)
	if errUser != nil || errSystem != nil || errPages != nil {
		return Usage{}, errors.Errorf("/proc/%d/stat is malformed", pid)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	return Usage{
		Descriptors:   len(open),
		CPUTime:       time.Duration(user+system) * clockTick,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}

// Metrics returns the values of the daemon's counters and gauges by metric name. Of a metric with labels it keeps
// only one series.
func Metrics(ctx context.Context, ent *Entry) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Operators+"/metrics", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer res.Body.Close()
	psr := expfmt.NewTextParser(model.LegacyValidation)
	fams, err := psr.TextToMetricFamilies(res.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	vals := map[string]float64{}
	for name, fam := range fams {
		for _, met := range fam.GetMetric() {
			switch fam.GetType() {
			case dto.MetricType_COUNTER:
				vals[name] = met.GetCounter().GetValue()
			case dto.MetricType_GAUGE:
				vals[name] = met.GetGauge().GetValue()
			}
		}
	}
	return vals, nil
}
