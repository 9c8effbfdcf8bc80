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

// Engine is one engine on one VM.
type Engine struct {
	cfg   Config
	flt   *fault.Switch[Faults]
	crash func()
	mem   *members
	cch   *cache
	lag   *lagged

	mu          sync.Mutex
	incarnation uint64
	order       backend.Order
	loadedAt    time.Time
	warm        bool
	finished    int
	cold        coldStart
	missing     bool
	memberStep  time.Duration
	counts      Counts
	streams     map[string]*stream
	queue       []*stream
	batch       []*stream
	stepping    bool
}

// New returns an engine that calls crash where a real one would end its process.
func New(cfg Config, crash func()) *Engine {
	cfg = cfg.withDefaults()
	eng := &Engine{
		cfg:         cfg,
		flt:         fault.New(Faults{}),
		crash:       crash,
		mem:         newMembers(cfg.Platform),
		cch:         newCache(cfg.CacheBlocks),
		lag:         &lagged{},
		incarnation: rand.Uint64() >> 1,
		streams:     map[string]*stream{},
	}
	eng.flt.OnSet(func(flt Faults) {
		if flt.TurnCold {
			eng.turnCold()
		}
	})
	return eng
}

// Handler returns the engine's interface, and beside it /faults, /counts and /most for tests.
func (eng *Engine) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", eng.flt)
	rtr.Get("/counts", func(rsw http.ResponseWriter, _ *http.Request) { answer(rsw, eng.Counts()) })
	rtr.Get("/most", func(rsw http.ResponseWriter, _ *http.Request) { answer(rsw, eng.Counts().ColdMost) })
	rtr.Get("/report", eng.report)
	rtr.Post("/orders", eng.takeOrder)
	rtr.Post("/streams", eng.generate)
	rtr.Get("/streams/{id}", eng.resume)
	rtr.Delete("/streams/{id}", eng.cancel)
	rtr.Get("/cache-events", eng.cacheEvents)
	return rtr
}

// Counts returns the totals since the engine started.
func (eng *Engine) Counts() Counts {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.counts
}

func (eng *Engine) report(rsw http.ResponseWriter, _ *http.Request) {
	flt := eng.flt.Get()
	time.Sleep(flt.ReportDelay)
	lag := eng.cfg.ReportLag
	if flt.ReportLag > 0 {
		lag = flt.ReportLag
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	running, queued := eng.lag.at(time.Now().Add(-lag))
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
		Running:     running,
		Queued:      queued,
		ColdLimit:   eng.cfg.ColdLimit,
		StepTime:    eng.stepTime(flt),
	})
}

func (eng *Engine) state(flt Faults) backend.State {
	switch {
	case flt.Leaving:
		return backend.StateLeaving
	case eng.order.Group == "":
		return backend.StateIdle
	case eng.missing || time.Since(eng.loadedAt) < eng.cfg.LoadTime:
		return backend.StateLoading
	case !eng.warm && eng.order.Rank == 0:
		return backend.StateCold
	default:
		return backend.StateReady
	}
}

func (eng *Engine) generate(rsw http.ResponseWriter, req *http.Request) {
	var srq backend.StreamRequest
	if err := json.NewDecoder(req.Body).Decode(&srq); err != nil {
		http.Error(rsw, err.Error(), http.StatusBadRequest)
		return
	}
	if srq.MaxTokens < 0 || srq.MaxTokens > maxTokens {
		http.Error(rsw, "MaxTokens is out of range", http.StatusBadRequest)
		return
	}
	if strings.Contains(srq.Prompt, CrashMarker) {
		eng.crash()
		panic(http.ErrAbortHandler)
	}
	str := eng.start(srq)
	if str == nil {
		http.Error(rsw, "the engine does not take this request now", http.StatusServiceUnavailable)
		return
	}
	eng.send(rsw, req, str, 0)
}

// start queues a request, or returns nil if the engine does not take it.
func (eng *Engine) start(srq backend.StreamRequest) *stream {
	idn := srq.RequestID + "." + strconv.Itoa(srq.Attempt)
	eng.mu.Lock()
	defer eng.mu.Unlock()
	flt := eng.flt.Get()
	sta := eng.state(flt)
	serving := sta == backend.StateCold || sta == backend.StateReady
	if !serving || eng.order.Rank != 0 || flt.Refuse {
		eng.counts.Refused++
		return nil
	}
	if str, ok := eng.streams[idn]; ok {
		return str
	}
	if !eng.warm && !eng.admitCold() {
		eng.counts.Refused++
		return nil
	}
	str := newStream(idn, srq, !eng.warm)
	eng.counts.Started++
	eng.streams[idn] = str
	eng.enqueue(str)
	return str
}

func (eng *Engine) resume(rsw http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(rsw, "from is not a sequence number", http.StatusBadRequest)
		return
	}
	if str := eng.find(req); str != nil {
		eng.send(rsw, req, str, from)
		return
	}
	http.Error(rsw, "no such stream", http.StatusNotFound)
}

func (eng *Engine) cancel(rsw http.ResponseWriter, req *http.Request) {
	str := eng.find(req)
	if str == nil {
		http.Error(rsw, "no such stream", http.StatusNotFound)
		return
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.drop(str)
}

func (eng *Engine) find(req *http.Request) *stream {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.streams[chi.URLParam(req, "id")]
}

// send writes the frames of a stream as server-sent events, starting with sequence number from.
func (eng *Engine) send(rsw http.ResponseWriter, req *http.Request, str *stream, from int) {
	rsw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(rsw)
	_ = ctl.Flush()
	for idx := from; ; idx++ {
		evt, last, ok := str.wait(req.Context(), idx)
		if !ok {
			// An aborted connection tells the reader that the text is not complete.
			panic(http.ErrAbortHandler)
		}
		if most := eng.flt.Get().BreakAfter; most > 0 && idx-from >= most {
			panic(http.ErrAbortHandler)
		}
		if _, err := rsw.Write(evt); err != nil {
			return
		}
		if err := ctl.Flush(); err != nil || last {
			return
		}
	}
}

func answer(rsw http.ResponseWriter, val any) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(val)
}
