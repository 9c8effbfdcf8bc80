package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/cumintally/cumintally/pkg/document"
)

// Registry finds the workspace of a bearer key in the document in force and keeps the retry budgets.
type Registry struct {
	documentInForce func() *document.Document
	idx             atomic.Pointer[index]
	byWorkspace     *retryBuckets
	byGroup         *retryBuckets
}

// index is the lookup table of the workspaces in one document.
type index struct {
	doc    *document.Document
	byKey  map[string]document.Workspace
	shares map[string]int
}

// New returns a registry of the workspaces in the document that documentInForce returns, which may be nil.
func New(documentInForce func() *document.Document) *Registry {
	return &Registry{
		documentInForce: documentInForce,
		byWorkspace:     newRetryBuckets(workspaceCapacity),
		byGroup:         newRetryBuckets(groupCapacity),
	}
}

// Authenticate returns the workspace of a bearer key, and false if there is none.
func (reg *Registry) Authenticate(key string) (document.Workspace, bool) {
	doc := reg.documentInForce()
	if doc == nil || key == "" {
		return document.Workspace{}, false
	}
	idx := reg.index(doc)
	// Looking up the hash in a map leaks no usable timing, because the caller does not choose the hash.
	sum := sha256.Sum256([]byte(key))
	wsp, ok := idx.byKey[hex.EncodeToString(sum[:])]
	return wsp, ok
}

// Share returns the fair-share weight of a workspace, or 1 if the workspace is not in the document.
func (reg *Registry) Share(name string) int {
	doc := reg.documentInForce()
	if doc == nil {
		return 1
	}
	return max(1, reg.index(doc).shares[name])
}

func (reg *Registry) index(doc *document.Document) *index {
	idx := reg.idx.Load()
	if idx == nil || idx.doc != doc {
		idx = newIndex(doc)
		reg.idx.Store(idx)
	}
	return idx
}

func newIndex(doc *document.Document) *index {
	idx := &index{
		doc:    doc,
		byKey:  map[string]document.Workspace{},
		shares: map[string]int{},
	}
	for _, wsp := range doc.Workspaces {
		idx.shares[wsp.Name] = wsp.Share
		for _, hsh := range wsp.KeyHashes {
			idx.byKey[hsh] = wsp
		}
	}
	return idx
}
