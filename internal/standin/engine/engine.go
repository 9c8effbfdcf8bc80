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

// Engine is a stand-in for the engine of one VM.
type Engine struct {
	cfg         Config
	faults      *fault.Injector[Faults]
	crash       func()
	peers       *members
	prefixCache *cache
	pastLoad    *loadHistory

	mu                sync.Mutex
	incarnation       uint64
	order             backend.Order
	loadStartedAt     time.Time
	warm              bool
	finishedSinceCold int
	cold              coldStart
	memberMissing     bool
	memberStepTime    time.Duration
	counts            Counts
	streams           map[string]*stream
	queue             []*stream
	batch             []*stream
	decoding          bool
	// prefillUntil is the end of the last prefill that has begun, if prompts are read one after another.
	prefillUntil time.Time
}

// New returns an engine that calls crash where a real engine would end its process.
func New(cfg Config, crash func()) *Engine {
	cfg = cfg.withDefaults()
	eng := &Engine{
		cfg:         cfg,
		faults:      fault.New(Faults{}),
		crash:       crash,
		peers:       newMembers(cfg.Platform),
		prefixCache: newCache(cfg.CacheBlocks),
		pastLoad:    &loadHistory{},
		incarnation: rand.Uint64() >> 1,
		streams:     map[string]*stream{},
	}
	eng.faults.OnSet(func(flt Faults) {
		if flt.TurnCold {
			eng.turnCold()
		}
	})
	return eng
}

// Handler returns the handler of an engine's HTTP API, and of /faults, /counts and /most for tests. /most returns
// Counts.ColdMost.
func (eng *Engine) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", eng.faults)
	rtr.Get("/counts", func(rsw http.ResponseWriter, _ *http.Request) { respondJSON(rsw, eng.Counts()) })
	rtr.Get("/most", func(rsw http.ResponseWriter, _ *http.Request) { respondJSON(rsw, eng.Counts().ColdMost) })
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
	flt := eng.faults.Get()
	time.Sleep(flt.ReportDelay)
	lag := eng.cfg.ReportLag
	if flt.ReportLag > 0 {
		lag = flt.ReportLag
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	running, queued := eng.pastLoad.at(time.Now().Add(-lag))
	respondJSON(rsw, backend.Report{
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
	case eng.memberMissing || time.Since(eng.loadStartedAt) < eng.cfg.LoadTime:
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
	str := eng.admit(srq)
	if str == nil {
		http.Error(rsw, "the engine does not accept this request now", http.StatusServiceUnavailable)
		return
	}
	eng.writeFrames(rsw, req, str, 0)
}

// admit queues a request and returns its stream, or nil if the engine rejects it.
func (eng *Engine) admit(srq backend.StreamRequest) *stream {
	idn := srq.RequestID + "." + strconv.Itoa(srq.Attempt)
	eng.mu.Lock()
	defer eng.mu.Unlock()
	flt := eng.faults.Get()
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
		eng.writeFrames(rsw, req, str, from)
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
	eng.abort(str)
}

func (eng *Engine) find(req *http.Request) *stream {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.streams[chi.URLParam(req, "id")]
}

// writeFrames writes the frames of a stream as server-sent events, starting with sequence number from.
func (eng *Engine) writeFrames(rsw http.ResponseWriter, req *http.Request, str *stream, from int) {
	rsw.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(rsw)
	_ = ctl.Flush()
	for idx := from; ; idx++ {
		evt, last, ok := str.waitFrame(req.Context(), idx)
		if !ok {
			// An aborted connection shows the reader that the text is incomplete.
			panic(http.ErrAbortHandler)
		}
		if most := eng.faults.Get().BreakAfter; most > 0 && idx-from >= most {
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

func respondJSON(rsw http.ResponseWriter, val any) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(val)
}
