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

// ErrIncomplete says that a part of a generation could not be fetched; what was in force stays.
const ErrIncomplete = errors.ConstError("generation: incomplete")

// Store holds the generation in force on this daemon.
type Store struct {
	environment string
	pst         objects.Store
	log         *zap.Logger

	settled atomic.Bool
	inForce atomic.Pointer[Snapshot]

	mu      sync.Mutex
	head    Head
	parts   map[string][]byte
	history history
}

// New returns a store for an environment that fetches parts from the platform.
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

// InForce returns the document in force, which must not be changed, or an empty one before Settle.
func (sto *Store) InForce() *Snapshot {
	if !sto.settled.Load() {
		return &Snapshot{}
	}
	return sto.inForce.Load()
}

// Settle tells the store that it has heard of the highest generation known in the zone. A daemon that
// has just started must not serve before, since it could serve a generation that was replaced.
func (sto *Store) Settle() {
	if !sto.settled.Swap(true) {
		sto.log.Info("the highest known generation is in force", zap.Uint64("generation", sto.Position()))
	}
}

// Settled reports whether Settle was called.
func (sto *Store) Settled() bool {
	return sto.settled.Load()
}

// Position returns the highest generation applied.
func (sto *Store) Position() uint64 {
	return sto.inForce.Load().Generation
}

// TakeObject applies an object of kind Document if it is this environment's.
func (sto *Store) TakeObject(ctx context.Context, obj objects.Object) error {
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

// apply fetches the parts that changed and puts the generation in force, unless a newer one already is.
func (sto *Store) apply(ctx context.Context, hed Head, given map[string][]byte) error {
	if hed.Generation <= sto.head.Generation {
		return nil
	}
	kept := map[string][]byte{}
	pts := make([]document.Part, 0, len(hed.Parts))
	for _, ref := range hed.Parts {
		val, err := sto.part(ctx, ref.Digest, given)
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
	sto.log.Info("put a generation in force", zap.Uint64("generation", hed.Generation))
	return nil
}

// part returns the content of a part: kept from the generation before, given by a peer, or the platform's.
func (sto *Store) part(ctx context.Context, digest string, given map[string][]byte) ([]byte, error) {
	if val, ok := sto.parts[digest]; ok {
		return val, nil
	}
	if val, ok := given[digest]; ok {
		return val, nil
	}
	obj, err := sto.pst.Get(ctx, objects.KindPart, digest)
	return obj.Value, err
}
