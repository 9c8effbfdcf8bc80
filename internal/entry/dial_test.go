package entry

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/settings"
)

// TestDialSource guards against connections with another source address than the daemon's own, and
// against a source address from which the kernel cannot reach the target.
func TestDialSource(t *testing.T) {
	for _, cse := range []struct {
		name   string
		listen settings.Listen
		want   string
	}{
		{"address of Peers", settings.Listen{Peers: "127.0.1.7:8082"}, "127.0.1.7"},
		{"setting", settings.Listen{Peers: "127.0.1.7:8082", Source: "127.0.1.8"}, "127.0.1.8"},
		{"all interfaces", settings.Listen{Peers: "0.0.0.0:8082"}, "127.0.0.1"},
		{"other family", settings.Listen{Peers: "[::1]:8082"}, "127.0.0.1"},
	} {
		t.Run(cse.name, func(t *testing.T) {
			c := qt.New(t)
			lst, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer lst.Close()
			con, err := newDial(&settings.Settings{
				Listen: cse.listen,
			})(context.Background(), "tcp", lst.Addr().String())
			c.Assert(err, qt.IsNil)
			defer con.Close()
			c.Assert(con.LocalAddr().(*net.TCPAddr).IP.String(), qt.Equals, cse.want)
		})
	}
}
