package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintally/cumintally/internal/permit"
)

// TestMessageSize guards against messages that exceed their part of the traffic budget between peers, which
// is 3 KB/s in total for a daemon.
func TestMessageSize(t *testing.T) {
	req, err := cbor.Marshal(permit.SlotRequest{
		Group:       "recipes-1/0",
		Fencing:     1234,
		Incarnation: 1 << 62,
		ReportAge:   300 * time.Millisecond,
		Running:     4,
		HeldSlots:   6,
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
	t.Logf("a slot request has %d bytes, a grant %d", len(req), len(grant))
	qt.Assert(t, len(req)+len(grant) <= 240, qt.IsTrue)
}
