package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/settings"
)

// TestDecimals guards against a daemon that does not start because a limit is not a whole number. Such limits
// occur if the deployment computes one limit as a fraction of another.
func TestDecimals(tst *testing.T) {
	path := filepath.Join(tst.TempDir(), "entry.ini")
	text := `
[Entry]
Name = e1
AvailabilityZone = z1

[Platform]
Protocol = Machines

[Requests]
DrainTimeout = 8.5s

[Site]
RetryRatio = 0.2
RetryReserve = 55.00000000000001
RetryWindow = 10.25s
ColdExcess = 1.5
ColdReserve = 5.4
StallTime = 4000.5ms
KnowWithin = 1999.9999999999998ms
MemoryLimit = 284.8
`
	qt.Assert(tst, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	set, err := settings.New(path, nil)
	qt.Assert(tst, err, qt.IsNil)
	qt.Check(tst, set.Site.RetryReserve, qt.Equals, 55.00000000000001)
	qt.Check(tst, set.Site.ColdReserve, qt.Equals, 5.4)
	qt.Check(tst, set.Site.MemoryLimit, qt.Equals, 284.8)
}
