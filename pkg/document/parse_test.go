package document_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/pkg/document"
)

// TestErrorsShowShortLines guards against an error message that quotes a line of several hundred kilobytes.
func TestErrorsShowShortLines(tst *testing.T) {
	_, err := document.Parse("long.yaml", []byte("Models: "+strings.Repeat("x", 500000)+"\n"))
	qt.Assert(tst, err, qt.IsNotNil)
	qt.Assert(tst, len(err.Error()) < 2000, qt.IsTrue, qt.Commentf("%d bytes", len(err.Error())))
}
