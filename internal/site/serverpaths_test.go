package site

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against servers at their limit of connections that are taken for cut off from the daemon: it connects to them through other
// daemons then, which takes longer and as many connections.
func TestResetWhileConnectingShowsThatServerIsReached(tst *testing.T) {
	failing := func(err error) DialFunc {
		return func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{
				Op:  "dial",
				Err: os.NewSyscallError("connect", err),
			}
		}
	}
	qt.Assert(tst, probeServer(tst.Context(), failing(syscall.ECONNRESET), "10.0.0.1:80"), qt.IsNil)
	qt.Assert(tst, probeServer(tst.Context(), failing(syscall.ECONNREFUSED), "10.0.0.1:80"), qt.IsNotNil)
}
