package relay_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cumintally/cumintally/internal/outlier"
)

// Guards against servers at their limit of connections that get no requests at all, also not on connections that they serve: one reset
// while connecting says no more than one after it.
func TestResetWhileConnectingEjectsNoServer(tst *testing.T) {
	for _, cse := range []struct {
		err    error
		usable bool
	}{
		{
			err:    syscall.ECONNRESET,
			usable: true,
		},
		{
			err: syscall.ECONNREFUSED,
		},
	} {
		tst.Run(cse.err.Error(), func(tst *testing.T) {
			fix := &fixture{
				tst:         tst,
				addresses:   []string{"10.0.0.1:80"},
				choicesLeft: 1,
				outliers:    outlier.New(),
				dial: func(context.Context, string, string) (net.Conn, error) {
					return nil, &net.OpError{
						Op:  "dial",
						Err: os.NewSyscallError("connect", cse.err),
					}
				},
			}
			fix.get()
			qt.Assert(tst, fix.outliers.Usable("10.0.0.1:80", time.Now()), qt.Equals, cse.usable)
		})
	}
}
