package survey

import (
	"context"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// callTimeout bounds one call, so that zones that are cut off do not delay the result.
	callTimeout = time.Second
	// maxConcurrentCalls is the number of calls in flight at once.
	maxConcurrentCalls = 32
)

// Survey sends queries of one kind to all daemons. The value of each response is a T.
type Survey[T any] struct {
	kind     string
	mesh     *peer.Mesh
	vms      func() []objects.VM
	ownValue func() T
}

// Response is the response of one daemon, or the error if it did not respond.
type Response[T any] struct {
	VM    objects.VM
	Value T
	Err   error
}

// New returns a survey of the entry VMs that vms returns. It also answers such queries of other daemons; ownValue
// returns the response of this daemon.
func New[T any](kind string, mesh *peer.Mesh, vms func() []objects.VM, ownValue func() T) *Survey[T] {
	mesh.Handle(kind, func(context.Context, peer.Identity, []byte) (any, error) {
		return ownValue(), nil
	})
	return &Survey[T]{
		kind:     kind,
		mesh:     mesh,
		vms:      vms,
		ownValue: ownValue,
	}
}

// Collect queries every daemon and returns one response or error for each, in no particular order.
func (sur *Survey[T]) Collect(ctx context.Context) []Response[T] {
	var rsps []Response[T]
	var mu sync.Mutex
	var wgr sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, vmc := range sur.vms() {
		if vmc.Role != objects.RoleEntry {
			continue
		}
		slots <- struct{}{}
		wgr.Go(func() {
			defer func() { <-slots }()
			val, err := sur.queryDaemon(ctx, vmc)
			mu.Lock()
			defer mu.Unlock()
			rsps = append(rsps, Response[T]{
				VM:    vmc,
				Value: val,
				Err:   err,
			})
		})
	}
	wgr.Wait()
	return rsps
}

// queryDaemon queries one daemon. This daemon itself responds without a call.
func (sur *Survey[T]) queryDaemon(ctx context.Context, vmc objects.VM) (T, error) {
	if vmc.Name == sur.mesh.Self().Name {
		return sur.ownValue(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var val T
	err := sur.mesh.Call(ctx, vmc.Address, sur.kind, nil, &val)
	return val, err
}
