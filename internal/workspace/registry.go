package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/cumintally/cumintally/pkg/document"
)

// Registry finds the workspace of a bearer key in the document in force and keeps the retry budgets.
type Registry struct {
	inForce     func() *document.Document
	idx         atomic.Pointer[index]
	byWorkspace *budgets
	byGroup     *budgets
}

type index struct {
	doc   *document.Document
	byKey map[string]document.Workspace
	share map[string]int
}

// New returns a registry of the document that inForce returns.
func New(inForce func() *document.Document) *Registry {
	return &Registry{
		inForce:     inForce,
		byWorkspace: newBudgets(workspaceReserve),
		byGroup:     newBudgets(groupReserve),
	}
}

// Authenticate returns the workspace that a bearer key belongs to.
func (reg *Registry) Authenticate(key string) (document.Workspace, bool) {
	doc := reg.inForce()
	if doc == nil || key == "" {
		return document.Workspace{}, false
	}
	idx := reg.index(doc)
	// Comparing hashes in a map leaks no usable timing: the caller does not choose the hash.
	sum := sha256.Sum256([]byte(key))
	wsp, ok := idx.byKey[hex.EncodeToString(sum[:])]
	return wsp, ok
}

// Share returns the weight of a workspace, 1 for one that is not in the document.
func (reg *Registry) Share(name string) int {
	doc := reg.inForce()
	if doc == nil {
		return 1
	}
	return max(1, reg.index(doc).share[name])
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
		doc:   doc,
		byKey: map[string]document.Workspace{},
		share: map[string]int{},
	}
	for _, wsp := range doc.Workspaces {
		idx.share[wsp.Name] = wsp.Share
		for _, hsh := range wsp.KeyHashes {
			idx.byKey[hsh] = wsp
		}
	}
	return idx
}
