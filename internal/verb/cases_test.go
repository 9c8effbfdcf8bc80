package verb_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/verb"
)

var update = flag.Bool("update", false, "write the expected files from the present output")

// TestCases guards against unnoticed changes of the output that operators see. Each case in test/cases has the
// arguments in the file cmd, separated by white space, and the expected output in the file expected.
func TestCases(t *testing.T) {
	root, err := filepath.Abs("../..")
	qt.Assert(t, err, qt.IsNil)
	t.Chdir(root)
	cmds, err := filepath.Glob("test/cases/*/cmd")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmds, qt.Not(qt.HasLen), 0)
	for _, path := range cmds {
		dir := filepath.Dir(path)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			c := qt.New(t)
			args, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			got := run(strings.Fields(string(args)))
			expected := filepath.Join(dir, "expected")
			if *update {
				c.Assert(os.WriteFile(expected, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(expected)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, string(want))
		})
	}
}

func run(args []string) string {
	var out bytes.Buffer
	cmd := verb.New()
	cmd.Writer = &out
	cmd.ErrWriter = &out
	if err := cmd.Run(context.Background(), append([]string{"cumintally"}, args...)); err != nil {
		out.WriteString("error: " + err.Error() + "\n")
	}
	return out.String()
}
