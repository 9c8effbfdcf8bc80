package bookings_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/standin/fleet"
	"github.com/cumintally/cumintally/internal/standin/platform"
)

var measure = flag.Duration("measure", 0, "time for which each rate of keyed calls is measured; 0 skips the measurement")

// platformDelay is the response time of the platform during the measurement.
const platformDelay = 3 * time.Millisecond

// TestMeasure prints the number of platform calls and the latency of keyed calls at several rates, with and
// without batching. With 4096 buckets almost every key has a bucket of its own, so that writes are not batched.
func TestMeasure(t *testing.T) {
	if *measure == 0 {
		t.Skip("skipped without -measure; see make bench-bookings")
	}
	callerClient = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
		},
	}
	fmt.Println("buckets  batch  calls/s  calls  created  writes/s  reads/s  conflicts  platform calls per call  p50      p95      p99")
	for _, cfg := range []struct{ buckets, batch string }{
		{"4096", "0s"},
		{"32", "0s"},
		{"32", "50ms"},
		{"32", "100ms"},
		{"16", "50ms"},
		{"16", "100ms"},
	} {
		ctx, flt := start(t, 6, 10*time.Minute, append(os.Environ(), "CUMINTALLY_BOOKINGS_BUCKETS="+cfg.buckets, "CUMINTALLY_BOOKINGS_BATCHTIME="+cfg.batch)...)
		for _, ent := range flt.Entries {
			waitReady(ctx, t, ent)
		}
		qt.Assert(t, flt.SetFaults(ctx, flt.Platform, platform.Faults{Delay: platformDelay}), qt.IsNil)
		time.Sleep(2 * time.Second)
		for _, rate := range []int{1, 10, 100, 500} {
			measureRate(ctx, t, flt, cfg.buckets, cfg.batch, rate)
		}
		flt.Kill()
	}
}

func measureRate(ctx context.Context, t *testing.T, flt *fleet.Fleet, buckets, batch string, rate int) {
	before := readMetrics(ctx, t, flt)
	var mu sync.Mutex
	var times []time.Duration
	created := 0
	var wgr sync.WaitGroup
	began := time.Now()
	num := max(5, int(measure.Seconds()*float64(rate)))
	for idx := range num {
		time.Sleep(time.Until(began.Add(time.Duration(idx) * time.Second / time.Duration(rate))))
		ent := flt.Entries[rand.IntN(len(flt.Entries))]
		wgr.Go(func() {
			bkg := &booking{
				reference: fmt.Sprintf("measured-%s-%s-%d-%d", buckets, batch, rate, idx),
				key:       fmt.Sprintf("measured-%d-%d", rate, idx),
			}
			sent := time.Now()
			att := bkg.request(ctx, ent)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(sent))
			if att.status == http.StatusCreated {
				created++
			}
		})
	}
	wgr.Wait()
	took := time.Since(began).Seconds()
	after := readMetrics(ctx, t, flt)
	diff := func(name string) float64 { return after[name] - before[name] }
	slices.Sort(times)
	quantile := func(share float64) time.Duration {
		return times[min(len(times)-1, int(share*float64(len(times))))].Round(100 * time.Microsecond)
	}
	fmt.Printf("%-8s %-6s %-8d %-6d %-8d %-9.1f %-8.1f %-10.0f %-24.2f %-8v %-8v %v\n", buckets, batch, rate, num, created,
		diff("BookingWrites")/took, diff("BookingReads")/took, diff("BookingConflicts"),
		(diff("BookingWrites")+diff("BookingReads"))/float64(num), quantile(0.5), quantile(0.95), quantile(0.99))
}

// readMetrics returns the booking counters, summed over all daemons.
func readMetrics(ctx context.Context, t *testing.T, flt *fleet.Fleet) map[string]float64 {
	t.Helper()
	sums := map[string]float64{}
	for _, ent := range flt.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.Operators+"/metrics", nil)
		qt.Assert(t, err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
		res, err := http.DefaultClient.Do(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.StatusCode, qt.Equals, http.StatusOK)
		scn := bufio.NewScanner(res.Body)
		for scn.Scan() {
			name, val, _ := strings.Cut(strings.TrimPrefix(scn.Text(), "cumintally_"), " ")
			if num, err := strconv.ParseFloat(val, 64); err == nil && strings.HasPrefix(name, "Booking") {
				sums[name] += num
			}
		}
		res.Body.Close()
	}
	return sums
}
