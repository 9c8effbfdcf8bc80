package generation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/generation"
	"github.com/cumintally/cumintally/internal/objects"
	standin "github.com/cumintally/cumintally/internal/standin/platform"
	"github.com/cumintally/cumintally/pkg/document"
)

const environment = "production"

func newStore(pst objects.Store) *generation.Store {
	return generation.New(environment, pst, zap.NewNop())
}

// newDocument returns a document with one workspace for each share.
func newDocument(shares ...int) *document.Document {
	doc := &document.Document{
		AvailabilityZones: []document.AvailabilityZone{
			{
				Name:   "zone-1",
				Region: "region-1",
			},
		},
	}
	for idx, shr := range shares {
		doc.Workspaces = append(doc.Workspaces, document.Workspace{
			Name:      fmt.Sprintf("workspace-%d", idx),
			KeyHashes: []string{strings.Repeat("a", 64)},
			Share:     shr,
		})
	}
	return doc
}

// promote records a passed trial of a document and promotes it.
func promote(ctx context.Context, sto *generation.Store, doc *document.Document, replaces uint64) (generation.Head, error) {
	trl, err := sto.RecordTrial(ctx, doc, nil)
	if err != nil {
		return generation.Head{}, err
	}
	return sto.Promote(ctx, trl.Digest, replaces)
}

// follow reads the accepted generation from the platform and applies it, as a watcher of the platform does.
func follow(ctx context.Context, pst objects.Store, sto *generation.Store) error {
	obj, err := pst.Get(ctx, objects.KindDocument, environment)
	if err != nil {
		return err
	}
	return sto.ApplyObject(ctx, obj)
}

// TestNeverReverts guards against a lower generation that arrives late and replaces a higher one.
func TestNeverReverts(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pst := standin.NewStore().ObjectStore()
	sto := newStore(pst)
	sto.MarkCaughtUp()
	_, err := promote(ctx, sto, newDocument(1), 0)
	c.Assert(err, qt.IsNil)
	old, err := pst.Get(ctx, objects.KindDocument, environment)
	c.Assert(err, qt.IsNil)
	_, err = promote(ctx, sto, newDocument(2), 1)
	c.Assert(err, qt.IsNil)
	c.Assert(follow(ctx, pst, sto), qt.IsNil)
	c.Assert(sto.InForce().Generation, qt.Equals, uint64(2))
	c.Assert(sto.ApplyObject(ctx, old), qt.IsNil)
	c.Assert(sto.InForce().Generation, qt.Equals, uint64(2))
	c.Assert(sto.InForce().Document.Workspaces[0].Share, qt.Equals, 2)
}

// TestServesOnlyWhenSettled guards against a restarted daemon that serves requests with a generation that has been
// replaced.
func TestServesOnlyWhenSettled(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pst := standin.NewStore().ObjectStore()
	sto := newStore(pst)
	_, err := promote(ctx, sto, newDocument(1), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(follow(ctx, pst, sto), qt.IsNil)
	c.Assert(sto.InForce().Generation, qt.Equals, uint64(0))
	sto.MarkCaughtUp()
	c.Assert(sto.InForce().Generation, qt.Equals, uint64(1))
}

// TestConcurrentPromotions guards against a promotion that silently overwrites the concurrent promotion of another
// operator.
func TestConcurrentPromotions(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pst := standin.NewStore().ObjectStore()
	sto := newStore(pst)
	_, err := promote(ctx, sto, newDocument(1), 0)
	c.Assert(err, qt.IsNil)
	_, err = promote(ctx, sto, newDocument(2), 0)
	c.Assert(errors.Is(err, generation.ErrConflict), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*replaces generation 0, but generation 1 is accepted.*")
}

// TestLostResponse guards against a promotion that is reported as failed although its write took effect, and against a
// promotion that is reported as accepted although none of its writes took effect. In both cases the responses to the
// writes are lost.
func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pst := standin.NewStore().ObjectStore()
	losing := pst
	losing.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		ver, err := pst.Put(ctx, kind, name, expected, value)
		if kind == objects.KindDocument && err == nil {
			return 0, objects.ErrUnknownOutcome
		}
		return ver, err
	}
	hed, err := promote(ctx, newStore(losing), newDocument(1), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(hed.Generation, qt.Equals, uint64(1))
	notWritten := pst
	notWritten.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		if kind == objects.KindDocument {
			return 0, objects.ErrUnknownOutcome
		}
		return pst.Put(ctx, kind, name, expected, value)
	}
	_, err = promote(ctx, newStore(notWritten), newDocument(2), 1)
	c.Assert(errors.Is(err, objects.ErrUnknownOutcome), qt.IsTrue, qt.Commentf("%v", err))
}

// TestLostResponseAfterConflict guards against a promotion that is reported as accepted although a concurrent
// promotion was accepted and the response to the write was lost.
func TestLostResponseAfterConflict(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	pst := standin.NewStore().ObjectStore()
	racing := pst
	racing.Put = func(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
		if kind != objects.KindDocument {
			return pst.Put(ctx, kind, name, expected, value)
		}
		_, _ = promote(ctx, newStore(pst), newDocument(3), 0)
		return 0, objects.ErrUnknownOutcome
	}
	_, err := promote(ctx, newStore(racing), newDocument(2), 0)
	c.Assert(errors.Is(err, generation.ErrConflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(err, qt.ErrorMatches, ".*generation 1 was accepted in place of this generation 1.*")
}

// TestNotTried guards against a promotion of a document that has not passed its trial.
func TestNotTried(t *testing.T) {
	c := qt.New(t)
	_, err := newStore(standin.NewStore().ObjectStore()).Promote(context.Background(), "digest", 0)
	c.Assert(errors.Is(err, generation.ErrTrialNotPassed), qt.IsTrue)
}

// TestFailedTrial guards against a promotion of a document whose trial failed, and against a failed trial that cannot
// be repeated.
func TestFailedTrial(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	sto := newStore(standin.NewStore().ObjectStore())
	ress := []generation.PartResult{
		{
			Name:   "Groups/group-1",
			Reason: "no VMs",
		},
	}
	trl, err := sto.RecordTrial(ctx, newDocument(1), ress)
	c.Assert(err, qt.IsNil)
	c.Assert(trl.Passed, qt.IsFalse)
	_, err = sto.Promote(ctx, trl.Digest, 0)
	c.Assert(errors.Is(err, generation.ErrTrialNotPassed), qt.IsTrue, qt.Commentf("%v", err))
	_, err = promote(ctx, sto, newDocument(1), 0)
	c.Assert(err, qt.IsNil)
}

// TestDifferences guards against daemons that hold different documents after they exchanged differences with any base,
// in any order and with some of them outdated.
func TestDifferences(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		ctx := context.Background()
		must := func(err error) {
			if err != nil {
				rpt.Fatalf("%v", err)
			}
		}
		pst := standin.NewStore().ObjectStore()
		leader := newStore(pst)
		leader.MarkCaughtUp()
		// The follower cannot reach the platform, so it must receive all parts with the differences.
		follower := newStore(objects.Store{
			Get: func(context.Context, string, string) (objects.Object, error) {
				return objects.Object{}, objects.ErrUnavailable
			},
		})
		follower.MarkCaughtUp()
		var sent [][]byte
		for gen := range rapid.IntRange(1, 8).Draw(rpt, "generations") {
			shares := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 5).Draw(rpt, "shares")
			_, err := promote(ctx, leader, newDocument(shares...), uint64(gen))
			must(err)
			must(follow(ctx, pst, leader))
			dif, err := leader.EncodeDifference(uint64(rapid.IntRange(0, gen).Draw(rpt, "base")))
			must(err)
			sent = append(sent, dif)
			// A difference with another base may be ignored, but must not lower the generation.
			before := follower.AppliedGeneration()
			_ = follower.ApplyDifference(ctx, sent[rapid.IntRange(0, len(sent)-1).Draw(rpt, "late")])
			if follower.AppliedGeneration() < before {
				rpt.Fatalf("generation %d replaced generation %d", follower.AppliedGeneration(), before)
			}
		}
		dif, err := leader.EncodeDifference(follower.AppliedGeneration())
		must(err)
		if dif != nil {
			must(follower.ApplyDifference(ctx, dif))
		}
		want, err := json.Marshal(leader.InForce())
		must(err)
		got, err := json.Marshal(follower.InForce())
		must(err)
		if string(got) != string(want) {
			rpt.Fatalf("the follower has %s, the leader %s", got, want)
		}
	})
}
