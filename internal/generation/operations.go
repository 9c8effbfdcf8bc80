package generation

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cumintally/cumintally/internal/objects"
	"github.com/cumintally/cumintally/pkg/document"
)

const (
	// ErrConflict means that another generation was accepted in the meantime; the text names both generations.
	ErrConflict = errors.ConstError("generation: conflict")
	// ErrTrialNotPassed means that the document with the digest has not passed a trial.
	ErrTrialNotPassed = errors.ConstError("generation: not tried")
)

// maxWriteAttempts bounds the attempts of a write whose response is lost.
const maxWriteAttempts = 3

// Trial is the object Trial/<digest>: the result of a trial.
type Trial struct {
	Digest string
	// Passed means that every part passed.
	Passed  bool
	Parts   []PartReference
	Results []PartResult
}

// PartResult is the result of one part of a document.
type PartResult struct {
	Name   string
	Passed bool
	Reason string
}

// RecordTrial stores the parts of a document and the results of its trial. A later trial of the same document replaces
// the stored results.
func (sto *Store) RecordTrial(ctx context.Context, doc *document.Document, ress []PartResult) (Trial, error) {
	pts := doc.Parts()
	trl := Trial{
		Digest:  document.Digest(pts),
		Passed:  true,
		Results: ress,
	}
	for _, res := range ress {
		trl.Passed = trl.Passed && res.Passed
	}
	for _, prt := range pts {
		_, err := sto.pst.Put(ctx, objects.KindPart, prt.Digest, 0, prt.Value)
		// A part that already exists has the same content, because its name is its digest.
		if err != nil && !errors.Is(err, objects.ErrConflict) {
			return Trial{}, errors.Trace(err)
		}
		trl.Parts = append(trl.Parts, PartReference{
			Name:   prt.Name,
			Digest: prt.Digest,
		})
	}
	return trl, sto.writeTrial(ctx, trl)
}

func (sto *Store) writeTrial(ctx context.Context, trl Trial) error {
	val, err := json.Marshal(trl)
	if err != nil {
		return errors.Trace(err)
	}
	old, err := sto.pst.Get(ctx, objects.KindTrial, trl.Digest)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return errors.Trace(err)
	}
	_, err = sto.pst.Put(ctx, objects.KindTrial, trl.Digest, old.Version, val)
	return errors.Trace(err)
}

// Promote accepts the document with the given digest as the successor of generation replaces. The document must have
// passed its trial, and replaces must be the generation accepted now.
func (sto *Store) Promote(ctx context.Context, digest string, replaces uint64) (Head, error) {
	trl, err := sto.readPassedTrial(ctx, digest)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	old, ver, err := sto.readHead(ctx)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	if old.Generation != replaces {
		return Head{}, errors.Annotatef(ErrConflict, "the call replaces generation %d, but generation %d is accepted", replaces, old.Generation)
	}
	hed := Head{
		Environment: sto.environment,
		Generation:  replaces + 1,
		Digest:      digest,
		Parts:       trl.Parts,
		Writer:      uuid.NewString(),
	}
	val, err := json.Marshal(hed)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	if err := sto.writeHead(ctx, ver, hed, val); err != nil {
		return Head{}, errors.Trace(err)
	}
	return hed, nil
}

// writeHead writes the head if its object still has the expected version. After a lost response it retries the write
// under the same condition and with the same token, so that the write takes effect at most once even if the first
// attempt reaches the platform late.
func (sto *Store) writeHead(ctx context.Context, expected uint64, hed Head, val []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = sto.pst.Put(ctx, objects.KindDocument, sto.environment, expected, val)
		if !errors.Is(err, objects.ErrUnknownOutcome) && !errors.Is(err, objects.ErrConflict) {
			return errors.Trace(err)
		}
		now, readErr := sto.ReadAccepted(ctx)
		if readErr != nil {
			return errors.Annotatef(objects.ErrUnknownOutcome, "read back: %v", readErr)
		}
		if now.Writer == hed.Writer {
			return nil
		}
		if now.Generation >= hed.Generation {
			return errors.Annotatef(ErrConflict, "generation %d was accepted in place of this generation %d", now.Generation, hed.Generation)
		}
	}
	return errors.Trace(err)
}

// ReadAccepted reads the accepted head from the platform; the head is empty if no document has been accepted.
func (sto *Store) ReadAccepted(ctx context.Context) (Head, error) {
	hed, _, err := sto.readHead(ctx)
	return hed, errors.Trace(err)
}

// readHead reads the accepted head and its object version, both zero if there is none.
func (sto *Store) readHead(ctx context.Context) (Head, uint64, error) {
	var hed Head
	obj, err := sto.pst.Get(ctx, objects.KindDocument, sto.environment)
	if errors.Is(err, objects.ErrNotFound) {
		return hed, 0, nil
	}
	if err != nil {
		return hed, 0, errors.Trace(err)
	}
	return hed, obj.Version, errors.Trace(json.Unmarshal(obj.Value, &hed))
}

func (sto *Store) readPassedTrial(ctx context.Context, digest string) (Trial, error) {
	var trl Trial
	obj, err := sto.pst.Get(ctx, objects.KindTrial, digest)
	if errors.Is(err, objects.ErrNotFound) {
		return trl, errors.Annotatef(ErrTrialNotPassed, "digest %s", digest)
	}
	if err != nil {
		return trl, errors.Trace(err)
	}
	if err := json.Unmarshal(obj.Value, &trl); err != nil {
		return trl, errors.Trace(err)
	}
	if !trl.Passed {
		return trl, errors.Annotatef(ErrTrialNotPassed, "digest %s failed its trial", digest)
	}
	return trl, nil
}
