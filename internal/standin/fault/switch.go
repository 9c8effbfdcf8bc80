package fault

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Injector holds the injected faults of one stand-in. T is a plain struct, which is replaced as a whole.
type Injector[T any] struct {
	current atomic.Pointer[T]
	onSet   func(T)
}

// New returns a fault holder whose initial faults are val.
func New[T any](val T) *Injector[T] {
	swt := &Injector[T]{}
	swt.current.Store(&val)
	return swt
}

// Get returns the current faults.
func (swt *Injector[T]) Get() T {
	return *swt.current.Load()
}

// OnSet registers fnc, which Set calls with the new faults. OnSet must be called before the first Set.
func (swt *Injector[T]) OnSet(fnc func(T)) {
	swt.onSet = fnc
}

// Set replaces the faults and then calls the function that was registered with OnSet.
func (swt *Injector[T]) Set(val T) {
	swt.current.Store(&val)
	if swt.onSet != nil {
		swt.onSet(val)
	}
}

// ServeHTTP responds with the current faults as JSON. PUT replaces them first; an unknown field or malformed JSON is
// answered with status 400.
func (swt *Injector[T]) ServeHTTP(rsw http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPut {
		var val T
		dec := json.NewDecoder(req.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&val); err != nil {
			http.Error(rsw, err.Error(), http.StatusBadRequest)
			return
		}
		swt.Set(val)
	}
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(swt.Get())
}
