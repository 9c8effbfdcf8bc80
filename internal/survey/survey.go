package survey

import (
	"context"
	"sync"
	"time"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/internal/peer"
)

const (
	// timeout bounds one question, so that zones that are cut off do not delay the answers.
	timeout = time.Second
	// limit is the number of questions at once.
	limit = 32
)

// Survey asks questions of one kind, answered by T.
type Survey[T any] struct {
	kind string
	msh  *peer.Mesh
	vms  func() []objects.VM
	own  func() T
}

// Answer is what one daemon answered, or why it did not.
type Answer[T any] struct {
	VM    objects.VM
	Value T
	Err   error
}

// New returns a survey of the entry VMs that vms returns; own is this daemon's answer.
func New[T any](kind string, msh *peer.Mesh, vms func() []objects.VM, own func() T) *Survey[T] {
	msh.Handle(kind, func(context.Context, peer.Identity, []byte) (any, error) {
		return own(), nil
	})
	return &Survey[T]{
		kind: kind,
		msh:  msh,
		vms:  vms,
		own:  own,
	}
}

// Ask asks every daemon, in no particular order.
func (sur *Survey[T]) Ask(ctx context.Context) []Answer[T] {
	var anss []Answer[T]
	var mu sync.Mutex
	var wgr sync.WaitGroup
	slots := make(chan struct{}, limit)
	for _, vmc := range sur.vms() {
		if vmc.Role != objects.RoleEntry {
			continue
		}
		slots <- struct{}{}
		wgr.Go(func() {
			defer func() { <-slots }()
			val, err := sur.ask(ctx, vmc)
			mu.Lock()
			defer mu.Unlock()
			anss = append(anss, Answer[T]{
				VM:    vmc,
				Value: val,
				Err:   err,
			})
		})
	}
	wgr.Wait()
	return anss
}

func (sur *Survey[T]) ask(ctx context.Context, vmc objects.VM) (T, error) {
	if vmc.Name == sur.msh.Self().Name {
		return sur.own(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var val T
	err := sur.msh.Call(ctx, vmc.Address, sur.kind, nil, &val)
	return val, err
}
