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

// Faults are the faults that a service stand-in can show.
type Faults struct {
	// Delay is added before a booking runs.
	Delay time.Duration
	// DropAnswers breaks the connection after a booking ran.
	DropAnswers bool
	// DropCalls breaks the connection before a booking runs, but after it has arrived.
	DropCalls bool
	// Leaving says on /readyz that the server takes no more calls; bookings that still arrive run and are counted.
	Leaving bool
	// AnswerSize is the least size in bytes of the answer to a booking.
	AnswerSize int
}

// Service is one backend server of a plain service.
type Service struct {
	flt *fault.Switch[Faults]

	mu       sync.Mutex
	runs     map[string]int
	requests map[string]int
}

// New returns a service that has run no booking.
func New() *Service {
	return &Service{
		flt:      fault.New(Faults{}),
		runs:     map[string]int{},
		requests: map[string]int{},
	}
}

// Handler returns the service's calls, and beside them /faults, /runs and /requests for tests: how often
// each booking ran, and how often each request ran a booking.
func (svc *Service) Handler() http.Handler {
	rtr := chi.NewRouter()
	rtr.Handle("/faults", svc.flt)
	rtr.Get("/runs", svc.show(svc.runs))
	rtr.Get("/requests", svc.show(svc.requests))
	rtr.Get("/readyz", svc.ready)
	rtr.Post("/bookings", svc.book)
	rtr.Get("/batches/{id}", svc.batch)
	return rtr
}

// Booking is the body of a booking; Reference is the caller's own name for it.
type Booking struct {
	Reference string
}

// Receipt is the answer to a booking.
type Receipt struct {
	Reference string
	Run       int
	Filler    string `json:",omitempty"`
}

func (svc *Service) book(rsw http.ResponseWriter, req *http.Request) {
	var bkg Booking
	if err := json.NewDecoder(io.LimitReader(req.Body, 1<<20)).Decode(&bkg); err != nil || bkg.Reference == "" {
		http.Error(rsw, "a booking needs a Reference", http.StatusBadRequest)
		return
	}
	flt := svc.flt.Get()
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
	if svc.flt.Get().Leaving {
		rsw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rsw.WriteHeader(http.StatusNoContent)
}

func (svc *Service) batch(rsw http.ResponseWriter, req *http.Request) {
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(map[string]string{"Batch": chi.URLParam(req, "id"), "Status": "polishing"})
}

func (svc *Service) show(counts map[string]int) http.HandlerFunc {
	return func(rsw http.ResponseWriter, _ *http.Request) {
		svc.mu.Lock()
		defer svc.mu.Unlock()
		rsw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rsw).Encode(counts)
	}
}
