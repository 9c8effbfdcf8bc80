package generation

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/pkg/document"
)

// ErrIncomplete means that a generation could not be applied because it is malformed or one of its parts could not be
// fetched; the generation in force stays in force.
const ErrIncomplete = errors.ConstError("generation: incomplete")

// Store holds the generation in force on this daemon.
type Store struct {
	environment string
	pst         objects.Store
	log         *zap.Logger

	caughtUp atomic.Bool
	inForce  atomic.Pointer[Snapshot]

	mu      sync.Mutex
	head    Head
	parts   map[string][]byte
	history history
}

// New returns a store for the document of an environment. It fetches parts from pst.
func New(environment string, pst objects.Store, log *zap.Logger) *Store {
	sto := &Store{
		environment: environment,
		pst:         pst,
		log:         log.Named("generation"),
		parts:       map[string][]byte{},
	}
	sto.inForce.Store(&Snapshot{})
	return sto
}

// InForce returns the snapshot in force, which must not be changed. The snapshot is empty until the store is marked as
// up to date.
func (sto *Store) InForce() *Snapshot {
	if !sto.caughtUp.Load() {
		return &Snapshot{}
	}
	return sto.inForce.Load()
}

// MarkCaughtUp marks the store as up to date with the highest generation known in the zone. A daemon that has just
// started must not serve requests before, because it could use a generation that has been replaced.
func (sto *Store) MarkCaughtUp() {
	if !sto.caughtUp.Swap(true) {
		sto.log.Info("caught up with the highest known generation", zap.Uint64("generation", sto.AppliedGeneration()))
	}
}

// CaughtUp reports whether the store has been marked as up to date with the highest known generation.
func (sto *Store) CaughtUp() bool {
	return sto.caughtUp.Load()
}

// AppliedGeneration returns the highest generation that has been applied.
func (sto *Store) AppliedGeneration() uint64 {
	return sto.inForce.Load().Generation
}

// ApplyObject applies an object of kind Document. It ignores deleted objects and other environments.
func (sto *Store) ApplyObject(ctx context.Context, obj objects.Object) error {
	if obj.Name != sto.environment || obj.Deleted {
		return nil
	}
	var hed Head
	if err := json.Unmarshal(obj.Value, &hed); err != nil {
		return errors.Annotatef(ErrIncomplete, "document object: %v", err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.apply(ctx, hed, nil)
}

// apply fetches the parts that changed and puts the generation in force, unless the generation in force is the same
// or a newer one. It requires that sto.mu is locked.
func (sto *Store) apply(ctx context.Context, hed Head, included map[string][]byte) error {
	if hed.Generation <= sto.head.Generation {
		return nil
	}
	kept := map[string][]byte{}
	pts := make([]document.Part, 0, len(hed.Parts))
	for _, ref := range hed.Parts {
		val, err := sto.part(ctx, ref.Digest, included)
		if err != nil {
			return errors.Annotatef(ErrIncomplete, "generation %d, part %s: %v", hed.Generation, ref.Name, err)
		}
		kept[ref.Digest] = val
		pts = append(pts, document.Part{
			Name:   ref.Name,
			Digest: ref.Digest,
			Value:  val,
		})
	}
	doc, err := document.Join(pts)
	if err != nil {
		return errors.Annotatef(ErrIncomplete, "generation %d: %v", hed.Generation, err)
	}
	if document.Digest(pts) != hed.Digest {
		return errors.Annotatef(ErrIncomplete, "generation %d: its parts do not match its digest", hed.Generation)
	}
	sto.history.add(sto.head)
	sto.head = hed
	sto.parts = kept
	sto.inForce.Store(&Snapshot{
		Generation: hed.Generation,
		Digest:     hed.Digest,
		Document:   doc,
	})
	sto.log.Info("generation is now in force", zap.Uint64("generation", hed.Generation))
	return nil
}

// part returns the content of a part. It looks in the generation in force, then in the included parts of a
// difference, and then reads the platform.
func (sto *Store) part(ctx context.Context, digest string, included map[string][]byte) ([]byte, error) {
	if val, ok := sto.parts[digest]; ok {
		return val, nil
	}
	if val, ok := included[digest]; ok {
		return val, nil
	}
	obj, err := sto.pst.Get(ctx, objects.KindPart, digest)
	return obj.Value, err
}
