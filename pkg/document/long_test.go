package document_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/pkg/document"
)

// Guards against an error that prints a line of a megabyte.
func TestErrorsShowShortLines(tst *testing.T) {
	_, err := document.Parse("long.yaml", []byte("Models: "+strings.Repeat("x", 500000)+"\n"))
	qt.Assert(tst, err, qt.IsNotNil)
	qt.Assert(tst, len(err.Error()) < 2000, qt.IsTrue, qt.Commentf("%d bytes", len(err.Error())))
}
