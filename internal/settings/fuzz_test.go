package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/settings"
)

// FuzzSettings guards against a settings file that crashes the daemon, and against accepted settings that
// differ after they are printed and read again.
func FuzzSettings(fzz *testing.F) {
	good := "[Entry]\nName = e1\nAvailabilityZone = z1\n[Peers]\nKey = 0123456789abcdef\n[Operators]\nKey = 0123456789abcdef\n"
	fzz.Add([]byte(good))
	fzz.Add([]byte(good + "[Requests]\nTimeout = 5s\nMaxBodySize = 99999\n"))
	fzz.Add([]byte(good + "[Log]\nLevel = %(Level)s\n"))
	fzz.Add([]byte("[Entry]\nName = \"\"\"a\nb\"\"\"\n"))
	fzz.Add([]byte("Name = x\n[Unknown]\n"))
	fzz.Add([]byte("\xff\xfe[\x00"))
	path := filepath.Join(fzz.TempDir(), "fuzz.ini")
	printed := filepath.Join(fzz.TempDir(), "printed.ini")
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		qt.Assert(tst, os.WriteFile(path, data, 0o600), qt.IsNil)
		set, err := settings.New(path, nil)
		if err != nil {
			qt.Check(tst, err, qt.ErrorIs, settings.ErrInvalid)
			return
		}
		var out bytes.Buffer
		qt.Assert(tst, set.Print(&out), qt.IsNil)
		qt.Assert(tst, os.WriteFile(printed, out.Bytes(), 0o600), qt.IsNil)
		// Print hides secrets, so the environment supplies them.
		again, err := settings.New(printed, []string{
			"CUMINTALLY_PEERS_KEY=" + set.Peers.Key,
			"CUMINTALLY_OPERATORS_KEY=" + set.Operators.Key,
		})
		qt.Assert(tst, err, qt.IsNil)
		qt.Check(tst, again, qt.DeepEquals, set)
	})
}
