package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config holds the settings of a platform stand-in that do not change while it runs.
type Config struct {
	// ReadRate and WriteRate are the calls per second above which calls are rejected with status 429; 0 sets no limit.
	// A pending watch counts as one read.
	ReadRate  float64
	WriteRate float64
	// VMLag is the age of the list of VMs.
	VMLag time.Duration
}

// Faults are the faults that can be injected into the platform stand-in.
type Faults struct {
	// Out rejects every call with status 503 and breaks pending watches.
	Out bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// AnswerDelay delays the response to a write after the write took effect.
	AnswerDelay time.Duration
	// LoseAnswers is the number of next writes that take effect and whose connections are then broken.
	LoseAnswers int
	// LoseWrites is the number of next writes whose connections are broken before they take effect.
	LoseWrites int
	// LoseShare is the fraction of writes, from 0 to 1, that take effect and whose connections are then broken.
	LoseShare float64
	// ReadRate and WriteRate replace the configured limits if they are above 0.
	ReadRate  float64
	WriteRate float64
	// VMLag replaces the configured age of the list of VMs if it is above 0.
	VMLag time.Duration
}

// setFaults applies the faults that are not read at each call: the counts of writes to lose, the rate limits and the
// start of an outage.
func (plt *Platform) setFaults(flt Faults) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.remaining = flt
	setLimit(plt.reads, plt.config.ReadRate, flt.ReadRate)
	setLimit(plt.writes, plt.config.WriteRate, flt.WriteRate)
	if flt.Out {
		close(plt.outage)
		plt.outage = make(chan struct{})
	}
}

// setLimit sets the rate of a limiter, with bursts of up to the calls of one second.
func setLimit(lim *rate.Limiter, configured, faulty float64) {
	persec := configured
	if faulty > 0 {
		persec = faulty
	}
	if persec == 0 {
		lim.SetLimit(rate.Inf)
		return
	}
	lim.SetLimit(rate.Limit(persec))
	lim.SetBurst(max(1, int(persec)))
}

// admit counts a call, and rejects or delays it according to the faults and rate limits.
func (plt *Platform) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		plt.callCounter.countCall(req)
		flt := plt.faults.Get()
		if flt.Out {
			plt.callCounter.countRejected(http.StatusServiceUnavailable)
			http.Error(rsw, "the platform is unavailable: fault Out is set", http.StatusServiceUnavailable)
			return
		}
		lim := plt.writes
		if req.Method == http.MethodGet {
			lim = plt.reads
		}
		if !lim.Allow() {
			plt.callCounter.countRejected(http.StatusTooManyRequests)
			http.Error(rsw, "the call exceeds the rate limit of its kind (reads or writes)", http.StatusTooManyRequests)
			return
		}
		// A call that its client cancelled during the delay does not take effect.
		if !sleep(req.Context(), flt.Delay) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rsw, req)
	})
}

// sleep waits for a duration. It returns false if ctx is done first.
func sleep(ctx context.Context, dur time.Duration) bool {
	if dur == 0 {
		return true
	}
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}

// loseWrite breaks the connection of a write before it takes effect, while LoseWrites is not used up.
func (plt *Platform) loseWrite() {
	plt.mu.Lock()
	lose := plt.remaining.LoseWrites > 0
	plt.remaining.LoseWrites--
	plt.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// loseResponse delays the response to a write that took effect, or breaks its connection.
func (plt *Platform) loseResponse(req *http.Request) {
	flt := plt.faults.Get()
	plt.mu.Lock()
	lose := plt.remaining.LoseAnswers > 0
	plt.remaining.LoseAnswers--
	plt.mu.Unlock()
	if lose || rand.Float64() < flt.LoseShare || !sleep(req.Context(), flt.AnswerDelay) {
		panic(http.ErrAbortHandler)
	}
}

// Calls are the numbers of calls to the platform, including rejected ones.
type Calls struct {
	Reads  int64
	Writes int64
	// Watches are also counted in Reads.
	Watches int64
	// RateLimited and Unavailable are the calls rejected with status 429 and 503.
	RateLimited int64
	Unavailable int64
	// ByKind holds the numbers of calls by method and kind of object, such as "PUT Lease" or "GET vms".
	ByKind map[string]int64
}

// counter counts calls.
type counter struct {
	mu    sync.Mutex
	calls Calls
}

func newCounter() *counter {
	return &counter{
		calls: Calls{
			ByKind: map[string]int64{},
		},
	}
}

func (cnt *counter) countCall(req *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/objects/"), "/")
	if req.URL.Path == "/vms" {
		kind = "vms"
	}
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	method := req.Method
	if method == http.MethodGet {
		cnt.calls.Reads++
	} else {
		cnt.calls.Writes++
	}
	if req.URL.Query().Get("watch") != "" {
		cnt.calls.Watches++
		method = "WATCH"
	}
	cnt.calls.ByKind[method+" "+kind]++
}

func (cnt *counter) countRejected(status int) {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	if status == http.StatusTooManyRequests {
		cnt.calls.RateLimited++
		return
	}
	cnt.calls.Unavailable++
}

func (cnt *counter) snapshot() Calls {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	cls := cnt.calls
	cls.ByKind = map[string]int64{}
	for kind, num := range cnt.calls.ByKind {
		cls.ByKind[kind] = num
	}
	return cls
}
