package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cumintally/cumintally/internal/standin/fault"
)

// Faults are the faults that can be injected into a service stand-in.
type Faults struct {
	// Delay is the time that a booking waits before it runs.
	Delay time.Duration
	// DropAnswers breaks the connection after a booking ran.
	DropAnswers bool
	// DropCalls breaks the connection before a booking runs, but after it has arrived.
	DropCalls bool
	// Leaving makes /readyz respond with status 503 to show that the server accepts no more calls. Bookings that still
	// arrive run and are counted.
	Leaving bool
	// AnswerSize is the minimum size of the response to a booking in bytes.
	AnswerSize int
}

// Service is a backend server of a plain service.
type Service struct {
	faults *fault.Injector[Faults]

	mu       sync.Mutex
	runs     map[string]int
	requests map[string]int
}

// New returns a service that has run no bookings.
func New() *Service {
	return &Service{
		faults:   fault.New(Faults{}),
		runs:     map[string]int{},
		requests: map[string]int{},
	}
}

// Handler returns the handler of the HTTP API of the service, and of /faults, /runs and /requests for tests. /runs
// returns how often each booking ran, and /requests how often each request ran a booking.
func (svc *Service) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", svc.faults)
	rtr.Get("/runs", svc.countsHandler(svc.runs))
	rtr.Get("/requests", svc.countsHandler(svc.requests))
	rtr.Get("/readyz", svc.ready)
	rtr.Post("/bookings", svc.runBooking)
	rtr.Get("/batches/{id}", svc.getBatch)
	return rtr
}

// Booking is the request body of a booking. Reference is the caller's identifier for it.
type Booking struct {
	Reference string
}

// Receipt is the response to a booking. Run is how often the booking has run.
type Receipt struct {
	Reference string
	Run       int
	Filler    string `json:",omitempty"`
}

func (svc *Service) runBooking(rsw http.ResponseWriter, req *http.Request) {
	var bkg Booking
	if err := json.NewDecoder(io.LimitReader(req.Body, 1<<20)).Decode(&bkg); err != nil || bkg.Reference == "" {
		http.Error(rsw, "a booking needs a Reference", http.StatusBadRequest)
		return
	}
	flt := svc.faults.Get()
	time.Sleep(flt.Delay)
	if flt.DropCalls {
		panic(http.ErrAbortHandler)
	}
	svc.mu.Lock()
	svc.requests[req.Header.Get("X-Request-Id")]++
	svc.runs[bkg.Reference]++
	run := svc.runs[bkg.Reference]
	svc.mu.Unlock()
	if flt.DropAnswers {
		panic(http.ErrAbortHandler)
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(rsw).Encode(Receipt{
		Reference: bkg.Reference,
		Run:       run,
		Filler:    strings.Repeat("x", flt.AnswerSize),
	})
}

func (svc *Service) ready(rsw http.ResponseWriter, _ *http.Request) {
	if svc.faults.Get().Leaving {
		rsw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rsw.WriteHeader(http.StatusNoContent)
}

func (svc *Service) getBatch(rsw http.ResponseWriter, req *http.Request) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(map[string]string{"Batch": chi.URLParam(req, "id"), "Status": "polishing"})
}

func (svc *Service) countsHandler(counts map[string]int) http.HandlerFunc {
	return func(rsw http.ResponseWriter, _ *http.Request) {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		rsw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rsw).Encode(counts)
	}
}
