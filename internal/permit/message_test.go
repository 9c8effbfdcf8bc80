package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintally/cumintally/internal/permit"
)

// TestMessageSize guards against messages that outgrow the share of the peer traffic that they are
// reckoned with: 3 KB/s in all for a daemon.
func TestMessageSize(t *testing.T) {
	ask, err := cbor.Marshal(permit.Ask{
		Group:       "recipes-1/0",
		Fencing:     1234,
		Incarnation: 1 << 62,
		Age:         300 * time.Millisecond,
		Running:     4,
		Hold:        6,
		Finished:    3,
		FirstTokens: 3,
	})
	qt.Assert(t, err, qt.IsNil)
	grant, err := cbor.Marshal(permit.Grant{
		Group:       "recipes-1/0",
		Incarnation: 1 << 62,
		Slots:       6,
		ValidFor:    2 * time.Second,
		Limit:       32,
		Running:     20,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("an ask has %d bytes, a grant %d", len(ask), len(grant))
	qt.Assert(t, len(ask)+len(grant) <= 240, qt.IsTrue)
}
