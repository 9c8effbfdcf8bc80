package engine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cumintally/cumintally/internal/backend"
	"github.com/cumintally/cumintally/internal/standin/fault"
)

// CrashMark in a prompt makes the engine end its process.
const CrashMark = "[crash]"

// Config is the fixed behaviour of an engine stand-in.
type Config struct {
	VM string
	// TokenTime is the time of one decoding step when the batch is small.
	TokenTime time.Duration
	// PrefillTime is the time to the first token of a prompt that is not cached.
	PrefillTime time.Duration
	LoadTime    time.Duration
	// WarmAfter is the number of finished requests after which a cold engine is warm.
	WarmAfter int
	ColdLimit int
	// IgnoreFencing lets the engine take orders with old fencing numbers.
	IgnoreFencing bool
	// Retention is how long a finished or abandoned stream can be resumed.
	Retention time.Duration
	// Stamp adds the send time to each token, to measure the delay on the way to the caller.
	Stamp bool
}

// Faults are the faults that an engine stand-in can show.
type Faults struct {
	// Stretch multiplies the times of decoding and prefill when above 1.
	Stretch int
	// Leaving makes the engine report that it is leaving.
	Leaving bool
	// BreakAfter breaks each connection after so many frames.
	BreakAfter int
	// ReportDelay is added to each report.
	ReportDelay time.Duration
}

// Engine is one engine on one VM.
type Engine struct {
	cfg   Config
	flt   *fault.Switch[Faults]
	crash func()

	mu          sync.Mutex
	incarnation uint64
	order       backend.Order
	loadedAt    time.Time
	warm        bool
	finished    int
	running     int
	most        int
	streams     map[string]*stream
}

// New returns an engine that calls crash where a real one would end its process.
func New(cfg Config, crash func()) *Engine {
	return &Engine{
		cfg:         cfg,
		flt:         fault.New(Faults{}),
		crash:       crash,
		incarnation: rand.Uint64() >> 1,
		streams:     map[string]*stream{},
	}
}

// Handler returns the engine's interface, and beside it /faults and /most for tests.
func (eng *Engine) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", eng.flt)
	rtr.Get("/most", eng.showMost)
	rtr.Get("/report", eng.report)
	rtr.Post("/orders", eng.takeOrder)
	rtr.Post("/streams", eng.generate)
	rtr.Get("/streams/{id}", eng.resume)
	rtr.Delete("/streams/{id}", eng.cancel)
	rtr.Get("/cache-events", func(rsw http.ResponseWriter, _ *http.Request) { answer(rsw, []backend.CacheEvent{}) })
	return rtr
}

// showMost shows the most requests at once since the engine was cold.
func (eng *Engine) showMost(rsw http.ResponseWriter, _ *http.Request) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	answer(rsw, eng.most)
}

func (eng *Engine) report(rsw http.ResponseWriter, _ *http.Request) {
	flt := eng.flt.Get()
	time.Sleep(flt.ReportDelay)
	eng.mu.Lock()
	defer eng.mu.Unlock()
	answer(rsw, backend.Report{
		VM:          eng.cfg.VM,
		Incarnation: eng.incarnation,
		Group:       eng.order.Group,
		Fencing:     eng.order.Fencing,
		Members:     eng.order.Members,
		Rank:        eng.order.Rank,
		Model:       eng.order.Model,
		Version:     eng.order.Version,
		Adapters:    eng.order.Adapters,
		State:       eng.state(flt),
		Running:     eng.running,
		ColdLimit:   eng.cfg.ColdLimit,
		StepTime:    eng.stretched(eng.cfg.TokenTime),
	})
}

func (eng *Engine) state(flt Faults) backend.State {
	switch {
	case flt.Leaving:
		return backend.StateLeaving
	case eng.order.Group == "":
		return backend.StateIdle
	case time.Since(eng.loadedAt) < eng.cfg.LoadTime:
		return backend.StateLoading
	case !eng.warm && eng.order.Rank == 0:
		return backend.StateCold
	default:
		return backend.StateReady
	}
}

func (eng *Engine) takeOrder(rsw http.ResponseWriter, req *http.Request) {
	var ord backend.Order
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if ord.Fencing < eng.order.Fencing && !eng.cfg.IgnoreFencing {
		http.Error(rsw, "the fencing number is old", http.StatusConflict)
		return
	}
	if ord.Fencing == eng.order.Fencing && ord.Group == eng.order.Group {
		return
	}
	eng.order = ord
	eng.loadedAt = time.Now()
	eng.warm = false
	eng.finished = 0
	eng.most = 0
	for _, str := range eng.streams {
		str.abort()
	}
	eng.streams = map[string]*stream{}
}

func (eng *Engine) generate(rsw http.ResponseWriter, req *http.Request) {
	var srq backend.StreamRequest
	if err := json.NewDecoder(req.Body).Decode(&srq); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(srq.Prompt, CrashMark) {
		eng.crash()
		panic(http.ErrAbortHandler)
	}
	idn := srq.RequestID + "." + strconv.Itoa(srq.Attempt)
	str, status := eng.start(idn, srq)
	if str == nil {
		http.Error(rsw, "the engine does not take this request now", status)
		return
	}
	eng.send(rsw, req, str, 0)
}

func (eng *Engine) start(idn string, srq backend.StreamRequest) (*stream, int) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if sta := eng.state(eng.flt.Get()); sta != backend.StateCold && sta != backend.StateReady {
		return nil, http.StatusServiceUnavailable
	}
	if eng.order.Rank != 0 {
		return nil, http.StatusServiceUnavailable
	}
	if str, ok := eng.streams[idn]; ok {
		return str, http.StatusOK
	}
	eng.running++
	if !eng.warm {
		eng.most = max(eng.most, eng.running)
		if eng.running > 2*eng.cfg.ColdLimit {
			// A cold engine under full load falls over.
			eng.crash()
			return nil, http.StatusServiceUnavailable
		}
	}
	str := newStream()
	eng.streams[idn] = str
	go eng.run(idn, str, srq)
	return str, http.StatusOK
}

func (eng *Engine) resume(rsw http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(rsw, "from is not a sequence number", http.StatusBadRequest)
		return
	}
	eng.mu.Lock()
	str := eng.streams[chi.URLParam(req, "id")]
	eng.mu.Unlock()
	if str == nil {
		http.Error(rsw, "no such stream", http.StatusNotFound)
		return
	}
	eng.send(rsw, req, str, from)
}

func (eng *Engine) cancel(rsw http.ResponseWriter, req *http.Request) {
	eng.mu.Lock()
	str := eng.streams[chi.URLParam(req, "id")]
	eng.mu.Unlock()
	if str == nil {
		http.Error(rsw, "no such stream", http.StatusNotFound)
		return
	}
	str.abort()
}

// send writes the frames of a stream as server-sent events, starting with sequence number from.
func (eng *Engine) send(rsw http.ResponseWriter, req *http.Request, str *stream, from int) {
	rsw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(rsw)
	_ = ctl.Flush()
	for idx := from; ; idx++ {
		frm, ok := str.wait(req.Context(), idx)
		if !ok {
			return
		}
		if most := eng.flt.Get().BreakAfter; most > 0 && idx-from >= most {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(frm)
		if _, err := rsw.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
			return
		}
		if err := ctl.Flush(); err != nil || frm.Finish != "" {
			return
		}
	}
}

func (eng *Engine) stretched(dur time.Duration) time.Duration {
	if str := eng.flt.Get().Stretch; str > 1 {
		return dur * time.Duration(str)
	}
	return dur
}

func answer(rsw http.ResponseWriter, val any) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(val)
}
