package fault

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Switch holds the faults of one stand-in, a plain struct that is replaced as a whole.
type Switch[T any] struct {
	current atomic.Pointer[T]
	onSet   func(T)
}

// New returns a switch with the given faults.
func New[T any](val T) *Switch[T] {
	swt := &Switch[T]{}
	swt.current.Store(&val)
	return swt
}

// Get returns the faults in force.
func (swt *Switch[T]) Get() T {
	return *swt.current.Load()
}

// OnSet calls fnc with the faults whenever they are replaced; it must be called before the first Set.
func (swt *Switch[T]) OnSet(fnc func(T)) {
	swt.onSet = fnc
}

// Set replaces the faults.
func (swt *Switch[T]) Set(val T) {
	swt.current.Store(&val)
	if swt.onSet != nil {
		swt.onSet(val)
	}
}

// ServeHTTP shows the faults on GET and replaces them on PUT.
func (swt *Switch[T]) ServeHTTP(rsw http.ResponseWriter, req *http.Request) {
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
