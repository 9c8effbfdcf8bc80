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

// Config is the fixed behaviour of a platform stand-in.
type Config struct {
	// ReadRate and WriteRate are the calls a second above which a call is refused with 429; 0 is no limit.
	// A pending watch counts as one read.
	ReadRate  float64
	WriteRate float64
	// VMLag is the age of the list of VMs.
	VMLag time.Duration
}

// Faults are the faults that the platform stand-in can show.
type Faults struct {
	// Out refuses every call with 503 and breaks pending watches.
	Out bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// AnswerDelay is added to the answer of a write after it took effect.
	AnswerDelay time.Duration
	// LoseAnswers lets the next so many writes take effect and then breaks the connection.
	LoseAnswers int
	// LoseWrites breaks the connection of the next so many writes before they take effect.
	LoseWrites int
	// LoseShare is the share of writes that take effect and then break the connection, from 0 to 1.
	LoseShare float64
	// ReadRate and WriteRate apply in place of the configured limits when above 0.
	ReadRate  float64
	WriteRate float64
	// VMLag is the age of the list of VMs in place of the configured one when above 0.
	VMLag time.Duration
}

// setFaults applies what of the faults is not read call by call.
func (plt *Platform) setFaults(flt Faults) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.left = flt
	setLimit(plt.reads, plt.cfg.ReadRate, flt.ReadRate)
	setLimit(plt.writes, plt.cfg.WriteRate, flt.WriteRate)
	if flt.Out {
		close(plt.outage)
		plt.outage = make(chan struct{})
	}
}

// setLimit lets a limiter pass bursts of up to one second's calls.
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

// admit counts a call, and refuses or delays it if a fault says so.
func (plt *Platform) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		plt.cnt.count(req)
		flt := plt.flt.Get()
		if flt.Out {
			plt.cnt.refuse(http.StatusServiceUnavailable)
			http.Error(rsw, "the platform is out", http.StatusServiceUnavailable)
			return
		}
		lim := plt.writes
		if req.Method == http.MethodGet {
			lim = plt.reads
		}
		if !lim.Allow() {
			plt.cnt.refuse(http.StatusTooManyRequests)
			http.Error(rsw, "over the rate limit", http.StatusTooManyRequests)
			return
		}
		// A call that its caller gave up while it waited does not take effect.
		if !sleep(req.Context(), flt.Delay) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(rsw, req)
	})
}

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

// loseWrite breaks the connection of a write before it takes effect, if the fault is on.
func (plt *Platform) loseWrite() {
	plt.mu.Lock()
	lose := plt.left.LoseWrites > 0
	plt.left.LoseWrites--
	plt.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// loseAnswer delays the answer of a write that took effect, or breaks its connection.
func (plt *Platform) loseAnswer(req *http.Request) {
	flt := plt.flt.Get()
	plt.mu.Lock()
	lose := plt.left.LoseAnswers > 0
	plt.left.LoseAnswers--
	plt.mu.Unlock()
	if lose || rand.Float64() < flt.LoseShare || !sleep(req.Context(), flt.AnswerDelay) {
		panic(http.ErrAbortHandler)
	}
}

// Calls are the numbers of calls that the platform has counted; refused ones are among them.
type Calls struct {
	Reads  int64
	Writes int64
	// Watches are among Reads.
	Watches int64
	// RateLimited and Unavailable are the calls refused with 429 and 503.
	RateLimited int64
	Unavailable int64
	// ByKind counts by method and kind of object, such as "PUT Lease" or "GET vms".
	ByKind map[string]int64
}

// counter counts calls.
type counter struct {
	mu  sync.Mutex
	cls Calls
}

func newCounter() *counter {
	return &counter{
		cls: Calls{
			ByKind: map[string]int64{},
		},
	}
}

func (cnt *counter) count(req *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/objects/"), "/")
	if req.URL.Path == "/vms" {
		kind = "vms"
	}
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	method := req.Method
	if method == http.MethodGet {
		cnt.cls.Reads++
	} else {
		cnt.cls.Writes++
	}
	if req.URL.Query().Get("watch") != "" {
		cnt.cls.Watches++
		method = "WATCH"
	}
	cnt.cls.ByKind[method+" "+kind]++
}

func (cnt *counter) refuse(status int) {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	if status == http.StatusTooManyRequests {
		cnt.cls.RateLimited++
		return
	}
	cnt.cls.Unavailable++
}

func (cnt *counter) calls() Calls {
	cnt.mu.Lock()
	defer cnt.mu.Unlock()
	cls := cnt.cls
	cls.ByKind = map[string]int64{}
	for kind, num := range cnt.cls.ByKind {
		cls.ByKind[kind] = num
	}
	return cls
}
