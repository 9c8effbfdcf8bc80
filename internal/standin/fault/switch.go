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

// New returns an injector whose initial faults are val.
func New[T any](val T) *Injector[T] {
	inj := &Injector[T]{}
	inj.current.Store(&val)
	return inj
}

// Get returns the current faults.
func (inj *Injector[T]) Get() T {
	return *inj.current.Load()
}

// OnSet registers fnc, which Set calls with the new faults. OnSet must be called before the first Set.
func (inj *Injector[T]) OnSet(fnc func(T)) {
	inj.onSet = fnc
}

// Set replaces the faults and then calls the function that was registered with OnSet.
func (inj *Injector[T]) Set(val T) {
	inj.current.Store(&val)
	if inj.onSet != nil {
		inj.onSet(val)
	}
}

// ServeHTTP responds with the current faults as JSON. PUT replaces them first; an unknown field or malformed JSON is
// rejected with status 400.
func (inj *Injector[T]) ServeHTTP(rsw http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPut {
		var val T
		dec := json.NewDecoder(req.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&val); err != nil {
			http.Error(rsw, err.Error(), http.StatusBadRequest)
			return
		}
		inj.Set(val)
	}
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(inj.Get())
}
