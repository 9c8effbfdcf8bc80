package document_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/pkg/document"
)

// FuzzParse guards against a document that crashes the daemon, and against a document that cannot be restored from
// its parts.
func FuzzParse(fzz *testing.F) {
	paths, _ := filepath.Glob("../../examples/*.yaml")
	qt.Assert(fzz, paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		qt.Assert(fzz, err, qt.IsNil)
		fzz.Add(data)
	}
	for _, text := range []string{
		"",
		"[]",
		"AvailabilityZones: &a\n  - *a\n",
		"AvailabilityZones: [{Name: a, Region: b}]\nWorkspaces: [{Name: x, Share: 1, KeyHashes: []}]\n",
		"AvailabilityZones:\n- Name: !!binary x\n",
		"Groups: [{Replicas: 9223372036854775808}]\n",
		"ServiceLevels: [{Objective: .nan}]\n",
		"? {a: b}\n: - c\n",
		strings.Repeat("[{", 60),
	} {
		fzz.Add([]byte(text))
	}
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		doc, err := document.Parse("fuzz", data)
		if err != nil {
			qt.Check(tst, err, qt.ErrorIs, document.ErrInvalid)
			return
		}
		pts := doc.Parts()
		again, err := document.Join(pts)
		qt.Assert(tst, err, qt.IsNil)
		qt.Check(tst, document.Digest(again.Parts()), qt.Equals, document.Digest(pts))
	})
}

// TestNesting guards against a small text that keeps a daemon busy for many seconds because of deeply nested
// brackets.
func TestNesting(tst *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<20), strings.Repeat("{a: ", 1<<20), strings.Repeat("[\n", 1<<20)} {
		_, err := document.Parse("nested", []byte(text))
		qt.Check(tst, err, qt.ErrorMatches, "(?s).*nested deeper.*")
	}
}
